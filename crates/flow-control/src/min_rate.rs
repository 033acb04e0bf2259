//! The minimum transfer rate in one direction of one peer, with a grace period for pauses.

use woadhook::{Moment, Span};

/// A minimum transfer rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MinRate {
    /// Minimum rate in bytes per second.
    pub bytes_per_s: f64,
    /// How long a peer may pause, or stay below the rate after the start.
    pub grace: Span,
}

/// Monitors a peer that has to send bytes, or to receive them. Each byte moves the deadline for dropping the
/// peer further ahead, but never further than twice the grace period from now, so that a burst earns no long
/// credit.
#[derive(Clone, Copy, Debug)]
pub struct RateMonitor {
    min_rate: MinRate,
    started: Moment,
    deadline: Moment,
    bytes: u64,
}

impl RateMonitor {
    /// Starts monitoring.
    pub fn start(now: Moment, min_rate: MinRate) -> Self {
        Self { min_rate, started: now, deadline: now + min_rate.grace, bytes: 0 }
    }

    /// Records bytes that actually passed through the socket.
    pub fn record(&mut self, now: Moment, bytes: usize) {
        self.bytes += bytes as u64;
        let earned = Span::from_secs(bytes as f64 / self.min_rate.bytes_per_s.max(1e-9));
        self.deadline = (self.deadline + earned).min(now + self.min_rate.grace.mul_f64(2.0));
    }

    /// When the peer counts as too slow if nothing is transferred until then.
    pub fn deadline(&self) -> Moment {
        self.deadline
    }

    pub fn is_too_slow(&self, now: Moment) -> bool {
        now >= self.deadline
    }

    /// Returns the bytes transferred since the start, and their mean rate in bytes per second.
    pub fn stats(&self, now: Moment) -> (u64, f64) {
        let elapsed = now.since(self.started).secs();
        (self.bytes, if elapsed > 0.0 { self.bytes as f64 / elapsed } else { 0.0 })
    }
}
