//! A fleet of router processes of the built program with stand-in engines and discovery. Callers send jobs to
//! each router while a schedule of faults runs; the rules are then checked over all processes together.

mod effects;
mod gossip;
mod overlap;
mod parties;
mod queries;
mod rule_checks;
mod stops;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use rustix::process::Signal;
use serde_json::{Value, json};

use self::gossip::{gossip_arguments, write_voter_set};
pub use self::overlap::PlanOutcome;
use self::parties::{Caller, FleetEngine, RouterDiscovery, engine_entry, start_discovery};
use self::rule_checks::Observations;
pub use self::rule_checks::Tally;
use crate::TEST_TIMEOUT;
use crate::discovery::DiscoveryEvents;
use crate::faults::{Fault, Schedule};
use crate::preload::Preload;
use crate::processes::RouterProcess;
use crate::relays::Relays;
use crate::routers::router_config;
use crate::troubles::{DiscoveryMode, EngineMode};

/// The stated work of each job, in milliseconds of one thread.
const JOB_COST_MS: u64 = 400;
/// How long a caller waits for an answer, as stated in its request.
const CLIENT_WAIT_MS: u32 = 5_000;
/// An answer that takes longer counts as missing: the caller's wait, and what a slow machine may add.
const ANSWER_LIMIT: Duration = Duration::from_secs(15);
/// Pause between an answer and the caller's next job in fleets of up to `ROUTERS_AT_BASE_PAUSE` routers; it
/// grows in proportion in larger fleets.
const CALLER_PAUSE: Duration = Duration::from_millis(30);
const ROUTERS_AT_BASE_PAUSE: usize = 10;
/// Callers at each router; each has one job at a time.
const CALLERS_PER_ROUTER: usize = 3;

/// Drain grace in the fleet's settings, in milliseconds.
pub const DRAIN_GRACE_MS: u64 = 4_000;
/// Window over which a cold engine's budget is counted (`fallUs`) in the fleet's settings, in milliseconds.
pub const COLD_BUDGET_WINDOW_MS: u64 = 2_000;
/// Required pause of an order key after a load that may still run, in milliseconds.
const TURN_GAP_MS: u64 = 300;
/// How long a voter's lease is valid, in milliseconds.
pub const LEASE_MS: u64 = 3_000;
/// Factor by which a cold engine's budget exceeds its capacity, in the fleet's settings.
const OVERLOAD_FACTOR: f64 = 2.0;
/// Share of its full capacity that a cold engine starts with, in the fleet's settings.
const START_CAPACITY: f64 = 0.3;
/// How long an engine counts as cold after its start, in the fleet's settings.
const COLD_PERIOD: Duration = Duration::from_secs(60);
/// Number of cores of an engine.
const ENGINE_CORES: f64 = 8.0;

/// The layout of a fleet. Routers and engines are assigned to the zones in turn; callers and discovery are in
/// their router's zone.
#[derive(Clone, Debug)]
pub struct Layout {
    pub routers: usize,
    pub engines: usize,
    /// Each zone with its region.
    pub zones: Vec<(String, String)>,
    /// Whether the routers gossip.
    pub gossip: bool,
    /// Number of voters: the first routers, which agree on what all routers follow.
    pub voters: usize,
    /// Whether loads keep their order; all loads of one router have one key.
    pub ordered: bool,
    /// Whether the routers' system calls can be made to fail and their wall clocks to step, if the machine
    /// has a compiler.
    pub failing_system_calls: bool,
    pub seed: u64,
}

impl Layout {
    /// A fleet in one zone, without gossip.
    pub fn single_zone(routers: usize, engines: usize) -> Self {
        let zones = vec![("a".into(), "r".into())];
        let (gossip, voters, ordered, failing_calls, seed) = (false, 0, false, false, 0);
        Self { routers, engines, zones, gossip, voters, ordered, failing_system_calls: failing_calls, seed }
    }

    /// A gossiping fleet in zones `z0`, `z1` and so on, two to each of the regions `r0`, `r1` and so on.
    pub fn with_zones(routers: usize, engines: usize, zones: usize, seed: u64) -> Self {
        let zones = (0..zones).map(|at| (format!("z{at}"), format!("r{}", at / 2))).collect();
        Self { zones, gossip: true, seed, ..Self::single_zone(routers, engines) }
    }

