//! Discovery: one source of the engine list each.

mod calls;
pub mod poll;
