//! Budgets for the bytes that the router holds for clients: statements, results, and messages that are being
//! received. A client that requests more bytes than are free, or more than its share, waits or is rejected.
//! So slow readers wait instead of making memory use grow, and a few clients can't use up the whole budget.

use std::cell::RefCell;
use std::net::IpAddr;
use std::rc::Rc;

use event_listener::Event;
use woadhook_flow_control::shares::{Reservation, Shares};

/// Fraction of a budget that is set aside for floors, the bytes guaranteed to each possible connection.
const GUARANTEED_FRACTION: f64 = 0.5;
/// Maximum bytes that a connection may hold above its floor, as a multiple of the bytes that are still free.
const CONNECTION_MULTIPLE_OF_FREE: f64 = 1.0;
/// Maximum bytes that all connections of one address may hold, as a multiple of the bytes that are still
/// free. It is larger because many connections may come from one address.
const ADDRESS_MULTIPLE_OF_FREE: f64 = 8.0;

/// The client connection that bytes are held for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Holder {
    /// The number of the client's connection.
    pub connection: u64,
    pub address: IpAddr,
}

/// A budget of bytes, shared fairly among connections and addresses. Clones share the same budget.
#[derive(Clone)]
pub struct MemoryBudget(Rc<Inner>);

struct Inner {
    connections: RefCell<Shares<u64>>,
    addresses: RefCell<Shares<IpAddr>>,
    released: Event,
}

/// Bytes taken from a budget; returned when dropped.
pub struct MemoryPermit {
    budget: MemoryBudget,
    holder: Holder,
    bytes: usize,
}

impl MemoryBudget {
    /// Creates a budget of `bytes` for at most the given number of connections.
    pub fn new(bytes: usize, connections: usize) -> Self {
        Self(Rc::new(Inner {
            connections: RefCell::new(Shares::new(
                bytes,
                connections,
                GUARANTEED_FRACTION,
                CONNECTION_MULTIPLE_OF_FREE,
            )),
            addresses: RefCell::new(Shares::new(bytes, connections, 0.0, ADDRESS_MULTIPLE_OF_FREE)),
            released: Event::new(),
        }))
    }

    /// Returns `None` if too few bytes are free now, or if the holder's share is used up.
    pub fn try_acquire(&self, holder: Holder, bytes: usize) -> Option<MemoryPermit> {
        let (mut connections, mut addresses) =
            (self.0.connections.borrow_mut(), self.0.addresses.borrow_mut());
        // A connection may always use its own floor, whatever others of its address hold.
        let within_floor = connections.held_by(&holder.connection) + bytes <= connections.floor();
        if !within_floor && addresses.check(&holder.address, bytes) != Reservation::Granted {
            return None;
        }
        if connections.reserve(&holder.connection, bytes) != Reservation::Granted {
            return None;
        }
        addresses.reserve_unchecked(&holder.address, bytes);
        Some(MemoryPermit { budget: self.clone(), holder, bytes })
    }

    /// Waits until the bytes are free.
    pub async fn acquire(&self, holder: Holder, bytes: usize) -> MemoryPermit {
        loop {
            let released = self.0.released.listen();
            if let Some(permit) = self.try_acquire(holder, bytes) {
                return permit;
            }
            released.await;
        }
    }
}

impl Drop for MemoryPermit {
    fn drop(&mut self) {
        let Inner { connections, addresses, released } = &*self.budget.0;
        connections.borrow_mut().release(&self.holder.connection, self.bytes);
        addresses.borrow_mut().release(&self.holder.address, self.bytes);
        released.notify(usize::MAX);
    }
}
