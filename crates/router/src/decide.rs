//! The actor that runs the decision module. It alone owns the module's `woadhook::Router`, the names that
//! belong to the module's indices, its timer and the open jobs. It handles all queued events, then pulls
//! decisions until there is none left.

use std::cell::Cell;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::rc::Rc;

use async_channel::{Receiver, Sender};
use futures_lite::{FutureExt, future};
use serde_json::Value;
use serde_json::value::RawValue;
use woadhook::*;
use woadhook_flow_control::engine_rates::EngineRates;
use woadhook_flow_control::min_rate::MinRate;
use woadhook_gossip::EngineCondition;
use woadhook_host::Instance;
use woadhook_host::fields::*;

use crate::backends::sql::engine::EngineContext;
use crate::backends::sql::handle::{EngineCall, EngineHandle};
use crate::clock::Clock;
use crate::config::parse_address;
use crate::engine_list::Member;
use crate::exchange::{
    Answer, Dispatch, Event, GossipEvent, GossipHandle, MALFORMED, Responder, Statement, parse_measurement,
};
use crate::guards::{EarlierDispatches, Refusal, Step};
use crate::list_update::ListUpdate;
use crate::past_runs::PastRuns;
use crate::starts::{EventTime, StartTime};
use crate::unsettled_keys::UnsettledKeys;

/// Capacity of each of the actor's two queues, one for urgent events and one for all others.
pub const MAILBOX_CAPACITY: usize = 4096;
/// Maximum number of events that are handled before decisions are pulled, and of decisions that are pulled
/// before other tasks run, so that messages from clients and discovery are read soon.
const MAX_EVENTS_PER_TURN: usize = 512;
const MAX_DECISIONS_PER_TURN: usize = 512;
/// Maximum number of those decisions that start work at engines, each of which costs much more than an answer.
const MAX_ENGINE_CALLS_PER_TURN: usize = 32;
/// While the router is late, this is logged at most once per this interval.
const LATENESS_LOG_INTERVAL: Span = Span::from_micros(1_000_000);
/// Capacity of a query's queue of changed priorities that have not been sent to its engine yet.
const PRIORITY_QUEUE_CAPACITY: usize = 4;

/// A job that the module has a record of.
struct OpenJob {
    /// The number of the client's connection.
    client: u64,
    statement: Rc<Statement>,
    type_id: TypeId,
    deadline: Moment,
    /// The order key, if jobs of the type keep order.
    order_key: Option<KeyId>,
    /// The right to send the final answer; `None` once the answer was sent or the request withdrawn.
    responder: Option<Responder>,
    /// How many dispatches were made so far.
    dispatches: usize,
    /// The earliest dispatch that has ended without proof that it never ran, of this job or of an earlier one
    /// with its id.
    earliest_run: Option<EarlierRun>,
    /// The dispatches in flight by number, each with its engine and the channel that sends changed priorities
    /// to its query. Closing the channel cancels the dispatch. An entry is removed when the dispatch ends.
    in_flight: HashMap<usize, (EngineId, Sender<u8>)>,
}

impl OpenJob {
    /// Records a dispatch that may have run. Without the engine's line no repeat counts as safe.
    fn record_run(&mut self, line: Option<&ListLine>, sent: Moment) {
        let unknown =
            EarlierRun { zone: ZoneId::default(), cell: CellId::default(), sent: Moment::default() };
        let run = line.map_or(unknown, |line| EarlierRun { zone: line.zone, cell: line.cell, sent });
        let earlier = self.earliest_run.filter(|earlier| earlier.sent <= run.sent);
        self.earliest_run = earlier.or(Some(run));
    }
}

/// A line of the engine list.
#[derive(Clone, Copy)]
struct ListLine {
    address: SocketAddr,
    zone: ZoneId,
    kind: KindId,
    cell: CellId,
    status: EngineStatus,
    start: Option<StartTime>,
}

/// An engine: its handle and its line of the engine list. A module that restarts receives the line again.
struct KnownEngine {
    handle: EngineHandle,
    line: ListLine,
    /// The latest moment at which the engine may have started, if its line names a start.
    latest_start: Option<Moment>,
}

impl KnownEngine {
    fn update(&mut self, line: ListLine, latest_start: Option<Moment>) {
        self.line = line;
        self.latest_start = latest_start;
        self.handle.engine.is_gone.set(line.status == EngineStatus::Gone);
        self.handle.engine.is_live.set(line.status == EngineStatus::Live);
    }
}

