//! Compares the solver with an exhaustive search, and checks properties of every allocation.

use proptest::prelude::*;
use woadhook_zones::allocation::{
    Allocation, InputError, ReservationType, Zone, extra_throttled_per_lost_zone, solve,
};

fn served_value(allocation: &Allocation, types: &[ReservationType]) -> u64 {
    let value = |type_index: usize, by_zone: &Vec<u64>| {
        by_zone.iter().sum::<u64>() * u64::from(types[type_index].value + 1)
    };
    allocation
        .served
        .iter()
        .flat_map(|types| types.iter().enumerate())
        .map(|(type_index, by_zone)| value(type_index, by_zone))
        .sum()
}

fn crossing_cost(allocation: &Allocation, zones: &[Zone]) -> u64 {
    let cost = |home: usize, by_zone: &Vec<u64>| -> u64 {
        by_zone
            .iter()
            .enumerate()
            .map(|(serving, millicores)| millicores * u64::from(zones[home].crossing[serving]))
            .sum()
    };
    allocation
        .served
        .iter()
        .enumerate()
        .flat_map(|(home, types)| types.iter().map(move |by_zone| cost(home, by_zone)))
        .sum()
}

/// The largest served value and the least crossing cost at that value, by exhaustive search: each unit of
/// demand goes to any zone or is throttled.
fn best(zones: &[Zone], types: &[ReservationType]) -> (u64, u64) {
    let mut units: Vec<(usize, usize)> = Vec::new();
    for (home, zone) in zones.iter().enumerate() {
        for (type_index, asks) in zone.asks.iter().enumerate() {
            units.extend((0..*asks).map(|_| (home, type_index)));
        }
    }
    let mut spare: Vec<u64> = zones.iter().map(|zone| zone.capacity).collect();
    fn search(
        units: &[(usize, usize)], spare: &mut Vec<u64>, zones: &[Zone], types: &[ReservationType],
        value: u64, cost: u64, best: &mut (u64, u64),
    ) {
        let Some(((home, type_index), rest)) = units.split_first() else {
            if value > best.0 || (value == best.0 && cost < best.1) {
                *best = (value, cost);
            }
            return;
        };
        for serving in 0..zones.len() {
            if types[*type_index].runs_in[serving] && spare[serving] > 0 {
                spare[serving] -= 1;
                let (unit_value, unit_cost) =
                    (u64::from(types[*type_index].value + 1), u64::from(zones[*home].crossing[serving]));
                search(rest, spare, zones, types, value + unit_value, cost + unit_cost, best);
                spare[serving] += 1;
            }
        }
        search(rest, spare, zones, types, value, cost, best);
    }
    let mut best = (0, u64::MAX);
    search(&units, &mut spare, zones, types, 0, 0, &mut best);
    (best.0, if best.0 == 0 { 0 } else { best.1 })
}

fn any_inputs(
    max_zones: usize, max_types: usize, max_demand: u64,
) -> impl Strategy<Value = (Vec<Zone>, Vec<ReservationType>)> {
    (1..=max_zones, 1..=max_types).prop_flat_map(move |(zone_count, type_count)| {
        let zone = (
            0..=2 * max_demand,
            prop::collection::vec(0..=max_demand, type_count),
            prop::collection::vec(1_u32..9, zone_count),
        );
        let reservation_type = (0_u32..5, prop::collection::vec(prop::bool::weighted(0.8), zone_count));
        (prop::collection::vec(zone, zone_count), prop::collection::vec(reservation_type, type_count))
            .prop_map(|(zones, types)| {
                let zones = zones.into_iter().enumerate().map(|(home, (capacity, asks, mut crossing))| {
                    crossing[home] = 0;
                    Zone { capacity, asks, crossing }
                });
                let types = types.into_iter().map(|(value, runs_in)| ReservationType { value, runs_in });
                (zones.collect(), types.collect())
            })
    })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, ..ProptestConfig::default() })]

    #[test]
    fn solution_has_the_largest_value_and_then_the_least_crossing((zones, types) in any_inputs(3, 2, 1)) {
        let allocation = solve(&zones, &types).unwrap();
        prop_assert_eq!(
            (served_value(&allocation, &types), crossing_cost(&allocation, &zones)),
            best(&zones, &types)
        );
    }

    #[test]
    fn allocation_covers_all_demand_within_capacity_and_restrictions(
        (zones, types) in any_inputs(8, 8, 100_000),
    ) {
        let allocation = solve(&zones, &types).unwrap();
        let mut used = vec![0; zones.len()];
        for (home, zone) in zones.iter().enumerate() {
            for (type_index, asks) in zone.asks.iter().enumerate() {
                let by_zone = &allocation.served[home][type_index];
                prop_assert_eq!(
                    by_zone.iter().sum::<u64>() + allocation.throttled[home][type_index],
                    *asks
                );
                for (serving, millicores) in by_zone.iter().enumerate() {
                    used[serving] += millicores;
                    prop_assert!(
                        *millicores == 0 || types[type_index].runs_in[serving],
                        "demand was served in a zone where its type may not run"
                    );
                }
            }
        }
        for (zone, used) in zones.iter().zip(&used) {
            prop_assert!(*used <= zone.capacity);
        }
        let spare: Vec<u64> = zones.iter().zip(&used).map(|(zone, used)| zone.capacity - used).collect();
        prop_assert_eq!(&allocation.spare, &spare);
        prop_assert_eq!(&solve(&zones, &types).unwrap(), &allocation, "equal inputs gave unequal results");
    }
}

