//! Every decision of woadhook. A host builds one [`Router`] from the parts below, each made from the few
//! settings that it needs, tells it what happens (`job_arrived`, `dispatch_ended`, `load_reported`, ...) and then
//! pulls [`Router::next_decision`] until it gives none. The words of both sides are in `interface.rs`.
//!
//! The ordinary path is Index/Load: a job goes to the allowed engine of smallest estimated wait plus run,
//! engines that lately got its table group costed optimistically (`wait_and_run`).
//! Beside it stand six mechanisms, and one legality check that every dispatch passes (`legal`):
//!
//! 1. a limit on the threads in flight, with parts for engines and loads; the rest waits (`judge`, `homes`),
//! 2. engines set aside on silence, resets or failed connects, back after probes (`watch`), which hearsay of
//!    other routers brings forward (`peer_reported`),
//! 3. a budget of work for cold engines, at which the routers take turns (`slow_start`),
//! 4. the order of held jobs, and throttling at once of what can't be done in time (`give_up`),
//! 5. time-outs and further dispatches (`lost`, `cancel_lost`),
//! 6. memory grants and priorities from learned estimate bias (`send`, `Estimates`).
//!
//! What the rules allow of a job is in `rules`, what it costs at an engine and which goes first in `placement`.

mod placement;
mod rules;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

use crate::estimates::{Estimates, MEMORY};
use crate::interface::*;
use crate::records::{Bounds, Dispatch, Engine, Job, Mean, Report, Sent, Turns, sla_of, t_run};
use crate::slow_start::SlowStart;
use crate::time::{Moment, Span};

/// Part of the SLA time that a good dispatch may take; the rest is for waiting here.
const GOOD_PART: f64 = 0.75;
/// Good answers that make up for a bad one.
const GOOD_PER_BAD: f64 = 8.0;
/// What jobs shorter than the mean may fill, over the limit: they free their threads soon.
const SHORT_ROOM: f64 = 2.0;
/// What one engine may take, over its even part of the limit.
const ENGINE_PARTS: f64 = 2.0;
/// Roots of this router's part of the cores that its first limit adds, as bursts of many routers even out.
const BURST_ROOTS: f64 = 2.0;
/// Answered probes in a row that bring an engine back.
const ANSWERS_TO_RETURN: u32 = 2;
/// Part of a load's SLA time that what waits for loads stands on average where others' loads of its group go.
const HELD_PART: f64 = 0.1;
/// Own dispatches for each probe that only asks for a report.
const DISPATCHES_PER_PROBE: u32 = 5;
/// A dispatch is lost when what remains of it exceeds so many usual runs.
const LOST_RUNS: f64 = 2.0;
/// A dispatch without word is lost after so many usual runs, or this part of the SLA time if that is more.
const OVERDUE_RUNS: f64 = 3.0;
const OVERDUE_PART: f64 = 0.5;
/// Billed value per work, over its mean, from which each next priority is given.
const PRIORITY_STEPS: [f64; 3] = [0.25, 0.5, 0.75];
/// Good answers and errors that the share of errors of a type at an engine remembers.
const ERRORS_KEPT: f64 = 8.0;
/// Note periods for which a word on a dispatch holds.
const OVERDUE_PERIODS: f64 = 1.5;
/// How often the records of engines are emptied of what is past.
const SWEEP: Span = Span::from_micros(100_000);

/// The decisions of one router.
pub struct Router {
    chance: Pcg32,
    started: Moment,
    types: Vec<ReservationType>,
    estimates: Estimates,
    fleet: Fleet,
    slow_start: SlowStart,
    further: RetryLimits,
    watching: Monitoring,
    answers: AnswerPolicy,
    terms: MemoryGrants,
    bounds: Bounds,
    /// The in-flight limit over what it starts from, and whether a bad answer has cut it yet.
    fill: f64,
    was_cut: bool,
    /// What is left of this router's part of each tenant's share, and since when.
    parts: Vec<(f64, Moment)>,
    /// What rule 7 counts; both emptied of what has left its window.
    taken: VecDeque<Moment>,
    resent: VecDeque<Moment>,
    asked: Option<Moment>,
    subscribed: bool,
    /// Emptied of jobs that are over and have nothing out.
    jobs: BTreeMap<JobId, Job>,
    /// Emptied of keys with no job left, once rested.
    keys: BTreeMap<KeyId, Turns>,
    engines: BTreeMap<EngineId, Engine>,
    swept: Moment,
    /// Whether an engine that is gone may still be kept.
    some_gone: bool,
    /// Until then no engine is silent, set aside or doubted; unknown once one may be.
    calm_until: Option<Moment>,
    since_probe: u32,
    wake_at: Option<Moment>,
    /// Both emptied as the host pulls.
    forgotten: Vec<Forgotten>,
    news: VecDeque<Decision>,
}

