//! The parties beside the routers: engines, a discovery for each router, callers, and clients that misbehave.

use std::collections::HashMap;
use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use super::judge::{Asked, CALLER_DIGITS, CROSSING, Post, Seen, caller_of, is_load};
use super::queries::{End, News};
use super::{ANSWERED, COST, Layout, WAIT};
use crate::clients::{Client, receive_answer};
use crate::discovery::{DiscoveryEvents, roster_member};
use crate::engines::{Call, Response, StandinServer, response, result_page};
use crate::relays::Relays;
use crate::troubles::{DiscoveryMode, EngineMode, RudeClient};

/// Callers that leave their loads are numbered from here on, with up to so many others at each router.
pub(super) const LEAVERS_FROM: u64 = 16;
/// How long a load runs that its client leaves: longer than any may wait.
const LEFT_RUN: Duration = Duration::from_millis(WAIT as u64 + 3_000);
/// How long one query in eight runs, so that something is always out when a fault comes.
const RUN: Duration = Duration::from_millis(900);
/// `ping` under the number 0.
const PING: [u8; 10] = [0x94, 0x00, 0x00, 0xa4, b'p', b'i', b'n', b'g', 0x91, 0x80];
/// How long a rude client rests, or waits for what it does not get.
const RUDE_REST: Duration = Duration::from_millis(700);
/// How long clients wait that stay until the end, in milliseconds, and rest between requests.
const STAY_WAIT: u32 = 3_000;
const STAY_PAUSE: Duration = Duration::from_millis(15);
/// When a client leaves its load, and a number of a job that runs for a while.
const LEAVES_AFTER: Duration = Duration::from_millis(300);
const SLOW: u64 = 0xa;
/// A deadline that hardly leaves time for anything, in milliseconds.
const TINY: u32 = 15;

pub(super) struct Place {
    pub engine: StandinServer,
    pub mode: Arc<Mutex<EngineMode>>,
    /// Where each router reaches it.
    pub ways: Mutex<HashMap<usize, SocketAddr>>,
}

/// An engine that keeps book of what comes.
pub(super) fn place(number: usize, seen: Arc<Mutex<Seen>>) -> Place {
    let mode = Arc::new(Mutex::new(EngineMode::Well));
    let present = mode.clone();
    let engine = StandinServer::start(move |call| {
        let mode = *present.lock().unwrap();
        answer(number, call, mode, &mut seen.lock().unwrap())
    });
    Place { engine, mode, ways: Mutex::default() }
}

/// What such an engine says to a call.
fn answer(engine: usize, call: &Call, mode: EngineMode, seen: &mut Seen) -> Response {
    let now = Instant::now();
    let is_post = call.line.starts_with("POST");
    let id =
        if is_post { trace(call) } else { call.line.split(['/', ' ']).nth(4).unwrap_or_default().to_owned() };
    if is_post {
        seen.posts.push(post(engine, call));
        let runs = run(&id, seen.routers);
        seen.queries.start(engine, &id, now, runs);
        if !runs.is_zero() {
            return response(202, &[], "");
        }
    }
    let is_delete = call.line.starts_with("DELETE");
    // An engine that answers with an error did not give it up.
    if is_delete && mode != EngineMode::Fails {
        seen.queries.end(engine, &id, now, End::Deleted);
    }
    let news = if is_delete { News::Done } else { seen.queries.ask(engine, &id, now) };
    match mode {
        EngineMode::Hangs => return Response::NoResponse,
        EngineMode::Cuts => return Response::CloseConnection,
        EngineMode::Garbles => return Response::RawKeepOpen("no answer at all\r\n\r\n".to_owned()),
        EngineMode::Well if news == News::Runs => {
            return Response::InPieces(202, vec![], vec![], 16, Duration::from_millis(20));
        }
        EngineMode::Well | EngineMode::Fails => {}
    }
    if is_delete {
        return if mode == EngineMode::Fails { response(500, &[], "") } else { response(204, &[], "") };
    }
    seen.queries.end(engine, &id, now, End::Written);
    if mode == EngineMode::Fails || (news == News::Unknown && !is_probe(call)) {
        response(500, &[], "")
    } else {
        result_page(call, &["a\tb\tc\n"])
    }
}

fn is_probe(call: &Call) -> bool {
    call.line.starts_with("GET /load") || call.line.starts_with("GET /-/ok")
}

/// How long a query runs: one in eight a while, those that their clients leave for longer than these may wait, others no time.
fn run(id: &str, routers: usize) -> Duration {
    let is_left = is_load(id) && caller_of(id) as u64 / routers.max(1) as u64 >= LEAVERS_FROM;
    match id.ends_with(['3', 'a']) {
        true if is_left => LEFT_RUN,
        true => RUN,
        false => Duration::ZERO,
    }
}

