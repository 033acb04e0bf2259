//! The order of a key behind a query that was given up, reset or left at an engine that hangs, drains, closed its port or is another process
//! by now: the next query of the key goes out once the first one is surely over.

use std::env;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::json;
use woadhook_standins::calls::{FirstCall, LastCall, is_for_job, is_post, modified_config, unused_address};
use woadhook_standins::*;

const ROWS: &str = "a\tb\tc\n";

#[test]
fn the_order_of_a_key_waits_for_an_engine_that_hangs_with_its_job() {
    let wakes = Arc::new(AtomicBool::new(false));
    let awake = wakes.clone();
    // It takes a job, and says nothing more of it.
    let hung = StandinServer::start(move |call| match () {
        _ if call.line.starts_with("GET /load") => response(200, &[], ""),
        _ if awake.load(Ordering::Relaxed) => result_page(call, &[ROWS]),
        _ => Response::NoResponse,
    });
    let (well, told_wakes) = (StandinServer::start(|call| result_page(call, &[ROWS])), wakes);
    // The engine that hangs comes first: the other stands in a dearer zone.
    let mut client = two_loads_of_one_key([&hung, &well], Duration::from_millis(50));
    // Its client hears at once that it failed; the key does not go on.
    assert_eq!(client.receive(), (1, Err("Internal".to_owned())));
    while hung.received_calls("DELETE").is_empty() {
        thread::yield_now();
    }
    (0..3).for_each(|_| _ = hung.wait_for_call("DELETE /v2/q/0000000000000001 "));
    assert!(well.received_calls("POST").is_empty());
    told_wakes.store(true, Ordering::Relaxed);
    assert_eq!(client.receive(), (2, Ok(ROWS.to_owned())));
}

/// A router before two engines, the second in a dearer zone, that keeps the order of loads with such a rest, and a client
/// that asks for two loads of one key.
fn two_loads_of_one_key(engines: [&StandinServer; 2], rest: Duration) -> Client {
    two_loads_told_of(engines, rest, unused_address(), Duration::from_secs(60))
}

