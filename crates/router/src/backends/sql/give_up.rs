//! Giving up a query that is out, and finding out that it surely runs no more.

use std::pin::Pin;

use woadhook::{Moment, Span};

use crate::backends::sql::doubt::Settlement;
use crate::backends::sql::query::{ASK_AGAIN, End, Out, PAGE_BYTES, PAUSE, SETTLE};
use crate::clock::sleep;
use crate::faults::CallError;
use crate::http::request_head;
use crate::pool::PooledConnection;
use crate::sockets::with_timeout;

/// How long a query lives at most behind a call for it: news take up to 250 ms, and then 2 s without a call.
const EXPIRY: Span = Span::from_micros(2_250_000);
/// The status of a DELETE that gave its query up. By the protocol there is no other: behind any other, the engine may have failed, or what
/// answers is another server that has the port by now.
const DELETED: u16 = 204;

/// Over which connection a query is given up.
#[derive(Clone, Copy, Debug)]
enum Over {
    /// The one that its POST went over, which ends at the process that has the query.
    Own,
    /// Any other, which may end at a process that has the port by now.
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
            sleep(PAUSE).await;
        }
    }

    /// Gives up a query over the connection that its POST went over, once the call under way there is answered. Threat: an engine that
    /// drains closes its port and works on, so that a call over a new connection is refused, or reaches another process that has the port by
    /// now and confirms what it never had. It costs a key, behind a query that is given up, one call for news, 250 ms at most at an engine
    /// that is well; where that connection is gone, the query's expiry. Where a POST was not written whole, it never runs if it stays so.
    pub async fn give_up_over_own(&self, work: Pin<&mut impl Future<Output = End>>) {
        if self.is_posted.get() {
            self.stops.set(true);
            with_timeout(ASK_AGAIN, work).await;
        }
    }

    /// One call that gives it up.
    async fn delete(&self) -> Result<(), CallError> {
        let status = self.engine.control_call("DELETE", &self.path(), "").await;
        self.note_delete(Over::Another, status)
    }

    /// The same over the connection that its news came over, which no other query is sent over behind that: it may lead to a process that
    /// drains, while another has the port by now.
    pub async fn delete_over(&self, lease: &mut PooledConnection) {
        let head = request_head("DELETE", &self.path(), self.engine.address, &[], 0);
        let call = lease.call(&head, &[], PAGE_BYTES, |_| (), |_, _| ());
        let answer = with_timeout(self.engine.context.connect_timeout, call).await;
        lease.reusable = false;
        let status = answer.unwrap_or(Err(CallError::NoAnswerInTime)).map(|(status, _)| status);
        let over = if self.is_own.get() { Over::Own } else { Over::Another };
        if let Err(fault) = self.note_delete(over, status) {
            self.unheard("deleted over its connection", &fault);
        }
    }

    fn note_delete(&self, over: Over, status: Result<u16, CallError>) -> Result<(), CallError> {
        let status = status.inspect_err(|fault| self.doubt.note_break(fault))?;
        let (job, number) = (&self.dispatch.statement.id, self.dispatch.number);
        log::debug!(event = "delete_answered", job = job.as_str(), number, status, over:? = over; "DELETE answered {status} over {over:?}");
        match over {
            _ if status != DELETED => {}
            Over::Own => self.doubt.end(),
            Over::Another => self.doubt.note_deleted_by_address(),
        }
        Ok(())
    }

    /// When the engine has ended it by itself at the latest, as nobody asks for it any more.
    fn expires(&self) -> Moment {
        self.asked.get() + EXPIRY
    }

    /// Waits until it surely runs no more, and tells why: the process that has it said so, or something answers there so late that nobody
    /// asked for the query for as long as it lives, or the engine refuses every connection and its client's time
    /// is over, or it was told gone as long ago as a query lives that nobody asks for. But for the first of these it
    /// always waits for its expiry. Threat: a port that refuses shows that no query begins there, not that one that came
    /// before has ended, as an engine that drains closes its port and works on until it ends, some time after it is told
    /// gone; a process that was started anew, or has the port of another, knows nothing of it. The next of its key would run beside it. It also
    /// catches engines listed as gone early. Behind a reset, or an engine that fails, it costs the key the rest of the expiry; behind a
    /// crash all of the first one's time, or until the engine is told gone or answers anew.
    pub async fn settle(&self) -> Settlement {
        if self.doubt.is_over() {
            return Settlement::Confirmed;
        }
        let settlement = self.expiry_or_end_of_engine().await;
        self.engine.context.clock.sleep_until(self.expires()).await;
        settlement
    }

    async fn expiry_or_end_of_engine(&self) -> Settlement {
        let mut gone_since = None;
        while self.doubt.is_open() {
            sleep(SETTLE).await;
            let now = self.now();
            gone_since = self.engine.is_gone.get().then(|| gone_since.unwrap_or(now));
            if gone_since.is_some_and(|since| now.since(since) >= EXPIRY) {
                return Settlement::EngineGone;
            }
            let deleted = self.delete().await;
            if deleted.is_ok() && now >= self.expires() {
                return Settlement::Expired;
            }
            let refused = deleted.is_err_and(|fault| matches!(fault, CallError::Refused));
            if refused && now >= self.dispatch.deadline {
                return Settlement::RefusedAfterDeadline;
            }
        }
        Settlement::Expired
    }
}
