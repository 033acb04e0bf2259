//! A queue of signed items for other members. Those sent the fewest times go first, and the number of times
//! that each is sent grows with the logarithm of the number of members.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use crate::keys::MemberId;
use crate::wire::{ITEM_HEAD_BYTES, ItemTag, TaggedItem};

/// Maximum number of queued items. Beyond that, the one sent most often is dropped.
pub const MAX_QUEUED_ITEMS: usize = 1024;
/// How many times an item is sent, as a multiple of the binary logarithm of the number of members.
const SENDS_PER_LOG2_MEMBERS: f64 = 3.0;

/// What an item is about. A newer item with the same topic replaces an older one.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Topic {
    MemberRecord(MemberId),
    /// Subject and reporter.
    FailureReport(MemberId, MemberId),
    /// Reporter, engine and reservation type.
    Observation(MemberId, String, Option<String>),
    Revocation(MemberId),
    /// The operator's latest voter set.
    VoterSet,
    /// Voter and subject.
    Notice(MemberId, u8),
}

impl Topic {
    fn tag(&self) -> ItemTag {
        match self {
            Topic::MemberRecord(_) => ItemTag::MemberRecord,
            Topic::FailureReport(..) => ItemTag::FailureReport,
            Topic::Observation(..) => ItemTag::Observation,
            Topic::Revocation(_) => ItemTag::Revocation,
            Topic::VoterSet => ItemTag::VoterSet,
            Topic::Notice(..) => ItemTag::Notice,
        }
    }
}

/// Divides how often items other than member records and failure reports count as sent, which gives them
/// priority. Otherwise, in a network that loses many datagrams, observations and revocations would wait
/// behind a steady flow of new records, as members are reported as failed and refute it again and again.
const PRIORITY_FACTOR: u32 = 4;

type QueueKey = (u32, u8, std::cmp::Reverse<u64>, Topic);

struct QueuedItem {
    bytes: Rc<[u8]>,
    times_sent: u32,
    sequence: u64,
}

/// Queued items. Each is removed once it has been sent often enough.
#[derive(Default)]
pub struct ItemQueue {
    items: BTreeMap<Topic, QueuedItem>,
    /// The same items ordered by how often they were sent, and the newest first among equals.
    by_priority: BTreeSet<QueueKey>,
    sequence: u64,
}

impl ItemQueue {
    pub fn add(&mut self, topic: Topic, bytes: Rc<[u8]>) {
        self.remove(&topic);
        if self.items.len() >= MAX_QUEUED_ITEMS
            && let Some((.., most_sent)) = self.by_priority.last().cloned()
        {
            self.remove(&most_sent);
        }
        self.sequence += 1;
        let item = QueuedItem { bytes, times_sent: 0, sequence: self.sequence };
        self.by_priority.insert(queue_key(&item, topic.clone()));
        self.items.insert(topic, item);
    }

    pub fn remove(&mut self, topic: &Topic) {
        if let Some(item) = self.items.remove(topic) {
            self.by_priority.remove(&queue_key(&item, topic.clone()));
        }
    }

    pub fn len(&self) -> usize {
        self.items.len()
    }

    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Returns items for a datagram to `to` that fit into `space` bytes. Failure reports about the receiver
    /// go first, so that it can refute them. Items that the receiver issued are left out.
    pub fn take(&mut self, to: MemberId, mut space: usize, members: usize) -> Vec<TaggedItem> {
        let max_sends = (SENDS_PER_LOG2_MEMBERS * ((members + 1) as f64).log2()).ceil().max(1.0) as u32;
        let mut taken = Vec::new();
        let about_receiver =
            Topic::FailureReport(to, MemberId(0))..=Topic::FailureReport(to, MemberId(u64::MAX));
        let first = self.items.range(about_receiver).map(|(topic, _)| topic.clone()).take(2);
        let rest = self.by_priority.iter().map(|(.., topic)| topic).filter(|topic| match topic {
            Topic::MemberRecord(id) => *id != to,
            Topic::FailureReport(subject, reporter) => *subject != to && *reporter != to,
            Topic::Observation(reporter, ..) => *reporter != to,
            Topic::Notice(voter, _) => *voter != to,
            Topic::Revocation(_) | Topic::VoterSet => true,
        });
        // Only a limited number of items that are too long for the remaining space is passed over.
        let candidates: Vec<Topic> = first.chain(rest.take(24).cloned()).collect();
        for topic in candidates {
            let Some(item) = self.items.get_mut(&topic) else { continue };
            let length = item.bytes.len() + ITEM_HEAD_BYTES;
            if length > space {
                continue;
            }
            space -= length;
            taken.push((topic.tag(), item.bytes.clone()));
            self.by_priority.remove(&queue_key(item, topic.clone()));
            item.times_sent += 1;
            if item.times_sent < max_sends {
                self.by_priority.insert(queue_key(item, topic));
            } else {
                self.items.remove(&topic);
            }
        }
        taken
    }
}

fn queue_key(item: &QueuedItem, topic: Topic) -> QueueKey {
    let about_member = matches!(topic, Topic::MemberRecord(_) | Topic::FailureReport(..));
    let times_sent = if about_member { item.times_sent } else { item.times_sent / PRIORITY_FACTOR };
    (times_sent, u8::from(about_member), std::cmp::Reverse(item.sequence), topic)
}
