//! A client: MessagePack-RPC over TCP. A thread reads the answers.

use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::record::Record;

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// A new job id: 16 hex digits, never used before in this process.
pub fn new_id() -> String {
    let mixed = NEXT_ID.fetch_add(1, Ordering::Relaxed).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    format!("{mixed:016x}")
}

#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    Nil,
    Bool(bool),
    Uint(u64),
    Bytes(Vec<u8>),
    Array(Vec<Value>),
    Map(Vec<(Value, Value)>),
}

/// How a request was answered.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Served(String),
    /// The name of the error.
    Error(String),
    Pong(bool),
}

#[derive(Clone, Debug)]
pub struct Answered {
    pub answer: Answer,
}

#[derive(Default)]
struct Inbox {
    answers: HashMap<u64, Vec<Answered>>,
    closed_at: Option<Instant>,
}

pub struct Client {
    pub name: String,
    pub stream: TcpStream,
    inbox: Arc<Mutex<Inbox>>,
    record: Record,
}

impl Client {
    pub fn connect(name: &str, to: SocketAddr, record: &Record) -> std::io::Result<Self> {
        let stream = TcpStream::connect_timeout(&to, Duration::from_secs(3))?;
        stream.set_nodelay(true)?;
        let inbox = Arc::new(Mutex::new(Inbox::default()));
        let (reader, filled, noted, of) =
            (stream.try_clone()?, inbox.clone(), record.clone(), name.to_owned());
        thread::spawn(move || read_answers(reader, &filled, &noted, &of));
        Ok(Self { name: name.to_owned(), stream, inbox, record: record.clone() })
    }

    /// Writes bytes as they are.
    pub fn write(&self, bytes: &[u8]) -> std::io::Result<()> {
        (&self.stream).write_all(bytes)
    }

    pub fn note(&self, text: &str) {
        self.record.line(&format!("client {}: {text}", self.name));
    }

    /// All answers to the request with this number.
    pub fn answers(&self, number: u64) -> Vec<Answered> {
        self.inbox.lock().unwrap().answers.get(&number).cloned().unwrap_or_default()
    }

    /// How many answers have come.
    pub fn answer_count(&self) -> usize {
        self.inbox.lock().unwrap().answers.len()
    }

    pub fn closed_at(&self) -> Option<Instant> {
        self.inbox.lock().unwrap().closed_at
    }

    /// Waits for the first answer, until the given time at most.
    pub fn wait_for(&self, number: u64, until: Instant) -> Option<Answered> {
        loop {
            if let Some(answered) = self.answers(number).first() {
                return Some(answered.clone());
            }
            if Instant::now() >= until {
                return None;
            }
            thread::sleep(Duration::from_millis(5));
        }
    }

