//! Tests clusters of members on the virtual network. Each test guards against one kind of failure.

use std::collections::BTreeSet;
use std::rc::Rc;

use woadhook::{Moment, Outcome, Span};
use woadhook_gossip::item_queue::{ItemQueue, Topic};
use woadhook_gossip::keys::{Identity, MemberId, Pass, SecretKey, TrustStore, VoterSet};
use woadhook_gossip::members::{MemberTable, TimedChange};
use woadhook_gossip::wire::{
    DatagramKind, FailureReport, ItemTag, MAX_DATAGRAM_BYTES, MemberRecord, Observation, PADDED_PING_BYTES,
    encode_signed,
};
use woadhook_gossip::{Counters, EngineCondition, EventKind, Gossip};
use woadhook_standins::cluster::*;
use woadhook_standins::net::NetworkConditions;

const ENGINES: [&str; 3] = ["e-1", "e-2", "e-3"];
const NO_MEMBER: MemberId = MemberId(0);

fn cluster(seed: u64, count: usize, conditions: NetworkConditions) -> Cluster {
    let mut cluster = Cluster::new(seed, count, conditions, default_gossip_config());
    cluster.set_engines(&ENGINES);
    cluster
}

/// Returns a cluster in which all members know each other.
fn converged(seed: u64, count: usize) -> Cluster {
    let mut cluster = cluster(seed, count, NetworkConditions::reliable());
    cluster.introduce_all();
    cluster.run_for(secs(3.0));
    assert!(cluster.views_agree());
    cluster
}

/// Returns a datagram with these items, signed by a member at its first incarnation.
fn datagram(own: &Identity, to: MemberId, now: Moment, number: u64, items: &[(ItemTag, Vec<u8>)]) -> Vec<u8> {
    let record =
        MemberRecord::issue(own, node_address(200), now.since(Moment::default()).micros() / 1000, false);
    let items: Vec<_> = items.iter().map(|(tag, bytes)| (*tag, bytes.as_slice().into())).collect();
    encode_signed(
        own,
        DatagramKind::Ping,
        to,
        now,
        number,
        0,
        NO_MEMBER,
        (1, 0),
        &record.bytes,
        &items,
        PADDED_PING_BYTES,
    )
    .0
}

fn silent_observation(own: &Identity, now: Moment, number: u64, engine: &str) -> (ItemTag, Vec<u8>) {
    let incarnation = now.since(Moment::default()).micros() / 1000;
    let observation = Observation::issue(
        own,
        incarnation,
        number,
        now,
        engine,
        Moment::default(),
        EngineCondition::Silent,
        None,
        255,
    );
    (ItemTag::Observation, observation.to_bytes())
}

fn learned(counts: Counters) -> (u64, u64) {
    (counts.observations_accepted, counts.signature_checks)
}

#[test]
fn instances_that_know_one_seed_find_all_others() {
    let mut cluster = cluster(1, 12, NetworkConditions::reliable());
    assert!(cluster.run_until(secs(10.0), Cluster::views_agree).is_some());
    let late = cluster.add(12);
    let found = cluster.run_until(secs(5.0), Cluster::views_agree);
    assert!(found.is_some(), "another instance needs no change at the others");
    assert_eq!(cluster.core(late).live_peers().count(), 12);
}

#[test]
fn a_crashed_member_is_gone_and_returns_with_a_higher_incarnation() {
    let mut cluster = converged(2, 10);
    let before = cluster.core(4).own_record().incarnation;
    cluster.kill(4);
    assert!(cluster.run_until(secs(10.0), Cluster::views_agree).is_some());
    cluster.start(4);
    assert!(cluster.run_until(secs(10.0), Cluster::views_agree).is_some());
    assert!(cluster.core(4).own_record().incarnation > before);
}

#[test]
fn a_restart_with_a_clock_set_back_exceeds_its_old_incarnation() {
    let mut cluster = converged(3, 6);
    let before = cluster.core(5).own_record().incarnation;
    cluster.kill(5);
    cluster.run_for(secs(1.0));
    cluster.nodes[5].clock = (secs(4.5), true);
    cluster.start(5);
    assert!(cluster.core(5).own_record().incarnation < before, "the clock must be set back");
    assert!(cluster.run_until(secs(10.0), Cluster::views_agree).is_some());
    assert!(cluster.core(5).own_record().incarnation > before);
}

#[test]
fn a_member_that_leaves_is_not_suspected_first() {
    let mut cluster = converged(4, 10);
    cluster.events.clear();
    cluster.with_core(3, |now, core| core.leave(now));
    cluster.run_for(secs(0.1));
    cluster.kill(3);
    assert!(cluster.run_until(secs(5.0), Cluster::views_agree).is_some());
    let count_events = |kind| {
        cluster
            .events
            .iter()
            .filter(|event| event.kind == kind && event.member.as_deref() == Some("n3"))
            .count()
    };
    assert!(count_events(EventKind::MemberLeft) >= 9);
    assert_eq!(count_events(EventKind::MemberGone), 0);
}

