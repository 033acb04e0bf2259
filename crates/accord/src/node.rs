//! One router's part in the agreement: it enlists, votes, proposes, finds out who lives, and brings those behind up to date.

use std::collections::{BTreeMap, VecDeque};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use woadhook::{Moment, Span};

use crate::acceptor::{Acceptor, VoteRefusal};
use crate::follower::Attestation;
use crate::messages::{Said, read, write};
use crate::proposer::Proposer;
use crate::state::{
    Ballot, DecidedState, DecisionRecord, Incarnation, MAX_VOTERS, NodeId, Proposal, StateNumber, Voter,
    micros,
};

/// Periods without a word after which a voter counts as gone, and after which a majority counts as lost.
const GONE_PERIODS: f64 = 4.0;
/// Periods for the answers to a bid, before those that did not answer are asked again; doubled with each bid that failed.
const BID_PERIODS: f64 = 2.0;
const DOUBLINGS: u32 = 4;
/// So often they are asked, before the bid is given up.
const ASKED: u32 = 3;
/// Warrants are given so often in a lease.
const WARRANTS_A_LEASE: f64 = 4.0;

/// How often and how long, and how much.
#[derive(Clone, Copy, Debug)]
pub struct AccordConfig {
    /// Between two words of a voter to the others.
    pub heartbeat_period: Span,
    /// How long a warrant counts.
    pub lease: Span,
    /// By how much clocks may differ.
    pub clock_tolerance: Span,
    /// The longest content, in bytes.
    pub max_content_bytes: usize,
}

/// What happened, under a stable name for log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventKind {
    Enlisted,
    Founded,
    Decided,
    /// Another proposal was decided in place of the own one.
    Overtaken,
    VoterGone,
    VoterBack,
    /// This start is none of the lives that vote; it has to be named first.
    Forgotten,
    MajorityLost,
    MajorityBack,
    /// Two foundings of one epoch: the operator has to order another one.
    TwoFoundings,
}

impl EventKind {
    pub fn name(self) -> &'static str {
        match self {
            EventKind::Enlisted => "accord_enlisted",
            EventKind::Founded => "accord_founded",
            EventKind::Decided => "accord_decided",
            EventKind::Overtaken => "accord_overtaken",
            EventKind::VoterGone => "accord_voter_gone",
            EventKind::VoterBack => "accord_voter_back",
            EventKind::Forgotten => "accord_forgotten",
            EventKind::MajorityLost => "accord_majority_lost",
            EventKind::MajorityBack => "accord_majority_back",
            EventKind::TwoFoundings => "accord_two_foundings",
        }
    }
}

/// What the host is to do next.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// To one other, whom the host knows by that name and who has to know that it comes from here.
    Send { to: NodeId, bytes: Vec<u8> },
    /// To be signed and told to all, with the state that it vouches for.
    Attest(Attestation, DecidedState),
    /// A state was decided, or learned of.
    Decided(DecidedState),
    /// Worth a log line.
    Event { kind: EventKind, voter: Option<NodeId>, number: Option<StateNumber> },
}

/// Why nothing is proposed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProposeError {
    /// This incarnation has no vote.
    NotAVoter,
    /// Another state than the one that it was meant to follow is the latest.
    StateChanged,
    /// Longer than allowed.
    ContentTooLong,
    /// A proposal of this node is under way.
    ProposalPending,
}

/// What was last heard of another named voter.
#[derive(Clone, Copy, Debug)]
struct Heard {
    incarnation: Incarnation,
    at: Moment,
    gone: bool,
    /// Whether it hears this node, and whether it reaches a majority both ways, as it last said.
    hears_me: bool,
    fit: bool,
}

/// A bid that is out.
struct Bid {
    proposer: Proposer,
    due: Moment,
    asked: u32,
}

