//! Two loads with one order key. The first query is cancelled or its connection is reset, or its engine
//! hangs, drains, closes its port or is replaced by another process. The next query of the key is sent only
//! when the first one can no longer run.

use std::env;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::json;
// `FirstCall` and `LastCall` record the times of the first and the latest call that matches.
use woadhook_standins::calls::{
    FirstCall, LastCall, add_remote_engine, is_for_job, is_post, modified_config, unused_address,
};
use woadhook_standins::*;

const ROWS: &str = "a\tb\tc\n";

#[test]
fn the_next_job_of_a_key_waits_while_the_engine_of_the_first_hangs() {
    let hang_ended = Arc::new(AtomicBool::new(false));
    let has_ended = hang_ended.clone();
    // The engine accepts a job and does not answer until the test ends the hang.
    let hanging = StandinServer::start(move |call| match () {
        _ if call.line.starts_with("GET /load") => response(200, &[], ""),
        _ if has_ended.load(Ordering::Relaxed) => result_page(call, &[ROWS]),
        _ => Response::NoResponse,
    });
    let (healthy, hang_ended) = (StandinServer::start(|call| result_page(call, &[ROWS])), hang_ended);
    // The hanging engine is the first choice, as the other one is in a more expensive zone.
    let mut client = two_loads_of_one_key([&hanging, &healthy], Duration::from_millis(50));
    // The client is informed at once that the job failed; the key stays blocked.
    assert_eq!(client.receive(), (1, Err("Internal".to_owned())));
    while hanging.received_calls("DELETE").is_empty() {
        thread::yield_now();
    }
    (0..3).for_each(|_| _ = hanging.wait_for_call("DELETE /v2/q/0000000000000001 "));
    assert!(healthy.received_calls("POST").is_empty());
    hang_ended.store(true, Ordering::Relaxed);
    assert_eq!(client.receive(), (2, Ok(ROWS.to_owned())));
}

/// Starts a router with two engines, the second in a more expensive zone, which sends the loads of a key in
/// order with the given pause of the key. Returns a client that has requested two loads of one key.
fn two_loads_of_one_key(engines: [&StandinServer; 2], key_pause: Duration) -> Client {
    two_loads_of_one_key_with(engines, key_pause, unused_address(), Duration::from_secs(60))
}

/// Does what `two_loads_of_one_key` does, with the given discovery and with a first load whose client waits
/// for `first_wait`.
fn two_loads_of_one_key_with(
    engines: [&StandinServer; 2], key_pause: Duration, discovery: SocketAddr, first_wait: Duration,
) -> Client {
    let config = modified_config(&[engines[0].address], discovery, |config| {
        let settings = &mut config["settings"];
        // The setting `turnGapUs` is the pause of a key: no job of the key is sent for the first time for
        // this long after a dispatch that may still run, or after the report that such a dispatch no longer
        // runs.
        settings["obligations"]["turnGapUs"] = json!(key_pause.as_micros() as u64);
        settings["classes"][1]["keepOrder"] = json!(true);
        add_remote_engine(config, engines[1].address);
    });
    let mut client = Client::connect(&RouterThread::start_with_config(&config));
    let first_wait = first_wait.as_millis().to_string();
    for (number, id, wait) in [(1, "0000000000000001", first_wait.as_str()), (2, "0000000000000002", "60000")]
    {
        let fields = [("id", id), ("wait", wait), ("cost", "10"), ("ram", "1"), ("key", "k")];
        client
            .0
            .write_all(&Client::encode_request(number, "load", &fields, "select 1 from sales_1.x"))
            .unwrap();
    }
    client
}

