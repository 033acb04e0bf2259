//! Stand-ins for what a router meets, which all packages' tests share: engines, a bulletin, clients and routers on
//! loopback; datagrams, instances and engines on a virtual network and clock; and checkers of the rules.

pub mod calls;
pub mod clients;
pub mod cluster;
pub mod discovery;
pub mod engines;
pub mod faults;
pub mod fleet;
pub mod folders;
pub mod lightweight;
pub mod log_reader;
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

/// What is awaited comes long before this, or never.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);
