//! Instances find one another and share suspicions about engines, in a world where any of them may lie, lag or vanish.
//!
//! The core has no I/O, clock or thread. It is told what came ([`Gossip::receive`]), what this instance met
//! ([`Gossip::engine_judged`], [`Gossip::dispatch_ended`], [`Gossip::set_engines`]) and then gives out what to do, one by one, until there is
//! nothing ([`Gossip::next_action`]); [`Gossip::next_deadline`] says when it wants to be asked again. Chance comes from a seed.
//!
//! What is said here never decides where a job goes: it comes out as [`Action::PeerReport`], a doubt between 0 and 1 on one engine.
//! `docs/design/gossip.md` tells why it is built so.

mod belong;
pub mod budget;
pub mod bytes;
mod hear;
mod instance;
pub mod keys;
pub mod members;
pub mod news;
pub mod observe;
mod own;
mod round;
pub mod voters;
pub mod wire;
pub mod words;

pub use crate::instance::{Action, Counters, EventKind, Gossip, GossipConfig};
pub use crate::wire::EngineCondition;
