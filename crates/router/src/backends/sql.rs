//! Sql engines over HTTP/1.1.

pub mod engine;
pub mod handle;
pub mod query;