#[test]
fn an_observation_reaches_all_members_within_a_second() {
    let mut cluster = converged(5, 40);
    cluster.with_core(7, |now, core| core.engine_judged(now, "e-2", EngineCondition::Silent));
    let all = |cluster: &Cluster| (0..40).all(|node| node == 7 || cluster.suspicion(node, "e-2") > 0.4);
    assert!(cluster.run_until(secs(1.0), all).is_some());
    cluster.with_core(7, |now, core| core.engine_judged(now, "e-2", EngineCondition::Well));
    let none = |cluster: &Cluster| (0..40).all(|node| cluster.suspicion(node, "e-2") == 0.0);
    assert!(cluster.run_until(secs(2.0), none).is_some());
}

#[test]
fn refusing_and_failing_engines_are_reported_until_they_recover() {
    let mut cluster = converged(6, 5);
    for _ in 0..4 {
        cluster.with_core(0, |now, core| core.dispatch_ended(now, "e-1", "load", Outcome::Error));
        cluster.with_core(0, |now, core| core.dispatch_ended(now, "e-3", "look", Outcome::TurnedAway));
    }
    cluster.run_for(secs(1.0));
    let suspicion = |cluster: &Cluster, reservation_type: &str| {
        cluster.nodes[3]
            .peer_reports
            .get(&("e-1".to_owned(), Some(reservation_type.to_owned())))
            .copied()
            .unwrap_or(0.0)
    };
    assert!(suspicion(&cluster, "load") > 0.4);
    assert_eq!(suspicion(&cluster, "look"), 0.0);
    assert!(cluster.suspicion(3, "e-3") > 0.4);
    for _ in 0..4 {
        cluster.with_core(0, |now, core| core.dispatch_ended(now, "e-1", "load", Outcome::Done));
        cluster.with_core(0, |now, core| core.dispatch_ended(now, "e-3", "look", Outcome::Done));
    }
    cluster.run_for(secs(1.0));
    assert_eq!((suspicion(&cluster, "load"), cluster.suspicion(3, "e-3")), (0.0, 0.0));
}

#[test]
fn a_forged_observation_is_rejected() {
    let mut cluster = converged(7, 4);
    let to = cluster.core(0).id();
    let now = cluster.now;
    let other_operators_member = {
        // The key was admitted by another operator.
        let (other, secret) = (secret_key(900), secret_key(901));
        let pass =
            Pass::issue(&other, "n1", secret.public(), cluster_id(), START, START + secs(9e6)).unwrap();
        let trust_store = TrustStore::new(cluster_id(), vec![other.public()]);
        Identity::new(secret, pass, &trust_store, now).unwrap()
    };
    let before = cluster.core(0).counters();
    // The pass is from the wrong operator.
    let bytes = datagram(
        &other_operators_member,
        to,
        now,
        1,
        &[silent_observation(&other_operators_member, now, 1, "e-1")],
    );
    cluster.with_core(0, |now, core| core.receive(now, node_address(1), &bytes));
    // The pass is member 1's own, and the datagram is damaged below.
    let honest = identity(1, "n1", now);
    let mut bytes = datagram(&honest, to, now, 1_000_000, &[silent_observation(&honest, now, 99, "e-1")]);
    // One bit is flipped in each byte.
    for place in 0..bytes.len() {
        bytes[place] ^= 0x10;
        cluster.with_core(0, |now, core| core.receive(now, node_address(1), &bytes));
        bytes[place] ^= 0x10;
    }
    // The signature is zeroed.
    let length = bytes.len();
    bytes[length - 64..].fill(0);
    cluster.with_core(0, |now, core| core.receive(now, node_address(1), &bytes));
    let after = cluster.core(0).counters();
    assert_eq!(after.observations_accepted, before.observations_accepted);
    assert!(
        after.not_admitted > before.not_admitted
            && after.bad_signature > before.bad_signature
            && after.foreign > before.foreign
    );
    assert_eq!(cluster.suspicion(0, "e-1"), 0.0);
}

