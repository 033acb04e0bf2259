//! HTTP/1.1 calls, one at a time on a connection. The heads of answers are parsed in the read buffer.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use httparse::{EMPTY_HEADER, Response, Status};
use woadhook::{Moment, Span};
use woadhook_flow_control::min_rate::{MinRate, RateMonitor};

use crate::clock::Clock;
use crate::faults::CallError;
use crate::sockets::{FirstByte, PendingInput, Socket, WriteProgress, read, write_gathered};

const MAX_HEAD_BYTES: usize = 4 * 1024;
const MAX_HEAD_FIELDS: usize = 48;
const READ_CHUNK_BYTES: usize = 4 * 1024;
type Result<T> = std::result::Result<T, CallError>;

/// Maximum number of interim (1xx) answers before the final one.
const MAX_INTERIM_ANSWERS: usize = 8;

/// How much of the current answer has been received, shared with whoever waits for it.
#[derive(Clone, Default)]
pub struct ResponseProgress(Rc<Cell<Option<Received>>>);

/// The times and the size of what has been received since the first byte of an answer.
#[derive(Clone, Copy)]
pub struct Received {
    pub first_byte_at: Moment,
    pub last_byte_at: Moment,
    pub bytes: usize,
    monitor: RateMonitor,
}

impl Received {
    /// The moment at which the answer counts as too slow if nothing more arrives.
    pub fn due(&self) -> Moment {
        self.monitor.deadline()
    }
}

impl ResponseProgress {
    fn record(&self, clock: Clock, min_rate: MinRate, bytes: usize) {
        let now = clock.now();
        let new = Received {
            first_byte_at: now,
            last_byte_at: now,
            bytes: 0,
            monitor: RateMonitor::start(now, min_rate),
        };
        let mut received = self.0.get().unwrap_or(new);
        received.monitor.record(now, bytes);
        (received.last_byte_at, received.bytes) = (now, received.bytes + bytes);
        self.0.set(Some(received));
    }

    /// `None` before the first byte.
    pub fn received(&self) -> Option<Received> {
        self.0.get()
    }
}

/// A connection for calls to one peer.
pub struct Connection {
    pub socket: Socket,
    pub response_progress: ResponseProgress,
    /// The minimum rate of answers, as far as [`ResponseProgress`] records it.
    pub min_rate: MinRate,
    clock: Clock,
    /// Bytes that were read but not used yet; empty and without an allocation between calls.
    buffer: Vec<u8>,
    /// Whether no call is under way and the peer will take another.
    pub reusable: bool,
    /// Whether a second copy of an answer may have been taken for the answer to the next call, so that the
    /// peer still owes one. All answers concern the calls of one query.
    pub may_owe_answer: bool,
    pub idle_since: Moment,
    /// When the connection came up.
    pub opened_at: Moment,
    /// Whether a call is under way, or ended without a complete answer.
    is_call_open: bool,
}

/// How the length of the body is given.
enum Body {
    Length(usize),
    Chunked,
}

struct Head {
    status: u16,
    /// The length of the head in the buffer, in bytes.
    length: usize,
    /// Whether the peer keeps the connection open.
    keeps_open: bool,
    body: Body,
}

impl Connection {
    pub fn new(socket: Socket, clock: Clock) -> Self {
        let min_rate = MinRate { bytes_per_s: 0.0, grace: Span::ZERO };
        Self {
            socket,
            response_progress: ResponseProgress::default(),
            min_rate,
            clock,
            buffer: Vec::new(),
            reusable: true,
            may_owe_answer: false,
            idle_since: Moment::default(),
            opened_at: clock.now(),
            is_call_open: false,
        }
    }

    /// Whether another call can be made on the connection: the last answer was read completely, and nothing
    /// has arrived since.
    pub fn is_ready(&self) -> bool {
        self.reusable && self.socket.is_quiet()
    }

    /// Makes one call and returns the status and the body of its answer, of at most `max_body_bytes` bytes.
    /// `on_field` is called with each field of the answer's head, and `on_write` with the number of bytes of
    /// each write. An answer that is followed by further bytes is rejected, as its length may not be the true
    /// one. If the connection is dropped before the answer is complete, it is reset, so that a call that the
    /// system has not delivered yet is never delivered.
    pub async fn call(
        &mut self, head: &str, body: &[u8], max_body_bytes: usize, mut on_write: impl FnMut(usize),
        mut on_field: impl FnMut(&str, &str),
    ) -> Result<(u16, Vec<u8>)> {
        self.reusable = false;
        self.is_call_open = true;
        self.response_progress.0.set(None);
        let parts = [head.as_bytes(), body];
        let progress = |progress| {
            if let WriteProgress::Written(bytes) = progress {
                on_write(bytes);
            }
        };
        let written =
            write_gathered(&self.socket.stream, &parts, FirstByte::FailIfInterrupted, progress).await;
        written.map_err(CallError::of_write)?;
        let mut interim = 0;
        let head = loop {
            match parse(&self.buffer, &mut on_field)? {
                Some(head) if head.status >= 200 => break head,
                Some(head) if interim < MAX_INTERIM_ANSWERS => {
                    self.buffer.drain(..head.length);
                    interim += 1;
                }
                Some(_) => return Err(malformed("too many interim answers")),
                None if self.buffer.len() >= MAX_HEAD_BYTES => return Err(malformed("head too long")),
                None => self.read_more().await?,
            }
        };
        self.buffer.drain(..head.length);
        let body = match head.body {
            Body::Length(length) if length > max_body_bytes => return Err(malformed("body too long")),
            Body::Length(length) => self.read_exact(length).await?,
            Body::Chunked => self.read_chunks(max_body_bytes).await?,
        };
        let pending_input = self.socket.peek();
        if !self.buffer.is_empty() || matches!(pending_input, PendingInput::Bytes) {
            return Err(malformed("bytes after the answer"));
        }
        self.buffer = Vec::new();
        self.is_call_open = false;
        self.reusable = head.keeps_open && matches!(pending_input, PendingInput::Nothing);
        Ok((head.status, body))
    }

