//! What is to be told on: the least told first, each a number of times that grows with the logarithm of the members.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use crate::keys::MemberId;
use crate::wire::{ITEM_HEAD_BYTES, ItemTag, TaggedItem};

/// Statements that wait at once; beyond that the most told one goes.
pub const WAITING: usize = 1024;
/// Times that a statement is told, over the binary logarithm of the members.
const ROUNDS: f64 = 3.0;

/// What a statement is about: a newer one about the same takes its place.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum About {
    MemberRecord(MemberId),
    /// Subject and witness.
    Accusation(MemberId, MemberId),
    /// Witness, engine and reservation type.
    Observation(MemberId, String, Option<String>),
    Revocation(MemberId),
    /// The operator's latest order.
    VoterSet,
    /// Witness and subject.
    Notice(MemberId, u8),
}

impl About {
    fn tag(&self) -> ItemTag {
        match self {
            About::MemberRecord(_) => ItemTag::MemberRecord,
            About::Accusation(..) => ItemTag::Accusation,
            About::Observation(..) => ItemTag::Observation,
            About::Revocation(_) => ItemTag::Revocation,
            About::VoterSet => ItemTag::VoterSet,
            About::Notice(..) => ItemTag::Notice,
        }
    }
}

/// Words on engines and revocations count as told this many times less often than what is said of members, or they
/// would stand behind ever new cards where a network loses much and members are accused and refute all the time.
const WORDS_FIRST: u32 = 4;

type Place = (u32, u8, std::cmp::Reverse<u64>, About);

struct QueuedItem {
    bytes: Rc<[u8]>,
    told: u32,
    order: u64,
}

/// Emptied by telling.
#[derive(Default)]
pub struct News {
    items: BTreeMap<About, QueuedItem>,
    /// The same by how often told, the newest first among equals.
    queue: BTreeSet<Place>,
    order: u64,
}

impl News {
    pub fn add(&mut self, about: About, bytes: Rc<[u8]>) {
        self.forget(&about);
        if self.items.len() >= WAITING
            && let Some((.., most_told)) = self.queue.last().cloned()
        {
            self.forget(&most_told);
        }
        self.order += 1;
        let item = QueuedItem { bytes, told: 0, order: self.order };
        self.queue.insert(place(&item, about.clone()));
        self.items.insert(about, item);
    }

    pub fn forget(&mut self, about: &About) {
        if let Some(item) = self.items.remove(about) {
            self.queue.remove(&place(&item, about.clone()));
        }
    }

    pub fn len(&self) -> usize {
        self.items.len()
    }

    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Statements for a datagram to `to` with so much room. What is about the receiver goes first, so that it can
    /// refute it; what is its own word is left out.
    pub fn take(&mut self, to: MemberId, mut room: usize, members: usize) -> Vec<TaggedItem> {
        let most = (ROUNDS * ((members + 1) as f64).log2()).ceil().max(1.0) as u32;
        let mut taken = Vec::new();
        let first = About::Accusation(to, MemberId(0))..=About::Accusation(to, MemberId(u64::MAX));
        let first = self.items.range(first).map(|(about, _)| about.clone()).take(2);
        let rest = self.queue.iter().map(|(.., about)| about).filter(|about| match about {
            About::MemberRecord(id) => *id != to,
            About::Accusation(subject, witness) => *subject != to && *witness != to,
            About::Observation(witness, ..) => *witness != to,
            About::Notice(witness, _) => *witness != to,
            About::Revocation(_) | About::VoterSet => true,
        });
        // A look past what is too long for the room is kept short.
        let order: Vec<About> = first.chain(rest.take(24).cloned()).collect();
        for about in order {
            let Some(item) = self.items.get_mut(&about) else { continue };
            let length = item.bytes.len() + ITEM_HEAD_BYTES;
            if length > room {
                continue;
            }
            room -= length;
            taken.push((about.tag(), item.bytes.clone()));
            self.queue.remove(&place(item, about.clone()));
            item.told += 1;
            if item.told < most {
                self.queue.insert(place(item, about));
            } else {
                self.items.remove(&about);
            }
        }
        taken
    }
}

fn place(item: &QueuedItem, about: About) -> Place {
    let of_members = matches!(about, About::MemberRecord(_) | About::Accusation(..));
    let told = if of_members { item.told } else { item.told / WORDS_FIRST };
    (told, u8::from(of_members), std::cmp::Reverse(item.order), about)
}
