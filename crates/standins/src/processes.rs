//! The built program in processes of its own, and what may befall them: killed, told to end, stopped for a while,
//! told to read its configuration again. A process ends with its guard, also when a story panics.

use std::fs::{self, File};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::Mutex;
use std::sync::atomic::{AtomicU8, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use rustix::fs::{CWD, Mode, mkfifoat};
use rustix::pipe::fcntl_setpipe_size;
use rustix::process::{Pid, Signal, WaitId, WaitIdOptions, kill_process, waitid};
use serde_json::{Value, json};

use crate::TEST_TIMEOUT;
use crate::clients::Client;
use crate::log_reader::{LogReader, Reading};
use crate::preload::Preload;

/// Sets what a process is sent as its parent ends, and becomes the program that it is told (util-linux).
const SETPRIV: &str = "setpriv";
/// What a log's pipe holds: the least that the system allows, so that it is full at once where nobody reads.
const PIPE_BYTES: usize = 4_096;
/// A program that was started has its handlers of signals by then.
const CATCHES_BY: Duration = Duration::from_millis(500);
/// What the processes of stories log.
const STORY_LEVEL: &str = "info,woadhook_router=debug";

/// What stands in the place of a configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unreadable {
    /// A FIFO that nobody writes to.
    Fifo,
    /// What is no configuration.
    Garbage,
}

/// One router as a process. It keeps its name and its address over restarts, as on the platform.
pub struct RouterProcess {
    program: PathBuf,
    /// What its command line says besides.
    arguments: Vec<String>,
    config: PathBuf,
    /// What the configuration says, and what stands in its place for now.
    given: Mutex<Value>,
    hidden: Mutex<Option<Unreadable>>,
    log: PathBuf,
    /// Reads the log from a pipe; else it is a file.
    reader: Option<LogReader>,
    level: String,
    /// Beside what every process of stories is told.
    environment: Vec<(String, String)>,
    pub name: String,
    pub address: SocketAddr,
    child: Option<Child>,
}

impl RouterProcess {
    /// Starts `program`, told `told` under such a name, at an address that is free; its files go to `folder`.
    pub fn start(program: &str, folder: &Path, name: &str, told: &str) -> Self {
        Self::start_with_arguments(program, &[], folder, name, told)
    }

    /// One whose command line says more.
    pub fn start_with_arguments(
        program: &str, arguments: &[String], folder: &Path, name: &str, told: &str,
    ) -> Self {
        Self::start_with_log_level(STORY_LEVEL, program, arguments, folder, name, told)
    }

    /// One that logs at such a level, as measurements want no line for each job.
    pub fn start_with_log_level(
        level: &str, program: &str, arguments: &[String], folder: &Path, name: &str, told: &str,
    ) -> Self {
        Self::within(Vec::new(), level, program, arguments, folder, name, told)
    }

    /// One with faults of its system calls and its wall clock.
    pub fn start_with_preload(
        preload: &Preload, program: &str, folder: &Path, name: &str, told: &str,
    ) -> Self {
        Self::within(preload.environment(), STORY_LEVEL, program, &[], folder, name, told)
    }

    /// One whose log is read from a pipe, so that its reader can stand; with faults where there is a library for them.
    pub fn start_with_log_pipe(
        preload: Option<&Preload>, program: &str, folder: &Path, name: &str, told: &str,
    ) -> Self {
        let environment = preload.map(Preload::environment).unwrap_or_default();
        let mut process = Self::unstarted(environment, STORY_LEVEL, program, &[], folder, name, told);
        process.reader = Some(LogReader::default());
        process.start_again();
        process
    }

    fn within(
        environment: Vec<(String, String)>, level: &str, program: &str, arguments: &[String], folder: &Path,
        name: &str, told: &str,
    ) -> Self {
        let mut process = Self::unstarted(environment, level, program, arguments, folder, name, told);
        process.start_again();
        process
    }

