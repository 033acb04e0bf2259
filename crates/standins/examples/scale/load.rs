//! Lightweight clients: idle connections, and connections that send jobs.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use woadhook_standins::{Client, TEST_TIMEOUT, clients};

/// Bounds and precision of the latency histogram.
const MIN_LATENCY_US: u64 = 1;
const MAX_LATENCY_US: u64 = 60_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;
/// The estimated cost and memory that each job declares, and how long its client waits for the result.
const JOB_COST_MS: &str = "1";
const JOB_MEMORY_MB: &str = "1";
const JOB_WAIT_MS: &str = "10000";
/// The number of table groups that jobs read.
const TABLE_GROUPS: u32 = 50;

/// Idle client connections. A router closes connections without traffic for 5 s, as clients do themselves
/// after 4 s, so they are refreshed before each measurement.
pub struct IdleClients(Vec<Client>);

impl IdleClients {
    /// Opens `count` connections at a router. Each has been accepted before the next one is opened.
    pub fn open(router: SocketAddr, count: usize) -> io::Result<Self> {
        let open = |_| {
            let mut client = Client(connect(router)?);
            ping(&mut client)?;
            Ok(client)
        };
        Ok(Self((0..count).map(open).collect::<io::Result<_>>()?))
    }

    pub fn refresh(&mut self) -> io::Result<()> {
        self.0.iter_mut().try_for_each(ping)
    }

    /// The number of connections that the router has closed.
    pub fn closed_count(&self) -> usize {
        let is_closed = |client: &&Client| {
            let _ = client.0.set_nonblocking(true);
            let peeked = client.0.peek(&mut [0]);
            let _ = client.0.set_nonblocking(false);
            peeked.map_or_else(|error| error.kind() != io::ErrorKind::WouldBlock, |count| count == 0)
        };
        self.0.iter().filter(is_closed).count()
    }
}

fn ping(client: &mut Client) -> io::Result<()> {
    if !client.try_ping() {
        return Err(io::Error::other("no answer to a ping"));
    }
    // Reads the byte of the answer that `try_ping` has left unread.
    client.0.read_exact(&mut [0])
}

/// The jobs that clients send, with the same rate and number of connections at each router.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// The rate at each router; with `None` a client sends its next job as soon as the last one is answered.
    pub jobs_per_s: Option<usize>,
    pub connections: usize,
    pub span: Duration,
    pub seed: u64,
}

/// The results of the jobs of a load.
pub struct LoadResult {
    /// Times from when each job was due to its result, in microseconds.
    pub latencies: Histogram<u64>,
    pub served: u64,
    /// Jobs that were answered with an error.
    pub refused: u64,
    /// Jobs that were not answered.
    pub lost: u64,
    pub duration: Duration,
}

impl LoadResult {
    fn empty() -> Self {
        let latencies =
            Histogram::new_with_bounds(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS).expect("bounds");
        Self { latencies, served: 0, refused: 0, lost: 0, duration: Duration::ZERO }
    }

    fn add(&mut self, other: &Self) {
        self.latencies += &other.latencies;
        self.served += other.served;
        self.refused += other.refused;
        self.lost += other.lost;
    }
}

impl Load {
    /// Sends jobs for the span. A job is sent if it is due and a connection is free for it before the end of
    /// the span.
    pub fn run(&self, routers: &[SocketAddr]) -> LoadResult {
        let started = Instant::now();
        let due: Vec<AtomicU64> = routers.iter().map(|_| AtomicU64::new(0)).collect();
        let mut total = LoadResult::empty();
        thread::scope(|scope| {
            let numbered = routers.iter().zip(&due).enumerate();
            let workers: Vec<_> = numbered
                .flat_map(|(router, (at, due))| {
                    (0..self.connections).map(move |connection| (router, connection, *at, due))
                })
                .map(|(router, connection, at, due)| {
                    let number = (router * self.connections + connection) as u64;
                    scope.spawn(move || self.run_connection(at, number, due, started))
                })
                .collect();
            for worker in workers {
                total.add(&worker.join().expect("a client"));
            }
        });
        total.duration = started.elapsed();
        total
    }

    fn run_connection(
        &self, router: SocketAddr, worker: u64, next: &AtomicU64, started: Instant,
    ) -> LoadResult {
        let mut result = LoadResult::empty();
        let mut rng = Pcg32::seed_from_u64(self.seed ^ worker);
        let mut connection = None;
        for count in 1.. {
            let due = self.due(next.fetch_add(1, Ordering::Relaxed), started);
            if due.max(Instant::now()) >= started + self.span {
                return result;
            }
            thread::sleep(due.saturating_duration_since(Instant::now()));
            let id = job_id(self.seed, worker, count);
            match run_job(&mut connection, router, count, &id, rng.random_range(0..TABLE_GROUPS)) {
                Ok(true) => {
                    result.served += 1;
                    result.latencies.saturating_record(due.elapsed().as_micros() as u64);
                }
                Ok(false) => result.refused += 1,
                Err(_) => {
                    result.lost += 1;
                    connection = None;
                }
            }
        }
        result
    }

    fn due(&self, number: u64, started: Instant) -> Instant {
        let at = |rate: usize| started + Duration::from_secs_f64(number as f64 / rate as f64);
        self.jobs_per_s.map_or_else(Instant::now, at)
    }
}

/// An id that is unique in a run, made from the seed of the load, the connection and the job's number on it.
fn job_id(seed: u64, worker: u64, count: u32) -> String {
    format!("{:04x}{:04x}{:08x}", seed as u16, worker as u16, count)
}

/// Sends a job and waits for its answer; returns whether the job was served.
fn run_job(
    connection: &mut Option<TcpStream>, router: SocketAddr, number: u32, id: &str, group: u32,
) -> io::Result<bool> {
    let stream = match connection {
        Some(stream) => stream,
        None => connection.insert(connect(router)?),
    };
    let fields = [("id", id), ("wait", JOB_WAIT_MS), ("cost", JOB_COST_MS), ("ram", JOB_MEMORY_MB)];
    let text = format!("select 1 from sales_{group}.x");
    stream.write_all(&Client::encode_request(number, "look", &fields, &text))?;
    clients::receive_answer(stream, number)
}

fn connect(router: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect(router)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(TEST_TIMEOUT))?;
    Ok(stream)
}
