//! Hosts routers of the decision module behind a protocol on standard input and output. [`flint`] implements
//! the bench's wire protocol; another protocol would be a module beside it and use the crate `woadhook_host`
//! too.

pub mod flint;
