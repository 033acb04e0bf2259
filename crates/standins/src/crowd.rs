//! A few routers of the built program, told that they are some of very many, before thousands of engines that share one
//! listener, each at an address of its own. Callers at each router; the rules counted over all processes together.

use std::collections::BTreeSet;
use std::fs;
use std::net::{IpAddr, SocketAddr, TcpListener};
use std::ops::Range;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde_json::{Value, json};

use crate::LONG;
use crate::bulletin::{Events, member};
use crate::engines::{Says, Standin};
use crate::fleet::{Feed, GRACE, Runs, Seen, Tally, call_all, caller_of, feed, judge, promise};
use crate::processes::Process;
use crate::routers::told;

/// The first bytes of the engines' addresses; the last two tell which engine it is.
const NETWORK: [u8; 2] = [127, 200];
/// Zones to which engines are dealt in turn.
pub const ZONES: usize = 4;

pub struct Crowd {
    routers: Vec<Process>,
    feed: Feed,
    port: u16,
    _engines: Standin,
    /// Engines that cut every connection.
    dead: Arc<Mutex<BTreeSet<usize>>>,
    number: u64,
    seen: Arc<Mutex<Seen>>,
    over: Arc<AtomicBool>,
    callers: Vec<JoinHandle<()>>,
}

impl Crowd {
    /// Routers of such numbers among so many replicas, told of so many engines.
    pub fn start(program: &str, folder: &Path, numbers: &[usize], replicas: usize, engines: usize) -> Self {
        let (seen, dead): (Arc<Mutex<Seen>>, Arc<Mutex<BTreeSet<usize>>>) = (Arc::default(), Arc::default());
        let standin = engines_at_one_port(seen.clone(), dead.clone());
        let port = standin.address.port();
        let members: Vec<Value> = (0..engines).map(|engine| line(port, engine, "SERVING")).collect();
        let events = Events::default();
        events.add(1, members.clone());
        let feed = feed(events);
        let zones: Vec<String> = (0..ZONES).map(zone).collect();
        let routers = numbers.iter().map(|number| {
            let plain = told(&[], feed.standin.address, 2048);
            let mut given: Value = serde_json::from_str(&plain).expect("a configuration");
            given["known"]["items"][0]["roster"]["members"] = json!(members);
            promise(&mut given, replicas, *number, &zone(*number), &zones);
            Process::start(program, folder, &format!("n{number}"), &given.to_string())
        });
        let routers: Vec<Process> = routers.collect();
        routers.iter().for_each(Process::ready);
        let over: Arc<AtomicBool> = Arc::default();
        let callers = call_all(routers.len(), |router| routers[router].address, &seen, &over);
        Self { routers, feed, port, _engines: standin, dead, number: 1, seen, over, callers }
    }

    /// Tells all routers of engines in such a phase, in one event.
    pub fn list(&mut self, engines: impl IntoIterator<Item = usize>, phase: &str) {
        self.tell(engines.into_iter().collect(), phase, 0);
    }

    /// Tells all routers of engines that have just come up, cold.
    pub fn newcomers(&mut self, engines: Range<usize>) {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
        self.seen.lock().unwrap().cold.extend(engines.clone().map(|engine| (engine, Instant::now())));
        self.tell(engines.collect(), "SERVING", now);
    }

    fn tell(&mut self, engines: Vec<usize>, phase: &str, up_since: u64) {
        self.number += 1;
        let told = |engine: &usize| {
            let mut line = line(self.port, *engine, phase);
            line["up_since_ms"] = json!(up_since);
            line
        };
        self.feed.events.add(self.number, engines.iter().map(told).collect());
        let mut seen = self.seen.lock().unwrap();
        for engine in engines {
            match phase {
                "SERVING" => _ = seen.drained.remove(&engine),
                _ => _ = seen.drained.entry(engine).or_insert_with(Instant::now),
            }
        }
    }

    /// From now on engines cut every connection.
    pub fn dies(&self, engines: impl IntoIterator<Item = usize>) {
        self.dead.lock().unwrap().extend(engines);
    }