/// The actor that owns the decision module.
pub struct Dispatcher {
    clock: Clock,
    settings: Value,
    seed: u64,
    instance: Instance,
    context: Rc<EngineContext>,
    /// Sender for actors that report to the module.
    events: Sender<Event>,
    /// The jobs that await an answer, by connection and request number; removed when answered.
    jobs_by_request: BTreeMap<(u64, u32), JobId>,
    /// A job is removed when the module returns `Decision::Forget` for it.
    jobs: HashMap<JobId, OpenJob>,
    /// The ids of jobs that may have run and are not open any more.
    past_runs: PastRuns,
    /// An engine is removed when the module returns `Decision::Forget` for it.
    engines: HashMap<EngineId, KnownEngine>,
    /// The job of each order key that has a dispatch in flight; removed when the dispatch ends.
    keys_in_flight: HashMap<KeyId, JobId>,
    /// Keys with queries that may still run after their dispatches ended, and dispatches that were in flight
    /// when the module restarted.
    unsettled: UnsettledKeys,
    /// The engine list that is being applied.
    list_update: Option<ListUpdate<ListLine>>,
    /// Whether the complete engine list has been received once.
    list_received: bool,
    /// When it was last logged that the router is late.
    lateness_logged_at: Option<Moment>,
    /// Counter that numbers the engine handles.
    serial: u64,
    wake_at: Option<Moment>,
    /// When the last answer is due, once the router is stopping.
    last_answer_due: Option<Moment>,
    /// The gossip actor, if gossip is enabled.
    gossip: Option<GossipHandle>,
    /// Measured rates at which engines send results.
    engine_rates: EngineRates,
    /// The minimum rate at which engines must send pages: a share of the median engine's rate, but never more
    /// than the configured rate.
    min_rate: Rc<Cell<MinRate>>,
    configured_min_rate: MinRate,
    min_rate_share: f64,
}

impl Dispatcher {
    pub fn new(
        clock: Clock, seed: u64, settings: Value, context: Rc<EngineContext>, events: Sender<Event>,
        gossip: Option<GossipHandle>, min_rate_share: f64,
    ) -> Result<Self> {
        let (min_rate, configured_min_rate) = (context.min_rate.clone(), context.min_rate.get());
        Ok(Self {
            engine_rates: EngineRates::default(),
            min_rate,
            configured_min_rate,
            min_rate_share,
            clock,
            instance: Instance::start(clock.now(), seed, &settings)?,
            settings,
            seed,
            context,
            events,
            jobs_by_request: BTreeMap::new(),
            jobs: HashMap::new(),
            past_runs: PastRuns::default(),
            engines: HashMap::new(),
            keys_in_flight: HashMap::new(),
            unsettled: UnsettledKeys::default(),
            list_update: None,
            list_received: false,
            lateness_logged_at: None,
            serial: 0,
            wake_at: None,
            last_answer_due: None,
            gossip,
        })
    }

    /// Runs the actor. Urgent events, which are the engine list and ends of probes, are handled before all
    /// others.
    pub async fn run(mut self, urgent: Receiver<Event>, mailbox: Receiver<Event>) {
        let mut has_more = false;
        loop {
            let wake_at = self.wake_at;
            let due = async {
                match wake_at {
                    _ if has_more => {}
                    Some(moment) => self.clock.sleep_until(moment).await,
                    None => future::pending().await,
                }
                Ok(None)
            };
            let from_urgent = async { urgent.recv().await.map(Some) };
            let next = async { mailbox.recv().await.map(Some) };
            let Ok(first) = from_urgent.or(next).or(due).await else { return };
            let urgent_events = std::iter::from_fn(|| urgent.try_recv().ok()).take(MAX_EVENTS_PER_TURN);
            let queued_events = std::iter::from_fn(|| mailbox.try_recv().ok()).take(MAX_EVENTS_PER_TURN);
            let turn = || self.run_turn(first.into_iter().chain(urgent_events).chain(queued_events));
            // Threat: a bug in the module causes a panic. The open jobs fail then, but the process continues.
            // What the module has learned is lost too, which costs something if the panic repeats.
            let turned = catch_unwind(AssertUnwindSafe(turn));
            has_more = turned.as_ref().is_ok_and(|has_more| *has_more);
            if turned.is_err() {
                log::error!("the decision module panicked and restarts");
                self.restart();
            }
            future::yield_now().await;
        }
    }

