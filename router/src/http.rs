//! HTTP/1.1 calls, one at a time on a connection. Answers' heads are parsed where they were read.

use std::io;

use futures_lite::AsyncReadExt;
use httparse::{EMPTY_HEADER, Response, Status};
use woadhook::Moment;

use crate::sockets::{Link, write_gathered};

const HEAD_BYTES: usize = 16 * 1024;
const HEAD_FIELDS: usize = 48;
const READ_BYTES: usize = 8 * 1024;

/// A connection that calls one peer.
pub struct Connection {
    pub link: Link,
    buffer: Vec<u8>,
    /// No call is under way and the peer will take another.
    pub reusable: bool,
    pub idle_since: Moment,
}

/// How the bytes after a head are counted.
enum Body {
    Length(usize),
    Chunked,
    UntilClose,
}

impl Connection {
    pub fn new(link: Link) -> Self {
        Self { link, buffer: Vec::new(), reusable: true, idle_since: Moment::default() }
    }

    /// Makes one call and returns the status and the body of its answer, of at most `most` bytes; `field`
    /// hears each field of the answer's head, and `wrote` of each write.
    pub async fn call(
        &mut self, head: &str, body: &[u8], most: usize, wrote: impl FnMut(),
        mut field: impl FnMut(&str, &str),
    ) -> io::Result<(u16, Vec<u8>)> {
        self.reusable = false;
        self.buffer.clear();
        write_gathered(&self.link.stream, &[head.as_bytes(), body], wrote).await?;
        let (status, length, kept, body) = loop {
            if let Some(parsed) = parse(&self.buffer, &mut field)? {
                break parsed;
            }
            if self.buffer.len() >= HEAD_BYTES {
                return Err(broken("head too long"));
            }
            self.read_more().await?;
        };
        self.buffer.drain(..length);
        let body = match body {
            Body::Length(length) if length > most => return Err(broken("body too long")),
            Body::Length(length) => self.take(length).await?,
            Body::Chunked => self.chunks(most).await?,
            Body::UntilClose => self.rest(most).await?,
        };
        self.reusable = kept && self.buffer.is_empty();
        Ok((status, body))
    }

    async fn read(&mut self) -> io::Result<usize> {
        let filled = self.buffer.len();
        self.buffer.resize(filled + READ_BYTES, 0);
        let count = (&self.link.stream).read(&mut self.buffer[filled..]).await;
        self.buffer.truncate(filled + count.as_ref().copied().unwrap_or(0));
        count
    }

    async fn read_more(&mut self) -> io::Result<()> {
        if self.read().await? == 0 { Err(io::ErrorKind::UnexpectedEof.into()) } else { Ok(()) }
    }

    /// The next `length` bytes: those in the buffer, and the rest read straight to their place.
    async fn take(&mut self, length: usize) -> io::Result<Vec<u8>> {
        let here = self.buffer.len().min(length);
        let mut taken = Vec::with_capacity(length);
        taken.extend(self.buffer.drain(..here));
        taken.resize(length, 0);
        (&self.link.stream).read_exact(&mut taken[here..]).await?;
        Ok(taken)
    }

    async fn chunks(&mut self, most: usize) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let (start, size) = loop {
                match httparse::parse_chunk_size(&self.buffer) {
                    Ok(Status::Complete((start, size))) => break (start, size as usize),
                    Ok(Status::Partial) if self.buffer.len() < HEAD_BYTES => self.read_more().await?,
                    _ => return Err(broken("chunk")),
                }
            };
            self.buffer.drain(..start);
            if size.saturating_add(body.len()) > most {
                return Err(broken("body too long"));
            }
            body.extend(self.take(size).await?);
            if self.take(2).await? != b"\r\n" {
                return Err(broken("chunk end"));
            }
            if size == 0 {
                return Ok(body);
            }
        }
    }

    async fn rest(&mut self, most: usize) -> io::Result<Vec<u8>> {
        while self.read().await? > 0 {
            if self.buffer.len() > most {
                return Err(broken("body too long"));
            }
        }
        Ok(std::mem::take(&mut self.buffer))
    }
}

/// Status, length of the head, whether the connection stays open, and how the body is counted.
fn parse(buffer: &[u8], field: &mut impl FnMut(&str, &str)) -> io::Result<Option<(u16, usize, bool, Body)>> {
    let mut fields = [EMPTY_HEADER; HEAD_FIELDS];
    let mut response = Response::new(&mut fields);
    let Status::Complete(length) = response.parse(buffer).map_err(|_| broken("no HTTP"))? else {
        return Ok(None);
    };
    let status = response.code.unwrap_or(0);
    let mut kept = response.version == Some(1);
    let mut body = if status == 204 { Body::Length(0) } else { Body::UntilClose };
    for found in response.headers.iter() {
        let value = str::from_utf8(found.value).unwrap_or("").trim();
        if found.name.eq_ignore_ascii_case("content-length") {
            body = Body::Length(value.parse().map_err(|_| broken("content length"))?);
        } else if found.name.eq_ignore_ascii_case("transfer-encoding") {
            body = Body::Chunked;
        } else if found.name.eq_ignore_ascii_case("connection") {
            kept &= !value.eq_ignore_ascii_case("close");
        } else {
            field(found.name, value);
        }
    }
    kept &= !matches!(body, Body::UntilClose);
    Ok(Some((status, length, kept, body)))
}

fn broken(what: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, what)
}
