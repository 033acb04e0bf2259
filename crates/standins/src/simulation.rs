//! Simulates routers with the real decision module, with or without gossip, and engines on virtual time. It
//! records dispatches by engine, executions by job and final answers, and checks the rules on them.

use std::collections::{BTreeMap, HashMap};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use serde_json::Value;
use woadhook::{CellId, KindId, ZoneId};
use woadhook::{Decision, EngineId, EngineStatus, Forgotten, GroupId, JobId, Moment, Outcome, Span, TypeId};
use woadhook_gossip::EngineCondition;
use woadhook_host::Instance;

use crate::cluster::{Cluster, default_gossip_config, secs};
use crate::net::NetworkConditions;
use crate::routers::router_config;

/// Indices of the types in the stand-ins' settings.
pub const LOOK_TYPE: usize = 0;
pub const LOAD_TYPE: usize = 1;
/// Drain grace in the stand-ins' settings.
const DRAIN_GRACE: Span = Span::from_micros(1_000_000);
/// Connect timeout in the stand-ins' settings.
const CONNECT_TIMEOUT: Span = Span::from_micros(250_000);
/// Run time of a job at an engine.
const JOB_TIME: Span = Span::from_micros(50_000);
/// An engine ends a query that was not polled for this time.
const UNPOLLED_QUERY_TIMEOUT: Span = Span::from_micros(2_250_000);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineState {
    Healthy,
    /// It accepts dispatches and never answers.
    Silent,
    /// Its port is closed.
    Dead,
}

/// An engine and the dispatches that it received.
pub struct Engine {
    pub name: String,
    pub state: EngineState,
    /// When each dispatch arrived, and from which router.
    pub dispatches: Vec<(Moment, usize)>,
    /// Number of executions by router and job.
    executions: HashMap<(usize, usize), u32>,
    /// When each router learned that the engine drains or is gone.
    drain_times: HashMap<usize, Moment>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    Done,
    Throttled,
    CancelledForGood,
}

struct Job {
    job_type: usize,
    arrived: Moment,
    answers: Vec<(Moment, Answer)>,
    dispatches: usize,
}

/// One router of the simulation.
struct SimulatedRouter {
    instance: Instance,
    /// Jobs per second.
    rate: f64,
    jobs: Vec<Job>,
    /// Outstanding dispatches by job and dispatch number: the engine, and when it was sent.
    outstanding: BTreeMap<(usize, usize), (usize, Moment)>,
    next_wake: Option<Moment>,
    /// Number of jobs that arrived. The decision module's job indices are positions in `jobs`.
    arrivals: u64,
}

#[derive(Clone, Copy, Debug)]
enum SimulationEvent {
    JobArrives { router: usize },
    DispatchEnds { router: usize, job: usize, number: usize, outcome: Outcome },
    ProbeEnds { router: usize, engine: usize, outcome: Outcome },
    Wake { router: usize },
    EngineListed { router: usize, engine: usize, status: EngineStatus },
    EngineChanges { engine: usize, state: EngineState },
}

/// The simulated routers, engines and their common clock.
pub struct Simulation {
    pub cluster: Cluster,
    pub engines: Vec<Engine>,
    sim_routers: Vec<SimulatedRouter>,
    gossip: bool,
    rng: Pcg32,
    queue: BTreeMap<(Moment, u64), SimulationEvent>,
    /// Number of scheduled events, which orders events of the same time.
    sequence: u64,
    /// One in this many jobs is a load, which is run-once.
    pub load_interval: u64,
}