    /// Returns whether there may be more decisions.
    fn run_turn(&mut self, events: impl Iterator<Item = Event>) -> bool {
        let now = self.clock.now();
        self.measure_response_delay(now);
        for event in events {
            self.handle_event(now, event);
        }
        self.continue_list_update(now);
        if self.wake_at.is_some_and(|wake_at| wake_at <= now) {
            self.wake_at = None;
        }
        let mut engine_calls = 0;
        for _ in 0..MAX_DECISIONS_PER_TURN {
            let Some(decision) = self.instance.router.next_decision(now) else {
                return self.list_update.is_some();
            };
            let calls_engine = matches!(decision, Decision::Dispatch { .. } | Decision::Probe { .. });
            self.execute(now, decision);
            engine_calls += usize::from(calls_engine);
            if engine_calls == MAX_ENGINE_CALLS_PER_TURN {
                return true;
            }
        }
        true
    }

    /// Passes to the module how late this thread is, and logs it.
    fn measure_response_delay(&mut self, now: Moment) {
        let delay = self.context.loop_ticks.response_delay(now);
        self.instance.router.response_delay_measured(delay);
        let is_due = self.lateness_logged_at.is_none_or(|at| now.since(at) >= LATENESS_LOG_INTERVAL);
        if delay > Span::ZERO && is_due {
            self.lateness_logged_at = Some(now);
            let (jobs, engines) = (self.jobs.len(), self.engines.len());
            log::info!(event = "router_late", delay_us = delay.micros(), jobs, engines, engines_examined = self.instance.router.engines_examined(); "answers take {} us from their decision", delay.micros());
        }
    }

    fn handle_event(&mut self, now: Moment, event: Event) {
        match event {
            Event::JobArrived {
                client,
                statement,
                type_id,
                group,
                tenant,
                order_key,
                stated_work,
                memory,
                deadline,
                responder,
            } => {
                self.admit_job(
                    now,
                    client,
                    statement,
                    type_id,
                    group,
                    tenant,
                    order_key,
                    stated_work,
                    memory,
                    deadline,
                    responder,
                );
            }
            Event::Withdrawn { client, number } => {
                if let Some(job) = self.jobs_by_request.get(&(client, number)) {
                    self.withdraw(*job);
                }
            }
            Event::ClientGone { client } => {
                let of_client = self.jobs_by_request.range((client, 0)..=(client, u32::MAX));
                for job in of_client.map(|(_, job)| *job).collect::<Vec<_>>() {
                    self.withdraw(job);
                }
            }
            Event::KeySettled { order_key } => self.settle(now, order_key),
            Event::JobAbandoned { job } => self.withdraw(job),
            Event::ClientUnheard { job } => self.instance.router.client_unheard(job),
            Event::Ping { responder } => {
                let readiness = self.check_ready();
                if let Err(why) = readiness {
                    self.context.guards.record_refusal(Step::Start, why, "");
                }
                responder.send(Answer::Pong(readiness.is_ok()));
            }
            Event::DispatchEnded { job, number, outcome, took, actual_cost, result, in_doubt } => {
                let Some(open) = self.jobs.get_mut(&job) else {
                    return self.handle_orphan_end(now, job, number, in_doubt);
                };
                let (removed, type_id) = (open.in_flight.remove(&number), open.type_id);
                let engine = removed.as_ref().and_then(|(engine, _)| self.engines.get(engine));
                if !outcome.never_ran() {
                    open.record_run(engine.map(|known| &known.line), now.saturating_sub(took));
                }
                if let Some(key) = open.order_key.filter(|_| open.in_flight.is_empty()) {
                    self.keys_in_flight.remove(&key);
                }
                log::debug!(event = "dispatch_ended", job = open.statement.id, number, outcome:? = outcome, took_us = took.micros(); "dispatch ended");
                if let Some((engine, _)) = removed {
                    let type_name = &self.instance.types[type_id.0];
                    self.notify_gossip(engine, |engine| GossipEvent::DispatchEnded {
                        engine,
                        reservation_type: type_name.clone(),
                        outcome,
                    });
                }
                let responder = if outcome == Outcome::Done { self.take_responder(job) } else { None };
                if let Some((responder, result)) = responder.zip(result) {
                    self.engine_rates.record_result_size(result.pages.iter().map(Vec::len).sum());
                    responder.send(Answer::Served(result));
                }
                if let Some(key) = self.jobs[&job].order_key.filter(|_| in_doubt) {
                    self.mark_in_doubt(key);
                }
                let is_answered = self.jobs[&job].responder.is_none();
                let actual_cost = actual_cost.filter(|_| self.instance.costs_in_answers);
                self.instance.router.dispatch_ended(
                    now,
                    job,
                    number,
                    outcome,
                    took,
                    actual_cost,
                    is_answered,
                );
                if is_answered {
                    self.cancel_in_flight(job);
                }
            }
            Event::Progressed { job, number, progress } => {
                self.instance.router.progress_reported(now, job, number, progress);
            }
            Event::LoadReported { engine, stats } => self.handle_load_report(now, engine, &stats),
            Event::ProbeEnded { engine, outcome } => {
                self.instance.router.probe_ended(now, engine, outcome);
                if matches!(outcome, Outcome::Done | Outcome::TurnedAway) {
                    self.notify_gossip(engine, |engine| GossipEvent::ProbeAnswered { engine });
                }
            }
            Event::PageReceived { engine, bytes, time_to_first_byte, transfer_time } => {
                self.record_transfer(engine, bytes, time_to_first_byte, transfer_time)
            }
            Event::PeerReport { engine, reservation_type, suspicion } => {
                self.handle_peer_report(now, &engine, reservation_type.as_deref(), suspicion)
            }
            Event::ListReceived { events, event_time, skip_malformed, result } => {
                while self.list_update.is_some() {
                    self.continue_list_update(now);
                }
                self.list_update = Some(ListUpdate::begin(events, event_time, skip_malformed, result));
            }
            Event::Stopping { last_answer_due } => {
                self.last_answer_due = Some(last_answer_due);
                self.instance.router.stop_by(last_answer_due);
            }
        }
    }

