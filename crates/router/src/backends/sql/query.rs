//! One dispatch: the POST, its news and the pages of its result. `give_up` ends it before its time, `doubt` holds whether it may run on.

use std::cell::Cell;
use std::rc::Rc;

use async_channel::{Receiver, Sender};
use futures_lite::FutureExt;
use woadhook::{Moment, Outcome, Progress, Span};
use woadhook_flow_control::min_rate::MinRate;

use crate::backends::sql::doubt::{Cause, Doubt};
use crate::backends::sql::engine::Engine;
use crate::clock::sleep;
use crate::exchange::{Dispatch, Event, QueryResult, parse_measurement};
use crate::faults::CallError;
use crate::guards::{Refusal, SendConditions, Step};
use crate::http::request_head;
use crate::pool::PooledConnection;
use crate::sockets::with_timeout;

/// A result holds at most so many bytes, in pages of at most so many each.
const RESULT_BYTES: usize = 48_000;
pub const PAGE_BYTES: usize = 6_000;
const PAGES: usize = 48;
const COLUMNS: usize = 3;
/// An engine ends a query that was not asked for so long.
const ASK_WITHIN: Span = Span::from_micros(2_000_000);
/// Between calls that give up a query that an engine says nothing of.
pub const SETTLE: Span = Span::from_micros(100_000);
/// Between calls that fail at once.
pub const PAUSE: Span = Span::from_micros(20_000);
/// Between tries to connect that fail at once, which double: thousands of jobs may wait for the same.
const LEAST_PAUSE: Span = Span::from_micros(5_000);
const MOST_PAUSE: Span = Span::from_micros(40_000);
/// A call without an answer for so long is made again on another connection.
pub const ASK_AGAIN: Span = Span::from_micros(500_000);
/// So often a page that comes too slowly is asked for again; then it is let come as it comes.
const CRAWLS: usize = 2;
/// So many answers in a row that make no sense leave no hope for a good one.
const DOUBTS: usize = 8;

/// What a dispatch owes the module: how it ended, once, and behind a doubt of its key that this is settled; whatever becomes of its
/// task. Threat: a task that panics would leave its job without an end, or let the next of its key run beside it. It may hurt
/// where the fault repeats: the dispatch is given up anew each `SETTLE`.
struct Ending {
    out: Rc<Out>,
    is_told: bool,
    is_settled: bool,
}

impl Ending {
    fn of(out: Rc<Out>) -> Self {
        Self { out, is_told: false, is_settled: false }
    }

    async fn tell(&mut self, (outcome, told, rows): End, doubt: Option<Cause>) {
        let Dispatch { job, number, decided_at, .. } = self.out.dispatch;
        let took = self.out.now().since(decided_at);
        self.is_told = true;
        let in_doubt = doubt.is_some();
        let ended =
            Event::DispatchEnded { job, number, outcome, took, actual_cost: told, result: rows, in_doubt };
        let _ = self.out.module.send(ended).await;
    }

    /// The order of its key waits until it surely runs no more; nothing else does.
    async fn settle(mut self, doubt: Option<Cause>) {
        if let Some((key, cause)) = self.out.dispatch.order_key.zip(doubt) {
            let (job, number) = (&self.out.dispatch.statement.id, self.out.dispatch.number);
            log::debug!(event = "key_in_doubt", job = job.as_str(), number, cause:? = cause; "its key is in doubt: {cause:?}");
            let settlement = self.out.settle().await;
            log::debug!(event = "key_settled", job = job.as_str(), number, settlement:? = settlement; "its key is settled: {settlement:?}");
            let _ = self.out.module.send(Event::KeySettled { order_key: key }).await;
        }
        self.is_settled = true;
    }

    /// Behind a panic nothing is known but that it may run on.
    async fn resume(mut self) {
        if !self.is_told {
            self.tell((Outcome::Reset, None, None), Some(Cause::Panic)).await;
        }
        sleep(SETTLE).await;
        self.settle(Some(Cause::Panic)).await;
    }
}

impl Drop for Ending {
    fn drop(&mut self) {
        if self.is_settled {
            return;
        }
        self.out.doubt.begin_all();
        let left = Ending { out: self.out.clone(), is_told: self.is_told, is_settled: false };
        self.out.engine.context.tasks.spawn(left.resume());
    }
}

/// The outcome, the true work and memory where they are told, and the result.
pub type End = (Outcome, Option<(Span, f64)>, Option<QueryResult>);

