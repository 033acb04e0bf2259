//! What holds of wheels, rates, shares and turns for any input.

use std::collections::BTreeMap;

use proptest::prelude::*;
use woadhook::{Moment, Span};
use woadhook_pace::crawl::Standing;
use woadhook_pace::rate::{Least, Watch};
use woadhook_pace::shares::{May, Shares};
use woadhook_pace::turns::Turn;
use woadhook_pace::wheel::Wheel;

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
    Pass(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let ahead = prop_oneof![0_u64..80, 0_u64..5_000, 0_u64..10_000_000, Just(u64::MAX / 10_000_000)];
    let step = prop_oneof![
        4 => ahead.prop_map(Step::Start),
        2 => (0_usize..400).prop_map(Step::Cancel),
        3 => prop_oneof![0_u64..100, 0_u64..20_000, 0_u64..3_000_000].prop_map(Step::Pass),
    ];
    proptest::collection::vec(step, 1..300)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, ..ProptestConfig::default() })]

    /// The wheel gives out just what a sorted list would, none before its time, however small its steps.
    #[test]
    fn a_wheel_is_a_sorted_list(steps in steps(), most in 1_usize..40) {
        let (mut wheel, mut plain) = (Wheel::new(at(0), ms(1)), BTreeMap::new());
        let (mut keys, mut now) = (Vec::new(), 0_u64);
        for (number, step) in steps.into_iter().enumerate() {
            match step {
                Step::Start(ahead) => {
                    let due = now.saturating_add(ahead);
                    keys.push((wheel.start(at(due), number), (due, number)));
                    plain.insert((due, number), ());
                }
                Step::Cancel(which) => {
                    if let Some((key, known)) = keys.get(which) {
                        prop_assert_eq!(wheel.cancel(*key).is_some(), plain.remove(known).is_some());
                    }
                }
                Step::Pass(span) => {
                    now += span;
                    let mut over = Vec::new();
                    while wheel.due().is_some_and(|due| due <= at(now)) {
                        over.extend(wheel.next(at(now), most));
                    }
                    over.sort_unstable();
                    let mut due: Vec<usize> = plain.keys().take_while(|(due, _)| *due <= now).map(|(_, n)| *n).collect();
                    due.sort_unstable();
                    prop_assert_eq!(&over, &due);
                    plain.retain(|(due, _), ()| *due > now);
                }
            }
            prop_assert_eq!(wheel.len(), plain.len());
            let first = plain.keys().next().map(|(due, _)| at(*due));
            prop_assert!(wheel.due() <= first || first.is_none(), "it wakes no later than the first deadline");
            prop_assert_eq!(wheel.due().is_none(), plain.is_empty());
        }
    }

    /// The sum never passes the limit, and who is under its floor never waits.
    #[test]
    fn a_room_is_never_overfull_and_every_floor_is_kept(
        limit in 1_000_usize..1_000_000, peers in 1_usize..40, apart in 0.1_f64..1.0, factor in 0.1_f64..8.0,
        asks in proptest::collection::vec((0_usize..40, 0_usize..200_000, any::<bool>()), 1..400),
    ) {
        let mut shares = Shares::new(limit, peers, apart, factor);
        let mut held: BTreeMap<usize, usize> = BTreeMap::new();
        for (peer, bytes, gives) in asks {
            let peer = peer % peers;
            let own = held.entry(peer).or_default();
            if gives {
                let bytes = bytes.min(*own);
                shares.give(&peer, bytes);
                *own -= bytes;
            } else {
                let may = shares.take(&peer, bytes);
                if *own + bytes <= shares.floor() {
                    prop_assert_eq!(may, May::Yes, "under its floor");
                }
                if may == May::Yes {
                    *own += bytes;
                }
                if may == May::Never {
                    prop_assert!(bytes > shares.most());
                }
            }
            let sum: usize = held.values().sum();
            prop_assert_eq!(sum, shares.held());
            prop_assert!(sum <= limit);
            prop_assert_eq!(shares.peers(), held.values().filter(|held| **held > 0).count());
            prop_assert!(shares.held_by(&peer) <= shares.most());
        }
        for (peer, own) in held {
            shares.give(&peer, own);
        }
        prop_assert_eq!((shares.held(), shares.peers()), (0, 0));
    }

    /// Who keeps the rate is never dropped, whatever the pieces, as long as no pause is longer than the grace; who
    /// stays below it by a fifth is, in the end.
    #[test]
    fn a_rate_that_is_kept_is_enough_and_less_is_not(
        rate in 10.0_f64..1e6, grace in 100_u64..5_000, gaps in proptest::collection::vec(1_u64..1_000, 10..200),
    ) {
        let least = Least { rate, grace: ms(grace) };
        let (mut kept, mut below) = (Watch::start(at(0), least), Watch::start(at(0), least));
        let (mut now, mut slow_by) = (0, None);
        for gap in gaps.iter().map(|gap| 1 + gap % grace).cycle().take(20_000) {
            now += gap;
            prop_assert!(!kept.is_too_slow(at(now)) || now == gap && gap == grace);
            kept.moved(at(now), (rate * gap as f64 / 1e3).ceil() as usize + 1);
            if below.is_too_slow(at(now)) {
                slow_by = Some(now);
                break;
            }
            below.moved(at(now), (rate * gap as f64 / 1e3 * 0.5) as usize);
        }
        prop_assert!(slow_by.is_some_and(|by| by <= grace * 6 + 2_000));
    }

    /// Over any time, tasks that always have work get the same bytes, but for one turn and one call.
    #[test]
    fn turns_are_fair(calls in proptest::collection::vec(1_usize..30_000, 2..8), quantum in 1_000_usize..20_000) {
        let mut tasks: Vec<(Turn, usize, usize)> = calls.iter().map(|call| (Turn::new(quantum), *call, 0)).collect();
        for _ in 0..500 {
            for (turn, call, done) in &mut tasks {
                if !turn.again() {
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
        let most = tasks.iter().map(|(.., done)| *done).max().unwrap_or(0);
        let least = tasks.iter().map(|(.., done)| *done).min().unwrap_or(0);
        prop_assert!(most - least <= 2 * (30_000 + quantum), "{most} and {least}");
    }
}

#[test]
fn a_pause_of_three_seconds_is_borne_and_a_byte_a_second_is_not() {
    let least = Least { rate: 1_000.0, grace: ms(3_500) };
    let mut pauses = Watch::start(at(0), least);
    pauses.moved(at(100), 500);
    assert!(!pauses.is_too_slow(at(3_100)));
    pauses.moved(at(3_100), 4_000);
    assert!(!pauses.is_too_slow(at(6_000)));
    let mut trickles = Watch::start(at(0), least);
    for second in 1..=3 {
        trickles.moved(at(second * 1_000), 1);
    }
    assert!(trickles.is_too_slow(at(3_504)));
    let (bytes, rate) = trickles.figures(at(3_000));
    assert_eq!((bytes, rate.round()), (3, 1.0));
}

#[test]
fn a_burst_is_not_saved_up_for_long() {
    let mut watch = Watch::start(at(0), Least { rate: 1_000.0, grace: ms(1_000) });
    watch.moved(at(10), 10_000_000);
    assert!(watch.is_too_slow(at(2_010)));
}

#[test]
fn a_newcomer_finds_its_floor_beside_greedy_peers() {
    let mut shares = Shares::new(100_000, 10, 0.5, 1.0);
    for greedy in 0..9 {
        while shares.take(&greedy, 100) == May::Yes {}
    }
    assert!(shares.held() > 90_000);
    assert_eq!(shares.take(&9, shares.floor()), May::Yes);
    let alone = Shares::<u32>::new(100_000, 10, 0.5, 1.0);
    assert_eq!(alone.most(), 5_000 + 25_000, "one peer gets half of what is common");
    assert_eq!(alone.may(&1, 30_001), May::Never);
}

#[test]
fn an_engine_at_a_crawl_is_told_from_its_peers() {
    let mut standing = Standing::default();
    for _ in 0..8 {
        for engine in 0..5 {
            let body = if engine == 3 { ms(2_000) } else { ms(10) };
            standing.sent(engine, 6_000, ms(5), body);
        }
        standing.sent(4, 10, ms(5), ms(9_000));
    }
    (0..400).for_each(|_| standing.result(6_000));
    assert!(standing.longer(3) > ms(1_900));
    assert_eq!(standing.longer(4), Span::ZERO, "ten bytes tell nothing");
    assert_eq!(standing.longer(9), Span::ZERO);
    let (rate, first, place) = standing.figures(3).unwrap();
    assert_eq!((rate.round(), first, place), (3_000.0, ms(5), 1));
    let least = standing.least(0.1, 1e9);
    assert!((59_000.0..61_000.0).contains(&least), "{least}");
    // All at a crawl: then that is the middle.
    let mut all = Standing::default();
    (0..6).for_each(|engine| (0..5).for_each(|_| all.sent(engine, 6_000, ms(5), ms(2_000))));
    all.result(6_000);
    assert_eq!(all.longer(2), Span::ZERO);
    assert!(all.least(0.5, 16_000.0) <= 1_600.0);
    all.forget(2);
    assert!(all.figures(2).is_none());
}
