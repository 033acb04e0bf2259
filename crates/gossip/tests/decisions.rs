//! Tests gossip together with the decision module: what the reports of other routers do to jobs and engines.

use proptest::prelude::*;
use woadhook::{EngineStatus, Span};
use woadhook_gossip::EngineCondition;
use woadhook_standins::cluster::secs;
use woadhook_standins::simulation::{EngineState, Simulation};

/// How long a healthy engine may stay idle because of a lying member: four contradictions, each of which
/// takes the time of a probe and a period.
const MAX_IDLE_FOR_FALSE_REPORTS: Span = Span::from_micros(4 * (250_000 + 200_000));

/// Returns how many jobs the router with little traffic sends to an engine in the 15 s from when it goes
/// silent, and how many jobs of that router end throttled or cancelled.
fn silent_engine(with_gossip: bool, seed: u64) -> (usize, usize) {
    let mut simulation = Simulation::new(seed, 6, &[30.0, 30.0, 30.0, 3.0], with_gossip);
    simulation.run_for(secs(10.0));
    let at = simulation.now();
    simulation.set_engine_state_after(Span::ZERO, 2, EngineState::Silent);
    simulation.run_for(secs(20.0));
    assert_eq!(simulation.violations(), Vec::<String>::new());
    let [_, throttled, cancelled, _] = simulation.job_outcomes(3, at, at + secs(15.0));
    (simulation.dispatch_count(2, 3, at, at + secs(15.0)), throttled + cancelled)
}

#[test]
fn a_router_with_little_traffic_learns_of_a_silent_engine_from_the_others() {
    let with: usize = (0..5).map(|seed| silent_engine(true, seed).0).sum();
    let without: usize = (0..5).map(|seed| silent_engine(false, seed).0).sum();
    assert!(with < without, "{with} dispatches to the silent engine with gossip, {without} without");
}

#[test]
fn a_lying_member_neither_idles_an_engine_nor_breaks_a_drain() {
    for flapping in [false, true] {
        let mut simulation = Simulation::new(1, 6, &[25.0, 25.0, 25.0, 0.0], true);
        simulation.run_for(secs(5.0));
        let from = simulation.now();
        for router in 0..4 {
            simulation.set_engine_status_after(secs(8.0), router, 5, EngineStatus::Draining);
        }
        for turn in 0..30 {
            for engine in 0..6 {
                let name = format!("s-{engine}");
                let condition =
                    if flapping && turn % 2 == 1 { EngineCondition::Well } else { EngineCondition::Silent };
                simulation.cluster.with_core(3, |now, core| core.engine_judged(now, &name, condition));
            }
            simulation.run_for(secs(0.7));
        }
        let to = simulation.now();
        for engine in 0..5 {
            let idle = simulation.longest_idle(engine, from, to);
            assert!(
                idle <= MAX_IDLE_FOR_FALSE_REPORTS,
                "engine {engine} was idle for {idle:?}, flapping {flapping}"
            );
        }
        assert_eq!(simulation.violations(), Vec::<String>::new());
        let [done, throttled, cancelled, _] = simulation.job_outcomes(0, from, to.back(1.0));
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
    let mut simulation = Simulation::new(2, 6, &rates, true);
    simulation.run_for(secs(5.0));
    let from = simulation.now();
    for _ in 0..20 {
        for liar in 8..12 {
            for engine in 0..6 {
                let name = format!("s-{engine}");
                simulation
                    .cluster
                    .with_core(liar, |now, core| core.engine_judged(now, &name, EngineCondition::Silent));
                simulation
                    .cluster
                    .with_core(liar, |now, core| core.engine_judged(now, &name, EngineCondition::Reset));
            }
        }
        simulation.run_for(secs(0.5));
    }
    for engine in 0..6 {
        let idle = simulation.longest_idle(engine, from, simulation.now());
        assert!(idle <= MAX_IDLE_FOR_FALSE_REPORTS, "engine {engine} was idle for {idle:?}");
    }
    assert_eq!(simulation.violations(), Vec::<String>::new());
}

#[test]
fn a_partition_with_a_drain_and_a_crash_breaks_no_rule_and_heals() {
    for (small, seed) in [(20, 3), (1, 4)] {
        let mut simulation = Simulation::new(seed, 8, &[2.5; 40], true);
        simulation.run_for(secs(3.0));
        let from = simulation.now();
        for node in 0..small {
            let address = simulation.cluster.nodes[39 - node].address;
            simulation.cluster.net.set_partition(address, 1);
        }
        // One side learns of a drain at once and the other when the partition heals. An engine crashes
        // meanwhile.
        for router in 0..40 {
            let late = if router >= 40 - small { 8.0 } else { 1.0 };
            simulation.set_engine_status_after(secs(late), router, 7, EngineStatus::Draining);
        }
        simulation.set_engine_state_after(secs(2.0), 6, EngineState::Dead);
        simulation.run_for(secs(8.0));
        simulation.cluster.net.end_partitions();
        simulation.set_engine_state_after(secs(4.0), 6, EngineState::Healthy);
        simulation.run_for(secs(12.0));
        assert_eq!(simulation.violations(), Vec::<String>::new());
        for engine in 0..6 {
            let idle = simulation.longest_idle(engine, from, simulation.now());
            assert!(idle <= secs(1.5), "engine {engine} was idle for {idle:?}");
        }
        let agreed = simulation.cluster.run_until(secs(20.0), |cluster| cluster.views_agree());
        assert!(agreed.is_some());
    }
}

#[test]
fn a_recovered_engine_is_used_again_despite_old_observations() {
    let mut simulation = Simulation::new(5, 4, &[20.0, 20.0, 2.0], true);
    simulation.run_for(secs(5.0));
    simulation.set_engine_state_after(Span::ZERO, 1, EngineState::Dead);
    simulation.set_engine_state_after(secs(6.0), 1, EngineState::Healthy);
    simulation.run_for(secs(40.0));
    let now = simulation.now();
    let idle = simulation.longest_idle(1, now.back(10.0), now);
    assert!(idle <= secs(2.0), "{idle:?}");
    assert_eq!(simulation.violations(), Vec::<String>::new());
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, failure_persistence: None, ..ProptestConfig::default() })]

    /// The decision module breaks none of its rules, whatever other routers report.
    #[test]
    fn no_peer_report_breaks_a_rule(
        seed in 0_u64..1000,
        reports in proptest::collection::vec((0_usize..3, 0_usize..4, proptest::option::of(0_usize..2), -2.0_f64..3.0), 1..80),
        dead in 0_usize..4, drained in 0_usize..4,
    ) {
        let mut simulation = Simulation::new(seed, 4, &[15.0, 15.0, 3.0], false);
        simulation.set_engine_state_after(secs(1.0), dead, EngineState::Silent);
        simulation.set_engine_state_after(secs(3.0), dead, EngineState::Healthy);
        (0..3).for_each(|router| simulation.set_engine_status_after(secs(1.5), router, drained, EngineStatus::Draining));
        for (router, engine, reservation_type, suspicion) in reports {
            simulation.peer_report(router, engine, reservation_type, suspicion);
            simulation.run_for(secs(0.05));
        }
        simulation.run_for(secs(9.0));
        prop_assert_eq!(simulation.violations(), Vec::<String>::new());
    }
}

/// Subtracts seconds from a moment.
trait Back {
    fn back(self, secs: f64) -> Self;
}

impl Back for woadhook::Moment {
    fn back(self, by: f64) -> Self {
        let since = self.since(woadhook::Moment::default());
        woadhook::Moment::from_micros(since.saturating_sub(secs(by)).micros())
    }
}
