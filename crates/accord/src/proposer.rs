//! One bid of one proposer for one number.

use std::collections::BTreeMap;

use woadhook::Moment;

use crate::state::{Ballot, DecidedState, DecisionRecord, Proposal, StateNumber, Voter, micros};

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Stage {
    /// By voter, what each had accepted.
    Asking(BTreeMap<Voter, Option<(Ballot, Proposal)>>),
    /// By voter, until when its warrants for the state before may be held.
    Deciding(Proposal, BTreeMap<Voter, Moment>),
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Proposer {
    pub number: StateNumber,
    pub ballot: Ballot,
    want: Proposal,
    /// Those that vote on this number: no others' words count.
    voters: Vec<Voter>,
    majority: usize,
    stage: Stage,
}

impl Proposer {
    /// A bid for what follows a state. None behind the last of all numbers.
    pub fn start(after: &DecidedState, ballot: Ballot, want: Proposal) -> Option<Self> {
        let voters = after.proposal.voters.clone();
        let (number, majority) = (after.number.next()?, after.proposal.majority());
        Some(Self { number, ballot, want, voters, majority, stage: Stage::Asking(BTreeMap::new()) })
    }

    pub fn voters(&self) -> &[Voter] {
        &self.voters
    }

    fn counts(&self, voter: Voter, ballot: Ballot) -> bool {
        ballot == self.ballot && self.voters.contains(&voter)
    }

    /// What is being decided, once a majority has promised.
    pub fn proposal_to_accept(&self) -> Option<&Proposal> {
        match &self.stage {
            Stage::Deciding(proposal, _) => Some(proposal),
            Stage::Asking(_) => None,
        }
    }

    /// Those that have not said yet what this stage asks of them.
    pub fn unanswered(&self) -> Vec<Voter> {
        let said = |voter: &Voter| match &self.stage {
            Stage::Asking(promises) => promises.contains_key(voter),
            Stage::Deciding(_, acks) => acks.contains_key(voter),
        };
        self.voters.iter().copied().filter(|voter| !said(voter)).collect()
    }

    /// A voter promised. Gives what to have accepted, when a majority has: what may have been decided already, if any voter
    /// of that majority accepted something, else what this proposer wants.
    pub fn receive_promise(
        &mut self, voter: Voter, ballot: Ballot, accepted: Option<(Ballot, Proposal)>,
    ) -> Option<Proposal> {
        if !self.counts(voter, ballot) {
            return None;
        }
        let Stage::Asking(promises) = &mut self.stage else { return None };
        promises.insert(voter, accepted);
        if promises.len() < self.majority {
            return None;
        }
        let earlier = promises.values().flatten().max_by_key(|(ballot, _)| *ballot);
        let proposal = earlier.map_or_else(|| self.want.clone(), |(_, proposal)| proposal.clone());
        self.stage = Stage::Deciding(proposal.clone(), BTreeMap::new());
        Some(proposal)
    }

    /// A voter accepted. Gives the decided state, when a majority has.
    pub fn receive_accepted(
        &mut self, voter: Voter, ballot: Ballot, attested_until: Moment,
    ) -> Option<DecisionRecord> {
        if !self.counts(voter, ballot) {
            return None;
        }
        let Stage::Deciding(proposal, acks) = &mut self.stage else { return None };
        acks.insert(voter, attested_until);
        if acks.len() < self.majority {
            return None;
        }
        let clear = acks.values().max().copied().unwrap_or_default();
        let agreed = DecidedState { number: self.number, proposal: proposal.clone() };
        Some(DecisionRecord { state: agreed, previous_lease_end_us: micros(clear) })
    }
}
