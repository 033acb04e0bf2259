//! Takes in the connections of clients, as many as their part of the descriptors allows.

use std::cell::Cell;
use std::io;
use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Arc;

use async_io::Async;
use async_lock::Semaphore;
use futures_lite::future::yield_now;
use woadhook::Span;

use crate::arrivals::Arrivals;
use crate::clock::{Clock, pass};
use crate::frontends::rpc::connections::Connections;
use crate::frontends::rpc::front::{self, FrontendContext};
use crate::sockets::{Link, is_readable, within};

/// After a failed accept, as when descriptors run out beyond this process, and between looks for a place.
const PAUSE: Span = Span::from_micros(20_000);

/// What came to be taken in and was not yet.
#[derive(Clone)]
pub struct Intake {
    listener: Rc<Async<TcpListener>>,
    /// Whether a connection that was accepted waits for a place.
    holds_one: Rc<Cell<bool>>,
}

impl Intake {
    pub fn new(listener: TcpListener) -> io::Result<Self> {
        Ok(Self { listener: Rc::new(Async::new(listener)?), holds_one: Rc::default() })
    }

    /// Whether nothing waits: a client may have written a request to a connection that was not accepted yet.
    pub fn is_empty(&self) -> bool {
        !self.holds_one.get() && !is_readable(self.listener.get_ref())
    }
}

pub async fn accept(
    intake: Intake, part: Arc<Semaphore>, clock: Clock, connections: Connections, context: FrontendContext,
) {
    let listener = &intake.listener;
    let arrivals = Arrivals::since(clock.now(), clock, context.rounds.clone());
    for client in 0.. {
        let stream = match arrivals.taking(listener.accept()).await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("accept: {error}");
                pass(PAUSE).await;
                continue;
            }
        };
        intake.holds_one.set(true);
        let permit = loop {
            if let Some(permit) = part.try_acquire_arc() {
                break permit;
            }
            connections.send_off_one(clock.now());
            if let Some(permit) = within(PAUSE, part.acquire_arc()).await {
                break permit;
            }
        };
        let link = Rc::new(Link::accepted(stream, permit));
        let registration = connections.enter(client, &link, clock.now());
        intake.holds_one.set(false);
        context.tasks.start(front::serve(link, client, registration, arrivals.came(), context.clone()));
        // Those taken in before are heard first.
        yield_now().await;
    }
}
