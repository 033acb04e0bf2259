//! The open client connections: which one is closed when a new one needs its descriptor, and how all are
//! closed when the router stops.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::{Rc, Weak};

use event_listener::Event;
use futures_lite::FutureExt;
use woadhook::{Moment, Span};

use crate::clock::{Clock, sleep};
use crate::sockets::{PendingInput, Socket};

/// How long the router waits for a request that may still arrive before it closes a connection. While the
/// router stops, a connection stays open for at least this long after its accept. A connection on which part
/// of a request was received stays open for at least this long after the last bytes.
const MAX_ARRIVAL_DELAY: Span = Span::from_micros(100_000);

/// The accepted connections; each is removed as it ends.
#[derive(Clone, Default)]
pub struct Connections(Rc<Inner>);

#[derive(Default)]
struct Inner {
    all: RefCell<BTreeMap<u64, Rc<ClientConnection>>>,
    /// Whether each connection is closed as soon as all its requests are answered.
    closing: Rc<Cell<bool>>,
}

/// The state of a connection that decides whether it can be closed.
pub struct ClientConnection {
    /// Weak, because the connection belongs to its actor alone.
    pub socket: Weak<Socket>,
    accepted: Moment,
    /// When data was last received or sent over the connection.
    pub last_activity: Cell<Moment>,
    /// Number of its requests that are not answered yet.
    pub open_requests: Cell<usize>,
    /// Whether bytes were read from the connection that are not processed yet.
    pub has_unprocessed_bytes: Cell<bool>,
    /// Whether the client is not read for now because too many of its requests were refused.
    pub is_held_back: Cell<bool>,
    close_requested: Cell<bool>,
    closing: Rc<Cell<bool>>,
    close_event: Event,
}

impl ClientConnection {
    /// Whether the connection can be closed now. It can't while a request waits in the socket or has arrived
    /// in part: such a request would be lost, because clients repeat only requests that were still in transit
    /// when the router closed the connection. Callers check this right before the close, with no await in
    /// between.
    ///
    /// A connection that is held back can be closed with unread bytes once all that was read from it is
    /// answered. Threat: a client that sends refused requests without a pause always has unread bytes and
    /// would keep its descriptor for as long as it goes on. The defence costs such a client the answers to
    /// requests that were not read.
    pub fn can_close(&self, now: Moment) -> bool {
        if self.is_held_back.get() {
            return self.open_requests.get() == 0;
        }
        let unread = |socket: Rc<Socket>| matches!(socket.peek(), PendingInput::Bytes);
        let is_arriving =
            self.has_unprocessed_bytes.get() && now.since(self.last_activity.get()) < MAX_ARRIVAL_DELAY;
        self.open_requests.get() == 0 && !is_arriving && !self.socket.upgrade().is_some_and(unread)
    }

    /// Notifies the connection's actor while the router stops, once no request of the connection is open.
    pub fn recheck_close(&self) {
        if self.closing.get() && self.open_requests.get() == 0 {
            self.close_event.notify(usize::MAX);
        }
    }
}

/// A connection's entry in the list; it is removed on drop.
pub struct Registration {
    pub connection: Rc<ClientConnection>,
    connections: Connections,
    client: u64,
}

impl Registration {
    /// Waits until the router wants to close the connection and nothing would be lost by it. The future has
    /// to be polled after the reader's.
    pub async fn wait_for_close(&self, clock: Clock) {
        loop {
            let changed = self.connection.close_event.listen();
            let closing = self.connection.closing.get();
            let left = MAX_ARRIVAL_DELAY.saturating_sub(clock.now().since(self.connection.accepted));
            let close_wanted = self.connection.close_requested.get() || (closing && left == Span::ZERO);
            if close_wanted && self.connection.can_close(clock.now()) {
                return;
            }
            self.connection.close_requested.set(false);
            if closing && left > Span::ZERO { changed.or(sleep(left)).await } else { changed.await }
        }
    }
}

impl Drop for Registration {
    fn drop(&mut self) {
        self.connections.0.all.borrow_mut().remove(&self.client);
    }
}

impl Connections {
    pub fn register(&self, client: u64, socket: &Rc<Socket>, now: Moment) -> Registration {
        let connection = Rc::new(ClientConnection {
            socket: Rc::downgrade(socket),
            accepted: now,
            last_activity: Cell::new(now),
            open_requests: Cell::new(0),
            has_unprocessed_bytes: Cell::new(false),
            is_held_back: Cell::new(false),
            close_requested: Cell::new(false),
            closing: self.0.closing.clone(),
            close_event: Event::new(),
        });
        self.0.all.borrow_mut().insert(client, connection.clone());
        Registration { connection, connections: self.clone(), client }
    }

    pub fn is_empty(&self) -> bool {
        self.0.all.borrow().is_empty()
    }

    /// From now on, closes each connection as soon as all its requests are answered.
    pub fn close_when_idle(&self) {
        self.0.closing.set(true);
        self.0.all.borrow().values().for_each(|connection| _ = connection.close_event.notify(usize::MAX));
    }

    /// Asks the connection that has been idle longest, of those that can be closed, to close. Connections that
    /// are held back come first. Threat:
    /// connections that are held forever, or opened by the hundreds, would keep ordinary clients out. When
    /// descriptors are short, this defence costs an idle client its connection, and the client has to open a
    /// new one.
    pub fn close_idlest(&self, now: Moment) {
        let connections = self.0.all.borrow();
        let mut candidates: Vec<_> =
            connections.values().filter(|connection| !connection.close_requested.get()).collect();
        candidates.sort_by_key(|connection| {
            let comes_first = connection.is_held_back.get();
            (!comes_first, connection.last_activity.get())
        });
        if let Some(connection) = candidates.into_iter().find(|connection| connection.can_close(now)) {
            connection.close_requested.set(true);
            connection.close_event.notify(usize::MAX);
        }
    }
}