#[test]
fn old_and_replayed_observations_are_rejected() {
    let mut cluster = converged(8, 3);
    let (to, now) = (cluster.core(0).id(), cluster.now);
    let honest = identity(1, "n1", now);
    let yesterday = Moment::from_micros(now.since(Moment::default()).saturating_sub(secs(86_400.0)).micros());
    let old = datagram(&honest, to, yesterday, 1, &[silent_observation(&honest, yesterday, 1, "e-1")]);
    let fresh = datagram(&honest, to, now, 5, &[silent_observation(&honest, now, 5, "e-2")]);
    let before = cluster.core(0).counters();
    cluster.with_core(0, |now, core| core.receive(now, node_address(1), &old));
    cluster.with_core(0, |now, core| core.receive(now, node_address(1), &fresh));
    let once = cluster.core(0).counters();
    cluster.with_core(0, |now, core| core.receive(now, node_address(1), &fresh));
    let twice = cluster.core(0).counters();
    assert_eq!(once.bad_timestamp, before.bad_timestamp + 1);
    assert_eq!(
        once.observations_accepted,
        before.observations_accepted + 1,
        "a fresh observation is accepted"
    );
    assert_eq!((twice.replayed, learned(twice)), (once.replayed + 1, learned(once)));
    // An old or repeated observation is not accepted when another member relays it either.
    let carrier = identity(2, "n2", now);
    let observations =
        [silent_observation(&honest, yesterday, 9, "e-3"), silent_observation(&honest, now, 5, "e-2")];
    let relayed = datagram(&carrier, to, now, 3, &observations);
    cluster.with_core(0, |now, core| core.receive(now, node_address(2), &relayed));
    assert_eq!(cluster.core(0).counters().observations_accepted, once.observations_accepted);
    assert_eq!(cluster.suspicion(0, "e-3"), 0.0);
}

#[test]
fn a_datagram_for_another_member_or_cluster_is_rejected() {
    let mut cluster = converged(9, 3);
    let now = cluster.now;
    let honest = identity(1, "n1", now);
    let to_another =
        datagram(&honest, cluster.core(2).id(), now, 7, &[silent_observation(&honest, now, 7, "e-1")]);
    let before = cluster.core(0).counters();
    cluster.with_core(0, |now, core| core.receive(now, node_address(1), &to_another));
    let other = woadhook_gossip::keys::ClusterId::from_name("elsewhere");
    let secret = secret_key(1);
    let pass = Pass::issue(&operator_key(), "n1", secret.public(), other, START, START + secs(9e6)).unwrap();
    let elsewhere =
        Identity::new(secret, pass, &TrustStore::new(other, vec![operator_key().public()]), now).unwrap();
    let foreign = datagram(&elsewhere, NO_MEMBER, now, 8, &[silent_observation(&elsewhere, now, 8, "e-1")]);
    cluster.with_core(0, |now, core| core.receive(now, node_address(1), &foreign));
    let after = cluster.core(0).counters();
    assert_eq!((after.foreign, learned(after)), (before.foreign + 2, learned(before)));
}

#[test]
fn a_revocation_known_to_one_member_removes_the_key_everywhere() {
    let mut cluster = converged(10, 8);
    let now = cluster.now;
    let list = trust_store_with(&[5], now);
    let own = identity(0, "n0", now);
    cluster.with_core(0, |now, core| core.rekey(now, own, list));
    let out = |cluster: &Cluster| {
        let holds = |node: usize| cluster.core(node).live_peers().any(|(name, ..)| name == "n5");
        (0..8).all(|node| node == 5 || !holds(node))
    };
    assert!(cluster.run_until(secs(5.0), out).is_some());
    let before = cluster.core(2).counters();
    cluster.with_core(5, |now, core| core.engine_judged(now, "e-1", EngineCondition::Silent));
    cluster.run_for(secs(5.0));
    assert!(out(&cluster));
    assert_eq!(cluster.suspicion(2, "e-1"), 0.0);
    assert!(cluster.core(2).counters().not_admitted > before.not_admitted);
}

fn trust_store_with(revoked: &[u64], now: Moment) -> TrustStore {
    let mut trust_store = trust_store();
    revoked.iter().for_each(|number| assert!(trust_store.revoke(&revocation(*number), now)));
    trust_store
}

#[test]
fn expired_passes_are_rejected_and_the_operator_key_can_be_replaced() {
    let mut cluster = converged(11, 4);
    let now = cluster.now;
    // A second operator key is first trusted by all beside the first one, and then signs the passes.
    let second = secret_key(77);
    let both = || TrustStore::new(cluster_id(), vec![operator_key().public(), second.public()]);
    for node in 0..4 {
        let own = identity(node as u64, &format!("n{node}"), now);
        cluster.with_core(node, |now, core| core.rekey(now, own, both()));
    }
    cluster.run_for(secs(1.0));
    for node in 0..4 {
        let pass = Pass::issue(
            &second,
            &format!("n{node}"),
            secret_key(node as u64).public(),
            cluster_id(),
            now,
            now + secs(90.0),
        );
        let own = Identity::new(secret_key(node as u64), pass.unwrap(), &both(), now).unwrap();
        cluster.with_core(node, |now, core| core.rekey(now, own, both()));
        cluster.run_for(secs(1.0));
        cluster.with_core(node, |now, core| core.engine_judged(now, "e-1", EngineCondition::Silent));
        cluster.run_for(secs(1.0));
        let other = (node + 1) % 4;
        assert!(cluster.suspicion(other, "e-1") > 0.0, "observations are accepted while keys change");
        cluster.with_core(node, |now, core| core.engine_judged(now, "e-1", EngineCondition::Well));
        cluster.run_for(secs(1.0));
    }
    assert!(cluster.run_until(secs(5.0), Cluster::views_agree).is_some());
    cluster.run_for(secs(100.0));
    assert_eq!(cluster.core(0).live_peers().count(), 0, "expired passes are not accepted");
    assert!(cluster.events.iter().any(|event| event.kind == EventKind::PassEnding));
}