    pub fn zone_names(&self) -> Vec<String> {
        self.zones.iter().map(|(zone, _)| zone.clone()).collect()
    }

    fn zone(&self, number: usize) -> &(String, String) {
        &self.zones[number % self.zones.len()]
    }
}

/// A running fleet.
pub struct Fleet {
    layout: Layout,
    pub relays: Relays,
    routers: Vec<Mutex<RouterProcess>>,
    engines: Mutex<Vec<FleetEngine>>,
    /// The number of discovery's last event.
    last_event: Mutex<u64>,
    discoveries: Vec<Mutex<RouterDiscovery>>,
    /// Discovery servers from before a move, by router, for as long as the router can't read the new address.
    old_discoveries: Mutex<Vec<(usize, RouterDiscovery)>>,
    discovery_mode: Arc<Mutex<DiscoveryMode>>,
    /// Fault injection by router, for routers whose system calls can fail.
    preloads: BTreeMap<usize, Preload>,
    observations: Arc<Mutex<Observations>>,
    stopped: Arc<AtomicBool>,
    callers: Vec<JoinHandle<()>>,
}

impl Fleet {
    /// Starts a fleet of `program` with callers at each router; all files go to `folder`.
    pub fn start(program: &str, folder: &Path, layout: Layout) -> Self {
        let (observations, relays): (Arc<Mutex<Observations>>, Relays) =
            (Arc::default(), Relays::new(layout.seed));
        let add_party = |name: &str, number| {
            let (zone, region) = layout.zone(number);
            relays.add_party(name, zone, region);
        };
        for router in 0..layout.routers {
            ["n", "b", "c"].iter().for_each(|kind| add_party(&format!("{kind}{router}"), router));
        }
        (0..layout.engines).for_each(|engine| add_party(&format!("s-{engine}"), engine));
        let engines: Vec<FleetEngine> =
            (0..layout.engines).map(|at| parties::start_engine(at, observations.clone())).collect();
        {
            let mut observations = observations.lock().unwrap();
            (observations.ordered, observations.routers) = (layout.ordered, layout.routers);
        }
        let discovery_mode = Arc::new(Mutex::new(DiscoveryMode::Well));
        let mut preloads = BTreeMap::new();
        let gossip = if layout.gossip { gossip_arguments(&layout, folder, &relays) } else { Vec::new() };
        let (mut discoveries, mut routers) = (Vec::new(), Vec::new());
        for router in 0..layout.routers {
            let members: Vec<Value> = (0..layout.engines)
                .map(|at| engine_entry(&layout, &relays, router, at, &engines[at], "SERVING", 0))
                .collect();
            let events = DiscoveryEvents::default();
            events.add(1, members.clone());
            let router_discovery = start_discovery(events, discovery_mode.clone());
            let at = relays.relay_address(
                &format!("n{router}"),
                &format!("b{router}"),
                router_discovery.server.address,
            );
            let mut config: Value =
                serde_json::from_str(&router_config(&[], at, 512)).expect("a configuration");
            config["known"]["items"][0]["roster"]["members"] = json!(members);
            let settings = &mut config["settings"];
            (settings["replicasOfMe"], settings["myNumber"]) = (json!(layout.routers), json!(router));
            (settings["zone"], settings["zones"]) =
                (json!(layout.zone(router).0), json!(layout.zone_names()));
            let obligations = &mut settings["obligations"];
            (obligations["fallUs"], obligations["stopSendingWithinUs"]) =
                (json!(COLD_BUDGET_WINDOW_MS * 1000), json!(DRAIN_GRACE_MS * 1000));
            (obligations["overloadFactor"], obligations["startCapacity"]) =
                (json!(OVERLOAD_FACTOR), json!(START_CAPACITY));
            (obligations["coldUs"], config["limits"]["memory_mb"]) =
                (json!(COLD_PERIOD.as_micros() as u64), json!(32));
            if layout.ordered {
                config["settings"]["classes"][1]["keepOrder"] = json!(true);
                config["settings"]["obligations"]["turnGapUs"] = json!(TURN_GAP_MS * 1000);
            }
            let arguments = gossip.get(router).cloned().unwrap_or_default();
            let (name, config_text) = (format!("n{router}"), config.to_string());
            let preload = layout.failing_system_calls.then(|| Preload::build(folder, &name));
            routers.push(match preload {
                Some(Ok(preload)) => {
                    let process = RouterProcess::start_with_log_pipe(
                        Some(&preload),
                        program,
                        folder,
                        &name,
                        &config_text,
                    );
                    preloads.insert(router, preload);
                    process
                }
                Some(Err(error)) => {
                    eprintln!("{error}; troubles that make system calls fail are left out");
                    RouterProcess::start_with_log_pipe(None, program, folder, &name, &config_text)
                }
                None => RouterProcess::start_with_arguments(program, &arguments, folder, &name, &config_text),
            });
            discoveries.push(router_discovery);
        }
        routers.iter().for_each(RouterProcess::wait_until_ready);
        let stopped: Arc<AtomicBool> = Arc::default();
        let callers = (0..routers.len() * CALLERS_PER_ROUTER).map(|number| {
            let (router, observations, stopped) =
                (number % routers.len(), observations.clone(), stopped.clone());
            let pause = CALLER_PAUSE * routers.len().div_ceil(ROUTERS_AT_BASE_PAUSE) as u32;
            let (from, to) = (format!("c{router}"), format!("n{router}"));
            let at = relays.relay_address(&from, &to, routers[router].address);
            let caller = Caller { router, number, at, pause };
            thread::spawn(move || parties::run_caller(caller, &observations, &stopped))
        });
        let callers = callers.collect();
        Self {
            layout,
            relays,
            routers: routers.into_iter().map(Mutex::new).collect(),
            engines: Mutex::new(engines),
            last_event: Mutex::new(1),
            discoveries: discoveries.into_iter().map(Mutex::new).collect(),
            old_discoveries: Mutex::default(),
            discovery_mode,
            preloads,
            observations,
            stopped,
            callers,
        }
    }

