//! Gives up a query that was sent, by DELETE, and determines when it has certainly ended.

use std::pin::Pin;

use woadhook::{Moment, Span};

use crate::backends::sql::doubt::Settlement;
use crate::backends::sql::query::{
    ANSWER_TIMEOUT, MAX_PAGE_BYTES, Query, QueryEnd, RETRY_PAUSE, SETTLE_INTERVAL,
};
use crate::clock::sleep;
use crate::faults::CallError;
use crate::http::request_head;
use crate::pool::PooledConnection;
use crate::sockets::with_timeout;

/// Maximum time that a query runs on after the engine was last asked for it: the answer to a poll may take up
/// to 250 ms, and an engine ends a query after 2 s without a poll.
const QUERY_EXPIRY: Span = Span::from_micros(2_250_000);
/// Status of a DELETE that gave its query up, the only one in the protocol. After any other status, the
/// engine may have failed, or another server that now has the port may have answered.
const GIVEN_UP_STATUS: u16 = 204;

/// An attempt must not begin later than this after its client has left or its time is over.
const MAX_LATE_START: Span = Span::from_micros(100_000);

/// How long a DELETE waits for its answer once the query's expiry is over, so that an engine that answers late
/// is heard at last.
const LATE_ANSWER_TIMEOUT: Span = Span::from_micros(2_000_000);

/// The connection over which a query is given up.
#[derive(Clone, Copy, Debug)]
enum Over {
    /// The connection that carried its POST, which leads to the process that has the query.
    Own,
    /// Any other connection, which may lead to another process that now has the port.
    Another,
}

impl Query {
    /// Gives the query up. The call is repeated until a process answers it, a connection is refused, or the
    /// query was not polled for so long that the engine has ended it by itself, unless the engine hangs.
    ///
    /// Threat: an engine that hangs may have an unread POST in its receive buffer, where no reset reaches it,
    /// and starts the query when it goes on. A further dispatch of the job would run beside it. This defence
    /// costs a delay: a job whose POST met a hanging engine waits until the engine answers again, refuses
    /// connections or is listed as gone, or until the client's deadline.
    pub async fn give_up(&self) {
        self.doubt.record_give_up();
        while let Err(error) = self.delete_and_confirm().await {
            self.log_no_answer("deleted", &error);
            let is_expired = self.now() >= self.expiry() && !self.may_be_unread();
            let is_refused = self.doubt.is_refused();
            if is_expired || (is_refused && !self.may_run_behind_closed_port()) {
                return;
            }
            sleep(if is_refused { SETTLE_INTERVAL } else { RETRY_PAUSE }).await;
        }
        self.wait_for_replaced_process().await;
    }

    /// Waits for the query's expiry if another process may have answered for the one that has the query, and
    /// another dispatch of the job may follow. Threat: an engine that drains closes its port and continues to
    /// run its queries, and a process that takes over the port confirms the end of a query that it never had.
    /// Another dispatch of the job would run beside it. The defence costs a delay: at an engine that drains,
    /// is gone or was replaced, such a job waits for the expiry.
    pub async fn wait_for_replaced_process(&self) {
        if !self.engine.is_live.get() && self.may_be_repeated() {
            self.engine.context.clock.sleep_until(self.expiry()).await;
        }
    }

    /// Whether the query's end is to be learned over the connection that carried its POST, so that this
    /// connection must stay up: the next job of its order key waits for that end, and the engine's machine
    /// responds at once. Otherwise the call under way there is taken back. Threat: a network partition or a
    /// full receive buffer holds the call back, and it arrives after the client has left. Where the engine
    /// responds later than usual, this defence costs a delay: the order key waits for the query's expiry.
    pub async fn needs_post_connection(&self) -> bool {
        if self.dispatch.order_key.is_none() {
            return false;
        }
        self.doubt.record_give_up();
        let deleted = with_timeout(MAX_LATE_START, self.delete()).await;
        matches!(deleted, Some(Ok(()) | Err(CallError::Refused | CallError::Broken(_))))
    }

    /// Whether the engine may have received the POST without having read it, and another dispatch of the job
    /// may follow: the engine's machine was reachable after the POST began, and the engine has not answered.
    /// A machine that was not reachable has received nothing that a reset does not take back.
    fn may_be_unread(&self) -> bool {
        let was_reachable =
            self.begun_at.get().is_some_and(|begun_at| self.engine.connected_at.get() > begun_at);
        let is_unanswered = self.is_posted.get() && !self.is_received.get();
        self.may_be_repeated() && was_reachable && is_unanswered && !self.engine.is_gone.get()
    }

    /// Whether the query may run on although its engine refuses connections, and another dispatch of the job
    /// may follow. Threat: an engine that drains closes its port and continues to run its queries until they
    /// expire. If the connection of the query broke at an engine that is not known to drain, its process has
    /// ended. The defence costs a delay: behind an engine that drains, such a job waits for the expiry.
    pub fn may_run_behind_closed_port(&self) -> bool {
        let has_process_ended = self.engine.is_live.get() && self.doubt.has_connection_broken();
        self.may_be_repeated() && !has_process_ended && self.now() < self.expiry()
    }

    /// Whether another dispatch of the job may follow, which must not run beside this one.
    fn may_be_repeated(&self) -> bool {
        self.dispatch.exclusive_until.is_some_and(|until| self.now() < until)
            && self.dispatch.statement.client.is_waiting()
    }

