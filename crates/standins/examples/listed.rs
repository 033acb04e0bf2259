//! Measures how the number of listed engines affects one router: its memory at rest, processor time per job
//! and latencies. One or more builds of the program are measured in turns, on loopback, with engines that
//! answer at once:
//! `cargo run --release -p woadhook-standins --example listed -- ROUNDS JOBS RATE COUNTS PROGRAM [OLDER]`,
//! where COUNTS are numbers of engines such as `2,80,128`.

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
/// The wait between the start of the program and the reading of its memory at rest, before the first job.
const SETTLE_SPAN: Duration = Duration::from_millis(1_500);
const ENGINE_RESPONSE: &str =
    "HTTP/1.1 200 OK\r\nX-Batches: 1\r\nX-Stats: waiting:0;cpu:0.1\r\nContent-Length: 6\r\n\r\n1\t2\t3\n";

/// Starts one engine that accepts connections at all addresses of 127.0.0.0/8 on the returned port. One
/// thread runs all connections, each as a task.
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

/// Answers each call on a connection. A call is short, so one read returns all of it.
async fn serve(mut stream: Async<TcpStream>) -> io::Result<()> {
    stream.get_ref().set_nodelay(true)?;
    let mut buffer = [0; 2_048];
    while stream.read(&mut buffer).await? > 0 {
        stream.write_all(ENGINE_RESPONSE.as_bytes()).await?;
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
    fn start(path: &str, config_text: &str) -> Self {
        let listener_address =
            TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr()).expect("a free port");
        let config = std::env::temp_dir().join(format!("listed-{}.json", listener_address.port()));
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
        thread::sleep(SETTLE_SPAN);
        let _ = std::fs::remove_file(config);
        Self { child, address: listener_address }
    }

    /// The processor time so far, in seconds.
    fn cpu_secs(&self) -> f64 {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap_or_default();
        let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
        let ticks =
            |index: usize| fields.get(index).and_then(|field| field.parse::<f64>().ok()).unwrap_or(0.0);
        (ticks(11) + ticks(12)) / 100.0
    }

    /// Resident memory in MB.
    fn memory_mb(&self) -> f64 {
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

/// Runs one client. Returns the latency of each job in microseconds, measured from the time at which the job
/// was due to be sent, and the number of failed jobs.
fn run_client(address: SocketAddr, number: usize, jobs: u32, rate: f64) -> (Vec<u64>, usize) {
    let stream = TcpStream::connect(address).expect("a connection");
    stream.set_read_timeout(Some(Duration::from_secs(20))).expect("a time-out");
    stream.set_nodelay(true).expect("no delay");
    let mut reader = Client(stream.try_clone().expect("a connection"));
    let mut writer = stream;
    let due_times: Arc<Mutex<HashMap<u32, Instant>>> = Arc::default();
    let shared_due_times = due_times.clone();
    let reading = thread::spawn(move || {
        let (mut latencies, mut failed) = (Vec::new(), 0);
        for _ in 0..jobs {
            let (number, result) = reader.receive();
            let due =
                shared_due_times.lock().expect("no panic").remove(&number).expect("a job that was sent");
            latencies.push(due.elapsed().as_micros() as u64);
            failed += usize::from(result.is_err());
        }
        (latencies, failed)
    });
    let phase = number as f64 / CLIENTS as f64;
    let started = Instant::now() + Duration::from_secs_f64(phase / rate);
    for job in 1..=jobs {
        let due = started + Duration::from_secs_f64(f64::from(job) / rate);
        thread::sleep(due.saturating_duration_since(Instant::now()));
        due_times.lock().expect("no panic").insert(job, due);
        let id = format!("{number:08x}{job:08x}");
        let message =
            Client::encode_job(job, "look", &id, 10_000, &format!("select 1 from sales_{}.x", job % 64));
        writer.write_all(&message).expect("a connection that stays");
    }
    reading.join().expect("answers")
}

/// Runs one measurement. Returns the memory at rest in MB, the processor time per job in microseconds, the
/// cores in use, p50 and p99 of the latency in ms, the memory after the jobs in MB, and the number of failed
/// jobs.
fn run(path: &str, engines: usize, jobs: usize, rate: f64) -> [f64; 7] {
    let engines = addresses(serve_engines(), engines);
    let program = Program::start(
        path,
        &router_config(&engines, DiscoveryEvents::default().serve().address, DESCRIPTORS),
    );
    let (memory_at_rest, before, started) = (program.memory_mb(), program.cpu_secs(), Instant::now());
    let (address, own_jobs, own_rate) = (program.address, (jobs / CLIENTS) as u32, rate / CLIENTS as f64);
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| thread::spawn(move || run_client(address, number, own_jobs, own_rate)))
        .collect();
    let mut histogram = Histogram::<u64>::new_with_bounds(1, 60_000_000, 3).expect("bounds");
    let mut failed = 0;
    for each in clients {
        let (latencies, own_failed) = each.join().expect("a client");
        latencies.into_iter().for_each(|took| histogram.saturating_record(took));
        failed += own_failed;
    }
    let (cpu_spent, elapsed) = (program.cpu_secs() - before, started.elapsed().as_secs_f64());
    let at = |quantile| histogram.value_at_quantile(quantile) as f64 / 1e3;
    let cpu_per_job = cpu_spent * 1e6 / histogram.len() as f64;
    [memory_at_rest, cpu_per_job, cpu_spent / elapsed, at(0.5), at(0.99), program.memory_mb(), failed as f64]
}

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [rounds, jobs, rate, counts, programs @ ..] = arguments.as_slice() else {
        panic!("listed ROUNDS JOBS RATE COUNTS PROGRAM [OLDER]");
    };
    let rounds: usize = rounds.parse().expect("a number of rounds");
    let (jobs, rate) = (jobs.parse().expect("a number of jobs"), rate.parse().expect("jobs a second"));
    let counts: Vec<usize> =
        counts.split(',').map(|count| count.parse().expect("a number of engines")).collect();
    println!(
        "engines | program | MB at rest | CPU us a job | cores | p50 ms | p99 ms | MB after | failed (medians of {rounds})"
    );
    for count in counts {
        let mut runs_by_program = vec![Vec::new(); programs.len()];
        for _ in 0..rounds {
            for (runs, path) in runs_by_program.iter_mut().zip(programs) {
                runs.push(run(path, count, jobs, rate));
            }
        }
        for (runs, path) in runs_by_program.iter().zip(programs) {
            let median = |index: usize| {
                let mut each: Vec<f64> = runs.iter().map(|figures| figures[index]).collect();
                each.sort_by(f64::total_cmp);
                each[each.len() / 2]
            };
            let shown: Vec<String> = (0..7).map(|index| format!("{:.2}", median(index))).collect();
            println!("{count} | {path} | {}", shown.join(" | "));
        }
    }
}
