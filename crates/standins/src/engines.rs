//! An HTTP server that stands in for an engine or another service and answers as a test prescribes.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{self, Receiver};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use socket2::{Domain, SockRef, Socket, Type};

use crate::TEST_TIMEOUT;

/// Length of the line end in an HTTP head.
const LINE_END_BYTES: usize = 2;

/// An HTTP call that a stand-in received.
#[derive(Clone, Debug)]
pub struct Call {
    pub line: String,
    pub fields: Vec<String>,
    pub body: Vec<u8>,
    /// The connection's number, counted from 0.
    pub connection: usize,
}

impl Call {
    /// The size of the call on the wire, in bytes.
    pub fn size(&self) -> usize {
        let lines = self.fields.iter().chain([&self.line]);
        lines.map(|line| line.len() + LINE_END_BYTES).sum::<usize>() + LINE_END_BYTES + self.body.len()
    }
}

/// What a stand-in does in response to a call. Answers hold the status, the header fields and the body.
pub enum Response {
    Full(u16, Vec<String>, Vec<u8>),
    /// Answers and closes the connection, without announcing the close.
    FullThenClose(u16, Vec<String>, Vec<u8>),
    /// Sends the answer, head included, in pieces of this size with this pause after each piece.
    InPieces(u16, Vec<String>, Vec<u8>, usize, Duration),
    /// Sends the response after a delay. Calls on other connections are not held up.
    Delayed(Duration, Box<Response>),
    /// Sends these bytes, then closes the connection.
    RawThenClose(&'static str),
    /// Sends these bytes and keeps the connection open.
    RawKeepOpen(String),
    CloseConnection,
    NoResponse,
    /// Simulates the end of the process: closes the port, then every connection.
    EndProcess,
    /// Stops accepting connections, as a draining engine does, then sends the response. Open connections stay
    /// open.
    ClosePort(Box<Response>),
}

/// A complete answer with a status, header fields and a body.
pub fn response(status: u16, fields: &[&str], body: &str) -> Response {
    Response::Full(status, fields.iter().map(|field| field.to_string()).collect(), body.into())
}

/// Answers a query's call with the requested one of these pages, and a DELETE with 204.
pub fn result_page(call: &Call, pages: &[&str]) -> Response {
    let page =
        call.line.split(' ').nth(1).and_then(|path| path.rsplit('/').next()?.parse().ok()).unwrap_or(0);
    if call.line.starts_with("DELETE") {
        return response(204, &[], "");
    }
    response(200, &[&format!("X-Batches: {}", pages.len()), &format!("X-Batch: {page}")], pages[page])
}

/// An HTTP server that answers as prescribed and passes each call on to the test.
pub struct StandinServer {
    pub address: SocketAddr,
    calls: Receiver<Call>,
    sockets: Arc<Sockets>,
}

impl StandinServer {
    pub fn start(answer: impl FnMut(&Call) -> Response + Send + 'static) -> Self {
        Self::on_listener(TcpListener::bind("127.0.0.1:0").unwrap(), answer)
    }

    /// Starts a server on an existing listener.
    pub fn on_listener(
        listener: TcpListener, answer: impl FnMut(&Call) -> Response + Send + 'static,
    ) -> Self {
        let address = listener.local_addr().unwrap();
        let (answer, (call_sender, calls)) = (Arc::new(Mutex::new(answer)), mpsc::channel());
        let sockets = Arc::new(Sockets { listener, streams: Mutex::default() });
        let shared_sockets = sockets.clone();
        thread::spawn(move || {
            for (connection, stream) in sockets.listener.incoming().enumerate() {
                let Ok(stream) = stream else { break };
                sockets.streams.lock().unwrap().insert(connection, stream.try_clone().unwrap());
                let (answer, call_sender, sockets) = (answer.clone(), call_sender.clone(), sockets.clone());
                thread::spawn(move || {
                    let mut stream = BufReader::new(stream);
                    while let Some(call) = read_call(&mut stream, connection) {
                        let _ = call_sender.send(call.clone());
                        let response = answer.lock().unwrap()(&call);
                        let response = match response {
                            Response::EndProcess => return sockets.close(),
                            Response::ClosePort(then) => {
                                sockets.refuse();
                                *then
                            }
                            response => response,
                        };
                        if !send_response(stream.get_mut(), response) {
                            break;
                        }
                    }
                    let _ = stream.get_ref().shutdown(Shutdown::Both);
                    sockets.streams.lock().unwrap().remove(&connection);
                });
            }
        });
        Self { address, calls, sockets: shared_sockets }
    }

