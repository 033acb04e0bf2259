//! Discovery: sources of the engine list, one module each.

mod calls;
pub mod poll;
