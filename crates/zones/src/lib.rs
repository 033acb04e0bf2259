//! Zones: which share of each zone's jobs stays, goes to which other zone, or is throttled at home, by reservation type. Nothing uses this crate yet.
//!
//! So far the solver alone ([`allocation::solve`]): exact, in whole numbers, and the same at every router for the same figures.
//! No I/O, clock or thread.

pub mod flow;
pub mod allocation;
