//! An engine that drains under a query: it closes its port, resets what is up and works on. Whenever in the query's life that comes, and
//! whether its client stays or leaves, the next query of its key goes out once the first one is surely over. By the protocol that is when
//! it ended, was given up, or was not asked for in 2 s.
//!
//! More steps by hand: `STEPS=200 cargo test -p woadhook-router --test drain_resets`.

use std::env;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use woadhook_standins::*;

const ROWS: &str = "a\tb\tc\n";
const ENGINES: usize = 3;
/// Between two plays, the drain comes so much later in the query's life.
const STEP: Duration = Duration::from_millis(20);
/// So many plays cover the life of a query, 4 s.
const ALL_STEPS: usize = 200;
const STEPS_IN_CI: usize = 20;
/// Plays at once.
const AT_ONCE: usize = 20;
/// When the client leaves, where it does.
const LEAVES_AFTER: Duration = Duration::from_millis(300);
/// Between a port that closes and the reset.
const BEFORE_RESET: Duration = Duration::from_millis(60);
/// An engine ends a query that was not asked for in this time.
const UNASKED: Duration = Duration::from_secs(2);
/// How long the first client waits.
const WAIT: &str = "5000";

/// What the engines saw of two queries of one key.
#[derive(Default)]
struct Seen {
    /// The engine that has the first one, and when it came.
    first: Option<(usize, Instant)>,
    /// When that one was asked for last, and when it was given up.
    asked: Option<Instant>,
    deleted: Option<Instant>,
    second: Option<Instant>,
}

impl Seen {
    /// Since when the first one surely runs no more.
    fn over(&self) -> Instant {
        let unasked = self.asked.expect("it came") + UNASKED;
        self.deleted.map_or(unasked, |deleted| deleted.min(unasked))
    }
}

fn engine(number: usize, seen: &Arc<Mutex<Seen>>) -> StandinServer {
    let seen = seen.clone();
    StandinServer::on_listener(ports::listener(), move |call| {
        let (mut seen, now) = (seen.lock().unwrap(), Instant::now());
        let is_first = call.line.contains("0000000000000001")
            || call.fields.contains(&"X-Trace: 0000000000000001".into());
        let still_running = || response(202, &[], "");
        match call.line.split(' ').next() {
            Some("POST") if is_first => {
                (seen.first, seen.asked) = (Some((number, now)), Some(now));
                still_running()
            }
            Some("GET") if is_first => {
                seen.asked = Some(now);
                Response::Delayed(Duration::from_millis(50), Box::new(still_running()))
            }
            Some("DELETE") => {
                seen.deleted.get_or_insert(now);
                response(204, &[], "")
            }
            Some("POST") => {
                seen.second.get_or_insert(now);
                result_page(call, &[ROWS])
            }
            _ => result_page(call, &[ROWS]),
        }
    })
}

/// The fault of one play, in which the engine of the first query drains so long behind it.
fn play(drains_after: Duration, leaves: bool) -> Result<(), String> {
    let seen: Arc<Mutex<Seen>> = Arc::default();
    let engines: Vec<StandinServer> = (0..ENGINES).map(|number| engine(number, &seen)).collect();
    let addresses: Vec<_> = engines.iter().map(|engine| engine.address).collect();
    let events = DiscoveryEvents::default();
    let discovery = events.serve();
    let mut given: Value = serde_json::from_str(&router_config(&addresses, discovery.address, 1024)).unwrap();
    given["settings"]["obligations"]["turnGapUs"] = json!(50_000);
    given["settings"]["classes"][1]["keepOrder"] = json!(true);
    let router = RouterThread::start_with_config(&given.to_string());
    let mut client = Client::connect(&router);
    for (number, id, wait) in [(1, "0000000000000001", WAIT), (2, "0000000000000002", "20000")] {
        let fields = [("id", id), ("wait", wait), ("cost", "10"), ("ram", "1"), ("key", "k")];
        client
            .0
            .write_all(&Client::encode_request(number, "load", &fields, "select 1 from sales_1.x"))
            .unwrap();
    }
    let by = Instant::now() + TEST_TIMEOUT;
    let (number, began) = loop {
        if let Some(first) = seen.lock().unwrap().first {
            break first;
        }
        assert!(Instant::now() < by, "the first query comes nowhere");
        thread::sleep(Duration::from_millis(1));
    };
    let mut steps = vec![(drains_after, 0), (drains_after + BEFORE_RESET, 1)];
    steps.extend(leaves.then_some((LEAVES_AFTER, 2)));
    steps.sort();
    for (at, step) in steps {
        thread::sleep((began + at).saturating_duration_since(Instant::now()));
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
    let seen = seen.lock().unwrap();
    let (second, over) = (seen.second.expect("it was answered"), seen.over());
    if second < over {
        let early = over - second;
        return Err(format!("drains after {drains_after:?}, client leaves: {leaves}: {early:?} too early"));
    }
    Ok(())
}

/// Guards against an order of a key that ends with a reset, a refusal or an answer that confirms nothing.
#[test]
fn the_order_of_a_key_holds_whenever_its_engine_drains_and_resets() {
    let steps = env::var("STEPS").ok().and_then(|steps| steps.parse().ok()).unwrap_or(STEPS_IN_CI);
    let every = (ALL_STEPS / steps).max(1) as u32;
    let all: Vec<u32> = (0..steps as u32).collect();
    let mut faults = Vec::new();
    for some in all.chunks(AT_ONCE) {
        let plays: Vec<_> = some
            .iter()
            .map(|step| (STEP * *step * every, step % 2 == 0))
            .map(|(after, leaves)| thread::spawn(move || play(after, leaves)))
            .collect();
        faults.extend(plays.into_iter().filter_map(|play| play.join().expect("a play").err()));
    }
    assert!(faults.is_empty(), "{faults:#?}");
}
