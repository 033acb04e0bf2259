//! The discovery actor: it keeps requesting the next events by long polling and forwards them without a gap.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use async_channel::{Receiver, Sender};
use async_lock::Semaphore;
use futures_lite::{FutureExt, future};
use serde_json::value::RawValue;
use woadhook::{Moment, Span};
use woadhook_host::fields::*;

use crate::clock::Clock;
use crate::discovery::calls::{CallPacing, Calls, EndedCall, MAX_CALLS, MAX_FORMER_CALLS, RequestWritten};
use crate::engine_list::{Bulletin, EventGroups, ListOutcome};
use crate::exchange::Event;
use crate::faults::CallError;
use crate::freshness::ListFreshness;
use crate::http::{Connection, request_head};
use crate::sockets::{Socket, with_timeout};
use crate::starts::EventTime;

const MAX_LIST_BYTES: usize = 4 * 1024 * 1024;
/// Maximum time for which a call asks discovery to keep it open.
const MAX_POLL_WAIT: Span = Span::from_micros(5_000_000);
/// Part of the grace period for which a call asks to be kept open: a change has to be received within the
/// grace period even if the connection of the open call went silent.
const POLL_WAIT_PART: f64 = 0.25;
/// A call is overdue after this many times the wait that it asks for, and another one is sent.
const OVERDUE_FACTOR: f64 = 1.5;
/// Minimum number of unanswered calls before the interval grows: two in a row may be unanswered because the
/// discovery process was paused.
const MAX_UNANSWERED_CALLS: usize = 3;
/// Part of the grace period within which a change has to be received; the rest is for processing it.
const RECEIVE_PART: f64 = 0.95;
/// Pause between a failed call and the next, as part of the wait that a call asks for.
const PAUSE_PART: f64 = 0.25;
/// Maximum duration of a call, connecting included.
const CALL_TIMEOUT: Span = Span::from_micros(30_000_000);

/// Number of times that events which can't be read are requested again, since the fault may be one of the
/// connection. Threat: a permanently malformed line would hide all that follow it, including notices that an
/// engine drains. After this many times, the lines that can be read are used.
const MAX_READ_FAILURES: usize = 3;

/// The new address of discovery, and the events that were known with it.
pub struct DiscoveryMove {
    pub address: SocketAddr,
    pub known_events: Option<Box<RawValue>>,
}

/// The events in an answer of discovery, and its connection if that can carry another call.
type Answer = (Bulletin, Option<Connection>);

enum Input {
    Due,
    Ended(EndedCall<Answer, DiscoveryError>),
    Moved(DiscoveryMove),
}

/// Follows discovery from `last`, the number of the last known event; numbering continues at a new address.
pub async fn follow(
    clock: Clock, address: SocketAddr, grace: Span, last: u64, moves: Receiver<DiscoveryMove>,
    events: Sender<Event>, freshness: ListFreshness,
) {
    let poll_wait = grace.mul_f64(POLL_WAIT_PART).min(MAX_POLL_WAIT);
    let follower = Follower {
        clock,
        address,
        poll_wait,
        last,
        events,
        freshness,
        descriptors: Arc::new(Semaphore::new(MAX_CALLS + MAX_FORMER_CALLS + 1)),
        calls: Calls::new(),
        pacing: CallPacing::new(
            grace.mul_f64(RECEIVE_PART),
            poll_wait.mul_f64(OVERDUE_FACTOR),
            MAX_UNANSWERED_CALLS,
        ),
        idle_connection: None,
        retry_at: None,
        last_fault: String::new(),
        unreadable_answers: 0,
    };
    follower.run(moves).await;
}

/// The state of the actor.
struct Follower {
    clock: Clock,
    address: SocketAddr,
    /// How long discovery may keep a call open while it has no event.
    poll_wait: Span,
    last: u64,
    events: Sender<Event>,
    freshness: ListFreshness,
    /// For the actor's connections.
    descriptors: Arc<Semaphore>,
    calls: Calls<Answer, DiscoveryError>,
    pacing: CallPacing,
    /// The connection of the last answer, for the next call.
    idle_connection: Option<Connection>,
    /// When to call again after a failed call.
    retry_at: Option<Moment>,
    /// The fault that was logged last.
    last_fault: String,
    /// Number of consecutive answers that could not be processed.
    unreadable_answers: usize,
}

