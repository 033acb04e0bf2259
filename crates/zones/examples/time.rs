//! Measures how long [`solve`] takes: `cargo run --release -p woadhook-zones --example time`.

use std::time::Instant;

use woadhook_zones::allocation::{ReservationType, Zone, solve};

fn main() {
    for (zone_count, type_count) in [(3, 3), (8, 8)] {
        let mut times_us = Vec::new();
        // Inputs that differ each time, from a linear congruential generator; a quarter of the zones have no
        // capacity.
        let mut state = 1_u64;
        let mut draw = |end: u64| {
            state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            (state >> 33) % end
        };
        for _ in 0..500 {
            let zone = |home: usize, draw: &mut dyn FnMut(u64) -> u64| Zone {
                capacity: if draw(4) == 0 { 0 } else { draw(800_000) },
                asks: (0..type_count).map(|_| draw(100_000)).collect(),
                crossing: (0..zone_count)
                    .map(|serving| if serving == home { 0 } else { 200 + draw(2_000) as u32 })
                    .collect(),
            };
            let zones: Vec<Zone> = (0..zone_count).map(|home| zone(home, &mut draw)).collect();
            let reservation_type = |draw: &mut dyn FnMut(u64) -> u64| ReservationType {
                value: draw(13) as u32,
                runs_in: (0..zone_count).map(|_| draw(8) > 0).collect(),
            };
            let types: Vec<ReservationType> = (0..type_count).map(|_| reservation_type(&mut draw)).collect();
            let start = Instant::now();
            let allocation = solve(&zones, &types).expect("valid inputs");
            times_us.push(start.elapsed().as_micros());
            assert!(allocation.served.len() == zone_count);
        }
        times_us.sort_unstable();
        println!(
            "{zone_count} zones, {type_count} types: median {} us, maximum {} us of 500 runs",
            times_us[250], times_us[499]
        );
    }
}