pub struct Node {
    me: Voter,
    pace: AccordConfig,
    chance: Pcg32,
    acceptor: Acceptor,
    epoch: u64,
    /// Whom the operator's order names, by name.
    named: Vec<NodeId>,
    /// By name, as many lines as are named.
    heard: BTreeMap<NodeId, Heard>,
    /// Who would vote in an epoch that is not founded, with what each knows; as many lines as are named.
    enlisted: BTreeMap<NodeId, (Incarnation, Option<DecisionRecord>)>,
    bid: Option<Bid>,
    /// What the host wants decided, and behind which state.
    want: Option<(StateNumber, Vec<u8>)>,
    round: u64,
    /// Bids in a row that came to nothing, and when the next may be made.
    failed: u32,
    bid_at: Moment,
    beat_at: Moment,
    warrant_at: Moment,
    lost: bool,
    forgotten_told: bool,
    two_told: bool,
    /// Emptied as the host pulls; each input adds a few at most.
    todo: VecDeque<Action>,
}

impl Node {
    /// `incarnation` is drawn by the host, anew at each start.
    pub fn new(now: Moment, seed: u64, me: Voter, pace: AccordConfig) -> Self {
        let mut chance = Pcg32::seed_from_u64(seed);
        let first = now + pace.heartbeat_period.mul_f64(chance.random::<f64>());
        Self {
            me,
            pace,
            chance,
            acceptor: Acceptor::new(me, pace.clock_tolerance, pace.lease),
            epoch: 0,
            named: Vec::new(),
            heard: BTreeMap::new(),
            enlisted: BTreeMap::new(),
            bid: None,
            want: None,
            round: 0,
            failed: 0,
            bid_at: now,
            beat_at: first,
            warrant_at: first,
            lost: false,
            forgotten_told: false,
            two_told: false,
            todo: VecDeque::new(),
        }
    }

    pub fn me(&self) -> Voter {
        self.me
    }

    /// The latest decided state that this node knows, in force or not.
    pub fn latest(&self) -> Option<&DecidedState> {
        self.acceptor.latest().map(|settled| &settled.state)
    }

    pub fn is_voter(&self) -> bool {
        self.acceptor.is_voter()
    }

    /// The operator's order: who votes in an epoch, one to seven. One of an epoch that is over says nothing; within the epoch
    /// the voters themselves change who they are, as far as the order names them.
    pub fn apply_voter_set(&mut self, now: Moment, epoch: u64, named: &[NodeId]) {
        if epoch < self.epoch || named.is_empty() || named.len() > MAX_VOTERS {
            return;
        }
        if epoch > self.epoch {
            self.epoch = epoch;
            (self.bid, self.want, self.lost, self.forgotten_told) = (None, None, false, false);
            self.two_told = false;
            self.enlisted.clear();
        }
        self.named = named.to_vec();
        self.named.sort();
        self.named.dedup();
        self.heard.retain(|name, _| self.named.contains(name));
        self.beat_at = now;
    }

    /// The order of an epoch does not name this node: it has no part in it.
    pub fn exclude_from_epoch(&mut self, epoch: u64) {
        if epoch > self.epoch {
            self.epoch = epoch;
            self.named.clear();
            self.heard.clear();
            self.enlisted.clear();
            (self.bid, self.want, self.lost) = (None, None, false);
        }
    }

    /// Whether this node is the one that proposes, as far as it sees: the first of the voters that live and reach a majority
    /// both ways. Threat: a first voter that hears all and is heard by few, or the reverse, would keep all others from it.
    pub fn is_designated_proposer(&self, now: Moment) -> bool {
        let Some(agreed) = self.latest().filter(|_| self.fit(now)) else { return false };
        let mut before = agreed.proposal.voters.iter().take_while(|voter| voter.node < self.me.node);
        before.all(|voter| {
            !self.lives(now, *voter) || !self.heard.get(&voter.node).is_some_and(|heard| heard.fit)
        })
    }

