//! The messages between voters and their encoding. The memory that decoding allocates is bounded by the input
//! length.

use serde::{Deserialize, Serialize};

use crate::state::{Ballot, DecisionRecord, Incarnation, Proposal, StateNumber, Voter};

/// The version of this protocol. Messages of other versions are ignored.
const VERSION: u8 = 1;

/// A message from one voter to another.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) enum Message {
    /// Offers to vote in an epoch of which the sender knows no state, and carries the latest state that the
    /// sender knows of any epoch.
    Enlist {
        epoch: u64,
        latest: Option<DecisionRecord>,
    },
    /// A heartbeat: the latest state number that the sender knows, the voters from which it receives
    /// messages, and whether it has two-way contact with a majority.
    Heartbeat {
        latest: Option<StateNumber>,
        receives_from: Vec<Voter>,
        has_majority: bool,
    },
    Prepare {
        number: StateNumber,
        ballot: Ballot,
    },
    Promise {
        number: StateNumber,
        ballot: Ballot,
        accepted: Option<(Ballot, Proposal)>,
    },
    Accept {
        number: StateNumber,
        ballot: Ballot,
        proposal: Proposal,
    },
    /// Reports that a proposal was accepted, and until when followers may rely on the sender's attestations
    /// for the previous state, in microseconds of its clock.
    Accepted {
        number: StateNumber,
        ballot: Ballot,
        attested_until_us: u64,
    },
    /// Rejects a ballot, as the sender has promised a higher one.
    Reject {
        number: StateNumber,
        promised: Ballot,
    },
    /// Passes on a decided state.
    Learn(DecisionRecord),
}

pub(crate) fn encode(incarnation: Incarnation, message: &Message) -> Vec<u8> {
    postcard::to_stdvec(&(VERSION, incarnation, message)).unwrap_or_default()
}

pub(crate) fn decode(bytes: &[u8]) -> Option<(Incarnation, Message)> {
    let (&version, _) = bytes.split_first()?;
    if version != VERSION {
        return None;
    }
    let ((_, incarnation, message), rest) =
        postcard::take_from_bytes::<(u8, Incarnation, Message)>(bytes).ok()?;
    rest.is_empty().then_some((incarnation, message))
}
