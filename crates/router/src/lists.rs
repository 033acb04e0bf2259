//! One source of the engine list each.

pub mod bulletin;
