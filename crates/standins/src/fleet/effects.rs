//! What each trouble does to a fleet when it begins and when it ends.

use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use rustix::process::Signal;

use super::overlap::Starter;
use super::{Fleet, parties};
use crate::TEST_TIMEOUT;
use crate::log_reader::LogReadMode;
use crate::relays::{EndpointSet, Way};
use crate::troubles::{DiscoveryMode, EngineMode, LOAD_START_TIME, RESET_DELAY, Trouble};

/// Distinguishes the requests of misbehaving clients.
static NEXT_MISBEHAVING_CLIENT: AtomicU64 = AtomicU64::new(1);
/// Distinguishes clients that leave their loads.
static NEXT_ABANDONING_CALLER: AtomicU64 = AtomicU64::new(parties::FIRST_ABANDONING_CALLER);
/// Time after the span of a [`Trouble::Crowd`] by which its connections are closed.
const IDLE_CLIENTS_CLOSE_SLACK: Duration = Duration::from_secs(1);
/// Interval at which the end of a process is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

impl Fleet {
    /// Begins a trouble. Returns whether it could begin.
    pub(super) fn begin_trouble(&self, trouble: &Trouble, processes: &[usize]) -> bool {
        match trouble {
            Trouble::Stand { router, .. } => {
                self.observations.lock().unwrap().suspended.push(*router);
                self.signal(*router, Signal::STOP);
            }
            Trouble::Kill { router, .. } => self.kill_router(*router),
            Trouble::Restart { router } => {
                self.observations.lock().unwrap().terminated.push((*router, Instant::now()));
                self.signal(*router, Signal::TERM);
            }
            Trouble::Reload { router, times } => return self.reload(*router, *times),
            Trouble::Move => self.move_discovery(),
            Trouble::Discovery { mode, .. } => *self.discovery_mode.lock().unwrap() = *mode,
            Trouble::Engine { engine, mode, .. } => self.set_engine_mode(*engine, *mode),
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
            Trouble::Cut { router, engine, .. } => {
                self.relays.set_conditions(cut_both_ways(*router, *engine))
            }
            Trouble::Reset { router } => {
                (0..self.engine_count()).for_each(|engine| {
                    let engine = EndpointSet::party(&format!("s-{engine}"));
                    self.relays.reset(&EndpointSet::party(&format!("n{router}")), &engine);
                });
            }
            Trouble::Rude { router, client, count } => {
                let at = self.address(*router);
                for _ in 0..*count {
                    let (client, observations) = (*client, self.observations.clone());
                    let number = NEXT_MISBEHAVING_CLIENT.fetch_add(1, Ordering::Relaxed);
                    thread::spawn(move || parties::misbehave(client, at, number, &observations));
                }
            }
            Trouble::Crowd { router, count, span } => {
                let (at, count, span) = (self.address(*router), *count, Duration::from_millis(*span));
                self.observations
                    .lock()
                    .unwrap()
                    .many_idle_clients_until
                    .insert(*router, Instant::now() + span + IDLE_CLIENTS_CLOSE_SLACK);
                thread::spawn(move || parties::hold_idle_connections(at, count, span));
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
                self.start_drain(*engine);
                self.refuse_connections(*engine, *resets);
            }
            Trouble::TakenPort { engine, by, .. } => {
                self.start_drain(*engine);
                let target = self.engines.lock().unwrap()[*by].engine.address;
                self.relays.redirect(&format!("s-{engine}"), target);
            }
            Trouble::LeaveLoads => self.start_abandoned_loads(),
            Trouble::Stop { .. } => unreachable!("run_trouble handles it"),
        }
        true
    }

