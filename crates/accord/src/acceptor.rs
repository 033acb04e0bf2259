//! What one voter has promised and accepted: all that has to be remembered while its incarnation lasts.

use woadhook::{Moment, Span};

use crate::state::{Ballot, DecisionRecord, Proposal, StateNumber, Voter};

/// Why a voter does not do what a proposer asks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum VoteRefusal {
    /// Another number is next here: the asker is behind, or this voter is.
    OtherNumber,
    /// This incarnation has no vote on it.
    NotAVoter,
    /// Warrants for the state before the latest may still be held.
    PreviousLeaseActive,
    /// A later bid was heard.
    HigherBallot(Ballot),
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Acceptor {
    me: Voter,
    tolerance: Span,
    /// How long a warrant counts.
    lease: Span,
    settled: Option<DecisionRecord>,
    promised: Option<Ballot>,
    accepted: Option<(Ballot, Proposal)>,
    /// Until when the last warrant that was given for the latest state counts, on the own clock; zero if none.
    attested_until: Moment,
}

impl Acceptor {
    /// One that knows nothing, as at the start of every incarnation.
    pub fn new(me: Voter, tolerance: Span, lease: Span) -> Self {
        let attested_until = Moment::default();
        Self { me, tolerance, lease, settled: None, promised: None, accepted: None, attested_until }
    }

    pub fn me(&self) -> Voter {
        self.me
    }

    pub fn latest(&self) -> Option<&DecisionRecord> {
        self.settled.as_ref()
    }

    pub fn is_voter(&self) -> bool {
        self.settled.as_ref().is_some_and(|settled| settled.state.proposal.contains_voter(self.me))
    }

    fn may_vote(&self, now: Moment, number: StateNumber, ballot: Ballot) -> Result<(), VoteRefusal> {
        let Some(settled) = &self.settled else { return Err(VoteRefusal::OtherNumber) };
        if settled.state.number.next() != Some(number) {
            return Err(VoteRefusal::OtherNumber);
        }
        if !self.is_voter() {
            return Err(VoteRefusal::NotAVoter);
        }
        // Threat: a follower that goes on with the state before the latest while its second next is decided.
        if now < settled.voting_opens_at(self.tolerance) {
            return Err(VoteRefusal::PreviousLeaseActive);
        }
        match self.promised.filter(|promised| *promised > ballot) {
            Some(later) => Err(VoteRefusal::HigherBallot(later)),
            None => Ok(()),
        }
    }

    /// Promises to accept no earlier bid; gives what was accepted so far.
    pub fn prepare(
        &mut self, now: Moment, number: StateNumber, ballot: Ballot,
    ) -> Result<Option<(Ballot, Proposal)>, VoteRefusal> {
        self.may_vote(now, number, ballot)?;
        self.promised = Some(ballot);
        Ok(self.accepted.clone())
    }

    /// Accepts a proposal; gives until when warrants of this voter for the state before may be held. None is given after.
    pub fn accept(
        &mut self, now: Moment, number: StateNumber, ballot: Ballot, proposal: Proposal,
    ) -> Result<Moment, VoteRefusal> {
        self.may_vote(now, number, ballot)?;
        self.promised = Some(ballot);
        self.accepted = Some((ballot, proposal));
        Ok(self.attested_until)
    }

    /// Takes in a decided state; whether it is later than what was known.
    pub fn learn(&mut self, settled: DecisionRecord) -> bool {
        let new = settled.state.number;
        let known = self.settled.as_ref().map(|known| known.state.number);
        if known.is_some_and(|known| !new.is_later(known) || !new.shares_history_with(known)) {
            return false;
        }
        (self.promised, self.accepted, self.attested_until) = (None, None, Moment::default());
        self.settled = Some(settled);
        true
    }

    /// Says that the latest known state is the latest, unless this voter has accepted what may follow it; gives its number.
    pub fn attest(&mut self, now: Moment) -> Option<StateNumber> {
        if !self.is_voter() || self.accepted.is_some() {
            return None;
        }
        self.attested_until = self.attested_until.max(now + self.lease);
        self.settled.as_ref().map(|settled| settled.state.number)
    }
}