    /// Whether a majority of the voters hears this one and is heard by it.
    fn fit(&self, now: Moment) -> bool {
        let Some(agreed) = self.latest().filter(|_| self.is_voter()) else { return false };
        let both = |voter: &&Voter| {
            let hears_me = || self.heard.get(&voter.node).is_some_and(|heard| heard.hears_me);
            **voter == self.me || (self.lives(now, **voter) && hears_me())
        };
        agreed.proposal.voters.iter().filter(both).count() >= agreed.proposal.majority()
    }

    fn lives(&self, now: Moment, voter: Voter) -> bool {
        let recent = |heard: &&Heard| now.since(heard.at) < self.pace.heartbeat_period.mul_f64(GONE_PERIODS);
        voter == self.me
            || self
                .heard
                .get(&voter.node)
                .filter(recent)
                .is_some_and(|heard| heard.incarnation == voter.incarnation)
    }

    /// Wants `content` decided as what follows `after`. What comes of it is [`Action::Decided`]; where another proposal came
    /// first, [`EventKind::Overtaken`] says so, and the host looks again at what it wants.
    pub fn propose(&mut self, now: Moment, after: StateNumber, content: Vec<u8>) -> Result<(), ProposeError> {
        let Some(latest) = self.latest().filter(|_| self.is_voter()) else {
            return Err(ProposeError::NotAVoter);
        };
        if latest.number != after {
            return Err(ProposeError::StateChanged);
        }
        if content.len() > self.pace.max_content_bytes {
            return Err(ProposeError::ContentTooLong);
        }
        if self.want.is_some() {
            return Err(ProposeError::ProposalPending);
        }
        self.want = Some((after, content));
        self.bid_at = self.bid_at.min(now);
        Ok(())
    }

    /// A word from another, whom the host knows to be `from`.
    pub fn receive(&mut self, now: Moment, from: NodeId, bytes: &[u8]) {
        if from == self.me.node || !self.named.contains(&from) {
            return;
        }
        let Some((incarnation, said)) = read(bytes) else { return };
        let voter = Voter { node: from, incarnation };
        if !self.lives_on(now, voter) {
            return;
        }
        match said {
            Said::Enlist { epoch, knows } => self.enlist(now, voter, epoch, knows),
            Said::Beat { knows, hears, fit } => {
                if let Some(heard) = self.heard.get_mut(&from) {
                    (heard.hears_me, heard.fit) = (hears.contains(&self.me), fit);
                }
                self.bring_up_to_date(voter, knows);
            }
            Said::Prepare { number, ballot } => self.asked(now, voter, number, ballot, None),
            Said::Accept { number, ballot, proposal } => {
                if proposal.is_valid(self.pace.max_content_bytes) {
                    self.asked(now, voter, number, ballot, Some(proposal));
                }
            }
            Said::Promise { number, ballot, accepted } => self.promised(now, voter, number, ballot, accepted),
            Said::Accepted { number, ballot, attested_until } => {
                self.accepted(now, voter, number, ballot, Moment::from_micros(attested_until));
            }
            Said::Outbid { number, by } => {
                let own = self.bid.as_ref().map(|bid| (bid.proposer.number, bid.proposer.ballot));
                if own.is_some_and(|(own, ballot)| own == number && ballot < by) {
                    self.round = self.round.max(by.round);
                    self.give_up_bid(now);
                }
            }
            Said::Learn(settled) => self.learn(now, settled),
        }
    }

    /// Lives are drawn so that later starts are greater. What an earlier one said may still come in late, and counts for
    /// nothing while the later one lives; a clock that went back at a start is waited out.
    fn lives_on(&mut self, now: Moment, voter: Voter) -> bool {
        let old = self.heard.get(&voter.node);
        let gone_after = self.pace.heartbeat_period.mul_f64(GONE_PERIODS);
        if old.is_some_and(|old| old.incarnation > voter.incarnation && now.since(old.at) < gone_after) {
            return false;
        }
        let same = old.filter(|old| old.incarnation == voter.incarnation);
        let (hears_me, fit) = same.map_or((false, false), |old| (old.hears_me, old.fit));
        let new = Heard { incarnation: voter.incarnation, at: now, gone: false, hears_me, fit };
        let old = self.heard.insert(voter.node, new);
        if old.is_some_and(|old| old.gone) {
            self.event(EventKind::VoterBack, Some(voter.node));
        }
        true
    }