/// A query that is out, or about to be.
pub struct Out {
    pub engine: Rc<Engine>,
    pub dispatch: Dispatch,
    module: Sender<Event>,
    /// New priorities; closed once the dispatch is called off.
    orders: Receiver<u8>,
    /// Whether a byte of the POST was written.
    began: Cell<bool>,
    /// When a call that asks for it was last written, and when one was last answered.
    pub asked: Cell<Moment>,
    heard: Cell<Moment>,
    pub doubt: Doubt,
    /// Whether the POST was written whole.
    pub is_posted: Cell<bool>,
    /// Whether the connection that it is asked for over is the one that its POST went over.
    pub is_own: Cell<bool>,
    /// Whether it is to be given up over that connection, once the call under way there is answered.
    pub stops: Cell<bool>,
}

/// What the answer to one call said.
#[derive(Default)]
struct Answer {
    status: u16,
    declined: bool,
    pages: usize,
    page: Option<usize>,
    note: Option<(String, f64)>,
    told: Option<(Span, f64)>,
    body: Vec<u8>,
}

/// `orders` brings new priorities; the query is given up once it closes.
pub async fn run(engine: Rc<Engine>, dispatch: Dispatch, orders: Receiver<u8>, module: Sender<Event>) {
    let (asked, heard) = (Cell::new(dispatch.decided_at), Cell::new(dispatch.decided_at));
    let out = Rc::new(Out {
        engine,
        dispatch,
        module,
        orders,
        began: Cell::new(false),
        asked,
        heard,
        doubt: Doubt::default(),
        is_posted: Cell::new(false),
        is_own: Cell::new(false),
        stops: Cell::new(false),
    });
    let mut ending = Ending::of(out.clone());
    let mut work = std::pin::pin!(out.work());
    let end = async { Ok(work.as_mut().await) }.or(async { Err(out.stopped().await) }).await;
    if !out.began.get() && !out.dispatch.statement.client.is_waiting() {
        let _ = out.module.send(Event::JobAbandoned { job: out.dispatch.job }).await;
    }
    // What may run is deleted before the module hears, so that no other dispatch of the job meets it.
    let mut unfinished = None;
    let end = match end {
        Ok(end) => end,
        Err(_) if !out.began.get() => (Outcome::NotIssued, None, None),
        Err(outcome) => {
            out.give_up().await;
            // A DELETE goes by the job's id, and a job that is still wanted may be sent there again once the module hears.
            let may_be_sent_again =
                out.dispatch.order_key.is_some() && out.dispatch.statement.client.is_waiting();
            if out.doubt.is_refused() || may_be_sent_again {
                out.give_up_over_own(work).await;
            } else {
                unfinished = Some(work);
            }
            (outcome, None, None)
        }
    };
    let doubt = out.doubt.cause(end.0).filter(|_| out.began.get());
    ending.tell(end, doubt).await;
    // Only the next of its key waits for that.
    if let (Some(work), Some(_), Some(_)) = (unfinished, doubt, out.dispatch.order_key) {
        out.give_up_over_own(work).await;
    }
    ending.settle(doubt).await;
}

impl Out {
    pub fn now(&self) -> Moment {
        self.engine.context.clock.now()
    }

    async fn work(&self) -> End {
        match self.follow().await {
            Ok((told, rows)) => (Outcome::Done, told, Some(rows)),
            Err(outcome) => (outcome, None, None),
        }
    }

    /// From the POST to the last page.
    async fn follow(&self) -> Result<(Option<(Span, f64)>, QueryResult), Outcome> {
        let (mut answer, mut lease) = self.begin().await?;
        while answer.status == 202 {
            if self.stops.get() {
                self.delete_over(&mut lease).await;
                return Err(Outcome::Cancelled);
            }
            if let Some((name, value)) = answer.note {
                self.pass_on(&name, value).await;
            }
            (answer, lease) = self.ask(0, Some(lease)).await?;
        }
        self.note_end(answer.status);
        if self.stops.get() {
            return Err(Outcome::Cancelled);
        }
        match answer.status {
            200 => Ok((answer.told, self.collect(answer, lease).await?)),
            // Threat: another process at the engine's port declines a query that the engine runs, and a job that must not run twice would be
            // sent again. It costs such a job a failure where an engine's word that it declined came over a later connection.
            503 | 504 if self.is_own.get() => Err(Outcome::TurnedAway),
            _ => Err(Outcome::Error),
        }
    }

    /// Its end was told. Threat: an engine that drains closes its port and works on; who has the port by then does not know the query and says
    /// so, which is no end of it. Only a result can come from none but the engine that made it. It costs the key the query's expiry where
    /// an engine fails and the connection of the POST is gone.
    fn note_end(&self, status: u16) {
        if self.is_own.get() {
            self.doubt.end();
        } else if status != 200 {
            self.doubt.note_another_process();
        }
    }

