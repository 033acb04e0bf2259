//! Routers with the real decision module, and with or without gossip, before engines of a virtual world. It looks
//! at what peers see: sends by engine, executions by job, final answers; and checks the rules on them.

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

/// Types of the stand-ins' settings.
pub const LOOK_TYPE: usize = 0;
pub const LOAD_TYPE: usize = 1;
/// What the settings of the stand-ins say.
const GRACE: Span = Span::from_micros(1_000_000);
const CONNECT_TIMEOUT: Span = Span::from_micros(250_000);
/// How long an engine is at a job.
const WORK: Span = Span::from_micros(50_000);
/// An engine that hears nothing of a query any more ends it after so long.
const UNASKED: Span = Span::from_micros(2_250_000);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineState {
    Healthy,
    /// It takes all in and says nothing.
    Silent,
    /// Its port is closed.
    Dead,
}

/// An engine, and what it saw.
pub struct Engine {
    pub name: String,
    pub state: EngineState,
    /// When a dispatch came, and from which router.
    pub dispatches: Vec<(Moment, usize)>,
    /// By router and job.
    executions: HashMap<(usize, usize), u32>,
    /// When each router was told that it drains or is gone.
    told: HashMap<usize, Moment>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    Done,
    Throttled,
    CancelledForGood,
}

struct Job {
    kind: usize,
    arrived: Moment,
    answers: Vec<(Moment, Answer)>,
    dispatches: usize,
}

/// One router of the world.
struct Host {
    instance: Instance,
    /// Jobs a second.
    rate: f64,
    jobs: Vec<Job>,
    /// What is out, by job and dispatch: the engine, and when it was sent.
    out: BTreeMap<(usize, usize), (usize, Moment)>,
    wake: Option<Moment>,
    /// The module's indices of jobs are its places in `jobs`.
    arrivals: u64,
}

#[derive(Clone, Copy, Debug)]
enum Happening {
    Arrives { router: usize },
    Ends { router: usize, job: usize, number: usize, outcome: Outcome },
    Probed { router: usize, engine: usize, outcome: Outcome },
    Wakes { router: usize },
    Listed { router: usize, engine: usize, listed: EngineStatus },
    Turns { engine: usize, fate: EngineState },
}

pub struct Simulation {
    pub cluster: Cluster,
    pub engines: Vec<Engine>,
    hosts: Vec<Host>,
    talks: bool,
    chance: Pcg32,
    ahead: BTreeMap<(Moment, u64), Happening>,
    count: u64,
    /// One job in so many is a load, which must not run twice.
    pub load_interval: u64,
}

impl Simulation {
    /// Routers with such rates of jobs a second; they gossip or not.
    pub fn new(seed: u64, engines: usize, rates: &[f64], talks: bool) -> Self {
        let mut cluster =
            Cluster::new(seed, rates.len(), NetworkConditions::reliable(), default_gossip_config());
        cluster.introduce_all();
        let names: Vec<String> = (0..engines).map(|number| format!("s-{number}")).collect();
        let now = cluster.now;
        let hosts = rates.iter().enumerate().map(|(number, rate)| {
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
            let (jobs, out) = (Vec::new(), BTreeMap::new());
            Host { instance, rate: *rate, jobs, out, wake: None, arrivals: 0 }
        });
        let hosts = hosts.collect();
        let list: Vec<&str> = names.iter().map(String::as_str).collect();
        cluster.set_engines(&list);
        let engine = |name: &String| Engine {
            name: name.clone(),
            state: EngineState::Healthy,
            dispatches: Vec::new(),
            executions: HashMap::new(),
            told: HashMap::new(),
        };
        let engines = names.iter().map(engine).collect();
        let chance = Pcg32::seed_from_u64(seed);
        let mut new = Self {
            cluster,
            engines,
            hosts,
            talks,
            chance,
            ahead: BTreeMap::new(),
            count: 0,
            load_interval: 20,
        };
        for router in 0..rates.len() {
            new.next_arrival(router);
        }
        new
    }

    fn happens(&mut self, at: Moment, what: Happening) {
        self.count += 1;
        self.ahead.insert((at, self.count), what);
    }

    pub fn now(&self) -> Moment {
        self.cluster.now
    }

    /// An engine's fate changes after a span.
    pub fn set_engine_state_after(&mut self, after: Span, engine: usize, fate: EngineState) {
        self.happens(self.now() + after, Happening::Turns { engine, fate });
    }

    /// A router's list says so after a span.
    pub fn set_engine_status_after(
        &mut self, after: Span, router: usize, engine: usize, listed: EngineStatus,
    ) {
        self.happens(self.now() + after, Happening::Listed { router, engine, listed });
    }

