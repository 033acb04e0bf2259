//! The proposer: one ballot for one state number, in the two phases of Paxos.

use std::collections::BTreeMap;

use woadhook::Moment;

use crate::state::{Ballot, DecidedState, DecisionRecord, Proposal, StateNumber, Voter, unix_micros};

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Phase {
    /// The first phase: for each voter that promised, what it had accepted before.
    Preparing(BTreeMap<Voter, Option<(Ballot, Proposal)>>),
    /// The second phase: the proposal, and for each voter that accepted it, until when followers may rely on
    /// its attestations for the previous state.
    Accepting(Proposal, BTreeMap<Voter, Moment>),
}

/// The proposer's side of one ballot.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Proposer {
    pub number: StateNumber,
    pub ballot: Ballot,
    own_proposal: Proposal,
    /// The voters on this number. Answers of others are ignored.
    voters: Vec<Voter>,
    majority: usize,
    phase: Phase,
}

impl Proposer {
    /// Starts a ballot for the state that follows `after`. `None` if there is no further number.
    pub fn start(after: &DecidedState, ballot: Ballot, own_proposal: Proposal) -> Option<Self> {
        let voters = after.proposal.voters.clone();
        let (number, majority) = (after.number.next()?, after.proposal.majority());
        Some(Self {
            number,
            ballot,
            own_proposal,
            voters,
            majority,
            phase: Phase::Preparing(BTreeMap::new()),
        })
    }

    pub fn voters(&self) -> &[Voter] {
        &self.voters
    }

    fn is_expected(&self, voter: Voter, ballot: Ballot) -> bool {
        ballot == self.ballot && self.voters.contains(&voter)
    }

    /// The proposal of the second phase. `None` until a majority has promised.
    pub fn proposal_to_accept(&self) -> Option<&Proposal> {
        match &self.phase {
            Phase::Accepting(proposal, _) => Some(proposal),
            Phase::Preparing(_) => None,
        }
    }

    /// The voters that have not answered in the current phase.
    pub fn unanswered(&self) -> Vec<Voter> {
        let answered = |voter: &Voter| match &self.phase {
            Phase::Preparing(promises) => promises.contains_key(voter),
            Phase::Accepting(_, acceptances) => acceptances.contains_key(voter),
        };
        self.voters.iter().copied().filter(|voter| !answered(voter)).collect()
    }

    /// Records a voter's promise. Once a majority has promised, returns the proposal that the voters have to
    /// accept. If voters of this majority had accepted proposals, it is the one with the highest ballot, as
    /// it may have been decided already; otherwise it is this proposer's own proposal.
    pub fn receive_promise(
        &mut self, voter: Voter, ballot: Ballot, accepted: Option<(Ballot, Proposal)>,
    ) -> Option<Proposal> {
        if !self.is_expected(voter, ballot) {
            return None;
        }
        let Phase::Preparing(promises) = &mut self.phase else { return None };
        promises.insert(voter, accepted);
        if promises.len() < self.majority {
            return None;
        }
        let highest = promises.values().flatten().max_by_key(|(ballot, _)| *ballot);
        let proposal = highest.map_or_else(|| self.own_proposal.clone(), |(_, proposal)| proposal.clone());
        self.phase = Phase::Accepting(proposal.clone(), BTreeMap::new());
        Some(proposal)
    }

    /// Records a voter's acceptance. Returns the decided state once a majority has accepted.
    pub fn receive_accepted(
        &mut self, voter: Voter, ballot: Ballot, attested_until: Moment,
    ) -> Option<DecisionRecord> {
        if !self.is_expected(voter, ballot) {
            return None;
        }
        let Phase::Accepting(proposal, acceptances) = &mut self.phase else { return None };
        acceptances.insert(voter, attested_until);
        if acceptances.len() < self.majority {
            return None;
        }
        let lease_end = acceptances.values().max().copied().unwrap_or_default();
        let state = DecidedState { number: self.number, proposal: proposal.clone() };
        Some(DecisionRecord { state, previous_lease_end_us: unix_micros(lease_end) })
    }
}
