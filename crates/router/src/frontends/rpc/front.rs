//! The actor of a client connection: it reads requests and writes answers in the order in which these become
//! ready.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::{IpAddr, Ipv4Addr};
use std::rc::Rc;
use std::sync::Arc;

use async_channel::{Receiver, Sender};
use async_lock::{Semaphore, SemaphoreGuardArc};
use futures_lite::{FutureExt, future};
use woadhook::{Moment, Span};
use woadhook_flow_control::min_rate::MinRate;
use woadhook_flow_control::round_robin::DeficitCounter;

use crate::arrivals::{ArrivalTimes, LoopTicks};
use crate::clock::{Clock, sleep};
use crate::exchange::{Answer, ClientPresence, Event, MALFORMED, Responder, Statement, WaitingClient};
use crate::frontends::rpc::codec::{self, Malformed};
use crate::frontends::rpc::connections::{ClientConnection, Registration};
use crate::frontends::rpc::message_buffer::{MessageBuffer, Received};
use crate::frontends::rpc::message_timer::MessageTimer;
use crate::frontends::rpc::read_end::ReadEnd;
use crate::frontends::rpc::refusal_pace::RefusalPace;
use crate::frontends::rpc::request::RequestLimits;
use crate::guards::{Guards, Refusal, Step};
use crate::memory::{Holder, MemoryBudget};
use crate::sockets::{PendingInput, Socket, WriteError, read_once, with_timeout, write_at_min_rate};
use crate::tasks::Tasks;

/// Maximum number of open requests of a connection: 32, and 8 more whose cancellation is on its way.
const MAX_OPEN_REQUESTS: usize = 32 + 8;
/// Maximum number of answers that the frontend gives by itself (pongs and refusals) and that the client of a
/// connection has not received yet; beyond it, nothing more is read from the client.
const MAX_IMMEDIATE_ANSWERS: usize = 32;
/// Time without traffic after which an idle connection is closed. Clients close theirs after 4 s.
const IDLE_TIMEOUT: Span = Span::from_micros(5_000_000);
/// How long a withdrawal or the close may be unprocessed before the client's jobs are no longer dispatched.
/// The protocol allows a dispatch up to 100 ms after its client has left.
const MAX_UNPROCESSED_TIME: Span = Span::from_micros(80_000);
/// Interval at which a client that is not being read is checked for a close.
const CLOSE_CHECK_INTERVAL: Span = Span::from_micros(50_000);
/// What is discarded at a time of a client that is not understood any more, and the pause after it.
const DISCARD_CHUNK_BYTES: usize = 16 * 1024;
const DISCARD_PAUSE: Span = Span::from_micros(2_000);
/// How long a connection that the router closes waits for the client's close. Data written longer ago than
/// this is assumed to have arrived, which can't be known for certain.
const CLOSE_TIMEOUT: Span = Span::from_micros(100_000);
/// Memory charged for a job in addition to its statement, for its entries in all tables and its tasks.
const JOB_OVERHEAD_BYTES: usize = 8 * 1024;

/// What all client connections share.
#[derive(Clone)]
pub struct FrontendContext {
    pub clock: Clock,
    pub tasks: Tasks,
    pub events: Sender<Event>,
    pub request_limits: Rc<RequestLimits>,
    /// Memory for statements with their jobs, and for messages that are being received.
    pub job_memory: MemoryBudget,
    pub message_memory: MemoryBudget,
    /// The retry delay sent to a client whose request is refused here.
    pub come_back: Option<Span>,
    /// Number of answers owed on all connections: requests that were received and are not answered yet.
    pub answers_owed: Rc<Cell<usize>>,
    /// Minimum rates at which a client must send a message, and receive its answers.
    pub min_send_rate: MinRate,
    pub min_receive_rate: MinRate,
    /// Bytes that a connection may read or write before it yields to other tasks.
    pub quantum_bytes: usize,
    pub loop_ticks: LoopTicks,
    pub guards: Guards,
}

/// One of the connection's open requests, and one of the answers that the router owes; held until the answer
/// is written.
struct OwedAnswer {
    _permit: SemaphoreGuardArc,
    answers_owed: Rc<Cell<usize>>,
    connection: Rc<ClientConnection>,
}

impl Drop for OwedAnswer {
    fn drop(&mut self) {
        self.answers_owed.set(self.answers_owed.get() - 1);
        self.connection.open_requests.set(self.connection.open_requests.get() - 1);
        self.connection.recheck_close();
    }
}