impl Follower {
    async fn run(mut self, moves: Receiver<DiscoveryMove>) {
        while !self.events.is_closed() {
            let input = self.next_input(&moves).await;
            // Forwarding is never interrupted, so that each event is forwarded completely and its number
            // recorded.
            let forwarded = match input {
                Input::Due => {
                    self.start_call();
                    continue;
                }
                Input::Ended(EndedCall { began, is_former, outcome: Ok((bulletin, connection)) }) => {
                    let connection = connection.filter(|_| !is_former);
                    if !is_former {
                        self.pacing.record_response_time(self.clock.now().since(began));
                    }
                    let forwarded = self.handle_answer(bulletin, connection).await;
                    if forwarded.is_ok() && !is_former {
                        self.freshness.list_received(began);
                    }
                    forwarded
                }
                Input::Ended(EndedCall { outcome: Err(error), .. }) => Err(error.to_string()),
                Input::Moved(moved) => self.handle_move(moved).await,
            };
            if let Err(fault) = forwarded {
                self.handle_failure(fault);
            }
        }
    }

    async fn next_input(&mut self, moves: &Receiver<DiscoveryMove>) -> Input {
        let moved = async {
            match moves.recv().await {
                Ok(to) => Input::Moved(to),
                Err(_) => future::pending().await,
            }
        };
        let (clock, at) = (self.clock, self.due());
        let due = async {
            clock.sleep_until(at).await;
            Input::Due
        };
        let ended = async { Input::Ended(self.calls.next().await) };
        moved.or(ended).or(due).await
    }

    /// Returns when the next call is due.
    fn due(&self) -> Moment {
        // A router that knows no engine yet can't send to one that drains or is gone, and each answer to it
        // is the complete list.
        let (span, backoff_threshold) = if self.last == 0 {
            (self.pacing.usual_interval, 1)
        } else {
            (self.pacing.interval(), self.pacing.backoff_threshold())
        };
        let overdue = self.calls.due(span, backoff_threshold);
        match (self.retry_at, overdue) {
            (Some(retry), Some(overdue)) => retry.min(overdue),
            (retry, overdue) => retry.or(overdue).unwrap_or_default(),
        }
    }

    /// Starts a call for the events after the last one, if it is still due.
    fn start_call(&mut self) {
        if self.due() > self.clock.now() {
            return;
        }
        self.retry_at = None;
        // After this process was paused, each query waits for this answer, so discovery has to send it at
        // once.
        let poll_wait = if self.freshness.is_stale() { Span::ZERO } else { self.poll_wait };
        let now = self.clock.now();
        let path = format!("/bulletins?after={}&patience={}", self.last, poll_wait.micros() / 1000);
        let idle_connection = self.idle_connection.take().filter(Connection::is_ready);
        let is_written = RequestWritten::default();
        let call = timed_call(
            self.clock,
            idle_connection,
            self.descriptors.clone(),
            self.address,
            path,
            is_written.clone(),
        );
        self.calls.start(now, is_written, Box::pin(call));
    }

    async fn handle_answer(&mut self, bulletin: Bulletin, connection: Option<Connection>) -> Result<()> {
        let skip_malformed = self.unreadable_answers >= MAX_READ_FAILURES;
        let forwarded = if self.last == 0 {
            forward_first(bulletin, &mut self.last, skip_malformed, &self.events).await
        } else {
            forward(bulletin, EventTime::SinceLastContact, &mut self.last, skip_malformed, &self.events).await
        };
        if forwarded.is_ok() {
            self.unreadable_answers = 0;
            self.idle_connection = connection;
        } else {
            self.unreadable_answers += 1;
        }
        forwarded
    }

    async fn handle_move(&mut self, DiscoveryMove { address, known_events }: DiscoveryMove) -> Result<()> {
        log::info!(event = "discovery_moved", to:% = address; "discovery moved to {address}");
        self.address = address;
        self.idle_connection = None;
        self.calls.moved();
        self.retry_at = None;
        let Some(known_events) = known_events else { return Ok(()) };
        let bulletin = Bulletin::parse(known_events.get())?;
        forward(bulletin, EventTime::SinceLastContact, &mut self.last, false, &self.events).await
    }