    /// The POST and its answer. Where the answer stays away, breaks or makes no sense, the query is asked
    /// for, as it may run. A connection that breaks before a byte was written proves nothing of the engine
    /// and is replaced.
    async fn begin(&self) -> Result<(Answer, PooledConnection), Outcome> {
        let connect_timeout = self.engine.context.connect_timeout;
        let statement = &self.dispatch.statement;
        let (began, priority) = (self.now(), self.dispatch.priority.to_string());
        let mut pause = LEAST_PAUSE;
        loop {
            let in_time = self.now().since(began) < connect_timeout;
            let mut lease = match self.engine.lease(&self.engine.context.queries).await {
                Ok(lease) => lease,
                Err(CallError::NoDescriptor) => return Err(Outcome::NotIssued),
                Err(CallError::Local(_) | CallError::Unreachable(_) | CallError::Broken(_)) if in_time => {
                    sleep(pause).await;
                    pause = pause.mul_f64(2.0).min(MOST_PAUSE);
                    continue;
                }
                // It says nothing of the engine, which is not set aside for it.
                Err(CallError::Local(_)) => return Err(Outcome::NotIssued),
                Err(_) => return Err(Outcome::NotConnected),
            };
            if self.engine.context.freshness.is_stale() {
                drop(lease);
                self.engine.context.freshness.wait_until_fresh().await;
                continue;
            }
            if let Err(why) = self.may_begin() {
                self.engine.context.guards.record_refusal(Step::Send, why, &self.dispatch.statement.id);
                return Err(Outcome::NotIssued);
            }
            self.heard.set(self.now());
            let patience = self.dispatch.deadline.since(self.now()).micros().div_ceil(1000).to_string();
            let mut fields = vec![
                ("X-Trace", statement.id.as_str()),
                ("X-Profile", &statement.class),
                ("X-Patience", &patience),
                ("X-Weight-Class", &priority),
            ];
            fields.extend(statement.order_key.as_deref().map(|key| ("X-Asset", key)));
            fields.extend(statement.idempotency_key.as_deref().map(|once| ("X-Op-Key", once)));
            self.is_own.set(true);
            let post = self.call(&mut lease, "POST", "/v2/q", &fields, statement.text.as_bytes(), 0);
            match with_timeout(ASK_AGAIN, post).await.unwrap_or(Err(CallError::NoAnswerInTime)) {
                Ok(answer) => return Ok((answer, lease)),
                Err(CallError::Local(_)) if !self.began.get() && in_time => {
                    sleep(pause).await;
                    pause = pause.mul_f64(2.0).min(MOST_PAUSE);
                    continue;
                }
                Err(CallError::Local(_)) if !self.began.get() => return Err(Outcome::NotIssued),
                Err(_) if !self.began.get() && in_time => continue,
                Err(_) if !self.began.get() => return Err(Outcome::NotConnected),
                Err(fault) => self.doubt.note_break(&fault),
            }
            drop(lease);
            let (answer, lease) = self.ask(0, None).await?;
            if answer.status == 500 {
                // The POST may still be on its way in.
                self.doubt.note_another_process();
                self.give_up().await;
            }
            return Ok((answer, lease));
        }
    }

    /// What may have changed since the decision, looked at again behind the wait for a connection and right before the
    /// first byte: the engine drains, the job's time or the one in which it may be repeated is over, it was called
    /// off, its client is gone.
    fn may_begin(&self) -> Result<(), Refusal> {
        self.sending().check()?;
        if self.dispatch.statement.client.is_waiting() { Ok(()) } else { Err(Refusal::ClientGone) }
    }

    fn sending(&self) -> SendConditions {
        SendConditions {
            now: self.now(),
            is_engine_open: self.engine.is_live.get(),
            deadline: self.dispatch.deadline,
            repeat_deadline: self.dispatch.repeat_deadline,
            is_called_off: self.orders.is_closed(),
        }
    }

    /// A byte of the POST was written. There is no wait between the guard and the first one, so what held there holds.
    fn note_first_byte(&self) {
        if let (false, Err(why)) = (self.began.replace(true), self.sending().check()) {
            self.engine.context.guards.record_violation(Step::Send, why, &self.dispatch.statement.id);
        }
    }

