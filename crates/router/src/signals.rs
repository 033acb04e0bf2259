//! What the process's signals order, from its first step on: also while the files that it starts from are awaited.

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

/// After so long a configuration that was ordered to be read and did not come is told of.
const TELL_AFTER: Span = Span::from_micros(2_000_000);

/// What one signal asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Asked {
    Reload,
    Stop,
}

/// Bytes that wake the thread; what they say is in the flags.
const WAKES: usize = 64;
/// Between looks at the flags where the thread can't be woken.
const LOOK: Duration = Duration::from_millis(20);

/// The signals that the program heeds. Threat: a handler whose write comes short or finds no room would lose its signal. So it sets a flag, and one byte, whose loss costs nothing while another is there, wakes the thread.
pub struct Heeded {
    reload: Arc<AtomicBool>,
    stop: Arc<AtomicBool>,
    wakes: Async<UnixStream>,
}

impl Heeded {
    /// From now on they are caught.
    pub fn new() -> Result<Self, String> {
        Self::caught().map_err(|error| format!("signals: {error}"))
    }

    fn caught() -> io::Result<Self> {
        let (wakes, wake) = UnixStream::pair()?;
        let (reload, stop) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
        for (signal, asked) in [(SIGTERM, &stop), (SIGINT, &stop), (SIGHUP, &reload)] {
            // Handlers run in this order: the flag is set once the thread wakes.
            flag::register(signal, asked.clone())?;
            pipe::register(signal, wake.try_clone()?)?;
        }
        Ok(Self { reload, stop, wakes: Async::new(wakes)? })
    }

    /// The next one; of both, the one to stop goes first. Reloads in a row count as one.
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

    /// What the program starts from: the first good read, or the fault of the last one under way. An order to read again begins one
    /// more beside those; one to stop ends the wait with nothing.
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

    /// What the signals order from now on. `keys` are read again with the configuration.
    pub fn orders(
        self, config: FileReads<RouterConfig>, keys: Option<FileReads<Box<Keys>>>,
    ) -> impl Stream<Item = OperatorCommand> + 'static {
        let reloads = Reloads { signals: self, config, keys, is_untold: false };
        stream::unfold(reloads, |mut reloads| async { Some((reloads.next().await, reloads)) })
    }
}

/// Reads that signals ordered.
struct Reloads {
    signals: Heeded,
    config: FileReads<RouterConfig>,
    keys: Option<FileReads<Box<Keys>>>,
    /// Whether a read was started that is not told to be late yet.
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

    /// Told once for reads in a row, however many.
    fn tell_late(&mut self) {
        self.is_untold = false;
        let keys_under_way = self.keys.as_ref().is_some_and(FileReads::is_under_way);
        if self.config.is_under_way() || keys_under_way {
            let seconds = TELL_AFTER.secs();
            log::warn!(event = "reload_waits"; "a file does not come within {seconds} s: the old configuration stays meanwhile");
        }
    }
}