    /// Schedules another call soon, on a new connection.
    fn handle_failure(&mut self, fault: String) {
        self.retry_at = Some(self.clock.now() + self.poll_wait.mul_f64(PAUSE_PART));
        if fault != self.last_fault {
            log::warn!(event = "discovery_failed"; "discovery: {fault}");
        }
        self.last_fault = fault;
    }
}

/// Why a call to discovery failed.
#[derive(Debug)]
enum DiscoveryError {
    Call(CallError),
    Status(u16),
    Body(serde_json::Error),
}

impl fmt::Display for DiscoveryError {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Call(error) => error.fmt(out),
            Self::Status(status) => write!(out, "status {status}"),
            Self::Body(error) => error.fmt(out),
        }
    }
}

/// Makes one call within its maximum duration, over the connection of the last one if there is one.
async fn timed_call(
    clock: Clock, idle_connection: Option<Connection>, descriptors: Arc<Semaphore>, address: SocketAddr,
    path: String, is_written: RequestWritten,
) -> std::result::Result<Answer, DiscoveryError> {
    let call =
        with_timeout(CALL_TIMEOUT, call(clock, idle_connection, descriptors, address, path, is_written))
            .await;
    let (status, body, connection) =
        call.unwrap_or(Err(CallError::NoAnswerInTime)).map_err(DiscoveryError::Call)?;
    if status != 200 {
        return Err(DiscoveryError::Status(status));
    }
    let bulletin = serde_json::from_slice(&body).map_err(DiscoveryError::Body)?;
    Ok((bulletin, connection.reusable.then_some(connection)))
}

async fn call(
    clock: Clock, idle_connection: Option<Connection>, descriptors: Arc<Semaphore>, address: SocketAddr,
    path: String, is_written: RequestWritten,
) -> std::result::Result<(u16, Vec<u8>, Connection), CallError> {
    let mut connection = match idle_connection {
        Some(idle_connection) => idle_connection,
        None => {
            let permit = descriptors.acquire_arc().await;
            Connection::new(Socket::connect(address, CALL_TIMEOUT, permit).await?, clock)
        }
    };
    let head = request_head("GET", &path, address, &[], 0);
    let on_write = |_| is_written.set(true);
    let (status, body) = connection.call(&head, &[], MAX_LIST_BYTES, on_write, |_, _| ()).await?;
    Ok((status, body, connection))
}

/// Forwards the events in the configuration at the start, if there are any.
pub async fn forward_known_events(
    known: Option<Box<RawValue>>, last: &mut u64, events: &Sender<Event>,
) -> Result<()> {
    let Some(known) = known else { return Ok(()) };
    forward_first(Bulletin::parse(known.get())?, last, false, events).await
}

/// Forwards the first events that this router receives, which may have happened at any time before.
async fn forward_first(
    bulletin: Bulletin, last: &mut u64, skip_malformed: bool, events: &Sender<Event>,
) -> Result<()> {
    let event_time = EventTime::BeforeFirstContact(bulletin.newest_start());
    forward(bulletin, event_time, last, skip_malformed, events).await
}

/// Forwards the events after `last`; with `skip_malformed`, only those lines that can be read. After a gap,
/// only a complete list is accepted.
async fn forward(
    bulletin: Bulletin, event_time: EventTime, last: &mut u64, skip_malformed: bool, events: &Sender<Event>,
) -> Result<()> {
    let EventGroups { groups, error } = bulletin.into_groups(*last);
    for group in groups {
        let (result, outcome) = async_channel::bounded(1);
        let received = Event::ListReceived { events: group, event_time, skip_malformed, result };
        let _ = events.send(received).await;
        let outcome: ListOutcome = outcome.recv().await.map_err(|_| "the dispatcher has ended".to_owned())?;
        *last = outcome.last_applied.unwrap_or(*last);
        outcome.error.map_or(Ok(()), Err)?;
    }
    error.map_or(Ok(()), Err)
}
