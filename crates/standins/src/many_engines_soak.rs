//! A soak of several router processes with very many listed engines and a small share of a core each. Faults
//! drawn from a seed overlap in time; clients and engines record what they see, and the rules are checked
//! from these records.

use std::collections::BTreeMap;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use rustix::process::Signal;
use serde_json::{Value, json};

use crate::cpu_share::CpuShare;
use crate::discovery::{DiscoveryEvents, roster_member};
use crate::engines::StandinServer;
use crate::lightweight::callers::{AnswerKind, Callers, RequestRecords, Traffic};
use crate::lightweight::engines::{Attempt, LightweightEngines};
use crate::many_engines::{self, ATTEMPT_AFTER_WITHDRAWAL, LOST_AFTER};
use crate::processes::RouterProcess;
use crate::troubles::EngineMode;

/// The share of a core that a router gets while no fault changes it, and the smaller ones of a fault.
const USUAL_SHARE: f64 = 0.12;
const SMALL_SHARES: [f64; 3] = [0.02, 0.03, 0.05];
/// How long clients wait, which is the deadline of all jobs.
const CLIENT_WAIT: Duration = Duration::from_millis(1_500);
const REQUESTS_PER_S: f64 = 100.0;
const CONNECTIONS: usize = 10;
const WITHDRAWN_SHARE: f64 = 0.15;
/// How many times the listed engines have addresses, for those that join.
const ADDRESSES_PER_ENGINE: usize = 6;
/// The drain grace in the settings of the routers, and the 50 ms by which limits are longer on sockets.
const DRAIN_GRACE: Duration = Duration::from_millis(1_050);
/// The earliest kill after SIGTERM: the longest deadline and 0.7 s.
const EARLIEST_KILL: Duration = CLIENT_WAIT.saturating_add(Duration::from_millis(700));
/// Requests that are sent on an open connection later than this after SIGTERM may cross its close.
const LAST_REQUEST_AFTER_TERM: Duration = Duration::from_millis(550);
/// Intervals between the starts of faults, and their lengths, in milliseconds.
const FAULT_INTERVAL_MS: std::ops::Range<u64> = 150..700;
const FAULT_SPAN_MS: std::ops::Range<u64> = 1_500..5_000;
const STAND_SPAN_MS: std::ops::Range<u64> = 50..400;

/// A fault.
#[derive(Clone, Debug)]
pub enum Fault {
    /// Gives a router a smaller share of a core for a span in milliseconds.
    Share { router: usize, share: f64, span: u64 },
    /// Changes the behaviour of `count` engines for a span in milliseconds.
    Engines { first: usize, count: usize, mode: EngineMode, span: u64 },
    /// Announces that `count` engines drain, that cold ones serve, and that the former are gone.
    Replace { first: usize, count: usize },
    /// Announces changes of single engines, each in an event of its own.
    ManyEvents { first: usize, count: usize },
    /// Suspends a router for a span in milliseconds.
    Stand { router: usize, span: u64 },
    /// Terminates a router, kills it at the earliest time allowed and starts it again.
    Terminate { router: usize },
}

/// A fault and its start, in milliseconds from the beginning.
pub type TimedFault = (u64, Fault);

/// Draws the faults of a seed.
pub fn draw(seed: u64, routers: usize, engines: usize, length_ms: u64) -> Vec<TimedFault> {
    let mut rng = Pcg32::seed_from_u64(seed);
    let (mut at, mut faults) = (rng.random_range(FAULT_INTERVAL_MS), Vec::new());
    while at < length_ms {
        let (router, span) = (rng.random_range(0..routers), rng.random_range(FAULT_SPAN_MS));
        let first = rng.random_range(0..engines);
        let count = rng.random_range(engines / 20..engines / 3);
        let fault = match rng.random_range(0..8) {
            0 | 1 => {
                let share = SMALL_SHARES[rng.random_range(0..SMALL_SHARES.len())];
                Fault::Share { router, share, span }
            }
            2 | 3 => {
                let modes = [EngineMode::Hangs, EngineMode::Cuts, EngineMode::Fails];
                Fault::Engines { first, count, mode: modes[rng.random_range(0..modes.len())], span }
            }
            4 => Fault::Replace { first, count },
            5 => Fault::ManyEvents { first, count: count / 8 },
            6 => Fault::Stand { router, span: rng.random_range(STAND_SPAN_MS) },
            _ => Fault::Terminate { router },
        };
        faults.push((at, fault));
        at += rng.random_range(FAULT_INTERVAL_MS);
    }
    faults
}

