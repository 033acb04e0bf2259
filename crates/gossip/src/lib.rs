//! Lets instances of the router find one another and share observations about engines. Any of them may lie,
//! be slow or disappear.
//!
//! The core has no I/O, clock or thread. The host reports received datagrams ([`Gossip::receive`]) and its
//! own results ([`Gossip::engine_judged`], [`Gossip::dispatch_ended`], [`Gossip::set_engines`]), and then
//! fetches actions one at a time until there are none left ([`Gossip::next_action`]).
//! [`Gossip::next_deadline`] returns when to call it again. Random draws come from a seed.
//!
//! Reports of other members never decide where a job goes. They leave the core as [`Action::PeerReport`], a
//! suspicion between 0 and 1 about one engine. `docs/design/gossip.md` explains the design.

pub mod budget;
pub mod bytes;
mod engine_events;
mod instance;
pub mod item_queue;
mod key_changes;
pub mod keys;
pub mod members;
pub mod observations;
pub mod own_observations;
mod periodic;
mod receive;
pub mod voter_messages;
pub mod wire;

pub use crate::instance::{Action, Counters, EventKind, Gossip, GossipConfig};
pub use crate::wire::EngineCondition;