fn trace(call: &Call) -> String {
    field(call, "X-Trace: ").unwrap_or_default().to_owned()
}

fn field<'a>(call: &'a Call, name: &str) -> Option<&'a str> {
    call.fields.iter().find_map(|field| field.strip_prefix(name))
}

fn post(engine: usize, call: &Call) -> Post {
    let millis = field(call, "X-Patience: ").and_then(|millis| millis.parse().ok()).unwrap_or(0);
    Post { engine, id: trace(call), at: Instant::now(), patience: Duration::from_millis(millis) }
}

/// An engine as one router is told of it: at the end of the passage between them.
pub(super) fn line(
    layout: &Layout, relays: &Relays, router: usize, number: usize, place: &Place, phase: &str, up_since: u64,
) -> Value {
    let mut ways = place.ways.lock().unwrap();
    let (from, to) = (format!("n{router}"), format!("s-{number}"));
    let at = *ways.entry(router).or_insert_with(|| relays.relay_address(&from, &to, place.engine.address));
    let mut member = roster_member(&to, at, phase);
    (member["up_since_ms"], member["locality"]) = (json!(up_since), json!(layout.zone(number).0));
    member
}

/// One router's discovery, which moves with a configuration. It names the engines as that router reaches them.
pub(super) struct Feed {
    pub events: DiscoveryEvents,
    pub open: Arc<AtomicBool>,
    pub standin: StandinServer,
}

/// A discovery that tells these events, in the mode that all have in common.
pub(super) fn feed(events: DiscoveryEvents, mode: Arc<Mutex<DiscoveryMode>>) -> Feed {
    let open = Arc::new(AtomicBool::new(true));
    let (told, all) = (open.clone(), events.clone());
    let standin = StandinServer::start(move |call: &Call| {
        let present = *mode.lock().unwrap();
        if !told.load(Ordering::Relaxed) || present == DiscoveryMode::Cuts {
            return Response::CloseConnection;
        }
        match present {
            DiscoveryMode::Silent => return Response::NoResponse,
            // As one that is crowded, it does not keep the call besides.
            DiscoveryMode::Late(millis) => {
                return Response::Delayed(Duration::from_millis(millis), Box::new(all.answer_at_once(call)));
            }
            DiscoveryMode::Well | DiscoveryMode::Cuts => {}
        }
        let answer = all.answer(call);
        if told.load(Ordering::Relaxed) { answer } else { Response::CloseConnection }
    });
    Feed { events, open, standin }
}

/// Who asks, and of whom.
pub(super) struct Caller {
    pub router: usize,
    pub number: usize,
    pub at: SocketAddr,
    pub pause: Duration,
}

/// A caller: one job after another, over a new connection where the old one ended; one in ten runs once. While its router has a crowd, a
/// job whose connection is found closed within the protocol's 50 ms is sent again, once, under its id.
pub(super) fn call(caller: Caller, seen: &Mutex<Seen>, over: &AtomicBool) {
    let (mut connection, mut number, mut count) = (None, 0, 0_u64);
    let mut since = Instant::now();
    let mut crossed: Option<String> = None;
    while !over.load(Ordering::Relaxed) {
        let Some(stream) = &mut connection else {
            since = Instant::now();
            connection = connect(caller.at);
            (number, count) = (0, count + 1);
            if connection.is_none() {
                thread::sleep(Duration::from_millis(10));
            }
            continue;
        };
        number += 1;
        count += 1;
        let is_again = crossed.is_some();
        let id = crossed.take().unwrap_or_else(|| job_id(caller.number, count));
        let text = format!("select 1 from sales_{}.x", count % 7);
        let class = if id.starts_with('f') { "load" } else { "look" };
        let asked = Instant::now();
        let sent = stream.write_all(&request(number, class, &id, WAIT, &text));
        let written = asked.elapsed();
        let got = sent.and_then(|()| receive_answer(stream, number));
        let (router, wait, took) = (caller.router, Duration::from_millis(WAIT.into()), asked.elapsed());
        if got.is_err() {
            connection = None;
            let is_crowded = seen.lock().unwrap().crowded.get(&router).is_some_and(|until| asked < *until);
            if is_crowded && !is_again && took <= CROSSING {
                crossed = Some(id);
                continue;
            }
        }
        let is_direct = false;
        let asked = Asked { router, id, at: asked, wait, took, written, since, got, is_direct };
        seen.lock().unwrap().answers.push(asked);
        thread::sleep(caller.pause);
    }
}

