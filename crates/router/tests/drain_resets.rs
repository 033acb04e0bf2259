//! An engine drains during a query: it closes its port, resets its connections and continues to work. At
//! whatever time of the query that happens, and whether its client stays or leaves, the next query of its
//! order key is sent only when the first one can no longer run. By the protocol that is when it has ended,
//! was cancelled, or was not polled for 2 s.
//!
//! The environment variable `STEPS` sets the number of runs: `STEPS=200 cargo test -p woadhook-router --test
//! drain_resets`.

use std::env;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use woadhook_standins::*;

const ROWS: &str = "a\tb\tc\n";
const ENGINES: usize = 3;
/// How much later the drain begins from one run to the next.
const STEP: Duration = Duration::from_millis(20);
/// The number of runs that covers the time of a query, 4 s.
const TOTAL_STEPS: usize = 200;
const STEPS_IN_CI: usize = 20;
/// The number of runs that go on at the same time.
const CONCURRENT_RUNS: usize = 20;
/// The time after which the client leaves, in the runs in which it leaves.
const CLIENT_LEAVES_AFTER: Duration = Duration::from_millis(300);
/// The time between the closing of the port and the reset.
const BEFORE_RESET: Duration = Duration::from_millis(60);
/// An engine ends a query that was not polled for this long.
const UNPOLLED_EXPIRY: Duration = Duration::from_secs(2);
/// How long the first client waits, in milliseconds.
const FIRST_WAIT_MS: &str = "5000";

/// What the engines observed of two queries with one order key.
#[derive(Default)]
struct Observed {
    /// The engine that received the first query, and when.
    first: Option<(usize, Instant)>,
    /// When the first query was last polled.
    last_polled: Option<Instant>,
    /// When the first query was cancelled.
    deleted: Option<Instant>,
    /// When the second query arrived.
    second: Option<Instant>,
}

impl Observed {
    /// The time from which the first query can no longer run.
    fn first_ended_by(&self) -> Instant {
        let unpolled_end = self.last_polled.expect("the first query arrived") + UNPOLLED_EXPIRY;
        self.deleted.map_or(unpolled_end, |deleted| deleted.min(unpolled_end))
    }
}

fn engine(number: usize, observed: &Arc<Mutex<Observed>>) -> StandinServer {
    let observed = observed.clone();
    StandinServer::on_listener(ports::listener(), move |call| {
        let (mut observed, now) = (observed.lock().unwrap(), Instant::now());
        let is_first = call.line.contains("0000000000000001")
            || call.fields.contains(&"X-Trace: 0000000000000001".into());
        let still_running = || response(202, &[], "");
        match call.line.split(' ').next() {
            Some("POST") if is_first => {
                (observed.first, observed.last_polled) = (Some((number, now)), Some(now));
                still_running()
            }
            Some("GET") if is_first => {
                observed.last_polled = Some(now);
                Response::Delayed(Duration::from_millis(50), Box::new(still_running()))
            }
            Some("DELETE") => {
                observed.deleted.get_or_insert(now);
                response(204, &[], "")
            }
            Some("POST") => {
                observed.second.get_or_insert(now);
                result_page(call, &[ROWS])
            }
            _ => result_page(call, &[ROWS]),
        }
    })
}

/// Runs the scenario once: the engine of the first query begins to drain `drains_after` its arrival. Returns
/// an error if the next query was sent too early.
fn run(drains_after: Duration, client_leaves: bool) -> Result<(), String> {
    let observed: Arc<Mutex<Observed>> = Arc::default();
    let engines: Vec<StandinServer> = (0..ENGINES).map(|number| engine(number, &observed)).collect();
    let addresses: Vec<_> = engines.iter().map(|engine| engine.address).collect();
    let events = DiscoveryEvents::default();
    let discovery = events.serve();
    let mut config: Value =
        serde_json::from_str(&router_config(&addresses, discovery.address, 1024)).unwrap();
    config["settings"]["obligations"]["turnGapUs"] = json!(50_000);
    config["settings"]["classes"][1]["keepOrder"] = json!(true);
    let router = RouterThread::start_with_config(&config.to_string());
    let mut client = Client::connect(&router);
    for (number, id, wait) in [(1, "0000000000000001", FIRST_WAIT_MS), (2, "0000000000000002", "20000")] {
        let fields = [("id", id), ("wait", wait), ("cost", "10"), ("ram", "1"), ("key", "k")];
        client
            .0
            .write_all(&Client::encode_request(number, "load", &fields, "select 1 from sales_1.x"))
            .unwrap();
    }
    let deadline = Instant::now() + TEST_TIMEOUT;
    let (number, began) = loop {
        if let Some(first) = observed.lock().unwrap().first {
            break first;
        }
        assert!(Instant::now() < deadline, "no engine received the first query");
        thread::sleep(Duration::from_millis(1));
    };
    let mut steps = vec![(drains_after, 0), (drains_after + BEFORE_RESET, 1)];
    steps.extend(client_leaves.then_some((CLIENT_LEAVES_AFTER, 2)));
    steps.sort();
    for (offset, step) in steps {
        thread::sleep((began + offset).saturating_duration_since(Instant::now()));
        match step {
            0 => {
                events.add(2, vec![roster_member(&format!("s-{number}"), addresses[number], "DRAINING")]);
                engines[number].refuse_connections();
            }
            1 => engines[number].end_process(),
            _ => client.send_abort(1),
        }
    }
    while client.receive().0 != 2 {}
    let observed = observed.lock().unwrap();
    let (second, first_ended_by) =
        (observed.second.expect("the second query was answered"), observed.first_ended_by());
    if second < first_ended_by {
        let too_early_by = first_ended_by - second;
        return Err(format!(
            "drains after {drains_after:?}, client leaves = {client_leaves}: sent {too_early_by:?} too early"
        ));
    }
    Ok(())
}

/// Guards against releasing the order key on a reset, a refused connection or an answer that confirms
/// nothing.
#[test]
fn the_order_of_a_key_holds_whenever_its_engine_drains_and_resets() {
    let steps = env::var("STEPS").ok().and_then(|steps| steps.parse().ok()).unwrap_or(STEPS_IN_CI);
    let stride = (TOTAL_STEPS / steps).max(1) as u32;
    let all: Vec<u32> = (0..steps as u32).collect();
    let mut errors = Vec::new();
    for batch in all.chunks(CONCURRENT_RUNS) {
        let runs: Vec<_> = batch
            .iter()
            .map(|step| (STEP * *step * stride, step % 2 == 0))
            .map(|(after, client_leaves)| thread::spawn(move || run(after, client_leaves)))
            .collect();
        errors.extend(runs.into_iter().filter_map(|run| run.join().expect("the run does not panic").err()));
    }
    assert!(errors.is_empty(), "{errors:#?}");
}
