//! A bulletin that tells what it is given.

use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

use serde_json::{Value, json};

use crate::engines::{Call, Response, StandinServer, response};

/// The events of a bulletin, which tests add to.
#[derive(Clone, Default)]
pub struct DiscoveryEvents(Arc<(Mutex<Vec<Value>>, Condvar)>);

impl DiscoveryEvents {
    /// A bulletin that tells them.
    pub fn serve(&self) -> StandinServer {
        let events = self.clone();
        StandinServer::start(move |call| events.answer(call))
    }

    pub fn add(&self, number: u64, members: Vec<Value>) {
        let roster = json!({"revision": number, "complete": number == 1, "members": members});
        self.0.0.lock().unwrap().push(json!({"no": number, "roster": roster}));
        self.0.1.notify_all();
    }

    /// All so far, in the form in which a router is told what is known.
    pub fn all(&self) -> Value {
        let events = self.0.0.lock().unwrap();
        json!({"no": events.iter().filter_map(|event| event["no"].as_u64()).max(), "items": *events})
    }

    /// All after a number, at once.
    pub fn answer_at_once(&self, call: &Call) -> Response {
        if !is_for_discovery(call) {
            return response(404, &[], "");
        }
        Self::events_after(&self.0.0.lock().unwrap(), query_param(call, "after"))
    }

    /// All after a number; waits for the first of them as long as the call says.
    pub fn answer(&self, call: &Call) -> Response {
        if !is_for_discovery(call) {
            return response(404, &[], "");
        }
        let (after, patience) =
            (query_param(call, "after"), Duration::from_millis(query_param(call, "patience")));
        let none = |events: &mut Vec<Value>| events.iter().all(|event| event["no"].as_u64() <= Some(after));
        let events = self.0.1.wait_timeout_while(self.0.0.lock().unwrap(), patience, none).unwrap().0;
        Self::events_after(&events, after)
    }

    fn events_after(events: &[Value], after: u64) -> Response {
        let events_after = events.iter().filter(|event| event["no"].as_u64() > Some(after));
        let last = events.iter().filter_map(|event| event["no"].as_u64()).max();
        response(200, &[], &json!({"no": last, "items": events_after.collect::<Vec<_>>()}).to_string())
    }
}

/// Whether a call is meant for discovery: one that probes an engine may come where an earlier engine had the same port.
fn is_for_discovery(call: &Call) -> bool {
    call.line.starts_with("GET /bulletins")
}

/// A number that a call asks with.
pub fn query_param(call: &Call, name: &str) -> u64 {
    let asked = call.line.split_once(&format!("{name}=")).map(|(_, rest)| rest.split(['&', ' ']).next());
    let number = asked.flatten().and_then(|number| number.parse().ok());
    number.unwrap_or_else(|| panic!("no {name} in a call to discovery: {call:?}"))
}

pub fn roster_member(id: &str, at: SocketAddr, phase: &str) -> Value {
    json!({"id": id, "host_port": at.to_string(), "locality": "a", "flavor": "k", "cell": 0, "phase": phase,
        "size": 1, "up_since_ms": 0})
}
