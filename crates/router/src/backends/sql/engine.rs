//! What the queries and probes at one engine share.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

use async_channel::Sender;
use woadhook::{Moment, Span};
use woadhook_flow_control::min_rate::MinRate;

use crate::arrivals::LoopTicks;
use crate::clock::Clock;
use crate::exchange::Event;
use crate::faults::CallError;
use crate::freshness::ListFreshness;
use crate::guards::Guards;
use crate::http::request_head;
use crate::memory::MemoryBudget;
use crate::pool::{ConnectionPool, PooledConnection};
use crate::sockets::with_timeout;
use crate::tasks::Tasks;

/// Maximum length of the answer to a control call.
const MAX_CONTROL_ANSWER_BYTES: usize = 4 * 1024;

/// What all engines share.
pub struct EngineContext {
    pub clock: Clock,
    pub tasks: Tasks,
    pub queries: Rc<ConnectionPool>,
    pub control_calls: Rc<ConnectionPool>,
    pub probes: Rc<ConnectionPool>,
    pub connect_timeout: Span,
    /// Whether probes ask for a load report.
    pub wants_load_reports: bool,
    /// Memory for results.
    pub result_memory: MemoryBudget,
    /// Minimum rate at which result pages must arrive, with the period for which they may pause. The
    /// dispatcher sets it to the configured maximum rate or less.
    pub min_rate: Rc<Cell<MinRate>>,
    /// Carries the ends of probes, which the dispatcher processes before other events.
    pub urgent: Sender<Event>,
    pub guards: Guards,
    pub freshness: ListFreshness,
    pub loop_ticks: LoopTicks,
}

/// What the queries at one engine share.
pub struct Engine {
    pub context: Rc<EngineContext>,
    /// Distinguishes its connections from those of an earlier engine.
    pub serial: u64,
    pub address: SocketAddr,
    /// Whether it has been reported neither as draining nor as gone.
    pub is_live: Cell<bool>,
    /// Whether it has been reported as gone.
    pub is_gone: Cell<bool>,
    /// When a connection to it last came up; the engine's machine was reachable then.
    pub connected_at: Cell<Moment>,
}

impl Engine {
    pub async fn acquire(&self, pool: &Rc<ConnectionPool>) -> Result<PooledConnection, CallError> {
        let connection = pool.acquire(self.serial, self.address, self.context.connect_timeout).await?;
        self.connected_at.set(self.connected_at.get().max(connection.opened_at));
        Ok(connection)
    }

    /// Makes a short call about a query over a separate connection: a DELETE, or a PUT with a new priority.
    /// The answer must come within `answer_timeout`.
    pub async fn control_call(
        &self, method: &str, path: &str, body: &str, answer_timeout: Span,
    ) -> Result<u16, CallError> {
        self.short_call(&self.context.control_calls, method, path, body, answer_timeout, |_, _| ()).await
    }

    /// Makes one call over a connection of `pool` and returns the status of the answer, which must come
    /// within `answer_timeout`. `field` receives the header fields of the answer.
    pub async fn short_call(
        &self, pool: &Rc<ConnectionPool>, method: &str, path: &str, body: &str, answer_timeout: Span,
        field: impl FnMut(&str, &str),
    ) -> Result<u16, CallError> {
        let mut connection = self.acquire(pool).await?;
        let head = request_head(method, path, self.address, &[], body.len());
        let call = connection.call(&head, body.as_bytes(), MAX_CONTROL_ANSWER_BYTES, |_| (), field);
        let answer = with_timeout(answer_timeout, call).await;
        let (status, _) = answer.unwrap_or(Err(CallError::NoAnswerInTime))?;
        Ok(status)
    }
}
