//! The decision module's records of jobs, dispatches and engines. They hold data only; the decisions are in
//! `logic`.

use std::collections::{BTreeMap, VecDeque};

use crate::interface::*;
use crate::time::{Moment, Span};

/// Fraction of its SLA time for which a job is assumed to run on its threads, until the work of its type is
/// learned.
const INITIAL_WORK_SLA_FRACTION: f64 = 0.5;
/// An engine with dispatches in flight counts as silent when it has sent nothing for this many progress
/// periods. If engines send no progress notifications, the longest SLA time is used as the period.
const SILENT_PERIODS: f64 = 2.5;

/// Values that depend on the settings alone and that many decisions use, computed once.
#[derive(Clone, Copy)]
pub(crate) struct DerivedSettings {
    /// How long an engine with dispatches in flight may be silent.
    pub(crate) max_silence: Span,
    /// How long a load is assumed to lock its table group.
    pub(crate) max_load_time: Span,
    /// How long a table group is assumed to stay warm on an engine after the last dispatch for it: the
    /// smallest job timeout of any type.
    pub(crate) warm_period: Span,
    /// The largest initial work of any type (see `initial_work`), in seconds of one thread.
    pub(crate) max_initial_work: f64,
}

impl DerivedSettings {
    pub(crate) fn new(types: &[ReservationType], monitoring: &Monitoring) -> Self {
        let sla = types.iter().map(|t| t.sla).max().unwrap_or_default();
        let period = if monitoring.progress_period > Span::ZERO { monitoring.progress_period } else { sla };
        let loads = types.iter().filter(|t| t.is_load);
        Self {
            max_silence: period.mul_f64(SILENT_PERIODS),
            max_load_time: loads.map(|t| t.sla).max().unwrap_or_default(),
            warm_period: types.iter().map(|t| t.timeout).min().unwrap_or_default(),
            max_initial_work: types.iter().map(initial_work).fold(0.0, f64::max),
        }
    }

    /// Whether a table group is still warm. `sent` is the time of its last dispatch, if there was one.
    pub(crate) fn is_warm(&self, sent: Option<&Moment>, now: Moment) -> bool {
        sent.is_some_and(|at| now.since(*at) <= self.warm_period)
    }
}

/// One dispatch of a job.
#[derive(Default)]
pub(crate) struct Dispatch {
    pub(crate) engine: EngineId,
    pub(crate) zone: ZoneId,
    /// The engine's cell: the set of engines that share their record of the keys they have seen.
    pub(crate) cell: CellId,
    pub(crate) sent: Moment,
    /// Whether the job's table group was warm on the engine.
    pub(crate) warm: bool,
    /// Memory grant in megabytes; 0 if the engine chooses.
    pub(crate) grant: f64,
    /// Whether the query spilled to disk because its grant was too small.
    pub(crate) spilled: bool,
    /// Whether the query waited for memory.
    pub(crate) waited_for_memory: bool,
    /// Whether the query waited for a load that had locked its table group.
    pub(crate) waited_for_load: bool,
    /// Whether a progress notification already predicted that it would miss its SLA time.
    pub(crate) miss_predicted: bool,
    /// The fraction of the work done according to the last progress notification that stated one, and the
    /// time of that notification.
    pub(crate) progress: Option<(Moment, f64)>,
    pub(crate) outcome: Option<Outcome>,
    pub(crate) cancelled: bool,
}

