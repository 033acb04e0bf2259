//! Giving up a query that is out, and finding out that it surely runs no more.

use std::pin::Pin;

use woadhook::{Moment, Span};

use crate::backends::sql::doubt::Settlement;
use crate::backends::sql::query::{ASK_AGAIN, End, Out, PAGE_BYTES, PAUSE, SETTLE};
use crate::clock::pass;
use crate::faults::CallFault;
use crate::http::head;
use crate::pool::Lease;
use crate::sockets::within;

/// How long a query lives at most behind a call for it: news take up to 250 ms, and then 2 s without a call.
const EXPIRY: Span = Span::from_micros(2_250_000);
/// The status of a DELETE that gave its query up. By the protocol there is no other: behind any other, the engine may have failed, or what
/// answers is another server that has the port by now.
const DELETED: u16 = 204;

/// Over which connection a query is given up.
#[derive(Clone, Copy, Debug)]
enum Over {
    /// The one that its news came over.
    Own,
    Another,
}

impl Out {
    /// Deletes the query, until an engine has answered that, nothing listens there, or nobody asked for it so long
    /// that the engine has ended it by itself, unless it hangs.
    pub async fn give_up(&self) {
        self.doubt.give_up();
        while let Err(error) = self.delete().await {
            self.unheard("deleted", &error);
            if self.doubt.is_refused() || self.now() >= self.expires() {
                return;
            }
            pass(PAUSE).await;
        }
    }

    /// Gives up a query at an engine that takes no new connection: over its own, once the call under way there is answered.
    /// Threat: an engine that drains closes its port and works on, so that no other call reaches it. It costs the dispatch
    /// that was given up a call's time more.
    pub async fn give_up_behind(&self, work: Pin<&mut impl Future<Output = End>>) {
        if self.doubt.is_refused() && self.doubt.is_open() {
            self.stops.set(true);
            within(ASK_AGAIN, work).await;
        }
    }

    /// One call that gives it up.
    async fn delete(&self) -> Result<(), CallFault> {
        let status = self.engine.control_call("DELETE", &self.path(), "").await;
        self.note_delete(Over::Another, status)
    }

    /// The same over a connection that is up.
    pub async fn delete_over(&self, lease: &mut Lease) {
        let head = head("DELETE", &self.path(), self.engine.address, &[], 0);
        let call = lease.call(&head, &[], PAGE_BYTES, |_| (), |_, _| ());
        let answer = within(self.engine.context.connect_timeout, call).await;
        let status = answer.unwrap_or(Err(CallFault::NoAnswerInTime)).map(|(status, _)| status);
        if let Err(fault) = self.note_delete(Over::Own, status) {
            self.unheard("deleted over its connection", &fault);
        }
    }

    fn note_delete(&self, over: Over, status: Result<u16, CallFault>) -> Result<(), CallFault> {
        let status = status.inspect_err(|fault| self.doubt.note_break(fault))?;
        let (job, number) = (&self.dispatch.statement.id, self.dispatch.number);
        log::debug!(event = "delete_answered", job = job.as_str(), number, status, over:? = over; "DELETE answered {status} over {over:?}");
        if status == DELETED {
            self.doubt.settle();
        }
        Ok(())
    }

    /// When the engine has ended it by itself at the latest, as nobody asks for it any more.
    fn expires(&self) -> Moment {
        self.asked.get() + EXPIRY
    }

    /// Waits until it surely runs no more, and tells why: a DELETE was confirmed, or something answers there so late that nobody asked
    /// for the query for as long as it lives, or the engine refuses every connection and its client's time
    /// is over, or it was told gone as long ago as a query lives that nobody asks for. Behind a connection that broke it
    /// always waits for its expiry. Threat: a port that refuses shows that no query begins there, not that one that came
    /// before has ended, as an engine that drains closes its port and works on until it ends, some time after it is told
    /// gone; a process that was started anew knows nothing of it. The next of its key would run beside it. It also
    /// catches engines listed as gone early. Behind a reset, or an engine that fails, it costs the key the rest of the expiry; behind a
    /// crash all of the first one's time, or until the engine is told gone or answers anew.
    pub async fn settle(&self) -> Settlement {
        let mut gone_since = None;
        let mut settlement = Settlement::Deleted;
        while self.doubt.is_open() {
            pass(SETTLE).await;
            let now = self.now();
            gone_since = self.engine.gone.get().then(|| gone_since.unwrap_or(now));
            if gone_since.is_some_and(|since| now.since(since) >= EXPIRY) {
                settlement = Settlement::EngineGone;
                break;
            }
            let deleted = self.delete().await;
            if deleted.is_ok() && self.doubt.is_open() && now >= self.expires() {
                settlement = Settlement::Expired;
                break;
            }
            let refused = deleted.is_err_and(|fault| matches!(fault, CallFault::Refused));
            if refused && now >= self.dispatch.until {
                settlement = Settlement::RefusedAfterDeadline;
                break;
            }
        }
        if self.doubt.is_open() || self.doubt.is_broken() {
            self.engine.context.clock.until(self.expires()).await;
            if settlement == Settlement::Deleted {
                settlement = Settlement::Expired;
            }
        }
        settlement
    }
}