/// A connection that is up: a relay takes one in before the router does, so a ping has to be answered.
fn connect(at: SocketAddr) -> Option<TcpStream> {
    let mut stream = TcpStream::connect(at).ok()?;
    stream.set_read_timeout(Some(ANSWERED)).ok()?;
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
    let (wait, cost) = (wait.to_string(), COST.to_string());
    let mut fields = vec![("id", id), ("wait", wait.as_str()), ("cost", cost.as_str()), ("ram", "16")];
    // All loads of a router have one key; it counts where the settings say that loads keep their order.
    fields.extend((class == "load").then_some(("key", "one")));
    Client::encode_request(number, class, &fields, text)
}

/// A client that misbehaves once, over a connection of its own. `number` makes its requests' ids.
pub(super) fn misbehave(client: RudeClient, at: SocketAddr, number: u64, seen: &Mutex<Seen>) {
    let Ok(mut stream) = TcpStream::connect(at) else { return };
    let _ = stream.set_read_timeout(Some(RUDE_REST));
    let id = format!("e{number:015x}");
    let text = "select 1 from sales_1.x";
    let message = request(1, "look", &id, WAIT, text);
    let sent = match client {
        RudeClient::HalfMessage => stream.write_all(&message[..message.len() / 2]),
        RudeClient::Garbage => stream.write_all(&[0xff; 64]),
        RudeClient::TinyDeadline => stream.write_all(&request(1, "look", &id, TINY, text)),
        RudeClient::EarlyClose => stream.write_all(&message),
        RudeClient::Flood => {
            let each = |at: u32| request(at, "look", &format!("e{number:010x}{at:05x}"), WAIT, text);
            stream.write_all(&(1..200).flat_map(each).collect::<Vec<u8>>())
        }
    };
    if sent.is_err() {
        return;
    }
    match client {
        RudeClient::EarlyClose => {
            thread::sleep(Duration::from_millis(number % 40));
            let _ = stream.shutdown(Shutdown::Both);
            seen.lock().unwrap().left.insert(id, Instant::now());
        }
        RudeClient::Flood => {
            drop(stream);
            let left = (1..200).map(|at| (format!("e{number:010x}{at:05x}"), Instant::now()));
            seen.lock().unwrap().left.extend(left);
        }
        RudeClient::HalfMessage | RudeClient::Garbage => thread::sleep(RUDE_REST),
        RudeClient::TinyDeadline => _ = receive_answer(&mut stream, 1),
    }
}

/// A client that asks one request after another over a connection of its own to the router itself, until the router ends that. One that is
/// not served by `by` goes again.
pub(super) fn stay(router: usize, at: SocketAddr, number: u64, seen: &Mutex<Seen>, by: Instant) {
    let since = Instant::now();
    let mut connection = connect(at).filter(|_| Instant::now() < by);
    let mut count = 0;
    while let Some(stream) = &mut connection {
        count += 1;
        let id = format!("d{number:07x}{count:08x}");
        let asked = Instant::now();
        let sent = stream.write_all(&request(count, "look", &id, STAY_WAIT, "select 1 from sales_2.x"));
        let written = asked.elapsed();
        let got = sent.and_then(|()| receive_answer(stream, count));
        if got.is_err() {
            connection = None;
        }
        let (wait, took) = (Duration::from_millis(STAY_WAIT.into()), asked.elapsed());
        let asked = Asked { router, id, at: asked, wait, took, written, since, got, is_direct: true };
        seen.lock().unwrap().answers.push(asked);
        thread::sleep(STAY_PAUSE);
    }
}

/// A client that asks for a load that runs for a while, and leaves in the middle of it.
pub(super) fn leave_a_load(at: SocketAddr, caller: usize, seen: &Mutex<Seen>) {
    let Some(mut stream) = connect(at) else { return };
    let id = format!("f{caller:0width$x}{SLOW:010x}", width = CALLER_DIGITS);
    let text = "select 1 from sales_3.x";
    if stream.write_all(&request(1, "load", &id, WAIT, text)).is_ok() {
        thread::sleep(LEAVES_AFTER);
        let _ = stream.shutdown(Shutdown::Both);
        seen.lock().unwrap().left.insert(id, Instant::now());
    }
}

/// Connections that say nothing, held for so long.
pub(super) fn crowd(at: SocketAddr, count: usize, span: Duration) {
    let held: Vec<TcpStream> = (0..count).filter_map(|_| TcpStream::connect(at).ok()).collect();
    thread::sleep(span);
    drop(held);
}