#[test]
fn the_next_job_of_a_key_waits_when_the_engine_crashed_during_the_first() {
    let (first_started, second_started) = (FirstCall::default(), FirstCall::default());
    let (recorder, second_recorder) = (first_started.clone(), second_started.clone());
    let crashing = StandinServer::start(move |call| {
        recorder.record(is_post(call));
        if is_post(call) { Response::EndProcess } else { response(200, &[], "") }
    });
    let healthy = StandinServer::start(move |call| {
        second_recorder.record(is_post(call));
        result_page(call, &[ROWS])
    });
    // The engine list still shows the engine, so the query may run there for as long as its client would have
    // waited.
    let wait = Duration::from_secs(5);
    let mut client =
        two_loads_of_one_key_with([&crashing, &healthy], Duration::from_millis(50), unused_address(), wait);
    assert_eq!(client.receive(), (1, Err("Internal".to_owned())));
    assert_eq!(client.receive(), (2, Ok(ROWS.to_owned())));
    assert!(
        second_started.at() - first_started.at() >= wait,
        "{:?}",
        second_started.at() - first_started.at()
    );
}

/// Threat, seen in a trace: an engine that drains accepts no new connection and continues to work, so a
/// DELETE over a new connection would not reach the query. It has to use the connection that is already up.
#[test]
fn a_query_at_an_engine_that_closed_its_port_is_cancelled_over_its_own_connection() {
    let (first_deleted, second_started) = (FirstCall::default(), FirstCall::default());
    let (recorder, second_recorder, second_recorder_at_draining) =
        (first_deleted.clone(), second_started.clone(), second_started.clone());
    let still_running = || response(202, &[], "");
    let draining = StandinServer::start(move |call| {
        recorder.record(call.line.starts_with("DELETE"));
        second_recorder_at_draining.record(is_post(call) && is_for_job(call, 2));
        match call.line.split(' ').next() {
            Some("POST") if is_for_job(call, 1) => Response::ClosePort(Box::new(still_running())),
            Some("GET") if call.line.contains("0000000000000001") => {
                Response::Delayed(Duration::from_millis(150), Box::new(still_running()))
            }
            _ => result_page(call, &[ROWS]),
        }
    });
    let healthy = StandinServer::start(move |call| {
        second_recorder.record(is_post(call));
        result_page(call, &[ROWS])
    });
    let mut client = two_loads_of_one_key([&draining, &healthy], Duration::from_millis(50));
    draining.wait_for_call("GET");
    client.send_abort(1);
    assert_eq!(client.receive(), (2, Ok(ROWS.to_owned())));
    draining.wait_for_call("DELETE /v2/q/0000000000000001 ");
    assert!(
        first_deleted.at() < second_started.at(),
        "the first query is cancelled before the next one is sent"
    );
}

/// The query's own connection is reset at an engine that drains, accepts no new connection and continues to
/// work. The first query can't be cancelled there, so the next query of its key waits for as long as the
/// first client would have waited, whether that client still waits or has left. By the protocol the engine
/// ends a query that nobody polled for 2 s, so it no longer runs by then.
#[test]
fn the_next_job_of_a_key_waits_when_the_first_was_reset_and_its_engine_refuses_connections() {
    for client_leaves in [false, true] {
        let (first_started, second_started) = (FirstCall::default(), FirstCall::default());
        let (recorder, second_recorder) = (first_started.clone(), second_started.clone());
        let draining = StandinServer::start(move |call| {
            recorder.record(is_post(call));
            let still_running = response(202, &[], "");
            match call.line.split(' ').next() {
                Some("POST") => Response::ClosePort(Box::new(still_running)),
                _ => Response::Delayed(Duration::from_millis(150), Box::new(Response::CloseConnection)),
            }
        });
        let healthy = StandinServer::start(move |call| {
            second_recorder.record(is_post(call));
            result_page(call, &[ROWS])
        });
        let wait = Duration::from_secs(5);
        let mut client = two_loads_of_one_key_with(
            [&draining, &healthy],
            Duration::from_millis(50),
            unused_address(),
            wait,
        );
        draining.wait_for_call("GET");
        if client_leaves {
            client.send_abort(1);
        } else {
            assert_eq!(client.receive(), (1, Err("Internal".to_owned())));
        }
        assert_eq!(client.receive(), (2, Ok(ROWS.to_owned())));
        let waited = second_started.at() - first_started.at();
        assert!(waited >= wait, "client leaves: {client_leaves}; {waited:?}");
    }
}

