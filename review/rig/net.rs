//! What all cases share: time, the record, MessagePack, clients, a bulletin, sql engines and a relay.

use std::collections::{BTreeMap, HashMap};
use std::fs::File;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{self, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// The record of a run. All times are seconds since the start of the stand-ins.
#[derive(Clone)]
pub struct Record(Arc<(Instant, Mutex<File>)>);

impl Record {
    pub fn create(path: &str) -> Self {
        Self(Arc::new((Instant::now(), Mutex::new(File::create(path).expect("record")))))
    }

    pub fn now(&self) -> f64 {
        self.0.0.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let _ = writeln!(self.0.1.lock().unwrap(), "{:9.4} {text}", self.now());
    }

    /// Writes to the record and to standard output.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}

/// A small generator of numbers (xorshift), for ids and choices.
pub struct Chance(u64);

impl Chance {
    pub fn new(seed: u64) -> Self {
        let time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_nanos() as u64;
        Self(time ^ seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    pub fn within(&mut self, from: u64, to: u64) -> u64 {
        from + self.next() % (to - from)
    }

    pub fn id(&mut self) -> String {
        format!("{:016x}", self.next())
    }
}

/// A MessagePack value, as far as the protocol needs it.
#[derive(Clone, Debug)]
pub enum Value {
    Nil,
    Bool(bool),
    Int(u64),
    Str(String),
    Bin(Vec<u8>),
    Array(Vec<Value>),
    Map(Vec<(Value, Value)>),
}

impl Value {
    fn write(&self, out: &mut Vec<u8>) {
        match self {
            Value::Nil => out.push(0xc0),
            Value::Bool(yes) => out.push(if *yes { 0xc3 } else { 0xc2 }),
            Value::Int(n) if *n < 128 => out.push(*n as u8),
            Value::Int(n) => {
                out.push(0xce);
                out.extend((*n as u32).to_be_bytes());
            }
            Value::Str(text) => {
                out.push(0xda);
                out.extend((text.len() as u16).to_be_bytes());
                out.extend(text.as_bytes());
            }
            Value::Bin(bytes) => {
                out.push(0xc5);
                out.extend((bytes.len() as u16).to_be_bytes());
                out.extend(bytes);
            }
            Value::Array(items) => {
                out.push(0x90 | items.len() as u8);
                items.iter().for_each(|item| item.write(out));
            }
            Value::Map(items) => {
                out.push(0x80 | items.len() as u8);
                for (name, value) in items {
                    name.write(out);
                    value.write(out);
                }
            }
        }
    }

    /// Reads one value; `None` while it is not complete.
    fn read(bytes: &[u8], at: &mut usize) -> Option<Value> {
        let number = |at: &mut usize, width: usize| -> Option<u64> {
            let part = bytes.get(*at..*at + width)?;
            *at += width;
            Some(part.iter().fold(0, |sum, byte| sum << 8 | u64::from(*byte)))
        };
        let first = *bytes.get(*at)?;
        *at += 1;
        let take = |at: &mut usize, length: usize| -> Option<Vec<u8>> {
            let part = bytes.get(*at..*at + length)?.to_vec();
            *at += length;
            Some(part)
        };
        let text = |bytes: Vec<u8>| Value::Str(String::from_utf8_lossy(&bytes).into_owned());
        Some(match first {
            0..=0x7f => Value::Int(first.into()),
            0x80..=0x8f => Self::read_map(bytes, at, (first & 15).into())?,
            0x90..=0x9f => Self::read_array(bytes, at, (first & 15).into())?,
            0xa0..=0xbf => text(take(at, (first & 31).into())?),
            0xc0 => Value::Nil,
            0xc2 => Value::Bool(false),
            0xc3 => Value::Bool(true),
            0xc4..=0xc6 => {
                let length = number(at, 1 << (first - 0xc4))?;
                Value::Bin(take(at, length as usize)?)
            }
            0xcc..=0xcf => Value::Int(number(at, 1 << (first - 0xcc))?),
            0xd9..=0xdb => {
                let length = number(at, 1 << (first - 0xd9))?;
                text(take(at, length as usize)?)
            }
            0xdc => {
                let count = number(at, 2)?;
                Self::read_array(bytes, at, count)?
            }
            0xde => {
                let count = number(at, 2)?;
                Self::read_map(bytes, at, count)?
            }
            other => panic!("a router sent an unexpected marker {other:#x}"),
        })
    }

    fn read_array(bytes: &[u8], at: &mut usize, count: u64) -> Option<Value> {
        (0..count).map(|_| Self::read(bytes, at)).collect::<Option<Vec<_>>>().map(Value::Array)
    }

    fn read_map(bytes: &[u8], at: &mut usize, count: u64) -> Option<Value> {
        let entry = |at: &mut usize| Some((Self::read(bytes, at)?, Self::read(bytes, at)?));
        (0..count).map(|_| entry(at)).collect::<Option<Vec<_>>>().map(Value::Map)
    }
}

/// The bytes of a request.
pub fn request(number: u32, class: &str, fields: &[(&str, String)], statement: &str) -> Vec<u8> {
    let text = |text: &str| Value::Str(text.to_owned());
    let fields = fields.iter().map(|(name, value)| (text(name), text(value))).collect();
    let parameters = Value::Array(vec![Value::Map(fields), Value::Bin(statement.as_bytes().to_vec())]);
    let mut out = Vec::new();
    Value::Array(vec![Value::Int(0), Value::Int(number.into()), text(class), parameters]).write(&mut out);
    out
}

fn ping(number: u32) -> Vec<u8> {
    let mut out = Vec::new();
    let parameters = Value::Array(vec![Value::Map(vec![])]);
    Value::Array(vec![Value::Int(0), Value::Int(number.into()), Value::Str("ping".into()), parameters])
        .write(&mut out);
    out
}

#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Served(String),
    Overloaded,
    Failed(String),
    Pong(bool),
    /// The connection ended without an answer.
    Closed,
}

/// A client's connection. Answers arrive on one channel, with the number of their request.
pub struct Client {
    pub stream: TcpStream,
    pub answers: Receiver<(u32, Answer)>,
    next: u32,
}

impl Client {
    pub fn connect(to: SocketAddr) -> std::io::Result<Self> {
        let stream = TcpStream::connect(to)?;
        stream.set_nodelay(true)?;
        let (sender, answers) = mpsc::channel();
        let reading = stream.try_clone()?;
        thread::spawn(move || read_answers(reading, &sender));
        Ok(Self { stream, answers, next: 0 })
    }

    pub fn number(&mut self) -> u32 {
        self.next += 1;
        self.next
    }

    /// Sends a request and returns its number.
    pub fn send(&mut self, class: &str, fields: &[(&str, String)], statement: &str) -> u32 {
        let number = self.number();
        let _ = self.stream.write_all(&request(number, class, fields, statement));
        number
    }

    /// The answer to one request; for clients that wait for each answer before they ask again.
    pub fn answer(&self, wait: Duration) -> (u32, Answer) {
        self.answers.recv_timeout(wait).unwrap_or((0, Answer::Closed))
    }
}

fn read_answers(mut stream: TcpStream, answers: &Sender<(u32, Answer)>) {
    let (mut buffer, mut chunk) = (Vec::new(), vec![0; 64 * 1024]);
    loop {
        let mut used = 0;
        loop {
            let mut at = used;
            let Some(message) = Value::read(&buffer, &mut at) else { break };
            used = at;
            if let Some(answer) = parse_answer(message) {
                let _ = answers.send(answer);
            }
        }
        buffer.drain(..used);
        match stream.read(&mut chunk) {
            Ok(count @ 1..) => buffer.extend(&chunk[..count]),
            _ => break,
        }
    }
    let _ = answers.send((0, Answer::Closed));
}

fn parse_answer(message: Value) -> Option<(u32, Answer)> {
    let Value::Array(parts) = message else { return None };
    let [Value::Int(1), Value::Int(number), error, result] = parts.as_slice() else { return None };
    let answer = match (error, result) {
        (Value::Nil, Value::Array(result)) => match result.first()? {
            Value::Bool(serving) => Answer::Pong(*serving),
            Value::Bin(rows) => Answer::Served(String::from_utf8_lossy(rows).into_owned()),
            _ => return None,
        },
        (Value::Array(error), _) => match error.first()? {
            Value::Str(name) if name == "Overloaded" => Answer::Overloaded,
            Value::Str(name) => Answer::Failed(name.clone()),
            _ => return None,
        },
        _ => return None,
    };
    Some((*number as u32, answer))
}

/// Waits until a router answers `ping` with true.
pub fn wait_until_ready(router: SocketAddr) -> bool {
    let until = Instant::now() + Duration::from_secs(20);
    while Instant::now() < until {
        if let Ok(mut client) = Client::connect(router) {
            let _ = client.stream.write_all(&ping(1));
            if client.answer(Duration::from_secs(1)) == (1, Answer::Pong(true)) {
                return true;
            }
        }
        sleep_ms(50);
    }
    false
}

pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr()).expect("a free port")
}

/// One HTTP call that a stand-in received whole.
pub struct Call {
    pub method: String,
    pub path: String,
    pub fields: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Call {
    pub fn field(&self, name: &str) -> &str {
        self.fields.get(&name.to_ascii_lowercase()).map_or("", String::as_str)
    }
}

/// Serves HTTP/1.1, one call at a time on each connection.
pub fn serve_http(handler: Arc<dyn Fn(&Call) -> Vec<u8> + Send + Sync>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || serve_connection(stream, &*handler));
        }
    });
    address
}