#[test]
fn members_admitted_with_a_stolen_operator_key_are_removed_with_it() {
    let mut cluster = converged(32, 4);
    let (now, stolen) = (cluster.now, secret_key(78));
    let both = || TrustStore::new(cluster_id(), vec![operator_key().public(), stolen.public()]);
    cluster.with_core(0, |now, core| core.rekey(now, identity(0, "n0", now), both()));
    let pass =
        Pass::issue(&stolen, "thief", secret_key(600).public(), cluster_id(), START, START + secs(9e6))
            .unwrap();
    let thief = Identity::new(secret_key(600), pass, &both(), now).unwrap();
    let hello = datagram(&thief, cluster.core(0).id(), now, 1, &[]);
    cluster.with_core(0, |now, core| core.receive(now, node_address(200), &hello));
    assert!(cluster.core(0).live_peers().any(|(name, ..)| name == "thief"));
    cluster.with_core(0, |now, core| core.rekey(now, identity(0, "n0", now), trust_store()));
    assert!(cluster.core(0).live_peers().all(|(name, ..)| name != "thief"));
    // An observation of the thief is not accepted through a member that still trusts the stolen key either.
    let carrier = identity(2, "n2", now);
    let relayed =
        datagram(&carrier, cluster.core(0).id(), now, 9, &[silent_observation(&thief, now, 5, "e-1")]);
    cluster.with_core(0, |now, core| core.receive(now, node_address(2), &relayed));
    assert_eq!(cluster.suspicion(0, "e-1"), 0.0);
}

#[test]
fn a_new_member_replaces_a_crashed_one_at_the_same_address() {
    let mut cluster = converged(33, 6);
    cluster.kill(4);
    let new = cluster.add(4);
    assert!(cluster.run_until(secs(15.0), Cluster::views_agree).is_some());
    assert!(
        cluster.core(0).live_peers().any(|(name, at, _)| name == format!("n{new}") && at == node_address(4))
    );
    assert!(cluster.core(0).live_peers().all(|(name, ..)| name != "n4"));
}

#[test]
fn a_member_that_changes_its_key_counts_once() {
    let mut cluster = converged(12, 5);
    cluster.with_core(3, |now, core| core.engine_judged(now, "e-1", EngineCondition::Silent));
    cluster.run_for(secs(1.0));
    let once = cluster.suspicion(0, "e-1");
    let now = cluster.now;
    let pass =
        Pass::issue(&operator_key(), "n3", secret_key(500).public(), cluster_id(), now, now + secs(9e6))
            .unwrap();
    let own = Identity::new(secret_key(500), pass, &trust_store(), now).unwrap();
    cluster.with_core(3, |now, core| core.rekey(now, own, trust_store()));
    cluster.run_for(secs(2.0));
    cluster.with_core(3, |now, core| core.engine_judged(now, "e-1", EngineCondition::Well));
    cluster.with_core(3, |now, core| core.engine_judged(now, "e-1", EngineCondition::Reset));
    cluster.run_for(secs(1.0));
    assert!(cluster.suspicion(0, "e-1") <= once + 1e-9, "two keys with the same name count once");
    assert!(cluster.run_until(secs(10.0), Cluster::views_agree).is_some());
}

#[test]
fn a_lying_member_is_ignored_after_four_contradictions() {
    let mut cluster = converged(13, 6);
    let liar = cluster.core(5).id();
    let mut accepted = 0;
    for turn in 0..40 {
        let seen = if turn % 2 == 0 { EngineCondition::Silent } else { EngineCondition::Well };
        cluster.with_core(5, |now, core| core.engine_judged(now, "e-1", seen));
        cluster.run_for(secs(0.6));
        if cluster.suspicion(0, "e-1") > 0.0 {
            accepted += 1;
            // A probe by the member itself contradicts the false observation.
            cluster.with_core(0, |now, core| core.probe_answered(now, "e-1"));
            assert_eq!(cluster.suspicion(0, "e-1"), 0.0);
        }
    }
    assert!((1..=5).contains(&accepted), "{accepted} false observations were accepted");
    assert!(cluster.core(0).credit(liar) < 0.2);
    assert!(cluster.events.iter().any(|event| event.kind == EventKind::MemberDistrusted && event.node == 0));
    // Other members' observations still count.
    cluster.with_core(4, |now, core| core.engine_judged(now, "e-2", EngineCondition::Silent));
    cluster.run_for(secs(1.0));
    assert!(cluster.suspicion(0, "e-2") > 0.4);
}

