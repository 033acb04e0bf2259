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

/// How long a request that is on its way may take to arrive, counted from the accept of a connection that
/// comes in while the router stops, or from the last bytes of the request.
const MAX_ARRIVAL_DELAY: Span = Span::from_micros(100_000);

/// The accepted connections; each is removed as it ends.
#[derive(Clone, Default)]
pub struct Connections(Rc<Inner>);

#[derive(Default)]
struct Inner {
    all: RefCell<BTreeMap<u64, Rc<Client>>>,
    /// Whether each connection is closed as soon as no answer is owed to it.
    closing: Rc<Cell<bool>>,
}

/// The state of a connection that decides whether it can be closed.
pub struct Client {
    /// Weak, because the connection belongs to its actor alone.
    pub socket: Weak<Socket>,
    accepted: Moment,
    /// When data last passed on it.
    pub last_activity: Cell<Moment>,
    /// Number of its requests that are open.
    pub open_requests: Cell<usize>,
    /// Whether bytes were read from it that are not processed yet.
    pub has_unprocessed_bytes: Cell<bool>,
    asked_to_close: Cell<bool>,
    closing: Rc<Cell<bool>>,
    close_event: Event,
}

impl Client {
    /// Whether the connection can be closed now. A request that waits in the socket would be lost, because
    /// clients send only those requests again that cross the close; so would a request that is just arriving.
    /// Callers check this right before the close, with no await in between.
    pub fn can_close(&self, now: Moment) -> bool {
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
    pub peer: Rc<Client>,
    connections: Connections,
    client: u64,
}

impl Registration {
    /// Completes when the connection is to be closed and can be. It has to be polled after the reader.
    pub async fn wait_for_close(&self, clock: Clock) {
        loop {
            let changed = self.peer.close_event.listen();
            let closing = self.peer.closing.get();
            let left = MAX_ARRIVAL_DELAY.saturating_sub(clock.now().since(self.peer.accepted));
            let close_wanted = self.peer.asked_to_close.get() || (closing && left == Span::ZERO);
            if close_wanted && self.peer.can_close(clock.now()) {
                return;
            }
            self.peer.asked_to_close.set(false);
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
        let peer = Rc::new(Client {
            socket: Rc::downgrade(socket),
            accepted: now,
            last_activity: Cell::new(now),
            open_requests: Cell::new(0),
            has_unprocessed_bytes: Cell::new(false),
            asked_to_close: Cell::new(false),
            closing: self.0.closing.clone(),
            close_event: Event::new(),
        });
        self.0.all.borrow_mut().insert(client, peer.clone());
        Registration { peer, connections: self.clone(), client }
    }

    pub fn is_empty(&self) -> bool {
        self.0.all.borrow().is_empty()
    }

    /// Starts closing each connection as soon as no answer is owed to it.
    pub fn close_when_idle(&self) {
        self.0.closing.set(true);
        self.0.all.borrow().values().for_each(|peer| _ = peer.close_event.notify(usize::MAX));
    }

    /// Asks the connection that has been idle longest, of those that can be closed, to close. Threat:
    /// connections that are held forever, or opened by the hundreds, would keep ordinary clients out. Cost: a
    /// client may have to open a new connection.
    pub fn close_idlest(&self, now: Moment) {
        let connections = self.0.all.borrow();
        let mut candidates: Vec<_> = connections.values().filter(|peer| !peer.asked_to_close.get()).collect();
        candidates.sort_by_key(|peer| peer.last_activity.get());
        if let Some(peer) = candidates.into_iter().find(|peer| peer.can_close(now)) {
            peer.asked_to_close.set(true);
            peer.close_event.notify(usize::MAX);
        }
    }
}
