//! What is agreed: a numbered state, and who votes on the next one.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha512};
use woadhook::{Moment, Span};

/// The most voters.
pub const MAX_VOTERS: usize = 7;

/// A router, by a hash of its key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct NodeId(pub u64);

/// One start of a router from nothing, drawn anew at each: the time of the start in the high bits, chance in the low ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation(pub u64);

/// Who may vote: this start of this router, and no other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Voter {
    pub node: NodeId,
    pub incarnation: Incarnation,
}

/// A bid for one number. No two proposers ever make the same, as each incarnation has its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    pub round: u64,
    pub by: Voter,
}

/// Which state. Epochs are ordered by the operator, steps decided by the voters. `founding_id` tells apart two foundings of one
/// epoch, which can come about only if all who remembered the first are gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StateNumber {
    pub epoch: u64,
    pub step: u64,
    pub founding_id: u64,
}

impl StateNumber {
    /// The number decided next; none at the end of all numbers, where the operator has to order another epoch.
    pub fn next(self) -> Option<Self> {
        self.step.checked_add(1).map(|step| Self { step, ..self })
    }

    pub fn is_later(self, than: StateNumber) -> bool {
        (self.epoch, self.step) > (than.epoch, than.step)
    }

    /// Whether both can be of one history.
    pub fn shares_history_with(self, other: StateNumber) -> bool {
        self.epoch != other.epoch || self.founding_id == other.founding_id
    }
}

/// What is voted on: the content, and who votes on what follows it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Proposal {
    /// One to [`MAX_VOTERS`], by name, none twice.
    pub voters: Vec<Voter>,
    pub content: Vec<u8>,
}

impl Proposal {
    pub fn is_valid(&self, most_content: usize) -> bool {
        let rising = self.voters.windows(2).all(|two| two[0].node < two[1].node);
        rising && (1..=MAX_VOTERS).contains(&self.voters.len()) && self.content.len() <= most_content
    }

    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    pub fn contains_voter(&self, voter: Voter) -> bool {
        self.voters.contains(&voter)
    }
}

/// A decided state.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct DecidedState {
    pub number: StateNumber,
    pub proposal: Proposal,
}

impl DecidedState {
    /// What stands for it in warrants.
    pub fn digest(&self) -> u64 {
        let bytes = postcard::to_stdvec(self).unwrap_or_default();
        let whole = Sha512::digest([b"woadhook agreed 1".as_slice(), &bytes].concat());
        u64::from_be_bytes(std::array::from_fn(|place| whole[place]))
    }
}

/// A decided state as voters pass it on.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct DecisionRecord {
    pub state: DecidedState,
    /// Microseconds of Unix time at which the last warrant for the state before runs out, on its giver's clock: nothing that
    /// comes after this state may be voted on before.
    pub previous_lease_end_us: u64,
}

impl DecisionRecord {
    /// When voting on the next may begin, on any clock within the tolerance.
    pub fn voting_opens_at(&self, tolerance: Span) -> Moment {
        Moment::from_micros(self.previous_lease_end_us) + tolerance
    }
}

pub(crate) fn micros(moment: Moment) -> u64 {
    moment.since(Moment::default()).micros()
}
