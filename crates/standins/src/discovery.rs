//! A discovery server that publishes the events that a test adds.

use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

use serde_json::{Value, json};

use crate::engines::{Call, Response, StandinServer, response};

/// The events of a discovery server. Clones share them, so a test can add events while the server runs.
#[derive(Clone, Default)]
pub struct DiscoveryEvents(Arc<(Mutex<Vec<Value>>, Condvar)>);

impl DiscoveryEvents {
    /// Starts a server that publishes these events.
    pub fn serve(&self) -> StandinServer {
        let events = self.clone();
        StandinServer::start(move |call| events.answer(call))
    }

    /// Adds an event with this number and these members. Event 1 is a complete list, later ones are changes.
    pub fn add(&self, number: u64, members: Vec<Value>) {
        self.add_together(number, [members]);
    }

    /// Adds events with consecutive numbers, so that one answer holds all of them.
    pub fn add_together(&self, first: u64, rosters: impl IntoIterator<Item = Vec<Value>>) {
        let event = |(number, members): (u64, Vec<Value>)| {
            let roster = json!({"revision": number, "complete": number == 1, "members": members});
            json!({"no": number, "roster": roster})
        };
        self.0.0.lock().unwrap().extend((first..).zip(rosters).map(event));
        self.0.1.notify_all();
    }

    /// Returns all events so far, in the form of the configuration's `known` section.
    pub fn all(&self) -> Value {
        let events = self.0.0.lock().unwrap();
        json!({"no": events.iter().filter_map(|event| event["no"].as_u64()).max(), "items": *events})
    }

    /// Answers with all events after the requested number, without waiting.
    pub fn answer_at_once(&self, call: &Call) -> Response {
        if !is_for_discovery(call) {
            return response(404, &[], "");
        }
        Self::events_after(&self.0.0.lock().unwrap(), query_param(call, "after"))
    }

    /// Answers with all events after the requested number. If there are none yet, waits for the first one as
    /// long as the call's `patience` allows.
    pub fn answer(&self, call: &Call) -> Response {
        if !is_for_discovery(call) {
            return response(404, &[], "");
        }
        let (after, patience) =
            (query_param(call, "after"), Duration::from_millis(query_param(call, "patience")));
        let has_none =
            |events: &mut Vec<Value>| events.iter().all(|event| event["no"].as_u64() <= Some(after));
        let events = self.0.1.wait_timeout_while(self.0.0.lock().unwrap(), patience, has_none).unwrap().0;
        Self::events_after(&events, after)
    }

    fn events_after(events: &[Value], after: u64) -> Response {
        let events_after = events.iter().filter(|event| event["no"].as_u64() > Some(after));
        let last = events.iter().filter_map(|event| event["no"].as_u64()).max();
        response(200, &[], &json!({"no": last, "items": events_after.collect::<Vec<_>>()}).to_string())
    }
}

/// Whether a call is meant for discovery. A probe of an engine can arrive here when an earlier engine had the
/// same port.
fn is_for_discovery(call: &Call) -> bool {
    call.line.starts_with("GET /bulletins")
}

/// Returns a numeric query parameter of a call's path. Panics if it is missing.
pub fn query_param(call: &Call, name: &str) -> u64 {
    let value = call.line.split_once(&format!("{name}=")).map(|(_, rest)| rest.split(['&', ' ']).next());
    let number = value.flatten().and_then(|number| number.parse().ok());
    number.unwrap_or_else(|| panic!("no {name} in a call to discovery: {call:?}"))
}

/// An engine's entry in the roster of an event.
pub fn roster_member(id: &str, at: SocketAddr, phase: &str) -> Value {
    json!({"id": id, "host_port": at.to_string(), "locality": "a", "flavor": "k", "cell": 0, "phase": phase,
        "size": 1, "up_since_ms": 0})
}