    fn event(&mut self, kind: EventKind, voter: Option<NodeId>) {
        let number = self.latest().map(|agreed| agreed.number);
        self.todo.push_back(Action::Event { kind, voter, number });
    }

    /// Said once an epoch: each word of a voter of the other founding would say it again.
    fn two_foundings(&mut self, voter: Option<NodeId>) {
        if !std::mem::replace(&mut self.two_told, true) {
            self.event(EventKind::TwoFoundings, voter);
        }
    }

    fn send(&mut self, to: NodeId, said: &Said) {
        self.todo.push_back(Action::Send { to, bytes: write(self.me.incarnation, said) });
    }

    /// Who is behind is told the latest state; who is ahead will tell it.
    fn bring_up_to_date(&mut self, voter: Voter, knows: Option<StateNumber>) {
        let Some(settled) = self.acceptor.latest() else { return };
        let own = settled.state.number;
        if knows.is_some_and(|knows| !knows.shares_history_with(own)) {
            self.two_foundings(Some(voter.node));
        } else if knows.is_none_or(|knows| own.is_later(knows)) {
            self.send(voter.node, &Said::Learn(settled.clone()));
        }
    }

    /// Another incarnation offers its vote. Where the epoch has a state, it is told of it and named by the next one. Where it has
    /// none, the first of the named founds it once all of them know of none: not one less, as that one might remember.
    fn enlist(&mut self, now: Moment, voter: Voter, epoch: u64, knows: Option<DecisionRecord>) {
        if epoch != self.epoch {
            return;
        }
        if self.founded() {
            return self.bring_up_to_date(voter, knows.map(|known| known.state.number));
        }
        if let Some(settled) = &knows
            && settled.state.number.epoch == epoch
        {
            return self.learn(now, settled.clone());
        }
        // What could not be founded on would keep the epoch from being founded at all.
        let knows = knows.filter(|known| known.state.proposal.is_valid(self.pace.max_content_bytes));
        self.enlisted.insert(voter.node, (voter.incarnation, knows));
        self.found(now);
    }

    fn founded(&self) -> bool {
        self.latest().is_some_and(|agreed| agreed.number.epoch == self.epoch)
    }

    /// The content of the latest earlier epoch that any of them knows is carried on.
    fn found(&mut self, now: Moment) {
        let all = self.named.iter().all(|name| *name == self.me.node || self.enlisted.contains_key(name));
        if self.named.first() != Some(&self.me.node) || self.founded() || !all {
            return;
        }
        let voter = |name: &NodeId| {
            let incarnation =
                self.enlisted.get(name).map_or(self.me.incarnation, |(incarnation, _)| *incarnation);
            Voter { node: *name, incarnation }
        };
        let voters: Vec<Voter> = self.named.iter().map(voter).collect();
        let known = self.enlisted.values().filter_map(|(_, knows)| knows.as_ref());
        let latest = known.chain(self.acceptor.latest()).max_by_key(|known| {
            let number = known.state.number;
            (number.epoch, number.step)
        });
        let content = latest.map(|known| known.state.proposal.content.clone()).unwrap_or_default();
        let founding = self.chance.random();
        let number = StateNumber { epoch: self.epoch, step: 0, founding_id: founding };
        let agreed = DecidedState { number, proposal: Proposal { voters, content } };
        // Warrants of the epoch before may be held for so long.
        let clear = micros(now + self.pace.lease + self.pace.clock_tolerance);
        self.event(EventKind::Founded, None);
        self.learn(now, DecisionRecord { state: agreed, previous_lease_end_us: clear });
        self.tell_all();
    }

