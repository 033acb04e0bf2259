//! A query: the POST, the polls and the pages of the result. `give_up` ends it early, and `doubt` tracks whether
//! it may still run.

use std::cell::Cell;
use std::rc::Rc;

use async_channel::{Receiver, Sender};
use futures_lite::FutureExt;
use woadhook::{Moment, Outcome, Progress, Span};
use woadhook_flow_control::min_rate::MinRate;

use crate::backends::sql::doubt::{Cause, Doubt};
use crate::backends::sql::engine::Engine;
use crate::clock::sleep;
use crate::exchange::{ClientPresence, Dispatch, Event, QueryResult, parse_measurement};
use crate::faults::CallError;
use crate::guards::{Refusal, SendConditions, Step};
use crate::http::request_head;
use crate::pool::PooledConnection;
use crate::sockets::with_timeout;

/// Maximum size of a result, and of each of its pages.
const MAX_RESULT_BYTES: usize = 48_000;
pub const MAX_PAGE_BYTES: usize = 6_000;
const MAX_PAGES: usize = 48;
const COLUMNS: usize = 3;
/// An engine ends a query that was not polled for this long.
const POLL_EXPIRY: Span = Span::from_micros(2_000_000);
/// Interval between the DELETE calls for a query that was given up and whose end is not certain yet.
pub const SETTLE_INTERVAL: Span = Span::from_micros(100_000);
/// Pause between calls that fail at once.
pub const RETRY_PAUSE: Span = Span::from_micros(20_000);
/// Shortest and longest pause between attempts to connect that fail at once. The pause doubles, because
/// thousands of jobs may wait for the same resource.
const MIN_CONNECT_PAUSE: Span = Span::from_micros(5_000);
const MAX_CONNECT_PAUSE: Span = Span::from_micros(40_000);
/// An engine answers a poll without news after 250 ms. If the news of the last answer comes again sooner than
/// this, it may be a second copy of that answer.
const MIN_REPEATED_NEWS_TIME: Span = Span::from_micros(200_000);
/// Interval at which a client that is unheard is checked again, and the number of these checks after which its
/// job is not sent. They are counted because a busy thread may make them late.
const PRESENCE_CHECK_INTERVAL: Span = Span::from_micros(10_000);
const MAX_PRESENCE_CHECKS: usize = 10;
/// A call that gets no answer for this long is repeated on another connection.
pub const ANSWER_TIMEOUT: Span = Span::from_micros(500_000);
/// Number of times that a page is requested with the usual minimum rate. After that many answers that were
/// too slow, the minimum rate is 1 byte per second.
const MAX_SLOW_PAGES: usize = 2;
/// Number of malformed answers in a row after which no valid one is expected.
const MAX_MALFORMED_ANSWERS: usize = 8;

/// The outcome, the actual work and memory where the engine reports them, and the result.
pub type QueryEnd = (Outcome, Option<(Span, f64)>, Option<QueryResult>);

/// A query that was sent, or is about to be.
pub struct Query {
    pub engine: Rc<Engine>,
    pub dispatch: Dispatch,
    pub events: Sender<Event>,
    /// New priorities. The channel closes once the dispatch is cancelled.
    priorities: Receiver<u8>,
    /// When the first byte of the POST was written.
    pub begun_at: Cell<Option<Moment>>,
    /// The latest moment at which the engine may have received a call for the query: when a call was last
    /// written, answered or cut short by a reset.
    pub last_asked: Cell<Moment>,
    /// When a call was last answered.
    last_answer: Cell<Moment>,
    pub doubt: Doubt,
    /// Whether the POST was written completely.
    pub is_posted: Cell<bool>,
    /// Whether the engine has certainly received the POST, as it answered the POST, or a poll as one that
    /// knows the query.
    pub is_received: Cell<bool>,
    /// Whether the polls use the connection that carried the POST.
    pub on_post_connection: Cell<bool>,
    /// Whether the query is to be given up over the connection of its polls, once the call under way there is
    /// answered.
    pub give_up_requested: Cell<bool>,
}

/// The contents of the answer to one call.
#[derive(Default)]
struct CallAnswer {
    status: u16,
    /// Whether the engine declined the query, which states that it never ran the query.
    declined: bool,
    /// The number of pages of the result, and the page that this answer carries.
    pages: usize,
    page: Option<usize>,
    /// The kind and value of a progress notification.
    progress: Option<(String, f64)>,
    actual_cost: Option<(Span, f64)>,
    body: Vec<u8>,
}