    /// Stops accepting connections, as a draining engine does. Open connections stay open.
    pub fn refuse_connections(&self) {
        self.sockets.refuse();
    }

    /// Simulates the end of the process: closes the port, then every connection.
    pub fn end_process(&self) {
        self.sockets.close();
    }

    /// Waits for the next call whose first line starts with `start`; discards the calls before it.
    pub fn wait_for_call(&self, start: &str) -> Call {
        self.calls_until(start).pop().expect("a matching call")
    }

    /// Waits for the first call whose first line starts with `start` and returns all calls up to it.
    pub fn calls_until(&self, start: &str) -> Vec<Call> {
        let (mut calls, end) = (Vec::new(), Instant::now() + TEST_TIMEOUT);
        while calls.last().is_none_or(|call: &Call| !call.line.starts_with(start)) {
            let left = end.saturating_duration_since(Instant::now());
            calls.push(self.calls.recv_timeout(left).unwrap_or_else(|_| panic!("no call {start}")));
        }
        calls
    }

    /// Takes all calls received so far and returns those whose first line starts with `start`.
    pub fn received_calls(&self, start: &str) -> Vec<Call> {
        self.calls.try_iter().filter(|call| call.line.starts_with(start)).collect()
    }
}

/// The sockets of a server.
struct Sockets {
    listener: TcpListener,
    /// Open connections by number; an entry is removed when its connection ends.
    streams: Mutex<HashMap<usize, TcpStream>>,
}

impl Sockets {
    fn refuse(&self) {
        // Fails if the port is closed already.
        let _ = SockRef::from(&self.listener).shutdown(Shutdown::Both);
    }

    /// The port refuses connections before any open connection ends.
    fn close(&self) {
        self.refuse();
        for stream in self.streams.lock().unwrap().values() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

/// A listener whose queue is full, so that connection attempts get no answer until it is unblocked, as with
/// an unreachable machine. An attempt made before is completed by the system's next retry, one second after
/// its first try.
pub struct BlockedListener {
    listener: TcpListener,
    pub address: SocketAddr,
    fillers: Vec<TcpStream>,
}

impl BlockedListener {
    pub fn bind() -> Self {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
        socket.listen(0).unwrap();
        let listener: TcpListener = socket.into();
        let address = listener.local_addr().unwrap();
        // The queue is full as soon as one of these connections fails.
        let connect_filler = || TcpStream::connect_timeout(&address, Duration::from_millis(200)).ok();
        let fillers = std::iter::from_fn(connect_filler).collect();
        Self { listener, address, fillers }
    }

    /// Starts to accept connections and serves them.
    pub fn unblock(self, answer: impl FnMut(&Call) -> Response + Send + 'static) -> StandinServer {
        SockRef::from(&self.listener).listen(128).unwrap();
        drop(self.fillers);
        StandinServer::on_listener(self.listener, answer)
    }
}

fn read_call(stream: &mut BufReader<TcpStream>, connection: usize) -> Option<Call> {
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

/// Sends a response. Returns whether the connection stays open.
fn send_response(stream: &mut TcpStream, response: Response) -> bool {
    if let Response::Delayed(after, then) = response {
        thread::sleep(after);
        return send_response(stream, *then);
    }
    let (status, fields, body, keep_open) = match response {
        Response::Full(status, fields, body) => (status, fields, body, true),
        Response::FullThenClose(status, fields, body) => (status, fields, body, false),
        Response::InPieces(status, fields, body, piece, gap) => {
            for part in encode_response(status, &fields, &body).chunks(piece.max(1)) {
                if stream.write_all(part).is_err() {
                    return false;
                }
                thread::sleep(gap);
            }
            return true;
        }
        Response::RawThenClose(text) => {
            let _ = stream.write_all(text.as_bytes());
            return false;
        }
        Response::RawKeepOpen(text) => return stream.write_all(text.as_bytes()).is_ok(),
        Response::CloseConnection | Response::EndProcess => return false,
        Response::NoResponse => return true,
        Response::Delayed(..) | Response::ClosePort(..) => unreachable!("handled above"),
    };
    stream.write_all(&encode_response(status, &fields, &body)).is_ok() && keep_open
}

/// Encodes a complete HTTP response.
pub(crate) fn encode_response(status: u16, fields: &[String], body: &[u8]) -> Vec<u8> {
    let fields: String = fields.iter().map(|field| format!("{field}\r\n")).collect();
    let head = format!("HTTP/1.1 {status} x\r\n{fields}Content-Length: {}\r\n\r\n", body.len());
    [head.as_bytes(), body].concat()
}
