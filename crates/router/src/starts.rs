//! How long ago an engine started: a wall time that discovery tells, turned into a span at the edge. No wall clock is trusted
//! for it, this router's, discovery's or an engine's; the span is the least that all that was told allows.

use serde_json::Value;
use woadhook::{Moment, Span};
use woadhook_host::fields::{array, integer};

/// When an engine started, in Unix milliseconds by the clock of whoever noted it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Stamp(pub u64);

impl Stamp {
    /// The stamp in a line of the list; none where the engine started long ago.
    pub fn of(member: &Value) -> Option<Self> {
        integer(member, "up_since_ms").ok().filter(|&at| at > 0).map(Self)
    }

    /// The moment on a clock that counts Unix time.
    pub fn moment(self) -> Moment {
        Moment::from_micros(self.0.saturating_mul(1000))
    }

    /// The newest in all lists of so many events.
    fn newest(items: &[Value]) -> Option<Self> {
        let rosters = items.iter().filter_map(|item| item.get("roster"));
        let members = rosters.filter_map(|roster| array(roster, "members").ok()).flatten();
        members.filter_map(Self::of).max()
    }
}

/// When the events of a list happened.
#[derive(Clone, Copy, Debug)]
pub enum EventTime {
    /// Since this router heard from discovery last: a start may be as young as the moment in which it is heard of.
    SinceLastContact,
    /// At any time before this router asked for the first time; the newest start among them.
    BeforeFirstContact(Option<Stamp>),
}

impl EventTime {
    /// What is true of events that make up all that is known.
    pub fn before_first_contact(items: &[Value]) -> Self {
        Self::BeforeFirstContact(Stamp::newest(items))
    }

    /// The least age of a start of which these events tell. Of an older one, it is the span from it to the newest start, or to
    /// the present by this router's wall clock, whichever is less: only clocks that are all wrong alike make it too long.
    pub fn least_age(self, start: Stamp, wall: Moment) -> Span {
        match self {
            Self::SinceLastContact => Span::ZERO,
            Self::BeforeFirstContact(newest) => {
                let newest = newest.unwrap_or(start).moment();
                newest.since(start.moment()).min(wall.since(start.moment()))
            }
        }
    }
}
