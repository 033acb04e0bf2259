//! A stand-in for a sql engine, by the page on the protocol: a query runs until it ends, is deleted, or has
//! not been asked for in 2 s. How long it runs stands in a comment of its statement (`/* 800 ms */`).

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::record::Record;

const NEWS_WAIT: Duration = Duration::from_millis(250);
const EXPIRY: Duration = Duration::from_secs(2);
/// How often a note tells how far a query is, as the settings say.
const NOTE_PERIOD: Duration = Duration::from_secs(1);
const CORES: f64 = 8.0;
const STEP: Duration = Duration::from_millis(5);

struct Query {
    started: Instant,
    ends_at: Instant,
    last_asked: Instant,
    last_note: Instant,
    is_over: bool,
    /// Whether it ended well.
    is_done: bool,
    threads: u64,
    page: String,
}

/// How often answers are spoilt, in parts of a thousand.
#[derive(Clone, Copy, Default)]
pub struct Faults {
    /// Answers 202 that come twice, the second copy 5 ms after the first.
    pub twice: u64,
    /// Good answers (200) that come 300 ms late. "No further use can be made of a connection that stays open":
    /// the connection stays open behind one, and nothing more is served on it.
    pub late: u64,
}

const SECOND_COPY_AFTER: Duration = Duration::from_millis(5);
const LATE_BY: Duration = Duration::from_millis(300);

#[derive(Default)]
struct State {
    queries: HashMap<String, Query>,
    /// The id of each attempt, and when it came whole.
    attempts: Vec<(String, Instant)>,
}

#[derive(Clone)]
pub struct Engine {
    pub name: String,
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    faults: Faults,
    record: Record,
}

struct Call {
    method: String,
    path: String,
    fields: HashMap<String, String>,
    body: Vec<u8>,
}

/// The result of a statement: the same for the same id and text.
pub fn result_of(id: &str, statement: &str) -> String {
    format!("{id}\t{}\tend\n", statement.len())
}

static DRAWS: AtomicU64 = AtomicU64::new(1);

/// True in so many of a thousand draws, from a fixed sequence.
fn draw(of_thousand: u64) -> bool {
    let mut mixed = DRAWS.fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::Relaxed);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    (mixed ^ (mixed >> 31)) % 1000 < of_thousand
}

/// The threads of a query, as the settings say.
fn threads(class: &str) -> u64 {
    match class {
        "report" => 4,
        "load" => 2,
        _ => 1,
    }
}

fn run_time(statement: &str) -> Duration {
    let ms = statement.split("/* ").nth(1).and_then(|rest| rest.split(' ').next()?.parse().ok());
    Duration::from_millis(ms.unwrap_or(20))
}

impl Engine {
    pub fn start(name: &str, record: &Record) -> Self {
        Self::with_faults(name, Faults::default(), record)
    }

