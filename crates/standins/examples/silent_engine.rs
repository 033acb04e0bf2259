//! Measures how three real routers on loopback, one of which gets a tenth of the traffic, react with and
//! without gossip when one of six engines stops answering: `cargo run --release -p woadhook-standins
//! --example silent_engine -- 3`, where 3 is the number of runs of each kind.

use std::collections::HashMap;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use woadhook::{Moment, Span};
use woadhook_gossip::keys::{Identity, Pass};
use woadhook_router::gossip::GossipSetup;
use woadhook_router::keyfiles::Keys;
use woadhook_standins::cluster::{
    cluster_id, default_accord_config, default_gossip_config, operator_key, secret_key, trust_store,
};
use woadhook_standins::{
    Client, DiscoveryEvents, Response, RouterThread, StandinServer, result_page, router_config,
};

/// The length of the load before the engine stops answering, and after that.
const SPAN_BEFORE_SILENCE: Duration = Duration::from_secs(5);
const SPAN_AFTER_SILENCE: Duration = Duration::from_secs(12);
/// Jobs a second at each router, 93 in total.
const RATES: [f64; 3] = [42.0, 42.0, 9.0];

fn now() -> Moment {
    Moment::from_micros(SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as u64)
}

fn gossip_setup(number: u64, socket: UdpSocket, seeds: Vec<SocketAddr>) -> GossipSetup {
    let secret = secret_key(number);
    let until = now() + Span::from_secs(3600.0);
    let name = format!("n{number}");
    let pass =
        Pass::issue(&operator_key(), &name, secret.public(), cluster_id(), now(), until).expect("a pass");
    let identity = Identity::new(secret, pass, &trust_store(), now()).expect("an identity");
    let address = socket.local_addr().expect("an address");
    GossipSetup {
        socket,
        keys: Keys { identity, ring: trust_store(), order: None },
        advertised_address: address,
        seeds,
        config: default_gossip_config(),
        accord: default_accord_config(),
    }
}

/// Sends jobs at a rate in jobs a second. Returns for each job the time at which it was sent, in seconds
/// since the start, and how long it took, or `None` if it failed.
fn send_jobs(client: Client, rate: f64, span: Duration, started: Instant) -> Vec<(f64, Option<f64>)> {
    let mut reader = Client(client.0.try_clone().expect("a connection"));
    let mut writer = client;
    let sent_at: Arc<Mutex<HashMap<u32, Instant>>> = Arc::default();
    let job_count = (rate * span.as_secs_f64()) as u32;
    let sent_by_number = sent_at.clone();
    let reading = thread::spawn(move || {
        (0..job_count)
            .map(|_| {
                let (number, result) = reader.receive();
                let at = sent_by_number.lock().expect("no panic")[&number];
                (at.duration_since(started).as_secs_f64(), result.ok().map(|_| at.elapsed().as_secs_f64()))
            })
            .collect::<Vec<_>>()
    });
    for number in 1..=job_count {
        let due = started + Duration::from_secs_f64(f64::from(number) / rate);
        thread::sleep(due.saturating_duration_since(Instant::now()));
        sent_at.lock().expect("no panic").insert(number, Instant::now());
        writer.send_job(number, "look", 4_000);
    }
    reading.join().expect("answers")
}

/// Returns the number of dispatches to the engine after it stopped answering and, for each router, figures of
/// the jobs sent after that: the failed jobs, the jobs that failed or took over 0.5 s, and when the last of
/// the latter was sent, in seconds after the engine stopped answering.
fn run(gossip: bool) -> (f64, Vec<(usize, usize, f64)>) {
    let silent = Arc::new(AtomicBool::new(false));
    let late_dispatches = Arc::new(AtomicUsize::new(0));
    let engines: Vec<StandinServer> = (0..6)
        .map(|number| {
            let (silent, late_dispatches) = (silent.clone(), late_dispatches.clone());
            StandinServer::start(move |call| {
                if number == 2 && silent.load(Ordering::Relaxed) {
                    late_dispatches.fetch_add(usize::from(call.line.starts_with("POST")), Ordering::Relaxed);
                    return Response::NoResponse;
                }
                result_page(call, &["a\tb\tc\n"])
            })
        })
        .collect();
    let addresses: Vec<SocketAddr> = engines.iter().map(|engine| engine.address).collect();
    let sockets: Vec<UdpSocket> = (0..3).map(|_| UdpSocket::bind("127.0.0.1:0").expect("a socket")).collect();
    let seeds: Vec<SocketAddr> =
        sockets.iter().map(|socket| socket.local_addr().expect("an address")).collect();
    let routers: Vec<RouterThread> = sockets
        .into_iter()
        .enumerate()
        .map(|(number, socket)| {
            let config = router_config(&addresses, DiscoveryEvents::default().serve().address, 1024)
                .replace("\"replicasOfMe\":1", "\"replicasOfMe\":3")
                .replace("\"myNumber\":0", &format!("\"myNumber\":{number}"));
            RouterThread::start_with_gossip(
                &config,
                gossip.then(|| gossip_setup(number as u64, socket, seeds.clone())),
            )
        })
        .collect();
    let started = Instant::now();
    let loads: Vec<_> = routers
        .iter()
        .zip(RATES)
        .map(|(router, rate)| {
            let client = Client::connect(router);
            thread::spawn(move || send_jobs(client, rate, SPAN_BEFORE_SILENCE + SPAN_AFTER_SILENCE, started))
        })
        .collect();
    thread::sleep(SPAN_BEFORE_SILENCE.saturating_sub(started.elapsed()));
    silent.store(true, Ordering::Relaxed);
    let results: Vec<Vec<(f64, Option<f64>)>> =
        loads.into_iter().map(|load| load.join().expect("a load")).collect();
    let after = SPAN_BEFORE_SILENCE.as_secs_f64();
    let summarize = |jobs: &Vec<(f64, Option<f64>)>| {
        let after: Vec<_> = jobs.iter().filter(|(at, _)| *at >= after).collect();
        let lost = after.iter().filter(|(_, took)| took.is_none()).count();
        let slow: Vec<f64> =
            after.iter().filter(|(_, took)| took.is_none_or(|took| took > 0.5)).map(|(at, _)| *at).collect();
        let last = slow.iter().fold(0.0, |last: f64, at| last.max(at - SPAN_BEFORE_SILENCE.as_secs_f64()));
        (lost, slow.len(), last)
    };
    (late_dispatches.load(Ordering::Relaxed) as f64, results.iter().map(summarize).collect())
}

fn main() {
    let runs: usize = std::env::args().nth(1).and_then(|argument| argument.parse().ok()).unwrap_or(3);
    println!(
        "gossip | dispatches to the silent engine | router: lost, slow (over 0.5 s or lost), last slow job sent after (s)"
    );
    for _ in 0..runs {
        for gossip in [false, true] {
            let (dispatches, routers) = run(gossip);
            let each: Vec<String> =
                routers.iter().map(|(lost, slow, last)| format!("{lost}, {slow}, {last:.2}")).collect();
            println!("{gossip} | {dispatches} | {}", each.join(" | "));
        }
    }
}