    pub fn close(&self) {
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

/// A request, encoded.
/// `cost_ms` is the client's estimate of the work.
pub fn request(number: u64, class: &str, id: &str, wait: Duration, cost_ms: u64, statement: &str) -> Vec<u8> {
    let mut out = vec![0x94, 0x00];
    put_uint(&mut out, number);
    put_str(&mut out, class);
    out.push(0x92);
    let fields = [("id", id), ("wait", &wait.as_millis().to_string()), ("cost", &format!("{cost_ms}.0"))];
    out.push(0x80 | fields.len() as u8);
    for (name, value) in fields {
        put_str(&mut out, name);
        put_str(&mut out, value);
    }
    out.push(0xc5);
    out.extend((statement.len() as u16).to_be_bytes());
    out.extend(statement.as_bytes());
    out
}

pub fn ping(number: u64) -> Vec<u8> {
    let mut out = vec![0x94, 0x00];
    put_uint(&mut out, number);
    put_str(&mut out, "ping");
    out.extend([0x91, 0x80]);
    out
}

/// Takes a request back.
pub fn abort(number: u64) -> Vec<u8> {
    let mut out = vec![0x93, 0x02];
    put_str(&mut out, "abort");
    out.push(0x91);
    put_uint(&mut out, number);
    out
}

fn put_uint(out: &mut Vec<u8>, value: u64) {
    match value {
        0..=0x7f => out.push(value as u8),
        0x80..=0xffff => {
            out.push(0xcd);
            out.extend((value as u16).to_be_bytes());
        }
        _ => {
            out.push(0xce);
            out.extend((value as u32).to_be_bytes());
        }
    }
}

fn put_str(out: &mut Vec<u8>, text: &str) {
    if text.len() < 32 {
        out.push(0xa0 | text.len() as u8);
    } else {
        out.extend([0xd9, text.len() as u8]);
    }
    out.extend(text.as_bytes());
}

fn read_answers(mut stream: TcpStream, inbox: &Mutex<Inbox>, record: &Record, name: &str) {
    let (mut bytes, mut chunk) = (Vec::new(), vec![0; 64 * 1024]);
    loop {
        let count = stream.read(&mut chunk).unwrap_or(0);
        if count == 0 {
            record.line(&format!("client {name}: the connection is closed"));
            inbox.lock().unwrap().closed_at = Some(Instant::now());
            return;
        }
        bytes.extend(&chunk[..count]);
        let mut used = 0;
        while let Some((value, length)) = read_value(&bytes[used..]) {
            used += length;
            let Some((number, answer)) = answer_of(&value) else { continue };
            if !matches!(answer, Answer::Pong(_)) && name.chars().next() != Some('~') {
                record.line(&format!("client {name}: request {number} is answered: {answer:?}"));
            }
            let answered = Answered { answer };
            inbox.lock().unwrap().answers.entry(number).or_default().push(answered);
        }
        bytes.drain(..used);
    }
}

fn answer_of(value: &Value) -> Option<(u64, Answer)> {
    let Value::Array(parts) = value else { return None };
    let [Value::Uint(1), Value::Uint(number), error, result] = parts.as_slice() else { return None };
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    let answer = match (error, result) {
        (Value::Array(parts), _) => match parts.first() {
            Some(Value::Bytes(name)) => Answer::Error(text(name)),
            _ => return None,
        },
        (Value::Nil, Value::Array(parts)) => match parts.first() {
            Some(Value::Bytes(body)) => Answer::Served(text(body)),
            Some(Value::Bool(serves)) => Answer::Pong(*serves),
            _ => return None,
        },
        _ => return None,
    };
    Some((*number, answer))
}

/// Reads one value; `None` until it is complete.
fn read_value(bytes: &[u8]) -> Option<(Value, usize)> {
    let first = *bytes.first()?;
    let number = |width: usize| {
        let digits = bytes.get(1..1 + width)?;
        Some(digits.iter().fold(0_u64, |sum, byte| sum << 8 | u64::from(*byte)))
    };
    let of_bytes = |head: usize, length: u64| {
        let end = head + length as usize;
        Some((Value::Bytes(bytes.get(head..end)?.to_vec()), end))
    };
    match first {
        0..=0x7f => Some((Value::Uint(first.into()), 1)),
        0x80..=0x8f => read_many(bytes, 1, 2 * u64::from(first & 0x0f), true),
        0x90..=0x9f => read_many(bytes, 1, u64::from(first & 0x0f), false),
        0xa0..=0xbf => of_bytes(1, u64::from(first & 0x1f)),
        0xc0 => Some((Value::Nil, 1)),
        0xc2 | 0xc3 => Some((Value::Bool(first == 0xc3), 1)),
        0xc4 | 0xd9 => of_bytes(2, number(1)?),
        0xc5 | 0xda => of_bytes(3, number(2)?),
        0xc6 | 0xdb => of_bytes(5, number(4)?),
        0xcc => Some((Value::Uint(number(1)?), 2)),
        0xcd => Some((Value::Uint(number(2)?), 3)),
        0xce => Some((Value::Uint(number(4)?), 5)),
        0xcf => Some((Value::Uint(number(8)?), 9)),
        0xdc => read_many(bytes, 3, number(2)?, false),
        0xde => read_many(bytes, 3, 2 * number(2)?, true),
        other => panic!("a byte of an answer that this stand-in does not know: {other:#x}"),
    }
}

fn read_many(bytes: &[u8], head: usize, count: u64, is_map: bool) -> Option<(Value, usize)> {
    let (mut values, mut at) = (Vec::new(), head);
    for _ in 0..count {
        let (value, length) = read_value(&bytes[at..])?;
        values.push(value);
        at += length;
    }
    if !is_map {
        return Some((Value::Array(values), at));
    }
    let mut pairs = Vec::new();
    let mut values = values.into_iter();
    while let (Some(name), Some(value)) = (values.next(), values.next()) {
        pairs.push((name, value));
    }
    Some((Value::Map(pairs), at))
}
