//! Engines and clients that read or write too slowly, on loopback, and their effect on others.

use std::io::Write;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use serde_json::json;
use woadhook_operator::OperatorFile;
use woadhook_router::stop::OperatorCommand;
use woadhook_standins::calls::{FirstCall, is_for_job, is_post, modified_config};
use woadhook_standins::*;

const ROWS: &str = "a\tb\tc\n";

/// A router with strict limits.
fn strict_router(engines: &[std::net::SocketAddr]) -> RouterThread {
    let config = router_config(engines, DiscoveryEvents::default().serve().address, 1024);
    let operator_file = r#"{"pace": {"client_sends_bytes_per_s": 60, "client_grace_ms": 300, "client_takes_bytes_per_s": 100000}}"#;
    RouterThread::start_with_operator_file(
        &config,
        None,
        OperatorFile::parse(operator_file, Path::new("strict")).unwrap(),
    )
}

/// Writes a message one byte at a time. Returns the time until a write failed, or `None` if all bytes were
/// accepted.
fn write_slowly(client: &mut Client, message: &[u8], gap: Duration) -> Option<Duration> {
    let began = Instant::now();
    for byte in message {
        thread::sleep(gap);
        if client.0.write_all(&[*byte]).is_err() {
            return Some(began.elapsed());
        }
    }
    None
}

#[test]
fn a_request_just_above_the_minimum_rate_is_served_and_just_below_is_dropped() {
    let engine = StandinServer::start(|call| result_page(call, &[ROWS]));
    let router = strict_router(&[engine.address]);
    let message = Client::encode_job(1, "look", "9b1f03aa5c7e2d41", 20_000, "select 1 from a_1.x");
    let (above, below) = (Duration::from_millis(10), Duration::from_millis(60));
    let mut client = Client::connect(&router);
    assert!(client.ping(9));
    assert_eq!(write_slowly(&mut client, &message, above), None);
    assert_eq!(client.receive(), (1, Ok(ROWS.to_owned())));
    let mut slow = Client::connect(&router);
    assert!(slow.ping(9));
    let dropped =
        write_slowly(&mut slow, &message, below).expect("the connection is dropped before the last byte");
    assert!(
        dropped < Duration::from_millis(1_400),
        "dropped by the time limit of the message, not by its rate: {dropped:?}"
    );
}

/// Guards against no longer reading a client that writes a message slowly while it awaits an answer: that
/// message and those behind it had arrived and were never answered.
#[test]
fn a_request_written_slowly_beside_an_open_one_is_served_and_so_are_those_behind_it() {
    const REPORT_TIME: Duration = Duration::from_secs(4);
    let began = FirstCall::default();
    let engine = StandinServer::start(move |call| {
        let is_report = is_for_job(call, 1) || call.line.contains("0000000000000001/");
        began.record(is_report);
        if is_report && began.at().elapsed() < REPORT_TIME {
            let pause = Duration::from_millis(if is_post(call) { 0 } else { 200 });
            return Response::Delayed(pause, Box::new(response(202, &[], "")));
        }
        result_page(call, &[ROWS])
    });
    let mut client = Client::connect(&RouterThread::start_with_idle_discovery(&[engine.address]));
    client.send_job(1, "load", 20_000);
    engine.wait_for_call("POST");
    // A message may take 1.5 s where no answer is due.
    let message = Client::encode_job(2, "look", "0000000000000002", 20_000, "select 1 from sales_1.x");
    for piece in message.chunks(message.len().div_ceil(10)) {
        client.0.write_all(piece).unwrap();
        thread::sleep(Duration::from_millis(200));
    }
    client.send_job(3, "look", 20_000);
    let mut answered: Vec<_> = (0..3).map(|_| client.receive()).collect();
    answered.sort();
    assert_eq!(answered, [1, 2, 3].map(|number| (number, Ok(ROWS.to_owned()))));
}

/// Guards against closing a connection without an answer because there is no memory for a long request, and
/// against leaving what is behind that request unread.
#[test]
fn a_request_for_which_there_is_no_memory_is_refused_and_the_next_one_is_served() {
    let engine = StandinServer::start(|call| result_page(call, &[ROWS]));
    let router = RouterThread::start_with_config(&modified_config(
        &[engine.address],
        DiscoveryEvents::default().serve().address,
        |config| config["limits"]["memory_mb"] = json!(1),
    ));
    let long = format!("select 1 from sales_1.x -- {}", "x".repeat(100_000));
    for (pieces, first) in [(1, 1), (40, 11)] {
        let mut client = Client::connect(&router);
        let message = Client::encode_job(first, "look", "00000000000000aa", 20_000, &long);
        for piece in message.chunks(message.len().div_ceil(pieces)) {
            client.0.write_all(piece).unwrap();
        }
        client.send_job(first + 1, "look", 20_000);
        assert_eq!(client.receive(), (first, Err("Overloaded".to_owned())));
        assert_eq!(client.receive(), (first + 1, Ok(ROWS.to_owned())));
    }
}

#[test]
fn hundreds_of_slow_clients_keep_no_normal_client_out() {
    let engine = StandinServer::start(|call| result_page(call, &[ROWS]));
    let router = strict_router(&[engine.address]);
    let message = Client::encode_job(1, "look", "9b1f03aa5c7e2d41", 20_000, "select 1 from a_1.x");
    let mut slow: Vec<Client> = (0..400).map(|_| Client::connect(&router)).collect();
    for (number, client) in slow.iter_mut().enumerate() {
        let _ = client.0.write_all(&message[..1 + number % 20]);
    }
    for number in 1..=20 {
        let mut normal = Client::connect(&router);
        normal.send_job(number, "look", 20_000);
        assert_eq!(normal.receive(), (number, Ok(ROWS.to_owned())));
    }
    assert!(slow.iter_mut().all(Client::is_closed));
}

