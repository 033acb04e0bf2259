//! Clients of several routers on one thread. They send requests at a rate, whether earlier ones are answered
//! or not, withdraw some of them, and record what they sent and received.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use async_executor::LocalExecutor;
use async_io::{Async, Timer, block_on};
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt, future};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use rmp::Marker;
use rmp::decode;

use woadhook_router::codec::{self, MessageScanner};

use crate::clients::Client;

/// Number of table groups that requests read.
const TABLE_GROUPS: u32 = 50;
/// Pause after a connection could not be established or ended.
const RECONNECT_PAUSE: Duration = Duration::from_millis(20);
/// How long after the last request answers are still awaited, beyond the wait of the request.
const LAST_ANSWER_WAIT: Duration = Duration::from_millis(1_500);
/// Maximum number of open requests of a connection; while it has this many, no further one is sent.
const MAX_OPEN_REQUESTS: usize = 30;
const READ_BYTES: usize = 16 * 1024;

/// What clients send to each router.
#[derive(Clone, Copy, Debug)]
pub struct Traffic {
    pub requests_per_s: f64,
    /// Connections to each router.
    pub connections: usize,
    /// How long a client waits for an answer, as stated in its request.
    pub wait: Duration,
    /// Share of the requests that are withdrawn, at a random time within the wait.
    pub withdrawn_share: f64,
    pub seed: u64,
}

/// The kinds of answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerKind {
    Served,
    Refused,
    Failed,
}

/// A request and what became of it.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    pub router: usize,
    pub sent: Instant,
    /// When the client stops waiting.
    pub deadline: Instant,
    /// When the client withdrew the request.
    pub withdrawn: Option<Instant>,
    pub answers: Vec<(Instant, AnswerKind)>,
    /// When the connection ended, if it did before an answer came.
    pub connection_ended: Option<Instant>,
}

/// The requests by the number that their id states in hexadecimal digits.
pub type RequestRecords = BTreeMap<u64, RequestRecord>;

/// Running clients.
pub struct Callers {
    stopped: Arc<AtomicBool>,
    thread: JoinHandle<RequestRecords>,
}

impl Callers {
    /// Starts clients at each of the routers.
    pub fn start(routers: Vec<SocketAddr>, traffic: Traffic) -> Self {
        let stopped = Arc::new(AtomicBool::new(false));
        let is_stopped = stopped.clone();
        let thread = thread::spawn(move || {
            let executor = LocalExecutor::new();
            let records: Rc<RefCell<RequestRecords>> = Rc::default();
            let connections = routers.iter().enumerate().flat_map(|(router, address)| {
                (0..traffic.connections).map(move |number| (router, *address, number))
            });
            let tasks: Vec<_> = connections
                .map(|(router, address, number)| {
                    let connection = Connection {
                        router,
                        address,
                        number: router * traffic.connections + number,
                        traffic,
                        records: records.clone(),
                        stopped: is_stopped.clone(),
                    };
                    executor.spawn(connection.run())
                })
                .collect();
            block_on(executor.run(async {
                for task in tasks {
                    task.await;
                }
            }));
            drop(executor);
            records.take()
        });
        Self { stopped, thread }
    }

    /// Sends nothing further, waits for the answers still due and returns all requests.
    pub fn finish(self) -> RequestRecords {
        self.stopped.store(true, Ordering::Relaxed);
        self.thread.join().expect("the clients' thread")
    }
}

struct Connection {
    router: usize,
    address: SocketAddr,
    /// The connection's number among all connections.
    number: usize,
    traffic: Traffic,
    records: Rc<RefCell<RequestRecords>>,
    stopped: Arc<AtomicBool>,
}

impl Connection {
    async fn run(self) {
        let mut rng = Pcg32::seed_from_u64(self.traffic.seed ^ (self.number as u64) << 20);
        let mut next_id = (self.number as u64 + 1) << 32;
        while !self.stopped.load(Ordering::Relaxed) {
            if let Ok(stream) = Async::<TcpStream>::connect(self.address).await {
                let _ = stream.get_ref().set_nodelay(true);
                let first_id = next_id;
                let sending = self.send_requests(&stream, &mut rng, &mut next_id);
                let receiving = async {
                    self.receive_answers(&stream, first_id).await;
                };
                sending.or(receiving).await;
                self.record_end(first_id, next_id);
            }
            Timer::after(RECONNECT_PAUSE).await;
        }
    }

    /// The ids of this connection's open requests.
    fn open_count(&self, first_id: u64, next_id: u64) -> usize {
        let records = self.records.borrow();
        let is_open = |record: &RequestRecord| record.answers.is_empty() && record.withdrawn.is_none();
        records.range(first_id..next_id).filter(|(_, record)| is_open(record)).count()
    }

