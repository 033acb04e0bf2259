//! Reads a process's log: a thread copies a pipe into a file, and can be slowed down or suspended.

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
/// Interval at which a suspended reader checks whether to continue.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The log reader of one process, across its restarts.
#[derive(Default)]
pub struct LogReader {
    mode: Arc<AtomicU8>,
    thread: Option<JoinHandle<()>>,
}

impl LogReader {
    /// Starts to read the log of a process that was just started.
    pub fn start(&mut self, from: PipeReader, to: File) {
        let mode = self.mode.clone();
        self.thread = Some(thread::spawn(move || copy_log(from, to, &mode)));
    }

    /// Changes how the log is read.
    pub fn set(&self, mode: LogReadMode) {
        self.mode.store(mode as u8, Ordering::SeqCst);
    }

    /// Reads the rest of the log of a process that has ended.
    pub fn finish(&mut self) {
        if let Some(thread) = self.thread.take() {
            self.set(LogReadMode::AtOnce);
            let _ = thread.join();
        }
    }
}

fn copy_log(mut from: PipeReader, mut to: File, mode: &AtomicU8) {
    let mut bytes = vec![0; 64 * 1_024];
    loop {
        let mode = mode.load(Ordering::SeqCst);
        if mode == LogReadMode::NotAtAll as u8 {
            thread::sleep(POLL_INTERVAL);
            continue;
        }
        let is_slow = mode == LogReadMode::Slowly as u8;
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
