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
const LOOK: Duration = Duration::from_millis(20);
const PIECE_BYTES: usize = 16 * 1024;

/// Why a file could not be read.
#[derive(Debug)]
pub enum FileError {
    Io(io::Error),
    /// The file holds more than this many bytes.
    TooLong(u64),
    /// The file did not arrive completely within this time.
    NotInTime(Duration),
    NotText,
}

impl fmt::Display for FileError {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(error) => error.fmt(out),
            Self::TooLong(most) => write!(out, "longer than the {most} bytes that are allowed"),
            Self::NotInTime(within) => write!(out, "did not come whole within {} seconds", within.as_secs()),
            Self::NotText => out.write_str("no UTF-8 text"),
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
    pub fn text(mut self, most: u64, within: Duration) -> Result<Zeroizing<String>, FileError> {
        let by = Instant::now() + within;
        // The capacity covers the whole file, so that a growing buffer leaves no copy of a secret behind.
        let size = self.metadata()?.len().min(most) as usize;
        let mut bytes = Zeroizing::new(Vec::with_capacity(size + PIECE_BYTES));
        let mut piece = Zeroizing::new([0; PIECE_BYTES]);
        loop {
            match self.0.read(&mut *piece) {
                // No writer has opened the FIFO yet, or one closed it without writing.
                Ok(0) if bytes.is_empty() && !self.metadata()?.is_file() => self.wait(by, within)?,
                Ok(0) => break,
                Ok(count) => bytes.extend_from_slice(&piece[..count]),
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => self.wait(by, within)?,
                Err(error) => return Err(error.into()),
            }
            if bytes.len() as u64 > most {
                return Err(FileError::TooLong(most));
            }
        }
        let text = str::from_utf8(&bytes).map_err(|_| FileError::NotText)?;
        Ok(Zeroizing::new(text.to_owned()))
    }

    /// Waits until more data may be there; fails once the time is over.
    fn wait(&self, by: Instant, within: Duration) -> Result<(), FileError> {
        let left = by.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(FileError::NotInTime(within));
        }
        let at_most = Timespec { tv_sec: left.as_secs() as i64, tv_nsec: left.subsec_nanos().into() };
        let mut looked = [PollFd::new(&self.0, PollFlags::IN)];
        let _ = poll(&mut looked, Some(&at_most));
        // A FIFO whose writer is gone polls as ready at once but is empty.
        if !looked[0].revents().contains(PollFlags::IN) {
            thread::sleep(LOOK.min(left));
        }
        Ok(())
    }
}

/// Reads the whole text of a file.
pub fn read_text(path: &Path, most: u64) -> Result<Zeroizing<String>, FileError> {
    InputFile::open(path)?.text(most, READ_TIMEOUT)
}
