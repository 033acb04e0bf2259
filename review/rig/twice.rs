//! No effect twice: a request never has two attempts out at once where the settings forbid second copies.

use std::collections::HashMap;
use std::time::Duration;

use crate::Stage;
use crate::net::*;
use crate::settings::{LJUBLJANA, Member};

const ENGINES: usize = 8;
/// Engines of the zone that is cut off; the router is in the other one.
const CUT_ENGINES: usize = 4;
/// The pages have two cuts, and a zone partitioned for 6 s; these cuts are shorter.
const CUTS: u64 = 2;
const CUT_MS: u64 = 4_000;
/// Usual clients, each with one connection.
const CLIENTS: usize = 8;
/// Look-ups that each client sends at once before a cut, and reports in its first moments.
const LOOK_UPS: usize = 6;
const REPORTS: usize = 2;

pub fn play(stage: &Stage) -> bool {
    let engines = Engines::new(stage.record.clone(), 1.0, "waiting:0;cpu:0.3", true);
    let (mut members, mut relays) = (Vec::new(), Vec::new());
    for index in 0..ENGINES {
        let relay = Relay::start(engines.start(index));
        let zone = if index < ENGINES - CUT_ENGINES { "hala-a" } else { "hala-b" };
        members.push(Member { address: relay.address, zone });
        relays.push(relay);
    }
    let router = stage.start_router(LJUBLJANA, &members, Bulletin::default().serve());
    let cut_off = &relays[ENGINES - CUT_ENGINES..];
    let mut chance = Chance::new(1);
    for _ in 0..CUTS {
        let clients: Vec<_> = (0..CLIENTS).map(|_| Client::connect(router)).collect();
        let Ok(mut clients) = clients.into_iter().collect::<Result<Vec<_>, _>>() else {
            stage.record.say("a client could not connect");
            return false;
        };
        for _ in 0..LOOK_UPS {
            clients.iter_mut().for_each(|client| ask(stage, client, "pregled", &mut chance));
        }
        sleep_ms(1_000);
        if stage.trouble {
            cut_off.iter().for_each(Relay::cut);
            stage.record.say(&format!("{:.3}: hala-b is cut off", stage.record.now()));
        }
        for _ in 0..REPORTS {
            clients.iter_mut().for_each(|client| ask(stage, client, "porocilo", &mut chance));
        }
        sleep_ms(CUT_MS);
        if stage.trouble {
            cut_off.iter().for_each(Relay::heal);
            stage.record.say(&format!("{:.3}: the cut ends", stage.record.now()));
        }
        for (number, client) in clients.iter().enumerate() {
            for _ in 0..LOOK_UPS + REPORTS {
                let (request, answer) = client.answer(Duration::from_secs(20));
                stage.record.line(&format!("client {number}: request {request}: {answer:?}"));
            }
        }
        sleep_ms(3_000);
    }
    engines.expire();
    judge(stage, &engines)
}

/// Sends one request, of a size as the site has it.
fn ask(stage: &Stage, client: &mut Client, class: &str, chance: &mut Chance) {
    let (id, schema) = (chance.id(), chance.within(1, 60));
    let (wait, run_ms, threads) = match class {
        "pregled" => (3_800, chance.within(60, 200), 1),
        _ => (18_000, chance.within(1_500, 3_000), 4),
    };
    let fields = [
        ("id", id.clone()),
        ("wait", wait.to_string()),
        ("cost", (run_ms * threads).to_string()),
        ("ram", "96".into()),
    ];
    stage.record.line(&format!("request {class} {id} runs {run_ms} ms"));
    client.send(
        class,
        &fields,
        &format!(
            "select a, b, c from photos_{schema}.lines -- run {run_ms} ms, work {} ms",
            run_ms * threads
        ),
    );
}

/// The rule is broken where an attempt comes while another one of the same request is out at another engine.
fn judge(stage: &Stage, engines: &Engines) -> bool {
    const SLACK: f64 = 0.05;
    let attempts = engines.attempts.lock().unwrap();
    let mut of_request: HashMap<&str, Vec<&Attempt>> = HashMap::new();
    for attempt in attempts.iter() {
        of_request.entry(&attempt.id).or_default().push(attempt);
    }
    let mut broken = 0;
    for (id, attempts) in &of_request {
        for (index, later) in attempts.iter().enumerate() {
            for earlier in attempts[..index].iter().filter(|earlier| earlier.engine != later.engine) {
                let (over, how) = earlier.over.unwrap_or((f64::INFINITY, "out"));
                let later_over = later.over.map_or(f64::INFINITY, |(at, _)| at);
                if later.came + SLACK < over {
                    broken += 1;
                    let both = over.min(later_over) - later.came;
                    stage.record.say(&format!(
                        "{id}: out at engine {} from {:.3} to {over:.3} ({how}) and at engine {} from {:.3} to {later_over:.3}: {both:.3} s at both",
                        earlier.engine, earlier.came, later.engine, later.came
                    ));
                }
            }
        }
    }
    let (requests, sent) = (of_request.len(), attempts.len());
    stage.record.say(&format!("{requests} requests, {sent} attempts, {broken} times two at once"));
    broken > 0
}
