//! Client protocols, one module each.

pub mod rpc;