#[test]
fn answers_that_nobody_reads_close_the_connection_and_shutdown_ends_in_time() {
    let row = format!("{}\tb\tc\n", "x".repeat(5_900));
    let page: &'static str = row.leak();
    let engine = StandinServer::start(move |call| result_page(call, &[page; 8]));
    let router = strict_router(&[engine.address]);
    let mut non_reader = Client::with_small_receive_buffer(&router);
    for round in 0..4 {
        for number in 1..=30 {
            non_reader.send_job(round * 30 + number, "look", 20_000);
        }
        thread::sleep(Duration::from_millis(150));
    }
    let mut normal = Client::connect(&router);
    normal.send_job(1, "look", 20_000);
    assert!(normal.receive().1.is_ok());
    // The client sees complete answers up to some point and then the end of the connection.
    router.commands.send_blocking(OperatorCommand::Stop).unwrap();
    router.expect_clean_end();
    assert!(non_reader.is_closed());
}

#[test]
fn a_slow_page_is_requested_again_on_a_new_connection_and_nothing_runs_twice() {
    let long_page: &'static str = ROWS.repeat(200).leak();
    let mut first = true;
    let engine = StandinServer::start(move |call| {
        if call.line.contains("/1 ") && std::mem::take(&mut first) {
            return Response::InPieces(
                200,
                vec!["X-Batch: 1".to_owned()],
                long_page.into(),
                4,
                Duration::from_millis(40),
            );
        }
        result_page(call, &[long_page, long_page])
    });
    let mut client = Client::connect(&RouterThread::start_with_idle_discovery(&[engine.address]));
    client.send_job(1, "load", 20_000);
    assert_eq!(client.receive(), (1, Ok(long_page.repeat(2))));
    let calls = engine.received_calls("");
    let calls_to = |start: &str| calls.iter().filter(|call| call.line.starts_with(start)).collect::<Vec<_>>();
    assert_eq!(calls_to("POST").len(), 1);
    let page_calls = calls_to("GET /v2/q/0000000000000001/1 ");
    assert_eq!(page_calls.len(), 2);
    assert_ne!(page_calls[0].connection, page_calls[1].connection);
}

#[test]
fn a_slow_result_is_served_when_all_engines_are_slow() {
    let long_page: &'static str = ROWS.repeat(300).leak();
    let engine = StandinServer::start(move |call| match call.line.split(' ').next() {
        Some("POST") => response(202, &[], ""),
        Some("GET") if call.line.contains("/1 ") => Response::InPieces(
            200,
            vec!["X-Batch: 1".to_owned()],
            long_page.into(),
            120,
            Duration::from_millis(90),
        ),
        _ => result_page(call, &[long_page, long_page]),
    });
    let mut client = Client::connect(&RouterThread::start_with_idle_discovery(&[engine.address]));
    client.send_job(1, "load", 30_000);
    assert_eq!(client.receive(), (1, Ok(long_page.repeat(2))));
    assert_eq!(engine.received_calls("POST").len(), 1);
}

#[test]
fn a_page_with_a_slow_head_or_a_missing_last_byte_is_requested_again() {
    for (piece, missing_bytes) in [(1, 0), (400, 1)] {
        let mut first = true;
        let engine = StandinServer::start(move |call| {
            if call.line.contains("/1 ") && std::mem::take(&mut first) {
                let mut body = ROWS.as_bytes().to_vec();
                body.truncate(body.len() - missing_bytes);
                // The head gives the full length; the last byte never arrives.
                let fields = vec!["X-Batch: 1".to_owned(), format!("X-Pad: {}", "p".repeat(200))];
                return if missing_bytes == 0 {
                    Response::InPieces(200, fields, body, piece, Duration::from_millis(60))
                } else {
                    let head =
                        format!("HTTP/1.1 200 x\r\nX-Batch: 1\r\nContent-Length: {}\r\n\r\n", ROWS.len());
                    Response::RawKeepOpen(head + std::str::from_utf8(&body).unwrap())
                };
            }
            result_page(call, &[ROWS, ROWS])
        });
        let mut client = Client::connect(&RouterThread::start_with_idle_discovery(&[engine.address]));
        client.send_job(1, "load", 20_000);
        assert_eq!(client.receive(), (1, Ok(ROWS.repeat(2))));
        assert_eq!(engine.received_calls("POST").len(), 1);
    }
}

#[test]
fn a_client_that_pauses_gets_all_answers_within_its_grace_and_a_visible_end_beyond() {
    let row = format!("{}\tb\tc\n", "x".repeat(5_900));
    let page: &'static str = row.leak();
    let engine = StandinServer::start(move |call| result_page(call, &[page; 8]));
    for (grace, is_complete) in [(4_000, true), (500, false)] {
        let config = router_config(&[engine.address], DiscoveryEvents::default().serve().address, 1024);
        let operator_file = format!(r#"{{"pace": {{"client_grace_ms": {grace}}}}}"#);
        let router = RouterThread::start_with_operator_file(
            &config,
            None,
            OperatorFile::parse(&operator_file, Path::new("patient")).unwrap(),
        );
        let mut client = Client::with_small_receive_buffer(&router);
        let requests = 60;
        for number in 1..=requests {
            client.send_job(number, "look", 20_000);
            if number % 20 == 0 {
                // The pause keeps the open requests at 32 or fewer, as the protocol demands.
                thread::sleep(Duration::from_millis(300));
            }
        }
        thread::sleep(Duration::from_secs(3));
        let taken = client.count_answers(requests);
        assert_eq!(
            taken == requests as usize,
            is_complete,
            "{taken} complete answers with {grace} ms of grace"
        );
    }
}
