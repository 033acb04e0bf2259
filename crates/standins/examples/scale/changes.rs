//! Changes of the engine list: one change adds an engine, and the next one removes it.

use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::time::{Duration, Instant};

use woadhook_standins::lightweight::engines::LightweightEngines;
use woadhook_standins::{DiscoveryEvents, roster_member};

/// The number of the event that holds the initial list. Changes are numbered from the next one.
pub const INITIAL_EVENT: u64 = 1;

/// An event number and when the event was published.
pub type PublishedEvent = (u64, Instant);

/// Publishes changes of the engine list under consecutive event numbers.
pub struct ChangePublisher<'a> {
    events: DiscoveryEvents,
    engines: &'a LightweightEngines,
    /// The index of the engine that joins and leaves: the first one that the initial list does not contain.
    spare_engine: usize,
    last_event: u64,
}

impl<'a> ChangePublisher<'a> {
    pub fn new(events: DiscoveryEvents, engines: &'a LightweightEngines, spare_engine: usize) -> Self {
        Self { events, engines, spare_engine, last_event: INITIAL_EVENT }
    }

    /// Publishes one change.
    pub fn publish(&mut self) -> PublishedEvent {
        self.last_event += 1;
        // Each engine that joins has a new name, so that it is not taken for the one that left before.
        let joins = self.last_event.is_multiple_of(2);
        let name = format!("spare-{}", self.last_event / 2);
        let phase = if joins { "SERVING" } else { "DELETED" };
        let at = Instant::now();
        self.events
            .add(self.last_event, vec![roster_member(&name, self.engines.address(self.spare_engine), phase)]);
        (self.last_event, at)
    }

    /// Publishes `per_s` changes a second until the sender of `stop` is dropped.
    pub fn publish_at_rate(&mut self, per_s: usize, stop: &Receiver<()>) -> Vec<PublishedEvent> {
        let mut published = Vec::new();
        if per_s == 0 {
            return published;
        }
        let interval = Duration::from_secs(1) / per_s as u32;
        loop {
            published.push(self.publish());
            if stop.recv_timeout(interval) != Err(RecvTimeoutError::Timeout) {
                return published;
            }
        }
    }
}
