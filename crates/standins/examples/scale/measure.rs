//! Measures one point on loopback: real routers between lightweight clients, engines and discovery.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use woadhook_standins::lightweight::discovery::LightweightDiscovery;
use woadhook_standins::lightweight::engines::LightweightEngines;
use woadhook_standins::processes::RouterProcess;
use woadhook_standins::{DiscoveryEvents, router_config};

use crate::changes::{Changes, Told};
use crate::load::{Answers, AtRest, Load};
use crate::process;
use crate::setup::Setup;

const LOG_LEVEL: &str = "info";
/// Room for what a router holds for others.
const MEMORY_MB: u64 = 256;
/// Until what a start left behind is over.
const SETTLE: Duration = Duration::from_millis(1_500);
/// With the refresh, shorter than what a router lets a connection rest.
const REST: Duration = Duration::from_secs(3);
const WARM_UP: Duration = Duration::from_secs(1);
const LOADED: Duration = Duration::from_secs(4);
const FULL: Duration = Duration::from_secs(3);
/// Changes of the list, where their rate is not the axis, and the pause between two.
const FEW_CHANGES: usize = 5;
const BETWEEN_CHANGES: Duration = Duration::from_millis(200);
/// A change is in force everywhere by then, or never.
const IN_FORCE: Duration = Duration::from_secs(15);
const MICROS_IN_MILLI: f64 = 1_000.0;

/// A thing that is measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Measure {
    CpuPerJob,
    CpuAtRest,
    Memory,
    Descriptors,
    ControlSent,
    ControlReceived,
    InForce,
    P50,
    P99,
    Throughput,
}

impl Measure {
    pub fn name(self) -> &'static str {
        match self {
            Measure::CpuPerJob => "cpu_per_job",
            Measure::CpuAtRest => "cpu_at_rest",
            Measure::Memory => "memory",
            Measure::Descriptors => "descriptors",
            Measure::ControlSent => "control_sent",
            Measure::ControlReceived => "control_received",
            Measure::InForce => "in_force",
            Measure::P50 => "p50",
            Measure::P99 => "p99",
            Measure::Throughput => "throughput",
        }
    }

    pub fn unit(self) -> &'static str {
        match self {
            Measure::CpuPerJob => "us",
            Measure::CpuAtRest => "us a second",
            Measure::Memory => "KB",
            Measure::Descriptors => "count",
            Measure::ControlSent | Measure::ControlReceived => "bytes a second",
            Measure::InForce | Measure::P50 | Measure::P99 => "ms",
            Measure::Throughput => "jobs a second",
        }
    }
}

pub type Measured = BTreeMap<Measure, f64>;

/// The parties of one point.
struct Site<'a> {
    setup: &'a Setup,
    engines: &'a LightweightEngines,
    feeds: Vec<LightweightDiscovery>,
    routers: Vec<RouterProcess>,
    /// By router.
    at_rest: Vec<AtRest>,
    changes: Changes<'a>,
    seed: u64,
}

/// Sums over all routers up to some moment.
struct Reading {
    at: Instant,
    cpu_us: f64,
    sent: f64,
    received: f64,
}

/// Measures one point. A note on what went wrong with jobs goes to the standard error.
pub fn measure(
    setup: &Setup, engines: &LightweightEngines, program: &Path, folder: &Path, seed: u64,
) -> io::Result<Measured> {
    let mut site = Site::start(setup, engines, program, folder, seed);
    site.open_clients()?;
    let mut measured = Measured::new();
    if setup.rests {
        site.rest(&mut measured)?;
    }
    site.loaded(&mut measured)?;
    if setup.full {
        let full = site.load(None, FULL, 2).run(&site.addresses());
        note_failures(&full);
        measured.insert(Measure::Throughput, throughput(&full));
    }
    Ok(measured)
}

