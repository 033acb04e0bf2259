//! Calls that may block without bound: writes of log lines that nobody reads, and reads of files that don't
//! arrive. Meanwhile requests are answered, signals are handled and the process can end.
//!
//! The only thread that carries requests used to write its log lines and read the configuration itself. With
//! a full pipe on standard error, or a configuration that is a FIFO without a writer, the thread blocked in
//! `write` or `open` for good. Measured on that version: 10 of 900 requests were answered with an unread pipe
//! of 4 KB at level debug, 95 at the default level under reloads, none of 100 after a SIGHUP with a FIFO;
//! SIGTERM was handled in none of these cases. `docs/operating/waiting-calls.md` lists each call.

use std::fs::{self, File};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use rustix::fs::{OFlags, fcntl_getfl};
use rustix::pipe::{PipeFlags, fcntl_setpipe_size, pipe_with};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;
use woadhook_standins::clients::receive_answer;
use woadhook_standins::folders;
use woadhook_standins::processes::command_killed_with_thread;
use woadhook_standins::{
    Call, Client, DiscoveryEvents, Response, StandinServer, TEST_TIMEOUT, query_param, result_page,
    router_config,
};

const ROWS: &str = "a\tb\tc\n";
/// The smallest pipe that the system creates, in bytes.
const SMALL_PIPE: usize = 4_096;
/// The maximum by which a deadline that is passed on may be too long.
const SLACK: Duration = Duration::from_millis(150);

/// A router process with its files in a folder of its own.
struct Router {
    folder: PathBuf,
    address: SocketAddr,
    child: Child,
}

impl Router {
    /// Starts a router with its standard error at `log`. It logs at the default level if `level` is `None`.
    fn start(scenario: &str, config: &str, log: Stdio, level: Option<&str>) -> Self {
        Self::start_with(scenario, config, log, level, &[])
    }

    fn start_with(scenario: &str, config: &str, log: Stdio, level: Option<&str>, arguments: &[&str]) -> Self {
        let router = Self::start_unready(scenario, config, log, level, arguments);
        router.wait_until_ready();
        router
    }

    /// Starts a router without waiting until it serves.
    fn start_unready(
        scenario: &str, config: &str, log: Stdio, level: Option<&str>, arguments: &[&str],
    ) -> Self {
        let folder = folder(scenario);
        fs::write(folder.join("config.json"), config).unwrap();
        Self::start_in(folder, log, level, arguments)
    }

