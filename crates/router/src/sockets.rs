//! Descriptors: their shares, and the one place where each is given back.

use std::cell::Cell;
use std::io::{self, IoSlice};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::os::fd::AsFd;
use std::sync::Arc;

use async_io::Async;
use async_lock::{Semaphore, SemaphoreGuardArc};
use futures_lite::{AsyncReadExt, AsyncWrite, FutureExt, future};
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use woadhook::Span;
use woadhook_flow_control::min_rate::{MinRate, RateMonitor};

use crate::clock::{Clock, sleep};
use crate::faults::CallError;
use crate::interrupted_calls::{MAX_IMMEDIATE_TRIES, RETRY_PAUSE, is_interrupted, retried, retried_at_once};

/// Descriptors that are no sockets of peers: standard streams, poller, signals, listener, bulletin.
const OWN: usize = 24;
/// How much of what a peer still sends is read after the last word to it.
const PARTING_BYTES: usize = 256 * 1024;
const PARTING_READ: usize = 4 * 1024;

/// The descriptor limit in parts that cannot starve each other.
pub struct DescriptorBudget {
    pub clients: Arc<Semaphore>,
    /// How many clients that allows.
    pub max_clients: usize,
    /// Starting queries, their news and pages.
    pub queries: Arc<Semaphore>,
    /// Giving queries up and priorities.
    pub control_calls: Arc<Semaphore>,
    pub probes: Arc<Semaphore>,
}

impl DescriptorBudget {
    pub fn split(limit: usize) -> Self {
        let clients = limit / 3;
        let rest = limit.saturating_sub(clients + OWN).max(2);
        let (control_calls, probes) = ((rest / 5).max(1), (rest / 20).max(1));
        let queries = rest.saturating_sub(control_calls + probes).max(1);
        let part = |count| Arc::new(Semaphore::new(count));
        Self {
            clients: part(clients.max(1)),
            max_clients: clients.max(1),
            queries: part(queries),
            control_calls: part(control_calls),
            probes: part(probes),
        }
    }
}

/// What stands to be read.
pub enum PendingInput {
    Nothing,
    Bytes,
    /// The end of the connection, in order or not.
    Close,
}

/// A connected socket; dropping it closes it and then gives its descriptor back.
pub struct Socket {
    pub stream: Async<TcpStream>,
    _permit: SemaphoreGuardArc,
}

impl Socket {
    pub fn accepted(stream: Async<TcpStream>, permit: SemaphoreGuardArc) -> Self {
        let _ = stream.get_ref().set_nodelay(true);
        Self { stream, _permit: permit }
    }

    pub async fn connect(to: SocketAddr, span: Span, permit: SemaphoreGuardArc) -> Result<Self, CallError> {
        let stream = with_timeout(span, Async::<TcpStream>::connect(to)).await;
        let stream = stream.ok_or(CallError::NoConnectionInTime)?.map_err(CallError::of_connect)?;
        Ok(Self::accepted(stream, permit))
    }

    /// Whether the peer has neither closed it nor sent what nobody asked for.
    pub fn is_quiet(&self) -> bool {
        matches!(self.peek(), PendingInput::Nothing)
    }

    pub fn peek(&self) -> PendingInput {
        match retried_at_once(|| self.stream.get_ref().peek(&mut [0])) {
            Ok(1..) => PendingInput::Bytes,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => PendingInput::Nothing,
            // Whoever asks closes nothing over bytes, and sends nothing behind them.
            Err(error) if is_interrupted(&error) && is_readable(&self.stream) => PendingInput::Bytes,
            Err(error) if is_interrupted(&error) => PendingInput::Nothing,
            _ => PendingInput::Close,
        }
    }

    /// Whether the peer has closed its side, also behind bytes that were not read yet.
    pub fn is_closed_by_peer(&self) -> bool {
        match self.peek() {
            PendingInput::Nothing => false,
            PendingInput::Close => true,
            PendingInput::Bytes => {
                let ends = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
                let mut looked = [PollFd::new(&self.stream, PollFlags::RDHUP)];
                let at_once = Timespec { tv_sec: 0, tv_nsec: 0 };
                let look = retried_at_once(|| Ok(poll(&mut looked, Some(&at_once))?));
                look.is_ok() && looked[0].revents().intersects(ends)
            }
        }
    }