    /// A router hears a doubt, whoever says so.
    pub fn peer_report(&mut self, router: usize, engine: usize, of: Option<usize>, doubt: f64) {
        let now = self.now();
        if let Some(id) = self.id(router, engine) {
            self.hosts[router].instance.router.peer_reported(now, id, of.map(TypeId), doubt);
            self.pull(router);
        }
    }

    fn next_arrival(&mut self, router: usize) {
        let rate = self.hosts[router].rate;
        if rate > 0.0 {
            let gap = -(1.0 - self.chance.random::<f64>()).ln() / rate;
            self.happens(self.now() + secs(gap), Happening::Arrives { router });
        }
    }

    pub fn run_for(&mut self, span: Span) {
        let until = self.now() + span;
        loop {
            let next = self.ahead.keys().next().map(|(at, _)| *at);
            let gossip = self.cluster.next_step_at();
            if gossip.is_some_and(|at| at <= until && next.is_none_or(|next| at < next)) {
                self.cluster.step(until);
                self.take_hearsay();
            } else if let Some(at) = next.filter(|at| *at <= until) {
                self.cluster.now = self.cluster.now.max(at);
                if let Some((_, what)) = self.ahead.pop_first() {
                    self.carry(what);
                }
            } else {
                self.cluster.now = until;
                return;
            }
        }
    }

    fn take_hearsay(&mut self) {
        while let Some((router, engine, of, doubt)) = self.cluster.pending_reports.pop_front() {
            if !self.talks {
                continue;
            }
            let now = self.now();
            let instance = &mut self.hosts[router].instance;
            let kind = of.map(|of| instance.types.iter().position(|known| *known == of));
            if let (Some(engine), false) = (instance.engines.get(&engine), kind == Some(None)) {
                instance.router.peer_reported(now, EngineId(engine), kind.flatten().map(TypeId), doubt);
            }
            self.pull(router);
        }
    }

    fn tell(&mut self, router: usize, act: impl FnOnce(Moment, &mut woadhook_gossip::Gossip)) {
        if self.talks && self.cluster.nodes[router].core.is_some() {
            self.cluster.with_core(router, act);
            self.take_hearsay();
        }
    }

    fn carry(&mut self, what: Happening) {
        let now = self.now();
        match what {
            Happening::Arrives { router } => {
                self.next_arrival(router);
                let host = &mut self.hosts[router];
                host.arrivals += 1;
                let kind =
                    if host.arrivals.is_multiple_of(self.load_interval) { LOAD_TYPE } else { LOOK_TYPE };
                let job = host.jobs.len();
                host.jobs.push(Job { kind, arrived: now, answers: Vec::new(), dispatches: 0 });
                let group = GroupId((host.arrivals % 7) as usize);
                let id = JobId(job);
                host.instance.router.job_arrived(
                    now,
                    id,
                    TypeId(kind),
                    None,
                    group,
                    None,
                    Some(WORK),
                    10.0,
                    secs(4.0),
                );
                self.pull(router);
            }
            Happening::Ends { router, job, number, outcome } => self.end(router, job, number, outcome),
            Happening::Probed { router, engine, outcome } => {
                let Some(id) = self.id(router, engine) else { return };
                self.hosts[router].instance.router.probe_ended(now, id, outcome);
                if outcome == Outcome::Done {
                    let name = self.engines[engine].name.clone();
                    self.tell(router, |now, core| core.probe_answered(now, &name));
                }
                self.pull(router);
            }
            Happening::Wakes { router } => {
                if self.hosts[router].wake.is_some_and(|at| at <= now) {
                    self.hosts[router].wake = None;
                    self.pull(router);
                }
            }
            Happening::Listed { router, engine, listed } => {
                if listed != EngineStatus::Live {
                    self.engines[engine].told.entry(router).or_insert(now);
                }
                let name = self.engines[engine].name.clone();
                let instance = &mut self.hosts[router].instance;
                let id = EngineId(instance.engines.intern(&name));
                let mark = instance.engines.stable_hash(id.0);
                instance.router.engine_listed(now, id, ZoneId(0), KindId(0), CellId(0), listed, None, mark);
                self.pull(router);
            }
            Happening::Turns { engine, fate } => {
                self.engines[engine].state = fate;
                if fate == EngineState::Dead {
                    let lost: Vec<_> = self
                        .hosts
                        .iter()
                        .enumerate()
                        .flat_map(|(router, host)| {
                            let here = host.out.iter().filter(move |(_, (at, _))| *at == engine);
                            here.map(move |((job, number), _)| (router, *job, *number)).collect::<Vec<_>>()
                        })
                        .collect();
                    for (router, job, number) in lost {
                        self.end(router, job, number, Outcome::Reset);
                    }
                }
            }
        }
    }

