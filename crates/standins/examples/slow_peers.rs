//! What others notice of slow peers: usual clients' latencies at one router, calm and beside slow ones, in turns, for one or
//! more builds of the program: `cargo run --release -p woadhook-standins --example slow_peers -- 3 target/release/woadhook
//! [OLDER]`, where 3 is how often each is run.

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

const FOR: Duration = Duration::from_secs(5);
const USUAL: usize = 6;
/// Jobs a second of each usual client.
const RATE: f64 = 50.0;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Beside {
    Nothing,
    SlowClients(usize),
    /// A slow client, and an engine that sends its pages at a crawl.
    ClientAndEngine,
}

struct Program {
    child: Child,
    address: SocketAddr,
}

impl Program {
    fn start(path: &str, told: &str) -> Self {
        let free = TcpListener::bind("127.0.0.1:0").and_then(|free| free.local_addr()).expect("a free port");
        let config = std::env::temp_dir().join(format!("slow-peers-{}.json", free.port()));
        std::fs::write(&config, told).expect("a configuration");
        let child = Command::new(path)
            .env("LB_CONFIG", &config)
            .env("LB_LISTEN", free.to_string())
            .stderr(Stdio::null())
            .spawn()
            .expect("the program");
        let until = Instant::now() + Duration::from_secs(10);
        while TcpStream::connect(free).is_err() && Instant::now() < until {
            thread::sleep(Duration::from_millis(20));
        }
        let _ = std::fs::remove_file(config);
        Self { child, address: free }
    }

    /// Seconds of the processor, MB held, and descriptors.
    fn figures(&self) -> (f64, f64, usize) {
        let proc = format!("/proc/{}", self.child.id());
        let stat = std::fs::read_to_string(format!("{proc}/stat")).unwrap_or_default();
        let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
        let ticks =
            |place: usize| fields.get(place).and_then(|field| field.parse::<f64>().ok()).unwrap_or(0.0);
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

/// Latencies in microseconds of a usual client, by the time at which each job was due; failures count as the longest.
fn usual(address: SocketAddr, client: usize) -> Vec<u64> {
    let shift = client as f64 / USUAL as f64;
    let mut writer = connect(address);
    let mut reader = Client(writer.0.try_clone().expect("a connection"));
    let most = (RATE * FOR.as_secs_f64()) as u32;
    let asked: Arc<Mutex<HashMap<u32, Instant>>> = Arc::default();
    let known = asked.clone();
    let reading = thread::spawn(move || {
        (0..most)
            .map(|_| {
                let (number, result) = reader.receive();
                let took = known.lock().expect("no panic")[&number].elapsed().as_micros() as u64;
                if result.is_ok() { took } else { 20_000_000 }
            })
            .collect()
    });
    let started = Instant::now() + Duration::from_secs_f64(shift / RATE);
    for number in 1..=most {
        let due = started + Duration::from_secs_f64(f64::from(number) / RATE);
        thread::sleep(due.saturating_duration_since(Instant::now()));
        asked.lock().expect("no panic").insert(number, due);
        let id = format!("{client:08x}{number:08x}");
        let message = Client::encode_job(number, "look", &id, 10_000, "select 1 from sales_1.x");
        writer.0.write_all(&message).expect("a connection that stays");
    }
    reading.join().expect("answers")
}

/// Trickles requests a byte at a time, takes a byte of each answer now and then, and comes back when it is dropped.
fn slow(address: SocketAddr, over: &AtomicBool, number: usize) {
    let message = Client::encode_job(1, "look", &format!("{number:016x}"), 9_000, "select 1 from sales_1.x");
    while !over.load(Ordering::Relaxed) {
        let Ok(mut stream) = TcpStream::connect(address) else { continue };
        let _ = stream.set_read_timeout(Some(Duration::from_millis(5)));
        for byte in &message {
            if over.load(Ordering::Relaxed) || stream.write_all(&[*byte]).is_err() {
                break;
            }
            thread::sleep(Duration::from_millis(9));
        }
        for _ in 0..20 {
            let taken = stream.read(&mut [0]);
            if over.load(Ordering::Relaxed) || matches!(taken, Ok(0)) {
                break;
            }
            thread::sleep(Duration::from_millis(100));
        }
    }
}

fn run(path: &str, beside: Beside) -> (Histogram<u64>, (f64, f64, usize)) {
    let rows: &'static str = "a\tb\tc\n".repeat(500).leak();
    let engines: Vec<StandinServer> = (0..6)
        .map(|number| {
            let crawls = beside == Beside::ClientAndEngine && number == 0;
            StandinServer::start(move |call| match call.line.split(' ').next() {
                Some("POST") if crawls => response(200, &["X-Batches: 2"], rows),
                Some("GET") if crawls && call.line.contains("/1 ") => Response::InPieces(
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
    let over = Arc::new(AtomicBool::new(false));
    let slow_ones = match beside {
        Beside::Nothing => 0,
        Beside::SlowClients(count) => count,
        Beside::ClientAndEngine => 1,
    };
    let slow_ones: Vec<_> = (0..slow_ones)
        .map(|number| {
            let (over, address) = (over.clone(), program.address);
            thread::spawn(move || slow(address, &over, 900_000 + number))
        })
        .collect();
    let address = program.address;
    let usual_ones: Vec<_> = (0..USUAL).map(|number| thread::spawn(move || usual(address, number))).collect();
    let mut histogram = Histogram::new_with_bounds(1, 60_000_000, 3).expect("bounds");
    for each in usual_ones {
        each.join().expect("a client").into_iter().for_each(|took| histogram.saturating_record(took));
    }
    let figures = program.figures();
    over.store(true, Ordering::Relaxed);
    slow_ones.into_iter().for_each(|each| each.join().expect("a client"));
    (histogram, figures)
}

fn main() {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let rounds = words.first().and_then(|word| word.parse().ok()).unwrap_or(3);
    let kinds = [Beside::Nothing, Beside::SlowClients(1), Beside::SlowClients(100), Beside::ClientAndEngine];
    let mut all: HashMap<(usize, usize), Vec<[f64; 6]>> = HashMap::new();
    for _ in 0..rounds {
        for (program, path) in words.iter().skip(1).enumerate() {
            for (kind, beside) in kinds.iter().enumerate() {
                let (histogram, (cpu, memory, descriptors)) = run(path, *beside);
                let at = |quantile| histogram.value_at_quantile(quantile) as f64 / 1e3;
                let jobs = histogram.len() as f64;
                let figures = [at(0.5), at(0.99), at(0.999), cpu * 1e6 / jobs, memory, descriptors as f64];
                all.entry((program, kind)).or_default().push(figures);
            }
        }
    }
    println!(
        "program | beside | p50 ms | p99 ms | p99.9 ms | CPU us a job | MB | descriptors (medians of {rounds})"
    );
    for (program, path) in words.iter().skip(1).enumerate() {
        for (kind, beside) in kinds.iter().enumerate() {
            let runs = &all[&(program, kind)];
            let median = |place: usize| {
                let mut each: Vec<f64> = runs.iter().map(|figures| figures[place]).collect();
                each.sort_by(f64::total_cmp);
                each[each.len() / 2]
            };
            let shown: Vec<String> = (0..6).map(|place| format!("{:.2}", median(place))).collect();
            println!("{path} | {beside:?} | {}", shown.join(" | "));
        }
    }
}
