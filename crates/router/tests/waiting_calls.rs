//! Calls that may wait without bound: log lines that nobody takes, files that do not come. Whatever they wait for, requests are
//! answered, signals are heard and the process ends.
//!
//! What happened before: the one thread that carries requests wrote its log lines itself and read the configuration itself. With a full
//! pipe on standard error, or a configuration that is a FIFO without a writer, the thread stood in `write` or `open` for good. Seen
//! on the program as it was: 10 of 900 requests answered with an unread pipe of 4 KB at level debug, 95 at the default level under
//! reloads, none of 100 behind a SIGHUP over a FIFO; SIGTERM was not heard in any of these. `docs/operating/waiting-calls.md` lists
//! each call.

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
/// The smallest pipe that the system makes, in bytes.
const SMALL_PIPE: usize = 4_096;
/// What a deadline may be passed on too long.
const SLACK: Duration = Duration::from_millis(150);

/// A router as a process, its files in a folder of its own.
struct Router {
    folder: PathBuf,
    address: SocketAddr,
    child: Child,
}

impl Router {
    /// Starts one with its standard error at `log`; `level` is the default one where it is `None`.
    fn start(story: &str, told: &str, log: Stdio, level: Option<&str>) -> Self {
        Self::with(story, told, log, level, &[])
    }

    fn with(story: &str, told: &str, log: Stdio, level: Option<&str>, arguments: &[&str]) -> Self {
        let router = Self::unready(story, told, log, level, arguments);
        router.ready();
        router
    }

    /// One that may not serve yet.
    fn unready(story: &str, told: &str, log: Stdio, level: Option<&str>, arguments: &[&str]) -> Self {
        let folder = folder(story);
        fs::write(folder.join("config.json"), told).unwrap();
        Self::inside(folder, log, level, arguments)
    }

