//! What every host of the decision module shares: names and their small indices, and a router built from the
//! settings object.

pub mod fields;
mod instance;
mod interner;

pub use instance::{Instance, max_retry_after};
pub use interner::Interner;
