//! What the decision module notes down of jobs and dispatches: plain records, which decide nothing.

use std::collections::VecDeque;

use crate::interface::*;
use crate::time::{Moment, Span};

#[derive(Default)]
pub(crate) struct Dispatch {
    pub(crate) engine: EngineId,
    pub(crate) zone: ZoneId,
    pub(crate) cell: CellId,
    pub(crate) sent: Moment,
    pub(crate) warm: bool,
    pub(crate) grant: f64,
    pub(crate) short: bool,
    pub(crate) waited: bool,
    pub(crate) stood: bool,
    /// Whether a note already foretold that it would miss its SLA time.
    pub(crate) judged: bool,
    /// When a note last told the share done, and that share.
    pub(crate) share: Option<(Moment, f64)>,
    pub(crate) outcome: Option<Outcome>,
    pub(crate) cancelled: bool,
}

#[derive(Default)]
pub(crate) struct Job {
    pub(crate) kind: TypeId,
    pub(crate) group: GroupId,
    pub(crate) key: Option<KeyId>,
    pub(crate) told: Option<Span>,
    pub(crate) work: f64,
    pub(crate) memory: f64,
    pub(crate) sla_due: Moment,
    pub(crate) deadline: Moment,
    pub(crate) billed: f64,
    pub(crate) over: bool,
    pub(crate) dispatches: Vec<Dispatch>,
}

impl Job {
    pub(crate) fn out(&self) -> usize {
        self.dispatches.iter().filter(|d| d.outcome.is_none()).count()
    }

    /// The dispatches that may have run or may yet.
    pub(crate) fn maybe_ran(&self) -> impl Iterator<Item = &Dispatch> {
        self.dispatches.iter().filter(|d| d.outcome.is_none_or(|o| !o.never_ran()))
    }
}

#[derive(Clone, Copy)]
pub(crate) struct Report {
    pub(crate) at: Moment,
    pub(crate) active: Option<f64>,
    pub(crate) waiting: f64,
    pub(crate) cpu: f64,
}

pub(crate) struct Sent {
    pub(crate) at: Moment,
    pub(crate) kind: TypeId,
    pub(crate) group: GroupId,
    pub(crate) work: f64,
    pub(crate) threads: f64,
}

/// The jobs of one key in the order taken.
#[derive(Default)]
pub(crate) struct Turns {
    pub(crate) jobs: VecDeque<JobId>,
    pub(crate) rest_until: Moment,
}

/// A mean that forgets.
#[derive(Clone, Copy)]
pub(crate) struct Mean {
    pub(crate) value: f64,
    samples: f64,
}

impl Mean {
    pub(crate) fn new(value: f64, samples: f64) -> Self {
        Self { value, samples }
    }

    pub(crate) fn samples(&self) -> f64 {
        self.samples
    }

    /// Takes in a sample, which counts for at least one part in `memory`.
    pub(crate) fn add(&mut self, sample: f64, memory: f64) {
        self.samples = (self.samples + 1.0).min(memory);
        self.value += (sample - self.value) / self.samples;
    }
}
