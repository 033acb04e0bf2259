//! Whether the engine list is fresh. Threat: a process that stood, stopped or starved, over a notice to drain and its grace: it goes on with the
//! list of before, and what waited in its sockets would go to engines that were drained meanwhile.

use std::cell::Cell;
use std::rc::Rc;

use event_listener::Event;
use futures_lite::FutureExt;
use woadhook::{Moment, Span};

use crate::arrivals::LoopTicks;
use crate::clock::Clock;

/// A thread that stood for longer than this part of the grace may have missed a notice.
const STOOD_PART: f64 = 0.25;
/// Part of the grace for which a fresh list is awaited at most: where discovery is away, the old list serves on as ever.
const AWAITED_PART: f64 = 0.25;

/// What discovery and queries share of the list's age. Clones share it.
#[derive(Clone)]
pub struct ListFreshness(Rc<Inner>);

struct Inner {
    clock: Clock,
    loop_ticks: LoopTicks,
    stood_for: Span,
    awaited_for: Span,
    /// When the last stand was found out, until a list that was asked for since has come or was awaited in vain.
    woke: Cell<Option<Moment>>,
    became_fresh: Event,
}

impl ListFreshness {
    pub fn new(clock: Clock, loop_ticks: LoopTicks, grace: Span) -> Self {
        let (stood_for, awaited_for) = (grace.mul_f64(STOOD_PART), grace.mul_f64(AWAITED_PART));
        let (woke, became_fresh) = (Cell::new(None), Event::new());
        Self(Rc::new(Inner { clock, loop_ticks, stood_for, awaited_for, woke, became_fresh }))
    }

    /// Whether the thread stood and no list came since that was asked for behind it.
    pub fn is_stale(&self) -> bool {
        let Inner { clock, loop_ticks, stood_for, awaited_for, woke, .. } = &*self.0;
        let now = clock.now();
        if loop_ticks.has_stalled(now, *stood_for) {
            woke.set(Some(now));
        }
        if woke.get().is_some_and(|woke| now >= woke + *awaited_for) {
            woke.set(None);
        }
        woke.get().is_some()
    }

    /// Notes that an answer to a call of discovery was taken in, which began at such a moment.
    pub fn list_received(&self, began: Moment) {
        if self.0.woke.get().is_some_and(|woke| began >= woke) {
            self.0.woke.set(None);
            self.0.became_fresh.notify(usize::MAX);
        }
    }

    /// Waits until it is fresh, or was awaited for as long as it may be. It may hurt behind a stand where discovery is away: queries wait that
    /// part of the grace once.
    pub async fn wait_until_fresh(&self) {
        while self.is_stale() {
            let became_fresh = self.0.became_fresh.listen();
            let Some(woke) = self.0.woke.get() else { return };
            became_fresh.or(self.0.clock.sleep_until(woke + self.0.awaited_for)).await;
        }
    }
}
