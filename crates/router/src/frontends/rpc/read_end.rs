//! Why the router stops reading from a client.

use std::fmt;
use std::io;

use crate::frontends::rpc::codec::Malformed;

/// Why reading from a client ended.
#[derive(Debug)]
pub enum ReadEnd {
    /// The client closed its side.
    Left,
    /// The connection broke.
    Broken(io::Error),
    /// The client sent something that is not a message.
    Malformed,
    /// A request number was not greater than the one before, so that answers could be confused.
    NumberNotNew,
    /// A message exceeds the maximum length.
    TooLong,
    /// A message arrived too slowly. The text states the measured rate.
    TooSlow(String),
    /// The connection was idle for too long.
    Idle,
}

impl ReadEnd {
    /// Whether the client may still read answers to its earlier requests, and distinguish them. Threat: a
    /// request that was accepted would not be answered because the data after it was malformed. The defence
    /// costs a descriptor, which the connection holds until these requests are answered.
    pub fn leaves_answers_owed(&self) -> bool {
        matches!(self, Self::Malformed | Self::TooLong)
    }
}

impl From<Malformed> for ReadEnd {
    fn from(_: Malformed) -> Self {
        Self::Malformed
    }
}

impl fmt::Display for ReadEnd {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Left => out.write_str("closed the connection"),
            Self::Broken(error) => write!(out, "connection broke: {error}"),
            Self::Malformed => out.write_str("sent a malformed message"),
            Self::NumberNotNew => out.write_str("used a request number that did not rise"),
            Self::TooLong => out.write_str("sent a message that is too long"),
            Self::TooSlow(figures) => write!(out, "sent a message too slowly: {figures}"),
            Self::Idle => out.write_str("was idle"),
        }
    }
}