    /// The other named.
    fn others(&self) -> Vec<NodeId> {
        self.named.iter().copied().filter(|name| *name != self.me.node).collect()
    }

    fn tell_all(&mut self) {
        let Some(settled) = self.acceptor.latest().cloned() else { return };
        for name in self.others() {
            self.send(name, &Said::Learn(settled.clone()));
        }
    }

    /// Takes in a decided state, from a voter or from what all routers tell each other.
    pub fn learn(&mut self, now: Moment, settled: DecisionRecord) {
        let number = settled.state.number;
        let sound = settled.state.proposal.is_valid(self.pace.max_content_bytes);
        // Threat: a clock far ahead in a clear time would hold up all further votes.
        let longest = micros(now + (self.pace.lease + self.pace.clock_tolerance).mul_f64(2.0));
        // Only the operator's order begins an epoch; a state of one that is not ordered here yet comes again.
        if number.epoch != self.epoch || !sound || settled.previous_lease_end_us > longest {
            return;
        }
        if self.latest().is_some_and(|known| !known.number.shares_history_with(number)) {
            return self.two_foundings(None);
        }
        let agreed = settled.state.clone();
        if !self.acceptor.learn(settled) {
            return;
        }
        self.enlisted.clear();
        self.failed = 0;
        let overtaken = self.want.as_ref().is_some_and(|(_, content)| *content != agreed.proposal.content);
        // A change of voters alone leaves the content, and what was wanted is to be looked at again.
        if self.want.take().is_some() && overtaken {
            self.event(EventKind::Overtaken, None);
        }
        self.bid = None;
        (self.bid_at, self.warrant_at) = (now, now);
        self.todo.push_back(Action::Decided(agreed.clone()));
        self.event(EventKind::Decided, None);
        if !self.is_voter()
            && self.named.contains(&self.me.node)
            && !std::mem::replace(&mut self.forgotten_told, true)
        {
            self.event(EventKind::Forgotten, None);
        }
    }

    /// A proposer asks for a promise, or to have its proposal accepted.
    fn asked(
        &mut self, now: Moment, by: Voter, number: StateNumber, ballot: Ballot, proposal: Option<Proposal>,
    ) {
        // Who heard of a later epoch votes in no earlier one.
        if ballot.by != by || number.epoch != self.epoch {
            return;
        }
        self.round = self.round.max(ballot.round);
        let said = match proposal {
            None => self.acceptor.prepare(now, number, ballot).map(|accepted| Said::Promise {
                number,
                ballot,
                accepted,
            }),
            Some(proposal) => self
                .acceptor
                .accept(now, number, ballot, proposal)
                .map(|until| Said::Accepted { number, ballot, attested_until: micros(until) }),
        };
        match said {
            Ok(said) => self.send(by.node, &said),
            Err(VoteRefusal::HigherBallot(by_whom)) => {
                self.send(by.node, &Said::Outbid { number, by: by_whom })
            }
            Err(VoteRefusal::OtherNumber) => {
                let behind = self.latest().is_some_and(|own| !number.is_later(own.number));
                if let Some(settled) = self.acceptor.latest().filter(|_| behind).cloned() {
                    self.send(by.node, &Said::Learn(settled));
                }
            }
            Err(VoteRefusal::NotAVoter | VoteRefusal::PreviousLeaseActive) => {}
        }
    }

    fn promised(
        &mut self, now: Moment, voter: Voter, number: StateNumber, ballot: Ballot,
        accepted: Option<(Ballot, Proposal)>,
    ) {
        let sound =
            accepted.as_ref().is_none_or(|(_, proposal)| proposal.is_valid(self.pace.max_content_bytes));
        let own = self.bid.as_mut().map(|bid| &mut bid.proposer);
        let Some(bid) = own.filter(|bid| bid.number == number && sound) else { return };
        let Some(proposal) = bid.receive_promise(voter, ballot, accepted) else { return };
        let others: Vec<Voter> = bid.voters().iter().copied().filter(|voter| *voter != self.me).collect();
        for other in others {
            self.send(other.node, &Said::Accept { number, ballot, proposal: proposal.clone() });
        }
        if let Ok(until) = self.acceptor.accept(now, number, ballot, proposal) {
            self.accepted(now, self.me, number, ballot, until);
        }
    }

