//! How long a plan takes: `cargo run --release -p woadhook-zones --example time`.

use std::time::Instant;

use woadhook_zones::allocation::{ReservationType, Zone, solve};

fn main() {
    for (zones, types) in [(3, 3), (8, 8)] {
        let mut times = Vec::new();
        // Figures that differ each time, from a plain congruence; a quarter of the zones bear nothing.
        let mut drawn = 1_u64;
        let mut draw = |most: u64| {
            drawn = drawn.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            (drawn >> 33) % most
        };
        for _ in 0..500 {
            let zone = |home: usize, draw: &mut dyn FnMut(u64) -> u64| Zone {
                capacity: if draw(4) == 0 { 0 } else { draw(800_000) },
                asks: (0..types).map(|_| draw(100_000)).collect(),
                crossing: (0..zones)
                    .map(|away| if away == home { 0 } else { 200 + draw(2_000) as u32 })
                    .collect(),
            };
            let all: Vec<Zone> = (0..zones).map(|home| zone(home, &mut draw)).collect();
            let kind = |draw: &mut dyn FnMut(u64) -> u64| ReservationType {
                value: draw(13) as u32,
                runs_in: (0..zones).map(|_| draw(8) > 0).collect(),
            };
            let kinds: Vec<ReservationType> = (0..types).map(|_| kind(&mut draw)).collect();
            let began = Instant::now();
            let shares = solve(&all, &kinds).expect("sound figures");
            times.push(began.elapsed().as_micros());
            assert!(shares.served.len() == zones);
        }
        times.sort_unstable();
        println!("{zones} zones, {types} types: median {} us, most {} us of 500", times[250], times[499]);
    }
}
