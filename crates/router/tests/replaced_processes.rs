//! Processes that come up at the address of an earlier one, which still holds its connections.

use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde_json::json;
use woadhook_standins::calls::{FirstCall, LastCall, first_choice_config, is_post};
use woadhook_standins::*;

const ROWS: &str = "a\tb\tc\n";
/// By the protocol an engine ends a query that was not polled for this long.
const UNPOLLED_EXPIRY: Duration = Duration::from_secs(2);
/// A connection to an engine stays idle for at least this long before it serves another job.
const MIN_IDLE_TIME: Duration = Duration::from_millis(100);

/// The list's line of an engine that was started anew just now, with the same name and address.
fn restarted(name: &str, engine: &StandinServer) -> serde_json::Value {
    let mut member = roster_member(name, engine.address, "SERVING");
    let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("a time after 1970");
    member["up_since_ms"] = json!(now.as_millis() as u64);
    member
}

/// Starts an engine at the address of one that closed its port.
fn take_over(
    port_of: &StandinServer, answer: impl FnMut(&Call) -> Response + Send + 'static,
) -> StandinServer {
    let listener = TcpListener::bind(port_of.address).expect("the port is free");
    StandinServer::on_listener(listener, answer)
}

/// Guards against sending jobs over idle connections to a process that drains, once another one with its name
/// and address is listed.
#[test]
fn jobs_for_a_restarted_engine_do_not_go_over_connections_to_its_earlier_process() {
    const JOBS: u32 = 20;
    let engine = StandinServer::start(|call| result_page(call, &[ROWS]));
    let events = DiscoveryEvents::default();
    let discovery = events.serve();
    let router = RouterThread::start_with_config(&router_config(&[engine.address], discovery.address, 1024));
    let mut client = Client::connect(&router);
    (1..=JOBS).for_each(|number| client.send_job(number, "look", 20_000));
    (1..=JOBS).for_each(|_| assert!(client.receive().1.is_ok()));
    thread::sleep(MIN_IDLE_TIME * 2);
    engine.refuse_connections();
    let successor = take_over(&engine, |call| result_page(call, &[ROWS]));
    engine.received_calls("");
    events.add(2, vec![restarted("s-0", &successor)]);
    discovery.wait_for_call("GET /bulletins?after=2");
    (1..=JOBS).for_each(|number| client.send_job(JOBS + number, "look", 20_000));
    (1..=JOBS).for_each(|_| assert!(client.receive().1.is_ok()));
    assert!(engine.received_calls("POST").is_empty(), "the earlier process got new jobs");
    assert_eq!(successor.received_calls("POST").len(), JOBS as usize);
}

/// Guards against two attempts of one job at once: its engine closed its port and runs its query, and the
/// process that has the port now answers that it does not know the query, or confirms that it was given up.
#[test]
fn a_job_is_not_sent_again_while_a_replaced_process_may_run_it() {
    let (last_polled, sent_again) = (LastCall::default(), FirstCall::default());
    let (poll_recorder, successor_recorder, elsewhere_recorder) =
        (last_polled.clone(), sent_again.clone(), sent_again.clone());
    let is_replaced = Arc::new(AtomicBool::new(false));
    let loses_connection = is_replaced.clone();
    let replaced = StandinServer::start(move |call| {
        poll_recorder.record(is_post(call) || call.line.starts_with("GET /v2"));
        let still_running = response(202, &[], "");
        match call.line.split(' ').next() {
            Some("POST") => Response::ClosePort(Box::new(still_running)),
            _ if loses_connection.load(Ordering::SeqCst) => Response::CloseConnection,
            _ => Response::Delayed(Duration::from_millis(50), Box::new(still_running)),
        }
    });
    let elsewhere = StandinServer::start(move |call| {
        elsewhere_recorder.record(is_post(call));
        result_page(call, &[ROWS])
    });
    let events = DiscoveryEvents::default();
    let discovery = events.serve();
    let config = first_choice_config(replaced.address, elsewhere.address, discovery.address);
    let mut client = Client::connect(&RouterThread::start_with_config(&config));
    client.send_job(1, "look", 20_000);
    replaced.wait_for_call("GET /v2");
    let mut knows_job = false;
    let successor = take_over(&replaced, move |call| {
        knows_job |= is_post(call);
        successor_recorder.record(is_post(call));
        match call.line.split(' ').next() {
            Some("GET") if call.line.starts_with("GET /v2") && !knows_job => response(500, &[], ""),
            _ => result_page(call, &[ROWS]),
        }
    });
    events.add(2, vec![restarted("s-0", &successor)]);
    discovery.wait_for_call("GET /bulletins?after=2");
    is_replaced.store(true, Ordering::SeqCst);
    assert_eq!(client.receive(), (1, Ok(ROWS.to_owned())));
    let waited = sent_again.at().saturating_duration_since(last_polled.at());
    assert!(waited >= UNPOLLED_EXPIRY, "sent again after {waited:?}");
}
