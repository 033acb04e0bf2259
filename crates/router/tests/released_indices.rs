//! The index of an order key or of an engine comes into use again while hundreds of refusals come before the
//! decision to release it. Each test suspends the router, so that all of them arrive at once.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::Duration;

use rustix::process::Signal;
use serde_json::json;
use woadhook_standins::calls::{is_for_job, is_post, modified_config, unused_address};
use woadhook_standins::folders;
use woadhook_standins::processes::RouterProcess;
use woadhook_standins::*;

const ROWS: &str = "a\tb\tc\n";
/// Clients whose requests are refused, and how many requests each sends at once.
const REFUSED_CLIENTS: u32 = 20;
const REQUESTS_AT_ONCE: u32 = 30;
/// The engine answers the first load of a round after this time, while the router is suspended.
const FIRST_LOAD: Duration = Duration::from_millis(200);
/// Rounds, each with a key of its own.
const ROUNDS: u32 = 4;

fn router(test: &str, engine: SocketAddr, bulletin: SocketAddr) -> RouterProcess {
    let config = modified_config(&[engine], bulletin, |config| {
        config["settings"]["classes"][1]["keepOrder"] = json!(true);
    });
    let folder = folders::run_folder(env!("CARGO_TARGET_TMPDIR"), &format!("released_indices-{test}"));
    let router = RouterProcess::start(env!("CARGO_BIN_EXE_woadhook"), &folder, "n0", &config);
    router.wait_until_ready();
    router
}

fn client(router: &RouterProcess) -> Client {
    let stream = TcpStream::connect(router.address).unwrap();
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    Client(stream)
}

/// Requests whose stated work is too much for the time that their clients wait.
fn send_refused_requests(clients: &mut [Client], round: u32) {
    for (index, client) in (0..).zip(clients) {
        let requests = (1..=REQUESTS_AT_ONCE).flat_map(|request| {
            let number = round * REQUESTS_AT_ONCE + request;
            let id = format!("{:016x}", (index + 1) * 1_000_000 + number);
            let fields = [("id", id.as_str()), ("wait", "1000"), ("cost", "100000"), ("ram", "1")];
            Client::encode_request(number, "look", &fields, "select 1 from sales_1.x")
        });
        client.0.write_all(&requests.collect::<Vec<u8>>()).unwrap();
    }
}

fn expect_refusals(clients: &mut [Client]) {
    for client in clients {
        (0..REQUESTS_AT_ONCE).for_each(|_| assert!(client.receive().1.is_err()));
    }
}

/// Returns once the indices of the refused jobs have been released: a ping is answered in a turn of the
/// dispatcher, and each turn carries out up to 32 decisions.
fn let_decisions_be_carried_out(client: &mut Client) {
    const DECISIONS_PER_TURN: u32 = 32;
    (0..REFUSED_CLIENTS * REQUESTS_AT_ONCE / DECISIONS_PER_TURN * 2).for_each(|_| assert!(client.ping(0)));
}

fn send_load(client: &mut Client, number: u32, key: &str) {
    let id = format!("{number:016x}");
    let fields = [("id", id.as_str()), ("wait", "20000"), ("cost", "10"), ("ram", "1"), ("key", key)];
    client.0.write_all(&Client::encode_request(number, "load", &fields, "select 1 from sales_1.x")).unwrap();
}

/// Guards against two loads of one key at once: the index of the key is released while a load has it, and the
/// next load of the key gets another one. The four loads of a round are numbered from `4 * round + 1`.
#[test]
fn the_next_job_of_a_key_waits_when_hundreds_of_refusals_delay_the_release_of_its_index() {
    let place_in_round = |call: &Call| {
        (1..=4 * ROUNDS).find(|number| is_for_job(call, *number)).map(|number| (number - 1) % 4)
    };
    let engine = StandinServer::start(move |call| match place_in_round(call) {
        Some(0) => Response::Delayed(FIRST_LOAD, Box::new(result_page(call, &[ROWS]))),
        Some(1) => response(202, &[], ""),
        _ if call.line.starts_with("GET /v2") => {
            Response::Delayed(Duration::from_millis(50), Box::new(response(202, &[], "")))
        }
        _ => result_page(call, &[ROWS]),
    });
    let router = router("key", engine.address, unused_address());
    let mut refused: Vec<Client> = (0..REFUSED_CLIENTS).map(|_| client(&router)).collect();
    for round in 0..ROUNDS {
        let (key, other_key) = (format!("k{round}"), format!("other{round}"));
        let (first, running, other, next) = (4 * round + 1, 4 * round + 2, 4 * round + 3, 4 * round + 4);
        let mut client = client(&router);
        send_load(&mut client, first, &key);
        engine.wait_for_call("POST");
        router.signal(Signal::STOP);
        send_refused_requests(&mut refused, round);
        thread::sleep(FIRST_LOAD);
        router.signal(Signal::CONT);
        assert_eq!(client.receive(), (first, Ok(ROWS.to_owned())));
        send_load(&mut client, running, &key);
        expect_refusals(&mut refused);
        let_decisions_be_carried_out(&mut client);
        // An index that was released goes to the next name, so another key comes first.
        send_load(&mut client, other, &other_key);
        send_load(&mut client, next, &key);
        assert_eq!(client.receive(), (other, Ok(ROWS.to_owned())), "round {round}");
        // The router has taken the next load.
        assert!(client.ping(0));
        let started = engine.received_calls("POST");
        let is_started = |number| started.iter().any(|call| is_post(call) && is_for_job(call, number));
        assert!(is_started(running) && is_started(other));
        assert!(!is_started(next), "round {round}: the load before it still runs");
        client.send_abort(u8::try_from(running).unwrap());
        assert_eq!(client.receive(), (next, Ok(ROWS.to_owned())));
        engine.received_calls("POST");
    }
}

/// Guards against dispatches that are lost: the index of an engine that was listed again is released, and the
/// router no longer has the engine that it dispatches to.
#[test]
fn an_engine_that_is_listed_again_behind_hundreds_of_refusals_gets_jobs() {
    let engine = StandinServer::start(|call| result_page(call, &[ROWS]));
    let events = DiscoveryEvents::default();
    let router = router("engine", engine.address, events.serve().address);
    let mut refused: Vec<Client> = (0..REFUSED_CLIENTS).map(|_| client(&router)).collect();
    let mut client = client(&router);
    for round in 0..ROUNDS {
        router.signal(Signal::STOP);
        send_refused_requests(&mut refused, round);
        let listed = ["DELETED", "SERVING"].map(|phase| vec![roster_member("s-0", engine.address, phase)]);
        events.add_together(u64::from(2 + 2 * round), listed);
        router.signal(Signal::CONT);
        expect_refusals(&mut refused);
        let_decisions_be_carried_out(&mut client);
        client.send_job(round + 1, "look", 5_000);
        assert_eq!(client.receive(), (round + 1, Ok(ROWS.to_owned())), "round {round}");
    }
}
