//! Measures one point on loopback: real routers between clients, lightweight engines and discovery servers.

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

use crate::changes::{ChangePublisher, PublishedEvent};
use crate::load::{IdleClients, JobTraffic, TrafficResult};
use crate::process;
use crate::setup::Setup;

const LOG_LEVEL: &str = "info";
/// The memory limit in a router's settings.
const MEMORY_MB: u64 = 256;
/// The wait after the routers' start, in which the work that follows a start ends.
const SETTLE_SPAN: Duration = Duration::from_millis(1_500);
/// The length of the measurement without jobs. Together with the refresh before it, it is shorter than the
/// 5 s after which a router closes an idle connection.
const IDLE_SPAN: Duration = Duration::from_secs(3);
const WARM_UP_SPAN: Duration = Duration::from_secs(1);
const LOADED_SPAN: Duration = Duration::from_secs(4);
const MAX_THROUGHPUT_SPAN: Duration = Duration::from_secs(3);
/// The number of changes of the list that are published when their rate is 0, and the pause before each.
const FEW_CHANGES: usize = 5;
const CHANGE_INTERVAL: Duration = Duration::from_millis(200);
/// A change that is not in force at all routers after this time is an error.
const MAX_APPLY_TIME: Duration = Duration::from_secs(15);
const MICROS_IN_MILLI: f64 = 1_000.0;

/// A measured quantity.
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

pub type Measurements = BTreeMap<Measure, f64>;

/// The routers, engines, discovery servers and clients of one point.
struct Testbed<'a> {
    setup: &'a Setup,
    engines: &'a LightweightEngines,
    discoveries: Vec<LightweightDiscovery>,
    routers: Vec<RouterProcess>,
    /// Idle clients by router.
    idle_clients: Vec<IdleClients>,
    changes: ChangePublisher<'a>,
    seed: u64,
}

/// Sums over all routers from their start to `at`: processor time, and control bytes sent and received.
struct Sample {
    at: Instant,
    cpu_us: f64,
    sent: f64,
    received: f64,
}

/// Measures one point. Failed jobs and closed connections are reported on standard error.
pub fn measure(
    setup: &Setup, engines: &LightweightEngines, program: &Path, folder: &Path, seed: u64,
) -> io::Result<Measurements> {
    let mut testbed = Testbed::start(setup, engines, program, folder, seed);
    testbed.open_clients()?;
    let mut measurements = Measurements::new();
    if setup.measures_idle {
        testbed.measure_idle(&mut measurements)?;
    }
    testbed.measure_loaded(&mut measurements)?;
    if setup.measures_max_throughput {
        let saturated = testbed.job_traffic(None, MAX_THROUGHPUT_SPAN, 2).run(&testbed.addresses());
        report_failures(&saturated);
        measurements.insert(Measure::Throughput, throughput(&saturated));
    }
    Ok(measurements)
}

impl<'a> Testbed<'a> {
    fn start(
        setup: &'a Setup, engines: &'a LightweightEngines, program: &Path, folder: &Path, seed: u64,
    ) -> Self {
        engines.set_reported_load(setup.reported_cpu_share);
        let events = DiscoveryEvents::default();
        let discoveries: Vec<_> =
            (0..setup.routers).map(|_| LightweightDiscovery::start(events.clone())).collect();
        let listed: Vec<SocketAddr> = (0..setup.engines).map(|engine| engines.address(engine)).collect();
        let program = program.to_string_lossy();
        let start = |(number, discovery_server): (usize, &LightweightDiscovery)| {
            let config = router_configuration(setup, &listed, number, discovery_server.address, seed);
            RouterProcess::start_with_log_level(
                LOG_LEVEL,
                &program,
                &[],
                folder,
                &format!("n{number}"),
                &config,
            )
        };
        let routers: Vec<RouterProcess> = discoveries.iter().enumerate().map(start).collect();
        routers.iter().for_each(RouterProcess::wait_until_ready);
        let changes = ChangePublisher::new(events, engines, setup.engines);
        Self { setup, engines, discoveries, routers, idle_clients: Vec::new(), changes, seed }
    }

