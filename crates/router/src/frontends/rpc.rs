//! MessagePack-RPC over TCP.

pub mod codec;
pub mod connections;
pub mod front;
pub mod listen;
mod message_buffer;
mod message_timer;
mod read_end;
mod refusal_pace;
pub mod request;
