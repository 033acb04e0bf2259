//! Lower bounds for the arrival times of received bytes. Clients count their time from when they send a
//! request; the time that it spent in the kernel while this thread was busy, stopped or not reading is taken
//! off that time.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;

use futures_lite::future;
use woadhook::{Moment, Span};

use crate::clock::{Clock, sleep};
use crate::interrupted_calls::retried;
use crate::tasks::Tasks;

/// Interval at which the event loop records that it runs and hears of its sockets.
const TICK: Span = Span::from_micros(25_000);
/// Bytes that may have arrived at most this long before they were read count as having arrived when they were
/// read.
const TOLERANCE: Span = Span::from_micros(100_000);

/// Times at which this thread's event loop ran. Between two of them the reactor reported every ready socket
/// at least once, so what a waiting reader reads after the third arrived after the first.
#[derive(Clone)]
pub struct LoopTicks(Rc<Noted>);

struct Noted {
    last_three: [Cell<Moment>; 3],
    /// The longest time between two ticks since it was last queried.
    gap: Cell<Span>,
    /// The time up to which stalls have already been reported.
    counted: Cell<Moment>,
}

impl LoopTicks {
    pub fn start(clock: Clock, tasks: Tasks) -> Self {
        let last_three = [0; 3].map(|_| Cell::new(clock.now()));
        let (gap, counted) = (Cell::new(Span::ZERO), Cell::new(clock.now()));
        let loop_ticks = Self(Rc::new(Noted { last_three, gap, counted }));
        let noted = loop_ticks.clone();
        tasks.spawn(async move {
            loop {
                noted.note(clock.now());
                sleep(TICK).await;
            }
        });
        loop_ticks
    }

    fn note(&self, now: Moment) {
        let Noted { last_three: [first, second, third], gap, counted } = &*self.0;
        gap.set(gap.get().max(now.since(third.get().max(counted.get()))));
        first.set(second.replace(third.replace(now)));
    }

    /// Whether the event loop stalled for longer than the given span at any time since the last call. Each
    /// stall is reported once.
    pub fn has_stalled(&self, now: Moment, longer_than: Span) -> bool {
        let Noted { last_three: [.., last], gap, counted } = &*self.0;
        let up_to_now = now.since(last.get().max(counted.get()));
        let stood = gap.replace(Span::ZERO).max(up_to_now) > longer_than;
        if stood {
            counted.set(now);
        }
        stood
    }

    /// What a waiting reader reads now arrived after this moment.
    fn first(&self) -> Moment {
        self.0.last_three[0].get()
    }
}

/// Lower bounds for the arrival times of what is read from one socket.
pub struct ArrivalTimes {
    clock: Clock,
    loop_ticks: LoopTicks,
    /// When the socket was last found empty.
    empty: Cell<Moment>,
    /// The lower bound for the bytes that were read last.
    came: Cell<Moment>,
    /// The lower bound for bytes that are still in the socket because the last call to read them failed.
    standing: Cell<Option<Moment>>,
}

impl ArrivalTimes {
    /// For a socket on which nothing had arrived by the given moment.
    pub fn new(empty: Moment, clock: Clock, loop_ticks: LoopTicks) -> Self {
        let standing = Cell::new(None);
        Self { clock, loop_ticks, empty: Cell::new(empty), came: Cell::new(empty), standing }
    }

    /// Reads from the socket: `take` is pending while the socket is empty. It is called again if a signal
    /// interrupts it.
    pub async fn receive<T>(&self, mut take: impl AsyncFnMut() -> io::Result<T>) -> io::Result<T> {
        retried(async || self.taking_once(take()).await).await
    }

    async fn taking_once<T>(&self, take: impl Future<Output = io::Result<T>>) -> io::Result<T> {
        let mut take = std::pin::pin!(take);
        let waited = Cell::new(false);
        let taken = future::poll_fn(|context| {
            let take: Pin<&mut _> = take.as_mut();
            let polled = take.poll(context);
            if polled.is_pending() {
                self.empty.set(self.clock.now());
                waited.set(true);
            }
            polled
        });
        let taken = taken.await;
        let came = match self.standing.get() {
            _ if waited.get() => self.empty.get().max(self.loop_ticks.first()),
            Some(standing) => standing,
            None => self.empty.get(),
        };
        self.came.set(came);
        self.standing.set(taken.is_err().then_some(came));
        taken
    }

    /// The earliest time at which the bytes that were read last may have arrived.
    pub fn earliest_arrival(&self) -> Moment {
        self.came.get()
    }

    /// The moment from which the time of a request counts whose last bytes were read last. Threat: a deadline
    /// is passed on that ends after the client has stopped waiting. The bound also covers a process that was
    /// stopped, a wait in the accept queue and a client that was not read. Cost: where the bytes arrived late
    /// in a span in which the thread was busy, the request gets less time than it has.
    pub fn request_start(&self) -> Moment {
        let (now, came) = (self.clock.now(), self.came.get());
        if now.since(came) <= TOLERANCE { now } else { came }
    }
}
