//! Tiny stand-ins for what a router meets, on loopback: engines, a bulletin, clients.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{self, Receiver};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use rmp::{Marker, decode};
use serde_json::{Value, json};
use woadhook_router::stop::Order;
use woadhook_router::tasks::Tasks;
use woadhook_router::{config, serve};

/// What is awaited comes long before this, or never.
const LONG: Duration = Duration::from_secs(20);

/// A call that a stand-in took in.
#[derive(Clone, Debug)]
pub struct Call {
    pub line: String,
    pub fields: Vec<String>,
    pub body: Vec<u8>,
    /// Counts the connections from 0.
    pub connection: usize,
}

pub enum Says {
    Answer(u16, Vec<String>, Vec<u8>),
    /// Answers and closes the connection, without a word on it.
    Last(u16, Vec<String>, Vec<u8>),
    /// Such bytes and no more, with which the connection ends.
    Raw(&'static str),
    /// Such bytes, behind which the connection stays open.
    Noise(String),
    Cut,
    Nothing,
}

pub fn says(status: u16, fields: &[&str], body: &str) -> Says {
    Says::Answer(status, fields.iter().map(|field| field.to_string()).collect(), body.into())
}

/// Serves a result of such pages to every query.
pub fn pages(call: &Call, pages: &[&str]) -> Says {
    let page =
        call.line.split(' ').nth(1).and_then(|path| path.rsplit('/').next()?.parse().ok()).unwrap_or(0);
    if call.line.starts_with("DELETE") {
        return says(204, &[], "");
    }
    says(200, &[&format!("X-Batches: {}", pages.len()), &format!("X-Batch: {page}")], pages[page])
}

/// A server over HTTP that answers as it is told and passes on each call.
pub struct Standin {
    pub address: SocketAddr,
    calls: Receiver<Call>,
}

impl Standin {
    pub fn start(answer: impl FnMut(&Call) -> Says + Send + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (answer, (passed, calls)) = (Arc::new(Mutex::new(answer)), mpsc::channel());
        thread::spawn(move || {
            for (connection, stream) in listener.incoming().enumerate() {
                let (answer, passed) = (answer.clone(), passed.clone());
                thread::spawn(move || {
                    let mut stream = BufReader::new(stream.unwrap());
                    while let Some(call) = take_call(&mut stream, connection) {
                        let _ = passed.send(call.clone());
                        let says = answer.lock().unwrap()(&call);
                        if !reply(stream.get_mut(), says) {
                            break;
                        }
                    }
                    let _ = stream.get_ref().shutdown(Shutdown::Both);
                });
            }
        });
        Self { address, calls }
    }

    /// The next call whose first line starts so; what comes before it is passed over.
    pub fn awaits(&self, start: &str) -> Call {
        self.until(start).pop().expect("until such a call")
    }

    /// All calls up to the first that starts so.
    pub fn until(&self, start: &str) -> Vec<Call> {
        let (mut calls, end) = (Vec::new(), Instant::now() + LONG);
        while calls.last().is_none_or(|call: &Call| !call.line.starts_with(start)) {
            let left = end.saturating_duration_since(Instant::now());
            calls.push(self.calls.recv_timeout(left).unwrap_or_else(|_| panic!("no call {start}")));
        }
        calls
    }

    /// The calls so far that start so.
    pub fn had(&self, start: &str) -> Vec<Call> {
        self.calls.try_iter().filter(|call| call.line.starts_with(start)).collect()
    }
}

fn take_call(stream: &mut BufReader<TcpStream>, connection: usize) -> Option<Call> {
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line).ok()? == 0 {
            return None;
        }
        if line == "\r\n" {
            break;
        }
        lines.push(line.trim_end().to_owned());
    }
    let length = lines.iter().find_map(|line| line.strip_prefix("Content-Length: ")?.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    stream.read_exact(&mut body).ok()?;
    Some(Call { line: lines.remove(0), fields: lines, body, connection })
}

/// Whether the connection goes on.
fn reply(stream: &mut TcpStream, says: Says) -> bool {
    let (status, fields, body, goes_on) = match says {
        Says::Answer(status, fields, body) => (status, fields, body, true),
        Says::Last(status, fields, body) => (status, fields, body, false),
        Says::Raw(words) => {
            let _ = stream.write_all(words.as_bytes());
            return false;
        }
        Says::Noise(words) => return stream.write_all(words.as_bytes()).is_ok(),
        Says::Cut => return false,
        Says::Nothing => return true,
    };
    let fields: String = fields.iter().map(|field| format!("{field}\r\n")).collect();
    let head = format!("HTTP/1.1 {status} x\r\n{fields}Content-Length: {}\r\n\r\n", body.len());
    stream.write_all(&[head.as_bytes(), &body].concat()).is_ok() && goes_on
}

