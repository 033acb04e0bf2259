//! Estimated cost of a job at an engine, the engines that take a table group's loads, and the order of
//! waiting jobs.

use rand::RngExt;
use rand_pcg::Pcg32;

use crate::interface::*;
use crate::records::{Engine, InFlight, Job, RunningMean, run_time, sla_time};
use crate::time::{Moment, Span};

use super::Router;

/// Added to the fraction of the SLA time that is left. It bounds how much urgency raises a job's rank.
const URGENCY_OFFSET: f64 = 0.25;

impl Router {
    /// Whether a job of this type may be sent to the engine without the risk that all routers together
    /// overload it while it is cold. After its own start a router waits for one window, because it does not
    /// know what it sent before.
    pub(super) fn slow_start_allows(&self, engine: &Engine, type_id: TypeId, now: Moment) -> bool {
        let work = self.estimates.work[type_id.0].value;
        let budget_allows = || self.slow_start.allows(engine, self.cores(engine.kind), work, now);
        !self.is_cold(engine, now)
            || (now.since(self.started_at) > self.slow_start.window() && budget_allows())
    }

    pub(super) fn is_cold(&self, engine: &Engine, now: Moment) -> bool {
        self.slow_start.is_cold(engine, now)
    }

    /// The cores of an engine, reduced while it is cold.
    pub(super) fn effective_cores(&self, engine: &Engine, now: Moment) -> f64 {
        self.cores(engine.kind) * self.slow_start.capacity_fraction(engine, now)
    }

    /// Work of other routers at the engine, in seconds of one thread, according to the last load report;
    /// `None` without a report. If the report has no number of running queries, the busy cores beyond this
    /// router's threads are used instead.
    pub(super) fn other_routers_work(&self, engine: &Engine) -> Option<f64> {
        let report = engine.report?;
        let own = engine.in_flight.values().filter(|sent| sent.at < report.at);
        let (count, threads) = own.fold((0.0, 0.0), |(n, t), sent| (n + 1.0, t + sent.threads));
        let busy = report.utilization * self.cores(engine.kind) - threads;
        let running = report.active.map_or(busy, |active| active - count).max(0.0);
        Some((running + report.waiting) * self.estimates.mean_work.value)
    }

    /// Weight of the last load report, from 0 to 1. It decays as the jobs that the report counted end.
    pub(super) fn report_weight(&self, engine: &Engine, now: Moment) -> f64 {
        let age = engine.report.map_or(f64::MAX, |report| now.since(report.at).secs());
        (-age / self.estimates.mean_work.value.max(1e-3)).exp()
    }

    /// Estimated wait plus run time of a job at an engine, in seconds, with penalties for a repeat at the
    /// same engine, errors, suspected engines and other zones. `average_other_work` is the average work of
    /// other routers at an engine, in seconds of one thread.
    pub(super) fn wait_and_run(
        &self, job: &Job, id: EngineId, engine: &Engine, average_other_work: f64, now: Moment,
    ) -> f64 {
        let t = &self.types[job.type_id.0];
        let (cores, mean) = (self.effective_cores(engine, now), self.estimates.mean_work.value);
        let average_other_work = if self.is_cold(engine, now) { 0.0 } else { average_other_work };
        let reported_at = engine.report.map(|report| report.at);
        let own = engine
            .in_flight
            .values()
            .map(|s| if reported_at.is_some_and(|at| s.at < at) { mean } else { s.work });
        let others = self.other_routers_work(engine).unwrap_or(average_other_work) - average_other_work;
        let queued = own.sum::<f64>() + average_other_work + others * self.report_weight(engine, now);
        let warm = self.derived.is_warm(engine.group_sent_at.get(&job.group), now);
        let warm = warm && engine.threads_in_flight() <= cores * self.share();
        let discount = if warm { self.estimates.warm_ratio.value.clamp(0.1, 1.0) } else { 1.0 };
        let mut total =
            (queued / cores + job.work / t.threads) * discount + engine.extra_transfer_time.secs();
        if t.waits_for_loads || t.is_load {
            total += self.load_lock_wait(engine, job.group, now);
        }
        if job.dispatches.iter().any(|d| d.engine == id) {
            total += t.sla.secs();
        }
        // Threat: an engine that fails jobs of a type quickly looks idle and attracts all of them. For jobs
        // that may run only once, errors of any type count. The penalty also keeps jobs away from engines
        // that lost tables. The rate is squared because bad requests cause a few errors at all engines.
        let decay_time = self.derived.max_silence.secs();
        let decayed =
            |(rate, at): &(RunningMean, Moment)| rate.value * (-now.since(*at).secs() / decay_time).exp();
        let error_rate = |of_type| {
            engine.error_rates.get(&of_type).filter(|(rate, _)| rate.value != 0.0).map_or(0.0, decayed)
        };
        let any_type = if t.effect == Effect::RunOnce { error_rate(None) } else { 0.0 };
        total += t.timeout.secs() * error_rate(Some(job.type_id)).max(any_type).powi(2);
        total += t.sla.secs()
            * self.suspicion(engine, None, now).max(self.suspicion(engine, Some(job.type_id), now));
        if engine.zone != self.fleet.zone {
            total += self.fleet.cross_zone_cost * t.sla.secs();
        }
        total
    }