impl Query {
    /// A query that was not sent yet. `priorities` closes once the dispatch is cancelled.
    pub fn new(
        engine: Rc<Engine>, dispatch: Dispatch, priorities: Receiver<u8>, events: Sender<Event>,
    ) -> Self {
        let (last_asked, last_answer) = (Cell::new(dispatch.decided_at), Cell::new(dispatch.decided_at));
        Self {
            engine,
            dispatch,
            events,
            priorities,
            begun_at: Cell::new(None),
            last_asked,
            last_answer,
            doubt: Doubt::default(),
            is_posted: Cell::new(false),
            is_received: Cell::new(false),
            on_post_connection: Cell::new(false),
            give_up_requested: Cell::new(false),
        }
    }

    pub fn now(&self) -> Moment {
        self.engine.context.clock.now()
    }

    /// Whether any byte of the POST was written.
    pub fn has_begun(&self) -> bool {
        self.begun_at.get().is_some()
    }

    /// Runs the query to its end.
    pub async fn work(&self) -> QueryEnd {
        match self.fetch().await {
            Ok((actual_cost, result)) => (Outcome::Done, actual_cost, Some(result)),
            Err(outcome) => (outcome, None, None),
        }
    }

    /// Runs the query from the POST to the last page.
    async fn fetch(&self) -> Result<(Option<(Span, f64)>, QueryResult), Outcome> {
        let (mut answer, mut connection) = self.post().await?;
        while answer.status == 202 {
            if self.give_up_requested.get() {
                self.delete_over(&mut connection).await;
                return Err(Outcome::Cancelled);
            }
            if let Some((name, value)) = &answer.progress {
                self.forward_progress(name, *value).await;
            }
            let (last_answer, last_news) = (self.last_answer.get(), answer.progress);
            (answer, connection) = self.request_page(0, Some(connection)).await?;
            // Threat: an answer comes twice, the copy counts as the answer to the next call, and each further
            // call gets the answer to the one before. The next job on the connection would get this one's
            // result. The defence costs a connection for each job at an engine that tells the same again soon.
            let is_repeated = answer.status == 202 && answer.progress == last_news;
            if is_repeated && self.now().since(last_answer) < MIN_REPEATED_NEWS_TIME {
                connection.may_owe_answer = true;
            }
        }
        self.record_end(answer.status);
        if self.give_up_requested.get() {
            return Err(Outcome::Cancelled);
        }
        match answer.status {
            200 => Ok((answer.actual_cost, self.collect_pages(answer, connection).await?)),
            // A declined answer proves that the query never ran only if it came over the connection that
            // carried the POST. Threat: the engine runs the query, but another process now has its port and
            // declines it, and a job that must not run twice would be sent again. This defence makes such a
            // job fail if the engine itself declined it over a later connection. `TurnedAway` is the outcome
            // of a declined query.
            503 | 504 if self.on_post_connection.get() => Err(Outcome::TurnedAway),
            _ => {
                if !self.on_post_connection.get() {
                    self.wait_for_replaced_process().await;
                }
                Err(Outcome::Error)
            }
        }
    }

    /// Records what an answer to a poll shows about the POST: only an engine that has received the POST
    /// answers with news or a result.
    fn record_news(&self, status: u16) {
        if matches!(status, 200 | 202) {
            self.is_received.set(true);
        }
    }

    /// Records that the engine reported the end of the query. Threat: a draining engine closes its port and
    /// continues to run its queries; a process that takes over the port does not know the query and answers
    /// with an error, which does not mean that the query has ended. Only a result can come from no other
    /// process than the engine that produced it. If an engine fails and the connection of the POST is gone,
    /// the defence costs a delay: the key waits for the query's expiry.
    fn record_end(&self, status: u16) {
        if self.on_post_connection.get() {
            self.doubt.record_end();
        } else if status != 200 {
            self.doubt.record_another_process();
        }
    }

