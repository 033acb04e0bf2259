//! The process's descriptors: how they are divided, and the one place where each is released.

use std::cell::Cell;
use std::io::{self, IoSlice};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::os::fd::AsFd;
use std::sync::Arc;
use std::time::Duration;

use async_io::Async;
use async_lock::{Semaphore, SemaphoreGuardArc};
use futures_lite::{AsyncReadExt, AsyncWrite, FutureExt, future};
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use socket2::SockRef;
use woadhook::Span;
use woadhook_flow_control::min_rate::{MinRate, RateMonitor};

use crate::clock::{Clock, sleep};
use crate::faults::CallError;
use crate::interrupted_calls::{
    MAX_IMMEDIATE_TRIES, RETRY_PAUSE, is_interrupted, retry_interrupted, retry_interrupted_at_once,
};

/// Descriptors that are not connections to peers: standard streams, poller, signals, listener, discovery.
const RESERVED_DESCRIPTORS: usize = 24;
/// Maximum number of bytes that are read and discarded from a peer after the last write to it.
const MAX_DISCARDED_BYTES: usize = 256 * 1024;
const DISCARD_CHUNK_BYTES: usize = 4 * 1024;

/// The descriptor limit, divided into parts that cannot starve each other.
pub struct DescriptorBudget {
    /// Descriptors for client connections.
    pub clients: Arc<Semaphore>,
    /// The maximum number of client connections.
    pub max_clients: usize,
    /// Descriptors for calls that start queries or fetch their progress and pages.
    pub queries: Arc<Semaphore>,
    /// Descriptors for calls that give queries up or change their priorities.
    pub control_calls: Arc<Semaphore>,
    /// Descriptors for probes.
    pub probes: Arc<Semaphore>,
}

impl DescriptorBudget {
    pub fn split(limit: usize) -> Self {
        let clients = limit / 3;
        let rest = limit.saturating_sub(clients + RESERVED_DESCRIPTORS).max(2);
        let (control_calls, probes) = ((rest / 5).max(1), (rest / 20).max(1));
        let queries = rest.saturating_sub(control_calls + probes).max(1);
        let semaphore = |count| Arc::new(Semaphore::new(count));
        Self {
            clients: semaphore(clients.max(1)),
            max_clients: clients.max(1),
            queries: semaphore(queries),
            control_calls: semaphore(control_calls),
            probes: semaphore(probes),
        }
    }
}

/// What is ready to be read on a socket.
pub enum PendingInput {
    Nothing,
    Bytes,
    /// The connection has been closed or reset.
    Close,
}

/// A connected socket. Dropping it closes it and then releases its descriptor.
pub struct Socket {
    pub stream: Async<TcpStream>,
    _permit: SemaphoreGuardArc,
}

impl Socket {
    pub fn accepted(stream: Async<TcpStream>, permit: SemaphoreGuardArc) -> Self {
        let _ = stream.get_ref().set_nodelay(true);
        Self { stream, _permit: permit }
    }

    /// Connects to a server. Until [`Socket::close_in_order`] is called, closing the socket resets the
    /// connection.
    pub async fn connect(to: SocketAddr, span: Span, permit: SemaphoreGuardArc) -> Result<Self, CallError> {
        let stream = with_timeout(span, Async::<TcpStream>::connect(to)).await;
        let stream = stream.ok_or(CallError::NoConnectionInTime)?.map_err(CallError::of_connect)?;
        let socket = Self::accepted(stream, permit);
        socket.reset_on_close().map_err(CallError::Local)?;
        Ok(socket)
    }

    /// Makes a later close reset the connection, however the close comes about, even by the end of the
    /// process. The system then discards what it has not delivered; otherwise it would go on delivering it,
    /// for example once a network partition ends. Bytes that have reached the peer's system stay there, and
    /// the peer may still read them.
    fn reset_on_close(&self) -> io::Result<()> {
        retry_interrupted_at_once(|| SockRef::from(&self.stream).set_linger(Some(Duration::ZERO)))
    }

    /// Makes a later close an orderly one again, as it is by default.
    pub fn close_in_order(&self) -> io::Result<()> {
        retry_interrupted_at_once(|| SockRef::from(&self.stream).set_linger(None))
    }

    /// Whether the peer has neither closed the connection nor sent unsolicited bytes.
    pub fn is_quiet(&self) -> bool {
        matches!(self.peek(), PendingInput::Nothing)
    }

    pub fn peek(&self) -> PendingInput {
        match retry_interrupted_at_once(|| self.stream.get_ref().peek(&mut [0])) {
            Ok(1..) => PendingInput::Bytes,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => PendingInput::Nothing,
            // This is the safe answer: on unread bytes callers neither close the connection of a client nor
            // send on one to an engine.
            Err(error) if is_interrupted(&error) && is_readable(&self.stream) => PendingInput::Bytes,
            Err(error) if is_interrupted(&error) => PendingInput::Nothing,
            _ => PendingInput::Close,
        }
    }

    /// Whether the peer has closed its side, even if unread bytes come before the close.
    pub fn is_closed_by_peer(&self) -> bool {
        match self.peek() {
            PendingInput::Nothing => false,
            PendingInput::Close => true,
            PendingInput::Bytes => {
                let close_flags = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
                let mut poll_fds = [PollFd::new(&self.stream, PollFlags::RDHUP)];
                let at_once = Timespec { tv_sec: 0, tv_nsec: 0 };
                let checked = retry_interrupted_at_once(|| Ok(poll(&mut poll_fds, Some(&at_once))?));
                checked.is_ok() && poll_fds[0].revents().intersects(close_flags)
            }
        }
    }

