//! Scenarios of one router against stand-ins on loopback, one for each failure that was observed or is
//! expected on sockets.

use std::io::Write;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Instant;

use futures_lite::future::{block_on, poll_once};
use serde_json::json;
use woadhook_router::memory::{Holder, MemoryBudget};
use woadhook_router::sockets::DescriptorBudget;
use woadhook_router::statement::table_group;
use woadhook_router::stop::OperatorCommand;
use woadhook_router::tasks::Tasks;
use woadhook_router::{codec, config};
use woadhook_standins::*;

/// An address at which nothing listens. A free port could belong to another scenario by the time it is used.
fn unused_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1))
}

fn post(call: &Call) -> bool {
    call.line.starts_with("POST")
}

#[test]
fn a_result_of_many_pages_arrives_complete_and_in_order() {
    let engine = StandinServer::start(|call| result_page(call, &["a\tb\tc\n", "d\te\tf\n", "g\th\ti\n"]));
    let mut client = Client::connect(&RouterThread::start_with_idle_discovery(&[engine.address]));
    // A request may arrive in pieces.
    for byte in Client::encode_job(7, "look", "9b1f03aa5c7e2d41", 20_000, "select 'x' from sales_17.orders") {
        client.0.write_all(&[byte]).unwrap();
    }
    assert_eq!(client.receive(), (7, Ok("a\tb\tc\nd\te\tf\ng\th\ti\n".to_owned())));
    let call = engine.wait_for_call("POST /v2/q ");
    assert_eq!(call.body, b"select 'x' from sales_17.orders");
    for field in ["X-Trace: 9b1f03aa5c7e2d41", "X-Profile: look", "X-Patience: ", "X-Weight-Class: "] {
        assert!(call.fields.iter().any(|known| known.starts_with(field)), "{field}");
    }
}

#[test]
fn a_running_query_is_polled_until_it_ends() {
    let mut answers_left = 3_usize;
    let engine = StandinServer::start(move |call| {
        answers_left -= usize::from(call.line.contains("/v2/q"));
        if answers_left > 0 {
            response(202, &["X-Result: pct", "X-Num: 0.5"], "")
        } else {
            result_page(call, &["a\tb\tc\n"])
        }
    });
    let mut client = Client::connect(&RouterThread::start_with_idle_discovery(&[engine.address]));
    client.send_job(1, "load", 20_000);
    assert_eq!(client.receive(), (1, Ok("a\tb\tc\n".to_owned())));
    engine.wait_for_call("POST");
    assert_eq!(engine.received_calls("GET /v2/q/0000000000000001/0").len(), 2);
}

#[test]
fn an_incomplete_result_is_never_served() {
    let failures: [fn(&Call) -> Response; 4] = [
        |_| response(500, &[], ""),
        |_| response(200, &["X-Batch: 2"], "d\te\tf\n"),
        |_| response(200, &["X-Batch: 1"], "d\te"),
        |_| response(200, &["X-Batch: 1"], &"x\n".repeat(25_000)),
    ];
    for (number, second) in failures.into_iter().enumerate() {
        let engine = StandinServer::start(move |call| match call.line.split(' ').next() {
            Some("POST") => response(200, &["X-Batches: 2"], "a\tb\tc\n"),
            _ => second(call),
        });
        let mut client = Client::connect(&RouterThread::start_with_idle_discovery(&[engine.address]));
        client.send_job(1, "load", 20_000);
        assert_eq!(client.receive(), (1, Err("Internal".to_owned())), "case {number}");
    }
}

#[test]
fn an_aborted_job_is_deleted_and_gets_no_answer() {
    let mut first = true;
    let engine = StandinServer::start(move |call| {
        if post(call) && !std::mem::take(&mut first) {
            return result_page(call, &["a\tb\tc\n"]);
        }
        response(if call.line.starts_with("DELETE") { 204 } else { 202 }, &[], "")
    });
    let mut client = Client::connect(&RouterThread::start_with_idle_discovery(&[engine.address]));
    client.send_job(1, "load", 20_000);
    engine.wait_for_call("POST");
    client.send_abort(1);
    engine.wait_for_call("DELETE /v2/q/0000000000000001 ");
    client.send_job(2, "load", 20_000);
    assert_eq!(client.receive().0, 2);
}

#[test]
fn a_second_copy_passes_the_new_priority_to_the_first_dispatch() {
    let (first, second) = (Arc::new(AtomicBool::new(true)), Arc::new(AtomicBool::new(false)));
    let engines = [0, 1].map(|_| {
        let (first, second) = (first.clone(), second.clone());
        StandinServer::start(move |call| {
            if call.line.starts_with("PUT /v2/q/0000000000000001 ") {
                second.store(call.body.len() == 1 && call.body[0].is_ascii_digit(), Ordering::Relaxed);
                return response(204, &[], "");
            }
            let slow = post(call) && first.swap(false, Ordering::Relaxed);
            if slow || !second.load(Ordering::Relaxed) {
                response(202, &[], "")
            } else {
                result_page(call, &["a\tb\tc\n"])
            }
        })
    });
    let bulletin = DiscoveryEvents::default().serve();
    let config = router_config(&engines.each_ref().map(|engine| engine.address), bulletin.address, 1024)
        .replace("\"cancelling\":true", "\"cancelling\":false,\"secondCopies\":true");
    let mut client = Client::connect(&RouterThread::start_with_config(&config));
    client.send_job(1, "look", 10_000);
    assert_eq!(client.receive(), (1, Ok("a\tb\tc\n".to_owned())));
}