    /// Asks for news (0) or a page, again on another connection where one breaks, stays silent or brings what
    /// makes no sense: the engine gives the same answer again. It is heard from as long as it answers at all,
    /// so that noise on connections is not taken for its end.
    async fn ask(
        &self, page: usize, mut lease: Option<PooledConnection>,
    ) -> Result<(Answer, PooledConnection), Outcome> {
        let path = format!("/v2/q/{}/{page}", self.dispatch.statement.id);
        let (mut doubts, mut crawls) = (0, 0);
        while doubts < DOUBTS {
            let kept = lease.take().filter(|lease| lease.is_ready());
            let opened = match kept {
                Some(lease) => Ok(lease),
                // Nobody asks anew for what was given up.
                None if self.stops.get() => return Err(Outcome::Cancelled),
                None => {
                    self.is_own.set(false);
                    self.engine.lease(&self.engine.context.queries).await
                }
            };
            match opened {
                Ok(mut lease) => {
                    // An engine that answers at a crawl answers: what has come of a page counts as heard.
                    let least = self.engine.context.min_rate.get();
                    lease.min_rate =
                        if crawls < CRAWLS { least } else { MinRate { bytes_per_s: 1.0, ..least } };
                    match self.flowing(&mut lease, &path, page).await {
                        Ok(answer) => return Ok((answer, lease)),
                        Err(CallError::TooSlow(figures)) => {
                            crawls += 1;
                            let at = self.engine.address;
                            log::debug!(event = "engine_crawls", engine:% = at, page; "engine {at}: page {page} {figures}");
                            self.heard.set(self.now());
                            continue;
                        }
                        Err(CallError::Malformed(_)) => {
                            doubts += 1;
                            self.heard.set(self.now());
                            continue;
                        }
                        Err(fault) => {
                            self.doubt.note_break(&fault);
                            self.unheard("asked", &fault);
                        }
                    }
                }
                Err(CallError::Refused) => {
                    self.doubt.begin(Cause::Refused);
                    self.doubt.note_break(&CallError::Refused);
                    return Err(Outcome::Reset);
                }
                Err(fault) => self.unheard("no connection to ask over", &fault),
            }
            if self.now().since(self.heard.get()) > ASK_WITHIN {
                self.give_up().await;
                return Err(Outcome::Reset);
            }
            sleep(PAUSE).await;
        }
        // What answers nonsense may have run the query, which is given up.
        self.give_up().await;
        Err(Outcome::Error)
    }

    /// One call that is given up where no byte of its answer comes in time, or the rest of it too slowly.
    async fn flowing(
        &self, lease: &mut PooledConnection, path: &str, page: usize,
    ) -> Result<Answer, CallError> {
        let clock = self.engine.context.clock;
        let began = self.now();
        let flow = lease.response_progress.clone();
        let slow = async {
            loop {
                let came = flow.received();
                let due = came.map_or(began + ASK_AGAIN, |came| came.due());
                if clock.now() >= due {
                    let Some(came) = came else { return Err(CallError::NoAnswerInTime) };
                    let span = came.last_byte_at.since(began).secs();
                    let figures = format!("crawls: {} bytes in {span:.2} s", came.bytes);
                    return Err(CallError::TooSlow(figures));
                }
                clock.sleep_until(due).await;
            }
        };
        let answer = self.call(lease, "GET", path, &[], &[], page).or(slow).await?;
        if let Some(came) = flow.received() {
            let (engine, bytes) = (self.dispatch.engine, answer.body.len());
            let (first, body) =
                (came.first_byte_at.since(began), came.last_byte_at.since(came.first_byte_at));
            let _ = self.module.try_send(Event::PageReceived {
                engine,
                bytes,
                time_to_first_byte: first,
                transfer_time: body,
            });
        }
        Ok(answer)
    }