impl Router {
    pub fn new(
        now: Moment, seed: u64, types: Vec<ReservationType>, fleet: Fleet, cold: ColdStart,
        further: RetryLimits, watching: Monitoring, answers: AnswerPolicy, terms: MemoryGrants,
    ) -> Self {
        let parts = vec![(1.0, now); answers.tenant_rates.len()];
        let subscribed = watching.max_list_age.is_none();
        let bounds = Bounds::new(&types, &watching);
        Self {
            chance: Pcg32::seed_from_u64(seed),
            started: now,
            estimates: Estimates::new(&types),
            slow_start: SlowStart::new(cold, &fleet, &bounds),
            bounds,
            types,
            fleet,
            further,
            watching,
            answers,
            terms,
            fill: 1.0,
            was_cut: false,
            parts,
            taken: VecDeque::new(),
            resent: VecDeque::new(),
            asked: None,
            subscribed,
            jobs: BTreeMap::new(),
            keys: BTreeMap::new(),
            engines: BTreeMap::new(),
            swept: now,
            some_gone: false,
            calm_until: None,
            since_probe: 0,
            wake_at: None,
            forgotten: Vec::new(),
            news: VecDeque::new(),
        }
    }

    pub fn job_arrived(
        &mut self, now: Moment, job: JobId, kind: TypeId, tenant: Option<TenantId>, group: GroupId,
        key: Option<KeyId>, told: Option<Span>, memory: f64, expires: Span,
    ) {
        let earned = self.share_earned(tenant, now);
        let t = &self.types[kind.0];
        let learned = (self.estimates.work[kind.0].value, self.estimates.work_bias[kind.0].value);
        let work = told.map_or(learned.0, |span| span.secs() * learned.1);
        let worth = if self.answers.value_by_work { work } else { 1.0 };
        let key = key.filter(|_| t.ordered);
        if let Some(key) = key {
            self.keys.entry(key).or_default().jobs.push_back(job);
        }
        self.taken.extend(self.further.retry_budget.map(|_| now));
        self.estimates.all_work.add(work, MEMORY);
        if told.is_some() {
            self.estimates.work[kind.0].add(work, MEMORY);
        }
        let sla_due = now + sla_of(t, work);
        let (billed, deadline) = (t.billed_value * earned * worth, now + expires);
        let new = Job { kind, group, key, told, work, memory, sla_due, deadline, billed, ..Job::default() };
        self.jobs.insert(job, new);
    }

    /// The client left, or the job ended by other means.
    pub fn job_closed(&mut self, job: JobId) {
        if let Some(record) = self.jobs.get_mut(&job) {
            record.over = true;
        }
        self.drop_if_spent(job);
    }

    /// The host ends by then, and with it what it still holds.
    pub fn stop_by(&mut self, by: Moment) {
        self.jobs.values_mut().for_each(|job| job.deadline = job.deadline.min(by));
    }

