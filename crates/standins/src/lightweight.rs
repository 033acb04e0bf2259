//! Lightweight parties, of which one process holds thousands: they answer at once, do no work and count their
//! traffic.

pub mod callers;
pub mod discovery;
pub mod engines;
