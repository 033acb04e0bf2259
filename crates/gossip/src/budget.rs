//! A token bucket that limits a rate and allows a burst.

use woadhook::{Moment, Span};

/// A token bucket that refills at a constant rate.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    tokens_per_s: f64,
    capacity: f64,
    level: f64,
    refilled_at: Moment,
}

impl TokenBucket {
    /// Returns a full bucket. Its capacity is what accumulates during `burst`, and at least 1.
    pub fn new(now: Moment, tokens_per_s: f64, burst: Span) -> Self {
        let capacity = (tokens_per_s * burst.secs()).max(1.0);
        Self { tokens_per_s, capacity, level: capacity, refilled_at: now }
    }

    /// Removes `count` tokens and returns true if that many are available, otherwise removes none.
    pub fn take(&mut self, now: Moment, count: f64) -> bool {
        self.level = (self.level + self.tokens_per_s * now.since(self.refilled_at).secs()).min(self.capacity);
        self.refilled_at = self.refilled_at.max(now);
        let available = self.level >= count;
        if available {
            self.level -= count;
        }
        available
    }
}
