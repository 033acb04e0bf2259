//! One router process with very many listed engines and a share of one core, and what its clients saw.

use std::env;
use std::fs;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use serde_json::{Value, json};

use crate::cpu_share::{CpuShare, cpu_time};
use crate::discovery::DiscoveryEvents;
use crate::lightweight::callers::{AnswerKind, Callers, RequestRecord, RequestRecords, Traffic};
use crate::lightweight::engines::{Attempt, LightweightEngines};
use crate::processes::RouterProcess;
use crate::routers::router_config;

/// An answer later than this behind its deadline counts as lost.
pub const LOST_AFTER: Duration = Duration::from_millis(500);
/// An attempt later than this after its client withdrew the request counts as lost: the rule's 0.1 s, and the
/// 50 ms by which each time limit is longer on sockets.
pub const ATTEMPT_AFTER_WITHDRAWAL: Duration = Duration::from_millis(150);
/// How long each query runs.
const RUN_TIME: Duration = Duration::from_millis(20);
/// The descriptor limit of the router.
const DESCRIPTORS: usize = 512;
/// The part of the clients' wait within which an answer earns its full value, in microseconds a millisecond.
const GOAL_US_PER_WAIT_MS: u128 = 600;

/// A run of one router.
pub struct Scenario<'a> {
    pub program: &'a str,
    pub engines: usize,
    /// The router's share of one core.
    pub share: f64,
    pub traffic: Traffic,
    /// How long the clients send requests.
    pub length: Duration,
}

/// What clients and engines saw.
pub struct Report {
    pub requests: usize,
    pub served: usize,
    pub refused: usize,
    pub failed: usize,
    /// Requests that were neither answered nor withdrawn.
    pub unanswered: usize,
    /// Answers that came later than `LOST_AFTER` behind their deadline.
    pub late: usize,
    /// The latest answer, as the time behind its deadline.
    pub worst_lateness: Duration,
    /// Attempts later than `ATTEMPT_AFTER_WITHDRAWAL`.
    pub attempts_after_withdrawal: usize,
    pub engine_connections: u64,
    /// The router's processor time.
    pub cpu: Duration,
    /// The router's log.
    pub log: String,
}

impl Scenario<'_> {
    /// Starts the router, lets the clients send and returns what they saw.
    pub fn run(&self) -> Report {
        let engines = LightweightEngines::start_recording(self.engines).expect("engines");
        engines.set_run_time(RUN_TIME);
        let discovery = DiscoveryEvents::default().serve();
        let config = config(&engines, self.engines, discovery.address, self.traffic.wait);
        let folder = env::temp_dir().join(format!("many-engines-{}-{}", std::process::id(), self.engines));
        let router = RouterProcess::start_with_log_level(
            "info",
            self.program,
            &[],
            &folder,
            "n0",
            &config.to_string(),
        );
        router.wait_until_ready();
        let id = router.id().expect("a process");
        let cpu_before = cpu_time(id);
        let limit = CpuShare::limit(id, self.share);
        let callers = Callers::start(vec![router.address], self.traffic);
        thread::sleep(self.length);
        let records = callers.finish();
        drop(limit);
        let cpu = cpu_time(id) - cpu_before;
        let log = router.log_text();
        drop(router);
        let _ = fs::remove_dir_all(folder);
        Report {
            engine_connections: engines.connections(),
            cpu,
            log,
            ..Report::new(&records, &engines.attempts())
        }
    }
}

impl Report {
    fn new(records: &RequestRecords, attempts: &[Attempt]) -> Self {
        let count = |kind| {
            let is_kind =
                |record: &&RequestRecord| record.answers.first().is_some_and(|(_, own)| *own == kind);
            records.values().filter(is_kind).count()
        };
        let owed: Vec<&RequestRecord> =
            records.values().filter(|record| record.withdrawn.is_none()).collect();
        let lateness: Vec<Duration> = owed.iter().filter_map(|record| lateness(record)).collect();
        let is_after_withdrawal = |attempt: &&Attempt| {
            let withdrawn = records.get(&attempt.job).and_then(|record| record.withdrawn);
            withdrawn.is_some_and(|withdrawn| attempt.at > withdrawn + ATTEMPT_AFTER_WITHDRAWAL)
        };
        Self {
            requests: records.len(),
            served: count(AnswerKind::Served),
            refused: count(AnswerKind::Refused),
            failed: count(AnswerKind::Failed),
            unanswered: owed.iter().filter(|record| record.answers.is_empty()).count(),
            late: lateness.iter().filter(|late| **late > LOST_AFTER).count(),
            worst_lateness: lateness.into_iter().max().unwrap_or_default(),
            attempts_after_withdrawal: attempts.iter().filter(is_after_withdrawal).count(),
            engine_connections: 0,
            cpu: Duration::ZERO,
            log: String::new(),
        }
    }
}

/// The time between a request's deadline and its answer; zero if the answer was in time.
fn lateness(record: &RequestRecord) -> Option<Duration> {
    Some(record.answers.first()?.0.saturating_duration_since(record.deadline))
}

/// The configuration of a router with these engines and this deadline of its jobs.
pub fn config(engines: &LightweightEngines, count: usize, discovery: SocketAddr, wait: Duration) -> Value {
    let addresses: Vec<SocketAddr> = (0..count).map(|engine| engines.address(engine)).collect();
    let text = router_config(&addresses, discovery, DESCRIPTORS);
    let mut config: Value = serde_json::from_str(&text).expect("a configuration");
    let class = &mut config["settings"]["classes"][0];
    class["goalTimeUs"] = json!((wait.as_millis() * GOAL_US_PER_WAIT_MS) as u64);
    class["deadlineUs"] = json!(wait.as_micros() as u64);
    config
}
