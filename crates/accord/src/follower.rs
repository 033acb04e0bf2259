//! The follower: it determines which state is the latest that a majority attests, and until when a router may
//! act on it.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use woadhook::{Moment, Span};

use crate::state::{DecidedState, Incarnation, NodeId, StateNumber, Voter};

/// The maximum number of states that are kept while no majority has attested them.
const MAX_CANDIDATES: usize = 4;

/// A voter's statement that a state is the latest that it knows. The host signs it with the voter's key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Attestation {
    /// The incarnation of the voter that issued the attestation. Its node is passed along separately.
    pub incarnation: Incarnation,
    pub number: StateNumber,
    pub digest: u64,
    /// When the voter issued it: Unix time in microseconds, on the voter's clock.
    pub issued_at_us: u64,
}

impl Attestation {
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    pub fn decode(bytes: &[u8]) -> Option<Self> {
        decode_exact(bytes)
    }

    /// Encodes the attestation together with the state that it attests.
    pub fn encode_with_state(&self, state: &DecidedState) -> Vec<u8> {
        postcard::to_stdvec(&(self, state)).unwrap_or_default()
    }

    pub fn decode_with_state(bytes: &[u8]) -> Option<(Self, DecidedState)> {
        decode_exact(bytes)
    }
}

/// Decodes a value that takes up all the bytes.
fn decode_exact<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Option<T> {
    let (value, rest) = postcard::take_from_bytes(bytes).ok()?;
    rest.is_empty().then_some(value)
}

/// The effect of a received state or attestation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FollowerUpdate {
    /// A later state is confirmed now.
    StateAdvanced,
    /// The input was recorded. Other routers may need it as well.
    Recorded,
    /// The input was ignored.
    Ignored,
}

/// Follows the decided states by the attestations of the voters.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Follower {
    clock_tolerance: Span,
    lease: Span,
    max_content_bytes: usize,
    /// The operator's voter set: its epoch, and the routers whose votes count in it.
    epoch: u64,
    voter_set: Vec<NodeId>,
    /// The latest state that a majority of its voters has attested.
    confirmed: Option<DecidedState>,
    /// States that no majority has attested yet. A new one displaces the oldest.
    candidates: Vec<DecidedState>,
    /// The latest attestation of each router of the voter set; at most one entry for each.
    attestations: BTreeMap<NodeId, Attestation>,
}

impl Follower {
    /// `clock_tolerance` is the maximum difference between clocks, and `lease` is how long voters count an
    /// attestation as valid. A follower relies on an attestation until its own clock shows the time of issue,
    /// taken from the voter's clock, plus `lease` minus `clock_tolerance`. Because the clocks may differ, it
    /// can rely on it for as little as `lease` minus twice `clock_tolerance`.
    pub fn new(clock_tolerance: Span, lease: Span, max_content_bytes: usize) -> Self {
        let (voter_set, candidates) = (Vec::new(), Vec::new());
        Self {
            clock_tolerance,
            lease,
            max_content_bytes,
            epoch: 0,
            voter_set,
            confirmed: None,
            candidates,
            attestations: BTreeMap::new(),
        }
    }

    /// Applies the operator's voter set and returns true. A voter set of the same or an earlier epoch is
    /// ignored.
    pub fn apply_voter_set(&mut self, epoch: u64, voter_set: &[NodeId]) -> bool {
        if epoch <= self.epoch {
            return false;
        }
        (self.epoch, self.voter_set) = (epoch, voter_set.to_vec());
        self.attestations.retain(|node, _| voter_set.contains(node));
        self.candidates.clear();
        true
    }

    /// The latest state that a majority of its voters has attested, whether or not its lease still lasts.
    pub fn confirmed(&self) -> Option<&DecidedState> {
        self.confirmed.as_ref()
    }

