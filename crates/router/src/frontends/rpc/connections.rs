//! Who is connected, which connection goes where a new one needs its place, and how all go when the router ends.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::{Rc, Weak};

use event_listener::Event;
use futures_lite::FutureExt;
use woadhook::{Moment, Span};

use crate::clock::{Clock, sleep};
use crate::sockets::{PendingInput, Socket};

/// How long a request that is under way may take to come: from the start of a connection that comes as the router ends, or
/// from its last bytes.
const GREETING: Span = Span::from_micros(100_000);

/// The connections that are taken in; each is emptied from it as it ends.
#[derive(Clone, Default)]
pub struct Connections(Rc<Inner>);

#[derive(Default)]
struct Inner {
    all: RefCell<BTreeMap<u64, Rc<Client>>>,
    /// Whether each goes as soon as nothing is owed to it.
    ending: Rc<Cell<bool>>,
}

/// One connection, as far as the choice of the one to close goes.
pub struct Client {
    /// The connection belongs to its actor alone.
    pub link: Weak<Socket>,
    came: Moment,
    /// Since when nothing passed on it.
    pub quiet_since: Cell<Moment>,
    /// How many of its requests are open.
    pub open: Cell<usize>,
    /// Whether bytes of it were read that are not worked off.
    pub midway: Cell<bool>,
    told_to_leave: Cell<bool>,
    ending: Rc<Cell<bool>>,
    leave: Event,
}

impl Client {
    /// Whether it can be closed now: a request that waits in the socket would be lost, as only one that crosses the close
    /// is sent again, and so would one that is coming in. To be looked at right before the close, with nothing between.
    pub fn may_go(&self, now: Moment) -> bool {
        let unread = |link: Rc<Socket>| matches!(link.peek(), PendingInput::Bytes);
        let coming = self.midway.get() && now.since(self.quiet_since.get()) < GREETING;
        self.open.get() == 0 && !coming && !self.link.upgrade().is_some_and(unread)
    }

    /// Something that kept it from going at the router's end may be over.
    pub fn settled(&self) {
        if self.ending.get() && self.open.get() == 0 {
            self.leave.notify(usize::MAX);
        }
    }
}

/// A peer's place in the list.
pub struct Registration {
    pub peer: Rc<Client>,
    connections: Connections,
    client: u64,
}

impl Registration {
    /// Comes when it is to go and may; to be polled behind the reading.
    pub async fn over(&self, clock: Clock) {
        loop {
            let changed = self.peer.leave.listen();
            let ending = self.peer.ending.get();
            let left = GREETING.saturating_sub(clock.now().since(self.peer.came));
            let to_go = self.peer.told_to_leave.get() || (ending && left == Span::ZERO);
            if to_go && self.peer.may_go(clock.now()) {
                return;
            }
            self.peer.told_to_leave.set(false);
            if ending && left > Span::ZERO { changed.or(sleep(left)).await } else { changed.await }
        }
    }
}

impl Drop for Registration {
    fn drop(&mut self) {
        self.connections.0.all.borrow_mut().remove(&self.client);
    }
}

impl Connections {
    pub fn enter(&self, client: u64, link: &Rc<Socket>, now: Moment) -> Registration {
        let peer = Rc::new(Client {
            link: Rc::downgrade(link),
            came: now,
            quiet_since: Cell::new(now),
            open: Cell::new(0),
            midway: Cell::new(false),
            told_to_leave: Cell::new(false),
            ending: self.0.ending.clone(),
            leave: Event::new(),
        });
        self.0.all.borrow_mut().insert(client, peer.clone());
        Registration { peer, connections: self.clone(), client }
    }

    pub fn is_empty(&self) -> bool {
        self.0.all.borrow().is_empty()
    }

    /// From now on each connection goes as soon as nothing is owed to it.
    pub fn close_when_idle(&self) {
        self.0.ending.set(true);
        self.0.all.borrow().values().for_each(|peer| _ = peer.leave.notify(usize::MAX));
    }

    /// Threat: connections held for good, or opened by hundreds, would keep usual clients out. The longest
    /// quiet one that may go does, which a client opens anew at worst.
    pub fn send_off_one(&self, now: Moment) {
        let connections = self.0.all.borrow();
        let mut quiet: Vec<_> = connections.values().filter(|peer| !peer.told_to_leave.get()).collect();
        quiet.sort_by_key(|peer| peer.quiet_since.get());
        if let Some(peer) = quiet.into_iter().find(|peer| peer.may_go(now)) {
            peer.told_to_leave.set(true);
            peer.leave.notify(usize::MAX);
        }
    }
}