    fn unstarted(
        environment: Vec<(String, String)>, level: &str, program: &str, arguments: &[String], folder: &Path,
        name: &str, told: &str,
    ) -> Self {
        fs::create_dir_all(folder).expect("a folder");
        let address = free_address();
        let mut given: Value = serde_json::from_str(told).expect("a configuration");
        (given["name"], given["listen"]) = (json!(name), json!(address.to_string()));
        let config = folder.join(format!("{name}.json"));
        fs::write(&config, given.to_string()).expect("a file");
        let log = folder.join(format!("{name}.log"));
        let (program, arguments) = (program.into(), arguments.to_vec());
        let (level, name) = (level.to_owned(), name.to_owned());
        let (given, hidden, reader, child) = (Mutex::new(given), Mutex::new(None), None, None);
        Self {
            program,
            arguments,
            config,
            given,
            hidden,
            log,
            reader,
            level,
            environment,
            name,
            address,
            child,
        }
    }

    /// Starts it from nothing, under its name and at its address.
    pub fn start_again(&mut self) {
        assert!(self.child.is_none(), "{} runs", self.name);
        self.restore_config();
        let log = File::options().create(true).append(true).open(&self.log).expect("a log");
        let mut command = command_killed_with_thread(&self.program);
        command.env("LB_CONFIG", &self.config).env_remove("LB_LISTEN").env_remove("RUST_LOG");
        command.env("RUST_LOG", &self.level).args(["--log-format", "json"]);
        command.args(&self.arguments).envs(self.environment.iter().map(|(name, value)| (name, value)));
        let log = match &mut self.reader {
            Some(reader) => {
                let (from, to) = std::io::pipe().expect("a pipe");
                fcntl_setpipe_size(&to, PIPE_BYTES).expect("a small pipe");
                reader.finish();
                reader.start(from, log);
                Stdio::from(to)
            }
            None => Stdio::from(log),
        };
        let child = command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log).spawn();
        self.child = Some(child.expect("the program starts"));
    }

    /// Changes what it is told from its next reading on.
    pub fn change_config(&self, change: impl FnOnce(&mut Value)) {
        change(&mut self.given.lock().unwrap());
        if self.hidden.lock().unwrap().is_none() {
            self.write_config();
        }
    }

    fn write_config(&self) {
        // In one step, as a router may read it at any time.
        let new = self.config.with_extension("new");
        fs::write(&new, self.given.lock().unwrap().to_string()).expect("a file");
        fs::rename(new, &self.config).expect("a file");
    }

    /// Puts what can't be read in place of the configuration, until it is shown again or the process starts anew.
    pub fn hide_config(&self, what: Unreadable) {
        let new = self.config.with_extension("new");
        match what {
            Unreadable::Garbage => fs::write(&new, "no configuration").expect("a file"),
            Unreadable::Fifo => {
                mkfifoat(CWD, &new, Mode::RUSR | Mode::WUSR).expect("a FIFO");
            }
        }
        fs::rename(new, &self.config).expect("a file");
        *self.hidden.lock().unwrap() = Some(what);
    }

    pub fn restore_config(&self) {
        if self.hidden.lock().unwrap().take().is_some() {
            self.write_config();
        }
    }

    /// Has its log read so from now on; whether that can be.
    pub fn read_log(&self, reading: Reading) -> bool {
        self.reader.as_ref().inspect(|reader| reader.set(reading)).is_some()
    }

    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Whether something else stands in place of its configuration.
    pub fn is_config_hidden(&self) -> bool {
        self.hidden.lock().unwrap().is_some()
    }

    /// Sends it a signal; one that the program catches not before it does, as it would end it.
    pub fn signal(&self, signal: Signal) {
        let id = self.id().expect("it runs");
        if [Signal::HUP, Signal::TERM, Signal::INT].contains(&signal) {
            await_handler(id, signal);
        }
        kill_process(Pid::from_raw(id as i32).expect("a process"), signal).expect("a signal");
    }

    /// Sends a signal to the process of that id and to no later one.
    pub fn signal_if(&self, id: u32, signal: Signal) {
        if self.id() == Some(id) {
            self.signal(signal);
        }
    }

    /// Ends it outright.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
        self.finish_log();
    }

    fn finish_log(&mut self) {
        self.reader.iter_mut().for_each(LogReader::finish);
    }

    /// How it ended, once it has.
    pub fn try_wait(&mut self) -> Option<ExitStatus> {
        let status = self.child.as_mut().expect("it was started").try_wait().expect("a child")?;
        self.child = None;
        self.finish_log();
        Some(status)
    }

    /// Waits for the end of one that was told to end.
    pub fn wait(&mut self) -> ExitStatus {
        let by = Instant::now() + TEST_TIMEOUT;
        loop {
            if let Some(status) = self.try_wait() {
                return status;
            }
            if Instant::now() > by {
                self.kill();
                panic!("{} did not end", self.name);
            }
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// Whether it runs on: it was started and has not ended by itself.
    /// It is not waited for, so that its id stays its own.
    pub fn is_running(&self) -> bool {
        let looks = WaitIdOptions::EXITED | WaitIdOptions::NOHANG | WaitIdOptions::NOWAIT;
        let id = self.id().and_then(|id| Pid::from_raw(id as i32));
        id.is_some_and(|id| waitid(WaitId::Pid(id), looks).expect("a child").is_none())
    }

    /// Waits until it answers `ping` with true.
    pub fn wait_until_ready(&self) {
        let by = Instant::now() + TEST_TIMEOUT;
        while !self.pings() {
            assert!(Instant::now() < by, "{} is not ready:\n{}", self.name, self.log_text());
            thread::sleep(Duration::from_millis(5));
        }
    }

    fn pings(&self) -> bool {
        let Ok(stream) = TcpStream::connect(self.address) else { return false };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(2)));
        Client(stream).try_ping()
    }

    /// All that it has logged, over its restarts.
    pub fn log_text(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// The lines of its log on a job, by the job's id.
    pub fn log_lines_of_job(&self, id: &str) -> Vec<String> {
        self.log_text().lines().filter(|line| line.contains(id)).map(str::to_owned).collect()
    }
}