/// The events of a bulletin, which tests add to.
#[derive(Clone, Default)]
pub struct Events(Arc<(Mutex<Vec<Value>>, Condvar)>);

impl Events {
    /// A bulletin that tells them.
    pub fn serve(&self) -> Standin {
        let events = self.clone();
        Standin::start(move |call| events.answer(call))
    }

    pub fn add(&self, number: u64, members: Vec<Value>) {
        let roster = json!({"revision": number, "complete": number == 1, "members": members});
        self.0.0.lock().unwrap().push(json!({"no": number, "roster": roster}));
        self.0.1.notify_all();
    }

    /// All after a number; waits for the first of them as long as the call says.
    pub fn answer(&self, call: &Call) -> Says {
        let asked = |name: &str| {
            let (_, rest) = call.line.split_once(&format!("{name}=")).unwrap();
            rest.split(['&', ' ']).next().unwrap().parse::<u64>().unwrap()
        };
        let (after, patience) = (asked("after"), Duration::from_millis(asked("patience")));
        let none = |events: &mut Vec<Value>| events.iter().all(|event| event["no"].as_u64() <= Some(after));
        let events = self.0.1.wait_timeout_while(self.0.0.lock().unwrap(), patience, none).unwrap().0;
        let later = events.iter().filter(|event| event["no"].as_u64() > Some(after));
        let last = events.iter().filter_map(|event| event["no"].as_u64()).max();
        says(200, &[], &json!({"no": last, "items": later.collect::<Vec<_>>()}).to_string())
    }
}

pub fn member(id: &str, at: SocketAddr, phase: &str) -> Value {
    json!({"id": id, "host_port": at.to_string(), "locality": "a", "flavor": "k", "cell": 0, "phase": phase,
        "size": 1, "up_since_ms": 0})
}

/// What a router is told; `look` may run again, `load` must not run twice.
pub fn told(engines: &[SocketAddr], bulletin: SocketAddr, descriptors: usize) -> String {
    let class = |name: &str, effect: &str| {
        json!({"name": name, "goalTimeUs": 2_000_000, "deadlineUs": 60_000_000, "gain": 1.0, "lateWorth": 1.0,
            "effect": effect})
    };
    let members =
        engines.iter().enumerate().map(|(number, at)| member(&format!("s-{number}"), *at, "SERVING"));
    let roster = json!({"revision": 1, "complete": true, "members": members.collect::<Vec<_>>()});
    json!({"name": "n0", "listen": "127.0.0.1:0", "seed": "00000000000000ff",
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": descriptors},
        "bulletin": bulletin.to_string(),
        "known": {"no": 1, "items": [{"no": 1, "roster": roster}]},
        "settings": {"replicasOfMe": 1, "myNumber": 0, "zone": "a", "zones": ["a"], "kinds": ["k"], "tenants": [],
            "discovery": "pushed", "feedback": {"how": "probe", "names": ["waiting", "cpu"]}, "prices": {},
            "classes": [class("look", "repeatable"), class("load", "once")],
            "familyInfo": {"coresByKind": [8], "ramOfKindMb": [1000.0], "widthByClass": [1, 1],
                "notePeriodUs": 1_000_000},
            "limits": {"tryLimit": 5, "connectTimeoutUs": 250_000, "idleCloseUs": 15_000_000, "cancelling": true,
                "mayProbe": true, "retryAfter": true, "maxRetryAfterUs": 2_000_000},
            "obligations": {"overloadFactor": 2.0, "fallUs": 1_000_000, "startCapacity": 0.3,
                "coldUs": 9_000_000, "answerSlackUs": 20_000, "stopSendingWithinUs": 1_000_000}}})
    .to_string()
}

/// A router on a thread of its own.
pub struct Running {
    pub address: SocketAddr,
    pub orders: async_channel::Sender<Order>,
    ended: Receiver<Result<(), String>>,
}

impl Running {
    pub fn start(engines: &[SocketAddr], bulletin: SocketAddr) -> Self {
        Self::with(&told(engines, bulletin, 1024))
    }

    /// One whose bulletin tells nothing new.
    pub fn quiet(engines: &[SocketAddr]) -> Self {
        Self::start(engines, Events::default().serve().address)
    }

    pub fn with(told: &str) -> Self {
        let given = config::parse(told, None).unwrap();
        let listener = TcpListener::bind(given.listen).unwrap();
        let address = listener.local_addr().unwrap();
        let (orders, heard) = async_channel::bounded(4);
        let (end, ended) = mpsc::channel();
        thread::spawn(move || {
            let tasks = Tasks::default();
            let _ = end.send(async_io::block_on(tasks.run(serve(tasks, given, listener, heard))));
        });
        Self { address, orders, ended }
    }

