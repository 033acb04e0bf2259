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

/// How long a connection stays idle after an answer before another call is made on it. Threat: an answer that
/// arrives twice, the second time some milliseconds late, would be taken for the answer to the next call,
/// which may belong to another job. A second copy that arrives within this time is seen before the next use.
/// Cost: a new connection where calls to one engine follow each other faster.
pub const REST: Span = Span::from_micros(100_000);

/// Connections that share one part of the descriptor limit.
pub struct ConnectionPool {
    clock: Clock,
    part: Arc<Semaphore>,
    /// Half the time after which engines close idle connections, so that no call coincides with the close.
    longest_idle: Span,
    /// Idle connections, the longest idle first; removed when they are too old, when they are used and when
    /// the module forgets the engine.
    idle: RefCell<VecDeque<(u64, Connection)>>,
    /// How many calls wait for a descriptor; while any does, no connection is kept idle.
    waiting: Cell<usize>,
}

/// A connection in use. It returns to the pool if it is dropped between calls, and closes if it is dropped
/// during one.
pub struct PooledConnection {
    pool: Rc<ConnectionPool>,
    engine: u64,
    connection: Option<Connection>,
}

impl ConnectionPool {
    pub fn new(clock: Clock, part: Arc<Semaphore>, idle_close: Span) -> Rc<Self> {
        Rc::new(Self {
            clock,
            part,
            longest_idle: idle_close.mul_f64(0.5),
            idle: RefCell::default(),
            waiting: Cell::new(0),
        })
    }

    /// Returns an idle connection to this engine that has rested long enough and that its peer has not
    /// closed, or else a new one. If all descriptors are in use, closes the longest idle connection to any
    /// engine, or waits for a descriptor.
    pub async fn acquire(
        self: &Rc<Self>, engine: u64, at: SocketAddr, span: Span,
    ) -> Result<PooledConnection, CallError> {
        let lease =
            |connection| PooledConnection { pool: self.clone(), engine, connection: Some(connection) };
        self.close_old();
        while let Some(connection) = self.latest(engine) {
            if connection.is_ready() {
                return Ok(lease(connection));
            }
        }
        let permit = match self.part.try_acquire_arc() {
            Some(permit) => permit,
            None => {
                self.idle.borrow_mut().pop_front();
                let _waiting = Waiting::new(&self.waiting);
                with_timeout(span, self.part.acquire_arc()).await.ok_or(CallError::NoDescriptor)?
            }
        };
        let link = Socket::connect(at, span, permit);
        let link = link.or(self.another(at, span, 1)).or(self.another(at, span, 2)).await?;
        Ok(lease(Connection::new(link, self.clock)))
    }

    /// Opens another connection once `thirds` thirds of the connect timeout have passed. Threat: connections
    /// to healthy engines that come up late or never, each of which would set an engine aside. Cost: a second
    /// connection, and a descriptor if one is free, where an engine is slow to accept.
    async fn another(&self, at: SocketAddr, span: Span, thirds: u32) -> Result<Socket, CallError> {
        let after = span.mul_f64(f64::from(thirds) / 3.0);
        sleep(after).await;
        match self.part.try_acquire_arc() {
            // Boxed, as few connections need it and it would enlarge the task of every query.
            Some(permit) => Box::pin(Socket::connect(at, span.saturating_sub(after), permit)).await,
            None => future::pending().await,
        }
    }

    fn latest(&self, engine: u64) -> Option<Connection> {
        let (now, mut idle) = (self.clock.now(), self.idle.borrow_mut());
        let rested = |each: &Connection| now.since(each.idle_since) >= REST;
        let place = idle.iter().rposition(|(of, each)| *of == engine && rested(each))?;
        idle.remove(place).map(|(_, connection)| connection)
    }

    fn close_old(&self) {
        let (now, mut idle) = (self.clock.now(), self.idle.borrow_mut());
        while idle.front().is_some_and(|(_, oldest)| now.since(oldest.idle_since) > self.longest_idle) {
            idle.pop_front();
        }
    }

    pub fn close_all(&self, engine: u64) {
        self.idle.borrow_mut().retain(|(of, _)| *of != engine);
    }
}

struct Waiting<'a>(&'a Cell<usize>);

impl<'a> Waiting<'a> {
    fn new(count: &'a Cell<usize>) -> Self {
        count.set(count.get() + 1);
        Self(count)
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Deref for PooledConnection {
    type Target = Connection;
    fn deref(&self) -> &Connection {
        self.connection.as_ref().expect("held until dropped")
    }
}

impl DerefMut for PooledConnection {
    fn deref_mut(&mut self) -> &mut Connection {
        self.connection.as_mut().expect("held until dropped")
    }
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        let keeps = |connection: &Connection| connection.reusable && self.pool.waiting.get() == 0;
        if let Some(mut connection) = self.connection.take().filter(keeps) {
            connection.idle_since = self.pool.clock.now();
            self.pool.idle.borrow_mut().push_back((self.engine, connection));
        }
    }
}
