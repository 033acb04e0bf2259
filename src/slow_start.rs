//! Slow start: how much work an engine is sent while it is cold (rule 4). It falls when all routers together send it more
//! than a factor of its present capacity for some time, so the routers take turns at it, without a word to each other
//! and without a clock in common.

use crate::interface::{ColdStart, Fleet};
use crate::records::{Bounds, Engine};
use crate::time::{Moment, Span};

/// Part of the budget that a window uses: two may meet.
const MARGIN: f64 = 0.5;
/// About how far apart the places of routers with neighbouring numbers are, as a part of all places.
const STRIDE: f64 = 0.618;

/// The settings of slow start, and this router's place among all.
pub(crate) struct SlowStart {
    settings: ColdStart,
    /// How many routers there are.
    all: u64,
    /// This router's place in the order in which they take turns.
    place: u64,
    /// Usual work of the largest type.
    largest_work: f64,
}

impl SlowStart {
    pub(crate) fn new(settings: ColdStart, fleet: &Fleet, bounds: &Bounds) -> Self {
        let all = fleet.router_count.max(1) as u64;
        let place = fleet.router_index as u64 % all * stride(all) % all;
        Self { settings, all, place, largest_work: bounds.largest_work }
    }

    /// How long too much work has to come for an engine to fall.
    pub(crate) fn window(&self) -> Span {
        self.settings.overload_window
    }

    pub(crate) fn is_cold(&self, engine: &Engine, now: Moment) -> bool {
        engine.cold_since.is_some_and(|since| now.since(since) < self.settings.cold_period)
    }

    /// The part of its capacity that an engine has, less than all while it is cold: how its capacity rises is not told, only
    /// from what part and by when all of it is there, so an even rise between is guessed.
    pub(crate) fn risen(&self, engine: &Engine, now: Moment) -> f64 {
        let ColdStart { cold_period, start_capacity, .. } = self.settings;
        let age = engine.cold_since.map_or(cold_period, |since| now.since(since));
        let part = (age.secs() / cold_period.secs().max(1e-3)).min(1.0);
        start_capacity + (1.0 - start_capacity) * part
    }

    /// Whether a cold engine with so many cores may be sent so much work by this router now: one window each, counted from
    /// the engine's start as this router heard of it, and by the engine's mark; as many together as usual jobs of the
    /// largest type, by the settings, fit in it. All of a window goes by the age at its start, so that whose turn it is
    /// stays so. Two windows that meet stay within the budget.
    ///
    /// Threat: wall clocks that step or differ, by which turns would meet. Routers that hear of a start late, or guess its age
    /// behind their own start, have windows that lie otherwise; as each has its turn as rarely as before and neighbours in
    /// number are far apart in place, what meets by chance is covered by the slack that the rule gives. It may hurt by
    /// taking an engine for younger, and so sending less, where a start was heard of late.
    pub(crate) fn allows(&self, engine: &Engine, cores: f64, work: f64, now: Moment) -> bool {
        let (fall, since) = (self.settings.overload_window, engine.cold_since.unwrap_or(now));
        let window = |at: Moment| at.since(since).micros() / fall.micros().max(1);
        let current = window(now);
        let start = since + Span::from_micros(current * fall.micros());
        let capacity = cores * self.risen(engine, start);
        let budget = MARGIN * self.settings.overload_factor * capacity * fall.secs();
        let together = (budget / self.largest_work).floor().clamp(1.0, self.all as f64);
        let first = (engine.stable_hash % self.all + current * together as u64) % self.all;
        let has_turn = (first + self.all - self.place) % self.all < together as u64;
        let sent = engine.sent.iter().filter(|(at, _)| window(*at) == current).map(|(_, work)| work);
        has_turn && sent.sum::<f64>() + work <= budget / together
    }
}

/// A step through all places that meets each once and keeps neighbours apart. Threat: routers of one zone often have numbers
/// in a row, and a cut makes all of them hear late; their turns must not come in a row too.
fn stride(all: u64) -> u64 {
    let near = (all as f64 * STRIDE).round().max(1.0) as u64;
    (near..).find(|step| greatest_common_divisor(*step, all) == 1).unwrap_or(1)
}

fn greatest_common_divisor(one: u64, other: u64) -> u64 {
    if other == 0 { one } else { greatest_common_divisor(other, one % other) }
}
