//! Discovery for one router that counts its traffic and records when the router has applied each event.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Instant;

use crate::discovery::{DiscoveryEvents, query_param};
use crate::engines::{Call, Response, StandinServer, encode_response};

#[derive(Default)]
struct TrafficRecord {
    received_bytes: u64,
    sent_bytes: u64,
    /// Each event number after which the router asked, and when it first did so.
    positions: Vec<(u64, Instant)>,
}

/// A discovery server for one router. Several servers can publish the same events.
pub struct LightweightDiscovery {
    pub address: SocketAddr,
    record: Arc<Mutex<TrafficRecord>>,
    _server: StandinServer,
}

impl LightweightDiscovery {
    pub fn start(events: DiscoveryEvents) -> Self {
        let record: Arc<Mutex<TrafficRecord>> = Arc::default();
        let recorder = record.clone();
        let server = StandinServer::start(move |call| {
            recorder.lock().unwrap().record_call(call);
            let response = events.answer(call);
            recorder.lock().unwrap().record_answer(&response);
            response
        });
        Self { address: server.address, record, _server: server }
    }

    /// Bytes received from the router, and bytes sent to it.
    pub fn traffic(&self) -> (u64, u64) {
        let record = self.record.lock().unwrap();
        (record.received_bytes, record.sent_bytes)
    }

    /// When the router first asked for what comes after this event, which it does once it has applied the
    /// event.
    pub fn applied_at(&self, event: u64) -> Option<Instant> {
        let record = self.record.lock().unwrap();
        record.positions.iter().find(|(after, _)| *after >= event).map(|(_, at)| *at)
    }
}

impl TrafficRecord {
    fn record_call(&mut self, call: &Call) {
        let after = query_param(call, "after");
        self.received_bytes += call.size() as u64;
        if self.positions.last().is_none_or(|(last, _)| *last < after) {
            self.positions.push((after, Instant::now()));
        }
    }

    fn record_answer(&mut self, response: &Response) {
        if let Response::Full(status, fields, body) = response {
            self.sent_bytes += encode_response(*status, fields, body).len() as u64;
        }
    }
}
