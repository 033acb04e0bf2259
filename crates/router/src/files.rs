//! Files that operators give: read whole, up to a stated size, within a stated time where they are no files on a disk. A FIFO without
//! a writer would be awaited for good. The time bounds FIFOs, pipes and devices; a disk or a network folder that stands is bounded by
//! nothing, so the thread that carries requests reads no file: `file_reads` does beside it.

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

/// How long a file that is none on a disk may take to come.
pub const READ_TIMEOUT: Duration = Duration::from_secs(10);
/// Between looks at a FIFO that nobody has written to yet.
const LOOK: Duration = Duration::from_millis(20);
const PIECE_BYTES: usize = 16 * 1024;

/// Why a file could not be read.
#[derive(Debug)]
pub enum FileError {
    Io(io::Error),
    /// It holds more than so many bytes.
    TooLong(u64),
    /// It did not come whole within so long.
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

/// A file that was opened to be read.
pub struct InputFile(File);

impl InputFile {
    /// Opens it without waiting for the writer of a FIFO.
    pub fn open(path: &Path) -> Result<Self, FileError> {
        let flags = OFlags::NONBLOCK.bits() as i32;
        Ok(Self(OpenOptions::new().read(true).custom_flags(flags).open(path)?))
    }

    pub fn metadata(&self) -> Result<Metadata, FileError> {
        Ok(self.0.metadata()?)
    }

    /// The whole text, which is wiped from memory once dropped.
    pub fn text(mut self, most: u64, within: Duration) -> Result<Zeroizing<String>, FileError> {
        let by = Instant::now() + within;
        // As large as the file, so that a secret leaves no copy behind in a buffer that grew.
        let size = self.metadata()?.len().min(most) as usize;
        let mut bytes = Zeroizing::new(Vec::with_capacity(size + PIECE_BYTES));
        let mut piece = Zeroizing::new([0; PIECE_BYTES]);
        loop {
            match self.0.read(&mut *piece) {
                // No writer has come yet, or one came and went with nothing to say.
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

    /// Until more may have come, or an error once the time is over.
    fn wait(&self, by: Instant, within: Duration) -> Result<(), FileError> {
        let left = by.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(FileError::NotInTime(within));
        }
        let at_most = Timespec { tv_sec: left.as_secs() as i64, tv_nsec: left.subsec_nanos().into() };
        let mut looked = [PollFd::new(&self.0, PollFlags::IN)];
        let _ = poll(&mut looked, Some(&at_most));
        // A FIFO whose writer is gone is readable at once and holds nothing.
        if !looked[0].revents().contains(PollFlags::IN) {
            thread::sleep(LOOK.min(left));
        }
        Ok(())
    }
}

/// The whole text of a file.
pub fn read_text(path: &Path, most: u64) -> Result<Zeroizing<String>, FileError> {
    InputFile::open(path)?.text(most, READ_TIMEOUT)
}
