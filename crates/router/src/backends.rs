//! Engine protocols, one module each.

pub mod sql;