impl Simulation {
    /// Creates one router for each rate, in jobs per second, with or without gossip.
    pub fn new(seed: u64, engines: usize, rates: &[f64], gossip: bool) -> Self {
        let mut cluster =
            Cluster::new(seed, rates.len(), NetworkConditions::reliable(), default_gossip_config());
        cluster.introduce_all();
        let names: Vec<String> = (0..engines).map(|number| format!("s-{number}")).collect();
        let now = cluster.now;
        let sim_routers = rates.iter().enumerate().map(|(number, rate)| {
            let settings = settings(rates.len(), number);
            let mut instance = Instance::start(now, seed + number as u64, &settings).unwrap();
            for name in &names {
                let engine = EngineId(instance.engines.intern(name));
                instance.router.engine_listed(
                    now,
                    engine,
                    ZoneId(0),
                    KindId(0),
                    CellId(0),
                    EngineStatus::Live,
                    None,
                    instance.engines.stable_hash(engine.0),
                );
            }
            let (jobs, outstanding) = (Vec::new(), BTreeMap::new());
            SimulatedRouter { instance, rate: *rate, jobs, outstanding, next_wake: None, arrivals: 0 }
        });
        let sim_routers = sim_routers.collect();
        let list: Vec<&str> = names.iter().map(String::as_str).collect();
        cluster.set_engines(&list);
        let engine = |name: &String| Engine {
            name: name.clone(),
            state: EngineState::Healthy,
            dispatches: Vec::new(),
            executions: HashMap::new(),
            drain_times: HashMap::new(),
        };
        let engines = names.iter().map(engine).collect();
        let rng = Pcg32::seed_from_u64(seed);
        let mut new = Self {
            cluster,
            engines,
            sim_routers,
            gossip,
            rng,
            queue: BTreeMap::new(),
            sequence: 0,
            load_interval: 20,
        };
        for router in 0..rates.len() {
            new.schedule_next_arrival(router);
        }
        new
    }

    fn schedule(&mut self, at: Moment, event: SimulationEvent) {
        self.sequence += 1;
        self.queue.insert((at, self.sequence), event);
    }

    pub fn now(&self) -> Moment {
        self.cluster.now
    }

    /// Changes an engine's state after a delay.
    pub fn set_engine_state_after(&mut self, after: Span, engine: usize, state: EngineState) {
        self.schedule(self.now() + after, SimulationEvent::EngineChanges { engine, state });
    }

    /// Changes an engine's status in a router's list after a delay.
    pub fn set_engine_status_after(
        &mut self, after: Span, router: usize, engine: usize, status: EngineStatus,
    ) {
        self.schedule(self.now() + after, SimulationEvent::EngineListed { router, engine, status });
    }

    /// Passes a peer report to a router as if any member had sent it.
    pub fn peer_report(&mut self, router: usize, engine: usize, job_type: Option<usize>, suspicion: f64) {
        let now = self.now();
        if let Some(id) = self.id(router, engine) {
            self.sim_routers[router].instance.router.peer_reported(now, id, job_type.map(TypeId), suspicion);
            self.run_decisions(router);
        }
    }

    fn schedule_next_arrival(&mut self, router: usize) {
        let rate = self.sim_routers[router].rate;
        if rate > 0.0 {
            let gap = -(1.0 - self.rng.random::<f64>()).ln() / rate;
            self.schedule(self.now() + secs(gap), SimulationEvent::JobArrives { router });
        }
    }

    /// Runs the simulation for a span of virtual time.
    pub fn run_for(&mut self, span: Span) {
        let until = self.now() + span;
        loop {
            let next = self.queue.keys().next().map(|(at, _)| *at);
            let gossip = self.cluster.next_step_at();
            if gossip.is_some_and(|at| at <= until && next.is_none_or(|next| at < next)) {
                self.cluster.step(until);
                self.apply_peer_reports();
            } else if let Some(at) = next.filter(|at| *at <= until) {
                self.cluster.now = self.cluster.now.max(at);
                if let Some((_, event)) = self.queue.pop_first() {
                    self.handle_event(event);
                }
            } else {
                self.cluster.now = until;
                return;
            }
        }
    }

    fn apply_peer_reports(&mut self) {
        while let Some((router, engine, type_name, suspicion)) = self.cluster.pending_reports.pop_front() {
            if !self.gossip {
                continue;
            }
            let now = self.now();
            let instance = &mut self.sim_routers[router].instance;
            let job_type =
                type_name.map(|type_name| instance.types.iter().position(|known| *known == type_name));
            if let (Some(engine), false) = (instance.engines.get(&engine), job_type == Some(None)) {
                instance.router.peer_reported(
                    now,
                    EngineId(engine),
                    job_type.flatten().map(TypeId),
                    suspicion,
                );
            }
            self.run_decisions(router);
        }
    }

    fn with_gossip(&mut self, router: usize, act: impl FnOnce(Moment, &mut woadhook_gossip::Gossip)) {
        if self.gossip && self.cluster.nodes[router].core.is_some() {
            self.cluster.with_core(router, act);
            self.apply_peer_reports();
        }
    }

