//! Scenario tests of the decision module, one for each condition of a dispatch and each known failure.

mod host;
mod many_engines;

use host::*;
use woadhook::*;

fn other(engine: EngineId) -> EngineId {
    EngineId(1 - engine.0)
}

#[test]
fn job_gets_exactly_one_final_answer_immediately() {
    let mut host = Host::new(|_| ());
    host.list_engine(0, EngineStatus::Draining, None);
    host.list_engine(1, EngineStatus::Draining, None);
    let job = host.job(LOOKUP, 1);
    host.advance(3_000);
    assert_eq!(host.throttled, [job]);
    host.list_engine(0, EngineStatus::Live, None);
    host.advance(1_000);
    assert!(host.sent.is_empty() && host.cancelled_for_good.is_empty());
    assert_eq!(host.forgotten, [Forgotten::Job(job)]);
}

#[test]
fn run_once_job_that_may_have_run_is_cancelled_for_good_not_throttled() {
    for outcome in [Outcome::TimedOut, Outcome::Reset, Outcome::Error, Outcome::Cancelled] {
        let mut host = Host::new(|_| ());
        let job = host.job(LOAD, 1);
        host.pull();
        host.end(job, 0, outcome, 50);
        assert_eq!(
            (host.sent.len(), host.cancelled_for_good.as_slice()),
            (1, [job].as_slice()),
            "{outcome:?}"
        );
        assert!(host.throttled.is_empty());
    }
}

#[test]
fn run_once_job_that_never_ran_is_dispatched_again() {
    for outcome in [Outcome::TurnedAway, Outcome::NotConnected] {
        let mut host = Host::new(|_| ());
        let job = host.job(LOAD, 1);
        host.pull();
        host.end(job, 0, outcome, 50);
        assert_eq!(host.engines_of(job).len(), 2, "{outcome:?}");
    }
}

/// Guards against dispatching a job again and again whose client is not heard.
#[test]
fn job_of_an_unheard_client_is_given_up_once_its_dispatch_was_not_sent() {
    for (earlier, throttled) in [(Outcome::TurnedAway, true), (Outcome::Error, false)] {
        let mut host = Host::new(|start| {
            start.types[LOAD.0].effect = Effect::Keyed { scope: Scope::Zone, window: ms(5_000) }
        });
        let job = host.job(LOAD, 1);
        host.pull();
        host.end(job, 0, earlier, 50);
        host.router.client_unheard(job);
        host.end(job, 1, Outcome::NotIssued, 100);
        let given_up = (host.engines_of(job).len(), host.throttled.len(), host.cancelled_for_good.len());
        assert_eq!(given_up, (2, usize::from(throttled), usize::from(!throttled)), "{earlier:?}");
    }
}

#[test]
fn repeat_of_a_keyed_job_states_the_time_before_which_it_must_begin() {
    let keyed = Effect::Keyed { scope: Scope::All, window: ms(500) };
    for (effect, states_limit) in [(keyed, true), (Effect::Restartable, false)] {
        let mut host = Host::new(|start| start.types[0].effect = effect);
        let (job, first) = (host.job(LOOKUP, 1), host.now);
        host.pull();
        host.now = host.now + ms(100);
        host.end(job, 0, Outcome::TimedOut, 100);
        assert_eq!(host.repeat_deadlines, [None, states_limit.then(|| first + ms(500))]);
    }
}

#[test]
fn keyed_job_that_may_have_run_repeats_only_in_its_scope_and_window() {
    let keyed = |scope| Effect::Keyed { scope, window: ms(500) };
    for scope in [Scope::Zone, Scope::Cell] {
        let mut host = Host::new(|start| start.types[0].effect = keyed(scope));
        let job = host.job(LOOKUP, 1);
        host.pull();
        let first = host.sent[0].1;
        host.list_engine(first.0, EngineStatus::Draining, None);
        host.end(job, 0, Outcome::TimedOut, 50);
        assert_eq!(host.sent.len(), 1, "only an engine in its scope may get it, and that one drains");
        host.list_engine(first.0, EngineStatus::Live, None);
        host.pull();
        assert_eq!(host.engines_of(job), [first, first]);
        host.end(job, 1, Outcome::NotConnected, 50);
        host.advance(600);
        assert_eq!((host.sent.len(), host.cancelled_for_good.as_slice()), (2, [job].as_slice()));
        assert!(host.throttled.is_empty());
    }
    let mut host = Host::new(|start| start.types[0].effect = keyed(Scope::All));
    let job = host.job(LOOKUP, 1);
    host.pull();
    host.end(job, 0, Outcome::TimedOut, 50);
    host.list_engine(0, EngineStatus::Draining, None);
    host.list_engine(1, EngineStatus::Draining, None);
    host.end(job, 1, Outcome::NotConnected, 50);
    host.advance(600);
    assert_eq!((host.throttled.as_slice(), host.cancelled_for_good.len()), ([job].as_slice(), 0));
}

#[test]
fn no_dispatch_to_a_draining_or_gone_engine() {
    for listed in [EngineStatus::Draining, EngineStatus::Gone] {
        let mut host = Host::new(|_| ());
        host.list_engine(0, listed, None);
        for _ in 0..4 {
            host.job(LOOKUP, 1);
        }
        host.pull();
        assert!(host.sent.len() == 4 && host.sent.iter().all(|(_, engine, _)| *engine == E1), "{listed:?}");
    }
}

#[test]
fn list_on_request_is_requested_again_after_a_failure() {
    let mut host = Host::new(|start| start.monitoring.max_list_age = Some(ms(1_000)));
    host.pull();
    assert_eq!(host.list_requests, 1);
    host.router.list_changed();
    host.router.list_unavailable();
    host.now = host.now + ms(2_000);
    host.pull();
    assert_eq!(host.list_requests, 2, "the list is requested again after a failure");
    host.router.list_changed();
    host.advance(5_000);
    assert_eq!(host.list_requests, 2);
}

