//! The router's only clock: the system's Unix time at the start, advanced by the monotonic clock.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use woadhook::{Moment, Span};

pub use crate::timers::sleep;

/// A clock of Unix time that never runs backwards.
#[derive(Clone, Copy)]
pub struct Clock {
    started: Instant,
    unix: Moment,
}

impl Clock {
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { started: Instant::now(), unix: Moment::from_micros(unix.as_micros() as u64) }
    }

    pub fn now(self) -> Moment {
        self.unix + Span::from_micros(self.started.elapsed().as_micros() as u64)
    }

    /// Waits until the given moment.
    pub async fn sleep_until(self, moment: Moment) {
        sleep(moment.since(self.now())).await;
    }
}