    /// `told` is the true work and memory, where the answer tells them; `over` holds when the job has its
    /// final answer.
    pub fn dispatch_ended(
        &mut self, now: Moment, job: JobId, number: usize, outcome: Outcome, took: Span,
        told: Option<(Span, f64)>, over: bool,
    ) {
        let Some(record) = self.jobs.get_mut(&job) else { return };
        let Some(dispatch) = record.dispatches.get_mut(number) else { return };
        dispatch.outcome = Some(outcome);
        record.over |= over;
        let (record, dispatch) = (&*record, &record.dispatches[number]);
        let t = &self.types[record.kind.0];
        if let (Some(key), true) = (record.key, outcome.may_still_run()) {
            let turns = self.keys.entry(key).or_default();
            turns.rest_until = turns.rest_until.max(now + self.further.key_rest);
        }
        if outcome == Outcome::Done {
            self.estimates.served(t, record, dispatch, told, took);
        }
        let good = outcome == Outcome::Done && took <= sla_of(t, record.work).mul_f64(GOOD_PART);
        let failed = matches!(outcome, Outcome::Reset | Outcome::NotConnected);
        let silent = failed || dispatch.stood || matches!(outcome, Outcome::Cancelled | Outcome::NotIssued);
        let (kind, id, judged) = (record.kind, dispatch.engine, dispatch.judged);
        if (good || !silent) && !judged {
            self.judge(now, kind, id, good);
        }
        if let Some(engine) = self.engines.get_mut(&id) {
            engine.out.remove(&(job, number));
            if matches!(outcome, Outcome::Done | Outcome::Error | Outcome::TurnedAway) {
                engine.heard = now;
            }
            if matches!(outcome, Outcome::Done | Outcome::Error) {
                for of in [Some(kind), None] {
                    let (errors, last) =
                        engine.errors.entry(of).or_insert((Mean::new(0.0, ERRORS_KEPT), now));
                    errors.add(f64::from(outcome == Outcome::Error), ERRORS_KEPT);
                    *last = now;
                }
            }
        }
        if failed {
            self.set_aside(id, SetAsideReason::Failed);
        }
        self.drop_if_spent(job);
    }

    /// A dispatch for this key is about to end without word, and may run on.
    pub fn key_in_doubt(&mut self, key: KeyId) {
        self.keys.entry(key).or_default().in_doubt += 1;
    }

    /// It does not run on. Threat: an engine that hangs keeps its job for as long, whatever is assumed of it.
    pub fn key_settled(&mut self, now: Moment, key: KeyId) {
        if let Some(turns) = self.keys.get_mut(&key) {
            turns.in_doubt = turns.in_doubt.saturating_sub(1);
            turns.rest_until = turns.rest_until.max(now + self.further.key_rest);
        }
    }

    pub fn progress_reported(&mut self, now: Moment, job: JobId, number: usize, progress: Progress) {
        let hold = now + self.bounds.load_run;
        let Some(record) = self.jobs.get_mut(&job) else { return };
        let Some(dispatch) = record.dispatches.get_mut(number) else { return };
        let Some(engine) = self.engines.get_mut(&dispatch.engine) else { return };
        engine.heard = now;
        match progress {
            Progress::Fraction(share) => {
                dispatch.share = Some((now, share));
                let t = &self.types[record.kind.0];
                let foretold = now.since(dispatch.sent).mul_f64(1.0 / share.max(1e-3));
                let misses = foretold > sla_of(t, record.work) && !dispatch.stood;
                if misses && !std::mem::replace(&mut dispatch.judged, true) {
                    let (kind, at) = (record.kind, dispatch.engine);
                    self.judge(now, kind, at, false);
                }
            }
            Progress::Spills(missing) => {
                if !std::mem::replace(&mut dispatch.short, true) && dispatch.grant > 0.0 {
                    let needed = (dispatch.grant + missing) / record.memory;
                    self.estimates.grant_judged(record.kind, Some(needed), false);
                }
            }
            Progress::WaitsForMemory => dispatch.waited = true,
            Progress::WaitsForLoad => {
                dispatch.stood = true;
                engine.holds.insert(record.group, hold);
            }
        }
    }

    /// A load report, used on arrival; what it lacks is `None`.
    pub fn load_reported(
        &mut self, now: Moment, engine: EngineId, active: Option<f64>, waiting: Option<f64>,
        cpu: Option<f64>, disks: Option<f64>,
    ) {
        if let Some(engine) = self.engines.get_mut(&engine) {
            let cpu = cpu.unwrap_or(0.0).max(disks.unwrap_or(0.0));
            engine.report = Some(Report { at: now, active, waiting: waiting.unwrap_or(0.0), cpu });
        }
    }

    pub fn probe_ended(&mut self, now: Moment, id: EngineId, outcome: Outcome) {
        let Some(engine) = self.engines.get_mut(&id) else { return };
        engine.probe_out = false;
        if outcome == Outcome::NotIssued {
            return;
        }
        if !matches!(outcome, Outcome::Done | Outcome::TurnedAway) {
            engine.aside = engine.aside.map(|_| ANSWERS_TO_RETURN);
            return self.set_aside(id, SetAsideReason::Unanswered);
        }
        engine.heard = now;
        let Some(left) = engine.aside else { return };
        engine.aside = (left > 1).then_some(left - 1);
        if engine.aside.is_none() {
            engine.cold_since = Some(now);
            self.news.push_back(Decision::Back { engine: id });
        }
    }