#[test]
fn cold_engine_gets_at_most_this_routers_part_in_any_window() {
    let mut host = Host::new(|start| start.fleet.router_count = 2);
    host.list_engine(0, EngineStatus::Gone, None);
    host.pull();
    host.now = host.now + ms(10_000);
    host.list_engine(1, EngineStatus::Live, Some(host.now));
    let (started, mut sent) = (host.now, vec![]);
    for _ in 0..100 {
        host.job(LOOKUP, 1);
        host.pull();
        for (job, ..) in std::mem::take(&mut host.sent) {
            sent.push(host.now);
            host.end(job, 0, Outcome::Done, 20);
        }
        host.now = host.now + ms(40);
    }
    assert!(sent.len() >= 5, "the engine is used: {}", sent.len());
    for from in &sent {
        let within = sent.iter().filter(|at| *at >= from && at.since(*from) < ms(2_000)).count() as f64;
        // The overload factor is 2, the engine has 8 cores (a quarter at the start, all after 15 s), a window
        // has 2 s and a job 0.1 s of work. Half of the budget is this router's.
        let able = 0.25 + 0.75 * from.since(started).secs() / 15.0;
        let max = 2.0 * 8.0 * able * 2.0 / 0.1 / 2.0;
        assert!(within <= max, "{within} jobs in a window, its part is {max}");
    }
}

#[test]
fn key_in_doubt_is_blocked_until_settled_and_then_pauses() {
    let mut host = Host::new(|start| {
        (start.types[0].ordered, start.types[0].effect) = (true, Effect::RunOnce);
        start.retry_limits.key_pause = ms(400);
    });
    let first = host.job_of(LOOKUP, 1, None, Some(3), 50);
    let second = host.job_of(LOOKUP, 1, None, Some(3), 50);
    host.pull();
    host.router.key_in_doubt(KeyId(3));
    host.end(first, 0, Outcome::Reset, 50);
    assert_eq!(host.cancelled_for_good, [first]);
    host.advance(600);
    assert!(host.engines_of(second).is_empty(), "its engine may still run the first job");
    host.router.key_settled(host.now, KeyId(3));
    host.advance(380);
    assert!(host.engines_of(second).is_empty(), "the key pauses");
    host.advance(40);
    assert_eq!(host.engines_of(second).len(), 1);
    host.end(second, 0, Outcome::Done, 50);
    host.advance(40);
    assert!(host.forgotten.contains(&Forgotten::Key(KeyId(3))));
}

/// Guards against releasing an index that is in use again: a job of the key, or a line of the engine, arrives
/// after its record was removed and before the host is told to forget the index.
#[test]
fn an_index_that_is_in_use_again_is_not_forgotten() {
    let mut host = Host::new(|start| {
        (start.types[0].ordered, start.types[0].effect) = (true, Effect::RunOnce);
    });
    let (key, work, too_much_work) = (Some(3), 50, 100_000);
    let first = host.job_of(LOOKUP, 1, None, key, work);
    host.pull();
    let unused = other(host.engines_of(first)[0]);
    host.router.dispatch_ended(host.now, first, 0, Outcome::Done, ms(work), None, true);
    host.list_engine(unused.0, EngineStatus::Gone, None);
    // The decision to refuse this job comes before those to forget indices.
    let refused = host.job_of(LOAD, 1, None, None, too_much_work);
    let decision = host.router.next_decision(host.now);
    assert!(matches!(decision, Some(Decision::Throttle { job, .. }) if job == refused), "{decision:?}");
    let second = host.job_of(LOOKUP, 1, None, key, work);
    host.list_engine(unused.0, EngineStatus::Live, None);
    host.pull();
    assert!(!host.forgotten.contains(&Forgotten::Key(KeyId(3))));
    assert!(!host.forgotten.contains(&Forgotten::Engine(unused)));
    assert_eq!(host.engines_of(second).len(), 1);
    host.end(second, 0, Outcome::Done, work);
    host.list_engine(unused.0, EngineStatus::Gone, None);
    host.advance(40);
    let times_forgotten = |index| host.forgotten.iter().filter(|forgotten| **forgotten == index).count();
    assert_eq!(times_forgotten(Forgotten::Key(KeyId(3))), 1);
    assert_eq!(times_forgotten(Forgotten::Engine(unused)), 1);
}

/// Threat: as the capacity of a cold engine grows, more routers share a window. If their number were
/// recomputed within a window, other routers would send beside those that have already used it.
#[test]
fn twenty_and_thirty_routers_together_keep_to_a_cold_engines_capacity() {
    for all in [20, 30] {
        let member = |number| {
            let mut host =
                Host::new(|start| (start.fleet.router_count, start.fleet.router_index) = (all, number));
            host.list_engine(0, EngineStatus::Gone, None);
            // The engine starts some time after the routers and not at the boundary of one of their windows.
            host.now = host.now + ms(10_700);
            host.list_engine(1, EngineStatus::Live, Some(host.now));
            host
        };
        let mut hosts: Vec<Host> = (0..all).map(member).collect();
        let (start, mut sent) = (hosts[0].now, vec![]);
        for _ in 0..700 {
            for host in &mut hosts {
                host.job(LOOKUP, 1);
                host.pull();
                for (job, ..) in std::mem::take(&mut host.sent) {
                    sent.push(host.now);
                    host.end(job, 0, Outcome::Done, 20);
                }
                host.now = host.now + ms(20);
            }
        }
        assert!(sent.len() > 300, "the engine is used: {}", sent.len());
        for (index, from) in sent.iter().enumerate() {
            let count = sent[index..].iter().take_while(|at| at.since(*from) < ms(2_000)).count() as f64;
            // The overload factor is 2, the engine has 8 cores (a quarter at the start, all after 15 s), a
            // window has 2 s and a job 0.1 s of work.
            let able = 0.25 + 0.75 * (from.since(start).secs() / 15.0).min(1.0);
            let max = 2.0 * 8.0 * able * 2.0 / 0.1;
            assert!(
                count <= max + 2.0 * max.sqrt() + 2.0,
                "{count} in a window, {max} are allowed, {all} routers"
            );
        }
    }
}

/// Threat: wall clocks that differ. If turns depended on them, routers whose clocks differ by whole windows
/// would all have the same turn.
#[test]
fn routers_with_different_clocks_together_keep_to_a_cold_engines_budget() {
    const ALL: usize = 4;
    let mut sent = vec![];
    for number in 0..ALL {
        let mut host =
            Host::new(|start| (start.fleet.router_count, start.fleet.router_index) = (ALL, number));
        host.list_engine(0, EngineStatus::Gone, None);
        host.now = host.now + ms(10_700 + 2_000 * number as u64);
        host.list_engine(1, EngineStatus::Live, Some(host.now));
        let learned_at = host.now;
        for _ in 0..300 {
            host.job(LOOKUP, 1);
            host.pull();
            for (job, ..) in std::mem::take(&mut host.sent) {
                sent.push(host.now.since(learned_at));
                host.end(job, 0, Outcome::Done, 20);
            }
            host.now = host.now + ms(20);
        }
    }
    assert!(sent.len() > 100, "the engine is used: {}", sent.len());
    for from in &sent {
        let within =
            sent.iter().filter(|at| *at >= from && at.saturating_sub(*from) < ms(2_000)).count() as f64;
        // The overload factor is 2, the engine has 8 cores (a quarter at the start, all after 15 s), a window
        // has 2 s and a job 0.1 s of work.
        let max = 2.0 * 8.0 * (0.25 + 0.75 * from.secs() / 15.0) * 2.0 / 0.1;
        assert!(within <= max + 2.0 * max.sqrt() + 2.0, "{within} in a window, {max} are allowed");
    }
}

