//! Whether the engine list is fresh. Threat: a process is stopped or starved of CPU until after an engine was
//! reported to drain and its grace period ended. The process would continue with the old list, and requests
//! that waited in its sockets would go to engines that were drained meanwhile.

use std::cell::Cell;
use std::rc::Rc;

use event_listener::Event;
use futures_lite::FutureExt;
use woadhook::{Moment, Span};

use crate::arrivals::LoopTicks;
use crate::clock::Clock;

/// A thread that stalled for longer than this fraction of the grace period may have missed a change of the
/// list.
const STALL_FRACTION: f64 = 0.25;
/// Maximum wait for a fresh list, as a fraction of the grace period. If discovery is unreachable, the old
/// list stays in use after that.
const MAX_WAIT_FRACTION: f64 = 0.25;

/// The age of the list, as discovery and queries share it. Clones share the state.
#[derive(Clone)]
pub struct ListFreshness(Rc<Inner>);

struct Inner {
    clock: Clock,
    loop_ticks: LoopTicks,
    stall_threshold: Span,
    max_wait: Span,
    /// When the last stall was detected; `None` once a list that was requested after it has arrived, or the
    /// maximum wait is over.
    stalled_at: Cell<Option<Moment>>,
    became_fresh: Event,
}

impl ListFreshness {
    pub fn new(clock: Clock, loop_ticks: LoopTicks, grace: Span) -> Self {
        let (stall_threshold, max_wait) = (grace.mul_f64(STALL_FRACTION), grace.mul_f64(MAX_WAIT_FRACTION));
        let (stalled_at, became_fresh) = (Cell::new(None), Event::new());
        Self(Rc::new(Inner { clock, loop_ticks, stall_threshold, max_wait, stalled_at, became_fresh }))
    }

    /// Whether the thread stalled and no list that was requested after the stall has arrived. False again
    /// once the maximum wait is over.
    pub fn is_stale(&self) -> bool {
        let Inner { clock, loop_ticks, stall_threshold, max_wait, stalled_at, .. } = &*self.0;
        let now = clock.now();
        if loop_ticks.has_stalled(now, *stall_threshold) {
            stalled_at.set(Some(now));
        }
        if stalled_at.get().is_some_and(|stalled_at| now >= stalled_at + *max_wait) {
            stalled_at.set(None);
        }
        stalled_at.get().is_some()
    }

    /// Records that the answer to a discovery call that began at the given moment has been applied.
    pub fn list_received(&self, began: Moment) {
        if self.0.stalled_at.get().is_some_and(|stalled_at| began >= stalled_at) {
            self.0.stalled_at.set(None);
            self.0.became_fresh.notify(usize::MAX);
        }
    }

    /// Waits until the list is fresh or the maximum wait is over. After a stall while discovery is
    /// unreachable, this costs time: queries wait once for `MAX_WAIT_FRACTION` of the grace period.
    pub async fn wait_until_fresh(&self) {
        while self.is_stale() {
            let became_fresh = self.0.became_fresh.listen();
            let Some(stalled_at) = self.0.stalled_at.get() else { return };
            became_fresh.or(self.0.clock.sleep_until(stalled_at + self.0.max_wait)).await;
        }
    }
}
