//! A fault of ours in the task of one query: its client gets one final answer, and the order of its key holds.
//!
//! What happened before: a task that panicked told the module that its dispatch was reset, with no word of doubt, so the next of its key
//! went out at once beside the first one, which its engine still ran; behind a panic later on, the key was never told settled. The
//! panic is forced by a logger of this test that panics at a line of the query's task.

use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

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
}

static LOGGER: PanicsAt = PanicsAt { start: Mutex::new(None), has_panicked: AtomicBool::new(false) };
/// One test at a time, as they share the logger.
static ALONE: Mutex<()> = Mutex::new(());

impl Log for PanicsAt {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        metadata.level() <= Level::Debug
    }

    fn log(&self, record: &Record<'_>) {
        let line = record.args().to_string();
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
    let engine = Standin::start(move |call| {
        let of_first = call.line.contains("0000000000000001");
        let first = call.fields.contains(&"X-Trace: 0000000000000001".to_owned());
        match call.line.split(' ').next() {
            Some("POST") if first => says(202, &[], ""),
            Some("GET") if of_first => Says::Cut,
            Some("DELETE") if of_first => {
                deletes += 1;
                // The first call that gives it up breaks, so that its task tells of it.
                given_up = deletes > 1;
                if given_up { says(204, &[], "") } else { Says::Cut }
            }
            _ => {
                if call.line.starts_with("POST") && !given_up {
                    beside.store(true, Ordering::SeqCst);
                }
                pages(call, &[ROWS])
            }
        }
    });
    let mut told: Value = serde_json::from_str(&told(&[engine.address], nobody(), 1024)).unwrap();
    told["settings"]["obligations"]["turnGapUs"] = json!(GAP.as_micros() as u64);
    told["settings"]["classes"][1]["keepOrder"] = json!(true);
    let router = Running::with(&told.to_string());
    let mut client = Client::new(&router);
    panic_at(panics_at);
    for (number, id) in [(1, "0000000000000001"), (2, "0000000000000002")] {
        let fields = [("id", id), ("wait", "15000"), ("cost", "10"), ("ram", "1"), ("key", "k")];
        let message = Client::request(number, "load", &fields, "select 1 from sales_1.x");
        std::io::Write::write_all(&mut client.0, &message).unwrap();
    }
    let answers = [client.hears(), client.hears()];
    assert!(LOGGER.has_panicked.load(Ordering::SeqCst), "no line began with {panics_at}");
    assert!(client.pings(9), "it serves on, and no second answer came");
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