    fn accepted(&mut self, now: Moment, voter: Voter, number: StateNumber, ballot: Ballot, until: Moment) {
        let own = self.bid.as_mut().map(|bid| &mut bid.proposer);
        let Some(bid) = own.filter(|bid| bid.number == number) else { return };
        if let Some(settled) = bid.receive_accepted(voter, ballot, until) {
            self.learn(now, settled);
            self.tell_all();
        }
    }

    /// How long answers to a bid may take: the way there and back is not known beforehand.
    fn patience(&self) -> Span {
        self.pace.heartbeat_period.mul_f64(BID_PERIODS * f64::from(1 << self.failed))
    }

    /// Asks those again that did not answer, a few times.
    fn ask_again(&mut self, now: Moment) {
        let due = now + self.patience();
        let Some(bid) = self.bid.as_mut().filter(|bid| bid.asked < ASKED) else {
            return self.give_up_bid(now);
        };
        (bid.due, bid.asked) = (due, bid.asked + 1);
        let (number, ballot) = (bid.proposer.number, bid.proposer.ballot);
        let said = match bid.proposer.proposal_to_accept() {
            None => Said::Prepare { number, ballot },
            Some(proposal) => Said::Accept { number, ballot, proposal: proposal.clone() },
        };
        for voter in bid.proposer.unanswered() {
            if voter != self.me {
                self.send(voter.node, &said);
            }
        }
    }

    fn give_up_bid(&mut self, now: Moment) {
        if self.bid.take().is_some() {
            self.failed = (self.failed + 1).min(DOUBLINGS);
            let pause =
                self.pace.heartbeat_period.mul_f64(f64::from(1 << self.failed) * self.chance.random::<f64>());
            self.bid_at = now + pause;
        }
    }

    /// What should follow the latest state: what the host wants, and the voters as they are named and live.
    fn due_proposal(&self, now: Moment) -> Option<Proposal> {
        let latest = self.latest().filter(|_| self.is_voter() && self.founded())?;
        let voters = self.due_voters(now, latest);
        let change = voters != latest.proposal.voters && self.is_designated_proposer(now);
        let voters = if change { voters } else { latest.proposal.voters.clone() };
        match &self.want {
            Some((_, content)) => Some(Proposal { voters, content: content.clone() }),
            None => change.then(|| Proposal { voters, content: latest.proposal.content.clone() }),
        }
    }

    /// The named, each in the incarnation that was last heard. Of those never heard by this node, the incarnation that the latest state
    /// names stays; a voter that the order names no more goes.
    fn due_voters(&self, now: Moment, latest: &DecidedState) -> Vec<Voter> {
        let of_latest =
            |name: &NodeId| latest.proposal.voters.iter().find(|voter| voter.node == *name).copied();
        let due = self.named.iter().filter_map(|name| {
            if *name == self.me.node {
                return Some(self.me);
            }
            let recent =
                |heard: &&Heard| now.since(heard.at) < self.pace.heartbeat_period.mul_f64(GONE_PERIODS);
            let heard = self.heard.get(name).filter(recent);
            heard
                .map(|heard| Voter { node: *name, incarnation: heard.incarnation })
                .or_else(|| of_latest(name))
        });
        due.collect()
    }

    /// When [`next_action`](Self::next_action) is to be asked again, if nothing comes in.
    pub fn next_deadline(&self) -> Option<Moment> {
        if self.named.is_empty() {
            return None;
        }
        let bid = self.bid.as_ref().map(|bid| bid.due);
        let warrant = self.is_voter().then_some(self.warrant_at);
        [Some(self.beat_at), bid, warrant].into_iter().flatten().min()
    }

