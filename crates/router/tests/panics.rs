//! A fault of ours in the task of one query: its client gets one final answer, and the order of its key holds.
//!
//! What happened before: a task that panicked told the module that its dispatch was reset, with no word of doubt, so the next of its key
//! went out at once beside the first one, which its engine still ran; behind a panic later on, the key was never told settled. The
//! panic is forced by a logger of this test that panics at a line of the query's task.

use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use log::{Level, LevelFilter, Log, Metadata, Record};
use serde_json::{Value, json};
use woadhook_standins::*;

const ROWS: &str = "a\tb\tc\n";
/// How long a key rests after a doubt.
const GAP: Duration = Duration::from_millis(50);

/// Panics once at a line that begins so.
struct PanicsAt {
    start: Mutex<Option<&'static str>>,
    has_panicked: AtomicBool,
    /// How often a key was told to be in doubt.
    doubts: AtomicUsize,
}

static LOGGER: PanicsAt =
    PanicsAt { start: Mutex::new(None), has_panicked: AtomicBool::new(false), doubts: AtomicUsize::new(0) };
/// One test at a time, as they share the logger.
static ALONE: Mutex<()> = Mutex::new(());

impl Log for PanicsAt {
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

fn nobody() -> std::net::SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

/// What came of two loads of one key.
struct Outcome {
    /// Whether the engine ran the first one still as the second one came.
    runs_beside: bool,
    answers: [Answer; 2],
}

/// An answer, by its number.
type Answer = (u32, Result<String, String>);

/// Two loads of one key at an engine that works on the first one behind a connection that breaks.
fn two_loads_of_one_key(panics_at: &'static str) -> Outcome {
    let runs_beside = Arc::new(AtomicBool::new(false));
    let beside = runs_beside.clone();
    let (mut deletes, mut given_up) = (0, false);
    let engine = StandinServer::start(move |call| {
        let of_first = call.line.contains("0000000000000001");
        let first = call.fields.contains(&"X-Trace: 0000000000000001".to_owned());
        match call.line.split(' ').next() {
            Some("POST") if first => response(202, &[], ""),
            Some("GET") if of_first => Response::CloseConnection,
            Some("DELETE") if of_first => {
                deletes += 1;
                // The first call that gives it up breaks, so that its task tells of it.
                given_up = deletes > 1;
                if given_up { response(204, &[], "") } else { Response::CloseConnection }
            }
            _ => {
                if call.line.starts_with("POST") && !given_up {
                    beside.store(true, Ordering::SeqCst);
                }
                result_page(call, &[ROWS])
            }
        }
    });
    let mut told: Value = serde_json::from_str(&router_config(&[engine.address], nobody(), 1024)).unwrap();
    told["settings"]["obligations"]["turnGapUs"] = json!(GAP.as_micros() as u64);
    told["settings"]["classes"][1]["keepOrder"] = json!(true);
    let router = RouterThread::start_with_config(&told.to_string());
    let mut client = Client::connect(&router);
    panic_at(panics_at);
    (1..=2).for_each(|number| ask_for_load(&mut client, number));
    let answers = [client.receive(), client.receive()];
    assert!(LOGGER.has_panicked.load(Ordering::SeqCst), "no line began with {panics_at}");
    assert!(client.ping(9), "it serves on, and no second answer came");
    Outcome { runs_beside: runs_beside.load(Ordering::SeqCst), answers }
}

#[test]
fn a_panic_in_the_task_of_a_query_keeps_the_order_of_its_key_and_owes_no_answer() {
    let _alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
    let Outcome { runs_beside, answers } = two_loads_of_one_key("asked");
    assert!(!runs_beside, "the second one was sent while the first one ran");
    assert_eq!(answers, [(1, Err("Internal".to_owned())), (2, Ok(ROWS.to_owned()))]);
}

#[test]
fn a_panic_while_a_query_is_given_up_keeps_the_order_of_its_key_and_does_not_hold_it_for_good() {
    let _alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
    let Outcome { runs_beside, answers } = two_loads_of_one_key("deleted");
    assert!(!runs_beside, "the second one was sent while the first one ran");
    assert_eq!(answers, [(1, Err("Internal".to_owned())), (2, Ok(ROWS.to_owned()))]);
}

fn ask_for_load(client: &mut Client, number: u32) {
    let id = format!("{number:016x}");
    let fields = [("id", id.as_str()), ("wait", "15000"), ("cost", "10"), ("ram", "1"), ("key", "k")];
    let message = Client::encode_request(number, "load", &fields, "select 1 from sales_1.x");
    std::io::Write::write_all(&mut client.0, &message).unwrap();
}

/// Waits until one more key is told to be in doubt.
fn await_doubt(before: usize) {
    let by = Instant::now() + TEST_TIMEOUT;
    while LOGGER.doubts.load(Ordering::SeqCst) == before {
        assert!(Instant::now() < by, "no key is in doubt");
        thread::sleep(Duration::from_millis(5));
    }
}

/// How the first of three loads of a key stands as the module panics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum First {
    /// Its engine runs it.
    Out,
    /// Its client left, and no engine has confirmed that it was given up.
    InDoubt,
}