/// By the protocol an engine ends a query that was not polled for this long.
const UNPOLLED_EXPIRY: Duration = Duration::from_secs(2);

/// Guards against taking any answer to a DELETE as a confirmation that the query was cancelled: by the
/// protocol only 204 is one.
#[test]
fn the_next_job_of_a_key_waits_when_the_answer_to_a_delete_confirms_nothing() {
    for status in [404, 500] {
        let (last_polled, second_started) = (LastCall::default(), FirstCall::default());
        let (recorder, second_recorder) = (last_polled.clone(), second_started.clone());
        let engine = StandinServer::start(move |call| {
            let is_first = is_for_job(call, 1) || call.line.contains("0000000000000001");
            recorder.record(is_first && !call.line.starts_with("DELETE"));
            second_recorder.record(is_post(call) && !is_first);
            match call.line.split(' ').next() {
                Some("DELETE") => response(status, &[], ""),
                Some("GET") if is_first => {
                    Response::Delayed(Duration::from_millis(150), Box::new(response(202, &[], "")))
                }
                _ if is_first => response(202, &[], ""),
                _ => result_page(call, &[ROWS]),
            }
        });
        let mut client = two_loads_of_one_key([&engine, &engine], Duration::from_millis(50));
        engine.wait_for_call("GET");
        client.send_abort(1);
        assert_eq!(client.receive(), (2, Ok(ROWS.to_owned())));
        let waited = second_started.at().saturating_duration_since(last_polled.at());
        assert!(waited >= UNPOLLED_EXPIRY, "{status}: {waited:?}");
    }
}

/// Guards against taking the answer of another server for a confirmation that the query was cancelled: the
/// engine of the first query drains and continues to work, and the other server has its port.
#[test]
fn the_next_job_of_a_key_waits_when_another_server_has_the_port_of_the_engine() {
    let (last_polled, second_started) = (LastCall::default(), FirstCall::default());
    let (recorder, second_recorder) = (last_polled.clone(), second_started.clone());
    // The system frees a port that it chose itself once the listener is shut down.
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let draining = StandinServer::on_listener(listener, move |call| {
        let still_running = || response(202, &[], "");
        recorder.record(!call.line.starts_with("DELETE") && !call.line.starts_with("GET /load"));
        match call.line.split(' ').next() {
            Some("POST") => Response::ClosePort(Box::new(still_running())),
            _ => Response::Delayed(Duration::from_millis(150), Box::new(still_running())),
        }
    });
    let healthy = StandinServer::start(move |call| {
        second_recorder.record(is_post(call));
        result_page(call, &[ROWS])
    });
    let mut client = two_loads_of_one_key([&draining, &healthy], Duration::from_millis(50));
    draining.wait_for_call("GET /v2/q/0000000000000001/0");
    let listener = TcpListener::bind(draining.address).expect("the port is free");
    let other = StandinServer::on_listener(listener, |call| {
        if is_post(call) { response(503, &["X-Declined: 1"], "") } else { response(404, &[], "") }
    });
    client.send_abort(1);
    other.wait_for_call("DELETE /v2/q/0000000000000001");
    assert_eq!(client.receive(), (2, Ok(ROWS.to_owned())));
    let waited = second_started.at().saturating_duration_since(last_polled.at());
    assert!(waited >= UNPOLLED_EXPIRY, "{waited:?}");
}

/// What happens to the connection that carried the first query, at an engine that closed its port and
/// continues to work.
#[derive(Clone, Copy, Debug, PartialEq)]
enum OwnConnection {
    StaysUp,
    IsReset,
    StopsAnswering,
}

