//! A client that takes back hundreds of requests at once: nothing may be sent for them more than 0.1 s later.

use std::collections::HashMap;
use std::io::Write;
use std::time::Duration;

use crate::Stage;
use crate::net::*;
use crate::settings::{LJUBLJANA, Member};

const ENGINES: usize = 6;
/// Requests that the bad client sends at once, and takes back at once; and those of a usual client.
const REQUESTS: usize = 800;
const USUAL_REQUESTS: usize = 30;
const ROUNDS: u64 = 3;

pub fn play(stage: &Stage) -> bool {
    let engines = Engines::new(stage.record.clone(), 1.0, "waiting:0;cpu:0.5", true);
    let members: Vec<Member> = (0..ENGINES)
        .map(|index| Member {
            address: engines.start(index),
            zone: if index < 3 { "hala-a" } else { "hala-b" },
        })
        .collect();
    let router = stage.start_router(LJUBLJANA, &members, serve_bulletin());
    let mut chance = Chance::new(3);
    let mut taken_back = HashMap::new();
    let count = if stage.trouble { REQUESTS } else { USUAL_REQUESTS };
    for _ in 0..ROUNDS {
        let Ok(mut client) = Client::connect(router) else { return false };
        let (mut requests, mut aborts, mut ids) = (Vec::new(), Vec::new(), Vec::new());
        for _ in 0..count {
            let (id, number) = (chance.id(), client.number());
            let fields = [
                ("id", id.clone()),
                ("wait", "18000".into()),
                ("cost", "2400".into()),
                ("ram", "200".into()),
            ];
            let schema = chance.within(1, 40);
            let statement = format!("select a, b, c from photos_{schema}.lines -- run 250 ms");
            requests.extend(request(number, "porocilo", &fields, &statement));
            aborts.extend(abort(number));
            ids.push(id);
        }
        let sent = stage.record.now();
        if client.stream.write_all(&requests).is_err() {
            stage.record.say("the router closed the connection");
        }
        // All requests are taken back; the time counts from the end of this write.
        let _ = client.stream.write_all(&aborts);
        let now = stage.record.now();
        stage
            .record
            .say(&format!("{count} requests written from {sent:.3} s on, all taken back by {now:.3} s"));
        for (index, id) in ids.into_iter().enumerate() {
            stage.record.line(&format!("request {} is {id}", index + 1));
            taken_back.insert(id, now);
        }
        let mut answers = HashMap::new();
        let until = stage.record.now() + 6.0;
        while stage.record.now() < until {
            if let Ok((number, answer)) = client.answers.recv_timeout(Duration::from_millis(200)) {
                *answers
                    .entry(match answer {
                        Answer::Served(_) => "served".to_owned(),
                        other => format!("{other:?}"),
                    })
                    .or_insert(0) += 1;
                stage.record.line(&format!("answer to request {number}"));
            }
        }
        stage.record.say(&format!("answers: {answers:?}"));
    }
    judge(stage, &engines, &taken_back)
}

/// The rule is broken where an attempt begins more than 0.1 s after its client took the request back. Each
/// time limit is 50 ms longer.
fn judge(stage: &Stage, engines: &Engines, taken_back: &HashMap<String, f64>) -> bool {
    const LIMIT: f64 = 0.1 + 0.05;
    let attempts = engines.attempts.lock().unwrap();
    let mut broken = 0;
    for attempt in attempts.iter() {
        let Some(at) = taken_back.get(&attempt.id) else { continue };
        if attempt.came > at + LIMIT {
            broken += 1;
            let late = attempt.came - at;
            stage.record.say(&format!(
                "{} came to engine {} {late:.3} s after it was taken back",
                attempt.id, attempt.engine
            ));
        }
    }
    stage.record.say(&format!(
        "{} attempts, {broken} more than 0.15 s after the request was taken back",
        attempts.len()
    ));
    broken > 0
}
