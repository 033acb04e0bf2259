//! A client that speaks MessagePack-RPC.

use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use rmp::{Marker, decode};
use socket2::{Domain, Socket, Type};

use woadhook_router::codec;

use crate::TEST_TIMEOUT;
use crate::routers::RouterThread;

/// A client connection. An answer is a result or the name of an error.
pub struct Client(pub TcpStream);

impl Client {
    pub fn connect(router: &RouterThread) -> Self {
        let stream = TcpStream::connect(router.address).unwrap();
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        Self(stream)
    }

    /// Connects with a small receive buffer, so that the router can send little at a time.
    pub fn with_small_receive_buffer(router: &RouterThread) -> Self {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.set_recv_buffer_size(2_048).unwrap();
        socket.connect(&router.address.into()).unwrap();
        let stream: TcpStream = socket.into();
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        Self(stream)
    }

    /// Encodes a request for a job of this type with an id and a wait in milliseconds.
    pub fn encode_job(number: u32, class: &str, id: &str, wait: u32, statement: &str) -> Vec<u8> {
        let fields = [("id", id), ("wait", &wait.to_string()), ("cost", "10.5"), ("ram", "16")];
        Self::encode_request(number, class, &fields, statement)
    }

    /// Encodes a request with the given fields.
    pub fn encode_request(number: u32, class: &str, fields: &[(&str, &str)], statement: &str) -> Vec<u8> {
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

    /// Closes the connection with a reset.
    pub fn reset(self) {
        let socket = Socket::from(self.0);
        socket.set_linger(Some(Duration::ZERO)).unwrap();
    }

    /// Sends a job whose id is its message number.
    pub fn send_job(&mut self, number: u32, class: &str, wait: u32) {
        let message =
            Self::encode_job(number, class, &format!("{number:016x}"), wait, "select 1 from sales_1.x");
        self.0.write_all(&message).unwrap();
    }

    /// Sends an abort of the job with this message number.
    pub fn send_abort(&mut self, number: u8) {
        self.0.write_all(&[&[0x93, 0x02, 0xa5], &b"abort"[..], &[0x91, number]].concat()).unwrap();
    }

    /// Sends a ping and returns whether it is answered with true. Panics if another answer comes first.
    pub fn ping(&mut self, number: u8) -> bool {
        self.0.write_all(&[&[0x94, 0x00, number, 0xa4], &b"ping"[..], &[0x91, 0x80]].concat()).unwrap();
        let (answered, result) = self.receive();
        assert_eq!(answered, u32::from(number));
        result.unwrap() == "true"
    }

    /// Whether a ping is answered with true. Returns false if the connection ends.
    pub fn try_ping(&mut self) -> bool {
        let ping = [&[0x94, 0x00, 1, 0xa4], &b"ping"[..], &[0x91, 0x80]].concat();
        let mut answer = [0; 6];
        // The answer begins with [1, 1, nil, [true, ...: the fourth byte is the error, the sixth the result.
        let is_complete = self.0.write_all(&ping).and_then(|()| self.0.read_exact(&mut answer));
        is_complete.is_ok() && answer == [0x94, 0x01, 0x01, 0xc0, 0x92, 0xc3]
    }

    /// Counts complete answers until there are `max_answers` or the router closes the connection.
    pub fn count_answers(&mut self, max_answers: u32) -> usize {
        let mut bytes = Vec::new();
        let mut chunk = [0; 16 * 1024];
        let (mut answers, mut scan, mut scanned) = (0, codec::MessageScanner::default(), 0);
        while answers < max_answers as usize {
            match self.0.read(&mut chunk) {
                Ok(0) | Err(_) => break,
                Ok(count) => bytes.extend_from_slice(&chunk[..count]),
            }
            while let Ok(Some(length)) = codec::message_length(&bytes, &mut scan, &mut scanned) {
                bytes.drain(..length);
                (scan, scanned) = (codec::MessageScanner::default(), 0);
                answers += 1;
                if bytes.is_empty() {
                    break;
                }
            }
        }
        answers
    }

    /// Whether the router closes the connection. Data that arrives before the close is discarded.
    pub fn is_closed(&mut self) -> bool {
        let mut discarded = [0; 1024];
        loop {
            match self.0.read(&mut discarded) {
                Ok(0) => return true,
                Ok(_) => {}
                Err(error) => return error.kind() == std::io::ErrorKind::ConnectionReset,
            }
        }
    }

    /// Reads the next answer: the message number, and the result or the name of an error.
    pub fn receive(&mut self) -> (u32, Result<String, String>) {
        let stream = &mut self.0;
        assert_eq!(decode::read_array_len(stream).unwrap(), 4);
        assert_eq!(decode::read_int::<u32, _>(stream).unwrap(), 1);
        let number = decode::read_int(stream).unwrap();
        if decode::read_marker(stream).unwrap() != Marker::Null {
            let length = decode::read_str_len(stream).unwrap();
            let error_name = read_text(stream, length);
            for _ in 0..2 * decode::read_map_len(stream).unwrap() {
                let length = decode::read_str_len(stream).unwrap();
                read_text(stream, length);
            }
            decode::read_nil(stream).unwrap();
            return (number, Err(error_name));
        }
        assert_eq!(decode::read_array_len(stream).unwrap(), 2);
        let length = match decode::read_marker(stream).unwrap() {
            Marker::True => None,
            Marker::False => Some(0),
            Marker::Bin8 => Some(read_uint(stream, 1)),
            Marker::Bin16 => Some(read_uint(stream, 2)),
            other => panic!("{other:?}"),
        };
        let result = length.map_or("true".to_owned(), |length| read_text(stream, length));
        assert_eq!(decode::read_map_len(stream).unwrap(), 0);
        (number, Ok(result))
    }
}

fn read_uint(stream: &mut TcpStream, width: usize) -> u32 {
    let mut digits = [0; 4];
    stream.read_exact(&mut digits[4 - width..]).unwrap();
    u32::from_be_bytes(digits)
}

fn read_text(stream: &mut TcpStream, length: u32) -> String {
    let mut bytes = vec![0; length as usize];
    stream.read_exact(&mut bytes).unwrap();
    String::from_utf8(bytes).unwrap()
}

/// Reads the next answer, which must be to this message number. Returns whether it is a result.
pub fn receive_answer(stream: &mut impl Read, number: u32) -> io::Result<bool> {
    let (mut bytes, mut chunk) = (Vec::new(), [0; 4096]);
    let (mut scan, mut scanned) = (codec::MessageScanner::default(), 0);
    loop {
        let count = stream.read(&mut chunk)?;
        if count == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        bytes.extend_from_slice(&chunk[..count]);
        if let Some(length) =
            codec::message_length(&bytes, &mut scan, &mut scanned).expect("a well-formed message")
        {
            assert_eq!(length, bytes.len(), "one answer to one job");
            break;
        }
    }
    let mut message = &bytes[..];
    assert_eq!(codec::read_array_len(&mut message).expect("an answer"), 4);
    assert_eq!(codec::read_u32(&mut message).expect("an answer"), 1);
    assert_eq!(codec::read_u32(&mut message).expect("an answer"), number, "the answer to this job");
    Ok(decode::read_marker(&mut message).is_ok_and(|marker| marker == Marker::Null))
}
