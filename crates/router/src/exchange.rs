//! The messages between frontends, the decision actor, backends, discovery and gossip. This file lies below
//! all of them, so that a new protocol is a file of its own.

use std::cell::Cell;
use std::rc::Rc;

use async_channel::{Receiver, Sender};
use woadhook::*;
use woadhook_gossip::EngineCondition;

use crate::engine_list::{ListEvent, ListOutcome};
use crate::keyfiles::Keys;
use crate::memory::{Holder, MemoryPermit};
use crate::starts::EventTime;

/// The error for a request that can't be accepted, whatever is wrong with it.
pub const MALFORMED: &str = "Malformed";

/// A message to the actor of the decision module.
pub enum Event {
    /// A request for a job that passed all checks. `client` is the number of the client's connection, as in
    /// the other events; `stated_work` is the client's estimate of the work, if it sent one; `memory` is in
    /// megabytes.
    JobArrived {
        client: u64,
        statement: Rc<Statement>,
        type_id: TypeId,
        group: GroupId,
        tenant: Option<String>,
        order_key: Option<String>,
        stated_work: Option<Span>,
        memory: f64,
        deadline: Moment,
        responder: Responder,
    },
    /// A client withdrew a request.
    Withdrawn { client: u64, number: u32 },
    /// The connection of a client ended.
    ClientGone { client: u64 },
    /// The client of this job was found to be gone right before a dispatch.
    JobAbandoned { job: JobId },
    /// A dispatch of this job was not sent because its client may have withdrawn the job.
    ClientUnheard { job: JobId },
    /// A client asks whether this router serves.
    Ping { responder: Responder },
    /// A dispatch ended, `took` after it was decided. `actual_cost` is the work and the memory of the query,
    /// if its engine reported them.
    DispatchEnded {
        job: JobId,
        number: usize,
        outcome: Outcome,
        took: Span,
        actual_cost: Option<(Span, f64)>,
        result: Option<QueryResult>,
        /// Whether the query may still run, because its engine did not answer the DELETE that gave it up.
        in_doubt: bool,
    },
    /// A query of this key that was in doubt, because it might still have been running after its dispatch
    /// ended, has certainly ended.
    KeySettled { order_key: KeyId },
    /// An engine reported the progress of a query.
    Progressed { job: JobId, number: usize, progress: Progress },
    /// An engine sent a load report; `stats` is its unchanged text.
    LoadReported { engine: EngineId, stats: String },
    /// A probe of an engine ended.
    ProbeEnded { engine: EngineId, outcome: Outcome },
    /// A group of events that change the engine list. `result` receives the outcome of reading them. With
    /// `skip_malformed`, malformed lines are skipped.
    ListReceived {
        events: Vec<ListEvent>,
        event_time: EventTime,
        skip_malformed: bool,
        result: Sender<ListOutcome>,
    },
    /// An engine sent `bytes` bytes of an answer. `time_to_first_byte` ends with the first of them, and
    /// `transfer_time` is the time from there until the last one.
    PageReceived { engine: EngineId, bytes: usize, time_to_first_byte: Span, transfer_time: Span },
    /// Other routers suspect an engine, which is given by its name, at this level.
    PeerReport { engine: String, reservation_type: Option<String>, suspicion: f64 },
    /// The router stops; all answers are due by `last_answer_due`.
    Stopping { last_answer_due: Moment },
}

/// A client's request, unchanged.
pub struct Statement {
    pub holder: Holder,
    pub id: String,
    pub class: String,
    /// The client's order key and its idempotency key, if it gave them; they are passed on unchanged.
    pub order_key: Option<String>,
    pub idempotency_key: Option<String>,
    pub text: String,
    /// The memory that the statement takes.
    pub memory: MemoryPermit,
    pub client: WaitingClient,
}

/// What is known about a client's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientPresence {
    /// The connection is open, and what arrived over it is processed, except for what arrived just now.
    Present,
    /// The connection seems to be open, but a withdrawal or the close may have been unprocessed in it for too
    /// long.
    Unheard,
    /// The connection is closed.
    Gone,
}

/// Whether the client still waits for its job. Threat: a client closes or cancels while its job waits behind
/// a busy thread or a connection that is not established yet, and its message is still in a mailbox or unread
/// in its socket. Therefore each dispatch checks this right before its first byte is sent.
pub struct WaitingClient {
    is_withdrawn: Cell<bool>,
    connection: Box<dyn Fn() -> ClientPresence>,
}

impl WaitingClient {
    /// `connection` returns the state of the client's connection.
    pub fn new(connection: impl Fn() -> ClientPresence + 'static) -> Self {
        Self { is_withdrawn: Cell::new(false), connection: Box::new(connection) }
    }

