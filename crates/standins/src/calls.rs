//! Helpers of tests that inspect the calls to a stand-in: predicates on calls, and when a matching call
//! arrived.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Instant;

use serde_json::{Value, json};

use crate::discovery::roster_member;
use crate::engines::Call;
use crate::routers::router_config;

/// Whether a call starts a query.
pub fn is_post(call: &Call) -> bool {
    call.line.starts_with("POST")
}

/// Whether a call carries the id of the job with this number.
pub fn is_for_job(call: &Call, number: u32) -> bool {
    call.fields.contains(&format!("X-Trace: {number:016x}"))
}

/// Returns the router configuration for these engines after `change` has edited it.
pub fn modified_config(
    engines: &[SocketAddr], bulletin: SocketAddr, change: impl FnOnce(&mut Value),
) -> String {
    let mut config = serde_json::from_str(&router_config(engines, bulletin, 1024)).unwrap();
    change(&mut config);
    config.to_string()
}

/// Returns a configuration with two engines, of which the first is the first choice, as the other one is in a
/// more expensive zone.
pub fn first_choice_config(first_choice: SocketAddr, other: SocketAddr, bulletin: SocketAddr) -> String {
    modified_config(&[first_choice], bulletin, |config| add_remote_engine(config, other))
}

/// Adds an engine in a more expensive zone to a configuration.
pub fn add_remote_engine(config: &mut Value, at: SocketAddr) {
    let settings = &mut config["settings"];
    (settings["zones"], settings["prices"]) = (json!(["a", "b"]), json!({"crossZone": 0.1}));
    let mut remote = roster_member("s-b", at, "SERVING");
    remote["locality"] = json!("b");
    let members = config["known"]["items"][0]["roster"]["members"].as_array_mut();
    members.expect("a list of engines").push(remote);
}

/// An address at which nothing listens.
pub fn unused_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1))
}

/// Records when a stand-in received its first matching call.
#[derive(Clone, Default)]
pub struct FirstCall(Arc<Mutex<Option<Instant>>>);

impl FirstCall {
    pub fn record(&self, matches: bool) {
        let mut at = self.0.lock().unwrap();
        *at = at.or(matches.then(Instant::now));
    }

    /// Returns the time of the first matching call, or `moment` if that is earlier or no call came.
    pub fn at_or_before(&self, moment: Instant) -> Instant {
        self.0.lock().unwrap().map_or(moment, |at| at.min(moment))
    }

    pub fn at(&self) -> Instant {
        self.0.lock().unwrap().expect("a matching call")
    }
}

/// Records when a stand-in received its latest matching call.
#[derive(Clone, Default)]
pub struct LastCall(Arc<Mutex<Option<Instant>>>);

impl LastCall {
    pub fn record(&self, matches: bool) {
        if matches {
            *self.0.lock().unwrap() = Some(Instant::now());
        }
    }

    pub fn at(&self) -> Instant {
        self.0.lock().unwrap().expect("a matching call")
    }
}
