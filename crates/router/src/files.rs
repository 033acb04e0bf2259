//! Reads files that operators provide: whole, up to a given size, and within a given time if they are not
//! regular files. A FIFO without a writer would block for good. The time limit covers FIFOs, pipes and
//! devices; reads from a disk or network folder that does not respond have no limit, so the thread that
//! handles requests reads no files: `file_reads` does so on other threads.

use std::fmt;
use std::fs::{File, Metadata, OpenOptions};
use std::io::{self, Read};
use std::os::unix::fs::OpenOptionsExt;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use rustix::event::{PollFd, PollFlags, Timespec, poll};
use rustix::fs::OFlags;
use zeroize::Zeroizing;

/// Time limit for reading a file that is not a regular file.
pub const READ_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval between checks of a FIFO that nobody has written to yet.
const FIFO_POLL_INTERVAL: Duration = Duration::from_millis(20);
const CHUNK_BYTES: usize = 16 * 1024;

/// Why a file could not be read.
#[derive(Debug)]
pub enum FileError {
    Io(io::Error),
    /// The file holds more than this many bytes.
    TooLong(u64),
    /// The file did not arrive completely within this time.
    TimedOut(Duration),
    NotUtf8,
}

impl fmt::Display for FileError {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(error) => error.fmt(out),
            Self::TooLong(max_bytes) => write!(out, "longer than the {max_bytes} bytes that are allowed"),
            Self::TimedOut(time_limit) => {
                write!(out, "was not read completely within {} seconds", time_limit.as_secs())
            }
            Self::NotUtf8 => out.write_str("not UTF-8 text"),
        }
    }
}

impl std::error::Error for FileError {}

impl From<io::Error> for FileError {
    fn from(error: io::Error) -> Self {
        Self::Io(error)
    }
}

/// A file opened for reading.
pub struct InputFile(File);

impl InputFile {
    /// Opens the file without waiting for the writer of a FIFO.
    pub fn open(path: &Path) -> Result<Self, FileError> {
        let flags = OFlags::NONBLOCK.bits() as i32;
        Ok(Self(OpenOptions::new().read(true).custom_flags(flags).open(path)?))
    }

    pub fn metadata(&self) -> Result<Metadata, FileError> {
        Ok(self.0.metadata()?)
    }

    /// Reads the whole text, which is wiped from memory when dropped.
    pub fn read_text(mut self, max_bytes: u64, time_limit: Duration) -> Result<Zeroizing<String>, FileError> {
        let deadline = Instant::now() + time_limit;
        // The capacity covers the whole file, so that a growing buffer leaves no copy of a secret behind.
        let size = self.metadata()?.len().min(max_bytes) as usize;
        let mut bytes = Zeroizing::new(Vec::with_capacity(size + CHUNK_BYTES));
        let mut chunk = Zeroizing::new([0; CHUNK_BYTES]);
        loop {
            match self.0.read(&mut *chunk) {
                // No writer has opened the FIFO yet, or one closed it without writing.
                Ok(0) if bytes.is_empty() && !self.metadata()?.is_file() => {
                    self.wait_readable(deadline, time_limit)?
                }
                Ok(0) => break,
                Ok(count) => bytes.extend_from_slice(&chunk[..count]),
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    self.wait_readable(deadline, time_limit)?
                }
                Err(error) => return Err(error.into()),
            }
            if bytes.len() as u64 > max_bytes {
                return Err(FileError::TooLong(max_bytes));
            }
        }
        let text = str::from_utf8(&bytes).map_err(|_| FileError::NotUtf8)?;
        Ok(Zeroizing::new(text.to_owned()))
    }

    /// Waits until more data may be there; fails once the time is over.
    fn wait_readable(&self, deadline: Instant, time_limit: Duration) -> Result<(), FileError> {
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(FileError::TimedOut(time_limit));
        }
        let timeout = Timespec { tv_sec: left.as_secs() as i64, tv_nsec: left.subsec_nanos().into() };
        let mut poll_fds = [PollFd::new(&self.0, PollFlags::IN)];
        let _ = poll(&mut poll_fds, Some(&timeout));
        // A FIFO whose writer is gone polls as ready at once but is empty.
        if !poll_fds[0].revents().contains(PollFlags::IN) {
            thread::sleep(FIFO_POLL_INTERVAL.min(left));
        }
        Ok(())
    }
}

/// Reads the whole text of a file.
pub fn read_text(path: &Path, max_bytes: u64) -> Result<Zeroizing<String>, FileError> {
    InputFile::open(path)?.read_text(max_bytes, READ_TIMEOUT)
}