#[test]
fn a_client_that_disconnects_withdraws_its_jobs() {
    let engine = StandinServer::start(|call| {
        response(if call.line.starts_with("DELETE") { 204 } else { 202 }, &[], "")
    });
    let mut client = Client::connect(&RouterThread::start_with_idle_discovery(&[engine.address]));
    client.send_job(1, "load", 60_000);
    engine.wait_for_call("POST");
    drop(client);
    engine.wait_for_call("DELETE");
}

#[test]
fn a_query_without_an_answer_times_out_and_is_deleted() {
    let engine =
        StandinServer::start(|call| if post(call) { Response::NoResponse } else { response(204, &[], "") });
    let mut client = Client::connect(&RouterThread::start_with_idle_discovery(&[engine.address]));
    client.send_job(1, "load", 1_000);
    assert_eq!(client.receive(), (1, Err("Internal".to_owned())));
    engine.wait_for_call("DELETE");
    // The job got only this answer.
    assert!(client.ping(2));
}

#[test]
fn a_late_reply_reaches_no_client() {
    let (open, gate) = std::sync::mpsc::channel();
    let engine = StandinServer::start(move |call| {
        if post(call) {
            gate.recv().unwrap();
        }
        result_page(call, &["a\tb\tc\n"])
    });
    let mut client = Client::connect(&RouterThread::start_with_idle_discovery(&[engine.address]));
    client.send_job(1, "load", 1_000);
    assert_eq!(client.receive(), (1, Err("Internal".to_owned())));
    open.send(()).unwrap();
    engine.wait_for_call("DELETE");
    assert!(client.ping(2));
    open.send(()).unwrap();
    client.send_job(3, "load", 20_000);
    assert_eq!(client.receive(), (3, Ok("a\tb\tc\n".to_owned())));
}

#[test]
fn failed_dispatches_release_their_resources() {
    let (mut step, recovered) = (0, Arc::new(AtomicBool::new(false)));
    let has_recovered = recovered.clone();
    let engine = StandinServer::start(move |call| {
        if has_recovered.load(Ordering::Relaxed) {
            return result_page(call, &["a\tb\tc\n"]);
        }
        if !post(call) {
            return response(if call.line.starts_with("DELETE") { 204 } else { 500 }, &[], "");
        }
        step += 1;
        match step % 4 {
            0 => response(202, &["X-Result: pct", "X-Num: many"], ""),
            1 => Response::NoResponse,
            2 => Response::CloseConnection,
            _ => response(503, &["X-Declined: 1"], ""),
        }
    });
    // There are two descriptors for queries and one for control calls, and twelve failures of each kind.
    let bulletin = DiscoveryEvents::default().serve();
    let mut client = Client::connect(&RouterThread::start_with_config(&router_config(
        &[engine.address],
        bulletin.address,
        41,
    )));
    for number in 1..49 {
        client.send_job(number, "load", 100);
        assert!(client.receive().1.is_err());
    }
    recovered.store(true, Ordering::Relaxed);
    client.send_job(49, "load", 20_000);
    assert_eq!(client.receive(), (49, Ok("a\tb\tc\n".to_owned())));
}

#[test]
fn chunked_bodies_are_served_and_incomplete_ones_are_not() {
    let served = Ok("a\tb\tc\nd\te\tf\n".to_owned());
    for (answer, result) in [
        // Without a length or chunks, nobody can tell whether this body is complete.
        ("HTTP/1.1 200 x\r\nX-Batches: 1\r\n\r\na\tb\tc\nd\te\tf\n", Err("Internal".to_owned())),
        (
            "HTTP/1.1 200 x\r\nTransfer-Encoding: chunked\r\nX-Batches: 1\r\n\r\n\
             6\r\na\tb\tc\n\r\n6;x=y\r\nd\te\tf\n\r\n0\r\n\r\n",
            served,
        ),
        (
            "HTTP/1.1 200 x\r\nTransfer-Encoding: chunked\r\nX-Batches: 1\r\n\r\n6\r\na\tb\tc\n\r\n",
            Err("Internal".to_owned()),
        ),
        ("HTTP/1.1 200 x\r\nContent-Length: 9\r\nX-Batches: 1\r\n\r\na\tb\tc\n", Err("Internal".to_owned())),
    ] {
        let engine = StandinServer::start(move |call| {
            if post(call) { Response::RawThenClose(answer) } else { response(500, &[], "") }
        });
        let mut client = Client::connect(&RouterThread::start_with_idle_discovery(&[engine.address]));
        client.send_job(1, "load", 20_000);
        assert_eq!(client.receive(), (1, result), "{answer}");
    }
}