    /// Runs the faults of a schedule one after another.
    pub fn run_schedule(&self, schedule: &Schedule) {
        for (fault, pause) in &schedule.faults {
            match fault {
                Fault::Kill(routers) => self.kill_and_restart(routers),
                Fault::Roll(routers) => routers.iter().for_each(|router| self.restart_gracefully(*router)),
                Fault::Pause(router, millis) => self.pause(&[*router], *millis),
                Fault::Move => self.move_discovery(),
                Fault::Replace(engines) => self.replace_engines(engines),
                Fault::Bad(engine) => {
                    *self.engines.lock().unwrap()[*engine].mode.lock().unwrap() = EngineMode::Fails;
                }
                Fault::Lay(ways, millis) => {
                    self.relays.set_conditions(ways.iter().cloned());
                    thread::sleep(Duration::from_millis(*millis));
                    self.relays.remove_all_conditions();
                }
                Fault::Reset(from, to) => _ = self.relays.reset(from, to),
                Fault::Halt(routers, millis) => self.pause(routers, *millis),
            }
            thread::sleep(Duration::from_millis(*pause));
        }
    }

    /// Suspends routers for this many milliseconds.
    fn pause(&self, routers: &[usize], millis: u64) {
        self.observations.lock().unwrap().suspended.extend(routers);
        routers.iter().for_each(|router| self.signal(*router, Signal::STOP));
        thread::sleep(Duration::from_millis(millis));
        routers.iter().for_each(|router| self.signal(*router, Signal::CONT));
    }

    /// Kills routers all at once and starts them again.
    pub fn kill_and_restart(&self, routers: &[usize]) {
        routers.iter().for_each(|router| self.kill_router(*router));
        routers.iter().for_each(|router| self.start_router(*router));
        routers.iter().for_each(|router| self.routers[*router].lock().unwrap().wait_until_ready());
    }

    fn restart_gracefully(&self, router: usize) {
        self.observations.lock().unwrap().terminated.push((router, Instant::now()));
        let mut process = self.routers[router].lock().unwrap();
        process.signal(Signal::TERM);
        let status = process.wait();
        assert!(status.success(), "{} ended with {status}", process.name);
        drop(process);
        self.start_router(router);
        self.routers[router].lock().unwrap().wait_until_ready();
    }

    /// Starts a router without state; its configuration holds discovery's events so far.
    pub fn start_router(&self, router: usize) {
        let known = self.discoveries[router].lock().unwrap().events.all();
        let mut process = self.routers[router].lock().unwrap();
        process.change_config(|config| config["known"] = known);
        process.start_again();
        drop(process);
        self.close_old_discoveries(router);
    }

