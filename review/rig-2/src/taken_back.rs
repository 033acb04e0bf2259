//! A bad client sends hundreds of requests at once and takes all of them back at once.

use std::collections::HashMap;
use std::thread;
use std::time::{Duration, Instant};

use crate::Setup;
use crate::client::{Client, abort, new_id, request};
use crate::engine::{Engine, start_bulletin};
use crate::router::Router;

/// How many requests the client sends at once; without the disruption no more than a connection may carry.
const HUNDREDS: u64 = 800;
const FEW: u64 = 30;
const ROUNDS: usize = 5;
/// How long after the requests they are taken back.
const PAUSE: Duration = Duration::from_millis(20);
const WAIT: Duration = Duration::from_secs(10);
/// "An attempt that begins more than 0.1 s later is a break", and "each time limit is 50 ms longer" on sockets.
const LATEST_BEGIN: Duration = Duration::from_millis(100 + 50);

pub fn play(setup: &Setup) -> Vec<String> {
    let record = &setup.record;
    let engines = [Engine::start("s-1", record), Engine::start("s-2", record)];
    let router = Router::start(&setup.run, &engines, start_bulletin(1), 1024, record);
    let count = if setup.trouble { HUNDREDS } else { FEW };
    let mut taken_back_at = HashMap::new();
    for round in 1..=ROUNDS {
        let client =
            Client::connect(&format!("~{round}"), router.address, record).expect("the router accepts");
        let ids: Vec<String> = (0..count).map(|_| new_id()).collect();
        let statement = "select a, b, c from sales_17.orders /* 80 ms */";
        let requests: Vec<u8> = (1..)
            .zip(&ids)
            .flat_map(|(number, id)| request(number, "report", id, WAIT, 320, statement))
            .collect();
        // A router may end a bad client's connection.
        let _ = client.write(&requests);
        client.note(&format!("{count} requests are written at once"));
        thread::sleep(PAUSE);
        let aborts: Vec<u8> = (1..=count).flat_map(abort).collect();
        let _ = client.write(&aborts);
        let at = Instant::now();
        client.note("all of them are taken back");
        taken_back_at.extend(ids.into_iter().map(|id| (id, at)));
        thread::sleep(Duration::from_secs(3));
        client.close();
    }
    let attempts: Vec<_> = engines
        .iter()
        .flat_map(|engine| engine.attempts().into_iter().map(|at| (&engine.name, at)))
        .collect();
    let mut broken = Vec::new();
    for (engine, (id, begun)) in &attempts {
        let after = begun.saturating_duration_since(taken_back_at[id]);
        if after > LATEST_BEGIN {
            let after = after.as_secs_f64();
            broken.push(format!(
                "lost: an attempt of {id} began at {engine} {after:.3} s after it was taken back"
            ));
        }
    }
    record.line(&format!("{} attempts, {} of them too late", attempts.len(), broken.len()));
    assert!(router.is_running(), "the router has ended");
    broken
}
