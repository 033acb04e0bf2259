//! One client protocol each.

pub mod rpc;
