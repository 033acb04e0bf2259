//! Stand-ins that the tests of all packages share: engines, discovery, clients and routers on loopback;
//! datagrams, gossiping instances and engines on a virtual network and clock; and checks of the routing
//! rules.

pub mod calls;
pub mod clients;
pub mod cluster;
pub mod cpu_share;
pub mod discovery;
pub mod engines;
pub mod faults;
pub mod fleet;
pub mod folders;
pub mod lightweight;
pub mod log_reader;
pub mod many_engines;
pub mod many_engines_soak;
pub mod net;
pub mod ports;
pub mod preload;
pub mod processes;
pub mod relays;
pub mod routers;
pub mod simulation;
pub mod troubles;

use std::time::Duration;

pub use clients::Client;
pub use discovery::{DiscoveryEvents, query_param, roster_member};
pub use engines::{BlockedListener, Call, Response, StandinServer, response, result_page};
pub use routers::{RouterThread, router_config};

/// Upper bound for every wait of a test: an expected event comes long before it, or never.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);