    /// Checks whether this router may report that it serves (`Step::Start`). The load balancer in front of
    /// the routers adds a router to its pool once the router answers a ping positively.
    fn check_ready(&self) -> std::result::Result<(), Refusal> {
        if self.last_answer_due.is_some() {
            return Err(Refusal::Stopping);
        }
        if self.list_received { Ok(()) } else { Err(Refusal::NoList) }
    }

    /// Records how fast an engine sent a page and updates the minimum rate. Passes to the module how much
    /// longer transfers from this engine take than from its peers, as part of the time that a job takes
    /// there.
    fn record_transfer(
        &mut self, engine: EngineId, bytes: usize, time_to_first_byte: Span, transfer_time: Span,
    ) {
        if !self.engines.contains_key(&engine) {
            return;
        }
        self.engine_rates.record_transfer(engine.0, bytes, time_to_first_byte, transfer_time);
        let rate = self.engine_rates.min_rate(self.min_rate_share, self.configured_min_rate.bytes_per_s);
        self.min_rate.set(MinRate { bytes_per_s: rate, ..self.configured_min_rate });
        let extra_time = self.engine_rates.extra_transfer_time(engine.0);
        self.instance.router.transfer_delay_measured(engine, extra_time);
    }

    /// Reports on an engine to the gossip actor, if there is one.
    fn notify_gossip(&self, engine: EngineId, event: impl FnOnce(String) -> GossipEvent) {
        if let Some(gossip) = &self.gossip {
            gossip.send(event(self.instance.engines.name(engine.0).to_owned()));
        }
    }

    /// Sends the gossip actor the engines of the list that are not gone: reports on other engines are of no
    /// use.
    fn send_list_to_gossip(&self) {
        if let Some(gossip) = &self.gossip {
            let present = self.engines.iter().filter(|(_, known)| known.line.status != EngineStatus::Gone);
            let name = |engine: &EngineId| self.instance.engines.name(engine.0).to_owned();
            let start_time = |line: &ListLine| line.start.map(StartTime::moment).unwrap_or_default();
            let lines = present.map(|(engine, known)| (name(engine), start_time(&known.line)));
            gossip.send_list(lines.collect());
        }
    }