#[test]
fn false_failure_reports_remove_no_member() {
    let mut cluster = converged(14, 20);
    cluster.events.clear();
    // Three lying members would suffice against a member that can't refute.
    for turn in 0..30 {
        for liar in 17..20 {
            let now = cluster.now;
            let own = identity(liar as u64, &format!("n{liar}"), now);
            let victim = turn % 17;
            let (subject, incarnation) =
                (cluster.core(victim).id(), cluster.core(victim).own_record().incarnation);
            let report = FailureReport::issue(&own, subject, incarnation, now);
            let (own_record, target) = (cluster.core(liar).own_record(), (victim + 1 + turn) % 17);
            let items = [(ItemTag::FailureReport, report.to_bytes().into())];
            let to = cluster.core(target).id();
            let number = 1_000_000 + turn as u64;
            let bytes = encode_signed(
                &own,
                DatagramKind::Ping,
                to,
                now,
                number,
                0,
                NO_MEMBER,
                (20, 0),
                &own_record.bytes,
                &items,
                0,
            )
            .0;
            let from = cluster.nodes[liar].address;
            cluster.inject(from, target, bytes);
        }
        cluster.run_for(secs(0.5));
    }
    let gone = cluster.events.iter().filter(|event| event.kind == EventKind::MemberGone).count();
    let self_suspected = cluster.events.iter().filter(|event| event.kind == EventKind::SelfSuspected).count();
    assert_eq!(gone, 0);
    assert!(self_suspected > 0, "the false reports arrived");
    assert!(cluster.run_until(secs(10.0), Cluster::views_agree).is_some());
}

#[test]
fn an_observation_in_the_name_of_another_member_is_rejected() {
    let mut cluster = converged(30, 3);
    let now = cluster.now;
    let forger = identity(2, "n2", now);
    let mut observation =
        Observation::issue(&forger, 1, 99, now, "e-1", Moment::default(), EngineCondition::Silent, None, 255);
    observation.reporter = cluster.core(1).id();
    let bytes =
        datagram(&forger, cluster.core(0).id(), now, 9, &[(ItemTag::Observation, observation.to_bytes())]);
    let before = cluster.core(0).counters();
    cluster.with_core(0, |now, core| core.receive(now, node_address(2), &bytes));
    let after = cluster.core(0).counters();
    assert_eq!(
        (after.observations_accepted, after.bad_signature),
        (before.observations_accepted, before.bad_signature + 1)
    );
    assert_eq!(cluster.suspicion(0, "e-1"), 0.0);
}

#[test]
fn reporters_with_the_same_name_count_once() {
    let now = START + secs(60.0);
    let record = |number: u64, name: &str| {
        Rc::new(MemberRecord::issue(&identity(number, name, now), node_address(1), 5, false))
    };
    let is_gone = |reporters: &[(u64, &str)]| {
        let mut members = MemberTable::new(NO_MEMBER, 20);
        let subject = record(1, "subject");
        members.apply_record(now, subject.clone());
        for (number, name) in reporters {
            members.apply_record(now, record(*number, name));
            let own = identity(*number, name, now);
            members
                .apply_failure_report(now, &FailureReport::issue(&own, subject.id, subject.incarnation, now));
        }
        let later = now + secs(3.0);
        let changes = members.apply_timeouts(later, secs(2.0), secs(600.0), secs(5.0));
        changes.iter().any(|(id, change, _)| *id == subject.id && *change == TimedChange::Gone)
    };
    assert!(!is_gone(&[(2, "a")]));
    assert!(!is_gone(&[(2, "a"), (3, "a"), (4, "a"), (5, "b")]));
    assert!(is_gone(&[(2, "a"), (3, "b"), (4, "c")]));
}

#[test]
fn a_partition_heals_without_any_seed() {
    let mut cluster = converged(31, 12);
    (0..3).for_each(|seed| cluster.kill(seed));
    assert!(cluster.run_until(secs(10.0), Cluster::views_agree).is_some());
    for node in 3..7 {
        let place = cluster.nodes[node].address;
        cluster.net.set_partition(place, 1);
    }
    let parted =
        |cluster: &Cluster| cluster.core(3).live_members() == 4 && cluster.core(8).live_members() == 5;
    assert!(cluster.run_until(secs(20.0), parted).is_some());
    cluster.net.end_partitions();
    assert!(cluster.run_until(secs(30.0), Cluster::views_agree).is_some());
}