/// The same with such a discovery, and a first load whose client waits so long.
fn two_loads_told_of(
    engines: [&StandinServer; 2], rest: Duration, discovery: SocketAddr, first_wait: Duration,
) -> Client {
    let told = modified_config(&[engines[0].address], discovery, |given| {
        let settings = &mut given["settings"];
        settings["obligations"]["turnGapUs"] = json!(rest.as_micros() as u64);
        settings["classes"][1]["keepOrder"] = json!(true);
        (settings["zones"], settings["prices"]) = (json!(["a", "b"]), json!({"crossZone": 0.1}));
        let mut dearer = roster_member("s-b", engines[1].address, "SERVING");
        dearer["locality"] = json!("b");
        given["known"]["items"][0]["roster"]["members"].as_array_mut().unwrap().push(dearer);
    });
    let mut client = Client::connect(&RouterThread::start_with_config(&told));
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
fn the_order_of_a_key_waits_where_its_engine_closed_its_port_over_a_job_that_began() {
    let (began, next) = (FirstCall::default(), FirstCall::default());
    let (noted, noted_next) = (began.clone(), next.clone());
    let dies = StandinServer::start(move |call| {
        noted.record(is_post(call));
        if is_post(call) { Response::EndProcess } else { response(200, &[], "") }
    });
    let well = StandinServer::start(move |call| {
        noted_next.record(is_post(call));
        result_page(call, &[ROWS])
    });
    // It stays listed as well: the query may be held there for as long as its client would have waited.
    let wait = Duration::from_secs(5);
    let mut client = two_loads_told_of([&dies, &well], Duration::from_millis(50), unused_address(), wait);
    assert_eq!(client.receive(), (1, Err("Internal".to_owned())));
    assert_eq!(client.receive(), (2, Ok(ROWS.to_owned())));
    assert!(next.at() - began.at() >= wait, "{:?}", next.at() - began.at());
}

/// Threat, as traced: an engine that drains takes no new connection and works on. The call that gives a query up has to go
/// over the connection that is up.
#[test]
fn a_query_at_an_engine_that_closed_its_port_is_given_up_over_its_own_connection() {
    let (deleted, next) = (FirstCall::default(), FirstCall::default());
    let (noted, noted_next, noted_there) = (deleted.clone(), next.clone(), next.clone());
    let none_yet = || response(202, &[], "");
    let drains = StandinServer::start(move |call| {
        noted.record(call.line.starts_with("DELETE"));
        noted_there.record(is_post(call) && is_for_job(call, 2));
        match call.line.split(' ').next() {
            Some("POST") if is_for_job(call, 1) => Response::ClosePort(Box::new(none_yet())),
            Some("GET") if call.line.contains("0000000000000001") => {
                Response::Delayed(Duration::from_millis(150), Box::new(none_yet()))
            }
            _ => result_page(call, &[ROWS]),
        }
    });
    let well = StandinServer::start(move |call| {
        noted_next.record(is_post(call));
        result_page(call, &[ROWS])
    });
    let mut client = two_loads_of_one_key([&drains, &well], Duration::from_millis(50));
    drains.wait_for_call("GET");
    client.send_abort(1);
    assert_eq!(client.receive(), (2, Ok(ROWS.to_owned())));
    drains.wait_for_call("DELETE /v2/q/0000000000000001 ");
    assert!(deleted.at() < next.at(), "the first is given up before the next one goes out");
}

/// Held, reset, refused: the query's own connection is reset at an engine that drains, takes no new connection and works on. Nothing can
/// give the first one up there, so the next of its key waits for as long as the first one's client would have, whether that client waits
/// on or has gone. By the protocol the engine ends a query that nobody asked for in 2 s, so that it runs no more by then.
#[test]
fn the_order_of_a_key_waits_where_a_query_was_reset_at_an_engine_that_refuses() {
    for client_goes in [false, true] {
        let (began, next) = (FirstCall::default(), FirstCall::default());
        let (noted, noted_next) = (began.clone(), next.clone());
        let drains = StandinServer::start(move |call| {
            noted.record(is_post(call));
            let still_running = response(202, &[], "");
            match call.line.split(' ').next() {
                Some("POST") => Response::ClosePort(Box::new(still_running)),
                _ => Response::Delayed(Duration::from_millis(150), Box::new(Response::CloseConnection)),
            }
        });
        let well = StandinServer::start(move |call| {
            noted_next.record(is_post(call));
            result_page(call, &[ROWS])
        });
        let wait = Duration::from_secs(5);
        let mut client =
            two_loads_told_of([&drains, &well], Duration::from_millis(50), unused_address(), wait);
        drains.wait_for_call("GET");
        if client_goes {
            client.send_abort(1);
        } else {
            assert_eq!(client.receive(), (1, Err("Internal".to_owned())));
        }
        assert_eq!(client.receive(), (2, Ok(ROWS.to_owned())));
        let waited = next.at() - began.at();
        assert!(waited >= wait, "client goes: {client_goes}; {waited:?}");
    }
}

/// By the protocol an engine ends a query that was not asked for in so long.
const UNASKED: Duration = Duration::from_secs(2);

/// Guards against taking any answer to a DELETE for the word that the query was given up: by the protocol that is 204.
#[test]
fn the_order_of_a_key_waits_where_the_answer_to_a_delete_confirms_nothing() {
    for status in [404, 500] {
        let (asked, next) = (LastCall::default(), FirstCall::default());
        let (noted, noted_next) = (asked.clone(), next.clone());
        let engine = StandinServer::start(move |call| {
            let is_first = is_for_job(call, 1) || call.line.contains("0000000000000001");
            noted.record(is_first && !call.line.starts_with("DELETE"));
            noted_next.record(is_post(call) && !is_first);
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
        let waited = next.at().saturating_duration_since(asked.at());
        assert!(waited >= UNASKED, "{status}: {waited:?}");
    }
}

/// The same where the port of an engine that drains and works on is another server's by now.
#[test]
fn the_order_of_a_key_waits_where_another_server_has_the_port_of_its_engine() {
    let (asked, next) = (LastCall::default(), FirstCall::default());
    let (noted, noted_next) = (asked.clone(), next.clone());
    // The system frees a port that it chose itself once the listener is shut down.
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let drains = StandinServer::on_listener(listener, move |call| {
        let still_running = || response(202, &[], "");
        noted.record(!call.line.starts_with("DELETE") && !call.line.starts_with("GET /load"));
        match call.line.split(' ').next() {
            Some("POST") => Response::ClosePort(Box::new(still_running())),
            _ => Response::Delayed(Duration::from_millis(150), Box::new(still_running())),
        }
    });
    let well = StandinServer::start(move |call| {
        noted_next.record(is_post(call));
        result_page(call, &[ROWS])
    });
    let mut client = two_loads_of_one_key([&drains, &well], Duration::from_millis(50));
    drains.wait_for_call("GET /v2/q/0000000000000001/0");
    let listener = TcpListener::bind(drains.address).expect("the port is free");
    let other = StandinServer::on_listener(listener, |call| {
        if is_post(call) { response(503, &["X-Declined: 1"], "") } else { response(404, &[], "") }
    });
    client.send_abort(1);
    other.wait_for_call("DELETE /v2/q/0000000000000001");
    assert_eq!(client.receive(), (2, Ok(ROWS.to_owned())));
    let waited = next.at().saturating_duration_since(asked.at());
    assert!(waited >= UNASKED, "{waited:?}");
}

/// What becomes of the connection that the first query was sent over, at an engine that closed its port and works on.
#[derive(Clone, Copy, Debug, PartialEq)]
enum OwnConnection {
    StaysUp,
    IsReset,
    FallsSilent,
}

/// Guards against the word of another process at the port of an engine that closed it and works on: it confirms a DELETE of a query that it
/// never had, and knows nothing of it when it is asked.
#[test]
fn the_order_of_a_key_waits_where_another_process_at_the_port_of_its_engine_confirms_a_delete() {
    let mut early = Vec::new();
    for own in [OwnConnection::StaysUp, OwnConnection::IsReset, OwnConnection::FallsSilent] {
        let (asked, deleted, next) = (LastCall::default(), FirstCall::default(), FirstCall::default());
        let (noted, noted_deleted, noted_next) = (asked.clone(), deleted.clone(), next.clone());
        // The system frees a port that it chose itself once the listener is shut down.
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let drains = StandinServer::on_listener(listener, move |call| {
            let still_running = || response(202, &[], "");
            noted.record(is_post(call) || call.line.starts_with("GET /v2"));
            noted_deleted.record(call.line.starts_with("DELETE"));
            match call.line.split(' ').next() {
                Some("POST") => Response::ClosePort(Box::new(still_running())),
                Some("DELETE") => response(204, &[], ""),
                _ if own == OwnConnection::FallsSilent => Response::NoResponse,
                _ => Response::Delayed(Duration::from_millis(150), Box::new(still_running())),
            }
        });
        let well = StandinServer::start(move |call| {
            noted_next.record(is_post(call));
            result_page(call, &[ROWS])
        });
        let mut client = two_loads_of_one_key([&drains, &well], Duration::from_millis(50));
        drains.wait_for_call("GET /v2/q/0000000000000001/0");
        let listener = TcpListener::bind(drains.address).expect("the port is free");
        let other = StandinServer::on_listener(listener, |call| match call.line.split(' ').next() {
            Some("POST") => response(503, &["X-Declined: 1"], ""),
            Some("DELETE") => response(204, &[], ""),
            _ => response(500, &[], ""),
        });
        match own {
            OwnConnection::StaysUp => client.send_abort(1),
            OwnConnection::IsReset => {
                drains.end_process();
                client.send_abort(1);
            }
            OwnConnection::FallsSilent => _ = other.wait_for_call("GET /v2/q/0000000000000001/0"),
        }
        while client.receive().0 != 2 {}
        let expired = asked.at() + UNASKED;
        let over = deleted.at_or_before(expired);
        early.extend((next.at() < over).then(|| (own, over - next.at())));
    }
    assert!(early.is_empty(), "the next query came too early: {early:?}");
}

/// Plays of the story below. More by hand: `PLAYS=200 cargo test -p woadhook-router --test key_order an_engine_that_is_well --
/// --nocapture`.
const PLAYS_IN_CI: u32 = 5;
/// An engine that is well answers a call for news after so long.
const NEWS: Duration = Duration::from_millis(250);

/// Threat: what a key waits for where its engine's port may be another's would cost keys at engines that are well the expiry of each query
/// that is given up.
#[test]
fn a_key_waits_for_no_expiry_behind_a_query_that_is_given_up_at_an_engine_that_is_well() {
    let plays = env::var("PLAYS").ok().and_then(|plays| plays.parse().ok()).unwrap_or(PLAYS_IN_CI);
    // The client leaves at another moment of the call for news in each play.
    let moments = (0..plays).map(|play| NEWS * play / plays);
    let mut waits: Vec<Duration> = moments.map(from_abort_to_next).collect();
    waits.sort();
    let (median, worst) = (waits[waits.len() / 2], waits[waits.len() - 1]);
    println!("abort to next dispatch, {plays} plays: median {median:?}, worst {worst:?}");
}

/// How long the next of a key waits behind the abort of the first one, which comes so long behind a call for news.
fn from_abort_to_next(behind_a_call: Duration) -> Duration {
    let (asked, next) = (LastCall::default(), FirstCall::default());
    let (noted, noted_next) = (asked.clone(), next.clone());
    let engine = StandinServer::start(move |call| {
        let is_first = is_for_job(call, 1) || call.line.contains("0000000000000001");
        noted.record(is_first && !call.line.starts_with("DELETE"));
        noted_next.record(is_post(call) && !is_first);
        match call.line.split(' ').next() {
            Some("DELETE") => response(204, &[], ""),
            Some("GET") if is_first => Response::Delayed(NEWS, Box::new(response(202, &[], ""))),
            _ if is_first => response(202, &[], ""),
            _ => result_page(call, &[ROWS]),
        }
    });
    let mut client = two_loads_of_one_key([&engine, &engine], Duration::from_millis(50));
    engine.wait_for_call("GET /v2/q/0000000000000001/0");
    thread::sleep(behind_a_call);
    let left = Instant::now();
    client.send_abort(1);
    assert_eq!(client.receive(), (2, Ok(ROWS.to_owned())));
    assert!(next.at() < asked.at() + UNASKED, "it waited for an expiry: {:?}", next.at() - asked.at());
    next.at() - left
}

/// The same reset where another process has the port some time later: by then the first query is over, as nobody asked for it, and its key goes
/// on before that one's time is over.
#[test]
fn the_order_of_a_key_goes_on_where_something_answers_at_the_port_behind_the_expiry() {
    const TAKEN_AFTER: Duration = Duration::from_millis(3_000);
    let wait = Duration::from_secs(10);
    let (asked, next) = (LastCall::default(), FirstCall::default());
    let (noted, noted_next) = (asked.clone(), next.clone());
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let drains = StandinServer::on_listener(listener, move |call| {
        noted.record(is_post(call) || call.line.starts_with("GET /v2"));
        let still_running = response(202, &[], "");
        match call.line.split(' ').next() {
            Some("POST") => Response::ClosePort(Box::new(still_running)),
            _ => Response::Delayed(Duration::from_millis(150), Box::new(Response::CloseConnection)),
        }
    });
    let well = StandinServer::start(move |call| {
        noted_next.record(is_post(call));
        result_page(call, &[ROWS])
    });
    let mut client = two_loads_told_of([&drains, &well], Duration::from_millis(50), unused_address(), wait);
    assert_eq!(client.receive(), (1, Err("Internal".to_owned())));
    thread::sleep(TAKEN_AFTER);
    let listener = TcpListener::bind(drains.address).expect("the port is free");
    let other = StandinServer::on_listener(listener, |call| {
        if is_post(call) { response(503, &["X-Declined: 1"], "") } else { response(404, &[], "") }
    });
    other.wait_for_call("DELETE /v2/q/0000000000000001 ");
    assert_eq!(client.receive(), (2, Ok(ROWS.to_owned())));
    let waited = next.at() - asked.at();
    assert!(waited >= UNASKED && waited < wait, "{waited:?}");
}

/// Guards against a DELETE that is meant for a query whose time-out was short, and hits the next dispatch of the same job at the same engine: it
/// goes by the job's id.
#[test]
fn a_job_that_is_sent_again_behind_a_time_out_is_not_given_up_with_its_first_query() {
    /// The time-out of a dispatch; a query that is given up sooner behind its POST is given up for another's sake.
    const TIME_OUT: Duration = Duration::from_secs(2);
    let posts = Arc::new(AtomicUsize::new(0));
    let given_up: Arc<Mutex<Vec<Duration>>> = Arc::default();
    let (counted, noted, mut latest) = (posts.clone(), given_up.clone(), Instant::now());
    let engine = StandinServer::start(move |call| match call.line.split(' ').next() {
        Some("POST") => {
            counted.fetch_add(1, Ordering::SeqCst);
            latest = Instant::now();
            response(202, &[], "")
        }
        Some("DELETE") => {
            noted.lock().unwrap().push(latest.elapsed());
            response(204, &[], "")
        }
        Some("GET") if call.line.starts_with("GET /v2") && counted.load(Ordering::SeqCst) == 1 => {
            Response::Delayed(NEWS, Box::new(response(202, &[], "")))
        }
        // The second query takes longer than the call for news under which the first one was given up.
        _ if call.line.starts_with("GET /v2") => {
            Response::Delayed(2 * NEWS, Box::new(result_page(call, &[ROWS])))
        }
        _ => result_page(call, &[ROWS]),
    });
    let router =
        RouterThread::start_with_config(&modified_config(&[engine.address], unused_address(), |given| {
            let class = &mut given["settings"]["classes"][1];
            (class["keepOrder"], class["effect"]) = (json!(true), json!("repeatable"));
            class["goalTimeUs"] = json!(TIME_OUT.as_micros() as u64);
            // Its dispatches have a time-out of their own, behind which it goes again.
            given["settings"]["limits"]["cancelling"] = json!(false);
        }));
    let mut client = Client::connect(&router);
    let fields = [("id", "0000000000000001"), ("wait", "10000"), ("cost", "10"), ("ram", "1"), ("key", "k")];
    client.0.write_all(&Client::encode_request(1, "load", &fields, "select 1 from sales_1.x")).unwrap();
    assert_eq!(client.receive(), (1, Ok(ROWS.to_owned())));
    assert!(posts.load(Ordering::SeqCst) >= 2, "it was sent again");
    let given_up = given_up.lock().unwrap();
    assert!(
        given_up.iter().all(|behind| *behind >= TIME_OUT / 2),
        "given up so long behind a POST: {given_up:?}"
    );
}

/// The key goes on some time after the list told that the engine is gone; not at once, as its process ends later.
#[test]
fn the_order_of_a_key_goes_on_behind_the_word_that_its_engine_is_gone() {
    let next = FirstCall::default();
    let noted = next.clone();
    let dies =
        StandinServer::start(
            |call| if is_post(call) { Response::EndProcess } else { response(200, &[], "") },
        );
    let well = StandinServer::start(move |call| {
        noted.record(is_post(call));
        result_page(call, &[ROWS])
    });
    let (events, rest) = (DiscoveryEvents::default(), Duration::from_millis(50));
    let (discovery, wait) = (events.serve(), Duration::from_secs(60));
    let mut client = two_loads_told_of([&dies, &well], rest, discovery.address, wait);
    assert_eq!(client.receive(), (1, Err("Internal".to_owned())));
    // Longer than a query lives that nobody asks for.
    thread::sleep(Duration::from_millis(2_500));
    let told = Instant::now();
    events.add(2, vec![roster_member("s-0", dies.address, "DELETED")]);
    assert_eq!(client.receive(), (2, Ok(ROWS.to_owned())));
    let waited = next.at().saturating_duration_since(told);
    assert!(waited >= Duration::from_secs(2), "{waited:?} after the word");
}

/// Where nothing accepts for a moment, what runs there goes on: here at an engine that hangs once it accepts again.
#[test]
fn the_order_of_a_key_waits_where_its_engine_refuses_for_a_moment_and_accepts_again() {
    let refuses =
        StandinServer::start(
            |call| if is_post(call) { Response::EndProcess } else { response(200, &[], "") },
        );
    let well = StandinServer::start(|call| result_page(call, &[ROWS]));
    let mut client = two_loads_of_one_key([&refuses, &well], Duration::from_millis(50));
    assert_eq!(client.receive(), (1, Err("Internal".to_owned())));
    let listener = loop {
        match TcpListener::bind(refuses.address) {
            Ok(listener) => break listener,
            Err(_) => thread::yield_now(),
        }
    };
    let wakes: Arc<AtomicBool> = Arc::default();
    let told_wakes = wakes.clone();
    let again = StandinServer::on_listener(listener, move |_| {
        if wakes.load(Ordering::Relaxed) { response(204, &[], "") } else { Response::NoResponse }
    });
    (0..12).for_each(|_| _ = again.wait_for_call("DELETE /v2/q/0000000000000001 "));
    assert!(well.received_calls("POST").is_empty());
    told_wakes.store(true, Ordering::Relaxed);
    assert_eq!(client.receive(), (2, Ok(ROWS.to_owned())));
}

/// A process that was started anew in place of the one that had the job says that it knows nothing of it.
#[test]
fn the_order_of_a_key_waits_where_its_engine_came_back_without_a_job_that_began() {
    let (began, next) = (FirstCall::default(), FirstCall::default());
    let (noted, noted_next) = (began.clone(), next.clone());
    let engine = StandinServer::start(move |call| {
        noted.record(is_post(call) && is_for_job(call, 1));
        noted_next.record(is_post(call) && is_for_job(call, 2));
        match call.line.split(' ').next() {
            Some("POST") if is_for_job(call, 1) => Response::CloseConnection,
            Some("GET") if call.line.contains("0000000000000001") => response(500, &[], ""),
            _ => result_page(call, &[ROWS]),
        }
    });
    let mut client = two_loads_of_one_key([&engine, &engine], Duration::from_millis(50));
    assert_eq!(client.receive(), (1, Err("Internal".to_owned())));
    assert_eq!(client.receive(), (2, Ok(ROWS.to_owned())));
    assert!(next.at() - began.at() >= Duration::from_secs(2), "{:?}", next.at() - began.at());
}

#[test]
fn a_key_rests_after_a_job_of_which_its_engine_does_not_tell_the_end() {
    const GAP: Duration = Duration::from_secs(1);
    let (deleted, next) = (FirstCall::default(), FirstCall::default());
    let (noted, noted_next) = (deleted.clone(), next.clone());
    // Its answer to the POST makes no sense, and it does not know the query: the POST may still be on its way in.
    let engine = StandinServer::start(move |call| {
        noted.record(call.line.starts_with("DELETE"));
        noted_next.record(is_post(call) && is_for_job(call, 2));
        match call.line.split(' ').next() {
            Some("POST") if is_for_job(call, 1) => Response::RawKeepOpen("no answer\r\n\r\n".to_owned()),
            Some("GET") if call.line.contains("0000000000000001") => response(500, &[], ""),
            _ => result_page(call, &[ROWS]),
        }
    });
    let mut client = two_loads_of_one_key([&engine, &engine], GAP);
    assert_eq!(client.receive(), (1, Err("Internal".to_owned())));
    assert_eq!(client.receive(), (2, Ok(ROWS.to_owned())));
    assert!(next.at() - deleted.at() >= GAP, "{:?}", next.at() - deleted.at());
}