/// Guards against trusting another process at the port of an engine that closed it and continues to work:
/// that process confirms the DELETE of a query that it never ran (204), and answers a poll of the query with
/// an error (500).
#[test]
fn the_next_job_of_a_key_waits_when_another_process_at_the_port_confirms_a_delete() {
    let mut too_early = Vec::new();
    for own in [OwnConnection::StaysUp, OwnConnection::IsReset, OwnConnection::StopsAnswering] {
        let (last_polled, first_deleted, second_started) =
            (LastCall::default(), FirstCall::default(), FirstCall::default());
        let (recorder, delete_recorder, second_recorder) =
            (last_polled.clone(), first_deleted.clone(), second_started.clone());
        // The system frees a port that it chose itself once the listener is shut down.
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let draining = StandinServer::on_listener(listener, move |call| {
            let still_running = || response(202, &[], "");
            recorder.record(is_post(call) || call.line.starts_with("GET /v2"));
            delete_recorder.record(call.line.starts_with("DELETE"));
            match call.line.split(' ').next() {
                Some("POST") => Response::ClosePort(Box::new(still_running())),
                Some("DELETE") => response(204, &[], ""),
                _ if own == OwnConnection::StopsAnswering => Response::NoResponse,
                _ => Response::Delayed(Duration::from_millis(150), Box::new(still_running())),
            }
        });
        let healthy = StandinServer::start(move |call| {
            second_recorder.record(is_post(call));
            result_page(call, &[ROWS])
        });
        let mut client = two_loads_of_one_key([&draining, &healthy], Duration::from_millis(50));
        draining.wait_for_call("GET /v2/q/0000000000000001/0");
        let listener = TcpListener::bind(draining.address).expect("the port is free");
        let other = StandinServer::on_listener(listener, |call| match call.line.split(' ').next() {
            Some("POST") => response(503, &["X-Declined: 1"], ""),
            Some("DELETE") => response(204, &[], ""),
            _ => response(500, &[], ""),
        });
        match own {
            OwnConnection::StaysUp => client.send_abort(1),
            OwnConnection::IsReset => {
                draining.end_process();
                client.send_abort(1);
            }
            OwnConnection::StopsAnswering => _ = other.wait_for_call("GET /v2/q/0000000000000001/0"),
        }
        while client.receive().0 != 2 {}
        let expired = last_polled.at() + UNPOLLED_EXPIRY;
        let first_ended_by = first_deleted.at_or_before(expired);
        too_early.extend(
            (second_started.at() < first_ended_by).then(|| (own, first_ended_by - second_started.at())),
        );
    }
    assert!(too_early.is_empty(), "the next query came too early: {too_early:?}");
}

/// The number of runs of the test below. The environment variable `PLAYS` sets another number: `PLAYS=200
/// cargo test -p woadhook-router --test key_order a_query_cancelled_at_a_healthy_engine -- --nocapture`.
const RUNS_IN_CI: u32 = 5;
/// A healthy engine answers a status poll after this time.
const POLL_DELAY: Duration = Duration::from_millis(250);

/// Threat: if the port of an engine may belong to another process, the next job of a key waits for the expiry
/// of the cancelled query. The same wait at a healthy engine would delay its keys by the expiry of each
/// cancelled query.
#[test]
fn a_query_cancelled_at_a_healthy_engine_does_not_delay_its_key_by_the_expiry() {
    let runs = env::var("PLAYS").ok().and_then(|runs| runs.parse().ok()).unwrap_or(RUNS_IN_CI);
    // In each run the client aborts at another moment of the status poll.
    let abort_times = (0..runs).map(|run| POLL_DELAY * run / runs);
    let mut waits: Vec<Duration> = abort_times.map(abort_to_next_dispatch).collect();
    waits.sort();
    let (median, worst) = (waits[waits.len() / 2], waits[waits.len() - 1]);
    println!("abort to next dispatch, {runs} runs: median {median:?}, worst {worst:?}");
}

