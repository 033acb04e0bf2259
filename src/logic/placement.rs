//! What a job costs at an engine, which engines keep a group's loads, and which job goes first.

use rand::RngExt;
use rand_pcg::Pcg32;

use crate::interface::*;
use crate::records::{Engine, Job, Mean, Sent, sla_of, t_run};
use crate::time::{Moment, Span};

use super::Router;

/// Added to the part of the SLA time that is left: bounds how far a pressing job gets ahead.
const PRESSING: f64 = 0.25;

impl Router {
    /// Rule 4. After its own start, a router lets a window pass: what it sent before is not known.
    pub(super) fn warm_enough(&self, engine: &Engine, kind: TypeId, now: Moment) -> bool {
        let work = self.estimates.work[kind.0].value;
        let in_turn = || self.slow_start.allows(engine, self.cores(engine.kind), work, now);
        !self.is_cold(engine, now) || (now.since(self.started) > self.slow_start.window() && in_turn())
    }

    pub(super) fn is_cold(&self, engine: &Engine, now: Moment) -> bool {
        self.slow_start.is_cold(engine, now)
    }

    /// The cores of an engine, fewer while it is cold.
    pub(super) fn able_cores(&self, engine: &Engine, now: Moment) -> f64 {
        self.cores(engine.kind) * self.slow_start.risen(engine, now)
    }

    /// Queued work of others, in seconds of one thread, as the last report tells it; none if unheard.
    /// Where a report has no count of held queries, busy cores beyond own threads stand in.
    pub(super) fn foreign_work(&self, engine: &Engine) -> Option<f64> {
        let report = engine.report?;
        let own = engine.out.values().filter(|sent| sent.at < report.at);
        let (count, threads) = own.fold((0.0, 0.0), |(n, t), sent| (n + 1.0, t + sent.threads));
        let busy = report.cpu * self.cores(engine.kind) - threads;
        let held = report.active.map_or(busy, |active| active - count).max(0.0);
        Some((held + report.waiting) * self.estimates.all_work.value)
    }

    /// How far a report still tells of now: it fades as the jobs that it counted end.
    pub(super) fn freshness(&self, engine: &Engine, now: Moment) -> f64 {
        let age = engine.report.map_or(f64::MAX, |report| now.since(report.at).secs());
        (-age / self.estimates.all_work.value.max(1e-3)).exp()
    }

    /// The design's ordinary path: estimated wait plus run of a job at an engine, in seconds.
    pub(super) fn wait_and_run(
        &self, job: &Job, id: EngineId, engine: &Engine, average: f64, now: Moment,
    ) -> f64 {
        let t = &self.types[job.kind.0];
        let (cores, mean) = (self.able_cores(engine, now), self.estimates.all_work.value);
        let average = if self.is_cold(engine, now) { 0.0 } else { average };
        let seen = engine.report.map(|report| report.at);
        let own = engine.out.values().map(|s| if seen.is_some_and(|at| s.at < at) { mean } else { s.work });
        let foreign = self.foreign_work(engine).unwrap_or(average) - average;
        let queued = own.sum::<f64>() + average + foreign * self.freshness(engine, now);
        let warm = self.bounds.is_warm(engine.groups.get(&job.group), now);
        let warm = warm && engine.threads_out() <= cores * self.share();
        let discount = if warm { self.estimates.warm_ratio.value.clamp(0.1, 1.0) } else { 1.0 };
        let mut total = (queued / cores + job.work / t.threads) * discount + engine.longer.secs();
        if t.waits_for_loads || t.is_load {
            total += self.load_hold(engine, job.group, now);
        }
        if job.dispatches.iter().any(|d| d.engine == id) {
            total += t.sla.secs();
        }
        // Threat: an engine that fails a type fast looks idle and draws all of it. What may run once heeds
        // errors of any type. It also catches lost tables. Squared, as bad requests bring few to all engines.
        let fades = self.bounds.patience.secs();
        let fade = |(share, at): &(Mean, Moment)| share.value * (-now.since(*at).secs() / fades).exp();
        let errors = |of| engine.errors.get(&of).filter(|(share, _)| share.value != 0.0).map_or(0.0, fade);
        let any = if t.effect == Effect::RunOnce { errors(None) } else { 0.0 };
        total += t.timeout.secs() * errors(Some(job.kind)).max(any).powi(2);
        total += t.sla.secs() * self.doubt(engine, None, now).max(self.doubt(engine, Some(job.kind), now));
        if engine.zone != self.fleet.zone {
            total += self.fleet.cross_zone_cost * t.sla.secs();
        }
        total
    }

    /// Exception to the design: what is left of loads that hold the table group there, own or as it seems.
    pub(super) fn load_hold(&self, engine: &Engine, group: GroupId, now: Moment) -> f64 {
        let run = self.bounds.load_run;
        let own = self.own_loads(engine, group).map(|s| (s.at + run).max(now + run.mul_f64(0.25)));
        own.chain(engine.holds.get(&group).copied()).max().map_or(0.0, |until| until.since(now).secs())
    }

    pub(super) fn own_loads<'a>(
        &'a self, engine: &'a Engine, group: GroupId,
    ) -> impl Iterator<Item = &'a Sent> {
        engine.out.values().filter(move |s| s.group == group && self.types[s.kind.0].is_load)
    }

    /// Loads of a table group keep to half of the engines, drawn alike by routers told the same list, with
    /// one of this router's out at each. Threat: loads that queue for a group everywhere, all else of it
    /// behind them on idle engines. It also stops bursts of loads; it may hurt where most work is loads.
    /// Tells of each of the usable engines whether it is among them.
    pub(super) fn homes(group: GroupId, usable: &[(EngineId, &Engine)]) -> Vec<bool> {
        let draw = |e: &Engine| Pcg32::new(group.0 as u64, e.stable_hash).random::<u32>();
        let mut drawn: Vec<_> = usable.iter().enumerate().map(|(place, (_, e))| (draw(e), place)).collect();
        let count = drawn.len().div_ceil(2);
        if count < drawn.len() {
            drawn.select_nth_unstable(count);
        }
        let mut homes = vec![false; drawn.len()];
        drawn[..count].iter().for_each(|(_, place)| homes[*place] = true);
        homes
    }

    /// Billed value per second of work, as far as it can still be earned.
    pub(super) fn density(&self, job: &Job, now: Moment) -> f64 {
        let t = &self.types[job.kind.0];
        let late = now + t_run(t, job.work) > job.sla_due;
        job.billed * if late { t.late_value_share } else { 1.0 } / job.work.max(1e-3)
    }

    /// The order of held jobs: density, the more pressing the less of the SLA time is left to wait.
    pub(super) fn rank(&self, job: &Job, now: Moment) -> f64 {
        let t = &self.types[job.kind.0];
        let left = job.sla_due.since(now + t_run(t, job.work));
        let left = if left > Span::ZERO { left.secs() / sla_of(t, job.work).secs() } else { 1.0 };
        self.density(job, now) / (left + PRESSING)
    }
}