    /// The remaining time, in seconds, for which a load locks the table group at the engine: a load of this
    /// router, or presumably one of another router. This cost is an addition to Index/Load.
    pub(super) fn load_lock_wait(&self, engine: &Engine, group: GroupId, now: Moment) -> f64 {
        let run = self.derived.max_load_time;
        let own = self.own_loads(engine, group).map(|s| (s.at + run).max(now + run.mul_f64(0.25)));
        own.chain(engine.locked_until.get(&group).copied()).max().map_or(0.0, |until| until.since(now).secs())
    }

    /// This router's loads of a table group in flight at the engine.
    pub(super) fn own_loads<'a>(
        &'a self, engine: &'a Engine, group: GroupId,
    ) -> impl Iterator<Item = &'a InFlight> {
        engine.in_flight.values().filter(move |s| s.group == group && self.types[s.type_id.0].is_load)
    }

    /// For each usable engine, whether it takes loads of a table group. Half of the engines do, drawn
    /// identically by all routers with the same list, each with at most one load of this router in flight.
    /// Threat: loads of a group queue at every engine, and all other jobs of the group wait for them although
    /// the engines are idle. The restriction also limits bursts of loads. It may cost throughput where most
    /// of the work is loads.
    pub(super) fn load_engines(group: GroupId, usable: &[(EngineId, &Engine)]) -> Vec<bool> {
        let draw = |e: &Engine| Pcg32::new(group.0 as u64, e.stable_hash).random::<u32>();
        let mut drawn: Vec<_> = usable.iter().enumerate().map(|(index, (_, e))| (draw(e), index)).collect();
        let count = drawn.len().div_ceil(2);
        if count < drawn.len() {
            drawn.select_nth_unstable(count);
        }
        let mut takes_loads = vec![false; drawn.len()];
        drawn[..count].iter().for_each(|(_, index)| takes_loads[*index] = true);
        takes_loads
    }

    /// Billed value that can still be earned, per second of work.
    pub(super) fn value_density(&self, job: &Job, now: Moment) -> f64 {
        let t = &self.types[job.type_id.0];
        let late = now + run_time(t, job.work) > job.sla_due;
        job.billed_value * if late { t.late_value_share } else { 1.0 } / job.work.max(1e-3)
    }

    /// Rank of a waiting job; the highest goes first. It is the value density, raised as the SLA time left
    /// for waiting shrinks.
    pub(super) fn rank(&self, job: &Job, now: Moment) -> f64 {
        let t = &self.types[job.type_id.0];
        let left = job.sla_due.since(now + run_time(t, job.work));
        let left = if left > Span::ZERO { left.secs() / sla_time(t, job.work).secs() } else { 1.0 };
        self.value_density(job, now) / (left + URGENCY_OFFSET)
    }
}