    /// Sends the POST and receives its answer. If the answer is missing, malformed or cut off, the query is
    /// polled, as it may be running. A connection that breaks before any byte was written shows no fault of
    /// the engine and is replaced.
    async fn post(&self) -> Result<(CallAnswer, PooledConnection), Outcome> {
        let connect_timeout = self.engine.context.connect_timeout;
        let statement = &self.dispatch.statement;
        let (started, priority) = (self.now(), self.dispatch.priority.to_string());
        let mut pause = MIN_CONNECT_PAUSE;
        loop {
            let in_time = self.now().since(started) < connect_timeout;
            let mut connection = match self.engine.acquire(&self.engine.context.queries).await {
                Ok(connection) => connection,
                Err(CallError::NoDescriptor) => return Err(Outcome::NotIssued),
                Err(CallError::Local(_) | CallError::Unreachable(_) | CallError::Broken(_)) if in_time => {
                    sleep(pause).await;
                    pause = pause.mul_f64(2.0).min(MAX_CONNECT_PAUSE);
                    continue;
                }
                // A failure on this machine is no evidence of a fault at the engine, so the engine is not set
                // aside.
                Err(CallError::Local(_)) => return Err(Outcome::NotIssued),
                Err(_) => return Err(Outcome::NotConnected),
            };
            // The engine list may be out of date. Wait for a fresh one, up to a maximum time.
            if self.engine.context.freshness.is_stale() {
                drop(connection);
                self.engine.context.freshness.wait_until_fresh().await;
                continue;
            }
            // What a client that is unheard has sent may be read soon. Wait for that, up to a maximum time.
            if statement.client.presence() == ClientPresence::Unheard {
                drop(connection);
                self.wait_until_client_heard().await?;
                continue;
            }
            if let Err(why) = self.check_send() {
                self.engine.context.guards.record_refusal(Step::Send, why, &self.dispatch.statement.id);
                return Err(Outcome::NotIssued);
            }
            self.last_answer.set(self.now());
            let remaining_ms = self.dispatch.deadline.since(self.now()).micros().div_ceil(1000).to_string();
            let mut fields = vec![
                ("X-Trace", statement.id.as_str()),
                ("X-Profile", &statement.class),
                ("X-Patience", &remaining_ms),
                ("X-Weight-Class", &priority),
            ];
            fields.extend(statement.order_key.as_deref().map(|key| ("X-Asset", key)));
            fields.extend(statement.idempotency_key.as_deref().map(|key| ("X-Op-Key", key)));
            self.on_post_connection.set(true);
            let post = self.call(&mut connection, "POST", "/v2/q", &fields, statement.text.as_bytes(), 0);
            match with_timeout(self.post_timeout(), post).await.unwrap_or(Err(CallError::NoAnswerInTime)) {
                Ok(answer) => {
                    self.is_received.set(true);
                    return Ok((answer, connection));
                }
                Err(CallError::Local(_)) if !self.has_begun() && in_time => {
                    sleep(pause).await;
                    pause = pause.mul_f64(2.0).min(MAX_CONNECT_PAUSE);
                    continue;
                }
                Err(CallError::Local(_)) if !self.has_begun() => return Err(Outcome::NotIssued),
                Err(_) if !self.has_begun() && in_time => continue,
                Err(_) if !self.has_begun() => return Err(Outcome::NotConnected),
                Err(error) => self.doubt.record_query_break(&error),
            }
            // Takes the POST back, as far as the engine's machine has not received it.
            drop(connection);
            let (answer, connection) = self.request_page(0, None).await?;
            if answer.status == 500 {
                // The POST may still be on its way to the engine. So this error, like one from another
                // process, does not prove that the query has ended.
                self.doubt.record_another_process();
                self.give_up().await;
            }
            return Ok((answer, connection));
        }
    }

    /// Waits until the client is heard. If that takes too long, reports it and returns `NotIssued`.
    async fn wait_until_client_heard(&self) -> Result<(), Outcome> {
        for _ in 0..MAX_PRESENCE_CHECKS {
            sleep(PRESENCE_CHECK_INTERVAL).await;
            if self.dispatch.statement.client.presence() != ClientPresence::Unheard {
                return Ok(());
            }
        }
        let (guards, statement) = (&self.engine.context.guards, &self.dispatch.statement);
        guards.record_refusal(Step::Send, Refusal::ClientUnheard, &statement.id);
        let _ = self.events.send(Event::ClientUnheard { job: self.dispatch.job }).await;
        Err(Outcome::NotIssued)
    }

