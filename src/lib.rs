//! woadhook decides when and on which sql engine each job of a router runs.
//!
//! [`logic`] holds every decision, [`interface`] the words that a host exchanges with it, and [`time`] the
//! two types for points and spans of time. A host tells a [`Router`] what happens and then pulls decisions
//! until there is none; the crate itself opens no socket and reads no clock.

mod estimates;
pub mod interface;
pub mod logic;
mod records;
mod slow_start;
pub mod time;

pub use interface::*;
pub use logic::Router;
pub use time::{Moment, Span};
