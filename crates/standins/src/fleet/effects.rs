//! What each trouble does to a fleet as it begins, and as it ends.

use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use rustix::process::Signal;

use super::overlap::Starter;
use super::{Fleet, parties};
use crate::TEST_TIMEOUT;
use crate::log_reader::Reading;
use crate::relays::{EndpointSet, Way};
use crate::troubles::{BEFORE_RESET, DiscoveryMode, EngineMode, LOADS_BEGIN, Trouble};

/// Tells the requests of clients that misbehave apart.
static RUDE: AtomicU64 = AtomicU64::new(1);
/// Tells clients apart that leave their loads.
static LEAVERS: AtomicU64 = AtomicU64::new(parties::LEAVERS_FROM);
/// A crowd has left by so long behind its time.
const CROWD_LEAVES: Duration = Duration::from_secs(1);
/// Between looks whether a process has ended.
const LOOK: Duration = Duration::from_millis(5);

impl Fleet {
    /// Whether it could begin.
    pub(super) fn begin(&self, trouble: &Trouble, processes: &[usize]) -> bool {
        match trouble {
            Trouble::Stand { router, .. } => {
                self.seen.lock().unwrap().stood.push(*router);
                self.signal(*router, Signal::STOP);
            }
            Trouble::Kill { router, .. } => self.kill_router(*router),
            Trouble::Restart { router } => {
                self.seen.lock().unwrap().ended.push((*router, Instant::now()));
                self.signal(*router, Signal::TERM);
            }
            Trouble::Reload { router, times } => return self.reload(*router, *times),
            Trouble::Move => self.relocate(),
            Trouble::Discovery { mode, .. } => *self.discovery.lock().unwrap() = *mode,
            Trouble::Engine { engine, mode, .. } => self.set_mode(*engine, *mode),
            Trouble::Replace { engines } => self.replace_engines(engines),
            Trouble::Calls { router, call, every, error, .. } => {
                let Some(preload) = self.preloads.get(router) else { return false };
                preload.fail(*call, *every, *error);
            }
            Trouble::Short { router, most, .. } => {
                let Some(preload) = self.preloads.get(router) else { return false };
                preload.limit_transfers(*most);
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
                    self.kill_router(*router);
                }
            }
            Trouble::Cut { router, engine, .. } => self.relays.set_ways(cut(*router, *engine)),
            Trouble::Reset { router } => {
                (0..self.engine_count()).for_each(|engine| {
                    let engine = EndpointSet::party(&format!("s-{engine}"));
                    self.relays.reset(&EndpointSet::party(&format!("n{router}")), &engine);
                });
            }
            Trouble::Rude { router, client, count } => {
                let at = self.address(*router);
                for _ in 0..*count {
                    let (client, seen) = (*client, self.seen.clone());
                    let number = RUDE.fetch_add(1, Ordering::Relaxed);
                    thread::spawn(move || parties::misbehave(client, at, number, &seen));
                }
            }
            Trouble::Crowd { router, count, span } => {
                let (at, count, span) = (self.address(*router), *count, Duration::from_millis(*span));
                self.seen.lock().unwrap().crowded.insert(*router, Instant::now() + span + CROWD_LEAVES);
                thread::spawn(move || parties::crowd(at, count, span));
            }
            Trouble::Log { router, reading, .. } => {
                return self.routers[*router].lock().unwrap().read_log(*reading);
            }
            Trouble::Config { router, what, .. } => {
                let process = self.routers[*router].lock().unwrap();
                if process.id().is_none() {
                    return false;
                }
                process.hide_config(*what);
                process.signal(Signal::HUP);
            }
            Trouble::Drain { engine, resets, .. } => {
                self.begin_to_drain(*engine);
                self.refuse(*engine, *resets);
            }
            Trouble::TakenPort { engine, by, .. } => {
                self.begin_to_drain(*engine);
                let target = self.engines.lock().unwrap()[*by].engine.address;
                self.relays.redirect(&format!("s-{engine}"), target);
            }
            Trouble::LeaveLoads => self.leave_loads(),
            Trouble::Stop { .. } => unreachable!("played on its own"),
        }
        true
    }

    pub(super) fn end(&self, trouble: &Trouble, processes: &[usize], starter: &Starter) {
        match trouble {
            Trouble::Stand { router, .. } => self.signal(*router, Signal::CONT),
            Trouble::Kill { router, .. } => starter.again(*router),
            Trouble::Herd { .. } => processes.iter().for_each(|router| starter.again(*router)),
            Trouble::Restart { router } => {
                self.await_end(*router);
                starter.again(*router);
            }
            Trouble::Discovery { .. } => *self.discovery.lock().unwrap() = DiscoveryMode::Well,
            Trouble::Engine { engine, .. } => self.set_mode(*engine, EngineMode::Well),
            Trouble::Calls { router, call, .. } => {
                self.preloads[router].fail(*call, 0, rustix::io::Errno::INTR);
            }
            Trouble::Short { router, .. } => self.preloads[router].limit_transfers(0),
            Trouble::Clock { router, .. } => self.preloads[router].step_clock(Duration::ZERO, false),
            Trouble::Cut { router, engine, .. } => self.relays.remove_ways(cut(*router, *engine)),
            Trouble::Log { router, .. } => {
                self.routers[*router].lock().unwrap().read_log(Reading::AtOnce);
            }
            Trouble::Config { router, .. } => self.show_config(*router),
            Trouble::Drain { engine, .. } | Trouble::TakenPort { engine, .. } => self.dies(*engine),
            _ => {}
        }
    }

    fn reload(&self, router: usize, times: usize) -> bool {
        let process = self.routers[router].lock().unwrap();
        let runs = process.id().is_some();
        if runs {
            (0..times).for_each(|_| process.signal(Signal::HUP));
        }
        runs
    }

    fn show_config(&self, router: usize) {
        let process = self.routers[router].lock().unwrap();
        process.restore_config();
        if process.is_running() {
            process.signal(Signal::HUP);
        }
        drop(process);
        self.close_left_feeds(router);
    }

    /// Waits for the end of a router that was told to end; others may signal it meanwhile.
    fn await_end(&self, router: usize) {
        let by = Instant::now() + TEST_TIMEOUT;
        loop {
            let mut process = self.routers[router].lock().unwrap();
            if let Some(status) = process.try_wait() {
                assert!(status.success(), "{} ended with {status}", process.name);
                return;
            }
            assert!(Instant::now() < by, "{} did not end", process.name);
            drop(process);
            thread::sleep(LOOK);
        }
    }

    /// Clients of all routers begin loads that run for a while, and leave soon.
    fn leave_loads(&self) {
        for router in 0..self.routers.len() {
            let (at, seen) = (self.address(router), self.seen.clone());
            let turn = LEAVERS.fetch_add(1, Ordering::Relaxed) as usize;
            let caller = router + self.routers.len() * turn;
            thread::spawn(move || parties::leave_a_load(at, caller, &seen));
        }
    }

    /// The engine is told to drain and works on. Clients of all routers have begun loads that run for a while, some of them there, and leave
    /// behind that.
    fn begin_to_drain(&self, engine: usize) {
        self.leave_loads();
        self.add_cold(1);
        thread::sleep(LOADS_BEGIN);
        self.tell(&[engine], "DRAINING", 0);
        self.seen.lock().unwrap().drained.insert(engine, Instant::now());
    }

    /// The engine takes no new connection; what is up there may be reset.
    fn refuse(&self, engine: usize, resets: bool) {
        self.relays.refuse_connections(&format!("s-{engine}"));
        if resets {
            thread::sleep(BEFORE_RESET);
            self.relays.reset(&EndpointSet::All, &EndpointSet::party(&format!("s-{engine}")));
        }
    }

    /// A drained engine is told gone, and its process ends.
    fn dies(&self, engine: usize) {
        self.tell(&[engine], "DELETED", 0);
        self.engines.lock().unwrap()[engine].engine.end_process();
        self.seen.lock().unwrap().died.insert(engine, Instant::now());
    }

    fn set_mode(&self, engine: usize, mode: EngineMode) {
        *self.engines.lock().unwrap()[engine].mode.lock().unwrap() = mode;
    }
}

/// Nothing goes between a router and an engine, either way.
fn cut(router: usize, engine: usize) -> [(EndpointSet, EndpointSet, Way); 2] {
    let (one, other) =
        (EndpointSet::party(&format!("n{router}")), EndpointSet::party(&format!("s-{engine}")));
    [(one.clone(), other.clone(), Way::CUT), (other, one, Way::CUT)]
}
