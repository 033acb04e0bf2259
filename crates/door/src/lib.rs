//! What every host of the decision module shares: names and their small indices, and a router built from the
//! settings object.

mod directory;
pub mod fields;
mod instance;
mod names;

pub use directory::{Directory, Layout, Line, Listing};
pub use instance::{Instance, come_back};
pub use names::{Door, mark_of};
