//! What voters say to each other, as bytes. Reading allocates no more than it was given.

use serde::{Deserialize, Serialize};

use crate::agreed::{Ballot, Life, Number, Proposal, Settled, Voter};

/// The version of this protocol; words of another are passed over.
const VERSION: u8 = 1;

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) enum Said {
    /// This life would vote in an epoch; with the latest that it knows.
    Enlist {
        epoch: u64,
        knows: Option<Settled>,
    },
    /// I live; the latest that I know, whom of the voters I hear, and whether I reach a majority both ways.
    Beat {
        knows: Option<Number>,
        hears: Vec<Voter>,
        fit: bool,
    },
    Prepare {
        number: Number,
        ballot: Ballot,
    },
    Promise {
        number: Number,
        ballot: Ballot,
        accepted: Option<(Ballot, Proposal)>,
    },
    Accept {
        number: Number,
        ballot: Ballot,
        proposal: Proposal,
    },
    /// With until when the sender's warrants for the state before may be held, in microseconds of its clock.
    Accepted {
        number: Number,
        ballot: Ballot,
        attested_until: u64,
    },
    Outbid {
        number: Number,
        by: Ballot,
    },
    Learn(Settled),
}

pub(crate) fn write(life: Life, said: &Said) -> Vec<u8> {
    postcard::to_stdvec(&(VERSION, life, said)).unwrap_or_default()
}

pub(crate) fn read(bytes: &[u8]) -> Option<(Life, Said)> {
    let (&version, _) = bytes.split_first()?;
    if version != VERSION {
        return None;
    }
    let ((_, life, said), rest) = postcard::take_from_bytes::<(u8, Life, Said)>(bytes).ok()?;
    rest.is_empty().then_some((life, said))
}
