//! Reads files on threads beside the one that handles requests. Threat: a file that does not arrive, such as
//! a FIFO without a writer or a file in an unresponsive network folder, when a signal has it read. Reads that
//! are started later run beside it, up to a limit; the latest successful one counts.

use std::sync::Arc;
use std::thread;

use async_channel::{Receiver, Sender};
use futures_lite::future;

/// Maximum number of concurrent reads. A request beyond that is served by one read, as soon as one of them
/// ends.
pub const MAX_CONCURRENT_READS: usize = 4;
const STACK_BYTES: usize = 512 * 1024;

type Outcome<T> = Result<T, String>;

/// Repeated reads of the same files.
pub struct FileReads<T> {
    read: Arc<dyn Fn() -> Outcome<T> + Send + Sync>,
    ended: Sender<(u64, Outcome<T>)>,
    ends: Receiver<(u64, Outcome<T>)>,
    /// The number of the read that was started last.
    started: u64,
    /// The number of the latest successful read whose outcome was taken.
    taken: u64,
    under_way: usize,
    /// Whether a read was requested while the maximum number of reads was under way.
    is_owed: bool,
}

impl<T: Send + 'static> FileReads<T> {
    pub fn new(read: impl Fn() -> Outcome<T> + Send + Sync + 'static) -> Self {
        // The capacity covers all concurrent reads, so that no thread waits to report its end.
        let (ended, ends) = async_channel::bounded(MAX_CONCURRENT_READS);
        Self { read: Arc::new(read), ended, ends, started: 0, taken: 0, under_way: 0, is_owed: false }
    }

    /// Starts another read, now or once one has ended.
    pub fn start(&mut self) {
        if self.under_way == MAX_CONCURRENT_READS {
            log::warn!(event = "file_read_waits", under_way = self.under_way; "{MAX_CONCURRENT_READS} reads are under way and don't come: the next waits for one to end");
            self.is_owed = true;
            return;
        }
        self.started += 1;
        self.under_way += 1;
        let (number, read, ended) = (self.started, self.read.clone(), self.ended.clone());
        let run = move || {
            let outcome = read();
            let _ = ended.try_send((number, outcome));
        };
        let thread = thread::Builder::new().name("file-read".to_owned()).stack_size(STACK_BYTES).spawn(run);
        if let Err(error) = thread {
            let _ = self.ended.try_send((number, Err(format!("no thread to read on: {error}"))));
        }
    }

    pub fn is_under_way(&self) -> bool {
        self.under_way > 0
    }

    /// Returns the next outcome. Skips a successful read that a later successful one has overtaken; stays
    /// pending while no read is under way.
    pub async fn next(&mut self) -> Outcome<T> {
        loop {
            let Ok((number, outcome)) = self.ends.recv().await else { return future::pending().await };
            self.under_way -= 1;
            if std::mem::take(&mut self.is_owed) {
                self.start();
            }
            let good = outcome?;
            if number > self.taken {
                self.taken = number;
                return Ok(good);
            }
        }
    }
}
