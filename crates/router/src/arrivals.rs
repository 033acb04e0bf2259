//! Lower bounds for the arrival times of received bytes. Clients count their waiting time from when they send
//! a request, so the router subtracts from that time the time that the request spent in the kernel while this
//! thread was busy, stopped or not reading.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;

use futures_lite::future;
use woadhook::{Moment, Span};

use crate::clock::{Clock, sleep};
use crate::interrupted_calls::retry_interrupted;
use crate::tasks::Tasks;

/// Interval of the ticks, at which the event loop records that it runs and polls its sockets.
const TICK_INTERVAL: Span = Span::from_micros(25_000);
/// An answer passes through this many rounds of the event loop: the decision and the write.
const ROUNDS_PER_ANSWER: f64 = 2.0;
/// An event loop that is late by less than this counts as in time.
const MIN_LATENESS: Span = Span::from_micros(50_000);
/// If the lower bound for the arrival of bytes is at most this long before they were read, they count as
/// having arrived when they were read.
const ARRIVAL_TOLERANCE: Span = Span::from_micros(100_000);

/// The last three ticks: times at which this thread's event loop ran. Between two ticks the reactor reported
/// every ready socket at least once. So if a reader was waiting for its socket, the bytes that it reads after
/// the third tick arrived after the first tick.
#[derive(Clone)]
pub struct LoopTicks(Rc<TickTimes>);

struct TickTimes {
    last_three: [Cell<Moment>; 3],
    /// The longest time between two consecutive ticks since `has_stalled` was last called.
    longest_gap: Cell<Span>,
    /// The time up to which stalls have already been reported.
    reported_until: Cell<Moment>,
}

impl LoopTicks {
    pub fn start(clock: Clock, tasks: Tasks) -> Self {
        let last_three = [0; 3].map(|_| Cell::new(clock.now()));
        let (longest_gap, reported_until) = (Cell::new(Span::ZERO), Cell::new(clock.now()));
        let loop_ticks = Self(Rc::new(TickTimes { last_three, longest_gap, reported_until }));
        let recorder = loop_ticks.clone();
        tasks.spawn(async move {
            loop {
                recorder.record_tick(clock.now());
                sleep(TICK_INTERVAL).await;
            }
        });
        loop_ticks
    }

    fn record_tick(&self, now: Moment) {
        let TickTimes { last_three: [first, second, third], longest_gap, reported_until } = &*self.0;
        longest_gap.set(longest_gap.get().max(now.since(third.get().max(reported_until.get()))));
        first.set(second.replace(third.replace(now)));
    }

    /// Whether the event loop stalled for longer than the given span at any time since the last call. Each
    /// stall is reported once.
    pub fn has_stalled(&self, now: Moment, longer_than: Span) -> bool {
        let TickTimes { last_three: [.., last], longest_gap, reported_until } = &*self.0;
        let up_to_now = now.since(last.get().max(reported_until.get()));
        let stalled = longest_gap.replace(Span::ZERO).max(up_to_now) > longer_than;
        if stalled {
            reported_until.set(now);
        }
        stalled
    }

    /// Returns how long an answer takes from its decision to its write because the event loop is busy or
    /// starved: zero while the loop is in time. The median of the last gaps counts, so that a single stall
    /// that is over is not taken for lateness.
    pub fn response_delay(&self, now: Moment) -> Span {
        let [first, second, third] = self.0.last_three.each_ref().map(Cell::get);
        let mut gaps = [second.since(first), third.since(second), now.since(third)];
        gaps.sort_unstable();
        let lateness = gaps[1].saturating_sub(TICK_INTERVAL);
        if lateness < MIN_LATENESS { Span::ZERO } else { lateness.mul_f64(ROUNDS_PER_ANSWER) }
    }

    /// Returns the first of the last three ticks. Bytes that a waiting reader reads now arrived after it.
    fn oldest_tick(&self) -> Moment {
        self.0.last_three[0].get()
    }
}

/// Lower bounds for the arrival times of what is read from one socket.
pub struct ArrivalTimes {
    clock: Clock,
    loop_ticks: LoopTicks,
    /// When the socket was last found empty.
    empty_at: Cell<Moment>,
    /// Whether everything that was read is processed and the reader waits for more.
    is_reading: Cell<bool>,
    /// The lower bound for the bytes that were read last.
    earliest: Cell<Moment>,
    /// The lower bound for bytes that are still in the socket because the last call to read them failed.
    unread_since: Cell<Option<Moment>>,
}

impl ArrivalTimes {
    /// Creates the bounds for a socket on which nothing had arrived by `empty_at`.
    pub fn new(empty_at: Moment, clock: Clock, loop_ticks: LoopTicks) -> Self {
        let unread_since = Cell::new(None);
        let (earliest, is_reading) = (Cell::new(empty_at), Cell::new(false));
        Self { clock, loop_ticks, empty_at: Cell::new(empty_at), is_reading, earliest, unread_since }
    }

    /// Reads from the socket: `read` is pending while the socket is empty. It is called again if a signal
    /// interrupts it.
    pub async fn receive<T>(&self, mut read: impl AsyncFnMut() -> io::Result<T>) -> io::Result<T> {
        self.is_reading.set(true);
        let received = retry_interrupted(async || self.receive_once(read()).await).await;
        self.is_reading.set(false);
        received
    }

    /// How long bytes may have been in the socket, or read and unprocessed, by now. `is_empty` tells whether
    /// the socket is empty.
    pub fn unprocessed_for(&self, is_empty: impl FnOnce() -> bool) -> Span {
        let now = self.clock.now();
        if !self.is_reading.get() {
            return now.since(self.empty_at.get());
        }
        if is_empty() {
            return Span::ZERO;
        }
        now.since(self.empty_at.get().max(self.loop_ticks.oldest_tick()))
    }

    async fn receive_once<T>(&self, read: impl Future<Output = io::Result<T>>) -> io::Result<T> {
        let mut read = std::pin::pin!(read);
        let has_waited = Cell::new(false);
        let outcome = future::poll_fn(|context| {
            let read: Pin<&mut _> = read.as_mut();
            let polled = read.poll(context);
            if polled.is_pending() {
                self.empty_at.set(self.clock.now());
                has_waited.set(true);
            }
            polled
        });
        let outcome = outcome.await;
        let earliest = match self.unread_since.get() {
            _ if has_waited.get() => self.empty_at.get().max(self.loop_ticks.oldest_tick()),
            Some(unread_since) => unread_since,
            None => self.empty_at.get(),
        };
        self.earliest.set(earliest);
        self.unread_since.set(outcome.is_err().then_some(earliest));
        outcome
    }

    /// The earliest time at which the bytes that were read last may have arrived.
    pub fn earliest_arrival(&self) -> Moment {
        self.earliest.get()
    }

    /// Returns the moment from which a client's waiting time counts. The caller asks after a read that
    /// completed a request. Threat: a deadline computed from a later moment would end after the client has
    /// stopped waiting. The bound also accounts for the time in which the process was stopped, the connection
    /// waited in the accept queue or the router did not read from it. If the bytes arrived towards the end of
    /// a period in which the thread was busy, this defence gives the request less time than its client
    /// allows.
    pub fn request_start(&self) -> Moment {
        let (now, earliest) = (self.clock.now(), self.earliest.get());
        if now.since(earliest) <= ARRIVAL_TOLERANCE { now } else { earliest }
    }
}