/// Returns how long the next query of a key waits after the client aborts the first one, which it does
/// `after_poll` after a status poll.
fn abort_to_next_dispatch(after_poll: Duration) -> Duration {
    let (last_polled, second_started) = (LastCall::default(), FirstCall::default());
    let (recorder, second_recorder) = (last_polled.clone(), second_started.clone());
    let engine = StandinServer::start(move |call| {
        let is_first = is_for_job(call, 1) || call.line.contains("0000000000000001");
        recorder.record(is_first && !call.line.starts_with("DELETE"));
        second_recorder.record(is_post(call) && !is_first);
        match call.line.split(' ').next() {
            Some("DELETE") => response(204, &[], ""),
            Some("GET") if is_first => Response::Delayed(POLL_DELAY, Box::new(response(202, &[], ""))),
            _ if is_first => response(202, &[], ""),
            _ => result_page(call, &[ROWS]),
        }
    });
    let mut client = two_loads_of_one_key([&engine, &engine], Duration::from_millis(50));
    engine.wait_for_call("GET /v2/q/0000000000000001/0");
    thread::sleep(after_poll);
    let aborted_at = Instant::now();
    client.send_abort(1);
    assert_eq!(client.receive(), (2, Ok(ROWS.to_owned())));
    assert!(
        second_started.at() < last_polled.at() + UNPOLLED_EXPIRY,
        "the next job of the key waited for the expiry: {:?}",
        second_started.at() - last_polled.at()
    );
    second_started.at() - aborted_at
}

/// The engine of the first query closes its port, resets the query's connection and continues to work, and
/// another process takes the port some time later. By then the first query has expired, as nobody polled it,
/// and the next query of the key is sent before the first client's wait has ended.
#[test]
fn the_next_job_of_a_key_is_sent_after_the_expiry_once_another_process_answers_at_the_port() {
    const TAKEN_AFTER: Duration = Duration::from_millis(3_000);
    let wait = Duration::from_secs(10);
    let (last_polled, second_started) = (LastCall::default(), FirstCall::default());
    let (recorder, second_recorder) = (last_polled.clone(), second_started.clone());
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let draining = StandinServer::on_listener(listener, move |call| {
        recorder.record(is_post(call) || call.line.starts_with("GET /v2"));
        let still_running = response(202, &[], "");
        match call.line.split(' ').next() {
            Some("POST") => Response::ClosePort(Box::new(still_running)),
            _ => Response::Delayed(Duration::from_millis(150), Box::new(Response::CloseConnection)),
        }
    });
    let healthy = StandinServer::start(move |call| {
        second_recorder.record(is_post(call));
        result_page(call, &[ROWS])
    });
    let mut client =
        two_loads_of_one_key_with([&draining, &healthy], Duration::from_millis(50), unused_address(), wait);
    assert_eq!(client.receive(), (1, Err("Internal".to_owned())));
    thread::sleep(TAKEN_AFTER);
    let listener = TcpListener::bind(draining.address).expect("the port is free");
    let other = StandinServer::on_listener(listener, |call| {
        if is_post(call) { response(503, &["X-Declined: 1"], "") } else { response(404, &[], "") }
    });
    other.wait_for_call("DELETE /v2/q/0000000000000001 ");
    assert_eq!(client.receive(), (2, Ok(ROWS.to_owned())));
    let waited = second_started.at() - last_polled.at();
    assert!(waited >= UNPOLLED_EXPIRY && waited < wait, "{waited:?}");
}

