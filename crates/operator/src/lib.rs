//! The operator file: the settings of an installation beside the platform's configuration.
//!
//! The file is a Jsonnet template. [`template`] evaluates it, [`subprocess`] does so in a child process with
//! limits on time and memory, [`table`] has an entry for each allowed field, and [`operator_file`] checks the
//! result against that table and gives each part of the program its section.

pub mod operator_file;
pub mod page;
pub mod subprocess;
pub mod table;
pub mod template;

pub use operator_file::{OperatorFile, Section};
pub use table::{FIELDS, Field, FieldKind};
