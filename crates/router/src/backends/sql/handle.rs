//! The module's hold on an engine, through which it starts queries and probes there.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

use async_channel::{Receiver, Sender};
use woadhook::{EngineId, Outcome};

use crate::backends::sql::engine::{Engine, EngineContext};
use crate::backends::sql::query;
use crate::exchange::{Dispatch, Event};
use crate::faults::CallError;
use crate::tasks::Tasks;

/// A probe that breaks, makes no sense or hears nothing is made again so often, as that may be noise on the
/// connection.
const PROBES: usize = 3;

pub enum EngineCall {
    Run(Dispatch, Receiver<u8>),
    Probe(EngineId),
}

/// The module's hold on an engine. It takes no memory for work that may come: with thousands of engines listed, nearly
/// all have none.
pub struct EngineHandle {
    pub engine: Rc<Engine>,
    module: Sender<Event>,
}

impl EngineHandle {
    pub fn new(context: &Rc<EngineContext>, serial: u64, address: SocketAddr, module: Sender<Event>) -> Self {
        let engine = Rc::new(Engine {
            context: context.clone(),
            serial,
            address,
            is_live: Cell::new(true),
            is_gone: Cell::new(false),
        });
        Self { engine, module }
    }

    /// Starts it as a task of its own. What bounds these tasks is the module: its limit on the threads in flight bounds the
    /// queries that are out, it has one probe out at each engine, and its host carries out so many decisions a turn.
    pub fn spawn(&self, call: EngineCall) {
        let (engine, tasks) = (self.engine.clone(), self.engine.context.tasks);
        match call {
            EngineCall::Run(dispatch, orders) => {
                tasks.spawn(query::run(engine, dispatch, orders, self.module.clone()));
            }
            EngineCall::Probe(id) => {
                let urgent = engine.context.urgent.clone();
                tasks.spawn(probe(engine, id, urgent));
            }
        }
    }
}

impl Drop for EngineHandle {
    /// Closes what is idle; what is in use by then goes by its age.
    fn drop(&mut self) {
        let Engine { context, serial, .. } = &*self.engine;
        context.queries.close_all(*serial);
        context.control_calls.close_all(*serial);
        context.probes.close_all(*serial);
    }
}

/// Tells the module how a probe ended: once, and whatever becomes of its task. Threat: behind a panic the module would wait for that end for
/// good and never probe the engine again.
struct ProbeEnd {
    engine: EngineId,
    tasks: Tasks,
    module: Option<Sender<Event>>,
}

impl ProbeEnd {
    async fn tell(mut self, outcome: Outcome) {
        let Some(module) = self.module.take() else { return };
        let _ = module.send(Event::ProbeEnded { engine: self.engine, outcome }).await;
    }
}

impl Drop for ProbeEnd {
    fn drop(&mut self) {
        let Some(module) = self.module.take() else { return };
        let left = ProbeEnd { module: Some(module), ..*self };
        self.tasks.spawn(left.tell(Outcome::NotIssued));
    }
}

async fn probe(engine: Rc<Engine>, id: EngineId, module: Sender<Event>) {
    let end = ProbeEnd { engine: id, tasks: engine.context.tasks, module: Some(module.clone()) };
    let mut outcome = Outcome::NotConnected;
    for _ in 0..PROBES {
        let (ended, stats) = probe_once(&engine).await;
        outcome = ended;
        if matches!(outcome, Outcome::Done | Outcome::TurnedAway) {
            if let Some(stats) = stats {
                let _ = module.send(Event::LoadReported { engine: id, stats }).await;
            }
            break;
        }
        if matches!(outcome, Outcome::NotConnected | Outcome::NotIssued) {
            break;
        }
    }
    end.tell(outcome).await;
}

async fn probe_once(engine: &Engine) -> (Outcome, Option<String>) {
    let mut stats = None;
    let path = if engine.context.wants_load_reports { "/load" } else { "/-/ok" };
    let hear = |name: &str, value: &str| {
        if name.eq_ignore_ascii_case("X-Stats") {
            stats = Some(value.to_owned());
        }
    };
    let outcome = match engine.short_call(&engine.context.probes, "GET", path, "", hear).await {
        Ok(200) => Outcome::Done,
        Ok(503) => Outcome::TurnedAway,
        Ok(_) => Outcome::Error,
        // What fails on this machine says nothing of the engine. Threat: one bad second would set all engines aside at once.
        Err(CallError::NoDescriptor | CallError::Local(_)) => Outcome::NotIssued,
        Err(CallError::Refused) => Outcome::NotConnected,
        Err(CallError::NoConnectionInTime | CallError::NoAnswerInTime | CallError::TooSlow(_)) => {
            Outcome::TimedOut
        }
        Err(CallError::Unreachable(_) | CallError::Broken(_) | CallError::Malformed(_)) => Outcome::Reset,
    };
    (outcome, stats)
}
