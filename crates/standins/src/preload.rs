//! A small library that is preloaded into a router's process, makes its system calls fail in documented ways
//! and steps its wall clock. It is built from `preload/faults.c` with the system's C compiler. It doesn't see
//! calls that bypass the C library: the router's connects, sockets and polls do so unless it is built with
//! `RUSTFLAGS='--cfg rustix_use_libc'`, which is meant for soak tests only.

use std::fmt;
use std::fs::{self, File};
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::Duration;

const SOURCE: &str = include_str!("../preload/faults.c");
/// Number of system calls that can fail. The file that the library maps has two slots for each call, then the
/// maximum transfer, the clock step, and the number of failures of each call.
const CALL_COUNT: usize = 8;
const MAX_TRANSFER_SLOT: usize = 2 * CALL_COUNT;
const CLOCK_STEP_SLOT: usize = MAX_TRANSFER_SLOT + 1;
const FIRST_FAILURE_COUNT_SLOT: usize = CLOCK_STEP_SLOT + 1;
const SLOT_COUNT: usize = FIRST_FAILURE_COUNT_SLOT + CALL_COUNT;

/// A system call that can fail, in the order of the library's slots. The names are part of the printed fault
/// schedules.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SystemCall {
    Read,
    Peek,
    Send,
    Write,
    Accept,
    Connect,
    Socket,
    Poll,
}

/// Why the library could not be built.
#[derive(Debug)]
pub struct BuildError(String);

impl fmt::Display for BuildError {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "the fault library can't be built: {}", self.0)
    }
}

/// The faults of one process.
pub struct Preload {
    library: PathBuf,
    slots: PathBuf,
    file: File,
}

impl Preload {
    /// Builds the library in `folder`, and the file through which the faults of the named process are set.
    pub fn build(folder: &Path, name: &str) -> Result<Self, BuildError> {
        let fault = |error: std::io::Error| BuildError(error.to_string());
        fs::create_dir_all(folder).map_err(fault)?;
        let (source, library) = (folder.join("faults.c"), folder.join("libfaults.so"));
        if !library.exists() {
            fs::write(&source, SOURCE).map_err(fault)?;
            let mut compiler = Command::new("cc");
            compiler.args(["-shared", "-fPIC", "-O1", "-o"]).arg(&library).arg(&source).arg("-ldl");
            let output = compiler.output().map_err(|error| BuildError(format!("cc: {error}")))?;
            if !output.status.success() {
                return Err(BuildError(String::from_utf8_lossy(&output.stderr).into_owned()));
            }
        }
        let slots = folder.join(format!("{name}.faults"));
        fs::write(&slots, [0; SLOT_COUNT * 8]).map_err(fault)?;
        let file = File::options().read(true).write(true).open(&slots).map_err(fault)?;
        Ok(Self { library, slots, file })
    }

    /// The environment variables with which the process must be started.
    pub fn environment(&self) -> Vec<(String, String)> {
        let shown = |path: &Path| path.display().to_string();
        vec![("LD_PRELOAD".into(), shown(&self.library)), ("WOADHOOK_FAULTS".into(), shown(&self.slots))]
    }

    /// Makes one in `every` such calls fail with this error from now on; 0 turns the failures off.
    pub fn fail(&self, call: SystemCall, every: u32, error: rustix::io::Errno) {
        self.set(2 * call as usize + 1, error.raw_os_error().into());
        self.set(2 * call as usize, every.into());
    }

    /// Limits every read and write to `max_bytes` from now on; 0 removes the limit.
    pub fn limit_transfers(&self, max_bytes: u32) {
        self.set(MAX_TRANSFER_SLOT, max_bytes.into());
    }

    /// Sets the process's wall clock this far ahead, or behind if `backwards` is set, from now on.
    pub fn step_clock(&self, step: Duration, backwards: bool) {
        let micros = i64::try_from(step.as_micros()).expect("a step that fits into 64 bits");
        self.set(CLOCK_STEP_SLOT, if backwards { -micros } else { micros });
    }

    /// How many such calls failed because of this library.
    pub fn failure_count(&self, call: SystemCall) -> u64 {
        let mut bytes = [0; 8];
        let at = (FIRST_FAILURE_COUNT_SLOT + call as usize) as u64 * 8;
        self.file.read_exact_at(&mut bytes, at).expect("the fault file");
        u64::from_ne_bytes(bytes)
    }

    /// Turns all faults off; the failure counts remain.
    pub fn clear(&self) {
        self.file.write_all_at(&[0; FIRST_FAILURE_COUNT_SLOT * 8], 0).expect("the fault file");
    }

    fn set(&self, slot: usize, value: i64) {
        self.file.write_all_at(&value.to_ne_bytes(), slot as u64 * 8).expect("the fault file");
    }
}