    fn inside(folder: PathBuf, log: Stdio, level: Option<&str>, arguments: &[&str]) -> Self {
        let address = free_address();
        let mut command = command_killed_with_thread(Path::new(env!("CARGO_BIN_EXE_woadhook")));
        command.current_dir(&folder).args(["--log-format", "json"]).args(arguments);
        command.env("LB_CONFIG", "config.json").env("LB_LISTEN", address.to_string()).env_remove("RUST_LOG");
        command.envs(level.map(|level| ("RUST_LOG", level)));
        let child = command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log).spawn().unwrap();
        Self { folder, address, child }
    }

    fn ready(&self) {
        let by = Instant::now() + TEST_TIMEOUT;
        while !TcpStream::connect(self.address).is_ok_and(|stream| client(stream).try_ping()) {
            assert!(Instant::now() < by, "it does not serve");
            thread::sleep(Duration::from_millis(5));
        }
    }

    fn client(&self) -> Client {
        client(TcpStream::connect(self.address).unwrap())
    }

    fn signal(&self, signal: Signal) {
        kill_process(Pid::from_raw(self.child.id() as i32).unwrap(), signal).unwrap();
    }

    /// Puts another file in place of the configuration, in one step.
    fn replace_config(&self, new: &Path) {
        fs::rename(new, self.folder.join("config.json")).unwrap();
    }

    /// Puts a FIFO without a writer in place of a file.
    fn replace_by_fifo(&self, file: &str) {
        fifo(&self.folder.join("fifo"));
        fs::rename(self.folder.join("fifo"), self.folder.join(file)).unwrap();
    }

    fn threads(&self) -> usize {
        fs::read_dir(format!("/proc/{}/task", self.child.id())).unwrap().count()
    }

    /// Its end once it was told to end; nothing where it does not end.
    fn ends(&mut self) -> Option<ExitStatus> {
        let by = Instant::now() + TEST_TIMEOUT;
        while Instant::now() < by {
            if let Some(status) = self.child.try_wait().unwrap() {
                return Some(status);
            }
            thread::sleep(Duration::from_millis(5));
        }
        None
    }

    fn stops_in_order(&mut self) {
        self.signal(Signal::TERM);
        assert!(self.ends().is_some_and(|status| status.success()), "it does not end in order");
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn folder(story: &str) -> PathBuf {
    let folder = folders::run_folder(env!("CARGO_TARGET_TMPDIR"), &format!("waiting-{story}"));
    fs::create_dir_all(&folder).unwrap();
    folder
}

fn fifo(path: &Path) {
    assert!(Command::new("mkfifo").arg(path).status().unwrap().success());
}

fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

fn client(stream: TcpStream) -> Client {
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    Client(stream)
}

/// A pipe of such a size: the end that is read, and the end that is written.
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

/// Asks so many requests one after another, numbered behind `after`; each is answered.
fn serves(client: &mut Client, after: u32, count: u32, case: &str) {
    for number in after + 1..=after + count {
        client.send_job(number, "look", 4_000);
        let answered = receive_answer(&mut client.0, number);
        assert!(answered.is_ok(), "{case}: {} of {count} answered: {answered:?}", number - after - 1);
    }
}

#[test]
fn an_unread_log_at_the_default_level_holds_up_nothing_under_reloads() {
    const RELOADS: u32 = 60;
    let (engine, (_unread, log)) = (engine(), pipe(SMALL_PIPE));
    let mut router = Router::start("unread-info", &config(&engine), log.into(), None);
    let mut client = router.client();
    fs::write(router.folder.join("config.json"), "no configuration").unwrap();
    for reload in 0..RELOADS {
        router.signal(Signal::HUP);
        serves(&mut client, 10 * reload, 5, "under reloads");
    }
    router.stops_in_order();
}

#[test]
fn an_unread_log_holds_up_no_shutdown_with_requests_in_flight() {
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
    assert!(router.ends().is_some_and(|status| status.success()), "it does not end in order");
}

/// Reads little now and then, as a collector that is behind.
fn read_slowly(log: OwnedFd) {
    let mut log = File::from(log);
    thread::spawn(move || {
        while log.read(&mut [0; 1_024]).is_ok_and(|count| count > 0) {
            thread::sleep(Duration::from_millis(250));
        }
    });
}

#[test]
fn deadlines_are_kept_and_passed_on_beside_a_log_that_is_read_slowly() {
    /// A burst whose lines take the reader several times as long as its clients wait.
    const BURST: u32 = 30;
    const WAIT: u32 = 3_000;
    let (engine, (slow, log)) = (engine(), pipe(SMALL_PIPE));
    read_slowly(slow);
    let router = Router::start("slow-reader", &config(&engine), log.into(), Some("debug"));
    let mut client = router.client();
    let sent = Instant::now();
    for number in 1..=BURST {
        client.send_job(number, "look", WAIT);
    }
    let mut in_time = 0;
    for _ in 0..BURST {
        in_time += u32::from(client.receive().1.is_ok());
    }
    assert_eq!(in_time, BURST, "served, the last after {:?}", sent.elapsed());
    engine.received_calls("POST");
    // The process stands while a request waits in its socket: that time is off what is passed on.
    router.signal(Signal::STOP);
    let sent = Instant::now();
    client.send_job(BURST + 1, "look", WAIT);
    thread::sleep(Duration::from_millis(1_000));
    let passed = sent.elapsed();
    router.signal(Signal::CONT);
    let call = engine.wait_for_call("POST");
    let left = call.fields.iter().find_map(|field| field.strip_prefix("X-Patience: ")).unwrap();
    let left = Duration::from_millis(left.parse().unwrap());
    let most = Duration::from_millis(WAIT.into()).saturating_sub(passed) + SLACK;
    assert!(left <= most, "told {left:?}, the client has {most:?} at the most, slack and all");
    assert_eq!(client.receive(), (BURST + 1, Ok(ROWS.to_owned())));
}

/// What is lost is told, and what is kept comes whole and in order; errors of a burst go before the rest.
#[test]
fn a_log_that_is_read_again_tells_how_many_lines_went() {
    const REQUESTS: u32 = 600;
    let (engine, (unread, log)) = (engine(), pipe(SMALL_PIPE));
    let mut router = Router::start("read-again", &config(&engine), log.into(), Some("debug"));
    let mut client = router.client();
    serves(&mut client, 0, REQUESTS, "with an unread log");
    // A burst's error comes behind its other lines.
    fs::write(router.folder.join("config.json"), "no configuration").unwrap();
    router.signal(Signal::HUP);
    serves(&mut client, REQUESTS, 20, "behind the error");
    let reader = thread::spawn(move || {
        let mut text = String::new();
        File::from(unread).read_to_string(&mut text).unwrap();
        text
    });
    serves(&mut client, REQUESTS + 20, 20, "with a log that is read again");
    router.stops_in_order();
    let text = reader.join().unwrap();
    let lines: Vec<Value> = text.lines().map(|line| serde_json::from_str(line).expect(line)).collect();
    let dropped = |line: &&Value| line["event"] == "log_lines_dropped";
    // The writer's own line may have a time some microseconds behind that of a line that is being queued just then.
    let others = lines.iter().filter(|line| !dropped(line));
    let times: Vec<&str> = others.map(|line| line["at"].as_str().unwrap()).collect();
    let told: Vec<&Value> = lines.iter().filter(dropped).collect();
    assert!(!told.is_empty(), "nothing tells of dropped lines");
    let count: u64 = told.iter().map(|line| line["count"].as_u64().unwrap()).sum();
    assert!(count > 0, "{told:?}");
    assert!(times.is_sorted(), "lines are out of order");
    assert!(text.contains("the old configuration stays"), "the error of the burst is lost");
    let counters = lines.iter().rfind(|line| line["event"] == "counters").expect("the last lines come out");
    assert!(counters["log_lines_dropped"].as_u64().is_some_and(|told| told > 0), "{counters}");
}

/// Standard error may be shared with other processes, whose writes must go on waiting.
#[test]
fn standard_error_keeps_its_flags() {
    let (engine, (unread, log)) = (engine(), pipe(SMALL_PIPE));
    let kept = log.try_clone().unwrap();
    let before = fcntl_getfl(&kept).unwrap();
    let mut router = Router::start("flags", &config(&engine), log.into(), Some("debug"));
    serves(&mut router.client(), 0, 50, "with an unread log");
    assert_eq!(fcntl_getfl(&kept).unwrap(), before);
    assert!(!before.contains(OFlags::NONBLOCK));
    router.stops_in_order();
    assert_eq!(fcntl_getfl(&kept).unwrap(), before);
    drop(unread);
}

#[test]
fn a_configuration_that_does_not_come_holds_up_neither_requests_nor_the_end() {
    let engine = engine();
    let mut router = Router::start("fifo-term", &config(&engine), Stdio::null(), None);
    let mut client = router.client();
    router.replace_by_fifo("config.json");
    router.signal(Signal::HUP);
    serves(&mut client, 0, 100, "behind a configuration that does not come");
    router.stops_in_order();
}

#[test]
fn a_later_reload_counts_beside_one_that_does_not_come() {
    /// The number of reloads that don't come before the one that does: beside one, and beside more than are read at once.
    const RELOADS: [u32; 2] = [1, 100];
    /// Reads that may be under way at once, as the page for operators tells.
    const MAX_CONCURRENT_READS: usize = 4;
    let engine = engine();
    let mut router = Router::start("fifo-again", &config(&engine), Stdio::null(), None);
    serves(&mut router.client(), 0, 1, "before");
    let threads = router.threads();
    for reloads in RELOADS {
        let (new_discovery, mut client) = (DiscoveryEvents::default().serve(), router.client());
        router.replace_by_fifo("config.json");
        for reload in 0..reloads {
            router.signal(Signal::HUP);
            serves(&mut client, reloads + reload, 1, "under reloads that do not come");
        }
        assert!(
            router.threads() <= threads + MAX_CONCURRENT_READS,
            "{} threads, {threads} before",
            router.threads()
        );
        let good = router.folder.join("good.json");
        fs::write(&good, router_config(&[engine.address], new_discovery.address, 1024)).unwrap();
        router.replace_config(&good);
        router.signal(Signal::HUP);
        let call = new_discovery.wait_for_call("GET /bulletins");
        assert_eq!(query_param(&call, "after"), 1, "numbers go on");
        serves(&mut router.client(), 1_000 + reloads, 10, "after the good reload");
    }
    router.stops_in_order();
}

/// A configuration that is read at the start and does not come: the order to end is heard, and one that comes is taken.
#[test]
fn signals_are_heard_while_the_first_configuration_is_awaited() {
    let engine = engine();
    for (file, arguments) in
        [("config.json", &[][..]), ("site.jsonnet", &["run", "--operator", "site.jsonnet"])]
    {
        let folder = folder(&format!("fifo-start-{}", arguments.len()));
        fs::write(folder.join("config.json"), config(&engine)).unwrap();
        let _ = fs::remove_file(folder.join(file));
        fifo(&folder.join(file));
        let mut router = Router::inside(folder, Stdio::null(), None, arguments);
        router.awaits_handlers();
        router.stops_in_order();
    }
}

/// A configuration may come through a FIFO whose writer is slow, as from another program.
#[test]
fn a_configuration_that_comes_through_a_fifo_in_pieces_is_taken() {
    let engine = engine();
    let folder = folder("fifo-pieces");
    fifo(&folder.join("config.json"));
    let mut router = Router::inside(folder, Stdio::null(), None, &[]);
    let text = config(&engine);
    let mut writer = File::options().write(true).open(router.folder.join("config.json")).unwrap();
    for piece in text.as_bytes().chunks(text.len() / 3 + 1) {
        writer.write_all(piece).unwrap();
        thread::sleep(Duration::from_millis(50));
    }
    drop(writer);
    router.ready();
    serves(&mut router.client(), 0, 5, "after the start");
    router.stops_in_order();
}

#[test]
fn an_operator_file_that_does_not_come_piles_up_no_threads() {
    const RELOADS: u32 = 100;
    /// Reads that may be under way at once, as the page for operators tells; each waits for its evaluation beside it.
    const MOST_THREADS: usize = 2 * 4;
    let engine = engine();
    let folder = folder("fifo-operator");
    fs::write(folder.join("config.json"), config(&engine)).unwrap();
    fs::write(folder.join("site.jsonnet"), "{}").unwrap();
    let mut router = Router::inside(folder, Stdio::null(), None, &["run", "--operator", "site.jsonnet"]);
    router.ready();
    let mut client = router.client();
    serves(&mut client, 0, 1, "before");
    let threads = router.threads();
    router.replace_by_fifo("site.jsonnet");
    for reload in 1..=RELOADS {
        router.signal(Signal::HUP);
        serves(&mut client, 10 * reload, 1, "under reloads that do not come");
    }
    assert!(router.threads() <= threads + MOST_THREADS, "{} threads, {threads} before", router.threads());
    router.stops_in_order();
}

/// The process that evaluates an operator file, where that does not come, ends also where its router is gone by then.
#[test]
fn an_evaluation_that_does_not_come_ends_behind_its_router() {
    let engine = engine();
    let folder = folder("fifo-evaluation");
    fs::write(folder.join("config.json"), config(&engine)).unwrap();
    fifo(&folder.join("site.jsonnet"));
    let mut router = Router::inside(folder, Stdio::null(), None, &["run", "--operator", "site.jsonnet"]);
    let (by, id) = (Instant::now() + TEST_TIMEOUT, router.child.id());
    let evaluation = loop {
        if let Some(child) = children(id).pop() {
            break PathBuf::from(format!("/proc/{child}"));
        }
        assert!(Instant::now() < by, "nothing is evaluated");
        thread::sleep(Duration::from_millis(5));
    };
    router.awaits_handlers();
    router.stops_in_order();
    let by = Instant::now() + TEST_TIMEOUT;
    while evaluation.exists() {
        assert!(Instant::now() < by, "the evaluation goes on");
        thread::sleep(Duration::from_millis(20));
    }
}

/// The processes that threads of such a process started.
fn children(of: u32) -> Vec<u32> {
    let threads = fs::read_dir(format!("/proc/{of}/task")).into_iter().flatten().flatten();
    let lists = threads.filter_map(|thread| fs::read_to_string(thread.path().join("children")).ok());
    lists
        .flat_map(|list| list.split_whitespace().filter_map(|id| id.parse().ok()).collect::<Vec<_>>())
        .collect()
}

impl Router {
    /// Waits until it catches SIGTERM.
    fn awaits_handlers(&self) {
        let by = Instant::now() + TEST_TIMEOUT;
        let status = format!("/proc/{}/status", self.child.id());
        let catches = |text: String| {
            let caught = text.lines().find_map(|line| line.strip_prefix("SigCgt:")).unwrap_or("0");
            u64::from_str_radix(caught.trim(), 16).unwrap() & (1 << (Signal::TERM.as_raw() - 1)) != 0
        };
        while !fs::read_to_string(&status).is_ok_and(catches) {
            assert!(Instant::now() < by, "it catches no signal");
            thread::sleep(Duration::from_millis(5));
        }
    }
}