impl<'a> Site<'a> {
    fn start(
        setup: &'a Setup, engines: &'a LightweightEngines, program: &Path, folder: &Path, seed: u64,
    ) -> Self {
        engines.set_reported_load(setup.busy);
        let events = DiscoveryEvents::default();
        let feeds: Vec<_> = (0..setup.routers).map(|_| LightweightDiscovery::start(events.clone())).collect();
        let listed: Vec<SocketAddr> = (0..setup.engines).map(|engine| engines.address(engine)).collect();
        let program = program.to_string_lossy();
        let start = |(number, feed): (usize, &LightweightDiscovery)| {
            let given = configuration(setup, &listed, number, feed.address, seed);
            RouterProcess::start_with_log_level(
                LOG_LEVEL,
                &program,
                &[],
                folder,
                &format!("n{number}"),
                &given,
            )
        };
        let routers: Vec<RouterProcess> = feeds.iter().enumerate().map(start).collect();
        routers.iter().for_each(RouterProcess::wait_until_ready);
        let changes = Changes::new(events, engines, setup.engines);
        Self { setup, engines, feeds, routers, at_rest: Vec::new(), changes, seed }
    }

    fn open_clients(&mut self) -> io::Result<()> {
        let count = self.setup.clients_at_rest;
        let open = |router| AtRest::open(router, count);
        self.at_rest = self.addresses().into_iter().map(open).collect::<io::Result<_>>()?;
        Ok(())
    }

    /// To be called right before what is measured.
    fn refresh(&mut self) -> io::Result<()> {
        self.at_rest.iter_mut().try_for_each(AtRest::refresh)
    }

    /// To be called right after it.
    fn note_closed(&self) {
        let closed: usize = self.at_rest.iter().map(AtRest::closed).sum();
        if closed > 0 {
            eprintln!("note: {closed} connections at rest were closed");
        }
    }

    fn addresses(&self) -> Vec<SocketAddr> {
        self.routers.iter().map(|router| router.address).collect()
    }

    fn load(&self, jobs_per_s: Option<usize>, span: Duration, phase: u64) -> Load {
        let connections = self.setup.clients_asking;
        Load { jobs_per_s, connections, span, seed: self.seed.wrapping_mul(4).wrapping_add(phase) }
    }

    /// No jobs: what a router takes, and how long a change takes to be in force.
    fn rest(&mut self, measured: &mut Measured) -> io::Result<()> {
        thread::sleep(SETTLE);
        self.refresh()?;
        measured.insert(Measure::Memory, self.mean(process::memory_kb)?);
        measured.insert(Measure::Descriptors, self.mean(process::descriptors)?);
        let before = self.reading()?;
        let told = self.beside_changes(|| thread::sleep(REST)).1;
        let after = self.reading()?;
        self.note_closed();
        measured.insert(Measure::CpuAtRest, self.rate(before.cpu_us, after.cpu_us, &before, &after));
        self.refresh()?;
        let told = if told.is_empty() { self.few_changes() } else { told };
        measured.insert(Measure::InForce, self.in_force(&told)?);
        Ok(())
    }

    /// Jobs at the point's rate.
    fn loaded(&mut self, measured: &mut Measured) -> io::Result<()> {
        let (routers, rate) = (self.addresses(), self.setup.jobs_per_s);
        note_failures(&self.load(Some(rate), WARM_UP, 0).run(&routers));
        let load = self.load(Some(rate), LOADED, 1);
        self.refresh()?;
        let before = self.reading()?;
        let (answers, _) = self.beside_changes(|| load.run(&routers));
        let after = self.reading()?;
        self.note_closed();
        note_failures(&answers);
        let at = |quantile| answers.latencies.value_at_quantile(quantile) as f64 / MICROS_IN_MILLI;
        let jobs = answers.served.max(1) as f64;
        measured.insert(Measure::CpuPerJob, (after.cpu_us - before.cpu_us) / jobs);
        measured.insert(Measure::P50, at(0.5));
        measured.insert(Measure::P99, at(0.99));
        measured.insert(Measure::Throughput, throughput(&answers) / self.setup.routers as f64);
        measured.insert(Measure::ControlSent, self.rate(before.sent, after.sent, &before, &after));
        let received = self.rate(before.received, after.received, &before, &after);
        measured.insert(Measure::ControlReceived, received);
        Ok(())
    }

