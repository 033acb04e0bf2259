//! SQL engines over HTTP/1.1.

mod dispatch;
mod doubt;
mod end_notifier;
pub mod engine;
mod give_up;
pub mod handle;
pub mod query;
