//! Allocation of jobs to zones: decides which share of each zone's jobs, by reservation type, is served at
//! home, goes to which other zone, or is throttled at home. No other package uses this crate yet.
//!
//! So far the crate has the solver alone ([`allocation::solve`]): exact, in integers, with the same result at
//! every router for the same inputs. It does no I/O, reads no clock and starts no thread.

pub mod allocation;
pub mod flow;