    fn handle_event(&mut self, event: SimulationEvent) {
        let now = self.now();
        match event {
            SimulationEvent::JobArrives { router } => {
                self.schedule_next_arrival(router);
                let sim_router = &mut self.sim_routers[router];
                sim_router.arrivals += 1;
                let job_type = if sim_router.arrivals.is_multiple_of(self.load_interval) {
                    LOAD_TYPE
                } else {
                    LOOK_TYPE
                };
                let job = sim_router.jobs.len();
                sim_router.jobs.push(Job { job_type, arrived: now, answers: Vec::new(), dispatches: 0 });
                let group = GroupId((sim_router.arrivals % 7) as usize);
                let id = JobId(job);
                sim_router.instance.router.job_arrived(
                    now,
                    id,
                    TypeId(job_type),
                    None,
                    group,
                    None,
                    Some(JOB_TIME),
                    10.0,
                    secs(4.0),
                );
                self.run_decisions(router);
            }
            SimulationEvent::DispatchEnds { router, job, number, outcome } => {
                self.end_dispatch(router, job, number, outcome)
            }
            SimulationEvent::ProbeEnds { router, engine, outcome } => {
                let Some(id) = self.id(router, engine) else { return };
                self.sim_routers[router].instance.router.probe_ended(now, id, outcome);
                if outcome == Outcome::Done {
                    let name = self.engines[engine].name.clone();
                    self.with_gossip(router, |now, core| core.probe_answered(now, &name));
                }
                self.run_decisions(router);
            }
            SimulationEvent::Wake { router } => {
                if self.sim_routers[router].next_wake.is_some_and(|at| at <= now) {
                    self.sim_routers[router].next_wake = None;
                    self.run_decisions(router);
                }
            }
            SimulationEvent::EngineListed { router, engine, status } => {
                if status != EngineStatus::Live {
                    self.engines[engine].drain_times.entry(router).or_insert(now);
                }
                let name = self.engines[engine].name.clone();
                let instance = &mut self.sim_routers[router].instance;
                let id = EngineId(instance.engines.intern(&name));
                let name_hash = instance.engines.stable_hash(id.0);
                instance.router.engine_listed(
                    now,
                    id,
                    ZoneId(0),
                    KindId(0),
                    CellId(0),
                    status,
                    None,
                    name_hash,
                );
                self.run_decisions(router);
            }
            SimulationEvent::EngineChanges { engine, state } => {
                self.engines[engine].state = state;
                if state == EngineState::Dead {
                    let lost: Vec<_> = self
                        .sim_routers
                        .iter()
                        .enumerate()
                        .flat_map(|(router, sim_router)| {
                            let outstanding_here =
                                sim_router.outstanding.iter().filter(move |(_, (at, _))| *at == engine);
                            outstanding_here
                                .map(move |((job, number), _)| (router, *job, *number))
                                .collect::<Vec<_>>()
                        })
                        .collect();
                    for (router, job, number) in lost {
                        self.end_dispatch(router, job, number, Outcome::Reset);
                    }
                }
            }
        }
    }

    fn id(&self, router: usize, engine: usize) -> Option<EngineId> {
        self.sim_routers[router].instance.engines.get(&self.engines[engine].name).map(EngineId)
    }

    fn end_dispatch(&mut self, router: usize, job: usize, number: usize, outcome: Outcome) {
        let now = self.now();
        let Some((engine, sent)) = self.sim_routers[router].outstanding.get(&(job, number)).copied() else {
            return;
        };
        // A silent engine never reports an end; only a timeout or the router itself ends the dispatch.
        if outcome == Outcome::Done && self.engines[engine].state != EngineState::Healthy {
            return;
        }
        let sim_router = &mut self.sim_routers[router];
        sim_router.outstanding.remove(&(job, number));
        let is_done = outcome == Outcome::Done;
        if is_done && sim_router.jobs[job].answers.is_empty() {
            sim_router.jobs[job].answers.push((now, Answer::Done));
        }
        let is_answered = !sim_router.jobs[job].answers.is_empty();
        sim_router.instance.router.dispatch_ended(
            now,
            JobId(job),
            number,
            outcome,
            now.since(sent),
            None,
            is_answered,
        );
        let (name, type_name) = (
            self.engines[engine].name.clone(),
            sim_router.instance.types[sim_router.jobs[job].job_type].clone(),
        );
        self.with_gossip(router, |now, core| core.dispatch_ended(now, &name, &type_name, outcome));
        self.run_decisions(router);
    }

