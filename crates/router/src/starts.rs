//! How long ago an engine started. Discovery sends a wall-clock time, which is converted to a span on
//! receipt. No wall clock is trusted for this conversion, neither this router's nor discovery's nor an
//! engine's: the span is the shortest that all received values allow.

use woadhook::{Moment, Span};

/// When an engine started, in Unix milliseconds by the clock of whoever recorded it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct StartTime(pub u64);

impl StartTime {
    /// The moment on a clock that counts Unix time.
    pub fn moment(self) -> Moment {
        Moment::from_micros(self.0.saturating_mul(1000))
    }
}

/// When the events of a list happened.
#[derive(Clone, Copy, Debug)]
pub enum EventTime {
    /// After this router last received an answer from discovery: an engine may have started just when its
    /// start is received.
    SinceLastContact,
    /// At any time before this router's first request. The value is the newest start among these events.
    BeforeFirstContact(Option<StartTime>),
}

impl EventTime {
    /// The minimum age of a start that these events report. For events from before the first request it is
    /// the span from this start to the newest one, or to the present by this router's wall clock, whichever
    /// is shorter: it is too long only if all clocks are wrong in the same way.
    pub fn min_age(self, start: StartTime, wall: Moment) -> Span {
        match self {
            Self::SinceLastContact => Span::ZERO,
            Self::BeforeFirstContact(newest) => {
                let newest = newest.unwrap_or(start).moment();
                newest.since(start.moment()).min(wall.since(start.moment()))
            }
        }
    }
}