    async fn send_requests(&self, mut stream: &Async<TcpStream>, rng: &mut Pcg32, next_id: &mut u64) {
        let mean_interval = self.traffic.connections as f64 / self.traffic.requests_per_s;
        let first_id = *next_id;
        let mut due = Instant::now() + Duration::from_secs_f64(rng.random::<f64>() * mean_interval);
        let mut withdrawals: Vec<(Instant, u64)> = Vec::new();
        while !self.stopped.load(Ordering::Relaxed) {
            let next_withdrawal = withdrawals.iter().map(|(at, _)| *at).min();
            Timer::at(next_withdrawal.map_or(due, |at| at.min(due))).await;
            let now = Instant::now();
            for (_, id) in withdrawals.extract_if(.., |(at, _)| *at <= now) {
                if self.withdraw(stream, id, (id - first_id + 1) as u32).await.is_err() {
                    return;
                }
            }
            if now < due {
                continue;
            }
            due += Duration::from_secs_f64((0.5 + rng.random::<f64>()) * mean_interval);
            if self.open_count(first_id, *next_id) >= MAX_OPEN_REQUESTS {
                continue;
            }
            let id = *next_id;
            *next_id += 1;
            if rng.random::<f64>() < self.traffic.withdrawn_share {
                withdrawals.push((now + self.traffic.wait.mul_f64(rng.random::<f64>()), id));
            }
            let message = self.request(id, (id - first_id + 1) as u32, rng.random_range(0..TABLE_GROUPS));
            let sent = Instant::now();
            let record = RequestRecord {
                router: self.router,
                sent,
                deadline: sent + self.traffic.wait,
                withdrawn: None,
                answers: Vec::new(),
                connection_ended: None,
            };
            self.records.borrow_mut().insert(id, record);
            if stream.write_all(&message).await.is_err() {
                return;
            }
        }
        Timer::after(self.traffic.wait + LAST_ANSWER_WAIT).await;
    }

    fn request(&self, id: u64, number: u32, group: u32) -> Vec<u8> {
        let (id, wait) = (format!("{id:016x}"), self.traffic.wait.as_millis().to_string());
        let fields = [("id", id.as_str()), ("wait", &wait), ("cost", "10"), ("ram", "16")];
        Client::encode_request(number, "look", &fields, &format!("select 1 from sales_{group}.x"))
    }

    /// Withdraws a request, if it is not answered yet.
    async fn withdraw(&self, mut stream: &Async<TcpStream>, id: u64, number: u32) -> std::io::Result<()> {
        let mut message = vec![0x93, 0x02, 0xa5];
        message.extend_from_slice(b"abort");
        message.push(0x91);
        rmp::encode::write_uint(&mut message, number.into()).expect("a vector");
        if let Some(record) = self.records.borrow_mut().get_mut(&id) {
            if !record.answers.is_empty() {
                return Ok(());
            }
            record.withdrawn = Some(Instant::now());
        }
        stream.write_all(&message).await
    }

    /// Receives answers until the connection ends.
    async fn receive_answers(&self, mut stream: &Async<TcpStream>, first_id: u64) {
        let (mut bytes, mut chunk) = (Vec::new(), vec![0; READ_BYTES]);
        let (mut scanner, mut scanned) = (MessageScanner::default(), 0);
        while let Ok(count @ 1..) = stream.read(&mut chunk).await {
            bytes.extend_from_slice(&chunk[..count]);
            while let Ok(Some(length)) = codec::message_length(&bytes, &mut scanner, &mut scanned) {
                self.record_answer(&bytes[..length], first_id);
                bytes.drain(..length);
                (scanner, scanned) = (MessageScanner::default(), 0);
            }
            future::yield_now().await;
        }
    }

    fn record_answer(&self, mut message: &[u8], first_id: u64) {
        let message = &mut message;
        let _ = codec::read_array_len(message);
        let _ = codec::read_u32(message);
        let Ok(number) = codec::read_u32(message) else { return };
        let kind = match decode::read_marker(message) {
            Ok(Marker::Null) => AnswerKind::Served,
            _ if message.windows(10).any(|part| part == b"Overloaded") => AnswerKind::Refused,
            _ => AnswerKind::Failed,
        };
        if let Some(record) = self.records.borrow_mut().get_mut(&(first_id + u64::from(number) - 1)) {
            record.answers.push((Instant::now(), kind));
        }
    }

    /// Records that the connection ended for requests without an answer.
    fn record_end(&self, first_id: u64, next_id: u64) {
        let now = Instant::now();
        for (_, record) in self.records.borrow_mut().range_mut(first_id..next_id) {
            if record.answers.is_empty() && record.withdrawn.is_none() {
                record.connection_ended = Some(now);
            }
        }
    }
}
