//! Short stories, one for each rule and each failure met.

mod host;

use host::*;
use woadhook::*;

fn other(engine: EngineId) -> EngineId {
    EngineId(1 - engine.0)
}

#[test]
fn a_job_gets_one_final_answer_at_once_and_nothing_after() {
    let mut host = Host::new(|_| ());
    host.list(0, EngineStatus::Draining, None);
    host.list(1, EngineStatus::Draining, None);
    let job = host.job(LOOKUP, 1);
    host.pass(3_000);
    assert_eq!(host.throttled, [job]);
    host.list(0, EngineStatus::Live, None);
    host.pass(1_000);
    assert!(host.sent.is_empty() && host.cancelled.is_empty());
    assert_eq!(host.forgotten, [Forgotten::Job(job)]);
}

#[test]
fn a_run_once_job_that_may_have_run_is_cancelled_for_good_and_never_throttled() {
    for outcome in [Outcome::TimedOut, Outcome::Reset, Outcome::Error, Outcome::Cancelled] {
        let mut host = Host::new(|_| ());
        let job = host.job(LOAD, 1);
        host.pull();
        host.end(job, 0, outcome, 50);
        assert_eq!((host.sent.len(), host.cancelled.as_slice()), (1, [job].as_slice()), "{outcome:?}");
        assert!(host.throttled.is_empty());
    }
}

#[test]
fn a_run_once_job_that_never_ran_goes_again() {
    for outcome in [Outcome::TurnedAway, Outcome::NotConnected] {
        let mut host = Host::new(|_| ());
        let job = host.job(LOAD, 1);
        host.pull();
        host.end(job, 0, outcome, 50);
        assert_eq!(host.engines_of(job).len(), 2, "{outcome:?}");
    }
}

#[test]
fn a_repeat_of_what_may_have_run_tells_until_when_it_may_begin() {
    let keyed = Effect::Keyed { scope: Scope::All, window: ms(500) };
    for (effect, told) in [(keyed, true), (Effect::Restartable, false)] {
        let mut host = Host::new(|start| start.types[0].effect = effect);
        let (job, first) = (host.job(LOOKUP, 1), host.now);
        host.pull();
        host.now = host.now + ms(100);
        host.end(job, 0, Outcome::TimedOut, 100);
        assert_eq!(host.before, [None, told.then(|| first + ms(500))]);
    }
}

#[test]
fn a_keyed_job_that_may_have_run_stays_in_its_group_and_window() {
    let keyed = |scope| Effect::Keyed { scope, window: ms(500) };
    for scope in [Scope::Zone, Scope::Cell] {
        let mut host = Host::new(|start| start.types[0].effect = keyed(scope));
        let job = host.job(LOOKUP, 1);
        host.pull();
        let first = host.sent[0].1;
        host.list(first.0, EngineStatus::Draining, None);
        host.end(job, 0, Outcome::TimedOut, 50);
        assert_eq!(host.sent.len(), 1, "only the group's engine may get it, and that one drains");
        host.list(first.0, EngineStatus::Live, None);
        host.pull();
        assert_eq!(host.engines_of(job), [first, first]);
        host.end(job, 1, Outcome::NotConnected, 50);
        host.pass(600);
        assert_eq!((host.sent.len(), host.cancelled.as_slice()), (2, [job].as_slice()));
        assert!(host.throttled.is_empty());
    }
    let mut host = Host::new(|start| start.types[0].effect = keyed(Scope::All));
    let job = host.job(LOOKUP, 1);
    host.pull();
    host.end(job, 0, Outcome::TimedOut, 50);
    host.list(0, EngineStatus::Draining, None);
    host.list(1, EngineStatus::Draining, None);
    host.end(job, 1, Outcome::NotConnected, 50);
    host.pass(600);
    assert_eq!((host.throttled.as_slice(), host.cancelled.len()), ([job].as_slice(), 0));
}

#[test]
fn nothing_goes_to_an_engine_that_drains_or_is_gone() {
    for listed in [EngineStatus::Draining, EngineStatus::Gone] {
        let mut host = Host::new(|_| ());
        host.list(0, listed, None);
        for _ in 0..4 {
            host.job(LOOKUP, 1);
        }
        host.pull();
        assert!(host.sent.len() == 4 && host.sent.iter().all(|(_, engine, _)| *engine == E1), "{listed:?}");
    }
}

#[test]
fn a_list_that_must_be_asked_for_is_asked_for_and_again_after_a_failure() {
    let mut host = Host::new(|start| start.watching.max_list_age = Some(ms(1_000)));
    host.pull();
    assert_eq!(host.subscribed, 1);
    host.router.list_changed();
    host.router.list_unavailable();
    host.now = host.now + ms(2_000);
    host.pull();
    assert_eq!(host.subscribed, 2, "asks again after a failure");
    host.router.list_changed();
    host.pass(5_000);
    assert_eq!(host.subscribed, 2);
}

