//! What a router that has no vote believes, and for how long.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use woadhook::{Moment, Span};

use crate::state::{DecidedState, Incarnation, NodeId, StateNumber, Voter};

/// States that are kept while no majority has vouched for them.
const CANDIDATES: usize = 4;

/// A voter's word that a state is the latest it knows. Its host signs it with the voter's key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Attestation {
    pub incarnation: Incarnation,
    pub number: StateNumber,
    pub digest: u64,
    /// Microseconds of Unix time, on the voter's clock.
    pub issued_at_us: u64,
}

impl Attestation {
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    pub fn decode(bytes: &[u8]) -> Option<Self> {
        whole(bytes)
    }

    /// With the state that it vouches for.
    pub fn encode_with_state(&self, agreed: &DecidedState) -> Vec<u8> {
        postcard::to_stdvec(&(self, agreed)).unwrap_or_default()
    }

    pub fn decode_with_state(bytes: &[u8]) -> Option<(Self, DecidedState)> {
        whole(bytes)
    }
}

fn whole<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Option<T> {
    let (read, rest) = postcard::take_from_bytes(bytes).ok()?;
    rest.is_empty().then_some(read)
}

/// What became of a word.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FollowerUpdate {
    /// A later state is believed now.
    StateAdvanced,
    /// It is worth telling on.
    Recorded,
    Ignored,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Follower {
    tolerance: Span,
    lease: Span,
    most_content: usize,
    /// The operator's order: the epoch, and whose votes count in it.
    epoch: u64,
    named: Vec<NodeId>,
    believed: Option<DecidedState>,
    /// States that were heard of and not vouched for by a majority yet; the oldest goes for a new one.
    candidates: Vec<DecidedState>,
    /// The latest word of each named voter; as many lines as names.
    warrants: BTreeMap<NodeId, Attestation>,
}

impl Follower {
    /// `tolerance` is by how much clocks may differ, `lease` how long a warrant counts, less twice that tolerance here.
    pub fn new(tolerance: Span, lease: Span, most_content: usize) -> Self {
        let (named, candidates) = (Vec::new(), Vec::new());
        Self {
            tolerance,
            lease,
            most_content,
            epoch: 0,
            named,
            believed: None,
            candidates,
            warrants: BTreeMap::new(),
        }
    }

    /// The operator's order; one of an earlier epoch says nothing any more.
    pub fn apply_voter_set(&mut self, epoch: u64, named: &[NodeId]) -> bool {
        if epoch <= self.epoch {
            return false;
        }
        (self.epoch, self.named) = (epoch, named.to_vec());
        self.warrants.retain(|name, _| named.contains(name));
        self.candidates.clear();
        true
    }

    pub fn confirmed(&self) -> Option<&DecidedState> {
        self.believed.as_ref()
    }

    /// A state, from whomever. It is believed once a majority of its voters, each named by the operator, vouches for it, and
    /// kept for that only if one of them does already: others can't fill the table.
    pub fn receive_state(&mut self, agreed: DecidedState) -> FollowerUpdate {
        let sound = agreed.number.epoch == self.epoch && agreed.proposal.is_valid(self.most_content);
        let named = agreed.proposal.voters.iter().all(|voter| self.named.contains(&voter.node));
        // Threat: an epoch that was founded twice; who remembers the first must not take the second for its later states.
        let follows = |known: &DecidedState| {
            agreed.number.is_later(known.number) && agreed.number.shares_history_with(known.number)
        };
        let later = self.believed.as_ref().is_none_or(follows);
        if !sound || !named || !later || self.candidates.contains(&agreed) || self.vouchers(&agreed) == 0 {
            return FollowerUpdate::Ignored;
        }
        if self.candidates.len() >= CANDIDATES {
            self.candidates.remove(0);
        }
        self.candidates.push(agreed);
        self.settle()
    }

    /// A voter's word, whose signature was found good.
    pub fn receive_attestation(&mut self, now: Moment, name: NodeId, warrant: Attestation) -> FollowerUpdate {
        let said = Moment::from_micros(warrant.issued_at_us);
        let ahead = said > now + self.tolerance;
        let stale = now.since(said) > self.lease + self.tolerance;
        if warrant.number.epoch != self.epoch || !self.named.contains(&name) || ahead || stale {
            return FollowerUpdate::Ignored;
        }
        let newer = |old: &Attestation| {
            let same = old.number == warrant.number && old.incarnation == warrant.incarnation;
            if same {
                warrant.issued_at_us > old.issued_at_us
            } else {
                warrant.number.is_later(old.number) || warrant.issued_at_us > old.issued_at_us
            }
        };
        if !self.warrants.get(&name).is_none_or(newer) {
            return FollowerUpdate::Ignored;
        }
        self.warrants.insert(name, warrant);
        self.settle()
    }

    /// How many of its voters vouch for a state.
    fn vouchers(&self, agreed: &DecidedState) -> usize {
        let digest = agreed.digest();
        let vouches = |voter: &&Voter| {
            self.warrants.get(&voter.node).is_some_and(|warrant| {
                (warrant.incarnation, warrant.number, warrant.digest)
                    == (voter.incarnation, agreed.number, digest)
            })
        };
        agreed.proposal.voters.iter().filter(vouches).count()
    }

    fn settle(&mut self) -> FollowerUpdate {
        let vouched =
            self.candidates.iter().filter(|agreed| self.vouchers(agreed) >= agreed.proposal.majority());
        let Some(best) = vouched.max_by_key(|agreed| (agreed.number.epoch, agreed.number.step)).cloned()
        else {
            return FollowerUpdate::Recorded;
        };
        let number = best.number;
        self.believed = Some(best);
        self.candidates.retain(|agreed| agreed.number.is_later(number));
        FollowerUpdate::StateAdvanced
    }

    /// Until when the believed state may be acted on, on the own clock; look again right before each act.
    pub fn lease_end(&self) -> Option<Moment> {
        let agreed = self.believed.as_ref()?;
        let digest = agreed.digest();
        let mut said: Vec<Moment> = agreed
            .proposal
            .voters
            .iter()
            .filter_map(|voter| {
                let warrant = self.warrants.get(&voter.node)?;
                let fits = (warrant.incarnation, warrant.number, warrant.digest)
                    == (voter.incarnation, agreed.number, digest);
                fits.then_some(Moment::from_micros(warrant.issued_at_us))
            })
            .collect();
        said.sort_by(|a, b| b.cmp(a));
        // As long as the oldest of the freshest majority counts.
        let oldest = said.get(agreed.proposal.majority() - 1)?;
        Some(*oldest + self.lease.saturating_sub(self.tolerance))
    }

    /// The state that may be acted on now.
    pub fn in_force(&self, now: Moment) -> Option<&DecidedState> {
        self.lease_end().filter(|until| now < *until)?;
        self.believed.as_ref()
    }
}