/// Guards against a DELETE that is meant for a timed-out query and cancels the next dispatch of the same job
/// at the same engine: a DELETE carries the job's id, which both dispatches share.
#[test]
fn a_job_sent_again_after_a_time_out_is_not_cancelled_with_its_first_query() {
    /// The time-out of a dispatch. A query that is cancelled much sooner after its POST is cancelled by a
    /// DELETE that was meant for an earlier one.
    const TIME_OUT: Duration = Duration::from_secs(2);
    let posts = Arc::new(AtomicUsize::new(0));
    let cancelled_after: Arc<Mutex<Vec<Duration>>> = Arc::default();
    let (counted, recorder, mut latest_post) = (posts.clone(), cancelled_after.clone(), Instant::now());
    let engine = StandinServer::start(move |call| match call.line.split(' ').next() {
        Some("POST") => {
            counted.fetch_add(1, Ordering::SeqCst);
            latest_post = Instant::now();
            response(202, &[], "")
        }
        Some("DELETE") => {
            recorder.lock().unwrap().push(latest_post.elapsed());
            response(204, &[], "")
        }
        Some("GET") if call.line.starts_with("GET /v2") && counted.load(Ordering::SeqCst) == 1 => {
            Response::Delayed(POLL_DELAY, Box::new(response(202, &[], "")))
        }
        // The second query takes longer than the status poll during which the first one was cancelled.
        _ if call.line.starts_with("GET /v2") => {
            Response::Delayed(2 * POLL_DELAY, Box::new(result_page(call, &[ROWS])))
        }
        _ => result_page(call, &[ROWS]),
    });
    let router =
        RouterThread::start_with_config(&modified_config(&[engine.address], unused_address(), |config| {
            let class = &mut config["settings"]["classes"][1];
            (class["keepOrder"], class["effect"]) = (json!(true), json!("repeatable"));
            // `goalTimeUs` is the SLA time. As the router may not cancel dispatches (`cancelling`), a
            // dispatch of a restartable job times out after the SLA time, and the job is sent again.
            class["goalTimeUs"] = json!(TIME_OUT.as_micros() as u64);
            config["settings"]["limits"]["cancelling"] = json!(false);
        }));
    let mut client = Client::connect(&router);
    let fields = [("id", "0000000000000001"), ("wait", "10000"), ("cost", "10"), ("ram", "1"), ("key", "k")];
    client.0.write_all(&Client::encode_request(1, "load", &fields, "select 1 from sales_1.x")).unwrap();
    assert_eq!(client.receive(), (1, Ok(ROWS.to_owned())));
    assert!(posts.load(Ordering::SeqCst) >= 2, "the job was sent again");
    let cancelled_after = cancelled_after.lock().unwrap();
    assert!(
        cancelled_after.iter().all(|after_post| *after_post >= TIME_OUT / 2),
        "cancelled this long after a POST: {cancelled_after:?}"
    );
}

/// The next query of the key is sent some time after the engine list reported the engine as gone, and not at
/// once, as the engine's process ends later than that report.
#[test]
fn the_next_job_of_a_key_is_sent_some_time_after_the_engine_is_reported_gone() {
    let second_started = FirstCall::default();
    let recorder = second_started.clone();
    let crashing =
        StandinServer::start(
            |call| if is_post(call) { Response::EndProcess } else { response(200, &[], "") },
        );
    let healthy = StandinServer::start(move |call| {
        recorder.record(is_post(call));
        result_page(call, &[ROWS])
    });
    let (events, key_pause) = (DiscoveryEvents::default(), Duration::from_millis(50));
    let (discovery, wait) = (events.serve(), Duration::from_secs(60));
    let mut client = two_loads_of_one_key_with([&crashing, &healthy], key_pause, discovery.address, wait);
    assert_eq!(client.receive(), (1, Err("Internal".to_owned())));
    // This is longer than an engine continues to run a query that nobody polls.
    thread::sleep(Duration::from_millis(2_500));
    let reported = Instant::now();
    events.add(2, vec![roster_member("s-0", crashing.address, "DELETED")]);
    assert_eq!(client.receive(), (2, Ok(ROWS.to_owned())));
    let waited = second_started.at().saturating_duration_since(reported);
    assert!(waited >= Duration::from_secs(2), "{waited:?} after the report");
}

