//! Pools of idle connections to engines, shared so that the connections to one engine never starve those to
//! another.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::ops::{Deref, DerefMut};
use std::rc::Rc;
use std::sync::Arc;

use async_lock::Semaphore;
use futures_lite::{FutureExt, future};
use woadhook::Span;

use crate::clock::{Clock, sleep};
use crate::faults::CallError;
use crate::http::Connection;
use crate::sockets::{Socket, with_timeout};

/// Minimum time for which a connection stays idle after an answer before another call is made on it. Threat:
/// an answer that arrives twice, the second time some milliseconds late, would be taken for the answer to the
/// next call, which may belong to another job. A second copy that arrives within this time is seen before the
/// next use. Where calls to one engine follow each other faster, this costs a new connection.
pub const MIN_IDLE_TIME: Span = Span::from_micros(100_000);

/// Connections that share one part of the descriptor limit.
pub struct ConnectionPool {
    clock: Clock,
    descriptors: Arc<Semaphore>,
    /// Maximum time for which a connection is kept idle: half the time after which engines close idle
    /// connections, so that no call coincides with the close.
    max_idle: Span,
    /// Idle connections, the longest idle first; removed when they are too old, when they are used and when
    /// the module forgets the engine.
    idle: RefCell<VecDeque<(u64, Connection)>>,
    /// How many calls wait for a descriptor; while any does, no connection is kept idle.
    waiting: Cell<usize>,
}

/// A connection in use. It returns to the pool if it is dropped between calls and its peer owes no answer, and
/// closes otherwise.
pub struct PooledConnection {
    pool: Rc<ConnectionPool>,
    engine: u64,
    connection: Option<Connection>,
}

impl ConnectionPool {
    pub fn new(clock: Clock, descriptors: Arc<Semaphore>, idle_close: Span) -> Rc<Self> {
        Rc::new(Self {
            clock,
            descriptors,
            max_idle: idle_close.mul_f64(0.5),
            idle: RefCell::default(),
            waiting: Cell::new(0),
        })
    }

    /// Returns an idle connection to this engine that has been idle for `MIN_IDLE_TIME` and that its peer has
    /// not closed, or else a new one. If all descriptors are in use, closes the longest idle connection to
    /// any engine, or waits for a descriptor.
    pub async fn acquire(
        self: &Rc<Self>, engine: u64, address: SocketAddr, connect_timeout: Span,
    ) -> Result<PooledConnection, CallError> {
        let in_use =
            |connection| PooledConnection { pool: self.clone(), engine, connection: Some(connection) };
        self.close_expired();
        while let Some(connection) = self.take_reusable(engine) {
            if connection.is_ready() {
                return Ok(in_use(connection));
            }
        }
        let permit = match self.descriptors.try_acquire_arc() {
            Some(permit) => permit,
            None => {
                self.idle.borrow_mut().pop_front();
                let _waiter = WaiterGuard::new(&self.waiting);
                with_timeout(connect_timeout, self.descriptors.acquire_arc())
                    .await
                    .ok_or(CallError::NoDescriptor)?
            }
        };
        let socket = Socket::connect(address, connect_timeout, permit);
        let socket = socket
            .or(self.connect_later(address, connect_timeout, 1))
            .or(self.connect_later(address, connect_timeout, 2))
            .await?;
        Ok(in_use(Connection::new(socket, self.clock)))
    }

    /// Opens another connection once `thirds` thirds of the connect timeout have passed. Threat: a connection
    /// to a healthy engine is established late or never, which would set the engine aside. Where an engine is
    /// slow to accept, this costs a second connection, and a descriptor if one is free.
    async fn connect_later(
        &self, address: SocketAddr, connect_timeout: Span, thirds: u32,
    ) -> Result<Socket, CallError> {
        let after = connect_timeout.mul_f64(f64::from(thirds) / 3.0);
        sleep(after).await;
        match self.descriptors.try_acquire_arc() {
            // Boxed, as few connections need it and it would enlarge the task of every query.
            Some(permit) => {
                Box::pin(Socket::connect(address, connect_timeout.saturating_sub(after), permit)).await
            }
            None => future::pending().await,
        }
    }

    fn take_reusable(&self, engine: u64) -> Option<Connection> {
        let (now, mut idle) = (self.clock.now(), self.idle.borrow_mut());
        let is_reusable = |each: &Connection| now.since(each.idle_since) >= MIN_IDLE_TIME;
        let index = idle.iter().rposition(|(of, each)| *of == engine && is_reusable(each))?;
        idle.remove(index).map(|(_, connection)| connection)
    }

    fn close_expired(&self) {
        let (now, mut idle) = (self.clock.now(), self.idle.borrow_mut());
        while idle.front().is_some_and(|(_, oldest)| now.since(oldest.idle_since) > self.max_idle) {
            idle.pop_front();
        }
    }

    pub fn close_all(&self, engine: u64) {
        self.idle.borrow_mut().retain(|(of, _)| *of != engine);
    }
}

struct WaiterGuard<'a>(&'a Cell<usize>);

impl<'a> WaiterGuard<'a> {
    fn new(count: &'a Cell<usize>) -> Self {
        count.set(count.get() + 1);
        Self(count)
    }
}

impl Drop for WaiterGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Deref for PooledConnection {
    type Target = Connection;
    fn deref(&self) -> &Connection {
        self.connection.as_ref().expect("the connection is present until it is dropped")
    }
}

impl DerefMut for PooledConnection {
    fn deref_mut(&mut self) -> &mut Connection {
        self.connection.as_mut().expect("the connection is present until it is dropped")
    }
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        let keeps = |connection: &Connection| {
            connection.reusable && !connection.may_owe_answer && self.pool.waiting.get() == 0
        };
        if let Some(mut connection) = self.connection.take().filter(keeps) {
            connection.idle_since = self.pool.clock.now();
            self.pool.idle.borrow_mut().push_back((self.engine, connection));
        }
    }
}