impl Drop for RouterProcess {
    /// No step of it went past its guard.
    fn drop(&mut self) {
        self.kill();
        if !thread::panicking() {
            let said = self.log_text();
            let violation = said.lines().find(|line| line.contains("\"event\":\"violation\""));
            assert!(violation.is_none(), "{}: {}", self.name, violation.unwrap_or_default());
        }
    }
}

/// Waits until a process catches a signal, as one that has just begun does not yet; for so long at most.
fn await_handler(id: u32, signal: Signal) {
    let by = Instant::now() + CATCHES_BY;
    while !catches(id, signal) && Instant::now() < by {
        thread::sleep(Duration::from_millis(1));
    }
}

/// Whether the system tells that the process has a handler for the signal.
fn catches(id: u32, signal: Signal) -> bool {
    let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let caught = status.lines().find_map(|line| line.strip_prefix("SigCgt:"));
    let caught = caught.and_then(|mask| u64::from_str_radix(mask.trim(), 16).ok()).unwrap_or(0);
    caught & 1 << (signal.as_raw() - 1) != 0
}

/// A command that is killed as the thread that starts it ends, also where a test is killed and no guard runs. Where the machine has no
/// `setpriv`, it is not.
pub fn command_killed_with_thread(program: &Path) -> Command {
    let found = Command::new(SETPRIV).arg("--version").stdout(Stdio::null()).stderr(Stdio::null()).status();
    if !found.is_ok_and(|status| status.success()) {
        return Command::new(program);
    }
    let mut command = Command::new(SETPRIV);
    command.args(["--pdeathsig", "KILL", "--"]).arg(program);
    command
}

/// A free port at an address of this process's own: one at 127.0.0.1 might be taken, between this look and the program's
/// start, by any of the connections that stories make there.
fn free_address() -> SocketAddr {
    TcpListener::bind((own_loopback(), 0)).and_then(|listener| listener.local_addr()).expect("an address")
}

/// The same for datagrams.
pub fn free_datagram_address() -> SocketAddr {
    UdpSocket::bind((own_loopback(), 0)).and_then(|socket| socket.local_addr()).expect("an address")
}

/// An address of the loopback network that is this process's own, another one each time.
fn own_loopback() -> Ipv4Addr {
    static COUNT: AtomicU8 = AtomicU8::new(0);
    let (id, count) = (std::process::id(), COUNT.fetch_add(1, Ordering::Relaxed));
    Ipv4Addr::new(127, 1 + (id >> 8 & 0x3f) as u8, id as u8, count)
}
