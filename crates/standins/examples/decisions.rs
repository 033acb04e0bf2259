//! Runs the router's decision module on a simulated pool of engines and measures the time that it takes:
//! `cargo run --release -p woadhook-standins --example decisions -- ENGINES JOBS SEED calm|rough`. Equal
//! arguments give equal decisions, so two builds of the module that should decide alike print the same count
//! and checksum. `rough` has jobs of all reservation types, bursts beyond the limit, and engines that hang,
//! fail, answer slowly, restart, and leave the list.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::fmt::Write;
use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use woadhook::*;

const START: Moment = Moment::from_micros(1_000_000_000);
/// The first job arrives after this time, as a router that has just started waits for a cold-start window.
const FIRST_JOB: Span = Span::from_micros(3_000_000);
const JOBS_PER_SECOND: f64 = 3_000.0;
const TABLE_GROUPS: usize = 64;
const ORDER_KEYS: usize = 100;
/// In `rough` runs, the interval between changes of an engine and between peers' reports.
const CHANGE_INTERVAL: Span = Span::from_micros(50_000);
const CONNECT_TIME: Span = Span::from_micros(1_000);
const PROBE_TIME: Span = Span::from_micros(2_000);

fn millis(count: u64) -> Span {
    Span::from_micros(count * 1_000)
}

fn reservation_type(sla: u64, threads: f64, effect: Effect) -> ReservationType {
    ReservationType {
        sla: millis(sla),
        sla_stretch: 2.0,
        timeout: millis(sla * 4),
        billed_value: 1.0,
        late_value_share: 0.2,
        effect,
        ordered: false,
        zones: None,
        kinds: None,
        threads,
        is_load: false,
        waits_for_loads: false,
    }
}

/// The reservation types by index: look-ups, reports that wait for loads, jobs with order keys and a keyed
/// effect, and loads.
fn reservation_types() -> Vec<ReservationType> {
    let keyed = Effect::Keyed { scope: Scope::Zone, window: millis(400) };
    vec![
        reservation_type(200, 1.0, Effect::Restartable),
        ReservationType { waits_for_loads: true, ..reservation_type(800, 2.0, Effect::Restartable) },
        ReservationType { ordered: true, ..reservation_type(400, 1.0, keyed) },
        ReservationType { is_load: true, billed_value: 4.0, ..reservation_type(2_000, 2.0, Effect::RunOnce) },
    ]
}

