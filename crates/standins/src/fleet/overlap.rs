//! Plays the troubles of a plan, each on a thread of its own, so that none holds up another.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Mutex;
use std::sync::mpsc::{self, Sender};
use std::thread;
use std::time::{Duration, Instant};

use super::Fleet;
use crate::troubles::{Plan, Timed, Trouble};

/// A step of a plan that comes later than this is told.
const MAX_STEP_DELAY: Duration = Duration::from_millis(50);

/// What came of a plan, as far as the rig goes.
#[derive(Default)]
pub struct PlanOutcome {
    /// The kinds of troubles that could not happen.
    pub skipped: BTreeSet<String>,
    /// Steps that came late, in words.
    pub late_steps: Vec<String>,
}

/// Starts routers on the thread that plays the plan: a process ends with the thread that started it.
#[derive(Clone)]
pub(super) struct Starter(Sender<Start>);

struct Start {
    router: usize,
    done: Sender<()>,
}

impl Starter {
    /// Starts a router anew, and waits for that.
    pub fn start_router(&self, router: usize) {
        let (done, started) = mpsc::channel();
        let _ = self.0.send(Start { router, done });
        let _ = started.recv();
    }
}

impl Fleet {
    /// Plays a plan.
    pub fn run_plan(&self, plan: &Plan) -> PlanOutcome {
        let (starter, starts) = mpsc::channel();
        let run = PlanRun {
            fleet: self,
            start: Instant::now(),
            claims: Mutex::default(),
            settings: Mutex::default(),
            outcome: Mutex::default(),
        };
        thread::scope(|scope| {
            for (number, timed) in plan.troubles.iter().enumerate() {
                let (run, starter) = (&run, Starter(starter.clone()));
                scope.spawn(move || run.run_trouble(number, timed, &starter));
            }
            drop(starter);
            for Start { router, done } in starts {
                self.start_router(router);
                let _ = done.send(());
            }
        });
        run.outcome.into_inner().unwrap()
    }
}

/// What troubles have for themselves.
#[derive(Default)]
struct Claims {
    /// Routers whose processes one stops, kills or ends; given back at its end.
    routers: BTreeSet<usize>,
    /// Engines that are told to drain, once in a story.
    engines: BTreeSet<usize>,
}

/// A plan that is played.
pub(super) struct PlanRun<'a> {
    pub fleet: &'a Fleet,
    start: Instant,
    claims: Mutex<Claims>,
    /// Troubles by what they set; the last one is in force, and the one before comes back behind it.
    settings: Mutex<BTreeMap<String, Vec<(usize, Trouble)>>>,
    outcome: Mutex<PlanOutcome>,
}

impl PlanRun<'_> {
    fn run_trouble(&self, number: usize, timed: &Timed, starter: &Starter) {
        let (trouble, due) = (&timed.trouble, self.start + Duration::from_millis(timed.at));
        sleep_until(due);
        let Some(routers) = self.claim(trouble) else { return self.skip(trouble) };
        self.record_late(trouble, "began", due);
        let begun = Instant::now();
        if let Trouble::Stop { router, orders, .. } = trouble {
            self.run_stop(*router, orders, begun, starter);
        } else if self.begin(number, trouble, &routers) {
            self.record_late(trouble, "was begun", begun + trouble.beginning());
            let over = begun + Duration::from_millis(trouble.span());
            sleep_until(over);
            self.record_late(trouble, "ended", over);
            self.end(number, trouble, &routers, starter);
        } else {
            self.skip(trouble);
        }
        let mut claims = self.claims.lock().unwrap();
        routers.iter().for_each(|router| _ = claims.routers.remove(router));
    }

    /// The routers that a trouble gets of those whose processes it wants; nothing where it can't be.
    fn claim(&self, trouble: &Trouble) -> Option<Vec<usize>> {
        let mut claims = self.claims.lock().unwrap();
        let (routers, engines) = (trouble.processes(), trouble.drains());
        let free: Vec<usize> =
            routers.iter().copied().filter(|router| !claims.routers.contains(router)).collect();
        if free.is_empty() != routers.is_empty() || engines.iter().any(|at| claims.engines.contains(at)) {
            return None;
        }
        claims.routers.extend(&free);
        claims.engines.extend(engines);
        Some(free)
    }

    /// Whether it could begin.
    fn begin(&self, number: usize, trouble: &Trouble, routers: &[usize]) -> bool {
        let Some(setting) = trouble.setting() else { return self.fleet.begin_trouble(trouble, routers) };
        let mut in_force = self.settings.lock().unwrap();
        let begun = self.fleet.begin_trouble(trouble, routers);
        if begun {
            in_force.entry(setting).or_default().push((number, trouble.clone()));
        }
        begun
    }

    fn end(&self, number: usize, trouble: &Trouble, routers: &[usize], starter: &Starter) {
        let Some(setting) = trouble.setting() else {
            return self.fleet.end_trouble(trouble, routers, starter);
        };
        let mut in_force = self.settings.lock().unwrap();
        let all = in_force.entry(setting).or_default();
        all.retain(|(other, _)| *other != number);
        match all.last() {
            Some((_, earlier)) => _ = self.fleet.begin_trouble(earlier, &[]),
            None => self.fleet.end_trouble(trouble, routers, starter),
        }
    }

    fn skip(&self, trouble: &Trouble) {
        self.outcome.lock().unwrap().skipped.insert(trouble.kind());
    }

    pub fn record_late(&self, trouble: &Trouble, what: &str, due: Instant) {
        let late = Instant::now().saturating_duration_since(due);
        if late > MAX_STEP_DELAY {
            let at = due.saturating_duration_since(self.start);
            let words = format!("{trouble:?} {what} {late:?} late, at {at:?}");
            self.outcome.lock().unwrap().late_steps.push(words);
        }
    }
}

pub(super) fn sleep_until(due: Instant) {
    thread::sleep(due.saturating_duration_since(Instant::now()));
}
