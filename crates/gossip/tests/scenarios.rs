//! Stories of instances that gossip on the virtual network, one for each failure feared.

use std::collections::BTreeSet;
use std::rc::Rc;

use woadhook::{Moment, Outcome, Span};
use woadhook_gossip::keys::{Identity, MemberId, Pass, SecretKey, TrustStore, VoterSet};
use woadhook_gossip::members::{Lapse, Members};
use woadhook_gossip::news::{About, News};
use woadhook_gossip::wire::{
    Accusation, DatagramKind, ItemTag, MAX_DATAGRAM_BYTES, MemberRecord, Observation, PADDED_PING_BYTES,
    encode_signed,
};
use woadhook_gossip::{Counters, EngineCondition, EventKind, Gossip};
use woadhook_standins::cluster::*;
use woadhook_standins::net::Weather;

const ENGINES: [&str; 3] = ["e-1", "e-2", "e-3"];
const NOBODY: MemberId = MemberId(0);

fn cluster(seed: u64, count: usize, weather: Weather) -> Cluster {
    let mut cluster = Cluster::new(seed, count, weather, usual_pace());
    cluster.list(&ENGINES);
    cluster
}

/// One in which all know each other.
fn settled(seed: u64, count: usize) -> Cluster {
    let mut cluster = cluster(seed, count, Weather::calm());
    cluster.acquaint();
    cluster.pass(secs(3.0));
    assert!(cluster.agree());
    cluster
}

/// A datagram with such statements, signed by such an instance at its first incarnation.
fn datagram(
    own: &Identity, to: MemberId, now: Moment, number: u64, statements: &[(ItemTag, Vec<u8>)],
) -> Vec<u8> {
    let card = MemberRecord::issue(own, address(200), now.since(Moment::default()).micros() / 1000, false);
    let statements: Vec<_> = statements.iter().map(|(tag, bytes)| (*tag, bytes.as_slice().into())).collect();
    encode_signed(
        own,
        DatagramKind::Ping,
        to,
        now,
        number,
        0,
        NOBODY,
        (1, 0),
        &card.bytes,
        &statements,
        PADDED_PING_BYTES,
    )
    .0
}

