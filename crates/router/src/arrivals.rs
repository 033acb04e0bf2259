//! When bytes that are read may have come at the earliest. Clients count their time from when they sent a request; what it
//! stood in the kernel meanwhile, as this thread was busy, or stopped, or did not read, is off that time.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;

use futures_lite::future;
use woadhook::{Moment, Span};

use crate::clock::{Clock, sleep};
use crate::interrupted_calls::retried;
use crate::tasks::Tasks;

/// How often this thread notes that it hears of its sockets.
const TICK: Span = Span::from_micros(25_000);
/// Bytes that may have come so long before they were read count as come just then.
const TOLERANCE: Span = Span::from_micros(100_000);

/// Moments at which this thread came round. Between two of them it was told of all its sockets at least once, so a reader that
/// waits, and reads after the third, reads what came behind the first.
#[derive(Clone)]
pub struct LoopTicks(Rc<Noted>);

struct Noted {
    last_three: [Cell<Moment>; 3],
    /// The longest span between two of them, since it was asked for last.
    gap: Cell<Span>,
    /// Up to when a stand was found out already.
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

    /// Whether this thread did not come round for longer than such a span, at any time since this was asked last. Each stand is told once.
    pub fn has_stalled(&self, now: Moment, longer_than: Span) -> bool {
        let Noted { last_three: [.., last], gap, counted } = &*self.0;
        let up_to_now = now.since(last.get().max(counted.get()));
        let stood = gap.replace(Span::ZERO).max(up_to_now) > longer_than;
        if stood {
            counted.set(now);
        }
        stood
    }

    /// What a waiting reader reads now came behind this.
    fn first(&self) -> Moment {
        self.0.last_three[0].get()
    }
}

/// The earliest at which what is taken from one socket may have come.
pub struct ArrivalTimes {
    clock: Clock,
    loop_ticks: LoopTicks,
    /// When nothing stood there last.
    empty: Cell<Moment>,
    /// The earliest for what was taken last.
    came: Cell<Moment>,
    /// The earliest for what stands there, as the last call that was to take it failed.
    standing: Cell<Option<Moment>>,
}

impl ArrivalTimes {
    /// For a socket with which nothing had come yet at such a moment.
    pub fn new(empty: Moment, clock: Clock, loop_ticks: LoopTicks) -> Self {
        let standing = Cell::new(None);
        Self { clock, loop_ticks, empty: Cell::new(empty), came: Cell::new(empty), standing }
    }

    /// Takes from the socket: `take` is pending while nothing stands there. It is called again where a signal interrupts it.
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

    /// The earliest at which what was taken last may have come.
    pub fn earliest_arrival(&self) -> Moment {
        self.came.get()
    }

    /// From when on a request counts whose last bytes were taken last. Threat: a deadline that is passed on longer than the client
    /// waits. It also catches a process that stood, an accept queue and a client that was not read. It may hurt where
    /// the bytes came late in a span in which the thread was busy: the request gets less time than it has.
    pub fn request_start(&self) -> Moment {
        let (now, came) = (self.clock.now(), self.came.get());
        if now.since(came) <= TOLERANCE { now } else { came }
    }
}