    /// Does something while the list changes at the point's rate.
    fn beside_changes<T>(&mut self, act: impl FnOnce() -> T) -> (T, Vec<Told>) {
        let (per_s, changes) = (self.setup.changes_per_s, &mut self.changes);
        let (end, over) = mpsc::channel::<()>();
        thread::scope(|scope| {
            let changing = scope.spawn(move || changes.keep_on(per_s, &over));
            let done = act();
            drop(end);
            (done, changing.join().expect("changes"))
        })
    }

    fn few_changes(&mut self) -> Vec<Told> {
        let tell = |_| {
            thread::sleep(BETWEEN_CHANGES);
            self.changes.tell()
        };
        (0..FEW_CHANGES).map(tell).collect()
    }

    /// The median over changes, in milliseconds, until the last router had taken one in.
    fn in_force(&self, told: &[Told]) -> io::Result<f64> {
        let mut spans = told.iter().map(|told| self.one_in_force(*told)).collect::<io::Result<Vec<_>>>()?;
        spans.sort_by(f64::total_cmp);
        Ok(spans[spans.len() / 2])
    }

    fn one_in_force(&self, (event, at): Told) -> io::Result<f64> {
        let everywhere = || self.feeds.iter().map(|feed| feed.applied_at(event)).collect::<Option<Vec<_>>>();
        loop {
            if let Some(last) = everywhere().and_then(|moments| moments.into_iter().max()) {
                return Ok(last.saturating_duration_since(at).as_secs_f64() * MICROS_IN_MILLI);
            }
            if at.elapsed() > IN_FORCE {
                return Err(io::Error::other(format!("change {event} is not in force after {IN_FORCE:?}")));
            }
            thread::sleep(Duration::from_millis(1));
        }
    }

    /// The mean over routers.
    fn mean(&self, read: fn(u32) -> io::Result<f64>) -> io::Result<f64> {
        Ok(self.sum(read)? / self.routers.len() as f64)
    }

    fn sum(&self, read: fn(u32) -> io::Result<f64>) -> io::Result<f64> {
        self.routers.iter().map(|router| read(router.id().expect("it runs"))).sum()
    }

    fn reading(&self) -> io::Result<Reading> {
        let probes = self.engines.total_counts();
        let traffic: Vec<(u64, u64)> = self.feeds.iter().map(LightweightDiscovery::traffic).collect();
        let sent = probes.probe_bytes + traffic.iter().map(|(received, _)| received).sum::<u64>();
        let received = probes.report_bytes + traffic.iter().map(|(_, sent)| sent).sum::<u64>();
        let cpu_us = self.sum(process::cpu_us)?;
        Ok(Reading { at: Instant::now(), cpu_us, sent: sent as f64, received: received as f64 })
    }

    /// A second and router.
    fn rate(&self, from: f64, to: f64, before: &Reading, after: &Reading) -> f64 {
        let span = after.at.duration_since(before.at).as_secs_f64();
        (to - from) / span / self.routers.len() as f64
    }
}

/// What one router is told.
fn configuration(
    setup: &Setup, engines: &[SocketAddr], number: usize, discovery: SocketAddr, seed: u64,
) -> String {
    let text = router_config(engines, discovery, setup.descriptors);
    let mut given: Value = serde_json::from_str(&text).expect("a configuration");
    given["seed"] = json!(format!("{:016x}", seed.wrapping_add(number as u64)));
    given["limits"]["memory_mb"] = json!(MEMORY_MB);
    let settings = &mut given["settings"];
    (settings["replicasOfMe"], settings["myNumber"]) = (json!(setup.replicas), json!(number));
    given.to_string()
}

fn throughput(answers: &Answers) -> f64 {
    answers.served as f64 / answers.took.as_secs_f64()
}

fn note_failures(answers: &Answers) {
    let Answers { served, refused, lost, .. } = answers;
    if refused + lost > 0 {
        eprintln!("note: {refused} jobs were refused and {lost} lost beside {served} that were served");
    }
}
