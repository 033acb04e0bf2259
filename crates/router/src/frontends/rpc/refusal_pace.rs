//! The pace at which a client is read that is refused again and again.

use std::cell::Cell;

use woadhook::{Moment, Span};

/// Delay before a client is read again, for each ping, refused request and notification without effect beyond
/// `REFUSAL_BURST` of them. The burst is large because whatever follows hundreds of requests that were sent at
/// once, such as a cancellation or the close, has to be read soon.
const REFUSAL_DELAY: Span = Span::from_micros(2_000);
const REFUSAL_BURST: f64 = 512.0;

/// How many refusals may be given to one client before it is read more slowly.
pub struct RefusalPace {
    /// The number of refusals, and when it was computed.
    credit: Cell<(f64, Moment)>,
}

impl RefusalPace {
    pub fn new(now: Moment) -> Self {
        Self { credit: Cell::new((REFUSAL_BURST, now)) }
    }

    /// Records refusals, and returns when the client may be read again.
    pub fn record(&self, now: Moment, refusals: usize) -> Moment {
        let (credit, since) = self.credit.get();
        let earned = now.since(since).secs() / REFUSAL_DELAY.secs();
        let credit = (credit + earned).min(REFUSAL_BURST) - refusals as f64;
        self.credit.set((credit, now));
        now + REFUSAL_DELAY.mul_f64(-credit)
    }
}
