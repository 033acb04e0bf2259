//! Measures members that gossip, on the virtual network: signatures are real, time is virtual.

use std::io;
use std::mem;
use std::process::id;
use std::time::Instant;

use woadhook_gossip::EngineCondition;
use woadhook_standins::cluster::{Cluster, default_gossip_config, secs};
use woadhook_standins::net::NetworkConditions;

use crate::measure::{Measure, Measurements};
use crate::process;

const ENGINES: [&str; 6] = ["e-1", "e-2", "e-3", "e-4", "e-5", "e-6"];
/// The time in which the member records of the start reach all members, and the length of the measurement.
const SETTLE_SECS: f64 = 5.0;
const CALM_SECS: f64 = 10.0;
/// A report that has not reached all members after this time is an error.
const MAX_SPREAD_SECS: f64 = 60.0;
/// The number of members of the warm-up.
const WARM_UP_MEMBERS: usize = 10;
const MILLIS_IN_SECOND: f64 = 1_000.0;
/// The member that reports an engine as silent, and the engine.
const REPORTER: usize = 1;
const ENGINE: &str = ENGINES[1];

/// Measures `count` members. The processor time includes that of the virtual network.
pub fn measure(count: usize, seed: u64) -> io::Result<Measurements> {
    warm_up(seed);
    let empty_kb = process::memory_kb(id())?;
    let mut cluster = Cluster::new(seed, count, NetworkConditions::reliable(), default_gossip_config());
    cluster.set_engines(&ENGINES);
    cluster.introduce_all();
    cluster.run_for(secs(SETTLE_SECS));
    let mut measurements = Measurements::new();
    let memory_kb = process::memory_kb(id())? - empty_kb;
    measurements.insert(Measure::Memory, memory_kb.max(0.0) / count as f64);
    measure_calm(&mut cluster, &mut measurements)?;
    let spread_ms = spread_ms(&mut cluster).ok_or_else(|| io::Error::other("a word did not reach all"))?;
    measurements.insert(Measure::InForce, spread_ms);
    // The cluster is not freed, so that the next point does not reuse its memory and appear smaller.
    mem::forget(cluster);
    Ok(measurements)
}

/// Makes the process allocate the memory that it needs once for any number of members, so that this memory is
/// not counted at the first point.
fn warm_up(seed: u64) {
    let mut cluster =
        Cluster::new(seed, WARM_UP_MEMBERS, NetworkConditions::reliable(), default_gossip_config());
    cluster.introduce_all();
    cluster.run_for(secs(SETTLE_SECS));
    mem::forget(cluster);
}

/// Measures a cluster in which no member or engine changes.
fn measure_calm(cluster: &mut Cluster, measurements: &mut Measurements) -> io::Result<()> {
    let count = cluster.running().count() as f64;
    let (before, before_us, started) = (total_bytes(cluster), process::cpu_us(id())?, Instant::now());
    cluster.run_for(secs(CALM_SECS));
    let (after, after_us) = (total_bytes(cluster), process::cpu_us(id())?);
    let rate = |from: f64, to: f64| (to - from) / CALM_SECS / count;
    measurements.insert(Measure::CpuAtRest, rate(before_us, after_us));
    measurements.insert(Measure::ControlSent, rate(before.0, after.0));
    measurements.insert(Measure::ControlReceived, rate(before.1, after.1));
    eprintln!("{count} members: {CALM_SECS} s in {:.1} s", started.elapsed().as_secs_f64());
    Ok(())
}

/// The bytes that all members have sent and received.
fn total_bytes(cluster: &Cluster) -> (f64, f64) {
    cluster.running().fold((0.0, 0.0), |(sent, received), (_, core)| {
        let counts = core.counters();
        (sent + counts.sent_bytes as f64, received + counts.received_bytes as f64)
    })
}

/// The time until all members have received the report of one, in milliseconds.
fn spread_ms(cluster: &mut Cluster) -> Option<f64> {
    cluster.with_core(REPORTER, |now, core| core.engine_judged(now, ENGINE, EngineCondition::Silent));
    let others =
        |cluster: &Cluster| (0..cluster.nodes.len()).filter(|node| *node != REPORTER).collect::<Vec<_>>();
    let all_know =
        |cluster: &Cluster| others(cluster).into_iter().all(|node| cluster.suspicion(node, ENGINE) > 0.0);
    Some(cluster.run_until(secs(MAX_SPREAD_SECS), all_know)?.secs() * MILLIS_IN_SECOND)
}
