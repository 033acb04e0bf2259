//! Peers that read or write too slowly, on loopback, and what the others notice of them.

use std::io::Write;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use woadhook_operator::OperatorFile;
use woadhook_router::stop::OperatorCommand;
use woadhook_standins::*;

const ROWS: &str = "a\tb\tc\n";

/// A router that bears little.
fn strict(engines: &[std::net::SocketAddr]) -> RouterThread {
    let told = router_config(engines, DiscoveryEvents::default().serve().address, 1024);
    let sheet = r#"{"pace": {"client_sends_bytes_per_s": 60, "client_grace_ms": 300, "client_takes_bytes_per_s": 100000}}"#;
    RouterThread::start_with_operator_file(
        &told,
        None,
        OperatorFile::parse(sheet, Path::new("strict")).unwrap(),
    )
}

/// Writes a message a byte at a time; how long it took until that was refused, or nothing if all was taken.
fn trickles(client: &mut Client, message: &[u8], gap: Duration) -> Option<Duration> {
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
fn a_request_that_trickles_in_just_above_the_rate_is_served_and_just_below_is_dropped() {
    let engine = StandinServer::start(|call| result_page(call, &[ROWS]));
    let router = strict(&[engine.address]);
    let message = Client::encode_job(1, "look", "9b1f03aa5c7e2d41", 20_000, "select 1 from a_1.x");
    let (above, below) = (Duration::from_millis(10), Duration::from_millis(60));
    let mut client = Client::connect(&router);
    assert!(client.ping(9));
    assert_eq!(trickles(&mut client, &message, above), None);
    assert_eq!(client.receive(), (1, Ok(ROWS.to_owned())));
    let mut slow = Client::connect(&router);
    assert!(slow.ping(9));
    let dropped = trickles(&mut slow, &message, below).expect("dropped before its last byte");
    assert!(
        dropped < Duration::from_millis(1_400),
        "by the rate, not by the whole message's time: {dropped:?}"
    );
}

#[test]
fn hundreds_that_trickle_keep_no_usual_client_out() {
    let engine = StandinServer::start(|call| result_page(call, &[ROWS]));
    let router = strict(&[engine.address]);
    let message = Client::encode_job(1, "look", "9b1f03aa5c7e2d41", 20_000, "select 1 from a_1.x");
    let mut slow: Vec<Client> = (0..400).map(|_| Client::connect(&router)).collect();
    for (number, client) in slow.iter_mut().enumerate() {
        let _ = client.0.write_all(&message[..1 + number % 20]);
    }
    for number in 1..=20 {
        let mut usual = Client::connect(&router);
        usual.send_job(number, "look", 20_000);
        assert_eq!(usual.receive(), (number, Ok(ROWS.to_owned())));
    }
    assert!(slow.iter_mut().all(Client::is_closed));
}

#[test]
fn answers_that_nobody_takes_cost_the_connection_and_stop_ends_in_time() {
    let row = format!("{}\tb\tc\n", "x".repeat(5_900));
    let page: &'static str = row.leak();
    let engine = StandinServer::start(move |call| result_page(call, &[page; 8]));
    let router = strict(&[engine.address]);
    let mut greedy = Client::with_small_receive_buffer(&router);
    for round in 0..4 {
        for number in 1..=30 {
            greedy.send_job(round * 30 + number, "look", 20_000);
        }
        thread::sleep(Duration::from_millis(150));
    }
    let mut usual = Client::connect(&router);
    usual.send_job(1, "look", 20_000);
    assert!(usual.receive().1.is_ok());
    // Whole answers up to some point, then the end: the client can tell.
    router.commands.send_blocking(OperatorCommand::Stop).unwrap();
    router.expect_clean_end();
    assert!(greedy.is_closed());
}

#[test]
fn a_page_at_a_crawl_is_asked_for_again_on_a_new_connection_and_nothing_runs_twice() {
    let long: &'static str = ROWS.repeat(200).leak();
    let mut first = true;
    let engine = StandinServer::start(move |call| {
        if call.line.contains("/1 ") && std::mem::take(&mut first) {
            return Response::InPieces(
                200,
                vec!["X-Batch: 1".to_owned()],
                long.into(),
                4,
                Duration::from_millis(40),
            );
        }
        result_page(call, &[long, long])
    });
    let mut client = Client::connect(&RouterThread::start_with_idle_discovery(&[engine.address]));
    client.send_job(1, "load", 20_000);
    assert_eq!(client.receive(), (1, Ok(long.repeat(2))));
    let calls = engine.received_calls("");
    let of = |start: &str| calls.iter().filter(|call| call.line.starts_with(start)).collect::<Vec<_>>();
    assert_eq!(of("POST").len(), 1);
    let asked = of("GET /v2/q/0000000000000001/1 ");
    assert_eq!(asked.len(), 2);
    assert_ne!(asked[0].connection, asked[1].connection);
}

#[test]
fn where_all_engines_crawl_a_result_comes_as_it_comes() {
    let long: &'static str = ROWS.repeat(300).leak();
    let engine = StandinServer::start(move |call| match call.line.split(' ').next() {
        Some("POST") => response(202, &[], ""),
        Some("GET") if call.line.contains("/1 ") => Response::InPieces(
            200,
            vec!["X-Batch: 1".to_owned()],
            long.into(),
            120,
            Duration::from_millis(90),
        ),
        _ => result_page(call, &[long, long]),
    });
    let mut client = Client::connect(&RouterThread::start_with_idle_discovery(&[engine.address]));
    client.send_job(1, "load", 30_000);
    assert_eq!(client.receive(), (1, Ok(long.repeat(2))));
    assert_eq!(engine.received_calls("POST").len(), 1);
}

#[test]
fn a_head_that_crawls_or_a_last_byte_that_never_comes_is_asked_for_again() {
    for (piece, held) in [(1, 0), (400, 1)] {
        let mut first = true;
        let engine = StandinServer::start(move |call| {
            if call.line.contains("/1 ") && std::mem::take(&mut first) {
                let mut body = ROWS.as_bytes().to_vec();
                body.truncate(body.len() - held);
                // The head tells the whole length; the last byte stays away.
                let fields = vec!["X-Batch: 1".to_owned(), format!("X-Pad: {}", "p".repeat(200))];
                return if held == 0 {
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
fn a_client_that_pauses_for_three_seconds_gets_all_and_one_that_pauses_too_long_can_tell() {
    let row = format!("{}\tb\tc\n", "x".repeat(5_900));
    let page: &'static str = row.leak();
    let engine = StandinServer::start(move |call| result_page(call, &[page; 8]));
    for (grace, whole) in [(4_000, true), (500, false)] {
        let told = router_config(&[engine.address], DiscoveryEvents::default().serve().address, 1024);
        let sheet = format!(r#"{{"pace": {{"client_grace_ms": {grace}}}}}"#);
        let router = RouterThread::start_with_operator_file(
            &told,
            None,
            OperatorFile::parse(&sheet, Path::new("patient")).unwrap(),
        );
        let mut client = Client::with_small_receive_buffer(&router);
        let most = 60;
        for number in 1..=most {
            client.send_job(number, "look", 20_000);
            if number % 20 == 0 {
                // So that no more than 32 are open, as the protocol wants it.
                thread::sleep(Duration::from_millis(300));
            }
        }
        thread::sleep(Duration::from_secs(3));
        let taken = client.count_answers(most);
        assert_eq!(taken == most as usize, whole, "{taken} whole answers with {grace} ms of grace");
    }
}
