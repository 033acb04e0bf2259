//! The working set of a router: the subset of the listed engines that the router uses where there are too
//! many to use all of them. No other package uses this crate yet.
//!
//! Membership is decided for each engine on its own: the engine's stable hash determines an order of the
//! replicas ([`rank`]), and the first replicas of this order hold the engine, that is, have it in their
//! working set ([`WorkingSet`]). So every engine is held by a known number of replicas, a membership test
//! costs the same however long the list is, and an engine that joins or leaves the list changes no other
//! engine's order. The crate does no I/O, reads no clock and draws random numbers from the engines' hashes
//! alone.

mod engine_counts;
mod rank;
mod working_set;

pub use engine_counts::{EngineClass, EngineCounts, Restriction};
pub use rank::{Replica, rank};
pub use working_set::{HolderCounts, MAX_DOUBLINGS, Membership, WorkingSet};

/// Mean number of engines in a working set. The share of bad engines (full, cold, set aside) in a working set
/// differs from their share among all engines by at most 9 percentage points at two standard deviations:
/// `2 * sqrt(0.25 / 128) = 0.088`.
pub const TARGET_SET_SIZE: usize = 128;

/// The part of [`TARGET_SET_SIZE`] that is drawn from the engines of all zones alike; the rest is drawn from
/// the router's own zone. A router whose zone is lost keeps this part.
pub const ANY_ZONE_SET_SIZE: usize = 64;

/// Minimum number of replicas that hold an engine. If one replica has many times the mean traffic, its
/// traffic is mixed at its engines with that of this many other replicas. In a deployment of fewer replicas,
/// every replica holds all engines.
pub const MIN_HOLDERS: usize = 16;

/// Mean number of engines in a working set for a reservation type that may run on few of them.
pub const RESTRICTED_TYPE_SET_SIZE: usize = 32;
