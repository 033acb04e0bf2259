//! What the decision module notes down of jobs, dispatches and engines: plain records, which decide nothing.

use std::collections::{BTreeMap, VecDeque};

use crate::interface::*;
use crate::time::{Moment, Span};

/// What a usual job takes of its SLA time on its threads, until it is learned.
const USUAL_PART: f64 = 0.5;
/// Note periods, or else longest SLA times, without a word from an engine with work out that mean silence.
const SILENT_PERIODS: f64 = 2.5;

/// What the settings alone determine and many decisions ask for, worked out once.
#[derive(Clone, Copy)]
pub(crate) struct Bounds {
    /// How long an engine with work out may be silent.
    pub(crate) patience: Span,
    /// How long a load may be taken to hold its group.
    pub(crate) load_run: Span,
    /// How long a table group stays warm.
    pub(crate) lifetime: Span,
    /// Usual work of the largest type.
    pub(crate) largest_work: f64,
}

impl Bounds {
    pub(crate) fn new(types: &[ReservationType], watching: &Monitoring) -> Self {
        let sla = types.iter().map(|t| t.sla).max().unwrap_or_default();
        let period = if watching.progress_period > Span::ZERO { watching.progress_period } else { sla };
        let loads = types.iter().filter(|t| t.is_load);
        Self {
            patience: period.mul_f64(SILENT_PERIODS),
            load_run: loads.map(|t| t.sla).max().unwrap_or_default(),
            lifetime: types.iter().map(|t| t.timeout).min().unwrap_or_default(),
            largest_work: types.iter().map(first_work).fold(0.0, f64::max),
        }
    }

    /// Whether a table group that was last sent then, if at all, is still warm.
    pub(crate) fn is_warm(&self, sent: Option<&Moment>, now: Moment) -> bool {
        sent.is_some_and(|at| now.since(*at) <= self.lifetime)
    }
}

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

/// One engine of the list; dropped when gone and nothing is out there.
#[derive(Default)]
pub(crate) struct Engine {
    /// A number that all routers have for it alike.
    pub(crate) stable_hash: u64,
    pub(crate) zone: ZoneId,
    pub(crate) kind: KindId,
    pub(crate) cell: CellId,
    pub(crate) listed: EngineStatus,
    /// The stamp of its last start, where it told of one.
    pub(crate) start: Option<u64>,
    /// Since when it is cold; its windows of slow start are counted from here.
    pub(crate) cold_since: Option<Moment>,
    pub(crate) report: Option<Report>,
    /// When each table group was last sent there; emptied of those past the warm lifetime.
    pub(crate) groups: BTreeMap<GroupId, Moment>,
    /// Until when a table group seems held by a load of another router; emptied of what is past.
    pub(crate) holds: BTreeMap<GroupId, Moment>,
    /// Own dispatches that are out; emptied by their outcomes.
    pub(crate) out: BTreeMap<(JobId, usize), Sent>,
    /// Usual work sent lately; emptied of what has left the cold-start window.
    pub(crate) sent: Vec<(Moment, f64)>,
    pub(crate) heard: Moment,
    /// The share of errors among the ends lately and when the last came, a line for each type and one for all.
    pub(crate) errors: BTreeMap<Option<TypeId>, (Mean, Moment)>,
    /// What other routers say, by type, and when it came; emptied of what is older than the patience.
    pub(crate) hearsay: BTreeMap<Option<TypeId>, (f64, Moment)>,
    /// How much longer a usual result takes to come from there than from its peers.
    pub(crate) longer: Span,
    pub(crate) probe_out: bool,
    pub(crate) probed: Option<Moment>,
    /// While set aside: probes still to answer in a row.
    pub(crate) aside: Option<u32>,
}

impl Engine {
    pub(crate) fn threads_out(&self) -> f64 {
        self.out.values().map(|sent| sent.threads).sum()
    }

    /// Empties the records of what is past, which counts for nothing any more.
    pub(crate) fn let_go(&mut self, now: Moment, fall: Span, bounds: Bounds) {
        self.sent.retain(|(at, _)| now.since(*at) <= fall);
        self.groups.retain(|_, at| now.since(*at) <= bounds.lifetime);
        self.holds.retain(|_, until| now < *until);
        self.hearsay.retain(|_, (_, at)| now.since(*at) <= bounds.patience);
    }

    /// Whether it had work out, and gave no word, for longer than `span`.
    pub(crate) fn silent(&self, now: Moment, span: Span) -> bool {
        self.silent_since().is_some_and(|since| now.since(since) > span)
    }

    /// Since when it had work out and gave no word; nothing where no work is out.
    pub(crate) fn silent_since(&self) -> Option<Moment> {
        let first = self.out.values().map(|sent| sent.at).min();
        first.map(|first| first.max(self.heard))
    }
}

/// The jobs of one key in the order taken.
#[derive(Default)]
pub(crate) struct Turns {
    pub(crate) jobs: VecDeque<JobId>,
    pub(crate) rest_until: Moment,
    /// Dispatches that ended without word and may run on; taken off as the host learns that they don't.
    pub(crate) in_doubt: usize,
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

/// How long a job runs where all its threads get a core.
pub(crate) fn t_run(t: &ReservationType, work: f64) -> Span {
    Span::from_secs(work / t.threads)
}

/// The SLA time of a job, as its type states it.
pub(crate) fn sla_of(t: &ReservationType, work: f64) -> Span {
    t.sla + t_run(t, work).mul_f64(t.sla_stretch)
}

/// Usual work by the settings alone, in seconds of one thread.
pub(crate) fn first_work(t: &ReservationType) -> f64 {
    t.sla.secs() * t.threads * USUAL_PART
}