fn malformed_answer(number: usize) -> Response {
    let row = "a\tb\tc\n";
    let followed_by = |suffix: &str| {
        Response::RawKeepOpen(format!(
            "HTTP/1.1 200 x\r\nX-Batches: 1\r\nContent-Length: 6\r\n\r\n{row}{suffix}"
        ))
    };
    match number {
        0 => response(202, &["X-Result: pct", "X-Num: much"], ""),
        1 => response(200, &[], row),
        2 => response(200, &["X-Batches: 1", "Content-Length: x"], row),
        3 => response(302, &[], ""),
        4 => Response::RawThenClose("SSH-2.0-none\r\n\r\n"),
        5 => response(200, &["X-Batches: 1"], "a\tb\n"),
        6 => response(200, &["X-Batches: 1"], "a\tb\tc\nd\te"),
        7 => followed_by("HTTP/1.1 200 x\r\n"),
        8 => Response::RawKeepOpen(
            "HTTP/1.1 200 x\r\nX-Batches: 1\r\nContent-Length: 3000000000\r\n\r\n".to_owned(),
        ),
        9 => Response::RawKeepOpen(format!("HTTP/1.1 200 x\r\nX-Endless: {}", "x".repeat(9_000))),
        10 => Response::NoResponse,
        _ => Response::CloseConnection,
    }
}

#[test]
fn a_malformed_answer_is_requested_again_and_never_served() {
    for number in 0..12 {
        let mut calls = 0;
        let engine = StandinServer::start(move |call| {
            calls += 1;
            if calls < 4 { malformed_answer(number) } else { result_page(call, &["d\te\tf\n", "g\th\ti\n"]) }
        });
        let mut client = Client::connect(&RouterThread::start_with_idle_discovery(&[engine.address]));
        client.send_job(1, "load", 20_000);
        assert_eq!(client.receive(), (1, Ok("d\te\tf\ng\th\ti\n".to_owned())), "case {number}");
        assert_eq!(engine.received_calls("POST").len(), 1, "case {number}");
    }
}

#[test]
fn persistently_malformed_answers_end_a_dispatch_as_may_have_run_and_delete_it() {
    for number in 0..10 {
        let engine = StandinServer::start(move |call| {
            if call.line.starts_with("DELETE") { response(204, &[], "") } else { malformed_answer(number) }
        });
        let mut client = Client::connect(&RouterThread::start_with_idle_discovery(&[engine.address]));
        client.send_job(1, "load", 20_000);
        assert_eq!(client.receive(), (1, Err("Internal".to_owned())), "case {number}");
        let posts = engine.calls_until("DELETE").iter().filter(|call| post(call)).count();
        assert_eq!(posts, 1, "case {number}");
    }
}

#[test]
fn interim_responses_are_skipped() {
    let engine = StandinServer::start(|call| match post(call) {
        true => Response::RawKeepOpen(
            "HTTP/1.1 100 x\r\n\r\nHTTP/1.1 103 x\r\nX-Batches: 7\r\n\r\n\
             HTTP/1.1 200 x\r\nX-Batches: 1\r\nContent-Length: 6\r\n\r\na\tb\tc\n"
                .to_owned(),
        ),
        false => response(500, &[], ""),
    });
    let mut client = Client::connect(&RouterThread::start_with_idle_discovery(&[engine.address]));
    client.send_job(1, "load", 20_000);
    assert_eq!(client.receive(), (1, Ok("a\tb\tc\n".to_owned())));
}

#[test]
fn a_malformed_probe_answer_leaves_its_engine_in_use() {
    let (done, mut probes) = (Arc::new(AtomicBool::new(false)), 0);
    let is_done = done.clone();
    let engine = StandinServer::start(move |call| {
        if call.line.starts_with("GET /load") {
            probes += 1;
            return if probes == 1 {
                Response::RawThenClose("SSH-2.0-none\r\n\r\n")
            } else {
                response(200, &[], "")
            };
        }
        let first = call.line.contains("/0000000000000001")
            || call.fields.iter().any(|field| field == "X-Trace: 0000000000000001");
        if first && !is_done.load(Ordering::Relaxed) {
            response(202, &[], "")
        } else {
            result_page(call, &["a\tb\tc\n"])
        }
    });
    let mut client = Client::connect(&RouterThread::start_with_idle_discovery(&[engine.address]));
    client.send_job(1, "look", 20_000);
    for number in 2..9 {
        client.send_job(number, "load", 20_000);
        assert_eq!(client.receive(), (number, Ok("a\tb\tc\n".to_owned())));
    }
    // If the engine were set aside, its query would be cancelled and sent again.
    let before = engine.calls_until("GET /load");
    let between = engine.calls_until("GET /load");
    done.store(true, Ordering::Relaxed);
    assert_eq!(client.receive(), (1, Ok("a\tb\tc\n".to_owned())));
    let calls = [before, between, engine.received_calls("")].concat();
    assert!(!calls.iter().any(|call| call.line.starts_with("DELETE")));
}

