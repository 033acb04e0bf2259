//! MessagePack-RPC over TCP.

pub mod codec;
pub mod front;
pub mod guests;
pub mod listen;
pub mod request;
