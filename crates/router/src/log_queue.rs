//! The queue between the threads that log and the one thread that writes the lines. Threat: the reader of the
//! log stalls, so that a write to a full pipe or a suspended terminal blocks; the thread that handles
//! requests must not wait for it. A line that does not fit is dropped and counted. In a burst of lines, this
//! costs the lines that exceed the queue: they are missing from the log.

use std::fs::File;
use std::io::{self, Write};
use std::os::fd::{AsFd, BorrowedFd};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use log::Level;
use rustix::event::{PollFd, PollFlags, poll};

/// Maximum number of queued bytes. The buffer that the writer is working on may hold the same number in
/// addition.
pub const MAX_QUEUED_BYTES: usize = 64 * 1024;
/// The part of the queue that is reserved for warnings and errors, so that a burst of other lines leaves
/// space for them.
pub const RESERVED_BYTES: usize = 16 * 1024;
const STACK_BYTES: usize = 128 * 1024;

/// The number of lines that this process has dropped since its start.
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Returns how many log lines this process has dropped since its start.
pub fn dropped_lines() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// Renders the line that reports the given number of dropped lines.
pub type DropNotice = Box<dyn Fn(u64) -> Vec<u8> + Send>;

/// The queue of one log. Clones share it.
#[derive(Clone, Default)]
pub struct LogQueue(Arc<Shared>);

#[derive(Default)]
struct Shared {
    state: Mutex<State>,
    /// Notified when there is something to write.
    not_empty: Condvar,
    /// Notified when everything has been written.
    flushed: Condvar,
}

#[derive(Default)]
struct State {
    /// Complete lines, in order.
    lines: Vec<u8>,
    /// Number of dropped lines that have not been reported yet.
    dropped: u64,
    /// Whether the writer is writing lines that it has taken from the queue.
    is_writing: bool,
}

impl LogQueue {
    /// Starts the thread that writes to `out`. If no thread can be started, the queue fills and lines are
    /// dropped.
    pub fn start(out: File, notice: DropNotice) -> io::Result<Self> {
        let queue = Self::default();
        let writer = Writer { queue: queue.clone(), out, notice, at_line_start: true };
        thread::Builder::new()
            .name("log-writer".to_owned())
            .stack_size(STACK_BYTES)
            .spawn(|| writer.run())?;
        Ok(queue)
    }

    /// Queues one line, with its line feed, or drops and counts it. It never waits for the reader of the log:
    /// the lock is held only while memory is copied.
    pub fn push(&self, line: &[u8], level: Level) {
        let max_bytes =
            if level <= Level::Warn { MAX_QUEUED_BYTES } else { MAX_QUEUED_BYTES - RESERVED_BYTES };
        let mut state = self.lock();
        if state.lines.len() + line.len() <= max_bytes {
            state.lines.extend_from_slice(line);
        } else {
            state.dropped += 1;
            DROPPED.fetch_add(1, Ordering::Relaxed);
        }
        drop(state);
        self.0.not_empty.notify_one();
    }

    /// Waits until all lines are written, but no longer than `time_limit`; returns whether they are.
    pub fn flush(&self, time_limit: Duration) -> bool {
        let deadline = Instant::now() + time_limit;
        let mut state = self.lock();
        while state.is_writing || !state.lines.is_empty() || state.dropped > 0 {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return false;
            }
            let waited = self.0.flushed.wait_timeout(state, left);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
        true
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits for something to write, then swaps all queued lines for the empty buffer. The notice of lines
    /// that were dropped meanwhile is added after them.
    fn take_lines(&self, batch: &mut Vec<u8>, notice: &DropNotice) {
        let mut state = self.lock();
        while state.lines.is_empty() && state.dropped == 0 {
            state.is_writing = false;
            self.0.flushed.notify_all();
            state = self.0.not_empty.wait(state).unwrap_or_else(PoisonError::into_inner);
        }
        state.is_writing = true;
        std::mem::swap(&mut state.lines, batch);
        let dropped = std::mem::take(&mut state.dropped);
        if dropped > 0 {
            batch.extend(notice(dropped));
        }
    }
}

/// Writes queued lines for as long as the process runs.
struct Writer {
    queue: LogQueue,
    out: File,
    notice: DropNotice,
    /// Whether the last byte written ended a line.
    at_line_start: bool,
}

impl Writer {
    fn run(mut self) {
        let mut batch = Vec::new();
        loop {
            self.queue.take_lines(&mut batch, &self.notice);
            self.write(&batch);
            batch.clear();
        }
    }

    /// Writes complete lines. Lines that can't be written, as on a full disk or when the reader is gone, are
    /// dropped and counted.
    fn write(&mut self, lines: &[u8]) {
        if !self.at_line_start && self.write_all(b"\n").is_err() {
            return self.count_dropped(lines);
        }
        if let Err(rest) = self.write_all(lines) {
            self.count_dropped(rest);
        }
    }

    fn count_dropped(&self, lines: &[u8]) {
        let count = lines.split_inclusive(|byte| *byte == b'\n').count() as u64;
        DROPPED.fetch_add(count, Ordering::Relaxed);
    }

    /// Returns the bytes that are left if a write fails.
    fn write_all<'a>(&mut self, mut bytes: &'a [u8]) -> Result<(), &'a [u8]> {
        while let Some(last) = bytes.len().checked_sub(1) {
            match self.out.write(bytes) {
                Ok(0) => return Err(bytes),
                Ok(count) => {
                    self.at_line_start = bytes[(count - 1).min(last)] == b'\n';
                    bytes = &bytes[count..];
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                // Another process that shares the descriptor may have made it non-blocking; this one must not
                // change its flags.
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => wait_writable(self.out.as_fd()),
                Err(_) => return Err(bytes),
            }
        }
        Ok(())
    }
}

fn wait_writable(out: BorrowedFd<'_>) {
    let mut poll_fds = [PollFd::from_borrowed_fd(out, PollFlags::OUT)];
    let _ = poll(&mut poll_fds, None);
}
