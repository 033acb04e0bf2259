//! A process that stands, a wall clock that steps, an order to end: rules that `docs/PROMISES.md` told as open until they were forced here.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::thread;
use std::time::Duration;

use rustix::process::Signal;
use serde_json::{Value, json};
use woadhook_standins::folders;
use woadhook_standins::preload::Preload;
use woadhook_standins::processes::RouterProcess;
use woadhook_standins::*;

const ROWS: &str = "a\tb\tc\n";
/// An engine gets nothing later than this after it was told to drain.
const GRACE: Duration = Duration::from_millis(1_000);

fn folder(story: &str) -> PathBuf {
    folders::run_folder(env!("CARGO_TARGET_TMPDIR"), &format!("stands-{story}"))
}

fn nobody() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

fn client(of: &RouterProcess) -> Client {
    let stream = TcpStream::connect(of.address).unwrap();
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    Client(stream)
}

/// Rule 3: a process stands over the notice that its engine drains and over the whole grace; a request waits in its socket meanwhile. The
/// notice comes under its open call to discovery, or behind the end of that call: then it is told by the next one only.
#[test]
fn a_process_that_stood_over_the_grace_sends_nothing_to_an_engine_that_was_drained_meanwhile() {
    let behind_the_call = Duration::from_millis(600);
    for before_the_notice in [Duration::ZERO, behind_the_call].repeat(3) {
        let (drained, stays) = (
            StandinServer::start(|call| result_page(call, &[ROWS])),
            StandinServer::start(|call| result_page(call, &[ROWS])),
        );
        let events = DiscoveryEvents::default();
        let mut dearer = roster_member("s-b", stays.address, "SERVING");
        dearer["locality"] = json!("b");
        events.add(1, vec![roster_member("s-0", drained.address, "SERVING"), dearer]);
        let discovery = events.serve();
        let mut given: Value = serde_json::from_str(&router_config(&[], discovery.address, 1024)).unwrap();
        given["known"] = events.all();
        let settings = &mut given["settings"];
        (settings["zones"], settings["prices"]) = (json!(["a", "b"]), json!({"crossZone": 0.1}));
        let router =
            RouterProcess::start(env!("CARGO_BIN_EXE_woadhook"), &folder("drain"), "n0", &given.to_string());
        router.wait_until_ready();
        let mut client = client(&router);
        client.send_job(1, "look", 20_000);
        assert_eq!(client.receive(), (1, Ok(ROWS.to_owned())));
        assert_eq!(drained.received_calls("POST").len(), 1, "the near one is the first choice");
        router.signal(Signal::STOP);
        client.send_job(2, "look", 20_000);
        thread::sleep(before_the_notice);
        events.add(2, vec![roster_member("s-0", drained.address, "DRAINING")]);
        thread::sleep(GRACE + Duration::from_millis(300));
        router.signal(Signal::CONT);
        assert_eq!(client.receive(), (2, Ok(ROWS.to_owned())));
        assert_eq!(
            drained.received_calls("POST").len(),
            0,
            "sent behind the grace, told {before_the_notice:?} later"
        );
    }
}

/// Rules 1 and 2 at the end: a run-once job that may have run is not rejected as if it had not, and has its answer.
#[test]
fn a_run_once_job_that_is_out_at_the_end_is_never_rejected() {
    let engine = StandinServer::start(|call| match call.line.split(' ').next() {
        Some("DELETE") => response(204, &[], ""),
        _ => Response::Delayed(Duration::from_millis(200), Box::new(response(202, &[], ""))),
    });
    let told = router_config(&[engine.address], nobody(), 1024);
    let mut router = RouterProcess::start(env!("CARGO_BIN_EXE_woadhook"), &folder("once"), "n0", &told);
    router.wait_until_ready();
    let mut client = client(&router);
    client.send_job(1, "load", 20_000);
    engine.wait_for_call("POST");
    router.signal(Signal::TERM);
    assert_eq!(client.receive(), (1, Err("Internal".to_owned())), "not a refusal");
    assert!(router.wait().success());
}

/// The term on wall clocks: deadlines are spans of real time, whichever way the clock steps under a request.
#[test]
fn a_wall_clock_that_steps_changes_no_deadline() {
    const WAIT: u32 = 4_000;
    let folder = folder("clock");
    let preload = match Preload::build(&folder, "n0") {
        Ok(preload) => preload,
        Err(missing) => return eprintln!("left out: {missing}"),
    };
    let late =
        |call: &Call| Response::Delayed(Duration::from_millis(300), Box::new(result_page(call, &[ROWS])));
    let engine = StandinServer::start(late);
    let told = router_config(&[engine.address], nobody(), 1024);
    let router =
        RouterProcess::start_with_preload(&preload, env!("CARGO_BIN_EXE_woadhook"), &folder, "n0", &told);
    router.wait_until_ready();
    let mut client = client(&router);
    for (number, back) in [(1, false), (2, true), (3, false), (4, true)] {
        client.send_job(number, "load", WAIT);
        let call = engine.wait_for_call("POST");
        preload.step_clock(Duration::from_secs(3_600), back);
        let left: u64 =
            call.fields.iter().find_map(|field| field.strip_prefix("X-Patience: ")?.parse().ok()).unwrap();
        assert!((1..=u64::from(WAIT)).contains(&left), "passed on: {left} ms");
        assert_eq!(client.receive(), (number, Ok(ROWS.to_owned())), "back: {back}");
    }
}