#[test]
fn an_unreadable_engine_list_is_requested_again_and_the_old_one_kept() {
    let engine = StandinServer::start(|call| result_page(call, &["a\tb\tc\n"]));
    let (events, old) = (DiscoveryEvents::default(), engine.address);
    let later_events = events.clone();
    let mut calls = 0;
    let bulletin = StandinServer::start(move |call| {
        calls += 1;
        let draining = |phase: &str| {
            json!({"no": 2, "items": [{"no": 2, "roster": {"members":
            [roster_member("s-0", old, "DRAINING"), roster_member("s-1", old, phase)]}}]})
        };
        match calls {
            1 => response(200, &[], "{\"no\":"),
            2 => response(200, &[], &draining("SLEEPING").to_string()),
            3 => response(503, &[], ""),
            _ => later_events.answer(call),
        }
    });
    let mut client = Client::connect(&RouterThread::start(&[old], bulletin.address));
    let connections = [0; 4].map(|_| bulletin.wait_for_call("GET /bulletins?after=1&").connection);
    assert!(connections.is_sorted_by(|a, b| a < b), "each call on a new connection: {connections:?}");
    client.send_job(1, "load", 20_000);
    assert!(client.receive().1.is_ok());
    events.add(2, vec![]);
    bulletin.wait_for_call("GET /bulletins?after=2&");
}

#[test]
fn a_client_that_does_not_read_delays_no_other() {
    let engine = StandinServer::start(|call| result_page(call, &["a\tb\tc\n".repeat(900).as_str(); 8]));
    let router = RouterThread::start_with_idle_discovery(&[engine.address]);
    let (mut idle, mut other) = (Client::connect(&router), Client::connect(&router));
    for number in 1..=200 {
        if idle
            .0
            .write_all(&Client::encode_job(number, "look", &format!("f{number:015x}"), 3_000, "select 1"))
            .is_err()
        {
            break;
        }
    }
    for number in 1..9 {
        other.send_job(number, "load", 20_000);
        let (answered, result) = other.receive();
        assert_eq!((answered, result.map(|rows| rows.len())), (number, Ok(8 * 900 * 6)));
    }
}

#[test]
fn a_configuration_error_names_its_field() {
    let complete_config: serde_json::Value =
        serde_json::from_str(&router_config(&[], unused_address(), 40)).unwrap();
    for field in ["listen", "seed", "limits", "bulletin"] {
        let mut without_field = complete_config.clone();
        without_field.as_object_mut().unwrap().remove(field);
        let error = config::parse(&without_field.to_string(), None).err().unwrap();
        assert!(error.contains(field), "{error}");
    }
    let parsed = config::parse(&complete_config.to_string(), Some("127.0.0.1:7".to_owned())).ok().unwrap();
    assert_eq!((parsed.listen.port(), parsed.seed), (7, 255));
}

#[test]
fn a_message_is_complete_at_its_last_byte_and_altered_bytes_never_panic() {
    let message = Client::encode_job(70_000, "look", "9b1f03aa5c7e2d41", 3_000, &"x".repeat(300));
    let length_of =
        |bytes: &[u8]| codec::message_length(bytes, &mut codec::MessageScanner::default(), &mut 0);
    let (mut scan, mut scanned) = (codec::MessageScanner::default(), 0);
    for length in 0..message.len() {
        assert!(matches!(length_of(&message[..length]), Ok(None)), "{length}");
        assert!(
            matches!(codec::message_length(&message[..length], &mut scan, &mut scanned), Ok(None)),
            "{length}"
        );
    }
    assert!(
        matches!(codec::message_length(&message, &mut scan, &mut scanned), Ok(Some(n)) if n == message.len())
    );
    assert!(matches!(length_of(&[message.as_slice(), b"next"].concat()), Ok(Some(n)) if n == message.len()));
    for (place, byte) in (0..message.len()).flat_map(|place| (0..=255).map(move |byte| (place, byte))) {
        let mut changed = message.clone();
        changed[place] = byte;
        let _ = length_of(&changed);
    }
}

#[test]
fn a_run_once_job_that_never_ran_is_sent_to_another_engine() {
    let engine = StandinServer::start(|call| result_page(call, &["a\tb\tc\n"]));
    let mut full = true;
    let refusing = StandinServer::start(move |call| {
        full = !full;
        if full {
            response(503, &["X-Declined: 1"], "")
        } else {
            response(504, &["X-Declined: 1"], call.line.get(..0).unwrap())
        }
    });
    for other in [unused_address(), refusing.address] {
        let mut client = Client::connect(&RouterThread::start_with_idle_discovery(&[other, engine.address]));
        for number in 1..9 {
            client.send_job(number, "load", 20_000);
            assert_eq!(client.receive(), (number, Ok("a\tb\tc\n".to_owned())));
        }
    }
    assert!(!refusing.received_calls("POST").is_empty());
}

