//! Takes in the connections of clients, as many as their part of the descriptors allows.

use std::net::TcpListener;
use std::sync::Arc;

use async_io::Async;
use async_lock::Semaphore;
use woadhook::Span;

use crate::clock::pass;
use crate::front::{self, Hall};
use crate::sockets::Link;

/// After a failed accept, as when descriptors run out beyond this process.
const PAUSE: Span = Span::from_micros(20_000);

pub async fn accept(listener: Async<TcpListener>, part: Arc<Semaphore>, hall: Hall) {
    for client in 0.. {
        let permit = part.acquire_arc().await;
        match listener.accept().await {
            Ok((stream, _)) => {
                hall.tasks.start(front::serve(Link::accepted(stream, permit), client, hall.clone()));
            }
            Err(error) => {
                log::warn!("accept: {error}");
                pass(PAUSE).await;
            }
        }
    }
}
