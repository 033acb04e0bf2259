//! What listed engines cost one router: memory at rest, processor time a job and latencies, for one or more builds of the
//! program in turns, on loopback with engines that answer at once: `cargo run --release -p woadhook-standins --example
//! listed -- ROUNDS JOBS RATE COUNTS PROGRAM [OLDER]`, where COUNTS are numbers of engines as in `2,80,128`.

use std::collections::HashMap;
use std::io::{self, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use async_executor::LocalExecutor;
use async_io::{Async, block_on};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use hdrhistogram::Histogram;
use woadhook_standins::{Client, DiscoveryEvents, router_config};

const CLIENTS: usize = 8;
const DESCRIPTORS: usize = 4_096;
/// From the start of the program to the reading of its memory at rest, and from there to the first job.
const SETTLED: Duration = Duration::from_millis(1_500);
const ANSWER: &str =
    "HTTP/1.1 200 OK\r\nX-Batches: 1\r\nX-Stats: waiting:0;cpu:0.1\r\nContent-Length: 6\r\n\r\n1\t2\t3\n";

/// One engine behind all addresses of 127.0.0.0/8 at this port, each connection a task of one thread.
fn serve_engines() -> u16 {
    let listener = TcpListener::bind("0.0.0.0:0").expect("a free port");
    let port = listener.local_addr().expect("an address").port();
    thread::spawn(move || {
        let executor: &LocalExecutor = Box::leak(Box::default());
        block_on(executor.run(async {
            let listener = Async::new(listener).expect("a listener");
            while let Ok((stream, _)) = listener.accept().await {
                executor.spawn(serve(stream)).detach();
            }
        }));
    });
    port
}

/// Answers each call on a connection; a call comes whole, as it is short.
async fn serve(mut stream: Async<TcpStream>) -> io::Result<()> {
    stream.get_ref().set_nodelay(true)?;
    let mut buffer = [0; 2_048];
    while stream.read(&mut buffer).await? > 0 {
        stream.write_all(ANSWER.as_bytes()).await?;
    }
    Ok(())
}

fn addresses(port: u16, count: usize) -> Vec<SocketAddr> {
    let address = |number: usize| Ipv4Addr::new(127, 1, (number / 250) as u8, (number % 250 + 1) as u8);
    (0..count).map(|number| SocketAddr::new(IpAddr::V4(address(number)), port)).collect()
}

struct Program {
    child: Child,
    address: SocketAddr,
}

impl Program {
    fn start(path: &str, told: &str) -> Self {
        let free = TcpListener::bind("127.0.0.1:0").and_then(|free| free.local_addr()).expect("a free port");
        let config = std::env::temp_dir().join(format!("listed-{}.json", free.port()));
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
        thread::sleep(SETTLED);
        let _ = std::fs::remove_file(config);
        Self { child, address: free }
    }

    /// Seconds of the processor so far.
    fn processor(&self) -> f64 {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap_or_default();
        let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
        let ticks =
            |place: usize| fields.get(place).and_then(|field| field.parse::<f64>().ok()).unwrap_or(0.0);
        (ticks(11) + ticks(12)) / 100.0
    }

    /// MB resident.
    fn memory(&self) -> f64 {
        let statm = std::fs::read_to_string(format!("/proc/{}/statm", self.child.id())).unwrap_or_default();
        statm.split(' ').nth(1).and_then(|pages| pages.parse::<f64>().ok()).unwrap_or(0.0) * 4096.0 / 1e6
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// One client's latencies in microseconds, by the time at which each job was due; how many of its jobs failed.
fn client(address: SocketAddr, number: usize, jobs: u32, rate: f64) -> (Vec<u64>, usize) {
    let stream = TcpStream::connect(address).expect("a connection");
    stream.set_read_timeout(Some(Duration::from_secs(20))).expect("a time-out");
    stream.set_nodelay(true).expect("no delay");
    let mut reader = Client(stream.try_clone().expect("a connection"));
    let mut writer = stream;
    let asked: Arc<Mutex<HashMap<u32, Instant>>> = Arc::default();
    let known = asked.clone();
    let reading = thread::spawn(move || {
        let (mut latencies, mut failed) = (Vec::new(), 0);
        for _ in 0..jobs {
            let (number, result) = reader.receive();
            let due = known.lock().expect("no panic").remove(&number).expect("a job that was asked");
            latencies.push(due.elapsed().as_micros() as u64);
            failed += usize::from(result.is_err());
        }
        (latencies, failed)
    });
    let shift = number as f64 / CLIENTS as f64;
    let started = Instant::now() + Duration::from_secs_f64(shift / rate);
    for job in 1..=jobs {
        let due = started + Duration::from_secs_f64(f64::from(job) / rate);
        thread::sleep(due.saturating_duration_since(Instant::now()));
        asked.lock().expect("no panic").insert(job, due);
        let id = format!("{number:08x}{job:08x}");
        let message =
            Client::encode_job(job, "look", &id, 10_000, &format!("select 1 from sales_{}.x", job % 64));
        writer.write_all(&message).expect("a connection that stays");
    }
    reading.join().expect("answers")
}

/// MB at rest, CPU us a job, cores in use, p50 and p99 in ms, MB behind the jobs, failed jobs.
fn run(path: &str, engines: usize, jobs: usize, rate: f64) -> [f64; 7] {
    let engines = addresses(serve_engines(), engines);
    let program = Program::start(
        path,
        &router_config(&engines, DiscoveryEvents::default().serve().address, DESCRIPTORS),
    );
    let (rest, before, started) = (program.memory(), program.processor(), Instant::now());
    let (address, own_jobs, own_rate) = (program.address, (jobs / CLIENTS) as u32, rate / CLIENTS as f64);
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| thread::spawn(move || client(address, number, own_jobs, own_rate)))
        .collect();
    let mut histogram = Histogram::<u64>::new_with_bounds(1, 60_000_000, 3).expect("bounds");
    let mut failed = 0;
    for each in clients {
        let (latencies, own_failed) = each.join().expect("a client");
        latencies.into_iter().for_each(|took| histogram.saturating_record(took));
        failed += own_failed;
    }
    let (spent, passed) = (program.processor() - before, started.elapsed().as_secs_f64());
    let at = |quantile| histogram.value_at_quantile(quantile) as f64 / 1e3;
    let a_job = spent * 1e6 / histogram.len() as f64;
    [rest, a_job, spent / passed, at(0.5), at(0.99), program.memory(), failed as f64]
}

fn main() {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let [rounds, jobs, rate, counts, programs @ ..] = words.as_slice() else {
        panic!("listed ROUNDS JOBS RATE COUNTS PROGRAM [OLDER]");
    };
    let rounds: usize = rounds.parse().expect("how often");
    let (jobs, rate) = (jobs.parse().expect("how many jobs"), rate.parse().expect("jobs a second"));
    let counts: Vec<usize> =
        counts.split(',').map(|count| count.parse().expect("how many engines")).collect();
    println!(
        "engines | program | MB at rest | CPU us a job | cores | p50 ms | p99 ms | MB after | failed (medians of {rounds})"
    );
    for count in counts {
        let mut all = vec![Vec::new(); programs.len()];
        for _ in 0..rounds {
            for (runs, path) in all.iter_mut().zip(programs) {
                runs.push(run(path, count, jobs, rate));
            }
        }
        for (runs, path) in all.iter().zip(programs) {
            let median = |place: usize| {
                let mut each: Vec<f64> = runs.iter().map(|figures| figures[place]).collect();
                each.sort_by(f64::total_cmp);
                each[each.len() / 2]
            };
            let shown: Vec<String> = (0..7).map(|place| format!("{:.2}", median(place))).collect();
            println!("{count} | {path} | {}", shown.join(" | "));
        }
    }
}
