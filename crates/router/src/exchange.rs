//! The messages between frontends, the decision actor, backends, discovery and gossip. This file lies below
//! all of them, so that a new protocol is a file of its own.

use std::cell::Cell;
use std::rc::Rc;

use async_channel::{Receiver, Sender};
use serde_json::Value;
use woadhook::*;
use woadhook_gossip::EngineCondition;
use woadhook_host::fields::Result;

use crate::keyfiles::Keys;
use crate::memory::{Holder, MemoryPermit};
use crate::starts::EventTime;

/// The error for a request that can't be accepted, whatever is wrong with it.
pub const MALFORMED: &str = "Malformed";

/// A message to the actor of the decision module.
pub enum Event {
    JobArrived {
        client: u64,
        statement: Rc<Statement>,
        kind: TypeId,
        group: GroupId,
        tenant: Option<String>,
        order_key: Option<String>,
        stated_work: Option<Span>,
        memory: f64,
        deadline: Moment,
        responder: Responder,
    },
    Withdrawn {
        client: u64,
        number: u32,
    },
    ClientGone {
        client: u64,
    },
    /// The client of this job was found gone right before a dispatch.
    JobAbandoned {
        job: JobId,
    },
    Ping {
        responder: Responder,
    },
    DispatchEnded {
        job: JobId,
        number: usize,
        outcome: Outcome,
        took: Span,
        actual_cost: Option<(Span, f64)>,
        result: Option<QueryResult>,
        /// Whether the query may still run, as its engine did not answer the call that gave it up.
        in_doubt: bool,
    },
    /// A dispatch of this key that was in doubt has certainly ended.
    KeySettled {
        order_key: KeyId,
    },
    Progressed {
        job: JobId,
        number: usize,
        progress: Progress,
    },
    LoadReported {
        engine: EngineId,
        stats: String,
    },
    ProbeEnded {
        engine: EngineId,
        outcome: Outcome,
    },
    /// Changes of the engine list; the answer says whether they could be read. With `in_part`, lines that
    /// can't be read are left out.
    ListReceived {
        roster: Value,
        event_time: EventTime,
        skip_malformed: bool,
        result: Sender<Result<()>>,
    },
    /// An engine sent this many bytes of an answer: the time until the first byte, and from there until the
    /// last one.
    PageReceived {
        engine: EngineId,
        bytes: usize,
        time_to_first_byte: Span,
        transfer_time: Span,
    },
    /// What other routers report of an engine, by name.
    PeerReport {
        engine: String,
        reservation_type: Option<String>,
        suspicion: f64,
    },
    Stopping {
        last_answer_due: Moment,
    },
}

/// A client's request, unchanged.
pub struct Statement {
    pub holder: Holder,
    pub id: String,
    pub class: String,
    /// The client's order key and its idempotency key, where it gave them; they are passed on unchanged.
    pub order_key: Option<String>,
    pub idempotency_key: Option<String>,
    pub text: String,
    /// The memory that the statement takes.
    pub memory: MemoryPermit,
    pub client: WaitingClient,
}

/// Whether the client still waits for its job. Threat: a client closes or cancels while its job waits behind
/// a busy thread or a connection that is not up yet, and its message is still in a mailbox or unread in its
/// socket. So each dispatch checks this right before its first byte.
pub struct WaitingClient {
    taken_back: Cell<bool>,
    connected: Box<dyn Fn() -> bool>,
}

impl WaitingClient {
    /// `connected` checks the client's connection itself.
    pub fn new(connected: impl Fn() -> bool + 'static) -> Self {
        Self { taken_back: Cell::new(false), connected: Box::new(connected) }
    }

    /// Records that the client no longer waits.
    pub fn withdraw(&self) {
        self.taken_back.set(true);
    }

    pub fn is_waiting(&self) -> bool {
        !self.taken_back.get() && (self.connected)()
    }
}

pub struct Dispatch {
    pub job: JobId,
    pub number: usize,
    pub engine: EngineId,
    pub statement: Rc<Statement>,
    pub decided_at: Moment,
    pub deadline: Moment,
    /// The time by which the dispatch must begin, if an earlier dispatch of the job may have run.
    pub repeat_deadline: Option<Moment>,
    /// The order key, where its type keeps order.
    pub order_key: Option<KeyId>,
    pub priority: u8,
}

/// A complete result, and the memory it takes.
pub struct QueryResult {
    pub pages: Vec<Vec<u8>>,
    _held: MemoryPermit,
}

impl QueryResult {
    pub fn new(pages: Vec<Vec<u8>>, held: MemoryPermit) -> Self {
        Self { pages, _held: held }
    }
}

/// The answer to a request.
pub enum Answer {
    Served(QueryResult),
    Overloaded(Option<Span>),
    Failed(&'static str),
    Pong(bool),
}

/// The right to answer one request, once. If it is dropped unused, no answer is owed any more.
pub struct Responder {
    number: u32,
    give: Box<dyn FnOnce(Answer)>,
}

impl Responder {
    /// `give` owns what is released once the answer is written or no longer owed.
    pub fn new(number: u32, give: impl FnOnce(Answer) + 'static) -> Self {
        Self { number, give: Box::new(give) }
    }

    /// The number that the client gave its request.
    pub fn request_number(&self) -> u32 {
        self.number
    }

    pub fn send(self, answer: Answer) {
        (self.give)(answer);
    }
}

/// An event that the router passes on to the gossip actor.
pub enum GossipEvent {
    EngineJudged { engine: String, seen: EngineCondition },
    DispatchEnded { engine: String, of: String, outcome: Outcome },
    ProbeAnswered { engine: String },
    KeysReloaded(Box<Keys>),
    Stopping,
}

/// The engines on the list, and when each started.
pub type EngineList = Vec<(String, Moment)>;

/// Sends to the gossip actor.
#[derive(Clone)]
pub struct GossipHandle {
    notes: Sender<GossipEvent>,
    /// Holds the latest list only.
    lists: Sender<EngineList>,
}

/// Capacity of the queue of events; those that don't fit are dropped, which loses one observation each.
const NOTES: usize = 1024;

impl GossipHandle {
    /// Creates the handle and the receivers of events and lists.
    pub fn new() -> (Self, Receiver<GossipEvent>, Receiver<EngineList>) {
        let (notes, taken) = async_channel::bounded(NOTES);
        let (lists, listed) = async_channel::bounded(1);
        (Self { notes, lists }, taken, listed)
    }

    pub fn send(&self, note: GossipEvent) {
        let _ = self.notes.try_send(note);
    }

    pub fn send_list(&self, list: EngineList) {
        let _ = self.lists.force_send(list);
    }
}

/// Parses a figure that a peer sent; `None` if it is no plausible number.
pub fn parse_measurement(text: &str) -> Option<f64> {
    text.trim().parse().ok().filter(|figure| (0.0..1e12).contains(figure))
}
