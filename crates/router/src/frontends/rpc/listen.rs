//! Takes in the connections of clients, as many as their part of the descriptors allows.

use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Arc;

use async_io::Async;
use async_lock::Semaphore;
use futures_lite::future::yield_now;
use woadhook::Span;

use crate::clock::{Clock, pass};
use crate::frontends::rpc::connections::Connections;
use crate::frontends::rpc::front::{self, Hall};
use crate::sockets::{Link, within};

/// After a failed accept, as when descriptors run out beyond this process, and between looks for a place.
const PAUSE: Span = Span::from_micros(20_000);

pub async fn accept(
    listener: Async<TcpListener>, part: Arc<Semaphore>, clock: Clock, connections: Connections, hall: Hall,
) {
    for client in 0.. {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("accept: {error}");
                pass(PAUSE).await;
                continue;
            }
        };
        let mut permit = part.try_acquire_arc();
        while permit.is_none() {
            connections.send_off_one(clock.now());
            permit = within(PAUSE, part.acquire_arc()).await;
        }
        let Some(permit) = permit else { continue };
        let link = Rc::new(Link::accepted(stream, permit));
        let stay = connections.enter(client, &link, clock.now());
        hall.tasks.start(front::serve(link, client, stay, hall.clone()));
        // Those taken in before are heard first.
        yield_now().await;
    }
}
