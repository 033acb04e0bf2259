//! The actor of the decision module: the only owner of the module's router, its names, its timer and the open
//! jobs. It takes in all queued events, then pulls decisions until there is none left.

use std::cell::Cell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::rc::Rc;

use async_channel::{Receiver, Sender};
use futures_lite::{FutureExt, future};
use serde_json::Value;
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
use crate::exchange::{
    Answer, Dispatch, Event, GossipEvent, GossipHandle, MALFORMED, Responder, Statement, parse_measurement,
};
use crate::guards::{Earlier, Refusal, Step};
use crate::starts::{EventTime, Stamp};
use crate::unsettled_keys::UnsettledKeys;

pub const MAILBOX: usize = 4096;
/// Maximum number of events that are taken in before decisions are pulled, and of decisions that are pulled
/// before other tasks run: what clients and discovery send meanwhile should be read soon.
const TURN: usize = 512;
const DECISIONS: usize = 32;
/// Capacity for new priorities that one query has not taken yet.
const ORDERS: usize = 4;

/// A job that the module holds.
struct Open {
    client: u64,
    statement: Rc<Statement>,
    kind: TypeId,
    deadline: Moment,
    /// The order key, where its type keeps order.
    key: Option<KeyId>,
    /// Taken by the one answer.
    reply: Option<Responder>,
    dispatches: usize,
    /// Whether one of the dispatches ended in a way that it may have run.
    may_have_run: bool,
    /// The dispatches in flight, each with its engine; removed when they end.
    out: HashMap<usize, (EngineId, Sender<u8>)>,
}

/// A line of the engine list.
#[derive(Clone, Copy)]
struct Line {
    at: SocketAddr,
    zone: ZoneId,
    kind: KindId,
    cell: CellId,
    listed: EngineStatus,
    start: Option<Stamp>,
}

/// An engine: its handle, and its line of the list for a module that restarts.
struct Known {
    handle: EngineHandle,
    line: Line,
    /// The latest moment at which the engine may have started, if its line names a start.
    started: Option<Moment>,
}

impl Known {
    fn list(&mut self, line: Line, started: Option<Moment>) {
        self.line = line;
        self.started = started;
        self.handle.engine.is_gone.set(line.listed == EngineStatus::Gone);
        self.handle.engine.is_live.set(line.listed == EngineStatus::Live);
    }
}

pub struct Dispatcher {
    clock: Clock,
    settings: Value,
    seed: u64,
    instance: Instance,
    context: Rc<EngineContext>,
    /// Sender for actors that report to the module.
    module: Sender<Event>,
    /// The jobs that await an answer, by connection and request number; removed when answered.
    asked: HashMap<(u64, u32), JobId>,
    /// Entries of both are removed when the module forgets them.
    jobs: HashMap<JobId, Open>,
    engines: HashMap<EngineId, Known>,
    /// The job of each order key that has a dispatch in flight; removed when the dispatch ends.
    keys_out: HashMap<KeyId, JobId>,
    unsettled: UnsettledKeys,
    /// Whether the complete engine list has been received once.
    listed: bool,
    /// Counter that numbers the engine handles.
    serial: u64,
    wake: Option<Moment>,
    /// When the last answer is due, once the router is stopping.
    last_answer: Option<Moment>,
    /// The gossip actor, if gossip is enabled.
    notes: Option<GossipHandle>,
    standing: EngineRates,
    /// The minimum rate at which engines must send pages: a share of the median engine's rate, but never more
    /// than the configured rate.
    least: Rc<Cell<MinRate>>,
    most_least: MinRate,
    share: f64,
}

impl Dispatcher {
    pub fn new(
        clock: Clock, seed: u64, settings: Value, context: Rc<EngineContext>, module: Sender<Event>,
        notes: Option<GossipHandle>, share: f64,
    ) -> Result<Self> {
        let (least, most_least) = (context.min_rate.clone(), context.min_rate.get());
        Ok(Self {
            standing: EngineRates::default(),
            least,
            most_least,
            share,
            clock,
            instance: Instance::start(clock.now(), seed, &settings)?,
            settings,
            seed,
            context,
            module,
            asked: HashMap::new(),
            jobs: HashMap::new(),
            engines: HashMap::new(),
            keys_out: HashMap::new(),
            unsettled: UnsettledKeys::default(),
            listed: false,
            serial: 0,
            wake: None,
            last_answer: None,
            notes,
        })
    }

