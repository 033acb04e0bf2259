//! Properties of the timer wheel, minimum rates, memory shares and turns that hold for any input.

use std::collections::BTreeMap;

use proptest::prelude::*;
use woadhook::{Moment, Span};
use woadhook_flow_control::engine_rates::EngineRates;
use woadhook_flow_control::min_rate::{MinRate, RateMonitor};
use woadhook_flow_control::round_robin::DeficitCounter;
use woadhook_flow_control::shares::{Reservation, Shares};
use woadhook_flow_control::timer_wheel::TimerWheel;

fn ms(millis: u64) -> Span {
    Span::from_micros(millis * 1000)
}

fn at(millis: u64) -> Moment {
    Moment::from_micros(1_000_000_000) + ms(millis)
}

#[derive(Clone, Debug)]
enum Step {
    Start(u64),
    Cancel(usize),
    Advance(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let ahead = prop_oneof![0_u64..80, 0_u64..5_000, 0_u64..10_000_000, Just(u64::MAX / 10_000_000)];
    let step = prop_oneof![
        4 => ahead.prop_map(Step::Start),
        2 => (0_usize..400).prop_map(Step::Cancel),
        3 => prop_oneof![0_u64..100, 0_u64..20_000, 0_u64..3_000_000].prop_map(Step::Advance),
    ];
    proptest::collection::vec(step, 1..300)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, ..ProptestConfig::default() })]

    /// The wheel expires exactly the timers that a sorted list would, none early, however few timers a call
    /// may move.
    #[test]
    fn wheel_expires_timers_like_a_sorted_list(steps in steps(), max_moves in 1_usize..40) {
        let (mut wheel, mut sorted) = (TimerWheel::new(at(0), ms(1)), BTreeMap::new());
        let (mut keys, mut now) = (Vec::new(), 0_u64);
        for (number, step) in steps.into_iter().enumerate() {
            match step {
                Step::Start(ahead) => {
                    let due = now.saturating_add(ahead);
                    keys.push((wheel.insert(at(due), number), (due, number)));
                    sorted.insert((due, number), ());
                }
                Step::Cancel(which) => {
                    if let Some((key, known)) = keys.get(which) {
                        prop_assert_eq!(wheel.cancel(*key).is_some(), sorted.remove(known).is_some());
                    }
                }
                Step::Advance(span) => {
                    now += span;
                    let mut expired = Vec::new();
                    while wheel.next_wake().is_some_and(|due| due <= at(now)) {
                        expired.extend(wheel.pop_expired(at(now), max_moves));
                    }
                    expired.sort_unstable();
                    let mut due: Vec<usize> =
                        sorted.keys().take_while(|(due, _)| *due <= now).map(|(_, n)| *n).collect();
                    due.sort_unstable();
                    prop_assert_eq!(&expired, &due);
                    sorted.retain(|(due, _), ()| *due > now);
                }
            }
            prop_assert_eq!(wheel.len(), sorted.len());
            let first = sorted.keys().next().map(|(due, _)| at(*due));
            prop_assert!(wheel.next_wake() <= first || first.is_none(), "it wakes no later than the first deadline");
            prop_assert_eq!(wheel.next_wake().is_none(), sorted.is_empty());
        }
    }

    /// The sum never exceeds the limit, and a peer below its floor never waits.
    #[test]
    fn shares_keep_the_limit_and_every_floor(
        limit in 1_000_usize..1_000_000, peers in 1_usize..40,
        floor_part in 0.1_f64..1.0, factor in 0.1_f64..8.0,
        asks in proptest::collection::vec((0_usize..40, 0_usize..200_000, any::<bool>()), 1..400),
    ) {
        let mut shares = Shares::new(limit, peers, floor_part, factor);
        let mut held: BTreeMap<usize, usize> = BTreeMap::new();
        for (peer, bytes, releases) in asks {
            let peer = peer % peers;
            let own = held.entry(peer).or_default();
            if releases {
                let bytes = bytes.min(*own);
                shares.release(&peer, bytes);
                *own -= bytes;
            } else {
                let outcome = shares.reserve(&peer, bytes);
                if *own + bytes <= shares.floor() {
                    prop_assert_eq!(outcome, Reservation::Granted, "within the floor");
                }
                if outcome == Reservation::Granted {
                    *own += bytes;
                }
                if outcome == Reservation::TooLarge {
                    prop_assert!(bytes > shares.max_per_peer());
                }
            }
            let sum: usize = held.values().sum();
            prop_assert_eq!(sum, shares.held());
            prop_assert!(sum <= limit);
            prop_assert_eq!(shares.peers(), held.values().filter(|held| **held > 0).count());
            prop_assert!(shares.held_by(&peer) <= shares.max_per_peer());
        }
        for (peer, own) in held {
            shares.release(&peer, own);
        }
        prop_assert_eq!((shares.held(), shares.peers()), (0, 0));
    }

    /// A peer at the minimum rate is never dropped, whatever the sizes of its pieces, as long as no pause
    /// exceeds the grace period. A peer at half the rate is dropped in the end.
    #[test]
    fn peer_at_the_minimum_rate_is_kept_and_a_slower_one_dropped(
        rate in 10.0_f64..1e6, grace in 100_u64..5_000, gaps in proptest::collection::vec(1_u64..1_000, 10..200),
    ) {
        let min_rate = MinRate { bytes_per_s: rate, grace: ms(grace) };
        let (mut kept, mut below) =
            (RateMonitor::start(at(0), min_rate), RateMonitor::start(at(0), min_rate));
        let (mut now, mut slow_by) = (0, None);
        for gap in gaps.iter().map(|gap| 1 + gap % grace).cycle().take(20_000) {
            now += gap;
            prop_assert!(!kept.is_too_slow(at(now)) || now == gap && gap == grace);
            kept.record(at(now), (rate * gap as f64 / 1e3).ceil() as usize + 1);
            if below.is_too_slow(at(now)) {
                slow_by = Some(now);
                break;
            }
            below.record(at(now), (rate * gap as f64 / 1e3 * 0.5) as usize);
        }
        prop_assert!(slow_by.is_some_and(|by| by <= grace * 6 + 2_000));
    }

    /// Tasks that always have work process the same number of bytes over any time, within one turn and one
    /// call.
    #[test]
    fn tasks_process_equal_bytes(
        calls in proptest::collection::vec(1_usize..30_000, 2..8), quantum in 1_000_usize..20_000,
    ) {
        let mut tasks: Vec<(DeficitCounter, usize, usize)> =
            calls.iter().map(|call| (DeficitCounter::new(quantum), *call, 0)).collect();
        for _ in 0..500 {
            for (turn, call, done) in &mut tasks {
                if !turn.replenish() {
                    continue;
                }
                loop {
                    *done += *call;
                    if turn.spend(*call) {
                        break;
                    }
                }
            }
        }
        let max = tasks.iter().map(|(.., done)| *done).max().unwrap_or(0);
        let min = tasks.iter().map(|(.., done)| *done).min().unwrap_or(0);
        prop_assert!(max - min <= 2 * (30_000 + quantum), "{max} and {min}");
    }
}

