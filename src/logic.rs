//! Every decision of woadhook. A host builds one [`Router`] from its settings, passes events to it
//! (`job_arrived`, `dispatch_ended`, `load_reported`, ...) and then pulls [`Router::next_decision`] until it
//! returns `None`. The types that both sides exchange are in `interface.rs`.
//!
//! Jobs are placed by Index/Load, the name that the underlying paper gives this scheduling scheme: a job goes
//! to the permitted engine with the smallest estimated wait plus run time, where engines that lately ran its
//! table group count as warm and get a lower estimate (`wait_and_run`). Six mechanisms complement it, and
//! every dispatch must pass one check (`is_permitted`):
//!
//! 1. a limit on the threads in flight, with limits per engine and for loads; other jobs wait
//!    (`adjust_limit`, `load_engines`),
//! 2. engines are set aside after silence, resets or failed connections and return after answered probes
//!    (`set_aside_silent`); reports of other routers cause earlier probes (`peer_reported`),
//! 3. a limit on the work that all routers together send to a cold engine: in each time window, only some
//!    routers may send it jobs (`slow_start`),
//! 4. the order of waiting jobs, and immediate throttling of jobs that can't be done in time (`give_up`),
//! 5. timeouts and further dispatches (`is_lost`, `cancel_lost`),
//! 6. memory grants, corrected by the learned bias of the estimates, and priorities (`send`, `Estimates`).
//!
//! `rules` decides whether a job may be dispatched, throttled or given up; `placement` estimates the cost of
//! a job at an engine and orders the waiting jobs.

mod placement;
mod rules;
mod working_set;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

use crate::engine_records::EngineRecords;
use crate::engine_sets::EngineSets;
use crate::estimates::{Estimates, MEAN_SAMPLES};
use crate::interface::*;
use crate::live_engines::{LiveEngine, LiveEngines};
use crate::records::{
    DerivedSettings, Dispatch, Engine, InFlight, Job, KeyQueue, Report, RunningMean, run_time, sla_time,
};
use crate::slow_start::SlowStart;
use crate::time::{Moment, Span};

use self::working_set::WorkingSet;

/// Fraction of the SLA time that a good dispatch may take; the rest is left for waiting in the router.
const GOOD_SLA_FRACTION: f64 = 0.75;
/// Number of good answers that compensate for a bad one.
const GOOD_ANSWERS_PER_BAD: f64 = 8.0;
/// Multiple of the in-flight limit up to which jobs shorter than the mean are dispatched: they free their
/// threads soon.
const SHORT_JOB_LIMIT_FACTOR: f64 = 2.0;
/// Maximum threads in flight at one engine, as a multiple of its even part of the limit.
const ENGINE_LIMIT_FACTOR: f64 = 2.0;
/// The initial limit is `n + BURST_SQRT_FACTOR * sqrt(n)` threads, where `n` is this router's part of the
/// cores. It may exceed `n` because the bursts of many routers do not all come at the same time.
const BURST_SQRT_FACTOR: f64 = 2.0;
/// Number of consecutive answered probes after which an engine returns.
const PROBES_TO_RETURN: u32 = 2;
/// Assumed average wait of a job whose type waits for loads, at an engine to which other routers send loads
/// of the job's table group. It is a fraction of a load's SLA time.
const LOAD_WAIT_SLA_FRACTION: f64 = 0.1;
/// Number of dispatches of this router per probe that only requests a load report.
const DISPATCHES_PER_PROBE: u32 = 5;
/// A dispatch counts as lost when its estimated remaining time exceeds this multiple of the time that a new
/// dispatch is expected to take (`expected_run`) and it has itself run for longer than that time.
const LOST_REMAINING_RUNS: f64 = 2.0;
/// A dispatch without a recent progress notification counts as lost after this multiple of the time that a
/// new dispatch is expected to take, or after `OVERDUE_SLA_FRACTION` of the SLA time if that is longer.
const OVERDUE_RUNS: f64 = 3.0;
const OVERDUE_SLA_FRACTION: f64 = 0.5;
/// Thresholds of the priorities 1 to 3, which apply to a job's billed value per work, divided by the mean of
/// that value over all types.
const PRIORITY_THRESHOLDS: [f64; 3] = [0.25, 0.5, 0.75];
/// Number of answers over which the error rate of a type at an engine is averaged.
const ERROR_RATE_SAMPLES: f64 = 8.0;
/// Number of progress periods for which a progress notification is used.
const PROGRESS_VALID_PERIODS: f64 = 1.5;
/// Period at which expired entries are removed from the records of engines.
const SWEEP_PERIOD: Span = Span::from_micros(100_000);
/// Maximum number of records of engines that are gone that one pull removes.
const MAX_REMOVED_ENGINES: usize = 128;

/// The load of the engines that are considered for jobs, in threads, and the limits on it.
struct PoolLoad {
    in_flight: f64,
    limit: f64,
    /// The limit of one engine.
    engine_limit: f64,
    /// Whether any of the engines is cold.
    any_cold: bool,
    /// The work of other routers, in seconds of one thread, that is assumed at an engine without a recent
    /// load report: the average of the others.
    reported_work: f64,
}

