//! Tracks whether a query may still run at its engine, from all answers and connection errors since its POST
//! began.

use std::cell::Cell;

use woadhook::Outcome;

use crate::faults::CallError;

/// Whether one query may still run, and the evidence for it.
#[derive(Default)]
pub struct Doubt {
    /// Why the query may still run; `None` if there is evidence that it does not.
    cause: Cell<Option<Cause>>,
    /// Whether the query was given up.
    is_given_up: Cell<bool>,
    /// Whether the engine refused a connection. This is not the engine declining the query.
    is_refused: Cell<bool>,
    /// Whether a connection broke that carried the POST, a poll or the request of a page.
    has_connection_broken: Cell<bool>,
    /// Whether the process that answers at the engine's address may be another one than the process that has
    /// the query.
    may_be_another_process: Cell<bool>,
    /// Whether the process that has the query reported its end.
    has_ended: Cell<bool>,
}

/// Why a query may still run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// It was given up, and no engine has confirmed that.
    GivenUp,
    /// Its engine refused the connection for a poll.
    Refused,
    /// Another process may answer at its engine's address: a connection broke or was refused, or the
    /// confirmation that it was given up came over a later connection than the query.
    AnotherProcess,
    /// Its engine answered with an error, which engines also send for a query that they don't know.
    EngineError,
    /// Its task panicked.
    Panic,
}

/// Why a query has certainly ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Settlement {
    /// The process that has it confirmed that it was given up, or reported its end.
    Confirmed,
    /// It was not polled for so long that its engine has ended it, and a process answered at the engine's
    /// address after that.
    Expired,
    /// Its engine refuses connections, and the client's deadline has passed.
    RefusedAfterDeadline,
    /// Its engine has been listed as gone for as long as an unpolled query may run on.
    EngineGone,
}

impl Doubt {
    /// Records why the query may still run.
    pub fn record_cause(&self, cause: Cause) {
        self.cause.set(Some(cause));
    }

    /// Records that the query is being given up.
    pub fn record_give_up(&self) {
        self.is_given_up.set(true);
        self.record_cause(Cause::GivenUp);
    }

    /// Records that the process that has the query reported its end, over the connection that carried the
    /// POST.
    pub fn record_end(&self) {
        self.has_ended.set(true);
    }

    /// Records that some process at the engine's address confirmed that the query was given up.
    pub fn record_deleted_by_address(&self) {
        self.cause.set(None);
        self.may_be_another_process.set(true);
    }

    /// Records a panic of the query's task, after which the query may still run at any process.
    pub fn record_panic(&self) {
        self.record_cause(Cause::Panic);
        self.may_be_another_process.set(true);
    }

    /// Records a call that got no answer.
    pub fn record_break(&self, error: &CallError) {
        self.is_refused.set(self.is_refused.get() || matches!(error, CallError::Refused));
        if error.is_break() {
            self.record_another_process();
        }
    }

    /// Records that the POST, a poll or the request of a page got no answer.
    pub fn record_query_break(&self, error: &CallError) {
        let is_broken = matches!(error, CallError::Broken(_));
        self.has_connection_broken.set(self.has_connection_broken.get() || is_broken);
        self.record_break(error);
    }

    /// Records that from now on another process may answer at the engine's address instead of the process
    /// that has the query. Errors from that address then no longer prove the query's end.
    pub fn record_another_process(&self) {
        self.may_be_another_process.set(true);
    }

    pub fn has_ended(&self) -> bool {
        self.has_ended.get()
    }

    /// Whether there is a recorded cause for which the query may still run.
    pub fn has_cause(&self) -> bool {
        self.cause.get().is_some()
    }

    /// Whether the engine refused a connection, as opposed to declining the query.
    pub fn is_refused(&self) -> bool {
        self.is_refused.get()
    }

    /// Whether a connection broke that carried the POST, a poll or the request of a page.
    pub fn has_connection_broken(&self) -> bool {
        self.has_connection_broken.get()
    }

    /// Returns why a query that has begun may still run after a dispatch with this outcome; `None` if it has
    /// certainly ended.
    pub fn cause(&self, outcome: Outcome) -> Option<Cause> {
        if outcome == Outcome::Done || self.has_ended.get() {
            return None;
        }
        let another_process = self.may_be_another_process.get().then_some(Cause::AnotherProcess);
        let engine_error =
            (self.is_given_up.get() && outcome == Outcome::Error).then_some(Cause::EngineError);
        self.cause.get().or(another_process).or(engine_error)
    }
}
