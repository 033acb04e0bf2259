//! Sends several signals to one router while clients continue to send over open connections, until it is
//! killed.

use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use rustix::process::Signal;

use super::overlap::{PlanRun, Starter, sleep_until};
use super::{Fleet, parties};
use crate::troubles::{EARLIEST_KILL_MS, OperatorSignal, TimedSignal, Trouble};

/// Number of clients that use open connections of a terminated router until it has ended.
const STAYING_CLIENTS: usize = 12;
/// Time that clients have to connect before the delay of the first signal begins.
const CONNECT_TIME: Duration = Duration::from_millis(100);
/// Distinguishes the clients' requests.
static NEXT_STAYING_CLIENT: AtomicU64 = AtomicU64::new(1);

impl PlanRun<'_> {
    /// Connects clients, sends the signals, then kills the router at the earliest time that the protocol
    /// document allows, whatever the router does meanwhile. Most routers have ended by themselves by then.
    pub(super) fn run_stop(&self, router: usize, signals: &[TimedSignal], begun: Instant, starter: &Starter) {
        let trouble = Trouble::Stop { router, orders: signals.to_vec(), span: 0 };
        let Some(process) = self.fleet.process_id(router) else { return };
        let mut due = begun + CONNECT_TIME;
        self.fleet.start_staying_clients(router, due);
        let mut first_termination = None;
        for (gap, signal) in signals {
            due += Duration::from_millis(*gap);
            sleep_until(due);
            self.record_late(&trouble, "sent a signal", due);
            let sent = Instant::now();
            if *signal != OperatorSignal::Reload && first_termination.is_none() {
                first_termination = Some(sent);
                self.fleet.observations.lock().unwrap().terminated.push((router, sent));
            }
            self.fleet.routers[router].lock().unwrap().signal_if(process, signal_of(*signal));
        }
        let Some(terminated_at) = first_termination else { return };
        let due = terminated_at + Duration::from_millis(EARLIEST_KILL_MS);
        sleep_until(due);
        self.record_late(&trouble, "killed", due);
        self.fleet.kill_after_termination(router);
        starter.start_router(router);
    }
}

fn signal_of(signal: OperatorSignal) -> Signal {
    match signal {
        OperatorSignal::Reload => Signal::HUP,
        OperatorSignal::Terminate => Signal::TERM,
        OperatorSignal::Interrupt => Signal::INT,
    }
}

impl Fleet {
    fn process_id(&self, router: usize) -> Option<u32> {
        self.routers[router].lock().unwrap().id()
    }

    /// Starts clients that keep their connections; one that is not connected by the deadline gives up.
    fn start_staying_clients(&self, router: usize, deadline: Instant) {
        let at = self.routers[router].lock().unwrap().address;
        for _ in 0..STAYING_CLIENTS {
            let number = NEXT_STAYING_CLIENT.fetch_add(1, Ordering::Relaxed);
            let observations = self.observations.clone();
            thread::spawn(move || parties::run_staying_client(router, at, number, &observations, deadline));
        }
    }

    fn kill_after_termination(&self, router: usize) {
        let mut process = self.routers[router].lock().unwrap();
        self.observations.lock().unwrap().killed_after_termination.push((router, Instant::now()));
        process.kill();
    }
}