/// A job that is not closed, or still has dispatches in flight.
#[derive(Default)]
pub(crate) struct Job {
    pub(crate) type_id: TypeId,
    pub(crate) group: GroupId,
    pub(crate) key: Option<KeyId>,
    /// The client's estimate of the work, if it gave one.
    pub(crate) estimate: Option<Span>,
    /// Estimated work in seconds of one thread, corrected by the learned bias.
    pub(crate) work: f64,
    /// The client's estimate of the memory, in megabytes.
    pub(crate) memory: f64,
    /// End of the SLA time.
    pub(crate) sla_due: Moment,
    /// End of the time that the client allows.
    pub(crate) deadline: Moment,
    /// Billed value of an answer within the SLA time.
    pub(crate) billed_value: f64,
    /// Whether the job has its final answer or its client has left.
    pub(crate) closed: bool,
    /// Whether a dispatch was not sent because the client may have withdrawn the job.
    pub(crate) client_unheard: bool,
    /// The earliest dispatch that may have run of an earlier job with the same id.
    pub(crate) earlier_run: Option<EarlierRun>,
    pub(crate) dispatches: Vec<Dispatch>,
}

impl Job {
    /// Number of dispatches in flight.
    pub(crate) fn dispatches_in_flight(&self) -> usize {
        self.dispatches.iter().filter(|d| d.outcome.is_none()).count()
    }

    /// The dispatches that may have run or may still run, of this job or of an earlier one with its id.
    pub(crate) fn may_have_run(&self) -> impl Iterator<Item = EarlierRun> {
        let own = self.dispatches.iter().filter(|d| d.outcome.is_none_or(|o| !o.never_ran()));
        let own = own.map(|d| EarlierRun { zone: d.zone, cell: d.cell, sent: d.sent });
        self.earlier_run.into_iter().chain(own)
    }
}

/// The last load report of an engine.
#[derive(Clone, Copy)]
pub(crate) struct Report {
    /// When the report arrived.
    pub(crate) at: Moment,
    /// Number of running queries, if the report states it.
    pub(crate) active: Option<f64>,
    /// Number of queued queries.
    pub(crate) waiting: f64,
    /// Utilization of its CPUs or its disks from 0 to 1, whichever is higher.
    pub(crate) utilization: f64,
}

/// A dispatch in flight, as recorded with its engine.
pub(crate) struct InFlight {
    pub(crate) at: Moment,
    pub(crate) type_id: TypeId,
    pub(crate) group: GroupId,
    /// Estimated work in seconds of one thread.
    pub(crate) work: f64,
    pub(crate) threads: f64,
}

/// An engine of the list. Its record is dropped when the engine is gone and nothing is in flight there.
#[derive(Default)]
pub(crate) struct Engine {
    /// A hash of the engine's name, the same at every router.
    pub(crate) stable_hash: u64,
    pub(crate) zone: ZoneId,
    pub(crate) kind: KindId,
    pub(crate) cell: CellId,
    pub(crate) status: EngineStatus,
    /// The stamp of its last start, if known.
    pub(crate) start: Option<u64>,
    /// Start of its cold period; its slow-start windows are counted from here.
    pub(crate) cold_since: Option<Moment>,
    pub(crate) report: Option<Report>,
    /// Time of the last dispatch for each table group. Entries are removed after the warm period.
    pub(crate) group_sent_at: BTreeMap<GroupId, Moment>,
    /// The time until which a load of another router presumably locks a table group. Expired entries are
    /// removed.
    pub(crate) locked_until: BTreeMap<GroupId, Moment>,
    /// This router's dispatches in flight. An entry is removed by its outcome.
    pub(crate) in_flight: BTreeMap<(JobId, usize), InFlight>,
    /// Time of each recent dispatch and the learned mean work of its type. Entries older than the slow
    /// start's window (`ColdStart::overload_window`) are removed.
    pub(crate) recent_work: Vec<(Moment, f64)>,
    /// When the engine last sent an answer or a notification.
    pub(crate) last_contact: Moment,
    /// Recent error rate of its answers and the time of the last answer, by type, and for all types under
    /// `None`.
    pub(crate) error_rates: BTreeMap<Option<TypeId>, (RunningMean, Moment)>,
    /// Level of suspicion (0 to 1) that other routers reported and the time of the report, by type, and for
    /// all types under `None`. Entries older than the maximum silence are removed.
    pub(crate) peer_suspicions: BTreeMap<Option<TypeId>, (f64, Moment)>,
    /// How much longer the transfer of a result of mean size takes from this engine than from others.
    pub(crate) extra_transfer_time: Span,
    /// Whether a probe is in flight.
    pub(crate) probe_in_flight: bool,
    /// When the last probe was sent.
    pub(crate) probed_at: Option<Moment>,
    /// Set while the engine is set aside: the number of consecutive probes that it still has to answer.
    pub(crate) probes_to_return: Option<u32>,
}

