//! Lightweight engines that share one listener. Each answers every query with one row and every probe with a
//! load report, and counts both. Queries take no time unless a run time is set, and an engine can be made to
//! misbehave.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use async_channel::Sender;
use async_executor::Executor;
use async_io::{Async, Timer};
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use socket2::SockRef;

use crate::troubles::EngineMode;

/// Number of available engine addresses.
pub const MAX_ENGINES: usize = 1 << 16;
/// First two bytes of the addresses; the last two are the engine's number.
const ADDRESS_PREFIX: [u8; 2] = [127, 100];
/// Length of the shared listener's queue.
const LISTEN_BACKLOG: i32 = 4096;
const THREADS: usize = 2;
const READ_BYTES: usize = 4 * 1024;
const HEAD_END: &[u8] = b"\r\n\r\n";
const ROW: &str = "a\tb\tc\n";
const RESULT_FIELDS: &str = "X-Batches: 1\r\nX-Batch: 0\r\n";
const ERROR_RESPONSE: &str = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n";
/// Interval at which a call to an engine that hangs is checked for the end of the hang.
const HANG_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// The utilisation that engines report is kept in units of a thousandth.
const UTILISATION_UNITS: f64 = 1_000.0;

/// Requests that engines received.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestCounts {
    pub queries: u64,
    pub probes: u64,
    /// Bytes of the probes, and of the answers to them.
    pub probe_bytes: u64,
    pub report_bytes: u64,
}

/// A query that an engine received.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    /// The number that the job's id states in hexadecimal digits.
    pub job: u64,
    pub engine: usize,
    pub at: Instant,
}

#[derive(Default)]
struct Counts {
    queries: AtomicU64,
    probes: AtomicU64,
    probe_bytes: AtomicU64,
    report_bytes: AtomicU64,
}

impl Counts {
    fn snapshot(&self) -> RequestCounts {
        let read = |count: &AtomicU64| count.load(Ordering::Relaxed);
        RequestCounts {
            queries: read(&self.queries),
            probes: read(&self.probes),
            probe_bytes: read(&self.probe_bytes),
            report_bytes: read(&self.report_bytes),
        }
    }
}

struct Shared {
    engines: Vec<Counts>,
    modes: Vec<Mutex<EngineMode>>,
    /// The utilisation that every engine reports, in thousandths.
    reported_load: AtomicU32,
    /// How long each query runs, in milliseconds.
    run_time_ms: AtomicU64,
    connections: AtomicU64,
    /// The queries received, if they are recorded.
    attempts: Option<Mutex<Vec<Attempt>>>,
}

impl Shared {
    fn mode(&self, engine: usize) -> EngineMode {
        *self.modes[engine].lock().unwrap()
    }

    /// Records a query, if queries are recorded.
    fn record_attempt(&self, engine: usize, call: &[u8]) {
        let Some(attempts) = &self.attempts else { return };
        let text = str::from_utf8(call).unwrap_or_default();
        let id = text.lines().find_map(|line| line.strip_prefix("X-Trace: "));
        let Some(job) = id.and_then(|id| u64::from_str_radix(id.trim(), 16).ok()) else { return };
        attempts.lock().unwrap().push(Attempt { job, engine, at: Instant::now() });
    }
}

/// Engines that differ only in their addresses.
pub struct LightweightEngines {
    port: u16,
    shared: Arc<Shared>,
    _shutdown: Sender<()>,
}

impl LightweightEngines {
    /// Starts `count` engines, which report no load until it is set.
    pub fn start(count: usize) -> io::Result<Self> {
        Self::start_with(count, None)
    }

    /// Starts `count` engines that record each query.
    pub fn start_recording(count: usize) -> io::Result<Self> {
        Self::start_with(count, Some(Mutex::default()))
    }

