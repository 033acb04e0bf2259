//! A call that the router gave up must not reach its engine later. A partition, or an engine that hangs,
//! holds the call back: a POST would start a query that has been sent elsewhere or whose client has left, and
//! a poll would keep one running.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

use serde_json::json;
use woadhook_standins::calls::{
    FirstCall, LastCall, first_choice_config, is_for_job, is_post, modified_config, unused_address,
};
use woadhook_standins::folders;
use woadhook_standins::processes::RouterProcess;
use woadhook_standins::relays::{EndpointSet, Relays, Way};
use woadhook_standins::*;

const ROWS: &str = "a\tb\tc\n";
const ROUTER: &str = "router";
const ENGINE: &str = "engine";
/// A connection stays idle for this long before it serves another job.
const MIN_IDLE_TIME: Duration = Duration::from_millis(100);
/// By the protocol an engine answers a poll within 250 ms and ends a query that was not polled for 2 s.
const QUERY_EXPIRY: Duration = Duration::from_millis(2_250);
/// The DELETE of a query whose POST was not answered is repeated after this time.
const CONFIRMATION_PAUSE: Duration = Duration::from_millis(100);
/// A POST waits for its answer for this long.
const POST_TIMEOUT: Duration = Duration::from_millis(500);

/// An attempt must not begin later than this after its client has left.
const MAX_LATE_START: Duration = Duration::from_millis(100);

/// An engine behind a relay. It serves job 1 and keeps job 2 running.
struct PartitionedEngine {
    engine: StandinServer,
    relays: Relays,
    address: SocketAddr,
}

impl PartitionedEngine {
    fn start() -> Self {
        let engine = StandinServer::start(|call| {
            let still_running = || response(202, &[], "");
            match call.line.split(' ').next() {
                Some("POST") if is_for_job(call, 2) => still_running(),
                Some("GET") if call.line.contains("0000000000000002") => {
                    Response::Delayed(Duration::from_millis(50), Box::new(still_running()))
                }
                Some("GET") => response(200, &[], ""),
                _ => result_page(call, &[ROWS]),
            }
        });
        let relays = Relays::new(1);
        relays.add_party(ROUTER, "a", "");
        relays.add_party(ENGINE, "a", "");
        let address = relays.relay_address(ROUTER, ENGINE, engine.address);
        Self { engine, relays, address }
    }

    fn partition(&self) {
        let parties = (EndpointSet::party(ROUTER), EndpointSet::party(ENGINE), Way::CUT);
        self.relays.set_conditions([parties]);
    }

    /// Ends the partition and returns the calls that arrive until the engine is probed over a new connection.
    fn end_partition(&self) -> Vec<Call> {
        self.engine.received_calls("");
        self.relays.remove_all_conditions();
        self.engine.calls_until("GET /load")
    }
}

/// Leaves an idle connection to the engine behind, which is used for the next job.
fn serve_one_job(client: &mut Client) {
    client.send_job(1, "look", 20_000);
    assert_eq!(client.receive(), (1, Ok(ROWS.to_owned())));
    thread::sleep(MIN_IDLE_TIME * 2);
}

fn is_about_job_2(call: &Call) -> bool {
    is_for_job(call, 2) || call.line.contains("0000000000000002")
}

/// Guards against two attempts of one request at once: a partition holds up a POST, or a poll of a query that
/// runs, and it reaches its engine after the request was sent to another one.
#[test]
fn no_call_of_a_query_arrives_after_its_job_was_sent_elsewhere() {
    for is_posted_before in [false, true] {
        let partitioned = PartitionedEngine::start();
        let other = StandinServer::start(|call| result_page(call, &[ROWS]));
        let config = first_choice_config(partitioned.address, other.address, unused_address());
        let mut client = Client::connect(&RouterThread::start_with_config(&config));
        serve_one_job(&mut client);
        if is_posted_before {
            client.send_job(2, "look", 20_000);
            partitioned.engine.wait_for_call("GET /v2/q/0000000000000002/0");
        }
        partitioned.partition();
        if !is_posted_before {
            client.send_job(2, "look", 20_000);
        }
        assert_eq!(client.receive(), (2, Ok(ROWS.to_owned())));
        let late = partitioned.end_partition();
        assert!(!late.iter().any(is_about_job_2), "posted before: {is_posted_before}; {late:?}");
    }
}

