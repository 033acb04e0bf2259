//! Measures how slow clients and engines affect others: the latencies of normal clients at one router,
//! without and with slow peers. One or more builds of the program are measured in turns: `cargo run --release
//! -p woadhook-standins --example slow_peers -- 3 target/release/woadhook [OLDER]`, where 3 is the number of
//! runs of each.

use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use woadhook_standins::{
    Client, DiscoveryEvents, Response, StandinServer, response, result_page, router_config,
};

const RUN_SPAN: Duration = Duration::from_secs(5);
const NORMAL_CLIENTS: usize = 6;
/// Jobs a second of each normal client.
const JOBS_PER_S: f64 = 50.0;

/// The slow peers that are connected beside the normal clients. The table prints the value.
#[derive(Clone, Copy, Debug, PartialEq)]
enum SlowPeers {
    Nothing,
    SlowClients(usize),
    /// A slow client, and an engine that sends its pages slowly.
    ClientAndEngine,
}

struct Program {
    child: Child,
    address: SocketAddr,
}

impl Program {
    fn start(path: &str, config_text: &str) -> Self {
        let listener_address =
            TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr()).expect("a free port");
        let config = std::env::temp_dir().join(format!("slow-peers-{}.json", listener_address.port()));
        std::fs::write(&config, config_text).expect("a configuration");
        let child = Command::new(path)
            .env("LB_CONFIG", &config)
            .env("LB_LISTEN", listener_address.to_string())
            .stderr(Stdio::null())
            .spawn()
            .expect("the program");
        let deadline = Instant::now() + Duration::from_secs(10);
        while TcpStream::connect(listener_address).is_err() && Instant::now() < deadline {
            thread::sleep(Duration::from_millis(20));
        }
        let _ = std::fs::remove_file(config);
        Self { child, address: listener_address }
    }

    /// Processor time in seconds, resident memory in MB, and open descriptors.
    fn figures(&self) -> (f64, f64, usize) {
        let proc = format!("/proc/{}", self.child.id());
        let stat = std::fs::read_to_string(format!("{proc}/stat")).unwrap_or_default();
        let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
        let ticks =
            |index: usize| fields.get(index).and_then(|field| field.parse::<f64>().ok()).unwrap_or(0.0);
        let statm = std::fs::read_to_string(format!("{proc}/statm")).unwrap_or_default();
        let pages = statm.split(' ').nth(1).and_then(|pages| pages.parse::<f64>().ok()).unwrap_or(0.0);
        let descriptors = std::fs::read_dir(format!("{proc}/fd")).map_or(0, Iterator::count);
        ((ticks(11) + ticks(12)) / 100.0, pages * 4096.0 / 1e6, descriptors)
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn connect(address: SocketAddr) -> Client {
    let stream = TcpStream::connect(address).expect("a connection");
    stream.set_read_timeout(Some(Duration::from_secs(20))).expect("a time-out");
    stream.set_nodelay(true).expect("no delay");
    Client(stream)
}

/// Runs a normal client. Returns the latency of each job in microseconds, measured from the time at which the
/// job was due to be sent. A failed job counts as 20 s, the time-out of the connection.
fn run_normal_client(address: SocketAddr, client: usize) -> Vec<u64> {
    let phase = client as f64 / NORMAL_CLIENTS as f64;
    let mut writer = connect(address);
    let mut reader = Client(writer.0.try_clone().expect("a connection"));
    let job_count = (JOBS_PER_S * RUN_SPAN.as_secs_f64()) as u32;
    let due_times: Arc<Mutex<HashMap<u32, Instant>>> = Arc::default();
    let shared_due_times = due_times.clone();
    let reading = thread::spawn(move || {
        (0..job_count)
            .map(|_| {
                let (number, result) = reader.receive();
                let took = shared_due_times.lock().expect("no panic")[&number].elapsed().as_micros() as u64;
                if result.is_ok() { took } else { 20_000_000 }
            })
            .collect()
    });
    let started = Instant::now() + Duration::from_secs_f64(phase / JOBS_PER_S);
    for number in 1..=job_count {
        let due = started + Duration::from_secs_f64(f64::from(number) / JOBS_PER_S);
        thread::sleep(due.saturating_duration_since(Instant::now()));
        due_times.lock().expect("no panic").insert(number, due);
        let id = format!("{client:08x}{number:08x}");
        let message = Client::encode_job(number, "look", &id, 10_000, "select 1 from sales_1.x");
        writer.0.write_all(&message).expect("a connection that stays");
    }
    reading.join().expect("answers")
}

/// Sends a request byte by byte with pauses, reads the answer byte by byte with longer pauses, and connects
/// again when the connection ends.
fn run_slow_client(address: SocketAddr, stop: &AtomicBool, number: usize) {
    let message = Client::encode_job(1, "look", &format!("{number:016x}"), 9_000, "select 1 from sales_1.x");
    while !stop.load(Ordering::Relaxed) {
        let Ok(mut stream) = TcpStream::connect(address) else { continue };
        let _ = stream.set_read_timeout(Some(Duration::from_millis(5)));
        for byte in &message {
            if stop.load(Ordering::Relaxed) || stream.write_all(&[*byte]).is_err() {
                break;
            }
            thread::sleep(Duration::from_millis(9));
        }
        for _ in 0..20 {
            let taken = stream.read(&mut [0]);
            if stop.load(Ordering::Relaxed) || matches!(taken, Ok(0)) {
                break;
            }
            thread::sleep(Duration::from_millis(100));
        }
    }
}

fn run(path: &str, slow_peers: SlowPeers) -> (Histogram<u64>, (f64, f64, usize)) {
    let rows: &'static str = "a\tb\tc\n".repeat(500).leak();
    let engines: Vec<StandinServer> = (0..6)
        .map(|number| {
            let is_slow = slow_peers == SlowPeers::ClientAndEngine && number == 0;
            StandinServer::start(move |call| match call.line.split(' ').next() {
                Some("POST") if is_slow => response(200, &["X-Batches: 2"], rows),
                Some("GET") if is_slow && call.line.contains("/1 ") => Response::InPieces(
                    200,
                    vec!["X-Batch: 1".to_owned()],
                    rows.into(),
                    100,
                    Duration::from_millis(20),
                ),
                _ => result_page(call, &[rows, rows]),
            })
        })
        .collect();
    let addresses: Vec<SocketAddr> = engines.iter().map(|engine| engine.address).collect();
    let program =
        Program::start(path, &router_config(&addresses, DiscoveryEvents::default().serve().address, 1024));
    let stop = Arc::new(AtomicBool::new(false));
    let slow_clients = match slow_peers {
        SlowPeers::Nothing => 0,
        SlowPeers::SlowClients(count) => count,
        SlowPeers::ClientAndEngine => 1,
    };
    let slow_clients: Vec<_> = (0..slow_clients)
        .map(|number| {
            let (stop, address) = (stop.clone(), program.address);
            thread::spawn(move || run_slow_client(address, &stop, 900_000 + number))
        })
        .collect();
    let address = program.address;
    let normal_clients: Vec<_> =
        (0..NORMAL_CLIENTS).map(|number| thread::spawn(move || run_normal_client(address, number))).collect();
    let mut histogram = Histogram::new_with_bounds(1, 60_000_000, 3).expect("bounds");
    for each in normal_clients {
        each.join().expect("a client").into_iter().for_each(|took| histogram.saturating_record(took));
    }
    let figures = program.figures();
    stop.store(true, Ordering::Relaxed);
    slow_clients.into_iter().for_each(|each| each.join().expect("a client"));
    (histogram, figures)
}

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let rounds = arguments.first().and_then(|argument| argument.parse().ok()).unwrap_or(3);
    let slow_peer_sets = [
        SlowPeers::Nothing,
        SlowPeers::SlowClients(1),
        SlowPeers::SlowClients(100),
        SlowPeers::ClientAndEngine,
    ];
    let mut runs_by_program: HashMap<(usize, usize), Vec<[f64; 6]>> = HashMap::new();
    for _ in 0..rounds {
        for (program, path) in arguments.iter().skip(1).enumerate() {
            for (set_index, slow_peers) in slow_peer_sets.iter().enumerate() {
                let (histogram, (cpu, memory, descriptors)) = run(path, *slow_peers);
                let at = |quantile| histogram.value_at_quantile(quantile) as f64 / 1e3;
                let jobs = histogram.len() as f64;
                let figures = [at(0.5), at(0.99), at(0.999), cpu * 1e6 / jobs, memory, descriptors as f64];
                runs_by_program.entry((program, set_index)).or_default().push(figures);
            }
        }
    }
    println!(
        "program | beside | p50 ms | p99 ms | p99.9 ms | CPU us a job | MB | descriptors (medians of {rounds})"
    );
    for (program, path) in arguments.iter().skip(1).enumerate() {
        for (set_index, slow_peers) in slow_peer_sets.iter().enumerate() {
            let runs = &runs_by_program[&(program, set_index)];
            let median = |index: usize| {
                let mut each: Vec<f64> = runs.iter().map(|figures| figures[index]).collect();
                each.sort_by(f64::total_cmp);
                each[each.len() / 2]
            };
            let shown: Vec<String> = (0..6).map(|index| format!("{:.2}", median(index))).collect();
            println!("{path} | {slow_peers:?} | {}", shown.join(" | "));
        }
    }
}