    fn handle_peer_report(
        &mut self, now: Moment, engine: &str, reservation_type: Option<&str>, suspicion: f64,
    ) {
        let Some(engine) = self.instance.engines.get(engine) else { return };
        let type_id = reservation_type.map(|name| position(&self.instance.types, name));
        // `Some(None)` is a type that this router does not know; the report is ignored.
        if type_id != Some(None) {
            let type_id = type_id.flatten().map(TypeId);
            self.instance.router.peer_reported(now, EngineId(engine), type_id, suspicion);
        }
    }

    /// Accepts a job (log event `job_taken`) and passes it to the module, unless its id or its request number
    /// is in use. `stated_work` is the client's estimate of the work, which the module calls `estimate`.
    fn admit_job(
        &mut self, now: Moment, client: u64, statement: Rc<Statement>, type_id: TypeId, group: GroupId,
        tenant: Option<String>, order_key: Option<String>, stated_work: Option<Span>, memory: f64,
        deadline: Moment, responder: Responder,
    ) {
        let request = (client, responder.request_number());
        if self.instance.jobs.get(&statement.id).is_some() || self.jobs_by_request.contains_key(&request) {
            return responder.send(Answer::Failed(MALFORMED));
        }
        let deadline = self.last_answer_due.map_or(deadline, |last| deadline.min(last));
        let job = JobId(self.instance.jobs.intern(&statement.id));
        let tenant = tenant.and_then(|name| position(&self.instance.tenants, &name)).map(TenantId);
        let order_key = order_key.and_then(|key| self.instance.intern_key(type_id, &key));
        self.jobs_by_request.insert(request, job);
        let responder = Some(responder);
        let earliest_run = self.past_runs.get(&statement.id);
        let (dispatches, in_flight) = (0, HashMap::new());
        let open = OpenJob {
            client,
            statement,
            type_id,
            deadline,
            order_key,
            responder,
            dispatches,
            earliest_run,
            in_flight,
        };
        self.jobs.insert(job, open);
        let (router, expires) = (&mut self.instance.router, deadline.since(now));
        log::debug!(event = "job_taken", job = self.instance.jobs.name(job.0), of = self.instance.types[type_id.0]; "job taken");
        router.job_arrived(now, job, type_id, tenant, group, order_key, stated_work, memory, expires);
        if let Some(run) = earliest_run {
            router.job_ran_before(job, run);
        }
    }

    /// Takes the right to answer a job; `None` if it was answered before.
    fn take_responder(&mut self, job: JobId) -> Option<Responder> {
        let open = self.jobs.get_mut(&job)?;
        let responder = open.responder.take()?;
        self.jobs_by_request.remove(&(open.client, responder.request_number()));
        Some(responder)
    }

    /// Closes a job whose client no longer waits.
    fn withdraw(&mut self, job: JobId) {
        if self.take_responder(job).is_some() {
            self.instance.router.job_closed(job);
            self.cancel_in_flight(job);
        }
    }

    /// Cancels the dispatches of a finished job that are still in flight, by closing their priority channels.
    fn cancel_in_flight(&mut self, job: JobId) {
        for (_, priorities) in self.jobs.get(&job).into_iter().flat_map(|open| open.in_flight.values()) {
            priorities.close();
        }
    }

    fn answer(&mut self, job: JobId, answer: Answer) {
        if let Some(responder) = self.take_responder(job) {
            responder.send(answer);
        }
        self.cancel_in_flight(job);
    }

    fn handle_load_report(&mut self, now: Moment, engine: EngineId, stats: &str) {
        let fields = || stats.split(';').filter_map(|field| field.split_once(':'));
        self.instance.load_reported(now, engine, |_, wanted| {
            let (_, value) = fields().find(|(name, _)| name.trim() == wanted)?;
            parse_measurement(value)
        });
    }

    /// Parses or applies some lines of the list that is being applied, if there is one. Discovery calls the
    /// engines `members`.
    fn continue_list_update(&mut self, now: Moment) {
        let Some(mut update) = self.list_update.take() else { return };
        let is_closed = |line: &ListLine| line.status != EngineStatus::Live;
        update.parse_step(|line| self.parse_line(line), is_closed);
        for (name, line) in update.next_lines() {
            let engine = EngineId(self.instance.engines.intern(&name));
            self.apply_line(now, engine, line, update.event_time);
            update.named.insert(engine);
        }
        if update.is_applied() {
            self.finish_list_update(update);
        } else {
            self.list_update = Some(update);
        }
    }