/// An answer on its way to a client. It is boxed, because each connection's outbox has a slot for every
/// answer that may be owed at once, and most connections await none.
struct Outgoing {
    number: u32,
    answer: Answer,
    _owed: OwedAnswer,
}

/// The jobs of a connection that await an answer, by request number; an answer removes its entry.
type OpenJobs = Rc<RefCell<BTreeMap<u32, Rc<Statement>>>>;

/// A job's entry in `OpenJobs`, which is removed on drop.
struct OpenJob {
    open_jobs: OpenJobs,
    number: u32,
}

impl Drop for OpenJob {
    fn drop(&mut self) {
        self.open_jobs.borrow_mut().remove(&self.number);
    }
}

/// Serves one connection, which arrived at `arrived` or later, until either side closes it or its descriptor
/// is needed; then withdraws its jobs.
pub async fn serve(
    socket: Rc<Socket>, client: u64, registration: Registration, arrived: Moment, context: FrontendContext,
) {
    let is_gone = Rc::new(Cell::new(false));
    let gone_notifier = ClientGoneNotifier {
        client,
        is_gone: is_gone.clone(),
        events: context.events.clone(),
        tasks: context.tasks,
    };
    let (outbox, answers) = async_channel::bounded(MAX_OPEN_REQUESTS + MAX_IMMEDIATE_ANSWERS);
    let (request_permits, immediate_permits) =
        (Arc::new(Semaphore::new(MAX_OPEN_REQUESTS)), Arc::new(Semaphore::new(MAX_IMMEDIATE_ANSWERS)));
    let (connection, clock, guards) =
        (registration.connection.clone(), context.clock, context.guards.clone());
    let address =
        socket.stream.get_ref().peer_addr().map_or(IpAddr::V4(Ipv4Addr::UNSPECIFIED), |address| address.ip());
    let holder = Holder { connection: client, address };
    let (min_receive_rate, turn) = (context.min_receive_rate, DeficitCounter::new(context.quantum_bytes));
    let (reader_connection, open_jobs) = (connection.clone(), OpenJobs::default());
    let reader = Reader {
        client,
        holder,
        request_permits,
        immediate_permits,
        outbox,
        connection: reader_connection,
        last_number: Cell::new(0),
        arrivals: Rc::new(ArrivalTimes::new(arrived, clock, context.loop_ticks.clone())),
        refusal_pace: RefusalPace::new(clock.now()),
        open_jobs,
        is_gone,
        context,
    };
    // Answers in the outbox are still written after reading has ended; further ones are awaited only where
    // the end leaves answers owed.
    let read = async {
        let end = reader.read(&socket).await.err().unwrap_or(ReadEnd::Left);
        let event = if matches!(end, ReadEnd::TooSlow(_)) { "client_too_slow" } else { "client_ended" };
        log::debug!(event, client, why:? = end; "client {client}: {end}");
        if end.leaves_answers_owed() {
            reader.wait_until_answered(&socket).await;
        }
        drop(gone_notifier);
        reader.outbox.close();
        future::pending().await
    };
    let written = async {
        match write_answers(&socket, answers, &connection, clock, min_receive_rate, turn).await {
            Ok(()) => {}
            Err(WriteError::TooSlow(figures)) => {
                log::debug!(event = "client_too_slow", client; "client {client}: received too slowly: {figures}");
            }
            Err(WriteError::Broken(error)) => {
                log::debug!(event = "client_ended", client; "client {client}: {error}");
            }
        }
    };
    let closed = async {
        registration.wait_for_close(clock).await;
        if connection.open_requests.get() > 0 {
            guards.record_violation(Step::Close, Refusal::AnswerOwed, &format!("of client {client}"));
        }
    };
    read.or(written).or(closed).await;
    // With nothing unread and no answer under way, a plain close has the same effect at once, which frees the
    // descriptor sooner.
    let is_quiet = clock.now().since(connection.last_activity.get()) >= CLOSE_TIMEOUT;
    if !is_quiet || matches!(socket.peek(), PendingInput::Bytes) {
        socket.close_gracefully(CLOSE_TIMEOUT).await;
    }
}

/// Notifies the dispatcher when a connection ends, however it ends.
struct ClientGoneNotifier {
    client: u64,
    is_gone: Rc<Cell<bool>>,
    events: Sender<Event>,
    tasks: Tasks,
}

impl Drop for ClientGoneNotifier {
    fn drop(&mut self) {
        self.is_gone.set(true);
        let (events, client) = (self.events.clone(), self.client);
        self.tasks.spawn(async move {
            let _ = events.send(Event::ClientGone { client }).await;
        });
    }
}