fn serve_connection(mut stream: TcpStream, handler: &dyn Fn(&Call) -> Vec<u8>) {
    let _ = stream.set_nodelay(true);
    let (mut buffer, mut chunk) = (Vec::new(), vec![0; 16 * 1024]);
    loop {
        let head_end = loop {
            if let Some(at) = buffer.windows(4).position(|part| part == b"\r\n\r\n") {
                break at + 4;
            }
            match stream.read(&mut chunk) {
                Ok(count @ 1..) => buffer.extend(&chunk[..count]),
                _ => return,
            }
        };
        let head = String::from_utf8_lossy(&buffer[..head_end]).into_owned();
        let mut lines = head.split("\r\n");
        let mut first = lines.next().unwrap_or("").split(' ');
        let (method, path) = (first.next().unwrap_or("").to_owned(), first.next().unwrap_or("").to_owned());
        let fields: HashMap<String, String> = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
            .collect();
        let length = fields.get("content-length").and_then(|value| value.parse().ok()).unwrap_or(0);
        while buffer.len() < head_end + length {
            match stream.read(&mut chunk) {
                Ok(count @ 1..) => buffer.extend(&chunk[..count]),
                _ => return,
            }
        }
        let body = buffer[head_end..head_end + length].to_vec();
        buffer.drain(..head_end + length);
        let answer = handler(&Call { method, path, fields, body });
        if stream.write_all(&answer).is_err() {
            return;
        }
    }
}

