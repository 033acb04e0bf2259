//! Discovery answers late, slowly, or not at all on some connections, and the router still receives changes
//! of the engine list in time.

use std::io::Write;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use woadhook_standins::discovery::query_param;
use woadhook_standins::*;

const ROWS: &str = "a\tb\tc\n";
/// The number of engines in a list that arrives in many pieces.
const LONG_LIST_ENGINES: usize = 200;

/// The engine list in one event, followed by the event in which the first engine begins to drain.
fn events(engines: &[SocketAddr]) -> Vec<Value> {
    let entry = |(number, at): (usize, &SocketAddr)| roster_member(&format!("s-{number}"), *at, "SERVING");
    let all: Vec<Value> = engines.iter().enumerate().map(entry).collect();
    let draining = vec![roster_member("s-0", engines[0], "DRAINING")];
    vec![
        json!({"no": 1, "roster": {"revision": 1, "complete": true, "members": all}}),
        json!({"no": 2, "roster": {"revision": 2, "complete": false, "members": draining}}),
    ]
}

/// Discovery's answer to a call: all events after the number in the call.
fn answer_after(events: &[Value], call: &Call) -> Response {
    let after = query_param(call, "after");
    let items: Vec<&Value> = events.iter().filter(|event| event["no"].as_u64() > Some(after)).collect();
    response(200, &[], &json!({"no": 2, "items": items}).to_string())
}

fn engine() -> StandinServer {
    StandinServer::start(|call| result_page(call, &[ROWS]))
}

/// Checks that no query is sent to the draining engine once the router has acknowledged the drain to
/// discovery.
fn assert_drain_is_obeyed(router: &RouterThread, discovery: &StandinServer, engines: &[StandinServer; 2]) {
    discovery.wait_for_call("GET /bulletins?after=2&");
    engines[0].received_calls("POST");
    let mut client = Client::connect(router);
    for number in 1..=20 {
        client.send_job(number, "look", 20_000);
        assert_eq!(client.receive(), (number, Ok(ROWS.to_owned())));
    }
    assert_eq!(engines[0].received_calls("POST").len(), 0);
    assert_eq!(engines[1].received_calls("POST").len(), 20);
}

/// Threat: an overloaded discovery answers late. The grace period is a second here, and a call asks discovery
/// to wait for at most a quarter of it. In the last case the first connection also never gets an answer.
#[test]
fn a_drain_is_obeyed_with_a_discovery_that_answers_late() {
    for (late, first_is_silent) in [(600, false), (2_000, false), (2_000, true)] {
        let engines = [engine(), engine()];
        let addresses = [engines[0].address, engines[1].address];
        let (events, late) = (events(&addresses), Duration::from_millis(late));
        let discovery = StandinServer::start(move |call| match call.connection {
            0 if first_is_silent => Response::NoResponse,
            _ => Response::Delayed(late, Box::new(answer_after(&events, call))),
        });
        let router = RouterThread::start(&addresses, discovery.address);
        assert_drain_is_obeyed(&router, &discovery, &engines);
    }
}

/// Threat: a router starts while discovery is overloaded by all the other routers that start.
#[test]
fn a_router_without_a_list_becomes_ready_with_a_discovery_that_answers_late() {
    let engine = engine();
    let events = events(&[unused_address(), engine.address]);
    let late = Duration::from_millis(1_500);
    let discovery =
        StandinServer::start(move |call| Response::Delayed(late, Box::new(answer_after(&events, call))));
    let mut config: Value = serde_json::from_str(&router_config(&[], discovery.address, 1024)).unwrap();
    config["known"] = json!({});
    let router = RouterThread::start_with_config(&config.to_string());
    let deadline = Instant::now() + TEST_TIMEOUT;
    let mut client = Client::connect(&router);
    while !client.ping(0) {
        assert!(Instant::now() < deadline, "not ready");
        thread::sleep(Duration::from_millis(20));
    }
    // Requesting a complete list with each call would overload discovery.
    let full_requests = discovery.received_calls("GET /bulletins?after=0&").len();
    assert!(full_requests <= 3, "the complete list was requested {full_requests} times");
}