    fn id(&self, router: usize, engine: usize) -> Option<EngineId> {
        self.hosts[router].instance.engines.get(&self.engines[engine].name).map(EngineId)
    }

    fn end(&mut self, router: usize, job: usize, number: usize, outcome: Outcome) {
        let now = self.now();
        let Some((engine, sent)) = self.hosts[router].out.get(&(job, number)).copied() else { return };
        // A silent engine has no end to tell; only time and the router itself end it there.
        if outcome == Outcome::Done && self.engines[engine].state != EngineState::Healthy {
            return;
        }
        let host = &mut self.hosts[router];
        host.out.remove(&(job, number));
        let over = outcome == Outcome::Done;
        if over && host.jobs[job].answers.is_empty() {
            host.jobs[job].answers.push((now, Answer::Done));
        }
        let over = !host.jobs[job].answers.is_empty();
        host.instance.router.dispatch_ended(now, JobId(job), number, outcome, now.since(sent), None, over);
        let (name, of) =
            (self.engines[engine].name.clone(), host.instance.types[host.jobs[job].kind].clone());
        self.tell(router, |now, core| core.dispatch_ended(now, &name, &of, outcome));
        self.pull(router);
    }

    fn pull(&mut self, router: usize) {
        let now = self.now();
        while let Some(decision) = self.hosts[router].instance.router.next_decision(now) {
            match decision {
                Decision::Dispatch { job, engine, timeout, .. } => {
                    self.dispatch(router, job.0, engine, timeout)
                }
                Decision::CancelDispatch { job, number } => {
                    let engine = self.hosts[router].out.get(&(job.0, number)).map(|(engine, _)| *engine);
                    let slow = engine.is_some_and(|engine| self.engines[engine].state == EngineState::Silent);
                    let after = if slow { UNASKED } else { secs(0.002) };
                    let ends = Happening::Ends { router, job: job.0, number, outcome: Outcome::Cancelled };
                    self.happens(now + after, ends);
                }
                Decision::Throttle { job, .. } => {
                    self.hosts[router].jobs[job.0].answers.push((now, Answer::Throttled));
                }
                Decision::CancelForGood { job, .. } => {
                    self.hosts[router].jobs[job.0].answers.push((now, Answer::CancelledForGood));
                }
                Decision::Probe { engine } => {
                    let name = self.hosts[router].instance.engines.name(engine.0);
                    let Some(place) = self.engines.iter().position(|known| known.name == name) else {
                        continue;
                    };
                    let (after, outcome) = match self.engines[place].state {
                        EngineState::Healthy => (secs(0.002), Outcome::Done),
                        EngineState::Silent => (CONNECT_TIMEOUT, Outcome::TimedOut),
                        EngineState::Dead => (secs(0.001), Outcome::NotConnected),
                    };
                    self.happens(now + after, Happening::Probed { router, engine: place, outcome });
                }
                Decision::Wake { after } => {
                    let at = now + after;
                    self.hosts[router].wake = Some(at);
                    self.happens(at, Happening::Wakes { router });
                }
                Decision::SetAside { engine, why } => {
                    let seen = if why == woadhook::SetAsideReason::Failed {
                        EngineCondition::Reset
                    } else {
                        EngineCondition::Silent
                    };
                    let name = self.hosts[router].instance.engines.name(engine.0).to_owned();
                    self.tell(router, |now, core| core.engine_judged(now, &name, seen));
                }
                Decision::Back { engine } => {
                    let name = self.hosts[router].instance.engines.name(engine.0).to_owned();
                    self.tell(router, |now, core| core.engine_judged(now, &name, EngineCondition::Well));
                }
                Decision::Forget(Forgotten::Engine(engine)) => {
                    self.hosts[router].instance.engines.release(engine.0);
                }
                Decision::Forget(_) | Decision::Subscribe => {}
            }
        }
    }

    fn dispatch(&mut self, router: usize, job: usize, engine: EngineId, timeout: Span) {
        let now = self.now();
        let name = self.hosts[router].instance.engines.name(engine.0);
        let Some(place) = self.engines.iter().position(|known| known.name == name) else { return };
        let host = &mut self.hosts[router];
        let number = host.jobs[job].dispatches;
        host.jobs[job].dispatches += 1;
        host.out.insert((job, number), (place, now));
        let to = &mut self.engines[place];
        let (after, outcome) = match to.state {
            EngineState::Healthy | EngineState::Silent => {
                to.dispatches.push((now, router));
                *to.executions.entry((router, job)).or_default() += 1;
                (WORK, Outcome::Done)
            }
            EngineState::Dead => (secs(0.001), Outcome::NotConnected),
        };
        self.happens(now + after, Happening::Ends { router, job, number, outcome });
        let late = Happening::Ends { router, job, number, outcome: Outcome::TimedOut };
        self.happens(now + timeout.max(after) + secs(0.001), late);
    }

