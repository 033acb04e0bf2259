//! A panic in the task of one query: its client gets one final answer, and the order of its key holds.
//!
//! A task that panicked used to report its dispatch as reset and not in doubt, so the next query of the key
//! was sent at once, beside the first one, which its engine still ran; after a panic later on, the key was
//! never reported as settled. The panic is forced by a logger of this test that panics at a log line of the
//! query's task.

use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use log::{Level, LevelFilter, Log, Metadata, Record};
use serde_json::{Value, json};
use woadhook_standins::*;

const ROWS: &str = "a\tb\tc\n";
/// The pause of a key (`turnGapUs`): how long no further job of the key is sent after a dispatch in doubt.
const KEY_PAUSE: Duration = Duration::from_millis(50);

/// A logger that panics once at a line that begins with `start`.
struct PanickingLogger {
    start: Mutex<Option<&'static str>>,
    has_panicked: AtomicBool,
    /// How often a key was logged as in doubt.
    doubts: AtomicUsize,
}

static LOGGER: PanickingLogger = PanickingLogger {
    start: Mutex::new(None),
    has_panicked: AtomicBool::new(false),
    doubts: AtomicUsize::new(0),
};
/// The tests run one at a time, as they share the logger.
static SERIAL: Mutex<()> = Mutex::new(());

impl Log for PanickingLogger {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        metadata.level() <= Level::Debug
    }

    fn log(&self, record: &Record<'_>) {
        let line = record.args().to_string();
        if line.starts_with("its key is in doubt") {
            self.doubts.fetch_add(1, Ordering::SeqCst);
        }
        let mut start = self.start.lock().unwrap_or_else(PoisonError::into_inner);
        if start.is_some_and(|start| line.starts_with(start)) {
            *start = None;
            drop(start);
            self.has_panicked.store(true, Ordering::SeqCst);
            panic!("forced at: {line}");
        }
    }

    fn flush(&self) {}
}

fn panic_at(start: &'static str) {
    let _ = log::set_logger(&LOGGER);
    log::set_max_level(LevelFilter::Debug);
    LOGGER.has_panicked.store(false, Ordering::SeqCst);
    *LOGGER.start.lock().unwrap() = Some(start);
}

fn unused_address() -> std::net::SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

/// The result of two loads of one key.
struct Outcome {
    /// Whether the engine still ran the first load when the second one arrived.
    ran_concurrently: bool,
    answers: [Answer; 2],
}

/// An answer with its request's number.
type Answer = (u32, Result<String, String>);

/// Sends two loads of one key to an engine that runs the first one while the connection to it breaks.
fn two_loads_of_one_key(panics_at: &'static str) -> Outcome {
    let ran_concurrently = Arc::new(AtomicBool::new(false));
    let concurrent = ran_concurrently.clone();
    let (mut deletes, mut cancelled) = (0, false);
    let engine = StandinServer::start(move |call| {
        let has_first_path = call.line.contains("0000000000000001");
        let has_first_trace = call.fields.contains(&"X-Trace: 0000000000000001".to_owned());
        match call.line.split(' ').next() {
            Some("POST") if has_first_trace => response(202, &[], ""),
            Some("GET") if has_first_path => Response::CloseConnection,
            Some("DELETE") if has_first_path => {
                deletes += 1;
                // The first DELETE breaks, so that the task of the query reports the cancellation.
                cancelled = deletes > 1;
                if cancelled { response(204, &[], "") } else { Response::CloseConnection }
            }
            _ => {
                if call.line.starts_with("POST") && !cancelled {
                    concurrent.store(true, Ordering::SeqCst);
                }
                result_page(call, &[ROWS])
            }
        }
    });
    let mut config: Value =
        serde_json::from_str(&router_config(&[engine.address], unused_address(), 1024)).unwrap();
    config["settings"]["obligations"]["turnGapUs"] = json!(KEY_PAUSE.as_micros() as u64);
    config["settings"]["classes"][1]["keepOrder"] = json!(true);
    let router = RouterThread::start_with_config(&config.to_string());
    let mut client = Client::connect(&router);
    panic_at(panics_at);
    (1..=2).for_each(|number| send_load(&mut client, number));
    let answers = [client.receive(), client.receive()];
    assert!(LOGGER.has_panicked.load(Ordering::SeqCst), "no line began with {panics_at}");
    assert!(client.ping(9), "the router continues to serve and sent no second answer");
    Outcome { ran_concurrently: ran_concurrently.load(Ordering::SeqCst), answers }
}

#[test]
fn a_panic_in_a_query_task_keeps_the_order_of_its_key_and_loses_no_answer() {
    let _serial = SERIAL.lock().unwrap_or_else(PoisonError::into_inner);
    let Outcome { ran_concurrently, answers } = two_loads_of_one_key("asked");
    assert!(!ran_concurrently, "the second load was sent while the first one ran");
    assert_eq!(answers, [(1, Err("Internal".to_owned())), (2, Ok(ROWS.to_owned()))]);
}

#[test]
fn a_panic_while_a_query_is_cancelled_keeps_the_order_of_its_key_and_releases_it() {
    let _serial = SERIAL.lock().unwrap_or_else(PoisonError::into_inner);
    let Outcome { ran_concurrently, answers } = two_loads_of_one_key("deleted");
    assert!(!ran_concurrently, "the second load was sent while the first one ran");
    assert_eq!(answers, [(1, Err("Internal".to_owned())), (2, Ok(ROWS.to_owned()))]);
}