#[test]
fn restarted_router_waits_one_window_before_dispatching_to_a_cold_engine() {
    let mut host = Host::new(|_| ());
    host.list_engine(0, EngineStatus::Gone, None);
    host.list_engine(1, EngineStatus::Live, Some(host.now));
    host.job(LOOKUP, 1);
    host.advance(900);
    assert!(host.sent.is_empty());
    host.advance(1_200);
    let job = host.job_of(LOOKUP, 1, None, None, 20);
    host.pull();
    assert_eq!(host.engines_of(job), [E1]);
}

#[test]
fn jobs_of_one_key_run_in_order_with_a_pause_after_a_timeout() {
    let mut host = Host::new(|start| {
        start.types[0].ordered = true;
        start.retry_limits.key_pause = ms(400);
        start.retry_limits.max_dispatches = 1;
    });
    let big = host.job_of(LOOKUP, 1, None, Some(3), 200);
    let small = host.job_of(LOOKUP, 1, None, Some(3), 10);
    let free = host.job_of(LOOKUP, 1, None, Some(4), 10);
    host.pull();
    assert!(host.engines_of(small).is_empty(), "an earlier job of the key is in flight");
    assert_eq!((host.engines_of(big).len(), host.engines_of(free).len()), (1, 1));
    host.end(big, 0, Outcome::TimedOut, 100);
    host.advance(380);
    assert!(host.engines_of(small).is_empty(), "the key pauses");
    host.advance(60);
    assert_eq!(host.engines_of(small).len(), 1);
}

#[test]
fn type_bound_to_a_zone_or_kind_is_throttled_when_its_engines_are_down() {
    let bind: [fn(&mut ReservationType); 2] =
        [|t| t.zones = Some(vec![ZoneId(0)]), |t| t.kinds = Some(vec![KindId(0)])];
    for bind in bind {
        let mut host = Host::new(|start| bind(&mut start.types[0]));
        let first = host.job(LOOKUP, 1);
        host.pull();
        assert_eq!(host.engines_of(first), [E0]);
        host.list_engine(0, EngineStatus::Draining, None);
        host.end(first, 0, Outcome::NotConnected, 50);
        host.advance(3_000);
        assert_eq!((host.sent.len(), host.throttled.as_slice()), (1, [first].as_slice()));
    }
}

#[test]
fn retries_stay_within_the_retry_budget() {
    let retry_budget = Some(RetryBudget { free_retries: 1.0, retry_ratio: 0.1, window: ms(1_000) });
    let mut host = Host::new(|start| start.retry_limits.retry_budget = retry_budget);
    let jobs: Vec<JobId> = (0..3).map(|_| host.job(LOOKUP, 1)).collect();
    host.pull();
    for job in &jobs {
        host.end(*job, 0, Outcome::Error, 10);
    }
    assert_eq!(host.sent.len(), 4, "one retry for three accepted jobs");
}

#[test]
fn dispatches_and_concurrent_dispatches_stay_within_the_settings() {
    let mut host = Host::new(|start| start.retry_limits.max_dispatches = 2);
    let job = host.job(LOOKUP, 1);
    host.pull();
    host.end(job, 0, Outcome::Error, 10);
    host.end(job, 1, Outcome::Error, 10);
    assert_eq!((host.sent.len(), host.throttled.as_slice()), (2, [job].as_slice()));
    for (concurrent_dispatches, max_dispatches) in [(false, 4), (true, 1)] {
        let mut host = Host::new(|start| {
            start.retry_limits = RetryLimits {
                concurrent_dispatches,
                max_dispatches,
                can_cancel: false,
                ..start.retry_limits.clone()
            };
        });
        host.job(LOOKUP, 1);
        host.advance(900);
        assert_eq!(
            host.sent.len(),
            1,
            "concurrent dispatches {concurrent_dispatches}, at most {max_dispatches} dispatches"
        );
    }
}

#[test]
fn dead_engine_in_a_stale_list_is_set_aside_after_a_failed_connection() {
    let mut host = Host::new(|_| ());
    let job = host.job(LOOKUP, 1);
    host.pull();
    let dead = host.sent[0].1;
    host.end(job, 0, Outcome::NotConnected, 250);
    assert_eq!(host.engines_of(job), [dead, other(dead)]);
    let next = host.job(LOOKUP, 2);
    host.pull();
    assert_eq!(host.engines_of(next), [other(dead)], "the dead engine is set aside");
}

#[test]
fn silent_engine_is_set_aside_and_returns_cold_after_answered_probes() {
    let mut host = Host::new(|start| start.retry_limits.can_cancel = false);
    host.job_of(LOAD, 1, None, None, 100);
    host.pull();
    let silent = host.sent[0].1;
    host.advance(3_000);
    assert!(host.probed.contains(&silent));
    let job = host.job_of(LOOKUP, 1, None, None, 50);
    host.pull();
    assert_eq!(host.engines_of(job), [other(silent)]);
    host.end(job, 0, Outcome::Done, 50);
    host.list_engine(other(silent).0, EngineStatus::Draining, None);
    host.router.probe_ended(host.now, silent, Outcome::Done);
    host.advance(600);
    assert_eq!(*host.probed.last().unwrap(), silent);
    host.router.probe_ended(host.now, silent, Outcome::Done);
    let heavy = host.job_of(LOOKUP, 1, None, None, 50_000);
    let light: Vec<JobId> = (0..100).map(|_| host.job_of(LOOKUP, 1, None, None, 50)).collect();
    host.pull();
    assert!(host.engines_of(heavy).is_empty());
    let sent = light.iter().filter(|job| !host.engines_of(**job).is_empty()).count();
    assert!(sent < 10, "{sent} jobs on a cold engine");
}

