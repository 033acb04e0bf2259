//! An actor an engine: it starts queries and probes there, and owns what they share.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use async_channel::{Receiver, Sender};
use woadhook::{EngineId, Outcome, Span};
use woadhook_pace::rate::Least;

use crate::clock::Clock;
use crate::decide::Event;
use crate::memory::Room;
use crate::pool::{Lease, NO_DESCRIPTOR, Pool};
use crate::query::{self, Dispatch};
use crate::sockets::limited;
use crate::tasks::Tasks;

const MAILBOX: usize = 1024;
/// No answer to an errand holds more.
const BODY_BYTES: usize = 4 * 1024;
/// A probe that breaks, makes no sense or hears nothing is made again so often, as that may be noise on the
/// connection.
const PROBES: usize = 3;

/// What all engines' actors are given alike.
#[derive(Clone)]
pub struct Ground {
    pub clock: Clock,
    pub tasks: Tasks,
    pub queries: Rc<Pool>,
    pub errands: Rc<Pool>,
    pub probes: Rc<Pool>,
    pub connect_timeout: Span,
    /// Whether probes ask for a load report.
    pub reports: bool,
    /// For results.
    pub room: Room,
    /// How slowly pages may come: bytes a second at most asked for, and the grace.
    pub least: Rc<Cell<Least>>,
    /// Ends of probes go ahead of what else the module is told.
    pub urgent: Sender<Event>,
}

/// What the queries at one engine share.
pub struct Engine {
    pub ground: Ground,
    serial: u64,
    pub address: SocketAddr,
    /// Whether nothing was heard of its draining or end.
    pub open: Cell<bool>,
}

pub enum Errand {
    Run(Dispatch, Receiver<u8>),
    Probe(EngineId),
}

/// The module's hold on an engine's actor, which ends when this is dropped and its errands are done.
pub struct Peer {
    pub engine: Rc<Engine>,
    mailbox: Sender<Errand>,
}

impl Peer {
    pub fn start(ground: &Ground, serial: u64, address: SocketAddr, module: Sender<Event>) -> Self {
        let (mailbox, errands) = async_channel::bounded(MAILBOX);
        let engine = Rc::new(Engine { ground: ground.clone(), serial, address, open: Cell::new(true) });
        ground.tasks.start(serve(engine.clone(), errands, module));
        Self { engine, mailbox }
    }

    /// Whether the mailbox had room for it.
    pub fn send(&self, errand: Errand) -> bool {
        self.mailbox.try_send(errand).is_ok()
    }
}

async fn serve(engine: Rc<Engine>, errands: Receiver<Errand>, module: Sender<Event>) {
    while let Ok(errand) = errands.recv().await {
        let (engine, module) = (engine.clone(), module.clone());
        match errand {
            Errand::Run(dispatch, orders) => {
                engine.ground.tasks.start(query::run(engine, dispatch, orders, module));
            }
            Errand::Probe(id) => {
                let urgent = engine.ground.urgent.clone();
                engine.ground.tasks.start(probe(engine, id, urgent));
            }
        }
    }
    engine.ground.queries.close_all(engine.serial);
    engine.ground.errands.close_all(engine.serial);
    engine.ground.probes.close_all(engine.serial);
}

impl Engine {
    pub async fn lease(&self, pool: &Rc<Pool>) -> io::Result<Lease> {
        pool.lease(self.serial, self.address, self.ground.connect_timeout).await
    }

    /// A short call beside the queries' own: giving up or a new priority.
    pub async fn errand(&self, method: &str, path: &str, body: &str) -> io::Result<u16> {
        self.short_call(&self.ground.errands, method, path, body, |_, _| ()).await
    }

    async fn short_call(
        &self, pool: &Rc<Pool>, method: &str, path: &str, body: &str, field: impl FnMut(&str, &str),
    ) -> io::Result<u16> {
        let mut connection = self.lease(pool).await?;
        let head = head(method, path, self.address, &[], body.len());
        let call = connection.call(&head, body.as_bytes(), BODY_BYTES, |_| (), field);
        let (status, _) = limited(self.ground.connect_timeout, call).await?;
        Ok(status)
    }
}

/// The head of a call.
pub fn head(method: &str, path: &str, to: SocketAddr, fields: &[(&str, &str)], length: usize) -> String {
    let mut head = format!("{method} {path} HTTP/1.1\r\nHost: {to}\r\n");
    for (name, value) in fields {
        head.extend([name, ": ", value, "\r\n"]);
    }
    if length > 0 || method != "GET" {
        head.push_str(&format!("Content-Length: {length}\r\n"));
    }
    head + "\r\n"
}

async fn probe(engine: Rc<Engine>, id: EngineId, module: Sender<Event>) {
    let mut outcome = Outcome::NotConnected;
    for _ in 0..PROBES {
        let (ended, stats) = probe_once(&engine).await;
        outcome = ended;
        if matches!(outcome, Outcome::Done | Outcome::TurnedAway) {
            if let Some(stats) = stats {
                let _ = module.send(Event::Reported { engine: id, stats }).await;
            }
            break;
        }
        if matches!(outcome, Outcome::NotConnected | Outcome::NotIssued) {
            break;
        }
    }
    let _ = module.send(Event::ProbeEnded { engine: id, outcome }).await;
}

async fn probe_once(engine: &Engine) -> (Outcome, Option<String>) {
    let mut stats = None;
    let path = if engine.ground.reports { "/load" } else { "/-/ok" };
    let hear = |name: &str, value: &str| {
        if name.eq_ignore_ascii_case("X-Stats") {
            stats = Some(value.to_owned());
        }
    };
    let outcome = match engine.short_call(&engine.ground.probes, "GET", path, "", hear).await {
        Ok(200) => Outcome::Done,
        Ok(503) => Outcome::TurnedAway,
        Ok(_) => Outcome::Error,
        Err(error) => match error.kind() {
            NO_DESCRIPTOR => Outcome::NotIssued,
            io::ErrorKind::ConnectionRefused => Outcome::NotConnected,
            io::ErrorKind::TimedOut => Outcome::TimedOut,
            _ => Outcome::Reset,
        },
    };
    (outcome, stats)
}
