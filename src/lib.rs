//! woadhook decides when and on which sql engine each job of a router runs.
//!
//! [`logic`] makes every decision, [`interface`] defines the types that it exchanges with its host, and
//! [`time`] the types for points in time and durations. A host passes events to a [`Router`] and then pulls
//! decisions until there are none left; the crate itself opens no socket and reads no clock.
//!
//! A comment that begins with `Threat:` names the fault that the code below it guards against, and the case
//! in which this defence costs something.

mod engine_records;
mod engine_sets;
mod estimates;
pub mod interface;
mod live_engines;
pub mod logic;
mod records;
mod slow_start;
pub mod time;

pub use interface::*;
pub use logic::Router;
pub use time::{Moment, Span};
