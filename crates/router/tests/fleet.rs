//! Router processes run against stand-in engines and bulletins while faults are injected. Each verdict is
//! based on counts over all processes together, on what never happens, and on what happens in the end.

use std::fs;
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use woadhook_standins::faults::{Fault, Schedule, shrink};
use woadhook_standins::fleet::{Fleet, Layout, Tally};
use woadhook_standins::folders;
use woadhook_standins::processes::RouterProcess;
use woadhook_standins::relays::{EndpointSet, Way};
use woadhook_standins::{DiscoveryEvents, router_config};

const PROGRAM: &str = env!("CARGO_BIN_EXE_woadhook");

fn folder(scenario: &str) -> PathBuf {
    folders::run_folder(env!("CARGO_TARGET_TMPDIR"), &format!("fleet-{scenario}"))
}

/// Runs a schedule against ten routers and ten engines; prints its seed and faults if a rule is broken.
fn run(scenario: &str, schedule: &Schedule) -> Tally {
    run_with(scenario, Layout::single_zone(10, 10), schedule)
}

fn run_with(scenario: &str, layout: Layout, schedule: &Schedule) -> Tally {
    let fleet = Fleet::start(PROGRAM, &folder(scenario), layout);
    fleet.run_schedule(schedule);
    fleet.wait_for_drains();
    let tally = fleet.verdict().unwrap_or_else(|fault| panic!("{fault}\nafter {schedule:?}"));
    assert!(tally.done > 100 && tally.recorded_jobs >= tally.done, "{tally:?}");
    tally
}

#[test]
fn all_faults_of_a_schedule_in_sequence_break_no_rule() {
    for seed in [1, 2] {
        let tally = run(&format!("seed-{seed}"), &Schedule::draw(seed, 10, 10));
        assert!(tally.cold_engine_dispatches > 0, "cold engines got jobs: {tally:?}");
    }
}

#[test]
fn many_restarted_routers_do_not_overload_new_engines() {
    let faults = vec![(Fault::Replace(vec![0, 1, 2, 3, 4, 5]), 50), (Fault::Kill((0..7).collect()), 2_500)];
    let second_kill = vec![(Fault::Kill((3..10).collect()), 1_000)];
    let tally = run("herd", &Schedule { seed: 0, faults: [faults, second_kill].concat() });
    assert!(tally.cold_engine_dispatches > 0, "{tally:?}");
}

#[test]
fn thirty_routers_of_which_most_restart_keep_the_ramp_of_cold_engines() {
    let faults = vec![
        (Fault::Replace(vec![0, 1, 2]), 2_500),
        (Fault::Kill((0..20).collect()), 2_500),
        (Fault::Kill((10..30).collect()), 2_500),
    ];
    let tally = run_with("thirty", Layout::single_zone(30, 4), &Schedule { seed: 0, faults });
    assert!(tally.cold_engine_dispatches > 50, "cold engines got jobs: {tally:?}");
}

/// Guards against a verdict that can't tell a stall of the test rig from one of the router: the rig's stall
/// is printed beside the broken rule.
#[test]
fn a_deadline_missed_because_of_stalled_relays_is_reported_with_the_stall() {
    /// Longer than the checker allows for the machine and the deadline's slack.
    const STALL: Duration = Duration::from_millis(1_200);
    let fleet = Fleet::start(PROGRAM, &folder("stood"), Layout::single_zone(2, 2));
    // The stall is repeated, as callers whose jobs run for long send none during one of the stalls.
    for _ in 0..4 {
        thread::sleep(Duration::from_millis(250));
        fleet.relays.block_thread(STALL);
        thread::sleep(STALL);
    }
    let fault = fleet.verdict().expect_err("the requests were delayed");
    assert!(fault.contains("its client had") && fault.contains("the relays stood: [Rest"), "{fault}");
}

#[test]
fn replaced_engines_get_nothing_after_the_grace_while_routers_restart_and_the_bulletin_moves() {
    let faults = vec![
        (Fault::Move, 300),
        (Fault::Replace(vec![0, 1, 2]), 0),
        (Fault::Roll((0..10).collect()), 0),
        (Fault::Replace(vec![3, 4]), 200),
        (Fault::Move, 0),
        (Fault::Pause(0, 800), 0),
    ];
    run("roll", &Schedule { seed: 0, faults });
}

/// The duration of a partition in milliseconds: less than the grace period and than a caller's wait, so that
/// requests that a partition delays still arrive within both.
const CUT_MS: u64 = 1_200;

#[test]
fn a_partitioned_zone_continues_to_serve_and_answers_all_accepted_jobs() {
    let (zone, all) = (EndpointSet::zone("z1"), EndpointSet::All);
    let within = (zone.clone(), zone.clone(), Way::default());
    let cut = vec![(zone.clone(), all.clone(), Way::CUT), (all, zone, Way::CUT), within];
    let faults = vec![(Fault::Lay(cut.clone(), CUT_MS), 300), (Fault::Lay(cut, CUT_MS / 2), 0)];
    run_with("zone", Layout::with_zones(9, 9, 3, 1), &Schedule { seed: 0, faults });
}

