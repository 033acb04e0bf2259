//! The parties around the routers: engines, discovery for each router, callers, and misbehaving clients.

use std::collections::HashMap;
use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use super::queries::{QueryEnd, QueryStatus};
use super::rule_checks::{
    CALLER_DIGITS, CLOSED_CONNECTION_RESEND_LIMIT, JobRecord, Observations, QueryArrival, caller_of, is_load,
};
use super::{ANSWER_LIMIT, CLIENT_WAIT_MS, JOB_COST_MS, Layout};
use crate::clients::{Client, receive_answer};
use crate::discovery::{DiscoveryEvents, roster_member};
use crate::engines::{Call, Response, StandinServer, response, result_page};
use crate::relays::Relays;
use crate::troubles::{DiscoveryMode, EngineMode, MisbehavingClient};

/// First number, among the callers of one router, of those that leave their loads. Each router has fewer
/// other callers than this.
pub(super) const FIRST_ABANDONING_CALLER: u64 = 16;
/// Run time of a load whose client leaves: longer than any client may wait.
const ABANDONED_RUN_TIME: Duration = Duration::from_millis(CLIENT_WAIT_MS as u64 + 3_000);
/// Run time of one query in eight, so that some query is always outstanding when a fault begins.
const SLOW_RUN_TIME: Duration = Duration::from_millis(900);
/// A `ping` with message number 0.
const PING: [u8; 10] = [0x94, 0x00, 0x00, 0xa4, b'p', b'i', b'n', b'g', 0x91, 0x80];
/// How long a misbehaving client stays connected, or waits for an answer that is not sent.
const MISBEHAVING_PAUSE: Duration = Duration::from_millis(700);
/// How long the clients that stay connected to a terminated router wait for an answer, in milliseconds.
const STAYING_WAIT_MS: u32 = 3_000;
/// How long these clients pause between two requests.
const STAYING_PAUSE: Duration = Duration::from_millis(15);
/// Time after its request at which a client leaves its load.
const LEAVE_DELAY: Duration = Duration::from_millis(300);
/// A job number whose query runs for a while, by its last digit.
const SLOW_JOB_NUMBER: u64 = 0xa;
/// A deadline that leaves hardly any time, in milliseconds.
const TINY_DEADLINE_MS: u32 = 15;

/// An engine of the fleet.
pub(super) struct FleetEngine {
    pub engine: StandinServer,
    pub mode: Arc<Mutex<EngineMode>>,
    /// The relay address at which each router reaches it.
    pub addresses: Mutex<HashMap<usize, SocketAddr>>,
}

/// Starts an engine that records what arrives.
pub(super) fn start_engine(number: usize, observations: Arc<Mutex<Observations>>) -> FleetEngine {
    let mode = Arc::new(Mutex::new(EngineMode::Well));
    let current_mode = mode.clone();
    let engine = StandinServer::start(move |call| {
        let mode = *current_mode.lock().unwrap();
        answer(number, call, mode, &mut observations.lock().unwrap())
    });
    FleetEngine { engine, mode, addresses: Mutex::default() }
}

/// The engine's response to a call.
fn answer(engine: usize, call: &Call, mode: EngineMode, observations: &mut Observations) -> Response {
    let now = Instant::now();
    let is_post = call.line.starts_with("POST");
    let id = if is_post {
        job_id_of(call)
    } else {
        call.line.split(['/', ' ']).nth(4).unwrap_or_default().to_owned()
    };
    if is_post {
        observations.arrivals.push(query_arrival(engine, call));
        let run_time = run_time(&id, observations.routers);
        observations.queries.start(engine, &id, now, run_time);
        if !run_time.is_zero() {
            return response(202, &[], "");
        }
    }
    let is_delete = call.line.starts_with("DELETE");
    // An engine that answers a DELETE with an error does not end the query.
    if is_delete && mode != EngineMode::Fails {
        observations.queries.end(engine, &id, now, QueryEnd::Deleted);
    }
    let status = if is_delete { QueryStatus::Done } else { observations.queries.poll(engine, &id, now) };
    match mode {
        EngineMode::Hangs => return Response::NoResponse,
        EngineMode::Cuts => return Response::CloseConnection,
        EngineMode::Garbles => return Response::RawKeepOpen("no answer at all\r\n\r\n".to_owned()),
        EngineMode::Well if status == QueryStatus::Running => {
            return Response::InPieces(202, vec![], vec![], 16, Duration::from_millis(20));
        }
        EngineMode::Well | EngineMode::Fails => {}
    }
    if is_delete {
        return if mode == EngineMode::Fails { response(500, &[], "") } else { response(204, &[], "") };
    }
    observations.queries.end(engine, &id, now, QueryEnd::Written);
    if mode == EngineMode::Fails || (status == QueryStatus::Unknown && !is_probe(call)) {
        response(500, &[], "")
    } else {
        result_page(call, &["a\tb\tc\n"])
    }
}