/// The decisions of one router.
pub struct Router {
    rng: Pcg32,
    started_at: Moment,
    types: Vec<ReservationType>,
    estimates: Estimates,
    fleet: Fleet,
    slow_start: SlowStart,
    retry_limits: RetryLimits,
    monitoring: Monitoring,
    answer_policy: AnswerPolicy,
    memory_grants: MemoryGrants,
    derived: DerivedSettings,
    /// The in-flight limit divided by its initial value.
    limit_factor: f64,
    /// Whether a bad answer has cut the limit yet.
    limit_was_cut: bool,
    /// For each tenant, how many more jobs this router may count as within the tenant's share, and when that
    /// number was computed.
    tenant_budgets: Vec<(f64, Moment)>,
    /// When jobs were accepted, for the retry budget. Entries are removed when they have left its window.
    accepted_at: VecDeque<Moment>,
    /// When jobs were dispatched again, for the retry budget. Entries are removed when they have left its
    /// window.
    retried_at: VecDeque<Moment>,
    /// When the engine list was last requested.
    list_requested_at: Option<Moment>,
    /// Whether changes of the engine list arrive. If the list has to be requested, this is false until the
    /// first answer to a request, and again after a request has failed.
    receives_list_changes: bool,
    /// A job is removed when it is closed and has no dispatch in flight.
    jobs: BTreeMap<JobId, Job>,
    /// The record of a key is removed when the key has no job left, its pause is over and no query of it may
    /// still run.
    keys: BTreeMap<KeyId, KeyQueue>,
    engines: EngineRecords,
    /// When expired entries were last removed from the records of engines.
    swept_at: Moment,
    /// The engines that checks other than the choice of an engine look at.
    engine_sets: EngineSets,
    /// The engines that are neither draining nor gone.
    live_engines: LiveEngines,
    /// The engines that are considered for jobs, if the list is long.
    working_set: WorkingSet,
    /// No engine needs a health check before this time (see `all_healthy`); `None` if unknown.
    healthy_until: Option<Moment>,
    /// Dispatches since the last probe that only requested a load report.
    dispatches_since_probe: u32,
    /// How long an answer takes from its decision to its write.
    response_delay: Span,
    /// When no job had to be given up, cancelled or dispatched; `None` once anything changed since.
    jobs_settled_at: Option<Moment>,
    /// When, besides, no engine had to be set aside or probed; `None` once anything changed since.
    all_settled_at: Option<Moment>,
    /// When the wake-up that was last requested by `Decision::Wake` is due.
    wake_at: Option<Moment>,
    /// Indices whose records were removed and for which `Decision::Forget` has yet to be returned, unless
    /// they are in use again by then.
    unused_indices: Vec<Forgotten>,
    /// `Decision::SetAside` and `Decision::Back` that have yet to be returned.
    engine_notices: VecDeque<Decision>,
}

impl Router {
    /// Builds a router. `seed` determines its random choices, so that equal seeds and events give equal
    /// decisions.
    pub fn new(
        now: Moment, seed: u64, types: Vec<ReservationType>, fleet: Fleet, cold: ColdStart,
        retry_limits: RetryLimits, monitoring: Monitoring, answer_policy: AnswerPolicy,
        memory_grants: MemoryGrants,
    ) -> Self {
        let tenant_budgets = vec![(1.0, now); answer_policy.tenant_rates.len()];
        let receives_list_changes = monitoring.max_list_age.is_none();
        let derived = DerivedSettings::new(&types, &monitoring);
        Self {
            rng: Pcg32::seed_from_u64(seed),
            started_at: now,
            estimates: Estimates::new(&types),
            slow_start: SlowStart::new(cold, &fleet, &derived),
            derived,
            types,
            fleet,
            retry_limits,
            monitoring,
            answer_policy,
            memory_grants,
            limit_factor: 1.0,
            limit_was_cut: false,
            tenant_budgets,
            accepted_at: VecDeque::new(),
            retried_at: VecDeque::new(),
            list_requested_at: None,
            receives_list_changes,
            jobs: BTreeMap::new(),
            keys: BTreeMap::new(),
            engines: EngineRecords::default(),
            swept_at: now,
            engine_sets: EngineSets::default(),
            live_engines: LiveEngines::default(),
            working_set: WorkingSet::default(),
            healthy_until: None,
            dispatches_since_probe: 0,
            response_delay: Span::ZERO,
            jobs_settled_at: None,
            all_settled_at: None,
            wake_at: None,
            unused_indices: Vec::new(),
            engine_notices: VecDeque::new(),
        }
    }

    /// Accepts a job. `estimate` is the work that the client estimated, `memory` its estimate in megabytes,
    /// and `expires` the time within which the client needs a final answer.
    pub fn job_arrived(
        &mut self, now: Moment, job: JobId, type_id: TypeId, tenant: Option<TenantId>, group: GroupId,
        key: Option<KeyId>, estimate: Option<Span>, memory: f64, expires: Span,
    ) {
        self.record_change();
        let value_factor = self.tenant_value_factor(tenant, now);
        let t = &self.types[type_id.0];
        let learned = (self.estimates.work[type_id.0].value, self.estimates.work_bias[type_id.0].value);
        let work = estimate.map_or(learned.0, |span| span.secs() * learned.1);
        let billed_units = if self.answer_policy.value_by_work { work } else { 1.0 };
        let key = key.filter(|_| t.ordered);
        if let Some(key) = key {
            self.keys.entry(key).or_default().jobs.push_back(job);
        }
        self.accepted_at.extend(self.retry_limits.retry_budget.map(|_| now));
        self.estimates.mean_work.add(work, MEAN_SAMPLES);
        if estimate.is_some() {
            self.estimates.work[type_id.0].add(work, MEAN_SAMPLES);
        }
        let sla_due = now + sla_time(t, work);
        let (billed_value, deadline) = (t.billed_value * value_factor * billed_units, now + expires);
        let record = Job {
            type_id,
            group,
            key,
            estimate,
            work,
            memory,
            sla_due,
            deadline,
            billed_value,
            ..Job::default()
        };
        self.jobs.insert(job, record);
    }

    /// An earlier job with the id of this one may have run: this job counts as one that was dispatched by
    /// then. The host tells it right after `job_arrived`.
    pub fn job_ran_before(&mut self, job: JobId, run: EarlierRun) {
        self.record_change();
        if let Some(record) = self.jobs.get_mut(&job) {
            record.earlier_run = Some(run);
        }
    }

    /// The client has left, or the job has ended in another way; it gets no further dispatch or answer.
    pub fn job_closed(&mut self, job: JobId) {
        self.record_change();
        if let Some(record) = self.jobs.get_mut(&job) {
            record.closed = true;
        }
        self.remove_if_finished(job);
    }

    /// The host did not send a dispatch of this job, because the client may have withdrawn the job. Threat: a
    /// client that sends more than the router reads would keep places at engines for jobs that are never
    /// sent. The defence costs such a client its job, which is given up once no dispatch is in flight.
    pub fn client_unheard(&mut self, job: JobId) {
        self.record_change();
        if let Some(record) = self.jobs.get_mut(&job) {
            record.client_unheard = true;
        }
    }

    /// Records how long an answer takes now from its decision to its write, because the host is busy; zero if
    /// it is in time.
    pub fn response_delay_measured(&mut self, delay: Span) {
        if delay != self.response_delay {
            self.record_change();
        }
        self.response_delay = delay;
    }

