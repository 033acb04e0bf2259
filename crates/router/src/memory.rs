//! Room for bytes that the router holds for others: statements, results, and messages on their way in. Who
//! wants more than is free waits or is turned away, so that slow readers are held back and nothing grows with
//! them.

use std::cell::Cell;
use std::rc::Rc;

use event_listener::Event;

/// Clones share the same room.
#[derive(Clone)]
pub struct Room(Rc<Inner>);

struct Inner {
    free: Cell<usize>,
    given_back: Event,
}

/// Bytes taken from a room; given back when dropped.
pub struct Held {
    room: Room,
    bytes: usize,
}

impl Room {
    pub fn new(bytes: usize) -> Self {
        Self(Rc::new(Inner { free: Cell::new(bytes), given_back: Event::new() }))
    }

    /// `None` where too little is free now.
    pub fn try_take(&self, bytes: usize) -> Option<Held> {
        self.0.free.set(self.0.free.get().checked_sub(bytes)?);
        Some(Held { room: self.clone(), bytes })
    }

    pub async fn take(&self, bytes: usize) -> Held {
        loop {
            if let Some(held) = self.try_take(bytes) {
                return held;
            }
            self.0.given_back.listen().await;
        }
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        let Inner { free, given_back } = &*self.room.0;
        free.set(free.get() + self.bytes);
        given_back.notify(usize::MAX);
    }
}
