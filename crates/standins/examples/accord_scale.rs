//! What agreement costs each instance on the virtual network, and how long all take to act on the first state:
//! `cargo run --release -p woadhook-standins --example accord_scale -- 10 40 400`. Rates are for a second and instance.

use woadhook_standins::cluster::{Cluster, default_accord_config, default_gossip_config, secs};
use woadhook_standins::net::NetworkConditions;

const SPAN: f64 = 16.0;

fn sent(cluster: &Cluster) -> Vec<(u64, u64)> {
    cluster.running().map(|(_, core)| (core.counters().sent, core.counters().sent_bytes)).collect()
}

/// Mean and most of a second over the instances: datagrams and bytes.
fn rates(before: &[(u64, u64)], after: &[(u64, u64)], span: f64) -> [f64; 4] {
    let each = |part: fn(&(u64, u64)) -> u64| {
        let all: Vec<f64> =
            before.iter().zip(after).map(|(b, a)| (part(a) - part(b)) as f64 / span).collect();
        (all.iter().sum::<f64>() / all.len() as f64, all.iter().fold(0.0, |most: f64, one| most.max(*one)))
    };
    let ((datagrams, most_datagrams), (bytes, most_bytes)) =
        (each(|counts| counts.0), each(|counts| counts.1));
    [datagrams, most_datagrams, bytes, most_bytes]
}

fn main() {
    let counts: Vec<usize> = std::env::args().skip(1).filter_map(|word| word.parse().ok()).collect();
    for count in counts {
        let mut cluster = Cluster::new(7, count, NetworkConditions::reliable(), default_gossip_config());
        cluster.introduce_all();
        cluster.run_for(secs(5.0));
        let before = sent(&cluster);
        cluster.run_for(secs(SPAN));
        let calm = sent(&cluster);
        let voters: Vec<usize> = (0..5).map(|voter| voter * count / 5).collect();
        cluster.issue_voter_set(1, &voters, default_accord_config());
        let took = cluster.run_until(secs(60.0), |cluster| cluster.acting_count() == count);
        let (from, acting) = (sent(&cluster), cluster.acting_count());
        let mut least = count;
        for _ in 0..SPAN as usize {
            cluster.run_for(secs(1.0));
            least = least.min(cluster.acting_count());
        }
        let after = sent(&cluster);
        let [d0, _, b0, _] = rates(&before, &calm, SPAN);
        let [d1, dm, b1, bm] = rates(&from, &after, SPAN);
        let took = took.map_or("not in 60 s".to_owned(), |took| format!("{:.2} s", took.secs()));
        println!(
            "{count} instances: all act after {took} ({acting}), at least {least} later on; without {d0:.1} datagrams, \
             {b0:.0} bytes; with {d1:.1} ({dm:.1} at most), {b1:.0} bytes ({bm:.0} at most)"
        );
    }
}
