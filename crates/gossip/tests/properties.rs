//! Properties that hold for any bytes, any items and any network.

use std::rc::Rc;

use proptest::prelude::*;
use woadhook::{Moment, Span};
use woadhook_gossip::item_queue::{ItemQueue, MAX_QUEUED_ITEMS, Topic};
use woadhook_gossip::keys::{MemberId, Pass, Revocation, SecretKey};
use woadhook_gossip::members::ReplayWindow;
use woadhook_gossip::wire::{
    DatagramKind, EngineCondition, Envelope, FailureReport, Item, ItemTag, MemberRecord, Observation,
    encode_signed, envelope_bytes,
};
use woadhook_standins::cluster::*;
use woadhook_standins::net::NetworkConditions;

const NO_MEMBER: MemberId = MemberId(0);

fn condition() -> impl Strategy<Value = EngineCondition> {
    prop_oneof![
        Just(EngineCondition::Silent),
        Just(EngineCondition::Reset),
        Just(EngineCondition::Refusing),
        Just(EngineCondition::Failing),
        Just(EngineCondition::Well)
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn arbitrary_bytes_are_decoded_or_rejected(bytes in proptest::collection::vec(any::<u8>(), 0..1400)) {
        let _ = Envelope::read(&bytes).map(|envelope| envelope.items().count());
        let _ = (MemberRecord::read(&bytes), Observation::read(&bytes), FailureReport::read(&bytes));
        let text = String::from_utf8_lossy(&bytes);
        let _ = (Pass::from_text(&text).is_ok(), SecretKey::from_text(&text).is_ok(), Revocation::list_from_text(&text).is_ok());
    }

    #[test]
    fn signed_datagrams_decode_to_what_was_encoded(
        engine in "[a-z0-9-]{1,64}", reservation_type in proptest::option::of("[a-z]{1,32}"), condition in condition(), confidence in any::<u8>(),
        number in any::<u64>(), in_reply_to in any::<u64>(), live_members in any::<u16>(), view_digest in any::<u64>(), padded_length in 0_usize..1300,
    ) {
        let now = START + secs(9.0);
        let own = identity(4, "n4", now);
        let record = MemberRecord::issue(&own, node_address(4), number, number % 2 == 0);
        let observation = Observation::issue(&own, number, in_reply_to, now, &engine, START, condition, reservation_type.as_deref(), confidence);
        let report = FailureReport::issue(&own, MemberId(in_reply_to), view_digest, now);
        let items: Vec<(ItemTag, Rc<[u8]>)> = vec![
            (ItemTag::Observation, observation.to_bytes().into()), (ItemTag::FailureReport, report.to_bytes().into()),
        ];
        let (bytes, datagram_id) = encode_signed(
            &own, DatagramKind::PingRequest, MemberId(in_reply_to), now, number, in_reply_to, MemberId(view_digest), (live_members, view_digest), &record.bytes, &items, padded_length,
        );
        let length: usize = items.iter().map(|(_, bytes)| bytes.len() + 3).sum();
        prop_assert!(bytes.len() >= envelope_bytes(record.bytes.len()) + length && bytes.len() <= 1200);
        let read = Envelope::read(&bytes).unwrap();
        prop_assert_eq!((read.datagram_id(), read.kind, read.number, read.in_reply_to), (datagram_id, DatagramKind::PingRequest, number, in_reply_to));
        prop_assert_eq!((read.to, read.about, read.live_members, read.view_digest), (MemberId(in_reply_to), MemberId(view_digest), live_members, view_digest));
        prop_assert!(read.is_signed_by(&own_key()));
        let items_read: Vec<Item> = read.items().collect();
        prop_assert!(matches!(&items_read[0], Item::Observation(read) if *read == observation));
        prop_assert!(matches!(&items_read[1], Item::FailureReport(read) if *read == report));
        let record_read = MemberRecord::read(read.record).unwrap();
        prop_assert_eq!((record_read.address, record_read.incarnation, record_read.leaving), (record.address, record.incarnation, record.leaving));
        prop_assert!(record_read.is_self_signed());
    }

}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, failure_persistence: None, ..ProptestConfig::default() })]

    /// Nothing is learned from a datagram that was changed in any way.
    #[test]
    fn nothing_is_learned_from_altered_datagrams(position in 0_usize..800, flip in 1_u8..=255, cut in 0_usize..900) {
        let mut cluster = Cluster::new(1, 2, NetworkConditions::reliable(), default_gossip_config());
        cluster.introduce_all();
        cluster.set_engines(&["e-1"]);
        cluster.run_for(secs(1.0));
        let now = cluster.now;
        let own = identity(1, "n1", now);
        let record = cluster.core(1).own_record();
        let observation = Observation::issue(&own, record.incarnation, 9, now, "e-1", Moment::default(), EngineCondition::Silent, None, 255);
        let unrelated = MemberRecord::issue(&identity(7, "n7", now), node_address(7), 1_780_000_000_000, false);
        let items: Vec<(ItemTag, Rc<[u8]>)> = vec![(ItemTag::Observation, observation.to_bytes().into()), (ItemTag::MemberRecord, unrelated.bytes.clone())];
        let to = cluster.core(0).id();
        let (bytes, _) = encode_signed(&own, DatagramKind::Ping, to, now, 900, 0, NO_MEMBER, (2, 0), &record.bytes, &items, 0);
        let mut changed = bytes.clone();
        let position = position % bytes.len();
        changed[position] ^= flip;
        changed.truncate(if cut < bytes.len() { cut } else { bytes.len() });
        let view = cluster.core(0).view_digest();
        cluster.with_core(0, |now, core| core.receive(now, node_address(1), &changed));
        prop_assert_eq!(cluster.core(0).counters().observations_accepted, 0);
        prop_assert_eq!(cluster.core(0).view_digest(), view);
        cluster.with_core(0, |now, core| core.receive(now, node_address(1), &bytes));
        prop_assert_eq!(cluster.core(0).counters().observations_accepted, 1, "the unchanged datagram is accepted");
        prop_assert!(cluster.core(0).view_digest() != view);
    }

}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn no_sequence_number_is_accepted_twice(numbers in proptest::collection::vec(1_u64..200, 1..200)) {
        let mut window = ReplayWindow::default();
        let mut taken = std::collections::BTreeSet::new();
        for number in numbers {
            if window.is_new(number) {
                prop_assert!(taken.insert(number));
                window.record(number);
            }
        }
    }

    /// The queue never holds or returns more than its limits allow, and sends no item more often than
    /// its maximum.
    #[test]
    fn the_item_queue_is_bounded(count in 1_usize..2500, space in 100_usize..1200, members in 1_usize..5000) {
        let mut queue = ItemQueue::default();
        for number in 0..count {
            queue.add(Topic::MemberRecord(MemberId(number as u64 + 1)), vec![0; 200].into());
        }
        prop_assert!(queue.len() <= MAX_QUEUED_ITEMS);
        let max_sends = (3.0 * ((members + 1) as f64).log2()).ceil() as usize * queue.len();
        let mut sends = 0;
        while !queue.is_empty() {
            let taken = queue.take(NO_MEMBER, space, members);
            let length: usize = taken.iter().map(|(_, bytes)| bytes.len() + 3).sum();
            prop_assert!(length <= space);
            if taken.is_empty() {
                prop_assert!(space < 203);
                break;
            }
            sends += taken.len();
        }
        prop_assert!(sends <= max_sends);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 8, failure_persistence: None, ..ProptestConfig::default() })]

    /// The views of all running members agree after any loss of datagrams, partition, crashes and restarts.
    #[test]
    fn views_agree_after_healing(
        seed in any::<u64>(), count in 3_usize..16, loss in 0.0_f64..0.4, side in any::<u16>(), dies in any::<u16>(),
        restarts in any::<u16>(),
    ) {
        let conditions = NetworkConditions { loss, duplication: 0.1, delay: (Span::ZERO, secs(0.05)) };
        let mut cluster = Cluster::new(seed, count, conditions, default_gossip_config());
        cluster.run_for(secs(3.0));
        let is_in = |set: u16, node: usize| set & (1 << node) != 0;
        for node in 0..count {
            let position = cluster.nodes[node].address;
            cluster.net.set_partition(position, u8::from(is_in(side, node)));
            if is_in(dies, node) && node > 0 {
                cluster.kill(node);
            }
        }
        cluster.run_for(secs(4.0));
        for node in (0..count).filter(|node| is_in(restarts, *node)) {
            if cluster.nodes[node].core.is_none() {
                cluster.start(node);
            }
        }
        cluster.net.end_partitions();
        cluster.net.conditions = NetworkConditions::reliable();
        let agreed = cluster.run_until(secs(60.0), Cluster::views_agree);
        let views: Vec<_> = cluster.running().map(|(node, core)| (node, core.live_members())).collect();
        prop_assert!(agreed.is_some(), "{views:?}");
    }
}

fn own_key() -> [u8; 32] {
    secret_key(4).public()
}