    /// The bulletin tells nothing while it is closed.
    pub fn bulletin(&self, open: bool) {
        self.feed.open.store(open, Ordering::Relaxed);
    }

    /// Routers killed all at once and started again from nothing, told the bulletin so far.
    pub fn kill(&mut self, routers: Range<usize>) {
        let known = self.feed.events.all();
        for (number, router) in self.routers.iter_mut().enumerate().filter(|(at, _)| routers.contains(at)) {
            router.kill();
            self.seen.lock().unwrap().killed.push((number, Instant::now()));
            router.tell(|given| given["known"] = known.clone());
        }
        let killed = &mut self.routers[routers];
        killed.iter_mut().for_each(Process::again);
        killed.iter().for_each(Process::ready);
    }

    /// The engines that a router has sent jobs to since a moment.
    pub fn used(&self, router: usize, since: Instant) -> BTreeSet<usize> {
        let routers = self.routers.len();
        let seen = self.seen.lock().unwrap();
        let later = seen.posts.iter().filter(|(_, _, at)| *at >= since);
        let own = later.filter(|(_, id, _)| caller_of(id).is_some_and(|caller| caller % routers == router));
        own.map(|(engine, ..)| *engine).collect()
    }

    /// Descriptors that a router has open.
    pub fn descriptors(&self, router: usize) -> usize {
        let id = self.routers[router].id().expect("it runs");
        fs::read_dir(format!("/proc/{id}/fd")).expect("a process").count()
    }

    /// The lines of a router's log with such an event, as fields.
    pub fn events(&self, router: usize, event: &str) -> Vec<Value> {
        let said = self.routers[router].said();
        let told = said.lines().filter_map(|line| serde_json::from_str::<Value>(line).ok());
        told.filter(|told| told["event"] == event).collect()
    }

    /// Waits until something holds that is to hold in the end.
    pub fn awaits(&self, what: &str, holds: impl Fn(&Self) -> bool) {
        let by = Instant::now() + LONG;
        while !holds(self) {
            assert!(Instant::now() < by, "{what} does not come");
            thread::sleep(Duration::from_millis(20));
        }
    }

    /// Waits until all routers have taken in what was listed last.
    pub fn awaits_list(&self, listed: usize) {
        let last = |router| self.events(router, "list_taken_in").last().map(|told| told["listed"].clone());
        let all = |crowd: &Self| (0..crowd.routers.len()).all(|router| last(router) == Some(json!(listed)));
        self.awaits("the list", all);
    }

    /// Lets time pass, until so long after the last notice to drain that its grace is over by as much again.
    pub fn settle(&self) {
        let last = self.seen.lock().unwrap().drained.values().max().copied();
        let until = last.map_or(Instant::now(), |last| last + Duration::from_millis(2 * GRACE));
        thread::sleep(until.saturating_duration_since(Instant::now()));
    }

    /// Waits until every router serves, then ends the callers and counts; the first broken rule, if any, in words.
    pub fn verdict(mut self) -> Result<Tally, String> {
        judge(&mut self.routers, &self.seen, &self.over, self.callers.drain(..))
    }
}

fn zone(number: usize) -> String {
    format!("z{}", number % ZONES)
}

fn line(port: u16, engine: usize, phase: &str) -> Value {
    let [high, low] = (engine as u16).to_be_bytes();
    let at = SocketAddr::from(([NETWORK[0], NETWORK[1], high, low], port));
    let mut member = member(&format!("s-{engine}"), at, phase);
    member["locality"] = json!(zone(engine));
    member
}

fn engines_at_one_port(seen: Arc<Mutex<Seen>>, dead: Arc<Mutex<BTreeSet<usize>>>) -> Standin {
    let mut runs = Runs::default();
    let listener = TcpListener::bind("0.0.0.0:0").expect("a port");
    Standin::on(listener, move |call| {
        let IpAddr::V4(at) = call.at else { return Says::Cut };
        let [.., high, low] = at.octets();
        let engine = usize::from(u16::from_be_bytes([high, low]));
        if dead.lock().unwrap().contains(&engine) {
            Says::Cut
        } else {
            runs.answer(call, engine, &seen, false)
        }
    })
}
