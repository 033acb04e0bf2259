//! Takes in the connections of clients, as many as their part of the descriptors allows.

use std::net::TcpListener;
use std::sync::Arc;

use async_io::Async;
use async_lock::Semaphore;
use woadhook::Span;

use crate::front::{self, Hall, Leave};
use crate::sockets::Link;
use crate::tasks::Tasks;

/// After a failed accept, as when descriptors run out beyond this process.
const PAUSE: Span = Span::from_micros(20_000);

pub async fn accept(listener: Async<TcpListener>, part: Arc<Semaphore>, tasks: Tasks, hall: Hall) {
    for client in 0.. {
        let permit = part.acquire_arc().await;
        match listener.accept().await {
            Ok((stream, _)) => {
                let leave = Leave { client, module: hall.module.clone(), tasks };
                let serving = front::serve(Link::accepted(stream, permit), client, hall.clone());
                tasks.start(async move {
                    let _leave = leave;
                    serving.await;
                });
            }
            Err(error) => {
                log::warn!("accept: {error}");
                hall.clock.pass(PAUSE).await;
            }
        }
    }
}
