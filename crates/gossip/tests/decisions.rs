//! Stories of routers that gossip, with the real decision module behind each: what hearsay does to jobs and engines.

use proptest::prelude::*;
use woadhook::{EngineStatus, Span};
use woadhook_gossip::EngineCondition;
use woadhook_standins::cluster::secs;
use woadhook_standins::world::{Fate, World};

/// How long a well engine may stand idle for a liar's sake: four contradictions, each the time of a probe and a period.
const IDLE_FOR_A_LIAR: Span = Span::from_micros(4 * (250_000 + 200_000));

/// Sends of the quiet router to an engine from a while after that went silent, and what became of that router's jobs.
fn silent_engine(talks: bool, seed: u64) -> (usize, usize) {
    let mut world = World::new(seed, 6, &[30.0, 30.0, 30.0, 3.0], talks);
    world.pass(secs(10.0));
    let at = world.now();
    world.turns(Span::ZERO, 2, Fate::Silent);
    world.pass(secs(20.0));
    assert_eq!(world.broken(), Vec::<String>::new());
    let [_, throttled, cancelled, _] = world.tally(3, at, at + secs(15.0));
    (world.sends(2, 3, at, at + secs(15.0)), throttled + cancelled)
}

#[test]
fn a_router_with_little_traffic_learns_of_a_silent_engine_from_the_others() {
    let with: usize = (0..5).map(|seed| silent_engine(true, seed).0).sum();
    let without: usize = (0..5).map(|seed| silent_engine(false, seed).0).sum();
    assert!(with < without, "{with} dispatches into the silence with gossip, {without} without");
}

#[test]
fn a_lone_liar_keeps_no_engine_idle_and_no_drain_is_broken() {
    for flapping in [false, true] {
        let mut world = World::new(1, 6, &[25.0, 25.0, 25.0, 0.0], true);
        world.pass(secs(5.0));
        let from = world.now();
        for router in 0..4 {
            world.lists(secs(8.0), router, 5, EngineStatus::Draining);
        }
        for turn in 0..30 {
            for engine in 0..6 {
                let name = format!("s-{engine}");
                let seen =
                    if flapping && turn % 2 == 1 { EngineCondition::Well } else { EngineCondition::Silent };
                world.cluster.at(3, |now, core| core.engine_judged(now, &name, seen));
            }
            world.pass(secs(0.7));
        }
        let to = world.now();
        for engine in 0..5 {
            let idle = world.idle(engine, from, to);
            assert!(idle <= IDLE_FOR_A_LIAR, "engine {engine} stood idle for {idle:?}, flapping {flapping}");
        }
        assert_eq!(world.broken(), Vec::<String>::new());
        let [done, throttled, cancelled, _] = world.tally(0, from, to.back(1.0));
        assert!(
            throttled + cancelled <= done / 100,
            "{done} done, {throttled} throttled, {cancelled} cancelled"
        );
    }
}

#[test]
fn a_third_of_all_members_lying_keeps_no_engine_idle() {
    let mut rates = vec![12.0; 8];
    rates.extend([0.0; 4]);
    let mut world = World::new(2, 6, &rates, true);
    world.pass(secs(5.0));
    let from = world.now();
    for _ in 0..20 {
        for liar in 8..12 {
            for engine in 0..6 {
                let name = format!("s-{engine}");
                world.cluster.at(liar, |now, core| core.engine_judged(now, &name, EngineCondition::Silent));
                world.cluster.at(liar, |now, core| core.engine_judged(now, &name, EngineCondition::Reset));
            }
        }
        world.pass(secs(0.5));
    }
    for engine in 0..6 {
        let idle = world.idle(engine, from, world.now());
        assert!(idle <= IDLE_FOR_A_LIAR, "engine {engine} stood idle for {idle:?}");
    }
    assert_eq!(world.broken(), Vec::<String>::new());
}

#[test]
fn a_partition_with_a_drain_and_a_crash_on_either_side_breaks_nothing_and_heals() {
    for (small, seed) in [(20, 3), (1, 4)] {
        let mut world = World::new(seed, 8, &[2.5; 40], true);
        world.pass(secs(3.0));
        let from = world.now();
        for node in 0..small {
            let place = world.cluster.nodes[39 - node].address;
            world.cluster.net.part(place, 1);
        }
        // One side is told of a drain at once, the other when the partition heals; an engine crashes meanwhile.
        for router in 0..40 {
            let late = if router >= 40 - small { 8.0 } else { 1.0 };
            world.lists(secs(late), router, 7, EngineStatus::Draining);
        }
        world.turns(secs(2.0), 6, Fate::Dead);
        world.pass(secs(8.0));
        world.cluster.net.heal();
        world.turns(secs(4.0), 6, Fate::Well);
        world.pass(secs(12.0));
        assert_eq!(world.broken(), Vec::<String>::new());
        for engine in 0..6 {
            let idle = world.idle(engine, from, world.now());
            assert!(idle <= secs(1.5), "engine {engine} stood idle for {idle:?}");
        }
        let agreed = world.cluster.until(secs(20.0), |cluster| cluster.agree());
        assert!(agreed.is_some());
    }
}

#[test]
fn an_engine_that_comes_back_is_used_again_though_words_on_it_linger() {
    let mut world = World::new(5, 4, &[20.0, 20.0, 2.0], true);
    world.pass(secs(5.0));
    world.turns(Span::ZERO, 1, Fate::Dead);
    world.turns(secs(6.0), 1, Fate::Well);
    world.pass(secs(40.0));
    let now = world.now();
    let idle = world.idle(1, now.back(10.0), now);
    assert!(idle <= secs(2.0), "{idle:?}");
    assert_eq!(world.broken(), Vec::<String>::new());
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, failure_persistence: None, ..ProptestConfig::default() })]

    /// The rules hold with any hearsay whatever.
    #[test]
    fn no_hearsay_breaks_a_rule(
        seed in 0_u64..1000,
        whispers in proptest::collection::vec((0_usize..3, 0_usize..4, proptest::option::of(0_usize..2), -2.0_f64..3.0), 1..80),
        dead in 0_usize..4, drained in 0_usize..4,
    ) {
        let mut world = World::new(seed, 4, &[15.0, 15.0, 3.0], false);
        world.turns(secs(1.0), dead, Fate::Silent);
        world.turns(secs(3.0), dead, Fate::Well);
        (0..3).for_each(|router| world.lists(secs(1.5), router, drained, EngineStatus::Draining));
        for (router, engine, of, doubt) in whispers {
            world.whisper(router, engine, of, doubt);
            world.pass(secs(0.05));
        }
        world.pass(secs(9.0));
        prop_assert_eq!(world.broken(), Vec::<String>::new());
    }
}

/// Moments count back in seconds here.
trait Back {
    fn back(self, secs: f64) -> Self;
}

impl Back for woadhook::Moment {
    fn back(self, by: f64) -> Self {
        let since = self.since(woadhook::Moment::default());
        woadhook::Moment::from_micros(since.saturating_sub(secs(by)).micros())
    }
}
