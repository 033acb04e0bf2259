//! What the rules allow of a job: whether it is given up, throttled, dispatched or dispatched again.

use crate::interface::*;
use crate::records::{Engine, Job, t_run};
use crate::time::Moment;

use super::Router;

/// Part of the billed value for which a late answer is worth waiting.
const WORTH_LATE: f64 = 0.25;

impl Router {
    /// Why a job is to be given up now, if it is.
    pub(super) fn hopeless(&self, job: &Job, now: Moment) -> Option<GiveUpReason> {
        if job.over {
            return None;
        }
        if now >= job.deadline {
            return Some(GiveUpReason::TimeOver);
        }
        if job.out() > 0 {
            return None;
        }
        let t = &self.types[job.kind.0];
        if job.dispatches.len() >= self.further.max_dispatches {
            return Some(GiveUpReason::TriesSpent);
        }
        if !self.repeat_safe(job, None, now) {
            return Some(GiveUpReason::MayHaveRun);
        }
        if now + t_run(t, job.work) > job.sla_due && t.late_value_share < WORTH_LATE {
            return Some(GiveUpReason::TooLateToEarn);
        }
        (now + self.fresh_run(job) > job.deadline).then_some(GiveUpReason::NoTimeLeft)
    }

    /// Rule 2 for throttling replies.
    pub(super) fn may_throttle(&self, job: &Job) -> bool {
        let effect = self.types[job.kind.0].effect;
        matches!(effect, Effect::Restartable | Effect::Keyed { scope: Scope::All, .. })
            || job.maybe_ran().next().is_none()
    }

    /// Rule 2 for dispatches: to `engine`, or to some engine at all.
    pub(super) fn repeat_safe(&self, job: &Job, engine: Option<&Engine>, now: Moment) -> bool {
        match self.types[job.kind.0].effect {
            Effect::Restartable => true,
            Effect::RunOnce => job.maybe_ran().next().is_none(),
            Effect::Keyed { scope, window } => job.maybe_ran().all(|d| {
                let same = engine.is_none_or(|e| match scope {
                    Scope::All => true,
                    Scope::Zone => e.zone == d.zone,
                    Scope::Cell => e.cell == d.cell,
                });
                same && now.since(d.sent) < window
            }),
        }
    }

    /// Until when a keyed job that may have run can begin again: the way there takes time not known here.
    pub(super) fn repeat_before(&self, job: &Job) -> Option<Moment> {
        match self.types[job.kind.0].effect {
            Effect::Keyed { window, .. } => job.maybe_ran().map(|d| d.sent + window).min(),
            _ => None,
        }
    }

    /// The one check that every dispatch passes: rules 1 to 7 in this order. In doubt it says no.
    pub(super) fn legal(&self, id: JobId, job: &Job, engine: &Engine, now: Moment) -> bool {
        let t = &self.types[job.kind.0];
        let turn = job.key.and_then(|key| self.keys.get(&key)).is_none_or(|turns| {
            let rested = now >= turns.rest_until && turns.in_doubt == 0;
            turns.jobs.front() == Some(&id) && (rested || !job.dispatches.is_empty())
        });
        !job.over
            && now < job.deadline
            && self.repeat_safe(job, Some(engine), now)
            && (self.further.concurrent_dispatches || job.out() == 0)
            && engine.listed == EngineStatus::Live
            && (!self.is_cold(engine, now) || self.warm_enough(engine, job.kind, now))
            && turn
            && t.zones.as_ref().is_none_or(|zones| zones.contains(&engine.zone))
            && t.kinds.as_ref().is_none_or(|kinds| kinds.contains(&engine.kind))
            && job.dispatches.len() < self.further.max_dispatches
            && (job.dispatches.is_empty() || self.ration_left())
    }

    /// Rule 7.
    pub(super) fn ration_left(&self) -> bool {
        let left = |r: &RetryBudget| {
            r.free_retries + r.retry_ratio * self.taken.len() as f64 - self.resent.len() as f64
        };
        self.further.retry_budget.as_ref().is_none_or(|ration| left(ration) >= 1.0)
    }
}
