//! Whether a query may run on at its engine, for all that was heard of it since its POST began.

use std::cell::Cell;

use woadhook::Outcome;

use crate::faults::CallError;

/// What is known of one query.
#[derive(Default)]
pub struct Doubt {
    /// Why nothing shows yet that it runs no more; nothing where something does.
    open: Cell<Option<Cause>>,
    is_given_up: Cell<bool>,
    /// Whether the engine refused a connection.
    is_refused: Cell<bool>,
    /// Whether what answers at the engine's address may be another process than the one that has it.
    may_be_another_process: Cell<bool>,
    /// Whether the process that has it told that it is over.
    is_over: Cell<bool>,
}

/// Why a query may run on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// It was given up, and no engine has confirmed that.
    GivenUp,
    /// Its engine refused a connection as it was asked for.
    Refused,
    /// What answers at its engine's address may be another process: a connection broke or was refused, or what told that it was given up came
    /// over a later connection than the query.
    AnotherProcess,
    /// Its engine answered with an error, which it does as well where it does not know the query.
    EngineError,
    /// Its task panicked.
    Panic,
}

/// Why a query surely runs no more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Settlement {
    /// The process that has it confirmed that it was given up, or told its end.
    Confirmed,
    /// Nobody asked for it so long that its engine ended it, and something answered there.
    Expired,
    /// Its engine refuses connections, and its client's time is over.
    RefusedAfterDeadline,
    /// Its engine was told gone so long ago.
    EngineGone,
}

impl Doubt {
    /// Nothing shows any more that it runs no more.
    pub fn begin(&self, cause: Cause) {
        self.open.set(Some(cause));
    }

    /// It is being given up.
    pub fn give_up(&self) {
        self.is_given_up.set(true);
        self.begin(Cause::GivenUp);
    }

    /// The process that has it told that it is over, over the connection that its POST went over.
    pub fn end(&self) {
        self.is_over.set(true);
    }

    /// Something at its engine's address told that it was given up.
    pub fn note_deleted_by_address(&self) {
        self.open.set(None);
        self.may_be_another_process.set(true);
    }

    /// Nothing is known of it any more, but that it may run.
    pub fn begin_all(&self) {
        self.begin(Cause::Panic);
        self.may_be_another_process.set(true);
    }

    /// A call got no answer.
    pub fn note_break(&self, fault: &CallError) {
        self.is_refused.set(self.is_refused.get() || matches!(fault, CallError::Refused));
        if fault.is_break() {
            self.note_another_process();
        }
    }

    /// What answers there since may be another process.
    pub fn note_another_process(&self) {
        self.may_be_another_process.set(true);
    }

    pub fn is_over(&self) -> bool {
        self.is_over.get()
    }

    pub fn is_open(&self) -> bool {
        self.open.get().is_some()
    }

    pub fn is_refused(&self) -> bool {
        self.is_refused.get()
    }

    /// Why it may run on behind such an end, once it has begun; nothing where it can't.
    pub fn cause(&self, outcome: Outcome) -> Option<Cause> {
        if outcome == Outcome::Done || self.is_over.get() {
            return None;
        }
        let another = self.may_be_another_process.get().then_some(Cause::AnotherProcess);
        let untold = (self.is_given_up.get() && outcome == Outcome::Error).then_some(Cause::EngineError);
        self.open.get().or(another).or(untold)
    }
}
