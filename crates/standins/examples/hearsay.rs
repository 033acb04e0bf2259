//! Measures in the simulation how reports that peers send by gossip help a router with little traffic, and
//! how much false reports cost: `cargo run --release -p woadhook-standins --example hearsay`. Each run gives
//! the same figures.

use woadhook::Span;
use woadhook_gossip::EngineCondition;
use woadhook_standins::cluster::secs;
use woadhook_standins::simulation::{EngineState, Simulation};

const SEEDS: u64 = 40;
const ENGINE_STATES: [EngineState; 2] = [EngineState::Silent, EngineState::Dead];

/// Returns figures of the router with little traffic over all seeds, for the ten seconds after an engine
/// fails: its dispatches to that engine, its jobs that were not done, and the mean and longest time of its
/// done jobs in milliseconds.
fn measure_quiet_router(rate: f64, state: EngineState, gossip: bool) -> (usize, usize, f64, f64) {
    let (mut dispatches, mut not_done, mut mean, mut longest) = (0, 0, 0.0, 0.0_f64);
    for seed in 0..SEEDS {
        let mut world = Simulation::new(seed, 6, &[42.0, 42.0, rate], gossip);
        world.load_interval = 4;
        world.run_for(secs(8.0));
        let changed_at = world.now();
        world.set_engine_state_after(Span::ZERO, 2, state);
        world.run_for(secs(16.0));
        assert_eq!(world.violations(), Vec::<String>::new());
        dispatches += world.dispatch_count(2, 2, changed_at, changed_at + secs(10.0));
        let [_, throttled, cancelled, _] = world.job_outcomes(2, changed_at, changed_at + secs(10.0));
        not_done += throttled + cancelled;
        let (mean_time, longest_time) = world.answer_times(2, changed_at, changed_at + secs(10.0));
        mean += mean_time.secs() * 1e3 / SEEDS as f64;
        longest = longest.max(longest_time.secs() * 1e3);
    }
    (dispatches, not_done, mean, longest)
}

/// Returns figures of ten seconds in which `false_reporters` members send false reports to 8 others: the
/// longest time in seconds in which an engine got no dispatch, and the number of jobs that were not done.
/// With `flapping`, the false reports alternate between silent and well.
fn measure_idle_time(false_reporters: usize, flapping: bool) -> (f64, usize) {
    let (mut longest_idle, mut not_done) = (0.0_f64, 0);
    for seed in 0..10 {
        let mut rates = vec![11.0; 8];
        rates.extend(vec![0.0; false_reporters]);
        let mut world = Simulation::new(seed, 6, &rates, true);
        world.run_for(secs(5.0));
        let from = world.now();
        for step in 0..20 {
            for reporter in 8..8 + false_reporters {
                for engine in 0..6 {
                    let condition = if flapping && step % 2 == 1 {
                        EngineCondition::Well
                    } else {
                        EngineCondition::Silent
                    };
                    world.cluster.with_core(reporter, |now, core| {
                        core.engine_judged(now, &format!("s-{engine}"), condition)
                    });
                }
            }
            world.run_for(secs(0.5));
        }
        assert_eq!(world.violations(), Vec::<String>::new());
        for engine in 0..6 {
            longest_idle = longest_idle.max(world.longest_idle(engine, from, world.now()).secs());
        }
        not_done += (0..8)
            .map(|router| world.job_outcomes(router, from, world.now()))
            .map(|[_, throttled, cancelled, _]| throttled + cancelled)
            .sum::<usize>();
    }
    (longest_idle, not_done)
}

fn main() {
    println!(
        "engine state | quiet router's jobs a second | gossip | dispatches to that engine | not done | mean ms | longest ms"
    );
    for state in ENGINE_STATES {
        for rate in [10.0, 3.0, 1.0, 0.3] {
            for gossip in [false, true] {
                let (dispatches, not_done, mean, longest) = measure_quiet_router(rate, state, gossip);
                println!(
                    "{state:?} | {rate} | {gossip} | {dispatches} | {not_done} | {mean:.0} | {longest:.0}"
                );
            }
        }
    }
    println!("false reporters among 8 others | on and off | longest idle of any engine, s | jobs not done");
    for (false_reporters, flapping) in [(0, false), (1, false), (1, true), (4, false), (4, true)] {
        let (longest_idle, not_done) = measure_idle_time(false_reporters, flapping);
        println!("{false_reporters} | {flapping} | {longest_idle:.2} | {not_done}");
    }
}
