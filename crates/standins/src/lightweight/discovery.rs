//! Lightweight discovery: one router's bulletin, which counts its bytes and notes when the router had taken in each event.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Instant;

use crate::discovery::{DiscoveryEvents, query_param};
use crate::engines::{Call, Response, StandinServer, framed};

#[derive(Default)]
struct Seen {
    received: u64,
    sent: u64,
    /// The number behind which the router asked, each time that it had grown, and when.
    taken_in: Vec<(u64, Instant)>,
}

/// A bulletin that tells one router the events that others may be told too.
pub struct LightweightDiscovery {
    pub address: SocketAddr,
    seen: Arc<Mutex<Seen>>,
    _standin: StandinServer,
}

impl LightweightDiscovery {
    pub fn start(events: DiscoveryEvents) -> Self {
        let seen: Arc<Mutex<Seen>> = Arc::default();
        let known = seen.clone();
        let standin = StandinServer::start(move |call| {
            known.lock().unwrap().asked(call);
            let says = events.answer(call);
            known.lock().unwrap().answered(&says);
            says
        });
        Self { address: standin.address, seen, _standin: standin }
    }

    /// Bytes received from the router, and sent to it.
    pub fn traffic(&self) -> (u64, u64) {
        let seen = self.seen.lock().unwrap();
        (seen.received, seen.sent)
    }

    /// When the router asked for what comes behind this event, which it does once the event is in force there.
    pub fn applied_at(&self, event: u64) -> Option<Instant> {
        let seen = self.seen.lock().unwrap();
        seen.taken_in.iter().find(|(after, _)| *after >= event).map(|(_, at)| *at)
    }
}

impl Seen {
    fn asked(&mut self, call: &Call) {
        let after = query_param(call, "after");
        self.received += call.size() as u64;
        if self.taken_in.last().is_none_or(|(last, _)| *last < after) {
            self.taken_in.push((after, Instant::now()));
        }
    }

    fn answered(&mut self, says: &Response) {
        if let Response::Full(status, fields, body) = says {
            self.sent += framed(*status, fields, body).len() as u64;
        }
    }
}
