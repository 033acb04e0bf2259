//! The states that are agreed on: their numbers, their contents, and the voters on the next state.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha512};
use woadhook::{Moment, Span};

/// The maximum number of voters.
pub const MAX_VOTERS: usize = 7;

/// Identifies a router by a hash of its key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct NodeId(pub u64);

/// One start of a router, which begins without any memory of earlier ones. The host draws a new value at each
/// start: the time of the start in the high bits, random bits in the low ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation(pub u64);

/// A router that may vote. Only this incarnation has the vote; after a restart the router is another voter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Voter {
    pub node: NodeId,
    pub incarnation: Incarnation,
}

/// A Paxos ballot for one state number. Two proposers never make the same one, as a ballot names the
/// incarnation of its proposer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    pub round: u64,
    pub proposer: Voter,
}

/// The position of a state. The operator begins epochs by voter sets, and the voters decide steps.
/// `founding_id` distinguishes two foundings of one epoch, which can happen only if all processes that
/// remembered the first one are gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StateNumber {
    pub epoch: u64,
    pub step: u64,
    pub founding_id: u64,
}

impl StateNumber {
    /// The number of the next state. `None` after the last step, where the operator has to begin another
    /// epoch.
    pub fn next(self) -> Option<Self> {
        self.step.checked_add(1).map(|step| Self { step, ..self })
    }

    /// Whether this number has a later epoch, or a later step of the same epoch.
    pub fn is_later(self, other: StateNumber) -> bool {
        (self.epoch, self.step) > (other.epoch, other.step)
    }

    /// Whether both numbers can belong to one history: two numbers of one epoch need the same founding.
    pub fn shares_history_with(self, other: StateNumber) -> bool {
        self.epoch != other.epoch || self.founding_id == other.founding_id
    }
}

/// What is voted on: the content of a state, and the voters on the state after it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Proposal {
    /// One to [`MAX_VOTERS`] voters, sorted by node, with no node twice.
    pub voters: Vec<Voter>,
    pub content: Vec<u8>,
}

impl Proposal {
    /// Whether the voters are as stated above and the content is not too long.
    pub fn is_valid(&self, max_content_bytes: usize) -> bool {
        let sorted = self.voters.windows(2).all(|pair| pair[0].node < pair[1].node);
        sorted && (1..=MAX_VOTERS).contains(&self.voters.len()) && self.content.len() <= max_content_bytes
    }

    /// The number of voters that make a majority.
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
    /// The hash that represents the state in attestations.
    pub fn digest(&self) -> u64 {
        let bytes = postcard::to_stdvec(self).unwrap_or_default();
        let hash = Sha512::digest([b"woadhook agreed 1".as_slice(), &bytes].concat());
        u64::from_be_bytes(std::array::from_fn(|index| hash[index]))
    }
}

/// A decided state as voters send it to each other, with the time before which the next one may not be voted
/// on.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct DecisionRecord {
    pub state: DecidedState,
    /// When the last attestation for the previous state expires: Unix time in microseconds, on the clock of
    /// the voter that issued it. The state after this one may not be voted on before.
    pub previous_lease_end_us: u64,
}

impl DecisionRecord {
    /// When voting on the next state may begin, on any clock within the tolerance.
    pub fn voting_opens_at(&self, clock_tolerance: Span) -> Moment {
        Moment::from_micros(self.previous_lease_end_us) + clock_tolerance
    }
}

/// Unix time in microseconds, for moments of the routers' clocks.
pub(crate) fn unix_micros(moment: Moment) -> u64 {
    moment.since(Moment::default()).micros()
}
