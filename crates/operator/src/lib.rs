//! The operator file: what an installation sets beside the platform's configuration.
//!
//! It is a Jsonnet template. [`template`] evaluates it, [`bounds`] does so in a process of its own with limits on
//! time and memory, [`table`] holds a line for each field that may stand there, and [`sheet`] checks what
//! came out against that table and hands it to the parts of the program, section by section.

pub mod bounds;
pub mod page;
pub mod sheet;
pub mod table;
pub mod template;

pub use sheet::{Section, Sheet};
pub use table::{FIELDS, Field, Kind};
