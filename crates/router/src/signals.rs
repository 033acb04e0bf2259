//! Handles the process's signals from its start, including while the files that it starts from are still
//! being read.

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

/// A reload that has not completed after this time is logged as late.
const RELOAD_LATE_AFTER: Span = Span::from_micros(2_000_000);

/// What one signal requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Request {
    Reload,
    Stop,
}

/// Maximum number of wake-up bytes that are read at once; the flags state which signals arrived.
const WAKE_BUFFER_BYTES: usize = 64;
/// Interval between checks of the flags if the wake-up socket can't be read.
const FLAG_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The signals that the program handles. Threat: a handler whose write is short or finds the buffer full
/// would lose its signal. Therefore each handler sets a flag and wakes the thread with one byte; the loss of
/// that byte does no harm while another byte is in the buffer.
pub struct SignalHandlers {
    reload: Arc<AtomicBool>,
    stop: Arc<AtomicBool>,
    wakes: Async<UnixStream>,
}

impl SignalHandlers {
    /// Installs the handlers; the signals are caught from now on.
    pub fn new() -> Result<Self, String> {
        Self::install().map_err(|error| format!("signals: {error}"))
    }

    fn install() -> io::Result<Self> {
        let (wakes, wake) = UnixStream::pair()?;
        let (reload, stop) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
        for (signal, request) in [(SIGTERM, &stop), (SIGINT, &stop), (SIGHUP, &reload)] {
            // Handlers run in the order of registration, so the flag is set before the thread wakes.
            flag::register(signal, request.clone())?;
            pipe::register(signal, wake.try_clone()?)?;
        }
        Ok(Self { reload, stop, wakes: Async::new(wakes)? })
    }

    /// Returns the next request. A stop takes precedence over a reload, and several reload signals that have
    /// not been handled yet count as one.
    async fn next(&mut self) -> Request {
        loop {
            if self.stop.swap(false, Ordering::SeqCst) {
                return Request::Stop;
            }
            if self.reload.swap(false, Ordering::SeqCst) {
                return Request::Reload;
            }
            let woken = (&self.wakes).read(&mut [0; WAKE_BUFFER_BYTES]).await;
            if woken.is_err() {
                Timer::after(FLAG_POLL_INTERVAL).await;
            }
        }
    }

    /// Returns the contents of the start-up files: those of the first successful read, or the error of the
    /// last read under way. A reload request starts another read beside those; a stop ends the wait with
    /// `None`.
    pub async fn read_at_start<T: Send + 'static>(
        &mut self, mut reads: FileReads<T>,
    ) -> Result<Option<T>, String> {
        reads.start();
        loop {
            let read = async { Ok(reads.next().await) };
            let request = async { Err(self.next().await) };
            match read.or(request).await {
                Ok(Err(_)) if reads.is_under_way() => {}
                Ok(read) => return read.map(Some),
                Err(Request::Reload) => reads.start(),
                Err(Request::Stop) => return Ok(None),
            }
        }
    }

    /// Returns the stream of the commands that signals request from now on. `keys` are read again together
    /// with the configuration.
    pub fn commands(
        self, config: FileReads<RouterConfig>, keys: Option<FileReads<Box<Keys>>>,
    ) -> impl Stream<Item = OperatorCommand> + 'static {
        let reloads = Reloads { signals: self, config, keys, may_be_late: false };
        stream::unfold(reloads, |mut reloads| async { Some((reloads.next().await, reloads)) })
    }
}

/// The reads that signals request.
struct Reloads {
    signals: SignalHandlers,
    config: FileReads<RouterConfig>,
    keys: Option<FileReads<Box<Keys>>>,
    /// Whether a read has been started that has not been reported as late yet.
    may_be_late: bool,
}

enum Input {
    Request(Request),
    Command(OperatorCommand),
    Late,
}

impl Reloads {
    async fn next(&mut self) -> OperatorCommand {
        loop {
            match self.next_input().await {
                Input::Request(Request::Stop) => return OperatorCommand::Stop,
                Input::Request(Request::Reload) => self.start(),
                Input::Command(command) => return command,
                Input::Late => self.warn_late(),
            }
        }
    }

    async fn next_input(&mut self) -> Input {
        let (may_be_late, keys) = (self.may_be_late, &mut self.keys);
        let request = async { Input::Request(self.signals.next().await) };
        let config = async { Input::Command(OperatorCommand::Reload(self.config.next().await)) };
        let keys = async {
            match keys {
                Some(keys) => Input::Command(OperatorCommand::ReloadKeys(keys.next().await)),
                None => future::pending().await,
            }
        };
        let late = async {
            if !may_be_late {
                return future::pending().await;
            }
            sleep(RELOAD_LATE_AFTER).await;
            Input::Late
        };
        request.or(config).or(keys).or(late).await
    }

    fn start(&mut self) {
        self.config.start();
        self.keys.iter_mut().for_each(FileReads::start);
        self.may_be_late = true;
    }

    /// Logs consecutive late reads once, however many there are.
    fn warn_late(&mut self) {
        self.may_be_late = false;
        let keys_under_way = self.keys.as_ref().is_some_and(FileReads::is_under_way);
        if self.config.is_under_way() || keys_under_way {
            let seconds = RELOAD_LATE_AFTER.secs();
            log::warn!(event = "reload_waits"; "a file was not read within {seconds} s: the old configuration stays meanwhile");
        }
    }
}