/// What a run counted.
#[derive(Clone, Copy, Debug)]
pub struct Tally {
    pub requests: usize,
    pub served: usize,
    pub worst_lateness: Duration,
}

/// What a soak does at a time.
enum Step {
    Begin(Fault),
    RestoreShare(usize),
    RestoreEngines(usize, usize),
    Resume(usize),
    Delete(Vec<usize>),
    Kill(usize),
}

/// A running soak.
struct Soak {
    routers: Vec<RouterProcess>,
    limits: Vec<Option<CpuShare>>,
    share_factor: f64,
    engines: LightweightEngines,
    engine_count: usize,
    events: DiscoveryEvents,
    last_event: u64,
    /// The number of the next engine that was never listed.
    next_spare: usize,
    /// When each engine was announced as draining.
    drained: BTreeMap<usize, Instant>,
    /// When each router was terminated or killed, and when it was ready again.
    terminated: Vec<(usize, Instant, Option<Instant>)>,
}

/// Runs the faults of a seed. Returns what was counted, or which rule was broken. All shares of a core are
/// multiplied by `share_factor`: a build without optimization needs several times the processor time.
pub fn run(
    program: &str, folder: &Path, seed: u64, routers: usize, engines: usize, length_ms: u64,
    share_factor: f64,
) -> Result<Tally, String> {
    let _ = std::fs::remove_dir_all(folder);
    let events = DiscoveryEvents::default();
    let discovery = events.serve();
    let mut soak = Soak::start(program, folder, routers, engines, events, &discovery, share_factor);
    let traffic = Traffic {
        requests_per_s: REQUESTS_PER_S,
        connections: CONNECTIONS,
        wait: CLIENT_WAIT,
        withdrawn_share: WITHDRAWN_SHARE,
        seed,
    };
    let addresses = soak.routers.iter().map(|router| router.address).collect();
    let callers = Callers::start(addresses, traffic);
    soak.play(draw(seed, routers, engines, length_ms));
    let records = callers.finish();
    soak.limits.clear();
    let verdict = soak.judge(&records, &soak.engines.attempts());
    let logs = soak.routers.iter().find_map(|router| {
        let log = router.log_text();
        log.contains("panicked").then(|| format!("{} panicked", router.name))
    });
    drop(soak);
    logs.map_or(verdict, Err)
}

impl Soak {
    fn start(
        program: &str, folder: &Path, routers: usize, engine_count: usize, events: DiscoveryEvents,
        discovery: &StandinServer, share_factor: f64,
    ) -> Self {
        let engines =
            LightweightEngines::start_recording(engine_count * ADDRESSES_PER_ENGINE).expect("engines");
        engines.set_run_time(Duration::from_millis(20));
        let member =
            |engine: usize| roster_member(&format!("s-{engine}"), engines.address(engine), "SERVING");
        events.add(1, (0..engine_count).map(member).collect());
        let start = |number: usize| {
            let mut config = many_engines::config(&engines, engine_count, discovery.address, CLIENT_WAIT);
            let settings = &mut config["settings"];
            (settings["replicasOfMe"], settings["myNumber"]) = (json!(routers), json!(number));
            let name = format!("n{number}");
            RouterProcess::start_with_log_level("info", program, &[], folder, &name, &config.to_string())
        };
        let routers: Vec<RouterProcess> = (0..routers).map(start).collect();
        routers.iter().for_each(RouterProcess::wait_until_ready);
        let limits = routers.iter().map(|router| Some(limit(router, share_factor))).collect();
        Self {
            routers,
            limits,
            share_factor,
            engines,
            engine_count,
            events,
            last_event: 1,
            next_spare: engine_count,
            drained: BTreeMap::new(),
            terminated: Vec::new(),
        }
    }