    /// The host stops at `by`: no job gets more time than that.
    pub fn stop_by(&mut self, by: Moment) {
        self.record_change();
        self.jobs.values_mut().for_each(|job| job.deadline = job.deadline.min(by));
    }

    /// A dispatch has ended. `true_cost` is the true work and memory, if the answer contains them;
    /// `closes_job` is true if the job has its final answer.
    pub fn dispatch_ended(
        &mut self, now: Moment, job: JobId, number: usize, outcome: Outcome, took: Span,
        true_cost: Option<(Span, f64)>, closes_job: bool,
    ) {
        self.record_change();
        let Some(record) = self.jobs.get_mut(&job) else { return };
        let Some(dispatch) = record.dispatches.get_mut(number) else { return };
        dispatch.outcome = Some(outcome);
        record.closed |= closes_job;
        let (record, dispatch) = (&*record, &record.dispatches[number]);
        let t = &self.types[record.type_id.0];
        if let (Some(key), true) = (record.key, outcome.may_still_run()) {
            let queue = self.keys.entry(key).or_default();
            queue.paused_until = queue.paused_until.max(now + self.retry_limits.key_pause);
        }
        if outcome == Outcome::Done {
            self.estimates.learn_dispatch(t, record, dispatch, true_cost, took);
        }
        let good = outcome == Outcome::Done && took <= sla_time(t, record.work).mul_f64(GOOD_SLA_FRACTION);
        let failed = matches!(outcome, Outcome::Reset | Outcome::NotConnected);
        // These ends do not lower the in-flight limit.
        let not_counted_as_bad =
            failed || dispatch.waited_for_load || matches!(outcome, Outcome::Cancelled | Outcome::NotIssued);
        let (type_id, id, miss_predicted) = (record.type_id, dispatch.engine, dispatch.miss_predicted);
        if (good || !not_counted_as_bad) && !miss_predicted {
            self.adjust_limit(now, type_id, id, good);
        }
        if let Some(engine) = self.engines.get_mut(id) {
            engine.in_flight.remove(&(job, number));
            if engine.in_flight.is_empty() {
                self.engine_sets.in_flight.remove(&id);
            }
            if matches!(outcome, Outcome::Done | Outcome::Error | Outcome::TurnedAway) {
                engine.last_contact = now;
            }
            if matches!(outcome, Outcome::Done | Outcome::Error) {
                for of_type in [Some(type_id), None] {
                    let (error_rate, last_answer) = engine
                        .error_rates
                        .entry(of_type)
                        .or_insert((RunningMean::new(0.0, ERROR_RATE_SAMPLES), now));
                    error_rate.add(f64::from(outcome == Outcome::Error), ERROR_RATE_SAMPLES);
                    *last_answer = now;
                }
            }
        }
        if failed {
            self.set_aside(id, SetAsideReason::Failed);
        }
        self.remove_if_finished(job);
    }

    /// A dispatch for this key is about to end without an answer, and the engine may still be running its
    /// query. No job of the key is dispatched for the first time until `key_settled` is called for that
    /// dispatch.
    pub fn key_in_doubt(&mut self, key: KeyId) {
        self.record_change();
        self.keys.entry(key).or_default().in_doubt += 1;
    }

    /// The query of a dispatch for which `key_in_doubt` was called no longer runs. Threat: an engine that
    /// hangs keeps its job for as long as it hangs, so no waiting time chosen by this router would be safe;
    /// the key stays in doubt until this call.
    pub fn key_settled(&mut self, now: Moment, key: KeyId) {
        self.record_change();
        if let Some(queue) = self.keys.get_mut(&key) {
            queue.in_doubt = queue.in_doubt.saturating_sub(1);
            queue.paused_until = queue.paused_until.max(now + self.retry_limits.key_pause);
        }
    }

    /// A progress notification for a dispatch in flight.
    pub fn progress_reported(&mut self, now: Moment, job: JobId, number: usize, progress: Progress) {
        self.record_change();
        let locked_until = now + self.derived.max_load_time;
        let Some(record) = self.jobs.get_mut(&job) else { return };
        let Some(dispatch) = record.dispatches.get_mut(number) else { return };
        let Some(engine) = self.engines.get_mut(dispatch.engine) else { return };
        engine.last_contact = now;
        match progress {
            Progress::Fraction(fraction) => {
                dispatch.progress = Some((now, fraction));
                let t = &self.types[record.type_id.0];
                let predicted = now.since(dispatch.sent).mul_f64(1.0 / fraction.max(1e-3));
                let misses_sla = predicted > sla_time(t, record.work) && !dispatch.waited_for_load;
                if misses_sla && !std::mem::replace(&mut dispatch.miss_predicted, true) {
                    let (type_id, engine_id) = (record.type_id, dispatch.engine);
                    self.adjust_limit(now, type_id, engine_id, false);
                }
            }
            Progress::Spills(missing) => {
                if !std::mem::replace(&mut dispatch.spilled, true) && dispatch.grant > 0.0 {
                    let needed = (dispatch.grant + missing) / record.memory;
                    self.estimates.learn_grant(record.type_id, Some(needed), false);
                }
            }
            Progress::WaitsForMemory => dispatch.waited_for_memory = true,
            Progress::WaitsForLoad => {
                dispatch.waited_for_load = true;
                engine.locked_until.insert(record.group, locked_until);
                self.engine_sets.expiring.insert(dispatch.engine);
            }
        }
    }

    /// A load report, which takes effect on arrival. Values that it lacks are `None`.
    pub fn load_reported(
        &mut self, now: Moment, engine: EngineId, active: Option<f64>, waiting: Option<f64>,
        cpu: Option<f64>, disks: Option<f64>,
    ) {
        self.record_change();
        if let Some(engine) = self.engines.get_mut(engine) {
            let utilization = cpu.unwrap_or(0.0).max(disks.unwrap_or(0.0));
            engine.report = Some(Report { at: now, active, waiting: waiting.unwrap_or(0.0), utilization });
        }
    }

