//! A job of which two dispatches must never be in flight at once is sent again only when its earlier query can
//! no longer run.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use woadhook_standins::calls::{FirstCall, LastCall, first_choice_config, is_post, unused_address};
use woadhook_standins::*;

const ROWS: &str = "a\tb\tc\n";
/// By the protocol an engine ends a query that was not polled for this long.
const UNPOLLED_EXPIRY: Duration = Duration::from_secs(2);

/// What happens to the connection of the query at an engine that closed its port and runs the query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OwnConnection {
    /// It stops answering; the list does not tell yet that the engine drains.
    StopsAnswering,
    /// It breaks; the list tells that the engine drains.
    BreaksAtDrainingEngine,
}

/// Guards against two attempts of one request at once: an engine that drains refuses connections and continues
/// to run a query whose connection is lost, and the job was sent elsewhere at once.
#[test]
fn a_job_is_not_sent_elsewhere_while_an_engine_that_closed_its_port_may_run_it() {
    for own in [OwnConnection::StopsAnswering, OwnConnection::BreaksAtDrainingEngine] {
        let (last_polled, sent_elsewhere) = (LastCall::default(), FirstCall::default());
        let (recorder, elsewhere_recorder) = (last_polled.clone(), sent_elsewhere.clone());
        let is_told = Arc::new(AtomicBool::new(own == OwnConnection::StopsAnswering));
        let loses_connection = is_told.clone();
        let draining = StandinServer::start(move |call| {
            let still_running = || response(202, &[], "");
            recorder.record(is_post(call) || call.line.starts_with("GET /v2"));
            match (call.line.split(' ').next(), own) {
                (Some("POST"), _) => Response::ClosePort(Box::new(still_running())),
                (Some("GET"), _) if !loses_connection.load(Ordering::SeqCst) => {
                    Response::Delayed(Duration::from_millis(50), Box::new(still_running()))
                }
                (_, OwnConnection::StopsAnswering) => Response::NoResponse,
                (_, OwnConnection::BreaksAtDrainingEngine) => Response::CloseConnection,
            }
        });
        let healthy = StandinServer::start(move |call| {
            elsewhere_recorder.record(is_post(call));
            result_page(call, &[ROWS])
        });
        let events = DiscoveryEvents::default();
        let discovery = events.serve();
        let config = first_choice_config(draining.address, healthy.address, discovery.address);
        let mut client = Client::connect(&RouterThread::start_with_config(&config));
        client.send_job(1, "look", 20_000);
        draining.wait_for_call("GET /v2");
        if own == OwnConnection::BreaksAtDrainingEngine {
            events.add(2, vec![roster_member("s-0", draining.address, "DRAINING")]);
            discovery.wait_for_call("GET /bulletins?after=2");
            is_told.store(true, Ordering::SeqCst);
        }
        assert_eq!(client.receive(), (1, Ok(ROWS.to_owned())));
        let waited = sent_elsewhere.at().saturating_duration_since(last_polled.at());
        assert!(waited >= UNPOLLED_EXPIRY, "{own:?}: {waited:?}");
    }
}

/// Guards against a job that waits until its client's deadline for an engine that does not answer its POST,
/// although that engine answers each DELETE, later than a call usually waits.
#[test]
fn a_job_is_sent_elsewhere_once_an_engine_that_answers_late_confirms_that_it_was_given_up() {
    const LATE: Duration = Duration::from_millis(700);
    let deadline_ms = 20_000;
    let deleted = FirstCall::default();
    let recorder = deleted.clone();
    let late = StandinServer::start(move |call| {
        recorder.record(call.line.starts_with("DELETE"));
        match call.line.split(' ').next() {
            Some("DELETE") => Response::Delayed(LATE, Box::new(response(204, &[], ""))),
            Some("GET") if call.line.starts_with("GET /load") => response(200, &[], ""),
            _ => Response::NoResponse,
        }
    });
    let healthy = StandinServer::start(|call| result_page(call, &[ROWS]));
    let config = first_choice_config(late.address, healthy.address, unused_address());
    let mut client = Client::connect(&RouterThread::start_with_config(&config));
    client.send_job(1, "look", deadline_ms);
    assert_eq!(client.receive(), (1, Ok(ROWS.to_owned())));
    assert!(deleted.at().elapsed() < Duration::from_millis(u64::from(deadline_ms)) / 2);
}