async fn write_answers(
    socket: &Socket, answers: Receiver<Box<Outgoing>>, connection: &ClientConnection, clock: Clock,
    min_receive_rate: MinRate, mut turn: DeficitCounter,
) -> Result<(), WriteError> {
    let (mut head, mut tail) = (Vec::new(), Vec::new());
    while let Ok(outgoing) = answers.recv().await {
        let Outgoing { number, answer, _owed } = *outgoing;
        head.clear();
        tail.clear();
        codec::write_answer(number, &answer, &mut head, &mut tail).map_err(WriteError::Broken)?;
        let pages = if let Answer::Served(rows) = &answer { rows.pages.as_slice() } else { &[] };
        let mut parts = Vec::with_capacity(pages.len() + 2);
        parts.push(head.as_slice());
        parts.extend(pages.iter().map(Vec::as_slice));
        parts.push(&tail);
        write_at_min_rate(&socket.stream, &parts, clock, min_receive_rate).await?;
        connection.last_activity.set(clock.now());
        yield_after_turn(&mut turn, parts.iter().map(|part| part.len()).sum()).await;
    }
    Ok(())
}

/// Yields to the other tasks once the byte quantum of a turn is used up.
async fn yield_after_turn(turn: &mut DeficitCounter, bytes: usize) {
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
    request_permits: Arc<Semaphore>,
    immediate_permits: Arc<Semaphore>,
    outbox: Sender<Box<Outgoing>>,
    connection: Rc<ClientConnection>,
    /// Number of the last request. Numbers must increase, so that no two answers can be confused.
    last_number: Cell<u32>,
    arrivals: Rc<ArrivalTimes>,
    refusal_pace: RefusalPace,
    open_jobs: OpenJobs,
    is_gone: Rc<Cell<bool>>,
    context: FrontendContext,
}

impl Reader {
    /// Waits until all requests are answered, or the client has closed its side. Threat: the close stands
    /// behind bytes that nobody reads, and the client's jobs are dispatched. So what the client sends is
    /// discarded, at a limited rate, as it may be endless.
    async fn wait_until_answered(&self, socket: &Socket) {
        let mut discarded = vec![0; DISCARD_CHUNK_BYTES];
        while self.connection.open_requests.get() > 0 {
            let read = self.arrivals.receive(async || read_once(&socket.stream, &mut discarded).await);
            match with_timeout(CLOSE_CHECK_INTERVAL, read).await {
                Some(Ok(1..)) => sleep(DISCARD_PAUSE).await,
                Some(_) => return,
                None => {}
            }
        }
    }

    async fn read(&self, socket: &Socket) -> Result<(), ReadEnd> {
        let (mut input, mut turn) =
            (MessageBuffer::default(), DeficitCounter::new(self.context.quantum_bytes));
        // The first message counts as begun from the start.
        let mut timer = Some(MessageTimer::first(self.context.clock.now()));
        loop {
            let mut refused = 0;
            while let Some(received) = input.next_message()? {
                refused += match received {
                    Received::Message(message) => self.process(message).await?,
                    Received::Skipped(number) => self.refuse_skipped(number).await?,
                };
                timer = None;
            }
            if input.is_too_long() {
                self.refuse_too_long(input.request_number()).await;
                return Err(ReadEnd::TooLong);
            }
            input.discard_processed();
            if input.is_full() {
                self.make_room(&mut input);
            }
            let has_begun = input.has_begun();
            if has_begun && timer.is_none() {
                timer = Some(MessageTimer::start(self.context.clock.now(), self.context.min_send_rate));
            }
            self.connection.has_unprocessed_bytes.set(has_begun);
            self.connection.recheck_close();
            if !self.delay_read(socket, refused).await {
                return Ok(());
            }
            let count = match self.read_some(socket, input.free(), timer.as_ref()).await? {
                Some(Ok(0)) => return Ok(()),
                Some(count) => count.map_err(ReadEnd::Broken)?,
                None => return Err(self.too_slow(timer.as_ref())),
            };
            self.connection.has_unprocessed_bytes.set(true);
            input.record_read(count);
            if let Some(timer) = &mut timer {
                timer.record(self.context.clock.now(), count);
            }
            yield_after_turn(&mut turn, count).await;
            self.connection.last_activity.set(self.context.clock.now());
        }
    }