#[test]
fn probe_that_was_never_sent_does_not_set_its_engine_aside() {
    let mut host = Host::new(|_| ());
    for outcome in [Outcome::NotIssued, Outcome::TimedOut] {
        let job = host.job(LOOKUP, 1);
        host.pull();
        let engine = host.engines_of(job)[0];
        host.router.probe_ended(host.now, engine, outcome);
        host.pull();
        // The dispatches of an engine that is set aside are cancelled.
        assert_eq!(host.cancelled_dispatches.contains(&(job, 0)), outcome == Outcome::TimedOut);
    }
}

#[test]
fn loads_of_a_table_group_use_at_most_half_of_the_engines() {
    let mut host = Host::new(|start| start.fleet.cross_zone_cost = 0.0);
    host.list_engine(2, EngineStatus::Live, None);
    host.list_engine(3, EngineStatus::Live, None);
    let loads = [(); 6].map(|()| host.job(LOAD, 1));
    host.pull();
    let mut load_engines: Vec<EngineId> = host.sent.iter().map(|(_, engine, _)| *engine).collect();
    load_engines.sort();
    load_engines.dedup();
    assert_eq!((host.sent.len(), load_engines.len()), (2, 2));
    let lookups = [(); 8].map(|()| host.job(LOOKUP, 1));
    host.pull();
    assert!(
        lookups.iter().all(|job| host.engines_of(*job).iter().all(|engine| !load_engines.contains(engine)))
    );
    // When one load ends, the next load of the group goes to the same engine.
    let (first, engine, _) = host.sent[0];
    host.end(first, 0, Outcome::Done, 50);
    let next = loads.iter().filter(|job| **job != first && host.engines_of(**job) == [engine]);
    assert_eq!(next.count(), 1);
}

#[test]
fn engine_that_fails_a_type_quickly_does_not_attract_it_and_is_retried_later() {
    let mut host = Host::new(|start| start.fleet.cross_zone_cost = 0.0);
    let mut failed = 0;
    for group in 0..40 {
        // By its reports the engine is idle, and loads succeed there.
        host.report(E0, 0.0);
        host.report(E1, 6.0);
        let load = host.job(LOAD, group);
        host.pull();
        host.end(load, 0, Outcome::Done, 100);
        let job = host.job(LOOKUP, group);
        host.pull();
        while *host.engines_of(job).last().unwrap() == E0 {
            failed += 1;
            host.end(job, host.engines_of(job).len() - 1, Outcome::Error, 3);
        }
        host.end(job, host.engines_of(job).len() - 1, Outcome::Done, 100);
        host.advance(100);
    }
    assert!((1..16).contains(&failed), "{failed} look-ups failed at the engine");
    host.advance(20_000);
    host.report(E0, 0.0);
    host.report(E1, 6.0);
    let later = host.job(LOOKUP, 50);
    host.pull();
    assert_eq!(host.engines_of(later), [E0]);
}

#[test]
fn stopping_host_answers_its_jobs_before_the_deadline() {
    let mut host = Host::new(|_| ());
    let [light, load, heavy] = [(LOOKUP, 100), (LOAD, 100), (LOOKUP, 6_000)].map(|(kind, work)| {
        let job = host.job_of(kind, 1, None, None, work);
        host.pull();
        job
    });
    host.router.stop_by(host.now + ms(500));
    host.pull();
    assert!(host.throttled.is_empty() && host.cancelled_for_good.is_empty());
    host.advance(540);
    assert_eq!((host.throttled, host.cancelled_for_good), (vec![light, heavy], vec![load]));
}

#[test]
fn restarted_engine_has_no_warm_table_groups() {
    let mut host = Host::new(|start| start.fleet.cross_zone_cost = 0.0);
    let first = host.job(LOOKUP, 1);
    host.pull();
    let warm = host.sent[0].1;
    host.end(first, 0, Outcome::Done, 100);
    host.now = host.now + ms(3_000);
    host.list_engine(warm.0, EngineStatus::Live, Some(host.now));
    host.report(warm, 1.0);
    host.report(other(warm), 0.9);
    let next = host.job(LOOKUP, 1);
    host.pull();
    assert_eq!(host.engines_of(next), [other(warm)]);
}

#[test]
fn engine_choice_follows_reports_and_later_own_dispatches() {
    let mut host = Host::new(|start| start.fleet.cross_zone_cost = 0.0);
    host.report(E0, 10.0);
    host.report(E1, 8.5);
    let jobs: Vec<JobId> = (0..4).map(|group| host.job(LOOKUP, group)).collect();
    host.pull();
    let to = |engine| jobs.iter().filter(|job| host.engines_of(**job) == [engine]).count();
    assert!((to(E0), to(E1)) == (1, 3) || (to(E0), to(E1)) == (2, 2), "{:?}", host.sent);
    assert_eq!(host.sent[0].1, E1);
    let (late, mut host) = (E0, host);
    host.report(late, 0.0);
    let next = host.job(LOOKUP, 9);
    host.pull();
    assert_eq!(host.engines_of(next), [late], "a late report counts when it arrives");
}

#[test]
fn engines_without_a_report_count_as_average() {
    let mut host = Host::new(|start| start.fleet.cross_zone_cost = 0.0);
    host.list_engine(2, EngineStatus::Live, None);
    host.report(E0, 12.0);
    host.report(E1, 2.0);
    let (first, second) = (host.job(LOOKUP, 1), host.job(LOOKUP, 2));
    host.pull();
    assert_eq!((host.engines_of(first), host.engines_of(second)), (vec![E1], vec![E1]));
    host.list_engine(1, EngineStatus::Draining, None);
    let third = host.job(LOOKUP, 3);
    host.pull();
    assert_eq!(host.engines_of(third), [EngineId(2)]);
}

#[test]
fn warm_engine_is_preferred_until_own_threads_fill_it() {
    let mut host = Host::new(|start| {
        start.types.truncate(1);
        start.fleet.cross_zone_cost = 0.0;
        start.fleet.router_count = 4;
    });
    let first = host.job(LOOKUP, 1);
    host.pull();
    let warm = host.sent[0].1;
    host.end(first, 0, Outcome::Done, 100);
    host.report(warm, 5.0);
    host.report(other(warm), 4.0);
    let next = host.job(LOOKUP, 1);
    host.pull();
    assert_eq!(host.engines_of(next), [warm]);
    for _ in 0..40 {
        let pair = [host.job(LOOKUP, 1), host.job(LOOKUP, 1)];
        host.pull();
        for job in pair {
            host.end(job, 0, Outcome::Done, 100);
        }
    }
    host.list_engine(other(warm).0, EngineStatus::Draining, None);
    for _ in 0..2 {
        host.job(LOOKUP, 1);
    }
    host.pull();
    host.list_engine(other(warm).0, EngineStatus::Live, None);
    host.report(warm, 5.0);
    host.report(other(warm), 4.0);
    let last = host.job(LOOKUP, 1);
    host.pull();
    assert_eq!(host.engines_of(last), [other(warm)]);
}

