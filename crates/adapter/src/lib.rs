//! Hosts routers of the decision module behind a protocol on standard input and output. [`flint`] is the
//! bench's wire; another protocol would stand beside it and share the crate `woadhook_host`.

pub mod flint;