    /// Closes the connection gracefully, within `span`. Threat: closing a socket with unread bytes resets the
    /// connection, and what was written but not yet read by the peer is lost. The method therefore shuts down
    /// the sending side, then reads and discards what still arrives, none of which has been taken as a
    /// request. This costs a descriptor, which may stay in use for that time.
    pub async fn close_gracefully(&self, span: Span) {
        let _ = self.stream.get_ref().shutdown(Shutdown::Write);
        let drain = async {
            let (mut discarded, mut left) = (vec![0; DISCARD_CHUNK_BYTES], MAX_DISCARDED_BYTES);
            while left > 0 {
                match read(&self.stream, &mut discarded).await {
                    Ok(0) | Err(_) => break,
                    Ok(count) => left = left.saturating_sub(count),
                }
            }
        };
        with_timeout(span, drain).await;
    }
}

/// Whether the socket has something to read at once, or may have because the check failed.
pub fn is_readable(socket: impl AsFd) -> bool {
    let at_once = Timespec { tv_sec: 0, tv_nsec: 0 };
    let mut poll_fds = [PollFd::new(&socket, PollFlags::IN)];
    retry_interrupted_at_once(|| Ok(poll(&mut poll_fds, Some(&at_once))?)).map_or(true, |count| count > 0)
}

/// Returns the outcome of `work`, or `None` once the span has passed.
pub async fn with_timeout<T>(span: Span, work: impl Future<Output = T>) -> Option<T> {
    let done = async { Some(work.await) };
    let late = async {
        sleep(span).await;
        None
    };
    done.or(late).await
}

/// Reads what has arrived, or waits for it.
pub async fn read(stream: &Async<TcpStream>, buffer: &mut [u8]) -> io::Result<usize> {
    retry_interrupted(async || read_once(stream, buffer).await).await
}

/// Like `read`, but returns an error if a signal interrupts it.
pub async fn read_once(mut stream: &Async<TcpStream>, buffer: &mut [u8]) -> io::Result<usize> {
    stream.read(buffer).await
}

/// Why not everything was written.
pub enum WriteError {
    /// The peer read too slowly, with the measured figures.
    TooSlow(String),
    /// The connection broke.
    Broken(io::Error),
}

/// Writes all the parts, and fails if the peer takes them more slowly than `min_rate`.
pub async fn write_at_min_rate(
    stream: &Async<TcpStream>, parts: &[&[u8]], clock: Clock, min_rate: MinRate,
) -> Result<(), WriteError> {
    let monitor = Cell::new(RateMonitor::start(clock.now(), min_rate));
    let progress = |progress| match progress {
        WriteProgress::Written(bytes) => {
            let mut moved = monitor.get();
            moved.record(clock.now(), bytes);
            monitor.set(moved);
        }
        // The interruption does not count against the peer.
        WriteProgress::Interrupted => monitor.set(RateMonitor::start(clock.now(), min_rate)),
    };
    let too_slow = async {
        while !monitor.get().is_too_slow(clock.now()) {
            clock.sleep_until(monitor.get().deadline()).await;
        }
        let (bytes, rate) = monitor.get().stats(clock.now());
        let allowed = min_rate.bytes_per_s;
        Err(WriteError::TooSlow(format!("{bytes} bytes at {rate:.0} a second, allowed are {allowed:.0}")))
    };
    let written =
        async { write_gathered(stream, parts, FirstByte::Retry, progress).await.map_err(WriteError::Broken) };
    written.or(too_slow).await
}

/// What happens to a write if interruptions delay its first byte.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum FirstByte {
    /// It fails as interrupted, with nothing written: what was checked before it, or what it states, may no
    /// longer hold.
    FailIfInterrupted,
    /// It is repeated.
    Retry,
}

/// The outcome of one step of a write.
#[derive(Clone, Copy)]
pub enum WriteProgress {
    /// This many more bytes were written.
    Written(usize),
    /// Nothing was written, as signals interrupted each try.
    Interrupted,
}

/// Writes all the parts in order, as many at once as the system takes. `progress` is called after each write.
pub async fn write_gathered(
    stream: &Async<TcpStream>, parts: &[&[u8]], first: FirstByte, mut progress: impl FnMut(WriteProgress),
) -> io::Result<()> {
    let mut slices: Vec<IoSlice> = parts.iter().map(|part| IoSlice::new(part)).collect();
    let mut left = slices.as_mut_slice();
    IoSlice::advance_slices(&mut left, 0);
    let (mut has_begun, mut tries) = (false, 0);
    while !left.is_empty() {
        let mut stream = stream;
        let written =
            future::poll_fn(|context| std::pin::Pin::new(&mut stream).poll_write_vectored(context, left));
        let count = match written.await {
            Err(error) if is_interrupted(&error) => {
                tries += 1;
                if tries % MAX_IMMEDIATE_TRIES != 0 {
                    continue;
                }
                if !has_begun && first == FirstByte::FailIfInterrupted {
                    return Err(error);
                }
                sleep(RETRY_PAUSE).await;
                progress(WriteProgress::Interrupted);
                continue;
            }
            Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
            written => written?,
        };
        has_begun = true;
        progress(WriteProgress::Written(count));
        IoSlice::advance_slices(&mut left, count);
    }
    Ok(())
}