    /// Ends it in order, for so long at most. Threat: a close over unread bytes resets the connection, and what was
    /// written and not yet read by the peer goes with it. So the peer is told of the end, and what still comes is read
    /// and thrown away: it never was a request. It may hold a descriptor for that long.
    pub async fn close_gracefully(&self, span: Span) {
        let _ = self.stream.get_ref().shutdown(Shutdown::Write);
        let drain = async {
            let (mut passed, mut left) = (vec![0; PARTING_READ], PARTING_BYTES);
            while left > 0 {
                match read(&self.stream, &mut passed).await {
                    Ok(0) | Err(_) => break,
                    Ok(count) => left = left.saturating_sub(count),
                }
            }
        };
        with_timeout(span, drain).await;
    }
}

/// Whether a socket has something to take at once, or may have, as the look at it failed.
pub fn is_readable(socket: impl AsFd) -> bool {
    let at_once = Timespec { tv_sec: 0, tv_nsec: 0 };
    let mut looked = [PollFd::new(&socket, PollFlags::IN)];
    retried_at_once(|| Ok(poll(&mut looked, Some(&at_once))?)).map_or(true, |count| count > 0)
}

/// The outcome of `work`, or nothing once the span has passed.
pub async fn with_timeout<T>(span: Span, work: impl Future<Output = T>) -> Option<T> {
    let done = async { Some(work.await) };
    let late = async {
        sleep(span).await;
        None
    };
    done.or(late).await
}

/// Reads what has come, or waits for it.
pub async fn read(stream: &Async<TcpStream>, buffer: &mut [u8]) -> io::Result<usize> {
    retried(async || read_once(stream, buffer).await).await
}

/// The same, but for a read that a signal interrupted.
pub async fn read_once(mut stream: &Async<TcpStream>, buffer: &mut [u8]) -> io::Result<usize> {
    stream.read(buffer).await
}

/// Why not all was written.
pub enum WriteError {
    /// The peer took it too slowly, in these figures.
    TooSlow(String),
    /// The connection broke.
    Broken(io::Error),
}

/// Writes all the parts, and no slower than `least`.
pub async fn write_at_min_rate(
    stream: &Async<TcpStream>, parts: &[&[u8]], clock: Clock, least: MinRate,
) -> Result<(), WriteError> {
    let watch = Cell::new(RateMonitor::start(clock.now(), least));
    let progress = |progress| match progress {
        Progress::Written(bytes) => {
            let mut moved = watch.get();
            moved.record(clock.now(), bytes);
            watch.set(moved);
        }
        // The peer is not slow for it.
        Progress::Interrupted => watch.set(RateMonitor::start(clock.now(), least)),
    };
    let too_slow = async {
        while !watch.get().is_too_slow(clock.now()) {
            clock.sleep_until(watch.get().deadline()).await;
        }
        let (bytes, rate) = watch.get().stats(clock.now());
        let allowed = least.bytes_per_s;
        Err(WriteError::TooSlow(format!("{bytes} bytes at {rate:.0} a second, allowed are {allowed:.0}")))
    };
    let written = async {
        write_gathered(stream, parts, FirstByte::WhenItCan, progress).await.map_err(WriteError::Broken)
    };
    written.or(too_slow).await
}

/// What becomes of a write whose first byte interruptions hold up.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum FirstByte {
    /// It fails as interrupted, with nothing written: what was looked at before it, or told in it, may hold no more.
    AtOnce,
    /// It is made again.
    WhenItCan,
}

/// How far a write has come.
#[derive(Clone, Copy)]
pub enum Progress {
    /// So many bytes more went.
    Written(usize),
    /// None went, as signals interrupted each try.
    Interrupted,
}

/// Writes all the parts in order, as many at once as the system takes. `progress` hears of each write.
pub async fn write_gathered(
    stream: &Async<TcpStream>, parts: &[&[u8]], first: FirstByte, mut progress: impl FnMut(Progress),
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
                if !has_begun && first == FirstByte::AtOnce {
                    return Err(error);
                }
                sleep(RETRY_PAUSE).await;
                progress(Progress::Interrupted);
                continue;
            }
            Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
            written => written?,
        };
        has_begun = true;
        progress(Progress::Written(count));
        IoSlice::advance_slices(&mut left, count);
    }
    Ok(())
}