fn dead(own: &Identity, now: Moment, number: u64, engine: &str) -> (ItemTag, Vec<u8>) {
    let incarnation = now.since(Moment::default()).micros() / 1000;
    let word = Observation::issue(
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
    (ItemTag::Observation, word.to_bytes())
}

fn learned(counts: Counters) -> (u64, u64) {
    (counts.words_taken, counts.signature_checks)
}

#[test]
fn instances_that_know_one_seed_find_all_others() {
    let mut cluster = cluster(1, 12, Weather::calm());
    assert!(cluster.until(secs(10.0), Cluster::agree).is_some());
    let late = cluster.add(12);
    let found = cluster.until(secs(5.0), Cluster::agree);
    assert!(found.is_some(), "another instance needs no change at the others");
    assert_eq!(cluster.core(late).live_peers().count(), 12);
}

#[test]
fn a_crashed_member_is_gone_and_its_restart_is_back_under_a_higher_incarnation() {
    let mut cluster = settled(2, 10);
    let before = cluster.core(4).own_record().incarnation;
    cluster.kill(4);
    assert!(cluster.until(secs(10.0), Cluster::agree).is_some());
    cluster.start(4);
    assert!(cluster.until(secs(10.0), Cluster::agree).is_some());
    assert!(cluster.core(4).own_record().incarnation > before);
}

#[test]
fn a_restart_with_a_clock_set_back_gets_above_its_old_incarnation() {
    let mut cluster = settled(3, 6);
    let before = cluster.core(5).own_record().incarnation;
    cluster.kill(5);
    cluster.pass(secs(1.0));
    cluster.nodes[5].clock = (secs(4.5), true);
    cluster.start(5);
    assert!(cluster.core(5).own_record().incarnation < before, "the story is about a clock set back");
    assert!(cluster.until(secs(10.0), Cluster::agree).is_some());
    assert!(cluster.core(5).own_record().incarnation > before);
}

#[test]
fn a_member_that_leaves_is_not_suspected_first() {
    let mut cluster = settled(4, 10);
    cluster.told.clear();
    cluster.at(3, |now, core| core.leave(now));
    cluster.pass(secs(0.1));
    cluster.kill(3);
    assert!(cluster.until(secs(5.0), Cluster::agree).is_some());
    let of = |what| {
        cluster.told.iter().filter(|told| told.what == what && told.member.as_deref() == Some("n3")).count()
    };
    assert!(of(EventKind::MemberLeft) >= 9);
    assert_eq!(of(EventKind::MemberGone), 0);
}

#[test]
fn a_word_on_an_engine_reaches_all_within_a_second() {
    let mut cluster = settled(5, 40);
    cluster.at(7, |now, core| core.engine_judged(now, "e-2", EngineCondition::Silent));
    let all = |cluster: &Cluster| (0..40).all(|node| node == 7 || cluster.doubt(node, "e-2") > 0.4);
    assert!(cluster.until(secs(1.0), all).is_some());
    cluster.at(7, |now, core| core.engine_judged(now, "e-2", EngineCondition::Well));
    let none = |cluster: &Cluster| (0..40).all(|node| cluster.doubt(node, "e-2") == 0.0);
    assert!(cluster.until(secs(2.0), none).is_some());
}

#[test]
fn refusing_and_failing_engines_are_told_of_by_type_and_no_longer_once_well() {
    let mut cluster = settled(6, 5);
    for _ in 0..4 {
        cluster.at(0, |now, core| core.dispatch_ended(now, "e-1", "load", Outcome::Error));
        cluster.at(0, |now, core| core.dispatch_ended(now, "e-3", "look", Outcome::TurnedAway));
    }
    cluster.pass(secs(1.0));
    let heard = |cluster: &Cluster, of: &str| {
        cluster.nodes[3].hearsay.get(&("e-1".to_owned(), Some(of.to_owned()))).copied().unwrap_or(0.0)
    };
    assert!(heard(&cluster, "load") > 0.4);
    assert_eq!(heard(&cluster, "look"), 0.0);
    assert!(cluster.doubt(3, "e-3") > 0.4);
    for _ in 0..4 {
        cluster.at(0, |now, core| core.dispatch_ended(now, "e-1", "load", Outcome::Done));
        cluster.at(0, |now, core| core.dispatch_ended(now, "e-3", "look", Outcome::Done));
    }
    cluster.pass(secs(1.0));
    assert_eq!((heard(&cluster, "load"), cluster.doubt(3, "e-3")), (0.0, 0.0));
}

#[test]
fn a_forged_engine_dead_is_not_learned() {
    let mut cluster = settled(7, 4);
    let to = cluster.core(0).id();
    let now = cluster.now;
    let stranger = {
        // A key that some other operator admitted.
        let (other, secret) = (secret(900), secret(901));
        let pass = Pass::issue(&other, "n1", secret.public(), tag(), START, START + secs(9e6)).unwrap();
        let ring = TrustStore::new(tag(), vec![other.public()]);
        Identity::new(secret, pass, &ring, now).unwrap()
    };
    let before = cluster.core(0).counters();
    // Wrong operator.
    let bytes = datagram(&stranger, to, now, 1, &[dead(&stranger, now, 1, "e-1")]);
    cluster.at(0, |now, core| core.receive(now, address(1), &bytes));
    // Its own pass, another's name on the word: signed by the stranger, told as of member 1.
    let honest = identity(1, "n1", now);
    let mut bytes = datagram(&honest, to, now, 1_000_000, &[dead(&honest, now, 99, "e-1")]);
    // Bit flips at every byte.
    for place in 0..bytes.len() {
        bytes[place] ^= 0x10;
        cluster.at(0, |now, core| core.receive(now, address(1), &bytes));
        bytes[place] ^= 0x10;
    }
    // No signature at all.
    let length = bytes.len();
    bytes[length - 64..].fill(0);
    cluster.at(0, |now, core| core.receive(now, address(1), &bytes));
    let after = cluster.core(0).counters();
    assert_eq!(after.words_taken, before.words_taken);
    assert!(
        after.not_admitted > before.not_admitted
            && after.forged > before.forged
            && after.foreign > before.foreign
    );
    assert_eq!(cluster.doubt(0, "e-1"), 0.0);
}

#[test]
fn yesterdays_words_and_repeats_are_refused() {
    let mut cluster = settled(8, 3);
    let (to, now) = (cluster.core(0).id(), cluster.now);
    let honest = identity(1, "n1", now);
    let yesterday = Moment::from_micros(now.since(Moment::default()).saturating_sub(secs(86_400.0)).micros());
    let old = datagram(&honest, to, yesterday, 1, &[dead(&honest, yesterday, 1, "e-1")]);
    let fresh = datagram(&honest, to, now, 5, &[dead(&honest, now, 5, "e-2")]);
    let before = cluster.core(0).counters();
    cluster.at(0, |now, core| core.receive(now, address(1), &old));
    cluster.at(0, |now, core| core.receive(now, address(1), &fresh));
    let once = cluster.core(0).counters();
    cluster.at(0, |now, core| core.receive(now, address(1), &fresh));
    let twice = cluster.core(0).counters();
    assert_eq!(once.untimely, before.untimely + 1);
    assert_eq!(once.words_taken, before.words_taken + 1, "what is fresh is heard");
    assert_eq!((twice.replayed, learned(twice)), (once.replayed + 1, learned(once)));
    // Through another member, a word from yesterday or one told before says nothing either.
    let carrier = identity(2, "n2", now);
    let words = [dead(&honest, yesterday, 9, "e-3"), dead(&honest, now, 5, "e-2")];
    let relayed = datagram(&carrier, to, now, 3, &words);
    cluster.at(0, |now, core| core.receive(now, address(2), &relayed));
    assert_eq!(cluster.core(0).counters().words_taken, once.words_taken);
    assert_eq!(cluster.doubt(0, "e-3"), 0.0);
}

#[test]
fn a_datagram_meant_for_another_instance_or_cluster_is_refused() {
    let mut cluster = settled(9, 3);
    let now = cluster.now;
    let honest = identity(1, "n1", now);
    let to_another = datagram(&honest, cluster.core(2).id(), now, 7, &[dead(&honest, now, 7, "e-1")]);
    let before = cluster.core(0).counters();
    cluster.at(0, |now, core| core.receive(now, address(1), &to_another));
    let other = woadhook_gossip::keys::ClusterId::from_name("elsewhere");
    let secret = secret(1);
    let pass = Pass::issue(&operator(), "n1", secret.public(), other, START, START + secs(9e6)).unwrap();
    let elsewhere =
        Identity::new(secret, pass, &TrustStore::new(other, vec![operator().public()]), now).unwrap();
    let foreign = datagram(&elsewhere, NOBODY, now, 8, &[dead(&elsewhere, now, 8, "e-1")]);
    cluster.at(0, |now, core| core.receive(now, address(1), &foreign));
    let after = cluster.core(0).counters();
    assert_eq!((after.foreign, learned(after)), (before.foreign + 2, learned(before)));
}

#[test]
fn a_revoked_key_is_out_at_all_once_one_instance_is_told() {
    let mut cluster = settled(10, 8);
    let now = cluster.now;
    let list = ring_with(&[5], now);
    let own = identity(0, "n0", now);
    cluster.at(0, |now, core| core.rekey(now, own, list));
    let out = |cluster: &Cluster| {
        let holds = |node: usize| cluster.core(node).live_peers().any(|(name, ..)| name == "n5");
        (0..8).all(|node| node == 5 || !holds(node))
    };
    assert!(cluster.until(secs(5.0), out).is_some());
    let before = cluster.core(2).counters();
    cluster.at(5, |now, core| core.engine_judged(now, "e-1", EngineCondition::Silent));
    cluster.pass(secs(5.0));
    assert!(out(&cluster));
    assert_eq!(cluster.doubt(2, "e-1"), 0.0);
    assert!(cluster.core(2).counters().not_admitted > before.not_admitted);
}

fn ring_with(revoked: &[u64], now: Moment) -> TrustStore {
    let mut ring = ring();
    revoked.iter().for_each(|number| assert!(ring.revoke(&revocation(*number), now)));
    ring
}

#[test]
fn an_ended_pass_is_out_and_the_operators_key_can_be_changed_under_load() {
    let mut cluster = settled(11, 4);
    let now = cluster.now;
    // A second operator key, believed beside the first at all, then alone.
    let second = secret(77);
    let both = || TrustStore::new(tag(), vec![operator().public(), second.public()]);
    for node in 0..4 {
        let own = identity(node as u64, &format!("n{node}"), now);
        cluster.at(node, |now, core| core.rekey(now, own, both()));
    }
    cluster.pass(secs(1.0));
    for node in 0..4 {
        let pass = Pass::issue(
            &second,
            &format!("n{node}"),
            secret(node as u64).public(),
            tag(),
            now,
            now + secs(90.0),
        );
        let own = Identity::new(secret(node as u64), pass.unwrap(), &both(), now).unwrap();
        cluster.at(node, |now, core| core.rekey(now, own, both()));
        cluster.pass(secs(1.0));
        cluster.at(node, |now, core| core.engine_judged(now, "e-1", EngineCondition::Silent));
        cluster.pass(secs(1.0));
        let other = (node + 1) % 4;
        assert!(cluster.doubt(other, "e-1") > 0.0, "words go on while keys change");
        cluster.at(node, |now, core| core.engine_judged(now, "e-1", EngineCondition::Well));
        cluster.pass(secs(1.0));
    }
    assert!(cluster.until(secs(5.0), Cluster::agree).is_some());
    cluster.pass(secs(100.0));
    assert_eq!(cluster.core(0).live_peers().count(), 0, "passes that have ended are believed by nobody");
    assert!(cluster.told.iter().any(|told| told.what == EventKind::PassEnding));
}

#[test]
fn whom_a_lost_operator_key_admitted_is_out_with_that_key() {
    let mut cluster = settled(32, 4);
    let (now, stolen) = (cluster.now, secret(78));
    let both = || TrustStore::new(tag(), vec![operator().public(), stolen.public()]);
    cluster.at(0, |now, core| core.rekey(now, identity(0, "n0", now), both()));
    let pass = Pass::issue(&stolen, "thief", secret(600).public(), tag(), START, START + secs(9e6)).unwrap();
    let thief = Identity::new(secret(600), pass, &both(), now).unwrap();
    let hello = datagram(&thief, cluster.core(0).id(), now, 1, &[]);
    cluster.at(0, |now, core| core.receive(now, address(200), &hello));
    assert!(cluster.core(0).live_peers().any(|(name, ..)| name == "thief"));
    cluster.at(0, |now, core| core.rekey(now, identity(0, "n0", now), ring()));
    assert!(cluster.core(0).live_peers().all(|(name, ..)| name != "thief"));
    // Through a member that still believes the stolen key, it is not heard either.
    let carrier = identity(2, "n2", now);
    let relayed = datagram(&carrier, cluster.core(0).id(), now, 9, &[dead(&thief, now, 5, "e-1")]);
    cluster.at(0, |now, core| core.receive(now, address(2), &relayed));
    assert_eq!(cluster.doubt(0, "e-1"), 0.0);
}

#[test]
fn another_instance_at_the_address_of_one_that_died_takes_its_place() {
    let mut cluster = settled(33, 6);
    cluster.kill(4);
    let new = cluster.add(4);
    assert!(cluster.until(secs(15.0), Cluster::agree).is_some());
    assert!(cluster.core(0).live_peers().any(|(name, at, _)| name == format!("n{new}") && at == address(4)));
    assert!(cluster.core(0).live_peers().all(|(name, ..)| name != "n4"));
}

#[test]
fn an_instance_that_changes_its_own_key_is_one_witness_and_one_member() {
    let mut cluster = settled(12, 5);
    cluster.at(3, |now, core| core.engine_judged(now, "e-1", EngineCondition::Silent));
    cluster.pass(secs(1.0));
    let once = cluster.doubt(0, "e-1");
    let now = cluster.now;
    let pass = Pass::issue(&operator(), "n3", secret(500).public(), tag(), now, now + secs(9e6)).unwrap();
    let own = Identity::new(secret(500), pass, &ring(), now).unwrap();
    cluster.at(3, |now, core| core.rekey(now, own, ring()));
    cluster.pass(secs(2.0));
    cluster.at(3, |now, core| core.engine_judged(now, "e-1", EngineCondition::Well));
    cluster.at(3, |now, core| core.engine_judged(now, "e-1", EngineCondition::Reset));
    cluster.pass(secs(1.0));
    assert!(cluster.doubt(0, "e-1") <= once + 1e-9, "two keys of one name are one voice");
    assert!(cluster.until(secs(10.0), Cluster::agree).is_some());
}

#[test]
fn a_lone_liar_is_not_heard_after_four_contradictions() {
    let mut cluster = settled(13, 6);
    let liar = cluster.core(5).id();
    let mut lies = 0;
    for turn in 0..40 {
        let seen = if turn % 2 == 0 { EngineCondition::Silent } else { EngineCondition::Well };
        cluster.at(5, |now, core| core.engine_judged(now, "e-1", seen));
        cluster.pass(secs(0.6));
        if cluster.doubt(0, "e-1") > 0.0 {
            lies += 1;
            // What a probe of the engine says.
            cluster.at(0, |now, core| core.probe_answered(now, "e-1"));
            assert_eq!(cluster.doubt(0, "e-1"), 0.0);
        }
    }
    assert!((1..=5).contains(&lies), "{lies} lies were heard");
    assert!(cluster.core(0).credit(liar) < 0.2);
    assert!(cluster.told.iter().any(|told| told.what == EventKind::MemberDistrusted && told.node == 0));
    // Others are heard as before.
    cluster.at(4, |now, core| core.engine_judged(now, "e-2", EngineCondition::Silent));
    cluster.pass(secs(1.0));
    assert!(cluster.doubt(0, "e-2") > 0.4);
}

#[test]
fn liars_who_name_members_dead_end_none() {
    let mut cluster = settled(14, 20);
    cluster.told.clear();
    // Three liars, as many as would do for a member that can't speak for itself.
    for turn in 0..30 {
        for liar in 17..20 {
            let now = cluster.now;
            let own = identity(liar as u64, &format!("n{liar}"), now);
            let victim = turn % 17;
            let (subject, incarnation) =
                (cluster.core(victim).id(), cluster.core(victim).own_record().incarnation);
            let accusation = Accusation::issue(&own, subject, incarnation, now);
            let (own_card, target) = (cluster.core(liar).own_record(), (victim + 1 + turn) % 17);
            let statements = [(ItemTag::Accusation, accusation.to_bytes().into())];
            let to = cluster.core(target).id();
            let number = 1_000_000 + turn as u64;
            let bytes = encode_signed(
                &own,
                DatagramKind::Ping,
                to,
                now,
                number,
                0,
                NOBODY,
                (20, 0),
                &own_card.bytes,
                &statements,
                0,
            )
            .0;
            let from = cluster.nodes[liar].address;
            cluster.inject(from, target, bytes);
        }
        cluster.pass(secs(0.5));
    }
    let gone = cluster.told.iter().filter(|told| told.what == EventKind::MemberGone).count();
    let accused = cluster.told.iter().filter(|told| told.what == EventKind::SelfSuspected).count();
    assert_eq!(gone, 0);
    assert!(accused > 0, "the lies were told");
    assert!(cluster.until(secs(10.0), Cluster::agree).is_some());
}

#[test]
fn a_word_put_into_another_members_mouth_is_not_heard() {
    let mut cluster = settled(30, 3);
    let now = cluster.now;
    let forger = identity(2, "n2", now);
    let mut word =
        Observation::issue(&forger, 1, 99, now, "e-1", Moment::default(), EngineCondition::Silent, None, 255);
    word.reporter = cluster.core(1).id();
    let bytes = datagram(&forger, cluster.core(0).id(), now, 9, &[(ItemTag::Observation, word.to_bytes())]);
    let before = cluster.core(0).counters();
    cluster.at(0, |now, core| core.receive(now, address(2), &bytes));
    let after = cluster.core(0).counters();
    assert_eq!((after.words_taken, after.forged), (before.words_taken, before.forged + 1));
    assert_eq!(cluster.doubt(0, "e-1"), 0.0);
}

#[test]
fn one_witness_under_two_keys_ends_nobody_and_three_do() {
    let now = START + secs(60.0);
    let card = |number: u64, name: &str| {
        Rc::new(MemberRecord::issue(&identity(number, name, now), address(1), 5, false))
    };
    let accused = |witnesses: &[(u64, &str)]| {
        let mut members = Members::new(NOBODY, 20);
        let subject = card(1, "subject");
        members.take(now, subject.clone());
        for (number, name) in witnesses {
            members.take(now, card(*number, name));
            let own = identity(*number, name, now);
            members.accused(now, &Accusation::issue(&own, subject.id, subject.incarnation, now));
        }
        let later = now + secs(3.0);
        let lapses = members.lapse(later, secs(2.0), secs(600.0), secs(5.0));
        lapses.iter().any(|(id, lapse, _)| *id == subject.id && *lapse == Lapse::Gone)
    };
    assert!(!accused(&[(2, "a")]));
    assert!(!accused(&[(2, "a"), (3, "a"), (4, "a"), (5, "b")]));
    assert!(accused(&[(2, "a"), (3, "b"), (4, "c")]));
}

#[test]
fn halves_find_each_other_again_though_every_seed_is_gone() {
    let mut cluster = settled(31, 12);
    (0..3).for_each(|seed| cluster.kill(seed));
    assert!(cluster.until(secs(10.0), Cluster::agree).is_some());
    for node in 3..7 {
        let place = cluster.nodes[node].address;
        cluster.net.part(place, 1);
    }
    let parted =
        |cluster: &Cluster| cluster.core(3).live_members() == 4 && cluster.core(8).live_members() == 5;
    assert!(cluster.until(secs(20.0), parted).is_some());
    cluster.net.heal();
    assert!(cluster.until(secs(30.0), Cluster::agree).is_some());
}

#[test]
fn words_are_not_held_up_by_ever_new_cards() {
    let mut news = News::default();
    news.add(About::Observation(MemberId(1), "e-1".to_owned(), None), vec![0; 200].into());
    let mut told = 0;
    for round in 0..12 {
        for number in 0..4 {
            news.add(About::MemberRecord(MemberId(100 + round * 4 + number)), vec![0; 220].into());
        }
        told += news.take(NOBODY, 850, 20).iter().filter(|(tag, _)| *tag == ItemTag::Observation).count();
    }
    assert!(told >= 4, "{told} times in a dozen datagrams");
}

#[test]
fn a_laggards_words_are_half_faded_and_its_flapping_harms_none() {
    let mut cluster = settled(15, 6);
    let slow = cluster.nodes[5].address;
    cluster.net.lag(slow, secs(10.0));
    cluster.at(5, |now, core| core.engine_judged(now, "e-1", EngineCondition::Silent));
    cluster.pass(secs(12.0));
    let late = cluster.doubt(0, "e-1");
    assert!(late < 0.3, "ten seconds late, a word counts half of a fresh one at most: {late}");
    cluster.pass(secs(20.0));
    let others = |cluster: &Cluster| {
        let knows =
            |node: usize| cluster.core(node).live_peers().filter(|(name, ..)| *name != "n5").count() == 4;
        (0..5).all(knows)
    };
    assert!(others(&cluster));
}

#[test]
fn clocks_off_by_five_seconds_are_borne() {
    for (seed, behind) in [(16, false), (27, true)] {
        let mut cluster = cluster(seed, 8, Weather::calm());
        cluster.kill(2);
        cluster.nodes[2].clock = (secs(4.9), behind);
        cluster.start(2);
        cluster.list(&ENGINES);
        assert!(cluster.until(secs(10.0), Cluster::agree).is_some());
        for node in [2, 4] {
            cluster.at(node, |now, core| core.engine_judged(now, "e-1", EngineCondition::Silent));
            cluster.pass(secs(1.0));
            let heard = |other: usize| other == node || cluster.doubt(other, "e-1") > 0.2;
            assert!((0..8).all(heard), "what {node} says");
            cluster.at(node, |now, core| core.engine_judged(now, "e-1", EngineCondition::Well));
            cluster.pass(secs(2.0));
            assert!((0..8).all(|other| cluster.doubt(other, "e-1") == 0.0));
        }
    }
}

#[test]
fn a_hundred_join_at_once() {
    let mut cluster = settled(17, 20);
    for number in 20..120 {
        cluster.add(number);
    }
    let before: Vec<u64> = cluster.running().map(|(_, core)| core.counters().sent).collect();
    let start = cluster.now;
    let took = cluster.until(secs(60.0), Cluster::agree);
    assert!(took.is_some());
    let span = cluster.now.since(start).secs() + 0.5;
    for ((_, core), before) in cluster.running().zip(before) {
        let rate = (core.counters().sent - before) as f64 / span;
        assert!(rate <= usual_pace().max_sends_per_s * 1.2, "{rate} datagrams a second");
    }
}

#[test]
fn halves_of_a_partition_find_each_other_again() {
    for (small, seed) in [(20, 18), (1, 19)] {
        let mut cluster = settled(seed, 40);
        for node in 0..small {
            let place = cluster.nodes[39 - node].address;
            cluster.net.part(place, 1);
        }
        let parted = |cluster: &Cluster| {
            cluster.core(0).live_members() == 40 - small && cluster.core(39).live_members() == small
        };
        assert!(cluster.until(secs(30.0), parted).is_some(), "{small} of 40 cut off");
        cluster.kill(10);
        cluster.pass(secs(5.0));
        cluster.net.heal();
        let healed = cluster.until(secs(30.0), Cluster::agree);
        assert!(
            healed.is_some(),
            "{small} of 40 cut off: {:?}",
            cluster.running().map(|(node, core)| (node, core.live_members())).collect::<Vec<_>>()
        );
    }
}

#[test]
fn a_third_of_all_lost_with_repeats_and_reordering_ends_no_one_for_long() {
    let mut cluster = settled(20, 20);
    cluster.net.weather = Weather::rough();
    cluster.told.clear();
    cluster.pass(secs(20.0));
    cluster.at(3, |now, core| core.engine_judged(now, "e-1", EngineCondition::Silent));
    let all = |cluster: &Cluster| (0..20).all(|node| node == 3 || cluster.doubt(node, "e-1") > 0.2);
    assert!(
        cluster.until(secs(4.0), all).is_some(),
        "words get through: {:?}",
        (0..20).map(|node| cluster.doubt(node, "e-1")).collect::<Vec<_>>()
    );
    cluster.net.weather = Weather::calm();
    assert!(cluster.until(secs(10.0), Cluster::agree).is_some());
    let replayed: u64 = cluster.running().map(|(_, core)| core.counters().replayed).sum();
    assert!(replayed > 0, "the network repeated datagrams");
}

#[test]
fn an_answer_to_an_unproven_address_is_no_larger_than_what_came() {
    let mut cluster = settled(21, 30);
    let now = cluster.now;
    // A member's own words, sent again from an address that is not its own.
    let own = identity(29, "n29", now);
    let to = cluster.core(0).id();
    for (number, kind) in
        [DatagramKind::Ping, DatagramKind::Pull, DatagramKind::PingRequest].into_iter().enumerate()
    {
        let card = MemberRecord::issue(&own, address(29), cluster.core(29).own_record().incarnation, false);
        let about = if kind == DatagramKind::PingRequest { cluster.core(3).id() } else { NOBODY };
        let bytes = encode_signed(
            &own,
            kind,
            to,
            now,
            5_000 + number as u64,
            0,
            about,
            (1, 0),
            &card.bytes,
            &[],
            600,
        )
        .0;
        let before = cluster.core(0).counters();
        cluster.at(0, |now, core| core.receive(now, address(250), &bytes));
        let after = cluster.core(0).counters();
        assert!(after.signature_checks > before.signature_checks, "it was taken for the member's");
        let answered = after.sent_bytes - before.sent_bytes;
        assert!(answered <= bytes.len() as u64, "{answered} bytes to {kind:?} of {}", bytes.len());
    }
}

#[test]
fn spoofed_joins_neither_fill_the_table_nor_make_the_seed_talk() {
    let mut cluster = settled(22, 5);
    let now = cluster.now;
    let before = cluster.core(0).counters();
    // One valid pass, joined under a thousand addresses.
    let own = identity(800, "n800", now);
    for number in 0..1000 {
        let card = MemberRecord::issue(&own, address(300 + number), 1_780_000_000_000 + number as u64, false);
        let bytes = encode_signed(
            &own,
            DatagramKind::Ping,
            NOBODY,
            now,
            1,
            0,
            NOBODY,
            (1, 0),
            &card.bytes,
            &[],
            PADDED_PING_BYTES,
        )
        .0;
        cluster.at(0, |now, core| core.receive(now, address(300 + number), &bytes));
    }
    let after = cluster.core(0).counters();
    assert!(cluster.core(0).live_members() <= 6, "one key is one member");
    assert!(after.over_budget > before.over_budget, "the budget of strangers binds");
    assert!(after.sent - before.sent < 100);
    // Known members are heard all the while.
    cluster.at(3, |now, core| core.engine_judged(now, "e-1", EngineCondition::Silent));
    cluster.pass(secs(1.0));
    assert!(cluster.doubt(0, "e-1") > 0.4);
}

#[test]
fn a_flood_of_garbage_costs_no_signature_checks() {
    let mut cluster = settled(23, 3);
    let before = cluster.core(0).counters();
    let mut seen = BTreeSet::new();
    for number in 0..20_000_u32 {
        let mut bytes = vec![(number % 251) as u8; (number % 1300) as usize];
        if number % 2 == 0 && bytes.len() > 4 {
            bytes[..4].copy_from_slice(b"WG\x01\x00");
        }
        seen.insert(bytes.len());
        cluster.at(0, |now, core| core.receive(now, address(240), &bytes));
    }
    let after = cluster.core(0).counters();
    assert!(seen.contains(&(MAX_DATAGRAM_BYTES + 1)));
    assert_eq!(after.signature_checks, before.signature_checks);
    assert_eq!(after.foreign, before.foreign + 20_000);
}

#[test]
fn a_record_from_far_ahead_does_not_end_a_name_for_good() {
    let mut cluster = settled(24, 4);
    let now = cluster.now;
    let stolen = identity(2, "n2", now);
    let far = now + Span::from_secs(1e7);
    let card = MemberRecord::issue(&stolen, address(2), far.since(Moment::default()).micros() / 1000, false);
    let bytes = encode_signed(
        &stolen,
        DatagramKind::Ping,
        NOBODY,
        now,
        1,
        0,
        NOBODY,
        (1, 0),
        &card.bytes,
        &[],
        PADDED_PING_BYTES,
    )
    .0;
    let before = cluster.core(0).counters().not_admitted;
    cluster.at(0, |now, core| core.receive(now, address(2), &bytes));
    assert_eq!(cluster.core(0).counters().not_admitted, before + 1);
    assert!(cluster.until(secs(5.0), Cluster::agree).is_some());
}

#[test]
fn a_late_word_on_an_engines_earlier_start_says_nothing_of_its_new_one() {
    let mut cluster = settled(25, 3);
    let up = cluster.now;
    let list = vec![("e-1".to_owned(), up)];
    cluster.at(0, |_, core| core.set_engines(&list));
    let older = vec![("e-1".to_owned(), START)];
    cluster.at(1, |_, core| core.set_engines(&older));
    cluster.at(1, |now, core| core.engine_judged(now, "e-1", EngineCondition::Reset));
    cluster.pass(secs(1.0));
    assert_eq!(cluster.doubt(0, "e-1"), 0.0);
    assert!(cluster.core(0).counters().words_refused > 0);
}

#[test]
fn memory_holds_the_members_that_are_allowed_and_no_more() {
    let pace = woadhook_gossip::GossipConfig { max_members: 8, ..usual_pace() };
    let mut cluster = Cluster::new(26, 14, Weather::calm(), pace);
    cluster.pass(secs(10.0));
    assert!(cluster.running().all(|(_, core)| core.live_members() <= 9));
    assert!(cluster.told.iter().any(|told| told.what == EventKind::MemberTableFull));
}

#[test]
fn a_secret_file_reads_back_and_is_checked() {
    let secret = secret(3);
    let again = SecretKey::from_text(&secret.to_text()).unwrap();
    assert_eq!(again.public(), secret.public());
    assert!(SecretKey::from_text("woadhook secret key\nabc").is_err());
    assert!(SecretKey::from_text("woadhook pass\n00").is_err());
    let now = START + secs(1.0);
    let pass = Pass::issue(&operator(), "n", again.public(), tag(), now, now + secs(9.0)).unwrap();
    assert_eq!(Pass::from_text(&pass.to_text()).unwrap(), pass);
    assert!(Pass::issue(&operator(), "a b", again.public(), tag(), now, now + secs(9.0)).is_err());
    let wrong =
        |secret: SecretKey, ring: TrustStore, at| Identity::new(secret, pass.clone(), &ring, at).err();
    assert!(wrong(self::secret(4), ring(), now).unwrap().contains("another key"));
    assert!(wrong(self::secret(3), TrustStore::new(tag(), vec![]), now).unwrap().contains("not signed"));
    assert!(wrong(self::secret(3), ring(), now + secs(10.0)).unwrap().contains("ended"));
    let _: fn(&Gossip) -> Counters = Gossip::counters;
}

#[test]
fn all_hear_the_operators_order_and_the_named_voters_notices_and_nobody_elses() {
    let mut cluster = Cluster::new(21, 6, Weather::calm(), usual_pace());
    cluster.acquaint();
    let order = |by: &SecretKey, epoch, voters: &[u64]| {
        let keys: Vec<[u8; 32]> = voters.iter().map(|voter| secret(*voter).public()).collect();
        VoterSet::issue(by, tag(), epoch, &keys).unwrap()
    };
    assert!(cluster.at(4, |_, core| core.accept_voter_set(order(&operator(), 1, &[0, 1]))));
    cluster.pass(secs(3.0));
    assert_eq!((0..6).filter(|node| cluster.orders.contains(&(*node, 1))).count(), 6);
    // One that believes another operator too spreads that one's order, and believes it is heard.
    let both = TrustStore::new(tag(), vec![operator().public(), secret(5).public()]);
    let own = identity(5, "n5", cluster.now);
    cluster.at(5, |now, core| core.rekey(now, own, both));
    assert!(cluster.at(5, |_, core| core.accept_voter_set(order(&secret(5), 9, &[5]))));
    // A voter's notice, a stranger's, and a voter's from an hour ahead.
    cluster.at(1, |now, core| core.broadcast_notice(now, 0, b"one".to_vec()));
    cluster.at(3, |now, core| core.broadcast_notice(now, 0, b"stranger".to_vec()));
    cluster.pass(secs(3.0));
    cluster.at(1, |now, core| core.broadcast_notice(now + secs(3_600.0), 0, b"ahead".to_vec()));
    cluster.pass(secs(3.0));
    cluster.at(1, |now, core| core.broadcast_notice(now, 0, b"two".to_vec()));
    cluster.pass(secs(3.0));
    assert!(cluster.orders.iter().all(|(node, epoch)| *epoch == 1 || *node == 5), "{:?}", cluster.orders);
    let heard = |says: &[u8]| cluster.notices.iter().filter(|(.., heard)| heard == says).count();
    assert_eq!((heard(b"stranger"), heard(b"ahead")), (0, 0));
    // By the four that hold the operator's order, and are not its witness: each once.
    assert_eq!((heard(b"one"), heard(b"two")), (4, 4));
}