    fn set_aside(&mut self, id: EngineId, why: SetAsideReason) {
        if let Some(engine) = self.engines.get_mut(&id).filter(|engine| engine.aside.is_none()) {
            engine.aside = Some(ANSWERS_TO_RETURN);
            self.calm_until = None;
            self.news.push_back(Decision::SetAside { engine: id, why });
        }
    }

    /// An engine sends a usual result by so much slower than its peers.
    pub fn transfer_delay_measured(&mut self, id: EngineId, longer: Span) {
        if let Some(engine) = self.engines.get_mut(&id) {
            engine.longer = longer;
        }
    }

    /// Other routers doubt an engine so far, from 0 to 1; of one type, or all.
    pub fn peer_reported(&mut self, now: Moment, id: EngineId, of: Option<TypeId>, doubt: f64) {
        if let Some(engine) = self.engines.get_mut(&id) {
            engine.hearsay.insert(of, (doubt.clamp(0.0, 1.0), now));
            self.calm_until = None;
        }
    }

    /// What is left of a doubt: it fades over the patience, and the first own word since ends it. Threat: a
    /// router with few jobs meets a hung engine late. It also catches engines that fail others. It may hurt
    /// where others lie, so it only brings a probe forward and adds to an estimate.
    fn doubt(&self, engine: &Engine, of: Option<TypeId>, now: Moment) -> f64 {
        if engine.hearsay.is_empty() {
            return 0.0;
        }
        let ended = engine.errors.get(&of).map_or(Moment::default(), |(_, last)| *last);
        let own = if of.is_none() { engine.heard } else { ended };
        let left = |at: Moment| 1.0 - now.since(at).secs() / self.bounds.patience.secs();
        let doubt = engine.hearsay.get(&of).filter(|(_, at)| *at > own);
        doubt.map_or(0.0, |(doubt, at)| doubt * left(*at).max(0.0))
    }

    /// One line of the engine list.
    pub fn engine_listed(
        &mut self, now: Moment, id: EngineId, zone: ZoneId, kind: KindId, cell: CellId, listed: EngineStatus,
        start: Option<EngineStart>, stable_hash: u64,
    ) {
        let cold_since = start.map(|start| now.saturating_sub(start.age));
        let stamp = start.map(|start| start.stamp);
        let fresh = Engine { stable_hash, start: stamp, cold_since, heard: now, ..Engine::default() };
        let engine = self.engines.entry(id).or_insert(fresh);
        (engine.zone, engine.kind, engine.cell, engine.listed) = (zone, kind, cell, listed);
        self.some_gone |= listed == EngineStatus::Gone;
        // Any other stamp is another start, also an earlier one: the engine's clock may have stepped back between.
        if stamp.is_some() && stamp != engine.start {
            (engine.start, engine.cold_since) = (stamp, engine.cold_since.max(cold_since));
            engine.groups.clear();
            engine.report = None;
        }
    }

    /// The list just told was complete: engines that it did not name are gone.
    pub fn list_complete(&mut self, named: &[EngineId]) {
        self.list_changed();
        let named: BTreeSet<EngineId> = named.iter().copied().collect();
        for (_, engine) in self.engines.iter_mut().filter(|(id, _)| !named.contains(id)) {
            engine.listed = EngineStatus::Gone;
            self.some_gone = true;
        }
    }

    pub fn list_changed(&mut self) {
        self.subscribed |= self.asked.is_some();
    }

    pub fn list_unavailable(&mut self) {
        self.subscribed = self.watching.max_list_age.is_none();
    }

    /// The share of the billed value that a job of this tenant earns, taking it from the tenant's part.
    fn share_earned(&mut self, tenant: Option<TenantId>, now: Moment) -> f64 {
        let Some(id) = tenant.filter(|id| id.0 < self.parts.len()) else { return 1.0 };
        let rate = self.answers.tenant_rates[id.0] * self.share();
        let (left, since) = self.parts[id.0];
        let left = (left + rate * now.since(since).secs()).min(rate.max(1.0));
        let within = left >= 1.0;
        self.parts[id.0] = (if within { left - 1.0 } else { left }, now);
        if within { 1.0 } else { self.answers.over_share_factor }
    }