#[test]
fn work_beyond_the_in_flight_limit_waits_and_bad_outcomes_lower_the_limit() {
    let mut host = Host::new(|_| ());
    let jobs: Vec<JobId> = (0..40).map(|_| host.job(LOOKUP, 1)).collect();
    host.pull();
    assert_eq!(host.sent.len(), 24, "one thread per core, plus two square roots of the cores for bursts");
    for (job, ..) in std::mem::take(&mut host.sent) {
        host.router.dispatch_ended(host.now, job, 0, Outcome::TurnedAway, ms(900), None, true);
    }
    jobs.iter().for_each(|job| host.router.job_closed(*job));
    (0..40).for_each(|group| _ = host.job(LOOKUP, group));
    host.pull();
    assert_eq!(host.sent.len(), 16, "not less than one thread per core");
}

#[test]
fn dying_engines_do_not_lower_the_in_flight_limit_of_the_others() {
    let mut host = Host::new(|_| ());
    let jobs: Vec<JobId> = (0..20).map(|_| host.job(LOOKUP, 1)).collect();
    host.pull();
    let dead = host.sent[0].1;
    for (job, ..) in host.sent.clone().iter().filter(|(_, engine, _)| *engine == dead) {
        host.router.dispatch_ended(host.now, *job, 0, Outcome::Reset, ms(50), None, true);
    }
    jobs.iter().for_each(|job| host.router.job_closed(*job));
    for (job, ..) in host.sent.clone().iter().filter(|(_, engine, _)| *engine != dead) {
        host.end(*job, 0, Outcome::Done, 50);
    }
    host.sent.clear();
    (0..40).for_each(|group| _ = host.job(LOOKUP, group));
    host.pull();
    assert!(host.sent.len() >= 14, "{} at the remaining engine with 8 cores", host.sent.len());
}

#[test]
fn one_of_many_routers_uses_only_its_part_of_a_large_pool() {
    let mut host = Host::new(|start| start.fleet.router_count = 100);
    (2..50).for_each(|engine| host.list_engine(engine, EngineStatus::Live, None));
    for group in 0..40 {
        host.job(LOOKUP, group);
    }
    host.pull();
    // A hundredth of 400 cores, plus two square roots of that.
    assert_eq!(host.sent.len(), 8);
    let short = host.job_of(LOOKUP, 1, None, None, 10);
    host.pull();
    assert_eq!(host.engines_of(short).len(), 1, "a short job does not wait behind long ones");
}

#[test]
fn equal_engines_get_similar_work_regardless_of_list_order() {
    let mut host = Host::new(|start| start.fleet.router_count = 100);
    // Engines with even indices are in the router's zone. The first of them follows a long run of others.
    (2..20)
        .for_each(|engine| host.list_engine(2 * engine + usize::from(engine < 10), EngineStatus::Live, None));
    host.list_engine(1, EngineStatus::Gone, None);
    for group in 0..600 {
        let job = host.job(LOOKUP, group);
        host.pull();
        host.end(job, 0, Outcome::Done, 10);
    }
    let count = |engine| host.sent.iter().filter(|(_, sent, _)| *sent == engine).count();
    let max = host.sent.iter().map(|(_, engine, _)| count(*engine)).max().unwrap();
    assert!(max < 120, "{max} of 600 jobs on one of 11 equal engines");
}

#[test]
fn spill_raises_the_next_memory_grant() {
    let mut host = Host::new(|_| ());
    let job = host.job(LOOKUP, 1);
    host.pull();
    host.router.progress_reported(host.now, job, 0, Progress::Spills(125.0));
    assert_eq!(host.grants, [125.0], "a quarter more than the estimated 100 MB");
    host.job(LOOKUP, 1);
    host.pull();
    assert_eq!(host.grants, [125.0, 162.5], "immediately raised by a large part of what was missing");
}

#[test]
fn warm_engines_are_not_overloaded_while_most_engines_are_cold() {
    let mut host = Host::new(|_| ());
    (2..20).for_each(|engine| host.list_engine(engine, EngineStatus::Live, Some(host.now)));
    (0..60).for_each(|group| _ = host.job(LOOKUP, group));
    host.pull();
    assert_eq!(host.sent.len(), 12, "six threads at each of the two");
}

#[test]
fn many_routers_take_turns_at_a_cold_engine_and_use_it() {
    let mut sent = vec![];
    for number in 0..60 {
        let mut host = Host::new(|start| (start.fleet.router_count, start.fleet.router_index) = (60, number));
        host.list_engine(0, EngineStatus::Gone, None);
        host.advance(10_000);
        host.list_engine(1, EngineStatus::Live, Some(host.now));
        for _ in 0..100 {
            host.job(LOOKUP, 1);
            host.advance(120);
            for (job, ..) in std::mem::take(&mut host.sent) {
                sent.push(host.now);
                host.end(job, 0, Outcome::Done, 20);
            }
        }
    }
    let (first, all) = (*sent.iter().min().unwrap(), sent.len());
    for at in &sent {
        let within = sent.iter().filter(|t| **t >= *at && t.since(*at) < ms(2_000)).count() as f64;
        // The overload factor is 2, the engine has 8 cores (a quarter at the start, all after 15 s), a window
        // has 2 s and a job about 0.1 s of work.
        let max = 320.0 * (0.25 + 0.75 * at.since(first).secs() / 15.0);
        assert!(within <= max, "{within} in a window {:?} after the start", at.since(first));
    }
    // There are 6 windows in 12 s.
    assert!(all >= 200, "{all} dispatches in total");
}

/// Number of jobs, by router, that go to the cold one of two engines when every router gets `jobs` jobs at
/// once. The other engine is busy.
fn dispatches_to_a_cold_engine(replicas: usize, jobs: usize, stable_hash: u64) -> Vec<usize> {
    dispatches_to_an_engine_of_age(replicas, jobs, stable_hash, 0)
}