#[test]
fn a_cold_engine_gets_no_more_than_this_routers_part_in_any_window() {
    let mut host = Host::new(|start| start.fleet.router_count = 2);
    host.list(0, EngineStatus::Gone, None);
    host.pull();
    host.now = host.now + ms(10_000);
    host.list(1, EngineStatus::Live, Some(host.now));
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
    assert!(sent.len() >= 5, "it is used: {}", sent.len());
    for from in &sent {
        let within = sent.iter().filter(|at| *at >= from && at.since(*from) < ms(2_000)).count() as f64;
        // Factor 2, 8 cores of which a quarter at the start and all after 15 s, 2 s, jobs of 0.1 s; half is this router's.
        let able = 0.25 + 0.75 * from.since(started).secs() / 15.0;
        let most = 2.0 * 8.0 * able * 2.0 / 0.1 / 2.0;
        assert!(within <= most, "{within} jobs in a window, its part is {most}");
    }
}

#[test]
fn a_key_in_doubt_stays_until_it_is_settled_and_then_rests() {
    let mut host = Host::new(|start| {
        (start.types[0].ordered, start.types[0].effect) = (true, Effect::RunOnce);
        start.further.key_rest = ms(400);
    });
    let first = host.job_of(LOOKUP, 1, None, Some(3), 50);
    let second = host.job_of(LOOKUP, 1, None, Some(3), 50);
    host.pull();
    host.router.key_in_doubt(KeyId(3));
    host.end(first, 0, Outcome::Reset, 50);
    assert_eq!(host.cancelled, [first]);
    host.pass(600);
    assert!(host.engines_of(second).is_empty(), "its engine may hang");
    host.router.key_settled(host.now, KeyId(3));
    host.pass(380);
    assert!(host.engines_of(second).is_empty(), "the key rests");
    host.pass(40);
    assert_eq!(host.engines_of(second).len(), 1);
    host.end(second, 0, Outcome::Done, 50);
    host.pass(40);
    assert!(host.forgotten.contains(&Forgotten::Key(KeyId(3))));
}

