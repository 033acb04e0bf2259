//! Routers that run on threads of the test's process, and their configuration.

use std::net::{SocketAddr, TcpListener};
use std::sync::mpsc::{self, Receiver};
use std::thread;

use serde_json::json;
use woadhook_operator::OperatorFile;
use woadhook_router::gossip::GossipSetup;
use woadhook_router::stop::OperatorCommand;
use woadhook_router::tasks::Tasks;
use woadhook_router::{config, serve};

use crate::TEST_TIMEOUT;
use crate::discovery::{DiscoveryEvents, roster_member};

/// Returns a router configuration. Jobs of type `look` are restartable, jobs of type `load` are run-once.
pub fn router_config(engines: &[SocketAddr], bulletin: SocketAddr, max_sockets: usize) -> String {
    let class = |name: &str, effect: &str| {
        json!({"name": name, "goalTimeUs": 2_000_000, "deadlineUs": 60_000_000, "gain": 1.0, "lateWorth": 1.0,
            "effect": effect})
    };
    let members =
        engines.iter().enumerate().map(|(number, at)| roster_member(&format!("s-{number}"), *at, "SERVING"));
    let roster = json!({"revision": 1, "complete": true, "members": members.collect::<Vec<_>>()});
    json!({"name": "n0", "listen": "127.0.0.1:0", "seed": "00000000000000ff",
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": max_sockets},
        "bulletin": bulletin.to_string(),
        "known": {"no": 1, "items": [{"no": 1, "roster": roster}]},
        "settings": {"replicasOfMe": 1, "myNumber": 0, "zone": "a", "zones": ["a"], "kinds": ["k"], "tenants": [],
            "discovery": "pushed", "feedback": {"how": "probe", "names": ["waiting", "cpu"]}, "prices": {},
            "classes": [class("look", "repeatable"), class("load", "once")],
            "familyInfo": {"coresByKind": [8], "ramOfKindMb": [1000.0], "widthByClass": [1, 1],
                "notePeriodUs": 1_000_000},
            "limits": {"tryLimit": 5, "connectTimeoutUs": 250_000, "idleCloseUs": 15_000_000, "cancelling": true,
                "mayProbe": true, "retryAfter": true, "maxRetryAfterUs": 2_000_000},
            "obligations": {"overloadFactor": 2.0, "fallUs": 1_000_000, "startCapacity": 0.3,
                "coldUs": 9_000_000, "answerSlackUs": 20_000, "stopSendingWithinUs": 1_000_000}}})
    .to_string()
}

/// A router on its own thread.
pub struct RouterThread {
    pub address: SocketAddr,
    pub commands: async_channel::Sender<OperatorCommand>,
    ended: Receiver<Result<(), String>>,
}

impl RouterThread {
    pub fn start(engines: &[SocketAddr], bulletin: SocketAddr) -> Self {
        Self::start_with_config(&router_config(engines, bulletin, 1024))
    }

    /// Starts a router whose discovery publishes no events.
    pub fn start_with_idle_discovery(engines: &[SocketAddr]) -> Self {
        Self::start(engines, DiscoveryEvents::default().serve().address)
    }

    /// Starts a router with this configuration.
    pub fn start_with_config(config: &str) -> Self {
        Self::start_with_gossip(config, None)
    }

    /// Starts a router that gossips with others if `gossip` is set.
    pub fn start_with_gossip(config: &str, gossip: Option<GossipSetup>) -> Self {
        Self::start_with_operator_file(config, gossip, OperatorFile::default())
    }

    /// Starts a router with an operator file.
    pub fn start_with_operator_file(
        config: &str, gossip: Option<GossipSetup>, operator_file: OperatorFile,
    ) -> Self {
        let parsed = config::parse(config, None).unwrap();
        let listener = TcpListener::bind(parsed.listen).unwrap();
        let address = listener.local_addr().unwrap();
        let (commands, received) = async_channel::bounded(4);
        let (end, ended) = mpsc::channel();
        thread::spawn(move || {
            let tasks = Tasks::default();
            let _ = end.send(async_io::block_on(tasks.run(serve(
                tasks,
                parsed,
                listener,
                received,
                gossip,
                &operator_file,
            ))));
        });
        Self { address, commands, ended }
    }

    /// Waits until the router ends. Panics if it does not in time or ends with an error.
    pub fn expect_clean_end(&self) {
        assert_eq!(self.ended.recv_timeout(TEST_TIMEOUT), Ok(Ok(())));
    }
}