/// Like `dispatches_to_a_cold_engine`, for an engine that started `age` milliseconds earlier.
fn dispatches_to_an_engine_of_age(replicas: usize, jobs: usize, stable_hash: u64, age: u64) -> Vec<usize> {
    let each = (0..replicas).map(|number| {
        let mut host = Host::new(|start| {
            (start.fleet.router_count, start.fleet.router_index) = (replicas, number);
            start.types.iter_mut().for_each(|t| t.sla = ms(300));
            start.types.truncate(1);
        });
        host.list_engine(1, EngineStatus::Gone, None);
        host.advance(10_000 - age);
        let (at, zone) = (host.now, ZoneId(0));
        host.advance(age);
        let start = Some(EngineStart { stamp: 1, age: Span::ZERO });
        host.router.engine_listed(at, E1, zone, KindId(1), CellId(1), EngineStatus::Live, start, stable_hash);
        host.report(E0, 60.0);
        for group in 0..jobs {
            host.job(LOOKUP, group);
        }
        host.pull();
        host.sent.iter().filter(|(_, engine, _)| *engine == E1).count()
    });
    each.collect()
}

#[test]
fn several_routers_share_a_window_when_jobs_are_small() {
    for stable_hash in [0, 7, 1 << 40] {
        let sent = dispatches_to_a_cold_engine(60, 40, stable_hash);
        // The budget of a window is half of 8 s: 26 usual jobs of 0.15 s by the settings. So up to 26 routers
        // send about one job each.
        let (routers, jobs) = (sent.iter().filter(|jobs| **jobs > 0).count(), sent.iter().sum::<usize>());
        assert!(
            (18..=26).contains(&routers) && (18..=40).contains(&jobs),
            "{routers} routers sent {jobs} jobs"
        );
        assert!(sent.iter().all(|jobs| *jobs <= 2), "no router exceeds its part: {sent:?}");
    }
}

/// The budget follows an assumed capacity of the engine, which grows linearly from its start capacity during
/// the cold period.
#[test]
fn cold_engine_budget_grows_with_age_and_two_overlapping_windows_stay_within_it() {
    let sent = |age| dispatches_to_an_engine_of_age(1, 200, 0, age)[0] as f64;
    for age in [0, 5_000, 9_000] {
        // The overload factor is 2, the engine has 8 cores (a quarter at the start, all after 15 s), a window
        // has 2 s and a job 0.1 s of work.
        let max = 2.0 * 8.0 * (0.25 + 0.75 * age as f64 / 15_000.0) * 2.0 / 0.1;
        let sent = sent(age);
        assert!(2.0 * sent <= max && sent >= 0.6 * max / 2.0, "{sent} after {age} ms, {max} bring it down");
    }
}

#[test]
fn work_at_a_cold_engine_neither_counts_towards_nor_lowers_the_in_flight_limit() {
    let sent = dispatches_to_a_cold_engine(1, 60, 0);
    // The budget of a window is half of 8 s: 26 jobs of 0.15 s by the settings, or 40 of the estimated 0.1 s.
    assert!((26..=40).contains(&sent[0]), "{sent:?}");
    let mut host = Host::new(|start| start.types.iter_mut().for_each(|t| t.sla = ms(300)));
    host.list_engine(0, EngineStatus::Gone, None);
    host.list_engine(1, EngineStatus::Gone, None);
    host.advance(10_000);
    host.list_engine(2, EngineStatus::Live, None);
    host.list_engine(3, EngineStatus::Live, Some(host.now));
    (0..200).for_each(|group| _ = host.job(LOOKUP, group));
    host.pull();
    let (warm, cold): (Vec<_>, Vec<_>) =
        std::mem::take(&mut host.sent).into_iter().partition(|(_, engine, _)| *engine == EngineId(2));
    assert!(!warm.is_empty() && !cold.is_empty());
    for (job, ..) in &cold[..cold.len() / 2] {
        // A tenth of the work done after a second predicts a miss of the SLA time.
        host.router.progress_reported(host.now + ms(1_000), *job, 0, Progress::Fraction(0.1));
    }
    for (jobs, took) in [(&cold, 5_000), (&warm, 20)] {
        for (job, ..) in jobs {
            host.router.dispatch_ended(host.now, *job, 0, Outcome::Done, ms(took), None, true);
        }
    }
    host.pull();
    let again = host.sent.iter().filter(|(_, engine, _)| *engine == EngineId(2)).count();
    assert!(
        again >= warm.len(),
        "late answers of a cold engine lowered the limit from {} to {again}",
        warm.len()
    );
}

#[test]
fn engines_that_start_together_give_turns_to_different_routers() {
    let turns = |stable_hash| dispatches_to_a_cold_engine(60, 40, stable_hash);
    let (first, second) = (turns(0), turns(30));
    assert!(first.iter().zip(&second).all(|(one, other)| *one == 0 || *other == 0), "{first:?} {second:?}");
}

#[test]
fn cold_engine_counts_as_empty_and_its_dispatches_do_not_use_the_in_flight_limit() {
    assert_eq!(dispatches_to_a_cold_engine(1, 1, 0), [1], "the other engine runs 60 queries");
    let filled = |cold: bool| {
        let mut host = Host::new(|start| start.types.truncate(1));
        host.list_engine(1, EngineStatus::Gone, None);
        host.advance(10_000);
        if cold {
            host.list_engine(1, EngineStatus::Live, Some(host.now));
            host.report(E0, 60.0);
            (0..10).for_each(|group| _ = host.job(LOOKUP, group));
            host.pull();
            assert!(host.sent.iter().all(|(_, engine, _)| *engine == E1));
            host.report(E0, 0.0);
        }
        (0..100).for_each(|group| _ = host.job(LOOKUP, group));
        host.pull();
        host.sent.iter().filter(|(_, engine, _)| *engine == E0).count()
    };
    assert!(filled(true) >= filled(false), "{} and {}", filled(true), filled(false));
}

#[test]
fn routers_with_different_engine_indices_send_a_groups_loads_to_the_same_engines() {
    let load_engines = |turned: usize| {
        let mut host = Host::new(|start| start.fleet.cross_zone_cost = 0.0);
        (0..2).for_each(|engine| host.list_engine(engine, EngineStatus::Gone, None));
        for stable_hash in 0..8 {
            let id = EngineId(2 + (stable_hash + turned) % 8);
            let (zone, kind) = (ZoneId(0), KindId(0));
            host.router.engine_listed(
                host.now,
                id,
                zone,
                kind,
                CellId(0),
                EngineStatus::Live,
                None,
                stable_hash as u64,
            );
        }
        (0..8).for_each(|_| _ = host.job(LOAD, 3));
        host.pull();
        let mut at: Vec<usize> = host.sent.iter().map(|(_, id, _)| (id.0 - 2 + 8 - turned) % 8).collect();
        at.sort();
        at
    };
    assert_eq!(load_engines(0), load_engines(3));
    assert!(load_engines(0).len() > 1);
}

