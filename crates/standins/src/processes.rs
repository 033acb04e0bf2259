//! Runs the built program in processes that a test can kill, terminate, suspend and reload. A process ends
//! with its guard, also when a test panics.

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
use crate::log_reader::{LogReadMode, LogReader};
use crate::preload::Preload;

/// Program of util-linux that sets the signal sent to a process when its parent ends, then executes a
/// command.
const SETPRIV: &str = "setpriv";
/// Capacity of a log's pipe. It is the minimum that the system allows, so that the pipe fills at once when
/// nobody reads.
const LOG_PIPE_BYTES: usize = 4_096;
/// A started program has installed its signal handlers within this time.
const HANDLER_WAIT_LIMIT: Duration = Duration::from_millis(500);
/// Log level of processes under test.
const TEST_LOG_LEVEL: &str = "info,woadhook_router=debug";

/// What can replace a configuration file so that it can't be read. The names are part of the printed fault
/// schedules.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnreadableConfig {
    /// A FIFO that nobody writes to.
    Fifo,
    /// A file that is not a configuration.
    Garbage,
}

/// A router process. It keeps its name and address across restarts, as on the platform.
pub struct RouterProcess {
    program: PathBuf,
    /// Additional command line arguments.
    arguments: Vec<String>,
    config_path: PathBuf,
    /// The configuration, and what replaces its file at the moment, if anything.
    config: Mutex<Value>,
    config_replacement: Mutex<Option<UnreadableConfig>>,
    log_path: PathBuf,
    /// Reads the log from a pipe; without it, the process writes the log to the file itself.
    reader: Option<LogReader>,
    level: String,
    /// Environment variables beyond those that every process gets.
    environment: Vec<(String, String)>,
    pub name: String,
    pub address: SocketAddr,
    child: Option<Child>,
}

impl RouterProcess {
    /// Starts `program` with this configuration and name at a free address; its files go to `folder`.
    pub fn start(program: &str, folder: &Path, name: &str, config: &str) -> Self {
        Self::start_with_arguments(program, &[], folder, name, config)
    }

    /// Starts a process with additional command line arguments.
    pub fn start_with_arguments(
        program: &str, arguments: &[String], folder: &Path, name: &str, config: &str,
    ) -> Self {
        Self::start_with_log_level(TEST_LOG_LEVEL, program, arguments, folder, name, config)
    }

    /// Starts a process with this log level; measurements use one without a log line per job.
    pub fn start_with_log_level(
        level: &str, program: &str, arguments: &[String], folder: &Path, name: &str, config: &str,
    ) -> Self {
        Self::start_with_environment(Vec::new(), level, program, arguments, folder, name, config)
    }

    /// Starts a process whose system calls can be made to fail and whose wall clock can be stepped.
    pub fn start_with_preload(
        preload: &Preload, program: &str, folder: &Path, name: &str, config: &str,
    ) -> Self {
        Self::start_with_environment(
            preload.environment(),
            TEST_LOG_LEVEL,
            program,
            &[],
            folder,
            name,
            config,
        )
    }

    /// Starts a process whose log goes through a pipe, so that its reader can pause; with faults if there is
    /// a library for them.
    pub fn start_with_log_pipe(
        preload: Option<&Preload>, program: &str, folder: &Path, name: &str, config: &str,
    ) -> Self {
        let environment = preload.map(Preload::environment).unwrap_or_default();
        let mut process = Self::new_stopped(environment, TEST_LOG_LEVEL, program, &[], folder, name, config);
        process.reader = Some(LogReader::default());
        process.start_again();
        process
    }

    fn start_with_environment(
        environment: Vec<(String, String)>, level: &str, program: &str, arguments: &[String], folder: &Path,
        name: &str, config: &str,
    ) -> Self {
        let mut process = Self::new_stopped(environment, level, program, arguments, folder, name, config);
        process.start_again();
        process
    }