    /// Moves every router's discovery. The old servers publish nothing more, except to a router that can't
    /// read the new address yet.
    fn move_discovery(&self) {
        for (number, (router, old)) in self.routers.iter().zip(&self.discoveries).enumerate() {
            let mut old = old.lock().unwrap();
            let new = start_discovery(old.events.clone(), self.discovery_mode.clone());
            let (from, to) = (format!("n{number}"), format!("b{number}"));
            let at = self.relays.relay_address(&from, &to, new.server.address);
            let old = std::mem::replace(&mut *old, new);
            let router = router.lock().unwrap();
            router.change_config(|config| config["bulletin"] = json!(at.to_string()));
            if router.is_config_hidden() {
                self.old_discoveries.lock().unwrap().push((number, old));
                continue;
            }
            if router.id().is_some() {
                router.signal(Signal::HUP);
            }
            old.open.store(false, Ordering::Relaxed);
        }
    }

    /// Closes the old discovery servers of a router that has read the new address.
    fn close_old_discoveries(&self, router: usize) {
        let mut old = self.old_discoveries.lock().unwrap();
        for (_, discovery) in old.extract_if(.., |(of, _)| *of == router) {
            discovery.open.store(false, Ordering::Relaxed);
        }
    }

    /// Adds cold engines and announces them as serving.
    fn add_cold_engines(&self, count: usize) {
        let mut engines = self.engines.lock().unwrap();
        let first = engines.len();
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
        for number in first..first + count {
            let (zone, region) = self.layout.zone(number);
            self.relays.add_party(&format!("s-{number}"), zone, region);
            engines.push(parties::start_engine(number, self.observations.clone()));
            self.observations.lock().unwrap().cold_since.insert(number, Instant::now());
        }
        drop(engines);
        let new: Vec<usize> = (first..first + count).collect();
        self.announce(&new, "SERVING", now);
    }

    /// Drains and deletes engines, and adds cold ones in their place.
    pub fn replace_engines(&self, engines: &[usize]) {
        self.add_cold_engines(engines.len());
        for phase in ["DRAINING", "DELETED"] {
            self.announce(engines, phase, 0);
            let mut observations = self.observations.lock().unwrap();
            engines.iter().for_each(|at| _ = observations.drained.entry(*at).or_insert_with(Instant::now));
        }
    }

    /// Announces engines with this phase to every router.
    fn announce(&self, engines: &[usize], phase: &str, up_since: u64) {
        let mut number = self.last_event.lock().unwrap();
        *number += 1;
        let engine_list = self.engines.lock().unwrap();
        for (router, discovery) in self.discoveries.iter().enumerate() {
            let (layout, relays) = (&self.layout, &self.relays);
            let entry =
                |at: &usize| engine_entry(layout, relays, router, *at, &engine_list[*at], phase, up_since);
            discovery.lock().unwrap().events.add(*number, engines.iter().map(entry).collect());
        }
    }

    /// Writes a voter set with a new epoch and makes one router read it.
    pub fn issue_voter_set(&self, folder: &Path, epoch: u64, router: usize) {
        write_voter_set(folder, epoch, self.layout.voters);
        self.signal(router, Signal::HUP);
    }

    /// Kills a router, which stays down until [`start_router`](Self::start_router).
    pub fn kill_router(&self, router: usize) {
        let mut process = self.routers[router].lock().unwrap();
        process.kill();
        self.observations.lock().unwrap().killed.push((router, Instant::now()));
    }

    pub fn signal(&self, router: usize, signal: Signal) {
        self.routers[router].lock().unwrap().signal(signal);
    }

    /// The whole log of a router, across restarts.
    pub fn router_log(&self, router: usize) -> String {
        self.routers[router].lock().unwrap().log_text()
    }

    fn address(&self, router: usize) -> SocketAddr {
        self.routers[router].lock().unwrap().address
    }

    fn engine_count(&self) -> usize {
        self.engines.lock().unwrap().len()
    }

    /// The lines of a router's log that report this event, parsed.
    pub fn log_events(&self, router: usize, event: &str) -> Vec<Value> {
        let log = self.router_log(router);
        let lines = log.lines().filter(|line| line.contains(event));
        lines
            .filter_map(|line| serde_json::from_str(line).ok())
            .filter(|fields: &Value| fields["event"] == event)
            .collect()
    }

