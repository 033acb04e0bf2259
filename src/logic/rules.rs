//! The conditions under which a job is given up, throttled, dispatched or dispatched again.

use crate::interface::*;
use crate::records::{Engine, Job, run_time};
use crate::time::Moment;

use super::Router;

/// Minimum fraction of the billed value for which a job waits for a late answer.
const MIN_LATE_VALUE_SHARE: f64 = 0.25;

impl Router {
    /// The reason to give up a job now, if there is one.
    pub(super) fn give_up_reason(&self, job: &Job, now: Moment) -> Option<GiveUpReason> {
        if job.closed {
            return None;
        }
        if now >= job.deadline {
            return Some(GiveUpReason::TimeOver);
        }
        // Threat: this router has too little processor time, and an answer that is decided at the deadline
        // is written long after it. The defence costs the results that would have come in the meantime.
        let answered = now + self.response_delay;
        if answered >= job.deadline {
            return Some(GiveUpReason::RouterLate);
        }
        if job.dispatches_in_flight() > 0 {
            return None;
        }
        if job.client_unheard {
            return Some(GiveUpReason::ClientUnheard);
        }
        let t = &self.types[job.type_id.0];
        if job.dispatches.len() >= self.retry_limits.max_dispatches {
            return Some(GiveUpReason::TriesSpent);
        }
        if !self.repeat_safe(job, None, now) {
            return Some(GiveUpReason::MayHaveRun);
        }
        if now + run_time(t, job.work) > job.sla_due && t.late_value_share < MIN_LATE_VALUE_SHARE {
            return Some(GiveUpReason::TooLateToEarn);
        }
        if now + self.expected_run(job) > job.deadline {
            return Some(GiveUpReason::NoTimeLeft);
        }
        (answered + self.expected_run(job) > job.deadline).then_some(GiveUpReason::RouterLate)
    }

    /// Whether the client may send the job again, so that the job may be throttled: no effect may occur
    /// twice.
    pub(super) fn may_throttle(&self, job: &Job) -> bool {
        let effect = self.types[job.type_id.0].effect;
        matches!(effect, Effect::Restartable | Effect::Keyed { scope: Scope::All, .. })
            || job.may_have_run().next().is_none()
    }

    /// Whether the job may be dispatched to `engine`, or to any engine if `None`, without taking effect
    /// twice: a run-once job only if every earlier dispatch provably never ran, a keyed one only within its
    /// scope and window.
    pub(super) fn repeat_safe(&self, job: &Job, engine: Option<&Engine>, now: Moment) -> bool {
        match self.types[job.type_id.0].effect {
            Effect::Restartable => true,
            Effect::RunOnce => job.may_have_run().next().is_none(),
            Effect::Keyed { scope, window } => job.may_have_run().all(|d| {
                let same = engine.is_none_or(|e| match scope {
                    Scope::All => true,
                    Scope::Zone => e.zone == d.zone,
                    Scope::Cell => e.cell == d.cell,
                });
                same && now.since(d.sent) < window
            }),
        }
    }

    /// The time before which a further dispatch of a keyed job that may have run must begin at its engine.
    /// The host enforces it, because the time that the dispatch takes to reach the engine is unknown here.
    pub(super) fn repeat_deadline(&self, job: &Job) -> Option<Moment> {
        match self.types[job.type_id.0].effect {
            Effect::Keyed { window, .. } => job.may_have_run().map(|d| d.sent + window).min(),
            _ => None,
        }
    }

    /// The single check that every dispatch must pass; in doubt it refuses. Its conditions, in this order:
    /// the job is open and in time; it takes no effect twice; the engine is neither draining nor gone; a cold
    /// engine is not overloaded; jobs of an order key keep their order and pauses; zones and kinds permit the
    /// engine; and the retry limits and the retry budget allow the dispatch.
    pub(super) fn is_permitted(&self, id: JobId, job: &Job, engine: &Engine, now: Moment) -> bool {
        let t = &self.types[job.type_id.0];
        let has_turn = job.key.and_then(|key| self.keys.get(&key)).is_none_or(|queue| {
            let pause_is_over = now >= queue.paused_until && queue.in_doubt == 0;
            queue.jobs.front() == Some(&id) && (pause_is_over || !job.dispatches.is_empty())
        });
        !job.closed
            && now < job.deadline
            && self.repeat_safe(job, Some(engine), now)
            && (self.retry_limits.concurrent_dispatches || job.dispatches_in_flight() == 0)
            && engine.status == EngineStatus::Live
            && (!self.is_cold(engine, now) || self.slow_start_allows(engine, job.type_id, now))
            && has_turn
            && t.zones.as_ref().is_none_or(|zones| zones.contains(&engine.zone))
            && t.kinds.as_ref().is_none_or(|kinds| kinds.contains(&engine.kind))
            && job.dispatches.len() < self.retry_limits.max_dispatches
            && (job.dispatches.is_empty() || self.retry_budget_left())
    }

    /// Whether the retry budget allows one more dispatch after a job's first.
    pub(super) fn retry_budget_left(&self) -> bool {
        let left = |r: &RetryBudget| {
            r.free_retries + r.retry_ratio * self.accepted_at.len() as f64 - self.retried_at.len() as f64
        };
        self.retry_limits.retry_budget.as_ref().is_none_or(|budget| left(budget) >= 1.0)
    }
}
