//! The types that a host and the decision module exchange. The host maps its own ids to the small indices
//! below and keeps each mapping until the module returns [`Decision::Forget`] for it; after that, the index
//! may be reused.

use crate::time::{Moment, Span};

macro_rules! index {
    ($($(#[$doc:meta])* $name:ident),* $(,)?) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub usize);
    )*};
}

index! {
    /// A job that the host has accepted.
    JobId,
    /// An sql engine.
    EngineId,
    /// An order key: jobs with the same key run one at a time, in the order of their arrival.
    KeyId,
    /// A reservation type, by its index in the settings.
    TypeId,
    /// A tenant, by its index in the settings.
    TenantId,
    /// A zone, by its index in the settings.
    ZoneId,
    /// A kind of machine, by its index in the settings.
    KindId,
    /// A cell: a set of engines that share their record of the keys they have seen.
    CellId,
    /// A table group.
    GroupId,
}

/// Whether a job may take effect more than once, and where a repeat is safe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// May run any number of times.
    Restartable,
    /// Engines in `scope` recognize the job's idempotency key and discard a repeat until `window` has passed
    /// since the first dispatch that may have run.
    Keyed { scope: Scope, window: Span },
    /// Must not run more than once.
    RunOnce,
}

/// The engines among which a repeat of a keyed job is recognized.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// All engines.
    All,
    /// The engines of one zone.
    Zone,
    /// The engines of one cell.
    Cell,
}

/// A reservation type, as defined in the settings.
#[derive(Clone, Debug)]
pub struct ReservationType {
    /// SLA time, without the part that grows with the work.
    pub sla: Span,
    /// The SLA time grows by this factor times the job's work divided by its threads.
    pub sla_stretch: f64,
    /// Job timeout.
    pub timeout: Span,
    /// Billed value of a job that is answered within its SLA time.
    pub billed_value: f64,
    /// Fraction of the billed value that an answer after the SLA time still earns.
    pub late_value_share: f64,
    /// Whether a job may take effect more than once.
    pub effect: Effect,
    /// Whether jobs with the same order key run one at a time, in the order of their arrival.
    pub ordered: bool,
    /// The only zones that may run it; any zone if not set.
    pub zones: Option<Vec<ZoneId>>,
    /// The only kinds of machine that may run it; any kind if not set.
    pub kinds: Option<Vec<KindId>>,
    /// Threads that a job of this type uses on its engine.
    pub threads: f64,
    /// Whether its jobs are loads, which lock their table group on their engine while they run.
    pub is_load: bool,
    /// Whether its jobs make no progress while a load has locked their table group.
    pub waits_for_loads: bool,
}

/// The status of an engine in the engine list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EngineStatus {
    /// The engine may get jobs.
    #[default]
    Live,
    /// The engine must not get new jobs.
    Draining,
    /// The engine has been removed from the pool.
    Gone,
}

/// A start of an engine, as known to the host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineStart {
    /// Distinguishes the starts of one engine. It need not increase, because the engine's own clock may step.
    pub stamp: u64,
    /// Lower bound of the time since the start: an engine that is assumed to be younger than it is gets less
    /// work.
    pub age: Span,
}

/// A dispatch that may have run, of an earlier job with the same id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EarlierRun {
    /// The zone and the cell of its engine.
    pub zone: ZoneId,
    pub cell: CellId,
    pub sent: Moment,
}

/// How a dispatch or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The engine answered with a result.
    Done,
    /// The engine answered with an error.
    Error,
    /// The engine declined the dispatch or probe: its answer proves that it did not run the job.
    TurnedAway,
    /// No answer came within the timeout.
    TimedOut,
    /// No connection to the engine could be opened.
    NotConnected,
    /// The connection was reset.
    Reset,
    /// The host cancelled it.
    Cancelled,
    /// The host did not send it.
    NotIssued,
}

impl Outcome {
    /// Whether this outcome proves that the job never ran on the engine.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::TurnedAway | Outcome::NotConnected | Outcome::NotIssued)
    }

    /// Whether the engine may still be running the job.
    pub fn may_still_run(self) -> bool {
        matches!(self, Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled)
    }
}

/// A progress notification for a dispatch in flight.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Progress {
    /// Fraction of the work that is done.
    Fraction(f64),
    /// The query spills to disk because this many megabytes of memory are missing.
    Spills(f64),
    /// The query waits for memory on its engine.
    WaitsForMemory,
    /// The query waits for a load that has locked its table group.
    WaitsForLoad,
}

/// An index that the module no longer uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Forgotten {
    Job(JobId),
    Key(KeyId),
    Engine(EngineId),
}

/// An action that the host must carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Send the job to the engine. The dispatches of a job are numbered from 0. `memory` is in megabytes (0:
    /// the engine chooses); `priority` is 0 to 3. `before` is the deadline for sending a repeat: if it is
    /// set, the host must not send the dispatch at or after that time, because an earlier dispatch of the job
    /// may have run and engines discard a repeat only until then.
    Dispatch {
        job: JobId,
        engine: EngineId,
        timeout: Span,
        before: Option<Moment>,
        memory: f64,
        priority: u8,
    },
    /// Cancel one dispatch. The host still reports its outcome.
    CancelDispatch { job: JobId, number: usize },
    /// Final answer: the job never ran or may run again. `come_back` is the retry-after time that the answer
    /// to the client contains, if clients are sent one: the client may send the job again once this time has
    /// passed.
    Throttle { job: JobId, come_back: Option<Span>, why: GiveUpReason },
    /// Final answer: the job failed, and whether it took effect is unknown.
    CancelForGood { job: JobId, why: GiveUpReason },
    /// Probe the engine.
    Probe { engine: EngineId },
    /// Subscribe to changes of the engine list.
    Subscribe,
    /// Call [`next_decision`](crate::logic::Router::next_decision) again after the span.
    Wake { after: Span },
    /// Delete the mapping of this index.
    Forget(Forgotten),
    /// The engine was set aside. The host logs it and notifies other routers, if it exchanges messages with
    /// them.
    SetAside { engine: EngineId, why: SetAsideReason },
    /// The engine, which had been set aside, has answered enough probes and may get dispatches again. The
    /// host logs it and notifies other routers, as for `SetAside`.
    Back { engine: EngineId },
}