    /// Waits until a condition holds; panics with the logs if it does not in time.
    pub fn wait_until(&self, condition: &str, mut holds: impl FnMut(&Self) -> bool) {
        let deadline = Instant::now() + TEST_TIMEOUT + TEST_TIMEOUT;
        while !holds(self) {
            assert!(
                Instant::now() < deadline,
                "{condition}: not reached in time\n{}",
                self.merged_logs().join("\n")
            );
            thread::sleep(Duration::from_millis(20));
        }
    }

    /// The lines of all routers' logs, sorted by time. Lines without a time stay behind the line before them.
    pub fn merged_logs(&self) -> Vec<String> {
        let time = |line: &str| {
            let fields: Option<Value> = serde_json::from_str(line).ok();
            fields.and_then(|fields| fields["at"].as_str().map(str::to_owned))
        };
        let mut lines: Vec<(Option<String>, String)> = Vec::new();
        for router in &self.routers {
            let (router, mut last) = (router.lock().unwrap(), None);
            for line in router.log_text().lines() {
                last = time(line).or(last);
                lines.push((last.clone(), format!("{} {line}", router.name)));
            }
        }
        lines.sort_by(|a, b| a.0.cmp(&b.0));
        lines.into_iter().map(|(_, line)| line).collect()
    }

    /// Waits until twice the drain grace has passed since the last drain was announced.
    pub fn wait_for_drains(&self) {
        let last = self.observations.lock().unwrap().drained.values().max().copied();
        let until = last.map_or(Instant::now(), |last| last + Duration::from_millis(2 * DRAIN_GRACE_MS));
        thread::sleep(until.saturating_duration_since(Instant::now()));
    }

    /// Waits until every router has done a job that was requested from now on, ends the callers and checks
    /// the rules. Returns a description of the first violated rule, if any.
    pub fn verdict(mut self) -> Result<Tally, String> {
        self.wait_for_service()?;
        self.stopped.store(true, Ordering::Relaxed);
        for caller in self.callers.drain(..) {
            caller.join().map_err(|_| "a caller received a malformed answer".to_owned())?;
        }
        for router in &self.routers {
            let router = router.lock().unwrap();
            if !router.is_running() {
                return Err(format!("{} ended unexpectedly", router.name));
            }
            if let Some(line) =
                router.log_text().lines().find(|line| line.contains("\"event\":\"violation\""))
            {
                return Err(format!("{}: {line}", router.name));
            }
        }
        let mut observations = self.observations.lock().unwrap();
        observations.had_relay_conditions = self.relays.ever_had_conditions();
        rule_checks::check_all_rules(&observations).map_err(|violation| {
            let lines = violation.jobs.iter().flat_map(|id| self.log_lines_of_job(id));
            let kills =
                format!("killed after the terminating signal: {:?}", observations.killed_after_termination);
            let stalls = format!("the relays stood: {:?}; now: {:?}", self.relays.stalls(), Instant::now());
            format!("{}\n{}\n{kills}\n{stalls}", violation.message, lines.collect::<Vec<_>>().join("\n"))
        })?;
        let done = observations.answers.iter().filter(|job| matches!(job.result, Ok(true))).count();
        let cold_engine_dispatches = observations
            .arrivals
            .iter()
            .filter(|arrival| observations.cold_since.contains_key(&arrival.engine))
            .count();
        Ok(Tally { recorded_jobs: observations.answers.len(), done, cold_engine_dispatches })
    }

    /// Waits until every router has done a job that was sent from now on.
    fn wait_for_service(&self) -> Result<(), String> {
        let (from, deadline) = (Instant::now(), Instant::now() + TEST_TIMEOUT);
        let serves = |observations: &Observations, router: usize| {
            observations
                .answers
                .iter()
                .any(|a| a.router == router && a.at >= from && matches!(a.result, Ok(true)))
        };
        for (router, process) in self.routers.iter().enumerate() {
            while !serves(&self.observations.lock().unwrap(), router) {
                if Instant::now() > deadline {
                    return Err(format!(
                        "{} did not serve a job after the schedule",
                        process.lock().unwrap().name
                    ));
                }
                thread::sleep(Duration::from_millis(10));
            }
        }
        Ok(())
    }

    /// The lines about a job in all logs.
    fn log_lines_of_job(&self, id: &str) -> Vec<String> {
        self.routers.iter().flat_map(|router| router.lock().unwrap().log_lines_of_job(id)).collect()
    }
}