    /// Carries out the faults and their ends in the order of their times.
    fn play(&mut self, faults: Vec<TimedFault>) {
        let started = Instant::now();
        let mut steps: BTreeMap<(u64, usize), Step> = BTreeMap::new();
        let mut serial = faults.len();
        for (number, (at, fault)) in faults.into_iter().enumerate() {
            steps.insert((at, number), Step::Begin(fault));
        }
        while let Some(((at, _), step)) = steps.pop_first() {
            let due = started + Duration::from_millis(at);
            thread::sleep(due.saturating_duration_since(Instant::now()));
            if let Some((after, end)) = self.carry_out(step) {
                serial += 1;
                steps.insert((at + after, serial), end);
            }
        }
    }

    /// Carries out a step. Returns the one that ends it, and after how many milliseconds that is due.
    fn carry_out(&mut self, step: Step) -> Option<(u64, Step)> {
        match step {
            Step::Begin(Fault::Share { router, share, span }) => {
                self.limits[router].as_ref()?.set(share * self.share_factor);
                Some((span, Step::RestoreShare(router)))
            }
            Step::Begin(Fault::Engines { first, count, mode, span }) => {
                self.set_modes(first, count, mode);
                Some((span, Step::RestoreEngines(first, count)))
            }
            Step::Begin(Fault::Replace { first, count }) => {
                let drained = self.replace(first, count);
                Some((DRAIN_GRACE.as_millis() as u64, Step::Delete(drained)))
            }
            Step::Begin(Fault::ManyEvents { first, count }) => {
                for engine in self.listed(first, count) {
                    let line = self.line(engine, "SERVING", 0);
                    self.publish(vec![line]);
                }
                None
            }
            Step::Begin(Fault::Stand { router, span }) => {
                self.limits[router] = None;
                self.routers[router].id()?;
                self.routers[router].signal(Signal::STOP);
                Some((span, Step::Resume(router)))
            }
            Step::Begin(Fault::Terminate { router }) => {
                self.routers[router].id()?;
                if self.terminated.iter().any(|(other, _, ready)| *other == router && ready.is_none()) {
                    return None;
                }
                self.routers[router].signal(Signal::TERM);
                self.terminated.push((router, Instant::now(), None));
                Some((EARLIEST_KILL.as_millis() as u64, Step::Kill(router)))
            }
            Step::RestoreShare(router) => {
                self.limits[router].as_ref()?.set(USUAL_SHARE * self.share_factor);
                None
            }
            Step::RestoreEngines(first, count) => {
                self.set_modes(first, count, EngineMode::Well);
                None
            }
            Step::Resume(router) => {
                self.routers[router].id()?;
                self.routers[router].signal(Signal::CONT);
                self.limits[router] = Some(limit(&self.routers[router], self.share_factor));
                None
            }
            Step::Delete(engines) => {
                let lines = engines.iter().map(|engine| self.line(*engine, "DELETED", 0)).collect();
                self.publish(lines);
                None
            }
            Step::Kill(router) => {
                self.restart(router);
                None
            }
        }
    }

    /// The engines from this number on that have not drained.
    fn listed(&self, first: usize, count: usize) -> Vec<usize> {
        let engines = (first..first + count).map(|engine| engine % self.next_spare);
        engines.filter(|engine| !self.drained.contains_key(engine)).collect()
    }

    fn set_modes(&self, first: usize, count: usize, mode: EngineMode) {
        (first..first + count).for_each(|engine| self.engines.set_mode(engine % self.engine_count, mode));
    }

    fn line(&self, engine: usize, phase: &str, up_since: u64) -> Value {
        let mut line = roster_member(&format!("s-{engine}"), self.engines.address(engine), phase);
        line["up_since_ms"] = json!(up_since);
        line
    }