    /// One call for what page 0 or a further page answers; it may be any of the ends, and must make sense.
    async fn call(
        &self, lease: &mut PooledConnection, method: &str, path: &str, fields: &[(&str, &str)], body: &[u8],
        page: usize,
    ) -> Result<Answer, CallError> {
        let head = request_head(method, path, self.engine.address, fields, body.len());
        let mut answer = Answer::default();
        let (mut note, mut value, mut spent, mut wanted, mut stats) = (None, None, None, None, None);
        let mut sound = true;
        let mut number = |text: &str| {
            let number = parse_measurement(text);
            sound &= number.is_some();
            number
        };
        let mut unwritten = head.len() + body.len();
        let wrote = |bytes| {
            self.note_first_byte();
            self.asked.set(self.now());
            unwritten -= bytes;
            if unwritten == 0 {
                self.is_posted.set(true);
            }
        };
        let hear = |name: &str, text: &str| {
            let is = |known| name.eq_ignore_ascii_case(known);
            if is("X-Declined") {
                answer.declined = text == "1";
            } else if is("X-Batches") {
                answer.pages = text.parse().unwrap_or(0);
            } else if is("X-Batch") {
                answer.page = text.parse().ok();
            } else if is("X-Result") {
                note = Some(text.to_owned());
            } else if is("X-Num") {
                value = number(text);
            } else if is("X-Spent") {
                spent = number(text);
            } else if is("X-Wanted") {
                wanted = number(text);
            } else if is("X-Stats") {
                stats = Some(text.to_owned());
            }
        };
        let (status, body) = lease.call(&head, body, PAGE_BYTES, wrote, hear).await?;
        self.heard.set(self.now());
        (answer.status, answer.body) = (status, body);
        if !sound || note.is_some() != value.is_some() || !answer.makes_sense(page) {
            lease.reusable = false;
            return Err(CallError::Malformed("no answer to this call"));
        }
        if let Some(stats) = stats {
            let _ = self.module.send(Event::LoadReported { engine: self.dispatch.engine, stats }).await;
        }
        answer.note = note.zip(value);
        answer.told = spent.map(|spent| (Span::from_secs(spent / 1e3), wanted.unwrap_or(0.0)));
        Ok(answer)
    }

    async fn pass_on(&self, note: &str, value: f64) {
        let progress = match (note, value) {
            ("pct", share) => Progress::Fraction(share.min(1.0)),
            ("overflow", missing) => Progress::Spills(missing),
            ("queued", 1.0) => Progress::WaitsForMemory,
            ("queued", _) => Progress::WaitsForLoad,
            _ => return,
        };
        let Dispatch { job, number, .. } = self.dispatch;
        let _ = self.module.send(Event::Progressed { job, number, progress }).await;
    }

    /// Every page of the result, each whole and in its place.
    async fn collect(&self, first: Answer, mut lease: PooledConnection) -> Result<QueryResult, Outcome> {
        let most = if first.pages > 1 { RESULT_BYTES } else { first.body.len() };
        let held = self.engine.context.result_memory.acquire(self.dispatch.statement.holder, most).await;
        let (count, mut bytes, mut pages) = (first.pages, first.body.len(), vec![first.body]);
        while pages.len() < count {
            let (answer, same) = self.ask(pages.len(), Some(lease)).await?;
            bytes += answer.body.len();
            if answer.status != 200 || bytes > RESULT_BYTES {
                return Err(Outcome::Error);
            }
            lease = same;
            pages.push(answer.body);
        }
        Ok(QueryResult::new(pages, held))
    }

    /// Passes on new priorities until the query's time is up or it is given up.
    async fn stopped(&self) -> Outcome {
        let late = async {
            self.engine.context.clock.sleep_until(self.dispatch.deadline).await;
            Outcome::TimedOut
        };
        let told = async {
            loop {
                match self.orders.recv().await {
                    Ok(priority) if !self.orders.is_closed() => {
                        if !self.began.get() {
                            continue;
                        }
                        let (path, body) = (self.path(), priority.to_string());
                        let _ = self.engine.control_call("PUT", &path, &body).await;
                    }
                    _ => return Outcome::Cancelled,
                }
            }
        };
        late.or(told).await
    }

    pub fn unheard(&self, what: &str, fault: &CallError) {
        let (job, number) = (&self.dispatch.statement.id, self.dispatch.number);
        log::debug!(event = "unheard", job = job.as_str(), number, what; "{what}: {fault}");
    }

    pub fn path(&self) -> String {
        format!("/v2/q/{}", self.dispatch.statement.id)
    }
}

impl Answer {
    /// Whether it can be the answer to a call for this page.
    fn makes_sense(&self, page: usize) -> bool {
        match self.status {
            202 => page == 0,
            200 if page == 0 => {
                let own = self.page.is_none_or(|told| told == 0);
                own && (1..=PAGES).contains(&self.pages) && whole_rows(&self.body)
            }
            200 => self.page == Some(page) && whole_rows(&self.body),
            503 | 504 => self.declined,
            500 => true,
            _ => false,
        }
    }
}

/// Whether these are rows of text, each with all its columns and its end.
fn whole_rows(page: &[u8]) -> bool {
    let whole = |row: &str| {
        row.split('\t').count() == COLUMNS && !row.contains(|c: char| c.is_control() && c != '\t')
    };
    match str::from_utf8(page).ok().map(|text| text.strip_suffix('\n')) {
        Some(Some(rows)) => rows.split('\n').all(whole),
        Some(None) => page.is_empty(),
        None => false,
    }
}
