//! What deadlines cost: the wheel, a binary heap with dead entries, an ordered map (as the executor's reactor keeps its
//! timers), and the executor's own timers. `cargo run --release -p woadhook-standins --example wheel`

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashSet};
use std::hint::black_box;
use std::time::{Duration, Instant};

use async_io::Timer;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use woadhook::{Moment, Span};
use woadhook_flow_control::timer_wheel::TimerWheel;

/// Nanoseconds each of starting so many, moving each once (as a connection does with each read), and ending all.
type Figures = [f64; 3];
type Run = fn(&[u64], &[u64]) -> Figures;

fn deadlines(count: usize, seed: u64) -> Vec<u64> {
    let mut chance = Pcg32::seed_from_u64(seed);
    (0..count).map(|_| chance.random_range(1_000..60_000_000)).collect()
}

fn each(count: usize, work: impl FnOnce()) -> f64 {
    let started = Instant::now();
    work();
    started.elapsed().as_nanos() as f64 / count as f64
}

fn at(micros: u64) -> Moment {
    Moment::from_micros(micros)
}

fn wheel(first: &[u64], second: &[u64]) -> Figures {
    let (count, mut wheel) = (first.len(), TimerWheel::new(at(0), Span::from_micros(1_000)));
    let mut keys = Vec::with_capacity(count);
    let start = each(count, || keys.extend(first.iter().map(|due| wheel.insert(at(*due), *due))));
    let moved = each(count, || {
        for (key, due) in keys.iter().zip(second) {
            black_box(wheel.reschedule(*key, at(*due)));
        }
    });
    let end = each(count, || {
        for now in (0..61_000).map(|millis| at(millis * 1_000)) {
            while wheel.next_wake().is_some_and(|due| due <= now) {
                black_box(wheel.pop_expired(now, usize::MAX));
            }
        }
    });
    assert!(wheel.is_empty());
    [start, moved, end]
}

fn heap(first: &[u64], second: &[u64]) -> Figures {
    let (count, mut heap, mut dead) = (first.len(), BinaryHeap::new(), HashSet::new());
    let start = each(count, || heap.extend(first.iter().enumerate().map(|(id, due)| Reverse((*due, id)))));
    let moved = each(count, || {
        for (id, due) in second.iter().enumerate() {
            dead.insert((first[id], id));
            heap.push(Reverse((*due, id)));
        }
    });
    let end = each(count, || {
        while let Some(Reverse(top)) = heap.pop() {
            black_box(dead.remove(&top));
        }
    });
    [start, moved, end]
}

fn map(first: &[u64], second: &[u64]) -> Figures {
    let (count, mut map) = (first.len(), BTreeMap::new());
    let start = each(count, || map.extend(first.iter().enumerate().map(|(id, due)| ((*due, id), id))));
    let moved = each(count, || {
        for (id, due) in second.iter().enumerate() {
            map.remove(&(first[id], id));
            map.insert((*due, id), id);
        }
    });
    let end = each(count, || while black_box(map.pop_first()).is_some() {});
    [start, moved, end]
}

fn executor(first: &[u64], second: &[u64]) -> Figures {
    let count = first.len();
    let mut context = std::task::Context::from_waker(std::task::Waker::noop());
    let mut timers: Vec<Timer> = Vec::with_capacity(count);
    let poll = |timer: &mut Timer, context: &mut std::task::Context<'_>| {
        let _ = Future::poll(std::pin::Pin::new(timer), context);
    };
    let start = each(count, || {
        for due in first {
            // Far enough ahead that none ends while it is measured.
            let mut timer = Timer::after(Duration::from_micros(600_000_000 + due));
            poll(&mut timer, &mut context);
            timers.push(timer);
        }
    });
    let moved = each(count, || {
        for (timer, due) in timers.iter_mut().zip(second) {
            timer.set_after(Duration::from_micros(600_000_000 + due));
            poll(timer, &mut context);
        }
    });
    let end = each(count, || timers.clear());
    [start, moved, end]
}

fn main() {
    println!("timers | what | start ns | move ns | end ns (median of 5)");
    for count in [1_000, 10_000, 100_000, 1_000_000] {
        let kinds: [(&str, Run); 4] =
            [("wheel", wheel), ("binary heap", heap), ("ordered map", map), ("executor's", executor)];
        for (name, run) in kinds {
            let (first, second) = (deadlines(count, 1), deadlines(count, 2));
            let mut runs: Vec<Figures> = (0..5).map(|_| run(&first, &second)).collect();
            let median = |place: usize, runs: &mut Vec<Figures>| {
                runs.sort_by(|a, b| a[place].total_cmp(&b[place]));
                runs[2][place]
            };
            let [start, moved, end] = [0, 1, 2].map(|place| median(place, &mut runs));
            println!("{count} | {name} | {start:.0} | {moved:.0} | {end:.0}");
        }
    }
}