    /// Writes the configuration of a process that is not started yet.
    fn new_stopped(
        environment: Vec<(String, String)>, level: &str, program: &str, arguments: &[String], folder: &Path,
        name: &str, config: &str,
    ) -> Self {
        fs::create_dir_all(folder).expect("a folder");
        let address = free_address();
        let mut config: Value = serde_json::from_str(config).expect("a configuration");
        (config["name"], config["listen"]) = (json!(name), json!(address.to_string()));
        let config_path = folder.join(format!("{name}.json"));
        fs::write(&config_path, config.to_string()).expect("a file");
        let log_path = folder.join(format!("{name}.log"));
        let (program, arguments) = (program.into(), arguments.to_vec());
        let (level, name) = (level.to_owned(), name.to_owned());
        let (config, config_replacement, reader, child) = (Mutex::new(config), Mutex::new(None), None, None);
        Self {
            program,
            arguments,
            config_path,
            config,
            config_replacement,
            log_path,
            reader,
            level,
            environment,
            name,
            address,
            child,
        }
    }

    /// Starts the process anew, with its name and address.
    pub fn start_again(&mut self) {
        assert!(self.child.is_none(), "{} runs", self.name);
        self.restore_config();
        let log = File::options().create(true).append(true).open(&self.log_path).expect("a log");
        let mut command = command_killed_with_thread(&self.program);
        command.env("LB_CONFIG", &self.config_path).env_remove("LB_LISTEN").env_remove("RUST_LOG");
        command.env("RUST_LOG", &self.level).args(["--log-format", "json"]);
        command.args(&self.arguments).envs(self.environment.iter().map(|(name, value)| (name, value)));
        let log = match &mut self.reader {
            Some(reader) => {
                let (from, to) = std::io::pipe().expect("a pipe");
                fcntl_setpipe_size(&to, LOG_PIPE_BYTES).expect("a small pipe");
                reader.finish();
                reader.start(from, log);
                Stdio::from(to)
            }
            None => Stdio::from(log),
        };
        let child = command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log).spawn();
        self.child = Some(child.expect("the program starts"));
    }

    /// Changes the configuration that the process reads next.
    pub fn change_config(&self, change: impl FnOnce(&mut Value)) {
        change(&mut self.config.lock().unwrap());
        if self.config_replacement.lock().unwrap().is_none() {
            self.write_config();
        }
    }

    fn write_config(&self) {
        // Replaces the file atomically, as a router may read it at any time.
        let new = self.config_path.with_extension("new");
        fs::write(&new, self.config.lock().unwrap().to_string()).expect("a file");
        fs::rename(new, &self.config_path).expect("a file");
    }

    /// Replaces the configuration file with something unreadable, until it is restored or the process starts
    /// anew.
    pub fn hide_config(&self, replacement: UnreadableConfig) {
        let new = self.config_path.with_extension("new");
        match replacement {
            UnreadableConfig::Garbage => fs::write(&new, "no configuration").expect("a file"),
            UnreadableConfig::Fifo => {
                mkfifoat(CWD, &new, Mode::RUSR | Mode::WUSR).expect("a FIFO");
            }
        }
        fs::rename(new, &self.config_path).expect("a file");
        *self.config_replacement.lock().unwrap() = Some(replacement);
    }

    /// Writes the configuration back if its file was replaced.
    pub fn restore_config(&self) {
        if self.config_replacement.lock().unwrap().take().is_some() {
            self.write_config();
        }
    }

    /// Sets how the log is read. Returns false if the process writes its log to a file directly.
    pub fn read_log(&self, reading: LogReadMode) -> bool {
        self.reader.as_ref().inspect(|reader| reader.set(reading)).is_some()
    }

    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Whether the configuration file is replaced with something unreadable.
    pub fn is_config_hidden(&self) -> bool {
        self.config_replacement.lock().unwrap().is_some()
    }

    /// Sends a signal. A signal that the program handles is sent only once its handler is installed, as it
    /// would end the process before that.
    pub fn signal(&self, signal: Signal) {
        let id = self.id().expect("it runs");
        if [Signal::HUP, Signal::TERM, Signal::INT].contains(&signal) {
            wait_for_handler(id, signal);
        }
        kill_process(Pid::from_raw(id as i32).expect("a process"), signal).expect("a signal");
    }

    /// Sends a signal to the process with this id, not to a later one.
    pub fn signal_if(&self, id: u32, signal: Signal) {
        if self.id() == Some(id) {
            self.signal(signal);
        }
    }

    /// Kills the process.
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

    /// Returns the exit status once the process has ended.
    pub fn try_wait(&mut self) -> Option<ExitStatus> {
        let status = self.child.as_mut().expect("it was started").try_wait().expect("a child")?;
        self.child = None;
        self.finish_log();
        Some(status)
    }

    /// Waits until the process ends. Kills it and panics if it does not within the time limit.
    pub fn wait(&mut self) -> ExitStatus {
        let deadline = Instant::now() + TEST_TIMEOUT;
        loop {
            if let Some(status) = self.try_wait() {
                return status;
            }
            if Instant::now() > deadline {
                self.kill();
                panic!("{} did not end", self.name);
            }
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// Whether the process was started and has not ended since. The process is not reaped, so that its id
    /// is not reused.
    pub fn is_running(&self) -> bool {
        let options = WaitIdOptions::EXITED | WaitIdOptions::NOHANG | WaitIdOptions::NOWAIT;
        let id = self.id().and_then(|id| Pid::from_raw(id as i32));
        id.is_some_and(|id| waitid(WaitId::Pid(id), options).expect("a child").is_none())
    }

    /// Waits until the process answers `ping` with true.
    pub fn wait_until_ready(&self) {
        let deadline = Instant::now() + TEST_TIMEOUT;
        while !self.answers_ping() {
            assert!(Instant::now() < deadline, "{} is not ready:\n{}", self.name, self.log_text());
            thread::sleep(Duration::from_millis(5));
        }
    }

    fn answers_ping(&self) -> bool {
        let Ok(stream) = TcpStream::connect(self.address) else { return false };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(2)));
        Client(stream).try_ping()
    }

    /// The whole log, across restarts.
    pub fn log_text(&self) -> String {
        fs::read_to_string(&self.log_path).unwrap_or_default()
    }

    /// The log lines that mention a job's id.
    pub fn log_lines_of_job(&self, id: &str) -> Vec<String> {
        self.log_text().lines().filter(|line| line.contains(id)).map(str::to_owned).collect()
    }
}

