//! A cold sql engine is not pushed over: all routers together never send it more than the stated multiple of
//! what it can do.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::Stage;
use crate::net::*;
use crate::settings::{LJUBLJANA, Member};

const ENGINES: usize = 6;
/// The usual traffic: class, requests a second, work in ms, threads, and the time that clients wait in ms.
const TRAFFIC: [(&str, u64, u64, u64, u64); 3] =
    [("pregled", 30, 170, 1, 3_600), ("porocilo", 9, 2_800, 4, 18_000), ("nalaganje", 2, 5_000, 2, 18_000)];
const PLAY_S: f64 = 24.0;
/// When an engine is replaced by a cold one.
const REPLACED_AT_S: f64 = 8.0;
/// Bad clients, each with this many requests at once. Their ids begin with `BAD_ID`.
const BAD_CLIENTS: u64 = 2;
const AT_ONCE: usize = 30;
const BAD_ID: &str = "bad0";

pub fn play(stage: &Stage) -> bool {
    let engines = Engines::new(stage.record.clone(), 1.0, "waiting:0;cpu:0.6", true);
    let member = |index: usize| Member {
        address: engines.start(index),
        zone: if index % 2 == 0 { "hala-a" } else { "hala-b" },
    };
    let members: Vec<Member> = (0..ENGINES).map(member).collect();
    let bulletin = Bulletin::default();
    let router = stage.start_router(LJUBLJANA, &members, bulletin.serve());
    let begun = stage.record.now();
    let is_over = Arc::new(AtomicBool::new(false));
    let usual: Vec<_> = TRAFFIC
        .into_iter()
        .map(|traffic| {
            let (record, over) = (stage.record.clone(), is_over.clone());
            thread::spawn(move || usual_clients(traffic, router, &record, &over))
        })
        .collect();
    if stage.trouble {
        for number in 0..BAD_CLIENTS {
            let over = is_over.clone();
            thread::spawn(move || bad_client(number, router, &over));
        }
    }
    let wait_until = |seconds: f64| {
        while stage.record.now() - begun < seconds {
            sleep_ms(5);
        }
    };
    wait_until(REPLACED_AT_S);
    let started = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis();
    let (gone, new) = (ENGINES - 1, ENGINES);
    let started_at = stage.record.now();
    let lines = [
        members[gone].line(gone, "osem-jeder", "DRAINING", 0),
        member(new).line(new, "osem-jeder", "SERVING", started),
    ];
    bulletin.tell(&lines.join(","));
    stage.record.say(&format!("{started_at:.3}: engine {new} has started cold and is told"));
    wait_until(PLAY_S);
    is_over.store(true, Ordering::SeqCst);
    let sent: Vec<(u64, u64, u64)> = usual.into_iter().map(|clients| clients.join().unwrap()).collect();
    for ((class, ..), (sent, served, refused)) in TRAFFIC.into_iter().zip(sent) {
        stage.record.say(&format!("{class}: {sent} sent, {served} served, {refused} not"));
    }
    judge(stage, &engines, new, started_at)
}

/// Usual clients, who send at a steady rate. Returns how many requests were sent, served and not served.
fn usual_clients(
    (class, per_s, work_ms, threads, wait): (&str, u64, u64, u64, u64), router: SocketAddr, record: &Record,
    is_over: &AtomicBool,
) -> (u64, u64, u64) {
    let mut chance = Chance::new(per_s);
    let mut clients: Vec<Client> = (0..8).filter_map(|_| Client::connect(router).ok()).collect();
    let (begun, mut sent, mut served, mut refused) = (record.now(), 0, 0, 0);
    while !is_over.load(Ordering::SeqCst) {
        let due = begun + sent as f64 / per_s as f64;
        if record.now() < due {
            sleep_ms(2);
            continue;
        }
        let index = sent as usize % clients.len();
        let (id, schema) = (chance.id(), chance.within(1, 60));
        // The true work varies, and the estimate is off by up to a fifth.
        let work = work_ms * chance.within(60, 141) / 100;
        let cost = work * chance.within(80, 121) / 100;
        let fields = [
            ("id", id.clone()),
            ("wait", wait.to_string()),
            ("cost", cost.to_string()),
            ("ram", "96".into()),
        ];
        record.line(&format!("{class} {id}: work {work} ms"));
        let run_ms = work / threads;
        clients[index].send(
            class,
            &fields,
            &format!("select a, b, c from photos_{schema}.lines -- run {run_ms} ms, work {work} ms"),
        );
        sent += 1;
        for client in &mut clients {
            while let Ok((request, answer)) = client.answers.try_recv() {
                record.line(&format!("{class}: request {request}: {answer:?}"));
                match answer {
                    Answer::Served(_) => served += 1,
                    Answer::Closed => {}
                    _ => refused += 1,
                }
                if answer == Answer::Closed
                    && let Ok(new) = Client::connect(router)
                {
                    *client = new;
                    break;
                }
            }
        }
    }
    (sent, served, refused)
}