    fn run_decisions(&mut self, router: usize) {
        let now = self.now();
        while let Some(decision) = self.sim_routers[router].instance.router.next_decision(now) {
            match decision {
                Decision::Dispatch { job, engine, timeout, .. } => {
                    self.dispatch(router, job.0, engine, timeout)
                }
                Decision::CancelDispatch { job, number } => {
                    let engine =
                        self.sim_routers[router].outstanding.get(&(job.0, number)).map(|(engine, _)| *engine);
                    let is_silent =
                        engine.is_some_and(|engine| self.engines[engine].state == EngineState::Silent);
                    let after = if is_silent { UNPOLLED_QUERY_TIMEOUT } else { secs(0.002) };
                    let ends = SimulationEvent::DispatchEnds {
                        router,
                        job: job.0,
                        number,
                        outcome: Outcome::Cancelled,
                    };
                    self.schedule(now + after, ends);
                }
                Decision::Throttle { job, .. } => {
                    self.sim_routers[router].jobs[job.0].answers.push((now, Answer::Throttled));
                }
                Decision::CancelForGood { job, .. } => {
                    self.sim_routers[router].jobs[job.0].answers.push((now, Answer::CancelledForGood));
                }
                Decision::Probe { engine } => {
                    let name = self.sim_routers[router].instance.engines.name(engine.0);
                    let Some(index) = self.engines.iter().position(|known| known.name == name) else {
                        continue;
                    };
                    let (after, outcome) = match self.engines[index].state {
                        EngineState::Healthy => (secs(0.002), Outcome::Done),
                        EngineState::Silent => (CONNECT_TIMEOUT, Outcome::TimedOut),
                        EngineState::Dead => (secs(0.001), Outcome::NotConnected),
                    };
                    self.schedule(now + after, SimulationEvent::ProbeEnds { router, engine: index, outcome });
                }
                Decision::Wake { after } => {
                    let at = now + after;
                    self.sim_routers[router].next_wake = Some(at);
                    self.schedule(at, SimulationEvent::Wake { router });
                }
                Decision::SetAside { engine, why } => {
                    let condition = if why == woadhook::SetAsideReason::Failed {
                        EngineCondition::Reset
                    } else {
                        EngineCondition::Silent
                    };
                    let name = self.sim_routers[router].instance.engines.name(engine.0).to_owned();
                    self.with_gossip(router, |now, core| core.engine_judged(now, &name, condition));
                }
                Decision::Back { engine } => {
                    let name = self.sim_routers[router].instance.engines.name(engine.0).to_owned();
                    self.with_gossip(router, |now, core| {
                        core.engine_judged(now, &name, EngineCondition::Well)
                    });
                }
                Decision::Forget(Forgotten::Engine(engine)) => {
                    self.sim_routers[router].instance.engines.release(engine.0);
                }
                Decision::Forget(_) | Decision::Subscribe => {}
            }
        }
    }

    fn dispatch(&mut self, router: usize, job: usize, engine: EngineId, timeout: Span) {
        let now = self.now();
        let name = self.sim_routers[router].instance.engines.name(engine.0);
        let Some(index) = self.engines.iter().position(|known| known.name == name) else { return };
        let sim_router = &mut self.sim_routers[router];
        let number = sim_router.jobs[job].dispatches;
        sim_router.jobs[job].dispatches += 1;
        sim_router.outstanding.insert((job, number), (index, now));
        let to = &mut self.engines[index];
        let (after, outcome) = match to.state {
            EngineState::Healthy | EngineState::Silent => {
                to.dispatches.push((now, router));
                *to.executions.entry((router, job)).or_default() += 1;
                (JOB_TIME, Outcome::Done)
            }
            EngineState::Dead => (secs(0.001), Outcome::NotConnected),
        };
        self.schedule(now + after, SimulationEvent::DispatchEnds { router, job, number, outcome });
        let timed_out = SimulationEvent::DispatchEnds { router, job, number, outcome: Outcome::TimedOut };
        self.schedule(now + timeout.max(after) + secs(0.001), timed_out);
    }