    /// Gives the query up with one call, and with another after a pause if the POST was not answered. Threat:
    /// the POST and the DELETE arrive over different connections, so an engine may read the DELETE first and
    /// start the query after it. The defence costs the pause.
    async fn delete_and_confirm(&self) -> Result<(), CallError> {
        self.delete().await?;
        if self.is_received.get() {
            return Ok(());
        }
        sleep(SETTLE_INTERVAL).await;
        self.delete().await
    }

    /// Gives up a query over the connection that carried its POST, once the call under way there is answered.
    /// Threat: a draining engine closes its port and continues to run its queries, so that a call over a new
    /// connection is refused, or reaches another process that now has the port and confirms the end of a
    /// query that it never had. Each time, the defence costs a delay: the order key of the query waits for
    /// one poll, at most 250 ms at a healthy engine, or for the query's expiry if that connection is gone.
    /// Nothing is done for a POST that was not written completely, as no engine runs its query while bytes
    /// are missing.
    pub async fn give_up_over_post_connection(&self, work: Pin<&mut impl Future<Output = QueryEnd>>) {
        if self.is_posted.get() {
            self.give_up_requested.set(true);
            with_timeout(ANSWER_TIMEOUT, work).await;
        }
    }

    /// Gives the query up with one call.
    async fn delete(&self) -> Result<(), CallError> {
        let is_expired = self.now() >= self.expiry();
        let answer_timeout =
            if is_expired { LATE_ANSWER_TIMEOUT } else { self.engine.context.connect_timeout };
        let status = self.engine.control_call("DELETE", &self.path(), "", answer_timeout).await;
        self.record_delete(Over::Another, status)
    }

    /// Gives the query up over the connection of its polls. The connection carries no other query after that,
    /// because it may lead to a draining process while another process now has the port.
    pub async fn delete_over(&self, connection: &mut PooledConnection) {
        let head = request_head("DELETE", &self.path(), self.engine.address, &[], 0);
        let call = connection.call(&head, &[], MAX_PAGE_BYTES, |_| (), |_, _| ());
        let answer = with_timeout(self.engine.context.connect_timeout, call).await;
        connection.reusable = false;
        let status = answer.unwrap_or(Err(CallError::NoAnswerInTime)).map(|(status, _)| status);
        let over = if self.on_post_connection.get() { Over::Own } else { Over::Another };
        if let Err(error) = self.record_delete(over, status) {
            self.log_no_answer("deleted over its connection", &error);
        }
    }

    /// Records the answer to a DELETE, or that there was none.
    fn record_delete(&self, over: Over, status: Result<u16, CallError>) -> Result<(), CallError> {
        let status = status.inspect_err(|error| self.doubt.record_break(error))?;
        let (job, number) = (&self.dispatch.statement.id, self.dispatch.number);
        log::debug!(event = "delete_answered", job = job.as_str(), number, status, over:? = over; "DELETE answered {status} over {over:?}");
        match over {
            _ if status != GIVEN_UP_STATUS => {}
            Over::Own => self.doubt.record_end(),
            Over::Another => self.doubt.record_deleted_by_address(),
        }
        Ok(())
    }

    /// The time by which the engine has ended the query by itself, because it is no longer polled.
    fn expiry(&self) -> Moment {
        self.last_asked.get() + QUERY_EXPIRY
    }

    /// Waits until the query has certainly ended, and returns why: the process that has it reported so;
    /// a process answers at the address after the query, which is no longer polled, has expired; the engine
    /// refuses connections and the client's deadline has passed; or the engine has been listed as gone for as
    /// long as an unpolled query may run on. In all cases but the first, it waits for the query's expiry.
    ///
    /// Threat: a port that refuses connections shows that no query begins there, not that an earlier one has
    /// ended, because a draining engine closes its port and continues to run its queries until it ends, some
    /// time after it is listed as gone; a process that was restarted, or that took over the port of another,
    /// does not know the query. The next query of the same key would run beside it. The wait for the expiry
    /// also covers engines that are listed as gone before they have ended. The defence costs a delay: after a
    /// reset, or with an engine that fails, the key waits for the rest of the expiry; after a crash, it waits
    /// for the whole deadline of the first query, or until the engine is listed as gone or answers again.
    pub async fn settle(&self) -> Settlement {
        if self.doubt.has_ended() {
            return Settlement::Confirmed;
        }
        let settlement = self.expiry_or_end_of_engine().await;
        self.engine.context.clock.sleep_until(self.expiry()).await;
        settlement
    }

    async fn expiry_or_end_of_engine(&self) -> Settlement {
        let mut gone_since = None;
        while self.doubt.has_cause() {
            sleep(SETTLE_INTERVAL).await;
            let now = self.now();
            gone_since = self.engine.is_gone.get().then(|| gone_since.unwrap_or(now));
            if gone_since.is_some_and(|since| now.since(since) >= QUERY_EXPIRY) {
                return Settlement::EngineGone;
            }
            let deleted = self.delete_and_confirm().await;
            if deleted.is_ok() && now >= self.expiry() {
                return Settlement::Expired;
            }
            let refused = deleted.is_err_and(|error| matches!(error, CallError::Refused));
            if refused && now >= self.dispatch.deadline {
                return Settlement::RefusedAfterDeadline;
            }
        }
        Settlement::Expired
    }
}
