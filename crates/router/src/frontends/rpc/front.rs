//! An actor a client connection: it reads requests, and writes answers in the order in which they come.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt;
use std::io;
use std::net::{IpAddr, Ipv4Addr};
use std::rc::Rc;
use std::sync::Arc;

use async_channel::{Receiver, Sender};
use async_lock::{Semaphore, SemaphoreGuardArc};
use futures_lite::{FutureExt, future};
use woadhook::{Moment, Span};
use woadhook_flow_control::min_rate::{MinRate, RateMonitor};
use woadhook_flow_control::round_robin::DeficitCounter;

use crate::arrivals::{ArrivalTimes, LoopTicks};
use crate::clock::{Clock, sleep};
use crate::exchange::{Answer, Event, MALFORMED, Responder, Statement, WaitingClient};
use crate::frontends::rpc::codec::{self, Malformed, MessageScanner};
use crate::frontends::rpc::connections::{Client, Registration};
use crate::frontends::rpc::request::RequestLimits;
use crate::guards::{Guards, Refusal, Step};
use crate::memory::{Holder, MemoryBudget, MemoryPermit};
use crate::sockets::{PendingInput, Socket, WriteError, read_once, with_timeout, write_at_min_rate};
use crate::tasks::Tasks;

/// The most open requests of a connection, and some whose withdrawal is on its way.
const OPEN: usize = 32 + 8;
/// Answers of the door itself, pongs and refusals, that a client has not taken; it is read no further
/// meanwhile.
const ASIDE: usize = 32;
/// No message holds more. What is longer than `READ_BYTES` is read into room that all clients share.
const MESSAGE_BYTES: usize = 128 * 1024;
const READ_BYTES: usize = 2 * 1024;
/// A connection's first message, and each one that has begun, is to be there whole within this.
const MESSAGE_WITHIN: Span = Span::from_micros(1_500_000);
/// Clients close idle connections after 4 s.
const IDLE: Span = Span::from_micros(5_000_000);
/// For each ping and each request that the door turned away, before the client is read again, once it had `BURST` of
/// them: what hundreds of requests sent at once are followed by, as a cancel or the close, is to be read soon.
const PACE: Span = Span::from_micros(2_000);
const BURST: f64 = 512.0;
/// How often a client that is not read is looked at for a close.
const GLANCE: Span = Span::from_micros(50_000);
/// How long a connection that the router ends waits for the client's end. What was written longer ago than that has
/// come, as far as anybody can tell.
const PARTING: Span = Span::from_micros(100_000);
/// What a job takes beside its statement, in all tables and tasks.
const JOB_BYTES: usize = 8 * 1024;

/// What all connections of clients are given alike.
#[derive(Clone)]
pub struct FrontendContext {
    pub clock: Clock,
    pub tasks: Tasks,
    pub events: Sender<Event>,
    pub request_limits: Rc<RequestLimits>,
    /// For statements with their jobs, and for messages on their way in.
    pub job_memory: MemoryBudget,
    pub message_memory: MemoryBudget,
    /// What a client is told that is turned away here.
    pub come_back: Option<Span>,
    /// How many answers are owed on all connections.
    pub answers_owed: Rc<Cell<usize>>,
    /// The slowest that a client may send a message, and take its answers.
    pub min_send_rate: MinRate,
    pub min_receive_rate: MinRate,
    /// Bytes that a connection may read or write before the others' turn.
    pub quantum_bytes: usize,
    pub loop_ticks: LoopTicks,
    pub guards: Guards,
}

/// A place among the open requests of a connection, and one of the answers that the router owes; kept until
/// the answer is written.
struct Owed {
    _place: SemaphoreGuardArc,
    owing: Rc<Cell<usize>>,
    peer: Rc<Client>,
}

impl Drop for Owed {
    fn drop(&mut self) {
        self.owing.set(self.owing.get() - 1);
        self.peer.open.set(self.peer.open.get() - 1);
        self.peer.settled();
    }
}

/// An answer on its way to a client. Boxed, as each connection has a place for every answer that it may be owed at once,
/// and most are owed none.
struct Outgoing {
    number: u32,
    answer: Answer,
    _owed: Owed,
}

