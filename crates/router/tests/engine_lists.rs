//! The engine list arrives in many events, and the router applies them without a round for each.

use woadhook_standins::processes::RouterProcess;
use woadhook_standins::*;

const ROWS: &str = "a\tb\tc\n";
/// The number of events in one answer of discovery.
const EVENTS: u64 = 200;
/// How many lists the router may apply for one answer of discovery with up to 1,024 lines of changes.
const MAX_LISTS_PER_ANSWER: usize = 1;

fn engine() -> StandinServer {
    StandinServer::start(|call| result_page(call, &[ROWS]))
}

/// Guards against a router that hears of a drain late, because it needs a round of its event loop for each of
/// the events before it.
#[test]
fn events_that_arrive_together_are_applied_together() {
    let engines = [engine(), engine()];
    let [first, second] = engines.each_ref().map(|engine| engine.address);
    let events = DiscoveryEvents::default();
    let discovery = events.serve();
    let folder = folders::run_folder(env!("CARGO_TARGET_TMPDIR"), "events-together");
    let config = routers::router_config(&[first], discovery.address, 100);
    let program = env!("CARGO_BIN_EXE_woadhook");
    let router = RouterProcess::start_with_log_level("debug", program, &[], &folder, "n0", &config);
    router.wait_until_ready();
    discovery.wait_for_call("GET /bulletins?after=1&");
    let lists_before = router.log_text().matches("list_applied").count();
    let change = |_| vec![roster_member("s-1", second, "SERVING")];
    events.add_together(2, (1..EVENTS).map(change).chain([vec![roster_member("s-0", first, "DRAINING")]]));
    discovery.wait_for_call(&format!("GET /bulletins?after={}&", EVENTS + 1));
    let lists = router.log_text().matches("list_applied").count() - lists_before;
    assert!((1..=MAX_LISTS_PER_ANSWER).contains(&lists), "{lists} for {EVENTS} events");
}

/// Guards against a malformed line that holds up the events before its own, which arrived with it.
#[test]
fn a_malformed_event_holds_up_no_drain_before_it() {
    let engines = [engine(), engine()];
    let [old, new] = engines.each_ref().map(|engine| engine.address);
    let events = DiscoveryEvents::default();
    let discovery = events.serve();
    let mut client = Client::connect(&RouterThread::start(&[old], discovery.address));
    discovery.wait_for_call("GET /bulletins?after=1&");
    let replaced = vec![roster_member("s-0", old, "DRAINING"), roster_member("s-1", new, "SERVING")];
    let malformed = vec![roster_member("s-2", new, "SLEEPING")];
    events.add_together(2, [replaced, malformed]);
    discovery.wait_for_call("GET /bulletins?after=2&");
    client.send_job(1, "load", 20_000);
    assert_eq!(client.receive(), (1, Ok(ROWS.to_owned())));
    engines[1].wait_for_call("POST");
    assert!(engines[0].received_calls("POST").is_empty());
    discovery.wait_for_call("GET /bulletins?after=3&");
}
