//! Slow start: limits the work that is sent to a cold engine. A cold engine goes down when all routers
//! together send it more than a factor of its present capacity for some time. The routers therefore take
//! turns, without messages between them and without a common clock.

use crate::interface::{ColdStart, Fleet};
use crate::records::{DerivedSettings, Engine};
use crate::time::{Moment, Span};

/// Fraction of the budget that one window uses: two windows may overlap.
const BUDGET_FRACTION: f64 = 0.5;
/// Approximate distance in the order of turns between routers with consecutive numbers, as a fraction of the
/// number of routers.
const STRIDE_FRACTION: f64 = 0.618;

/// The settings of slow start and this router's position in the order of turns.
pub(crate) struct SlowStart {
    settings: ColdStart,
    /// Number of routers.
    router_count: u64,
    /// This router's position in the order of turns.
    position: u64,
    /// The largest initial work of any type, in seconds of one thread.
    max_initial_work: f64,
}

impl SlowStart {
    pub(crate) fn new(settings: ColdStart, fleet: &Fleet, derived: &DerivedSettings) -> Self {
        let router_count = fleet.router_count.max(1) as u64;
        let position = fleet.router_index as u64 % router_count * stride(router_count) % router_count;
        Self { settings, router_count, position, max_initial_work: derived.max_initial_work }
    }

    /// The time for which too much work has to arrive before a cold engine goes down.
    pub(crate) fn window(&self) -> Span {
        self.settings.overload_window
    }

    pub(crate) fn is_cold(&self, engine: &Engine, now: Moment) -> bool {
        engine.cold_since.is_some_and(|since| now.since(since) < self.settings.cold_period)
    }

    /// The fraction of its capacity that an engine has now; it is below 1 while the engine is cold. The
    /// settings give only the initial fraction and the time at which the whole capacity is available, so a
    /// linear increase between them is assumed.
    pub(crate) fn capacity_fraction(&self, engine: &Engine, now: Moment) -> f64 {
        let ColdStart { cold_period, start_capacity, .. } = self.settings;
        let age = engine.cold_since.map_or(cold_period, |since| now.since(since));
        let elapsed_fraction = (age.secs() / cold_period.secs().max(1e-3)).min(1.0);
        start_capacity + (1.0 - start_capacity) * elapsed_fraction
    }

    /// Whether this router may now send a cold engine with this many cores this much more work (in seconds of
    /// one thread). Each router has its turn in certain windows, which are counted from the engine's start as
    /// this router learned of it; the order of turns is shifted by the engine's hash. The number of routers
    /// that share a window is the number of jobs of the largest initial work (`max_initial_work`) that fit
    /// into its budget. The engine's age at the start of the window is used for the whole window, so that the
    /// turns do not change within it. Two overlapping windows stay within the budget.
    ///
    /// Threat: wall clocks that step or differ would make turns coincide, so none is used. Routers that learn
    /// of a start late, or estimate its age after their own start, have windows that are offset from the
    /// others'. Each of them still has its turn equally rarely, and routers with consecutive numbers are far
    /// apart in the order of turns, so the slack in the limit on a cold engine's work covers turns that
    /// coincide by chance. Where a start becomes known late, the engine is assumed to be younger than it is
    /// and gets less work.
    pub(crate) fn allows(&self, engine: &Engine, cores: f64, work: f64, now: Moment) -> bool {
        let (window_length, since) = (self.settings.overload_window, engine.cold_since.unwrap_or(now));
        let window = |at: Moment| at.since(since).micros() / window_length.micros().max(1);
        let current = window(now);
        let start = since + Span::from_micros(current * window_length.micros());
        let capacity = cores * self.capacity_fraction(engine, start);
        let budget = BUDGET_FRACTION * self.settings.overload_factor * capacity * window_length.secs();
        let routers_per_window =
            (budget / self.max_initial_work).floor().clamp(1.0, self.router_count as f64);
        let first = (engine.stable_hash % self.router_count + current * routers_per_window as u64)
            % self.router_count;
        let has_turn =
            (first + self.router_count - self.position) % self.router_count < routers_per_window as u64;
        let sent_work =
            engine.recent_work.iter().filter(|(at, _)| window(*at) == current).map(|(_, work)| work);
        has_turn && sent_work.sum::<f64>() + work <= budget / routers_per_window
    }
}

/// A step width that visits every position in the order of turns once and separates routers with consecutive
/// numbers. Threat: routers of one zone often have consecutive numbers, and a network partition delays the
/// report of a start for all of them; their turns must not be consecutive too.
fn stride(router_count: u64) -> u64 {
    let ideal = (router_count as f64 * STRIDE_FRACTION).round().max(1.0) as u64;
    (ideal..).find(|step| greatest_common_divisor(*step, router_count) == 1).unwrap_or(1)
}

fn greatest_common_divisor(a: u64, b: u64) -> u64 {
    if b == 0 { a } else { greatest_common_divisor(b, a % b) }
}