/// Guards against a query that starts after its client has left: a partition holds up its POST.
#[test]
fn the_post_of_a_withdrawn_job_does_not_arrive_after_a_partition() {
    for (departure, key) in [("abort", None), ("close", None), ("abort", Some("k"))] {
        let partitioned = PartitionedEngine::start();
        let config = modified_config(&[partitioned.address], unused_address(), |config| {
            config["settings"]["classes"][1]["keepOrder"] = json!(true);
        });
        let router = RouterThread::start_with_config(&config);
        let (mut client, mut other) = (Client::connect(&router), Client::connect(&router));
        serve_one_job(&mut client);
        partitioned.partition();
        let mut fields = vec![("id", "0000000000000002"), ("wait", "20000"), ("cost", "10"), ("ram", "1")];
        fields.extend(key.map(|key| ("key", key)));
        let request = Client::encode_request(2, "load", &fields, "select 1 from sales_1.x");
        client.0.write_all(&request).unwrap();
        (0..5).for_each(|_| assert!(other.ping(0)));
        thread::sleep(MIN_IDLE_TIME);
        if departure == "abort" {
            client.send_abort(2);
        } else {
            drop(client);
        }
        thread::sleep(MAX_LATE_START * 2);
        partitioned.engine.received_calls("");
        partitioned.relays.remove_all_conditions();
        // The partition is over once the engine serves the next job.
        other.send_job(3, "look", 20_000);
        while other.receive().0 != 3 {}
        let late = partitioned.engine.received_calls("");
        let starts = |call: &&Call| is_post(call) && is_for_job(call, 2);
        assert!(!late.iter().any(|call| starts(&call)), "{departure}, {key:?}: {late:?}");
    }
}

/// Guards against a query that starts after its router has ended: a partition holds up its POST.
#[test]
fn the_post_of_a_router_that_was_killed_does_not_arrive_after_a_partition() {
    let partitioned = PartitionedEngine::start();
    let folder = folders::run_folder(env!("CARGO_TARGET_TMPDIR"), "taken_back_calls");
    let config = first_choice_config(partitioned.address, unused_address(), unused_address());
    let mut router = RouterProcess::start(env!("CARGO_BIN_EXE_woadhook"), &folder, "n0", &config);
    router.wait_until_ready();
    let mut client = Client(TcpStream::connect(router.address).unwrap());
    serve_one_job(&mut client);
    partitioned.partition();
    client.send_job(2, "look", 20_000);
    (0..5).for_each(|_| assert!(client.ping(0)));
    thread::sleep(MIN_IDLE_TIME);
    router.kill();
    partitioned.engine.received_calls("");
    partitioned.relays.remove_all_conditions();
    // The partition is over once the engine answers a call over a new connection.
    let mut probe = TcpStream::connect(partitioned.address).unwrap();
    probe.write_all(b"GET /load HTTP/1.1\r\n\r\n").unwrap();
    probe.read_exact(&mut [0]).unwrap();
    let late = partitioned.engine.received_calls("POST");
    assert!(late.is_empty(), "{late:?}");
}

/// Guards against two attempts of one request at once: an engine that hangs has a POST in its receive buffer,
/// where a reset does not reach it, reads it when it goes on, and reads a DELETE before it.
#[test]
fn a_job_whose_post_a_hanging_engine_has_not_read_is_not_sent_elsewhere() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (started_elsewhere, first_delete, last_delete) =
        (FirstCall::default(), FirstCall::default(), LastCall::default());
    let recorder = started_elsewhere.clone();
    let other = StandinServer::start(move |call| {
        recorder.record(is_post(call));
        result_page(call, &[ROWS])
    });
    let config = first_choice_config(listener.local_addr().unwrap(), other.address, unused_address());
    let mut client = Client::connect(&RouterThread::start_with_config(&config));
    client.send_job(1, "look", 20_000);
    let (mut post_connection, _) = listener.accept().unwrap();
    thread::sleep(POST_TIMEOUT + QUERY_EXPIRY * 2);
    assert!(other.received_calls("POST").is_empty(), "the hanging engine may still start the query");
    let (first_recorder, last_recorder) = (first_delete.clone(), last_delete.clone());
    let engine = StandinServer::on_listener(listener, move |call| {
        let is_delete = call.line.starts_with("DELETE");
        first_recorder.record(is_delete);
        last_recorder.record(is_delete);
        response(if is_delete { 204 } else { 500 }, &[], "")
    });
    engine.wait_for_call("DELETE");
    let mut head = [0; 4];
    post_connection.read_exact(&mut head).unwrap();
    assert_eq!(&head, b"POST");
    assert_eq!(client.receive(), (1, Ok(ROWS.to_owned())));
    // The DELETEs that waited unread come at once; only one that comes later is sure to find the query.
    assert!(last_delete.at() >= first_delete.at() + CONFIRMATION_PAUSE, "no DELETE followed the POST");
    assert!(started_elsewhere.at() > last_delete.at());
}