    fn open_clients(&mut self) -> io::Result<()> {
        let count = self.setup.idle_clients;
        let open = |router| IdleClients::open(router, count);
        self.idle_clients = self.addresses().into_iter().map(open).collect::<io::Result<_>>()?;
        Ok(())
    }

    /// Pings all idle connections. It is called right before a measurement.
    fn refresh(&mut self) -> io::Result<()> {
        self.idle_clients.iter_mut().try_for_each(IdleClients::refresh)
    }

    /// Prints how many idle connections were closed. It is called right after a measurement.
    fn report_closed(&self) {
        let closed_count: usize = self.idle_clients.iter().map(IdleClients::closed_count).sum();
        if closed_count > 0 {
            eprintln!("note: {closed_count} connections at rest were closed");
        }
    }

    fn addresses(&self) -> Vec<SocketAddr> {
        self.routers.iter().map(|router| router.address).collect()
    }

    /// The jobs of one phase of the point; `phase` makes their random draws and ids differ from those of the
    /// other phases.
    fn job_traffic(&self, jobs_per_s: Option<usize>, span: Duration, phase: u64) -> JobTraffic {
        let connections = self.setup.active_clients;
        JobTraffic { jobs_per_s, connections, span, seed: self.seed.wrapping_mul(4).wrapping_add(phase) }
    }

    /// Measures without jobs: the resources that a router uses, and the time until a change of the list is in
    /// force.
    fn measure_idle(&mut self, measurements: &mut Measurements) -> io::Result<()> {
        thread::sleep(SETTLE_SPAN);
        self.refresh()?;
        measurements.insert(Measure::Memory, self.mean(process::memory_kb)?);
        measurements.insert(Measure::Descriptors, self.mean(process::descriptors)?);
        let before = self.sample()?;
        let published = self.with_list_changes(|| thread::sleep(IDLE_SPAN)).1;
        let after = self.sample()?;
        self.report_closed();
        measurements.insert(Measure::CpuAtRest, self.rate(before.cpu_us, after.cpu_us, &before, &after));
        self.refresh()?;
        let published = if published.is_empty() { self.publish_few_changes() } else { published };
        measurements.insert(Measure::InForce, self.median_apply_time(&published)?);
        Ok(())
    }

    /// Measures while clients send jobs at the point's rate.
    fn measure_loaded(&mut self, measurements: &mut Measurements) -> io::Result<()> {
        let (routers, rate) = (self.addresses(), self.setup.jobs_per_s);
        report_failures(&self.job_traffic(Some(rate), WARM_UP_SPAN, 0).run(&routers));
        let traffic = self.job_traffic(Some(rate), LOADED_SPAN, 1);
        self.refresh()?;
        let before = self.sample()?;
        let (result, _) = self.with_list_changes(|| traffic.run(&routers));
        let after = self.sample()?;
        self.report_closed();
        report_failures(&result);
        let at = |quantile| result.latencies.value_at_quantile(quantile) as f64 / MICROS_IN_MILLI;
        let jobs = result.done.max(1) as f64;
        measurements.insert(Measure::CpuPerJob, (after.cpu_us - before.cpu_us) / jobs);
        measurements.insert(Measure::P50, at(0.5));
        measurements.insert(Measure::P99, at(0.99));
        measurements.insert(Measure::Throughput, throughput(&result) / self.setup.routers as f64);
        measurements.insert(Measure::ControlSent, self.rate(before.sent, after.sent, &before, &after));
        let received = self.rate(before.received, after.received, &before, &after);
        measurements.insert(Measure::ControlReceived, received);
        Ok(())
    }

    /// Runs `work` while the list changes at the point's rate. Returns its result and the published changes.
    fn with_list_changes<T>(&mut self, work: impl FnOnce() -> T) -> (T, Vec<PublishedEvent>) {
        let (per_s, changes) = (self.setup.changes_per_s, &mut self.changes);
        let (stop, stop_receiver) = mpsc::channel::<()>();
        thread::scope(|scope| {
            let changing = scope.spawn(move || changes.publish_at_rate(per_s, &stop_receiver));
            let done = work();
            drop(stop);
            (done, changing.join().expect("changes"))
        })
    }

