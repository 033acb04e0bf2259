//! Routers on threads of their own, and what they are told.

use std::net::{SocketAddr, TcpListener};
use std::sync::mpsc::{self, Receiver};
use std::thread;

use serde_json::json;
use woadhook_operator::OperatorFile;
use woadhook_router::gossip::GossipSetup;
use woadhook_router::stop::OperatorCommand;
use woadhook_router::tasks::Tasks;
use woadhook_router::{config, serve};

use crate::LONG;
use crate::bulletin::{Events, member};

/// What a router is told; `look` may run again, `load` must not run twice.
pub fn told(engines: &[SocketAddr], bulletin: SocketAddr, descriptors: usize) -> String {
    let class = |name: &str, effect: &str| {
        json!({"name": name, "goalTimeUs": 2_000_000, "deadlineUs": 60_000_000, "gain": 1.0, "lateWorth": 1.0,
            "effect": effect})
    };
    let members =
        engines.iter().enumerate().map(|(number, at)| member(&format!("s-{number}"), *at, "SERVING"));
    let roster = json!({"revision": 1, "complete": true, "members": members.collect::<Vec<_>>()});
    json!({"name": "n0", "listen": "127.0.0.1:0", "seed": "00000000000000ff",
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": descriptors},
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

/// A router on a thread of its own.
pub struct Running {
    pub address: SocketAddr,
    pub orders: async_channel::Sender<OperatorCommand>,
    ended: Receiver<Result<(), String>>,
}

impl Running {
    pub fn start(engines: &[SocketAddr], bulletin: SocketAddr) -> Self {
        Self::with(&told(engines, bulletin, 1024))
    }

    /// One whose bulletin tells nothing new.
    pub fn quiet(engines: &[SocketAddr]) -> Self {
        Self::start(engines, Events::default().serve().address)
    }

    pub fn with(told: &str) -> Self {
        Self::talking(told, None)
    }

    /// One that talks with other routers.
    pub fn talking(told: &str, talk: Option<GossipSetup>) -> Self {
        Self::set(told, talk, OperatorFile::default())
    }

    /// One with an operator file.
    pub fn set(told: &str, talk: Option<GossipSetup>, sheet: OperatorFile) -> Self {
        let given = config::parse(told, None).unwrap();
        let listener = TcpListener::bind(given.listen).unwrap();
        let address = listener.local_addr().unwrap();
        let (orders, heard) = async_channel::bounded(4);
        let (end, ended) = mpsc::channel();
        thread::spawn(move || {
            let tasks = Tasks::default();
            let _ =
                end.send(async_io::block_on(tasks.run(serve(tasks, given, listener, heard, talk, &sheet))));
        });
        Self { address, orders, ended }
    }

    pub fn ends(&self) {
        assert_eq!(self.ended.recv_timeout(LONG), Ok(Ok(())));
    }
}
