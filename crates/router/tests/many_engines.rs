//! A router with as many listed engines as the operators' largest fleets have.

use std::time::Duration;

use woadhook_standins::lightweight::callers::Traffic;
use woadhook_standins::many_engines::{Report, Scenario};

/// The number of engines at the usual size, and the largest one.
const USUAL_ENGINES: usize = 80;
const MANY_ENGINES: usize = 3_200;
const REQUESTS_PER_S: f64 = 200.0;
const LENGTH: Duration = Duration::from_secs(6);
/// The share of a core that a router gets, as a multiple of what it needs at the usual size.
const SHARE_FACTOR: f64 = 1.5;
/// Limits of the processor time with many engines: a multiple of that at the usual size, plus seconds, plus
/// seconds for each thousand engines.
const CPU_FACTOR: f64 = 1.4;
const CPU_EXTRA: f64 = 0.02;
const CPU_EXTRA_PER_THOUSAND: f64 = 0.03;

fn run(engines: usize, share: f64) -> Report {
    let traffic = Traffic {
        requests_per_s: REQUESTS_PER_S,
        connections: 12,
        wait: Duration::from_millis(1_000),
        withdrawn_share: 0.05,
        seed: 62,
    };
    Scenario { program: env!("CARGO_BIN_EXE_woadhook"), engines, share, traffic, length: LENGTH }.run()
}

/// Guards against a router that can't keep up because the cost of each request grows with the engine list.
#[test]
fn a_small_share_of_a_core_is_enough_for_thousands_of_engines() {
    let usual = run(USUAL_ENGINES, 1.0);
    let many = run(MANY_ENGINES, 1.0);
    let limit =
        CPU_FACTOR * usual.cpu.as_secs_f64() + CPU_EXTRA + CPU_EXTRA_PER_THOUSAND * MANY_ENGINES as f64 / 1e3;
    assert!(many.cpu.as_secs_f64() <= limit, "{:?} of {limit} s, {:?} before", many.cpu, usual.cpu);
    let needed = usual.cpu.as_secs_f64() / LENGTH.as_secs_f64();
    let limited = run(MANY_ENGINES, (SHARE_FACTOR * needed).min(1.0));
    assert_eq!((limited.late, limited.unanswered), (0, 0), "{:?}", limited.worst_lateness);
    assert!(limited.served as f64 >= 0.85 * usual.served as f64, "{} of {}", limited.served, usual.served);
}
