//! Runs the troubles of a plan, each on its own thread, so that none delays another.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Mutex;
use std::sync::mpsc::{self, Sender};
use std::thread;
use std::time::{Duration, Instant};

use super::Fleet;
use crate::troubles::{Plan, Timed, Trouble};

/// Steps of a plan that are carried out later than this after they were due are reported.
const MAX_STEP_DELAY: Duration = Duration::from_millis(50);

/// How the run of a plan went, apart from the rules.
#[derive(Default)]
pub struct PlanOutcome {
    /// The kinds of troubles that could not begin.
    pub skipped: BTreeSet<String>,
    /// Descriptions of the steps that were carried out late.
    pub late_steps: Vec<String>,
}

/// Starts routers on the thread that runs the plan, as a process is killed when the thread that started it
/// ends.
#[derive(Clone)]
pub(super) struct Starter(Sender<Start>);

struct Start {
    router: usize,
    done: Sender<()>,
}

impl Starter {
    /// Starts a router and waits until its process was started.
    pub fn start_router(&self, router: usize) {
        let (done, started) = mpsc::channel();
        let _ = self.0.send(Start { router, done });
        let _ = started.recv();
    }
}

impl Fleet {
    /// Runs all troubles of a plan.
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

/// Resources that troubles hold exclusively.
#[derive(Default)]
struct Claims {
    /// Routers whose processes a trouble suspends, kills or terminates; released when it ends.
    routers: BTreeSet<usize>,
    /// Engines that were drained; each is drained once in a run.
    engines: BTreeSet<usize>,
}

/// A plan that is being run.
pub(super) struct PlanRun<'a> {
    pub fleet: &'a Fleet,
    start: Instant,
    claims: Mutex<Claims>,
    /// Troubles in force, with their numbers in the plan, by the key of the state that they set. The last one
    /// is in force; when it ends, the one before it applies again.
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
            self.record_late(trouble, "had begun", begun + trouble.time_to_begin());
            let due = begun + Duration::from_millis(trouble.span());
            sleep_until(due);
            self.record_late(trouble, "ended", due);
            self.end(number, trouble, &routers, starter);
        } else {
            self.skip(trouble);
        }
        let mut claims = self.claims.lock().unwrap();
        routers.iter().for_each(|router| _ = claims.routers.remove(router));
    }

    /// Claims the routers whose processes a trouble needs, as far as they are free. Returns `None` if none of
    /// them is free, or if an engine was drained already.
    fn claim(&self, trouble: &Trouble) -> Option<Vec<usize>> {
        let mut claims = self.claims.lock().unwrap();
        let (routers, engines) = (trouble.affected_processes(), trouble.drained_engines());
        let free: Vec<usize> =
            routers.iter().copied().filter(|router| !claims.routers.contains(router)).collect();
        if free.is_empty() != routers.is_empty() || engines.iter().any(|at| claims.engines.contains(at)) {
            return None;
        }
        claims.routers.extend(&free);
        claims.engines.extend(engines);
        Some(free)
    }

    /// Begins a trouble. Returns whether it could begin.
    fn begin(&self, number: usize, trouble: &Trouble, routers: &[usize]) -> bool {
        let Some(state_key) = trouble.state_key() else { return self.fleet.begin_trouble(trouble, routers) };
        let mut in_force = self.settings.lock().unwrap();
        let begun = self.fleet.begin_trouble(trouble, routers);
        if begun {
            in_force.entry(state_key).or_default().push((number, trouble.clone()));
        }
        begun
    }

    fn end(&self, number: usize, trouble: &Trouble, routers: &[usize], starter: &Starter) {
        let Some(state_key) = trouble.state_key() else {
            return self.fleet.end_trouble(trouble, routers, starter);
        };
        let mut in_force = self.settings.lock().unwrap();
        let all = in_force.entry(state_key).or_default();
        all.retain(|(other, _)| *other != number);
        match all.last() {
            Some((_, earlier)) => _ = self.fleet.begin_trouble(earlier, &[]),
            None => self.fleet.end_trouble(trouble, routers, starter),
        }
    }

    fn skip(&self, trouble: &Trouble) {
        self.outcome.lock().unwrap().skipped.insert(trouble.kind());
    }

    /// Records a step that was carried out later than `MAX_STEP_DELAY` after it was due.
    pub fn record_late(&self, trouble: &Trouble, step: &str, due: Instant) {
        let late = Instant::now().saturating_duration_since(due);
        if late > MAX_STEP_DELAY {
            let at = due.saturating_duration_since(self.start);
            let description = format!("{trouble:?} {step} {late:?} late, at {at:?}");
            self.outcome.lock().unwrap().late_steps.push(description);
        }
    }
}

pub(super) fn sleep_until(due: Instant) {
    thread::sleep(due.saturating_duration_since(Instant::now()));
}
