//! Setup of routers that gossip: their keys, passes and operator files, and the operator's voter sets.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};

use serde_json::json;
use woadhook::Moment;
use woadhook_gossip::keys::{Pass, VoterSet, public_key_to_text};
use woadhook_router::keyfiles;

use super::{LEASE_MS, Layout};
use crate::cluster::{cluster_id, operator_key, secret_key};
use crate::processes::free_datagram_address;
use crate::relays::Relays;

/// Writes the operator's voter set, in which the first routers vote.
pub(super) fn write_voter_set(folder: &Path, epoch: u64, voters: usize) {
    let keys: Vec<[u8; 32]> = (0..voters).map(|router| secret_key(router as u64 + 1).public()).collect();
    let voter_set = VoterSet::issue(&operator_key(), cluster_id(), epoch, &keys).expect("a voter set");
    fs::write(folder.join("order"), voter_set.to_text()).expect("a file");
}

/// Writes keys, passes and operator files for all routers and relays their datagrams. Returns each router's
/// command line arguments.
pub(super) fn gossip_arguments(layout: &Layout, folder: &Path, relays: &Relays) -> Vec<Vec<String>> {
    fs::create_dir_all(folder).expect("a folder");
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as u64;
    let (from, until) = (Moment::from_micros(now - 60_000_000), Moment::from_micros(now + 3_600_000_000));
    let addresses: Vec<SocketAddr> = (0..layout.routers).map(|_| free_datagram_address()).collect();
    let public_addresses: Vec<SocketAddr> = addresses
        .iter()
        .enumerate()
        .map(|(router, own)| relays.datagram_relay_address(&format!("n{router}"), *own))
        .collect();
    let file = |name: String| folder.join(name).to_string_lossy().into_owned();
    if layout.voters > 0 {
        write_voter_set(folder, 1, layout.voters);
    }
    (0..layout.routers)
        .map(|router| {
            let (key, pass) = (file(format!("n{router}.key")), file(format!("n{router}.pass")));
            let secret = secret_key(router as u64 + 1);
            let issued = Pass::issue(
                &operator_key(),
                &format!("n{router}"),
                secret.public(),
                cluster_id(),
                from,
                until,
            );
            keyfiles::write_secret(Path::new(&key), &secret).expect("a key file");
            fs::write(&pass, issued.expect("a pass").to_text()).expect("a file");
            let mut section = json!({"cluster": "stand-ins", "listen": addresses[router].to_string(),
                "advertise": public_addresses[router].to_string(),
                "seeds": public_addresses.iter().take(3).map(SocketAddr::to_string).collect::<Vec<_>>(), "key": key, "pass": pass, "period_ms": 100,
                "operator_keys": [public_key_to_text(&operator_key().public())]});
            if layout.voters > 0 {
                section["order"] = json!(file("order".to_owned()));
            }
            let accord = json!({"period_ms": 100, "lease_ms": LEASE_MS, "clock_tolerance_ms": 200});
            let operator = file(format!("n{router}.jsonnet"));
            fs::write(&operator, json!({"gossip": section, "accord": accord}).to_string()).expect("a file");
            vec!["run".to_owned(), "--operator".to_owned(), operator]
        })
        .collect()
}