    fn finish_list_update(&mut self, update: ListUpdate<ListLine>) {
        if !update.has_effect() {
            return update.finish();
        }
        if update.is_complete {
            self.list_received = true;
            let named: Vec<EngineId> = update.named.iter().copied().collect();
            self.instance.router.list_complete(&named);
            for (_, known) in self.engines.iter_mut().filter(|(engine, _)| !update.named.contains(engine)) {
                known.update(ListLine { status: EngineStatus::Gone, ..known.line }, known.latest_start);
            }
        } else {
            self.instance.router.list_changed();
        }
        log::debug!(event = "list_applied", lines = update.named.len(), complete = update.is_complete, engines = self.engines.len(); "engine list applied");
        self.send_list_to_gossip();
        update.finish();
    }

    fn parse_line(&self, line: &RawValue) -> Result<(String, ListLine)> {
        let member = Member::parse(line)?;
        let status = match &*member.phase {
            "SERVING" => EngineStatus::Live,
            "DRAINING" => EngineStatus::Draining,
            "DELETED" => EngineStatus::Gone,
            other => return Err(format!("phase: unknown {other}")),
        };
        let line = ListLine {
            address: parse_address(&member.address)?,
            zone: ZoneId(index_of(&self.instance.zones, &member.zone, "locality")?),
            kind: KindId(index_of(&self.instance.kinds, &member.kind, "flavor")?),
            cell: CellId(member.cell()),
            status,
            start: member.start(),
        };
        Ok((member.id.into_owned(), line))
    }

    fn apply_line(&mut self, now: Moment, engine: EngineId, line: ListLine, event_time: EventTime) {
        let known = self.engines.get(&engine).filter(|known| known.line.start == line.start);
        let from_line = || line.start.map(|start| now.saturating_sub(event_time.min_age(start, now)));
        let latest_start = known.map_or_else(from_line, |known| known.latest_start);
        self.announce_line(now, engine, line, latest_start);
        // Threat: an engine that was started anew keeps its name and address, and connections to its earlier
        // process, which drains, would carry new jobs. A new handle has none of these connections; what is in
        // flight keeps the old one. It costs new connections to an engine whose line states another start.
        let is_same_process =
            |known: &&mut KnownEngine| (known.line.address, known.line.start) == (line.address, line.start);
        if let Some(known) = self.engines.get_mut(&engine).filter(is_same_process) {
            return known.update(line, latest_start);
        }
        self.serial += 1;
        let handle = EngineHandle::new(&self.context, self.serial, line.address, self.events.clone());
        let mut new = KnownEngine { handle, line, latest_start };
        new.update(line, latest_start);
        if let Some(old) = self.engines.insert(engine, new) {
            old.handle.engine.is_live.set(false);
            old.handle.engine.is_gone.set(true);
        }
    }

    /// Passes a line of the engine list to the module.
    fn announce_line(&mut self, now: Moment, engine: EngineId, line: ListLine, latest_start: Option<Moment>) {
        let ListLine { zone, kind, cell, status, start, .. } = line;
        let hash = self.instance.engines.stable_hash(engine.0);
        let age = latest_start.map_or(Span::ZERO, |latest_start| now.since(latest_start));
        let start = start.map(|StartTime(stamp)| EngineStart { stamp, age });
        self.instance.router.engine_listed(now, engine, zone, kind, cell, status, start, hash);
    }