    /// A probe has ended.
    pub fn probe_ended(&mut self, now: Moment, id: EngineId, outcome: Outcome) {
        self.record_change();
        let Some(engine) = self.engines.get_mut(id) else { return };
        engine.probe_in_flight = false;
        if outcome == Outcome::NotIssued {
            return;
        }
        if !matches!(outcome, Outcome::Done | Outcome::TurnedAway) {
            engine.probes_to_return = engine.probes_to_return.map(|_| PROBES_TO_RETURN);
            return self.set_aside(id, SetAsideReason::Unanswered);
        }
        engine.last_contact = now;
        let Some(left) = engine.probes_to_return else { return };
        engine.probes_to_return = (left > 1).then_some(left - 1);
        if engine.probes_to_return.is_none() {
            engine.cold_since = Some(now);
            self.engine_sets.set_aside.remove(&id);
            self.working_set.engines_changed();
            self.engine_notices.push_back(Decision::Back { engine: id });
        }
    }

    /// Sets an engine aside: it gets no dispatches until it has answered `PROBES_TO_RETURN` consecutive
    /// probes, unless every live engine is set aside.
    fn set_aside(&mut self, id: EngineId, why: SetAsideReason) {
        self.record_change();
        if let Some(engine) = self.engines.get_mut(id).filter(|engine| engine.probes_to_return.is_none()) {
            engine.probes_to_return = Some(PROBES_TO_RETURN);
            self.engine_sets.set_aside.insert(id);
            self.working_set.engines_changed();
            self.healthy_until = None;
            self.engine_notices.push_back(Decision::SetAside { engine: id, why });
        }
    }

    /// Records that the host measured how much longer the transfer of a result of mean size takes from this
    /// engine than from other engines (`extra`).
    pub fn transfer_delay_measured(&mut self, id: EngineId, extra: Span) {
        self.record_change();
        if let Some(engine) = self.engines.get_mut(id) {
            engine.extra_transfer_time = extra;
        }
    }

    /// Other routers suspect that an engine does not work. The level of `suspicion` is from 0 to 1. It
    /// concerns one type, or all of them (`None`).
    pub fn peer_reported(
        &mut self, now: Moment, id: EngineId, reservation_type: Option<TypeId>, suspicion: f64,
    ) {
        self.record_change();
        if let Some(engine) = self.engines.get_mut(id) {
            engine.peer_suspicions.insert(reservation_type, (suspicion.clamp(0.0, 1.0), now));
            self.engine_sets.suspected.insert(id);
            self.engine_sets.expiring.insert(id);
            self.healthy_until = None;
        }
    }

    /// The present level of other routers' suspicion. It decays linearly over the maximum silence, and the
    /// first answer or notification from the engine to this router ends it. Threat: a router with few jobs
    /// notices a hung engine late. Suspicion also makes it avoid engines that fail the jobs of other routers.
    /// Other routers may send false reports, so suspicion only causes an earlier probe and increases an
    /// estimate.
    fn suspicion(&self, engine: &Engine, reservation_type: Option<TypeId>, now: Moment) -> f64 {
        if engine.peer_suspicions.is_empty() {
            return 0.0;
        }
        let last_answer = engine.error_rates.get(&reservation_type).map_or(Moment::default(), |(_, at)| *at);
        // When the engine last answered this router itself: a job of this type, or in any way for all types.
        let last_own_contact = if reservation_type.is_none() { engine.last_contact } else { last_answer };
        let left = |at: Moment| 1.0 - now.since(at).secs() / self.derived.max_silence.secs();
        let suspicion =
            engine.peer_suspicions.get(&reservation_type).filter(|(_, at)| *at > last_own_contact);
        suspicion.map_or(0.0, |(suspicion, at)| suspicion * left(*at).max(0.0))
    }

    /// An entry of the engine list. `stable_hash` is a hash of the engine's name, the same at every router.
    pub fn engine_listed(
        &mut self, now: Moment, id: EngineId, zone: ZoneId, kind: KindId, cell: CellId, status: EngineStatus,
        start: Option<EngineStart>, stable_hash: u64,
    ) {
        self.record_change();
        let cold_since = start.map(|start| now.saturating_sub(start.age));
        let stamp = start.map(|start| start.stamp);
        let record = Engine { stable_hash, start: stamp, cold_since, last_contact: now, ..Engine::default() };
        self.engine_sets.status_changed(id, status);
        if status == EngineStatus::Live {
            let drawn = self.draw(stable_hash);
            self.live_engines.insert(id, LiveEngine { drawn, zone, kind, cell });
        } else {
            self.live_engines.remove(id);
        }
        self.working_set.engines_changed();
        let engine = self.engines.get_or_insert(id, record);
        (engine.zone, engine.kind, engine.cell, engine.status) = (zone, kind, cell, status);
        // Any other stamp is another start, even an earlier one: the engine's clock may have stepped back.
        if stamp.is_some() && stamp != engine.start {
            (engine.start, engine.cold_since) = (stamp, engine.cold_since.max(cold_since));
            engine.group_sent_at.clear();
            engine.report = None;
        }
    }

    /// The entries passed to `engine_listed` just before were the complete list: engines that are not in
    /// `named` are gone.
    pub fn list_complete(&mut self, named: &[EngineId]) {
        self.list_changed();
        let named: BTreeSet<EngineId> = named.iter().copied().collect();
        for (id, engine) in self.engines.iter_mut().filter(|(id, _)| !named.contains(id)) {
            self.engine_sets.status_changed(id, EngineStatus::Gone);
            self.live_engines.remove(id);
            engine.status = EngineStatus::Gone;
        }
    }

    /// A change of the engine list, or the whole list, has arrived.
    pub fn list_changed(&mut self) {
        self.record_change();
        self.working_set.engines_changed();
        self.receives_list_changes |= self.list_requested_at.is_some();
    }

    /// A request for the engine list has failed.
    pub fn list_unavailable(&mut self) {
        self.record_change();
        self.receives_list_changes = self.monitoring.max_list_age.is_none();
    }

    /// The fraction of the billed value that a job of this tenant earns. A job within the tenant's share uses
    /// up a part of it.
    fn tenant_value_factor(&mut self, tenant: Option<TenantId>, now: Moment) -> f64 {
        let Some(id) = tenant.filter(|id| id.0 < self.tenant_budgets.len()) else { return 1.0 };
        let rate = self.answer_policy.tenant_rates[id.0] * self.share();
        let (left, since) = self.tenant_budgets[id.0];
        let left = (left + rate * now.since(since).secs()).min(rate.max(1.0));
        let within = left >= 1.0;
        self.tenant_budgets[id.0] = (if within { left - 1.0 } else { left }, now);
        if within { 1.0 } else { self.answer_policy.over_share_factor }
    }