/// Threat: as a cold engine rises, more routers have the turn together. Were that looked up anew within a window, other
/// routers would come beside those that have used it.
#[test]
fn twenty_and_thirty_routers_told_of_one_start_keep_to_the_ramp_together() {
    for all in [20, 30] {
        let member = |number| {
            let mut host =
                Host::new(|start| (start.fleet.router_count, start.fleet.router_index) = (all, number));
            host.list(0, EngineStatus::Gone, None);
            // Some time after the routers' own start, and not at the edge of a window.
            host.now = host.now + ms(10_700);
            host.list(1, EngineStatus::Live, Some(host.now));
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
        for (place, from) in sent.iter().enumerate() {
            let count = sent[place..].iter().take_while(|at| at.since(*from) < ms(2_000)).count() as f64;
            // Factor 2, 8 cores of which a quarter at the start and all after 15 s, 2 s, jobs of 0.1 s.
            let able = 0.25 + 0.75 * (from.since(start).secs() / 15.0).min(1.0);
            let most = 2.0 * 8.0 * able * 2.0 / 0.1;
            assert!(
                count <= most + 2.0 * most.sqrt() + 2.0,
                "{count} in a window, {most} are allowed, {all} routers"
            );
        }
    }
}

/// Threat: wall clocks that differ. Were turns taken by them, routers whose clocks differ by whole windows would all have
/// the same one.
#[test]
fn routers_whose_clocks_differ_keep_a_cold_engine_to_its_budget_together() {
    const ALL: usize = 4;
    let mut sent = vec![];
    for number in 0..ALL {
        let mut host =
            Host::new(|start| (start.fleet.router_count, start.fleet.router_index) = (ALL, number));
        host.list(0, EngineStatus::Gone, None);
        host.now = host.now + ms(10_700 + 2_000 * number as u64);
        host.list(1, EngineStatus::Live, Some(host.now));
        let heard = host.now;
        for _ in 0..300 {
            host.job(LOOKUP, 1);
            host.pull();
            for (job, ..) in std::mem::take(&mut host.sent) {
                sent.push(host.now.since(heard));
                host.end(job, 0, Outcome::Done, 20);
            }
            host.now = host.now + ms(20);
        }
    }
    assert!(sent.len() > 100, "the engine is used: {}", sent.len());
    for from in &sent {
        let within =
            sent.iter().filter(|at| *at >= from && at.saturating_sub(*from) < ms(2_000)).count() as f64;
        // Factor 2, 8 cores of which a quarter at the start and all after 15 s, 2 s, jobs of 0.1 s.
        let most = 2.0 * 8.0 * (0.25 + 0.75 * from.secs() / 15.0) * 2.0 / 0.1;
        assert!(within <= most + 2.0 * most.sqrt() + 2.0, "{within} in a window, {most} are allowed");
    }
}

#[test]
fn a_restarted_router_waits_a_window_before_it_sends_to_a_cold_engine() {
    let mut host = Host::new(|_| ());
    host.list(0, EngineStatus::Gone, None);
    host.list(1, EngineStatus::Live, Some(host.now));
    host.job(LOOKUP, 1);
    host.pass(900);
    assert!(host.sent.is_empty());
    host.pass(1_200);
    let job = host.job_of(LOOKUP, 1, None, None, 20);
    host.pull();
    assert_eq!(host.engines_of(job), [E1]);
}

#[test]
fn jobs_of_one_key_go_one_at_a_time_in_order_and_rest_after_a_doubt() {
    let mut host = Host::new(|start| {
        start.types[0].ordered = true;
        start.further.key_rest = ms(400);
        start.further.max_dispatches = 1;
    });
    let big = host.job_of(LOOKUP, 1, None, Some(3), 200);
    let small = host.job_of(LOOKUP, 1, None, Some(3), 10);
    let free = host.job_of(LOOKUP, 1, None, Some(4), 10);
    host.pull();
    assert!(host.engines_of(small).is_empty(), "an earlier one is out");
    assert_eq!((host.engines_of(big).len(), host.engines_of(free).len()), (1, 1));
    host.end(big, 0, Outcome::TimedOut, 100);
    host.pass(380);
    assert!(host.engines_of(small).is_empty(), "the key rests");
    host.pass(60);
    assert_eq!(host.engines_of(small).len(), 1);
}

#[test]
fn a_bound_type_is_held_or_ended_when_its_engines_are_down() {
    let bind: [fn(&mut ReservationType); 2] =
        [|t| t.zones = Some(vec![ZoneId(0)]), |t| t.kinds = Some(vec![KindId(0)])];
    for bind in bind {
        let mut host = Host::new(|start| bind(&mut start.types[0]));
        let first = host.job(LOOKUP, 1);
        host.pull();
        assert_eq!(host.engines_of(first), [E0]);
        host.list(0, EngineStatus::Draining, None);
        host.end(first, 0, Outcome::NotConnected, 50);
        host.pass(3_000);
        assert_eq!((host.sent.len(), host.throttled.as_slice()), (1, [first].as_slice()));
    }
}

#[test]
fn further_dispatches_stay_within_the_ration() {
    let retry_budget = Some(RetryBudget { free_retries: 1.0, retry_ratio: 0.1, window: ms(1_000) });
    let mut host = Host::new(|start| start.further.retry_budget = retry_budget);
    let jobs: Vec<JobId> = (0..3).map(|_| host.job(LOOKUP, 1)).collect();
    host.pull();
    for job in &jobs {
        host.end(*job, 0, Outcome::Error, 10);
    }
    assert_eq!(host.sent.len(), 4, "one further dispatch for three jobs taken");
}

#[test]
fn tries_and_copies_stay_within_the_settings() {
    let mut host = Host::new(|start| start.further.max_dispatches = 2);
    let job = host.job(LOOKUP, 1);
    host.pull();
    host.end(job, 0, Outcome::Error, 10);
    host.end(job, 1, Outcome::Error, 10);
    assert_eq!((host.sent.len(), host.throttled.as_slice()), (2, [job].as_slice()));
    for (concurrent_dispatches, max_dispatches) in [(false, 4), (true, 1)] {
        let mut host = Host::new(|start| {
            start.further = RetryLimits {
                concurrent_dispatches,
                max_dispatches,
                can_cancel: false,
                ..start.further.clone()
            };
        });
        host.job(LOOKUP, 1);
        host.pass(900);
        assert_eq!(host.sent.len(), 1, "copies {concurrent_dispatches}, tries {max_dispatches}");
    }
}

#[test]
fn a_restart_with_a_stale_list_moves_on_from_a_dead_engine() {
    let mut host = Host::new(|_| ());
    let job = host.job(LOOKUP, 1);
    host.pull();
    let dead = host.sent[0].1;
    host.end(job, 0, Outcome::NotConnected, 250);
    assert_eq!(host.engines_of(job), [dead, other(dead)]);
    let next = host.job(LOOKUP, 2);
    host.pull();
    assert_eq!(host.engines_of(next), [other(dead)], "it is set aside");
}

#[test]
fn a_silent_engine_is_set_aside_and_comes_back_cold_after_answered_probes() {
    let mut host = Host::new(|start| start.further.can_cancel = false);
    host.job_of(LOAD, 1, None, None, 100);
    host.pull();
    let silent = host.sent[0].1;
    host.pass(3_000);
    assert!(host.probed.contains(&silent));
    let job = host.job_of(LOOKUP, 1, None, None, 50);
    host.pull();
    assert_eq!(host.engines_of(job), [other(silent)]);
    host.end(job, 0, Outcome::Done, 50);
    host.list(other(silent).0, EngineStatus::Draining, None);
    host.router.probe_ended(host.now, silent, Outcome::Done);
    host.pass(600);
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
fn a_probe_that_was_never_sent_tells_nothing_of_its_engine() {
    let mut host = Host::new(|_| ());
    for outcome in [Outcome::NotIssued, Outcome::TimedOut] {
        let job = host.job(LOOKUP, 1);
        host.pull();
        let engine = host.engines_of(job)[0];
        host.router.probe_ended(host.now, engine, outcome);
        host.pull();
        // One set aside has its dispatches called off.
        assert_eq!(host.called_off.contains(&(job, 0)), outcome == Outcome::TimedOut);
    }
}

#[test]
fn loads_of_a_group_leave_half_of_the_engines_to_all_else_of_it() {
    let mut host = Host::new(|start| start.fleet.cross_zone_cost = 0.0);
    host.list(2, EngineStatus::Live, None);
    host.list(3, EngineStatus::Live, None);
    let loads = [(); 6].map(|()| host.job(LOAD, 1));
    host.pull();
    let mut homes: Vec<EngineId> = host.sent.iter().map(|(_, engine, _)| *engine).collect();
    homes.sort();
    homes.dedup();
    assert_eq!((host.sent.len(), homes.len()), (2, 2));
    let lookups = [(); 8].map(|()| host.job(LOOKUP, 1));
    host.pull();
    assert!(lookups.iter().all(|job| host.engines_of(*job).iter().all(|engine| !homes.contains(engine))));
    // The next load of the group goes as one ends, to its place.
    let (first, place, _) = host.sent[0];
    host.end(first, 0, Outcome::Done, 50);
    let next = loads.iter().filter(|job| **job != first && host.engines_of(**job) == [place]);
    assert_eq!(next.count(), 1);
}

#[test]
fn an_engine_that_fails_a_type_fast_does_not_draw_it_and_is_tried_again_later() {
    let mut host = Host::new(|start| start.fleet.cross_zone_cost = 0.0);
    let mut failed = 0;
    for group in 0..40 {
        // By its reports, the engine is idle; loads go on there.
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
        host.pass(100);
    }
    assert!((1..16).contains(&failed), "{failed} look-ups failed there");
    host.pass(20_000);
    host.report(E0, 0.0);
    host.report(E1, 6.0);
    let later = host.job(LOOKUP, 50);
    host.pull();
    assert_eq!(host.engines_of(later), [E0]);
}

#[test]
fn a_host_that_stops_has_its_jobs_answered_before() {
    let mut host = Host::new(|_| ());
    let [light, load, heavy] = [(LOOKUP, 100), (LOAD, 100), (LOOKUP, 6_000)].map(|(kind, work)| {
        let job = host.job_of(kind, 1, None, None, work);
        host.pull();
        job
    });
    host.router.stop_by(host.now + ms(500));
    host.pull();
    assert!(host.throttled.is_empty() && host.cancelled.is_empty());
    host.pass(540);
    assert_eq!((host.throttled, host.cancelled), (vec![light, heavy], vec![load]));
}

#[test]
fn an_engine_that_came_up_again_has_no_warm_groups() {
    let mut host = Host::new(|start| start.fleet.cross_zone_cost = 0.0);
    let first = host.job(LOOKUP, 1);
    host.pull();
    let warm = host.sent[0].1;
    host.end(first, 0, Outcome::Done, 100);
    host.now = host.now + ms(3_000);
    host.list(warm.0, EngineStatus::Live, Some(host.now));
    host.report(warm, 1.0);
    host.report(other(warm), 0.9);
    let next = host.job(LOOKUP, 1);
    host.pull();
    assert_eq!(host.engines_of(next), [other(warm)]);
}

#[test]
fn choices_follow_reports_and_own_dispatches_since() {
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
    assert_eq!(host.engines_of(next), [late], "a late report counts when it comes");
}

#[test]
fn unheard_engines_count_as_average() {
    let mut host = Host::new(|start| start.fleet.cross_zone_cost = 0.0);
    host.list(2, EngineStatus::Live, None);
    host.report(E0, 12.0);
    host.report(E1, 2.0);
    let (first, second) = (host.job(LOOKUP, 1), host.job(LOOKUP, 2));
    host.pull();
    assert_eq!((host.engines_of(first), host.engines_of(second)), (vec![E1], vec![E1]));
    host.list(1, EngineStatus::Draining, None);
    let third = host.job(LOOKUP, 3);
    host.pull();
    assert_eq!(host.engines_of(third), [EngineId(2)]);
}

#[test]
fn a_warm_engine_is_costed_optimistically_until_it_is_full_of_own_threads() {
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
    host.list(other(warm).0, EngineStatus::Draining, None);
    for _ in 0..2 {
        host.job(LOOKUP, 1);
    }
    host.pull();
    host.list(other(warm).0, EngineStatus::Live, None);
    host.report(warm, 5.0);
    host.report(other(warm), 4.0);
    let last = host.job(LOOKUP, 1);
    host.pull();
    assert_eq!(host.engines_of(last), [other(warm)]);
}

#[test]
fn work_beyond_the_in_flight_limit_waits_and_bad_outcomes_cut_it() {
    let mut host = Host::new(|_| ());
    let jobs: Vec<JobId> = (0..40).map(|_| host.job(LOOKUP, 1)).collect();
    host.pull();
    assert_eq!(host.sent.len(), 24, "a thread a core and two roots of them for bursts");
    for (job, ..) in std::mem::take(&mut host.sent) {
        host.router.dispatch_ended(host.now, job, 0, Outcome::TurnedAway, ms(900), None, true);
    }
    jobs.iter().for_each(|job| host.router.job_closed(*job));
    (0..40).for_each(|group| _ = host.job(LOOKUP, group));
    host.pull();
    assert_eq!(host.sent.len(), 16, "no less than a thread a core");
}

#[test]
fn engines_that_die_do_not_cut_the_limit_of_the_others() {
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
    assert!(host.sent.len() >= 14, "{} at the one engine left, of 8 cores", host.sent.len());
}

#[test]
fn one_of_many_routers_fills_no_more_than_its_part_of_a_large_fleet() {
    let mut host = Host::new(|start| start.fleet.router_count = 100);
    (2..50).for_each(|engine| host.list(engine, EngineStatus::Live, None));
    for group in 0..40 {
        host.job(LOOKUP, group);
    }
    host.pull();
    // A hundredth of 400 cores, and two roots of that.
    assert_eq!(host.sent.len(), 8);
    let short = host.job_of(LOOKUP, 1, None, None, 10);
    host.pull();
    assert_eq!(host.engines_of(short).len(), 1, "a short job need not stand behind long ones");
}

#[test]
fn equal_engines_get_equal_work_wherever_they_stand_in_the_list() {
    let mut host = Host::new(|start| start.fleet.router_count = 100);
    // Engines of the own zone are even: the first follows a long run of others.
    (2..20).for_each(|engine| host.list(2 * engine + usize::from(engine < 10), EngineStatus::Live, None));
    host.list(1, EngineStatus::Gone, None);
    for group in 0..600 {
        let job = host.job(LOOKUP, group);
        host.pull();
        host.end(job, 0, Outcome::Done, 10);
    }
    let count = |engine| host.sent.iter().filter(|(_, sent, _)| *sent == engine).count();
    let most = host.sent.iter().map(|(_, engine, _)| count(*engine)).max().unwrap();
    assert!(most < 120, "{most} of 600 jobs on one of 11 equal engines");
}

#[test]
fn a_spill_raises_the_next_grant_towards_what_was_missing() {
    let mut host = Host::new(|_| ());
    let job = host.job(LOOKUP, 1);
    host.pull();
    host.router.progress_reported(host.now, job, 0, Progress::Spills(125.0));
    assert_eq!(host.grants, [125.0], "a quarter over the 100 MB told");
    host.job(LOOKUP, 1);
    host.pull();
    assert_eq!(host.grants, [125.0, 162.5], "at once by a good part of it");
}

#[test]
fn while_most_engines_are_cold_the_warm_ones_are_not_overfilled() {
    let mut host = Host::new(|_| ());
    (2..20).for_each(|engine| host.list(engine, EngineStatus::Live, Some(host.now)));
    (0..60).for_each(|group| _ = host.job(LOOKUP, group));
    host.pull();
    assert_eq!(host.sent.len(), 12, "six threads at each of the two");
}

#[test]
fn many_routers_take_turns_at_a_cold_engine_and_use_it() {
    let mut sent = vec![];
    for number in 0..60 {
        let mut host = Host::new(|start| (start.fleet.router_count, start.fleet.router_index) = (60, number));
        host.list(0, EngineStatus::Gone, None);
        host.pass(10_000);
        host.list(1, EngineStatus::Live, Some(host.now));
        for _ in 0..100 {
            host.job(LOOKUP, 1);
            host.pass(120);
            for (job, ..) in std::mem::take(&mut host.sent) {
                sent.push(host.now);
                host.end(job, 0, Outcome::Done, 20);
            }
        }
    }
    let (first, all) = (*sent.iter().min().unwrap(), sent.len());
    for at in &sent {
        let within = sent.iter().filter(|t| **t >= *at && t.since(*at) < ms(2_000)).count() as f64;
        // Factor 2, a quarter of 8 cores at the start and all after 15 s, 2 s: in jobs of about 0.1 s.
        let most = 320.0 * (0.25 + 0.75 * at.since(first).secs() / 15.0);
        assert!(within <= most, "{within} in a window {:?} after the start", at.since(first));
    }
    // In 12 s there are 6 turns.
    assert!(all >= 200, "{all} in all");
}

/// Jobs sent to one of two engines that is cold, in a burst of `jobs` at every router, by router; the other is full.
fn burst_at_a_cold_engine(replicas: usize, jobs: usize, mark: u64) -> Vec<usize> {
    burst_at_an_engine_of_age(replicas, jobs, mark, 0)
}

/// The same at one that came up so many milliseconds before.
fn burst_at_an_engine_of_age(replicas: usize, jobs: usize, mark: u64, age: u64) -> Vec<usize> {
    let each = (0..replicas).map(|number| {
        let mut host = Host::new(|start| {
            (start.fleet.router_count, start.fleet.router_index) = (replicas, number);
            start.types.iter_mut().for_each(|t| t.sla = ms(300));
            start.types.truncate(1);
        });
        host.list(1, EngineStatus::Gone, None);
        host.pass(10_000 - age);
        let (at, zone) = (host.now, ZoneId(0));
        host.pass(age);
        let start = Some(EngineStart { stamp: 1, age: Span::ZERO });
        host.router.engine_listed(at, E1, zone, KindId(1), CellId(1), EngineStatus::Live, start, mark);
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
fn several_routers_have_the_turn_together_where_jobs_are_small_against_a_window() {
    for mark in [0, 7, 1 << 40] {
        let sent = burst_at_a_cold_engine(60, 40, mark);
        // A window holds half of 8 s, 26 usual jobs of 0.15 s by the settings: so many routers, a job or so each.
        let (routers, jobs) = (sent.iter().filter(|jobs| **jobs > 0).count(), sent.iter().sum::<usize>());
        assert!(
            (18..=26).contains(&routers) && (18..=40).contains(&jobs),
            "{routers} routers sent {jobs} jobs"
        );
        assert!(sent.iter().all(|jobs| *jobs <= 2), "no router more than its part: {sent:?}");
    }
}

/// The budget follows a guess of the engine's capacity, which rises evenly from the stated start to the stated time.
#[test]
fn a_cold_engine_gets_more_the_longer_it_is_up_and_two_windows_that_meet_stay_within_its_budget() {
    let sent = |age| burst_at_an_engine_of_age(1, 200, 0, age)[0] as f64;
    for age in [0, 5_000, 9_000] {
        // Factor 2, 8 cores, a quarter of them at the start and all after 15 s, 2 s: in jobs of 0.1 s.
        let most = 2.0 * 8.0 * (0.25 + 0.75 * age as f64 / 15_000.0) * 2.0 / 0.1;
        let sent = sent(age);
        assert!(
            2.0 * sent <= most && sent >= 0.6 * most / 2.0,
            "{sent} after {age} ms, {most} bring it down"
        );
    }
}

#[test]
fn work_at_a_cold_engine_is_outside_the_limit_and_bad_answers_there_leave_it() {
    let sent = burst_at_a_cold_engine(1, 60, 0);
    // A window holds half of 8 s: 26 jobs of 0.15 s by the settings, 40 of the 0.1 s that they are told to be.
    assert!((26..=40).contains(&sent[0]), "{sent:?}");
    let mut host = Host::new(|start| start.types.iter_mut().for_each(|t| t.sla = ms(300)));
    host.list(0, EngineStatus::Gone, None);
    host.list(1, EngineStatus::Gone, None);
    host.pass(10_000);
    host.list(2, EngineStatus::Live, None);
    host.list(3, EngineStatus::Live, Some(host.now));
    (0..200).for_each(|group| _ = host.job(LOOKUP, group));
    host.pull();
    let (warm, cold): (Vec<_>, Vec<_>) =
        std::mem::take(&mut host.sent).into_iter().partition(|(_, engine, _)| *engine == EngineId(2));
    assert!(!warm.is_empty() && !cold.is_empty());
    for (job, ..) in &cold[..cold.len() / 2] {
        // A note tells of a tenth done after a second, which foretells a miss.
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
        "late answers of a cold engine cut the limit from {} to {again}",
        warm.len()
    );
}

#[test]
fn turns_at_engines_that_start_together_fall_to_different_routers() {
    let turns = |mark| burst_at_a_cold_engine(60, 40, mark);
    let (first, second) = (turns(0), turns(30));
    assert!(first.iter().zip(&second).all(|(one, other)| *one == 0 || *other == 0), "{first:?} {second:?}");
}

#[test]
fn a_cold_engine_in_turn_is_taken_as_empty_and_what_is_out_there_leaves_the_limit() {
    assert_eq!(burst_at_a_cold_engine(1, 1, 0), [1], "the other engine has 60 held queries");
    let filled = |cold: bool| {
        let mut host = Host::new(|start| start.types.truncate(1));
        host.list(1, EngineStatus::Gone, None);
        host.pass(10_000);
        if cold {
            host.list(1, EngineStatus::Live, Some(host.now));
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
fn routers_that_number_the_engines_differently_send_the_loads_of_a_group_to_the_same() {
    let homes = |turned: usize| {
        let mut host = Host::new(|start| start.fleet.cross_zone_cost = 0.0);
        (0..2).for_each(|engine| host.list(engine, EngineStatus::Gone, None));
        for mark in 0..8 {
            let id = EngineId(2 + (mark + turned) % 8);
            let (zone, kind) = (ZoneId(0), KindId(0));
            host.router.engine_listed(
                host.now,
                id,
                zone,
                kind,
                CellId(0),
                EngineStatus::Live,
                None,
                mark as u64,
            );
        }
        (0..8).for_each(|_| _ = host.job(LOAD, 3));
        host.pull();
        let mut at: Vec<usize> = host.sent.iter().map(|(_, id, _)| (id.0 - 2 + 8 - turned) % 8).collect();
        at.sort();
        at
    };
    assert_eq!(homes(0), homes(3));
    assert!(homes(0).len() > 1);
}

#[test]
fn what_waits_for_loads_keeps_off_the_engines_of_other_routers_loads_of_its_group() {
    let mut host = Host::new(|start| {
        start.fleet.cross_zone_cost = 0.0;
        start.fleet.router_count = 50;
    });
    (2..8).for_each(|engine| host.list(engine, EngineStatus::Live, None));
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
fn notes_that_foretell_a_miss_cut_the_limit_before_the_answer() {
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
    assert_eq!(host.sent.len(), 16, "24 without the notes");
}

#[test]
fn a_dispatch_lost_without_word_goes_again_elsewhere_in_time() {
    let mut host = Host::new(|_| ());
    let job = host.job(LOOKUP, 1);
    host.pull();
    let first = host.sent[0].1;
    host.pass(700);
    assert_eq!(host.called_off, [(job, 0)]);
    host.end(job, 0, Outcome::Cancelled, 600);
    assert_eq!(host.engines_of(job), [first, other(first)]);
}

#[test]
fn where_nothing_can_be_cancelled_a_copy_goes_out_unless_jobs_wait_unsent() {
    for crowd in [0, 60] {
        let mut host = Host::new(|start| {
            start.further.can_cancel = false;
            start.further.concurrent_dispatches = true;
        });
        let job = host.job(LOOKUP, 1);
        host.pull();
        host.pass(480);
        for _ in 0..crowd {
            host.job(LOOKUP, 1);
        }
        host.pass(200);
        assert_eq!(host.engines_of(job).len(), if crowd == 0 { 2 } else { 1 });
    }
}

#[test]
fn groups_held_by_loads_are_shunned() {
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
fn loads_get_the_top_priority_and_heavy_jobs_a_low_one() {
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
    host.list(0, EngineStatus::Draining, None);
    host.list(1, EngineStatus::Draining, None);
    let over: Vec<JobId> = (0..3).map(|_| host.job_of(LOOKUP, 1, Some(0), None, 100)).collect();
    let within = host.job_of(LOOKUP, 1, Some(1), None, 100);
    host.list(0, EngineStatus::Live, None);
    host.pull();
    let order: Vec<JobId> = host.sent.iter().map(|(job, ..)| *job).collect();
    assert_eq!(order, [over[0], within, over[1], over[2]]);
}

#[test]
fn same_events_make_same_decisions() {
    let play = || {
        let mut host = Host::new(|_| ());
        for group in 0..30 {
            host.job(LOOKUP, group);
            host.pass(20);
        }
        host.sent
    };
    assert_eq!(play(), play());
}

#[test]
fn hearsay_brings_a_probe_forward_and_steers_until_the_engine_speaks() {
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
        "its own answer ends what others said"
    );
}

#[test]
fn hearsay_ends_by_itself_and_never_leaves_a_router_without_engines() {
    let mut host = Host::new(|start| start.watching.may_probe = false);
    host.now = host.now + ms(10);
    for engine in [E0, E1] {
        host.router.peer_reported(host.now, engine, None, 99.0);
    }
    let job = host.job(LOOKUP, 1);
    host.pull();
    assert_eq!(host.engines_of(job).len(), 1);
    host.end(job, 0, Outcome::Done, 10);
    host.router.peer_reported(host.now, E0, None, 1.0);
    host.pass(2_600);
    let mut host_again = Host::new(|_| ());
    let (one, other) = (host.job(LOOKUP, 3), host_again.job(LOOKUP, 3));
    host.pull();
    host_again.pull();
    assert_eq!(
        host.engines_of(one),
        host_again.engines_of(other),
        "after the patience nothing is left of it"
    );
}

#[test]
fn an_engine_that_sends_slowly_is_dearer_and_still_open() {
    let mut host = Host::new(|start| start.fleet.cross_zone_cost = 0.0);
    host.router.transfer_delay_measured(E0, ms(500));
    let jobs: Vec<JobId> = (0..3).map(|group| host.job(LOOKUP, group)).collect();
    host.pull();
    assert!(jobs.iter().all(|job| host.engines_of(*job) == [E1]));
    host.list(1, EngineStatus::Draining, None);
    let job = host.job(LOOKUP, 5);
    host.pull();
    assert_eq!(host.engines_of(job), [E0]);
}

#[test]
fn hearsay_fades() {
    for (after, first) in [(0, E1), (2_400, E0)] {
        let mut host = Host::new(|start| {
            start.fleet.cross_zone_cost = 0.0;
            start.watching.may_probe = false;
        });
        // Work at one engine, and a doubt on the other that weighs more while it is fresh.
        host.list(0, EngineStatus::Gone, None);
        for _ in 0..4 {
            host.job(LOOKUP, 1);
        }
        host.pull();
        host.list(0, EngineStatus::Live, None);
        host.now = host.now + ms(10);
        host.router.peer_reported(host.now, E0, None, 0.5);
        host.now = host.now + ms(after);
        let job = host.job(LOOKUP, 2);
        host.pull();
        assert_eq!(host.engines_of(job), [first], "after {after} ms");
    }
}

#[test]
fn hearsay_of_one_type_leaves_the_others_alone_and_opens_no_closed_engine() {
    let mut host = Host::new(|start| start.fleet.cross_zone_cost = 0.0);
    host.now = host.now + ms(10);
    host.router.peer_reported(host.now, E0, Some(LOAD), 0.8);
    host.pull();
    assert!(host.probed.is_empty(), "a probe says nothing of a type");
    let jobs: Vec<JobId> = (0..4).map(|group| host.job(LOOKUP, group)).collect();
    host.pull();
    assert!(jobs.iter().any(|job| host.engines_of(*job) == [E0]));
    host.list(0, EngineStatus::Draining, None);
    host.router.peer_reported(host.now, E0, None, 0.0);
    host.router.peer_reported(host.now, E1, None, 0.875);
    let job = host.job(LOOKUP, 9);
    host.pull();
    assert_eq!(host.engines_of(job), [E1]);
}

#[test]
fn equal_seeds_and_events_give_equal_decisions() {
    let day = || {
        let mut host = Host::new(|start| start.further.concurrent_dispatches = true);
        (2..40).for_each(|engine| host.list(engine, EngineStatus::Live, None));
        for step in 0..300 {
            let kind = if step % 7 == 0 { LOAD } else { LOOKUP };
            host.job(kind, step % 11);
            host.pass(20);
            let (job, engine, _) = host.sent[host.sent.len() / 2];
            match step % 5 {
                0 => host.end(job, 0, Outcome::Reset, 40),
                1 => host.router.peer_reported(host.now, engine, None, 0.5),
                2 => host.list(step % 40, EngineStatus::Gone, None),
                3 => host.list(step % 40, EngineStatus::Live, Some(host.now)),
                _ => host.end(job, 0, Outcome::Done, 30),
            }
        }
        host.pass(5_000);
        let Host { sent, grants, throttled, cancelled, called_off, probed, forgotten, .. } = host;
        (sent, grants, throttled, cancelled, called_off, probed, forgotten)
    };
    let (one, other) = (day(), day());
    assert!(!one.5.is_empty() && !one.4.is_empty(), "a day with probes and calls off");
    assert_eq!(one, other);
}
