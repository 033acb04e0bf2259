//! Soak test: runs real routers as processes behind relays and injects faults that overlap in time. The
//! schedule of faults is drawn from a seed. The routers' rules are checked against the calls and answers that
//! engines and clients recorded. The run ends by itself.
//!
//!     cargo build --release && cargo run --release -p woadhook-standins --example soak -- --seeds 1..20

use std::collections::BTreeMap;
use std::env;
use std::ops::Range;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::Parser;
use woadhook_standins::fleet::{Fleet, Layout, Tally};
use woadhook_standins::troubles::Plan;

/// The maximum number of router processes, which protects the rest of the machine.
const MAX_PROCESSES: usize = 60;
/// The maximum length of the fault schedule of one seed, in seconds.
const MAX_SECONDS: u64 = 600;

/// Runs the fault schedules of seeds and reports for each whether a rule was broken.
#[derive(Parser)]
struct Arguments {
    /// The seeds, FROM..TO without TO
    #[arg(long, default_value = "1..4", value_parser = seeds)]
    seeds: Range<u64>,
    /// Number of routers, 2 to 60
    #[arg(long, default_value_t = 12, value_parser = clap::value_parser!(u64).range(2..=MAX_PROCESSES as u64))]
    processes: u64,
    /// The period in which faults begin, in seconds, 3 to 600
    #[arg(long, default_value_t = 12, value_parser = clap::value_parser!(u64).range(3..=MAX_SECONDS))]
    seconds: u64,
    /// The program; by default the one in the folder above that of the example
    #[arg(long, value_name = "FILE")]
    program: Option<PathBuf>,
    /// Reduces the schedule of a failing seed to a smaller one that fails as well
    #[arg(long)]
    shrink: bool,
    /// Prints the schedules without running them
    #[arg(long)]
    list: bool,
}

fn seeds(text: &str) -> Result<Range<u64>, String> {
    let parts = text.split_once("..").and_then(|(from, to)| Some((from.parse().ok()?, to.parse().ok()?)));
    match parts {
        Some((from, to)) if from < to => Ok(from..to),
        _ => Err(format!("{text}: expected FROM..TO with FROM less than TO")),
    }
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let default_program =
        env::current_exe().ok().and_then(|own| Some(own.parent()?.parent()?.join("woadhook")));
    let Some(program) = arguments.program.clone().or(default_program).filter(|program| program.is_file())
    else {
        eprintln!("no program: build it first with `cargo build --release`, or name it with --program FILE");
        return ExitCode::FAILURE;
    };
    let folder = env::temp_dir().join(format!("woadhook-soak-{}", std::process::id()));
    let (mut failed, mut skipped) = (Vec::new(), BTreeMap::<String, usize>::new());
    for seed in arguments.seeds.clone() {
        let plan = Plan::draw(seed, arguments.processes as usize, ENGINES, arguments.seconds * 1_000);
        if arguments.list {
            println!("seed {seed}: {}\n{:#?}", count_kinds(&plan), plan.troubles);
            continue;
        }
        match run_plan(&program, &folder, &arguments, &plan, &mut skipped) {
            Ok(Tally { recorded_jobs: asked, done, cold_engine_dispatches: to_cold }) => {
                println!(
                    "seed {seed}: no rule broken; {asked} asked, {done} done, {to_cold} to cold engines; {}",
                    count_kinds(&plan)
                );
            }
            Err(fault) => {
                println!("seed {seed}: BROKEN: {fault}\nschedule: {:#?}", plan.troubles);
                if arguments.shrink {
                    let fails = |smaller: &Plan| {
                        run_plan(&program, &folder, &arguments, smaller, &mut skipped).is_err()
                    };
                    println!("left of it: {:#?}", plan.shrink(fails).troubles);
                }
                failed.push(seed);
            }
        }
    }
    for (kind, count) in skipped {
        println!("left out: {kind}, {count} times");
    }
    let _ = std::fs::remove_dir_all(&folder);
    println!(
        "{} of {} seeds broke a rule: {failed:?}",
        failed.len(),
        arguments.seeds.end - arguments.seeds.start
    );
    if failed.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// The number of faults of each kind in a plan.
fn count_kinds(plan: &Plan) -> String {
    let mut counts = BTreeMap::<String, usize>::new();
    for timed in &plan.troubles {
        *counts.entry(timed.trouble.kind()).or_default() += 1;
    }
    counts.iter().map(|(kind, count)| format!("{kind} {count}")).collect::<Vec<_>>().join(", ")
}

/// The number of engines in each run.
const ENGINES: usize = 8;

fn run_plan(
    program: &Path, folder: &Path, arguments: &Arguments, plan: &Plan, skipped: &mut BTreeMap<String, usize>,
) -> Result<Tally, String> {
    let _ = std::fs::remove_dir_all(folder);
    let layout = Layout {
        ordered: true,
        failing_system_calls: true,
        ..Layout::single_zone(arguments.processes as usize, ENGINES)
    };
    let fleet = Fleet::start(&program.display().to_string(), folder, layout);
    let run = fleet.run_plan(plan);
    for kind in run.skipped {
        *skipped.entry(kind).or_default() += 1;
    }
    for late_step in run.late_steps {
        println!("seed {}: the rig: {late_step}", plan.seed);
    }
    fleet.wait_for_drains();
    fleet.verdict()
}
