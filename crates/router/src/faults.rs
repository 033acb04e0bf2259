//! Why a call to a peer brought no answer, and by whose fault: a local timeout, a call that failed on this
//! machine, a connection that could not be made, a connection that broke, or a malformed answer.

use std::fmt;
use std::io;

use rustix::io::Errno;

use crate::interrupted_calls::is_interrupted;

/// The error of a call to a peer.
#[derive(Debug)]
pub enum CallError {
    /// Local timeout: no descriptor became free in time.
    NoDescriptor,
    /// Local timeout: no connection came up in time.
    NoConnectionInTime,
    /// Local timeout: no answer came in time.
    NoAnswerInTime,
    /// Local timeout: the answer came too slowly, with the measured figures.
    TooSlow(String),
    /// A system call failed on this machine, for example for lack of a resource; this does not indicate a
    /// fault of the peer.
    Local(io::Error),
    /// Nothing listens at the address.
    Refused,
    /// The network found no route to the peer.
    Unreachable(io::Error),
    /// An established connection broke, or ended within an answer.
    Broken(io::Error),
    /// The answer is malformed.
    Malformed(&'static str),
}

impl CallError {
    /// Classifies the error of a connection that could not be made. Errors that only the peer or the network
    /// can cause are distinguished; all others are local.
    pub fn of_connect(error: io::Error) -> Self {
        match Errno::from_io_error(&error) {
            Some(Errno::CONNREFUSED) => Self::Refused,
            Some(Errno::TIMEDOUT | Errno::HOSTUNREACH | Errno::CONNRESET | Errno::CONNABORTED) => {
                Self::Unreachable(error)
            }
            _ => Self::Local(error),
        }
    }

    /// Classifies the error of a write. A write that signals interrupted before its first byte does not
    /// indicate a fault of the peer.
    pub fn of_write(error: io::Error) -> Self {
        if is_interrupted(&error) { Self::Local(error) } else { Self::Broken(error) }
    }

    /// Whether the connection ended in a way that another process may listen at the peer's address since.
    pub fn is_break(&self) -> bool {
        matches!(self, Self::Refused | Self::Broken(_))
    }
}

impl fmt::Display for CallError {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoDescriptor => out.write_str("no descriptor became free in time"),
            Self::NoConnectionInTime => out.write_str("no connection in time"),
            Self::NoAnswerInTime => out.write_str("no answer in time"),
            Self::TooSlow(figures) => write!(out, "too slow: {figures}"),
            Self::Local(error) => write!(out, "failed on this machine: {error}"),
            Self::Refused => out.write_str("connection refused"),
            Self::Unreachable(error) => write!(out, "unreachable: {error}"),
            Self::Broken(error) => write!(out, "connection broke: {error}"),
            Self::Malformed(what) => write!(out, "malformed answer: {what}"),
        }
    }
}

impl std::error::Error for CallError {}
