//! Discovery: one source of the engine list each.

pub mod poll;
