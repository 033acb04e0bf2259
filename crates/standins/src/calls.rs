//! What tests of keys and crossings share: calls told apart, and when a stand-in had one.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Instant;

use serde_json::Value;

use crate::engines::Call;
use crate::routers::router_config;

/// Whether a call starts a query.
pub fn is_post(call: &Call) -> bool {
    call.line.starts_with("POST")
}

/// Whether a call starts the query of the job with this number for its id.
pub fn is_for_job(call: &Call, number: u32) -> bool {
    call.fields.contains(&format!("X-Trace: {number:016x}"))
}

/// What a router is told, changed.
pub fn modified_config(
    engines: &[SocketAddr], bulletin: SocketAddr, change: impl FnOnce(&mut Value),
) -> String {
    let mut config = serde_json::from_str(&router_config(engines, bulletin, 1024)).unwrap();
    change(&mut config);
    config.to_string()
}

/// An address at which nothing listens.
pub fn unused_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1))
}

/// When a stand-in had its first call that `picked` takes.
#[derive(Clone, Default)]
pub struct FirstCall(Arc<Mutex<Option<Instant>>>);

impl FirstCall {
    pub fn record(&self, matches: bool) {
        let mut at = self.0.lock().unwrap();
        *at = at.or(matches.then(Instant::now));
    }

    /// When it was, or this moment if that is earlier.
    pub fn at_or_before(&self, moment: Instant) -> Instant {
        self.0.lock().unwrap().map_or(moment, |at| at.min(moment))
    }

    pub fn at(&self) -> Instant {
        self.0.lock().unwrap().expect("there was one")
    }
}

/// When a stand-in had its latest call that `picked` takes.
#[derive(Clone, Default)]
pub struct LastCall(Arc<Mutex<Option<Instant>>>);

impl LastCall {
    pub fn record(&self, matches: bool) {
        if matches {
            *self.0.lock().unwrap() = Some(Instant::now());
        }
    }

    pub fn at(&self) -> Instant {
        self.0.lock().unwrap().expect("there was one")
    }
}
