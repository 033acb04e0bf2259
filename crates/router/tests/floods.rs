//! Clients that send small or unsound messages at full speed, and what they cost other clients.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use woadhook_standins::calls::{is_for_job, is_post, unused_address};
use woadhook_standins::*;

const ROWS: &str = "a\tb\tc\n";
/// How long after its wait a request may still be answered.
const ANSWER_SLACK: Duration = Duration::from_millis(500);

/// A client that sends messages without a pause, reads what it is sent and connects again when it is turned
/// away, until it is dropped.
struct Flood {
    ends: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Flood {
    /// `messages` returns the bytes to send next; the number counts the calls for one connection.
    fn start(to: SocketAddr, messages: impl Fn(u32) -> Vec<u8> + Send + 'static) -> Self {
        let ends = Arc::new(AtomicBool::new(false));
        let flag = ends.clone();
        let thread = thread::spawn(move || {
            while !flag.load(Ordering::Relaxed) {
                let Ok(stream) = TcpStream::connect(to) else { continue };
                send_without_pause(&stream, &messages, &flag);
                let _ = stream.shutdown(Shutdown::Both);
            }
        });
        Self { ends, thread: Some(thread) }
    }
}

impl Drop for Flood {
    fn drop(&mut self) {
        self.ends.store(true, Ordering::Relaxed);
        let _ = self.thread.take().map(JoinHandle::join);
    }
}

fn send_without_pause(mut stream: &TcpStream, messages: &impl Fn(u32) -> Vec<u8>, ends: &AtomicBool) {
    stream.set_write_timeout(Some(Duration::from_millis(100))).unwrap();
    let mut reader = stream.try_clone().unwrap();
    let reading =
        thread::spawn(move || while reader.read(&mut [0; 16 * 1024]).is_ok_and(|count| count > 0) {});
    let (mut calls, mut unsent) = (0, Vec::new());
    while !ends.load(Ordering::Relaxed) && !reading.is_finished() {
        if unsent.is_empty() {
            unsent = messages(calls);
            calls += 1;
        }
        match stream.write(&unsent) {
            Ok(count) => drop(unsent.drain(..count)),
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
            Err(_) => break,
        }
    }
    let _ = stream.shutdown(Shutdown::Both);
    let _ = reading.join();
}

/// Requests of a class that doesn't exist.
fn refused_requests(call: u32) -> Vec<u8> {
    const AT_ONCE: u32 = 300;
    let numbers = call * AT_ONCE + 1..=(call + 1) * AT_ONCE;
    numbers.flat_map(|number| Client::encode_job(number, "nothing", "0", 1_000, "")).collect()
}

/// Guards against clients that are refused at full speed and keep their descriptors: an accepted request of
/// another client would wait unread behind them.
#[test]
fn a_client_gets_a_descriptor_from_clients_that_are_refused_without_a_pause() {
    const WAIT: Duration = Duration::from_secs(4);
    // There are 42 descriptors for clients. Forty clients hold theirs, as they await an answer.
    const BUSY_CLIENTS: u32 = 40;
    const FLOODING_CLIENTS: u32 = 2;
    const ENGINES: usize = 10;
    let answer = |call: &Call| {
        if is_for_job(call, 99) {
            return result_page(call, &[ROWS]);
        }
        let pause = Duration::from_millis(if is_post(call) { 0 } else { 200 });
        Response::Delayed(pause, Box::new(response(202, &[], "")))
    };
    let engines: Vec<_> = (0..ENGINES).map(|_| StandinServer::start(answer)).collect();
    let addresses: Vec<_> = engines.iter().map(|engine| engine.address).collect();
    let router = RouterThread::start_with_config(&router_config(&addresses, unused_address(), 128));
    let address = router.address;
    let _floods: Vec<_> = (0..FLOODING_CLIENTS).map(|_| Flood::start(address, refused_requests)).collect();
    thread::sleep(Duration::from_millis(500));
    let mut busy: Vec<_> = (0..BUSY_CLIENTS).map(|_| Client::connect(&router)).collect();
    for (index, client) in busy.iter_mut().enumerate() {
        client.send_job(1 + index as u32, "look", 20_000);
    }
    let mut later = Client::connect(&router);
    let sent = Instant::now();
    later.send_job(99, "look", WAIT.as_millis() as u32);
    assert_eq!(later.receive().0, 99);
    assert!(sent.elapsed() < WAIT + ANSWER_SLACK, "answered after {:?}", sent.elapsed());
}

/// Guards against a client that keeps the router busy with messages that get no answer, such as withdrawals of
/// unknown requests: others would wait for their turns.
#[test]
fn a_client_that_withdraws_unknown_requests_without_a_pause_is_read_slowly() {
    const WITHDRAWALS: usize = 1_500;
    /// These are read at once, and then one in 2 ms.
    const AT_ONCE: usize = 512;
    let engine = StandinServer::start(|call| result_page(call, &[ROWS]));
    let router = RouterThread::start_with_idle_discovery(&[engine.address]);
    let mut client = Client::connect(&router);
    let began = Instant::now();
    (0..WITHDRAWALS).for_each(|_| client.send_abort(7));
    assert!(client.ping(0));
    let expected = Duration::from_millis(2) * (WITHDRAWALS - AT_ONCE) as u32;
    assert!(began.elapsed() >= expected / 2, "read within {:?}", began.elapsed());
}