/// The jobs of a connection that await an answer, by their numbers; emptied by the answers.
type Asked = Rc<RefCell<BTreeMap<u32, Rc<Statement>>>>;

/// A job's place among them.
struct Awaited {
    asked: Asked,
    number: u32,
}

impl Drop for Awaited {
    fn drop(&mut self) {
        self.asked.borrow_mut().remove(&self.number);
    }
}

/// Serves one connection, which came after such a moment, until either side ends it or its place is needed, then withdraws its
/// jobs.
pub async fn serve(
    link: Rc<Socket>, client: u64, registration: Registration, came: Moment, context: FrontendContext,
) {
    let gone = Rc::new(Cell::new(false));
    let leave = Leave { client, gone: gone.clone(), module: context.events.clone(), tasks: context.tasks };
    let (outbox, answers) = async_channel::bounded(OPEN + ASIDE);
    let (places, aside) = (Arc::new(Semaphore::new(OPEN)), Arc::new(Semaphore::new(ASIDE)));
    let (peer, clock, guards) = (registration.peer.clone(), context.clock, context.guards.clone());
    let address =
        link.stream.get_ref().peer_addr().map_or(IpAddr::V4(Ipv4Addr::UNSPECIFIED), |peer| peer.ip());
    let holder = Holder { connection: client, address };
    let (takes, turn) = (context.min_receive_rate, DeficitCounter::new(context.quantum_bytes));
    let (own, asked) = (peer.clone(), Asked::default());
    let reader = Reader {
        client,
        holder,
        places,
        aside,
        outbox,
        peer: own,
        last: Cell::new(0),
        arrivals: ArrivalTimes::new(came, clock, context.loop_ticks.clone()),
        credit: Cell::new((BURST, clock.now())),
        asked,
        gone,
        context,
    };
    // What was answered before the reading ended is still written, but whoever ended it waits for nothing more.
    let read = async {
        let end = reader.read(&link).await.err().unwrap_or(End::Left);
        let event = if matches!(end, End::TooSlow(_)) { "client_too_slow" } else { "client_ended" };
        log::debug!(event, client, why:? = end; "client {client}: {end}");
        if end.leaves_answers_owed() {
            reader.answered(&link).await;
        }
        drop(leave);
        reader.outbox.close();
        future::pending().await
    };
    let written = async {
        match write(&link, answers, &peer, clock, takes, turn).await {
            Ok(()) => {}
            Err(WriteError::TooSlow(figures)) => {
                log::debug!(event = "client_too_slow", client; "client {client}: took {figures}");
            }
            Err(WriteError::Broken(error)) => {
                log::debug!(event = "client_ended", client; "client {client}: {error}");
            }
        }
    };
    let sent_off = async {
        registration.over(clock).await;
        if peer.open.get() > 0 {
            guards.record_violation(Step::Close, Refusal::AnswerOwed, &format!("of client {client}"));
        }
    };
    read.or(written).or(sent_off).await;
    // With nothing unread and no answer under way, a plain close says the same at once, for whoever needs the place.
    let rested = clock.now().since(peer.quiet_since.get()) >= PARTING;
    if !rested || matches!(link.peek(), PendingInput::Bytes) {
        link.close_gracefully(PARTING).await;
    }
}

/// Why a client is read no further.
#[derive(Debug)]
enum End {
    /// It closed its side.
    Left,
    /// Its connection broke.
    Broken(io::Error),
    /// What it sent is no message.
    Malformed,
    /// Its requests can't be told apart.
    NumberNotNew,
    /// Its message is longer than any may be.
    TooLong,
    /// Its message comes too slowly, in these figures where there are some.
    TooSlow(String),
    /// No room came free for its message in time.
    NoRoom,
    /// Nothing passed for long.
    Idle,
}

impl End {
    /// Whether the client may still read answers to what it asked before, and tell them apart. Threat: a request that was taken
    /// and is not answered, as what came behind it made no sense, or never came whole. It may hold a descriptor until
    /// these are answered.
    fn leaves_answers_owed(&self) -> bool {
        matches!(self, Self::Malformed | Self::TooLong | Self::TooSlow(_) | Self::NoRoom)
    }
}