    fn publish(&mut self, lines: Vec<Value>) {
        self.last_event += 1;
        self.events.add(self.last_event, lines);
    }

    /// Announces that engines drain and that as many cold ones serve. Returns the former.
    fn replace(&mut self, first: usize, count: usize) -> Vec<usize> {
        let drained = self.listed(first, count);
        let spares = self.engine_count * ADDRESSES_PER_ENGINE - self.next_spare;
        let joining = self.next_spare..self.next_spare + drained.len().min(spares);
        self.next_spare = joining.end;
        let draining = drained.iter().map(|engine| self.line(*engine, "DRAINING", 0));
        let now = unix_ms();
        let lines = draining.chain(joining.map(|engine| self.line(engine, "SERVING", now))).collect();
        self.drained.extend(drained.iter().map(|engine| (*engine, Instant::now())));
        self.publish(lines);
        drained
    }

    /// Kills a terminated router and starts it again with all events so far.
    fn restart(&mut self, router: usize) {
        self.limits[router] = None;
        self.routers[router].kill();
        let known = self.events.all();
        self.routers[router].change_config(|config| config["known"] = known);
        self.routers[router].start_again();
        self.routers[router].wait_until_ready();
        self.limits[router] = Some(limit(&self.routers[router], self.share_factor));
        let open = self.terminated.iter_mut().find(|(other, _, ready)| *other == router && ready.is_none());
        if let Some((.., ready)) = open {
            *ready = Some(Instant::now());
        }
    }

    /// Whether a request may go without an answer: it was sent while its router ended.
    fn is_excused(&self, router: usize, sent: Instant) -> bool {
        let covers = |(of, at, ready): &(usize, Instant, Option<Instant>)| {
            let until = ready.unwrap_or(*at + EARLIEST_KILL);
            *of == router && sent > *at + LAST_REQUEST_AFTER_TERM && sent <= until
        };
        self.terminated.iter().any(covers)
    }

    fn judge(&self, records: &RequestRecords, attempts: &[Attempt]) -> Result<Tally, String> {
        let mut tally = Tally { requests: records.len(), served: 0, worst_lateness: Duration::ZERO };
        for (id, record) in records {
            if record.answers.len() > 1 {
                return Err(format!("{id:016x}: {} answers", record.answers.len()));
            }
            let excused = self.is_excused(record.router, record.sent);
            let Some((at, kind)) = record.answers.first() else {
                if record.withdrawn.is_none() && !excused {
                    return Err(format!("{id:016x} of router {}: no answer: {record:?}", record.router));
                }
                continue;
            };
            tally.served += usize::from(*kind == AnswerKind::Served);
            let late = at.saturating_duration_since(record.deadline);
            if record.withdrawn.is_none() && !excused {
                tally.worst_lateness = tally.worst_lateness.max(late);
            }
            if late > LOST_AFTER && record.withdrawn.is_none() && !excused {
                return Err(format!("{id:016x} of router {}: {late:?} late", record.router));
            }
        }
        for attempt in attempts {
            let withdrawn = records.get(&attempt.job).and_then(|record| record.withdrawn);
            if withdrawn.is_some_and(|at| attempt.at > at + ATTEMPT_AFTER_WITHDRAWAL) {
                return Err(format!("{:016x}: an attempt after its withdrawal: {attempt:?}", attempt.job));
            }
            let drained = self.drained.get(&attempt.engine);
            if let Some(at) = drained.filter(|at| attempt.at > **at + DRAIN_GRACE) {
                let after = attempt.at.duration_since(*at);
                return Err(format!("{:016x}: sent {after:?} after its engine drained", attempt.job));
            }
        }
        Ok(tally)
    }
}

fn limit(router: &RouterProcess, share_factor: f64) -> CpuShare {
    CpuShare::limit(router.id().expect("a process"), USUAL_SHARE * share_factor)
}

/// The present time in Unix milliseconds.
fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}
