//! Wall clocks that differ by an hour between this router, discovery and engines, or step: an engine that just started is
//! cold all the same, and not for longer than the settings say.

use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde_json::{Value, json};
use woadhook_standins::*;

const ROWS: &str = "a\tb\tc\n";
const HOUR: i64 = 3_600_000;
/// Jobs that are asked for at once, of a second of work each.
const JOBS: u32 = 30;
/// A window of the cold start is a second here. Four routers may send 0.3 x 8 cores x 2 in it, of which a window uses half:
/// a job for each of two routers that have the turn.
const LOOK: Duration = Duration::from_millis(1_500);
const MOST_IN_A_LOOK: usize = 3;

fn unix_millis() -> i64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as i64
}

/// The line of the one engine, which started when its clock showed the present time and so many milliseconds more.
fn started(engine: &StandinServer, ahead: i64) -> Value {
    let mut line = roster_member("s-0", engine.address, "SERVING");
    line["up_since_ms"] = json!(unix_millis() + ahead);
    line
}

/// What one of four routers is told.
fn told_one_of_four(engine: &StandinServer, events: &DiscoveryEvents, first: Value) -> String {
    let mut told: Value =
        serde_json::from_str(&router_config(&[engine.address], events.serve().address, 1024)).unwrap();
    told["settings"]["replicasOfMe"] = json!(4);
    told["settings"]["obligations"]["coldUs"] = json!(4_000_000);
    told["known"]["items"][0]["roster"]["members"] = json!([first]);
    told.to_string()
}

/// Asks for all jobs; few go out at first, and all are served once the cold start is over.
fn is_taken_as_cold(router: &RouterThread, engine: &StandinServer) {
    engine.received_calls("POST");
    let mut client = Client::connect(router);
    for number in 1..=JOBS {
        let id = format!("{number:016x}");
        let fields = [("id", id.as_str()), ("wait", "50000"), ("cost", "1000"), ("ram", "16")];
        let request = Client::encode_request(number, "look", &fields, "select 1 from sales_1.x");
        std::io::Write::write_all(&mut client.0, &request).unwrap();
    }
    thread::sleep(LOOK);
    let sent = engine.received_calls("POST").len();
    assert!(sent <= MOST_IN_A_LOOK, "{sent} jobs at once at an engine that just started");
    for _ in 1..=JOBS {
        assert_eq!(client.receive().1, Ok(ROWS.to_owned()));
    }
}

/// A router that runs hears of a start.
fn hears_of_a_start(
    before: impl FnOnce(&StandinServer) -> Value, start: impl FnOnce(&StandinServer) -> Value,
) {
    let engine = StandinServer::start(|call| result_page(call, &[ROWS]));
    let events = DiscoveryEvents::default();
    let router = RouterThread::start_with_config(&told_one_of_four(&engine, &events, before(&engine)));
    // It lets a window pass after its own start.
    thread::sleep(Duration::from_millis(1_100));
    events.add(2, vec![start(&engine)]);
    let mut client = Client::connect(&router);
    while !client.ping(0) {}
    thread::sleep(Duration::from_millis(100));
    is_taken_as_cold(&router, &engine);
}

#[test]
fn an_engine_whose_start_is_told_an_hour_wrong_is_cold_for_its_time() {
    let never = |engine: &StandinServer| roster_member("s-0", engine.address, "SERVING");
    for ahead in [-HOUR, 0, HOUR] {
        hears_of_a_start(never, |engine| started(engine, ahead));
    }
    // Its own clock stepped back between two starts.
    hears_of_a_start(|engine| started(engine, -HOUR), |engine| started(engine, -2 * HOUR));
}

/// The list that a router starts with may tell of a start by a clock that is an hour behind its own.
#[test]
fn a_restarted_router_whose_clock_is_an_hour_ahead_takes_the_newest_engine_as_cold() {
    let engine = StandinServer::start(|call| result_page(call, &[ROWS]));
    let router = RouterThread::start_with_config(&told_one_of_four(
        &engine,
        &DiscoveryEvents::default(),
        started(&engine, -HOUR),
    ));
    thread::sleep(Duration::from_millis(1_200));
    is_taken_as_cold(&router, &engine);
}