/// Guards against two attempts of one request at once: the end of the dispatch of a task that panicked was
/// reported at once, and the job was sent again while its query ran.
#[test]
fn a_panic_in_a_query_task_gives_its_query_up_before_the_job_is_sent_again() {
    let _serial = SERIAL.lock().unwrap_or_else(PoisonError::into_inner);
    let (mut is_running, ran_twice) = (false, Arc::new(AtomicBool::new(false)));
    let twice = ran_twice.clone();
    let mut posts = 0;
    let engine = StandinServer::start(move |call| match call.line.split(' ').next() {
        Some("POST") => {
            posts += 1;
            twice.fetch_or(is_running, Ordering::SeqCst);
            is_running = posts == 1;
            if is_running { response(202, &[], "") } else { result_page(call, &[ROWS]) }
        }
        Some("GET") if call.line.starts_with("GET /v2") => Response::CloseConnection,
        Some("DELETE") => {
            is_running = false;
            response(204, &[], "")
        }
        _ => response(200, &[], ""),
    });
    let router = RouterThread::start_with_idle_discovery(&[engine.address]);
    let mut client = Client::connect(&router);
    panic_at("asked");
    client.send_job(1, "look", 15_000);
    assert_eq!(client.receive(), (1, Ok(ROWS.to_owned())));
    assert!(LOGGER.has_panicked.load(Ordering::SeqCst), "the task did not panic");
    assert!(!ran_twice.load(Ordering::SeqCst), "the job was sent again while its query ran");
}

fn send_load(client: &mut Client, number: u32) {
    let id = format!("{number:016x}");
    let fields = [("id", id.as_str()), ("wait", "15000"), ("cost", "10"), ("ram", "1"), ("key", "k")];
    let message = Client::encode_request(number, "load", &fields, "select 1 from sales_1.x");
    std::io::Write::write_all(&mut client.0, &message).unwrap();
}

/// Waits until one more key is logged as in doubt.
fn wait_for_doubt(before: usize) {
    let deadline = Instant::now() + TEST_TIMEOUT;
    while LOGGER.doubts.load(Ordering::SeqCst) == before {
        assert!(Instant::now() < deadline, "no key is in doubt");
        thread::sleep(Duration::from_millis(5));
    }
}

/// The state of the first of three loads of a key when the decision module panics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum First {
    /// Its engine runs it.
    Running,
    /// Its client aborted it, and its engine has not confirmed that it was cancelled.
    InDoubt,
}

/// Guards against a decision module that restarts and forgets which keys have a query that runs or may run:
/// the next query of the key was sent at once.
#[test]
fn a_panic_of_the_decision_module_keeps_the_order_of_a_key_whose_query_may_run() {
    let _serial = SERIAL.lock().unwrap_or_else(PoisonError::into_inner);
    for first in [First::Running, First::InDoubt] {
        let (ran_concurrently, cancelled) =
            (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
        let (concurrent, is_cancelled) = (ran_concurrently.clone(), cancelled.clone());
        let engine = StandinServer::start(move |call| {
            let is_first = call.line.contains("0000000000000001")
                || call.fields.contains(&"X-Trace: 0000000000000001".to_owned());
            match call.line.split(' ').next() {
                Some("POST") if is_first => response(202, &[], ""),
                Some("GET") if is_first => {
                    Response::Delayed(Duration::from_millis(100), Box::new(response(202, &[], "")))
                }
                Some("DELETE") if !is_cancelled.load(Ordering::SeqCst) => Response::CloseConnection,
                _ => {
                    let is_too_early = call.line.starts_with("POST") && !is_cancelled.load(Ordering::SeqCst);
                    concurrent.fetch_or(is_too_early, Ordering::SeqCst);
                    result_page(call, &[ROWS])
                }
            }
        });
        let mut config: Value =
            serde_json::from_str(&router_config(&[engine.address], unused_address(), 1024)).unwrap();
        config["settings"]["obligations"]["turnGapUs"] = json!(KEY_PAUSE.as_micros() as u64);
        config["settings"]["classes"][1]["keepOrder"] = json!(true);
        let router = RouterThread::start_with_config(&config.to_string());
        let mut client = Client::connect(&router);
        send_load(&mut client, 1);
        engine.wait_for_call("GET");
        if first == First::InDoubt {
            let before = LOGGER.doubts.load(Ordering::SeqCst);
            client.send_abort(1);
            wait_for_doubt(before);
        }
        panic_at("job taken");
        send_load(&mut client, 2);
        engine.wait_for_call("DELETE");
        send_load(&mut client, 3);
        // By the time of several attempts to cancel the first load, a router that had forgotten the key would
        // have sent the third load.
        (0..5).for_each(|_| _ = engine.wait_for_call("DELETE"));
        cancelled.store(true, Ordering::SeqCst);
        let expected_count = if first == First::Running { 3 } else { 2 };
        let mut answers: Vec<Answer> = (0..expected_count).map(|_| client.receive()).collect();
        answers.sort_by_key(|(number, _)| *number);
        let failed = |number| (number, Err("Internal".to_owned()));
        let expected = [failed(1), failed(2), (3, Ok(ROWS.to_owned()))];
        assert_eq!(answers, expected[3 - expected_count..], "{first:?}");
        assert!(LOGGER.has_panicked.load(Ordering::SeqCst), "the decision module did not panic");
        assert!(
            !ran_concurrently.load(Ordering::SeqCst),
            "the third load was sent while the first one ran: {first:?}"
        );
    }
}
