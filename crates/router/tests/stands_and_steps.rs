//! The router's rules hold while its process is suspended, when the wall clock steps, and during a shutdown.
//! `docs/PROMISES.md` listed these cases as open until these tests forced them.

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
/// No query is sent to an engine later than this after discovery reported it as draining.
const GRACE: Duration = Duration::from_millis(1_000);

fn folder(scenario: &str) -> PathBuf {
    folders::run_folder(env!("CARGO_TARGET_TMPDIR"), &format!("stands-{scenario}"))
}

fn unused_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

fn client(process: &RouterProcess) -> Client {
    let stream = TcpStream::connect(process.address).unwrap();
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    Client(stream)
}

/// Nothing may be sent to an engine later than the grace period after the router was notified that it drains.
/// Here the router is suspended while its engine begins to drain and for longer than the grace period, and a
/// request waits in its socket meanwhile. Discovery publishes the drain while the router's call is open, or
/// after that call has ended, so that only the next call reports it.
#[test]
fn a_suspended_router_sends_nothing_to_an_engine_drained_meanwhile() {
    let after_the_call = Duration::from_millis(600);
    for notice_delay in [Duration::ZERO, after_the_call].repeat(3) {
        let (drained, other) = (
            StandinServer::start(|call| result_page(call, &[ROWS])),
            StandinServer::start(|call| result_page(call, &[ROWS])),
        );
        let events = DiscoveryEvents::default();
        let mut remote = roster_member("s-b", other.address, "SERVING");
        remote["locality"] = json!("b");
        events.add(1, vec![roster_member("s-0", drained.address, "SERVING"), remote]);
        let discovery = events.serve();
        let mut config: Value = serde_json::from_str(&router_config(&[], discovery.address, 1024)).unwrap();
        config["known"] = events.all();
        let settings = &mut config["settings"];
        (settings["zones"], settings["prices"]) = (json!(["a", "b"]), json!({"crossZone": 0.1}));
        let router =
            RouterProcess::start(env!("CARGO_BIN_EXE_woadhook"), &folder("drain"), "n0", &config.to_string());
        router.wait_until_ready();
        let mut client = client(&router);
        client.send_job(1, "look", 20_000);
        assert_eq!(client.receive(), (1, Ok(ROWS.to_owned())));
        assert_eq!(
            drained.received_calls("POST").len(),
            1,
            "the engine in the router's own zone is preferred"
        );
        router.signal(Signal::STOP);
        client.send_job(2, "look", 20_000);
        thread::sleep(notice_delay);
        events.add(2, vec![roster_member("s-0", drained.address, "DRAINING")]);
        thread::sleep(GRACE + Duration::from_millis(300));
        router.signal(Signal::CONT);
        assert_eq!(client.receive(), (2, Ok(ROWS.to_owned())));
        assert_eq!(
            drained.received_calls("POST").len(),
            0,
            "sent after the grace period; the notice came {notice_delay:?} later"
        );
    }
}

/// During a shutdown too, each job gets exactly one final answer, and no run-once job runs twice: one that
/// may have run is not rejected as if it had not run, and it gets its answer.
#[test]
fn a_run_once_job_in_flight_at_shutdown_is_never_rejected() {
    let engine = StandinServer::start(|call| match call.line.split(' ').next() {
        Some("DELETE") => response(204, &[], ""),
        _ => Response::Delayed(Duration::from_millis(200), Box::new(response(202, &[], ""))),
    });
    let config = router_config(&[engine.address], unused_address(), 1024);
    let mut router = RouterProcess::start(env!("CARGO_BIN_EXE_woadhook"), &folder("once"), "n0", &config);
    router.wait_until_ready();
    let mut client = client(&router);
    client.send_job(1, "load", 20_000);
    engine.wait_for_call("POST");
    router.signal(Signal::TERM);
    assert_eq!(client.receive(), (1, Err("Internal".to_owned())), "answered, not rejected");
    assert!(router.wait().success());
}

/// Deadlines are spans of real time, whichever way the wall clock steps during a request.
#[test]
fn a_wall_clock_step_changes_no_deadline() {
    const WAIT_MS: u32 = 4_000;
    let folder = folder("clock");
    let preload = match Preload::build(&folder, "n0") {
        Ok(preload) => preload,
        Err(missing) => return eprintln!("left out: {missing}"),
    };
    let answer_late =
        |call: &Call| Response::Delayed(Duration::from_millis(300), Box::new(result_page(call, &[ROWS])));
    let engine = StandinServer::start(answer_late);
    let config = router_config(&[engine.address], unused_address(), 1024);
    let router =
        RouterProcess::start_with_preload(&preload, env!("CARGO_BIN_EXE_woadhook"), &folder, "n0", &config);
    router.wait_until_ready();
    let mut client = client(&router);
    for (number, back) in [(1, false), (2, true), (3, false), (4, true)] {
        client.send_job(number, "load", WAIT_MS);
        let call = engine.wait_for_call("POST");
        preload.step_clock(Duration::from_secs(3_600), back);
        let left: u64 =
            call.fields.iter().find_map(|field| field.strip_prefix("X-Patience: ")?.parse().ok()).unwrap();
        assert!((1..=u64::from(WAIT_MS)).contains(&left), "the engine was given {left} ms");
        assert_eq!(client.receive(), (number, Ok(ROWS.to_owned())), "clock set back: {back}");
    }
}
