//! The solver against every plan there is, and what must hold of any plan.

use proptest::prelude::*;
use woadhook_zones::allocation::{InputError, ReservationType, Allocation, Zone, extra_throttled_per_lost_zone, solve};

fn served(shares: &Allocation, kinds: &[ReservationType]) -> u64 {
    let of = |kind: usize, to: &Vec<u64>| to.iter().sum::<u64>() * u64::from(kinds[kind].value + 1);
    shares.served.iter().flat_map(|kinds| kinds.iter().enumerate()).map(|(kind, to)| of(kind, to)).sum()
}

fn paid(shares: &Allocation, zones: &[Zone]) -> u64 {
    let of = |home: usize, to: &Vec<u64>| -> u64 {
        to.iter().enumerate().map(|(away, milli)| milli * u64::from(zones[home].crossing[away])).sum()
    };
    shares.served.iter().enumerate().flat_map(|(home, kinds)| kinds.iter().map(move |to| of(home, to))).sum()
}

/// The most value and then the least crossing, over all plans: each unit of demand goes to each zone or is throttled.
fn best(zones: &[Zone], kinds: &[ReservationType]) -> (u64, u64) {
    let mut units: Vec<(usize, usize)> = Vec::new();
    for (home, zone) in zones.iter().enumerate() {
        for (kind, asks) in zone.asks.iter().enumerate() {
            units.extend((0..*asks).map(|_| (home, kind)));
        }
    }
    let mut left: Vec<u64> = zones.iter().map(|zone| zone.capacity).collect();
    fn try_all(
        units: &[(usize, usize)], left: &mut Vec<u64>, zones: &[Zone], kinds: &[ReservationType], value: u64, paid: u64,
        best: &mut (u64, u64),
    ) {
        let Some(((home, kind), rest)) = units.split_first() else {
            if value > best.0 || (value == best.0 && paid < best.1) {
                *best = (value, paid);
            }
            return;
        };
        for away in 0..zones.len() {
            if kinds[*kind].runs_in[away] && left[away] > 0 {
                left[away] -= 1;
                let (more, price) =
                    (u64::from(kinds[*kind].value + 1), u64::from(zones[*home].crossing[away]));
                try_all(rest, left, zones, kinds, value + more, paid + price, best);
                left[away] += 1;
            }
        }
        try_all(rest, left, zones, kinds, value, paid, best);
    }
    let mut found = (0, u64::MAX);
    try_all(&units, &mut left, zones, kinds, 0, 0, &mut found);
    (found.0, if found.0 == 0 { 0 } else { found.1 })
}

fn world(most_zones: usize, most_types: usize, most: u64) -> impl Strategy<Value = (Vec<Zone>, Vec<ReservationType>)> {
    (1..=most_zones, 1..=most_types).prop_flat_map(move |(zones, types)| {
        let zone =
            (0..=2 * most, prop::collection::vec(0..=most, types), prop::collection::vec(1_u32..9, zones));
        let kind = (0_u32..5, prop::collection::vec(prop::bool::weighted(0.8), zones));
        (prop::collection::vec(zone, zones), prop::collection::vec(kind, types)).prop_map(|(zones, kinds)| {
            let zones = zones.into_iter().enumerate().map(|(home, (bears, asks, mut crossing))| {
                crossing[home] = 0;
                Zone { capacity: bears, asks, crossing }
            });
            let kinds = kinds.into_iter().map(|(value, runs_in)| ReservationType { value, runs_in });
            (zones.collect(), kinds.collect())
        })
    })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, ..ProptestConfig::default() })]

    #[test]
    fn no_plan_serves_more_value_or_the_same_with_less_crossing((zones, kinds) in world(3, 2, 1)) {
        let shares = solve(&zones, &kinds).unwrap();
        prop_assert_eq!((served(&shares, &kinds), paid(&shares, &zones)), best(&zones, &kinds));
    }

    #[test]
    fn every_plan_adds_up_and_overfills_no_zone((zones, kinds) in world(8, 8, 100_000)) {
        let shares = solve(&zones, &kinds).unwrap();
        let mut filled = vec![0; zones.len()];
        for (home, zone) in zones.iter().enumerate() {
            for (kind, asks) in zone.asks.iter().enumerate() {
                let to = &shares.served[home][kind];
                prop_assert_eq!(to.iter().sum::<u64>() + shares.throttled[home][kind], *asks);
                for (away, milli) in to.iter().enumerate() {
                    filled[away] += milli;
                    prop_assert!(*milli == 0 || kinds[kind].runs_in[away], "rule 6");
                }
            }
        }
        for (zone, filled) in zones.iter().zip(&filled) {
            prop_assert!(*filled <= zone.capacity);
        }
        let spare: Vec<u64> = zones.iter().zip(&filled).map(|(zone, filled)| zone.capacity - filled).collect();
        prop_assert_eq!(&shares.spare, &spare);
        prop_assert_eq!(&solve(&zones, &kinds).unwrap(), &shares, "the same anywhere");
    }
}

