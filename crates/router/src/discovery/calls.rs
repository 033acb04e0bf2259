//! The concurrent calls to discovery, and when the next one is due. A call that is answered late is not
//! abandoned; others run beside it. So a connection that went silent is detected within the grace period,
//! after which nothing may be sent to an engine that drains or is gone, and the answers of a discovery that
//! is only slow are still received.

use std::cell::Cell;
use std::future::poll_fn;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use woadhook::{Moment, Span};

/// Maximum number of concurrent calls, each on a connection of its own.
pub const MAX_CALLS: usize = 6;

/// Factor by which the remembered response time decays with each answer.
const RESPONSE_TIME_DECAY: f64 = 0.75;

/// A call under way; dropping it closes its connection.
pub type Call<T, E> = Pin<Box<dyn Future<Output = Result<T, E>>>>;

/// Whether bytes of the request were written to an established connection. The call itself sets this flag.
pub type RequestWritten = Rc<Cell<bool>>;

struct PendingCall<T, E> {
    began: Moment,
    is_written: RequestWritten,
    call: Call<T, E>,
}

/// Maximum number of calls to earlier addresses that may still be answered.
pub const MAX_FORMER_CALLS: usize = 3;

/// A call that ended, and when it began.
pub struct EndedCall<T, E> {
    pub began: Moment,
    /// Whether it was made to an earlier address.
    pub is_former: bool,
    pub outcome: Result<T, E>,
}

/// The calls under way, the oldest first.
pub struct Calls<T, E> {
    pending: Vec<PendingCall<T, E>>,
    /// Calls to earlier addresses. Their answers are returned like those of other calls. A former call that
    /// fails is dropped, and [`due`](Self::due) does not count former calls, however late they are.
    former: Vec<PendingCall<T, E>>,
}

impl<T, E> Calls<T, E> {
    pub fn new() -> Self {
        Self { pending: Vec::new(), former: Vec::new() }
    }

    /// Returns when one more call is due, if any is under way. Threat: a connection goes silent while it
    /// should carry a notice that an engine drains, or can't be established. So one more call is due one
    /// interval after the youngest call began. If more than `backoff_threshold` requests were written and
    /// none was answered, discovery itself is overloaded, and each further call would add to the load. So the
    /// interval doubles with each written request above the threshold.
    pub fn due(&self, interval: Span, backoff_threshold: usize) -> Option<Moment> {
        let written = self.pending.iter().filter(|call| call.is_written.get()).count();
        let intervals = f64::from(1 << written.saturating_sub(backoff_threshold));
        self.pending.last().map(|youngest| youngest.began + interval.mul_f64(intervals))
    }

    /// Adds a call. If there are too many, the call is dropped whose next older and next younger calls have
    /// the smallest ratio of ages. The ages of those that remain are spread from the newest to the oldest, so
    /// that an answer is received however late discovery answers, even if some connections stay silent
    /// forever.
    pub fn start(&mut self, began: Moment, is_written: RequestWritten, call: Call<T, E>) {
        self.pending.push(PendingCall { began, is_written, call });
        if self.pending.len() > MAX_CALLS {
            let neighbour_age_ratio = |index: &usize| {
                let age = |index: usize| began.since(self.pending[index].began).secs();
                age(index - 1) / age(index + 1).max(Span::from_micros(1).secs())
            };
            let candidates = 1..self.pending.len() - 1;
            let most_redundant = candidates
                .min_by(|a, b| neighbour_age_ratio(a).total_cmp(&neighbour_age_ratio(b)))
                .expect("more than two");
            drop(self.pending.remove(most_redundant));
        }
    }

    /// Waits for the first call that ends, forever if none is under way. An answer also drops the calls that
    /// are older.
    pub async fn next(&mut self) -> EndedCall<T, E> {
        poll_fn(|context| {
            for index in 0..self.pending.len() {
                if let Poll::Ready(outcome) = self.pending[index].call.as_mut().poll(context) {
                    let began = self.pending[index].began;
                    let ended = if outcome.is_ok() { 0..index + 1 } else { index..index + 1 };
                    self.pending.drain(ended);
                    return Poll::Ready(EndedCall { began, is_former: false, outcome });
                }
            }
            self.poll_former(context)
        })
        .await
    }

    /// Polls the calls to earlier addresses for an answer; one that fails is dropped.
    fn poll_former(&mut self, context: &mut Context<'_>) -> Poll<EndedCall<T, E>> {
        let mut index = 0;
        while index < self.former.len() {
            let Poll::Ready(outcome) = self.former[index].call.as_mut().poll(context) else {
                index += 1;
                continue;
            };
            let began = self.former.remove(index).began;
            if outcome.is_ok() {
                return Poll::Ready(EndedCall { began, is_former: true, outcome });
            }
        }
        Poll::Pending
    }

    /// Records that discovery has another address and that calls go there from now on. Threat: the address
    /// changes several times in a row, each time while a late answer that would have reported a change is
    /// still pending. The youngest calls to the old addresses are kept until they are answered.
    pub fn moved(&mut self) {
        self.former.append(&mut self.pending);
        let excess = self.former.len().saturating_sub(MAX_FORMER_CALLS);
        self.former.drain(..excess);
    }
}

/// The interval between calls.
pub struct CallPacing {
    /// A change has to be received within this time.
    pub max_delay: Span,
    /// Interval between calls while answers arrive promptly.
    pub usual_interval: Span,
    /// Number of unanswered calls up to which the interval stays the same.
    pub max_unanswered: usize,
    /// Response time of recent calls.
    response_time: Span,
}

impl CallPacing {
    pub fn new(max_delay: Span, usual_interval: Span, max_unanswered: usize) -> Self {
        Self { max_delay, usual_interval, max_unanswered, response_time: Span::ZERO }
    }

    /// Records the response time of a call; earlier response times decay.
    pub fn record_response_time(&mut self, response_time: Span) {
        self.response_time = response_time.max(self.response_time.mul_f64(RESPONSE_TIME_DECAY));
    }

    /// Returns the interval between calls. Threat: discovery answers a call late, with the events that it
    /// knew when the call arrived. A later change is then received only with the answer to the next call, one
    /// interval and one response time later. So the interval shrinks as the response time grows. If discovery
    /// is late because it is overloaded, this defence costs it further load, up to `MAX_CALLS` concurrent
    /// calls. If even `MAX_CALLS` concurrent calls could not deliver a change within `max_delay`, the
    /// interval is the usual one.
    pub fn interval(&self) -> Span {
        let max_interval = self.max_delay.saturating_sub(self.response_time);
        let min_interval = self.response_time.mul_f64(1.0 / (MAX_CALLS - 1) as f64);
        if max_interval < min_interval { self.usual_interval } else { max_interval.min(self.usual_interval) }
    }

    /// Returns how many calls may be unanswered before the interval grows: one more than are under way at
    /// once at the present interval and response time, but no fewer than `max_unanswered` and no more than
    /// `MAX_CALLS`.
    pub fn backoff_threshold(&self) -> usize {
        let concurrent = (self.response_time.secs() / self.interval().secs()).ceil() as usize;
        self.max_unanswered.max(concurrent + 1).min(MAX_CALLS)
    }
}
