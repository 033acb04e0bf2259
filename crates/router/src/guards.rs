//! Guards are checks for the steps that could violate a guarantee of the router: sending a query, repeating
//! it, closing a client's connection, and starting service. Each step checks its guard right before it is
//! taken. A refusal has a reason and is counted. A step that was taken in spite of its guard is a violation:
//! it is counted and logged as an error with the request's id, and never causes a panic.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use woadhook::{GiveUpReason, Moment};

use crate::log_queue::dropped_lines;

/// A step that has a guard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Step {
    /// Writing the first byte of a query to an engine.
    Send,
    /// A further dispatch of a job, or its rejection, after an earlier dispatch.
    Repeat,
    /// Closing a client's connection on the router's own initiative.
    Close,
    /// Reporting that this router serves.
    Start,
}

/// Why a step is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Refusal {
    /// The engine is draining, is gone, or has been replaced by another process.
    EngineNotOpen,
    /// The time that the client allows is over.
    TimeOver,
    /// The time in which the job may be dispatched again, although an earlier dispatch may have run, is over.
    RepeatTooLate,
    /// The dispatch was cancelled.
    CalledOff,
    /// The client disconnected or withdrew the request.
    ClientGone,
    /// The client may have withdrawn the request in what the router has not processed yet.
    ClientUnheard,
    /// An earlier dispatch of a job that must not run twice may have run.
    MayHaveRun,
    /// Another dispatch of the job is in flight.
    AnotherOut,
    /// A job of the same order key is in flight.
    KeyOut,
    /// An answer to the client is still due.
    AnswerOwed,
    /// The engine list is not known yet.
    NoList,
    /// The router is stopping.
    Stopping,
}

/// The conditions that must hold right before the first byte of a query.
pub struct SendConditions {
    pub now: Moment,
    pub is_engine_open: bool,
    pub deadline: Moment,
    pub repeat_deadline: Option<Moment>,
    pub is_cancelled: bool,
}

impl SendConditions {
    /// Checks all conditions but the client's presence, which is checked on its connection.
    pub fn check(&self) -> Result<(), Refusal> {
        if !self.is_engine_open {
            return Err(Refusal::EngineNotOpen);
        }
        if self.now >= self.deadline {
            return Err(Refusal::TimeOver);
        }
        if self.repeat_deadline.is_some_and(|deadline| self.now >= deadline) {
            return Err(Refusal::RepeatTooLate);
        }
        if self.is_cancelled {
            return Err(Refusal::CalledOff);
        }
        Ok(())
    }
}

/// What the host has recorded about a job's earlier dispatches.
#[derive(Clone, Copy, Default)]
pub struct EarlierDispatches {
    /// Whether jobs of its type must not run twice.
    pub run_once: bool,
    /// Whether a dispatch may have run, judging by how it ended.
    pub may_have_run: bool,
    /// Whether a dispatch is in flight, where only one is allowed at a time.
    pub another_in_flight: bool,
    /// Whether another job of the same order key is in flight.
    pub key_in_flight: bool,
}

impl EarlierDispatches {
    /// Checks whether a further dispatch may be sent.
    pub fn check(&self) -> Result<(), Refusal> {
        if self.run_once && self.may_have_run {
            return Err(Refusal::MayHaveRun);
        }
        if self.another_in_flight {
            return Err(Refusal::AnotherOut);
        }
        if self.key_in_flight {
            return Err(Refusal::KeyOut);
        }
        Ok(())
    }

    /// Checks whether the job may be rejected with the guarantee that it had no effect.
    pub fn check_rejection(&self) -> Result<(), Refusal> {
        if self.run_once && (self.may_have_run || self.another_in_flight) {
            Err(Refusal::MayHaveRun)
        } else {
            Ok(())
        }
    }
}

/// Counts the outcomes of the guards, by step and reason. Clones share the counts.
#[derive(Clone, Default)]
pub struct Guards(Rc<Counts>);

#[derive(Default)]
struct Counts {
    refused: RefCell<BTreeMap<(Step, Refusal), u64>>,
    /// Jobs that got no result, by the reason for giving them up.
    given_up: RefCell<BTreeMap<GiveUpReason, u64>>,
    violations: Cell<u64>,
}

impl Guards {
    /// Records a step that a guard refused, with the request's id if it has one.
    pub fn record_refusal(&self, step: Step, why: Refusal, request: &str) {
        *self.0.refused.borrow_mut().entry((step, why)).or_default() += 1;
        log::debug!(event = "step_refused", step:? = step, why:? = why, job = request; "{step:?} refused: {why:?}");
    }

    /// Records that a job was given up.
    pub fn record_give_up(&self, why: GiveUpReason) {
        *self.0.given_up.borrow_mut().entry(why).or_default() += 1;
    }

    /// Records a step that was taken, or was about to be, in spite of its guard.
    pub fn record_violation(&self, step: Step, why: Refusal, request: &str) {
        self.0.violations.set(self.0.violations.get() + 1);
        log::error!(event = "violation", step:? = step, why:? = why, job = request; "violation: {step:?} despite {why:?}");
    }

    /// Writes the counts to the log.
    pub fn report(&self) {
        let refused = self.0.refused.borrow();
        let lines: Vec<String> =
            refused.iter().map(|((step, why), count)| format!("{step:?}/{why:?}={count}")).collect();
        let (refused, violations) = (lines.join(" "), self.0.violations.get());
        let given_up = self.0.given_up.borrow();
        let reasons: Vec<String> = given_up.iter().map(|(why, count)| format!("{why:?}={count}")).collect();
        let (given_up, log_lines_dropped) = (reasons.join(" "), dropped_lines());
        log::info!(event = "counters", violations, refused = refused.as_str(), given_up = given_up.as_str(), log_lines_dropped; "violations {violations}, refused: {refused}, given up: {given_up}, log lines dropped {log_lines_dropped}");
    }
}