    pub fn next_action(&mut self, now: Moment) -> Option<Action> {
        if !self.named.is_empty() && self.todo.is_empty() {
            self.pass_time(now);
        }
        self.todo.pop_front()
    }

    fn pass_time(&mut self, now: Moment) {
        if now >= self.beat_at {
            self.beat_at = now + self.pace.heartbeat_period;
            self.beat(now);
        }
        if self.is_voter() && now >= self.warrant_at {
            self.warrant_at = now + self.pace.lease.mul_f64(1.0 / WARRANTS_A_LEASE);
            self.warrant(now);
        }
        if self.bid.as_ref().is_some_and(|bid| now >= bid.due) {
            self.ask_again(now);
        }
        if self.bid.is_none() && now >= self.bid_at {
            self.begin_bid(now);
        }
    }

    fn warrant(&mut self, now: Moment) {
        if !self.founded() {
            return;
        }
        if let Some(number) = self.acceptor.attest(now)
            && let Some(agreed) = self.latest().cloned()
        {
            let (incarnation, digest) = (self.me.incarnation, agreed.digest());
            let warrant = Attestation { incarnation, number, digest, issued_at_us: micros(now) };
            self.todo.push_back(Action::Attest(warrant, agreed));
        }
    }

    /// Tells the other named that this incarnation goes on; offers its vote where it has none.
    fn beat(&mut self, now: Moment) {
        let named = self.named.contains(&self.me.node);
        let knows = self.acceptor.latest().cloned();
        let number = knows.as_ref().map(|known| known.state.number);
        let said = if named && !self.founded() {
            self.found(now);
            Said::Enlist { epoch: self.epoch, knows }
        } else {
            let recent = |(_, heard): &(&NodeId, &Heard)| {
                now.since(heard.at) < self.pace.heartbeat_period.mul_f64(GONE_PERIODS)
            };
            let hears = self
                .heard
                .iter()
                .filter(recent)
                .map(|(name, heard)| Voter { node: *name, incarnation: heard.incarnation });
            Said::Beat { knows: number, hears: hears.collect(), fit: self.fit(now) }
        };
        if named {
            for name in self.others() {
                self.send(name, &said);
            }
        }
        let gone_after = self.pace.heartbeat_period.mul_f64(GONE_PERIODS);
        let gone: Vec<NodeId> = self
            .heard
            .iter_mut()
            .filter(|(_, heard)| !heard.gone && now.since(heard.at) >= gone_after)
            .map(|(name, heard)| {
                heard.gone = true;
                *name
            })
            .collect();
        for name in gone {
            self.event(EventKind::VoterGone, Some(name));
        }
        if !self.is_voter() {
            return;
        }
        let lost = !self.fit(now);
        if lost != std::mem::replace(&mut self.lost, lost) {
            self.event(if lost { EventKind::MajorityLost } else { EventKind::MajorityBack }, None);
        }
    }

    /// Bids for the next number if there is something to decide. Without a majority there is no use in it.
    fn begin_bid(&mut self, now: Moment) {
        let Some(want) = self.due_proposal(now) else { return };
        let Some(settled) = self.acceptor.latest() else { return };
        if now < settled.voting_opens_at(self.pace.clock_tolerance) || self.lost {
            return;
        }
        self.round += 1;
        let ballot = Ballot { round: self.round, by: self.me };
        let Some(bid) = Proposer::start(&settled.state, ballot, want) else { return };
        let (number, voters) = (bid.number, bid.voters().to_vec());
        let due = now + self.patience();
        self.bid = Some(Bid { proposer: bid, due, asked: 1 });
        for voter in voters {
            if voter != self.me {
                self.send(voter.node, &Said::Prepare { number, ballot });
            }
        }
        if let Ok(accepted) = self.acceptor.prepare(now, number, ballot) {
            self.promised(now, self.me, number, ballot, accepted);
        }
    }
}
