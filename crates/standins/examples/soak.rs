//! A soak: real routers in processes of their own behind relays, and troubles that overlap in time, drawn from a seed and
//! judged by what engines and callers saw. It ends by itself.
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

/// Processes at most, for the whole machine's sake.
const MOST_PROCESSES: usize = 60;
/// Seconds of troubles at most for one seed.
const MOST_SECONDS: u64 = 600;

/// Plays seeds, and tells of each whether a rule broke.
#[derive(Parser)]
struct Line {
    /// FROM..TO, the last one left out
    #[arg(long, default_value = "1..4", value_parser = seeds)]
    seeds: Range<u64>,
    /// Routers, 2 to 60
    #[arg(long, default_value_t = 12, value_parser = clap::value_parser!(u64).range(2..=MOST_PROCESSES as u64))]
    processes: u64,
    /// How long troubles begin, in seconds, 3 to 600
    #[arg(long, default_value_t = 12, value_parser = clap::value_parser!(u64).range(3..=MOST_SECONDS))]
    seconds: u64,
    /// The program; beside the example's own folder if not given
    #[arg(long, value_name = "FILE")]
    program: Option<PathBuf>,
    /// Makes the schedule of a failing seed smaller
    #[arg(long)]
    shrink: bool,
    /// Tells the schedules and plays none
    #[arg(long)]
    list: bool,
}

fn seeds(words: &str) -> Result<Range<u64>, String> {
    let parts = words.split_once("..").and_then(|(from, to)| Some((from.parse().ok()?, to.parse().ok()?)));
    match parts {
        Some((from, to)) if from < to => Ok(from..to),
        _ => Err(format!("{words}: expected FROM..TO with FROM less than TO")),
    }
}

fn main() -> ExitCode {
    let line = Line::parse();
    let beside = env::current_exe().ok().and_then(|own| Some(own.parent()?.parent()?.join("woadhook")));
    let Some(program) = line.program.clone().or(beside).filter(|program| program.is_file()) else {
        eprintln!("no program: build it first with `cargo build --release`, or name it with --program FILE");
        return ExitCode::FAILURE;
    };
    let folder = env::temp_dir().join(format!("woadhook-soak-{}", std::process::id()));
    let (mut failed, mut left_out) = (Vec::new(), BTreeMap::<String, usize>::new());
    for seed in line.seeds.clone() {
        let plan = Plan::draw(seed, line.processes as usize, ENGINES, line.seconds * 1_000);
        if line.list {
            println!("seed {seed}: {}\n{:#?}", kinds(&plan), plan.troubles);
            continue;
        }
        match play(&program, &folder, &line, &plan, &mut left_out) {
            Ok(Tally { asked, done, to_cold }) => {
                println!(
                    "seed {seed}: no rule broken; {asked} asked, {done} done, {to_cold} to cold engines; {}",
                    kinds(&plan)
                );
            }
            Err(fault) => {
                println!("seed {seed}: BROKEN: {fault}\nschedule: {:#?}", plan.troubles);
                if line.shrink {
                    let again = |fewer: &Plan| play(&program, &folder, &line, fewer, &mut left_out).is_err();
                    println!("left of it: {:#?}", plan.shrink(again).troubles);
                }
                failed.push(seed);
            }
        }
    }
    for (kind, count) in left_out {
        println!("left out: {kind}, {count} times");
    }
    let _ = std::fs::remove_dir_all(&folder);
    println!("{} of {} seeds broke a rule: {failed:?}", failed.len(), line.seeds.end - line.seeds.start);
    if failed.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// The troubles of a plan by their kinds.
fn kinds(plan: &Plan) -> String {
    let mut counts = BTreeMap::<String, usize>::new();
    for timed in &plan.troubles {
        *counts.entry(timed.trouble.kind()).or_default() += 1;
    }
    counts.iter().map(|(kind, count)| format!("{kind} {count}")).collect::<Vec<_>>().join(", ")
}

/// Engines of each play.
const ENGINES: usize = 8;

fn play(
    program: &Path, folder: &Path, line: &Line, plan: &Plan, left_out: &mut BTreeMap<String, usize>,
) -> Result<Tally, String> {
    let _ = std::fs::remove_dir_all(folder);
    let layout = Layout {
        ordered: true,
        failing_system_calls: true,
        ..Layout::single_zone(line.processes as usize, ENGINES)
    };
    let fleet = Fleet::start(&program.display().to_string(), folder, layout);
    let played = fleet.run_plan(plan);
    for kind in played.skipped {
        *left_out.entry(kind).or_default() += 1;
    }
    for late in played.late_steps {
        println!("seed {}: the rig: {late}", plan.seed);
    }
    fleet.wait_for_drains();
    fleet.verdict()
}