    /// Engines that are live and not set aside; if all are, all that are live.
    fn usable(&self) -> Vec<(EngineId, &Engine)> {
        let live =
            || self.engines.iter().filter(|(_, e)| e.listed == EngineStatus::Live).map(|(id, e)| (*id, e));
        let well: Vec<_> = live().filter(|(_, e)| e.aside.is_none()).collect();
        if well.is_empty() { live().collect() } else { well }
    }

    /// What the in-flight limit starts from and falls to: this router's part of the usable cores, cold ones
    /// at their start capacity, with room for bursts and without.
    fn first_limit(&self, usable: &[(EngineId, &Engine)], now: Moment) -> (f64, f64) {
        let cores: f64 = usable.iter().map(|(_, e)| self.able_cores(e, now)).sum();
        let part = (cores * self.share()).max(1.0);
        (part + BURST_ROOTS * part.sqrt(), part)
    }

    /// The in-flight limit, in threads at all usable engines: it grows by one for each good answer until its
    /// first cut and for each `GOOD_PER_BAD` later, if in use; a bad answer cuts it by its part of a round.
    /// What a cold engine does says nothing of it: its work is not counted.
    fn judge(&mut self, now: Moment, kind: TypeId, at: EngineId, good: bool) {
        if self.engines.get(&at).is_some_and(|engine| self.is_cold(engine, now)) {
            return;
        }
        let (usable, threads) = (self.usable(), self.types[kind.0].threads);
        let ((first, least), out) = (self.first_limit(&usable, now), self.threads_out(&usable, now));
        if !good {
            self.was_cut = true;
            self.fill = (self.fill - threads / first).max(least / first);
        } else if out * 2.0 > self.fill * first {
            self.fill += threads / first / if self.was_cut { GOOD_PER_BAD } else { 1.0 };
        }
    }

    /// Own threads out that the limit counts: cold engines have their budget instead.
    fn threads_out(&self, engines: &[(EngineId, &Engine)], now: Moment) -> f64 {
        engines.iter().filter(|(_, e)| !self.is_cold(e, now)).map(|(_, e)| e.threads_out()).sum()
    }

    /// This router's part of the fleet.
    fn share(&self) -> f64 {
        1.0 / self.fleet.router_count.max(1) as f64
    }

    fn cores(&self, kind: KindId) -> f64 {
        self.fleet.cores_by_kind.get(kind.0).copied().unwrap_or(1.0).max(1.0)
    }

    fn drop_if_spent(&mut self, job: JobId) {
        if self.jobs.get(&job).is_some_and(|record| record.over && record.out() == 0) {
            let record = self.jobs.remove(&job);
            if let Some(turns) = record.and_then(|r| r.key).and_then(|key| self.keys.get_mut(&key)) {
                turns.jobs.retain(|other| *other != job);
            }
            self.forgotten.push(Forgotten::Job(job));
        }
    }

    pub fn next_decision(&mut self, now: Moment) -> Option<Decision> {
        self.let_go(now);
        self.watch(now);
        self.follow_list(now)
            .or_else(|| self.give_up(now))
            .or_else(|| if self.further.can_cancel { self.cancel_lost(now) } else { None })
            .or_else(|| self.dispatch(now))
            .or_else(|| if self.watching.may_probe { self.probe(now) } else { None })
            .or_else(|| self.news.pop_front())
            .or_else(|| self.forgotten.pop().map(Decision::Forget))
            .or_else(|| self.wake(now))
    }

