//! An actor an engine: it starts queries and probes there.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use async_channel::{Receiver, Sender};
use woadhook::{EngineId, Outcome};

use crate::backends::sql::engine::{Engine, Ground};
use crate::backends::sql::query;
use crate::exchange::{Dispatch, Event};
use crate::pool::NO_DESCRIPTOR;

const MAILBOX: usize = 1024;
/// A probe that breaks, makes no sense or hears nothing is made again so often, as that may be noise on the
/// connection.
const PROBES: usize = 3;

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
        let engine = Rc::new(Engine {
            ground: ground.clone(),
            serial,
            address,
            open: Cell::new(true),
            gone: Cell::new(false),
        });
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