/// Threat: a list arrives slowly, but completely.
#[test]
fn a_long_list_that_arrives_in_pieces_is_read_completely() {
    let engines = [engine(), engine()];
    let mut addresses = vec![engines[0].address, engines[1].address];
    let known = addresses.clone();
    addresses.resize(LONG_LIST_ENGINES, unused_address());
    let (events, gap) = (events(&addresses[..2]), Duration::from_millis(25));
    // Entries of engines that are gone, so that the pieces take two seconds.
    let gone: Vec<Value> = (2..LONG_LIST_ENGINES)
        .map(|number| roster_member(&format!("s-{number}"), unused_address(), "DELETED"))
        .collect();
    let mut long = events.clone();
    long[1]["roster"]["members"].as_array_mut().unwrap().extend(gone);
    let discovery = StandinServer::start(move |call| {
        let Response::Full(status, fields, body) = answer_after(&long, call) else { unreachable!() };
        let piece = body.len().div_ceil(80);
        if query_param(call, "after") < 2 {
            Response::InPieces(status, fields, body, piece, gap)
        } else {
            Response::NoResponse
        }
    });
    let router = RouterThread::start(&known, discovery.address);
    assert_drain_is_obeyed(&router, &discovery, &engines);
}

/// An address at which nothing listens.
fn unused_address() -> SocketAddr {
    std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

/// The number of table groups of the queries.
const TABLE_GROUPS: u32 = 12;
/// The tolerance that the protocol gives each time limit.
const SLACK: Duration = Duration::from_millis(50);

/// When the last query arrived at one of the two engines.
type LastQuery = Arc<Mutex<Option<Instant>>>;

fn recording_engine(last: &LastQuery) -> StandinServer {
    let last = last.clone();
    StandinServer::start(move |call| {
        if call.line.starts_with("POST") {
            *last.lock().unwrap() = Some(Instant::now());
        }
        result_page(call, &[ROWS])
    })
}

/// Runs a router against a discovery that determines its answer at once and delivers it late by `late`. Right
/// after it has determined the answer to one call, an engine begins to drain and another one is replaced,
/// which the answer to the next call reports. Returns how long after the change the last query was sent to
/// either engine. Reloads move the router to another discovery at the times `moves` after the change.
fn last_query_after_a_change(late: Duration, grace: Duration, moves: &[Duration]) -> Duration {
    /// The number of the call after which the list changes: calls go out at a steady rate by then.
    const CALL_BEFORE_CHANGE: usize = 10;
    let last = LastQuery::default();
    let (draining, gone) = (recording_engine(&last), recording_engine(&last));
    let (remaining, added) = (engine(), engine());
    let addresses = [draining.address, gone.address, remaining.address];
    let events = DiscoveryEvents::default();
    let serving = |(number, at): (usize, &SocketAddr)| roster_member(&format!("s-{number}"), *at, "SERVING");
    events.add(1, addresses.iter().enumerate().map(serving).collect());
    let changed = Arc::new(Mutex::new(None::<Instant>));
    let (change_time, changes) = (
        changed.clone(),
        vec![
            roster_member("s-0", draining.address, "DRAINING"),
            roster_member("s-1", gone.address, "DELETED"),
            roster_member("s-3", added.address, "SERVING"),
        ],
    );
    let (mut calls, discovery_events) = (0, events.clone());
    let discovery = StandinServer::start(move |call| {
        calls += 1;
        let answer = discovery_events.answer_at_once(call);
        if calls == CALL_BEFORE_CHANGE {
            *change_time.lock().unwrap() = Some(Instant::now());
            discovery_events.add(2, changes.clone());
        }
        Response::Delayed(late, Box::new(answer))
    });
    let other_discovery = |_: &Duration| {
        let events = events.clone();
        StandinServer::start(move |call| Response::Delayed(late, Box::new(events.answer_at_once(call))))
    };
    let others: Vec<StandinServer> = moves.iter().map(other_discovery).collect();
    let mut config: Value =
        serde_json::from_str(&router_config(&addresses, discovery.address, 1024)).unwrap();
    config["settings"]["obligations"]["stopSendingWithinUs"] = json!(grace.as_micros() as u64);
    let router = RouterThread::start_with_config(&config.to_string());
    let mut client = Client::connect(&router);
    let (mut number, deadline) = (0, Instant::now() + grace * 12);
    let mut remaining_moves = moves.iter().zip(&others).peekable();
    while changed.lock().unwrap().is_none_or(|at| at.elapsed() < grace.mul_f64(1.7)) {
        assert!(Instant::now() < deadline, "the list did not change");
        // The queries use tables of many groups, so that all engines have work.
        for _ in 0..TABLE_GROUPS {
            number += 1;
            let (id, text) =
                (format!("{number:016x}"), format!("select 1 from sales_{}.x", number % TABLE_GROUPS));
            client.0.write_all(&Client::encode_job(number, "look", &id, 20_000, &text)).unwrap();
        }
        (0..TABLE_GROUPS).for_each(|_| assert!(client.receive().1.is_ok()));
        let since_change = changed.lock().unwrap().map_or(Duration::ZERO, |at| at.elapsed());
        if let Some((_, to)) = remaining_moves.next_if(|(at, _)| since_change >= **at) {
            config["bulletin"] = json!(to.address.to_string());
            let parsed = woadhook_router::config::parse(&config.to_string(), None);
            router.commands.send_blocking(woadhook_router::stop::OperatorCommand::Reload(parsed)).unwrap();
        }
        thread::sleep(Duration::from_millis(5));
    }
    let (last, changed) = (*last.lock().unwrap(), *changed.lock().unwrap());
    last.unwrap().saturating_duration_since(changed.unwrap())
}

/// Checks that no query is sent to either engine later than the grace period after the change, with answers
/// that are late by `parts` of the grace period.
fn assert_changes_are_obeyed_in_time(parts: &[f64]) {
    let grace = Duration::from_secs(3);
    let start = |part: &f64| {
        let part = *part;
        (part, thread::spawn(move || last_query_after_a_change(grace.mul_f64(part), grace, &[])))
    };
    let runs: Vec<_> = parts.iter().map(start).collect();
    let last_queries: Vec<(f64, Duration)> =
        runs.into_iter().map(|(part, run)| (part, run.join().unwrap())).collect();
    let too_late: Vec<&(f64, Duration)> =
        last_queries.iter().filter(|(_, last)| *last > grace + SLACK).collect();
    assert!(
        too_late.is_empty(),
        "last queries after the change, by lateness: {last_queries:?}, the grace period is {grace:?}"
    );
}

/// Threat: the answers of discovery take most of the grace period. Calls used to go out 0.375 of the grace
/// period apart, so the router learned of a change that much later than an answer takes. Measured with a
/// grace period of 2 s: with answers late by 0.5 of it the last query was sent 0.88 of it after the change,
/// with 0.7 1.08, with 0.95 1.34.
#[test]
fn changes_are_obeyed_in_time_with_a_discovery_late_by_most_of_the_grace() {
    assert_changes_are_obeyed_in_time(&[0.5, 0.6, 0.7, 0.75]);
}

/// With answers this late, being in time is beyond what the limited number of concurrent calls can achieve.
#[test]
fn changes_are_heard_in_time_from_a_discovery_late_by_nearly_all_of_the_grace() {
    assert_changes_are_obeyed_in_time(&[0.85, 0.95]);
}

/// Found by the soak, seed 109: two reloads in a row, each right before the late answer of the discovery from
/// which it moves the router away. A new address used to end the calls to the old one, so that each reload
/// restarted the wait for an answer.
#[test]
fn a_change_is_obeyed_in_time_when_discovery_moves_during_its_late_answers() {
    let grace = Duration::from_secs(3);
    let late = grace.mul_f64(0.4);
    let moves = [grace.mul_f64(0.3), grace.mul_f64(0.65)];
    let last = last_query_after_a_change(late, grace, &moves);
    assert!(
        last <= grace + SLACK,
        "the last query was sent {last:?} after the change, the grace period is {grace:?}"
    );
}
