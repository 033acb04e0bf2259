//! Measures the cost and speed of gossip on the virtual network: `cargo run --release -p woadhook-standins
//! --example gossip_scale -- 3 40 400`, where the arguments are numbers of instances. All signatures are
//! real; time is virtual, so only the CPU figures depend on this machine.

use std::time::Instant;

use woadhook::Span;
use woadhook_gossip::EngineCondition;
use woadhook_standins::cluster::{Cluster, default_gossip_config, secs};
use woadhook_standins::net::NetworkConditions;

/// Whether an instance is counted in the figures. One instance in four is not counted, as the churn stops and
/// starts these instances.
fn is_counted(node: usize) -> bool {
    node % 4 != 1
}

/// Sums over the counted instances of the datagrams and bytes sent, the datagrams received and the signatures
/// checked.
fn sums(cluster: &Cluster) -> [f64; 4] {
    let mut sums = [0.0; 4];
    for (_, core) in cluster.running().filter(|(node, _)| is_counted(*node)) {
        let counts = core.counters();
        let parts = [counts.sent, counts.sent_bytes, counts.received, counts.signature_checks];
        sums.iter_mut().zip(parts).for_each(|(sum, part)| *sum += part as f64);
    }
    sums
}

/// Rates per instance and second: datagrams and bytes sent, datagrams received, signatures checked.
fn rates(cluster: &mut Cluster, span: Span, mut each_second: impl FnMut(&mut Cluster, u64)) -> String {
    let before = sums(cluster);
    let count = cluster.running().filter(|(node, _)| is_counted(*node)).count() as f64;
    for second in 0..span.secs() as u64 {
        each_second(cluster, second);
        cluster.run_for(secs(1.0));
    }
    let after = sums(cluster);
    let rate = |index: usize| (after[index] - before[index]).max(0.0) / count / span.secs();
    format!("{:.1} | {:.0} | {:.1} | {:.1}", rate(0), rate(1), rate(2), rate(3))
}

fn format_span(span: Option<Span>) -> String {
    span.map_or("not in time".to_owned(), |span| format!("{:.2} s", span.secs()))
}

/// Resident memory of this process in bytes.
fn memory_bytes() -> f64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    statm.split(' ').nth(1).and_then(|pages| pages.parse::<f64>().ok()).unwrap_or(0.0) * 4096.0
}

fn main() {
    for count in std::env::args().skip(1).filter_map(|argument| argument.parse::<usize>().ok()) {
        let calm_for = if count > 1000 { secs(4.0) } else { secs(20.0) };
        let empty = memory_bytes();
        let mut cluster = Cluster::new(1, count, NetworkConditions::reliable(), default_gossip_config());
        cluster.set_engines(&["e-1", "e-2", "e-3", "e-4", "e-5", "e-6"]);
        cluster.introduce_all();
        println!(
            "## {count} instances\nheld: {:.0} KB an instance",
            (memory_bytes() - empty) / count as f64 / 1024.0
        );
        // Waits until the member records of the start have spread.
        cluster.run_for(if count > 1000 { secs(4.0) } else { secs(20.0) });
        println!("a second and instance: datagrams sent | bytes sent | datagrams received | checks");
        println!("calm: {}", rates(&mut cluster, calm_for, |_, _| ()));
        let started = Instant::now();
        let before = sums(&cluster);
        cluster.run_for(secs(1.0));
        let received = (sums(&cluster)[2] - before[2]) * count as f64
            / (0..count).filter(|node| is_counted(*node)).count() as f64;
        println!(
            "CPU per datagram received, including sending and the virtual network: {:.0} us",
            started.elapsed().as_secs_f64() * 1e6 / received.max(1.0)
        );
        cluster.with_core(1, |now, core| core.engine_judged(now, "e-2", EngineCondition::Silent));
        let informed = |cluster: &Cluster| {
            (0..count).filter(|node| *node != 1 && cluster.suspicion(*node, "e-2") > 0.0).count()
        };
        println!(
            "a report reaches half: {}",
            format_span(cluster.run_until(secs(10.0), |cluster| informed(cluster) * 2 >= count - 1))
        );
        println!(
            "and all, after that: {}",
            format_span(cluster.run_until(secs(20.0), |cluster| informed(cluster) == count - 1))
        );
        cluster.with_core(1, |now, core| core.engine_judged(now, "e-2", EngineCondition::Well));
        cluster.kill(2);
        let aware_of_crash =
            |cluster: &Cluster| cluster.running().filter(|(_, core)| core.live_members() < count).count();
        println!(
            "a crashed instance is gone at half: {}",
            format_span(cluster.run_until(secs(60.0), |cluster| aware_of_crash(cluster) * 2 >= count - 1))
        );
        println!(
            "and at all, after that: {}",
            format_span(cluster.run_until(secs(60.0), |cluster| aware_of_crash(cluster) == count - 1))
        );
        cluster.start(2);
        println!(
            "and back at all: {}",
            format_span(cluster.run_until(secs(120.0), |cluster| {
                cluster.running().all(|(_, core)| core.live_members() == count)
            }))
        );
        let churn = if count > 1000 { secs(4.0) } else { secs(20.0) };
        println!(
            "churn, an instance ends or starts each second: {}",
            rates(&mut cluster, churn, |cluster, second| {
                let node = second as usize / 2 * 4 % (count / 4 * 4).max(4) + 1;
                if second % 2 == 0 { cluster.kill(node) } else { cluster.start(node) }
            })
        );
        if count <= 400 {
            let _ = cluster.run_until(secs(60.0), Cluster::views_agree);
            for node in 0..count / 2 {
                let address = cluster.nodes[node].address;
                cluster.net.set_partition(address, 1);
            }
            cluster.run_for(secs(20.0));
            cluster.net.end_partitions();
            println!(
                "halves agree again after: {}",
                format_span(cluster.run_until(secs(300.0), Cluster::views_agree))
            );
        }
        let max_delayed = cluster.running().map(|(_, core)| core.counters().sends_over_budget).max();
        println!("maximum of sends delayed by the budget at one instance: {}", max_delayed.unwrap_or(0));
    }
}
