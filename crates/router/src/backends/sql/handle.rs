//! The dispatcher's handle of an engine, through which it starts queries and probes there.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

use async_channel::{Receiver, Sender};
use woadhook::{EngineId, Outcome};

use crate::backends::sql::dispatch;
use crate::backends::sql::engine::{Engine, EngineContext};
use crate::exchange::{Dispatch, Event};
use crate::faults::CallError;
use crate::tasks::Tasks;

/// Maximum number of attempts of a probe whose connection breaks, or whose answer is missing or malformed,
/// since the fault may be one of the connection alone.
const MAX_PROBE_ATTEMPTS: usize = 3;

/// What the dispatcher starts at an engine: a dispatch, with the channel of its new priorities, or a probe.
pub enum EngineCall {
    Run(Dispatch, Receiver<u8>),
    Probe(EngineId),
}

/// The dispatcher's handle of an engine. It allocates nothing for future work: with thousands of engines
/// listed, nearly all have no work.
pub struct EngineHandle {
    pub engine: Rc<Engine>,
    events: Sender<Event>,
}

impl EngineHandle {
    pub fn new(context: &Rc<EngineContext>, serial: u64, address: SocketAddr, events: Sender<Event>) -> Self {
        let engine = Rc::new(Engine {
            context: context.clone(),
            serial,
            address,
            is_live: Cell::new(true),
            is_gone: Cell::new(false),
            connected_at: Cell::default(),
        });
        Self { engine, events }
    }

    /// Starts the call as a task of its own. The dispatcher bounds the number of these tasks: its limit on
    /// threads in flight bounds the running queries, it has at most one probe running at each engine, and it
    /// carries out a limited number of decisions per turn.
    pub fn spawn(&self, call: EngineCall) {
        let (engine, tasks) = (self.engine.clone(), self.engine.context.tasks);
        match call {
            EngineCall::Run(dispatch, priorities) => {
                tasks.spawn(dispatch::run(engine, dispatch, priorities, self.events.clone()));
            }
            EngineCall::Probe(id) => {
                let urgent = engine.context.urgent.clone();
                tasks.spawn(probe(engine, id, urgent));
            }
        }
    }
}

impl Drop for EngineHandle {
    /// Closes the idle connections; those in use are closed later by age.
    fn drop(&mut self) {
        let Engine { context, serial, .. } = &*self.engine;
        context.queries.close_all(*serial);
        context.control_calls.close_all(*serial);
        context.probes.close_all(*serial);
    }
}

/// Notifies the dispatcher of the end of a probe exactly once, whatever happens to the probe's task. Threat:
/// after a panic the dispatcher would wait for that end forever and never probe the engine again.
struct ProbeNotifier {
    engine: EngineId,
    tasks: Tasks,
    events: Option<Sender<Event>>,
}

impl ProbeNotifier {
    async fn send(mut self, outcome: Outcome) {
        let Some(events) = self.events.take() else { return };
        let _ = events.send(Event::ProbeEnded { engine: self.engine, outcome }).await;
    }
}

impl Drop for ProbeNotifier {
    fn drop(&mut self) {
        let Some(events) = self.events.take() else { return };
        let rest = ProbeNotifier { events: Some(events), ..*self };
        self.tasks.spawn(rest.send(Outcome::NotIssued));
    }
}

async fn probe(engine: Rc<Engine>, id: EngineId, events: Sender<Event>) {
    let notifier = ProbeNotifier { engine: id, tasks: engine.context.tasks, events: Some(events.clone()) };
    let mut outcome = Outcome::NotConnected;
    for _ in 0..MAX_PROBE_ATTEMPTS {
        let (ended, stats) = probe_once(&engine).await;
        outcome = ended;
        if matches!(outcome, Outcome::Done | Outcome::TurnedAway) {
            if let Some(stats) = stats {
                let _ = events.send(Event::LoadReported { engine: id, stats }).await;
            }
            break;
        }
        if matches!(outcome, Outcome::NotConnected | Outcome::NotIssued) {
            break;
        }
    }
    notifier.send(outcome).await;
}

async fn probe_once(engine: &Engine) -> (Outcome, Option<String>) {
    let mut stats = None;
    let path = if engine.context.wants_load_reports { "/load" } else { "/-/ok" };
    let read_field = |name: &str, value: &str| {
        if name.eq_ignore_ascii_case("X-Stats") {
            stats = Some(value.to_owned());
        }
    };
    let (pool, answer_timeout) = (&engine.context.probes, engine.context.connect_timeout);
    let outcome = match engine.short_call(pool, "GET", path, "", answer_timeout, read_field).await {
        Ok(200) => Outcome::Done,
        Ok(503) => Outcome::TurnedAway,
        Ok(_) => Outcome::Error,
        // A failure on this machine is no evidence of a fault at the engine. Threat: one short failure here
        // would set all engines aside at once.
        Err(CallError::NoDescriptor | CallError::Local(_)) => Outcome::NotIssued,
        Err(CallError::Refused) => Outcome::NotConnected,
        Err(CallError::NoConnectionInTime | CallError::NoAnswerInTime | CallError::TooSlow(_)) => {
            Outcome::TimedOut
        }
        Err(CallError::Unreachable(_) | CallError::Broken(_) | CallError::Malformed(_)) => Outcome::Reset,
    };
    (outcome, stats)
}