    /// Makes room for more of a long message. Threat: many clients send long messages at once. Without memory
    /// a message is skipped and refused, as one that is left unread would fill the system's buffers, and what
    /// is behind it, such as a withdrawal, would not be read. When memory is short, this defence costs a
    /// client its long request, which it may send again.
    fn make_room(&self, input: &mut MessageBuffer) {
        match self.context.message_memory.try_acquire(self.holder, input.grown_length()) {
            Some(memory) => input.grow(memory),
            None => input.skip(),
        }
    }

    /// Refuses a request that was skipped, and returns how many answers were given at once.
    async fn refuse_skipped(&self, number: Option<u32>) -> Result<usize, ReadEnd> {
        let Some(number) = number else { return Ok(0) };
        if number <= self.last_number.replace(number) {
            return Err(ReadEnd::NumberNotNew);
        }
        self.immediate_responder(number).await.send(Answer::Overloaded(self.context.come_back));
        Ok(1)
    }

    /// Delays reading after `refused` more immediate answers if these exceed the credit, and returns whether
    /// the client is still connected.
    async fn delay_read(&self, socket: &Socket, refused: usize) -> bool {
        let until = self.refusal_pace.record(self.context.clock.now(), refused);
        let is_held_back = &self.connection.is_held_back;
        while refused > 0 && self.context.clock.now() < until {
            is_held_back.set(true);
            sleep(until.since(self.context.clock.now()).min(CLOSE_CHECK_INTERVAL)).await;
            if socket.is_closed_by_peer() {
                return false;
            }
        }
        is_held_back.set(false);
        true
    }

    /// Returns the reason for closing a client that sent a message too slowly, with the measured rate.
    fn too_slow(&self, timer: Option<&MessageTimer>) -> ReadEnd {
        let (bytes, rate) = timer.map_or((0, 0.0), |timer| timer.stats(self.context.clock.now()));
        ReadEnd::TooSlow(format!("{bytes} bytes at {rate:.0} a second"))
    }

    /// Reads the next bytes. Returns `None` if the rest of a message did not arrive in time. Threat: clients
    /// that vanish, stay idle or stall within a message would hold their descriptors. A client that awaits an
    /// answer is not closed between messages, and one that writes a message slowly is read on for as long as
    /// it awaits an answer: whatever it completes meanwhile is a request that has arrived.
    async fn read_some(
        &self, socket: &Socket, buffer: &mut [u8], timer: Option<&MessageTimer>,
    ) -> Result<Option<io::Result<usize>>, ReadEnd> {
        let clock = self.context.clock;
        loop {
            let idle_deadline = || self.connection.last_activity.get() + IDLE_TIMEOUT;
            let mut left = timer.map_or_else(idle_deadline, MessageTimer::deadline).since(clock.now());
            if left == Span::ZERO && self.connection.has_unprocessed_bytes.get() {
                // Bytes that are still unread because reads were interrupted arrived in time.
                let has_bytes = matches!(socket.peek(), PendingInput::Bytes);
                if !has_bytes && self.connection.open_requests.get() == 0 {
                    return Ok(None);
                }
                left = CLOSE_CHECK_INTERVAL;
            } else if left == Span::ZERO {
                if self.connection.can_close(clock.now()) {
                    return Err(ReadEnd::Idle);
                }
                left = IDLE_TIMEOUT;
            }
            let taken = self.arrivals.receive(async || read_once(&socket.stream, buffer).await);
            if let Some(count) = with_timeout(left, taken).await {
                return Ok(Some(count));
            }
        }
    }

    /// Answers a request that is too long, if its start contains the request's number.
    async fn refuse_too_long(&self, number: Option<u32>) {
        if let Some(number) = number {
            self.immediate_responder(number).await.send(Answer::Failed(MALFORMED));
        }
    }

    /// Processes one complete message, and returns how many answers were given at once. A notification
    /// without effect counts as one: it costs the router as much.
    async fn process(&self, mut message: &[u8]) -> Result<usize, ReadEnd> {
        let (arrived, message) = (self.arrivals.request_start(), &mut message);
        let parts = codec::read_array_len(message)?;
        match (codec::read_u32(message)?, parts) {
            (codec::REQUEST, 4) => {
                let number = codec::read_u32(message)?;
                let method = codec::read_str(message);
                if let Ok("ping") = method {
                    let _ = self
                        .context
                        .events
                        .send(Event::Ping { responder: self.immediate_responder(number).await })
                        .await;
                    return Ok(1);
                }
                if number <= self.last_number.replace(number) {
                    return Err(ReadEnd::NumberNotNew);
                }
                let refused = match method {
                    Ok(method) => self.accept_request(arrived, number, method, message).await.err(),
                    Err(Malformed) => Some(Answer::Failed(MALFORMED)),
                };
                let Some(answer) = refused else { return Ok(0) };
                self.immediate_responder(number).await.send(answer);
                Ok(1)
            }
            (codec::NOTIFICATION, 3) => {
                let is_abort = codec::read_str(message)? == "abort" && codec::read_array_len(message)? > 0;
                let has_effect = is_abort && self.withdraw(codec::read_u32(message)?).await;
                Ok(usize::from(!has_effect))
            }
            _ => Err(ReadEnd::Malformed),
        }
    }

