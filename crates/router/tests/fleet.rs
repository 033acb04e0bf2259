//! Several processes of the program over stand-in engines and bulletins, and faults among them. Every verdict rests on
//! counts over all processes together, and on what never happens or happens in the end.

use std::fs;
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use woadhook_standins::faults::{Fault, Schedule};
use woadhook_standins::fleet::{Fleet, Tally};
use woadhook_standins::processes::Process;
use woadhook_standins::{Events, told};

const PROGRAM: &str = env!("CARGO_BIN_EXE_woadhook");

fn folder(story: &str) -> PathBuf {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("fleet-{story}"));
    let _ = fs::remove_dir_all(&folder);
    folder
}

/// Plays a schedule before ten routers and ten engines; its seed and faults are told if a rule breaks.
fn play(story: &str, schedule: &Schedule) -> Tally {
    let mut fleet = Fleet::start(PROGRAM, &folder(story), 10, 10);
    fleet.suffer(schedule);
    fleet.settle();
    let tally = fleet.verdict().unwrap_or_else(|fault| panic!("{fault}\nafter {schedule:?}"));
    assert!(tally.done > 100 && tally.asked >= tally.done, "{tally:?}");
    tally
}

#[test]
fn all_faults_of_a_schedule_one_after_another_break_no_rule() {
    for seed in [1, 2] {
        let tally = play(&format!("seed-{seed}"), &Schedule::draw(seed, 10, 10));
        assert!(tally.to_cold > 0, "cold engines are used: {tally:?}");
    }
}

#[test]
fn a_herd_that_starts_from_nothing_beside_new_engines_pushes_none_over() {
    let faults = vec![(Fault::Replace(vec![0, 1, 2, 3, 4, 5]), 50), (Fault::Kill((0..7).collect()), 2_500)];
    let again = vec![(Fault::Kill((3..10).collect()), 1_000)];
    let tally = play("herd", &Schedule { seed: 0, faults: [faults, again].concat() });
    assert!(tally.to_cold > 0, "{tally:?}");
}

#[test]
fn engines_replaced_while_routers_restart_and_the_bulletin_moves_get_nothing_after_the_grace() {
    let faults = vec![
        (Fault::Move, 300),
        (Fault::Replace(vec![0, 1, 2]), 0),
        (Fault::Roll((0..10).collect()), 0),
        (Fault::Replace(vec![3, 4]), 200),
        (Fault::Move, 0),
        (Fault::Pause(0, 800), 0),
    ];
    play("roll", &Schedule { seed: 0, faults });
}

#[test]
fn the_same_seed_draws_the_same_schedule() {
    let drawn = |seed| format!("{:?}", Schedule::draw(seed, 300, 80));
    assert_eq!(drawn(7), drawn(7));
    assert_ne!(drawn(7), drawn(8));
}

/// The lines of `deploy/balancer.toml` for a key.
fn deployed(key: &str) -> String {
    let file = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../deploy/balancer.toml");
    let text = fs::read_to_string(file).unwrap();
    let line = text.lines().find_map(|line| line.strip_prefix(key)?.trim().strip_prefix("= "));
    line.unwrap_or_else(|| panic!("{key} in the deploy file")).trim_matches('"').to_owned()
}

#[test]
fn the_deployed_program_is_one_process_linked_to_the_c_library() {
    let run = deployed("run ");
    assert_eq!(run.split_whitespace().collect::<Vec<_>>(), ["exec", "target/release/woadhook"]);
    let listed = Command::new("ldd").arg(PROGRAM).stdin(Stdio::null()).output().unwrap();
    let listed = String::from_utf8_lossy(&listed.stdout).into_owned();
    assert!(listed.contains("libc.so"), "not linked dynamically: {listed}");
    let process = Process::start(PROGRAM, &folder("alone"), "n0", &told(&[], feed().address, 512));
    process.ready();
    let id = process.id().unwrap();
    let until = Instant::now() + Duration::from_millis(300);
    while Instant::now() < until {
        for task in fs::read_dir(format!("/proc/{id}/task")).unwrap().flatten() {
            let children = fs::read_to_string(task.path().join("children")).unwrap_or_default();
            assert!(children.trim().is_empty(), "it started {children}");
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
        assert!(socket.is_none() || !unix.lines().any(listens), "a named Unix socket");
    }
}

fn feed() -> woadhook_standins::Standin {
    Events::default().serve()
}