/// A bad client: requests whose figures are out of range, and the same again as they are turned away.
fn bad_client(number: u64, router: SocketAddr, is_over: &AtomicBool) {
    let mut chance = Chance::new(1_000 + number);
    while !is_over.load(Ordering::SeqCst) {
        let Ok(mut client) = Client::connect(router) else { return };
        for _ in 0..AT_ONCE {
            let (class, ..) = TRAFFIC[chance.within(0, 3) as usize];
            let fields = [
                ("id", format!("{BAD_ID}{}", &chance.id()[BAD_ID.len()..])),
                ("wait", "1".into()),
                ("cost", "0.001".into()),
                ("ram", "0".into()),
            ];
            client.send(class, &fields, "select a, b, c from photos_7.lines -- run 100 ms");
        }
        for _ in 0..AT_ONCE {
            if client.answer(Duration::from_secs(2)).1 == Answer::Closed {
                break;
            }
        }
        sleep_ms(50);
    }
}

/// The rule is broken where the cold engine gets more than N + 3 x root of N + 3 requests of mean work within
/// 2 s, N being twice what it can do in that time; a request weighs the usual work of its class. Only the
/// requests of usual clients are counted.
fn judge(stage: &Stage, engines: &Engines, cold: usize, started_at: f64) -> bool {
    const CORES: f64 = 8.0;
    const START_CAPACITY: f64 = 0.32;
    const COLD_S: f64 = 15.0;
    const FACTOR: f64 = 2.0;
    const WINDOW_S: f64 = 2.0;
    let (count, work) = TRAFFIC
        .iter()
        .fold((0, 0), |(count, work), (_, per_s, work_ms, ..)| (count + per_s, work + per_s * work_ms));
    let mean_work_s = work as f64 / count as f64 / 1e3;
    let attempts = engines.attempts.lock().unwrap();
    let weight = |attempt: &Attempt| {
        let of_class = TRAFFIC.iter().find(|(class, ..)| *class == attempt.class);
        of_class.map_or(0.0, |(_, _, work_ms, ..)| *work_ms as f64 / 1e3 / mean_work_s)
    };
    let at_cold: Vec<&Attempt> = attempts
        .iter()
        .filter(|attempt| !attempt.id.starts_with(BAD_ID))
        .filter(|attempt| attempt.engine == cold && attempt.came - started_at < COLD_S)
        .collect();
    let mut worst: Option<(f64, String)> = None;
    for last in &at_cold {
        let age = last.came - started_at;
        let present = START_CAPACITY + (1.0 - START_CAPACITY) * (age / COLD_S);
        let n = FACTOR * CORES * present * WINDOW_S / mean_work_s;
        let limit = if n < 30.0 { n + 3.0 * n.sqrt() + 3.0 } else { n + 2.0 * n.sqrt() + 2.0 };
        let within =
            at_cold.iter().filter(|other| other.came <= last.came && last.came - other.came <= WINDOW_S);
        let got: f64 = within.map(|other| weight(other)).sum();
        let text = format!(
            "at age {age:.2} s the cold engine had got {got:.1} requests of mean work within 2 s, allowed are {limit:.1} (N = {n:.1})"
        );
        if worst.as_ref().is_none_or(|(ratio, _)| got / limit > *ratio) {
            worst = Some((got / limit, text));
        }
    }
    let (ratio, text) = worst.unwrap_or((0.0, "the cold engine got nothing".into()));
    stage.record.say(&text);
    stage.record.say(&format!(
        "{} attempts, {} of them at the cold engine, at the most {ratio:.2} of the limit",
        attempts.len(),
        at_cold.len()
    ));
    ratio > 1.0
}
