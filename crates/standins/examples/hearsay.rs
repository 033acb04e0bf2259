//! What hearsay does for a router with little traffic, and what a liar costs, in the virtual world: `cargo run --release
//! -p woadhook-standins --example hearsay`. One command, same figures each time.

use woadhook::Span;
use woadhook_gossip::EngineCondition;
use woadhook_standins::cluster::secs;
use woadhook_standins::simulation::{EngineState, Simulation};

const SEEDS: u64 = 40;
const FATES: [EngineState; 2] = [EngineState::Silent, EngineState::Dead];

/// Over all seeds: dispatches of the quiet router to the engine that went bad, its jobs that were not done, and its mean
/// and longest time of done jobs in milliseconds, in the ten seconds after.
fn quiet(rate: f64, fate: EngineState, talks: bool) -> (usize, usize, f64, f64) {
    let (mut sends, mut lost, mut mean, mut longest) = (0, 0, 0.0, 0.0_f64);
    for seed in 0..SEEDS {
        let mut world = Simulation::new(seed, 6, &[42.0, 42.0, rate], talks);
        world.load_interval = 4;
        world.run_for(secs(8.0));
        let at = world.now();
        world.set_engine_state_after(Span::ZERO, 2, fate);
        world.run_for(secs(16.0));
        assert_eq!(world.violations(), Vec::<String>::new());
        sends += world.dispatch_count(2, 2, at, at + secs(10.0));
        let [_, throttled, cancelled, _] = world.job_outcomes(2, at, at + secs(10.0));
        lost += throttled + cancelled;
        let (usual, most) = world.answer_times(2, at, at + secs(10.0));
        mean += usual.secs() * 1e3 / SEEDS as f64;
        longest = longest.max(most.secs() * 1e3);
    }
    (sends, lost, mean, longest)
}

/// The longest that any engine stood idle in ten seconds, with so many liars among so many others, and jobs not done.
fn idle(liars: usize, flapping: bool) -> (f64, usize) {
    let (mut worst, mut lost) = (0.0_f64, 0);
    for seed in 0..10 {
        let mut rates = vec![11.0; 8];
        rates.extend(vec![0.0; liars]);
        let mut world = Simulation::new(seed, 6, &rates, true);
        world.run_for(secs(5.0));
        let from = world.now();
        for turn in 0..20 {
            for liar in 8..8 + liars {
                for engine in 0..6 {
                    let seen = if flapping && turn % 2 == 1 {
                        EngineCondition::Well
                    } else {
                        EngineCondition::Silent
                    };
                    world
                        .cluster
                        .with_core(liar, |now, core| core.engine_judged(now, &format!("s-{engine}"), seen));
                }
            }
            world.run_for(secs(0.5));
        }
        assert_eq!(world.violations(), Vec::<String>::new());
        for engine in 0..6 {
            worst = worst.max(world.longest_idle(engine, from, world.now()).secs());
        }
        lost += (0..8)
            .map(|router| world.job_outcomes(router, from, world.now()))
            .map(|[_, t, c, _]| t + c)
            .sum::<usize>();
    }
    (worst, lost)
}

fn main() {
    println!(
        "fate | quiet router's jobs a second | gossip | sends to the bad engine | not done | mean ms | longest ms"
    );
    for fate in FATES {
        for rate in [10.0, 3.0, 1.0, 0.3] {
            for talks in [false, true] {
                let (sends, lost, mean, longest) = quiet(rate, fate, talks);
                println!("{fate:?} | {rate} | {talks} | {sends} | {lost} | {mean:.0} | {longest:.0}");
            }
        }
    }
    println!("liars among 8 others | on and off | longest idle of any engine, s | jobs not done");
    for (liars, flapping) in [(0, false), (1, false), (1, true), (4, false), (4, true)] {
        let (worst, lost) = idle(liars, flapping);
        println!("{liars} | {flapping} | {worst:.2} | {lost}");
    }
}
