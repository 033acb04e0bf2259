//! Handles the process's signals from the start on, also while the files that the program starts from are
//! still being read.

use std::io;
use std::os::unix::net::UnixStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use async_io::{Async, Timer};
use futures_lite::{AsyncReadExt, FutureExt, Stream, future, stream};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::{flag, low_level::pipe};
use woadhook::Span;

use crate::clock::sleep;
use crate::config::RouterConfig;
use crate::file_reads::FileReads;
use crate::keyfiles::Keys;
use crate::stop::OperatorCommand;

/// A reload that has not completed after this time is logged.
const TELL_AFTER: Span = Span::from_micros(2_000_000);

/// What one signal requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Asked {
    Reload,
    Stop,
}

/// Maximum number of wake-up bytes that are read at once; the flags tell which signals came.
const WAKES: usize = 64;
/// Interval between checks of the flags if the wake-up socket can't be read.
const LOOK: Duration = Duration::from_millis(20);

/// The signals that the program handles. Threat: a handler whose write is short or finds the buffer full
/// would lose its signal. So each handler sets a flag, and wakes the thread with one byte, whose loss does no
/// harm while another byte is there.
pub struct Heeded {
    reload: Arc<AtomicBool>,
    stop: Arc<AtomicBool>,
    wakes: Async<UnixStream>,
}

impl Heeded {
    /// Installs the handlers; the signals are caught from now on.
    pub fn new() -> Result<Self, String> {
        Self::caught().map_err(|error| format!("signals: {error}"))
    }

    fn caught() -> io::Result<Self> {
        let (wakes, wake) = UnixStream::pair()?;
        let (reload, stop) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
        for (signal, asked) in [(SIGTERM, &stop), (SIGINT, &stop), (SIGHUP, &reload)] {
            // Handlers run in the order of registration, so the flag is set before the thread wakes.
            flag::register(signal, asked.clone())?;
            pipe::register(signal, wake.try_clone()?)?;
        }
        Ok(Self { reload, stop, wakes: Async::new(wakes)? })
    }

    /// Returns the next request; a stop goes before a reload, and reloads that have not been taken yet count
    /// as one.
    async fn next(&mut self) -> Asked {
        loop {
            if self.stop.swap(false, Ordering::SeqCst) {
                return Asked::Stop;
            }
            if self.reload.swap(false, Ordering::SeqCst) {
                return Asked::Reload;
            }
            let woken = (&self.wakes).read(&mut [0; WAKES]).await;
            if woken.is_err() {
                Timer::after(LOOK).await;
            }
        }
    }

    /// Returns what the program starts from: the first successful read, or the error of the last one under
    /// way. A reload request starts another read beside those; a stop ends the wait with `None`.
    pub async fn first<T: Send + 'static>(&mut self, mut reads: FileReads<T>) -> Result<Option<T>, String> {
        reads.start();
        loop {
            let read = async { Ok(reads.next().await) };
            let asked = async { Err(self.next().await) };
            match read.or(asked).await {
                Ok(Err(_)) if reads.is_under_way() => {}
                Ok(read) => return read.map(Some),
                Err(Asked::Reload) => reads.start(),
                Err(Asked::Stop) => return Ok(None),
            }
        }
    }

    /// Returns the stream of what the signals request from now on. `keys` are read again together with the
    /// configuration.
    pub fn orders(
        self, config: FileReads<RouterConfig>, keys: Option<FileReads<Box<Keys>>>,
    ) -> impl Stream<Item = OperatorCommand> + 'static {
        let reloads = Reloads { signals: self, config, keys, is_untold: false };
        stream::unfold(reloads, |mut reloads| async { Some((reloads.next().await, reloads)) })
    }
}

/// The reads that signals request.
struct Reloads {
    signals: Heeded,
    config: FileReads<RouterConfig>,
    keys: Option<FileReads<Box<Keys>>>,
    /// Whether a read has been started that has not been reported as late yet.
    is_untold: bool,
}

enum Heard {
    Asked(Asked),
    Read(OperatorCommand),
    Late,
}

impl Reloads {
    async fn next(&mut self) -> OperatorCommand {
        loop {
            match self.hear().await {
                Heard::Asked(Asked::Stop) => return OperatorCommand::Stop,
                Heard::Asked(Asked::Reload) => self.start(),
                Heard::Read(order) => return order,
                Heard::Late => self.tell_late(),
            }
        }
    }

    async fn hear(&mut self) -> Heard {
        let (is_untold, keys) = (self.is_untold, &mut self.keys);
        let asked = async { Heard::Asked(self.signals.next().await) };
        let config = async { Heard::Read(OperatorCommand::Reload(self.config.next().await)) };
        let keys = async {
            match keys {
                Some(keys) => Heard::Read(OperatorCommand::ReloadKeys(keys.next().await)),
                None => future::pending().await,
            }
        };
        let late = async {
            if !is_untold {
                return future::pending().await;
            }
            sleep(TELL_AFTER).await;
            Heard::Late
        };
        asked.or(config).or(keys).or(late).await
    }

    fn start(&mut self) {
        self.config.start();
        self.keys.iter_mut().for_each(FileReads::start);
        self.is_untold = true;
    }

    /// Logs consecutive late reads once, however many there are.
    fn tell_late(&mut self) {
        self.is_untold = false;
        let keys_under_way = self.keys.as_ref().is_some_and(FileReads::is_under_way);
        if self.config.is_under_way() || keys_under_way {
            let seconds = TELL_AFTER.secs();
            log::warn!(event = "reload_waits"; "a file does not come within {seconds} s: the old configuration stays meanwhile");
        }
    }
}