    /// The initial value and the minimum of the in-flight limit: this router's part of the usable cores, with
    /// and without an allowance for bursts. Cold engines count at their present capacity.
    fn initial_limit(&self, usable: &[(EngineId, &Engine)], now: Moment) -> (f64, f64) {
        let cores_share = (self.usable_cores(usable, now) * self.share()).max(1.0);
        (cores_share + BURST_SQRT_FACTOR * cores_share.sqrt(), cores_share)
    }

    /// Adjusts the in-flight limit, which is in threads at all usable engines. If more than half of it is in
    /// use, a good answer raises it by the job's threads until the first cut, and by the job's threads
    /// divided by `GOOD_ANSWERS_PER_BAD` after it. A bad answer lowers it by the job's threads. Answers of
    /// cold engines are ignored, because threads in flight at cold engines do not count towards the limit.
    fn adjust_limit(&mut self, now: Moment, type_id: TypeId, engine_id: EngineId, good: bool) {
        if self.engines.get(engine_id).is_some_and(|engine| self.is_cold(engine, now)) {
            return;
        }
        let threads = self.types[type_id.0].threads;
        // The cores of a long list were summed up before.
        let summed_up = if self.uses_working_set() { Vec::new() } else { self.all_usable() };
        let ((initial, min), in_flight) = (self.initial_limit(&summed_up, now), self.threads_in_flight(now));
        if !good {
            self.limit_was_cut = true;
            self.limit_factor = (self.limit_factor - threads / initial).max(min / initial);
        } else if in_flight * 2.0 > self.limit_factor * initial {
            self.limit_factor +=
                threads / initial / if self.limit_was_cut { GOOD_ANSWERS_PER_BAD } else { 1.0 };
        }
    }

    /// This router's threads in flight at usable engines that count towards the limit: cold engines have a
    /// budget instead.
    fn threads_in_flight(&self, now: Moment) -> f64 {
        let all_set_aside = self.all_set_aside();
        let is_usable =
            |e: &Engine| e.status == EngineStatus::Live && (all_set_aside || e.probes_to_return.is_none());
        let counted = self.engines_in_flight().filter(|(_, e)| is_usable(e) && !self.is_cold(e, now));
        counted.map(|(_, e)| e.threads_in_flight()).sum()
    }

    /// This router's part of the engine pool.
    fn share(&self) -> f64 {
        1.0 / self.fleet.router_count.max(1) as f64
    }

    /// The cores of an engine of this kind.
    fn cores(&self, kind: KindId) -> f64 {
        self.fleet.cores_by_kind.get(kind.0).copied().unwrap_or(1.0).max(1.0)
    }

    /// Removes a job that is closed and has no dispatch in flight.
    fn remove_if_finished(&mut self, job: JobId) {
        if self.jobs.get(&job).is_some_and(|record| record.closed && record.dispatches_in_flight() == 0) {
            let record = self.jobs.remove(&job);
            if let Some(queue) = record.and_then(|r| r.key).and_then(|key| self.keys.get_mut(&key)) {
                queue.jobs.retain(|other| *other != job);
            }
            self.unused_indices.push(Forgotten::Job(job));
        }
    }

    /// Records that an event may have changed what is to be decided.
    fn record_change(&mut self) {
        (self.jobs_settled_at, self.all_settled_at) = (None, None);
    }

    /// The next decision, or `None` until another event is passed or time has advanced.
    pub fn next_decision(&mut self, now: Moment) -> Option<Decision> {
        if self.all_settled_at == Some(now) {
            self.skip_random_value();
            return self.next_notice(now);
        }
        self.remove_expired(now);
        self.set_aside_silent(now);
        self.refresh_working_set(now);
        let decision = self
            .request_list(now)
            .or_else(|| self.decide_on_jobs(now))
            .or_else(|| if self.monitoring.may_probe { self.probe(now) } else { None });
        self.all_settled_at = decision.is_none().then_some(now);
        decision.or_else(|| self.next_notice(now))
    }

    /// Gives up, cancels or dispatches one job. Once nothing is left to do, the jobs are not looked at again
    /// until time has advanced or something has changed, while probes are returned.
    fn decide_on_jobs(&mut self, now: Moment) -> Option<Decision> {
        if self.jobs_settled_at == Some(now) {
            self.skip_random_value();
            return None;
        }
        let cancelled = |router: &mut Self| {
            if router.retry_limits.can_cancel { router.cancel_lost(now) } else { None }
        };
        let decision = self.give_up(now).or_else(|| cancelled(self)).or_else(|| self.dispatch(now));
        self.jobs_settled_at = decision.is_none().then_some(now);
        decision
    }

    /// Takes a value from the generator as a look at the jobs does, so that equal seeds and events give equal
    /// decisions, however often decisions are pulled.
    fn skip_random_value(&mut self) {
        let _: u64 = self.rng.random();
    }

    /// The next notice of an engine, unused index or wake-up. None of them needs a look at the jobs or at the
    /// engines in use.
    fn next_notice(&mut self, now: Moment) -> Option<Decision> {
        if self.unused_indices.is_empty() {
            self.remove_gone_engines();
        }
        self.engine_notices
            .pop_front()
            .or_else(|| self.next_unused_index().map(Decision::Forget))
            .or_else(|| self.wake(now))
    }

    /// The next index that the host may release. Threat: while other decisions come first, a job of a key or
    /// a line of an engine arrives whose record was removed, and the index is in use again. If the host
    /// released it, the next job of the key would get another index and run beside this one, and dispatches
    /// to the engine would be lost.
    fn next_unused_index(&mut self) -> Option<Forgotten> {
        let (jobs, keys, engines) = (&self.jobs, &self.keys, &self.engines);
        let is_in_use = |index: &Forgotten| match index {
            Forgotten::Job(job) => jobs.contains_key(job),
            Forgotten::Key(key) => keys.contains_key(key),
            Forgotten::Engine(engine) => engines.contains(*engine),
        };
        std::iter::from_fn(|| self.unused_indices.pop()).find(|index| !is_in_use(index))
    }