impl From<Malformed> for End {
    fn from(_: Malformed) -> Self {
        Self::Malformed
    }
}

impl fmt::Display for End {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Left => out.write_str("left"),
            Self::Broken(error) => write!(out, "broke: {error}"),
            Self::Malformed => out.write_str("sent what is no message"),
            Self::NumberNotNew => out.write_str("used a number that is not new"),
            Self::TooLong => out.write_str("sent a message too long"),
            Self::TooSlow(figures) => write!(out, "sent a message too slowly: {figures}"),
            Self::NoRoom => out.write_str("sent a message for which there is no room"),
            Self::Idle => out.write_str("was idle"),
        }
    }
}

/// Tells the module when a connection ends, however it does.
struct Leave {
    client: u64,
    gone: Rc<Cell<bool>>,
    module: Sender<Event>,
    tasks: Tasks,
}

impl Drop for Leave {
    fn drop(&mut self) {
        self.gone.set(true);
        let (module, client) = (self.module.clone(), self.client);
        self.tasks.spawn(async move {
            let _ = module.send(Event::ClientGone { client }).await;
        });
    }
}

async fn write(
    link: &Socket, answers: Receiver<Box<Outgoing>>, peer: &Client, clock: Clock, takes: MinRate,
    mut turn: DeficitCounter,
) -> Result<(), WriteError> {
    let (mut head, mut tail) = (Vec::new(), Vec::new());
    while let Ok(outgoing) = answers.recv().await {
        let Outgoing { number, answer, _owed } = *outgoing;
        head.clear();
        tail.clear();
        codec::write(number, &answer, &mut head, &mut tail).map_err(WriteError::Broken)?;
        let pages = if let Answer::Served(rows) = &answer { rows.pages.as_slice() } else { &[] };
        let mut parts = Vec::with_capacity(pages.len() + 2);
        parts.push(head.as_slice());
        parts.extend(pages.iter().map(Vec::as_slice));
        parts.push(&tail);
        write_at_min_rate(&link.stream, &parts, clock, takes).await?;
        peer.quiet_since.set(clock.now());
        rest(&mut turn, parts.iter().map(|part| part.len()).sum()).await;
    }
    Ok(())
}

/// Lets the others have theirs once a turn is used up.
async fn rest(turn: &mut DeficitCounter, bytes: usize) {
    if turn.spend(bytes) {
        loop {
            future::yield_now().await;
            if turn.replenish() {
                break;
            }
        }
    }
}

struct Reader {
    client: u64,
    holder: Holder,
    places: Arc<Semaphore>,
    aside: Arc<Semaphore>,
    outbox: Sender<Box<Outgoing>>,
    peer: Rc<Client>,
    /// The number of the last request: they rise, so that no two answers can be mistaken.
    last: Cell<u32>,
    arrivals: ArrivalTimes,
    /// How many answers of the door are left at once, and since when that holds.
    credit: Cell<(f64, Moment)>,
    asked: Asked,
    gone: Rc<Cell<bool>>,
    context: FrontendContext,
}

impl Reader {
    /// Waits until all that was asked for is answered, or the client is gone.
    async fn answered(&self, link: &Socket) {
        while self.peer.open.get() > 0 && !link.is_closed_by_peer() {
            sleep(GLANCE).await;
        }
    }