#[test]
fn a_post_whose_connection_broke_may_have_run() {
    let engine =
        StandinServer::start(
            |call| if post(call) { Response::CloseConnection } else { response(500, &[], "") },
        );
    let mut client = Client::connect(&RouterThread::start_with_idle_discovery(&[engine.address]));
    client.send_job(1, "load", 20_000);
    assert_eq!(client.receive(), (1, Err("Internal".to_owned())));
    assert_eq!(engine.received_calls("POST").len(), 1);
}

#[test]
fn a_query_survives_broken_connections() {
    let mut calls = 0;
    let engine = StandinServer::start(move |call| {
        calls += 1;
        if calls < 4 { Response::CloseConnection } else { result_page(call, &["a\tb\tc\n"]) }
    });
    let mut client = Client::connect(&RouterThread::start_with_idle_discovery(&[engine.address]));
    client.send_job(1, "load", 20_000);
    assert_eq!(client.receive(), (1, Ok("a\tb\tc\n".to_owned())));
    assert_eq!(engine.received_calls("POST").len(), 1);
}

#[test]
fn nothing_is_written_to_a_connection_that_the_engine_has_closed() {
    let engine = StandinServer::start(|_| {
        Response::FullThenClose(200, vec!["X-Batches: 1".to_owned()], b"a\tb\tc\n".into())
    });
    let mut client = Client::connect(&RouterThread::start_with_idle_discovery(&[engine.address]));
    for number in 1..5 {
        client.send_job(number, "load", 20_000);
        assert_eq!(client.receive(), (number, Ok("a\tb\tc\n".to_owned())));
        assert_eq!(engine.wait_for_call("POST").connection, number as usize - 1);
    }
}

#[test]
fn a_connection_is_reused_for_later_calls() {
    let engine = StandinServer::start(|call| result_page(call, &["a\tb\tc\n", "d\te\tf\n"]));
    let mut client = Client::connect(&RouterThread::start_with_idle_discovery(&[engine.address]));
    let (mut number, mut connections_used, deadline) = (0, Vec::new(), Instant::now() + TEST_TIMEOUT);
    // A connection stays idle for a minimum time between jobs, so the first connection is used again only
    // after some jobs.
    while connections_used.iter().filter(|connection| **connection == 0).count() < 4 {
        assert!(Instant::now() < deadline, "{connections_used:?}");
        number += 1;
        client.send_job(number, "load", 20_000);
        assert!(client.receive().1.is_ok());
        let post = engine.wait_for_call("POST").connection;
        assert_eq!(
            engine.wait_for_call("GET /v2/q/").connection,
            post,
            "all calls of a job go over one connection"
        );
        connections_used.push(post);
    }
}

#[test]
fn a_draining_engine_gets_no_more_queries() {
    let engines = [0, 1].map(|_| StandinServer::start(|call| result_page(call, &["a\tb\tc\n"])));
    let (events, [old, new]) = (DiscoveryEvents::default(), engines.each_ref().map(|engine| engine.address));
    let bulletin = events.serve();
    let mut client = Client::connect(&RouterThread::start(&[old], bulletin.address));
    events.add(2, vec![roster_member("s-0", old, "DRAINING"), roster_member("s-1", new, "SERVING")]);
    bulletin.wait_for_call("GET /bulletins?after=2&");
    client.send_job(1, "load", 20_000);
    assert!(client.receive().1.is_ok());
    assert!(engines[0].received_calls("POST").is_empty());
    engines[1].wait_for_call("POST");
}

#[test]
fn a_dispatch_waiting_for_a_descriptor_is_not_sent_once_its_engine_drains() {
    let engines = [0, 1].map(|_| {
        StandinServer::start(|call| {
            let third = call.fields.iter().any(|field| field == "X-Trace: 0000000000000003");
            if third { result_page(call, &["a\tb\tc\n"]) } else { response(202, &[], "") }
        })
    });
    let (events, [old, new]) = (DiscoveryEvents::default(), engines.each_ref().map(|engine| engine.address));
    let bulletin = events.serve();
    // There are two descriptors for queries.
    let mut client =
        Client::connect(&RouterThread::start_with_config(&router_config(&[old], bulletin.address, 41)));
    for number in 1..4 {
        client.send_job(number, "load", 20_000);
    }
    engines[0].wait_for_call("POST");
    engines[0].wait_for_call("POST");
    events.add(2, vec![roster_member("s-0", old, "DRAINING"), roster_member("s-1", new, "SERVING")]);
    bulletin.wait_for_call("GET /bulletins?after=2&");
    client.send_abort(1);
    assert_eq!(client.receive(), (3, Ok("a\tb\tc\n".to_owned())));
    engines[1].wait_for_call("POST");
    assert!(engines[0].received_calls("POST").is_empty());
}