    /// Removes entries that have expired. Expired entries in the records of engines have no effect where they
    /// are read, so these records are swept only once per `SWEEP_PERIOD`.
    fn remove_expired(&mut self, now: Moment) {
        if now.since(self.swept_at) >= SWEEP_PERIOD {
            self.swept_at = now;
            self.sweep_engines(now);
        }
        if let Some(budget) = &self.retry_limits.retry_budget {
            while self.accepted_at.front().is_some_and(|&at| now.since(at) >= budget.window) {
                self.accepted_at.pop_front();
            }
            while self.retried_at.front().is_some_and(|&at| now.since(at) > budget.window) {
                self.retried_at.pop_front();
            }
        }
        let unused =
            |queue: &KeyQueue| queue.jobs.is_empty() && queue.in_doubt == 0 && now >= queue.paused_until;
        let unused_keys = self.keys.extract_if(.., |_, queue| unused(queue));
        self.unused_indices.extend(unused_keys.map(|(key, _)| Forgotten::Key(key)));
        self.remove_gone_engines();
    }

    /// Removes expired entries from the records of engines.
    fn sweep_engines(&mut self, now: Moment) {
        let (window, derived, engines) = (self.slow_start.window(), self.derived, &mut self.engines);
        self.engine_sets.count_examined(self.engine_sets.expiring.len());
        self.engine_sets.expiring.retain(|id| {
            let Some(engine) = engines.get_mut(*id) else { return false };
            engine.remove_expired(now, window, derived);
            engine.has_expiring_entries()
        });
        self.engine_sets
            .suspected
            .retain(|id| engines.get(*id).is_some_and(|engine| !engine.peer_suspicions.is_empty()));
    }

    /// Removes the records of engines that are gone and idle.
    fn remove_gone_engines(&mut self) {
        let is_idle = |engine: &Engine| engine.in_flight.is_empty() && !engine.probe_in_flight;
        let gone = self.engine_sets.gone.iter().inspect(|_| self.engine_sets.count_examined(1));
        let gone = gone.filter(|id| self.engines.get(**id).is_some_and(is_idle));
        let removed: Vec<EngineId> = gone.take(MAX_REMOVED_ENGINES).copied().collect();
        for id in removed {
            if self.engines.remove(id) {
                self.engine_sets.remove(id);
                self.unused_indices.push(Forgotten::Engine(id));
            }
        }
    }

    /// The engines with dispatches in flight, with their records.
    fn engines_in_flight(&self) -> impl Iterator<Item = (EngineId, &Engine)> {
        let records = self.engine_sets.in_flight.iter().filter_map(|id| Some((*id, self.engines.get(*id)?)));
        records.inspect(|_| self.engine_sets.count_examined(1))
    }

    /// How many records of engines were looked at since the start: a measure of the work that decisions take.
    pub fn engines_examined(&self) -> u64 {
        self.engine_sets.examined()
    }

    /// Whether no engine is set aside, suspected, or silent for half of the maximum silence. The time until
    /// which this certainly holds is kept in `healthy_until`: no dispatch sent meanwhile can make its engine
    /// silent before that time.
    fn all_healthy(&mut self, now: Moment) -> bool {
        let healthy = self.healthy_until.is_some_and(|until| now <= until);
        if healthy || !self.engine_sets.none_in_doubt() {
            return healthy;
        }
        let first = self.engines_in_flight().filter_map(|(_, e)| e.silent_since()).min().unwrap_or(now);
        let until = first + self.derived.max_silence.mul_f64(0.5);
        self.healthy_until = Some(until);
        now <= until
    }

    /// Sets aside engines that are silent with dispatches in flight. Threat: a machine hangs without
    /// resetting its connections. The same check detects cut links and lost progress notifications. Where
    /// notifications come late, it sets aside engines that work, so at most half of the live engines are set
    /// aside.
    fn set_aside_silent(&mut self, now: Moment) {
        if self.all_healthy(now) {
            return;
        }
        let max_silence = self.derived.max_silence;
        let is_live = |e: &Engine| e.status == EngineStatus::Live;
        let silent = self
            .engines_in_flight()
            .filter(|(_, e)| is_live(e) && e.probes_to_return.is_none() && e.silent(now, max_silence));
        let silent: Vec<EngineId> = silent.map(|(id, _)| id).collect();
        if silent.is_empty() {
            return;
        }
        let set_aside =
            self.engine_sets.set_aside.iter().filter(|id| self.engines.get(**id).is_some_and(is_live));
        let allowed = (self.live_engines.len() / 2).saturating_sub(set_aside.count());
        for id in silent.into_iter().take(allowed) {
            self.set_aside(id, SetAsideReason::Silent);
        }
    }

    /// If the list has to be requested, requests it once per quarter of `max_list_age`, until an answer
    /// arrives. Once the list is `max_list_age` old, this router counts as informed of every change, whether
    /// it has received it or not, and nothing may be sent to an engine later than the grace period after the
    /// router was informed that it is draining or gone.
    fn request_list(&mut self, now: Moment) -> Option<Decision> {
        let request_period = self.monitoring.max_list_age?.mul_f64(0.25);
        if self.receives_list_changes
            || self.list_requested_at.is_some_and(|at| now.since(at) < request_period)
        {
            return None;
        }
        self.list_requested_at = Some(now);
        Some(Decision::Subscribe)
    }

    /// Gives an immediate final answer to a job that can't continue or can't be done in time.
    fn give_up(&mut self, now: Moment) -> Option<Decision> {
        let given_up =
            |(id, job): (&JobId, &Job)| Some((*id, self.give_up_reason(job, now)?, self.may_throttle(job)));
        let (job, why, throttle_allowed) = self.jobs.iter().find_map(given_up)?;
        self.job_closed(job);
        let throttle = Decision::Throttle { job, come_back: self.answer_policy.max_retry_after, why };
        Some(if throttle_allowed { throttle } else { Decision::CancelForGood { job, why } })
    }

    /// Dispatches the first job in rank order that may go to any engine. It goes to the engine with the
    /// lowest cost; the engines are shuffled so that equal costs are decided at random. Further engines are
    /// considered only if no job may go to one of the usual ones.
    fn dispatch(&mut self, now: Moment) -> Option<Decision> {
        let mut rng = Pcg32::seed_from_u64(self.rng.random());
        let waiting = self.waiting_jobs(now);
        if waiting.is_empty() {
            return None;
        }
        let mut engines = self.usable();
        let load = self.pool_load(&engines, now);
        engines.shuffle(&mut rng);
        let placement = self.place_first(&waiting, &engines, &load, now).or_else(|| {
            let further = self.extra_candidates(&waiting, load.any_cold, &mut rng);
            self.place_first(&waiting, &further, &load, now)
        });
        let (job, engine) = placement?;
        self.send(now, job, engine)
    }