    fn execute(&mut self, now: Moment, decision: Decision) {
        match decision {
            Decision::Dispatch { job, engine, timeout, before, priority, .. } => {
                self.dispatch(now, job, engine, now + timeout, before, priority);
            }
            Decision::CancelDispatch { job, number } => {
                if let Some((_, priorities)) =
                    self.jobs.get(&job).and_then(|open| open.in_flight.get(&number))
                {
                    priorities.close();
                }
            }
            Decision::Throttle { job, come_back, why } => {
                self.context.guards.record_give_up(why);
                log::debug!(event = "job_throttled", job = self.instance.jobs.name(job.0), why:? = why; "job throttled: {why:?}");
                let answer = match self.check_rejection(job) {
                    Ok(()) => Answer::Overloaded(come_back),
                    // `Step::Repeat` includes rejections, after which a client may send the job again.
                    Err(why) => {
                        self.context.guards.record_violation(
                            Step::Repeat,
                            why,
                            self.instance.jobs.name(job.0),
                        );
                        Answer::Failed("Internal")
                    }
                };
                self.answer(job, answer);
            }
            Decision::CancelForGood { job, why } => {
                self.context.guards.record_give_up(why);
                log::debug!(event = "job_cancelled", job = self.instance.jobs.name(job.0), why:? = why; "job cancelled for good: {why:?}");
                self.answer(job, Answer::Failed("Internal"));
            }
            Decision::Probe { engine } => {
                if let Some(known) = self.engines.get(&engine) {
                    known.handle.spawn(EngineCall::Probe(engine));
                } else {
                    self.instance.router.probe_ended(now, engine, Outcome::NotIssued);
                }
            }
            // The router always follows discovery, so it confirms the subscription at once.
            Decision::Subscribe => self.instance.router.list_changed(),
            Decision::Wake { after } => {
                let at = now + after;
                self.wake_at =
                    Some(self.wake_at.filter(|wake_at| *wake_at > now).map_or(at, |wake_at| wake_at.min(at)));
            }
            Decision::SetAside { engine, why } => {
                let name = self.instance.engines.name(engine.0);
                log::info!(event = "engine_set_aside", engine = name, why = why.description(); "engine {name} set aside: {}", why.description());
                let condition = if why == SetAsideReason::Failed {
                    EngineCondition::Reset
                } else {
                    EngineCondition::Silent
                };
                self.notify_gossip(engine, |engine| GossipEvent::EngineConditionChanged {
                    engine,
                    condition,
                });
            }
            Decision::Back { engine } => {
                let name = self.instance.engines.name(engine.0);
                log::info!(event = "engine_back", engine = name; "engine {name} is back");
                self.notify_gossip(engine, |engine| GossipEvent::EngineConditionChanged {
                    engine,
                    condition: EngineCondition::Well,
                });
            }
            Decision::Forget(Forgotten::Job(job)) => {
                let open = self.jobs.remove(&job);
                open.into_iter().for_each(|open| self.remember_run(&open));
                self.instance.jobs.release(job.0);
            }
            Decision::Forget(Forgotten::Key(key)) => self.instance.keys.release(key.0),
            Decision::Forget(Forgotten::Engine(engine)) => {
                self.engines.remove(&engine);
                self.engine_rates.remove(engine.0);
                self.instance.engines.release(engine.0);
            }
        }
    }

    fn dispatch(
        &mut self, now: Moment, job: JobId, engine: EngineId, deadline: Moment,
        repeat_deadline: Option<Moment>, priority: u8,
    ) {
        if let Err(why) = self.check_repeat(job) {
            return self.refuse_dispatch(now, job, why);
        }
        let (Some(open), Some(known)) = (self.jobs.get_mut(&job), self.engines.get(&engine)) else { return };
        if let Some(key) = open.order_key {
            self.keys_in_flight.insert(key, job);
        }
        // The priority is the job's present one, so its dispatches in flight get it too.
        for (_, priorities) in open.in_flight.values() {
            let _ = priorities.try_send(priority);
        }
        let number = open.dispatches;
        open.dispatches += 1;
        log::debug!(event = "dispatched", job = open.statement.id, number, engine = self.instance.engines.name(engine.0); "dispatched");
        let (statement, order_key) = (open.statement.clone(), open.order_key);
        let deadline = deadline.min(open.deadline);
        let is_exclusive = !self.instance.concurrent_dispatches && !self.instance.is_run_once(open.type_id);
        let exclusive_until = is_exclusive.then_some(open.deadline);
        let dispatch = Dispatch {
            job,
            number,
            engine,
            statement,
            decided_at: now,
            deadline,
            repeat_deadline,
            exclusive_until,
            order_key,
            priority,
        };
        let (sender, receiver) = async_channel::bounded(PRIORITY_QUEUE_CAPACITY);
        open.in_flight.insert(number, (engine, sender));
        known.handle.spawn(EngineCall::Run(dispatch, receiver));
    }

    /// Returns what this host has recorded itself about a job's dispatches, independently of the module.
    fn earlier_dispatches(&self, job: JobId) -> EarlierDispatches {
        let Some(open) = self.jobs.get(&job) else { return EarlierDispatches::default() };
        EarlierDispatches {
            run_once: self.instance.is_run_once(open.type_id),
            may_have_run: open.earliest_run.is_some(),
            another_in_flight: !self.instance.concurrent_dispatches && !open.in_flight.is_empty(),
            key_in_flight: open
                .order_key
                .and_then(|key| self.keys_in_flight.get(&key))
                .is_some_and(|other| *other != job),
        }
    }