    /// Records that the client no longer waits.
    pub fn withdraw(&self) {
        self.is_withdrawn.set(true);
    }

    /// Whether the client is known to wait for its job.
    pub fn presence(&self) -> ClientPresence {
        if self.is_withdrawn.get() { ClientPresence::Gone } else { (self.connection)() }
    }

    /// Whether the client is not known to have withdrawn its request or closed its connection.
    pub fn is_waiting(&self) -> bool {
        self.presence() != ClientPresence::Gone
    }
}

/// A dispatch that the module decided on, for a backend to carry out.
pub struct Dispatch {
    pub job: JobId,
    pub number: usize,
    pub engine: EngineId,
    pub statement: Rc<Statement>,
    pub decided_at: Moment,
    pub deadline: Moment,
    /// The time by which the dispatch must begin, if an earlier dispatch of the job may have run.
    pub repeat_deadline: Option<Moment>,
    /// The time until which the job may be dispatched again once this dispatch has ended, where two
    /// dispatches of a job must never be in flight at once; `None` where they may, and if the job is not
    /// dispatched again after one that may have run.
    pub exclusive_until: Option<Moment>,
    /// The order key, if jobs of the type keep order.
    pub order_key: Option<KeyId>,
    pub priority: u8,
}

/// A complete result, and the memory it takes.
pub struct QueryResult {
    pub pages: Vec<Vec<u8>>,
    _memory: MemoryPermit,
}

impl QueryResult {
    pub fn new(pages: Vec<Vec<u8>>, memory: MemoryPermit) -> Self {
        Self { pages, _memory: memory }
    }
}

/// The answer to a request.
pub enum Answer {
    Served(QueryResult),
    /// The job is rejected, with the retry-after time, if there is one.
    Overloaded(Option<Span>),
    /// The job failed, with the name of the error.
    Failed(&'static str),
    /// The answer to a ping: whether this router serves.
    Pong(bool),
}

/// The right to answer one request, once. If it is dropped unused, no answer is due any more.
pub struct Responder {
    request_number: u32,
    deliver: Box<dyn FnOnce(Answer)>,
}

impl Responder {
    /// `deliver` sends the answer. It owns the resources that are released once the answer is written or no
    /// longer due.
    pub fn new(request_number: u32, deliver: impl FnOnce(Answer) + 'static) -> Self {
        Self { request_number, deliver: Box::new(deliver) }
    }

    /// The number that the client gave its request.
    pub fn request_number(&self) -> u32 {
        self.request_number
    }

    pub fn send(self, answer: Answer) {
        (self.deliver)(answer);
    }
}

/// An event that the router passes on to the gossip actor.
pub enum GossipEvent {
    /// The module set an engine aside, or uses it again.
    EngineConditionChanged { engine: String, condition: EngineCondition },
    /// A dispatch of a job of this reservation type ended.
    DispatchEnded { engine: String, reservation_type: String, outcome: Outcome },
    /// An engine answered a probe.
    ProbeAnswered { engine: String },
    /// The keys were read again.
    KeysReloaded(Box<Keys>),
    /// The router stops.
    Stopping,
}

/// The engines on the list, and when each started.
pub type EngineList = Vec<(String, Moment)>;

/// Sends events and engine lists to the gossip actor.
#[derive(Clone)]
pub struct GossipHandle {
    events: Sender<GossipEvent>,
    /// Holds the latest list only.
    lists: Sender<EngineList>,
}

/// Capacity of the queue of events; those that don't fit are dropped, which loses one observation each.
const MAX_QUEUED_EVENTS: usize = 1024;

impl GossipHandle {
    /// Creates the handle and the receivers of events and lists.
    pub fn new() -> (Self, Receiver<GossipEvent>, Receiver<EngineList>) {
        let (events, queued_events) = async_channel::bounded(MAX_QUEUED_EVENTS);
        let (lists, latest_list) = async_channel::bounded(1);
        (Self { events, lists }, queued_events, latest_list)
    }

    /// Sends an event; drops it if the queue is full.
    pub fn send(&self, event: GossipEvent) {
        let _ = self.events.try_send(event);
    }

    /// Sends the engine list in place of one that was not taken yet.
    pub fn send_list(&self, list: EngineList) {
        let _ = self.lists.force_send(list);
    }
}

/// Parses a number that a peer sent; `None` if it is malformed or implausible.
pub fn parse_measurement(text: &str) -> Option<f64> {
    text.trim().parse().ok().filter(|figure| (0.0..1e12).contains(figure))
}
