//! Why a call to a peer brought no answer, by whose fault: a timer of ours, a call of ours that failed on this machine, a
//! connection that was never made, one that broke, or bytes that make no sense.

use std::fmt;
use std::io;

use rustix::io::Errno;

use crate::interrupted_calls::is_interrupted;

/// The fault of a call.
#[derive(Debug)]
pub enum CallError {
    /// A timer of ours: no descriptor came free in time.
    NoDescriptor,
    /// A timer of ours: no connection came up in time.
    NoConnectionInTime,
    /// A timer of ours: no answer came in time.
    NoAnswerInTime,
    /// A timer of ours: the answer came too slowly, in these figures.
    TooSlow(String),
    /// A system call that failed on this machine, as where it is short of something; it says nothing of the peer.
    Local(io::Error),
    /// Nothing listens at the address.
    Refused,
    /// The network found no way to the peer.
    Unreachable(io::Error),
    /// A connection that was up broke, or ended within an answer.
    Broken(io::Error),
    /// What came makes no sense.
    Malformed(&'static str),
}

impl CallError {
    /// The fault of a connection that could not be made. Errors that only the peer or the network between can cause are told
    /// apart; all others are of this machine.
    pub fn of_connect(error: io::Error) -> Self {
        match Errno::from_io_error(&error) {
            Some(Errno::CONNREFUSED) => Self::Refused,
            Some(Errno::TIMEDOUT | Errno::HOSTUNREACH | Errno::CONNRESET | Errno::CONNABORTED) => {
                Self::Unreachable(error)
            }
            _ => Self::Local(error),
        }
    }

    /// The fault of a write. One that signals interrupted before its first byte says nothing of the peer.
    pub fn of_write(error: io::Error) -> Self {
        if is_interrupted(&error) { Self::Local(error) } else { Self::Broken(error) }
    }

    /// Whether the end of a connection shows that the peer may be another process since.
    pub fn is_break(&self) -> bool {
        matches!(self, Self::Refused | Self::Broken(_))
    }
}

impl fmt::Display for CallError {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoDescriptor => out.write_str("no descriptor in time"),
            Self::NoConnectionInTime => out.write_str("no connection in time"),
            Self::NoAnswerInTime => out.write_str("no answer in time"),
            Self::TooSlow(figures) => write!(out, "too slow: {figures}"),
            Self::Local(error) => write!(out, "failed on this machine: {error}"),
            Self::Refused => out.write_str("connection refused"),
            Self::Unreachable(error) => write!(out, "unreachable: {error}"),
            Self::Broken(error) => write!(out, "broke: {error}"),
            Self::Malformed(what) => write!(out, "makes no sense: {what}"),
        }
    }
}

impl std::error::Error for CallError {}