    fn start_with(count: usize, attempts: Option<Mutex<Vec<Attempt>>>) -> io::Result<Self> {
        assert!(count <= MAX_ENGINES, "{count} engines, {MAX_ENGINES} have addresses");
        let listener = Async::<TcpListener>::bind((Ipv4Addr::UNSPECIFIED, 0))?;
        SockRef::from(listener.get_ref()).listen(LISTEN_BACKLOG)?;
        let port = listener.get_ref().local_addr()?.port();
        let engines = (0..count).map(|_| Counts::default()).collect();
        let modes = (0..count).map(|_| Mutex::new(EngineMode::Well)).collect();
        let (reported_load, run_time_ms) = (AtomicU32::new(0), AtomicU64::new(0));
        let connections = AtomicU64::new(0);
        let shared = Arc::new(Shared { engines, modes, reported_load, run_time_ms, connections, attempts });
        let (shutdown, shut_down) = async_channel::bounded::<()>(1);
        let executor = Arc::new(Executor::new());
        for _ in 0..THREADS {
            let (executor, shut_down) = (executor.clone(), shut_down.clone());
            thread::spawn(move || async_io::block_on(executor.run(shut_down.recv())));
        }
        let engines = shared.clone();
        thread::spawn(move || {
            let accepting = accept(listener, engines, &executor);
            let shutdown = async { _ = shut_down.recv().await };
            async_io::block_on(executor.run(accepting.or(shutdown)));
        });
        Ok(Self { port, shared, _shutdown: shutdown })
    }

    pub fn address(&self, engine: usize) -> SocketAddr {
        let [high, low] = (engine as u16).to_be_bytes();
        SocketAddr::from(([ADDRESS_PREFIX[0], ADDRESS_PREFIX[1], high, low], self.port))
    }

    /// Sets the processor utilisation that every engine reports, from 0 to 1, as if other routers loaded it.
    pub fn set_reported_load(&self, share: f64) {
        self.shared.reported_load.store((share * UTILISATION_UNITS) as u32, Ordering::Relaxed);
    }

    /// Sets how long each query runs from now on. It must be shorter than the 250 ms after which an engine
    /// answers a query that still runs.
    pub fn set_run_time(&self, run_time: Duration) {
        self.shared.run_time_ms.store(run_time.as_millis() as u64, Ordering::Relaxed);
    }

    /// Changes how an engine behaves.
    pub fn set_mode(&self, engine: usize, mode: EngineMode) {
        *self.shared.modes[engine].lock().unwrap() = mode;
    }

    /// The number of connections that all engines accepted.
    pub fn connections(&self) -> u64 {
        self.shared.connections.load(Ordering::Relaxed)
    }

    /// The queries received so far, in the order of their arrival; empty unless they are recorded.
    pub fn attempts(&self) -> Vec<Attempt> {
        self.shared.attempts.as_ref().map(|attempts| attempts.lock().unwrap().clone()).unwrap_or_default()
    }

    /// The requests that one engine received.
    pub fn counts(&self, engine: usize) -> RequestCounts {
        self.shared.engines[engine].snapshot()
    }

    /// The requests that all engines received.
    pub fn total_counts(&self) -> RequestCounts {
        self.shared.engines.iter().map(Counts::snapshot).fold(RequestCounts::default(), |sum, each| {
            RequestCounts {
                queries: sum.queries + each.queries,
                probes: sum.probes + each.probes,
                probe_bytes: sum.probe_bytes + each.probe_bytes,
                report_bytes: sum.report_bytes + each.report_bytes,
            }
        })
    }
}

async fn accept(listener: Async<TcpListener>, shared: Arc<Shared>, executor: &Executor<'static>) {
    while let Ok((stream, _)) = listener.accept().await {
        shared.connections.fetch_add(1, Ordering::Relaxed);
        executor.spawn(serve(stream, shared.clone())).detach();
    }
}

