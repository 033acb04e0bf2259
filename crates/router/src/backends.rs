//! One engine protocol each.

pub mod sql;