#[test]
fn pause_within_the_grace_is_accepted_and_a_trickle_is_not() {
    let min_rate = MinRate { bytes_per_s: 1_000.0, grace: ms(3_500) };
    let mut pauses = RateMonitor::start(at(0), min_rate);
    pauses.record(at(100), 500);
    assert!(!pauses.is_too_slow(at(3_100)));
    pauses.record(at(3_100), 4_000);
    assert!(!pauses.is_too_slow(at(6_000)));
    let mut trickles = RateMonitor::start(at(0), min_rate);
    for second in 1..=3 {
        trickles.record(at(second * 1_000), 1);
    }
    assert!(trickles.is_too_slow(at(3_504)));
    let (bytes, rate) = trickles.stats(at(3_000));
    assert_eq!((bytes, rate.round()), (3, 1.0));
}

#[test]
fn burst_earns_no_long_credit() {
    let mut monitor = RateMonitor::start(at(0), MinRate { bytes_per_s: 1_000.0, grace: ms(1_000) });
    monitor.record(at(10), 10_000_000);
    assert!(monitor.is_too_slow(at(2_010)));
}

#[test]
fn new_peer_gets_its_floor_beside_greedy_peers() {
    let mut shares = Shares::new(100_000, 10, 0.5, 1.0);
    for greedy in 0..9 {
        while shares.reserve(&greedy, 100) == Reservation::Granted {}
    }
    assert!(shares.held() > 90_000);
    assert_eq!(shares.reserve(&9, shares.floor()), Reservation::Granted);
    let alone = Shares::<u32>::new(100_000, 10, 0.5, 1.0);
    assert_eq!(alone.max_per_peer(), 5_000 + 25_000, "one peer gets half of the common part");
    assert_eq!(alone.check(&1, 30_001), Reservation::TooLarge);
}

#[test]
fn slow_engine_is_detected_among_its_peers() {
    let mut rates = EngineRates::default();
    for _ in 0..8 {
        for engine in 0..5 {
            let body = if engine == 3 { ms(2_000) } else { ms(10) };
            rates.record_transfer(engine, 6_000, ms(5), body);
        }
        rates.record_transfer(4, 10, ms(5), ms(9_000));
    }
    (0..400).for_each(|_| rates.record_result_size(6_000));
    assert!(rates.extra_transfer_time(3) > ms(1_900));
    assert_eq!(rates.extra_transfer_time(4), Span::ZERO, "a transfer of ten bytes is ignored");
    assert_eq!(rates.extra_transfer_time(9), Span::ZERO);
    let (rate, first, rank) = rates.stats(3).unwrap();
    assert_eq!((rate.round(), first, rank), (3_000.0, ms(5), 1));
    let min_rate = rates.min_rate(0.1, 1e9);
    assert!((59_000.0..61_000.0).contains(&min_rate), "{min_rate}");
    // Where all engines are equally slow, the median is slow as well.
    let mut equal = EngineRates::default();
    (0..6).for_each(|engine| (0..5).for_each(|_| equal.record_transfer(engine, 6_000, ms(5), ms(2_000))));
    equal.record_result_size(6_000);
    assert_eq!(equal.extra_transfer_time(2), Span::ZERO);
    assert!(equal.min_rate(0.5, 16_000.0) <= 1_600.0);
    equal.remove(2);
    assert!(equal.stats(2).is_none());
}
