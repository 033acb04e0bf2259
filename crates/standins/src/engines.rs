//! An engine over HTTP that answers as it is told.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{self, Receiver};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use socket2::{Domain, SockRef, Socket, Type};

use crate::TEST_TIMEOUT;

/// Bytes that end a line of a head.
const LINE_END_BYTES: usize = 2;

/// A call that a stand-in took in.
#[derive(Clone, Debug)]
pub struct Call {
    pub line: String,
    pub fields: Vec<String>,
    pub body: Vec<u8>,
    /// Counts the connections from 0.
    pub connection: usize,
}

impl Call {
    /// How many bytes it took on the connection.
    pub fn size(&self) -> usize {
        let lines = self.fields.iter().chain([&self.line]);
        lines.map(|line| line.len() + LINE_END_BYTES).sum::<usize>() + LINE_END_BYTES + self.body.len()
    }
}

pub enum Response {
    Full(u16, Vec<String>, Vec<u8>),
    /// Answers and closes the connection, without a word on it.
    FullThenClose(u16, Vec<String>, Vec<u8>),
    /// An answer that comes in pieces of so many bytes, with such gaps, head and all.
    InPieces(u16, Vec<String>, Vec<u8>, usize, Duration),
    /// Says so once the time has passed; calls on other connections don't wait for it.
    Delayed(Duration, Box<Response>),
    /// Such bytes and no more, with which the connection ends.
    RawThenClose(&'static str),
    /// Such bytes, behind which the connection stays open.
    RawKeepOpen(String),
    CloseConnection,
    NoResponse,
    /// Its process ends: first its port is closed, then every connection.
    EndProcess,
    /// Takes no new connection from now on, as one that drains, and says so over this one; all that are up go on.
    ClosePort(Box<Response>),
}

pub fn response(status: u16, fields: &[&str], body: &str) -> Response {
    Response::Full(status, fields.iter().map(|field| field.to_string()).collect(), body.into())
}

/// Serves a result of such pages to every query.
pub fn result_page(call: &Call, pages: &[&str]) -> Response {
    let page =
        call.line.split(' ').nth(1).and_then(|path| path.rsplit('/').next()?.parse().ok()).unwrap_or(0);
    if call.line.starts_with("DELETE") {
        return response(204, &[], "");
    }
    response(200, &[&format!("X-Batches: {}", pages.len()), &format!("X-Batch: {page}")], pages[page])
}

/// A server over HTTP that answers as it is told and passes on each call.
pub struct StandinServer {
    pub address: SocketAddr,
    calls: Receiver<Call>,
    open: Arc<Sockets>,
}

impl StandinServer {
    pub fn start(answer: impl FnMut(&Call) -> Response + Send + 'static) -> Self {
        Self::on_listener(TcpListener::bind("127.0.0.1:0").unwrap(), answer)
    }

    /// One that takes in connections at such a listener.
    pub fn on_listener(
        listener: TcpListener, answer: impl FnMut(&Call) -> Response + Send + 'static,
    ) -> Self {
        let address = listener.local_addr().unwrap();
        let (answer, (call_sender, calls)) = (Arc::new(Mutex::new(answer)), mpsc::channel());
        let open = Arc::new(Sockets { listener, streams: Mutex::default() });
        let kept = open.clone();
        thread::spawn(move || {
            for (connection, stream) in open.listener.incoming().enumerate() {
                let Ok(stream) = stream else { break };
                open.streams.lock().unwrap().insert(connection, stream.try_clone().unwrap());
                let (answer, call_sender, open) = (answer.clone(), call_sender.clone(), open.clone());
                thread::spawn(move || {
                    let mut stream = BufReader::new(stream);
                    while let Some(call) = read_call(&mut stream, connection) {
                        let _ = call_sender.send(call.clone());
                        let says = answer.lock().unwrap()(&call);
                        let says = match says {
                            Response::EndProcess => return open.close(),
                            Response::ClosePort(then) => {
                                open.refuse();
                                *then
                            }
                            says => says,
                        };
                        if !send_response(stream.get_mut(), says) {
                            break;
                        }
                    }
                    let _ = stream.get_ref().shutdown(Shutdown::Both);
                    open.streams.lock().unwrap().remove(&connection);
                });
            }
        });
        Self { address, calls, open: kept }
    }

    /// Takes no new connection from now on, as one that drains; all that are up go on.
    pub fn refuse_connections(&self) {
        self.open.refuse();
    }

    /// Its process ends: first its port is closed, then every connection.
    pub fn end_process(&self) {
        self.open.close();
    }

    /// The next call whose first line starts so; what comes before it is passed over.
    pub fn wait_for_call(&self, start: &str) -> Call {
        self.calls_until(start).pop().expect("until such a call")
    }

    /// All calls up to the first that starts so.
    pub fn calls_until(&self, start: &str) -> Vec<Call> {
        let (mut calls, end) = (Vec::new(), Instant::now() + TEST_TIMEOUT);
        while calls.last().is_none_or(|call: &Call| !call.line.starts_with(start)) {
            let left = end.saturating_duration_since(Instant::now());
            calls.push(self.calls.recv_timeout(left).unwrap_or_else(|_| panic!("no call {start}")));
        }
        calls
    }

    /// The calls so far that start so.
    pub fn received_calls(&self, start: &str) -> Vec<Call> {
        self.calls.try_iter().filter(|call| call.line.starts_with(start)).collect()
    }
}

/// The sockets of a stand-in.
struct Sockets {
    listener: TcpListener,
    /// By connection; emptied by their ends.
    streams: Mutex<HashMap<usize, TcpStream>>,
}

impl Sockets {
    fn refuse(&self) {
        // It fails where the port is closed already.
        let _ = SockRef::from(&self.listener).shutdown(Shutdown::Both);
    }

    /// The port refuses before any connection ends.
    fn close(&self) {
        self.refuse();
        for stream in self.streams.lock().unwrap().values() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

/// An address at which connections don't come up until it is opened, as where nothing is heard of a machine. One that was
/// asked for before comes up with the system's next try, a second after its first.
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
        // The queue is full once one of these no longer comes up.
        let more = || TcpStream::connect_timeout(&address, Duration::from_millis(200)).ok();
        let fillers = std::iter::from_fn(more).collect();
        Self { listener, address, fillers }
    }

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

/// Whether the connection goes on.
fn send_response(stream: &mut TcpStream, says: Response) -> bool {
    if let Response::Delayed(after, then) = says {
        thread::sleep(after);
        return send_response(stream, *then);
    }
    let (status, fields, body, keep_open) = match says {
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
        Response::RawThenClose(words) => {
            let _ = stream.write_all(words.as_bytes());
            return false;
        }
        Response::RawKeepOpen(words) => return stream.write_all(words.as_bytes()).is_ok(),
        Response::CloseConnection | Response::EndProcess => return false,
        Response::NoResponse => return true,
        Response::Delayed(..) | Response::ClosePort(..) => unreachable!("said above"),
    };
    stream.write_all(&encode_response(status, &fields, &body)).is_ok() && keep_open
}

/// The bytes of an answer.
pub(crate) fn encode_response(status: u16, fields: &[String], body: &[u8]) -> Vec<u8> {
    let fields: String = fields.iter().map(|field| format!("{field}\r\n")).collect();
    let head = format!("HTTP/1.1 {status} x\r\n{fields}Content-Length: {}\r\n\r\n", body.len());
    [head.as_bytes(), body].concat()
}
