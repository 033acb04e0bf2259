//! Runs one dispatch: its query, to the end or until it is given up, and the report of its end.

use std::rc::Rc;

use async_channel::{Receiver, Sender};
use futures_lite::FutureExt;
use woadhook::Outcome;

use crate::backends::sql::end_notifier::EndNotifier;
use crate::backends::sql::engine::Engine;
use crate::backends::sql::query::Query;
use crate::exchange::{Dispatch, Event};

/// Runs a dispatch. `priorities` carries new priorities. It closes once the dispatch is cancelled, and the
/// query is given up then.
pub async fn run(engine: Rc<Engine>, dispatch: Dispatch, priorities: Receiver<u8>, events: Sender<Event>) {
    let query = Rc::new(Query::new(engine, dispatch, priorities, events));
    let mut notifier = EndNotifier::new(query.clone());
    let mut work = Box::pin(query.work());
    let end =
        async { Ok(work.as_mut().await) }.or(async { Err(query.send_priorities_until_stop().await) }).await;
    if !query.has_begun() && !query.dispatch.statement.client.is_waiting() {
        let _ = query.events.send(Event::JobAbandoned { job: query.dispatch.job }).await;
    }
    // A query that may still run is deleted before the dispatcher is notified, as only then another dispatch
    // of the job may be sent.
    let mut unfinished = None;
    let end = match end {
        Ok(end) => end,
        Err(_) if !query.has_begun() => (Outcome::NotIssued, None, None),
        Err(outcome) => {
            let mut work = Some(work);
            if !query.needs_post_connection().await {
                // The call under way is taken back, and only then is the query given up.
                work = None;
            }
            query.give_up().await;
            // A DELETE names the job's id, not the dispatch. Once the dispatcher is notified, a job whose
            // client still waits may be sent to the engine again, and a DELETE sent later would give up the
            // new query. After the notification, a DELETE is sent only for a query with an order key.
            let may_be_sent_again =
                query.dispatch.order_key.is_some() && query.dispatch.statement.client.is_waiting();
            if let (Some(work), true) = (&mut work, query.doubt.is_refused() || may_be_sent_again) {
                query.give_up_over_post_connection(work.as_mut()).await;
            } else {
                unfinished = work;
            }
            (outcome, None, None)
        }
    };
    let doubt = query.doubt.cause(end.0).filter(|_| query.has_begun());
    notifier.report(end, doubt).await;
    // Only the next job with the same order key waits for the end of this query.
    if let (Some(mut work), Some(_), Some(_)) = (unfinished, doubt, query.dispatch.order_key) {
        query.give_up_over_post_connection(work.as_mut()).await;
    }
    notifier.settle(doubt).await;
}
