//! Lets the troubles of a plan happen, any number of them at once.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Barrier};
use std::thread;
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};

use super::{Fleet, parties};
use crate::log_reader::Reading;
use crate::relays::{Side, Way};
use crate::troubles::{DiscoveryMode, EngineMode, Order, Plan, TimedOrder, Trouble};

/// Tells the requests of clients that misbehave apart.
static RUDE: AtomicU64 = AtomicU64::new(1);

/// Tells clients that stay apart.
static STAYERS: AtomicU64 = AtomicU64::new(1);
/// Tells clients apart that leave their loads.
static LEAVERS: AtomicU64 = AtomicU64::new(LEAVERS_FROM);
/// Behind the numbers of all callers, with up to so many at each router.
const LEAVERS_FROM: u64 = 16;
/// Loads have begun by so long behind their requests.
const LOADS_BEGIN: Duration = Duration::from_millis(100);
/// Clients that use open connections until a router that was told to end has ended.
const STAYING: usize = 12;
/// A crowd has left by so long behind its time.
const CROWD_LEAVES: Duration = Duration::from_secs(1);
/// Between an engine's port that closes and the reset of what is up there.
const BEFORE_RESET: Duration = Duration::from_millis(60);
/// A program that was started is loaded after this.
const LOADED: Duration = Duration::from_millis(30);

/// A trouble begins, or is over.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Edge {
    Begins,
    Ends,
}

impl Fleet {
    /// Plays a plan; returns the kinds of troubles that could not happen.
    pub fn overlap(&mut self, plan: &Plan) -> BTreeSet<String> {
        let mut edges = Vec::new();
        for (place, timed) in plan.troubles.iter().enumerate() {
            edges.push((timed.at, Edge::Begins, place));
            if timed.trouble.span() > 0 {
                edges.push((timed.at + timed.trouble.span(), Edge::Ends, place));
            }
        }
        edges.sort_by_key(|(at, ..)| *at);
        let (start, mut left_out) = (Instant::now(), BTreeSet::new());
        // Troubles that go on, each with the routers whose processes it has: no other one stops, kills or ends these.
        let (mut going_on, mut busy): (BTreeMap<usize, Vec<usize>>, BTreeSet<usize>) = Default::default();
        for (at, edge, place) in edges {
            let due = start + Duration::from_millis(at);
            thread::sleep(due.saturating_duration_since(Instant::now()));
            let trouble = &plan.troubles[place].trouble;
            match edge {
                Edge::Begins => {
                    let wanted = processes_of(trouble);
                    let free: Vec<usize> =
                        wanted.iter().copied().filter(|router| !busy.contains(router)).collect();
                    if free.is_empty() != wanted.is_empty() || !self.begin(trouble, &free) {
                        left_out.insert(trouble.kind());
                        continue;
                    }
                    busy.extend(&free);
                    going_on.insert(place, free);
                }
                Edge::Ends => {
                    if let Some(free) = going_on.remove(&place) {
                        self.end(trouble, &free);
                        free.iter().for_each(|router| _ = busy.remove(router));
                    }
                }
            }
        }
        left_out
    }

