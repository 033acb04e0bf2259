//! The working set of a router: which of the listed engines it holds, where it can't hold all of them. Nothing uses this crate yet.
//!
//! Membership is decided engine by engine: each engine's mark draws an order of the replicas ([`rank`]), and the
//! first so many of them hold it ([`WorkingSet`]). So every engine is held by a stated number of replicas, a test of
//! membership costs the same however long the list is, and an engine that comes or goes changes nothing for any
//! other. There is no I/O, no clock and no chance here but what is drawn from marks.

mod engine_counts;
mod working_set;
mod rank;

pub use engine_counts::{EngineCounts, EngineClass, Restriction};
pub use working_set::{Membership, MAX_DOUBLINGS, WorkingSet, HolderCounts};
pub use rank::{Replica, rank};

/// Engines in a working set on average. The part of them that is bad (full, cold, set aside) differs from the
/// part of all engines that is by at most 9 points at two sigma: `2 * sqrt(0.25 / 128) = 0.088`.
pub const TARGET_SET_SIZE: usize = 128;

/// What of [`TARGET_SET_SIZE`] is drawn from all engines alike; the rest is of the router's own zone. It is what is left to
/// a router whose zone is lost.
pub const ANY_ZONE_SET_SIZE: usize = 64;

/// Replicas that hold an engine at least: a replica with many times the mean traffic meets the traffic of so many
/// others at its engines, and a deployment of fewer replicas holds all engines at all of them.
pub const MIN_HOLDERS: usize = 16;

/// Engines on average that a working set has for a reservation type that may run on few of them.
pub const RESTRICTED_TYPE_SET_SIZE: usize = 32;
