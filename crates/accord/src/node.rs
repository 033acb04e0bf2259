//! One router's part in the agreement: it enlists, votes, proposes, finds out who lives, and brings those behind up to date.

use std::collections::{BTreeMap, VecDeque};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use woadhook::{Moment, Span};

use crate::agreed::{Agreed, Ballot, Life, Name, Number, Proposal, Settled, VOTERS, Voter, micros};
use crate::follow::Warrant;
use crate::propose::Proposer;
use crate::vote::{Acceptor, Refusal};
use crate::words::{Said, read, write};

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
pub struct Pace {
    /// Between two words of a voter to the others.
    pub period: Span,
    /// How long a warrant counts.
    pub lease: Span,
    /// By how much clocks may differ.
    pub tolerance: Span,
    /// The longest content, in bytes.
    pub content: usize,
}

/// What happened, under a stable name for log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum What {
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

impl What {
    pub fn name(self) -> &'static str {
        match self {
            What::Enlisted => "accord_enlisted",
            What::Founded => "accord_founded",
            What::Decided => "accord_decided",
            What::Overtaken => "accord_overtaken",
            What::VoterGone => "accord_voter_gone",
            What::VoterBack => "accord_voter_back",
            What::Forgotten => "accord_forgotten",
            What::MajorityLost => "accord_majority_lost",
            What::MajorityBack => "accord_majority_back",
            What::TwoFoundings => "accord_two_foundings",
        }
    }
}

/// What the host is to do next.
#[derive(Clone, Debug, PartialEq)]
pub enum Do {
    /// To one other, whom the host knows by that name and who has to know that it comes from here.
    Send { to: Name, bytes: Vec<u8> },
    /// To be signed and told to all, with the state that it vouches for.
    Warrant(Warrant, Agreed),
    /// A state was decided, or learned of.
    Decided(Agreed),
    /// Worth a log line.
    Event { what: What, voter: Option<Name>, number: Option<Number> },
}

/// Why nothing is proposed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotProposed {
    /// This life has no vote.
    NoVote,
    /// Another state than the one that it was meant to follow is the latest.
    Moved,
    /// Longer than allowed.
    TooLong,
    /// A proposal of this node is under way.
    UnderWay,
}

/// What was last heard of another named voter.
#[derive(Clone, Copy, Debug)]
struct Heard {
    life: Life,
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
    pace: Pace,
    chance: Pcg32,
    acceptor: Acceptor,
    epoch: u64,
    /// Whom the operator's order names, by name.
    named: Vec<Name>,
    /// By name, as many lines as are named.
    heard: BTreeMap<Name, Heard>,
    /// Who would vote in an epoch that is not founded, with what each knows; as many lines as are named.
    enlisted: BTreeMap<Name, (Life, Option<Settled>)>,
    bid: Option<Bid>,
    /// What the host wants decided, and behind which state.
    want: Option<(Number, Vec<u8>)>,
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
    todo: VecDeque<Do>,
}