#[test]
fn an_event_that_the_bulletin_omits_is_requested_again() {
    let engine = StandinServer::start(|call| result_page(call, &["a\tb\tc\n"]));
    let (events, complete_events) = (DiscoveryEvents::default(), DiscoveryEvents::default());
    for number in 2..4 {
        complete_events.add(number, vec![roster_member(&format!("s-{number}"), engine.address, "SERVING")]);
    }
    events.add(3, vec![]);
    let mut gaps = 2;
    let bulletin = StandinServer::start(move |call| {
        gaps -= usize::from(gaps > 0);
        if gaps > 0 { events.answer(call) } else { complete_events.answer(call) }
    });
    let mut client = Client::connect(&RouterThread::start(&[], bulletin.address));
    let first = bulletin.wait_for_call("GET /bulletins?after=1&");
    let again = bulletin.wait_for_call("GET /bulletins?after=1&");
    assert_ne!(first.connection, again.connection);
    bulletin.wait_for_call("GET /bulletins?after=3&");
    client.send_job(1, "load", 20_000);
    assert!(client.receive().1.is_ok());
}

#[test]
fn a_reload_moves_to_the_new_bulletin_at_the_same_event_number() {
    let engines = [0, 1].map(|_| StandinServer::start(|call| result_page(call, &["a\tb\tc\n"])));
    let [old, new] = engines.each_ref().map(|engine| engine.address);
    // The first bulletin keeps its calls open and sends nothing more.
    let (first, second) = (StandinServer::start(|_| Response::NoResponse), DiscoveryEvents::default());
    let router = RouterThread::start(&[old], first.address);
    first.wait_for_call("GET /bulletins?after=1&");
    let mut client = Client::connect(&router);
    second.add(2, vec![roster_member("s-0", old, "DRAINING"), roster_member("s-1", new, "SERVING")]);
    let bulletin = second.serve();
    let reload = |text: &str| {
        router.commands.send_blocking(OperatorCommand::Reload(config::parse(text, None))).unwrap()
    };
    reload("{");
    reload(&router_config(&[old], unused_address(), 1024));
    reload(&router_config(&[old], bulletin.address, 1024));
    bulletin.wait_for_call("GET /bulletins?after=1&");
    bulletin.wait_for_call("GET /bulletins?after=2&");
    client.send_job(1, "load", 20_000);
    assert!(client.receive().1.is_ok());
    engines[1].wait_for_call("POST");
    // The router still obeys a stop command.
    router.commands.send_blocking(OperatorCommand::Stop).unwrap();
    router.expect_clean_end();
}

#[test]
fn a_stopping_router_serves_late_requests_and_then_ends() {
    let engine = StandinServer::start(|call| {
        match call.fields.iter().any(|field| field == "X-Trace: 0000000000000001") {
            _ if call.line.starts_with("DELETE") => response(204, &[], ""),
            true => response(202, &[], ""),
            false if call.line.contains("/0000000000000001/") => response(202, &[], ""),
            false => result_page(call, &["a\tb\tc\n"]),
        }
    });
    let router = RouterThread::start_with_idle_discovery(&[engine.address]);
    let mut client = Client::connect(&router);
    assert!(client.ping(9));
    client.send_job(1, "load", 60_000);
    engine.wait_for_call("POST");
    router.commands.send_blocking(OperatorCommand::Stop).unwrap();
    // The front end is notified of the stop, and the router continues to serve.
    while client.ping(9) {}
    let mut late = Client::connect(&router);
    (2..22).for_each(|number| late.send_job(number, "load", 20_000));
    let mut served: Vec<_> = (2..22).map(|_| late.receive()).collect();
    served.sort();
    assert!(served.into_iter().eq((2..22).map(|number| (number, Ok("a\tb\tc\n".to_owned())))));
    // The first job would outlast the shutdown.
    assert_eq!(client.receive(), (1, Err("Internal".to_owned())));
    router.expect_clean_end();
}

#[test]
fn an_idle_client_is_closed_unless_it_awaits_an_answer() {
    let done = Arc::new(AtomicBool::new(false));
    let is_done = done.clone();
    let engine = StandinServer::start(move |call| {
        if is_done.load(Ordering::Relaxed) {
            result_page(call, &["a\tb\tc\n"])
        } else {
            response(202, &[], "")
        }
    });
    let router = RouterThread::start_with_idle_discovery(&[engine.address]);
    let mut waiting = Client::connect(&router);
    waiting.send_job(1, "load", 60_000);
    // One client is silent, one stalls in the middle of a message, and one announces bytes that it never
    // sends.
    for bytes in [&[][..], &[0x94, 0x00], &[0xdd, 0, 0, 0x40, 0, 0xc0]] {
        let mut idle = Client::connect(&router);
        idle.0.write_all(bytes).unwrap();
        assert!(idle.is_closed());
    }
    // Another client sends byte after byte without end.
    let mut slow = Client::connect(&router);
    let mut writer = slow.0.try_clone().unwrap();
    let slow_sender = std::thread::spawn(move || {
        writer.write_all(&[0x94, 0x00, 0x01, 0xc5, 0xff, 0xff]).unwrap();
        while writer.write_all(&[0x78]).is_ok() {
            std::thread::yield_now();
        }
    });
    assert!(slow.is_closed());
    slow_sender.join().unwrap();
    done.store(true, Ordering::Relaxed);
    assert_eq!(waiting.receive(), (1, Ok("a\tb\tc\n".to_owned())));
}