    /// The jobs that wait for a dispatch, in rank order.
    fn waiting_jobs(&self, now: Moment) -> Vec<JobId> {
        let undispatched_waiting = self.jobs.values().any(|job| !job.closed && job.dispatches.is_empty());
        let second_dispatch_allowed = |job: &Job| {
            self.types[job.type_id.0].effect == Effect::Restartable && job.dispatches_in_flight() == 1
        };
        let needs_second_dispatch = |job: &Job| {
            second_dispatch_allowed(job) && job.dispatches.iter().any(|d| self.is_lost(job, d, now))
        };
        let waits = |job: &Job| {
            !job.closed
                && (job.dispatches_in_flight() == 0 || (!undispatched_waiting && needs_second_dispatch(job)))
        };
        let waiting = self.jobs.iter().filter(|(_, job)| waits(job));
        let mut waiting: Vec<_> = waiting.map(|(id, job)| (self.rank(job, now), *id)).collect();
        waiting.sort_by(|a, b| b.0.total_cmp(&a.0));
        waiting.into_iter().map(|(_, id)| id).collect()
    }

    /// The load of the engines that are considered for jobs.
    fn pool_load(&self, engines: &[(EngineId, &Engine)], now: Moment) -> PoolLoad {
        let limit = self.limit_factor * self.initial_limit(engines, now).0;
        PoolLoad {
            in_flight: self.threads_in_flight(now),
            limit,
            engine_limit: limit * ENGINE_LIMIT_FACTOR / engines.len() as f64,
            any_cold: engines.iter().any(|(_, engine)| self.is_cold(engine, now)),
            reported_work: self.average_reported_work(engines, now),
        }
    }

    /// The work of other routers at an engine, averaged over those with a recent load report.
    fn average_reported_work(&self, engines: &[(EngineId, &Engine)], now: Moment) -> f64 {
        let weighted_work = |e: &Engine| Some((self.other_routers_work(e)?, self.report_weight(e, now)));
        let reported = self.report_sources(engines).into_iter().filter_map(weighted_work);
        let (sum, weights) = reported
            .fold((0.0, 1e-9), |(sum, weights), (work, weight)| (sum + work * weight, weights + weight));
        sum / weights
    }

