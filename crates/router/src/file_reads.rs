//! Reads files on threads beside the one that handles requests. Threat: a signal requests the read of a file
//! that does not arrive, such as a FIFO without a writer or a file in an unresponsive network folder. Reads
//! that are started later run beside the blocked one, up to a limit; the latest successful one counts.

use std::sync::Arc;
use std::thread;

use async_channel::{Receiver, Sender};
use futures_lite::future;

/// Maximum number of concurrent reads. A request beyond that is served by one read, as soon as one of them
/// ends.
pub const MAX_CONCURRENT_READS: usize = 4;
const STACK_BYTES: usize = 512 * 1024;

type ReadOutcome<T> = Result<T, String>;

/// Repeated reads of the same files.
pub struct FileReads<T> {
    read: Arc<dyn Fn() -> ReadOutcome<T> + Send + Sync>,
    outcome_sender: Sender<(u64, ReadOutcome<T>)>,
    outcome_receiver: Receiver<(u64, ReadOutcome<T>)>,
    /// The number of the read that was started last.
    last_started: u64,
    /// The number of the latest successful read whose outcome was taken.
    last_taken: u64,
    under_way: usize,
    /// Whether a read was requested while the maximum number of reads was under way.
    is_requested: bool,
}

impl<T: Send + 'static> FileReads<T> {
    pub fn new(read: impl Fn() -> ReadOutcome<T> + Send + Sync + 'static) -> Self {
        // The capacity covers all concurrent reads, so that no thread waits to report its end.
        let (outcome_sender, outcome_receiver) = async_channel::bounded(MAX_CONCURRENT_READS);
        Self {
            read: Arc::new(read),
            outcome_sender,
            outcome_receiver,
            last_started: 0,
            last_taken: 0,
            under_way: 0,
            is_requested: false,
        }
    }

    /// Starts another read, now or once one has ended.
    pub fn start(&mut self) {
        if self.under_way == MAX_CONCURRENT_READS {
            log::warn!(event = "file_read_waits", under_way = self.under_way; "{MAX_CONCURRENT_READS} file reads are blocked: the next read starts once one of them ends");
            self.is_requested = true;
            return;
        }
        self.last_started += 1;
        self.under_way += 1;
        let (number, read, outcome_sender) =
            (self.last_started, self.read.clone(), self.outcome_sender.clone());
        let run = move || {
            let outcome = read();
            let _ = outcome_sender.try_send((number, outcome));
        };
        let thread = thread::Builder::new().name("file-read".to_owned()).stack_size(STACK_BYTES).spawn(run);
        if let Err(error) = thread {
            let _ = self
                .outcome_sender
                .try_send((number, Err(format!("failed to start a thread for the read: {error}"))));
        }
    }

    pub fn is_under_way(&self) -> bool {
        self.under_way > 0
    }

    /// Returns the next outcome. Skips a successful read that a later successful one has overtaken; stays
    /// pending while no read is under way.
    pub async fn next(&mut self) -> ReadOutcome<T> {
        loop {
            let Ok((number, outcome)) = self.outcome_receiver.recv().await else {
                return future::pending().await;
            };
            self.under_way -= 1;
            if std::mem::take(&mut self.is_requested) {
                self.start();
            }
            let content = outcome?;
            if number > self.last_taken {
                self.last_taken = number;
                return Ok(content);
            }
        }
    }
}