    async fn read(&self, link: &Socket) -> Result<(), End> {
        let (mut buffer, mut filled) = (vec![0; READ_BYTES], 0);
        let mut room: Option<MemoryPermit> = None;
        let (mut scan, mut scanned) = (MessageScanner::default(), 0);
        // Until when the message under way is to be whole; the first is under way from the start.
        let mut due = Some(self.context.clock.now() + MESSAGE_WITHIN);
        let (mut watch, mut turn) = (None, DeficitCounter::new(self.context.quantum_bytes));
        loop {
            let (mut start, mut turned_away) = (0, 0);
            while let Some(length) = codec::message_length(&buffer[start..filled], &mut scan, &mut scanned)? {
                turned_away += self.take(&buffer[start..start + length]).await?;
                start += length;
                (scan, scanned, due, watch) = (MessageScanner::default(), 0, None, None);
            }
            if scan.min_remaining().saturating_add(scanned as u64) > MESSAGE_BYTES as u64 {
                self.refuse(&buffer[start..filled]).await?;
                return Err(End::TooLong);
            }
            buffer.copy_within(start..filled, 0);
            filled -= start;
            if filled == buffer.len() {
                // Threat: many clients with long messages. Those that find no room are closed when theirs is
                // due.
                let more = with_timeout(
                    MESSAGE_WITHIN,
                    self.context.message_memory.acquire(self.holder, filled * 2),
                )
                .await;
                room = Some(more.ok_or(End::NoRoom)?);
                buffer.resize(filled * 2, 0);
            } else if filled == 0 && room.take().is_some() {
                buffer = vec![0; READ_BYTES];
            }
            if filled > 0 && due.is_none() {
                due = Some(self.context.clock.now() + MESSAGE_WITHIN);
                watch = Some(RateMonitor::start(self.context.clock.now(), self.context.min_send_rate));
            }
            self.peer.midway.set(filled > 0);
            self.peer.settled();
            if !self.pace(link, turned_away).await {
                return Ok(());
            }
            let until = due.map(|due| watch.map_or(due, |watch: RateMonitor| due.min(watch.deadline())));
            let count = match self.read_some(link, &mut buffer[filled..], until).await? {
                Some(Ok(0)) => return Ok(()),
                Some(count) => count.map_err(End::Broken)?,
                None => return Err(self.too_slow(watch)),
            };
            self.peer.midway.set(true);
            filled += count;
            if let Some(watch) = &mut watch {
                watch.record(self.context.clock.now(), count);
            }
            rest(&mut turn, count).await;
            self.peer.quiet_since.set(self.context.clock.now());
        }
    }

    /// Waits as a client is to that has had so many more answers of the door; whether it is still there.
    async fn pace(&self, link: &Socket, turned_away: usize) -> bool {
        let (left, since) = self.credit.get();
        let now = self.context.clock.now();
        let earned = now.since(since).secs() / PACE.secs();
        let left = (left + earned).min(BURST) - turned_away as f64;
        self.credit.set((left, now));
        let until = now + PACE.mul_f64(-left);
        while turned_away > 0 && self.context.clock.now() < until {
            sleep(until.since(self.context.clock.now()).min(GLANCE)).await;
            if link.is_closed_by_peer() {
                return false;
            }
        }
        true
    }

    /// The fault of a client that was at a message, with the figures of its slowness.
    fn too_slow(&self, watch: Option<RateMonitor>) -> End {
        let (bytes, rate) = watch.map_or((0, 0.0), |watch| watch.stats(self.context.clock.now()));
        End::TooSlow(format!("{bytes} bytes at {rate:.0} a second"))
    }

    /// Threat: clients that vanish, idle, or stall in a message would keep their descriptors. None that
    /// awaits an answer is closed between messages.
    /// Nothing where it is too slow at a message.
    async fn read_some(
        &self, link: &Socket, buffer: &mut [u8], due: Option<Moment>,
    ) -> Result<Option<io::Result<usize>>, End> {
        let clock = self.context.clock;
        loop {
            let until = due.unwrap_or_else(|| self.peer.quiet_since.get() + IDLE);
            let left = until.since(clock.now());
            // What stands there unread, as reads are interrupted, came in time.
            let has_come = matches!(link.peek(), PendingInput::Bytes);
            if left == Span::ZERO && self.peer.midway.get() && !has_come {
                return Ok(None);
            }
            if left == Span::ZERO && self.peer.may_go(clock.now()) {
                return Err(End::Idle);
            }
            let left = if left == Span::ZERO { IDLE } else { left };
            let taken = self.arrivals.receive(async || read_once(&link.stream, buffer).await);
            if let Some(count) = with_timeout(left, taken).await {
                return Ok(Some(count));
            }
        }
    }

    /// Answers a request that is too long, where its start tells the number.
    async fn refuse(&self, mut message: &[u8]) -> codec::Result<()> {
        let message = &mut message;
        if (codec::read_array_len(message)?, codec::read_u32(message)?) == (4, codec::REQUEST) {
            self.aside(codec::read_u32(message)?).await.send(Answer::Failed(MALFORMED));
        }
        Ok(())
    }

