//! Some answers of the engines come twice, the second copy some milliseconds after the first, and some come
//! late. The clients ask as usual.

use std::env;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Setup;
use crate::check::{Taken, check};
use crate::client::{Client, new_id, request};
use crate::engine::{Engine, Faults, result_of, start_bulletin};
use crate::router::Router;

/// One answer in ten that a query still runs comes twice, and one answer in ten comes late.
const FAULTS: Faults = Faults { twice: 100, late: 100 };
const CLIENTS: usize = 10;
const LENGTH: Duration = Duration::from_secs(60);
const LOOKUP_WAIT: Duration = Duration::from_secs(4);

pub fn play(setup: &Setup) -> Vec<String> {
    let record = &setup.record;
    let mut faults = if setup.trouble { FAULTS } else { Faults::default() };
    // To see what each fault does alone.
    match env::var("ONLY").as_deref() {
        Ok("twice") => faults.late = 0,
        Ok("late") => faults.twice = 0,
        _ => {}
    }
    let engines = ["s-1", "s-2"].map(|name| Engine::with_faults(name, faults, record));
    let router = Router::start(&setup.run, &engines, start_bulletin(1), 1024, record);
    let (broken, end) = (Arc::new(Mutex::new(Vec::new())), Instant::now() + LENGTH);
    let clients = (1..=CLIENTS).map(|number| {
        let (to, record, broken) = (router.address, record.clone(), broken.clone());
        thread::spawn(move || {
            let client = Client::connect(&format!("c-{number}"), to, &record).expect("the router accepts");
            let mut next = 1;
            while Instant::now() < end {
                let (id, statement) = (new_id(), "select a, b, c from sales_17.orders /* 350 ms */");
                client.note(&format!("request {next}, the lookup {id}"));
                client
                    .write(&request(next, "lookup", &id, LOOKUP_WAIT, 350, statement))
                    .expect("it is written");
                let result = result_of(&id, statement);
                let (name, written) = (format!("the lookup {id}"), Instant::now());
                let taken = Taken { number: next, name, written, wait: LOOKUP_WAIT, result };
                let fault = check(&client, &taken);
                broken.lock().unwrap().extend(fault);
                next += 1;
            }
        })
    });
    for client in clients.collect::<Vec<_>>() {
        client.join().expect("a client's connection broke");
    }
    assert!(router.is_running(), "the router has ended");
    broken.lock().unwrap().clone()
}
