//! What voters say to each other, as bytes. Reading allocates no more than it was given.

use serde::{Deserialize, Serialize};

use crate::state::{Ballot, DecisionRecord, Incarnation, Proposal, StateNumber, Voter};

/// The version of this protocol; words of another are passed over.
const VERSION: u8 = 1;

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) enum Said {
    /// This incarnation would vote in an epoch; with the latest that it knows.
    Enlist {
        epoch: u64,
        knows: Option<DecisionRecord>,
    },
    /// I live; the latest that I know, whom of the voters I hear, and whether I reach a majority both ways.
    Beat {
        knows: Option<StateNumber>,
        hears: Vec<Voter>,
        fit: bool,
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
    /// With until when the sender's warrants for the state before may be held, in microseconds of its clock.
    Accepted {
        number: StateNumber,
        ballot: Ballot,
        attested_until: u64,
    },
    Outbid {
        number: StateNumber,
        by: Ballot,
    },
    Learn(DecisionRecord),
}

pub(crate) fn write(incarnation: Incarnation, said: &Said) -> Vec<u8> {
    postcard::to_stdvec(&(VERSION, incarnation, said)).unwrap_or_default()
}

pub(crate) fn read(bytes: &[u8]) -> Option<(Incarnation, Said)> {
    let (&version, _) = bytes.split_first()?;
    if version != VERSION {
        return None;
    }
    let ((_, incarnation, said), rest) = postcard::take_from_bytes::<(u8, Incarnation, Said)>(bytes).ok()?;
    rest.is_empty().then_some((incarnation, said))
}
