//! Signals in a row to one router, while clients go on over open connections until it is killed.

use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use rustix::process::Signal;

use super::overlap::{Play, Starter, sleep_until};
use super::{Fleet, parties};
use crate::troubles::{EARLIEST_KILL, Order, TimedOrder, Trouble};

/// Clients that use open connections until a router that was told to end has ended.
const STAYING: usize = 12;
/// Between the time at which they connect and the first gap before a signal.
const CONNECT: Duration = Duration::from_millis(100);
/// Tells them apart.
static STAYERS: AtomicU64 = AtomicU64::new(1);

impl Play<'_> {
    /// Clients connect, then the signals come, then the page's earliest kill, whatever the router does meanwhile. Most have ended by
    /// themselves by then.
    pub(super) fn stop(&self, router: usize, orders: &[TimedOrder], begun: Instant, starter: &Starter) {
        let trouble = Trouble::Stop { router, orders: orders.to_vec(), span: 0 };
        let Some(process) = self.fleet.process_id(router) else { return };
        let mut due = begun + CONNECT;
        self.fleet.add_stayers(router, due);
        let mut first_to_end = None;
        for (gap, order) in orders {
            due += Duration::from_millis(*gap);
            sleep_until(due);
            self.note_late(&trouble, "gave an order", due);
            let sent = Instant::now();
            if *order != Order::Reload && first_to_end.is_none() {
                first_to_end = Some(sent);
                self.fleet.seen.lock().unwrap().ended.push((router, sent));
            }
            self.fleet.routers[router].lock().unwrap().signal_if(process, signal_of(*order));
        }
        let Some(told) = first_to_end else { return };
        let due = told + Duration::from_millis(EARLIEST_KILL);
        sleep_until(due);
        self.note_late(&trouble, "killed", due);
        self.fleet.kill_behind_its_end(router);
        starter.again(router);
    }
}

fn signal_of(order: Order) -> Signal {
    match order {
        Order::Reload => Signal::HUP,
        Order::Terminate => Signal::TERM,
        Order::Interrupt => Signal::INT,
    }
}

impl Fleet {
    fn process_id(&self, router: usize) -> Option<u32> {
        self.routers[router].lock().unwrap().id()
    }

    /// Clients that stay; one that is not served by then goes again.
    fn add_stayers(&self, router: usize, by: Instant) {
        let at = self.routers[router].lock().unwrap().address;
        for _ in 0..STAYING {
            let number = STAYERS.fetch_add(1, Ordering::Relaxed);
            let seen = self.seen.clone();
            thread::spawn(move || parties::stay(router, at, number, &seen, by));
        }
    }

    fn kill_behind_its_end(&self, router: usize) {
        let mut process = self.routers[router].lock().unwrap();
        self.seen.lock().unwrap().killed_behind_their_end.push((router, Instant::now()));
        process.kill();
    }
}