#[test]
fn a_malformed_message_closes_only_its_own_connection() {
    let engine = StandinServer::start(|call| result_page(call, &["a\tb\tc\n"]));
    let router = RouterThread::start_with_idle_discovery(&[engine.address]);
    let mut valid_client = Client::connect(&router);
    for bytes in [&b"GET / HTTP/1.1\r\n\r\n"[..], &[0xc1], &[0x94, 0x00, 0x01, 0xdf, 0xff, 0xff, 0xff, 0xff]]
    {
        let mut invalid_client = Client::connect(&router);
        invalid_client.0.write_all(bytes).unwrap();
        invalid_client.0.shutdown(std::net::Shutdown::Write).unwrap();
        assert!(invalid_client.is_closed());
    }
    let valid_fields = [("id", "00000000000000aa"), ("wait", "3000"), ("cost", "820.0"), ("ram", "96")];
    let with = |name: &'static str, value: &'static str| {
        valid_fields.map(|(known, before)| (known, if known == name { value } else { before })).to_vec()
    };
    let mut invalid_fields =
        vec![vec![], valid_fields[1..].to_vec(), [&valid_fields[..], &[("retry", "yes")]].concat()];
    invalid_fields.push([&valid_fields[..], &valid_fields[1..2]].concat());
    invalid_fields.extend(["", "1", "1 HTTP/1.1\r\nX: y", "00000000000000ag"].map(|id| with("id", id)));
    invalid_fields.extend(
        ["-1", "1e3", "inf", "NaN", "soon", "", "1.5", "60001", "9".repeat(30).leak()]
            .map(|w| with("wait", w)),
    );
    invalid_fields
        .extend(["-1", "1e300", "nan", "", "480001", "9".repeat(400).leak()].map(|cost| with("cost", cost)));
    invalid_fields.extend(["-1", "1e300", "nan", "", "1001"].map(|ram| with("ram", ram)));
    let mut number = 0;
    let mut next_number = || {
        number += 1;
        number
    };
    for fields in invalid_fields {
        let number = next_number();
        valid_client.0.write_all(&Client::encode_request(number, "look", &fields, "select 1")).unwrap();
        assert_eq!(valid_client.receive(), (number, Err("Malformed".to_owned())), "{fields:?}");
    }
    for (class, statement) in [("nothing", "select 1"), ("look", " ")] {
        let number = next_number();
        valid_client.0.write_all(&Client::encode_request(number, class, &valid_fields, statement)).unwrap();
        assert_eq!(valid_client.receive(), (number, Err("Malformed".to_owned())));
    }
    // One request whose fields are nested too deeply.
    let (number, deep) = (next_number(), [&b"\xa4look"[..], &[0x92], &[0x91; 2_000], &[0xc0, 0xc0]].concat());
    valid_client.0.write_all(&[&[0x94, 0x00, number as u8], &deep[..]].concat()).unwrap();
    assert_eq!(valid_client.receive(), (number, Err("Malformed".to_owned())));
    valid_client.send_job(99, "look", 20_000);
    assert_eq!(valid_client.receive(), (99, Ok("a\tb\tc\n".to_owned())));
    assert_eq!(engine.received_calls("POST").len(), 1);
}

#[test]
fn a_message_announced_too_long_is_rejected_and_its_connection_closed() {
    let router = RouterThread::start_with_idle_discovery(&[]);
    let mut client = Client::connect(&router);
    // The message announces 60 MB that never arrive.
    let message = Client::encode_job(1, "look", "00000000000000aa", 3_000, "");
    let announced = [&message[..message.len() - 2], &[0xc6, 0x03, 0x93, 0x87, 0x00]].concat();
    client.0.write_all(&announced).unwrap();
    assert_eq!(client.receive(), (1, Err("Malformed".to_owned())));
    assert!(client.is_closed());
}

#[test]
fn two_requests_with_one_number_close_the_connection() {
    let engine = StandinServer::start(|call| response(if post(call) { 202 } else { 204 }, &[], ""));
    let router = RouterThread::start_with_idle_discovery(&[engine.address]);
    let mut client = Client::connect(&router);
    client.send_job(1, "load", 20_000);
    engine.wait_for_call("POST");
    client.send_job(1, "load", 20_000);
    assert!(client.is_closed());
    engine.wait_for_call("DELETE /v2/q/0000000000000001 ");
}

