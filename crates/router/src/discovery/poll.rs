//! The actor of discovery: it asks for the next events over and over and passes them on, none left out.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use async_channel::{Receiver, Sender};
use async_lock::Semaphore;
use futures_lite::{FutureExt, future};
use serde_json::Value;
use woadhook::{Moment, Span};
use woadhook_host::fields::*;

use crate::clock::Clock;
use crate::discovery::calls::{Asked, Calls, Ended, MOST_CALLS, MOST_FORMER, Pace};
use crate::exchange::Event;
use crate::faults::CallError;
use crate::freshness::ListFreshness;
use crate::http::{Connection, request_head};
use crate::sockets::{Socket, with_timeout};
use crate::starts::EventTime;

const LIST_BYTES: usize = 4 * 1024 * 1024;
/// The longest patience that it grants.
const LONGEST: Span = Span::from_micros(5_000_000);
/// Part of the grace for which a call asks to wait: a change is to be heard within the grace even where the open
/// connection went silent.
const PATIENCE_PART: f64 = 0.25;
/// A call is overdue after so many times the patience that it asks for, and another one goes out.
const OVERDUE: f64 = 1.5;
/// Calls that go out at that pace, though none is answered: two in a row may have met a discovery that stood.
const CALLS_AT_PACE: usize = 3;
/// Part of the grace within which a change is to be heard; the rest is for taking it in.
const HEARD_PART: f64 = 0.95;
/// Part of the patience between a call that failed and the next.
const PAUSE_PART: f64 = 0.25;
/// No call lives longer, connect and all.
const CALL_LIFE: Span = Span::from_micros(30_000_000);

/// So often an event that can't be read is asked for again, as that may be noise on the connection. Threat: a line that makes
/// no sense for good would hide all that comes behind it, notices to drain among it. Then the lines that do are taken.
const DOUBTS: usize = 3;

/// Where discovery is from now on, and the events that were known with that.
pub struct DiscoveryMove {
    pub address: SocketAddr,
    pub known_events: Value,
}

/// An answer of discovery, and its connection where another call can be made over it.
type Answer = (Value, Option<Connection>);

enum Heard {
    Due,
    Ended(Ended<Answer, DiscoveryFault>),
    Moved(DiscoveryMove),
}

/// Follows discovery from `last`, the number of the last event known, which goes on at a new address.
pub async fn follow(
    clock: Clock, address: SocketAddr, grace: Span, last: u64, moves: Receiver<DiscoveryMove>,
    module: Sender<Event>, freshness: ListFreshness,
) {
    let patience = grace.mul_f64(PATIENCE_PART).min(LONGEST);
    let follower = Follower {
        clock,
        address,
        patience,
        last,
        module,
        freshness,
        descriptors: Arc::new(Semaphore::new(MOST_CALLS + MOST_FORMER + 1)),
        calls: Calls::new(),
        pace: Pace::new(grace.mul_f64(HEARD_PART), patience.mul_f64(OVERDUE), CALLS_AT_PACE),
        kept: None,
        retry: None,
        fault: String::new(),
        doubts: 0,
    };
    follower.run(moves).await;
}

/// What the actor holds.
struct Follower {
    clock: Clock,
    address: SocketAddr,
    /// How long discovery may keep a call where it has nothing to tell.
    patience: Span,
    last: u64,
    module: Sender<Event>,
    freshness: ListFreshness,
    /// For its connections.
    descriptors: Arc<Semaphore>,
    calls: Calls<Answer, DiscoveryFault>,
    pace: Pace,
    /// The connection of the last answer.
    kept: Option<Connection>,
    /// When to call again behind a failed call.
    retry: Option<Moment>,
    /// The fault that was logged last.
    fault: String,
    /// How many answers in a row could not be taken in.
    doubts: usize,
}

impl Follower {
    async fn run(mut self, moves: Receiver<DiscoveryMove>) {
        while !self.module.is_closed() {
            let heard = self.hear(&moves).await;
            // Passing on is never cut short, so that each event is told whole and its number kept.
            let passed = match heard {
                Heard::Due => {
                    self.call();
                    continue;
                }
                Heard::Ended(Ended { began, is_former, outcome: Ok((told, connection)) }) => {
                    let connection = connection.filter(|_| !is_former);
                    if !is_former {
                        self.pace.answered_after(self.clock.now().since(began));
                    }
                    let passed = self.answered(told, connection).await;
                    if passed.is_ok() && !is_former {
                        self.freshness.list_received(began);
                    }
                    passed
                }
                Heard::Ended(Ended { outcome: Err(fault), .. }) => Err(fault.to_string()),
                Heard::Moved(moved) => self.moved(moved).await,
            };
            if let Err(fault) = passed {
                self.failed(fault);
            }
        }
    }

    async fn hear(&mut self, moves: &Receiver<DiscoveryMove>) -> Heard {
        let moved = async {
            match moves.recv().await {
                Ok(to) => Heard::Moved(to),
                Err(_) => future::pending().await,
            }
        };
        let (clock, at) = (self.clock, self.due());
        let due = async {
            clock.sleep_until(at).await;
            Heard::Due
        };
        let ended = async { Heard::Ended(self.calls.next().await) };
        moved.or(ended).or(due).await
    }

    /// When the next call goes out.
    fn due(&self) -> Moment {
        // A router that knows of no engine yet can break no rule there, and each answer to it is the whole list.
        let (span, at_pace) =
            if self.last == 0 { (self.pace.usual, 1) } else { (self.pace.span(), self.pace.at_pace()) };
        let overdue = self.calls.due(span, at_pace);
        match (self.retry, overdue) {
            (Some(retry), Some(overdue)) => retry.min(overdue),
            (retry, overdue) => retry.or(overdue).unwrap_or_default(),
        }
    }

