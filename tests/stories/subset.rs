//! Stories of a router that holds only some of the listed engines.

use super::host::*;
use woadhook::*;

#[test]
fn an_engine_outside_the_working_set_gets_nothing_more_and_is_let_go_of_once_its_work_is_over() {
    let mut host = Host::new(|_| ());
    let job = host.job(LOOKUP, 1);
    host.pull();
    let engine = host.sent[0].1;
    host.list(engine.0, Listed::Outside, None);
    host.pass(500);
    assert!(host.forgotten.is_empty() && host.called_off.is_empty(), "what is out there ends as usual");
    host.end(job, 0, Outcome::Done, 500);
    for group in 0..4 {
        host.job(LOOKUP, group);
    }
    host.pull();
    assert!(host.sent[1..].iter().all(|(_, to, _)| *to != engine));
    assert!(!host.forgotten.contains(&Forgotten::Engine(engine)), "what it was sent still counts");
    host.pass(2_200);
    assert!(host.forgotten.contains(&Forgotten::Engine(engine)));
    assert!(host.probed.iter().all(|probed| *probed != engine));
}

#[test]
fn an_engine_that_comes_back_before_it_was_let_go_of_is_used_again_with_all_that_is_known() {
    let mut host = Host::new(|_| ());
    let job = host.job(LOOKUP, 1);
    host.pull();
    let engine = host.sent[0].1;
    host.list(engine.0, Listed::Outside, None);
    host.pull();
    host.list(engine.0, Listed::Live, None);
    host.end(job, 0, Outcome::Done, 100);
    host.job(LOOKUP, 1);
    host.pull();
    assert_eq!(host.sent[1].1, engine, "it has the group warm");
    assert!(!host.forgotten.contains(&Forgotten::Engine(engine)));
}

#[test]
fn a_set_away_engine_outside_the_working_set_is_not_probed() {
    let mut host = Host::new(|_| ());
    let job = host.job(LOOKUP, 1);
    host.pull();
    let engine = host.sent[0].1;
    host.end(job, 0, Outcome::Reset, 10);
    host.probed.clear();
    host.router.probe_ended(host.now, engine, Outcome::TimedOut);
    host.list(engine.0, Listed::Outside, None);
    host.pass(3_000);
    assert!(!host.probed.contains(&engine));
    assert!(host.forgotten.contains(&Forgotten::Engine(engine)));
}

/// Jobs that such sharers of a cold engine send there in 12 s, one router after another, with the time of each.
fn sent_to_a_cold_engine(ranks: std::ops::Range<usize>, sharers: usize) -> Vec<Moment> {
    let mut sent = vec![];
    for rank in ranks {
        let mut host = Host::new(|start| (start.fleet.replicas, start.fleet.number) = (1800, 7));
        host.list(0, Listed::Gone, None);
        host.pass(10_000);
        host.list(1, Listed::Live, Some(host.now));
        host.place(1, rank, sharers, 2 * sharers);
        for _ in 0..100 {
            host.job(LOOKUP, 1);
            host.pass(120);
            for (job, ..) in std::mem::take(&mut host.sent) {
                sent.push(host.now);
                host.end(job, 0, Outcome::Done, 20);
            }
        }
    }
    sent
}

#[test]
fn the_sharers_of_a_cold_engine_take_turns_and_use_its_budget() {
    let sent = sent_to_a_cold_engine(0..60, 60);
    let first = *sent.iter().min().unwrap();
    for at in &sent {
        let within = sent.iter().filter(|t| **t >= *at && t.since(*at) < ms(2_000)).count() as f64;
        let most = 320.0 * (0.25 + 0.75 * at.since(first).secs() / 15.0);
        assert!(within <= most, "{within} in a window {:?} after the start", at.since(first));
    }
    assert!(sent.len() >= 200, "{} in all", sent.len());
}

#[test]
fn a_router_that_holds_an_engine_beyond_its_sharers_sends_it_nothing_while_it_is_cold() {
    assert!(sent_to_a_cold_engine(60..64, 60).is_empty());
}

#[test]
fn while_routers_may_differ_on_the_sharers_of_a_cold_engine_it_gets_nothing() {
    let mut host = Host::new(|start| start.fleet.replicas = 4);
    host.list(0, Listed::Gone, None);
    host.pass(10_000);
    host.list(1, Listed::Live, Some(host.now));
    let settled = host.now + ms(6_000);
    host.router.engine_placed(E1, Some(Place { rank: 0, sharers: 1, holders: 2 }), settled);
    let send = |host: &mut Host, millis: u64| {
        for _ in 0..millis / 500 {
            host.job(LOOKUP, 1);
            host.pass(500);
        }
        host.sent.len()
    };
    assert_eq!(send(&mut host, 5_500), 0);
    assert!(send(&mut host, 2_000) > 0);
    // The same sharers again, of which it is said that all agree.
    host.router.engine_placed(E1, Some(Place { rank: 0, sharers: 1, holders: 4 }), host.now + ms(60_000));
    let before = host.sent.len();
    assert!(send(&mut host, 2_000) > before);
}

#[test]
fn the_limit_of_a_router_is_its_part_of_all_engines_whichever_it_holds() {
    let burst = |engines: usize, holders: Option<usize>| {
        let mut host = Host::new(|start| start.fleet.replicas = 100);
        for engine in 0..engines {
            host.list(engine, Listed::Live, None);
            if let Some(holders) = holders {
                host.place(engine, 0, holders, holders);
            }
        }
        for group in 0..200 {
            host.job_of(LOOKUP, group, None, None, 1_000);
        }
        host.pull();
        host.sent.len()
    };
    let whole = burst(400, None);
    assert_eq!(burst(40, Some(10)), whole);
    assert!(burst(40, None) < whole);
}

#[test]
fn a_job_that_no_engine_can_take_widens_the_set_once_in_a_while_until_nobody_needs_it() {
    let mut host = Host::new(|_| ());
    host.list(0, Listed::Draining, None);
    host.list(1, Listed::Draining, None);
    host.job(LOOKUP, 1);
    host.pass(500);
    assert!(host.widened.is_empty(), "all engines are held");
    host.router.may_widen(true);
    host.pass(480);
    assert_eq!(host.widened.len(), 2, "once in 250 ms");
    host.list(2, Listed::Live, None);
    host.pass(20);
    assert_eq!(host.sent.len(), 1, "the newcomer takes it");
    host.router.may_widen(false);
    let last = *host.widened.last().unwrap();
    host.end(JobId(0), 0, Outcome::Done, 100);
    host.pass(25_000);
    assert_eq!(host.narrowed.len(), 1);
    assert!(host.narrowed[0].since(last) > ms(20_000), "no sooner than the longest job timeout");
}

#[test]
fn a_job_that_waits_for_its_turn_or_for_the_limit_widens_nothing() {
    let mut host = Host::new(|start| start.types[0].ordered = true);
    host.router.may_widen(true);
    host.job_of(LOOKUP, 1, None, Some(1), 100);
    host.job_of(LOOKUP, 1, None, Some(1), 100);
    host.pass(400);
    assert_eq!((host.sent.len(), host.widened.len()), (1, 0));
    for group in 0..100 {
        host.job_of(LOOKUP, group, None, Some(group + 2), 1_000);
    }
    host.pass(100);
    assert!(host.sent.len() < 100 && host.widened.is_empty());
}
