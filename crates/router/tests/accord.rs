//! Several processes of the program of which a few vote: what all follow, while voters are killed, start from nothing, stand
//! still and are cut off. What is asserted is what every router logs in the end, and that jobs are served by the rules all
//! the while.

use std::path::PathBuf;
use std::thread;
use std::time::Duration;

use rustix::process::Signal;
use woadhook_standins::fleet::{Fleet, LEASE_MS, Layout};
use woadhook_standins::folders;
use woadhook_standins::relays::{EndpointSet, Way};

const PROGRAM: &str = env!("CARGO_BIN_EXE_woadhook");
const ROUTERS: usize = 6;

fn folder(story: &str) -> PathBuf {
    folders::run_folder(env!("CARGO_TARGET_TMPDIR"), &format!("accord-{story}"))
}

/// Six routers in three zones, of which the first three vote, one in each zone.
fn fleet(story: &str) -> (Fleet, PathBuf) {
    let folder = folder(story);
    let layout = Layout { voters: 3, ..Layout::with_zones(ROUTERS, 3, 3, 5) };
    let fleet = Fleet::start(PROGRAM, &folder, layout);
    fleet.wait_until("a state that all act on", |fleet| (0..ROUTERS).all(|at| acts_on(fleet, at).is_some()));
    (fleet, folder)
}

/// The epoch and step that a router acts on, as its log tells.
fn acts_on(fleet: &Fleet, router: usize) -> Option<(u64, u64)> {
    let said = fleet.router_log(router);
    let last =
        said.lines().rfind(|line| line.contains("accord_in_force") || line.contains("accord_lapsed"))?;
    let told: serde_json::Value = serde_json::from_str(last).ok()?;
    let number = |field: &str| told[field].as_u64().or_else(|| told[field].as_str()?.parse().ok());
    (told["event"] == "accord_in_force").then_some((number("epoch")?, number("step")?))
}

fn verdict(fleet: Fleet) {
    fleet.wait_for_drains();
    let tally = fleet.verdict().unwrap_or_else(|fault| panic!("{fault}"));
    assert!(tally.done > 20, "{tally:?}");
}

#[test]
fn a_voter_killed_and_started_from_nothing_votes_again_once_the_others_named_it() {
    let (fleet, _) = fleet("amnesia");
    fleet.kill_router(1);
    fleet.start_router(1);
    fleet
        .wait_until("that it is told it forgot", |fleet| !fleet.log_events(1, "accord_forgotten").is_empty());
    fleet.wait_until("a next step that all act on", |fleet| {
        (0..ROUTERS).all(|at| acts_on(fleet, at).is_some_and(|(epoch, step)| (epoch, step) >= (1, 1)))
    });
    // Its new life counts: with another voter gone, it makes the majority that vouches on.
    fleet.kill_router(0);
    thread::sleep(Duration::from_millis(2 * LEASE_MS));
    fleet.wait_until("that the others act on", |fleet| (1..ROUTERS).all(|at| acts_on(fleet, at).is_some()));
    fleet.start_router(0);
    verdict(fleet);
}

#[test]
fn a_majority_lost_at_once_lapses_everywhere_and_the_operators_order_at_one_router_is_the_way_back() {
    let (fleet, folder) = fleet("majority");
    fleet.kill_router(0);
    fleet.kill_router(1);
    fleet.start_router(0);
    fleet.start_router(1);
    fleet.wait_until("that all lapses", |fleet| (0..ROUTERS).all(|at| acts_on(fleet, at).is_none()));
    fleet.wait_until("that the one that is left says so", |fleet| {
        !fleet.log_events(2, "accord_majority_lost").is_empty()
    });
    fleet.issue_voter_set(&folder, 2, 4);
    fleet.wait_until("the next epoch at all", |fleet| {
        (0..ROUTERS).all(|at| acts_on(fleet, at).is_some_and(|(epoch, _)| epoch == 2))
    });
    verdict(fleet);
}

#[test]
fn a_zone_cut_off_lapses_and_the_others_go_on_and_it_comes_back() {
    let (fleet, _) = fleet("cut");
    let (one, all) = (EndpointSet::zone("z0"), EndpointSet::All);
    let within = (one.clone(), one.clone(), Way::default());
    fleet.relays.set_ways([(one.clone(), all.clone(), Way::CUT), (all, one, Way::CUT), within]);
    // Routers 0 and 3 stand in that zone.
    fleet.wait_until("that the side without a majority lapses", |fleet| {
        [0, 3].iter().all(|at| acts_on(fleet, *at).is_none())
    });
    fleet.wait_until("that the other side acts on", |fleet| {
        [1, 2, 4, 5].iter().all(|at| acts_on(fleet, *at).is_some())
    });
    fleet.relays.heal();
    fleet.wait_until("that all act again", |fleet| (0..ROUTERS).all(|at| acts_on(fleet, at).is_some()));
    verdict(fleet);
}

#[test]
fn a_voter_stopped_for_longer_than_the_lease_hinders_nobody_and_follows_again() {
    let (fleet, _) = fleet("stopped");
    fleet.signal(0, Signal::STOP);
    thread::sleep(Duration::from_millis(2 * LEASE_MS));
    fleet.wait_until("that the others act on", |fleet| (1..ROUTERS).all(|at| acts_on(fleet, at).is_some()));
    fleet.signal(0, Signal::CONT);
    fleet.wait_until("that it lapsed, as it saw once it went on", |fleet| {
        !fleet.log_events(0, "accord_lapsed").is_empty() && acts_on(fleet, 0).is_some()
    });
    verdict(fleet);
}
