//! The operator file: what an installation sets beside the platform's configuration.
//!
//! It is a Jsonnet template. [`template`] evaluates it, [`subprocess`] does so in a process of its own with limits on
//! time and memory, [`table`] holds a line for each field that may stand there, and [`operator_file`] checks what
//! came out against that table and hands it to the parts of the program, section by section.

pub mod operator_file;
pub mod page;
pub mod subprocess;
pub mod table;
pub mod template;

pub use operator_file::{OperatorFile, Section};
pub use table::{FIELDS, Field, FieldKind};