    fn publish_few_changes(&mut self) -> Vec<PublishedEvent> {
        let publish = |_| {
            thread::sleep(CHANGE_INTERVAL);
            self.changes.publish()
        };
        (0..FEW_CHANGES).map(publish).collect()
    }

    /// The median over changes of the time until the last router has applied the change, in milliseconds.
    fn median_apply_time(&self, published: &[PublishedEvent]) -> io::Result<f64> {
        let mut spans =
            published.iter().map(|published| self.apply_time(*published)).collect::<io::Result<Vec<_>>>()?;
        spans.sort_by(f64::total_cmp);
        Ok(spans[spans.len() / 2])
    }

    /// The time from the publication of a change until the last router has applied it, in milliseconds.
    fn apply_time(&self, (event, at): PublishedEvent) -> io::Result<f64> {
        let apply_moments = || {
            self.discoveries
                .iter()
                .map(|discovery_server| discovery_server.applied_at(event))
                .collect::<Option<Vec<_>>>()
        };
        loop {
            if let Some(last) = apply_moments().and_then(|moments| moments.into_iter().max()) {
                return Ok(last.saturating_duration_since(at).as_secs_f64() * MICROS_IN_MILLI);
            }
            if at.elapsed() > MAX_APPLY_TIME {
                return Err(io::Error::other(format!(
                    "change {event} is not in force after {MAX_APPLY_TIME:?}"
                )));
            }
            thread::sleep(Duration::from_millis(1));
        }
    }

    /// The mean of a figure of the process over all routers.
    fn mean(&self, read: fn(u32) -> io::Result<f64>) -> io::Result<f64> {
        Ok(self.sum(read)? / self.routers.len() as f64)
    }

    fn sum(&self, read: fn(u32) -> io::Result<f64>) -> io::Result<f64> {
        self.routers.iter().map(|router| read(router.id().expect("it runs"))).sum()
    }

    fn sample(&self) -> io::Result<Sample> {
        let probes = self.engines.total_counts();
        let traffic: Vec<(u64, u64)> = self.discoveries.iter().map(LightweightDiscovery::traffic).collect();
        let sent = probes.probe_bytes + traffic.iter().map(|(received, _)| received).sum::<u64>();
        let received = probes.report_bytes + traffic.iter().map(|(_, sent)| sent).sum::<u64>();
        let cpu_us = self.sum(process::cpu_us)?;
        Ok(Sample { at: Instant::now(), cpu_us, sent: sent as f64, received: received as f64 })
    }

    /// The increase per second and router.
    fn rate(&self, from: f64, to: f64, before: &Sample, after: &Sample) -> f64 {
        let span = after.at.duration_since(before.at).as_secs_f64();
        (to - from) / span / self.routers.len() as f64
    }
}

/// The configuration of one router.
fn router_configuration(
    setup: &Setup, engines: &[SocketAddr], number: usize, discovery: SocketAddr, seed: u64,
) -> String {
    let text = router_config(engines, discovery, setup.descriptors);
    let mut config: Value = serde_json::from_str(&text).expect("a configuration");
    config["seed"] = json!(format!("{:016x}", seed.wrapping_add(number as u64)));
    config["limits"]["memory_mb"] = json!(MEMORY_MB);
    let settings = &mut config["settings"];
    (settings["replicasOfMe"], settings["myNumber"]) = (json!(setup.replicas), json!(number));
    config.to_string()
}

fn throughput(result: &TrafficResult) -> f64 {
    result.done as f64 / result.duration.as_secs_f64()
}

fn report_failures(result: &TrafficResult) {
    let TrafficResult { done, failed, lost, .. } = result;
    if failed + lost > 0 {
        eprintln!("note: {failed} jobs were refused and {lost} lost beside {done} that were served");
    }
}