    /// Receives a state from any sender. It is confirmed once a majority of its voters, all of them in the
    /// voter set, has attested it. Until then it is kept as a candidate only if at least one of them has
    /// attested it, so that senders that aren't voters can't fill the list of candidates.
    pub fn receive_state(&mut self, state: DecidedState) -> FollowerUpdate {
        let valid = state.number.epoch == self.epoch && state.proposal.is_valid(self.max_content_bytes);
        let all_in_voter_set = state.proposal.voters.iter().all(|voter| self.voter_set.contains(&voter.node));
        // Threat: an epoch may be founded twice, which means that its first state is set twice. A follower
        // that remembers the first founding must not take states of the second for later states of the first.
        let follows = |known: &DecidedState| {
            state.number.is_later(known.number) && state.number.shares_history_with(known.number)
        };
        let later = self.confirmed.as_ref().is_none_or(follows);
        if !valid
            || !all_in_voter_set
            || !later
            || self.candidates.contains(&state)
            || self.attester_count(&state) == 0
        {
            return FollowerUpdate::Ignored;
        }
        if self.candidates.len() >= MAX_CANDIDATES {
            self.candidates.remove(0);
        }
        self.candidates.push(state);
        self.confirm_candidate()
    }

    /// Receives a voter's attestation. The caller has verified its signature.
    pub fn receive_attestation(
        &mut self, now: Moment, node: NodeId, attestation: Attestation,
    ) -> FollowerUpdate {
        let issued_at = Moment::from_micros(attestation.issued_at_us);
        let too_far_ahead = issued_at > now + self.clock_tolerance;
        let stale = now.since(issued_at) > self.lease + self.clock_tolerance;
        if attestation.number.epoch != self.epoch || !self.voter_set.contains(&node) || too_far_ahead || stale
        {
            return FollowerUpdate::Ignored;
        }
        let newer = |old: &Attestation| {
            let same_state = old.number == attestation.number && old.incarnation == attestation.incarnation;
            if same_state {
                attestation.issued_at_us > old.issued_at_us
            } else {
                attestation.number.is_later(old.number) || attestation.issued_at_us > old.issued_at_us
            }
        };
        if !self.attestations.get(&node).is_none_or(newer) {
            return FollowerUpdate::Ignored;
        }
        self.attestations.insert(node, attestation);
        self.confirm_candidate()
    }

    /// The number of voters of a state that attest it.
    fn attester_count(&self, state: &DecidedState) -> usize {
        let digest = state.digest();
        let attests = |voter: &&Voter| {
            self.attestations.get(&voter.node).is_some_and(|attestation| {
                (attestation.incarnation, attestation.number, attestation.digest)
                    == (voter.incarnation, state.number, digest)
            })
        };
        state.proposal.voters.iter().filter(attests).count()
    }

    /// Confirms the latest state that a majority of its voters attests, if there is one among the candidates.
    fn confirm_candidate(&mut self) -> FollowerUpdate {
        let attested =
            self.candidates.iter().filter(|state| self.attester_count(state) >= state.proposal.majority());
        let Some(latest) = attested.max_by_key(|state| (state.number.epoch, state.number.step)).cloned()
        else {
            return FollowerUpdate::Recorded;
        };
        let number = latest.number;
        self.confirmed = Some(latest);
        self.candidates.retain(|state| state.number.is_later(number));
        FollowerUpdate::StateAdvanced
    }

    /// When the lease on the confirmed state ends, on this router's clock. It has to be checked right before
    /// each action.
    pub fn lease_end(&self) -> Option<Moment> {
        let state = self.confirmed.as_ref()?;
        let digest = state.digest();
        let mut issue_times: Vec<Moment> = state
            .proposal
            .voters
            .iter()
            .filter_map(|voter| {
                let attestation = self.attestations.get(&voter.node)?;
                let matches = (attestation.incarnation, attestation.number, attestation.digest)
                    == (voter.incarnation, state.number, digest);
                matches.then_some(Moment::from_micros(attestation.issued_at_us))
            })
            .collect();
        issue_times.sort_by(|a, b| b.cmp(a));
        // The times of issue are sorted from new to old. The lease needs a majority of valid attestations, so
        // it ends with the oldest of the `majority()` newest ones.
        let oldest = issue_times.get(state.proposal.majority() - 1)?;
        Some(*oldest + self.lease.saturating_sub(self.clock_tolerance))
    }

    /// The state in force: the confirmed state while the lease on it lasts. Only then may it be acted on.
    pub fn in_force(&self, now: Moment) -> Option<&DecidedState> {
        self.lease_end().filter(|until| now < *until)?;
        self.confirmed.as_ref()
    }
}
