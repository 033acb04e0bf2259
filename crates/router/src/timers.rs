//! A timer wheel that holds all deadlines of this thread's router and is driven by a single timer of the
//! executor.

use std::cell::{Cell, RefCell};
use std::pin::Pin;
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};

use async_io::Timer;
use event_listener::Event;
use futures_lite::{FutureExt, future};
use woadhook::{Moment, Span};
use woadhook_flow_control::timer_wheel::{TimerKey, TimerWheel};

/// The resolution of the wheel.
const RESOLUTION: Span = Span::from_micros(1_000);
/// Maximum number of deadlines that are processed before other tasks run.
const MAX_EXPIRED_PER_STEP: usize = 256;

thread_local! {
    static TIMERS: Timers = Timers::new();
}

struct Timers {
    started: Instant,
    /// Entries are removed when deadlines end or are dropped.
    wheel: RefCell<TimerWheel<Waker>>,
    /// The time until which the driver sleeps; `None` while it is awake.
    asleep_until: Cell<Option<Moment>>,
    earlier_deadline: Event,
}

impl Timers {
    fn new() -> Self {
        let wheel = RefCell::new(TimerWheel::new(Moment::default(), RESOLUTION));
        Self { started: Instant::now(), wheel, asleep_until: Cell::new(None), earlier_deadline: Event::new() }
    }

    /// Time on the monotonic clock since this thread's first deadline.
    fn now(&self) -> Moment {
        Moment::from_micros(self.started.elapsed().as_micros() as u64)
    }

    fn start(&self, at: Moment, waker: Waker) -> TimerKey {
        let key = self.wheel.borrow_mut().insert(at, waker);
        if self.asleep_until.get().is_some_and(|until| at < until) {
            self.earlier_deadline.notify(1);
        }
        key
    }
}

/// Wakes the tasks whose deadlines have come, for as long as the thread's router runs.
pub async fn drive() {
    loop {
        let mut woken = 0;
        let due = TIMERS.with(|timers| {
            let now = timers.now();
            while woken < MAX_EXPIRED_PER_STEP {
                woken += 1;
                let Some(waker) = timers.wheel.borrow_mut().pop_expired(now, MAX_EXPIRED_PER_STEP) else {
                    break;
                };
                waker.wake();
            }
            let due = timers.wheel.borrow().next_wake();
            let due = due.unwrap_or(now + Span::from_micros(60_000_000));
            timers.asleep_until.set((due > now).then_some(due));
            (due > now).then(|| timers.started + Duration::from_micros(due.since(Moment::default()).micros()))
        });
        let Some(due) = due else {
            future::yield_now().await;
            continue;
        };
        let earlier_deadline = TIMERS.with(|timers| timers.earlier_deadline.listen());
        let slept = async {
            Timer::at(due).await;
        };
        slept.or(earlier_deadline).await;
    }
}

/// A future that completes at its deadline. If it is dropped before, its entry in the wheel is removed.
pub struct Sleep {
    at: Moment,
    key: Option<TimerKey>,
}

/// Completes when the span has passed.
pub fn sleep(span: Span) -> Sleep {
    Sleep { at: TIMERS.with(Timers::now) + span, key: None }
}

impl Future for Sleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        TIMERS.with(|timers| {
            if let Some(key) = self.key.take() {
                // Dropping a waker may run other code, so the wheel is not borrowed meanwhile.
                let waker = timers.wheel.borrow_mut().cancel(key);
                drop(waker);
            }
            if timers.now() >= self.at {
                return Poll::Ready(());
            }
            self.key = Some(timers.start(self.at, context.waker().clone()));
            Poll::Pending
        })
    }
}

impl Drop for Sleep {
    fn drop(&mut self) {
        if let Some(key) = self.key.take() {
            let _ = TIMERS.try_with(|timers| timers.wheel.borrow_mut().cancel(key));
        }
    }
}