#[test]
fn observations_are_not_delayed_by_new_member_records() {
    let mut queue = ItemQueue::default();
    queue.add(Topic::Observation(MemberId(1), "e-1".to_owned(), None), vec![0; 200].into());
    let mut sends = 0;
    for round in 0..12 {
        for number in 0..4 {
            queue.add(Topic::MemberRecord(MemberId(100 + round * 4 + number)), vec![0; 220].into());
        }
        sends +=
            queue.take(NO_MEMBER, 850, 20).iter().filter(|(tag, _)| *tag == ItemTag::Observation).count();
    }
    assert!(sends >= 4, "{sends} times in a dozen datagrams");
}

#[test]
fn late_observations_count_at_most_half_and_a_slow_member_removes_none() {
    let mut cluster = converged(15, 6);
    let slow = cluster.nodes[5].address;
    cluster.net.add_delay(slow, secs(10.0));
    cluster.with_core(5, |now, core| core.engine_judged(now, "e-1", EngineCondition::Silent));
    cluster.run_for(secs(12.0));
    let late = cluster.suspicion(0, "e-1");
    assert!(late < 0.3, "an observation ten seconds late counts at most half of a fresh one: {late}");
    cluster.run_for(secs(20.0));
    let others = |cluster: &Cluster| {
        let knows =
            |node: usize| cluster.core(node).live_peers().filter(|(name, ..)| *name != "n5").count() == 4;
        (0..5).all(knows)
    };
    assert!(others(&cluster));
}

#[test]
fn clocks_that_differ_by_five_seconds_are_tolerated() {
    for (seed, behind) in [(16, false), (27, true)] {
        let mut cluster = cluster(seed, 8, NetworkConditions::reliable());
        cluster.kill(2);
        cluster.nodes[2].clock = (secs(4.9), behind);
        cluster.start(2);
        cluster.set_engines(&ENGINES);
        assert!(cluster.run_until(secs(10.0), Cluster::views_agree).is_some());
        for node in [2, 4] {
            cluster.with_core(node, |now, core| core.engine_judged(now, "e-1", EngineCondition::Silent));
            cluster.run_for(secs(1.0));
            let is_suspicious = |other: usize| other == node || cluster.suspicion(other, "e-1") > 0.2;
            assert!((0..8).all(is_suspicious), "observations of {node}");
            cluster.with_core(node, |now, core| core.engine_judged(now, "e-1", EngineCondition::Well));
            cluster.run_for(secs(2.0));
            assert!((0..8).all(|other| cluster.suspicion(other, "e-1") == 0.0));
        }
    }
}

#[test]
fn a_hundred_members_join_at_once() {
    let mut cluster = converged(17, 20);
    for number in 20..120 {
        cluster.add(number);
    }
    let before: Vec<u64> = cluster.running().map(|(_, core)| core.counters().sent).collect();
    let start = cluster.now;
    let took = cluster.run_until(secs(60.0), Cluster::views_agree);
    assert!(took.is_some());
    let span = cluster.now.since(start).secs() + 0.5;
    for ((_, core), before) in cluster.running().zip(before) {
        let rate = (core.counters().sent - before) as f64 / span;
        assert!(rate <= default_gossip_config().max_sends_per_s * 1.2, "{rate} datagrams a second");
    }
}

#[test]
fn a_partition_heals() {
    for (small, seed) in [(20, 18), (1, 19)] {
        let mut cluster = converged(seed, 40);
        for node in 0..small {
            let place = cluster.nodes[39 - node].address;
            cluster.net.set_partition(place, 1);
        }
        let parted = |cluster: &Cluster| {
            cluster.core(0).live_members() == 40 - small && cluster.core(39).live_members() == small
        };
        assert!(cluster.run_until(secs(30.0), parted).is_some(), "{small} of 40 cut off");
        cluster.kill(10);
        cluster.run_for(secs(5.0));
        cluster.net.end_partitions();
        let healed = cluster.run_until(secs(30.0), Cluster::views_agree);
        assert!(
            healed.is_some(),
            "{small} of 40 cut off: {:?}",
            cluster.running().map(|(node, core)| (node, core.live_members())).collect::<Vec<_>>()
        );
    }
}

#[test]
fn members_recover_from_loss_duplication_and_reordering() {
    let mut cluster = converged(20, 20);
    cluster.net.conditions = NetworkConditions::unreliable();
    cluster.events.clear();
    cluster.run_for(secs(20.0));
    cluster.with_core(3, |now, core| core.engine_judged(now, "e-1", EngineCondition::Silent));
    let all = |cluster: &Cluster| (0..20).all(|node| node == 3 || cluster.suspicion(node, "e-1") > 0.2);
    assert!(
        cluster.run_until(secs(4.0), all).is_some(),
        "observations get through: {:?}",
        (0..20).map(|node| cluster.suspicion(node, "e-1")).collect::<Vec<_>>()
    );
    cluster.net.conditions = NetworkConditions::reliable();
    assert!(cluster.run_until(secs(10.0), Cluster::views_agree).is_some());
    let replayed: u64 = cluster.running().map(|(_, core)| core.counters().replayed).sum();
    assert!(replayed > 0, "the network repeated datagrams");
}

