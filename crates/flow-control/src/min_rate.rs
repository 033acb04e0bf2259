//! The least acceptable rate of one direction of one peer, with grace for pauses.

use woadhook::{Moment, Span};

/// How slow is too slow.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MinRate {
    /// Bytes a second.
    pub bytes_per_s: f64,
    /// How long a peer may pause, or be below the rate from the start.
    pub grace: Span,
}

/// A peer that owes bytes in one direction, or that owes to take them. Each byte moves the moment at which it is dropped
/// further ahead; what it is ahead is never worth more than twice the grace, so that no burst is saved up for long.
#[derive(Clone, Copy, Debug)]
pub struct RateMonitor {
    least: MinRate,
    since: Moment,
    due: Moment,
    bytes: u64,
}

impl RateMonitor {
    /// From now on it owes.
    pub fn start(now: Moment, least: MinRate) -> Self {
        Self { least, since: now, due: now + least.grace, bytes: 0 }
    }

    /// So many bytes really went through the socket.
    pub fn record(&mut self, now: Moment, bytes: usize) {
        self.bytes += bytes as u64;
        let earned = Span::from_secs(bytes as f64 / self.least.bytes_per_s.max(1e-9));
        self.due = (self.due + earned).min(now + self.least.grace.mul_f64(2.0));
    }

    /// When it has been too slow, if nothing moves until then.
    pub fn deadline(&self) -> Moment {
        self.due
    }

    pub fn is_too_slow(&self, now: Moment) -> bool {
        now >= self.due
    }

    /// Bytes moved since the start, and the rate that they make, in bytes a second.
    pub fn stats(&self, now: Moment) -> (u64, f64) {
        let span = now.since(self.since).secs();
        (self.bytes, if span > 0.0 { self.bytes as f64 / span } else { 0.0 })
    }
}