fn is_probe(call: &Call) -> bool {
    call.line.starts_with("GET /load") || call.line.starts_with("GET /-/ok")
}

/// The run time of a query: one query in eight runs for a while, or for longer than clients may wait if its
/// client leaves it; all others end at once.
fn run_time(id: &str, routers: usize) -> Duration {
    let is_left = is_load(id) && caller_of(id) as u64 / routers.max(1) as u64 >= FIRST_ABANDONING_CALLER;
    match id.ends_with(['3', 'a']) {
        true if is_left => ABANDONED_RUN_TIME,
        true => SLOW_RUN_TIME,
        false => Duration::ZERO,
    }
}

fn job_id_of(call: &Call) -> String {
    field(call, "X-Trace: ").unwrap_or_default().to_owned()
}

fn field<'a>(call: &'a Call, name: &str) -> Option<&'a str> {
    call.fields.iter().find_map(|field| field.strip_prefix(name))
}

fn query_arrival(engine: usize, call: &Call) -> QueryArrival {
    let millis = field(call, "X-Patience: ").and_then(|millis| millis.parse().ok()).unwrap_or(0);
    QueryArrival { engine, id: job_id_of(call), at: Instant::now(), time_left: Duration::from_millis(millis) }
}

/// An engine's roster entry for one router, with the relay's address.
pub(super) fn engine_entry(
    layout: &Layout, relays: &Relays, router: usize, number: usize, engine: &FleetEngine, phase: &str,
    up_since: u64,
) -> Value {
    let mut addresses = engine.addresses.lock().unwrap();
    let (from, to) = (format!("n{router}"), format!("s-{number}"));
    let at =
        *addresses.entry(router).or_insert_with(|| relays.relay_address(&from, &to, engine.engine.address));
    let mut member = roster_member(&to, at, phase);
    (member["up_since_ms"], member["locality"]) = (json!(up_since), json!(layout.zone(number).0));
    member
}

/// One router's discovery, which can move to another address with a new configuration. It lists the engines
/// at their relay addresses for that router.
pub(super) struct RouterDiscovery {
    pub events: DiscoveryEvents,
    pub open: Arc<AtomicBool>,
    pub server: StandinServer,
}

/// Starts a discovery server with these events; all servers of a fleet share the mode.
pub(super) fn start_discovery(events: DiscoveryEvents, mode: Arc<Mutex<DiscoveryMode>>) -> RouterDiscovery {
    let open = Arc::new(AtomicBool::new(true));
    let (is_open, all_events) = (open.clone(), events.clone());
    let server = StandinServer::start(move |call: &Call| {
        let current_mode = *mode.lock().unwrap();
        if !is_open.load(Ordering::Relaxed) || current_mode == DiscoveryMode::Cuts {
            return Response::CloseConnection;
        }
        match current_mode {
            DiscoveryMode::Silent => return Response::NoResponse,
            // A delayed answer does not also wait for new events.
            DiscoveryMode::Late(millis) => {
                return Response::Delayed(
                    Duration::from_millis(millis),
                    Box::new(all_events.answer_at_once(call)),
                );
            }
            DiscoveryMode::Well | DiscoveryMode::Cuts => {}
        }
        let answer = all_events.answer(call);
        if is_open.load(Ordering::Relaxed) { answer } else { Response::CloseConnection }
    });
    RouterDiscovery { events, open, server }
}

