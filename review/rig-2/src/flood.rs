//! Some bad clients send the same unreadable request again as soon as it is turned away, while the usual
//! clients hold a third of the descriptor limit, most of them with a request open.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::Setup;
use crate::check::{Taken, check};
use crate::client::{Client, new_id, request};
use crate::engine::{Engine, result_of, start_bulletin};
use crate::record::Record;
use crate::router::Router;

/// The router's limit on descriptors, the smallest that the pages name. A third of it is 85.
const SOCKETS: usize = 256;
/// Usual clients with a report open, and those that come later with a lookup: 85 in all.
const BUSY_CLIENTS: usize = 83;
const LATER_CLIENTS: usize = 2;
const BAD_CLIENTS: usize = 2;
/// So many requests a bad client sends at once.
const AT_ONCE: usize = 300;
const LOOKUP_WAIT: Duration = Duration::from_secs(4);
const REPORT_WAIT: Duration = Duration::from_secs(20);

pub fn play(setup: &Setup) -> Vec<String> {
    let record = &setup.record;
    let engines: Vec<Engine> = (1..=6).map(|number| Engine::start(&format!("s-{number}"), record)).collect();
    let router = Router::start(&setup.run, &engines, start_bulletin(1), SOCKETS, record);
    thread::sleep(Duration::from_millis(300));
    let ends = Arc::new(AtomicBool::new(false));
    if setup.trouble {
        for number in 1..=BAD_CLIENTS {
            let (record, ends, to) = (record.clone(), ends.clone(), router.address);
            thread::spawn(move || send_again_and_again(number, to, &record, &ends));
        }
        thread::sleep(Duration::from_millis(500));
    }
    let mut asked = Vec::new();
    for number in 1..=BUSY_CLIENTS {
        let statement = "select a, b, c from sales_17.orders /* 10000 ms */";
        let name = format!("busy-{number}");
        asked.push(ask(&name, router.address, "report", REPORT_WAIT, 40_000, statement, record));
        thread::sleep(Duration::from_millis(5));
    }
    thread::sleep(Duration::from_millis(500));
    let mut later = Vec::new();
    for number in 1..=LATER_CLIENTS {
        let (name, statement) = (format!("later-{number}"), "select a, b, c from sales_17.orders");
        later.push(ask(&name, router.address, "lookup", LOOKUP_WAIT, 20, statement, record));
        thread::sleep(Duration::from_millis(50));
    }
    let mut broken: Vec<String> = later.iter().filter_map(|(client, taken)| check(client, taken)).collect();
    ends.store(true, Ordering::Relaxed);
    broken.extend(asked.iter().filter_map(|(client, taken)| check(client, taken)));
    assert!(router.is_running(), "the router has ended");
    broken
}

fn ask(
    name: &str, to: SocketAddr, class: &str, wait: Duration, cost_ms: u64, statement: &str, record: &Record,
) -> (Client, Taken) {
    let client = Client::connect(name, to, record).expect("the machine accepts the connection");
    let id = new_id();
    client.write(&request(1, class, &id, wait, cost_ms, statement)).expect("the request is written");
    let written = Instant::now();
    client.note(&format!("request 1, a {class}, is written"));
    let result = result_of(&id, statement);
    (client, Taken { number: 1, name: format!("the {class}"), written, wait, result })
}

/// A bad client: hundreds of requests at once of a class that doesn't exist, and each again as soon as it is
/// turned away. It reads all answers, and comes back if the router closes its connection.
fn send_again_and_again(number: usize, to: SocketAddr, record: &Record, ends: &AtomicBool) {
    let name = format!("~bad-{number}");
    while !ends.load(Ordering::Relaxed) {
        let Ok(client) = Client::connect(&name, to, record) else { continue };
        client.note("sends hundreds of requests of a class that doesn't exist, and each again");
        let mut sent = 0;
        while !ends.load(Ordering::Relaxed) && client.closed_at().is_none() {
            let wanted = client.answer_count() + AT_ONCE;
            let many: Vec<u8> = (sent + 1..=wanted)
                .flat_map(|number| {
                    let statement = "select a from sales_17.orders";
                    request(number as u64, "nothing", &new_id(), LOOKUP_WAIT, 20, statement)
                })
                .collect();
            sent = wanted;
            if client.write(&many).is_err() {
                break;
            }
            thread::sleep(Duration::from_millis(1));
        }
        client.note(&format!("sent {sent} requests, {} were turned away", client.answer_count()));
        client.close();
    }
}
