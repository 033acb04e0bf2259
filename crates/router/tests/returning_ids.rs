//! Requests that come again with the id of an earlier job.

use std::time::{Duration, Instant};

use woadhook_standins::calls::{is_for_job, is_post};
use woadhook_standins::*;

const ROWS: &str = "a\tb\tc\n";
/// The error for a request whose id is still in use.
const IN_USE: &str = "Malformed";

/// Sends a job over a new connection until its id is not in use any more, and returns its answer.
fn answer_once_closed(router: &RouterThread, number: u32, class: &str) -> Result<String, String> {
    let deadline = Instant::now() + TEST_TIMEOUT;
    loop {
        let mut client = Client::connect(router);
        client.send_job(number, class, 20_000);
        let (_, answer) = client.receive();
        if answer != Err(IN_USE.to_owned()) {
            return answer;
        }
        assert!(Instant::now() < deadline, "the id stays in use");
    }
}

/// Guards against running a job twice whose client leaves while it runs and sends its id again over another
/// connection.
#[test]
fn a_run_once_id_is_not_begun_again_when_its_client_left_and_returns() {
    let mut begun = 0;
    let engine = StandinServer::start(move |call| {
        begun += usize::from(is_post(call));
        if begun == 1 && !call.line.starts_with("DELETE") {
            return Response::Delayed(Duration::from_millis(50), Box::new(response(202, &[], "")));
        }
        result_page(call, &[ROWS])
    });
    let router = RouterThread::start_with_idle_discovery(&[engine.address]);
    let mut leaving = Client::connect(&router);
    leaving.send_job(1, "load", 20_000);
    engine.wait_for_call("POST");
    drop(leaving);
    engine.wait_for_call("DELETE");
    // The answer is no rejection, which would promise that nothing ran.
    assert_eq!(answer_once_closed(&router, 1, "load"), Err("Internal".to_owned()));
    assert_eq!(answer_once_closed(&router, 2, "load"), Ok(ROWS.to_owned()));
    assert_eq!(answer_once_closed(&router, 2, "load"), Err("Internal".to_owned()), "it has run");
    let posts = engine.received_calls("POST");
    assert!(posts.len() == 1 && is_for_job(&posts[0], 2), "{posts:?}");
}

/// Guards against refusing what may run again.
#[test]
fn a_restartable_id_that_returns_is_served_again() {
    let engine = StandinServer::start(|call| result_page(call, &[ROWS]));
    let router = RouterThread::start_with_idle_discovery(&[engine.address]);
    for _ in 0..2 {
        assert_eq!(answer_once_closed(&router, 1, "look"), Ok(ROWS.to_owned()));
    }
    assert_eq!(engine.received_calls("POST").len(), 2);
}