/// A caller: its router, number, the address to connect to, and the pause between jobs.
pub(super) struct Caller {
    pub router: usize,
    pub number: usize,
    pub at: SocketAddr,
    pub pause: Duration,
}

/// Runs a caller: it sends one job after another, over a new connection if the old one ended; one job in ten
/// is run-once. While its router has many idle clients, a job whose connection turns out closed within the
/// protocol's 50 ms is sent again once, under the same id.
pub(super) fn run_caller(caller: Caller, observations: &Mutex<Observations>, stopped: &AtomicBool) {
    let (mut connection, mut number, mut count) = (None, 0, 0_u64);
    let mut connected_at = Instant::now();
    let mut resent_id: Option<String> = None;
    while !stopped.load(Ordering::Relaxed) {
        let Some(stream) = &mut connection else {
            connected_at = Instant::now();
            connection = connect(caller.at);
            (number, count) = (0, count + 1);
            if connection.is_none() {
                thread::sleep(Duration::from_millis(10));
            }
            continue;
        };
        number += 1;
        count += 1;
        let is_resent = resent_id.is_some();
        let id = resent_id.take().unwrap_or_else(|| job_id(caller.number, count));
        let text = format!("select 1 from sales_{}.x", count % 7);
        let class = if id.starts_with('f') { "load" } else { "look" };
        let sent_at = Instant::now();
        let sent = stream.write_all(&request(number, class, &id, CLIENT_WAIT_MS, &text));
        let write_time = sent_at.elapsed();
        let result = sent.and_then(|()| receive_answer(stream, number));
        let (router, wait, elapsed) =
            (caller.router, Duration::from_millis(CLIENT_WAIT_MS.into()), sent_at.elapsed());
        if result.is_err() {
            connection = None;
            let has_many_idle_clients = observations
                .lock()
                .unwrap()
                .many_idle_clients_until
                .get(&router)
                .is_some_and(|until| sent_at < *until);
            if has_many_idle_clients && !is_resent && elapsed <= CLOSED_CONNECTION_RESEND_LIMIT {
                resent_id = Some(id);
                continue;
            }
        }
        let is_direct = false;
        let record =
            JobRecord { router, id, at: sent_at, wait, elapsed, write_time, connected_at, result, is_direct };
        observations.lock().unwrap().answers.push(record);
        thread::sleep(caller.pause);
    }
}

/// Connects and pings. A relay accepts a connection before the router does, so only the ping's answer shows
/// that the router is connected.
fn connect(at: SocketAddr) -> Option<TcpStream> {
    let mut stream = TcpStream::connect(at).ok()?;
    stream.set_read_timeout(Some(ANSWER_LIMIT)).ok()?;
    stream.write_all(&PING).ok()?;
    receive_answer(&mut stream, 0).ok()?;
    Some(stream)
}

/// The id of a caller's job; one in ten is a load.
fn job_id(caller: usize, count: u64) -> String {
    let first = if count.is_multiple_of(10) { 'f' } else { '0' };
    format!("{first}{caller:0width$x}{count:010x}", width = CALLER_DIGITS)
}

fn request(number: u32, class: &str, id: &str, wait: u32, text: &str) -> Vec<u8> {
    let (wait, cost) = (wait.to_string(), JOB_COST_MS.to_string());
    let mut fields = vec![("id", id), ("wait", wait.as_str()), ("cost", cost.as_str()), ("ram", "16")];
    // All loads of a router have one key; it takes effect if the settings keep the order of loads.
    fields.extend((class == "load").then_some(("key", "one")));
    Client::encode_request(number, class, &fields, text)
}