#[test]
fn jobs_that_wait_for_loads_avoid_the_engines_of_other_routers_loads() {
    let mut host = Host::new(|start| {
        start.fleet.cross_zone_cost = 0.0;
        start.fleet.router_count = 50;
    });
    (2..8).for_each(|engine| host.list_engine(engine, EngineStatus::Live, None));
    let mut of_group = |kind| {
        let mut at: Vec<EngineId> = vec![];
        for _ in 0..40 {
            let job = host.job(kind, 3);
            host.pull();
            at.extend(host.engines_of(job));
            host.end(job, 0, Outcome::Done, 50);
        }
        at.sort();
        at.dedup();
        at
    };
    let (loads, lookups) = (of_group(LOAD), of_group(LOOKUP));
    assert!(!loads.is_empty() && !lookups.is_empty());
    assert!(lookups.iter().all(|engine| !loads.contains(engine)), "{lookups:?} among {loads:?}");
}

#[test]
fn progress_that_predicts_a_miss_lowers_the_limit_before_the_answer() {
    let mut host = Host::new(|_| ());
    for _ in 0..20 {
        host.job(LOOKUP, 1);
    }
    host.pull();
    host.now = host.now + ms(400);
    let first = host.sent.clone();
    for (job, ..) in &first {
        host.router.progress_reported(host.now, *job, 0, Progress::Fraction(0.05));
    }
    for (job, ..) in first {
        host.router.job_closed(job);
        host.end(job, 0, Outcome::Cancelled, 400);
    }
    host.sent.clear();
    for _ in 0..40 {
        host.job(LOOKUP, 1);
    }
    host.pull();
    assert_eq!(host.sent.len(), 16, "24 without the progress notifications");
}

#[test]
fn silently_lost_dispatch_is_repeated_elsewhere_in_time() {
    let mut host = Host::new(|_| ());
    let job = host.job(LOOKUP, 1);
    host.pull();
    let first = host.sent[0].1;
    host.advance(700);
    assert_eq!(host.cancelled_dispatches, [(job, 0)]);
    host.end(job, 0, Outcome::Cancelled, 600);
    assert_eq!(host.engines_of(job), [first, other(first)]);
}

#[test]
fn without_cancellation_a_second_dispatch_is_sent_unless_undispatched_jobs_wait() {
    for crowd in [0, 60] {
        let mut host = Host::new(|start| {
            start.retry_limits.can_cancel = false;
            start.retry_limits.concurrent_dispatches = true;
        });
        let job = host.job(LOOKUP, 1);
        host.pull();
        host.advance(480);
        for _ in 0..crowd {
            host.job(LOOKUP, 1);
        }
        host.advance(200);
        assert_eq!(host.engines_of(job).len(), if crowd == 0 { 2 } else { 1 });
    }
}

#[test]
fn engines_where_a_load_locks_the_table_group_are_avoided() {
    let mut host = Host::new(|start| start.fleet.cross_zone_cost = 0.0);
    let load = host.job_of(LOAD, 5, None, None, 4_000);
    let stuck = host.job(LOOKUP, 6);
    host.pull();
    let (own, foreign) = (host.engines_of(load)[0], host.engines_of(stuck)[0]);
    host.router.progress_reported(host.now, stuck, 0, Progress::WaitsForLoad);
    let (beside_own, beside_foreign) = (host.job(LOOKUP, 5), host.job(LOOKUP, 6));
    host.pull();
    assert_eq!(host.engines_of(beside_own), [other(own)]);
    assert_eq!(host.engines_of(beside_foreign), [other(foreign)]);
}

#[test]
fn loads_get_the_highest_priority_and_heavy_jobs_a_low_one() {
    let mut host = Host::new(|_| ());
    let load = host.job_of(LOAD, 1, None, None, 8_000);
    let heavy = host.job_of(LOOKUP, 2, None, None, 20_000);
    host.pull();
    let priority = |job| host.sent.iter().find(|(sent, ..)| *sent == job).map(|(.., priority)| *priority);
    assert_eq!((priority(load), priority(heavy)), (Some(3), Some(0)));
}

#[test]
fn jobs_beyond_their_tenants_share_go_last() {
    let mut host = Host::new(|_| ());
    host.list_engine(0, EngineStatus::Draining, None);
    host.list_engine(1, EngineStatus::Draining, None);
    let over: Vec<JobId> = (0..3).map(|_| host.job_of(LOOKUP, 1, Some(0), None, 100)).collect();
    let within = host.job_of(LOOKUP, 1, Some(1), None, 100);
    host.list_engine(0, EngineStatus::Live, None);
    host.pull();
    let order: Vec<JobId> = host.sent.iter().map(|(job, ..)| *job).collect();
    assert_eq!(order, [over[0], within, over[1], over[2]]);
}

#[test]
fn equal_events_give_equal_dispatches() {
    let run = || {
        let mut host = Host::new(|_| ());
        for group in 0..30 {
            host.job(LOOKUP, group);
            host.advance(20);
        }
        host.sent
    };
    assert_eq!(run(), run());
}

#[test]
fn peer_report_causes_an_early_probe_and_counts_until_the_engine_answers() {
    let mut host = Host::new(|start| start.fleet.cross_zone_cost = 0.0);
    host.now = host.now + ms(10);
    host.router.peer_reported(host.now, E0, None, 0.875);
    host.pull();
    assert_eq!(host.probed, [E0]);
    for _ in 0..3 {
        host.job(LOOKUP, 1);
    }
    host.pull();
    assert!(host.sent.iter().all(|(_, engine, _)| *engine == E1));
    host.router.probe_ended(host.now + ms(1), E0, Outcome::Done);
    host.now = host.now + ms(2);
    for _ in 0..3 {
        host.job(LOOKUP, 2);
    }
    host.pull();
    assert!(
        host.sent[3..].iter().any(|(_, engine, _)| *engine == E0),
        "the engine's own answer overrides the reports of other routers"
    );
}

