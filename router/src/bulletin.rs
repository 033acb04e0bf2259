//! The actor of the bulletin: it asks for the next events over and over and passes them on, none left out.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use async_channel::Sender;
use async_lock::Semaphore;
use serde_json::Value;
use woadhook::Span;
use woadhook_door::fields::*;

use crate::clock::pass;
use crate::decide::Event;
use crate::engine::head;
use crate::http::Connection;
use crate::sockets::{Link, limited};

const LIST_BYTES: usize = 4 * 1024 * 1024;
/// The longest patience that a bulletin grants.
const LONGEST: Span = Span::from_micros(5_000_000);
/// `last` is the number of the last event known. A change is to be heard within `grace` even over a connection
/// that went silent, so each call waits for a quarter of it only; after a fault it asks again
/// on a new connection soon.
pub async fn follow(
    address: SocketAddr, connect_timeout: Span, grace: Span, mut last: u64, module: Sender<Event>,
) {
    let part = Arc::new(Semaphore::new(1));
    let patience = grace.times(0.25).min(LONGEST);
    let mut fault = String::new();
    while !module.is_closed() {
        if let Ok(link) = Link::connect(address, connect_timeout, part.acquire_arc().await).await {
            let mut connection = Connection::new(link);
            let asked = ask(&mut connection, address, patience, connect_timeout, &mut last, &module).await;
            if let Err(error) = asked.map_err(|error| error.to_string()) {
                if error != fault {
                    log::warn!("bulletin: {error}");
                }
                fault = error;
            }
        }
        pass(patience.times(0.25)).await;
    }
}

async fn ask(
    connection: &mut Connection, address: SocketAddr, patience: Span, slack: Span, last: &mut u64,
    module: &Sender<Event>,
) -> io::Result<()> {
    loop {
        let path = format!("/bulletins?after={last}&patience={}", patience.micros() / 1000);
        let head = head("GET", &path, address, &[], 0);
        let call = connection.call(&head, &[], LIST_BYTES, || (), |_, _| ());
        let (status, body) = limited(patience + slack, call).await?;
        if status != 200 {
            return Err(io::Error::other(format!("status {status}")));
        }
        let told: Value = serde_json::from_slice(&body)?;
        pass_on(&told, last, module).await.map_err(io::Error::other)?;
        if !connection.reusable {
            return Ok(());
        }
    }
}

/// Passes on the events behind `last`. After a gap only a whole list will do.
pub async fn pass_on(told: &Value, last: &mut u64, module: &Sender<Event>) -> Result<()> {
    for item in rows(told, "items")? {
        let number = whole(item, "no")?;
        if number <= *last {
            continue;
        }
        if let Some(roster) = item.get("roster") {
            if number != *last + 1 && !mark(roster, "complete") {
                return Err(format!("event {} is missing", *last + 1));
            }
            let (read, answer) = async_channel::bounded(1);
            let _ = module.send(Event::Listed { roster: roster.clone(), read }).await;
            answer.recv().await.map_err(|_| "no module".to_owned())??;
        }
        *last = number;
    }
    Ok(())
}
