//! MessagePack-RPC over TCP.

pub mod codec;
pub mod connections;
pub mod front;
pub mod listen;
pub mod request;