    /// Urgent events, which are the engine list and ends of probes, are handled before all others.
    pub async fn run(mut self, urgent: Receiver<Event>, mailbox: Receiver<Event>) {
        let mut more = false;
        loop {
            let wake = self.wake;
            let due = async {
                match wake {
                    _ if more => {}
                    Some(moment) => self.clock.sleep_until(moment).await,
                    None => future::pending().await,
                }
                Ok(None)
            };
            let ahead = async { urgent.recv().await.map(Some) };
            let next = async { mailbox.recv().await.map(Some) };
            let Ok(first) = ahead.or(next).or(due).await else { return };
            let pressing = std::iter::from_fn(|| urgent.try_recv().ok()).take(TURN);
            let queued = std::iter::from_fn(|| mailbox.try_recv().ok()).take(TURN);
            let turn = || self.turn(first.into_iter().chain(pressing).chain(queued));
            // Threat: a bug in the module. A panic costs the open jobs, not the process. Cost: what the
            // module has learned is lost too, which matters if the panic repeats.
            let turned = catch_unwind(AssertUnwindSafe(turn));
            more = turned.as_ref().is_ok_and(|more| *more);
            if turned.is_err() {
                log::error!("the module panicked and begins again");
                self.begin_again();
            }
            future::yield_now().await;
        }
    }

    /// Returns whether there may be more decisions.
    fn turn(&mut self, events: impl Iterator<Item = Event>) -> bool {
        let now = self.clock.now();
        for event in events {
            self.take_in(now, event);
        }
        if self.wake.is_some_and(|wake| wake <= now) {
            self.wake = None;
        }
        for _ in 0..DECISIONS {
            let Some(decision) = self.instance.router.next_decision(now) else { return false };
            self.carry_out(now, decision);
        }
        true
    }

