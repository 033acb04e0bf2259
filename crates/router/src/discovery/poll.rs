//! The actor of discovery: it asks for the next events over and over and passes them on, none left out.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use async_channel::{Receiver, Sender};
use async_lock::Semaphore;
use futures_lite::{FutureExt, future};
use serde_json::Value;
use woadhook::Span;
use woadhook_door::fields::*;

use crate::clock::{Clock, pass};
use crate::exchange::Event;
use crate::http::{Connection, head};
use crate::sockets::{Link, limited};

const LIST_BYTES: usize = 4 * 1024 * 1024;
/// The longest patience that it grants.
const LONGEST: Span = Span::from_micros(5_000_000);

/// So often an event that can't be read is asked for again, as that may be noise on the connection. Threat: a line that makes
/// no sense for good would hide all that comes behind it, notices to drain among it. Then the lines that do are taken.
const DOUBTS: usize = 3;

/// Where discovery is from now on, and the events that were known with that.
pub struct Move {
    pub to: SocketAddr,
    pub known: Value,
}

enum Heard {
    Told(io::Result<Value>),
    Moved(Move),
}

/// `last` is the number of the last event known, which goes on at a new address. A change is to be heard
/// within `grace` even over a connection that went silent, so each call waits for a quarter of it only; after
/// a fault it asks again on a new connection soon.
pub async fn follow(
    clock: Clock, mut address: SocketAddr, connect_timeout: Span, grace: Span, mut last: u64,
    moves: Receiver<Move>, module: Sender<Event>,
) {
    let part = Arc::new(Semaphore::new(1));
    let patience = grace.times(0.25).min(LONGEST);
    let mut connection = None;
    let (mut fault, mut faulty, mut doubts) = (String::new(), false, 0);
    while !module.is_closed() {
        let asked = async {
            if faulty {
                pass(patience.times(0.25)).await;
            }
            let path = format!("/bulletins?after={last}&patience={}", patience.micros() / 1000);
            Heard::Told(ask(clock, &mut connection, &part, address, &path, patience, connect_timeout).await)
        };
        let moved = async {
            match moves.recv().await {
                Ok(to) => Heard::Moved(to),
                Err(_) => future::pending().await,
            }
        };
        // Passing on is never cut short, so that each event is told whole and its number kept.
        let passed = match moved.or(asked).await {
            Heard::Told(Ok(told)) => {
                let passed = pass_on(&told, &mut last, doubts >= DOUBTS, &module).await;
                doubts = if passed.is_ok() { 0 } else { doubts + 1 };
                passed
            }
            Heard::Told(Err(error)) => Err(error.to_string()),
            Heard::Moved(Move { to, known }) => {
                log::info!("discovery is at {to}");
                (address, connection) = (to, None);
                pass_on_known(&known, &mut last, &module).await
            }
        };
        faulty = passed.is_err();
        if let Err(error) = passed {
            connection = None;
            if error != fault {
                log::warn!("discovery: {error}");
            }
            fault = error;
        }
    }
}

/// One call, over the connection of the last one if that can be used again.
async fn ask(
    clock: Clock, connection: &mut Option<Connection>, part: &Arc<Semaphore>, address: SocketAddr,
    path: &str, patience: Span, connect_timeout: Span,
) -> io::Result<Value> {
    let mut open = match connection.take().filter(Connection::is_ready) {
        Some(kept) => kept,
        None => {
            Connection::new(Link::connect(address, connect_timeout, part.acquire_arc().await).await?, clock)
        }
    };
    let head = head("GET", path, address, &[], 0);
    let call = open.call(&head, &[], LIST_BYTES, |_| (), |_, _| ());
    let (status, body) = limited(patience + connect_timeout, call).await?;
    if status != 200 {
        return Err(io::Error::other(format!("status {status}")));
    }
    *connection = Some(open);
    Ok(serde_json::from_slice(&body)?)
}

/// Passes on what a configuration held, which may be nothing.
pub async fn pass_on_known(known: &Value, last: &mut u64, module: &Sender<Event>) -> Result<()> {
    if known.is_object() { pass_on(known, last, false, module).await } else { Ok(()) }
}

/// Passes on the events behind `last`, of `in_part` those lines that can be read. After a gap only a whole list will do.
async fn pass_on(told: &Value, last: &mut u64, in_part: bool, module: &Sender<Event>) -> Result<()> {
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
            let _ = module.send(Event::Listed { roster: roster.clone(), in_part, read }).await;
            answer.recv().await.map_err(|_| "no module".to_owned())??;
        }
        *last = number;
    }
    Ok(())
}
