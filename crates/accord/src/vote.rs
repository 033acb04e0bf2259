//! What one voter has promised and accepted: all that has to be remembered while its life lasts.

use woadhook::{Moment, Span};

use crate::agreed::{Ballot, Number, Proposal, Settled, Voter};

/// Why a voter does not do what a proposer asks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Refusal {
    /// Another number is next here: the asker is behind, or this voter is.
    Elsewhere,
    /// This life has no vote on it.
    NoVote,
    /// Warrants for the state before the latest may still be held.
    NotYet,
    /// A later bid was heard.
    Outbid(Ballot),
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Acceptor {
    me: Voter,
    tolerance: Span,
    /// How long a warrant counts.
    lease: Span,
    settled: Option<Settled>,
    promised: Option<Ballot>,
    accepted: Option<(Ballot, Proposal)>,
    /// Until when the last warrant that was given for the latest state counts, on the own clock; zero if none.
    attested_until: Moment,
}

impl Acceptor {
    /// One that knows nothing, as at the start of every life.
    pub fn new(me: Voter, tolerance: Span, lease: Span) -> Self {
        let attested_until = Moment::default();
        Self { me, tolerance, lease, settled: None, promised: None, accepted: None, attested_until }
    }

    pub fn me(&self) -> Voter {
        self.me
    }

    pub fn settled(&self) -> Option<&Settled> {
        self.settled.as_ref()
    }

    pub fn is_voter(&self) -> bool {
        self.settled.as_ref().is_some_and(|settled| settled.agreed.proposal.has(self.me))
    }

    fn may_vote(&self, now: Moment, number: Number, ballot: Ballot) -> Result<(), Refusal> {
        let Some(settled) = &self.settled else { return Err(Refusal::Elsewhere) };
        if settled.agreed.number.next() != Some(number) {
            return Err(Refusal::Elsewhere);
        }
        if !self.is_voter() {
            return Err(Refusal::NoVote);
        }
        // Threat: a follower that goes on with the state before the latest while its second next is decided.
        if now < settled.open_at(self.tolerance) {
            return Err(Refusal::NotYet);
        }
        match self.promised.filter(|promised| *promised > ballot) {
            Some(later) => Err(Refusal::Outbid(later)),
            None => Ok(()),
        }
    }

    /// Promises to accept no earlier bid; gives what was accepted so far.
    pub fn prepare(
        &mut self, now: Moment, number: Number, ballot: Ballot,
    ) -> Result<Option<(Ballot, Proposal)>, Refusal> {
        self.may_vote(now, number, ballot)?;
        self.promised = Some(ballot);
        Ok(self.accepted.clone())
    }

    /// Accepts a proposal; gives until when warrants of this voter for the state before may be held. None is given after.
    pub fn accept(
        &mut self, now: Moment, number: Number, ballot: Ballot, proposal: Proposal,
    ) -> Result<Moment, Refusal> {
        self.may_vote(now, number, ballot)?;
        self.promised = Some(ballot);
        self.accepted = Some((ballot, proposal));
        Ok(self.attested_until)
    }

    /// Takes in a decided state; whether it is later than what was known.
    pub fn learn(&mut self, settled: Settled) -> bool {
        let new = settled.agreed.number;
        let known = self.settled.as_ref().map(|known| known.agreed.number);
        if known.is_some_and(|known| !new.is_later(known) || !new.is_kin(known)) {
            return false;
        }
        (self.promised, self.accepted, self.attested_until) = (None, None, Moment::default());
        self.settled = Some(settled);
        true
    }

    /// Says that the latest known state is the latest, unless this voter has accepted what may follow it; gives its number.
    pub fn attest(&mut self, now: Moment) -> Option<Number> {
        if !self.is_voter() || self.accepted.is_some() {
            return None;
        }
        self.attested_until = self.attested_until.max(now + self.lease);
        self.settled.as_ref().map(|settled| settled.agreed.number)
    }
}
