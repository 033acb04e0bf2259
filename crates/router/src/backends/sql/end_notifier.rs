//! Reports the end of a dispatch, and of its query, whatever happens to the dispatch's task.

use std::rc::Rc;

use woadhook::Outcome;

use crate::backends::sql::doubt::Cause;
use crate::backends::sql::query::{Query, QueryEnd, SETTLE_INTERVAL};
use crate::clock::sleep;
use crate::exchange::{Dispatch, Event};

/// Sends the notifications about one dispatch to the dispatcher, whatever happens to the dispatch's task. The
/// first reports that the dispatch ended. If the query may still run and the dispatch has an order key, a
/// second one reports that the query has certainly ended. Threat: after a panic of the task, the dispatcher
/// would wait forever for the end of the dispatch, or the next job of the same key would run beside the
/// query. If the fault repeats, this defence costs another attempt to give the query up once every
/// `SETTLE_INTERVAL`.
pub struct EndNotifier {
    query: Rc<Query>,
    /// Whether the query was given up after a panic.
    is_given_up: bool,
    is_reported: bool,
    is_settled: bool,
}

impl EndNotifier {
    pub fn new(query: Rc<Query>) -> Self {
        Self { query, is_given_up: false, is_reported: false, is_settled: false }
    }

    /// Reports the end of the dispatch, and whether its query may still run.
    pub async fn report(&mut self, (outcome, actual_cost, result): QueryEnd, doubt: Option<Cause>) {
        let Dispatch { job, number, decided_at, .. } = self.query.dispatch;
        let took = self.query.now().since(decided_at);
        self.is_reported = true;
        let in_doubt = doubt.is_some();
        let ended = Event::DispatchEnded { job, number, outcome, took, actual_cost, result, in_doubt };
        let _ = self.query.events.send(ended).await;
    }

    /// Waits until the query has certainly ended, and then releases the order key. The dispatch's end was
    /// reported before, so that only the next job of the same key waits.
    pub async fn settle(mut self, doubt: Option<Cause>) {
        if let Some((order_key, cause)) = self.query.dispatch.order_key.zip(doubt) {
            let (job, number) = (&self.query.dispatch.statement.id, self.query.dispatch.number);
            log::debug!(event = "key_in_doubt", job = job.as_str(), number, cause:? = cause; "its key is in doubt: {cause:?}");
            let settlement = self.query.settle().await;
            log::debug!(event = "key_settled", job = job.as_str(), number, settlement:? = settlement; "its key is settled: {settlement:?}");
            let _ = self.query.events.send(Event::KeySettled { order_key }).await;
        }
        self.is_settled = true;
    }

    /// Sends the missing notifications after a panic. Nothing is known then about the query, so it counts as
    /// one that may still run. Threat: another dispatch of the job would run beside it, so it is given up
    /// before its end is reported, unless that panics too.
    async fn resume(mut self) {
        let may_be_repeated = self.query.has_begun() && self.query.dispatch.exclusive_until.is_some();
        if !self.is_reported && may_be_repeated && !std::mem::replace(&mut self.is_given_up, true) {
            self.query.give_up().await;
        }
        if !self.is_reported {
            self.report((Outcome::Reset, None, None), Some(Cause::Panic)).await;
        }
        sleep(SETTLE_INTERVAL).await;
        self.settle(Some(Cause::Panic)).await;
    }
}

impl Drop for EndNotifier {
    fn drop(&mut self) {
        if self.is_settled {
            return;
        }
        self.query.doubt.record_panic();
        let rest = EndNotifier {
            query: self.query.clone(),
            is_given_up: self.is_given_up,
            is_reported: self.is_reported,
            is_settled: false,
        };
        self.query.engine.context.tasks.spawn(rest.resume());
    }
}