fn three_zones(capacities: [u64; 3]) -> (Vec<Zone>, Vec<ReservationType>) {
    let zone = |home: usize| Zone {
        capacity: capacities[home],
        asks: vec![400, 200],
        crossing: (0..3_u32).map(|serving| 300 * (home as u32).abs_diff(serving)).collect(),
    };
    let reservation_type = |value| ReservationType { value, runs_in: vec![true; 3] };
    ((0..3).map(zone).collect(), vec![reservation_type(1), reservation_type(6)])
}

#[test]
fn demand_stays_home_while_each_zone_has_capacity_for_its_own() {
    let (zones, types) = three_zones([1000, 600, 800]);
    let allocation = solve(&zones, &types).unwrap();
    assert_eq!((allocation.cross_zone_total(), allocation.throttles_any()), (0, false));
    assert_eq!(allocation.spare, [400, 0, 200]);
}

#[test]
fn lost_zones_demand_uses_all_spare_capacity_and_the_least_value_is_throttled() {
    let (zones, types) = three_zones([0, 900, 700]);
    let allocation = solve(&zones, &types).unwrap();
    assert_eq!(
        allocation.throttled.iter().map(|types| types[1]).sum::<u64>(),
        0,
        "demand of the larger value was throttled"
    );
    assert_eq!(allocation.throttled.iter().map(|types| types[0]).sum::<u64>(), 200);
    assert_eq!(allocation.spare, [0, 0, 0]);
    assert!(extra_throttled_per_lost_zone(&zones, &types).unwrap()[1].is_some_and(|extra| extra == 900));
}

#[test]
fn extra_throttled_demand_is_computed_for_each_lost_zone() {
    let (zones, types) = three_zones([1000, 1000, 1000]);
    assert_eq!(
        extra_throttled_per_lost_zone(&zones, &types).unwrap(),
        [None, None, None],
        "two zones have capacity for the demand of three"
    );
    let (zones, types) = three_zones([1000, 700, 900]);
    assert_eq!(extra_throttled_per_lost_zone(&zones, &types).unwrap(), [Some(200), None, Some(100)]);
}

#[test]
fn invalid_inputs_are_rejected_with_the_name_of_the_field() {
    let (mut zones, types) = three_zones([1, 1, 1]);
    assert_eq!(solve(&[], &types), Err(InputError::Count));
    zones[1].asks.pop();
    assert_eq!(solve(&zones, &types), Err(InputError::Length("asks")));
    let (mut zones, types) = three_zones([1, 1, 1]);
    zones[2].capacity = u64::MAX;
    assert_eq!(solve(&zones, &types), Err(InputError::TooLarge("capacity or asks")));
    let (zones, mut types) = three_zones([1, 1, 1]);
    types[0].runs_in.push(true);
    assert_eq!(solve(&zones, &types), Err(InputError::Length("runs_in")));
    let (zones, mut types) = three_zones([1, 1, 1]);
    types[0].value = u32::MAX;
    assert_eq!(solve(&zones, &types), Err(InputError::TooLarge("value")));
}