    fn take_in(&mut self, now: Moment, event: Event) {
        match event {
            Event::JobArrived {
                client,
                statement,
                kind,
                group,
                tenant,
                order_key,
                stated_work,
                memory,
                deadline,
                responder,
            } => {
                self.arrive(
                    now,
                    client,
                    statement,
                    kind,
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
                if let Some(job) = self.asked.get(&(client, number)) {
                    self.withdraw(*job);
                }
            }
            Event::ClientGone { client } => {
                let left = |open: &&JobId| self.jobs[*open].client == client;
                for job in self.jobs.keys().filter(left).copied().collect::<Vec<_>>() {
                    self.withdraw(job);
                }
            }
            Event::KeySettled { order_key } => self.settle(now, order_key),
            Event::JobAbandoned { job } => self.withdraw(job),
            Event::Ping { responder } => {
                let serves = self.serves();
                if let Err(why) = serves {
                    self.context.guards.record_refusal(Step::Start, why, "");
                }
                responder.send(Answer::Pong(serves.is_ok()));
            }
            Event::DispatchEnded { job, number, outcome, took, actual_cost, result, in_doubt } => {
                let Some(open) = self.jobs.get_mut(&job) else {
                    return self.end_left_over(now, job, number, in_doubt);
                };
                let (at, kind) = (open.out.remove(&number), open.kind);
                open.may_have_run |= !outcome.never_ran();
                if let Some(key) = open.key.filter(|_| open.out.is_empty()) {
                    self.keys_out.remove(&key);
                }
                log::debug!(event = "dispatch_ended", job = open.statement.id, number, outcome:? = outcome, took_us = took.micros(); "dispatch ended");
                if let Some((engine, _)) = at {
                    let of = &self.instance.types[kind.0];
                    self.note(engine, |engine| GossipEvent::DispatchEnded {
                        engine,
                        of: of.clone(),
                        outcome,
                    });
                }
                let reply = if outcome == Outcome::Done { self.reply_to(job) } else { None };
                if let Some((reply, rows)) = reply.zip(result) {
                    self.standing.record_result_size(rows.pages.iter().map(Vec::len).sum());
                    reply.send(Answer::Served(rows));
                }
                if let Some(key) = self.jobs[&job].key.filter(|_| in_doubt) {
                    self.doubt(key);
                }
                let over = self.jobs[&job].reply.is_none();
                let told = actual_cost.filter(|_| self.instance.costs_in_answers);
                self.instance.router.dispatch_ended(now, job, number, outcome, took, told, over);
                if over {
                    self.call_off(job);
                }
            }
            Event::Progressed { job, number, progress } => {
                self.instance.router.progress_reported(now, job, number, progress);
            }
            Event::LoadReported { engine, stats } => self.report(now, engine, &stats),
            Event::ProbeEnded { engine, outcome } => {
                self.instance.router.probe_ended(now, engine, outcome);
                if matches!(outcome, Outcome::Done | Outcome::TurnedAway) {
                    self.note(engine, |engine| GossipEvent::ProbeAnswered { engine });
                }
            }
            Event::PageReceived { engine, bytes, time_to_first_byte, transfer_time } => {
                self.sent(engine, bytes, time_to_first_byte, transfer_time)
            }
            Event::PeerReport { engine, reservation_type, suspicion } => {
                self.hearsay(now, &engine, reservation_type.as_deref(), suspicion)
            }
            Event::ListReceived { roster, event_time, skip_malformed, result } => {
                let _ = result.try_send(self.follow_list(now, &roster, event_time, skip_malformed));
                self.tell_list();
            }
            Event::Stopping { last_answer_due } => {
                self.last_answer = Some(last_answer_due);
                self.instance.router.stop_by(last_answer_due);
            }
        }
    }

    /// Guard of the start of service: a front adds a router to its pool once the router answers a ping with
    /// yes.
    fn serves(&self) -> std::result::Result<(), Refusal> {
        if self.last_answer.is_some() {
            return Err(Refusal::Stopping);
        }
        if self.listed { Ok(()) } else { Err(Refusal::NoList) }
    }

    /// An engine's send rate relative to its peers is part of the time that a job takes there.
    fn sent(&mut self, engine: EngineId, bytes: usize, first: Span, body: Span) {
        if !self.engines.contains_key(&engine) {
            return;
        }
        self.standing.record_transfer(engine.0, bytes, first, body);
        let rate = self.standing.min_rate(self.share, self.most_least.bytes_per_s);
        self.least.set(MinRate { bytes_per_s: rate, ..self.most_least });
        let longer = self.standing.extra_transfer_time(engine.0);
        self.instance.router.transfer_delay_measured(engine, longer);
    }

    /// Reports on an engine to the gossip actor, if there is one.
    fn note(&self, engine: EngineId, note: impl FnOnce(String) -> GossipEvent) {
        if let Some(notes) = &self.notes {
            notes.send(note(self.instance.engines.name(engine.0).to_owned()));
        }
    }

    /// Sends the gossip actor the engines of the list that are not gone: reports on other engines are of no
    /// use.
    fn tell_list(&self) {
        if let Some(notes) = &self.notes {
            let there = self.engines.iter().filter(|(_, known)| known.line.listed != EngineStatus::Gone);
            let name = |engine: &EngineId| self.instance.engines.name(engine.0).to_owned();
            let came_up = |line: &Line| line.start.map(Stamp::moment).unwrap_or_default();
            let lines = there.map(|(engine, known)| (name(engine), came_up(&known.line)));
            notes.send_list(lines.collect());
        }
    }

    fn hearsay(&mut self, now: Moment, engine: &str, of: Option<&str>, doubt: f64) {
        let Some(engine) = self.instance.engines.get(engine) else { return };
        let kind = of.map(|of| position(&self.instance.types, of));
        if kind != Some(None) {
            let kind = kind.flatten().map(TypeId);
            self.instance.router.peer_reported(now, EngineId(engine), kind, doubt);
        }
    }

    fn arrive(
        &mut self, now: Moment, client: u64, statement: Rc<Statement>, kind: TypeId, group: GroupId,
        tenant: Option<String>, key: Option<String>, told: Option<Span>, memory: f64, deadline: Moment,
        reply: Responder,
    ) {
        let asked = (client, reply.request_number());
        if self.instance.jobs.get(&statement.id).is_some() || self.asked.contains_key(&asked) {
            return reply.send(Answer::Failed(MALFORMED));
        }
        let deadline = self.last_answer.map_or(deadline, |last| deadline.min(last));
        let job = JobId(self.instance.jobs.intern(&statement.id));
        let tenant = tenant.and_then(|name| position(&self.instance.tenants, &name)).map(TenantId);
        let key = key.and_then(|key| self.instance.intern_key(kind, &key));
        self.asked.insert(asked, job);
        let reply = Some(reply);
        let (dispatches, may_have_run, out) = (0, false, HashMap::new());
        let open = Open { client, statement, kind, deadline, key, reply, dispatches, may_have_run, out };
        self.jobs.insert(job, open);
        let (router, expires) = (&mut self.instance.router, deadline.since(now));
        log::debug!(event = "job_taken", job = self.instance.jobs.name(job.0), of = self.instance.types[kind.0]; "job taken");
        router.job_arrived(now, job, kind, tenant, group, key, told, memory, expires);
    }

    /// Takes the only right to answer a job, if it is still there.
    fn reply_to(&mut self, job: JobId) -> Option<Responder> {
        let open = self.jobs.get_mut(&job)?;
        let reply = open.reply.take()?;
        self.asked.remove(&(open.client, reply.request_number()));
        Some(reply)
    }

    /// Handles that the client no longer waits.
    fn withdraw(&mut self, job: JobId) {
        if self.reply_to(job).is_some() {
            self.instance.router.job_closed(job);
            self.call_off(job);
        }
    }

    /// Cancels the dispatches of a finished job that are still in flight.
    fn call_off(&mut self, job: JobId) {
        for (_, orders) in self.jobs.get(&job).into_iter().flat_map(|open| open.out.values()) {
            orders.close();
        }
    }

    fn answer(&mut self, job: JobId, answer: Answer) {
        if let Some(reply) = self.reply_to(job) {
            reply.send(answer);
        }
        self.call_off(job);
    }

    fn report(&mut self, now: Moment, engine: EngineId, stats: &str) {
        let fields = || stats.split(';').filter_map(|field| field.split_once(':'));
        self.instance.load_reported(now, engine, |_, wanted| {
            let (_, value) = fields().find(|(name, _)| name.trim() == wanted)?;
            parse_measurement(value)
        });
    }

    /// Applies all lines of the list, or none if one can't be read; with `in_part`, applies those that can.
    fn follow_list(&mut self, now: Moment, roster: &Value, happened: EventTime, in_part: bool) -> Result<()> {
        let lines = array(roster, "members")?.iter().map(|member| self.read_line(member));
        let passed_over = |fault: &String| log::warn!("a line of the list is passed over: {fault}");
        let usable =
            |line: &Result<_>| !in_part || line.as_ref().inspect_err(|fault| passed_over(fault)).is_ok();
        let lines = lines.filter(usable).collect::<Result<Vec<_>>>()?;
        let mut named = Vec::with_capacity(lines.len());
        for (name, line) in lines {
            let engine = EngineId(self.instance.engines.intern(&name));
            self.list(now, engine, line, happened);
            named.push(engine);
        }
        if flag(roster, "complete") {
            self.listed = true;
            self.instance.router.list_complete(&named);
            for (_, known) in self.engines.iter_mut().filter(|(engine, _)| !named.contains(engine)) {
                known.list(Line { listed: EngineStatus::Gone, ..known.line }, known.started);
            }
        } else {
            self.instance.router.list_changed();
        }
        Ok(())
    }

    fn read_line(&self, member: &Value) -> Result<(String, Line)> {
        let listed = match text(member, "phase")? {
            "SERVING" => EngineStatus::Live,
            "DRAINING" => EngineStatus::Draining,
            "DELETED" => EngineStatus::Gone,
            other => return Err(format!("phase: unknown {other}")),
        };
        let line = Line {
            at: parse_address(text(member, "host_port")?)?,
            zone: ZoneId(index_of(&self.instance.zones, text(member, "locality")?, "locality")?),
            kind: KindId(index_of(&self.instance.kinds, text(member, "flavor")?, "flavor")?),
            cell: CellId(integer(member, "cell").unwrap_or(0) as usize),
            listed,
            start: Stamp::of(member),
        };
        Ok((text(member, "id")?.to_owned(), line))
    }

    fn list(&mut self, now: Moment, engine: EngineId, line: Line, happened: EventTime) {
        let known = self.engines.get(&engine).filter(|known| known.line.start == line.start);
        let heard = || line.start.map(|start| now.saturating_sub(happened.least_age(start, now)));
        let started = known.map_or_else(heard, |known| known.started);
        self.tell(now, engine, line, started);
        if let Some(known) = self.engines.get_mut(&engine).filter(|known| known.line.at == line.at) {
            return known.list(line, started);
        }
        self.serial += 1;
        let handle = EngineHandle::new(&self.context, self.serial, line.at, self.module.clone());
        let mut new = Known { handle, line, started };
        new.list(line, started);
        if let Some(old) = self.engines.insert(engine, new) {
            old.handle.engine.is_live.set(false);
            old.handle.engine.is_gone.set(true);
        }
    }

    /// Passes a line of the engine list to the module.
    fn tell(&mut self, now: Moment, engine: EngineId, line: Line, started: Option<Moment>) {
        let Line { zone, kind, cell, listed, start, .. } = line;
        let mark = self.instance.engines.stable_hash(engine.0);
        let age = started.map_or(Span::ZERO, |started| now.since(started));
        let start = start.map(|Stamp(stamp)| EngineStart { stamp, age });
        self.instance.router.engine_listed(now, engine, zone, kind, cell, listed, start, mark);
    }

    fn carry_out(&mut self, now: Moment, decision: Decision) {
        match decision {
            Decision::Dispatch { job, engine, timeout, before, priority, .. } => {
                self.dispatch(now, job, engine, now + timeout, before, priority);
            }
            Decision::CancelDispatch { job, number } => {
                if let Some((_, orders)) = self.jobs.get(&job).and_then(|open| open.out.get(&number)) {
                    orders.close();
                }
            }
            Decision::Throttle { job, come_back, why } => {
                log::debug!(event = "job_throttled", job = self.instance.jobs.name(job.0), why:? = why; "job throttled: {why:?}");
                let answer = match self.check_rejection(job) {
                    Ok(()) => Answer::Overloaded(come_back),
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
            // Discovery is followed all the time.
            Decision::Subscribe => self.instance.router.list_changed(),
            Decision::Wake { after } => {
                let at = now + after;
                self.wake = Some(self.wake.filter(|wake| *wake > now).map_or(at, |wake| wake.min(at)));
            }
            Decision::SetAside { engine, why } => {
                let name = self.instance.engines.name(engine.0);
                log::info!(event = "engine_set_aside", engine = name, why = why.description(); "engine {name} set aside: {}", why.description());
                let seen = if why == SetAsideReason::Failed {
                    EngineCondition::Reset
                } else {
                    EngineCondition::Silent
                };
                self.note(engine, |engine| GossipEvent::EngineJudged { engine, seen });
            }
            Decision::Back { engine } => {
                let name = self.instance.engines.name(engine.0);
                log::info!(event = "engine_back", engine = name; "engine {name} is back");
                self.note(engine, |engine| GossipEvent::EngineJudged { engine, seen: EngineCondition::Well });
            }
            Decision::Forget(Forgotten::Job(job)) => {
                self.jobs.remove(&job);
                self.instance.jobs.release(job.0);
            }
            Decision::Forget(Forgotten::Key(key)) => self.instance.keys.release(key.0),
            Decision::Forget(Forgotten::Engine(engine)) => {
                self.engines.remove(&engine);
                self.standing.remove(engine.0);
                self.instance.engines.release(engine.0);
            }
        }
    }

    fn dispatch(
        &mut self, now: Moment, job: JobId, engine: EngineId, until: Moment, before: Option<Moment>,
        priority: u8,
    ) {
        if let Err(why) = self.check_repeat(job) {
            return self.refuse_dispatch(now, job, why);
        }
        let (Some(open), Some(known)) = (self.jobs.get_mut(&job), self.engines.get(&engine)) else { return };
        if let Some(key) = open.key {
            self.keys_out.insert(key, job);
        }
        for (_, orders) in open.out.values() {
            let _ = orders.try_send(priority);
        }
        let number = open.dispatches;
        open.dispatches += 1;
        log::debug!(event = "dispatched", job = open.statement.id, number, engine = self.instance.engines.name(engine.0); "dispatched");
        let (statement, key) = (open.statement.clone(), open.key);
        let until = until.min(open.deadline);
        let dispatch = Dispatch {
            job,
            number,
            engine,
            statement,
            decided_at: now,
            deadline: until,
            repeat_deadline: before,
            order_key: key,
            priority,
        };
        let (orders, taken) = async_channel::bounded(ORDERS);
        open.out.insert(number, (engine, orders));
        known.handle.spawn(EngineCall::Run(dispatch, taken));
    }

    /// Collects what this host itself has seen of a job's dispatches.
    fn earlier(&self, job: JobId) -> Earlier {
        let Some(open) = self.jobs.get(&job) else { return Earlier::default() };
        Earlier {
            run_once: self.instance.is_run_once(open.kind),
            may_have_run: open.may_have_run,
            one_out: !self.instance.concurrent_dispatches && !open.out.is_empty(),
            key_out: open.key.and_then(|key| self.keys_out.get(&key)).is_some_and(|other| *other != job),
        }
    }

    fn check_repeat(&self, job: JobId) -> std::result::Result<(), Refusal> {
        self.earlier(job).check()
    }

    fn check_rejection(&self, job: JobId) -> std::result::Result<(), Refusal> {
        self.earlier(job).check_rejection()
    }

    /// Handles a dispatch that must not go out, whatever the module decided: the module receives its end as
    /// not issued.
    fn refuse_dispatch(&mut self, now: Moment, job: JobId, why: Refusal) {
        self.context.guards.record_violation(Step::Repeat, why, self.instance.jobs.name(job.0));
        let Some(open) = self.jobs.get_mut(&job) else { return };
        let number = open.dispatches;
        open.dispatches += 1;
        self.instance.router.dispatch_ended(now, job, number, Outcome::NotIssued, Span::ZERO, None, false);
    }

    /// Notes that a query of the key may still run after its dispatch has ended.
    fn doubt(&mut self, key: KeyId) {
        self.unsettled.begin(key);
        self.instance.router.key_in_doubt(key);
    }

    /// Notes that a query of the key that might have been running has certainly ended.
    fn settle(&mut self, now: Moment, key: KeyId) {
        if self.unsettled.settle(key) {
            self.instance.router.key_settled(now, key);
        }
    }

    /// Handles the end of a dispatch that the module does not know because it restarted after the dispatch
    /// began.
    fn end_left_over(&mut self, now: Moment, job: JobId, number: usize, in_doubt: bool) {
        let Some(end) = self.unsettled.end_left_over(job, number) else { return };
        // The end of a query that may still run is settled later.
        if let Some(key) = end.key.filter(|_| !in_doubt) {
            self.settle(now, key);
        }
        if end.is_last {
            self.instance.jobs.release(job.0);
        }
    }

    /// Starts a new module with the current engine list; all open jobs have failed. The indices of jobs with
    /// a dispatch in flight stay allocated until it ends, so that late events about the old module's jobs
    /// match none of the new module's. Threat: the new module knows of no query in flight, so the next job of
    /// the same key would run beside it. So each key is in doubt from the start if it has a query in flight
    /// or one that may still run.
    fn begin_again(&mut self) {
        let now = self.clock.now();
        for job in self.jobs.keys().copied().collect::<Vec<_>>() {
            self.answer(job, Answer::Failed("Internal"));
        }
        let Ok(new) = Instance::start(now, self.seed, &self.settings) else { return };
        let old = std::mem::replace(&mut self.instance, new);
        (self.instance.jobs, self.instance.keys, self.instance.engines) = (old.jobs, old.keys, old.engines);
        for (job, open) in std::mem::take(&mut self.jobs) {
            self.leave_over(job, &open);
        }
        self.keys_out.clear();
        for key in self.unsettled.all() {
            self.instance.router.key_in_doubt(key);
        }
        let lines = self.engines.iter().map(|(engine, known)| (*engine, known.line, known.started));
        for (engine, line, started) in lines.collect::<Vec<_>>() {
            self.tell(now, engine, line, started);
        }
    }

    /// Keeps the dispatches in flight of a job that the module no longer knows.
    fn leave_over(&mut self, job: JobId, open: &Open) {
        for number in open.out.keys() {
            self.unsettled.leave_over(job, *number, open.key);
        }
        if open.out.is_empty() {
            self.instance.jobs.release(job.0);
        }
    }
}
