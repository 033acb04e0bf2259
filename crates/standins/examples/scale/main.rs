//! What a router costs as one axis grows: `cargo run --release -p woadhook-standins --example scale -- engines` (or clients, jobs,
//! events, routers, members; `--help` tells the rest). Real routers, processes of the built program, stand on loopback beside lightweight
//! parties in this process; members stand on the virtual network. Prints a table, writes a CSV, a line for each measure and its
//! plot.
//!
//! Figures are for one router, the mean of all real ones: memory, descriptors and processor time at rest without a job; processor
//! time a job, latencies and control bytes (discovery, probes and their answers) while jobs come at the point's rate; on the axis of
//! engines, throughput while 128 clients ask one job after another, on the others that at the rate. A change is in force
//! once the last router asks discovery for what comes behind it.
//!
//! Hollow routers are there as their number in the settings and as the load that engines report; they send nothing. What members
//! say to one another is on the axis of members alone, where the processor time holds the virtual network's. Latencies and throughput
//! suffer where other work shares the processors, processor time less so.

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
use crate::measure::Measured;
use crate::results::Results;
use crate::setup::Setup;

/// Engines that join while others are listed.
const SPARE_ENGINES: usize = 1;

/// A folder for the routers' files, which goes with its guard.
struct Folder(PathBuf);

impl Folder {
    fn new() -> Self {
        Self(std::env::temp_dir().join(format!("woadhook-scale-{}", std::process::id())))
    }
}

impl Drop for Folder {
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
    let sizes = arguments.points(&Machine::here()?)?;
    let targets = arguments.targets()?;
    let on_loopback = arguments.axis != Axis::Members;
    for (program, _) in targets.iter().filter(|_| on_loopback) {
        if !program.is_file() {
            return Err(format!("--program: {} is no file; build it first", program.display()).into());
        }
    }
    let folder = Folder::new();
    let mut results: Vec<Results> = targets.iter().map(|_| Results::default()).collect();
    for round in 0..arguments.rounds {
        for size in &sizes {
            for ((program, _), results) in targets.iter().zip(&mut results) {
                let seed = arguments.seed.wrapping_add(u64::from(round));
                let folder = folder.0.join(format!("{round}-{size}"));
                results.add(*size, point(arguments.axis, *size, program, &folder, seed)?);
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

fn point(
    axis: Axis, size: usize, program: &Path, folder: &Path, seed: u64,
) -> Result<Measured, Box<dyn Error>> {
    let Some(setup) = Setup::of(axis, size) else { return Ok(members::measure(size, seed)?) };
    let engines = LightweightEngines::start(setup.engines + SPARE_ENGINES)?;
    Ok(measure::measure(&setup, &engines, program, folder, seed)?)
}