pub fn http_answer(status: u16, fields: &[(&str, String)], body: &str) -> Vec<u8> {
    let mut head = format!("HTTP/1.1 {status} x\r\n");
    for (name, value) in fields {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    if status != 204 {
        head.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    (head + "\r\n" + body).into_bytes()
}

/// A bulletin. Event 1 is in the configuration; further ones can be told while it runs.
#[derive(Clone, Default)]
pub struct Bulletin(Arc<Mutex<Vec<String>>>);

impl Bulletin {
    pub fn serve(&self) -> SocketAddr {
        let events = self.0.clone();
        serve_http(Arc::new(move |call| {
            let number = |name: &str| -> usize {
                let rest = call.path.split(name).nth(1).unwrap_or("");
                rest.split('&').next().and_then(|digits| digits.parse().ok()).unwrap_or(0)
            };
            let (after, patience) = (number("after="), number("patience=").min(5_000));
            let until = Instant::now() + Duration::from_millis(patience as u64);
            loop {
                let told = events.lock().unwrap().clone();
                if told.len() + 1 > after || Instant::now() >= until {
                    let items = told.get(after.max(1) - 1..).unwrap_or(&[]).join(",");
                    let body = format!(r#"{{"no":{},"items":[{items}]}}"#, told.len() + 1);
                    return http_answer(200, &[("Content-Type", "application/json".into())], &body);
                }
                sleep_ms(5);
            }
        }))
    }

    /// Tells a change of the list: the lines of the members that have changed.
    pub fn tell(&self, members: &str) {
        let mut events = self.0.lock().unwrap();
        let number = events.len() + 2;
        events.push(format!(
            r#"{{"no":{number},"roster":{{"revision":{number},"complete":false,"members":[{members}]}}}}"#
        ));
    }
}

/// One attempt: a query from when its POST came whole until it was over.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub engine: usize,
    pub id: String,
    pub class: String,
    pub key: String,
    pub came: f64,
    /// When it was over and how; `None` while it is out.
    pub over: Option<(f64, &'static str)>,
}

#[derive(Clone, Copy, PartialEq)]
enum State {
    Running,
    Done,
    /// Given up, or expired because nobody asked for it: the engine no longer knows it.
    Unknown,
}

struct Query {
    attempt: usize,
    state: State,
    ends: f64,
    work_ms: f64,
    asked: f64,
    noted: f64,
}

/// An engine ends a query that has not been asked for during this time.
const ASKED_WITHIN: f64 = 2.0;

/// The sql engines of a case and all attempts at them.
pub struct Engines {
    pub record: Record,
    pub attempts: Mutex<Vec<Attempt>>,
    queries: Mutex<BTreeMap<(usize, String), Query>>,
    /// Seconds between notes of progress; 0: none.
    note_period: f64,
    /// The load report, which answers and probes carry if it is not empty.
    report: &'static str,
    tells_cost: bool,
}

impl Engines {
    pub fn new(record: Record, note_period: f64, report: &'static str, tells_cost: bool) -> Arc<Self> {
        let (attempts, queries) = (Mutex::default(), Mutex::default());
        Arc::new(Self { record, attempts, queries, note_period, report, tells_cost })
    }

    /// Starts one engine and returns its address.
    pub fn start(self: &Arc<Self>, engine: usize) -> SocketAddr {
        let all = self.clone();
        serve_http(Arc::new(move |call| all.answer(engine, call)))
    }

    fn answer(&self, engine: usize, call: &Call) -> Vec<u8> {
        let parts: Vec<&str> = call.path.split('/').collect();
        match (call.method.as_str(), parts.as_slice()) {
            ("POST", ["", "v2", "q"]) => self.begin(engine, call),
            ("GET", ["", "v2", "q", id, "0"]) => self.news(engine, id, true),
            ("PUT", ["", "v2", "q", _]) => http_answer(204, &[], ""),
            ("DELETE", ["", "v2", "q", id]) => {
                self.record.line(&format!("engine {engine}: DELETE {id}"));
                self.end(engine, id, State::Unknown, "given up");
                http_answer(204, &[], "")
            }
            ("GET", ["", "-", "ok"]) | ("GET", ["", "load"]) => http_answer(200, &self.report_field(), ""),
            _ => http_answer(500, &[], ""),
        }
    }

    fn report_field(&self) -> Vec<(&'static str, String)> {
        if self.report.is_empty() { vec![] } else { vec![("X-Stats", self.report.to_owned())] }
    }

    fn begin(&self, engine: usize, call: &Call) -> Vec<u8> {
        let (id, now) = (call.field("X-Trace").to_owned(), self.record.now());
        let statement = String::from_utf8_lossy(&call.body).into_owned();
        let figure = |name: &str| -> Option<f64> {
            statement.split(name).nth(1).and_then(|rest| rest.split(' ').next()?.parse().ok())
        };
        let run_ms = figure("run ").unwrap_or(100.0);
        let work_ms = figure("work ").unwrap_or(run_ms);
        let key = call.field("X-Asset").to_owned();
        let class = call.field("X-Profile").to_owned();
        self.record.line(&format!("engine {engine}: POST {id} {class} key '{key}' runs {run_ms} ms"));
        let mut attempts = self.attempts.lock().unwrap();
        attempts.push(Attempt { engine, id: id.clone(), class, key, came: now, over: None });
        let attempt = attempts.len() - 1;
        drop(attempts);
        // An engine that is sent a query again that it is running begins it anew.
        self.end(engine, &id, State::Unknown, "begun anew");
        let query = Query {
            attempt,
            state: State::Running,
            ends: now + run_ms / 1e3,
            work_ms,
            asked: now,
            noted: now,
        };
        self.queries.lock().unwrap().insert((engine, id.clone()), query);
        self.news(engine, &id, false)
    }

    /// The news of a query: its end, a note, or 202 with nothing after 250 ms.
    fn news(&self, engine: usize, id: &str, is_poll: bool) -> Vec<u8> {
        let came = self.record.now();
        let place = (engine, id.to_owned());
        loop {
            self.expire();
            let now = self.record.now();
            let mut queries = self.queries.lock().unwrap();
            let Some(query) = queries.get_mut(&place).filter(|query| query.state != State::Unknown) else {
                if is_poll {
                    self.record.line(&format!("engine {engine}: asked for unknown {id}"));
                }
                return http_answer(500, &[], "");
            };
            query.asked = now;
            let mut fields = self.report_field();
            if query.state == State::Done || now >= query.ends {
                let work_ms = query.work_ms;
                drop(queries);
                self.end(engine, id, State::Done, "done");
                fields.push(("X-Batches", "1".into()));
                if self.tells_cost {
                    fields.extend([("X-Spent", work_ms.to_string()), ("X-Wanted", "64".into())]);
                }
                return http_answer(200, &fields, &format!("{id}\t{engine}\tok\n"));
            }
            if self.note_period > 0.0 && now - query.noted >= self.note_period {
                query.noted = now;
                let begun = self.attempts.lock().unwrap()[query.attempt].came;
                let share = (now - begun) / (query.ends - begun);
                fields.extend([("X-Result", "pct".into()), ("X-Num", format!("{share:.3}"))]);
                return http_answer(202, &fields, "");
            }
            drop(queries);
            if now - came >= 0.25 {
                return http_answer(202, &fields, "");
            }
            sleep_ms(4);
        }
    }

    fn end(&self, engine: usize, id: &str, state: State, how: &'static str) {
        self.end_at(self.record.now(), engine, id, state, how);
    }

    fn end_at(&self, at: f64, engine: usize, id: &str, state: State, how: &'static str) {
        let mut queries = self.queries.lock().unwrap();
        let Some(query) = queries.get_mut(&(engine, id.to_owned())) else { return };
        if query.state != State::Running {
            return;
        }
        query.state = state;
        self.attempts.lock().unwrap()[query.attempt].over = Some((at, how));
        drop(queries);
        self.record.line(&format!("engine {engine}: {id} over: {how}"));
    }

    /// Ends the queries that nobody has asked for.
    pub fn expire(&self) {
        let now = self.record.now();
        let queries = self.queries.lock().unwrap();
        let is_expired = |query: &Query| query.state == State::Running && now - query.asked > ASKED_WITHIN;
        let expired: Vec<_> = queries
            .iter()
            .filter(|(_, query)| is_expired(query))
            .map(|(place, query)| (place.clone(), query.asked + ASKED_WITHIN))
            .collect();
        drop(queries);
        for ((engine, id), at) in expired {
            self.end_at(at, engine, &id, State::Unknown, "expired");
        }
    }
}

/// The network to one engine, which can be cut. During a cut new connections never come up, and open ones
/// stay open and silent. What was written to those arrives when the cut ends, as TCP sends it again.
pub struct Relay {
    pub address: SocketAddr,
    listener: Arc<TcpListener>,
    is_cut: Arc<AtomicBool>,
    /// Connections that fill the queue of the listener during a cut, so that no other one comes up.
    fillers: Mutex<Vec<TcpStream>>,
}

/// Length of the listener's queue outside of a cut.
const USUAL_QUEUE: i32 = 128;

unsafe extern "C" {
    fn listen(socket: i32, queue: i32) -> i32;
}

impl Relay {
    pub fn start(to: SocketAddr) -> Self {
        let listener = Arc::new(TcpListener::bind("127.0.0.1:0").expect("a free port"));
        listener.set_nonblocking(true).expect("a listener that does not block");
        let (address, is_cut) = (listener.local_addr().unwrap(), Arc::new(AtomicBool::new(false)));
        let (cut, accepting) = (is_cut.clone(), listener.clone());
        thread::spawn(move || {
            loop {
                match accepting.accept() {
                    Ok((from, _)) if !cut.load(Ordering::SeqCst) => {
                        let cut = cut.clone();
                        thread::spawn(move || connect_through(from, to, &cut));
                    }
                    _ => sleep_ms(2),
                }
                wait_for_end(&cut);
            }
        });
        Self { address, listener, is_cut, fillers: Mutex::default() }
    }

    /// Begins a cut; the call returns once no connection comes up any more.
    pub fn cut(&self) {
        self.is_cut.store(true, Ordering::SeqCst);
        sleep_ms(10);
        unsafe { listen(self.listener.as_raw_fd(), 0) };
        let mut fillers = self.fillers.lock().unwrap();
        while let Ok(filler) = TcpStream::connect_timeout(&self.address, Duration::from_millis(30)) {
            fillers.push(filler);
        }
    }

    /// Ends the cut.
    pub fn heal(&self) {
        self.fillers.lock().unwrap().clear();
        unsafe { listen(self.listener.as_raw_fd(), USUAL_QUEUE) };
        self.is_cut.store(false, Ordering::SeqCst);
    }
}

fn wait_for_end(cut: &AtomicBool) {
    while cut.load(Ordering::SeqCst) {
        sleep_ms(2);
    }
}

fn connect_through(from: TcpStream, to: SocketAddr, cut: &Arc<AtomicBool>) {
    let _ = from.set_nonblocking(false);
    let Ok(to) = TcpStream::connect(to) else { return };
    let _ = (from.set_nodelay(true), to.set_nodelay(true));
    let (back_from, back_to) = (to.try_clone().unwrap(), from.try_clone().unwrap());
    let back_cut = cut.clone();
    thread::spawn(move || copy(back_from, back_to, &back_cut));
    copy(from, to, cut);
}

/// Copies one direction and holds back what comes during a cut. A side that resets its connection during a
/// cut has discarded what it had written, so that is not passed on.
fn copy(mut from: TcpStream, mut to: TcpStream, cut: &AtomicBool) {
    let mut chunk = vec![0; 16 * 1024];
    loop {
        let count = from.read(&mut chunk);
        let was_cut = cut.load(Ordering::SeqCst);
        wait_for_end(cut);
        if count.is_err() || (was_cut && from.take_error().ok().flatten().is_some()) {
            let _ = to.shutdown(Shutdown::Both);
            return;
        }
        match count {
            Ok(count @ 1..) if to.write_all(&chunk[..count]).is_ok() => {}
            _ => {
                let _ = to.shutdown(Shutdown::Write);
                return;
            }
        }
    }
}