/// If an engine refuses connections only for a moment, its queries continue to run, so refused connections do
/// not show that a query has ended. Here the engine hangs once it accepts connections again.
#[test]
fn the_next_job_of_a_key_waits_when_the_engine_refuses_connections_for_a_moment() {
    let refusing =
        StandinServer::start(
            |call| if is_post(call) { Response::EndProcess } else { response(200, &[], "") },
        );
    let healthy = StandinServer::start(|call| result_page(call, &[ROWS]));
    let mut client = two_loads_of_one_key([&refusing, &healthy], Duration::from_millis(50));
    assert_eq!(client.receive(), (1, Err("Internal".to_owned())));
    let listener = loop {
        match TcpListener::bind(refusing.address) {
            Ok(listener) => break listener,
            Err(_) => thread::yield_now(),
        }
    };
    let has_ended: Arc<AtomicBool> = Arc::default();
    let hang_ended = has_ended.clone();
    let reopened = StandinServer::on_listener(listener, move |_| {
        if has_ended.load(Ordering::Relaxed) { response(204, &[], "") } else { Response::NoResponse }
    });
    (0..12).for_each(|_| _ = reopened.wait_for_call("DELETE /v2/q/0000000000000001 "));
    assert!(healthy.received_calls("POST").is_empty());
    hang_ended.store(true, Ordering::Relaxed);
    assert_eq!(client.receive(), (2, Ok(ROWS.to_owned())));
}

/// Guards against trusting a process that was started in place of the one that received the first job: it
/// answers that it does not know the job, while the earlier process may still run it.
#[test]
fn the_next_job_of_a_key_waits_when_the_engine_restarted_without_the_first() {
    let (first_started, second_started) = (FirstCall::default(), FirstCall::default());
    let (recorder, second_recorder) = (first_started.clone(), second_started.clone());
    let engine = StandinServer::start(move |call| {
        recorder.record(is_post(call) && is_for_job(call, 1));
        second_recorder.record(is_post(call) && is_for_job(call, 2));
        match call.line.split(' ').next() {
            Some("POST") if is_for_job(call, 1) => Response::CloseConnection,
            Some("GET") if call.line.contains("0000000000000001") => response(500, &[], ""),
            _ => result_page(call, &[ROWS]),
        }
    });
    let mut client = two_loads_of_one_key([&engine, &engine], Duration::from_millis(50));
    assert_eq!(client.receive(), (1, Err("Internal".to_owned())));
    assert_eq!(client.receive(), (2, Ok(ROWS.to_owned())));
    assert!(
        second_started.at() - first_started.at() >= Duration::from_secs(2),
        "{:?}",
        second_started.at() - first_started.at()
    );
}

#[test]
fn a_key_pauses_after_a_job_whose_end_the_engine_does_not_report() {
    const KEY_PAUSE: Duration = Duration::from_secs(1);
    let (first_deleted, second_started) = (FirstCall::default(), FirstCall::default());
    let (recorder, second_recorder) = (first_deleted.clone(), second_started.clone());
    // The engine's answer to the POST is malformed, and to polls the engine answers with an error, as if it
    // did not know the query: the POST may still be on its way.
    let engine = StandinServer::start(move |call| {
        recorder.record(call.line.starts_with("DELETE"));
        second_recorder.record(is_post(call) && is_for_job(call, 2));
        match call.line.split(' ').next() {
            Some("POST") if is_for_job(call, 1) => Response::RawKeepOpen("no answer\r\n\r\n".to_owned()),
            Some("GET") if call.line.contains("0000000000000001") => response(500, &[], ""),
            _ => result_page(call, &[ROWS]),
        }
    });
    let mut client = two_loads_of_one_key([&engine, &engine], KEY_PAUSE);
    assert_eq!(client.receive(), (1, Err("Internal".to_owned())));
    assert_eq!(client.receive(), (2, Ok(ROWS.to_owned())));
    assert!(
        second_started.at() - first_deleted.at() >= KEY_PAUSE,
        "{:?}",
        second_started.at() - first_deleted.at()
    );
}