    pub fn with_faults(name: &str, faults: Faults, record: &Record) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let engine =
            Self { name: name.to_owned(), address, state: Arc::default(), faults, record: record.clone() };
        let accepting = engine.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let engine = accepting.clone();
                thread::spawn(move || engine.serve(stream));
            }
        });
        let sweeping = engine.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(STEP);
                sweeping.sweep();
            }
        });
        engine
    }

    /// All attempts so far, each with the time at which it came whole.
    pub fn attempts(&self) -> Vec<(String, Instant)> {
        self.state.lock().unwrap().attempts.clone()
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream);
        while let Some(call) = read_call(&mut reader) {
            let answer = self.answer(&call);
            let is_query_call = call.path.starts_with("/v2/q");
            if is_query_call && answer.starts_with("HTTP/1.1 200") && draw(self.faults.late) {
                self.record
                    .line(&format!("engine {}: answers {} {} late", self.name, call.method, call.path));
                thread::sleep(LATE_BY);
                let _ = reader.get_mut().write_all(answer.as_bytes());
                let _ = reader.read_to_end(&mut Vec::new());
                return;
            }
            if reader.get_mut().write_all(answer.as_bytes()).is_err() {
                return;
            }
            if is_query_call && answer.starts_with("HTTP/1.1 202") && draw(self.faults.twice) {
                self.record
                    .line(&format!("engine {}: answers {} {} twice", self.name, call.method, call.path));
                thread::sleep(SECOND_COPY_AFTER);
                if reader.get_mut().write_all(answer.as_bytes()).is_err() {
                    return;
                }
            }
        }
    }

    fn answer(&self, call: &Call) -> String {
        let parts: Vec<&str> = call.path.trim_start_matches('/').split('/').collect();
        match (call.method.as_str(), parts.as_slice()) {
            ("GET", ["-", "ok"]) => head(200, "", ""),
            ("GET", ["load"]) => head(200, &format!("X-Stats: waiting:0;cpu:{:.2}\r\n", self.load()), ""),
            ("POST", ["v2", "q"]) => {
                let id = call.fields.get("x-trace").cloned().unwrap_or_default();
                let class = call.fields.get("x-profile").map_or("", String::as_str);
                self.begin(&id, class, &String::from_utf8_lossy(&call.body));
                self.news(&id)
            }
            ("GET", ["v2", "q", id, "0"]) => self.news(id),
            ("PUT", ["v2", "q", _]) => head(204, "", ""),
            ("DELETE", ["v2", "q", id]) => {
                self.end(id, false, "given up");
                head(204, "", "")
            }
            _ => head(500, "", ""),
        }
    }

    fn begin(&self, id: &str, class: &str, statement: &str) {
        let now = Instant::now();
        let mut state = self.state.lock().unwrap();
        if state.queries.get(id).is_some_and(|query| !query.is_over) {
            return;
        }
        let query = Query {
            started: now,
            ends_at: now + run_time(statement),
            last_asked: now,
            last_note: now,
            is_over: false,
            is_done: false,
            threads: threads(class),
            page: result_of(id, statement),
        };
        state.queries.insert(id.to_owned(), query);
        state.attempts.push((id.to_owned(), now));
        drop(state);
        self.record.line(&format!("engine {}: {id} begins", self.name));
    }

    /// How busy the cores are.
    fn load(&self) -> f64 {
        let state = self.state.lock().unwrap();
        let running = state.queries.values().filter(|query| !query.is_over);
        (running.map(|query| query.threads).sum::<u64>() as f64 / CORES).min(1.0)
    }

    fn end(&self, id: &str, is_done: bool, how: &str) {
        let mut state = self.state.lock().unwrap();
        let Some(query) = state.queries.get_mut(id).filter(|query| !query.is_over) else { return };
        (query.is_over, query.is_done) = (true, is_done);
        drop(state);
        self.record.line(&format!("engine {}: {id} {how}", self.name));
    }

    fn sweep(&self) {
        let now = Instant::now();
        let over = |(id, query): (&String, &Query)| match () {
            _ if query.is_over => None,
            _ if now >= query.ends_at => Some((id.clone(), true, "ends")),
            _ if now >= query.last_asked + EXPIRY => Some((id.clone(), false, "ends, not asked for in 2 s")),
            _ => None,
        };
        let ended: Vec<_> = self.state.lock().unwrap().queries.iter().filter_map(over).collect();
        for (id, is_done, how) in ended {
            self.end(&id, is_done, how);
        }
    }

    /// The news of a query: its end, or after 250 ms that it runs.
    fn news(&self, id: &str) -> String {
        let until = Instant::now() + NEWS_WAIT;
        loop {
            let now = Instant::now();
            let mut state = self.state.lock().unwrap();
            let Some(query) = state.queries.get_mut(id) else { return head(500, "", "") };
            query.last_asked = now;
            match (query.is_over, query.is_done) {
                (true, true) => {
                    let work = (query.ends_at - query.started).as_millis() as u64 * query.threads;
                    let fields = format!("X-Batches: 1\r\nX-Spent: {work}.0\r\nX-Wanted: 64\r\n");
                    return head(200, &fields, &query.page);
                }
                (true, false) => return head(500, "", ""),
                _ if now >= query.last_note + NOTE_PERIOD => {
                    query.last_note = now;
                    let started = query.started;
                    let share = (now - started).as_secs_f64() / (query.ends_at - started).as_secs_f64();
                    return head(202, &format!("X-Result: pct\r\nX-Num: {share:.3}\r\n"), "");
                }
                _ if now >= until => return head(202, "", ""),
                _ => {}
            }
            drop(state);
            thread::sleep(STEP);
        }
    }
}

fn head(status: u16, fields: &str, body: &str) -> String {
    let length = if status == 204 { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
    format!("HTTP/1.1 {status} x\r\n{fields}{length}\r\n{body}")
}

fn read_call(reader: &mut BufReader<TcpStream>) -> Option<Call> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut words = first.split_whitespace().map(str::to_owned);
    let (method, path) = (words.next()?, words.next()?);
    let mut fields = HashMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        fields.insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
    let length = fields.get("content-length").and_then(|value| value.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(Call { method, path, fields, body })
}

/// A bulletin without news: it keeps each call for the time that it asks for.
pub fn start_bulletin(last: u64) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let mut reader = BufReader::new(stream);
                while let Some(call) = read_call(&mut reader) {
                    let patience = call.path.split("patience=").nth(1).and_then(|ms| ms.parse().ok());
                    thread::sleep(Duration::from_millis(patience.unwrap_or(0)));
                    let body = format!("{{\"no\":{last},\"items\":[]}}");
                    if reader.get_mut().write_all(head(200, "", &body).as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}