/// Why the module gives up a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum GiveUpReason {
    /// The time that its client allows has passed.
    TimeOver,
    /// The job has reached the maximum number of dispatches.
    TriesSpent,
    /// An earlier dispatch, of this job or of another one with its id, may have run, and the job must not run
    /// again.
    MayHaveRun,
    /// An answer would come after the SLA time, and a late answer of its type earns too little.
    TooLateToEarn,
    /// An answer would come after the time that its client allows.
    NoTimeLeft,
    /// The router itself is so late that a later answer would not reach the client in time.
    RouterLate,
    /// Its client may have withdrawn it in what the router has not processed yet.
    ClientUnheard,
}

/// Why an engine was set aside.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SetAsideReason {
    /// The engine sent nothing for too long while dispatches to it were in flight.
    Silent,
    /// A connection to the engine was reset or could not be opened.
    Failed,
    /// A probe was not answered.
    Unanswered,
}

impl SetAsideReason {
    /// Description for a log line.
    pub fn description(self) -> &'static str {
        match self {
            SetAsideReason::Silent => "silent",
            SetAsideReason::Failed => "reset or not connected",
            SetAsideReason::Unanswered => "probe not answered",
        }
    }
}

/// The machines of the engine pool, and the number of this router among all routers.
#[derive(Clone, Debug)]
pub struct Fleet {
    /// The zone of this router.
    pub zone: ZoneId,
    /// Number of routers.
    pub router_count: usize,
    /// Index of this router among them, from 0.
    pub router_index: usize,
    /// Cores of an engine, by kind of machine.
    pub cores_by_kind: Vec<f64>,
    /// Memory of an engine in megabytes, by kind of machine.
    pub memory_mb_by_kind: Vec<f64>,
    /// Fraction of the overall result that is lost if every dispatch crosses zones.
    pub cross_zone_cost: f64,
}

/// How much work brings a cold engine down, and how long an engine is cold.
#[derive(Clone, Copy, Debug)]
pub struct ColdStart {
    /// An engine goes down when it is sent more than this many times its present capacity during
    /// `overload_window`.
    pub overload_factor: f64,
    pub overload_window: Span,
    /// Fraction of its capacity that an engine has at its start.
    pub start_capacity: f64,
    /// Time after its start at which an engine has its whole capacity.
    pub cold_period: Span,
}

/// Limits on the dispatches of a job after the first.
#[derive(Clone, Debug)]
pub struct RetryLimits {
    /// Maximum number of dispatches of a job, including the first.
    pub max_dispatches: usize,
    /// Whether two dispatches of one job may be in flight at once.
    pub concurrent_dispatches: bool,
    /// Whether dispatches can be cancelled.
    pub can_cancel: bool,
    /// Pause of an order key: no job of the key is dispatched for the first time for this long after a
    /// dispatch that may still run, or after the host has reported that such a dispatch no longer runs.
    pub key_pause: Span,
    /// Limit on the dispatches after the first, over all jobs; none if not set.
    pub retry_budget: Option<RetryBudget>,
}

/// Retry budget: a fixed number of dispatches plus a fraction of the jobs accepted, in any window.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    /// Number of dispatches in a window that are always allowed.
    pub free_retries: f64,
    /// Additional dispatches per job accepted in the window.
    pub retry_ratio: f64,
    pub window: Span,
}

/// How engines are monitored and the engine list is followed.
#[derive(Clone, Debug)]
pub struct Monitoring {
    /// Whether engines may be probed.
    pub may_probe: bool,
    /// Whether load reports come only with the answers to probes.
    pub reports_with_probes_only: bool,
    /// Timeout of a connection attempt.
    pub connect_timeout: Span,
    /// Period of the progress notifications; zero if engines send none.
    pub progress_period: Span,
    /// If the list has to be requested: the maximum age of an answer.
    pub max_list_age: Option<Span>,
}

/// How final answers are timed and valued.
#[derive(Clone, Debug)]
pub struct AnswerPolicy {
    /// Tolerance on the time of final answers. It is also the period of the timer while there are jobs.
    pub answer_tolerance: Span,
    /// The longest retry-after time that clients respect; `None` if clients are sent no retry-after time.
    pub max_retry_after: Option<Span>,
    /// Whether the billed value is per unit of work instead of per job.
    pub value_by_work: bool,
    /// Fraction of the billed value that a job beyond its tenant's share earns.
    pub over_share_factor: f64,
    /// Jobs per second in each tenant's share, at all routers together.
    pub tenant_rates: Vec<f64>,
}

/// Memory grants. Priorities need no setting: they are always sent, because engines without support ignore
/// them.
#[derive(Clone, Copy, Debug)]
pub struct MemoryGrants {
    /// Whether engines accept memory grants.
    pub enabled: bool,
    /// Largest fraction of an engine's memory that one job gets.
    pub max_grant_share: f64,
}
