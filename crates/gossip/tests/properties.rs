//! What holds for any bytes, any statements and any network.

use std::rc::Rc;

use proptest::prelude::*;
use woadhook::{Moment, Span};
use woadhook_gossip::keys::{MemberId, Pass, Revocation, SecretKey};
use woadhook_gossip::members::Window;
use woadhook_gossip::news::{About, News, WAITING};
use woadhook_gossip::wire::{
    Accusation, DatagramKind, EngineCondition, Envelope, Item, ItemTag, MemberRecord, Observation,
    encode_signed, envelope_bytes,
};
use woadhook_standins::cluster::*;
use woadhook_standins::net::Weather;

const NOBODY: MemberId = MemberId(0);

fn seen() -> impl Strategy<Value = EngineCondition> {
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
    fn any_bytes_are_read_or_refused(bytes in proptest::collection::vec(any::<u8>(), 0..1400)) {
        let _ = Envelope::read(&bytes).map(|envelope| envelope.items().count());
        let _ = (MemberRecord::read(&bytes), Observation::read(&bytes), Accusation::read(&bytes));
        let text = String::from_utf8_lossy(&bytes);
        let _ = (Pass::from_text(&text).is_ok(), SecretKey::from_text(&text).is_ok(), Revocation::list_from_text(&text).is_ok());
    }

    #[test]
    fn what_is_sealed_reads_back(
        engine in "[a-z0-9-]{1,64}", of in proptest::option::of("[a-z]{1,32}"), seen in seen(), sure in any::<u8>(),
        number in any::<u64>(), re in any::<u64>(), living in any::<u16>(), digest in any::<u64>(), fill in 0_usize..1300,
    ) {
        let now = START + secs(9.0);
        let own = identity(4, "n4", now);
        let card = MemberRecord::issue(&own, address(4), number, number % 2 == 0);
        let word = Observation::issue(&own, number, re, now, &engine, START, seen, of.as_deref(), sure);
        let accusation = Accusation::issue(&own, MemberId(re), digest, now);
        let statements: Vec<(ItemTag, Rc<[u8]>)> = vec![
            (ItemTag::Observation, word.to_bytes().into()), (ItemTag::Accusation, accusation.to_bytes().into()),
        ];
        let (bytes, mark) = encode_signed(
            &own, DatagramKind::PingRequest, MemberId(re), now, number, re, MemberId(digest), (living, digest), &card.bytes, &statements, fill,
        );
        let length: usize = statements.iter().map(|(_, bytes)| bytes.len() + 3).sum();
        prop_assert!(bytes.len() >= envelope_bytes(card.bytes.len()) + length && bytes.len() <= 1200);
        let read = Envelope::read(&bytes).unwrap();
        prop_assert_eq!((read.mark(), read.kind, read.number, read.re), (mark, DatagramKind::PingRequest, number, re));
        prop_assert_eq!((read.to, read.about, read.living, read.digest), (MemberId(re), MemberId(digest), living, digest));
        prop_assert!(read.is_signed_by(&own_key()));
        let told: Vec<Item> = read.items().collect();
        prop_assert!(matches!(&told[0], Item::Observation(read) if *read == word));
        prop_assert!(matches!(&told[1], Item::Accusation(read) if *read == accusation));
        let again = MemberRecord::read(read.card).unwrap();
        prop_assert_eq!((again.address, again.incarnation, again.leaving), (card.address, card.incarnation, card.leaving));
        prop_assert!(again.is_own_word());
    }

}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever is changed about a datagram, nothing is learned from it.
    #[test]
    fn nothing_is_learned_from_what_is_not_signed(place in 0_usize..800, flip in 1_u8..=255, cut in 0_usize..900) {
        let mut cluster = Cluster::new(1, 2, Weather::calm(), usual_pace());
        cluster.acquaint();
        cluster.list(&["e-1"]);
        cluster.pass(secs(1.0));
        let now = cluster.now;
        let own = identity(1, "n1", now);
        let card = cluster.core(1).own_record();
        let word = Observation::issue(&own, card.incarnation, 9, now, "e-1", Moment::default(), EngineCondition::Silent, None, 255);
        let third = MemberRecord::issue(&identity(7, "n7", now), address(7), 1_780_000_000_000, false);
        let statements: Vec<(ItemTag, Rc<[u8]>)> = vec![(ItemTag::Observation, word.to_bytes().into()), (ItemTag::MemberRecord, third.bytes.clone())];
        let to = cluster.core(0).id();
        let (bytes, _) = encode_signed(&own, DatagramKind::Ping, to, now, 900, 0, NOBODY, (2, 0), &card.bytes, &statements, 0);
        let mut changed = bytes.clone();
        let place = place % bytes.len();
        changed[place] ^= flip;
        changed.truncate(if cut < bytes.len() { cut } else { bytes.len() });
        let view = cluster.core(0).view_digest();
        cluster.at(0, |now, core| core.receive(now, address(1), &changed));
        prop_assert_eq!(cluster.core(0).counters().words_taken, 0);
        prop_assert_eq!(cluster.core(0).view_digest(), view);
        cluster.at(0, |now, core| core.receive(now, address(1), &bytes));
        prop_assert_eq!(cluster.core(0).counters().words_taken, 1, "unchanged, it is heard");
        prop_assert!(cluster.core(0).view_digest() != view);
    }

}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn no_number_counts_twice(numbers in proptest::collection::vec(1_u64..200, 1..200)) {
        let mut window = Window::default();
        let mut taken = std::collections::BTreeSet::new();
        for number in numbers {
            if window.is_new(number) {
                prop_assert!(taken.insert(number));
                window.note(number);
            }
        }
    }

    /// News never hold or give more than they may, and each is told so often and no more.
    #[test]
    fn news_are_bounded(count in 1_usize..2500, room in 100_usize..1200, members in 1_usize..5000) {
        let mut news = News::default();
        for number in 0..count {
            news.add(About::MemberRecord(MemberId(number as u64 + 1)), vec![0; 200].into());
        }
        prop_assert!(news.len() <= WAITING);
        let most = (3.0 * ((members + 1) as f64).log2()).ceil() as usize * news.len();
        let mut told = 0;
        while !news.is_empty() {
            let taken = news.take(NOBODY, room, members);
            let length: usize = taken.iter().map(|(_, bytes)| bytes.len() + 3).sum();
            prop_assert!(length <= room);
            if taken.is_empty() {
                prop_assert!(room < 203);
                break;
            }
            told += taken.len();
        }
        prop_assert!(told <= most);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 8, failure_persistence: None, ..ProptestConfig::default() })]

    /// After any weather, partition, deaths and restarts, the views of those that run agree.
    #[test]
    fn views_agree_after_healing(
        seed in any::<u64>(), count in 3_usize..16, loss in 0.0_f64..0.4, side in any::<u16>(), dies in any::<u16>(),
        restarts in any::<u16>(),
    ) {
        let weather = Weather { loss, twice: 0.1, delay: (Span::ZERO, secs(0.05)) };
        let mut cluster = Cluster::new(seed, count, weather, usual_pace());
        cluster.pass(secs(3.0));
        let picked = |set: u16, node: usize| set & (1 << node) != 0;
        for node in 0..count {
            let place = cluster.nodes[node].address;
            cluster.net.part(place, u8::from(picked(side, node)));
            if picked(dies, node) && node > 0 {
                cluster.kill(node);
            }
        }
        cluster.pass(secs(4.0));
        for node in (0..count).filter(|node| picked(restarts, *node)) {
            if cluster.nodes[node].core.is_none() {
                cluster.start(node);
            }
        }
        cluster.net.heal();
        cluster.net.weather = Weather::calm();
        let agreed = cluster.until(secs(60.0), Cluster::agree);
        let views: Vec<_> = cluster.running().map(|(node, core)| (node, core.live_members())).collect();
        prop_assert!(agreed.is_some(), "{views:?}");
    }
}

fn own_key() -> [u8; 32] {
    secret(4).public()
}
