//! MessagePack-RPC over TCP.

pub mod codec;
pub mod connections;
pub mod front;
pub mod listen;
mod message_buffer;
pub mod request;