    /// Sends out a call for the events behind the last one, if that is still due.
    fn call(&mut self) {
        if self.due() > self.clock.now() {
            return;
        }
        self.retry = None;
        // Behind a stand each query waits for the answer, so it is to come at once.
        let patience = if self.freshness.is_stale() { Span::ZERO } else { self.patience };
        let now = self.clock.now();
        let path = format!("/bulletins?after={}&patience={}", self.last, patience.micros() / 1000);
        let kept = self.kept.take().filter(Connection::is_ready);
        let asked = Asked::default();
        let call = ask(self.clock, kept, self.descriptors.clone(), self.address, path, asked.clone());
        self.calls.start(now, asked, Box::pin(call));
    }

    async fn answered(&mut self, told: Value, connection: Option<Connection>) -> Result<()> {
        let in_part = self.doubts >= DOUBTS;
        let passed = if self.last == 0 {
            pass_on_first(&told, &mut self.last, in_part, &self.module).await
        } else {
            pass_on(&told, EventTime::SinceLastContact, &mut self.last, in_part, &self.module).await
        };
        if passed.is_ok() {
            self.doubts = 0;
            self.kept = connection;
        } else {
            self.doubts += 1;
        }
        passed
    }

    async fn moved(&mut self, DiscoveryMove { address, known_events }: DiscoveryMove) -> Result<()> {
        log::info!(event = "discovery_moved", to:% = address; "discovery is at {address}");
        self.address = address;
        self.kept = None;
        self.calls.moved();
        self.retry = None;
        if known_events.is_object() {
            pass_on(&known_events, EventTime::SinceLastContact, &mut self.last, false, &self.module).await
        } else {
            Ok(())
        }
    }

    /// Asks again on a new connection soon.
    fn failed(&mut self, fault: String) {
        self.retry = Some(self.clock.now() + self.patience.mul_f64(PAUSE_PART));
        if fault != self.fault {
            log::warn!(event = "discovery_failed"; "discovery: {fault}");
        }
        self.fault = fault;
    }
}

/// Why a call to discovery brought nothing.
#[derive(Debug)]
enum DiscoveryFault {
    Call(CallError),
    Status(u16),
    Body(serde_json::Error),
}

impl fmt::Display for DiscoveryFault {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Call(fault) => fault.fmt(out),
            Self::Status(status) => write!(out, "status {status}"),
            Self::Body(error) => error.fmt(out),
        }
    }
}

/// One call, over the connection of the last one if there is one, which ends in its time.
async fn ask(
    clock: Clock, kept: Option<Connection>, descriptors: Arc<Semaphore>, address: SocketAddr, path: String,
    asked: Asked,
) -> std::result::Result<Answer, DiscoveryFault> {
    let call = with_timeout(CALL_LIFE, call(clock, kept, descriptors, address, path, asked)).await;
    let (status, body, connection) =
        call.unwrap_or(Err(CallError::NoAnswerInTime)).map_err(DiscoveryFault::Call)?;
    if status != 200 {
        return Err(DiscoveryFault::Status(status));
    }
    let told = serde_json::from_slice(&body).map_err(DiscoveryFault::Body)?;
    Ok((told, connection.reusable.then_some(connection)))
}

async fn call(
    clock: Clock, kept: Option<Connection>, descriptors: Arc<Semaphore>, address: SocketAddr, path: String,
    asked: Asked,
) -> std::result::Result<(u16, Vec<u8>, Connection), CallError> {
    let mut connection = match kept {
        Some(kept) => kept,
        None => {
            let permit = descriptors.acquire_arc().await;
            Connection::new(Socket::connect(address, CALL_LIFE, permit).await?, clock)
        }
    };
    let head = request_head("GET", &path, address, &[], 0);
    let wrote = |_| asked.set(true);
    let (status, body) = connection.call(&head, &[], LIST_BYTES, wrote, |_, _| ()).await?;
    Ok((status, body, connection))
}

/// Passes on what the configuration held at the start, which may be nothing.
pub async fn forward_known_events(known: &Value, last: &mut u64, module: &Sender<Event>) -> Result<()> {
    if known.is_object() { pass_on_first(known, last, false, module).await } else { Ok(()) }
}

/// Passes on the first events that this router hears of, which may have happened at any time before.
async fn pass_on_first(told: &Value, last: &mut u64, in_part: bool, module: &Sender<Event>) -> Result<()> {
    let happened = EventTime::before_first_contact(array(told, "items")?);
    pass_on(told, happened, last, in_part, module).await
}

/// Passes on the events behind `last`, of `in_part` those lines that can be read. After a gap only a whole list will do.
async fn pass_on(
    told: &Value, happened: EventTime, last: &mut u64, in_part: bool, module: &Sender<Event>,
) -> Result<()> {
    for item in array(told, "items")? {
        let number = integer(item, "no")?;
        if number <= *last {
            continue;
        }
        if let Some(roster) = item.get("roster") {
            if number != *last + 1 && !flag(roster, "complete") {
                return Err(format!("event {} is missing", *last + 1));
            }
            let (read, answer) = async_channel::bounded(1);
            let _ = module
                .send(Event::ListReceived {
                    roster: roster.clone(),
                    event_time: happened,
                    skip_malformed: in_part,
                    result: read,
                })
                .await;
            answer.recv().await.map_err(|_| "no module".to_owned())??;
        }
        *last = number;
    }
    Ok(())
}
