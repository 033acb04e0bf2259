//! Soak test with very many engines: real routers on small shares of a core, with faults that overlap in
//! time, drawn from a seed. Clients and engines record what they see; the rules are checked from that.
//!
//!     cargo build --release && cargo run --release -p woadhook-standins --example many_engines_soak -- --seeds 1..51

use std::env;
use std::ops::Range;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;
use woadhook_standins::many_engines_soak::{draw, run};

/// Runs the faults of seeds and reports for each whether a rule was broken.
#[derive(Parser)]
struct Arguments {
    /// The seeds, FROM..TO without TO
    #[arg(long, default_value = "1..4", value_parser = seeds)]
    seeds: Range<u64>,
    /// Number of routers
    #[arg(long, default_value_t = 10, value_parser = clap::value_parser!(u64).range(1..=40))]
    processes: u64,
    /// Number of listed engines
    #[arg(long, default_value_t = 3_200)]
    engines: usize,
    /// The period in which faults begin, in seconds
    #[arg(long, default_value_t = 8, value_parser = clap::value_parser!(u64).range(1..=600))]
    seconds: u64,
    /// Factor of all shares of a core
    #[arg(long, default_value_t = 1.0)]
    share_factor: f64,
    /// Folder in which the logs of the last seed stay
    #[arg(long, value_name = "DIR")]
    logs: Option<PathBuf>,
    /// The built program
    #[arg(long, default_value = "target/release/woadhook")]
    program: PathBuf,
}

fn seeds(text: &str) -> Result<Range<u64>, String> {
    let parts = text.split_once("..").and_then(|(from, to)| Some((from.parse().ok()?, to.parse().ok()?)));
    parts.map(|(from, to)| from..to).ok_or_else(|| format!("{text}: expected FROM..TO"))
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let own_folder = env::temp_dir().join(format!("many-engines-soak-{}", std::process::id()));
    let folder = arguments.logs.clone().unwrap_or_else(|| own_folder.clone());
    let (processes, length_ms) = (arguments.processes as usize, arguments.seconds * 1_000);
    let program = arguments.program.display().to_string();
    let mut broken = Vec::new();
    for seed in arguments.seeds.clone() {
        match run(&program, &folder, seed, processes, arguments.engines, length_ms, arguments.share_factor) {
            Ok(tally) => println!("seed {seed}: no rule broken; {tally:?}"),
            Err(fault) => {
                println!("seed {seed}: BROKEN: {fault}");
                println!("schedule: {:#?}", draw(seed, processes, arguments.engines, length_ms));
                broken.push(seed);
            }
        }
    }
    let _ = std::fs::remove_dir_all(&own_folder);
    println!(
        "{} of {} seeds broke a rule: {broken:?}",
        broken.len(),
        arguments.seeds.end - arguments.seeds.start
    );
    if broken.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