    /// How long the POST waits for its answer. A POST that may repeat an earlier dispatch must not arrive
    /// after the time for that.
    fn post_timeout(&self) -> Span {
        let left = self.dispatch.repeat_deadline.map(|deadline| deadline.since(self.now()));
        left.map_or(ANSWER_TIMEOUT, |left| left.min(ANSWER_TIMEOUT))
    }

    /// Checks again, after the wait for a connection and right before the first byte, what may have changed
    /// since the decision: the engine drains, the job's deadline or the limit for repeating it has passed,
    /// the dispatch was cancelled, or the client is gone.
    fn check_send(&self) -> Result<(), Refusal> {
        self.send_conditions().check()?;
        if self.dispatch.statement.client.is_waiting() { Ok(()) } else { Err(Refusal::ClientGone) }
    }

    /// The present conditions. An engine is open unless it has been reported as draining or as gone.
    fn send_conditions(&self) -> SendConditions {
        SendConditions {
            now: self.now(),
            is_engine_open: self.engine.is_live.get(),
            deadline: self.dispatch.deadline,
            repeat_deadline: self.dispatch.repeat_deadline,
            is_cancelled: self.priorities.is_closed(),
        }
    }

    /// Records that bytes of the POST were written. There is no await between the guard and the first write,
    /// so what the guard checked holds there.
    fn record_first_byte(&self) {
        if self.has_begun() {
            return;
        }
        self.begun_at.set(Some(self.now()));
        if let Err(why) = self.send_conditions().check() {
            self.engine.context.guards.record_violation(Step::Send, why, &self.dispatch.statement.id);
        }
    }

    /// Polls the query (page 0) or requests a page. The call is repeated on another connection if one breaks,
    /// carries no answer in time or carries a malformed one, because the engine gives the same answer again.
    /// An engine counts as running for as long as it answers at all, so that faults of single
    /// connections are not taken for the end of the engine.
    async fn request_page(
        &self, page: usize, mut connection: Option<PooledConnection>,
    ) -> Result<(CallAnswer, PooledConnection), Outcome> {
        let path = format!("/v2/q/{}/{page}", self.dispatch.statement.id);
        let (mut malformed, mut slow_pages) = (0, 0);
        while malformed < MAX_MALFORMED_ANSWERS {
            let kept = connection.take().filter(|connection| connection.is_ready());
            let opened = match kept {
                Some(connection) => Ok(connection),
                // A query that was given up is not requested again.
                None if self.give_up_requested.get() => return Err(Outcome::Cancelled),
                None => {
                    self.on_post_connection.set(false);
                    self.engine.acquire(&self.engine.context.queries).await
                }
            };
            match opened {
                Ok(mut connection) => {
                    // An engine that answers slowly still answers: each received part of a page counts as an
                    // answer.
                    let min_rate = self.engine.context.min_rate.get();
                    connection.min_rate = if slow_pages < MAX_SLOW_PAGES {
                        min_rate
                    } else {
                        MinRate { bytes_per_s: 1.0, ..min_rate }
                    };
                    match self.timed_call(&mut connection, &path, page).await {
                        Ok(answer) => {
                            self.record_news(answer.status);
                            return Ok((answer, connection));
                        }
                        Err(CallError::TooSlow(figures)) => {
                            slow_pages += 1;
                            let at = self.engine.address;
                            // The event `engine_crawls` means that the engine sent a page below the minimum
                            // rate.
                            log::debug!(event = "engine_crawls", engine:% = at, page; "engine {at}: page {page} is too slow: {figures}");
                            self.last_answer.set(self.now());
                            continue;
                        }
                        Err(CallError::Malformed(_)) => {
                            malformed += 1;
                            self.last_answer.set(self.now());
                            continue;
                        }
                        Err(error) => {
                            self.doubt.record_query_break(&error);
                            self.log_no_answer("asked", &error);
                        }
                    }
                }
                Err(CallError::Refused) => {
                    self.doubt.record_cause(Cause::Refused);
                    self.doubt.record_break(&CallError::Refused);
                    if self.may_run_behind_closed_port() {
                        self.give_up().await;
                    }
                    return Err(Outcome::Reset);
                }
                // The log key `what` states here that there was no connection for the poll or the request.
                Err(error) => self.log_no_answer("no connection to ask over", &error),
            }
            if self.now().since(self.last_answer.get()) > POLL_EXPIRY {
                self.give_up().await;
                return Err(Outcome::Reset);
            }
            sleep(RETRY_PAUSE).await;
        }
        // An engine that sends malformed answers may have run the query, which is given up.
        self.give_up().await;
        Err(Outcome::Error)
    }