#[test]
fn requests_beyond_the_limit_of_a_connection_are_rejected_at_once() {
    let engine = StandinServer::start(|call| {
        response(if call.line.starts_with("DELETE") { 204 } else { 202 }, &[], "")
    });
    let mut client = Client::connect(&RouterThread::start_with_idle_discovery(&[engine.address]));
    for number in 1..=300 {
        client.send_job(number, "load", 60_000);
    }
    for number in 41..=300 {
        assert_eq!(client.receive(), (number, Err("Overloaded".to_owned())));
    }
}

#[test]
fn at_the_connection_limit_the_longest_idle_one_is_closed() {
    let engine = StandinServer::start(|call| result_page(call, &["a\tb\tc\n"]));
    let bulletin = DiscoveryEvents::default().serve();
    // There are thirteen descriptors for clients.
    let router = RouterThread::start_with_config(&router_config(&[engine.address], bulletin.address, 41));
    let mut clients: Vec<_> = (0..13).map(|_| Client::connect(&router)).collect();
    // Each job has an id of its own, as a run-once id that comes again is not served.
    for (number, client) in (1..).zip(&mut clients) {
        client.send_job(number, "load", 20_000);
        assert!(client.receive().1.is_ok(), "{number}");
        client.send_job(number + 1, "nothing", 20_000);
        assert!(client.receive().1.is_err(), "{number}");
    }
    let mut new = Client::connect(&router);
    new.send_job(100, "load", 20_000);
    assert!(new.receive().1.is_ok());
    clients[0].0.set_nonblocking(false).unwrap();
    assert!(clients[0].is_closed());
    clients[12].0.set_nonblocking(true).unwrap();
    assert!(!clients[12].is_closed());
}

#[test]
fn the_table_group_is_the_schema_number() {
    for (statement, group) in [
        ("SELECT id, n, note -- was: from mart_1.old\n FROM sales_0.lines LIMIT 500", Some(0)),
        (
            "select a.id, 'from lake_0.decoy' as note from mart_6.events a where a.tag = 'it''s x_9.y'",
            Some(6),
        ),
        ("WITH w AS (SELECT * FROM ops_5.stock) SELECT id FROM w", Some(5)),
        ("INSERT INTO mart_3.events SELECT * FROM staging.batch", Some(3)),
        (
            "merge into ops_5.orders d using staging.delta s on d.id = s.id when matched then update set n = s.n",
            Some(5),
        ),
        ("/* from a_1.b /* nested */ */ update \"lake_12\".\"t\" set n = 1", Some(12)),
        ("select t_9.id from sales_17.orders t_9", Some(17)),
        ("select t_9.id from staging.x, sales_4.orders t_9", Some(4)),
        ("select $q$ from a_1.b $q$, 1 from c_2.d", Some(2)),
        ("select 1 from staging.x", None),
        (r"select e'it\'s from a_1.b', e, 'x\' from c_2.d", Some(2)),
        ("select 'open", None),
        ("select 'ž' from \"žito_8\".\"šifra\" /* čas", Some(8)),
        ("select 1", None),
    ] {
        assert_eq!(table_group(statement), group, "{statement}");
        for end in (0..statement.len()).filter(|end| statement.is_char_boundary(*end)) {
            table_group(&statement[..end]);
        }
    }
}

#[test]
fn a_panicking_task_ends_no_other_task() {
    let tasks = Tasks::default();
    let (sender, receiver) = async_channel::bounded(1);
    tasks.spawn(async { panic!("intended by the test") });
    tasks.spawn(async move { sender.send(7).await.unwrap() });
    assert_eq!(block_on(tasks.run(receiver.recv())), Ok(7));
}

#[test]
fn memory_is_waited_for_and_released() {
    block_on(async {
        // Half of the 1,600 bytes is shared, of which one connection may hold half; 80 bytes are reserved for
        // each connection.
        let budget = MemoryBudget::new(1_600, 10);
        let holder = |connection| Holder { connection, address: [127, 0, 0, 1].into() };
        let first = budget.acquire(holder(1), 400).await;
        let mut second = std::pin::pin!(budget.acquire(holder(1), 300));
        assert!(poll_once(second.as_mut()).await.is_none());
        // Meanwhile other connections get their reserved bytes and the rest of the shared part.
        let others: Vec<_> = (2..=10).map(|other| budget.try_acquire(holder(other), 80)).collect();
        assert!(others.iter().all(Option::is_some));
        drop(first);
        assert!(poll_once(second.as_mut()).await.is_some());
    });
}

#[test]
fn clients_hold_at_most_a_third_of_the_descriptors_and_control_calls_have_their_own() {
    let parts = DescriptorBudget::split(1024);
    let count = |part: &Arc<async_lock::Semaphore>| {
        std::iter::from_fn(|| part.try_acquire_arc()).take(2000).collect::<Vec<_>>().len()
    };
    let counts = [&parts.clients, &parts.queries, &parts.control_calls, &parts.probes].map(count);
    assert!(
        counts[0] <= 1024 / 3
            && counts[2..].iter().all(|count| *count > 0)
            && counts.iter().sum::<usize>() < 1024,
        "{counts:?}"
    );
}
