//! Token buckets: so much a second, with room for a burst.

use woadhook::{Moment, Span};

#[derive(Clone, Copy, Debug)]
pub struct Bucket {
    per_s: f64,
    burst: f64,
    level: f64,
    at: Moment,
}

impl Bucket {
    /// A full bucket that holds what `burst` brings.
    pub fn new(now: Moment, per_s: f64, burst: Span) -> Self {
        let burst = (per_s * burst.secs()).max(1.0);
        Self { per_s, burst, level: burst, at: now }
    }

    /// Takes `count` if so much is there.
    pub fn take(&mut self, now: Moment, count: f64) -> bool {
        self.level = (self.level + self.per_s * now.since(self.at).secs()).min(self.burst);
        self.at = self.at.max(now);
        let there = self.level >= count;
        if there {
            self.level -= count;
        }
        there
    }
}
