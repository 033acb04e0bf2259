//! A minimal environment for one router. `toy serve` simulates two sql engines and a bulletin without new
//! events; `toy ask CLASS STATEMENT` sends one request to the router and prints the answer. The addresses are
//! those of `config.json` beside this file.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rmp::{Marker, decode, encode};

fn main() -> io::Result<()> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match arguments.iter().map(String::as_str).collect::<Vec<_>>()[..] {
        ["serve"] => {
            for at in ["127.0.0.1:8081", "127.0.0.1:8082"] {
                let listener = TcpListener::bind(at)?;
                thread::spawn(move || listen(&listener, engine));
            }
            println!("two engines and a bulletin are up");
            listen(&TcpListener::bind("127.0.0.1:8500")?, bulletin)
        }
        ["ask", class, statement] => ask(class, statement),
        _ => Err(io::Error::other("toy serve | toy ask CLASS STATEMENT")),
    }
}

/// Serves each connection on a thread: `answer` returns the head fields and the body for the first line of a
/// call.
fn listen(listener: &TcpListener, answer: fn(&str) -> (String, String)) -> io::Result<()> {
    for stream in listener.incoming() {
        let mut stream = BufReader::new(stream?);
        thread::spawn(move || while serve(&mut stream, answer).is_ok() {});
    }
    Ok(())
}

fn serve(stream: &mut BufReader<TcpStream>, answer: fn(&str) -> (String, String)) -> io::Result<()> {
    let (mut first, mut length) = (String::new(), 0);
    stream.read_line(&mut first)?;
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        if let Some(value) = line.strip_prefix("Content-Length: ") {
            length = value.trim().parse().unwrap_or(0);
        }
        if line == "\r\n" {
            break;
        }
    }
    stream.read_exact(&mut vec![0; length])?;
    let (fields, body) = answer(first.trim());
    let head = format!("HTTP/1.1 200 OK\r\n{fields}Content-Length: {}\r\n\r\n", body.len());
    stream.get_mut().write_all((head + &body).as_bytes())
}

/// Every query ends at once with one page of two rows.
fn engine(call: &str) -> (String, String) {
    println!("{call}");
    ("X-Batches: 1\r\nX-Stats: waiting:0;cpu:0.1\r\n".to_owned(), "1\tone\tx\n2\ttwo\ty\n".to_owned())
}

fn bulletin(_: &str) -> (String, String) {
    thread::sleep(Duration::from_millis(200));
    (String::new(), r#"{"no":1,"items":[]}"#.to_owned())
}

fn ask(class: &str, statement: &str) -> io::Result<()> {
    let id = SystemTime::now().duration_since(UNIX_EPOCH).map_err(io::Error::other)?.as_nanos() as u64;
    let (id, mut message) = (format!("{id:016x}"), Vec::new());
    encode::write_array_len(&mut message, 4)?;
    encode::write_uint(&mut message, 0)?;
    encode::write_uint(&mut message, 1)?;
    encode::write_str(&mut message, class)?;
    encode::write_array_len(&mut message, 2)?;
    encode::write_map_len(&mut message, 4)?;
    for text in ["id", &id, "wait", "3000", "cost", "820.0", "ram", "96"] {
        encode::write_str(&mut message, text)?;
    }
    encode::write_bin(&mut message, statement.as_bytes())?;
    let mut stream = TcpStream::connect("127.0.0.1:9090")?;
    stream.write_all(&message)?;
    let mut answer = BufReader::new(stream);
    decode::read_array_len(&mut answer).map_err(io::Error::other)?;
    for _ in 0..2 {
        decode::read_int::<u32, _>(&mut answer).map_err(io::Error::other)?;
    }
    // The error comes first, or nil followed by the result.
    let served = answer.fill_buf()?.first() == Some(&Marker::Null.to_u8());
    if served {
        decode::read_nil(&mut answer).map_err(io::Error::other)?;
    }
    decode::read_array_len(&mut answer).map_err(io::Error::other)?;
    let read = if served { decode::read_bin_len } else { decode::read_str_len };
    let mut text = vec![0; read(&mut answer).map_err(io::Error::other)? as usize];
    answer.read_exact(&mut text)?;
    println!("{}", String::from_utf8_lossy(&text).trim_end());
    Ok(())
}
