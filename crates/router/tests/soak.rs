//! A bounded part of the soak: overlapping faults drawn from a seed, against router processes. The whole soak
//! is `examples/soak.rs` of woadhook-standins.

use woadhook_standins::fleet::{Fleet, Layout};
use woadhook_standins::folders;
use woadhook_standins::troubles::Plan;

const ROUTERS: usize = 8;
const ENGINES: usize = 8;
/// The time in which faults begin, in milliseconds.
const FAULT_PERIOD_MS: u64 = 8_000;

fn run(plan: &Plan) {
    let folder = folders::run_folder(env!("CARGO_TARGET_TMPDIR"), &format!("soak-{}", plan.seed));
    let layout =
        Layout { ordered: true, failing_system_calls: true, ..Layout::single_zone(ROUTERS, ENGINES) };
    let fleet = Fleet::start(env!("CARGO_BIN_EXE_woadhook"), &folder, layout);
    let late = fleet.run_plan(plan).late_steps;
    fleet.wait_for_drains();
    let report = |fault| panic!("{fault}\nschedule: {:#?}\nlate fault injections: {late:#?}", plan.troubles);
    let tally = fleet.verdict().unwrap_or_else(report);
    assert!(tally.done > 100, "{tally:?}");
}

#[test]
fn overlapping_faults_break_no_rule() {
    [1, 2].map(|seed| Plan::draw(seed, ROUTERS, ENGINES, FAULT_PERIOD_MS)).iter().for_each(run);
}

#[test]
fn the_same_seed_draws_the_same_faults() {
    let draw = |seed| Plan::draw(seed, 30, 20, 60_000);
    assert_eq!(draw(3), draw(3));
    assert_ne!(draw(3), draw(4));
}

#[test]
fn a_plan_shrinks_to_the_faults_that_matter() {
    let full_plan = Plan::draw(5, 12, 8, 60_000);
    let kinds = |plan: &Plan| plan.troubles.iter().map(|timed| timed.trouble.kind()).collect::<Vec<_>>();
    let is_relevant = |plan: &Plan| {
        let kinds = kinds(plan);
        kinds.iter().any(|kind| kind == "Stand") && kinds.iter().any(|kind| kind == "Replace")
    };
    assert!(is_relevant(&full_plan), "{:?}", kinds(&full_plan));
    assert_eq!(full_plan.shrink(is_relevant).troubles.len(), 2);
}