#[test]
fn an_answer_to_an_unverified_address_is_no_larger_than_the_request() {
    let mut cluster = converged(21, 30);
    let now = cluster.now;
    // A member's own datagram is sent again from an address that is not its own.
    let own = identity(29, "n29", now);
    let to = cluster.core(0).id();
    for (number, kind) in
        [DatagramKind::Ping, DatagramKind::Pull, DatagramKind::PingRequest].into_iter().enumerate()
    {
        let record =
            MemberRecord::issue(&own, node_address(29), cluster.core(29).own_record().incarnation, false);
        let about = if kind == DatagramKind::PingRequest { cluster.core(3).id() } else { NO_MEMBER };
        let bytes = encode_signed(
            &own,
            kind,
            to,
            now,
            5_000 + number as u64,
            0,
            about,
            (1, 0),
            &record.bytes,
            &[],
            600,
        )
        .0;
        let before = cluster.core(0).counters();
        cluster.with_core(0, |now, core| core.receive(now, node_address(250), &bytes));
        let after = cluster.core(0).counters();
        assert!(
            after.signature_checks > before.signature_checks,
            "the datagram was accepted as the member's"
        );
        let answered = after.sent_bytes - before.sent_bytes;
        assert!(answered <= bytes.len() as u64, "{answered} bytes to {kind:?} of {}", bytes.len());
    }
}

#[test]
fn spoofed_joins_neither_fill_the_table_nor_cause_a_flood_of_answers() {
    let mut cluster = converged(22, 5);
    let now = cluster.now;
    let before = cluster.core(0).counters();
    // One valid pass joins under a thousand addresses.
    let own = identity(800, "n800", now);
    for number in 0..1000 {
        let record =
            MemberRecord::issue(&own, node_address(300 + number), 1_780_000_000_000 + number as u64, false);
        let bytes = encode_signed(
            &own,
            DatagramKind::Ping,
            NO_MEMBER,
            now,
            1,
            0,
            NO_MEMBER,
            (1, 0),
            &record.bytes,
            &[],
            PADDED_PING_BYTES,
        )
        .0;
        cluster.with_core(0, |now, core| core.receive(now, node_address(300 + number), &bytes));
    }
    let after = cluster.core(0).counters();
    assert!(cluster.core(0).live_members() <= 6, "one key is one member");
    assert!(after.checks_over_budget > before.checks_over_budget, "the budget of unknown senders is used up");
    assert!(after.sent - before.sent < 100);
    // Observations of known members are accepted all the while.
    cluster.with_core(3, |now, core| core.engine_judged(now, "e-1", EngineCondition::Silent));
    cluster.run_for(secs(1.0));
    assert!(cluster.suspicion(0, "e-1") > 0.4);
}

#[test]
fn a_flood_of_garbage_costs_no_signature_checks() {
    let mut cluster = converged(23, 3);
    let before = cluster.core(0).counters();
    let mut seen = BTreeSet::new();
    for number in 0..20_000_u32 {
        let mut bytes = vec![(number % 251) as u8; (number % 1300) as usize];
        if number % 2 == 0 && bytes.len() > 4 {
            bytes[..4].copy_from_slice(b"WG\x01\x00");
        }
        seen.insert(bytes.len());
        cluster.with_core(0, |now, core| core.receive(now, node_address(240), &bytes));
    }
    let after = cluster.core(0).counters();
    assert!(seen.contains(&(MAX_DATAGRAM_BYTES + 1)));
    assert_eq!(after.signature_checks, before.signature_checks);
    assert_eq!(after.foreign, before.foreign + 20_000);
}

#[test]
fn a_record_from_the_far_future_does_not_block_its_member() {
    let mut cluster = converged(24, 4);
    let now = cluster.now;
    let stolen = identity(2, "n2", now);
    let far = now + Span::from_secs(1e7);
    let record =
        MemberRecord::issue(&stolen, node_address(2), far.since(Moment::default()).micros() / 1000, false);
    let bytes = encode_signed(
        &stolen,
        DatagramKind::Ping,
        NO_MEMBER,
        now,
        1,
        0,
        NO_MEMBER,
        (1, 0),
        &record.bytes,
        &[],
        PADDED_PING_BYTES,
    )
    .0;
    let before = cluster.core(0).counters().not_admitted;
    cluster.with_core(0, |now, core| core.receive(now, node_address(2), &bytes));
    assert_eq!(cluster.core(0).counters().not_admitted, before + 1);
    assert!(cluster.run_until(secs(5.0), Cluster::views_agree).is_some());
}