    /// The first of the jobs that may go to any of the engines, and the engine with the lowest cost for it.
    fn place_first(
        &self, waiting: &[JobId], engines: &[(EngineId, &Engine)], load: &PoolLoad, now: Moment,
    ) -> Option<(JobId, EngineId)> {
        let load_wait = self.derived.max_load_time.secs() * LOAD_WAIT_SLA_FRACTION * (1.0 - self.share());
        let mean = self.estimates.mean_work.value;
        waiting.iter().find_map(|id| {
            let job = &self.jobs[id];
            let already_at =
                |e: EngineId| job.dispatches.iter().any(|d| d.outcome.is_none() && d.engine == e);
            let t = &self.types[job.type_id.0];
            let job_limit = load.limit * if job.work < mean { SHORT_JOB_LIMIT_FACTOR } else { 1.0 };
            let has_room = load.in_flight == 0.0 || load.in_flight + t.threads <= job_limit;
            if !has_room && !load.any_cold {
                return None;
            }
            let fits = |e: &Engine| {
                has_room && (e.in_flight.is_empty() || e.threads_in_flight() + t.threads <= load.engine_limit)
            };
            let may_go =
                |e: &Engine| (self.is_cold(e, now) || fits(e)) && self.is_permitted(*id, job, e, now);
            let affected_by_loads = t.is_load || t.waits_for_loads;
            let takes_loads = if affected_by_loads {
                Self::load_engines(job.group, engines)
            } else {
                vec![false; engines.len()]
            };
            let no_own_load = |e: &Engine| self.own_loads(e, job.group).next().is_none();
            let open_to_loads = |takes_loads: bool, e: &Engine| !t.is_load || (takes_loads && no_own_load(e));
            let candidates = engines.iter().zip(takes_loads);
            let allowed = candidates.filter(|((id, e), takes_loads)| {
                may_go(e) && !already_at(*id) && open_to_loads(*takes_loads, e)
            });
            let extra_wait =
                |takes_loads: bool| if t.waits_for_loads && takes_loads { load_wait } else { 0.0 };
            let cost = |id, e, takes_loads| {
                extra_wait(takes_loads) + self.wait_and_run(job, id, e, load.reported_work, now)
            };
            let costs = allowed.map(|((id, e), takes_loads)| (cost(*id, e, takes_loads), *id));
            costs.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, engine)| (*id, engine))
        })
    }

    /// Records a dispatch and sets its memory grant, priority and timeout.
    fn send(&mut self, now: Moment, id: JobId, to: EngineId) -> Option<Decision> {
        let mean_work = self.estimates.mean_work.value.max(1e-3);
        let mean_value: f64 =
            self.types.iter().map(|t| t.billed_value).sum::<f64>() / self.types.len() as f64;
        let relative_value_density = self.value_density(&self.jobs[&id], now) / (mean_value / mean_work);
        let shorten_timeout = !self.retry_limits.can_cancel && !self.retry_limits.concurrent_dispatches;
        let repeat_deadline = self.repeat_deadline(&self.jobs[&id]);
        let (job, engine) = (self.jobs.get_mut(&id)?, self.engines.get_mut(to)?);
        let t = &self.types[job.type_id.0];
        let max_grant = self.memory_grants.max_grant_share
            * self.fleet.memory_mb_by_kind.get(engine.kind.0).copied().unwrap_or(0.0);
        let grant = (job.memory * self.estimates.memory_bias[job.type_id.0].0).min(max_grant);
        let grant = if self.memory_grants.enabled { grant } else { 0.0 };
        let level =
            PRIORITY_THRESHOLDS.iter().filter(|threshold| relative_value_density >= **threshold).count()
                as u8;
        let priority = if t.is_load { level.max(PRIORITY_THRESHOLDS.len() as u8 - 1) } else { level };
        let left = job.deadline.since(now);
        let timeout = if shorten_timeout && t.effect != Effect::RunOnce {
            left.min(sla_time(t, job.work))
        } else {
            left
        };
        let number = job.dispatches.len();
        self.retried_at.extend(self.retry_limits.retry_budget.filter(|_| number > 0).map(|_| now));
        engine.recent_work.push((now, self.estimates.work[job.type_id.0].value));
        let warm = self.derived.is_warm(engine.group_sent_at.insert(job.group, now).as_ref(), now);
        let in_flight =
            InFlight { at: now, type_id: job.type_id, group: job.group, work: job.work, threads: t.threads };
        engine.in_flight.insert((id, number), in_flight);
        self.engine_sets.in_flight.insert(to);
        self.engine_sets.expiring.insert(to);
        let (zone, cell) = (engine.zone, engine.cell);
        let dispatch = Dispatch { engine: to, zone, cell, sent: now, warm, grant, ..Dispatch::default() };
        job.dispatches.push(dispatch);
        self.dispatches_since_probe += 1;
        Some(Decision::Dispatch {
            job: id,
            engine: to,
            timeout,
            before: repeat_deadline,
            memory: grant,
            priority,
        })
    }

    /// Whether a dispatch in flight should be replaced: its engine was set aside, or its remaining time at
    /// its present rate exceeds `LOST_REMAINING_RUNS` new runs. Threat: an engine hangs, or a query has a bad
    /// plan. The same check detects slow engines. Where the reported fractions of work done are far from the
    /// truth, it may replace the wrong dispatches.
    fn is_lost(&self, job: &Job, dispatch: &Dispatch, now: Moment) -> bool {
        if dispatch.outcome.is_some() || dispatch.cancelled {
            return false;
        }
        let t = &self.types[job.type_id.0];
        let set_aside = self.engines.get(dispatch.engine).is_none_or(|e| e.probes_to_return.is_some());
        let new_run = self.expected_run(job);
        let elapsed = now.since(dispatch.sent);
        let valid_for = self.monitoring.progress_period.mul_f64(PROGRESS_VALID_PERIODS);
        let recent = dispatch.progress.filter(|(at, _)| now.since(*at) <= valid_for);
        let slow = match recent {
            Some((at, fraction)) => {
                let total = at.since(dispatch.sent).mul_f64(1.0 / fraction.max(1e-3));
                total.saturating_sub(elapsed) > new_run.mul_f64(LOST_REMAINING_RUNS) && elapsed > new_run
            }
            None => elapsed > new_run.mul_f64(OVERDUE_RUNS).max(t.sla.mul_f64(OVERDUE_SLA_FRACTION)),
        };
        (set_aside || slow) && now + new_run < job.deadline
    }

    /// How long a new dispatch of a job would take, estimated from the recent run times of its type.
    fn expected_run(&self, job: &Job) -> Span {
        run_time(&self.types[job.type_id.0], job.work).mul_f64(self.estimates.stretch[job.type_id.0].max(1.0))
    }

    /// Cancels a lost dispatch if its job may be dispatched again.
    fn cancel_lost(&mut self, now: Moment) -> Option<Decision> {
        let (id, number) = self.jobs.iter().find_map(|(id, job)| {
            let may_repeat = job.dispatches.len() < self.retry_limits.max_dispatches
                && self.repeat_safe(job, None, now)
                && self.retry_budget_left();
            let lost = job.dispatches.iter().position(|d| self.is_lost(job, d, now));
            lost.filter(|_| !job.closed && may_repeat).map(|number| (*id, number))
        })?;
        self.jobs.get_mut(&id)?.dispatches[number].cancelled = true;
        Some(Decision::CancelDispatch { job: id, number })
    }

    /// Probes an engine that is set aside, suspected, or silent with dispatches in flight. If load reports
    /// come only with probes, this also probes a random engine once per `DISPATCHES_PER_PROBE` dispatches.
    /// The choice is random because probes in a fixed order would give all routers reports of the same
    /// engines.
    fn probe(&mut self, now: Moment) -> Option<Decision> {
        let (min_gap, silence_before_probe) =
            (self.monitoring.connect_timeout.mul_f64(2.0), self.derived.max_silence.mul_f64(0.5));
        let due = |e: &Engine| !e.probe_in_flight && e.probed_at.is_none_or(|at| now.since(at) >= min_gap);
        let suspect = |e: &Engine| e.silent(now, silence_before_probe) || self.suspicion(e, None, now) > 0.0;
        let needs_probe =
            |e: &Engine| e.status != EngineStatus::Gone && (e.probes_to_return.is_some() || suspect(e));
        let healthy = self.healthy_until.is_some_and(|until| now <= until);
        let sets = &self.engine_sets;
        let first_due = |set: &BTreeSet<EngineId>| {
            let is_due = |id: &&EngineId| self.engines.get(**id).is_some_and(|e| due(e) && needs_probe(e));
            let looked_at = set.iter().inspect(|_| sets.count_examined(1));
            looked_at.copied().find(|id| is_due(&id))
        };
        let any_first_due =
            || [&sets.set_aside, &sets.suspected, &sets.in_flight].into_iter().filter_map(first_due).min();
        let mut pick = if healthy { None } else { any_first_due() };
        if pick.is_none()
            && self.monitoring.reports_with_probes_only
            && self.dispatches_since_probe >= DISPATCHES_PER_PROBE
        {
            let live = self.probe_sources().into_iter().filter(|(_, e)| due(e));
            let live: Vec<EngineId> = live.map(|(id, _)| id).collect();
            pick = live.get(self.rng.random_range(0..live.len().max(1))).copied();
            self.dispatches_since_probe = 0;
        }
        let engine = self.engines.get_mut(pick?)?;
        (engine.probe_in_flight, engine.probed_at) = (true, Some(now));
        Some(Decision::Probe { engine: pick? })
    }

    /// Requests the next call of `next_decision`. The one timer serves all purposes: its period is short
    /// while there are jobs, and long while only set-aside engines or the engine list have to be checked.
    fn wake(&mut self, now: Moment) -> Option<Decision> {
        if self.jobs.is_empty() && self.receives_list_changes && self.engine_sets.set_aside.is_empty() {
            return None;
        }
        let after = if self.jobs.is_empty() {
            self.monitoring.connect_timeout
        } else {
            self.answer_policy.answer_tolerance
        };
        let after = after.max(Span::from_micros(1));
        if self.wake_at.is_some_and(|at| at > now && at <= now + after) {
            return None;
        }
        self.wake_at = Some(now + after);
        Some(Decision::Wake { after })
    }
}