    /// Ends a trouble that has begun, so that its effects cease.
    pub(super) fn end_trouble(&self, trouble: &Trouble, processes: &[usize], starter: &Starter) {
        match trouble {
            Trouble::Stand { router, .. } => self.signal(*router, Signal::CONT),
            Trouble::Kill { router, .. } => starter.start_router(*router),
            Trouble::Herd { .. } => processes.iter().for_each(|router| starter.start_router(*router)),
            Trouble::Restart { router } => {
                self.wait_for_end(*router);
                starter.start_router(*router);
            }
            Trouble::Discovery { .. } => *self.discovery_mode.lock().unwrap() = DiscoveryMode::Well,
            Trouble::Engine { engine, .. } => self.set_engine_mode(*engine, EngineMode::Well),
            Trouble::Calls { router, call, .. } => {
                self.preloads[router].fail(*call, 0, rustix::io::Errno::INTR);
            }
            Trouble::Short { router, .. } => self.preloads[router].limit_transfers(0),
            Trouble::Clock { router, .. } => self.preloads[router].step_clock(Duration::ZERO, false),
            Trouble::Cut { router, engine, .. } => {
                self.relays.remove_conditions(cut_both_ways(*router, *engine))
            }
            Trouble::Log { router, .. } => {
                self.routers[*router].lock().unwrap().read_log(LogReadMode::AtOnce);
            }
            Trouble::Config { router, .. } => self.restore_config(*router),
            Trouble::Drain { engine, .. } | Trouble::TakenPort { engine, .. } => self.remove_engine(*engine),
            _ => {}
        }
    }

    fn reload(&self, router: usize, times: usize) -> bool {
        let process = self.routers[router].lock().unwrap();
        let is_started = process.id().is_some();
        if is_started {
            (0..times).for_each(|_| process.signal(Signal::HUP));
        }
        is_started
    }

    fn restore_config(&self, router: usize) {
        let process = self.routers[router].lock().unwrap();
        process.restore_config();
        if process.is_running() {
            process.signal(Signal::HUP);
        }
        drop(process);
        self.close_old_discoveries(router);
    }

    /// Waits until a terminated router has ended; other troubles may signal it meanwhile.
    fn wait_for_end(&self, router: usize) {
        let deadline = Instant::now() + TEST_TIMEOUT;
        loop {
            let mut process = self.routers[router].lock().unwrap();
            if let Some(status) = process.try_wait() {
                assert!(status.success(), "{} ended with {status}", process.name);
                return;
            }
            assert!(Instant::now() < deadline, "{} did not end", process.name);
            drop(process);
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// Clients of all routers start loads that run for a while, and leave soon after.
    fn start_abandoned_loads(&self) {
        for router in 0..self.routers.len() {
            let (at, observations) = (self.address(router), self.observations.clone());
            let turn = NEXT_ABANDONING_CALLER.fetch_add(1, Ordering::Relaxed) as usize;
            let caller = router + self.routers.len() * turn;
            thread::spawn(move || parties::abandon_load(at, caller, &observations));
        }
    }

    /// Announces that the engine drains; it continues its work. Before that, clients of all routers have
    /// started loads that run for a while, some of them at this engine; they leave after the announcement.
    fn start_drain(&self, engine: usize) {
        self.start_abandoned_loads();
        self.add_cold_engines(1);
        thread::sleep(LOAD_START_TIME);
        self.announce(&[engine], "DRAINING", 0);
        self.observations.lock().unwrap().drained.insert(engine, Instant::now());
    }

    /// Makes the engine refuse new connections and, if `resets` is set, resets its open ones.
    fn refuse_connections(&self, engine: usize, resets: bool) {
        self.relays.refuse_connections(&format!("s-{engine}"));
        if resets {
            thread::sleep(RESET_DELAY);
            self.relays.reset(&EndpointSet::All, &EndpointSet::party(&format!("s-{engine}")));
        }
    }

    /// Announces a drained engine as deleted and ends its process.
    fn remove_engine(&self, engine: usize) {
        self.announce(&[engine], "DELETED", 0);
        self.engines.lock().unwrap()[engine].engine.end_process();
        self.observations.lock().unwrap().engine_ends.insert(engine, Instant::now());
    }

    fn set_engine_mode(&self, engine: usize, mode: EngineMode) {
        *self.engines.lock().unwrap()[engine].mode.lock().unwrap() = mode;
    }
}

/// Conditions that cut the network between a router and an engine in both directions.
fn cut_both_ways(router: usize, engine: usize) -> [(EndpointSet, EndpointSet, Way); 2] {
    let (one, other) =
        (EndpointSet::party(&format!("n{router}")), EndpointSet::party(&format!("s-{engine}")));
    [(one.clone(), other.clone(), Way::CUT), (other, one, Way::CUT)]
}