    /// Whether it could begin.
    fn begin(&mut self, trouble: &Trouble, processes: &[usize]) -> bool {
        match trouble {
            Trouble::Stand { router, .. } => {
                self.seen.lock().unwrap().stood.push(*router);
                self.routers[*router].signal(Signal::STOP);
            }
            Trouble::Kill { router, .. } => self.down(*router),
            Trouble::Restart { router } => {
                self.seen.lock().unwrap().ended.push((*router, Instant::now()));
                self.routers[*router].signal(Signal::TERM);
            }
            Trouble::Reload { router, .. } if self.routers[*router].id().is_none() => return false,
            Trouble::Reload { router, times } => {
                (0..*times).for_each(|_| self.routers[*router].signal(Signal::HUP));
            }
            Trouble::Move => self.relocate(),
            Trouble::Discovery { mode, .. } => *self.discovery.lock().unwrap() = *mode,
            Trouble::Engine { engine, mode, .. } => *self.engines[*engine].mode.lock().unwrap() = *mode,
            Trouble::Replace { engines } => return self.replace_once(engines),
            Trouble::Calls { router, call, every, error, .. } => {
                let Some(preload) = self.preloads.get(router) else { return false };
                preload.fail(*call, *every, *error);
            }
            Trouble::Short { router, most, .. } => {
                let Some(preload) = self.preloads.get(router) else { return false };
                preload.shorten(*most);
            }
            Trouble::Clock { router, step, .. } => {
                let Some(preload) = self.preloads.get(router) else { return false };
                preload.step_clock(Duration::from_millis(step.unsigned_abs()), *step < 0);
            }
            Trouble::Herd { step, .. } => {
                for router in processes {
                    if let Some(preload) = self.preloads.get(router) {
                        preload.step_clock(Duration::from_millis(step.unsigned_abs()), *step < 0);
                    }
                    self.down(*router);
                }
            }
            Trouble::Cut { router, engine, .. } => {
                let (one, other) = (Side::party(&format!("n{router}")), Side::party(&format!("s-{engine}")));
                self.relays.lay([(one.clone(), other.clone(), Way::CUT), (other, one, Way::CUT)]);
            }
            Trouble::Reset { router } => {
                (0..self.engines.len()).for_each(|engine| {
                    let engine = Side::party(&format!("s-{engine}"));
                    self.relays.reset(&Side::party(&format!("n{router}")), &engine);
                });
            }
            Trouble::Rude { router, client, count } => {
                for _ in 0..*count {
                    let (client, at, seen) = (*client, self.routers[*router].address, self.seen.clone());
                    let number = RUDE.fetch_add(1, Ordering::Relaxed);
                    thread::spawn(move || parties::misbehave(client, at, number, &seen));
                }
            }
            Trouble::Stop { router, orders, .. } => return self.stop_in_series(*router, orders),
            Trouble::Crowd { router, count, span } => {
                let (at, count, span) = (self.routers[*router].address, *count, Duration::from_millis(*span));
                self.seen.lock().unwrap().crowded.insert(*router, Instant::now() + span + CROWD_LEAVES);
                thread::spawn(move || parties::crowd(at, count, span));
            }
            Trouble::Log { router, reading, .. } => return self.routers[*router].read_log(*reading),
            Trouble::Config { router, .. } if self.routers[*router].id().is_none() => return false,
            Trouble::Config { router, what, .. } => {
                self.routers[*router].hide_config(*what);
                self.routers[*router].signal(Signal::HUP);
            }
            Trouble::Drain { engine, resets, .. } => return self.drain(*engine, *resets),
        }
        true
    }

    fn end(&mut self, trouble: &Trouble, processes: &[usize]) {
        match trouble {
            Trouble::Stand { router, .. } => self.routers[*router].signal(Signal::CONT),
            Trouble::Kill { router, .. } => self.start_anew(*router),
            Trouble::Herd { .. } => {
                processes.iter().for_each(|router| self.again(*router));
                thread::sleep(LOADED);
            }
            Trouble::Restart { router } => {
                let status = self.routers[*router].ends();
                assert!(status.success(), "{} ended with {status}", self.routers[*router].name);
                self.start_anew(*router);
            }
            Trouble::Discovery { .. } => *self.discovery.lock().unwrap() = DiscoveryMode::Well,
            Trouble::Engine { engine, .. } => {
                *self.engines[*engine].mode.lock().unwrap() = EngineMode::Well;
            }
            Trouble::Calls { router, call, .. } => {
                self.preloads[router].fail(*call, 0, rustix::io::Errno::INTR);
            }
            Trouble::Short { router, .. } => self.preloads[router].shorten(0),
            Trouble::Clock { router, .. } => self.preloads[router].step_clock(Duration::ZERO, false),
            Trouble::Cut { .. } => self.relays.heal(),
            Trouble::Stop { router, .. } => self.kill_at_the_earliest(*router),
            Trouble::Log { router, .. } => _ = self.routers[*router].read_log(Reading::AtOnce),
            Trouble::Config { router, .. } => {
                self.routers[*router].show_config();
                if self.routers[*router].lives() {
                    self.routers[*router].signal(Signal::HUP);
                }
            }
            Trouble::Drain { engine, .. } => self.dies(*engine),
            _ => {}
        }
    }