    /// Makes one call, which is abandoned if no byte of its answer arrives in time, or if the rest arrives
    /// too slowly.
    async fn timed_call(
        &self, connection: &mut PooledConnection, path: &str, page: usize,
    ) -> Result<CallAnswer, CallError> {
        let clock = self.engine.context.clock;
        let started = self.now();
        let response_progress = connection.response_progress.clone();
        let slow = async {
            loop {
                let response = response_progress.received();
                let due = response.map_or(started + ANSWER_TIMEOUT, |response| response.due());
                if clock.now() >= due {
                    let Some(response) = response else { return Err(CallError::NoAnswerInTime) };
                    let span = response.last_byte_at.since(started).secs();
                    let figures = format!("{} bytes in {span:.2} s", response.bytes);
                    return Err(CallError::TooSlow(figures));
                }
                clock.sleep_until(due).await;
            }
        };
        let answer = self.call(connection, "GET", path, &[], &[], page).or(slow).await?;
        if let Some(response) = response_progress.received() {
            let (engine, bytes) = (self.dispatch.engine, answer.body.len());
            let (time_to_first_byte, transfer_time) =
                (response.first_byte_at.since(started), response.last_byte_at.since(response.first_byte_at));
            let _ = self.events.try_send(Event::PageReceived {
                engine,
                bytes,
                time_to_first_byte,
                transfer_time,
            });
        }
        Ok(answer)
    }

    /// Makes one call, and accepts each well-formed answer that a poll (page 0) or the request of a further
    /// page can have, including those that end the query without a result: declined (503, 504) and failed
    /// (500).
    async fn call(
        &self, connection: &mut PooledConnection, method: &str, path: &str, fields: &[(&str, &str)],
        body: &[u8], page: usize,
    ) -> Result<CallAnswer, CallError> {
        let head = request_head(method, path, self.engine.address, fields, body.len());
        let mut answer = CallAnswer::default();
        let (mut progress, mut value, mut work_ms, mut memory, mut stats) = (None, None, None, None, None);
        let mut is_valid = true;
        let mut number = |text: &str| {
            let number = parse_measurement(text);
            is_valid &= number.is_some();
            number
        };
        let mut unwritten = head.len() + body.len();
        let asked = AskedUntilEnd { query: self, is_written: Cell::new(false) };
        let on_write = |bytes| {
            self.record_first_byte();
            asked.record_write();
            unwritten -= bytes;
            if unwritten == 0 {
                self.is_posted.set(true);
            }
        };
        let read_field = |name: &str, text: &str| {
            let is = |known| name.eq_ignore_ascii_case(known);
            if is("X-Declined") {
                answer.declined = text == "1";
            } else if is("X-Batches") {
                answer.pages = text.parse().unwrap_or(0);
            } else if is("X-Batch") {
                answer.page = text.parse().ok();
            } else if is("X-Result") {
                progress = Some(text.to_owned());
            } else if is("X-Num") {
                value = number(text);
            } else if is("X-Spent") {
                work_ms = number(text);
            } else if is("X-Wanted") {
                memory = number(text);
            } else if is("X-Stats") {
                stats = Some(text.to_owned());
            }
        };
        let (status, body) = connection.call(&head, body, MAX_PAGE_BYTES, on_write, read_field).await?;
        self.last_answer.set(self.now());
        (answer.status, answer.body) = (status, body);
        if !is_valid || progress.is_some() != value.is_some() || !answer.is_valid_for(page) {
            connection.reusable = false;
            return Err(CallError::Malformed("not an answer to this call"));
        }
        if let Some(stats) = stats {
            let _ = self.events.send(Event::LoadReported { engine: self.dispatch.engine, stats }).await;
        }
        answer.progress = progress.zip(value);
        answer.actual_cost = work_ms.map(|ms| (Span::from_secs(ms / 1e3), memory.unwrap_or(0.0)));
        Ok(answer)
    }

