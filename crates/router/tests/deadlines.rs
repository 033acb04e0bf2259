//! A request's time counts from when its bytes may have come, not from when they are read: what engines are told of the time
//! that is left is no more than the client has.

use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

use rustix::process::Signal;
use woadhook_standins::folders;
use woadhook_standins::processes::RouterProcess;
use woadhook_standins::*;

const ROWS: &str = "a\tb\tc\n";
/// How long the client of each request waits.
const WAIT: u32 = 3_000;
/// What a deadline may be passed on too long.
const SLACK: Duration = Duration::from_millis(150);

fn process(story: &str, engine: &StandinServer) -> RouterProcess {
    let folder = folders::run_folder(env!("CARGO_TARGET_TMPDIR"), &format!("deadlines-{story}"));
    let told = router_config(&[engine.address], "127.0.0.1:1".parse().unwrap(), 1024);
    let process = RouterProcess::start(env!("CARGO_BIN_EXE_woadhook"), &folder, "n0", &told);
    process.wait_until_ready();
    process
}

fn client(of: &RouterProcess) -> Client {
    let stream = TcpStream::connect(of.address).unwrap();
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    Client(stream)
}

/// The time left that the engine was told for the next query.
fn told_left(engine: &StandinServer) -> Duration {
    let call = engine.wait_for_call("POST");
    let field = call.fields.iter().find_map(|field| field.strip_prefix("X-Patience: ")).unwrap();
    Duration::from_millis(field.parse().unwrap())
}

/// The request was written at least so long before it went on.
fn assert_no_longer(left: Duration, passed: Duration, case: &str) {
    let most = Duration::from_millis(WAIT.into()).saturating_sub(passed) + SLACK;
    assert!(left <= most, "{case}: told {left:?}, the client has {most:?} at the most, slack and all");
}

#[test]
fn the_time_in_which_a_process_stood_is_off_the_deadline_that_is_passed_on() {
    for case in ["a connection that was up", "a connection made meanwhile"] {
        let engine = StandinServer::start(|call| result_page(call, &[ROWS]));
        let router = process("stood", &engine);
        let mut before = client(&router);
        assert!(before.ping(0));
        router.signal(Signal::STOP);
        let sent = Instant::now();
        let mut client = if case.ends_with("up") { before } else { client(&router) };
        client.send_job(1, "load", WAIT);
        thread::sleep(Duration::from_millis(1_000));
        let passed = sent.elapsed();
        router.signal(Signal::CONT);
        assert_no_longer(told_left(&engine), passed, case);
        assert_eq!(client.receive(), (1, Ok(ROWS.to_owned())));
    }
}

#[test]
fn the_time_behind_refused_requests_is_off_the_deadline_that_is_passed_on() {
    /// The router answers 512 at once and then one each 2 ms.
    const REFUSED: u32 = 1_499;
    const PASSED: Duration = Duration::from_millis((REFUSED as u64 - 512) * 2 - 150);
    let engine = StandinServer::start(|call| result_page(call, &[ROWS]));
    let router = process("refused", &engine);
    let mut client = client(&router);
    assert!(client.ping(0));
    let refused = |number| Client::encode_job(number, "nothing", "0", 1_000, "");
    let mut bytes: Vec<u8> = (1..=REFUSED).flat_map(refused).collect();
    bytes.extend(Client::encode_job(2_000, "load", "00000000000007d0", WAIT, "select 1 from sales_1.x"));
    client.0.write_all(&bytes).unwrap();
    for number in 1..=REFUSED {
        assert_eq!(client.receive().0, number);
    }
    assert_no_longer(told_left(&engine), PASSED, "behind refused requests");
    assert_eq!(client.receive(), (2_000, Ok(ROWS.to_owned())));
}

/// Threat: what is taken off where nothing kept the request would cost service.
#[test]
fn nothing_is_taken_off_the_time_of_a_request_that_is_read_at_once() {
    let engine = StandinServer::start(|call| result_page(call, &[ROWS]));
    let router = process("at-once", &engine);
    let mut client = client(&router);
    assert!(client.ping(0));
    let whole = (1..=20).filter(|number| {
        thread::sleep(Duration::from_millis(150));
        client.send_job(*number, "load", WAIT);
        let left = told_left(&engine);
        assert_eq!(client.receive(), (*number, Ok(ROWS.to_owned())));
        left >= Duration::from_millis(u64::from(WAIT) - 100)
    });
    assert!(whole.count() >= 10, "most are read at once, also on a slow machine");
}
