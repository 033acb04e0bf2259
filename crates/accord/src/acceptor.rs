//! The acceptor: what one voter has promised and accepted. This is all that an incarnation has to remember.

use woadhook::{Moment, Span};

use crate::state::{Ballot, DecisionRecord, Proposal, StateNumber, Voter};

/// Why a voter does not grant the request of a proposer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum VoteRefusal {
    /// The requested number does not follow the latest state that this voter knows: either the proposer or
    /// this voter lacks a later state.
    OtherNumber,
    /// This incarnation has no vote on the number.
    NotAVoter,
    /// Followers may still rely on attestations for the state before the latest.
    PreviousLeaseActive,
    /// A higher ballot was promised.
    HigherBallot(Ballot),
}

/// The acceptor of one voter, with the latest decided state that it knows.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Acceptor {
    me: Voter,
    clock_tolerance: Span,
    /// How long an attestation is valid.
    lease: Span,
    latest: Option<DecisionRecord>,
    promised: Option<Ballot>,
    accepted: Option<(Ballot, Proposal)>,
    /// When the last attestation for the latest state expires, on this voter's clock. Zero if there was none.
    attested_until: Moment,
}

impl Acceptor {
    /// An acceptor that knows no state, as at the start of every incarnation.
    pub fn new(me: Voter, clock_tolerance: Span, lease: Span) -> Self {
        let attested_until = Moment::default();
        Self { me, clock_tolerance, lease, latest: None, promised: None, accepted: None, attested_until }
    }

    pub fn me(&self) -> Voter {
        self.me
    }

    pub fn latest(&self) -> Option<&DecisionRecord> {
        self.latest.as_ref()
    }

    pub fn is_voter(&self) -> bool {
        self.latest.as_ref().is_some_and(|record| record.state.proposal.contains_voter(self.me))
    }

    fn check_vote(&self, now: Moment, number: StateNumber, ballot: Ballot) -> Result<(), VoteRefusal> {
        let Some(record) = &self.latest else { return Err(VoteRefusal::OtherNumber) };
        if record.state.number.next() != Some(number) {
            return Err(VoteRefusal::OtherNumber);
        }
        if !self.is_voter() {
            return Err(VoteRefusal::NotAVoter);
        }
        // Threat: a follower may still act on the state before the latest while the state that comes two
        // steps after it is decided.
        if now < record.voting_opens_at(self.clock_tolerance) {
            return Err(VoteRefusal::PreviousLeaseActive);
        }
        match self.promised.filter(|promised| *promised > ballot) {
            Some(higher) => Err(VoteRefusal::HigherBallot(higher)),
            None => Ok(()),
        }
    }

    /// Promises to accept no lower ballot. Returns what this voter has accepted so far.
    pub fn prepare(
        &mut self, now: Moment, number: StateNumber, ballot: Ballot,
    ) -> Result<Option<(Ballot, Proposal)>, VoteRefusal> {
        self.check_vote(now, number, ballot)?;
        self.promised = Some(ballot);
        Ok(self.accepted.clone())
    }

    /// Accepts a proposal. Returns until when followers may rely on this voter's attestations for the
    /// previous state; it issues no more of them afterwards.
    pub fn accept(
        &mut self, now: Moment, number: StateNumber, ballot: Ballot, proposal: Proposal,
    ) -> Result<Moment, VoteRefusal> {
        self.check_vote(now, number, ballot)?;
        self.promised = Some(ballot);
        self.accepted = Some((ballot, proposal));
        Ok(self.attested_until)
    }

    /// Records a decided state. Returns false if it is not later than the known one or belongs to another
    /// history.
    pub fn learn(&mut self, record: DecisionRecord) -> bool {
        let new = record.state.number;
        let known = self.latest.as_ref().map(|known| known.state.number);
        if known.is_some_and(|known| !new.is_later(known) || !new.shares_history_with(known)) {
            return false;
        }
        (self.promised, self.accepted, self.attested_until) = (None, None, Moment::default());
        self.latest = Some(record);
        true
    }

    /// Attests that the latest known state is the latest, and returns its number. `None` if this incarnation
    /// has no vote or has accepted a proposal for the state that follows.
    pub fn attest(&mut self, now: Moment) -> Option<StateNumber> {
        if !self.is_voter() || self.accepted.is_some() {
            return None;
        }
        self.attested_until = self.attested_until.max(now + self.lease);
        self.latest.as_ref().map(|record| record.state.number)
    }
}
