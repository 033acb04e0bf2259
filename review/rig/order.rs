//! Order of a key: loads with the same key run one at a time, in the order in which the router took them.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use crate::Stage;
use crate::net::*;
use crate::settings::{BANGNA, Member};

const ENGINES: usize = 6;
const KEYED_CLIENTS: u64 = 8;
const PLAY_MS: u64 = 45_000;
/// Bad clients: connections, requests at once on each, and how long they go on and pause.
const BAD_CLIENTS: u64 = 12;
const AT_ONCE: usize = 30;
const FLOOD_MS: u64 = 500;
const PAUSE_MS: u64 = 700;

pub fn play(stage: &Stage) -> bool {
    let engines = Engines::new(stage.record.clone(), 0.5, "waiting:0", false);
    let members: Vec<Member> = (0..ENGINES)
        .map(|index| Member {
            address: engines.start(index),
            zone: if index < 3 { "hall-a" } else { "hall-b" },
        })
        .collect();
    let router = stage.start_router(BANGNA, &members, Bulletin::default().serve());
    let is_over = Arc::new(AtomicBool::new(false));
    let bad_answers = Arc::new(AtomicU64::new(0));
    let mut keyed = Vec::new();
    for number in 0..KEYED_CLIENTS {
        let (record, is_over) = (stage.record.clone(), is_over.clone());
        keyed.push(thread::spawn(move || keyed_client(number, router, &record, &is_over)));
    }
    if stage.trouble {
        let is_flooding = Arc::new(AtomicBool::new(false));
        let (flooding, over, record) = (is_flooding.clone(), is_over.clone(), stage.record.clone());
        thread::spawn(move || {
            while !over.load(Ordering::SeqCst) {
                sleep_ms(PAUSE_MS);
                flooding.store(true, Ordering::SeqCst);
                record.line("the bad clients begin");
                sleep_ms(FLOOD_MS);
                flooding.store(false, Ordering::SeqCst);
                record.line("the bad clients pause");
            }
        });
        for number in 0..BAD_CLIENTS {
            let (flooding, over, answers) = (is_flooding.clone(), is_over.clone(), bad_answers.clone());
            thread::spawn(move || bad_client(number, router, &flooding, &over, &answers));
        }
    }
    sleep_ms(PLAY_MS);
    is_over.store(true, Ordering::SeqCst);
    let taken: Vec<(String, String)> = keyed.into_iter().flat_map(|client| client.join().unwrap()).collect();
    engines.expire();
    stage.record.say(&format!(
        "{} loads, {} answers to bad clients",
        taken.len(),
        bad_answers.load(Ordering::SeqCst)
    ));
    judge(stage, &engines, &taken)
}

/// A client whose loads come in rounds, each with a key of its own: one load, and upon its answer a long one
/// and 0.6 s later a short one. Returns the ids and keys of its loads in the order in which it sent them.
fn keyed_client(
    number: u64, router: SocketAddr, record: &Record, is_over: &AtomicBool,
) -> Vec<(String, String)> {
    let (mut chance, mut sent) = (Chance::new(number + 1), Vec::new());
    let mut round = 0;
    while !is_over.load(Ordering::SeqCst) {
        round += 1;
        let key = format!("t/{number}-{round}");
        let Ok(mut client) = Client::connect(router) else { break };
        let mut load = |client: &mut Client, run_ms: u64, chance: &mut Chance| {
            let id = chance.id();
            let schema = chance.within(1, 200);
            let fields = [
                ("id", id.clone()),
                ("wait", "22000".into()),
                ("cost", (run_ms * 2).to_string()),
                ("ram", "96".into()),
                ("tenant", "napa-travel".into()),
                ("key", key.clone()),
            ];
            record.line(&format!("client {number}: load {id} key {key} runs {run_ms} ms"));
            client.send(
                "rate-load",
                &fields,
                &format!("copy rates_{schema}.quotes from stdin -- run {run_ms} ms"),
            );
            sent.push((id, key.clone()));
        };
        let answer = |client: &Client| {
            let (request, answer) = client.answer(Duration::from_secs(24));
            record.line(&format!("client {number}: key {key} request {request}: {answer:?}"));
        };
        let first_ms = chance.within(100, 400);
        load(&mut client, first_ms, &mut chance);
        answer(&client);
        let long_ms = chance.within(1_000, 2_000);
        load(&mut client, long_ms, &mut chance);
        sleep_ms(600);
        load(&mut client, 150, &mut chance);
        answer(&client);
        answer(&client);
    }
    sent
}

/// A bad client: many requests at once with very little time left, and the same again as soon as they are
/// turned away. It sends at full speed and reads whatever is sent to it.
fn bad_client(
    number: u64, router: SocketAddr, flooding: &AtomicBool, is_over: &AtomicBool, answers: &AtomicU64,
) {
    let mut chance = Chance::new(1_000 + number);
    while !is_over.load(Ordering::SeqCst) {
        if !flooding.load(Ordering::SeqCst) {
            sleep_ms(5);
            continue;
        }
        let Ok(mut client) = Client::connect(router) else { continue };
        let mut ask = |client: &mut Client| {
            let fields = [
                ("id", chance.id()),
                ("wait", "1".into()),
                ("cost", "150".into()),
                ("ram", "32".into()),
                ("tenant", "ruamsuk".into()),
            ];
            client.send("quote", &fields, "select a from rates_7.quotes -- run 100 ms");
        };
        (0..AT_ONCE).for_each(|_| ask(&mut client));
        while flooding.load(Ordering::SeqCst) {
            match client.answers.recv_timeout(Duration::from_millis(500)) {
                Ok((_, Answer::Closed)) | Err(_) => break,
                Ok(_) => {
                    answers.fetch_add(1, Ordering::SeqCst);
                    ask(&mut client);
                }
            }
        }
    }
}

/// The rule is broken where a load is sent while an earlier one with its key has an attempt that is out.
fn judge(stage: &Stage, engines: &Engines, taken: &[(String, String)]) -> bool {
    const SLACK: f64 = 0.05;
    let order: HashMap<&str, usize> =
        taken.iter().enumerate().map(|(index, (id, _))| (id.as_str(), index)).collect();
    let attempts = engines.attempts.lock().unwrap();
    let mut broken = 0;
    for later in attempts.iter().filter(|attempt| !attempt.key.is_empty()) {
        for earlier in attempts.iter().filter(|earlier| earlier.key == later.key && earlier.id != later.id) {
            let over = earlier.over.map_or(f64::MAX, |(at, _)| at);
            if earlier.came < later.came && later.came + SLACK < over {
                broken += 1;
                stage.record.say(&format!(
                    "key {}: {} came to engine {} at {:.3}, while {} was out at engine {} from {:.3} to {:.3}",
                    later.key, later.id, later.engine, later.came, earlier.id, earlier.engine, earlier.came, over
                ));
            }
            if order.get(later.id.as_str()) < order.get(earlier.id.as_str())
                && earlier.came + SLACK < later.came
            {
                broken += 1;
                stage.record.say(&format!(
                    "key {}: {} was taken before {} and sent after it",
                    later.key, later.id, earlier.id
                ));
            }
        }
    }
    stage.record.say(&format!("{} attempts, {broken} breaks of the order of a key", attempts.len()));
    broken > 0
}
