//! The time that a client has for one message.

use woadhook::{Moment, Span};
use woadhook_flow_control::min_rate::{MinRate, RateMonitor};

/// Time in which a connection's first message, and each message that has begun, must arrive completely.
const MESSAGE_TIMEOUT: Span = Span::from_micros(1_500_000);

/// The time in which a message must arrive completely.
pub struct MessageTimer {
    deadline: Moment,
    /// Monitors the rate; `None` for a connection's first message, which may not have begun.
    monitor: Option<RateMonitor>,
}

impl MessageTimer {
    /// Starts the time of a connection's first message, which may not have begun.
    pub fn first(now: Moment) -> Self {
        Self { deadline: now + MESSAGE_TIMEOUT, monitor: None }
    }

    /// Starts the time of a message that has begun.
    pub fn start(now: Moment, min_send_rate: MinRate) -> Self {
        Self { monitor: Some(RateMonitor::start(now, min_send_rate)), ..Self::first(now) }
    }

    /// Records that bytes of the message have arrived.
    pub fn record(&mut self, now: Moment, bytes: usize) {
        if let Some(monitor) = &mut self.monitor {
            monitor.record(now, bytes);
        }
    }

    /// When the message counts as too slow if no more of it arrives.
    pub fn deadline(&self) -> Moment {
        self.monitor.map_or(self.deadline, |monitor| self.deadline.min(monitor.deadline()))
    }

    /// Returns the bytes of the message that have arrived, and their mean rate in bytes per second.
    pub fn stats(&self, now: Moment) -> (u64, f64) {
        self.monitor.map_or((0, 0.0), |monitor| monitor.stats(now))
    }
}
