//! Reads a process's log: a thread copies a pipe into a file, and can be slowed down or paused.

use std::fs::File;
use std::io::{self, PipeReader, Read, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// How the log is read. The names are part of the printed fault schedules.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogReadMode {
    AtOnce,
    /// A kilobyte every tenth of a second.
    Slowly,
    NotAtAll,
}

const SLOW_READ_BYTES: usize = 1_024;
const SLOW_READ_PAUSE: Duration = Duration::from_millis(100);
/// Interval at which a paused reader checks whether to go on.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The log reader of one process, across its restarts.
#[derive(Default)]
pub struct LogReader {
    reading: Arc<AtomicU8>,
    thread: Option<JoinHandle<()>>,
}

impl LogReader {
    /// Starts to read the log of a process that was just started.
    pub fn start(&mut self, from: PipeReader, to: File) {
        let reading = self.reading.clone();
        self.thread = Some(thread::spawn(move || copy_log(from, to, &reading)));
    }

    /// Changes how the log is read.
    pub fn set(&self, reading: LogReadMode) {
        self.reading.store(reading as u8, Ordering::SeqCst);
    }

    /// Reads the rest of the log of a process that has ended.
    pub fn finish(&mut self) {
        if let Some(thread) = self.thread.take() {
            self.set(LogReadMode::AtOnce);
            let _ = thread.join();
        }
    }
}

fn copy_log(mut from: PipeReader, mut to: File, reading: &AtomicU8) {
    let mut bytes = vec![0; 64 * 1_024];
    loop {
        let reading = reading.load(Ordering::SeqCst);
        if reading == LogReadMode::NotAtAll as u8 {
            thread::sleep(POLL_INTERVAL);
            continue;
        }
        let is_slow = reading == LogReadMode::Slowly as u8;
        let max_bytes = if is_slow { SLOW_READ_BYTES } else { bytes.len() };
        match from.read(&mut bytes[..max_bytes]) {
            Ok(0) => return,
            Ok(count) => to.write_all(&bytes[..count]).expect("a log"),
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(_) => return,
        }
        if is_slow {
            thread::sleep(SLOW_READ_PAUSE);
        }
    }
}
