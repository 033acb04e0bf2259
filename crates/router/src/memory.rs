//! Rooms for bytes that the router holds for others: statements, results, and messages on their way in. Who wants more
//! than is free, or than is its part, waits or is turned away, so that slow readers are held back, nothing grows
//! with them, and few can't fill what is there for all.

use std::cell::RefCell;
use std::net::IpAddr;
use std::rc::Rc;

use event_listener::Event;
use woadhook_flow_control::shares::{Reservation, Shares};

/// Part of a room that is set apart for floors, one for each connection that there can be.
const APART: f64 = 0.5;
/// How much of what is still free a connection may hold above its floor, and an address or engine in all: many
/// connections may come from one address.
const OF_FREE: f64 = 1.0;
const OF_FREE_AT_ADDRESS: f64 = 8.0;

/// For whom bytes are held.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Holder {
    /// The number of the client's connection.
    pub connection: u64,
    pub address: IpAddr,
}

/// Clones share the same room.
#[derive(Clone)]
pub struct MemoryBudget(Rc<Inner>);

struct Inner {
    connections: RefCell<Shares<u64>>,
    addresses: RefCell<Shares<IpAddr>>,
    given_back: Event,
}

/// Bytes taken from a room; given back when dropped.
pub struct MemoryPermit {
    room: MemoryBudget,
    holder: Holder,
    bytes: usize,
}

impl MemoryBudget {
    /// `bytes` among at most so many connections.
    pub fn new(bytes: usize, connections: usize) -> Self {
        Self(Rc::new(Inner {
            connections: RefCell::new(Shares::new(bytes, connections, APART, OF_FREE)),
            addresses: RefCell::new(Shares::new(bytes, connections, 0.0, OF_FREE_AT_ADDRESS)),
            given_back: Event::new(),
        }))
    }

    /// `None` where too little is free now, or is this holder's part.
    pub fn try_acquire(&self, holder: Holder, bytes: usize) -> Option<MemoryPermit> {
        let (mut connections, mut addresses) =
            (self.0.connections.borrow_mut(), self.0.addresses.borrow_mut());
        // Its floor is a connection's own, whatever others of its address hold.
        let within_floor = connections.held_by(&holder.connection) + bytes <= connections.floor();
        if !within_floor && addresses.check(&holder.address, bytes) != Reservation::Granted {
            return None;
        }
        if connections.reserve(&holder.connection, bytes) != Reservation::Granted {
            return None;
        }
        addresses.reserve_unchecked(&holder.address, bytes);
        Some(MemoryPermit { room: self.clone(), holder, bytes })
    }

    pub async fn acquire(&self, holder: Holder, bytes: usize) -> MemoryPermit {
        loop {
            let given_back = self.0.given_back.listen();
            if let Some(held) = self.try_acquire(holder, bytes) {
                return held;
            }
            given_back.await;
        }
    }
}

impl Drop for MemoryPermit {
    fn drop(&mut self) {
        let Inner { connections, addresses, given_back } = &*self.room.0;
        connections.borrow_mut().release(&self.holder.connection, self.bytes);
        addresses.borrow_mut().release(&self.holder.address, self.bytes);
        given_back.notify(usize::MAX);
    }
}
