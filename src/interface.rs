//! What a host and the decision module say to each other. The host maps its own ids to the small indices
//! below and keeps a mapping until the module says [`Decision::Forget`]; a forgotten index may be given out
//! again.

use crate::time::Span;

macro_rules! index {
    ($($(#[$doc:meta])* $name:ident),* $(,)?) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub usize);
    )*};
}

index! {
    /// A job that the host holds.
    JobId,
    /// An sql engine.
    EngineId,
    /// The key of jobs whose reservation type keeps order.
    KeyId,
    /// A reservation type, by its place in the settings.
    TypeId,
    /// A tenant, by its place in the settings.
    TenantId,
    /// A zone, by its place in the settings.
    ZoneId,
    /// A kind of machine, by its place in the settings.
    KindId,
    /// A cell of engines that share which keys they have seen.
    CellId,
    /// A group of tables.
    GroupId,
}

/// How often a job may take effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// May run again at will.
    Restartable,
    /// Engines in `scope` drop a repeat for `window` after the first dispatch that may have run.
    Keyed { scope: Scope, window: Span },
    /// Must never run twice.
    RunOnce,
}

/// The engines that know each other's keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    All,
    Zone,
    Cell,
}

/// One reservation type, as the settings state it.
#[derive(Clone, Debug)]
pub struct ReservationType {
    pub sla: Span,
    /// The SLA time grows by this many times a job's work over its threads.
    pub sla_stretch: f64,
    pub timeout: Span,
    pub billed: f64,
    /// Share of the billed value that an answer after the SLA time still earns.
    pub late_share: f64,
    pub effect: Effect,
    pub ordered: bool,
    /// Where given, the only zones that may run it.
    pub zones: Option<Vec<ZoneId>>,
    /// Where given, the only kinds of machine that may run it.
    pub kinds: Option<Vec<KindId>>,
    pub threads: f64,
    /// Holds its table group on its engine while it runs.
    pub is_load: bool,
    /// Stands still while a load holds its table group.
    pub waits_for_loads: bool,
}

/// What the engine list says of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listed {
    Live,
    Draining,
    Gone,
}

/// How a dispatch or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Done,
    Error,
    TurnedAway,
    TimedOut,
    NotConnected,
    Reset,
    Cancelled,
    NotIssued,
}

impl Outcome {
    /// Whether it proves that the job never ran there.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::TurnedAway | Outcome::NotConnected | Outcome::NotIssued)
    }

    /// Whether the engine may still be at work on it.
    pub fn may_still_run(self) -> bool {
        matches!(self, Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled)
    }
}

/// Word on a dispatch that is out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Progress {
    /// The share of the work that is done.
    Share(f64),
    /// It spills to disk for want of so many megabytes.
    Spills(f64),
    WaitsForMemory,
    WaitsForLoad,
}

/// An index that the module has done with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Forgotten {
    Job(JobId),
    Key(KeyId),
    Engine(EngineId),
}

/// What the host is to do next.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Send the job to the engine; the first dispatch of a job has number 0, the next 1, and so on. Memory is
    /// in megabytes (0: the engine chooses); priorities go from 0 to 3.
    Dispatch {
        job: JobId,
        engine: EngineId,
        timeout: Span,
        memory: f64,
        priority: u8,
    },
    /// Stop waiting for one dispatch. Its outcome still comes.
    CancelDispatch {
        job: JobId,
        number: usize,
    },
    /// Final answer: never ran or may run again; come back after the span, where one is given.
    Throttle {
        job: JobId,
        come_back: Option<Span>,
    },
    /// Final answer: it failed, and nothing is promised about its effect.
    CancelForGood {
        job: JobId,
    },
    Probe {
        engine: EngineId,
    },
    /// Subscribe to changes of the engine list.
    Subscribe,
    /// Call [`next_decision`](crate::logic::Router::next_decision) again after the span.
    Wake {
        after: Span,
    },
    /// Drop the mapping of this index.
    Forget(Forgotten),
    Log(String),
}