    async fn read_more(&mut self) -> Result<()> {
        let filled = self.buffer.len();
        self.buffer.resize(filled + READ_CHUNK_BYTES, 0);
        let count = read_some(&self.socket, &mut self.buffer[filled..]).await;
        self.buffer.truncate(filled + count.as_ref().copied().unwrap_or(0));
        self.response_progress.record(self.clock, self.min_rate, count?);
        Ok(())
    }

    /// Reads the next `length` bytes: first those in the buffer, then the rest straight into the result.
    async fn read_exact(&mut self, length: usize) -> Result<Vec<u8>> {
        let here = self.buffer.len().min(length);
        let mut taken = Vec::with_capacity(length);
        taken.extend(self.buffer.drain(..here));
        taken.resize(length, 0);
        let mut filled = here;
        while filled < length {
            let count = read_some(&self.socket, &mut taken[filled..]).await?;
            filled += count;
            self.response_progress.record(self.clock, self.min_rate, count);
        }
        Ok(taken)
    }

    async fn read_chunks(&mut self, max_body_bytes: usize) -> Result<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let (start, size) = loop {
                match httparse::parse_chunk_size(&self.buffer) {
                    Ok(Status::Complete((start, size))) => break (start, size as usize),
                    Ok(Status::Partial) if self.buffer.len() < MAX_HEAD_BYTES => self.read_more().await?,
                    _ => return Err(malformed("invalid chunk size")),
                }
            };
            self.buffer.drain(..start);
            if size.saturating_add(body.len()) > max_body_bytes {
                return Err(malformed("body too long"));
            }
            body.extend(self.read_exact(size).await?);
            if self.read_exact(2).await? != b"\r\n" {
                return Err(malformed("no line break after a chunk"));
            }
            if size == 0 {
                return Ok(body);
            }
        }
    }
}

impl Drop for Connection {
    /// Closes the connection in order unless a call was cut short. Threat: a call that is given up while a
    /// partition holds it back would reach the peer after the partition ends. If the peer has read the call
    /// already, the reset costs nothing but an error in the peer's log.
    fn drop(&mut self) {
        if !self.is_call_open {
            let _ = self.socket.close_in_order();
        }
    }
}

/// Returns `None` until the head is complete. An answer with neither a length nor chunks, whose body would
/// end with the connection, is an error, because it would be unknown whether the body is complete.
fn parse(buffer: &[u8], on_field: &mut impl FnMut(&str, &str)) -> Result<Option<Head>> {
    let mut fields = [EMPTY_HEADER; MAX_HEAD_FIELDS];
    let mut response = Response::new(&mut fields);
    let Status::Complete(length) = response.parse(buffer).map_err(|_| malformed("not HTTP"))? else {
        return Ok(None);
    };
    let status = response.code.unwrap_or(0);
    let has_no_body = status < 200 || status == 204;
    let mut keeps_open = response.version == Some(1);
    let (mut content_length, mut chunked) = (None, false);
    for found in response.headers.iter() {
        let value = str::from_utf8(found.value).map_err(|_| malformed("a field is not UTF-8"))?.trim();
        if found.name.eq_ignore_ascii_case("content-length") {
            let digits = !value.is_empty() && value.bytes().all(|byte| byte.is_ascii_digit());
            let length =
                value.parse().ok().filter(|_| digits).ok_or_else(|| malformed("invalid Content-Length"))?;
            if content_length.replace(length).is_some_and(|before| before != length) {
                return Err(malformed("two different values of Content-Length"));
            }
        } else if found.name.eq_ignore_ascii_case("transfer-encoding") {
            chunked = true;
            if !value.eq_ignore_ascii_case("chunked") {
                return Err(malformed("unsupported Transfer-Encoding"));
            }
        } else if found.name.eq_ignore_ascii_case("connection") {
            keeps_open &= !value.eq_ignore_ascii_case("close");
        } else if status >= 200 {
            on_field(found.name, value);
        }
    }
    let body = match (content_length, chunked) {
        _ if has_no_body => Body::Length(0),
        (Some(length), false) => Body::Length(length),
        (None, true) => Body::Chunked,
        _ => return Err(malformed("neither Content-Length nor chunked, or both")),
    };
    Ok(Some(Head { status, length, keeps_open, body }))
}

/// Reads at least one byte; if the peer has closed its side, that is an error.
async fn read_some(socket: &Socket, buffer: &mut [u8]) -> Result<usize> {
    match read(&socket.stream, buffer).await {
        Ok(0) => Err(CallError::Broken(io::ErrorKind::UnexpectedEof.into())),
        count => count.map_err(CallError::Broken),
    }
}

fn malformed(what: &'static str) -> CallError {
    CallError::Malformed(what)
}

/// Formats the head of a request.
pub fn request_head(
    method: &str, path: &str, to: SocketAddr, fields: &[(&str, &str)], length: usize,
) -> String {
    let mut head = format!("{method} {path} HTTP/1.1\r\nHost: {to}\r\n");
    for (name, value) in fields {
        head.extend([name, ": ", value, "\r\n"]);
    }
    if length > 0 || method != "GET" {
        head.push_str(&format!("Content-Length: {length}\r\n"));
    }
    head + "\r\n"
}
