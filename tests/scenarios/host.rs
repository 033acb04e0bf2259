//! A minimal test host: a clock, a router and a record of its decisions.

use woadhook::*;

pub const MS: u64 = 1_000;
pub const LOOKUP: TypeId = TypeId(0);
pub const LOAD: TypeId = TypeId(1);
pub const E0: EngineId = EngineId(0);
pub const E1: EngineId = EngineId(1);

pub fn ms(millis: u64) -> Span {
    Span::from_micros(millis * MS)
}

/// The settings that a test may change before its router starts.
pub struct Start {
    pub types: Vec<ReservationType>,
    pub fleet: Fleet,
    pub cold: ColdStart,
    pub retry_limits: RetryLimits,
    pub monitoring: Monitoring,
    pub answer_policy: AnswerPolicy,
}

pub struct Host {
    pub now: Moment,
    pub router: Router,
    jobs: usize,
    /// Job, engine and priority of each dispatch so far.
    pub sent: Vec<(JobId, EngineId, u8)>,
    pub grants: Vec<f64>,
    /// The time before which each dispatch must begin, if the decision states one (`before`).
    pub repeat_deadlines: Vec<Option<Moment>>,
    pub throttled: Vec<JobId>,
    pub cancelled_for_good: Vec<JobId>,
    pub cancelled_dispatches: Vec<(JobId, usize)>,
    pub probed: Vec<EngineId>,
    /// Number of requests for the engine list.
    pub list_requests: usize,
    pub forgotten: Vec<Forgotten>,
}

fn reservation_type(threads: f64, sla: u64, effect: Effect, is_load: bool) -> ReservationType {
    ReservationType {
        sla: ms(sla),
        sla_stretch: 2.0,
        timeout: ms(sla * 5),
        billed_value: if is_load { 10.0 } else { 1.0 },
        late_value_share: 0.2,
        effect,
        ordered: false,
        zones: None,
        kinds: None,
        threads,
        is_load,
        waits_for_loads: !is_load,
    }
}

impl Host {
    /// Two engines with 8 cores each in two zones, restartable look-ups and run-once loads.
    pub fn new(change: impl Fn(&mut Start)) -> Self {
        let mut start = Start {
            types: vec![
                reservation_type(1.0, 1_000, Effect::Restartable, false),
                reservation_type(2.0, 4_000, Effect::RunOnce, true),
            ],
            fleet: Fleet {
                zone: ZoneId(0),
                router_count: 1,
                router_index: 0,
                cores_by_kind: vec![8.0, 8.0],
                memory_mb_by_kind: vec![16_384.0; 2],
                cross_zone_cost: 0.04,
            },
            cold: ColdStart {
                overload_factor: 2.0,
                overload_window: ms(2_000),
                start_capacity: 0.25,
                cold_period: ms(15_000),
            },
            retry_limits: RetryLimits {
                max_dispatches: 4,
                concurrent_dispatches: false,
                can_cancel: true,
                key_pause: Span::ZERO,
                retry_budget: None,
            },
            monitoring: Monitoring {
                may_probe: true,
                reports_with_probes_only: false,
                connect_timeout: ms(250),
                progress_period: ms(1_000),
                max_list_age: None,
            },
            answer_policy: AnswerPolicy {
                answer_tolerance: ms(20),
                max_retry_after: Some(ms(2_000)),
                value_by_work: false,
                over_share_factor: 0.1,
                tenant_rates: vec![1.0, 100.0],
            },
        };
        change(&mut start);
        let now = Moment::from_micros(1_000_000_000);
        let Start { types, fleet, cold, retry_limits, monitoring, answer_policy } = start;
        let memory_grants = MemoryGrants { enabled: true, max_grant_share: 0.5 };
        let router =
            Router::new(now, 7, types, fleet, cold, retry_limits, monitoring, answer_policy, memory_grants);
        let mut host = Host {
            now,
            router,
            jobs: 0,
            sent: vec![],
            grants: vec![],
            repeat_deadlines: vec![],
            throttled: vec![],
            cancelled_for_good: vec![],
            cancelled_dispatches: vec![],
            probed: vec![],
            list_requests: 0,
            forgotten: vec![],
        };
        host.list_engine(0, EngineStatus::Live, None);
        host.list_engine(1, EngineStatus::Live, None);
        host
    }

    /// Lists an engine. Its zone and kind are its index modulo 2, and its cell is its index.
    pub fn list_engine(&mut self, engine: usize, status: EngineStatus, came_up: Option<Moment>) {
        let (zone, kind, cell) = (ZoneId(engine % 2), KindId(engine % 2), CellId(engine));
        let stable_hash = engine as u64;
        let stamp = |at: Moment| at.since(Moment::default()).micros();
        let start = came_up.map(|at| EngineStart { stamp: stamp(at), age: self.now.since(at) });
        self.router.engine_listed(self.now, EngineId(engine), zone, kind, cell, status, start, stable_hash);
    }

    /// Adds a job with 100 ms of work on a table group.
    pub fn job(&mut self, type_id: TypeId, group: usize) -> JobId {
        self.job_of(type_id, group, None, None, 100)
    }

    pub fn job_of(
        &mut self, type_id: TypeId, group: usize, tenant: Option<usize>, key: Option<usize>, work: u64,
    ) -> JobId {
        let job = JobId(self.jobs);
        self.jobs += 1;
        let (tenant, key) = (tenant.map(TenantId), key.map(KeyId));
        let estimate = Some(ms(work));
        self.router.job_arrived(
            self.now,
            job,
            type_id,
            tenant,
            GroupId(group),
            key,
            estimate,
            100.0,
            ms(20_000),
        );
        job
    }

    /// Pulls all decisions and records them.
    pub fn pull(&mut self) {
        while let Some(decision) = self.router.next_decision(self.now) {
            match decision {
                Decision::Dispatch { job, engine, priority, memory, before, .. } => {
                    self.repeat_deadlines.push(before);
                    self.sent.push((job, engine, priority));
                    self.grants.push(memory);
                }
                Decision::Throttle { job, .. } => self.throttled.push(job),
                Decision::CancelForGood { job, .. } => self.cancelled_for_good.push(job),
                Decision::CancelDispatch { job, number } => self.cancelled_dispatches.push((job, number)),
                Decision::Probe { engine } => self.probed.push(engine),
                Decision::Subscribe => self.list_requests += 1,
                Decision::Forget(index) => self.forgotten.push(index),
                Decision::Wake { .. } | Decision::SetAside { .. } | Decision::Back { .. } => {}
            }
        }
    }

    /// Advances the clock in steps of 20 ms and pulls all decisions after each.
    pub fn advance(&mut self, millis: u64) {
        for _ in 0..millis / 20 {
            self.now = self.now + ms(20);
            self.pull();
        }
    }

    /// Ends a dispatch that took `took` milliseconds and pulls all decisions.
    pub fn end(&mut self, job: JobId, number: usize, outcome: Outcome, took: u64) {
        let closes_job = outcome == Outcome::Done;
        self.router.dispatch_ended(self.now, job, number, outcome, ms(took), None, closes_job);
        self.pull();
    }

    /// The engines to which a job was dispatched, in order.
    pub fn engines_of(&self, job: JobId) -> Vec<EngineId> {
        self.sent.iter().filter(|(sent, ..)| *sent == job).map(|(_, engine, _)| *engine).collect()
    }

    pub fn report(&mut self, engine: EngineId, active: f64) {
        self.router.load_reported(self.now, engine, Some(active), None, None, None);
    }
}
