//! What frontends, decisions, backends and other sources of words say to each other. This file lies below all of them, so
//! that a new one is a file of its own.

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

/// The error for what can't be taken, whatever is wrong with it.
pub const MALFORMED: &str = "Malformed";

/// What the module's actor is told.
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
        /// Whether it may run on, as its engine said nothing to the call that gave it up.
        in_doubt: bool,
    },
    /// A dispatch for this key that was in doubt runs no more.
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
    /// Changes of the list; the answer tells whether they could be read. Of one taken in part, lines that can't are left out.
    ListReceived {
        roster: Value,
        event_time: EventTime,
        skip_malformed: bool,
        result: Sender<Result<()>>,
    },
    /// So much of an answer came from an engine: how long to its first byte, and from there to its last.
    PageReceived {
        engine: EngineId,
        bytes: usize,
        time_to_first_byte: Span,
        transfer_time: Span,
    },
    /// What other routers say of an engine, by name.
    PeerReport {
        engine: String,
        reservation_type: Option<String>,
        suspicion: f64,
    },
    Stopping {
        last_answer_due: Moment,
    },
}

/// What a client asked for, unchanged.
pub struct Statement {
    pub holder: Holder,
    pub id: String,
    pub class: String,
    /// The client's key, and what repeats are known by, where it gave them: they go on unchanged.
    pub order_key: Option<String>,
    pub idempotency_key: Option<String>,
    pub text: String,
    /// The room that it takes.
    pub memory: MemoryPermit,
    pub client: WaitingClient,
}

/// Whether somebody still waits for a job. Threat: a client that closes or cancels while its job waits, behind a thread
/// that is busy or a connection that is not up yet; what it said may stand in a mailbox or unread in its socket. So each
/// dispatch looks here right before its first byte.
pub struct WaitingClient {
    taken_back: Cell<bool>,
    connected: Box<dyn Fn() -> bool>,
}

impl WaitingClient {
    /// `connected` looks at the client's connection itself.
    pub fn new(connected: impl Fn() -> bool + 'static) -> Self {
        Self { taken_back: Cell::new(false), connected: Box::new(connected) }
    }

    /// The client waits no longer.
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
    /// When it must have begun, as an earlier dispatch of the job may have run.
    pub repeat_deadline: Option<Moment>,
    /// The key by which its type keeps order.
    pub order_key: Option<KeyId>,
    pub priority: u8,
}

/// A whole result, and the room it takes.
pub struct QueryResult {
    pub pages: Vec<Vec<u8>>,
    _held: MemoryPermit,
}

impl QueryResult {
    pub fn new(pages: Vec<Vec<u8>>, held: MemoryPermit) -> Self {
        Self { pages, _held: held }
    }
}

/// What answers a request.
pub enum Answer {
    Served(QueryResult),
    Overloaded(Option<Span>),
    Failed(&'static str),
    Pong(bool),
}

/// The right to answer one request, once. Dropped unused, no answer is owed any more.
pub struct Responder {
    number: u32,
    give: Box<dyn FnOnce(Answer)>,
}

impl Responder {
    /// `give` owns whatever is given back once the answer is written, or owed no more.
    pub fn new(number: u32, give: impl FnOnce(Answer) + 'static) -> Self {
        Self { number, give: Box::new(give) }
    }

    /// The id that the client gave its request.
    pub fn request_number(&self) -> u32 {
        self.number
    }

    pub fn send(self, answer: Answer) {
        (self.give)(answer);
    }
}

/// What this instance met.
pub enum GossipEvent {
    EngineJudged { engine: String, seen: EngineCondition },
    DispatchEnded { engine: String, of: String, outcome: Outcome },
    ProbeAnswered { engine: String },
    KeysReloaded(Box<Keys>),
    Stopping,
}

/// The engines on the list, and when each came up.
pub type EngineList = Vec<(String, Moment)>;

/// The way to the actor.
#[derive(Clone)]
pub struct GossipHandle {
    notes: Sender<GossipEvent>,
    /// Holds the latest list only.
    lists: Sender<EngineList>,
}

/// Notes that wait; what comes beyond is one observation less.
const NOTES: usize = 1024;

impl GossipHandle {
    /// The way to an actor, and its ends for notes and for lists.
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

/// A figure that a peer tells, if it can be one.
pub fn parse_measurement(text: &str) -> Option<f64> {
    text.trim().parse().ok().filter(|figure| (0.0..1e12).contains(figure))
}