impl Drop for RouterProcess {
    /// Kills the process and checks that its log reports no violation of a step's guard.
    fn drop(&mut self) {
        self.kill();
        if !thread::panicking() {
            let log = self.log_text();
            let violation = log.lines().find(|line| line.contains("\"event\":\"violation\""));
            assert!(violation.is_none(), "{}: {}", self.name, violation.unwrap_or_default());
        }
    }
}

/// Waits until the process has installed a handler for the signal, up to a time limit; a newly started one
/// has not.
fn wait_for_handler(id: u32, signal: Signal) {
    let deadline = Instant::now() + HANDLER_WAIT_LIMIT;
    while !has_handler(id, signal) && Instant::now() < deadline {
        thread::sleep(Duration::from_millis(1));
    }
}

/// Whether the system lists a handler of the process for the signal.
fn has_handler(id: u32, signal: Signal) -> bool {
    let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let caught = status.lines().find_map(|line| line.strip_prefix("SigCgt:"));
    let caught = caught.and_then(|mask| u64::from_str_radix(mask.trim(), 16).ok()).unwrap_or(0);
    caught & 1 << (signal.as_raw() - 1) != 0
}

/// A command that is killed when the thread that starts it ends, so that it also ends when a test is killed
/// and no guard runs. Without `setpriv` on the machine the command is not killed.
pub fn command_killed_with_thread(program: &Path) -> Command {
    let found = Command::new(SETPRIV).arg("--version").stdout(Stdio::null()).stderr(Stdio::null()).status();
    if !found.is_ok_and(|status| status.success()) {
        return Command::new(program);
    }
    let mut command = Command::new(SETPRIV);
    command.args(["--pdeathsig", "KILL", "--"]).arg(program);
    command
}

/// Returns a free port at a loopback address that only this process uses. At 127.0.0.1 one of the connections
/// that tests make could take the port before the program binds it.
fn free_address() -> SocketAddr {
    TcpListener::bind((unique_loopback_address(), 0))
        .and_then(|listener| listener.local_addr())
        .expect("an address")
}

/// Returns a free datagram port at a loopback address that only this process uses.
pub fn free_datagram_address() -> SocketAddr {
    UdpSocket::bind((unique_loopback_address(), 0))
        .and_then(|socket| socket.local_addr())
        .expect("an address")
}

/// Returns an address of the loopback network that only this process uses, a different one for each call.
fn unique_loopback_address() -> Ipv4Addr {
    static COUNT: AtomicU8 = AtomicU8::new(0);
    let (id, count) = (std::process::id(), COUNT.fetch_add(1, Ordering::Relaxed));
    Ipv4Addr::new(127, 1 + (id >> 8 & 0x3f) as u8, id as u8, count)
}
