//! Changes of the engine list: an engine joins, and leaves with the next change.

use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::time::{Duration, Instant};

use woadhook_standins::lightweight::engines::LightweightEngines;
use woadhook_standins::{DiscoveryEvents, roster_member};

/// Events that were told before: the whole list.
pub const FIRST: u64 = 1;

/// An event and when it was told.
pub type Told = (u64, Instant);

/// Tells changes, one number after another.
pub struct Changes<'a> {
    events: DiscoveryEvents,
    engines: &'a LightweightEngines,
    /// The engine that joins and leaves: the first that the list does not hold.
    spare: usize,
    last: u64,
}

impl<'a> Changes<'a> {
    pub fn new(events: DiscoveryEvents, engines: &'a LightweightEngines, spare: usize) -> Self {
        Self { events, engines, spare, last: FIRST }
    }

    /// Tells one change.
    pub fn tell(&mut self) -> Told {
        self.last += 1;
        // An engine that left and one that joins are not the same.
        let joins = self.last.is_multiple_of(2);
        let name = format!("spare-{}", self.last / 2);
        let phase = if joins { "SERVING" } else { "DELETED" };
        let at = Instant::now();
        self.events.add(self.last, vec![roster_member(&name, self.engines.address(self.spare), phase)]);
        (self.last, at)
    }

    /// Tells so many a second until the other end of `over` is gone.
    pub fn keep_on(&mut self, per_s: usize, over: &Receiver<()>) -> Vec<Told> {
        let mut told = Vec::new();
        if per_s == 0 {
            return told;
        }
        let gap = Duration::from_secs(1) / per_s as u32;
        loop {
            told.push(self.tell());
            if over.recv_timeout(gap) != Err(RecvTimeoutError::Timeout) {
                return told;
            }
        }
    }
}