    /// Counts the jobs of a router that arrived in a period by outcome: done, throttled, cancelled for good,
    /// unanswered.
    pub fn job_outcomes(&self, router: usize, from: Moment, to: Moment) -> [usize; 4] {
        let mut counts = [0; 4];
        for job in self.sim_routers[router].jobs.iter().filter(|job| (from..to).contains(&job.arrived)) {
            let index = match job.answers.first() {
                Some((_, Answer::Done)) => 0,
                Some((_, Answer::Throttled)) => 1,
                Some((_, Answer::CancelledForGood)) => 2,
                None => 3,
            };
            counts[index] += 1;
        }
        counts
    }

    /// The mean and the maximum answer time of a router's done jobs that arrived in a period.
    pub fn answer_times(&self, router: usize, from: Moment, to: Moment) -> (Span, Span) {
        let done = self.sim_routers[router].jobs.iter().filter(|job| (from..to).contains(&job.arrived));
        let times: Vec<Span> = done
            .filter_map(|job| match job.answers.first() {
                Some((at, Answer::Done)) => Some(at.since(job.arrived)),
                _ => None,
            })
            .collect();
        let mean = times.iter().copied().sum::<Span>().mul_f64(1.0 / times.len().max(1) as f64);
        (mean, times.into_iter().max().unwrap_or_default())
    }

    /// The number of dispatches from a router to an engine in a period.
    pub fn dispatch_count(&self, engine: usize, router: usize, from: Moment, to: Moment) -> usize {
        let sends = self.engines[engine].dispatches.iter();
        sends.filter(|(at, sender)| *sender == router && (from..to).contains(at)).count()
    }

    /// The longest part of a period in which an engine received no dispatch.
    pub fn longest_idle(&self, engine: usize, from: Moment, to: Moment) -> Span {
        let sends =
            self.engines[engine].dispatches.iter().map(|(at, _)| *at).filter(|at| (from..to).contains(at));
        let moments: Vec<Moment> = std::iter::once(from).chain(sends).chain([to]).collect();
        moments.windows(2).map(|pair| pair[1].since(pair[0])).max().unwrap_or_default()
    }

    /// Lists the violations of the rules: each job gets at most one answer, and has one once its time is up;
    /// no load is executed twice; no dispatch is sent to an engine after its drain grace.
    pub fn violations(&self) -> Vec<String> {
        let mut violations = Vec::new();
        for (router, sim_router) in self.sim_routers.iter().enumerate() {
            for (number, job) in sim_router.jobs.iter().enumerate() {
                let is_overdue = self.now().since(job.arrived) > secs(4.1);
                if job.answers.len() > 1 || (is_overdue && job.answers.is_empty()) {
                    violations.push(format!("router {router}: job {number} has answers {:?}", job.answers));
                }
            }
        }
        for engine in &self.engines {
            for ((router, job), _) in engine.executions.iter().filter(|(_, count)| **count > 1) {
                if self.sim_routers[*router].jobs[*job].job_type == LOAD_TYPE {
                    violations.push(format!("{}: load {job} of router {router} ran twice", engine.name));
                }
            }
            for (at, router) in &engine.dispatches {
                let learned_at = engine.drain_times.get(router);
                if learned_at.is_some_and(|learned_at| *at > *learned_at + DRAIN_GRACE) {
                    violations.push(format!(
                        "{}: dispatch from router {router} after the drain grace",
                        engine.name
                    ));
                }
            }
        }
        let engines_of_jobs = self.engines.iter().flat_map(|engine| engine.executions.keys());
        let mut runs: HashMap<(usize, usize), u32> = HashMap::new();
        engines_of_jobs.for_each(|key| *runs.entry(*key).or_default() += 1);
        for ((router, job), _) in runs.iter().filter(|(_, count)| **count > 1) {
            if self.sim_routers[*router].jobs[*job].job_type == LOAD_TYPE {
                violations.push(format!("load {job} of router {router} ran at two engines"));
            }
        }
        violations
    }
}

fn settings(routers: usize, number: usize) -> Value {
    let unused = std::net::SocketAddr::from(([127, 0, 0, 1], 1));
    let mut config: Value = serde_json::from_str(&router_config(&[], unused, 1024)).unwrap();
    let mut settings = config["settings"].take();
    settings["replicasOfMe"] = routers.into();
    settings["myNumber"] = number.into();
    for class in settings["classes"].as_array_mut().unwrap() {
        class["deadlineUs"] = 4_000_000.into();
    }
    settings
}