    /// Checks whether the host's own records permit a further dispatch of the job.
    fn check_repeat(&self, job: JobId) -> std::result::Result<(), Refusal> {
        self.earlier_dispatches(job).check()
    }

    /// Checks whether the host's own records permit rejecting the job with the guarantee that it had no
    /// effect.
    fn check_rejection(&self, job: JobId) -> std::result::Result<(), Refusal> {
        self.earlier_dispatches(job).check_rejection()
    }

    /// Handles a dispatch that the module decided on but that a guard refuses: it is not sent, and the module
    /// is notified that it ended with the outcome `NotIssued`.
    fn refuse_dispatch(&mut self, now: Moment, job: JobId, why: Refusal) {
        self.context.guards.record_violation(Step::Repeat, why, self.instance.jobs.name(job.0));
        let Some(open) = self.jobs.get_mut(&job) else { return };
        let number = open.dispatches;
        open.dispatches += 1;
        self.instance.router.dispatch_ended(now, job, number, Outcome::NotIssued, Span::ZERO, None, false);
    }

    /// Remembers the id of a job that may have run, unless a repeat does no harm.
    fn remember_run(&mut self, open: &OpenJob) {
        let run = open.earliest_run.filter(|_| !self.instance.is_restartable(open.type_id));
        run.into_iter().for_each(|run| self.past_runs.record(&open.statement.id, run));
    }

    /// Records that a query of the key may still run after its dispatch has ended.
    fn mark_in_doubt(&mut self, key: KeyId) {
        self.unsettled.add(key);
        self.instance.router.key_in_doubt(key);
    }

    /// Records that a query of the key that might have been running has certainly ended.
    fn settle(&mut self, now: Moment, key: KeyId) {
        if self.unsettled.settle(key) {
            self.instance.router.key_settled(now, key);
        }
    }

    /// Handles the end of a dispatch that the module does not know because it restarted after the dispatch
    /// began.
    fn handle_orphan_end(&mut self, now: Moment, job: JobId, number: usize, in_doubt: bool) {
        let Some(end) = self.unsettled.remove_orphan(job, number) else { return };
        // A query that may still run is settled later.
        if let Some(key) = end.key.filter(|_| !in_doubt) {
            self.settle(now, key);
        }
        if end.is_last {
            self.instance.jobs.release(job.0);
        }
    }

    /// Starts a new module with the current engine list; all open jobs have failed. The indices of jobs with
    /// a dispatch in flight stay allocated until it ends, so that late events about the old module's jobs
    /// match none of the new module's. Threat: the new module knows of no query in flight, so it would
    /// dispatch the next job of a key while a query of that key still runs. Therefore each key is in doubt
    /// from the start if it has a query in flight or one that may still run.
    fn restart(&mut self) {
        let now = self.clock.now();
        for job in self.jobs.keys().copied().collect::<Vec<_>>() {
            self.answer(job, Answer::Failed("Internal"));
        }
        let Ok(new) = Instance::start(now, self.seed, &self.settings) else { return };
        let old = std::mem::replace(&mut self.instance, new);
        (self.instance.jobs, self.instance.keys, self.instance.engines) = (old.jobs, old.keys, old.engines);
        for (job, mut open) in std::mem::take(&mut self.jobs) {
            if !open.in_flight.is_empty() {
                open.record_run(None, now);
            }
            self.remember_run(&open);
            self.keep_orphans(job, &open);
        }
        self.keys_in_flight.clear();
        for key in self.unsettled.all() {
            self.instance.router.key_in_doubt(key);
        }
        let lines = self.engines.iter().map(|(engine, known)| (*engine, known.line, known.latest_start));
        for (engine, line, latest_start) in lines.collect::<Vec<_>>() {
            self.announce_line(now, engine, line, latest_start);
        }
    }

    /// Keeps the dispatches in flight of a job that the module no longer knows.
    fn keep_orphans(&mut self, job: JobId, open: &OpenJob) {
        for number in open.in_flight.keys() {
            self.unsettled.add_orphan(job, *number, open.order_key);
        }
        if open.in_flight.is_empty() {
            self.instance.jobs.release(job.0);
        }
    }
}