#[test]
fn a_partition_in_one_direction_runs_no_load_twice() {
    let (one, other) = (EndpointSet::zone("z0"), EndpointSet::zone("z1"));
    let backward = vec![(other.clone(), one.clone(), Way::CUT)];
    let forward = vec![(one.clone(), other.clone(), Way::CUT)];
    // A load crosses to the other zone, and the router receives nothing about it for longer than it polls: it
    // may have run. The partition is shorter than the grace period and than a caller's wait, so that there is
    // time to run it twice.
    let faults = vec![
        (Fault::Lay(backward.clone(), 2_800), 200),
        (Fault::Lay(forward, CUT_MS), 200),
        (Fault::Reset(one, other), 0),
        (Fault::Lay(backward, 2_800), 0),
    ];
    run_with("one-way", Layout::with_zones(8, 8, 2, 2), &Schedule { seed: 0, faults });
}

#[test]
fn seeded_network_faults_between_zones_break_no_rule() {
    for seed in [11, 12] {
        let layout = Layout::with_zones(9, 9, 3, seed);
        let schedule = Schedule::draw_network_faults(seed, 6, &layout.zone_names(), 9, CUT_MS);
        run_with(&format!("ways-{seed}"), layout, &schedule);
    }
}

/// A search over seeds that CI does not run. The environment variable `WAYS` gives the range of seeds:
/// `WAYS=100..140 cargo test --test fleet -- --ignored search`.
#[test]
#[ignore = "takes minutes; seeds that it finds become scenarios"]
fn search_for_a_network_fault_schedule_that_breaks_a_rule() {
    let seeds = std::env::var("WAYS").unwrap_or_else(|_| "100..104".to_owned());
    let (from, to) = seeds.split_once("..").expect("FROM..TO");
    let broken_rule = |schedule: &Schedule| {
        let layout = Layout::with_zones(9, 9, 3, schedule.seed);
        let fleet = Fleet::start(PROGRAM, &folder("search"), layout);
        fleet.run_schedule(schedule);
        fleet.wait_for_drains();
        fleet.verdict().err()
    };
    for seed in from.parse::<u64>().unwrap()..to.parse().unwrap() {
        let zones = Layout::with_zones(9, 9, 3, seed).zone_names();
        let schedule = Schedule::draw_network_faults(seed, 8, &zones, 9, CUT_MS);
        if let Some(fault) = broken_rule(&schedule) {
            let smallest = shrink(&schedule, |smaller| broken_rule(smaller).is_some());
            panic!("seed {seed}: {fault}\nsmallest failing schedule: {smallest:?}");
        }
    }
}

#[test]
fn the_same_seed_draws_the_same_schedule() {
    let draw = |seed| format!("{:?}", Schedule::draw(seed, 300, 80));
    assert_eq!(draw(7), draw(7));
    assert_ne!(draw(7), draw(8));
}

#[test]
fn a_schedule_shrinks_to_the_faults_that_matter() {
    let full_schedule = Schedule::draw(3, 10, 10);
    let is_relevant = |schedule: &Schedule| {
        let contains =
            |sought: &dyn Fn(&Fault) -> bool| schedule.faults.iter().any(|(fault, _)| sought(fault));
        contains(&|fault| matches!(fault, Fault::Kill(_)))
            && contains(&|fault| matches!(fault, Fault::Bad(_)))
    };
    assert_eq!(shrink(&full_schedule, is_relevant).faults.len(), 2);
}

/// The value of a key in `deploy/balancer.toml`.
fn deployed_value(key: &str) -> String {
    let file = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../deploy/balancer.toml");
    let text = fs::read_to_string(file).unwrap();
    let line = text.lines().find_map(|line| line.strip_prefix(key)?.trim().strip_prefix("= "));
    line.unwrap_or_else(|| panic!("the deploy file lacks {key}")).trim_matches('"').to_owned()
}

#[test]
fn the_deployed_program_is_one_process_linked_to_the_c_library() {
    let run = deployed_value("run ");
    assert_eq!(run.split_whitespace().collect::<Vec<_>>(), ["exec", "target/release/woadhook"]);
    let listed = Command::new("ldd").arg(PROGRAM).stdin(Stdio::null()).output().unwrap();
    let listed = String::from_utf8_lossy(&listed.stdout).into_owned();
    assert!(listed.contains("libc.so"), "not linked dynamically: {listed}");
    let process =
        RouterProcess::start(PROGRAM, &folder("alone"), "n0", &router_config(&[], discovery().address, 512));
    process.wait_until_ready();
    let id = process.id().unwrap();
    let deadline = Instant::now() + Duration::from_millis(300);
    while Instant::now() < deadline {
        for task in fs::read_dir(format!("/proc/{id}/task")).unwrap().flatten() {
            let children = fs::read_to_string(task.path().join("children")).unwrap_or_default();
            assert!(children.trim().is_empty(), "the program started {children}");
        }
        thread::sleep(Duration::from_millis(5));
    }
    let unix = fs::read_to_string("/proc/net/unix").unwrap();
    for file in fs::read_dir(format!("/proc/{id}/fd")).unwrap().flatten() {
        let to = fs::read_link(file.path()).unwrap_or_default().to_string_lossy().into_owned();
        assert!(!to.contains("io_uring"), "{to}");
        let socket = to.strip_prefix("socket:[").and_then(|rest| rest.strip_suffix(']'));
        let listens = |line: &str| {
            let fields: Vec<&str> = line.split_whitespace().collect();
            fields.get(6) == socket.as_ref() && fields.len() > 7
        };
        assert!(socket.is_none() || !unix.lines().any(listens), "the program listens on a named Unix socket");
    }
}

fn discovery() -> woadhook_standins::StandinServer {
    DiscoveryEvents::default().serve()
}