fn three(bears: [u64; 3]) -> (Vec<Zone>, Vec<ReservationType>) {
    let zone = |home: usize| Zone {
        capacity: bears[home],
        asks: vec![400, 200],
        crossing: (0..3_u32).map(|away| 300 * (home as u32).abs_diff(away)).collect(),
    };
    let kind = |value| ReservationType { value, runs_in: vec![true; 3] };
    ((0..3).map(zone).collect(), vec![kind(1), kind(6)])
}

#[test]
fn all_stay_near_while_each_zone_bears_its_own() {
    let (zones, kinds) = three([1000, 600, 800]);
    let shares = solve(&zones, &kinds).unwrap();
    assert_eq!((shares.cross_zone_total(), shares.throttles_any()), (0, false));
    assert_eq!(shares.spare, [400, 0, 200]);
}

#[test]
fn a_lost_zones_jobs_go_where_there_is_room_the_nearest_first_and_the_least_worth_is_throttled() {
    let (zones, kinds) = three([0, 900, 700]);
    let shares = solve(&zones, &kinds).unwrap();
    assert_eq!(shares.throttled.iter().map(|kinds| kinds[1]).sum::<u64>(), 0, "what is worth six is served");
    assert_eq!(shares.throttled.iter().map(|kinds| kinds[0]).sum::<u64>(), 200);
    assert_eq!(shares.spare, [0, 0, 0]);
    assert!(extra_throttled_per_lost_zone(&zones, &kinds).unwrap()[1].is_some_and(|more| more == 900));
}

#[test]
fn what_one_more_loss_would_throttle_is_told() {
    let (zones, kinds) = three([1000, 1000, 1000]);
    assert_eq!(extra_throttled_per_lost_zone(&zones, &kinds).unwrap(), [None, None, None], "two bear what three ask");
    let (zones, kinds) = three([1000, 700, 900]);
    assert_eq!(extra_throttled_per_lost_zone(&zones, &kinds).unwrap(), [Some(200), None, Some(100)]);
}

#[test]
fn figures_out_of_shape_or_size_are_named() {
    let (mut zones, kinds) = three([1, 1, 1]);
    assert_eq!(solve(&[], &kinds), Err(InputError::Count));
    zones[1].asks.pop();
    assert_eq!(solve(&zones, &kinds), Err(InputError::Length("asks")));
    let (mut zones, kinds) = three([1, 1, 1]);
    zones[2].capacity = u64::MAX;
    assert_eq!(solve(&zones, &kinds), Err(InputError::TooLarge("capacity or asks")));
    let (zones, mut kinds) = three([1, 1, 1]);
    kinds[0].runs_in.push(true);
    assert_eq!(solve(&zones, &kinds), Err(InputError::Length("runs_in")));
    let (zones, mut kinds) = three([1, 1, 1]);
    kinds[0].value = u32::MAX;
    assert_eq!(solve(&zones, &kinds), Err(InputError::TooLarge("value")));
}
