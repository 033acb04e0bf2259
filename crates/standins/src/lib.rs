//! Stand-ins for what a router meets, which all packages' tests share: engines, a bulletin, clients and routers on
//! loopback; datagrams, instances and engines on a virtual network and clock; and checkers of the rules.

pub mod bulletin;
pub mod calls;
pub mod clients;
pub mod cluster;
pub mod engines;
pub mod faults;
pub mod fleet;
pub mod folders;
pub mod hollow;
pub mod log_reader;
pub mod net;
pub mod ports;
pub mod preload;
pub mod processes;
pub mod relays;
pub mod routers;
pub mod troubles;
pub mod world;

use std::time::Duration;

pub use bulletin::{Events, asked, member};
pub use clients::Client;
pub use engines::{Call, Gate, Says, Standin, pages, says};
pub use routers::{Running, told};

/// What is awaited comes long before this, or never.
pub const LONG: Duration = Duration::from_secs(20);
