//! Measures members that gossip, on the virtual network: signatures are real, time is virtual.

use std::io;
use std::mem;
use std::process::id;
use std::time::Instant;

use woadhook_gossip::EngineCondition;
use woadhook_standins::cluster::{Cluster, default_gossip_config, secs};
use woadhook_standins::net::NetworkConditions;

use crate::measure::{Measure, Measured};
use crate::process;

const ENGINES: [&str; 6] = ["e-1", "e-2", "e-3", "e-4", "e-5", "e-6"];
/// Until the cards of the start have been told, and how long is measured, in seconds.
const SETTLE_SECS: f64 = 5.0;
const CALM_SECS: f64 = 10.0;
/// A word has reached all by then, or never.
const SPREAD_SECS: f64 = 60.0;
/// Members of the warm-up.
const FEW: usize = 10;
const MILLIS: f64 = 1_000.0;
/// The member that sees an engine fall silent, and the engine.
const WITNESS: usize = 1;
const ENGINE: &str = ENGINES[1];

/// The processor time holds the virtual network's own.
pub fn measure(count: usize, seed: u64) -> io::Result<Measured> {
    warm_up(seed);
    let empty_kb = process::memory_kb(id())?;
    let mut cluster = Cluster::new(seed, count, NetworkConditions::reliable(), default_gossip_config());
    cluster.set_engines(&ENGINES);
    cluster.introduce_all();
    cluster.run_for(secs(SETTLE_SECS));
    let mut measured = Measured::new();
    let memory_kb = process::memory_kb(id())? - empty_kb;
    measured.insert(Measure::Memory, memory_kb.max(0.0) / count as f64);
    calm(&mut cluster, &mut measured)?;
    let spread = spread(&mut cluster).ok_or_else(|| io::Error::other("a word did not reach all"))?;
    measured.insert(Measure::InForce, spread);
    // Kept, so that the next point's memory is not that of this one given back.
    mem::forget(cluster);
    Ok(measured)
}

/// What the process takes once, whatever the count, is not to be the first point's.
fn warm_up(seed: u64) {
    let mut cluster = Cluster::new(seed, FEW, NetworkConditions::reliable(), default_gossip_config());
    cluster.introduce_all();
    cluster.run_for(secs(SETTLE_SECS));
    mem::forget(cluster);
}

fn calm(cluster: &mut Cluster, measured: &mut Measured) -> io::Result<()> {
    let count = cluster.running().count() as f64;
    let (before, before_us, started) = (bytes(cluster), process::cpu_us(id())?, Instant::now());
    cluster.run_for(secs(CALM_SECS));
    let (after, after_us) = (bytes(cluster), process::cpu_us(id())?);
    let rate = |from: f64, to: f64| (to - from) / CALM_SECS / count;
    measured.insert(Measure::CpuAtRest, rate(before_us, after_us));
    measured.insert(Measure::ControlSent, rate(before.0, after.0));
    measured.insert(Measure::ControlReceived, rate(before.1, after.1));
    eprintln!("{count} members: {CALM_SECS} s in {:.1} s", started.elapsed().as_secs_f64());
    Ok(())
}

/// Bytes that all have sent and received.
fn bytes(cluster: &Cluster) -> (f64, f64) {
    cluster.running().fold((0.0, 0.0), |(sent, received), (_, core)| {
        let counts = core.counters();
        (sent + counts.sent_bytes as f64, received + counts.received_bytes as f64)
    })
}

/// Until all have heard what one saw, in milliseconds.
fn spread(cluster: &mut Cluster) -> Option<f64> {
    cluster.with_core(WITNESS, |now, core| core.engine_judged(now, ENGINE, EngineCondition::Silent));
    let others =
        |cluster: &Cluster| (0..cluster.nodes.len()).filter(|node| *node != WITNESS).collect::<Vec<_>>();
    let all =
        |cluster: &Cluster| others(cluster).into_iter().all(|node| cluster.suspicion(node, ENGINE) > 0.0);
    Some(cluster.run_until(secs(SPREAD_SECS), all)?.secs() * MILLIS)
}