    /// Empties what time alone empties. What is past in the records of engines counts for nothing where it is
    /// read, so these are gone through now and then only.
    fn let_go(&mut self, now: Moment) {
        if now.since(self.swept) >= SWEEP {
            self.swept = now;
            self.engines
                .values_mut()
                .for_each(|engine| engine.let_go(now, self.slow_start.window(), self.bounds));
        }
        if let Some(ration) = &self.further.retry_budget {
            while self.taken.front().is_some_and(|&at| now.since(at) >= ration.window) {
                self.taken.pop_front();
            }
            while self.resent.front().is_some_and(|&at| now.since(at) > ration.window) {
                self.resent.pop_front();
            }
        }
        let rest = |t: &Turns| t.jobs.is_empty() && t.in_doubt == 0 && now >= t.rest_until;
        let rested = self.keys.extract_if(.., |_, turns| rest(turns));
        self.forgotten.extend(rested.map(|(key, _)| Forgotten::Key(key)));
        if self.some_gone {
            let idle = |e: &mut Engine| e.out.is_empty() && !e.probe_out;
            let gone = self.engines.extract_if(.., |_, e| e.listed == EngineStatus::Gone && idle(e));
            self.forgotten.extend(gone.map(|(id, _)| Forgotten::Engine(id)));
            self.some_gone = self.engines.values().any(|e| e.listed == EngineStatus::Gone);
        }
    }

    /// Whether no engine is set aside, doubted, or silent for half of the patience. While that holds none
    /// needs to be looked at: what is sent later is silent later.
    fn is_calm(&mut self, now: Moment) -> bool {
        let calm = self.calm_until.is_some_and(|until| now <= until);
        if calm || self.engines.values().any(|e| e.aside.is_some() || !e.hearsay.is_empty()) {
            return calm;
        }
        let first = self.engines.values().filter_map(Engine::silent_since).min().unwrap_or(now);
        let until = first + self.bounds.patience.mul_f64(0.5);
        self.calm_until = Some(until);
        now <= until
    }

    /// Sets aside engines silent with work out. Threat: machines that hang without a reset. It also catches
    /// cut links and lost notes; it hurts where notes come late, so at most half of the live engines go.
    fn watch(&mut self, now: Moment) {
        if self.is_calm(now) {
            return;
        }
        let patience = self.bounds.patience;
        let live = || self.engines.iter().filter(|(_, e)| e.listed == EngineStatus::Live);
        let silent = live().filter(|(_, e)| e.aside.is_none() && e.silent(now, patience));
        let silent: Vec<EngineId> = silent.map(|(id, _)| *id).collect();
        if silent.is_empty() {
            return;
        }
        let room = (live().count() / 2).saturating_sub(live().filter(|(_, e)| e.aside.is_some()).count());
        for id in silent.into_iter().take(room) {
            self.set_aside(id, SetAsideReason::Silent);
        }
    }

    /// Where the list must be asked for, asks long before rule 3 would hold a change as told.
    fn follow_list(&mut self, now: Moment) -> Option<Decision> {
        let ask_again = self.watching.max_list_age?.mul_f64(0.25);
        if self.subscribed || self.asked.is_some_and(|at| now.since(at) < ask_again) {
            return None;
        }
        self.asked = Some(now);
        Some(Decision::Subscribe)
    }

    /// Final answers for jobs that can't go on or can't be done in time, at once.
    fn give_up(&mut self, now: Moment) -> Option<Decision> {
        let given_up =
            |(id, job): (&JobId, &Job)| Some((*id, self.hopeless(job, now)?, self.may_throttle(job)));
        let (job, why, harmless) = self.jobs.iter().find_map(given_up)?;
        self.job_closed(job);
        let throttle = Decision::Throttle { job, come_back: self.answers.max_retry_after, why };
        Some(if harmless { throttle } else { Decision::CancelForGood { job, why } })
    }

