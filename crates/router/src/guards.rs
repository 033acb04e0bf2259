//! The guards of the steps that can break a rule: sending a query, repeating it, closing a client's connection, and taking
//! up service. Each such step asks here right before it is taken. A refusal has a reason and is counted; a step that
//! went past its guard all the same is a violation: counted and logged as an error with the request's id, never a panic.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use woadhook::Moment;

use crate::log_queue::lines_dropped;

/// A step that passes a guard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Step {
    /// The first byte of a query to an engine.
    Send,
    /// A dispatch of a job, or its refusal, behind an earlier one.
    Repeat,
    /// The end of a client's connection by the router's own will.
    Close,
    /// The word that this router serves.
    Start,
}

/// Why a step is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Refusal {
    /// The engine drains, is gone, or is another process since.
    EngineNotOpen,
    /// The client's time is over.
    TimeOver,
    /// The window is over in which an earlier dispatch that may have run can be repeated.
    RepeatTooLate,
    /// The dispatch was called off.
    CalledOff,
    /// The client left or took the request back.
    ClientGone,
    /// An earlier dispatch of a job that must not run twice may have run.
    MayHaveRun,
    /// Another dispatch of the job is out.
    AnotherOut,
    /// A job of the same key is out.
    KeyOut,
    /// An answer is owed.
    AnswerOwed,
    /// The engine list is not known yet.
    NoList,
    /// The router was told to end.
    Stopping,
}

/// What has to hold right before the first byte of a query.
pub struct SendConditions {
    pub now: Moment,
    pub is_engine_open: bool,
    pub deadline: Moment,
    pub repeat_deadline: Option<Moment>,
    pub is_called_off: bool,
}

impl SendConditions {
    /// All but the client, who is looked at on the wire.
    pub fn check(&self) -> Result<(), Refusal> {
        if !self.is_engine_open {
            return Err(Refusal::EngineNotOpen);
        }
        if self.now >= self.deadline {
            return Err(Refusal::TimeOver);
        }
        if self.repeat_deadline.is_some_and(|before| self.now >= before) {
            return Err(Refusal::RepeatTooLate);
        }
        if self.is_called_off {
            return Err(Refusal::CalledOff);
        }
        Ok(())
    }
}

/// What is known of a job's earlier dispatches.
#[derive(Clone, Copy, Default)]
pub struct Earlier {
    /// Whether its type must not run twice.
    pub run_once: bool,
    /// Whether one of them may have run, as far as its end tells.
    pub may_have_run: bool,
    /// Whether one is out, where there may be one at a time only.
    pub one_out: bool,
    /// Whether a job of the same key is out.
    pub key_out: bool,
}

impl Earlier {
    /// Whether one more may go out.
    pub fn check(&self) -> Result<(), Refusal> {
        if self.run_once && self.may_have_run {
            return Err(Refusal::MayHaveRun);
        }
        if self.one_out {
            return Err(Refusal::AnotherOut);
        }
        if self.key_out {
            return Err(Refusal::KeyOut);
        }
        Ok(())
    }

    /// Whether the job may be rejected with the promise that it had no effect.
    pub fn check_rejection(&self) -> Result<(), Refusal> {
        if self.run_once && (self.may_have_run || self.one_out) { Err(Refusal::MayHaveRun) } else { Ok(()) }
    }
}

/// Counts what the guards say. Clones share the counts, which have a line for each step and reason.
#[derive(Clone, Default)]
pub struct Guards(Rc<Counts>);

#[derive(Default)]
struct Counts {
    refused: RefCell<BTreeMap<(Step, Refusal), u64>>,
    violations: Cell<u64>,
}

impl Guards {
    /// Notes a step that a guard refused, of a request if it has one.
    pub fn record_refusal(&self, step: Step, why: Refusal, request: &str) {
        *self.0.refused.borrow_mut().entry((step, why)).or_default() += 1;
        log::debug!(event = "step_refused", step:? = step, why:? = why, job = request; "{step:?} refused: {why:?}");
    }

    /// Notes a step that was taken, or was about to be, past its guard.
    pub fn record_violation(&self, step: Step, why: Refusal, request: &str) {
        self.0.violations.set(self.0.violations.get() + 1);
        log::error!(event = "violation", step:? = step, why:? = why, job = request; "violation: {step:?} in spite of {why:?}");
    }

    /// Writes the counts to the log.
    pub fn report(&self) {
        let refused = self.0.refused.borrow();
        let lines: Vec<String> =
            refused.iter().map(|((step, why), count)| format!("{step:?}/{why:?}={count}")).collect();
        let (refused, violations) = (lines.join(" "), self.0.violations.get());
        let log_lines_dropped = lines_dropped();
        log::info!(event = "counters", violations, refused = refused.as_str(), log_lines_dropped; "violations {violations}, refused: {refused}, log lines dropped {log_lines_dropped}");
    }
}
