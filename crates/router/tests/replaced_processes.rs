//! Processes that come up at the address of an earlier one, which still holds its connections.

use std::net::TcpListener;
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde_json::json;
use woadhook_standins::*;

const ROWS: &str = "a\tb\tc\n";
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