#[test]
fn a_late_observation_about_an_earlier_start_is_rejected() {
    let mut cluster = converged(25, 3);
    let up = cluster.now;
    let list = vec![("e-1".to_owned(), up)];
    cluster.with_core(0, |_, core| core.set_engines(&list));
    let older = vec![("e-1".to_owned(), START)];
    cluster.with_core(1, |_, core| core.set_engines(&older));
    cluster.with_core(1, |now, core| core.engine_judged(now, "e-1", EngineCondition::Reset));
    cluster.run_for(secs(1.0));
    assert_eq!(cluster.suspicion(0, "e-1"), 0.0);
    assert!(cluster.core(0).counters().observations_rejected > 0);
}

#[test]
fn the_member_table_keeps_its_limit() {
    let pace = woadhook_gossip::GossipConfig { max_members: 8, ..default_gossip_config() };
    let mut cluster = Cluster::new(26, 14, NetworkConditions::reliable(), pace);
    cluster.run_for(secs(10.0));
    assert!(cluster.running().all(|(_, core)| core.live_members() <= 9));
    assert!(cluster.events.iter().any(|event| event.kind == EventKind::MemberTableFull));
}

#[test]
fn key_and_pass_files_read_back_and_are_checked() {
    let secret = secret_key(3);
    let again = SecretKey::from_text(&secret.to_text()).unwrap();
    assert_eq!(again.public(), secret.public());
    assert!(SecretKey::from_text("woadhook secret key\nabc").is_err());
    assert!(SecretKey::from_text("woadhook pass\n00").is_err());
    let now = START + secs(1.0);
    let pass = Pass::issue(&operator_key(), "n", again.public(), cluster_id(), now, now + secs(9.0)).unwrap();
    assert_eq!(Pass::from_text(&pass.to_text()).unwrap(), pass);
    assert!(Pass::issue(&operator_key(), "a b", again.public(), cluster_id(), now, now + secs(9.0)).is_err());
    let wrong = |secret: SecretKey, trust_store: TrustStore, at| {
        Identity::new(secret, pass.clone(), &trust_store, at).err()
    };
    assert!(wrong(self::secret_key(4), trust_store(), now).unwrap().contains("another key"));
    assert!(
        wrong(self::secret_key(3), TrustStore::new(cluster_id(), vec![]), now)
            .unwrap()
            .contains("not signed")
    );
    assert!(wrong(self::secret_key(3), trust_store(), now + secs(10.0)).unwrap().contains("ended"));
    let _: fn(&Gossip) -> Counters = Gossip::counters;
}

#[test]
fn only_the_operators_voter_set_and_its_voters_notices_are_accepted() {
    let mut cluster = Cluster::new(21, 6, NetworkConditions::reliable(), default_gossip_config());
    cluster.introduce_all();
    let voter_set = |by: &SecretKey, epoch, voters: &[u64]| {
        let keys: Vec<[u8; 32]> = voters.iter().map(|voter| secret_key(*voter).public()).collect();
        VoterSet::issue(by, cluster_id(), epoch, &keys).unwrap()
    };
    assert!(cluster.with_core(4, |_, core| core.accept_voter_set(voter_set(&operator_key(), 1, &[0, 1]))));
    cluster.run_for(secs(3.0));
    assert_eq!((0..6).filter(|node| cluster.voter_sets.contains(&(*node, 1))).count(), 6);
    // A member that trusts another operator too accepts and spreads that operator's voter set.
    let both = TrustStore::new(cluster_id(), vec![operator_key().public(), secret_key(5).public()]);
    let own = identity(5, "n5", cluster.now);
    cluster.with_core(5, |now, core| core.rekey(now, own, both));
    assert!(cluster.with_core(5, |_, core| core.accept_voter_set(voter_set(&secret_key(5), 9, &[5]))));
    // A voter's notice, a notice of a member that is no voter, and a voter's notice from an hour ahead
    // follow.
    cluster.with_core(1, |now, core| core.broadcast_notice(now, 0, b"one".to_vec()));
    cluster.with_core(3, |now, core| core.broadcast_notice(now, 0, b"stranger".to_vec()));
    cluster.run_for(secs(3.0));
    cluster.with_core(1, |now, core| core.broadcast_notice(now + secs(3_600.0), 0, b"ahead".to_vec()));
    cluster.run_for(secs(3.0));
    cluster.with_core(1, |now, core| core.broadcast_notice(now, 0, b"two".to_vec()));
    cluster.run_for(secs(3.0));
    assert!(
        cluster.voter_sets.iter().all(|(node, epoch)| *epoch == 1 || *node == 5),
        "{:?}",
        cluster.voter_sets
    );
    let received =
        |payload: &[u8]| cluster.notices.iter().filter(|(.., received)| received == payload).count();
    assert_eq!((received(b"stranger"), received(b"ahead")), (0, 0));
    // The notices arrive once each at the four members that hold the operator's voter set and did not send
    // them.
    assert_eq!((received(b"one"), received(b"two")), (4, 4));
}