/// Serves one connection until its peer closes it.
async fn serve(mut stream: Async<TcpStream>, shared: Arc<Shared>) {
    let _ = stream.get_ref().set_nodelay(true);
    let Some(engine) = engine_of(&stream).filter(|engine| *engine < shared.engines.len()) else { return };
    let (mut bytes, mut chunk) = (Vec::new(), [0; READ_BYTES]);
    loop {
        while let Some(length) = complete_call_length(&bytes) {
            let Some(answer) = handle_call(engine, &bytes[..length], &shared).await else { return };
            bytes.drain(..length);
            if stream.write_all(answer.as_bytes()).await.is_err() {
                return;
            }
        }
        match stream.read(&mut chunk).await {
            Ok(0) | Err(_) => return,
            Ok(count) => bytes.extend_from_slice(&chunk[..count]),
        }
    }
}

/// Carries out one call and returns its answer; `None` if the connection is to be closed without one.
async fn handle_call(engine: usize, call: &[u8], shared: &Shared) -> Option<String> {
    let is_query = call.starts_with(b"POST ");
    if is_query {
        shared.record_attempt(engine, call);
    }
    while shared.mode(engine) == EngineMode::Hangs {
        Timer::after(HANG_CHECK_INTERVAL).await;
    }
    match shared.mode(engine) {
        EngineMode::Cuts => return None,
        EngineMode::Garbles => return Some("garbled\r\n\r\n".to_owned()),
        EngineMode::Fails => return Some(ERROR_RESPONSE.to_owned()),
        EngineMode::Well | EngineMode::Hangs => {}
    }
    let run_time = Duration::from_millis(shared.run_time_ms.load(Ordering::Relaxed));
    if is_query && run_time > Duration::ZERO {
        Timer::after(run_time).await;
    }
    Some(answer(call, &shared.engines[engine], &shared.reported_load))
}

/// The engine that a connection is addressed to.
fn engine_of(stream: &Async<TcpStream>) -> Option<usize> {
    match stream.get_ref().local_addr().ok()? {
        SocketAddr::V4(at) => {
            let [_, _, high, low] = at.ip().octets();
            Some(usize::from(u16::from_be_bytes([high, low])))
        }
        SocketAddr::V6(_) => None,
    }
}

/// The length of the first call in the buffer, or `None` while it is incomplete.
fn complete_call_length(bytes: &[u8]) -> Option<usize> {
    let head = bytes.windows(HEAD_END.len()).position(|window| window == HEAD_END)? + HEAD_END.len();
    let text = str::from_utf8(&bytes[..head]).ok()?;
    let header = text.lines().find_map(|line| line.strip_prefix("Content-Length: "));
    let length = head + header.and_then(|header| header.parse().ok()).unwrap_or(0);
    (bytes.len() >= length).then_some(length)
}

fn answer(call: &[u8], counts: &Counts, reported_load: &AtomicU32) -> String {
    if call.starts_with(b"POST ") {
        counts.queries.fetch_add(1, Ordering::Relaxed);
        return ok_response(RESULT_FIELDS, ROW);
    }
    // After a good end a query has the same answer again.
    if call.starts_with(b"GET /v2/q/") {
        return ok_response(RESULT_FIELDS, ROW);
    }
    if !call.starts_with(b"GET /load ") {
        return "HTTP/1.1 204 No Content\r\n\r\n".to_owned();
    }
    let share = f64::from(reported_load.load(Ordering::Relaxed)) / UTILISATION_UNITS;
    let report = ok_response(&format!("X-Stats: waiting:0;cpu:{share}\r\n"), "");
    counts.probes.fetch_add(1, Ordering::Relaxed);
    counts.probe_bytes.fetch_add(call.len() as u64, Ordering::Relaxed);
    counts.report_bytes.fetch_add(report.len() as u64, Ordering::Relaxed);
    report
}

fn ok_response(fields: &str, body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\n{fields}Content-Length: {}\r\n\r\n{body}", body.len())
}