impl Engine {
    /// Threads of this router's dispatches in flight at the engine.
    pub(crate) fn threads_in_flight(&self) -> f64 {
        self.in_flight.values().map(|sent| sent.threads).sum()
    }

    /// Removes expired entries, which no longer have any effect.
    pub(crate) fn remove_expired(&mut self, now: Moment, window: Span, derived: DerivedSettings) {
        self.recent_work.retain(|(at, _)| now.since(*at) <= window);
        self.group_sent_at.retain(|_, at| now.since(*at) <= derived.warm_period);
        self.locked_until.retain(|_, until| now < *until);
        self.peer_suspicions.retain(|_, (_, at)| now.since(*at) <= derived.max_silence);
    }

    /// Whether the record holds entries that [`remove_expired`](Self::remove_expired) removes in time.
    pub(crate) fn has_expiring_entries(&self) -> bool {
        !self.recent_work.is_empty()
            || !self.group_sent_at.is_empty()
            || !self.locked_until.is_empty()
            || !self.peer_suspicions.is_empty()
    }

    /// Whether the engine has had dispatches in flight and sent nothing for longer than `span`.
    pub(crate) fn silent(&self, now: Moment, span: Span) -> bool {
        self.silent_since().is_some_and(|since| now.since(since) > span)
    }

    /// The time since which the engine has had dispatches in flight and sent nothing; `None` if nothing is in
    /// flight.
    pub(crate) fn silent_since(&self) -> Option<Moment> {
        let first = self.in_flight.values().map(|sent| sent.at).min();
        first.map(|first| first.max(self.last_contact))
    }
}

/// The jobs of one order key, in the order of their arrival.
#[derive(Default)]
pub(crate) struct KeyQueue {
    pub(crate) jobs: VecDeque<JobId>,
    /// Before this time, no job of the key may be dispatched for the first time. The pause follows a
    /// time-out, reset or cancellation, after which the engine may still be running a job of the key.
    pub(crate) paused_until: Moment,
    /// Number of dispatches that ended without an answer and may still run. The host calls
    /// `Router::key_settled` when one of them no longer runs.
    pub(crate) in_doubt: usize,
}

/// A running mean in which old samples lose weight.
#[derive(Clone, Copy)]
pub(crate) struct RunningMean {
    pub(crate) value: f64,
    samples: f64,
}

impl RunningMean {
    pub(crate) fn new(value: f64, samples: f64) -> Self {
        Self { value, samples }
    }

    pub(crate) fn samples(&self) -> f64 {
        self.samples
    }

    /// Adds a sample, whose weight is at least 1 / `max_samples`.
    pub(crate) fn add(&mut self, sample: f64, max_samples: f64) {
        self.samples = (self.samples + 1.0).min(max_samples);
        self.value += (sample - self.value) / self.samples;
    }
}

/// Run time of a job if each of its threads has a core.
pub(crate) fn run_time(t: &ReservationType, work: f64) -> Span {
    Span::from_secs(work / t.threads)
}

/// SLA time of a job of this type and work.
pub(crate) fn sla_time(t: &ReservationType, work: f64) -> Span {
    t.sla + run_time(t, work).mul_f64(t.sla_stretch)
}

/// Work that is assumed for a job of this type until its work is learned, computed from the settings, in
/// seconds of one thread.
pub(crate) fn initial_work(t: &ReservationType) -> f64 {
    t.sla.secs() * t.threads * INITIAL_WORK_SLA_FRACTION
}
