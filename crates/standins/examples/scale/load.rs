//! Hollow clients: connections at rest, and connections that ask for jobs.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use woadhook_standins::{Client, TEST_TIMEOUT, clients};

/// Latencies in microseconds: least, most, and significant digits.
const LEAST: u64 = 1;
const MOST: u64 = 60_000_000;
const DIGITS: u8 = 3;
/// What each job is told to take and to need, and how long its client waits.
const COST_MS: &str = "1";
const RAM_MB: &str = "1";
const WAIT_MS: &str = "10000";
/// Table groups that jobs read.
const GROUPS: u32 = 50;

/// Connections that do nothing but stay. A router closes those at which nothing passed for 5 s, as clients do themselves
/// after 4 s, so they are refreshed before each thing that is measured beside them.
pub struct AtRest(Vec<Client>);

impl AtRest {
    /// Opens so many at a router; each is taken in before the next comes.
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

    /// How many the router has closed.
    pub fn closed(&self) -> usize {
        let is_closed = |client: &&Client| {
            let _ = client.0.set_nonblocking(true);
            let looked = client.0.peek(&mut [0]);
            let _ = client.0.set_nonblocking(false);
            looked.map_or_else(|error| error.kind() != io::ErrorKind::WouldBlock, |count| count == 0)
        };
        self.0.iter().filter(is_closed).count()
    }
}

fn ping(client: &mut Client) -> io::Result<()> {
    if !client.try_ping() {
        return Err(io::Error::other("no answer to a ping"));
    }
    // What of the answer the look at it left.
    client.0.read_exact(&mut [0])
}

/// Jobs that clients ask for, at all of the routers alike.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// At each router; nothing asks for the next job as soon as one is answered.
    pub jobs_per_s: Option<usize>,
    pub connections: usize,
    pub span: Duration,
    pub seed: u64,
}

/// What became of them.
pub struct Answers {
    /// From when each job was due to its result, in microseconds.
    pub latencies: Histogram<u64>,
    pub served: u64,
    /// Answered with an error.
    pub refused: u64,
    /// Not answered at all.
    pub lost: u64,
    pub took: Duration,
}

impl Answers {
    fn none() -> Self {
        let latencies = Histogram::new_with_bounds(LEAST, MOST, DIGITS).expect("bounds");
        Self { latencies, served: 0, refused: 0, lost: 0, took: Duration::ZERO }
    }

    fn add(&mut self, other: &Self) {
        self.latencies += &other.latencies;
        self.served += other.served;
        self.refused += other.refused;
        self.lost += other.lost;
    }
}

impl Load {
    /// Asks for the span; a job that is due within it is asked for, one that no connection came to by its end is not.
    pub fn run(&self, routers: &[SocketAddr]) -> Answers {
        let started = Instant::now();
        let due: Vec<AtomicU64> = routers.iter().map(|_| AtomicU64::new(0)).collect();
        let mut all = Answers::none();
        thread::scope(|scope| {
            let places = routers.iter().zip(&due).enumerate();
            let workers: Vec<_> = places
                .flat_map(|(router, (at, due))| {
                    (0..self.connections).map(move |connection| (router, connection, *at, due))
                })
                .map(|(router, connection, at, due)| {
                    let number = (router * self.connections + connection) as u64;
                    scope.spawn(move || self.ask_on(at, number, due, started))
                })
                .collect();
            for worker in workers {
                all.add(&worker.join().expect("a client"));
            }
        });
        all.took = started.elapsed();
        all
    }

    fn ask_on(&self, router: SocketAddr, worker: u64, next: &AtomicU64, started: Instant) -> Answers {
        let mut answers = Answers::none();
        let mut chance = Pcg32::seed_from_u64(self.seed ^ worker);
        let mut connection = None;
        for count in 1.. {
            let due = self.due(next.fetch_add(1, Ordering::Relaxed), started);
            if due.max(Instant::now()) >= started + self.span {
                return answers;
            }
            thread::sleep(due.saturating_duration_since(Instant::now()));
            let id = job_id(self.seed, worker, count);
            match ask(&mut connection, router, count, &id, chance.random_range(0..GROUPS)) {
                Ok(true) => {
                    answers.served += 1;
                    answers.latencies.saturating_record(due.elapsed().as_micros() as u64);
                }
                Ok(false) => answers.refused += 1,
                Err(_) => {
                    answers.lost += 1;
                    connection = None;
                }
            }
        }
        answers
    }

    fn due(&self, number: u64, started: Instant) -> Instant {
        let at = |rate: usize| started + Duration::from_secs_f64(number as f64 / rate as f64);
        self.jobs_per_s.map_or_else(Instant::now, at)
    }
}

/// Unlike any other's in a run: from the load, the connection and the job on it.
fn job_id(seed: u64, worker: u64, count: u32) -> String {
    format!("{:04x}{:04x}{:08x}", seed as u16, worker as u16, count)
}

/// Whether a job was served.
fn ask(
    connection: &mut Option<TcpStream>, router: SocketAddr, number: u32, id: &str, group: u32,
) -> io::Result<bool> {
    let stream = match connection {
        Some(stream) => stream,
        None => connection.insert(connect(router)?),
    };
    let fields = [("id", id), ("wait", WAIT_MS), ("cost", COST_MS), ("ram", RAM_MB)];
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
