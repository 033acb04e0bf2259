//! Measures what a router costs as one axis grows: `cargo run --release -p woadhook-standins --example scale
//! -- engines` (or clients, jobs, events, routers, members; `--help` lists the options). Real routers,
//! processes of the built program, run on loopback with lightweight engines, clients and discovery in this
//! process; members run on the virtual network. The example prints a table and writes a CSV of the points,
//! the line fitted to each measure, and its plot.
//!
//! Figures are for one router, the mean of all real ones. Memory, descriptors and processor time at rest are
//! measured without jobs; processor time per job, latencies and control bytes (of discovery, probes and their
//! answers) are measured while clients send jobs at the point's rate. Throughput on the axis of engines is
//! measured while each of 128 clients sends one job after another, and on the other axes at the point's rate.
//! A change is in force once the last router has asked discovery for the events after it.
//!
//! Simulated routers exist only as a number in the settings and as load that engines report; they send
//! nothing. The traffic between members is measured on the axis of members alone, where the processor time
//! includes that of the virtual network. Other work on the same processors distorts latencies and throughput,
//! and processor time less.

mod arguments;
mod changes;
mod fit;
mod limits;
mod load;
mod measure;
mod members;
mod output;
mod plot;
mod process;
mod results;
mod setup;

use std::error::Error;
use std::fs;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::Parser;
use woadhook_standins::lightweight::engines::LightweightEngines;

use crate::arguments::{Arguments, Axis};
use crate::limits::Machine;
use crate::measure::Measurements;
use crate::results::Results;
use crate::setup::Setup;

/// Engines that are not listed at the start and join later.
const SPARE_ENGINES: usize = 1;

/// A temporary folder for the routers' files; it is removed when the value is dropped.
struct TempFolder(PathBuf);

impl TempFolder {
    fn new() -> Self {
        Self(std::env::temp_dir().join(format!("woadhook-scale-{}", std::process::id())))
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn main() -> ExitCode {
    match run(&Arguments::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(arguments: &Arguments) -> Result<(), Box<dyn Error>> {
    let sizes = arguments.checked_sizes(&Machine::detect()?)?;
    let targets = arguments.targets()?;
    let runs_program = arguments.axis != Axis::Members;
    for (program, _) in targets.iter().filter(|_| runs_program) {
        if !program.is_file() {
            return Err(format!("--program: {} is no file; build it first", program.display()).into());
        }
    }
    let folder = TempFolder::new();
    let mut results: Vec<Results> = targets.iter().map(|_| Results::default()).collect();
    for round in 0..arguments.rounds {
        for size in &sizes {
            for ((program, _), results) in targets.iter().zip(&mut results) {
                let seed = arguments.seed.wrapping_add(u64::from(round));
                let folder = folder.0.join(format!("{round}-{size}"));
                results.add(*size, measure_point(arguments.axis, *size, program, &folder, seed)?);
                let _ = fs::remove_dir_all(&folder);
            }
        }
    }
    for ((program, out), results) in targets.iter().zip(&results) {
        println!("{}, seed {}, rounds {}", program.display(), arguments.seed, arguments.rounds);
        output::print(arguments.axis, results);
        output::write(arguments.axis, results, out)?;
    }
    Ok(())
}

fn measure_point(
    axis: Axis, size: usize, program: &Path, folder: &Path, seed: u64,
) -> Result<Measurements, Box<dyn Error>> {
    let Some(setup) = Setup::at_point(axis, size) else { return Ok(members::measure(size, seed)?) };
    let engines = LightweightEngines::start(setup.engines + SPARE_ENGINES)?;
    Ok(measure::measure(&setup, &engines, program, folder, seed)?)
}