    /// Takes in one whole message, and returns how many it answered by itself.
    async fn take(&self, mut message: &[u8]) -> Result<usize, End> {
        let (arrived, message) = (self.arrivals.request_start(), &mut message);
        let parts = codec::read_array_len(message)?;
        match (codec::read_u32(message)?, parts) {
            (codec::REQUEST, 4) => {
                let number = codec::read_u32(message)?;
                let method = codec::read_str(message);
                if let Ok("ping") = method {
                    let _ =
                        self.context.events.send(Event::Ping { responder: self.aside(number).await }).await;
                    return Ok(1);
                }
                if number <= self.last.replace(number) {
                    return Err(End::NumberNotNew);
                }
                let turned_away = match method {
                    Ok(method) => self.request(arrived, number, method, message).await.err(),
                    Err(Malformed) => Some(Answer::Failed(MALFORMED)),
                };
                let Some(answer) = turned_away else { return Ok(0) };
                self.aside(number).await.send(answer);
                Ok(1)
            }
            (codec::NOTIFICATION, 3) => {
                if codec::read_str(message)? == "abort" && codec::read_array_len(message)? > 0 {
                    let number = codec::read_u32(message)?;
                    if let Some(statement) = self.asked.borrow().get(&number) {
                        statement.client.withdraw();
                    }
                    let _ = self.context.events.send(Event::Withdrawn { client: self.client, number }).await;
                }
                Ok(0)
            }
            _ => Err(End::Malformed),
        }
    }

    /// The right to an answer that the door gives at once. Waits where the client takes none: it is held
    /// back.
    async fn aside(&self, number: u32) -> Responder {
        let place = self.aside.acquire_arc().await;
        self.reply(number, place, None)
    }

    fn reply(&self, number: u32, place: SemaphoreGuardArc, awaited: Option<Awaited>) -> Responder {
        let (peer, owing) = (self.peer.clone(), self.context.answers_owed.clone());
        owing.set(owing.get() + 1);
        peer.open.set(peer.open.get() + 1);
        let (owed, outbox) = (Owed { _place: place, owing, peer }, self.outbox.clone());
        // The outbox has a place for each reply; where the connection is gone, nobody is answered.
        Responder::new(number, move |answer| {
            drop(awaited);
            let _ = outbox.try_send(Box::new(Outgoing { number, answer, _owed: owed }));
        })
    }

    /// A request with a number is answered in any case, if only with an error or a refusal.
    async fn request(
        &self, arrived: Moment, number: u32, method: &str, message: &mut &[u8],
    ) -> Result<(), Answer> {
        let malformed = |_: Malformed| Answer::Failed(MALFORMED);
        let asked = self.context.request_limits.request(method, message).map_err(malformed)?;
        let full = || Answer::Overloaded(self.context.come_back);
        let place = self.places.try_acquire_arc().ok_or_else(full)?;
        let held = self
            .context
            .job_memory
            .try_acquire(self.holder, asked.text.len() + JOB_BYTES)
            .ok_or_else(full)?;
        // The connection itself belongs to its actor alone.
        let (link, gone) = (self.peer.link.clone(), self.gone.clone());
        let connected = move || !gone.get() && link.upgrade().is_some_and(|link| !link.is_closed_by_peer());
        let statement = Rc::new(Statement {
            holder: self.holder,
            id: asked.id.into(),
            class: method.into(),
            order_key: asked.key.map(str::to_owned),
            idempotency_key: asked.once.map(str::to_owned),
            text: asked.text.into(),
            memory: held,
            client: WaitingClient::new(connected),
        });
        self.asked.borrow_mut().insert(number, statement.clone());
        let awaited = Awaited { asked: self.asked.clone(), number };
        let arrival = Event::JobArrived {
            client: self.client,
            statement,
            kind: asked.kind,
            group: asked.group,
            tenant: asked.tenant.map(str::to_owned),
            order_key: asked.key.map(str::to_owned),
            stated_work: asked.told,
            memory: asked.memory,
            deadline: arrived + asked.wait,
            responder: self.reply(number, place, Some(awaited)),
        };
        let _ = self.context.events.send(arrival).await;
        Ok(())
    }
}
