//! Whether a query may run on at its engine, for all that was heard of it since its POST began.

use std::cell::Cell;

use woadhook::Outcome;

use crate::faults::CallFault;

/// What is known of one query.
#[derive(Default)]
pub struct Doubt {
    /// Why nothing shows yet that it runs no more; nothing where something does.
    open: Cell<Option<Cause>>,
    is_given_up: Cell<bool>,
    /// Whether the engine refused a connection.
    is_refused: Cell<bool>,
    /// Whether a connection broke, so that what answers since may be another process.
    is_broken: Cell<bool>,
}

/// Why a query may run on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// It was given up, and no engine has confirmed that.
    GivenUp,
    /// Its engine refused a connection as it was asked for.
    Refused,
    /// A connection broke, or was refused, since it began.
    ConnectionBroke,
    /// Its engine answered with an error, which it does as well where it does not know the query.
    EngineError,
    /// Its task panicked.
    Panic,
}

/// Why a query surely runs no more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Settlement {
    /// Its engine confirmed that it was given up.
    Deleted,
    /// Nobody asked for it so long that its engine ended it, and something answers there.
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

    /// Its engine confirmed that it was given up.
    pub fn settle(&self) {
        self.open.set(None);
    }

    /// Nothing is known of it any more, but that it may run.
    pub fn begin_all(&self) {
        self.begin(Cause::Panic);
        self.is_broken.set(true);
    }

    /// A call got no answer.
    pub fn note_break(&self, fault: &CallFault) {
        self.is_refused.set(self.is_refused.get() || matches!(fault, CallFault::Refused));
        self.is_broken.set(self.is_broken.get() || fault.is_break());
    }

    /// What answers there since may be another process.
    pub fn note_other_process(&self) {
        self.is_broken.set(true);
    }

    pub fn is_open(&self) -> bool {
        self.open.get().is_some()
    }

    pub fn is_refused(&self) -> bool {
        self.is_refused.get()
    }

    pub fn is_broken(&self) -> bool {
        self.is_broken.get()
    }

    /// Why it may run on behind such an end, once it has begun; nothing where it can't.
    pub fn cause(&self, outcome: Outcome) -> Option<Cause> {
        let broke = self.is_broken.get().then_some(Cause::ConnectionBroke);
        let untold = (self.is_given_up.get() && outcome == Outcome::Error).then_some(Cause::EngineError);
        self.open.get().or(broke).or(untold).filter(|_| outcome != Outcome::Done)
    }
}
