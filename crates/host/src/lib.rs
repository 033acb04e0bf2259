//! Code that all hosts of the decision module share: interning of names, access to JSON fields, and a router
//! built from the settings object.

pub mod fields;
mod instance;
mod interner;

pub use instance::{Instance, max_retry_after};
pub use interner::Interner;
