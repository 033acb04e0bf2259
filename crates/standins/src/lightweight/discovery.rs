//! Lightweight discovery: one router's bulletin, which counts its bytes and notes when the router had taken in each event.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Instant;

use crate::discovery::{DiscoveryEvents, query_param};
use crate::engines::{Call, Response, StandinServer, encode_response};

#[derive(Default)]
struct TrafficRecord {
    received_bytes: u64,
    sent_bytes: u64,
    /// The number behind which the router asked, each time that it had grown, and when.
    positions: Vec<(u64, Instant)>,
}

/// A bulletin that tells one router the events that others may be told too.
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
            let says = events.answer(call);
            recorder.lock().unwrap().record_answer(&says);
            says
        });
        Self { address: server.address, record, _server: server }
    }

    /// Bytes received from the router, and sent to it.
    pub fn traffic(&self) -> (u64, u64) {
        let record = self.record.lock().unwrap();
        (record.received_bytes, record.sent_bytes)
    }

    /// When the router asked for what comes behind this event, which it does once the event is in force there.
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

    fn record_answer(&mut self, says: &Response) {
        if let Response::Full(status, fields, body) = says {
            self.sent_bytes += encode_response(*status, fields, body).len() as u64;
        }
    }
}
