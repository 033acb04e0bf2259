//! Discovery that answers late, slowly, or not at all on some connections: changes of the engine list are heard all the same.

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use woadhook_standins::bulletin::asked;
use woadhook_standins::*;

const ROWS: &str = "a\tb\tc\n";
/// How many engines a list has that comes in many pieces.
const LONG_LIST: usize = 200;

/// The engine list in one event, and behind it the event in which the first engine begins to drain.
fn events(engines: &[SocketAddr]) -> Vec<Value> {
    let line = |(number, at): (usize, &SocketAddr)| member(&format!("s-{number}"), *at, "SERVING");
    let all: Vec<Value> = engines.iter().enumerate().map(line).collect();
    let drains = vec![member("s-0", engines[0], "DRAINING")];
    vec![
        json!({"no": 1, "roster": {"revision": 1, "complete": true, "members": all}}),
        json!({"no": 2, "roster": {"revision": 2, "complete": false, "members": drains}}),
    ]
}

/// What discovery answers at once to a call: all events behind the number that it asks with.
fn later(events: &[Value], call: &Call) -> Says {
    let after = asked(call, "after");
    let items: Vec<&Value> = events.iter().filter(|event| event["no"].as_u64() > Some(after)).collect();
    says(200, &[], &json!({"no": 2, "items": items}).to_string())
}

fn engine() -> Standin {
    Standin::start(|call| pages(call, &[ROWS]))
}

/// Once the router has told discovery that it knows of the drain, nothing goes to the engine that drains.
fn the_drain_is_heard(router: &Running, discovery: &Standin, engines: &[Standin; 2]) {
    discovery.awaits("GET /bulletins?after=2&");
    engines[0].had("POST");
    let mut client = Client::new(router);
    for number in 1..=20 {
        client.asks(number, "look", 20_000);
        assert_eq!(client.hears(), (number, Ok(ROWS.to_owned())));
    }
    assert_eq!(engines[0].had("POST").len(), 0);
    assert_eq!(engines[1].had("POST").len(), 20);
}

/// Threat: a crowded discovery. The grace is a second here, a quarter of it the longest that a call asks to wait. In the last
/// case the first watch falls silent for good besides.
#[test]
fn a_drain_is_heard_from_a_discovery_that_answers_late() {
    for (late, first_is_silent) in [(600, false), (2_000, false), (2_000, true)] {
        let engines = [engine(), engine()];
        let addresses = [engines[0].address, engines[1].address];
        let (events, late) = (events(&addresses), Duration::from_millis(late));
        let discovery = Standin::start(move |call| match call.connection {
            0 if first_is_silent => Says::Nothing,
            _ => Says::Late(late, Box::new(later(&events, call))),
        });
        let router = Running::start(&addresses, discovery.address);
        the_drain_is_heard(&router, &discovery, &engines);
    }
}

/// Threat: a router that starts while discovery is crowded, by all the others that start.
#[test]
fn a_router_that_knows_nothing_gets_ready_by_a_discovery_that_answers_late() {
    let engine = engine();
    let events = events(&[nobody(), engine.address]);
    let late = Duration::from_millis(1_500);
    let discovery = Standin::start(move |call| Says::Late(late, Box::new(later(&events, call))));
    let mut told: Value = serde_json::from_str(&told(&[], discovery.address, 1024)).unwrap();
    told["known"] = json!({});
    let router = Running::with(&told.to_string());
    let by = Instant::now() + LONG;
    let mut client = Client::new(&router);
    while !client.pings(0) {
        assert!(Instant::now() < by, "not ready");
        thread::sleep(Duration::from_millis(20));
    }
    // A whole list at each call would be what crowds it.
    let whole = discovery.had("GET /bulletins?after=0&").len();
    assert!(whole <= 3, "the whole list was asked for {whole} times");
}

/// Threat: a list that takes its time on the way, but comes.
#[test]
fn a_long_list_that_comes_in_pieces_is_read_to_its_end() {
    let engines = [engine(), engine()];
    let mut addresses = vec![engines[0].address, engines[1].address];
    let known = addresses.clone();
    addresses.resize(LONG_LIST, nobody());
    let (events, gap) = (events(&addresses[..2]), Duration::from_millis(25));
    // Lines that are gone, so that the pieces take two seconds.
    let gone: Vec<Value> =
        (2..LONG_LIST).map(|number| member(&format!("s-{number}"), nobody(), "DELETED")).collect();
    let mut long = events.clone();
    long[1]["roster"]["members"].as_array_mut().unwrap().extend(gone);
    let discovery = Standin::start(move |call| {
        let Says::Answer(status, fields, body) = later(&long, call) else { unreachable!() };
        let piece = body.len().div_ceil(80);
        if asked(call, "after") < 2 { Says::Slow(status, fields, body, piece, gap) } else { Says::Nothing }
    });
    let router = Running::start(&known, discovery.address);
    the_drain_is_heard(&router, &discovery, &engines);
}

/// An address where nothing listens.
fn nobody() -> SocketAddr {
    std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}