    /// Clients begin to use open connections; then the signals come, the process's own end or not.
    fn stop_in_series(&mut self, router: usize, orders: &[TimedOrder]) -> bool {
        let Some(id) = self.routers[router].id() else { return false };
        let at = self.routers[router].address;
        let up = Arc::new(Barrier::new(STAYING + 1));
        for _ in 0..STAYING {
            let number = STAYERS.fetch_add(1, Ordering::Relaxed);
            let (seen, up) = (self.seen.clone(), up.clone());
            thread::spawn(move || parties::stay(router, at, number, &seen, &up));
        }
        up.wait();
        let (seen, orders) = (self.seen.clone(), orders.to_vec());
        thread::spawn(move || {
            let mut is_told = false;
            for (gap, order) in orders {
                thread::sleep(Duration::from_millis(gap));
                let signal = match order {
                    Order::Reload => Signal::HUP,
                    Order::Terminate => Signal::TERM,
                    Order::Interrupt => Signal::INT,
                };
                if signal != Signal::HUP && !is_told {
                    is_told = true;
                    seen.lock().unwrap().ended.push((router, Instant::now()));
                }
                // It is not waited for before the trouble's end, so its id stays its own.
                let _ = kill_process(Pid::from_raw(id as i32).expect("a process"), signal);
            }
        });
        true
    }

    /// The page's earliest kill; what is owed by then is lost. Most have ended by themselves.
    fn kill_at_the_earliest(&mut self, router: usize) {
        self.routers[router].kill();
        self.start_anew(router);
    }

    /// The engine is told to drain, takes no new connection and works on. Clients of all routers have begun loads that run for a while, some of
    /// them there, and leave behind that.
    fn drain(&mut self, engine: usize, resets: bool) -> bool {
        if self.seen.lock().unwrap().drained.contains_key(&engine) {
            return false;
        }
        for router in 0..self.routers.len() {
            let (at, seen) = (self.routers[router].address, self.seen.clone());
            let turn = LEAVERS.fetch_add(1, Ordering::Relaxed) as usize;
            let caller = router + self.routers.len() * turn;
            thread::spawn(move || parties::leave_a_load(at, caller, &seen));
        }
        self.add_cold(1);
        thread::sleep(LOADS_BEGIN);
        self.tell(&[engine], "DRAINING", 0);
        self.seen.lock().unwrap().drained.insert(engine, Instant::now());
        self.relays.refuse(&format!("s-{engine}"));
        if resets {
            thread::sleep(BEFORE_RESET);
            self.relays.reset(&Side::All, &Side::party(&format!("s-{engine}")));
        }
        true
    }

    /// A drained engine is told gone, and its process ends.
    fn dies(&mut self, engine: usize) {
        self.tell(&[engine], "DELETED", 0);
        self.engines[engine].engine.dies();
        self.seen.lock().unwrap().died.insert(engine, Instant::now());
    }

    /// Starts a process again. A signal that comes before the program's own first step ends any process: none is sent then.
    fn start_anew(&mut self, router: usize) {
        self.again(router);
        thread::sleep(LOADED);
    }

    /// Whether the engines are still there to be replaced.
    fn replace_once(&mut self, engines: &[usize]) -> bool {
        let gone = |engine: &usize| self.seen.lock().unwrap().drained.contains_key(engine);
        if engines.iter().any(gone) {
            return false;
        }
        self.replace(engines);
        true
    }
}

/// The routers whose processes are stopped, killed or ended by it.
fn processes_of(trouble: &Trouble) -> Vec<usize> {
    match trouble {
        Trouble::Stand { router, .. }
        | Trouble::Kill { router, .. }
        | Trouble::Restart { router }
        | Trouble::Stop { router, .. } => vec![*router],
        Trouble::Herd { routers, .. } => routers.clone(),
        _ => Vec::new(),
    }
}
