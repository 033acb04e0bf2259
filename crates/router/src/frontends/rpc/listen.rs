//! Accepts client connections, as many as their share of the descriptors allows.

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

/// Pause after an accept that failed because of this machine, as when descriptors run out outside this
/// process, and between attempts to obtain a free descriptor.
const RETRY_PAUSE: Span = Span::from_micros(20_000);

/// The listening socket and the connection that is being accepted from it.
#[derive(Clone)]
pub struct Acceptor {
    listener: Rc<Async<TcpListener>>,
    /// Whether an accepted connection waits for a free descriptor.
    holds_accepted: Rc<Cell<bool>>,
}

impl Acceptor {
    pub fn new(listener: TcpListener) -> io::Result<Self> {
        Ok(Self { listener: Rc::new(Async::new(listener)?), holds_accepted: Rc::default() })
    }

    /// Returns the next connection. Threat: many connections are aborted before they are accepted, and a
    /// pause after each of them would delay the next client.
    async fn next_connection(&self, arrivals: &ArrivalTimes) -> Async<TcpStream> {
        let mut aborted = 0;
        loop {
            match arrivals.receive(async || self.accept_once().await).await {
                Ok(stream) => return stream,
                Err(error) if concerns_one_connection(&error) => {
                    log::debug!(event = "connection_aborted"; "accept: {error}");
                    aborted += 1;
                    if aborted % interrupted_calls::MAX_IMMEDIATE_TRIES == 0 {
                        sleep(interrupted_calls::RETRY_PAUSE).await;
                    }
                }
                Err(error) => {
                    log::warn!("accept: {error}");
                    sleep(RETRY_PAUSE).await;
                }
            }
        }
    }

    /// Accepts the next connection with one system call, once there is one. The standard library's accept
    /// repeats the call for as long as it is interrupted.
    async fn accept_once(&self) -> io::Result<Async<TcpStream>> {
        let (socket, _) = self.listener.read_with(|listener| SockRef::from(listener).accept()).await?;
        Async::new(socket.into())
    }

    /// Whether no connection waits to be accepted. The router checks this before it stops, as a client may
    /// have written a request to a connection that was not accepted yet.
    pub fn has_no_pending(&self) -> bool {
        !self.holds_accepted.get() && !is_readable(self.listener.get_ref())
    }
}

/// Whether the error concerns only the connection that was to be accepted, so that the next one can be
/// accepted at once. Source: accept(2), "Error handling" and EPERM.
fn concerns_one_connection(error: &io::Error) -> bool {
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

/// Accepts connections for as long as the router runs.
pub async fn accept(
    acceptor: Acceptor, descriptors: Arc<Semaphore>, clock: Clock, connections: Connections,
    context: FrontendContext,
) {
    let arrivals = ArrivalTimes::new(clock.now(), clock, context.loop_ticks.clone());
    for client in 0.. {
        let stream = acceptor.next_connection(&arrivals).await;
        acceptor.holds_accepted.set(true);
        let permit = loop {
            if let Some(permit) = descriptors.try_acquire_arc() {
                break permit;
            }
            connections.close_idlest(clock.now());
            if let Some(permit) = with_timeout(RETRY_PAUSE, descriptors.acquire_arc()).await {
                break permit;
            }
        };
        let socket = Rc::new(Socket::accepted(stream, permit));
        let registration = connections.register(client, &socket, clock.now());
        acceptor.holds_accepted.set(false);
        context.tasks.spawn(front::serve(
            socket,
            client,
            registration,
            arrivals.earliest_arrival(),
            context.clone(),
        ));
        // Connections accepted earlier are served first.
        yield_now().await;
    }
}
