//! What the decision module decides, and what that costs, on a simulated pool: `cargo run --release -p
//! woadhook-standins --example decisions -- ENGINES JOBS SEED calm|rough`. Equal words give equal decisions, so that
//! two builds of the module that should decide alike print the same count and checksum. Rough days have jobs of all
//! kinds, bursts beyond the limit, and engines that hang, fail, answer slowly, restart, and leave the list.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::fmt::Write;
use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use woadhook::*;

const START: Moment = Moment::from_micros(1_000_000_000);
/// A router that only just started lets a cold-start window pass, so its jobs come later.
const FIRST_JOB: Span = Span::from_micros(3_000_000);
const JOBS_PER_SECOND: f64 = 3_000.0;
const TABLE_GROUPS: usize = 64;
const KEYS: usize = 100;
/// On rough days: between changes of an engine, and between words of other routers.
const CHANGE: Span = Span::from_micros(50_000);
const CONNECT: Span = Span::from_micros(1_000);
const PROBE: Span = Span::from_micros(2_000);

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

/// Look-ups, reports behind loads, keyed jobs in order, and loads.
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
    let further = RetryLimits {
        max_dispatches: 4,
        concurrent_dispatches: rough,
        can_cancel: true,
        key_rest: millis(5),
        retry_budget,
    };
    let watching = Monitoring {
        may_probe: true,
        reports_with_probes_only: rough,
        connect_timeout: millis(250),
        progress_period: millis(200),
        max_list_age: None,
    };
    let answers = AnswerPolicy {
        slack: millis(20),
        max_retry_after: Some(millis(2_000)),
        value_by_work: false,
        over_share_factor: 0.1,
        tenant_rates: vec![500.0, 1_000.0],
    };
    let terms = MemoryGrants { enabled: true, max_grant_share: 0.5 };
    Router::new(START, seed, reservation_types(), fleet, cold, further, watching, answers, terms)
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Happens {
    Arrival,
    Ended { job: usize, number: usize, outcome: usize },
    Probed { engine: usize, well: bool },
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

/// How an engine is: its runs take so many times their work, and so many in a hundred fail.
#[derive(Clone, Copy)]
struct Machine {
    slowness: f64,
    failing: f64,
    hangs: bool,
}

struct Pool {
    rough: bool,
    chance: Pcg32,
    now: Moment,
    coming: BinaryHeap<Reverse<(Moment, u64, Happens)>>,
    events: u64,
    jobs_left: usize,
    next_job: usize,
    engines: Vec<Machine>,
    /// When each dispatch that is out began, by job and number.
    out: BTreeMap<(usize, usize), Moment>,
    dispatches: BTreeMap<usize, usize>,
    router: Router,
    decisions: u64,
    checksum: u64,
    spent: Duration,
    words: String,
}

impl Pool {
    fn new(engines: usize, jobs: usize, seed: u64, rough: bool) -> Self {
        let well = Machine { slowness: 1.0, failing: 0.0, hangs: false };
        let mut pool = Self {
            rough,
            chance: Pcg32::seed_from_u64(seed),
            now: START,
            coming: BinaryHeap::new(),
            events: 0,
            jobs_left: jobs,
            next_job: 0,
            engines: vec![well; engines],
            out: BTreeMap::new(),
            dispatches: BTreeMap::new(),
            router: router(seed, rough),
            decisions: 0,
            checksum: 0xcbf2_9ce4_8422_2325,
            spent: Duration::ZERO,
            words: String::new(),
        };
        (0..engines).for_each(|engine| pool.list(engine, EngineStatus::Live, None));
        pool.after(FIRST_JOB, Happens::Arrival);
        if rough {
            pool.after(FIRST_JOB, Happens::Change);
        }
        pool
    }

    fn after(&mut self, span: Span, happens: Happens) {
        self.events += 1;
        self.coming.push(Reverse((self.now + span, self.events, happens)));
    }

    fn list(&mut self, engine: usize, listed: EngineStatus, came_up: Option<Moment>) {
        let (zone, kind, cell) = (ZoneId(engine % 3), KindId(engine % 2), CellId(engine % 5));
        let mark = (engine as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let stamp = |at: Moment| at.since(Moment::default()).micros();
        let start = came_up.map(|at| EngineStart { stamp: stamp(at), age: self.now.since(at) });
        self.router.engine_listed(self.now, EngineId(engine), zone, kind, cell, listed, start, mark);
    }

    fn run(&mut self) {
        while let Some(Reverse((at, _, happens))) = self.coming.pop() {
            let waits_only = matches!(happens, Happens::Wake | Happens::Change);
            if waits_only && self.jobs_left == 0 && self.out.is_empty() {
                continue;
            }
            self.now = at;
            self.happens(happens);
            self.pull();
        }
    }

    fn happens(&mut self, happens: Happens) {
        match happens {
            Happens::Arrival => self.arrival(),
            Happens::Ended { job, number, outcome } => self.ended(job, number, outcome),
            Happens::Probed { engine, well } => {
                let outcome = if well { Outcome::Done } else { Outcome::TimedOut };
                self.router.probe_ended(self.now, EngineId(engine), outcome);
            }
            Happens::Change => self.change(),
            Happens::Wake => {}
        }
    }

    fn arrival(&mut self) {
        self.jobs_left -= 1;
        let job = self.next_job;
        self.next_job += 1;
        let kind = if self.rough { [0, 0, 0, 1, 1, 2, 2, 3][self.chance.random_range(0..8)] } else { 0 };
        let group = GroupId(self.chance.random_range(0..TABLE_GROUPS));
        let key = (kind == 2).then(|| KeyId(self.chance.random_range(0..KEYS)));
        let tenant = self.rough.then_some(TenantId(job % 2));
        let work =
            Span::from_micros(self.chance.random_range(1_000..30_000) * if kind == 3 { 10 } else { 1 });
        let (memory, expires) = (self.chance.random_range(8.0..200.0), millis(3_000));
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
            let gap = Span::from_secs(-self.chance.random::<f64>().max(1e-9).ln() / rate);
            self.after(gap, Happens::Arrival);
        }
        if self.rough && job.is_multiple_of(97) {
            self.router.job_closed(JobId(job));
        }
    }

    fn ended(&mut self, job: usize, number: usize, outcome: usize) {
        let Some(began) = self.out.remove(&(job, number)) else { return };
        let (outcome, took) = (OUTCOMES[outcome], self.now.since(began));
        let told =
            (outcome == Outcome::Done).then(|| (took.mul_f64(0.9), self.chance.random_range(8.0..200.0)));
        let over = outcome == Outcome::Done;
        self.router.dispatch_ended(self.now, JobId(job), number, outcome, took, told, over);
    }

    /// Something happens to one engine, and other routers say something of another.
    fn change(&mut self) {
        let engine = self.chance.random_range(0..self.engines.len());
        let came_up = Some(self.now);
        let machine = &mut self.engines[engine];
        match self.chance.random_range(0..8) {
            0 => machine.hangs = true,
            1 => machine.slowness = 8.0,
            2 => machine.failing = 0.3,
            3 => self.list(engine, EngineStatus::Draining, None),
            4 => self.list(engine, EngineStatus::Gone, None),
            _ => {
                *machine = Machine { slowness: 1.0, failing: 0.0, hangs: false };
                self.list(engine, EngineStatus::Live, came_up);
            }
        }
        let doubted = EngineId(self.chance.random_range(0..self.engines.len()));
        let of = self.chance.random_bool(0.5).then_some(TypeId(1));
        let doubt = self.chance.random();
        self.router.peer_reported(self.now, doubted, of, doubt);
        let slow = EngineId(self.chance.random_range(0..self.engines.len()));
        self.router.transfer_delay_measured(slow, Span::from_micros(self.chance.random_range(0..5_000)));
        self.after(CHANGE, Happens::Change);
    }

    fn pull(&mut self) {
        loop {
            let started = Instant::now();
            let decision = self.router.next_decision(self.now);
            self.spent += started.elapsed();
            let Some(decision) = decision else { return };
            self.note(&decision);
            self.carry_out(decision);
        }
    }

    /// Takes a decision into the checksum (FNV-1a over its words).
    fn note(&mut self, decision: &Decision) {
        self.decisions += 1;
        self.words.clear();
        let _ = write!(self.words, "{:?} {decision:?}", self.now);
        for byte in self.words.bytes() {
            self.checksum = (self.checksum ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
        }
    }

    fn carry_out(&mut self, decision: Decision) {
        match decision {
            Decision::Dispatch { job, engine, timeout, .. } => self.dispatch(job.0, engine.0, timeout),
            Decision::CancelDispatch { job, number } => {
                self.after(CONNECT, Happens::Ended { job: job.0, number, outcome: CANCELLED });
            }
            Decision::Probe { engine } => {
                let well = !self.engines[engine.0].hangs;
                self.report(engine.0);
                self.after(PROBE, Happens::Probed { engine: engine.0, well });
            }
            Decision::Wake { after } => self.after(after, Happens::Wake),
            _ => {}
        }
    }

    fn dispatch(&mut self, job: usize, engine: usize, timeout: Span) {
        let dispatches = self.dispatches.entry(job).or_default();
        let number = *dispatches;
        *dispatches += 1;
        self.out.insert((job, number), self.now);
        self.report(engine);
        let machine = self.engines[engine];
        let runs = Span::from_micros(self.chance.random_range(1_000..30_000)).mul_f64(machine.slowness);
        let fails = machine.failing > 0.0 && self.chance.random_bool(machine.failing);
        let failure = self.chance.random_range(1..OUTCOMES.len() - 1);
        let (span, outcome) = match () {
            _ if machine.hangs => (timeout, 3),
            _ if fails => (CONNECT, failure),
            _ if runs > timeout => (timeout, 3),
            _ => (runs, 0),
        };
        self.after(span, Happens::Ended { job, number, outcome });
        if self.rough && !machine.hangs && job.is_multiple_of(5) {
            let progress = [
                Progress::Fraction(0.5),
                Progress::Spills(30.0),
                Progress::WaitsForMemory,
                Progress::WaitsForLoad,
            ];
            let progress = progress[self.chance.random_range(0..progress.len())];
            self.router.progress_reported(self.now, JobId(job), number, progress);
        }
    }

    /// The load report that comes with an answer.
    fn report(&mut self, engine: usize) {
        let active = Some(self.chance.random_range(0.0..8.0));
        let (waiting, cpu) = (Some(self.chance.random_range(0.0..2.0)), Some(self.chance.random()));
        self.router.load_reported(self.now, EngineId(engine), active, waiting, cpu, None);
    }
}

fn main() {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let count = |place: usize| words.get(place).and_then(|word| word.parse::<usize>().ok());
    let (engines, jobs, seed) = (count(0).unwrap_or(80), count(1).unwrap_or(8_000), count(2).unwrap_or(1));
    let rough = words.get(3).is_some_and(|word| word == "rough");
    let mut pool = Pool::new(engines, jobs, seed as u64, rough);
    pool.run();
    let (decisions, checksum) = (pool.decisions, pool.checksum);
    println!("{engines} engines, {jobs} jobs, seed {seed}: {decisions} decisions, checksum {checksum:016x}");
    println!("{:.1} us a job in the module", pool.spent.as_secs_f64() * 1e6 / jobs as f64);
}