/// Runs a client that misbehaves once, over its own connection. `number` distinguishes its requests' ids.
pub(super) fn misbehave(
    client: MisbehavingClient, at: SocketAddr, number: u64, observations: &Mutex<Observations>,
) {
    let Ok(mut stream) = TcpStream::connect(at) else { return };
    let _ = stream.set_read_timeout(Some(MISBEHAVING_PAUSE));
    let id = format!("e{number:015x}");
    let text = "select 1 from sales_1.x";
    let message = request(1, "look", &id, CLIENT_WAIT_MS, text);
    let sent = match client {
        MisbehavingClient::HalfMessage => stream.write_all(&message[..message.len() / 2]),
        MisbehavingClient::Garbage => stream.write_all(&[0xff; 64]),
        MisbehavingClient::TinyDeadline => stream.write_all(&request(1, "look", &id, TINY_DEADLINE_MS, text)),
        MisbehavingClient::EarlyClose => stream.write_all(&message),
        MisbehavingClient::Flood => {
            let each =
                |at: u32| request(at, "look", &format!("e{number:010x}{at:05x}"), CLIENT_WAIT_MS, text);
            stream.write_all(&(1..200).flat_map(each).collect::<Vec<u8>>())
        }
    };
    if sent.is_err() {
        return;
    }
    match client {
        MisbehavingClient::EarlyClose => {
            thread::sleep(Duration::from_millis(number % 40));
            let _ = stream.shutdown(Shutdown::Both);
            observations.lock().unwrap().clients_left.insert(id, Instant::now());
        }
        MisbehavingClient::Flood => {
            drop(stream);
            let left = (1..200).map(|at| (format!("e{number:010x}{at:05x}"), Instant::now()));
            observations.lock().unwrap().clients_left.extend(left);
        }
        MisbehavingClient::HalfMessage | MisbehavingClient::Garbage => thread::sleep(MISBEHAVING_PAUSE),
        MisbehavingClient::TinyDeadline => _ = receive_answer(&mut stream, 1),
    }
}

/// Runs a client that sends one request after another directly to the router over its own connection, until
/// the router closes it. A client not connected by the deadline gives up.
pub(super) fn run_staying_client(
    router: usize, at: SocketAddr, number: u64, observations: &Mutex<Observations>, deadline: Instant,
) {
    let connected_at = Instant::now();
    let mut connection = connect(at).filter(|_| Instant::now() < deadline);
    let mut count = 0;
    while let Some(stream) = &mut connection {
        count += 1;
        let id = format!("d{number:07x}{count:08x}");
        let sent_at = Instant::now();
        let sent = stream.write_all(&request(count, "look", &id, STAYING_WAIT_MS, "select 1 from sales_2.x"));
        let write_time = sent_at.elapsed();
        let result = sent.and_then(|()| receive_answer(stream, count));
        if result.is_err() {
            connection = None;
        }
        let (wait, elapsed) = (Duration::from_millis(STAYING_WAIT_MS.into()), sent_at.elapsed());
        let record = JobRecord {
            router,
            id,
            at: sent_at,
            wait,
            elapsed,
            write_time,
            connected_at,
            result,
            is_direct: true,
        };
        observations.lock().unwrap().answers.push(record);
        thread::sleep(STAYING_PAUSE);
    }
}

/// Runs a client that requests a load which runs for a while, and leaves in the middle of it.
pub(super) fn abandon_load(at: SocketAddr, caller: usize, observations: &Mutex<Observations>) {
    let Some(mut stream) = connect(at) else { return };
    let id = format!("f{caller:0width$x}{SLOW_JOB_NUMBER:010x}", width = CALLER_DIGITS);
    let text = "select 1 from sales_3.x";
    if stream.write_all(&request(1, "load", &id, CLIENT_WAIT_MS, text)).is_ok() {
        thread::sleep(LEAVE_DELAY);
        let _ = stream.shutdown(Shutdown::Both);
        observations.lock().unwrap().clients_left.insert(id, Instant::now());
    }
}

/// Opens idle connections and holds them for this time.
pub(super) fn hold_idle_connections(at: SocketAddr, count: usize, span: Duration) {
    let held: Vec<TcpStream> = (0..count).filter_map(|_| TcpStream::connect(at).ok()).collect();
    thread::sleep(span);
    drop(held);
}
