//! What every host of the decision module shares: names and their small indices, and a router built from the
//! settings object.

pub mod fields;
mod instance;
mod names;

pub use instance::{Instance, come_back};
pub use names::Door;