    fn dispatch(&mut self, now: Moment) -> Option<Decision> {
        let ties: u64 = self.chance.random();
        let scarce = self.jobs.values().any(|job| !job.over && job.dispatches.is_empty());
        let again = |job: &Job| self.types[job.kind.0].effect == Effect::Restartable && job.out() == 1;
        let copy = |job: &Job| again(job) && job.dispatches.iter().any(|d| self.lost(job, d, now));
        let waits = |job: &Job| !job.over && (job.out() == 0 || (!scarce && copy(job)));
        let waiting = self.jobs.iter().filter(|(_, job)| waits(job));
        let mut waiting: Vec<_> = waiting.map(|(id, job)| (self.rank(job, now), *id)).collect();
        if waiting.is_empty() {
            return None;
        }
        waiting.sort_by(|a, b| b.0.total_cmp(&a.0));
        let mut engines = self.usable();
        let (out, limit) = (self.threads_out(&engines, now), self.fill * self.first_limit(&engines, now).0);
        engines.shuffle(&mut Pcg32::seed_from_u64(ties));
        let any_cold = engines.iter().any(|(_, e)| self.is_cold(e, now));
        let word = |e: &Engine| Some((self.foreign_work(e)?, self.freshness(e, now)));
        let heard = self.engines.values().filter_map(word);
        let heard = heard.fold((0.0, 1e-9), |(sum, all), (work, fresh)| (sum + work * fresh, all + fresh));
        let (average, held) =
            (heard.0 / heard.1, self.bounds.load_run.secs() * HELD_PART * (1.0 - self.share()));
        let (part, mean) = (limit * ENGINE_PARTS / engines.len() as f64, self.estimates.all_work.value);
        let (job, engine) = waiting.iter().find_map(|(_, id)| {
            let job = &self.jobs[id];
            let here = |e: EngineId| job.dispatches.iter().any(|d| d.outcome.is_none() && d.engine == e);
            let t = &self.types[job.kind.0];
            let most = limit * if job.work < mean { SHORT_ROOM } else { 1.0 };
            let room = out == 0.0 || out + t.threads <= most;
            if !room && !any_cold {
                return None;
            }
            let fits = |e: &Engine| room && (e.out.is_empty() || e.threads_out() + t.threads <= part);
            let may = |e: &Engine| (self.is_cold(e, now) || fits(e)) && self.legal(*id, job, e, now);
            let loads = t.is_load || t.waits_for_loads;
            let homes = if loads { Self::homes(job.group, &engines) } else { vec![false; engines.len()] };
            let alone = |e: &Engine| self.own_loads(e, job.group).next().is_none();
            let open = |home: bool, e: &Engine| !t.is_load || (home && alone(e));
            let placed = engines.iter().zip(homes);
            let allowed = placed.filter(|((id, e), home)| may(e) && !here(*id) && open(*home, e));
            let held = |home: bool| if t.waits_for_loads && home { held } else { 0.0 };
            let cost = |id, e, home| held(home) + self.wait_and_run(job, id, e, average, now);
            let costs = allowed.map(|((id, e), home)| (cost(*id, e, home), *id));
            costs.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, engine)| (*id, engine))
        })?;
        self.send(now, job, engine)
    }

    fn send(&mut self, now: Moment, id: JobId, to: EngineId) -> Option<Decision> {
        let fair = self.estimates.all_work.value.max(1e-3);
        let billed: f64 = self.types.iter().map(|t| t.billed_value).sum::<f64>() / self.types.len() as f64;
        let density = self.density(&self.jobs[&id], now) / (billed / fair);
        let retry = !self.further.can_cancel && !self.further.concurrent_dispatches;
        let before = self.repeat_before(&self.jobs[&id]);
        let (job, engine) = (self.jobs.get_mut(&id)?, self.engines.get_mut(&to)?);
        let t = &self.types[job.kind.0];
        let most = self.terms.max_grant_share
            * self.fleet.memory_mb_by_kind.get(engine.kind.0).copied().unwrap_or(0.0);
        let grant = (job.memory * self.estimates.memory_bias[job.kind.0].0).min(most);
        let grant = if self.terms.enabled { grant } else { 0.0 };
        let step = PRIORITY_STEPS.iter().filter(|step| density >= **step).count() as u8;
        let priority = if t.is_load { step.max(PRIORITY_STEPS.len() as u8 - 1) } else { step };
        let left = job.deadline.since(now);
        let timeout = if retry && t.effect != Effect::RunOnce { left.min(sla_of(t, job.work)) } else { left };
        let number = job.dispatches.len();
        self.resent.extend(self.further.retry_budget.filter(|_| number > 0).map(|_| now));
        engine.sent.push((now, self.estimates.work[job.kind.0].value));
        let warm = self.bounds.is_warm(engine.groups.insert(job.group, now).as_ref(), now);
        let sent = Sent { at: now, kind: job.kind, group: job.group, work: job.work, threads: t.threads };
        engine.out.insert((id, number), sent);
        let (zone, cell) = (engine.zone, engine.cell);
        let sent = Dispatch { engine: to, zone, cell, sent: now, warm, grant, ..Dispatch::default() };
        job.dispatches.push(sent);
        self.since_probe += 1;
        Some(Decision::Dispatch { job: id, engine: to, timeout, before, memory: grant, priority })
    }

    /// Whether a dispatch that is out should be replaced: its engine was set aside, or the rest of it at its
    /// pace exceeds fresh runs. Threat: hung engines and bad plans; it catches slow engines too. It may hurt
    /// where shares told are far off.
    fn lost(&self, job: &Job, dispatch: &Dispatch, now: Moment) -> bool {
        if dispatch.outcome.is_some() || dispatch.cancelled {
            return false;
        }
        let t = &self.types[job.kind.0];
        let gone = self.engines.get(&dispatch.engine).is_none_or(|e| e.aside.is_some());
        let fresh = self.fresh_run(job);
        let ran = now.since(dispatch.sent);
        let holds = self.watching.progress_period.mul_f64(OVERDUE_PERIODS);
        let word = dispatch.share.filter(|(at, _)| now.since(*at) <= holds);
        let slow = match word {
            Some((at, share)) => {
                let total = at.since(dispatch.sent).mul_f64(1.0 / share.max(1e-3));
                total.saturating_sub(ran) > fresh.mul_f64(LOST_RUNS) && ran > fresh
            }
            None => ran > fresh.mul_f64(OVERDUE_RUNS).max(t.sla.mul_f64(OVERDUE_PART)),
        };
        (gone || slow) && now + fresh < job.deadline
    }

    /// How long a new dispatch of a job would take, as its type goes these days.
    fn fresh_run(&self, job: &Job) -> Span {
        t_run(&self.types[job.kind.0], job.work).mul_f64(self.estimates.stretch[job.kind.0].max(1.0))
    }

    fn cancel_lost(&mut self, now: Moment) -> Option<Decision> {
        let (id, number) = self.jobs.iter().find_map(|(id, job)| {
            let again = job.dispatches.len() < self.further.max_dispatches
                && self.repeat_safe(job, None, now)
                && self.ration_left();
            let lost = job.dispatches.iter().position(|d| self.lost(job, d, now));
            lost.filter(|_| !job.over && again).map(|number| (*id, number))
        })?;
        self.jobs.get_mut(&id)?.dispatches[number].cancelled = true;
        Some(Decision::CancelDispatch { job: id, number })
    }

    /// Probes engines that are set aside or quiet with work out, and, where only probes carry reports, one
    /// drawn by chance, thriftily: probes in an order would tell all routers of the same engines.
    fn probe(&mut self, now: Moment) -> Option<Decision> {
        let (every, quiet) = (self.watching.connect_timeout.mul_f64(2.0), self.bounds.patience.mul_f64(0.5));
        let due = |e: &Engine| !e.probe_out && e.probed.is_none_or(|at| now.since(at) >= every);
        let told = |e: &Engine| e.silent(now, quiet) || self.doubt(e, None, now) > 0.0;
        let doubtful = |e: &Engine| e.listed != EngineStatus::Gone && (e.aside.is_some() || told(e));
        let calm = self.calm_until.is_some_and(|until| now <= until);
        let doubted = || self.engines.iter().find(|(_, e)| due(e) && doubtful(e));
        let mut pick = if calm { None } else { doubted().map(|(id, _)| *id) };
        if pick.is_none()
            && self.watching.reports_with_probes_only
            && self.since_probe >= DISPATCHES_PER_PROBE
        {
            let live = self.engines.iter().filter(|(_, e)| e.listed == EngineStatus::Live && due(e));
            let live: Vec<EngineId> = live.map(|(id, _)| *id).collect();
            pick = live.get(self.chance.random_range(0..live.len().max(1))).copied();
            self.since_probe = 0;
        }
        let engine = self.engines.get_mut(&pick?)?;
        (engine.probe_out, engine.probed) = (true, Some(now));
        Some(Decision::Probe { engine: pick? })
    }

    /// One coalesced timer: soon while there are jobs, rarely while engines are set aside.
    fn wake(&mut self, now: Moment) -> Option<Decision> {
        if self.jobs.is_empty() && self.subscribed && self.engines.values().all(|e| e.aside.is_none()) {
            return None;
        }
        let after = if self.jobs.is_empty() { self.watching.connect_timeout } else { self.answers.slack };
        let after = after.max(Span::from_micros(1));
        if self.wake_at.is_some_and(|at| at > now && at <= now + after) {
            return None;
        }
        self.wake_at = Some(now + after);
        Some(Decision::Wake { after })
    }
}
