//! Measures the traffic of the accord protocol at each instance on the virtual network, and the time until
//! all instances act on the first agreed state: `cargo run --release -p woadhook-standins --example
//! accord_scale -- 10 40 400`, where the arguments are numbers of instances. Rates are per second and
//! instance.

use woadhook_standins::cluster::{Cluster, default_accord_config, default_gossip_config, secs};
use woadhook_standins::net::NetworkConditions;

const MEASURED_SECS: f64 = 16.0;

/// For each running instance, the datagrams and bytes that it has sent.
fn sent_counts(cluster: &Cluster) -> Vec<(u64, u64)> {
    cluster.running().map(|(_, core)| (core.counters().sent, core.counters().sent_bytes)).collect()
}

/// The rates per second, as mean and maximum over the instances: mean and maximum of datagrams, then of
/// bytes.
fn rates(before: &[(u64, u64)], after: &[(u64, u64)], span: f64) -> [f64; 4] {
    let mean_and_max = |part: fn(&(u64, u64)) -> u64| {
        let rates: Vec<f64> =
            before.iter().zip(after).map(|(b, a)| (part(a) - part(b)) as f64 / span).collect();
        (
            rates.iter().sum::<f64>() / rates.len() as f64,
            rates.iter().fold(0.0, |max: f64, rate| max.max(*rate)),
        )
    };
    let ((datagrams, max_datagrams), (bytes, max_bytes)) =
        (mean_and_max(|counts| counts.0), mean_and_max(|counts| counts.1));
    [datagrams, max_datagrams, bytes, max_bytes]
}

fn main() {
    let counts: Vec<usize> = std::env::args().skip(1).filter_map(|argument| argument.parse().ok()).collect();
    for count in counts {
        let mut cluster = Cluster::new(7, count, NetworkConditions::reliable(), default_gossip_config());
        cluster.introduce_all();
        cluster.run_for(secs(5.0));
        let before = sent_counts(&cluster);
        cluster.run_for(secs(MEASURED_SECS));
        let calm = sent_counts(&cluster);
        let voters: Vec<usize> = (0..5).map(|voter| voter * count / 5).collect();
        cluster.issue_voter_set(1, &voters, default_accord_config());
        let settle_time = cluster.run_until(secs(60.0), |cluster| cluster.acting_count() == count);
        let (from, acting) = (sent_counts(&cluster), cluster.acting_count());
        let mut min_acting = count;
        for _ in 0..MEASURED_SECS as usize {
            cluster.run_for(secs(1.0));
            min_acting = min_acting.min(cluster.acting_count());
        }
        let after = sent_counts(&cluster);
        let [d0, _, b0, _] = rates(&before, &calm, MEASURED_SECS);
        let [d1, max_d1, b1, max_b1] = rates(&from, &after, MEASURED_SECS);
        let settle_time = settle_time
            .map_or("not in 60 s".to_owned(), |settle_time| format!("{:.2} s", settle_time.secs()));
        println!(
            "{count} instances: all act after {settle_time} ({acting}), at least {min_acting} later on; \
             without {d0:.1} datagrams, {b0:.0} bytes; with {d1:.1} ({max_d1:.1} at most), \
             {b1:.0} bytes ({max_b1:.0} at most)"
        );
    }
}