impl Node {
    /// `life` is drawn by the host, anew at each start.
    pub fn new(now: Moment, seed: u64, me: Voter, pace: Pace) -> Self {
        let mut chance = Pcg32::seed_from_u64(seed);
        let first = now + pace.period.times(chance.random::<f64>());
        Self {
            me,
            pace,
            chance,
            acceptor: Acceptor::new(me, pace.tolerance, pace.lease),
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
    pub fn latest(&self) -> Option<&Agreed> {
        self.acceptor.settled().map(|settled| &settled.agreed)
    }

    pub fn is_voter(&self) -> bool {
        self.acceptor.is_voter()
    }

    /// The operator's order: who votes in an epoch, one to seven. One of an epoch that is over says nothing; within the epoch
    /// the voters themselves change who they are, as far as the order names them.
    pub fn ordered(&mut self, now: Moment, epoch: u64, named: &[Name]) {
        if epoch < self.epoch || named.is_empty() || named.len() > VOTERS {
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
    pub fn released(&mut self, epoch: u64) {
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
    pub fn acts(&self, now: Moment) -> bool {
        let Some(agreed) = self.latest().filter(|_| self.fit(now)) else { return false };
        let mut before = agreed.proposal.voters.iter().take_while(|voter| voter.name < self.me.name);
        before.all(|voter| {
            !self.lives(now, *voter) || !self.heard.get(&voter.name).is_some_and(|heard| heard.fit)
        })
    }

    /// Whether a majority of the voters hears this one and is heard by it.
    fn fit(&self, now: Moment) -> bool {
        let Some(agreed) = self.latest().filter(|_| self.is_voter()) else { return false };
        let both = |voter: &&Voter| {
            let hears_me = || self.heard.get(&voter.name).is_some_and(|heard| heard.hears_me);
            **voter == self.me || (self.lives(now, **voter) && hears_me())
        };
        agreed.proposal.voters.iter().filter(both).count() >= agreed.proposal.majority()
    }

    fn lives(&self, now: Moment, voter: Voter) -> bool {
        let recent = |heard: &&Heard| now.since(heard.at) < self.pace.period.times(GONE_PERIODS);
        voter == self.me
            || self.heard.get(&voter.name).filter(recent).is_some_and(|heard| heard.life == voter.life)
    }

    /// Wants `content` decided as what follows `after`. What comes of it is [`Do::Decided`]; where another proposal came
    /// first, [`What::Overtaken`] says so, and the host looks again at what it wants.
    pub fn propose(&mut self, now: Moment, after: Number, content: Vec<u8>) -> Result<(), NotProposed> {
        let Some(latest) = self.latest().filter(|_| self.is_voter()) else { return Err(NotProposed::NoVote) };
        if latest.number != after {
            return Err(NotProposed::Moved);
        }
        if content.len() > self.pace.content {
            return Err(NotProposed::TooLong);
        }
        if self.want.is_some() {
            return Err(NotProposed::UnderWay);
        }
        self.want = Some((after, content));
        self.bid_at = self.bid_at.min(now);
        Ok(())
    }

    /// A word from another, whom the host knows to be `from`.
    pub fn heard(&mut self, now: Moment, from: Name, bytes: &[u8]) {
        if from == self.me.name || !self.named.contains(&from) {
            return;
        }
        let Some((life, said)) = read(bytes) else { return };
        let voter = Voter { name: from, life };
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
                if proposal.is_sound(self.pace.content) {
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
        let old = self.heard.get(&voter.name);
        let gone_after = self.pace.period.times(GONE_PERIODS);
        if old.is_some_and(|old| old.life > voter.life && now.since(old.at) < gone_after) {
            return false;
        }
        let same = old.filter(|old| old.life == voter.life);
        let (hears_me, fit) = same.map_or((false, false), |old| (old.hears_me, old.fit));
        let new = Heard { life: voter.life, at: now, gone: false, hears_me, fit };
        let old = self.heard.insert(voter.name, new);
        if old.is_some_and(|old| old.gone) {
            self.event(What::VoterBack, Some(voter.name));
        }
        true
    }

    fn event(&mut self, what: What, voter: Option<Name>) {
        let number = self.latest().map(|agreed| agreed.number);
        self.todo.push_back(Do::Event { what, voter, number });
    }

    /// Said once an epoch: each word of a voter of the other founding would say it again.
    fn two_foundings(&mut self, voter: Option<Name>) {
        if !std::mem::replace(&mut self.two_told, true) {
            self.event(What::TwoFoundings, voter);
        }
    }

    fn send(&mut self, to: Name, said: &Said) {
        self.todo.push_back(Do::Send { to, bytes: write(self.me.life, said) });
    }

    /// Who is behind is told the latest state; who is ahead will tell it.
    fn bring_up_to_date(&mut self, voter: Voter, knows: Option<Number>) {
        let Some(settled) = self.acceptor.settled() else { return };
        let own = settled.agreed.number;
        if knows.is_some_and(|knows| !knows.is_kin(own)) {
            self.two_foundings(Some(voter.name));
        } else if knows.is_none_or(|knows| own.is_later(knows)) {
            self.send(voter.name, &Said::Learn(settled.clone()));
        }
    }

    /// Another life offers its vote. Where the epoch has a state, it is told of it and named by the next one. Where it has
    /// none, the first of the named founds it once all of them know of none: not one less, as that one might remember.
    fn enlist(&mut self, now: Moment, voter: Voter, epoch: u64, knows: Option<Settled>) {
        if epoch != self.epoch {
            return;
        }
        if self.founded() {
            return self.bring_up_to_date(voter, knows.map(|known| known.agreed.number));
        }
        if let Some(settled) = &knows
            && settled.agreed.number.epoch == epoch
        {
            return self.learn(now, settled.clone());
        }
        // What could not be founded on would keep the epoch from being founded at all.
        let knows = knows.filter(|known| known.agreed.proposal.is_sound(self.pace.content));
        self.enlisted.insert(voter.name, (voter.life, knows));
        self.found(now);
    }

    fn founded(&self) -> bool {
        self.latest().is_some_and(|agreed| agreed.number.epoch == self.epoch)
    }

    /// The content of the latest earlier epoch that any of them knows is carried on.
    fn found(&mut self, now: Moment) {
        let all = self.named.iter().all(|name| *name == self.me.name || self.enlisted.contains_key(name));
        if self.named.first() != Some(&self.me.name) || self.founded() || !all {
            return;
        }
        let voter = |name: &Name| {
            let life = self.enlisted.get(name).map_or(self.me.life, |(life, _)| *life);
            Voter { name: *name, life }
        };
        let voters: Vec<Voter> = self.named.iter().map(voter).collect();
        let known = self.enlisted.values().filter_map(|(_, knows)| knows.as_ref());
        let latest = known.chain(self.acceptor.settled()).max_by_key(|known| {
            let number = known.agreed.number;
            (number.epoch, number.step)
        });
        let content = latest.map(|known| known.agreed.proposal.content.clone()).unwrap_or_default();
        let founding = self.chance.random();
        let number = Number { epoch: self.epoch, step: 0, founding };
        let agreed = Agreed { number, proposal: Proposal { voters, content } };
        // Warrants of the epoch before may be held for so long.
        let clear = micros(now + self.pace.lease + self.pace.tolerance);
        self.event(What::Founded, None);
        self.learn(now, Settled { agreed, clear });
        self.tell_all();
    }

    /// The other named.
    fn others(&self) -> Vec<Name> {
        self.named.iter().copied().filter(|name| *name != self.me.name).collect()
    }

    fn tell_all(&mut self) {
        let Some(settled) = self.acceptor.settled().cloned() else { return };
        for name in self.others() {
            self.send(name, &Said::Learn(settled.clone()));
        }
    }

    /// Takes in a decided state, from a voter or from what all routers tell each other.
    pub fn learn(&mut self, now: Moment, settled: Settled) {
        let number = settled.agreed.number;
        let sound = settled.agreed.proposal.is_sound(self.pace.content);
        // Threat: a clock far ahead in a clear time would hold up all further votes.
        let longest = micros(now + (self.pace.lease + self.pace.tolerance).times(2.0));
        // Only the operator's order begins an epoch; a state of one that is not ordered here yet comes again.
        if number.epoch != self.epoch || !sound || settled.clear > longest {
            return;
        }
        if self.latest().is_some_and(|known| !known.number.is_kin(number)) {
            return self.two_foundings(None);
        }
        let agreed = settled.agreed.clone();
        if !self.acceptor.learn(settled) {
            return;
        }
        self.enlisted.clear();
        self.failed = 0;
        let overtaken = self.want.as_ref().is_some_and(|(_, content)| *content != agreed.proposal.content);
        // A change of voters alone leaves the content, and what was wanted is to be looked at again.
        if self.want.take().is_some() && overtaken {
            self.event(What::Overtaken, None);
        }
        self.bid = None;
        (self.bid_at, self.warrant_at) = (now, now);
        self.todo.push_back(Do::Decided(agreed.clone()));
        self.event(What::Decided, None);
        if !self.is_voter()
            && self.named.contains(&self.me.name)
            && !std::mem::replace(&mut self.forgotten_told, true)
        {
            self.event(What::Forgotten, None);
        }
    }

    /// A proposer asks for a promise, or to have its proposal accepted.
    fn asked(&mut self, now: Moment, by: Voter, number: Number, ballot: Ballot, proposal: Option<Proposal>) {
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
            Ok(said) => self.send(by.name, &said),
            Err(Refusal::Outbid(by_whom)) => self.send(by.name, &Said::Outbid { number, by: by_whom }),
            Err(Refusal::Elsewhere) => {
                let behind = self.latest().is_some_and(|own| !number.is_later(own.number));
                if let Some(settled) = self.acceptor.settled().filter(|_| behind).cloned() {
                    self.send(by.name, &Said::Learn(settled));
                }
            }
            Err(Refusal::NoVote | Refusal::NotYet) => {}
        }
    }

    fn promised(
        &mut self, now: Moment, voter: Voter, number: Number, ballot: Ballot,
        accepted: Option<(Ballot, Proposal)>,
    ) {
        let sound = accepted.as_ref().is_none_or(|(_, proposal)| proposal.is_sound(self.pace.content));
        let own = self.bid.as_mut().map(|bid| &mut bid.proposer);
        let Some(bid) = own.filter(|bid| bid.number == number && sound) else { return };
        let Some(proposal) = bid.promised(voter, ballot, accepted) else { return };
        let others: Vec<Voter> = bid.voters().iter().copied().filter(|voter| *voter != self.me).collect();
        for other in others {
            self.send(other.name, &Said::Accept { number, ballot, proposal: proposal.clone() });
        }
        if let Ok(until) = self.acceptor.accept(now, number, ballot, proposal) {
            self.accepted(now, self.me, number, ballot, until);
        }
    }

    fn accepted(&mut self, now: Moment, voter: Voter, number: Number, ballot: Ballot, until: Moment) {
        let own = self.bid.as_mut().map(|bid| &mut bid.proposer);
        let Some(bid) = own.filter(|bid| bid.number == number) else { return };
        if let Some(settled) = bid.accepted(voter, ballot, until) {
            self.learn(now, settled);
            self.tell_all();
        }
    }

    /// How long answers to a bid may take: the way there and back is not known beforehand.
    fn patience(&self) -> Span {
        self.pace.period.times(BID_PERIODS * f64::from(1 << self.failed))
    }

    /// Asks those again that did not answer, a few times.
    fn ask_again(&mut self, now: Moment) {
        let due = now + self.patience();
        let Some(bid) = self.bid.as_mut().filter(|bid| bid.asked < ASKED) else {
            return self.give_up_bid(now);
        };
        (bid.due, bid.asked) = (due, bid.asked + 1);
        let (number, ballot) = (bid.proposer.number, bid.proposer.ballot);
        let said = match bid.proposer.deciding() {
            None => Said::Prepare { number, ballot },
            Some(proposal) => Said::Accept { number, ballot, proposal: proposal.clone() },
        };
        for voter in bid.proposer.open() {
            if voter != self.me {
                self.send(voter.name, &said);
            }
        }
    }

    fn give_up_bid(&mut self, now: Moment) {
        if self.bid.take().is_some() {
            self.failed = (self.failed + 1).min(DOUBLINGS);
            let pause = self.pace.period.times(f64::from(1 << self.failed) * self.chance.random::<f64>());
            self.bid_at = now + pause;
        }
    }

    /// What should follow the latest state: what the host wants, and the voters as they are named and live.
    fn due_proposal(&self, now: Moment) -> Option<Proposal> {
        let latest = self.latest().filter(|_| self.is_voter() && self.founded())?;
        let voters = self.due_voters(now, latest);
        let change = voters != latest.proposal.voters && self.acts(now);
        let voters = if change { voters } else { latest.proposal.voters.clone() };
        match &self.want {
            Some((_, content)) => Some(Proposal { voters, content: content.clone() }),
            None => change.then(|| Proposal { voters, content: latest.proposal.content.clone() }),
        }
    }

    /// The named, each in the life that was last heard. Of those never heard by this node, the life that the latest state
    /// names stays; a voter that the order names no more goes.
    fn due_voters(&self, now: Moment, latest: &Agreed) -> Vec<Voter> {
        let of_latest =
            |name: &Name| latest.proposal.voters.iter().find(|voter| voter.name == *name).copied();
        let due = self.named.iter().filter_map(|name| {
            if *name == self.me.name {
                return Some(self.me);
            }
            let recent = |heard: &&Heard| now.since(heard.at) < self.pace.period.times(GONE_PERIODS);
            let heard = self.heard.get(name).filter(recent);
            heard.map(|heard| Voter { name: *name, life: heard.life }).or_else(|| of_latest(name))
        });
        due.collect()
    }

    /// When [`next`](Self::next) is to be asked again, if nothing comes in.
    pub fn due(&self) -> Option<Moment> {
        if self.named.is_empty() {
            return None;
        }
        let bid = self.bid.as_ref().map(|bid| bid.due);
        let warrant = self.is_voter().then_some(self.warrant_at);
        [Some(self.beat_at), bid, warrant].into_iter().flatten().min()
    }

    pub fn next(&mut self, now: Moment) -> Option<Do> {
        if !self.named.is_empty() && self.todo.is_empty() {
            self.pass_time(now);
        }
        self.todo.pop_front()
    }

    fn pass_time(&mut self, now: Moment) {
        if now >= self.beat_at {
            self.beat_at = now + self.pace.period;
            self.beat(now);
        }
        if self.is_voter() && now >= self.warrant_at {
            self.warrant_at = now + self.pace.lease.times(1.0 / WARRANTS_A_LEASE);
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
            let (life, digest) = (self.me.life, agreed.digest());
            let warrant = Warrant { life, number, digest, said: micros(now) };
            self.todo.push_back(Do::Warrant(warrant, agreed));
        }
    }

    /// Tells the other named that this life goes on; offers its vote where it has none.
    fn beat(&mut self, now: Moment) {
        let named = self.named.contains(&self.me.name);
        let knows = self.acceptor.settled().cloned();
        let number = knows.as_ref().map(|known| known.agreed.number);
        let said = if named && !self.founded() {
            self.found(now);
            Said::Enlist { epoch: self.epoch, knows }
        } else {
            let recent =
                |(_, heard): &(&Name, &Heard)| now.since(heard.at) < self.pace.period.times(GONE_PERIODS);
            let hears =
                self.heard.iter().filter(recent).map(|(name, heard)| Voter { name: *name, life: heard.life });
            Said::Beat { knows: number, hears: hears.collect(), fit: self.fit(now) }
        };
        if named {
            for name in self.others() {
                self.send(name, &said);
            }
        }
        let gone_after = self.pace.period.times(GONE_PERIODS);
        let gone: Vec<Name> = self
            .heard
            .iter_mut()
            .filter(|(_, heard)| !heard.gone && now.since(heard.at) >= gone_after)
            .map(|(name, heard)| {
                heard.gone = true;
                *name
            })
            .collect();
        for name in gone {
            self.event(What::VoterGone, Some(name));
        }
        if !self.is_voter() {
            return;
        }
        let lost = !self.fit(now);
        if lost != std::mem::replace(&mut self.lost, lost) {
            self.event(if lost { What::MajorityLost } else { What::MajorityBack }, None);
        }
    }

    /// Bids for the next number if there is something to decide. Without a majority there is no use in it.
    fn begin_bid(&mut self, now: Moment) {
        let Some(want) = self.due_proposal(now) else { return };
        let Some(settled) = self.acceptor.settled() else { return };
        if now < settled.open_at(self.pace.tolerance) || self.lost {
            return;
        }
        self.round += 1;
        let ballot = Ballot { round: self.round, by: self.me };
        let Some(bid) = Proposer::bid(&settled.agreed, ballot, want) else { return };
        let (number, voters) = (bid.number, bid.voters().to_vec());
        let due = now + self.patience();
        self.bid = Some(Bid { proposer: bid, due, asked: 1 });
        for voter in voters {
            if voter != self.me {
                self.send(voter.name, &Said::Prepare { number, ballot });
            }
        }
        if let Ok(accepted) = self.acceptor.prepare(now, number, ballot) {
            self.promised(now, self.me, number, ballot, accepted);
        }
    }
}