    /// Jobs of a router that arrived in a stretch of time, by how they ended: done, throttled, cancelled for good, open.
    pub fn job_outcomes(&self, router: usize, from: Moment, to: Moment) -> [usize; 4] {
        let mut tally = [0; 4];
        for job in self.hosts[router].jobs.iter().filter(|job| (from..to).contains(&job.arrived)) {
            let place = match job.answers.first() {
                Some((_, Answer::Done)) => 0,
                Some((_, Answer::Throttled)) => 1,
                Some((_, Answer::CancelledForGood)) => 2,
                None => 3,
            };
            tally[place] += 1;
        }
        tally
    }

    /// The mean time to the answer of a router's done jobs that arrived in a stretch, and the longest.
    pub fn answer_times(&self, router: usize, from: Moment, to: Moment) -> (Span, Span) {
        let done = self.hosts[router].jobs.iter().filter(|job| (from..to).contains(&job.arrived));
        let took: Vec<Span> = done
            .filter_map(|job| match job.answers.first() {
                Some((at, Answer::Done)) => Some(at.since(job.arrived)),
                _ => None,
            })
            .collect();
        let mean = took.iter().copied().sum::<Span>().mul_f64(1.0 / took.len().max(1) as f64);
        (mean, took.into_iter().max().unwrap_or_default())
    }

    /// Dispatches of a router to an engine in a stretch of time.
    pub fn dispatch_count(&self, engine: usize, router: usize, from: Moment, to: Moment) -> usize {
        let sends = self.engines[engine].dispatches.iter();
        sends.filter(|(at, by)| *by == router && (from..to).contains(at)).count()
    }

    /// The longest stretch within a time in which an engine got nothing at all.
    pub fn longest_idle(&self, engine: usize, from: Moment, to: Moment) -> Span {
        let sends =
            self.engines[engine].dispatches.iter().map(|(at, _)| *at).filter(|at| (from..to).contains(at));
        let edges: Vec<Moment> = std::iter::once(from).chain(sends).chain([to]).collect();
        edges.windows(2).map(|pair| pair[1].since(pair[0])).max().unwrap_or_default()
    }

    /// Which rules were broken: one answer each (of jobs whose time is up), no load twice, drains kept.
    pub fn violations(&self) -> Vec<String> {
        let mut broken = Vec::new();
        for (router, host) in self.hosts.iter().enumerate() {
            for (number, job) in host.jobs.iter().enumerate() {
                let due = self.now().since(job.arrived) > secs(4.1);
                if job.answers.len() > 1 || (due && job.answers.is_empty()) {
                    broken.push(format!("router {router}: job {number} has answers {:?}", job.answers));
                }
            }
        }
        for engine in &self.engines {
            for ((router, job), _) in engine.executions.iter().filter(|(_, count)| **count > 1) {
                if self.hosts[*router].jobs[*job].kind == LOAD_TYPE {
                    broken.push(format!("{}: load {job} of router {router} ran twice", engine.name));
                }
            }
            for (at, router) in &engine.dispatches {
                let told = engine.told.get(router);
                if told.is_some_and(|told| *at > *told + GRACE) {
                    broken.push(format!("{}: a send of router {router} after its drain", engine.name));
                }
            }
        }
        let everywhere = self.engines.iter().flat_map(|engine| engine.executions.keys());
        let mut runs: HashMap<(usize, usize), u32> = HashMap::new();
        everywhere.for_each(|key| *runs.entry(*key).or_default() += 1);
        for ((router, job), _) in runs.iter().filter(|(_, count)| **count > 1) {
            if self.hosts[*router].jobs[*job].kind == LOAD_TYPE {
                broken.push(format!("load {job} of router {router} ran at two engines"));
            }
        }
        broken
    }
}

fn settings(routers: usize, number: usize) -> Value {
    let nobody = std::net::SocketAddr::from(([127, 0, 0, 1], 1));
    let mut given: Value = serde_json::from_str(&router_config(&[], nobody, 1024)).unwrap();
    let mut settings = given["settings"].take();
    settings["replicasOfMe"] = routers.into();
    settings["myNumber"] = number.into();
    for class in settings["classes"].as_array_mut().unwrap() {
        class["deadlineUs"] = 4_000_000.into();
    }
    settings
}
