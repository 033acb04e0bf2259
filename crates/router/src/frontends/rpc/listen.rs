//! Takes in the connections of clients, as many as their part of the descriptors allows.

use std::cell::Cell;
use std::io;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::Arc;

use async_io::Async;
use async_lock::Semaphore;
use futures_lite::future::yield_now;
use rustix::io::Errno;
use socket2::SockRef;
use woadhook::Span;

use crate::arrivals::ArrivalTimes;
use crate::clock::{Clock, sleep};
use crate::frontends::rpc::connections::Connections;
use crate::frontends::rpc::front::{self, FrontendContext};
use crate::interrupted_calls;
use crate::sockets::{Socket, is_readable, with_timeout};

/// After an accept that failed for this machine's sake, as when descriptors run out beyond this process, and between looks for a place.
const PAUSE: Span = Span::from_micros(20_000);

/// What came to be taken in and was not yet.
#[derive(Clone)]
pub struct Acceptor {
    listener: Rc<Async<TcpListener>>,
    /// Whether a connection that was accepted waits for a place.
    holds_one: Rc<Cell<bool>>,
}

impl Acceptor {
    pub fn new(listener: TcpListener) -> io::Result<Self> {
        Ok(Self { listener: Rc::new(Async::new(listener)?), holds_one: Rc::default() })
    }

    /// The next connection. Threat: many that are aborted before they are taken in, each of which would keep the next client waiting.
    async fn next(&self, arrivals: &ArrivalTimes) -> Async<TcpStream> {
        let mut aborted = 0;
        loop {
            match arrivals.receive(async || self.accept_once().await).await {
                Ok(stream) => return stream,
                Err(error) if is_of_one_connection(&error) => {
                    log::debug!(event = "connection_aborted"; "accept: {error}");
                    aborted += 1;
                    if aborted % interrupted_calls::MAX_IMMEDIATE_TRIES == 0 {
                        sleep(interrupted_calls::RETRY_PAUSE).await;
                    }
                }
                Err(error) => {
                    log::warn!("accept: {error}");
                    sleep(PAUSE).await;
                }
            }
        }
    }

    /// One call for the next connection, once there is one. The standard library's goes round in place for as long as it is interrupted.
    async fn accept_once(&self) -> io::Result<Async<TcpStream>> {
        let (socket, _) = self.listener.read_with(|listener| SockRef::from(listener).accept()).await?;
        Async::new(socket.into())
    }

    /// Whether nothing waits: a client may have written a request to a connection that was not accepted yet.
    pub fn has_no_pending(&self) -> bool {
        !self.holds_one.get() && !is_readable(self.listener.get_ref())
    }
}

/// Whether the error speaks of the connection that was to be taken in and of no other, so that the next one is taken at once. Source:
/// accept(2), "Error handling" and EPERM.
fn is_of_one_connection(error: &io::Error) -> bool {
    matches!(
        Errno::from_io_error(error),
        Some(
            Errno::CONNABORTED
                | Errno::PROTO
                | Errno::PERM
                | Errno::TIMEDOUT
                | Errno::NETDOWN
                | Errno::NOPROTOOPT
                | Errno::HOSTDOWN
                | Errno::NONET
                | Errno::HOSTUNREACH
                | Errno::OPNOTSUPP
                | Errno::NETUNREACH
        )
    )
}

/// Takes in connections for as long as the router runs.
pub async fn accept(
    intake: Acceptor, part: Arc<Semaphore>, clock: Clock, connections: Connections, context: FrontendContext,
) {
    let arrivals = ArrivalTimes::new(clock.now(), clock, context.loop_ticks.clone());
    for client in 0.. {
        let stream = intake.next(&arrivals).await;
        intake.holds_one.set(true);
        let permit = loop {
            if let Some(permit) = part.try_acquire_arc() {
                break permit;
            }
            connections.send_off_one(clock.now());
            if let Some(permit) = with_timeout(PAUSE, part.acquire_arc()).await {
                break permit;
            }
        };
        let link = Rc::new(Socket::accepted(stream, permit));
        let registration = connections.enter(client, &link, clock.now());
        intake.holds_one.set(false);
        context.tasks.spawn(front::serve(
            link,
            client,
            registration,
            arrivals.earliest_arrival(),
            context.clone(),
        ));
        // Those taken in before are heard first.
        yield_now().await;
    }
}