/// Guards against a module that begins again and forgets which keys have a query that runs, or may run: the next one of the key went out at
/// once.
#[test]
fn a_panic_of_the_module_keeps_the_order_of_a_key_whose_query_may_run() {
    let _alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
    for first in [First::Out, First::InDoubt] {
        let (runs_beside, given_up) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
        let (beside, may_end) = (runs_beside.clone(), given_up.clone());
        let engine = StandinServer::start(move |call| {
            let is_first = call.line.contains("0000000000000001")
                || call.fields.contains(&"X-Trace: 0000000000000001".to_owned());
            match call.line.split(' ').next() {
                Some("POST") if is_first => response(202, &[], ""),
                Some("GET") if is_first => {
                    Response::Delayed(Duration::from_millis(100), Box::new(response(202, &[], "")))
                }
                Some("DELETE") if !may_end.load(Ordering::SeqCst) => Response::CloseConnection,
                _ => {
                    let is_early = call.line.starts_with("POST") && !may_end.load(Ordering::SeqCst);
                    beside.fetch_or(is_early, Ordering::SeqCst);
                    result_page(call, &[ROWS])
                }
            }
        });
        let mut told: Value =
            serde_json::from_str(&router_config(&[engine.address], nobody(), 1024)).unwrap();
        told["settings"]["obligations"]["turnGapUs"] = json!(GAP.as_micros() as u64);
        told["settings"]["classes"][1]["keepOrder"] = json!(true);
        let router = RouterThread::start_with_config(&told.to_string());
        let mut client = Client::connect(&router);
        ask_for_load(&mut client, 1);
        engine.wait_for_call("GET");
        if first == First::InDoubt {
            let before = LOGGER.doubts.load(Ordering::SeqCst);
            client.send_abort(1);
            await_doubt(before);
        }
        panic_at("job taken");
        ask_for_load(&mut client, 2);
        engine.wait_for_call("DELETE");
        ask_for_load(&mut client, 3);
        // Several tries to give the first one up; the third load has had its chance to go out by then.
        (0..5).for_each(|_| _ = engine.wait_for_call("DELETE"));
        given_up.store(true, Ordering::SeqCst);
        let owed = if first == First::Out { 3 } else { 2 };
        let mut answers: Vec<Answer> = (0..owed).map(|_| client.receive()).collect();
        answers.sort_by_key(|(number, _)| *number);
        let failed = |number| (number, Err("Internal".to_owned()));
        let expected = [failed(1), failed(2), (3, Ok(ROWS.to_owned()))];
        assert_eq!(answers, expected[3 - owed..], "{first:?}");
        assert!(LOGGER.has_panicked.load(Ordering::SeqCst), "the module did not panic");
        assert!(
            !runs_beside.load(Ordering::SeqCst),
            "the third one was sent while the first one ran: {first:?}"
        );
    }
}