    async fn forward_progress(&self, name: &str, value: f64) {
        let progress = match (name, value) {
            ("pct", share) => Progress::Fraction(share.min(1.0)),
            ("overflow", missing) => Progress::Spills(missing),
            ("queued", 1.0) => Progress::WaitsForMemory,
            ("queued", _) => Progress::WaitsForLoad,
            _ => return,
        };
        let Dispatch { job, number, .. } = self.dispatch;
        let _ = self.events.send(Event::Progressed { job, number, progress }).await;
    }

    /// Collects every page of the result, each complete and in order.
    async fn collect_pages(
        &self, first: CallAnswer, mut connection: PooledConnection,
    ) -> Result<QueryResult, Outcome> {
        let max_bytes = if first.pages > 1 { MAX_RESULT_BYTES } else { first.body.len() };
        let held = self.engine.context.result_memory.acquire(self.dispatch.statement.holder, max_bytes).await;
        let (count, mut bytes, mut pages) = (first.pages, first.body.len(), vec![first.body]);
        while pages.len() < count {
            let (answer, used_connection) = self.request_page(pages.len(), Some(connection)).await?;
            bytes += answer.body.len();
            if answer.status != 200 || bytes > MAX_RESULT_BYTES {
                return Err(Outcome::Error);
            }
            connection = used_connection;
            pages.push(answer.body);
        }
        Ok(QueryResult::new(pages, held))
    }

    /// Sends new priorities to the engine until the job's deadline passes or the dispatch is cancelled.
    /// Returns `TimedOut` or `Cancelled` accordingly.
    pub async fn send_priorities_until_stop(&self) -> Outcome {
        let late = async {
            self.engine.context.clock.sleep_until(self.dispatch.deadline).await;
            Outcome::TimedOut
        };
        let cancelled = async {
            loop {
                match self.priorities.recv().await {
                    Ok(priority) if !self.priorities.is_closed() => {
                        if !self.has_begun() {
                            continue;
                        }
                        let (path, body) = (self.path(), priority.to_string());
                        let answer_timeout = self.engine.context.connect_timeout;
                        let _ = self.engine.control_call("PUT", &path, &body, answer_timeout).await;
                    }
                    _ => return Outcome::Cancelled,
                }
            }
        };
        late.or(cancelled).await
    }

    /// Logs that a call got no answer. The event `unheard` means that the router received no answer. `what`
    /// names the call in the log line, such as "asked" for a poll or the request of a page, or "deleted" for
    /// a DELETE.
    pub fn log_no_answer(&self, what: &str, error: &CallError) {
        let (job, number) = (&self.dispatch.statement.id, self.dispatch.number);
        log::debug!(event = "unheard", job = job.as_str(), number, what; "{what}: {error}");
    }

    pub fn path(&self) -> String {
        format!("/v2/q/{}", self.dispatch.statement.id)
    }
}

/// Records, as a call is written and again as it ends, that the engine may have received it by then. A call
/// ends when it is answered, or when its connection is reset because it was cut short.
struct AskedUntilEnd<'a> {
    query: &'a Query,
    is_written: Cell<bool>,
}

impl AskedUntilEnd<'_> {
    fn record_write(&self) {
        self.is_written.set(true);
        self.query.last_asked.set(self.query.now());
    }
}

impl Drop for AskedUntilEnd<'_> {
    fn drop(&mut self) {
        if self.is_written.get() {
            self.query.last_asked.set(self.query.now());
        }
    }
}

impl CallAnswer {
    /// Whether this can be the answer to a call for the page.
    fn is_valid_for(&self, page: usize) -> bool {
        match self.status {
            202 => page == 0,
            200 if page == 0 => {
                let is_first_page = self.page.is_none_or(|page| page == 0);
                is_first_page && (1..=MAX_PAGES).contains(&self.pages) && are_complete_rows(&self.body)
            }
            200 => self.page == Some(page) && are_complete_rows(&self.body),
            503 | 504 => self.declined,
            500 => true,
            _ => false,
        }
    }
}

/// Whether these are rows of text, each with all its columns and a line end.
fn are_complete_rows(page: &[u8]) -> bool {
    let is_complete = |row: &str| {
        row.split('\t').count() == COLUMNS && !row.contains(|c: char| c.is_control() && c != '\t')
    };
    match str::from_utf8(page).ok().map(|text| text.strip_suffix('\n')) {
        Some(Some(rows)) => rows.split('\n').all(is_complete),
        Some(None) => page.is_empty(),
        None => false,
    }
}