    pub fn ends(&self) {
        assert_eq!(self.ended.recv_timeout(LONG), Ok(Ok(())));
    }
}

/// A client connection. What it is told is a result, or the word of an error.
pub struct Client(pub TcpStream);

impl Client {
    pub fn new(router: &Running) -> Self {
        let stream = TcpStream::connect(router.address).unwrap();
        stream.set_read_timeout(Some(LONG)).unwrap();
        Self(stream)
    }

    pub fn message(number: u32, class: &str, id: &str, wait: u32, statement: &str) -> Vec<u8> {
        let fields = [("id", id), ("wait", &wait.to_string()), ("cost", "10.5"), ("ram", "16")];
        Self::request(number, class, &fields, statement)
    }

    /// A request with such fields.
    pub fn request(number: u32, class: &str, fields: &[(&str, &str)], statement: &str) -> Vec<u8> {
        let mut bytes = vec![0x94, 0x00];
        rmp::encode::write_uint(&mut bytes, number.into()).unwrap();
        rmp::encode::write_str(&mut bytes, class).unwrap();
        bytes.push(0x92);
        rmp::encode::write_map_len(&mut bytes, fields.len() as u32).unwrap();
        for (name, value) in fields {
            rmp::encode::write_str(&mut bytes, name).unwrap();
            rmp::encode::write_str(&mut bytes, value).unwrap();
        }
        rmp::encode::write_bin(&mut bytes, statement.as_bytes()).unwrap();
        bytes
    }

    pub fn asks(&mut self, number: u32, class: &str, wait: u32) {
        let message =
            Self::message(number, class, &format!("{number:016x}"), wait, "select 1 from sales_1.x");
        self.0.write_all(&message).unwrap();
    }

    pub fn aborts(&mut self, number: u8) {
        self.0.write_all(&[&[0x93, 0x02, 0xa5], &b"abort"[..], &[0x91, number]].concat()).unwrap();
    }

    pub fn pings(&mut self, number: u8) -> bool {
        self.0.write_all(&[&[0x94, 0x00, number, 0xa4], &b"ping"[..], &[0x91, 0x80]].concat()).unwrap();
        let (answered, result) = self.hears();
        assert_eq!(answered, u32::from(number));
        result.unwrap() == "true"
    }

    /// Whether the router ended the connection; what it said before is passed over.
    pub fn is_closed(&mut self) -> bool {
        let mut rest = [0; 1024];
        loop {
            match self.0.read(&mut rest) {
                Ok(0) => return true,
                Ok(_) => {}
                Err(error) => return error.kind() == std::io::ErrorKind::ConnectionReset,
            }
        }
    }

    /// The number of the next answer and what it holds: a result, or the word of an error.
    pub fn hears(&mut self) -> (u32, Result<String, String>) {
        let stream = &mut self.0;
        assert_eq!(decode::read_array_len(stream).unwrap(), 4);
        assert_eq!(decode::read_int::<u32, _>(stream).unwrap(), 1);
        let number = decode::read_int(stream).unwrap();
        if decode::read_marker(stream).unwrap() != Marker::Null {
            let length = decode::read_str_len(stream).unwrap();
            let word = take_text(stream, length);
            for _ in 0..2 * decode::read_map_len(stream).unwrap() {
                let length = decode::read_str_len(stream).unwrap();
                take_text(stream, length);
            }
            decode::read_nil(stream).unwrap();
            return (number, Err(word));
        }
        assert_eq!(decode::read_array_len(stream).unwrap(), 2);
        let length = match decode::read_marker(stream).unwrap() {
            Marker::True => None,
            Marker::False => Some(0),
            Marker::Bin8 => Some(take_number(stream, 1)),
            Marker::Bin16 => Some(take_number(stream, 2)),
            other => panic!("{other:?}"),
        };
        let result = length.map_or("true".to_owned(), |length| take_text(stream, length));
        assert_eq!(decode::read_map_len(stream).unwrap(), 0);
        (number, Ok(result))
    }
}

fn take_number(stream: &mut TcpStream, width: usize) -> u32 {
    let mut digits = [0; 4];
    stream.read_exact(&mut digits[4 - width..]).unwrap();
    u32::from_be_bytes(digits)
}

fn take_text(stream: &mut TcpStream, length: u32) -> String {
    let mut bytes = vec![0; length as usize];
    stream.read_exact(&mut bytes).unwrap();
    String::from_utf8(bytes).unwrap()
}
