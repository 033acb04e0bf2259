//! Lightweight engines that share one listener. Each answers every query with one row and every probe with a
//! load report, and counts both.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::thread;

use async_channel::Sender;
use async_executor::Executor;
use async_io::Async;
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use socket2::SockRef;

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
    /// The utilisation that every engine reports, in thousandths.
    reported_load: AtomicU32,
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
        assert!(count <= MAX_ENGINES, "{count} engines, {MAX_ENGINES} have addresses");
        let listener = Async::<TcpListener>::bind((Ipv4Addr::UNSPECIFIED, 0))?;
        SockRef::from(listener.get_ref()).listen(LISTEN_BACKLOG)?;
        let port = listener.get_ref().local_addr()?.port();
        let engines = (0..count).map(|_| Counts::default()).collect();
        let shared = Arc::new(Shared { engines, reported_load: AtomicU32::new(0) });
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
        executor.spawn(serve(stream, shared.clone())).detach();
    }
}

/// Serves one connection until its peer closes it.
async fn serve(mut stream: Async<TcpStream>, shared: Arc<Shared>) {
    let _ = stream.get_ref().set_nodelay(true);
    let Some(counts) = engine_of(&stream).and_then(|engine| shared.engines.get(engine)) else { return };
    let (mut bytes, mut chunk) = (Vec::new(), [0; READ_BYTES]);
    loop {
        while let Some(length) = complete_call_length(&bytes) {
            let answer = answer(&bytes[..length], counts, &shared.reported_load);
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
        return ok_response("X-Batches: 1\r\nX-Batch: 0\r\n", ROW);
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