#[test]
fn peer_reports_expire_and_never_leave_a_router_without_engines() {
    let mut host = Host::new(|start| start.monitoring.may_probe = false);
    host.now = host.now + ms(10);
    for engine in [E0, E1] {
        host.router.peer_reported(host.now, engine, None, 99.0);
    }
    let job = host.job(LOOKUP, 1);
    host.pull();
    assert_eq!(host.engines_of(job).len(), 1);
    host.end(job, 0, Outcome::Done, 10);
    host.router.peer_reported(host.now, E0, None, 1.0);
    host.advance(2_600);
    let mut host_again = Host::new(|_| ());
    let (one, other) = (host.job(LOOKUP, 3), host_again.job(LOOKUP, 3));
    host.pull();
    host_again.pull();
    assert_eq!(
        host.engines_of(one),
        host_again.engines_of(other),
        "the report has no effect after the maximum silence"
    );
}

#[test]
fn engine_with_slow_transfers_costs_more_and_stays_usable() {
    let mut host = Host::new(|start| start.fleet.cross_zone_cost = 0.0);
    host.router.transfer_delay_measured(E0, ms(500));
    let jobs: Vec<JobId> = (0..3).map(|group| host.job(LOOKUP, group)).collect();
    host.pull();
    assert!(jobs.iter().all(|job| host.engines_of(*job) == [E1]));
    host.list_engine(1, EngineStatus::Draining, None);
    let job = host.job(LOOKUP, 5);
    host.pull();
    assert_eq!(host.engines_of(job), [E0]);
}

#[test]
fn peer_reports_decay() {
    for (after, first) in [(0, E1), (2_400, E0)] {
        let mut host = Host::new(|start| {
            start.fleet.cross_zone_cost = 0.0;
            start.monitoring.may_probe = false;
        });
        // Work at one engine and a suspicion of the other, which weighs more while it is recent.
        host.list_engine(0, EngineStatus::Gone, None);
        for _ in 0..4 {
            host.job(LOOKUP, 1);
        }
        host.pull();
        host.list_engine(0, EngineStatus::Live, None);
        host.now = host.now + ms(10);
        host.router.peer_reported(host.now, E0, None, 0.5);
        host.now = host.now + ms(after);
        let job = host.job(LOOKUP, 2);
        host.pull();
        assert_eq!(host.engines_of(job), [first], "after {after} ms");
    }
}

#[test]
fn peer_report_of_one_type_does_not_affect_others_or_open_a_draining_engine() {
    let mut host = Host::new(|start| start.fleet.cross_zone_cost = 0.0);
    host.now = host.now + ms(10);
    host.router.peer_reported(host.now, E0, Some(LOAD), 0.8);
    host.pull();
    assert!(host.probed.is_empty(), "a probe can't check a single type");
    let jobs: Vec<JobId> = (0..4).map(|group| host.job(LOOKUP, group)).collect();
    host.pull();
    assert!(jobs.iter().any(|job| host.engines_of(*job) == [E0]));
    host.list_engine(0, EngineStatus::Draining, None);
    host.router.peer_reported(host.now, E0, None, 0.0);
    host.router.peer_reported(host.now, E1, None, 0.875);
    let job = host.job(LOOKUP, 9);
    host.pull();
    assert_eq!(host.engines_of(job), [E1]);
}

#[test]
fn equal_seeds_and_events_give_equal_decisions() {
    let run = || {
        let mut host = Host::new(|start| start.retry_limits.concurrent_dispatches = true);
        (2..40).for_each(|engine| host.list_engine(engine, EngineStatus::Live, None));
        for step in 0..300 {
            let kind = if step % 7 == 0 { LOAD } else { LOOKUP };
            host.job(kind, step % 11);
            host.advance(20);
            let (job, engine, _) = host.sent[host.sent.len() / 2];
            match step % 5 {
                0 => host.end(job, 0, Outcome::Reset, 40),
                1 => host.router.peer_reported(host.now, engine, None, 0.5),
                2 => host.list_engine(step % 40, EngineStatus::Gone, None),
                3 => host.list_engine(step % 40, EngineStatus::Live, Some(host.now)),
                _ => host.end(job, 0, Outcome::Done, 30),
            }
        }
        host.advance(5_000);
        let Host {
            sent, grants, throttled, cancelled_for_good, cancelled_dispatches, probed, forgotten, ..
        } = host;
        (sent, grants, throttled, cancelled_for_good, cancelled_dispatches, probed, forgotten)
    };
    let (first, second) = (run(), run());
    assert!(!first.5.is_empty() && !first.4.is_empty(), "the run has probes and cancelled dispatches");
    assert_eq!(first, second);
}

/// Guards against a router without processor time that decides on an answer in time and writes it too late.
#[test]
fn a_late_router_gives_up_a_job_while_the_answer_can_still_reach_its_client() {
    for (delay, answered_after) in [(0, 20_000), (1_500, 18_500)] {
        let mut host = Host::new(|start| start.types[0].late_value_share = 1.0);
        host.list_engine(0, EngineStatus::Draining, None);
        host.list_engine(1, EngineStatus::Draining, None);
        host.router.response_delay_measured(ms(delay));
        let (job, arrived) = (host.job(LOOKUP, 1), host.now);
        while host.throttled.is_empty() && host.now.since(arrived) < ms(30_000) {
            host.advance(20);
        }
        assert_eq!(host.throttled, [job]);
        assert!(host.now.since(arrived) <= ms(answered_after), "{:?}", host.now.since(arrived));
    }
}

/// Guards against running a job twice that comes again with the id of one that may have run.
#[test]
fn job_that_ran_under_the_same_id_before_is_dispatched_only_where_a_repeat_is_safe() {
    let keyed = |scope| Effect::Keyed { scope, window: ms(500) };
    let cases = [
        (Effect::RunOnce, 0, 0),
        (Effect::Restartable, 0, 1),
        (keyed(Scope::All), 0, 1),
        (keyed(Scope::All), 600, 0),
        (keyed(Scope::Cell), 0, 0),
    ];
    for (effect, age, dispatches) in cases {
        let mut host = Host::new(|start| start.types[LOAD.0].effect = effect);
        let sent = host.now.saturating_sub(ms(age));
        let job = host.job(LOAD, 1);
        let other_cell = CellId(7);
        host.router.job_ran_before(job, EarlierRun { zone: ZoneId(0), cell: other_cell, sent });
        host.pull();
        assert_eq!(host.engines_of(job).len(), dispatches, "{effect:?} {age}");
    }
}
