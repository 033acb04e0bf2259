//! Wall clocks of the router, discovery and engines that differ by an hour or step: an engine that has just
//! started is still treated as cold, and no longer than the settings say.

use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde_json::{Value, json};
use woadhook_standins::*;

const ROWS: &str = "a\tb\tc\n";
const HOUR_MS: i64 = 3_600_000;
/// The number of jobs that are requested at once, each with one second of work.
const JOBS: u32 = 30;
/// The time after which sent jobs are counted. A window of the cold start lasts one second here. Four routers
/// may send 0.3 x 8 cores x 2 in it, of which a window uses half: one job for each of the two routers whose
/// turn it is.
const OBSERVATION_TIME: Duration = Duration::from_millis(1_500);
const MAX_JOBS_OBSERVED: usize = 3;

fn unix_millis() -> i64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as i64
}

/// The engine list's entry for the engine, which started when its clock showed the present time plus
/// `ahead_ms`.
fn started_member(engine: &StandinServer, ahead_ms: i64) -> Value {
    let mut line = roster_member("s-0", engine.address, "SERVING");
    line["up_since_ms"] = json!(unix_millis() + ahead_ms);
    line
}

/// The configuration of one of four routers.
fn config_of_one_of_four(engine: &StandinServer, events: &DiscoveryEvents, first: Value) -> String {
    let mut config: Value =
        serde_json::from_str(&router_config(&[engine.address], events.serve().address, 1024)).unwrap();
    config["settings"]["replicasOfMe"] = json!(4);
    config["settings"]["obligations"]["coldUs"] = json!(4_000_000);
    config["known"]["items"][0]["roster"]["members"] = json!([first]);
    config.to_string()
}

/// Requests all jobs and checks that few are sent at first, and that all are served once the cold start is
/// over.
fn assert_treated_as_cold(router: &RouterThread, engine: &StandinServer) {
    engine.received_calls("POST");
    let mut client = Client::connect(router);
    for number in 1..=JOBS {
        let id = format!("{number:016x}");
        let fields = [("id", id.as_str()), ("wait", "50000"), ("cost", "1000"), ("ram", "16")];
        let request = Client::encode_request(number, "look", &fields, "select 1 from sales_1.x");
        std::io::Write::write_all(&mut client.0, &request).unwrap();
    }
    thread::sleep(OBSERVATION_TIME);
    let sent = engine.received_calls("POST").len();
    assert!(sent <= MAX_JOBS_OBSERVED, "{sent} jobs were sent to an engine that has just started");
    for _ in 1..=JOBS {
        assert_eq!(client.receive().1, Ok(ROWS.to_owned()));
    }
}

/// Checks that a running router treats an engine as cold once discovery has reported the engine's start.
fn check_reported_start(
    before: impl FnOnce(&StandinServer) -> Value, start: impl FnOnce(&StandinServer) -> Value,
) {
    let engine = StandinServer::start(|call| result_page(call, &[ROWS]));
    let events = DiscoveryEvents::default();
    let router = RouterThread::start_with_config(&config_of_one_of_four(&engine, &events, before(&engine)));
    // The router lets one window pass after its own start.
    thread::sleep(Duration::from_millis(1_100));
    events.add(2, vec![start(&engine)]);
    let mut client = Client::connect(&router);
    while !client.ping(0) {}
    thread::sleep(Duration::from_millis(100));
    assert_treated_as_cold(&router, &engine);
}

#[test]
fn an_engine_whose_start_time_is_an_hour_off_is_cold_as_configured() {
    let without_start = |engine: &StandinServer| roster_member("s-0", engine.address, "SERVING");
    for ahead_ms in [-HOUR_MS, 0, HOUR_MS] {
        check_reported_start(without_start, |engine| started_member(engine, ahead_ms));
    }
    // The engine's clock stepped back between two starts.
    check_reported_start(
        |engine| started_member(engine, -HOUR_MS),
        |engine| started_member(engine, -2 * HOUR_MS),
    );
}

/// The list that a router starts with may hold a start time from a clock that is an hour behind the router's
/// own.
#[test]
fn a_restarted_router_with_a_clock_an_hour_ahead_treats_a_new_engine_as_cold() {
    let engine = StandinServer::start(|call| result_page(call, &[ROWS]));
    let router = RouterThread::start_with_config(&config_of_one_of_four(
        &engine,
        &DiscoveryEvents::default(),
        started_member(&engine, -HOUR_MS),
    ));
    thread::sleep(Duration::from_millis(1_200));
    assert_treated_as_cold(&router, &engine);
}