    fn start_in(folder: PathBuf, log: Stdio, level: Option<&str>, arguments: &[&str]) -> Self {
        let address = free_address();
        let mut command = command_killed_with_thread(Path::new(env!("CARGO_BIN_EXE_woadhook")));
        command.current_dir(&folder).args(["--log-format", "json"]).args(arguments);
        command.env("LB_CONFIG", "config.json").env("LB_LISTEN", address.to_string()).env_remove("RUST_LOG");
        command.envs(level.map(|level| ("RUST_LOG", level)));
        let child = command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log).spawn().unwrap();
        Self { folder, address, child }
    }

    fn wait_until_ready(&self) {
        let deadline = Instant::now() + TEST_TIMEOUT;
        while !TcpStream::connect(self.address).is_ok_and(|stream| client(stream).try_ping()) {
            assert!(Instant::now() < deadline, "the router did not become ready");
            thread::sleep(Duration::from_millis(5));
        }
    }

    fn client(&self) -> Client {
        client(TcpStream::connect(self.address).unwrap())
    }

    fn signal(&self, signal: Signal) {
        kill_process(Pid::from_raw(self.child.id() as i32).unwrap(), signal).unwrap();
    }

    /// Replaces the configuration by another file in one step.
    fn replace_config(&self, new: &Path) {
        fs::rename(new, self.folder.join("config.json")).unwrap();
    }

    /// Replaces a file by a FIFO without a writer.
    fn replace_by_fifo(&self, file: &str) {
        make_fifo(&self.folder.join("fifo"));
        fs::rename(self.folder.join("fifo"), self.folder.join(file)).unwrap();
    }

    fn thread_count(&self) -> usize {
        fs::read_dir(format!("/proc/{}/task", self.child.id())).unwrap().count()
    }

    /// Waits for the router to end. Returns `None` if it does not end in time.
    fn wait_for_end(&mut self) -> Option<ExitStatus> {
        let deadline = Instant::now() + TEST_TIMEOUT;
        while Instant::now() < deadline {
            if let Some(status) = self.child.try_wait().unwrap() {
                return Some(status);
            }
            thread::sleep(Duration::from_millis(5));
        }
        None
    }

    fn stop_cleanly(&mut self) {
        self.signal(Signal::TERM);
        assert!(self.wait_for_end().is_some_and(|status| status.success()), "the router did not end cleanly");
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn folder(scenario: &str) -> PathBuf {
    let folder = folders::run_folder(env!("CARGO_TARGET_TMPDIR"), &format!("waiting-{scenario}"));
    fs::create_dir_all(&folder).unwrap();
    folder
}

fn make_fifo(path: &Path) {
    assert!(Command::new("mkfifo").arg(path).status().unwrap().success());
}

fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

fn client(stream: TcpStream) -> Client {
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    Client(stream)
}

/// A pipe with a buffer of `bytes`: its reading end and its writing end.
fn pipe(bytes: usize) -> (OwnedFd, OwnedFd) {
    let (read, write) = pipe_with(PipeFlags::CLOEXEC).unwrap();
    fcntl_setpipe_size(&write, bytes).unwrap();
    (read, write)
}

fn engine() -> StandinServer {
    StandinServer::start(|call| result_page(call, &[ROWS]))
}

fn config(engine: &StandinServer) -> String {
    router_config(&[engine.address], DiscoveryEvents::default().serve().address, 1024)
}

/// Sends `count` requests one after another, numbered from `after + 1`; each is answered.
fn assert_serves(client: &mut Client, after: u32, count: u32, case: &str) {
    for number in after + 1..=after + count {
        client.send_job(number, "look", 4_000);
        let answered = receive_answer(&mut client.0, number);
        assert!(answered.is_ok(), "{case}: {} of {count} answered: {answered:?}", number - after - 1);
    }
}

#[test]
fn an_unread_log_at_the_default_level_blocks_no_request_under_reloads() {
    const RELOADS: u32 = 60;
    let (engine, (_unread, log)) = (engine(), pipe(SMALL_PIPE));
    let mut router = Router::start("unread-info", &config(&engine), log.into(), None);
    let mut client = router.client();
    fs::write(router.folder.join("config.json"), "no configuration").unwrap();
    for reload in 0..RELOADS {
        router.signal(Signal::HUP);
        assert_serves(&mut client, 10 * reload, 5, "under reloads");
    }
    router.stop_cleanly();
}

#[test]
fn an_unread_log_blocks_no_shutdown_with_requests_in_flight() {
    const IN_FLIGHT: u32 = 20;
    let slow = |call: &Call| {
        let delay = if call.line.starts_with("POST") { Duration::from_millis(300) } else { Duration::ZERO };
        Response::Delayed(delay, Box::new(result_page(call, &[ROWS])))
    };
    let (engine, (_unread, log)) = (StandinServer::start(slow), pipe(SMALL_PIPE));
    let mut router = Router::start("unread-shutdown", &config(&engine), log.into(), Some("debug"));
    let mut client = router.client();
    for number in 1..=IN_FLIGHT {
        client.send_job(number, "look", 20_000);
    }
    router.signal(Signal::TERM);
    let mut answered: Vec<u32> = (0..IN_FLIGHT).map(|_| client.receive().0).collect();
    answered.sort_unstable();
    assert!(answered.iter().copied().eq(1..=IN_FLIGHT), "{answered:?}");
    assert!(router.wait_for_end().is_some_and(|status| status.success()), "the router did not end cleanly");
}

/// Reads the log slowly, like a log collector that lags behind.
fn read_slowly(log: OwnedFd) {
    let mut log = File::from(log);
    thread::spawn(move || {
        while log.read(&mut [0; 1_024]).is_ok_and(|count| count > 0) {
            thread::sleep(Duration::from_millis(250));
        }
    });
}

#[test]
fn deadlines_are_kept_and_passed_on_with_a_slowly_read_log() {
    /// The size of a burst whose log lines take the reader several times as long as its clients wait.
    const BURST: u32 = 30;
    const WAIT_MS: u32 = 3_000;
    let (engine, (slow, log)) = (engine(), pipe(SMALL_PIPE));
    read_slowly(slow);
    let router = Router::start("slow-reader", &config(&engine), log.into(), Some("debug"));
    let mut client = router.client();
    let sent = Instant::now();
    for number in 1..=BURST {
        client.send_job(number, "look", WAIT_MS);
    }
    let mut in_time = 0;
    for _ in 0..BURST {
        in_time += u32::from(client.receive().1.is_ok());
    }
    assert_eq!(in_time, BURST, "served, the last after {:?}", sent.elapsed());
    engine.received_calls("POST");
    // The process is suspended while a request waits in its socket: that time is deducted from the deadline
    // that is passed on.
    router.signal(Signal::STOP);
    let sent = Instant::now();
    client.send_job(BURST + 1, "look", WAIT_MS);
    thread::sleep(Duration::from_millis(1_000));
    let elapsed = sent.elapsed();
    router.signal(Signal::CONT);
    let call = engine.wait_for_call("POST");
    let left = call.fields.iter().find_map(|field| field.strip_prefix("X-Patience: ")).unwrap();
    let left = Duration::from_millis(left.parse().unwrap());
    let limit = Duration::from_millis(WAIT_MS.into()).saturating_sub(elapsed) + SLACK;
    assert!(
        left <= limit,
        "the engine was given {left:?}, the client has at most {limit:?} including the slack"
    );
    assert_eq!(client.receive(), (BURST + 1, Ok(ROWS.to_owned())));
}

/// Dropped lines are counted in the log, the other lines arrive complete and in order, and errors of a burst
/// are written before the rest.
#[test]
fn a_log_that_is_read_again_reports_how_many_lines_were_dropped() {
    const REQUESTS: u32 = 600;
    let (engine, (unread, log)) = (engine(), pipe(SMALL_PIPE));
    let mut router = Router::start("read-again", &config(&engine), log.into(), Some("debug"));
    let mut client = router.client();
    assert_serves(&mut client, 0, REQUESTS, "with an unread log");
    // The error of the burst comes after its other lines.
    fs::write(router.folder.join("config.json"), "no configuration").unwrap();
    router.signal(Signal::HUP);
    assert_serves(&mut client, REQUESTS, 20, "after the error");
    let reader = thread::spawn(move || {
        let mut text = String::new();
        File::from(unread).read_to_string(&mut text).unwrap();
        text
    });
    assert_serves(&mut client, REQUESTS + 20, 20, "with a log that is read again");
    router.stop_cleanly();
    let text = reader.join().unwrap();
    let lines: Vec<Value> = text.lines().map(|line| serde_json::from_str(line).expect(line)).collect();
    let dropped = |line: &&Value| line["event"] == "log_lines_dropped";
    // The writer's own line may have a time some microseconds after that of a line that is being queued at
    // the same moment.
    let others = lines.iter().filter(|line| !dropped(line));
    let times: Vec<&str> = others.map(|line| line["at"].as_str().unwrap()).collect();
    let reports: Vec<&Value> = lines.iter().filter(dropped).collect();
    assert!(!reports.is_empty(), "no line reports dropped lines");
    let count: u64 = reports.iter().map(|line| line["count"].as_u64().unwrap()).sum();
    assert!(count > 0, "{reports:?}");
    assert!(times.is_sorted(), "lines are out of order");
    assert!(text.contains("the old configuration stays"), "the error of the burst is lost");
    let counters =
        lines.iter().rfind(|line| line["event"] == "counters").expect("the last lines are written");
    assert!(counters["log_lines_dropped"].as_u64().is_some_and(|dropped| dropped > 0), "{counters}");
}

/// Standard error may be shared with other processes, whose writes must still block.
#[test]
fn standard_error_keeps_its_flags() {
    let (engine, (unread, log)) = (engine(), pipe(SMALL_PIPE));
    let kept = log.try_clone().unwrap();
    let before = fcntl_getfl(&kept).unwrap();
    let mut router = Router::start("flags", &config(&engine), log.into(), Some("debug"));
    assert_serves(&mut router.client(), 0, 50, "with an unread log");
    assert_eq!(fcntl_getfl(&kept).unwrap(), before);
    assert!(!before.contains(OFlags::NONBLOCK));
    router.stop_cleanly();
    assert_eq!(fcntl_getfl(&kept).unwrap(), before);
    drop(unread);
}

#[test]
fn a_blocking_configuration_delays_neither_requests_nor_the_shutdown() {
    let engine = engine();
    let mut router = Router::start("fifo-term", &config(&engine), Stdio::null(), None);
    let mut client = router.client();
    router.replace_by_fifo("config.json");
    router.signal(Signal::HUP);
    assert_serves(&mut client, 0, 100, "after a reload that blocks");
    router.stop_cleanly();
}

#[test]
fn a_later_reload_succeeds_beside_a_blocking_one() {
    /// The number of reloads that block before the one that succeeds: one, and more than are read at once.
    const RELOADS: [u32; 2] = [1, 100];
    /// Reads that may be in progress at once, as documented for operators.
    const MAX_CONCURRENT_READS: usize = 4;
    let engine = engine();
    let mut router = Router::start("fifo-again", &config(&engine), Stdio::null(), None);
    assert_serves(&mut router.client(), 0, 1, "before");
    let before = router.thread_count();
    for reloads in RELOADS {
        let (new_discovery, mut client) = (DiscoveryEvents::default().serve(), router.client());
        router.replace_by_fifo("config.json");
        for reload in 0..reloads {
            router.signal(Signal::HUP);
            assert_serves(&mut client, reloads + reload, 1, "under reloads that block");
        }
        assert!(
            router.thread_count() <= before + MAX_CONCURRENT_READS,
            "{} threads, {before} before",
            router.thread_count()
        );
        let good = router.folder.join("good.json");
        fs::write(&good, router_config(&[engine.address], new_discovery.address, 1024)).unwrap();
        router.replace_config(&good);
        router.signal(Signal::HUP);
        let call = new_discovery.wait_for_call("GET /bulletins");
        assert_eq!(query_param(&call, "after"), 1, "event numbers continue");
        assert_serves(&mut router.client(), 1_000 + reloads, 10, "after the good reload");
    }
    router.stop_cleanly();
}

/// A configuration that blocks at the start: the shutdown signal is handled, and a configuration that arrives
/// is applied.
#[test]
fn signals_are_handled_while_the_first_configuration_blocks() {
    let engine = engine();
    for (file, arguments) in
        [("config.json", &[][..]), ("site.jsonnet", &["run", "--operator", "site.jsonnet"])]
    {
        let folder = folder(&format!("fifo-start-{}", arguments.len()));
        fs::write(folder.join("config.json"), config(&engine)).unwrap();
        let _ = fs::remove_file(folder.join(file));
        make_fifo(&folder.join(file));
        let mut router = Router::start_in(folder, Stdio::null(), None, arguments);
        router.wait_for_signal_handler();
        router.stop_cleanly();
    }
}

/// A configuration may arrive through a FIFO whose writer is slow, such as another program.
#[test]
fn a_configuration_that_arrives_through_a_fifo_in_pieces_is_applied() {
    let engine = engine();
    let folder = folder("fifo-pieces");
    make_fifo(&folder.join("config.json"));
    let mut router = Router::start_in(folder, Stdio::null(), None, &[]);
    let text = config(&engine);
    let mut writer = File::options().write(true).open(router.folder.join("config.json")).unwrap();
    for piece in text.as_bytes().chunks(text.len() / 3 + 1) {
        writer.write_all(piece).unwrap();
        thread::sleep(Duration::from_millis(50));
    }
    drop(writer);
    router.wait_until_ready();
    assert_serves(&mut router.client(), 0, 5, "after the start");
    router.stop_cleanly();
}

#[test]
fn a_blocking_operator_file_accumulates_no_threads() {
    const RELOADS: u32 = 100;
    /// Reads that may be in progress at once, as documented for operators; each waits for its evaluation
    /// beside it.
    const MAX_ADDITIONAL_THREADS: usize = 2 * 4;
    let engine = engine();
    let folder = folder("fifo-operator");
    fs::write(folder.join("config.json"), config(&engine)).unwrap();
    fs::write(folder.join("site.jsonnet"), "{}").unwrap();
    let mut router = Router::start_in(folder, Stdio::null(), None, &["run", "--operator", "site.jsonnet"]);
    router.wait_until_ready();
    let mut client = router.client();
    assert_serves(&mut client, 0, 1, "before");
    let before = router.thread_count();
    router.replace_by_fifo("site.jsonnet");
    for reload in 1..=RELOADS {
        router.signal(Signal::HUP);
        assert_serves(&mut client, 10 * reload, 1, "under reloads that block");
    }
    assert!(
        router.thread_count() <= before + MAX_ADDITIONAL_THREADS,
        "{} threads, {before} before",
        router.thread_count()
    );
    router.stop_cleanly();
}

/// The process that evaluates an operator file that does not arrive ends even when its router has ended
/// before.
#[test]
fn a_blocking_evaluation_ends_after_its_router() {
    let engine = engine();
    let folder = folder("fifo-evaluation");
    fs::write(folder.join("config.json"), config(&engine)).unwrap();
    make_fifo(&folder.join("site.jsonnet"));
    let mut router = Router::start_in(folder, Stdio::null(), None, &["run", "--operator", "site.jsonnet"]);
    let (deadline, id) = (Instant::now() + TEST_TIMEOUT, router.child.id());
    let evaluation = loop {
        if let Some(child) = children(id).pop() {
            break PathBuf::from(format!("/proc/{child}"));
        }
        assert!(Instant::now() < deadline, "no evaluation was started");
        thread::sleep(Duration::from_millis(5));
    };
    router.wait_for_signal_handler();
    router.stop_cleanly();
    let deadline = Instant::now() + TEST_TIMEOUT;
    while evaluation.exists() {
        assert!(Instant::now() < deadline, "the evaluation is still running");
        thread::sleep(Duration::from_millis(20));
    }
}

/// The child processes of all threads of a process.
fn children(parent: u32) -> Vec<u32> {
    let tasks = fs::read_dir(format!("/proc/{parent}/task")).into_iter().flatten().flatten();
    let lists = tasks.filter_map(|task| fs::read_to_string(task.path().join("children")).ok());
    lists
        .flat_map(|list| list.split_whitespace().filter_map(|id| id.parse().ok()).collect::<Vec<_>>())
        .collect()
}

impl Router {
    /// Waits until the router catches SIGTERM.
    fn wait_for_signal_handler(&self) {
        let deadline = Instant::now() + TEST_TIMEOUT;
        let status = format!("/proc/{}/status", self.child.id());
        let catches = |text: String| {
            let caught = text.lines().find_map(|line| line.strip_prefix("SigCgt:")).unwrap_or("0");
            u64::from_str_radix(caught.trim(), 16).unwrap() & (1 << (Signal::TERM.as_raw() - 1)) != 0
        };
        while !fs::read_to_string(&status).is_ok_and(catches) {
            assert!(Instant::now() < deadline, "the router catches no SIGTERM");
            thread::sleep(Duration::from_millis(5));
        }
    }
}
