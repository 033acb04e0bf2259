//! Allocation of jobs to zones: decides which share of each zone's jobs, by reservation type, is served at
//! home, goes to which other zone, or is throttled at home. No other package uses this crate yet.
//!
//! The crate contains only the solver ([`allocation::solve`]), which is exact, calculates in integers, and
//! has the same result at every router for the same inputs. It does no I/O, reads no clock and starts no
//! thread.

pub mod allocation;
pub mod flow;
