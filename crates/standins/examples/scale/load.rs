//! The clients of the routers, in the process of the example: idle connections, and connections that send
//! jobs.

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

/// Idle client connections. A router closes a connection that has had no traffic for 5 s (real clients close
/// theirs after 4 s), so each connection is pinged before each measurement.
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

    /// Pings the router on each connection, so that the router does not close it as idle.
    pub fn refresh(&mut self) -> io::Result<()> {
        self.0.iter_mut().try_for_each(ping)
    }

    /// The number of connections that the router has closed since they were opened.
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
    // `try_ping` reads the answer up to its result, so the last byte is still unread.
    client.0.read_exact(&mut [0])
}

/// The jobs that clients send, with the same rate and number of connections at each router.
#[derive(Clone, Copy, Debug)]
pub struct JobTraffic {
    /// The rate at each router; with `None`, a connection sends its next job as soon as the last one is
    /// answered.
    pub jobs_per_s: Option<usize>,
    /// The number of connections at each router.
    pub connections: usize,
    pub span: Duration,
    pub seed: u64,
}

/// The results of the jobs that were sent.
pub struct TrafficResult {
    /// The latency of each done job in microseconds, measured from the time at which the job was due to be
    /// sent.
    pub latencies: Histogram<u64>,
    pub done: u64,
    /// Jobs that were answered with an error.
    pub failed: u64,
    /// Jobs that were not answered.
    pub lost: u64,
    pub duration: Duration,
}

impl TrafficResult {
    fn empty() -> Self {
        let latencies =
            Histogram::new_with_bounds(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS).expect("bounds");
        Self { latencies, done: 0, failed: 0, lost: 0, duration: Duration::ZERO }
    }

    fn add(&mut self, other: &Self) {
        self.latencies += &other.latencies;
        self.done += other.done;
        self.failed += other.failed;
        self.lost += other.lost;
    }
}

impl JobTraffic {
    /// Sends jobs until the span has passed. A job is sent only if it is due and a connection is free for it
    /// before the end of the span.
    pub fn run(&self, routers: &[SocketAddr]) -> TrafficResult {
        let started = Instant::now();
        let next_jobs: Vec<AtomicU64> = routers.iter().map(|_| AtomicU64::new(0)).collect();
        let mut total = TrafficResult::empty();
        thread::scope(|scope| {
            let numbered = routers.iter().zip(&next_jobs).enumerate();
            let connection_threads: Vec<_> = numbered
                .flat_map(|(router, (at, next_job))| {
                    (0..self.connections).map(move |connection| (router, connection, *at, next_job))
                })
                .map(|(router, connection, at, next_job)| {
                    let number = (router * self.connections + connection) as u64;
                    scope.spawn(move || self.run_connection(at, number, next_job, started))
                })
                .collect();
            for thread in connection_threads {
                total.add(&thread.join().expect("a client"));
            }
        });
        total.duration = started.elapsed();
        total
    }

    /// Sends jobs one after another on one connection; `next_job` is the number of the router's next job,
    /// which its connections share.
    fn run_connection(
        &self, router: SocketAddr, connection_number: u64, next_job: &AtomicU64, started: Instant,
    ) -> TrafficResult {
        let mut result = TrafficResult::empty();
        let mut rng = Pcg32::seed_from_u64(self.seed ^ connection_number);
        let mut connection = None;
        for count in 1.. {
            let due = self.due_time(next_job.fetch_add(1, Ordering::Relaxed), started);
            if due.max(Instant::now()) >= started + self.span {
                return result;
            }
            thread::sleep(due.saturating_duration_since(Instant::now()));
            let id = job_id(self.seed, connection_number, count);
            match run_job(&mut connection, router, count, &id, rng.random_range(0..TABLE_GROUPS)) {
                Ok(true) => {
                    result.done += 1;
                    result.latencies.saturating_record(due.elapsed().as_micros() as u64);
                }
                Ok(false) => result.failed += 1,
                Err(_) => {
                    result.lost += 1;
                    connection = None;
                }
            }
        }
        result
    }

    /// The time at which the job with this number is due: without a rate, now.
    fn due_time(&self, number: u64, started: Instant) -> Instant {
        let at = |rate: usize| started + Duration::from_secs_f64(number as f64 / rate as f64);
        self.jobs_per_s.map_or_else(Instant::now, at)
    }
}

/// A job id that is unique in a run, made from the seed, the connection and the job's number on it.
fn job_id(seed: u64, connection_number: u64, count: u32) -> String {
    format!("{:04x}{:04x}{:08x}", seed as u16, connection_number as u16, count)
}

/// Sends a job and waits for its answer; returns whether the job is done.
fn run_job(
    connection: &mut Option<TcpStream>, router: SocketAddr, number: u32, id: &str, group: u32,
) -> io::Result<bool> {
    let stream = match connection {
        Some(stream) => stream,
        None => connection.insert(connect(router)?),
    };
    let fields = [("id", id), ("wait", JOB_WAIT_MS), ("cost", JOB_COST_MS), ("ram", JOB_MEMORY_MB)];
    let text = format!("select 1 from sales_{group}.x");
    // `look` is a restartable reservation type in the settings that the routers are started with.
    stream.write_all(&Client::encode_request(number, "look", &fields, &text))?;
    clients::receive_answer(stream, number)
}

fn connect(router: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect(router)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(TEST_TIMEOUT))?;
    Ok(stream)
}
