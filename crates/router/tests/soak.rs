//! A slice of the soak: troubles that overlap in time, from seeds, on processes of their own. Its length is bounded; the
//! whole one is `examples/soak.rs` of the stand-ins.

use woadhook_standins::fleet::{Fleet, Layout};
use woadhook_standins::folders;
use woadhook_standins::troubles::Plan;

const ROUTERS: usize = 8;
const ENGINES: usize = 8;
/// How long troubles begin, in milliseconds.
const LENGTH: u64 = 8_000;

fn play(plan: &Plan) {
    let folder = folders::run_folder(env!("CARGO_TARGET_TMPDIR"), &format!("soak-{}", plan.seed));
    let layout =
        Layout { ordered: true, failing_system_calls: true, ..Layout::single_zone(ROUTERS, ENGINES) };
    let fleet = Fleet::start(env!("CARGO_BIN_EXE_woadhook"), &folder, layout);
    let late = fleet.run_plan(plan).late_steps;
    fleet.wait_for_drains();
    let told = |fault| panic!("{fault}\nschedule: {:#?}\nthe rig was late: {late:#?}", plan.troubles);
    let tally = fleet.verdict().unwrap_or_else(told);
    assert!(tally.done > 100, "{tally:?}");
}

#[test]
fn troubles_that_overlap_break_no_rule() {
    [1, 2].map(|seed| Plan::draw(seed, ROUTERS, ENGINES, LENGTH)).iter().for_each(play);
}

#[test]
fn the_same_seed_draws_the_same_troubles() {
    let drawn = |seed| Plan::draw(seed, 30, 20, 60_000);
    assert_eq!(drawn(3), drawn(3));
    assert_ne!(drawn(3), drawn(4));
}

#[test]
fn a_plan_shrinks_to_the_troubles_that_matter() {
    let whole = Plan::draw(5, 12, 8, 60_000);
    let kinds = |plan: &Plan| plan.troubles.iter().map(|timed| timed.trouble.kind()).collect::<Vec<_>>();
    let matters = |plan: &Plan| {
        let kinds = kinds(plan);
        kinds.iter().any(|kind| kind == "Stand") && kinds.iter().any(|kind| kind == "Replace")
    };
    assert!(matters(&whole), "{:?}", kinds(&whole));
    assert_eq!(whole.shrink(matters).troubles.len(), 2);
}
