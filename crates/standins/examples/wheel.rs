//! Measures the cost of timers: in the timer wheel, in a binary heap that keeps rescheduled entries until
//! they expire, in an ordered map (as the executor's reactor keeps its timers), and as the executor's own
//! timers: `cargo run --release -p woadhook-standins --example wheel`

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashSet};
use std::hint::black_box;
use std::time::{Duration, Instant};

use async_io::Timer;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use woadhook::{Moment, Span};
use woadhook_flow_control::timer_wheel::TimerWheel;

/// The nanoseconds per timer that it takes to insert it, to reschedule it once (as a connection does with
/// each read), and to remove it as expired or to drop it.
type Figures = [f64; 3];
type Benchmark = fn(&[u64], &[u64]) -> Figures;

/// Random deadlines in microseconds.
fn deadlines(count: usize, seed: u64) -> Vec<u64> {
    let mut rng = Pcg32::seed_from_u64(seed);
    (0..count).map(|_| rng.random_range(1_000..60_000_000)).collect()
}

/// Runs `work` on `count` timers and returns the nanoseconds per timer.
fn nanos_each(count: usize, work: impl FnOnce()) -> f64 {
    let started = Instant::now();
    work();
    started.elapsed().as_nanos() as f64 / count as f64
}

fn moment(micros: u64) -> Moment {
    Moment::from_micros(micros)
}

fn measure_wheel(first: &[u64], second: &[u64]) -> Figures {
    let (count, mut wheel) = (first.len(), TimerWheel::new(moment(0), Span::from_micros(1_000)));
    let mut keys = Vec::with_capacity(count);
    let start = nanos_each(count, || {
        keys.extend(first.iter().map(|deadline| wheel.insert(moment(*deadline), *deadline)))
    });
    let moved = nanos_each(count, || {
        for (key, deadline) in keys.iter().zip(second) {
            black_box(wheel.reschedule(*key, moment(*deadline)));
        }
    });
    let end = nanos_each(count, || {
        for now in (0..61_000).map(|millis| moment(millis * 1_000)) {
            while wheel.next_wake().is_some_and(|deadline| deadline <= now) {
                black_box(wheel.pop_expired(now, usize::MAX));
            }
        }
    });
    assert!(wheel.is_empty());
    [start, moved, end]
}

fn measure_heap(first: &[u64], second: &[u64]) -> Figures {
    let (count, mut heap, mut stale) = (first.len(), BinaryHeap::new(), HashSet::new());
    let start = nanos_each(count, || {
        heap.extend(first.iter().enumerate().map(|(id, deadline)| Reverse((*deadline, id))))
    });
    let moved = nanos_each(count, || {
        for (id, deadline) in second.iter().enumerate() {
            stale.insert((first[id], id));
            heap.push(Reverse((*deadline, id)));
        }
    });
    let end = nanos_each(count, || {
        while let Some(Reverse(top)) = heap.pop() {
            black_box(stale.remove(&top));
        }
    });
    [start, moved, end]
}

fn measure_map(first: &[u64], second: &[u64]) -> Figures {
    let (count, mut map) = (first.len(), BTreeMap::new());
    let start = nanos_each(count, || {
        map.extend(first.iter().enumerate().map(|(id, deadline)| ((*deadline, id), id)))
    });
    let moved = nanos_each(count, || {
        for (id, deadline) in second.iter().enumerate() {
            map.remove(&(first[id], id));
            map.insert((*deadline, id), id);
        }
    });
    let end = nanos_each(count, || while black_box(map.pop_first()).is_some() {});
    [start, moved, end]
}

fn measure_executor(first: &[u64], second: &[u64]) -> Figures {
    let count = first.len();
    let mut context = std::task::Context::from_waker(std::task::Waker::noop());
    let mut timers: Vec<Timer> = Vec::with_capacity(count);
    let poll = |timer: &mut Timer, context: &mut std::task::Context<'_>| {
        let _ = Future::poll(std::pin::Pin::new(timer), context);
    };
    let start = nanos_each(count, || {
        for deadline in first {
            // The deadlines are far enough ahead that no timer expires during the measurement.
            let mut timer = Timer::after(Duration::from_micros(600_000_000 + deadline));
            poll(&mut timer, &mut context);
            timers.push(timer);
        }
    });
    let moved = nanos_each(count, || {
        for (timer, deadline) in timers.iter_mut().zip(second) {
            timer.set_after(Duration::from_micros(600_000_000 + deadline));
            poll(timer, &mut context);
        }
    });
    let end = nanos_each(count, || timers.clear());
    [start, moved, end]
}

fn main() {
    println!("timers | what | start ns | move ns | end ns (median of 5)");
    for count in [1_000, 10_000, 100_000, 1_000_000] {
        let implementations: [(&str, Benchmark); 4] = [
            ("wheel", measure_wheel),
            ("binary heap", measure_heap),
            ("ordered map", measure_map),
            ("executor's", measure_executor),
        ];
        for (name, benchmark) in implementations {
            let (first, second) = (deadlines(count, 1), deadlines(count, 2));
            let mut runs: Vec<Figures> = (0..5).map(|_| benchmark(&first, &second)).collect();
            let median = |index: usize, runs: &mut Vec<Figures>| {
                runs.sort_by(|a, b| a[index].total_cmp(&b[index]));
                runs[2][index]
            };
            let [start, moved, end] = [0, 1, 2].map(|index| median(index, &mut runs));
            println!("{count} | {name} | {start:.0} | {moved:.0} | {end:.0}");
        }
    }
}
