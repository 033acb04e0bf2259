//! A request's time counts from the earliest moment at which its bytes may have arrived, not from when they
//! are read: the time left that an engine is given never exceeds what the client has left.

use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

use rustix::process::Signal;
use woadhook_standins::folders;
use woadhook_standins::processes::RouterProcess;
use woadhook_standins::*;

const ROWS: &str = "a\tb\tc\n";
/// How long the client of each request waits, in milliseconds.
const WAIT_MS: u32 = 3_000;
/// The maximum by which a deadline that is passed on may be too long.
const SLACK: Duration = Duration::from_millis(150);

fn process(scenario: &str, engine: &StandinServer) -> RouterProcess {
    let folder = folders::run_folder(env!("CARGO_TARGET_TMPDIR"), &format!("deadlines-{scenario}"));
    let config = router_config(&[engine.address], "127.0.0.1:1".parse().unwrap(), 1024);
    let process = RouterProcess::start(env!("CARGO_BIN_EXE_woadhook"), &folder, "n0", &config);
    process.wait_until_ready();
    process
}

fn client(process: &RouterProcess) -> Client {
    let stream = TcpStream::connect(process.address).unwrap();
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    Client(stream)
}

/// The time left that the engine received with the next query.
fn received_time_left(engine: &StandinServer) -> Duration {
    let call = engine.wait_for_call("POST");
    let field = call.fields.iter().find_map(|field| field.strip_prefix("X-Patience: ")).unwrap();
    Duration::from_millis(field.parse().unwrap())
}

/// Checks the time left of a request that was written at least `elapsed` before it was sent on.
fn assert_time_left(left: Duration, elapsed: Duration, case: &str) {
    let limit = Duration::from_millis(WAIT_MS.into()).saturating_sub(elapsed) + SLACK;
    assert!(
        left <= limit,
        "{case}: the engine was given {left:?}, the client has at most {limit:?} including the slack"
    );
}

#[test]
fn time_while_the_process_is_suspended_is_deducted_from_the_deadline() {
    for case in ["a connection that was already up", "a connection made meanwhile"] {
        let engine = StandinServer::start(|call| result_page(call, &[ROWS]));
        let router = process("stood", &engine);
        let mut before = client(&router);
        assert!(before.ping(0));
        router.signal(Signal::STOP);
        let sent = Instant::now();
        let mut client = if case.ends_with("up") { before } else { client(&router) };
        client.send_job(1, "load", WAIT_MS);
        thread::sleep(Duration::from_millis(1_000));
        let elapsed = sent.elapsed();
        router.signal(Signal::CONT);
        assert_time_left(received_time_left(&engine), elapsed, case);
        assert_eq!(client.receive(), (1, Ok(ROWS.to_owned())));
    }
}

#[test]
fn time_spent_behind_refused_requests_is_deducted_from_the_deadline() {
    /// The router answers 512 refused requests at once and then one every 2 ms.
    const REFUSED_REQUESTS: u32 = 1_499;
    const MIN_ELAPSED: Duration = Duration::from_millis((REFUSED_REQUESTS as u64 - 512) * 2 - 150);
    let engine = StandinServer::start(|call| result_page(call, &[ROWS]));
    let router = process("refused", &engine);
    let mut client = client(&router);
    assert!(client.ping(0));
    let refused_request = |number| Client::encode_job(number, "nothing", "0", 1_000, "");
    let mut bytes: Vec<u8> = (1..=REFUSED_REQUESTS).flat_map(refused_request).collect();
    bytes.extend(Client::encode_job(2_000, "load", "00000000000007d0", WAIT_MS, "select 1 from sales_1.x"));
    client.0.write_all(&bytes).unwrap();
    for number in 1..=REFUSED_REQUESTS {
        assert_eq!(client.receive().0, number);
    }
    assert_time_left(received_time_left(&engine), MIN_ELAPSED, "behind refused requests");
    assert_eq!(client.receive(), (2_000, Ok(ROWS.to_owned())));
}

/// Threat: time that is deducted from a request that nothing delayed would cost service.
#[test]
fn no_time_is_deducted_from_a_request_that_is_read_at_once() {
    let engine = StandinServer::start(|call| result_page(call, &[ROWS]));
    let router = process("at-once", &engine);
    let mut client = client(&router);
    assert!(client.ping(0));
    let undiminished = (1..=20).filter(|number| {
        thread::sleep(Duration::from_millis(150));
        client.send_job(*number, "load", WAIT_MS);
        let left = received_time_left(&engine);
        assert_eq!(client.receive(), (*number, Ok(ROWS.to_owned())));
        left >= Duration::from_millis(u64::from(WAIT_MS) - 100)
    });
    assert!(undiminished.count() >= 10, "most are read at once, also on a slow machine");
}