    /// Withdraws the job with this request number, and returns whether it awaits an answer.
    async fn withdraw(&self, number: u32) -> bool {
        let Some(statement) = self.open_jobs.borrow().get(&number).cloned() else { return false };
        statement.client.withdraw();
        let _ = self.context.events.send(Event::Withdrawn { client: self.client, number }).await;
        true
    }

    /// Returns the responder for an answer that is given at once. It waits while the client receives no
    /// answers, which slows the client down.
    async fn immediate_responder(&self, number: u32) -> Responder {
        let permit = self.immediate_permits.acquire_arc().await;
        self.responder(number, permit, None)
    }

    fn responder(&self, number: u32, permit: SemaphoreGuardArc, open_job: Option<OpenJob>) -> Responder {
        let (connection, answers_owed) = (self.connection.clone(), self.context.answers_owed.clone());
        answers_owed.set(answers_owed.get() + 1);
        connection.open_requests.set(connection.open_requests.get() + 1);
        let (owed, outbox) = (OwedAnswer { _permit: permit, answers_owed, connection }, self.outbox.clone());
        // The outbox has a slot for each answer. If the connection is gone, the answer is dropped.
        Responder::new(number, move |answer| {
            drop(open_job);
            let _ = outbox.try_send(Box::new(Outgoing { number, answer, _owed: owed }));
        })
    }

    /// Returns the state of this connection for the jobs of its client. Threat: the router does not read the
    /// socket, as many refusals hold the reader back or a message has no memory, or it reads more slowly than
    /// the client sends. A withdrawal or the close that is behind unread bytes is not noticed then, and may
    /// not even have reached this machine. The defence costs such a client its jobs that are not dispatched
    /// yet: they are rejected.
    fn waiting_client(&self) -> WaitingClient {
        // The connection itself belongs to its actor alone.
        let (socket, is_gone) = (self.connection.socket.clone(), self.is_gone.clone());
        let arrivals = self.arrivals.clone();
        WaitingClient::new(move || {
            let open_socket = socket.upgrade().filter(|socket| !is_gone.get() && !socket.is_closed_by_peer());
            let Some(socket) = open_socket else { return ClientPresence::Gone };
            if arrivals.unprocessed_for(|| socket.is_quiet()) > MAX_UNPROCESSED_TIME {
                return ClientPresence::Unheard;
            }
            ClientPresence::Present
        })
    }

    /// Accepts a request, or returns the answer that refuses it. Every request with a number is answered,
    /// even if only with an error or a refusal.
    async fn accept_request(
        &self, arrived: Moment, number: u32, method: &str, message: &mut &[u8],
    ) -> Result<(), Answer> {
        let malformed = |_: Malformed| Answer::Failed(MALFORMED);
        let request = self.context.request_limits.request(method, message).map_err(malformed)?;
        let full = || Answer::Overloaded(self.context.come_back);
        let permit = self.request_permits.try_acquire_arc().ok_or_else(full)?;
        let held = self
            .context
            .job_memory
            .try_acquire(self.holder, request.text.len() + JOB_OVERHEAD_BYTES)
            .ok_or_else(full)?;
        let statement = Rc::new(Statement {
            holder: self.holder,
            id: request.id.into(),
            class: method.into(),
            order_key: request.order_key.map(str::to_owned),
            idempotency_key: request.idempotency_key.map(str::to_owned),
            text: request.text.into(),
            memory: held,
            client: self.waiting_client(),
        });
        self.open_jobs.borrow_mut().insert(number, statement.clone());
        let open_job = OpenJob { open_jobs: self.open_jobs.clone(), number };
        let arrival = Event::JobArrived {
            client: self.client,
            statement,
            type_id: request.reservation_type,
            group: request.group,
            tenant: request.tenant.map(str::to_owned),
            order_key: request.order_key.map(str::to_owned),
            stated_work: request.stated_work,
            memory: request.memory_mb,
            deadline: arrived + request.wait,
            responder: self.responder(number, permit, Some(open_job)),
        };
        let _ = self.context.events.send(arrival).await;
        Ok(())
    }
}
