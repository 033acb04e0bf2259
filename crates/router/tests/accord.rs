//! Router processes, three of which vote on the state that all routers act on, while voters are killed,
//! restarted without state, suspended and partitioned. The tests check the state that each router logs in the
//! end, and that jobs are served by the rules throughout.

use std::path::PathBuf;
use std::thread;
use std::time::Duration;

use rustix::process::Signal;
use woadhook_standins::fleet::{Fleet, LEASE_MS, Layout};
use woadhook_standins::folders;
use woadhook_standins::relays::{EndpointSet, Way};

const PROGRAM: &str = env!("CARGO_BIN_EXE_woadhook");
const ROUTERS: usize = 6;

fn folder(scenario: &str) -> PathBuf {
    folders::run_folder(env!("CARGO_TARGET_TMPDIR"), &format!("accord-{scenario}"))
}

/// Six routers in three zones. The first three vote, one in each zone.
fn fleet(scenario: &str) -> (Fleet, PathBuf) {
    let folder = folder(scenario);
    let layout = Layout { voters: 3, ..Layout::with_zones(ROUTERS, 3, 3, 5) };
    let fleet = Fleet::start(PROGRAM, &folder, layout);
    fleet.wait_until("a state that all routers act on", |fleet| {
        (0..ROUTERS).all(|router| state_in_force(fleet, router).is_some())
    });
    (fleet, folder)
}

/// The epoch and step that a router acts on according to its log.
fn state_in_force(fleet: &Fleet, router: usize) -> Option<(u64, u64)> {
    let log = fleet.router_log(router);
    let last =
        log.lines().rfind(|line| line.contains("accord_in_force") || line.contains("accord_lapsed"))?;
    let record: serde_json::Value = serde_json::from_str(last).ok()?;
    let number = |field: &str| record[field].as_u64().or_else(|| record[field].as_str()?.parse().ok());
    (record["event"] == "accord_in_force").then_some((number("epoch")?, number("step")?))
}

fn check_rules(fleet: Fleet) {
    fleet.wait_for_drains();
    let tally = fleet.verdict().unwrap_or_else(|fault| panic!("{fault}"));
    assert!(tally.done > 20, "{tally:?}");
}

#[test]
fn a_voter_restarted_without_state_votes_again_once_readmitted() {
    let (fleet, _) = fleet("amnesia");
    fleet.kill_router(1);
    fleet.start_router(1);
    fleet.wait_until("the log line that the voter forgot its state", |fleet| {
        !fleet.log_events(1, "accord_forgotten").is_empty()
    });
    fleet.wait_until("a later step that all routers act on", |fleet| {
        (0..ROUTERS)
            .all(|router| state_in_force(fleet, router).is_some_and(|(epoch, step)| (epoch, step) >= (1, 1)))
    });
    // The restarted voter counts: with another voter down, it completes the majority that continues to
    // attest.
    fleet.kill_router(0);
    thread::sleep(Duration::from_millis(2 * LEASE_MS));
    fleet.wait_until("a state that the other routers act on", |fleet| {
        (1..ROUTERS).all(|router| state_in_force(fleet, router).is_some())
    });
    fleet.start_router(0);
    check_rules(fleet);
}

#[test]
fn without_a_majority_the_state_lapses_until_the_operator_signs_a_new_voter_set() {
    let (fleet, folder) = fleet("majority");
    fleet.kill_router(0);
    fleet.kill_router(1);
    fleet.start_router(0);
    fleet.start_router(1);
    fleet.wait_until("the lapse of the state at all routers", |fleet| {
        (0..ROUTERS).all(|router| state_in_force(fleet, router).is_none())
    });
    fleet.wait_until("the log line of the remaining voter that the majority is lost", |fleet| {
        !fleet.log_events(2, "accord_majority_lost").is_empty()
    });
    fleet.issue_voter_set(&folder, 2, 4);
    fleet.wait_until("the next epoch at all routers", |fleet| {
        (0..ROUTERS).all(|router| state_in_force(fleet, router).is_some_and(|(epoch, _)| epoch == 2))
    });
    check_rules(fleet);
}

#[test]
fn a_partitioned_zone_lapses_and_recovers_while_the_others_continue() {
    let (fleet, _) = fleet("cut");
    let (zone, all) = (EndpointSet::zone("z0"), EndpointSet::All);
    let within = (zone.clone(), zone.clone(), Way::default());
    fleet.relays.set_conditions([(zone.clone(), all.clone(), Way::CUT), (all, zone, Way::CUT), within]);
    // Routers 0 and 3 are in that zone.
    fleet.wait_until("the lapse on the side without a majority", |fleet| {
        [0, 3].iter().all(|router| state_in_force(fleet, *router).is_none())
    });
    fleet.wait_until("a state that the other side acts on", |fleet| {
        [1, 2, 4, 5].iter().all(|router| state_in_force(fleet, *router).is_some())
    });
    fleet.relays.remove_all_conditions();
    fleet.wait_until("a state that all routers act on again", |fleet| {
        (0..ROUTERS).all(|router| state_in_force(fleet, router).is_some())
    });
    check_rules(fleet);
}

#[test]
fn a_voter_suspended_beyond_the_lease_blocks_nobody_and_follows_again() {
    let (fleet, _) = fleet("stopped");
    fleet.signal(0, Signal::STOP);
    thread::sleep(Duration::from_millis(2 * LEASE_MS));
    fleet.wait_until("a state that the other routers act on", |fleet| {
        (1..ROUTERS).all(|router| state_in_force(fleet, router).is_some())
    });
    fleet.signal(0, Signal::CONT);
    fleet.wait_until("the lapse and recovery of the resumed voter", |fleet| {
        !fleet.log_events(0, "accord_lapsed").is_empty() && state_in_force(fleet, 0).is_some()
    });
    check_rules(fleet);
}