fn router(seed: u64, rough: bool) -> Router {
    let fleet = Fleet {
        zone: ZoneId(0),
        router_count: 2,
        router_index: 0,
        cores_by_kind: vec![8.0, 16.0],
        memory_mb_by_kind: vec![16_384.0, 32_768.0],
        cross_zone_cost: 0.04,
    };
    let cold = ColdStart {
        overload_factor: 2.0,
        overload_window: millis(2_000),
        start_capacity: 0.25,
        cold_period: millis(4_000),
    };
    let retry_budget =
        rough.then_some(RetryBudget { free_retries: 10.0, retry_ratio: 0.1, window: millis(5_000) });
    let retry_limits = RetryLimits {
        max_dispatches: 4,
        concurrent_dispatches: rough,
        can_cancel: true,
        key_pause: millis(5),
        retry_budget,
    };
    let monitoring = Monitoring {
        may_probe: true,
        reports_with_probes_only: rough,
        connect_timeout: millis(250),
        progress_period: millis(200),
        max_list_age: None,
    };
    let answer_policy = AnswerPolicy {
        answer_tolerance: millis(20),
        max_retry_after: Some(millis(2_000)),
        value_by_work: false,
        over_share_factor: 0.1,
        tenant_rates: vec![500.0, 1_000.0],
    };
    let memory_grants = MemoryGrants { enabled: true, max_grant_share: 0.5 };
    Router::new(
        START,
        seed,
        reservation_types(),
        fleet,
        cold,
        retry_limits,
        monitoring,
        answer_policy,
        memory_grants,
    )
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum SimulationEvent {
    Arrival,
    Ended { job: usize, number: usize, outcome: usize },
    Probed { engine: usize, healthy: bool },
    Change,
    Wake,
}

const OUTCOMES: [Outcome; 6] = [
    Outcome::Done,
    Outcome::Error,
    Outcome::TurnedAway,
    Outcome::TimedOut,
    Outcome::Reset,
    Outcome::Cancelled,
];
const CANCELLED: usize = 5;

/// The behaviour of an engine. `slowdown` multiplies the run time of its dispatches, and the share
/// `failure_share` of them fails.
#[derive(Clone, Copy)]
struct EngineModel {
    slowdown: f64,
    failure_share: f64,
    hangs: bool,
}

struct Pool {
    rough: bool,
    rng: Pcg32,
    now: Moment,
    event_queue: BinaryHeap<Reverse<(Moment, u64, SimulationEvent)>>,
    event_sequence: u64,
    jobs_left: usize,
    next_job: usize,
    engines: Vec<EngineModel>,
    /// The start of each dispatch that has not ended, by job and number of the dispatch.
    open_dispatches: BTreeMap<(usize, usize), Moment>,
    /// The number of dispatches of each job.
    dispatches: BTreeMap<usize, usize>,
    router: Router,
    decisions: u64,
    checksum: u64,
    module_time: Duration,
    text: String,
}

impl Pool {
    fn new(engines: usize, jobs: usize, seed: u64, rough: bool) -> Self {
        let healthy = EngineModel { slowdown: 1.0, failure_share: 0.0, hangs: false };
        let mut pool = Self {
            rough,
            rng: Pcg32::seed_from_u64(seed),
            now: START,
            event_queue: BinaryHeap::new(),
            event_sequence: 0,
            jobs_left: jobs,
            next_job: 0,
            engines: vec![healthy; engines],
            open_dispatches: BTreeMap::new(),
            dispatches: BTreeMap::new(),
            router: router(seed, rough),
            decisions: 0,
            checksum: 0xcbf2_9ce4_8422_2325,
            module_time: Duration::ZERO,
            text: String::new(),
        };
        (0..engines).for_each(|engine| pool.list_engine(engine, EngineStatus::Live, None));
        pool.schedule(FIRST_JOB, SimulationEvent::Arrival);
        if rough {
            pool.schedule(FIRST_JOB, SimulationEvent::Change);
        }
        pool
    }

    fn schedule(&mut self, span: Span, event: SimulationEvent) {
        self.event_sequence += 1;
        self.event_queue.push(Reverse((self.now + span, self.event_sequence, event)));
    }

    fn list_engine(&mut self, engine: usize, status: EngineStatus, started_at: Option<Moment>) {
        let (zone, kind, cell) = (ZoneId(engine % 3), KindId(engine % 2), CellId(engine % 5));
        let stable_hash = (engine as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let stamp = |at: Moment| at.since(Moment::default()).micros();
        let start = started_at.map(|at| EngineStart { stamp: stamp(at), age: self.now.since(at) });
        self.router.engine_listed(self.now, EngineId(engine), zone, kind, cell, status, start, stable_hash);
    }

    fn run(&mut self) {
        while let Some(Reverse((at, _, event))) = self.event_queue.pop() {
            let is_background = matches!(event, SimulationEvent::Wake | SimulationEvent::Change);
            if is_background && self.jobs_left == 0 && self.open_dispatches.is_empty() {
                continue;
            }
            self.now = at;
            self.handle(event);
            self.execute_decisions();
        }
    }

    fn handle(&mut self, event: SimulationEvent) {
        match event {
            SimulationEvent::Arrival => self.job_arrives(),
            SimulationEvent::Ended { job, number, outcome } => self.dispatch_ends(job, number, outcome),
            SimulationEvent::Probed { engine, healthy } => {
                let outcome = if healthy { Outcome::Done } else { Outcome::TimedOut };
                self.router.probe_ended(self.now, EngineId(engine), outcome);
            }
            SimulationEvent::Change => self.change_engine(),
            SimulationEvent::Wake => {}
        }
    }

    fn job_arrives(&mut self) {
        self.jobs_left -= 1;
        let job = self.next_job;
        self.next_job += 1;
        let kind = if self.rough { [0, 0, 0, 1, 1, 2, 2, 3][self.rng.random_range(0..8)] } else { 0 };
        let group = GroupId(self.rng.random_range(0..TABLE_GROUPS));
        let key = (kind == 2).then(|| KeyId(self.rng.random_range(0..ORDER_KEYS)));
        let tenant = self.rough.then_some(TenantId(job % 2));
        let work = Span::from_micros(self.rng.random_range(1_000..30_000) * if kind == 3 { 10 } else { 1 });
        let (memory, expires) = (self.rng.random_range(8.0..200.0), millis(3_000));
        self.router.job_arrived(
            self.now,
            JobId(job),
            TypeId(kind),
            tenant,
            group,
            key,
            Some(work),
            memory,
            expires,
        );
        if self.jobs_left > 0 {
            let burst = self.rough && job / 500 % 4 == 3;
            let rate = JOBS_PER_SECOND * if burst { 8.0 } else { 1.0 };
            let gap = Span::from_secs(-self.rng.random::<f64>().max(1e-9).ln() / rate);
            self.schedule(gap, SimulationEvent::Arrival);
        }
        if self.rough && job.is_multiple_of(97) {
            self.router.job_closed(JobId(job));
        }
    }

    fn dispatch_ends(&mut self, job: usize, number: usize, outcome: usize) {
        let Some(dispatched_at) = self.open_dispatches.remove(&(job, number)) else { return };
        let (outcome, took) = (OUTCOMES[outcome], self.now.since(dispatched_at));
        let true_cost =
            (outcome == Outcome::Done).then(|| (took.mul_f64(0.9), self.rng.random_range(8.0..200.0)));
        let closes_job = outcome == Outcome::Done;
        self.router.dispatch_ended(self.now, JobId(job), number, outcome, took, true_cost, closes_job);
    }

    /// Changes one engine at random, and delivers a peer's report and a transfer delay, each of an engine
    /// drawn at random.
    fn change_engine(&mut self) {
        let engine = self.rng.random_range(0..self.engines.len());
        let started_at = Some(self.now);
        let model = &mut self.engines[engine];
        match self.rng.random_range(0..8) {
            0 => model.hangs = true,
            1 => model.slowdown = 8.0,
            2 => model.failure_share = 0.3,
            3 => self.list_engine(engine, EngineStatus::Draining, None),
            4 => self.list_engine(engine, EngineStatus::Gone, None),
            _ => {
                *model = EngineModel { slowdown: 1.0, failure_share: 0.0, hangs: false };
                self.list_engine(engine, EngineStatus::Live, started_at);
            }
        }
        let reported_engine = EngineId(self.rng.random_range(0..self.engines.len()));
        let reservation_type = self.rng.random_bool(0.5).then_some(TypeId(1));
        let suspicion = self.rng.random();
        self.router.peer_reported(self.now, reported_engine, reservation_type, suspicion);
        let delayed_engine = EngineId(self.rng.random_range(0..self.engines.len()));
        self.router
            .transfer_delay_measured(delayed_engine, Span::from_micros(self.rng.random_range(0..5_000)));
        self.schedule(CHANGE_INTERVAL, SimulationEvent::Change);
    }

    fn execute_decisions(&mut self) {
        loop {
            let started = Instant::now();
            let decision = self.router.next_decision(self.now);
            self.module_time += started.elapsed();
            let Some(decision) = decision else { return };
            self.add_to_checksum(&decision);
            self.execute(decision);
        }
    }

    /// Adds a decision to the checksum (FNV-1a over its debug output).
    fn add_to_checksum(&mut self, decision: &Decision) {
        self.decisions += 1;
        self.text.clear();
        let _ = write!(self.text, "{:?} {decision:?}", self.now);
        for byte in self.text.bytes() {
            self.checksum = (self.checksum ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
        }
    }

    fn execute(&mut self, decision: Decision) {
        match decision {
            Decision::Dispatch { job, engine, timeout, .. } => self.dispatch(job.0, engine.0, timeout),
            Decision::CancelDispatch { job, number } => {
                self.schedule(
                    CONNECT_TIME,
                    SimulationEvent::Ended { job: job.0, number, outcome: CANCELLED },
                );
            }
            Decision::Probe { engine } => {
                let healthy = !self.engines[engine.0].hangs;
                self.report(engine.0);
                self.schedule(PROBE_TIME, SimulationEvent::Probed { engine: engine.0, healthy });
            }
            Decision::Wake { after } => self.schedule(after, SimulationEvent::Wake),
            _ => {}
        }
    }

    fn dispatch(&mut self, job: usize, engine: usize, timeout: Span) {
        let dispatches = self.dispatches.entry(job).or_default();
        let number = *dispatches;
        *dispatches += 1;
        self.open_dispatches.insert((job, number), self.now);
        self.report(engine);
        let model = self.engines[engine];
        let run_time = Span::from_micros(self.rng.random_range(1_000..30_000)).mul_f64(model.slowdown);
        let fails = model.failure_share > 0.0 && self.rng.random_bool(model.failure_share);
        let failure = self.rng.random_range(1..OUTCOMES.len() - 1);
        let (span, outcome) = match () {
            _ if model.hangs => (timeout, 3),
            _ if fails => (CONNECT_TIME, failure),
            _ if run_time > timeout => (timeout, 3),
            _ => (run_time, 0),
        };
        self.schedule(span, SimulationEvent::Ended { job, number, outcome });
        if self.rough && !model.hangs && job.is_multiple_of(5) {
            let progress = [
                Progress::Fraction(0.5),
                Progress::Spills(30.0),
                Progress::WaitsForMemory,
                Progress::WaitsForLoad,
            ];
            let progress = progress[self.rng.random_range(0..progress.len())];
            self.router.progress_reported(self.now, JobId(job), number, progress);
        }
    }

    /// Delivers the load report that comes with an answer.
    fn report(&mut self, engine: usize) {
        let active = Some(self.rng.random_range(0.0..8.0));
        let (waiting, cpu) = (Some(self.rng.random_range(0.0..2.0)), Some(self.rng.random()));
        self.router.load_reported(self.now, EngineId(engine), active, waiting, cpu, None);
    }
}

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let count = |place: usize| arguments.get(place).and_then(|argument| argument.parse::<usize>().ok());
    let (engines, jobs, seed) = (count(0).unwrap_or(80), count(1).unwrap_or(8_000), count(2).unwrap_or(1));
    let rough = arguments.get(3).is_some_and(|argument| argument == "rough");
    let mut pool = Pool::new(engines, jobs, seed as u64, rough);
    pool.run();
    let (decisions, checksum) = (pool.decisions, pool.checksum);
    println!("{engines} engines, {jobs} jobs, seed {seed}: {decisions} decisions, checksum {checksum:016x}");
    println!("{:.1} us a job in the module", pool.module_time.as_secs_f64() * 1e6 / jobs as f64);
}
