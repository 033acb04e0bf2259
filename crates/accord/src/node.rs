//! One router as a voter and proposer: it offers to vote, votes, proposes, detects which voters are gone, and
//! sends the latest state to voters that know only an earlier one.

use std::collections::{BTreeMap, VecDeque};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use woadhook::{Moment, Span};

use crate::acceptor::{Acceptor, VoteRefusal};
use crate::follower::Attestation;
use crate::messages::{Message, decode, encode};
use crate::proposer::Proposer;
use crate::state::{
    Ballot, DecidedState, DecisionRecord, Incarnation, MAX_VOTERS, NodeId, Proposal, StateNumber, Voter,
    unix_micros,
};

/// Heartbeat periods without a message after which a voter counts as gone, and after which a majority counts
/// as lost.
const VOTER_GONE_AFTER_PERIODS: f64 = 4.0;
/// Heartbeat periods to wait for the answers to a ballot before the request is sent again to the voters that
/// did not answer. The wait doubles with each ballot that fails.
const ANSWER_TIMEOUT_PERIODS: f64 = 2.0;
/// The maximum number of times that the answer timeout doubles.
const MAX_TIMEOUT_DOUBLINGS: u32 = 4;
/// The maximum number of times that a ballot's request is sent before the ballot is abandoned.
const MAX_REQUEST_ATTEMPTS: u32 = 3;
/// The number of attestations that a voter issues in the time for which one is valid.
const ATTESTATIONS_PER_LEASE: f64 = 4.0;

/// The periods, tolerances and limits of the agreement protocol. Its name in settings and events is "accord".
#[derive(Clone, Copy, Debug)]
pub struct AccordConfig {
    /// The time between two heartbeats of a voter.
    pub heartbeat_period: Span,
    /// How long an attestation is valid.
    pub lease: Span,
    /// The maximum difference between the clocks of routers.
    pub clock_tolerance: Span,
    /// The maximum length of a state's content in bytes. The content is opaque to this package.
    pub max_content_bytes: usize,
}

/// Events that the host logs, each under a stable name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventKind {
    /// A router offered to vote in an epoch that is not founded. Nothing reports this event at present.
    Enlisted,
    /// This node founded the epoch: it set the epoch's first state.
    Founded,
    Decided,
    /// Another proposal was decided instead of this node's.
    Overtaken,
    VoterGone,
    VoterBack,
    /// The latest state does not name this incarnation of the node as a voter, although the operator's voter
    /// set contains the node. The node can't vote until a state names this incarnation. The log event is
    /// named `accord_forgotten`.
    Forgotten,
    MajorityLost,
    MajorityBack,
    /// The epoch was founded twice. The operator has to sign a voter set with a later epoch.
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

/// What the host has to do next.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the bytes to the router `to`, whose address the host knows. The receiver must be able to verify
    /// that this node sent them.
    Send { to: NodeId, bytes: Vec<u8> },
    /// Sign the attestation and send it to all routers, with the state that it attests.
    Attest(Attestation, DecidedState),
    /// Record that a state was decided here or learned from another voter.
    Decided(DecidedState),
    /// Write a log line.
    Event { kind: EventKind, voter: Option<NodeId>, number: Option<StateNumber> },
}

/// Why a proposal was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProposeError {
    /// This incarnation has no vote.
    NotAVoter,
    /// The latest state is not the one that the proposal was meant to follow.
    StateChanged,
    /// The content is longer than allowed.
    ContentTooLong,
    /// Another proposal of this node is under way.
    ProposalPending,
}

/// What this node knows of another router of the voter set from its last messages.
#[derive(Clone, Copy, Debug)]
struct PeerStatus {
    incarnation: Incarnation,
    received_at: Moment,
    gone: bool,
    /// Whether it receives messages of this node, and whether it has two-way contact with a majority, as of
    /// its last heartbeat.
    receives_from_me: bool,
    has_majority: bool,
}

/// The ballot of this node that is under way.
struct ActiveBallot {
    proposer: Proposer,
    retry_at: Moment,
    attempts: u32,
}

/// The state machine of one router that votes and proposes.
pub struct Node {
    me: Voter,
    config: AccordConfig,
    rng: Pcg32,
    acceptor: Acceptor,
    epoch: u64,
    /// The routers that the operator's voter set names, sorted.
    voter_set: Vec<NodeId>,
    /// At most one entry for each router of the voter set.
    peers: BTreeMap<NodeId, PeerStatus>,
    /// The routers that offer to vote in an epoch that is not founded yet, each with its incarnation and
    /// the latest state that it knows; at most one entry for each router of the voter set.
    enlisted: BTreeMap<NodeId, (Incarnation, Option<DecisionRecord>)>,
    active_ballot: Option<ActiveBallot>,
    /// The content that the host has proposed, and the number of the state that it is meant to follow.
    pending_content: Option<(StateNumber, Vec<u8>)>,
    /// The highest ballot round that this node has seen or used.
    highest_round: u64,
    /// The number of consecutive ballots that failed, at most [`MAX_TIMEOUT_DOUBLINGS`], and when the next
    /// one may start.
    failed_ballots: u32,
    next_ballot_at: Moment,
    next_heartbeat_at: Moment,
    next_attestation_at: Moment,
    majority_lost: bool,
    forgotten_reported: bool,
    two_foundings_reported: bool,
    /// Pending actions, which the host takes out one by one. Each input adds a few at most.
    actions: VecDeque<Action>,
}

impl Node {
    /// The host has to draw a new incarnation for `me` at each start.
    pub fn new(now: Moment, seed: u64, me: Voter, config: AccordConfig) -> Self {
        let mut rng = Pcg32::seed_from_u64(seed);
        let first_timer = now + config.heartbeat_period.mul_f64(rng.random::<f64>());
        Self {
            me,
            config,
            rng,
            acceptor: Acceptor::new(me, config.clock_tolerance, config.lease),
            epoch: 0,
            voter_set: Vec::new(),
            peers: BTreeMap::new(),
            enlisted: BTreeMap::new(),
            active_ballot: None,
            pending_content: None,
            highest_round: 0,
            failed_ballots: 0,
            next_ballot_at: now,
            next_heartbeat_at: first_timer,
            next_attestation_at: first_timer,
            majority_lost: false,
            forgotten_reported: false,
            two_foundings_reported: false,
            actions: VecDeque::new(),
        }
    }

    pub fn me(&self) -> Voter {
        self.me
    }

    /// The latest decided state that this node knows, whether or not it is in force.
    pub fn latest(&self) -> Option<&DecidedState> {
        self.acceptor.latest().map(|record| &record.state)
    }

    pub fn is_voter(&self) -> bool {
        self.acceptor.is_voter()
    }

    /// Applies the operator's voter set of an epoch, which has one to [`MAX_VOTERS`] routers. A voter set of
    /// an earlier epoch is ignored. Within the epoch the voters themselves decide which routers of the set
    /// vote, and in which incarnation.
    pub fn apply_voter_set(&mut self, now: Moment, epoch: u64, voter_set: &[NodeId]) {
        if epoch < self.epoch || voter_set.is_empty() || voter_set.len() > MAX_VOTERS {
            return;
        }
        if epoch > self.epoch {
            self.epoch = epoch;
            (self.active_ballot, self.pending_content, self.majority_lost, self.forgotten_reported) =
                (None, None, false, false);
            self.two_foundings_reported = false;
            self.enlisted.clear();
        }
        self.voter_set = voter_set.to_vec();
        self.voter_set.sort();
        self.voter_set.dedup();
        self.peers.retain(|node, _| self.voter_set.contains(node));
        self.next_heartbeat_at = now;
    }

    /// Applies a voter set that does not contain this node. The node neither votes nor proposes in the epoch.
    pub fn exclude_from_epoch(&mut self, epoch: u64) {
        if epoch > self.epoch {
            self.epoch = epoch;
            self.voter_set.clear();
            self.peers.clear();
            self.enlisted.clear();
            (self.active_ballot, self.pending_content, self.majority_lost) = (None, None, false);
        }
    }

    /// Whether this node is the one that should propose, as far as it can tell: the first, in the order of
    /// node ids, of the live voters that have two-way contact with a majority. Threat: without the condition
    /// on contact, a first voter whose messages reach only few others, or that receives from only few, would
    /// keep all others from proposing.
    pub fn is_designated_proposer(&self, now: Moment) -> bool {
        let Some(state) = self.latest().filter(|_| self.has_majority_contact(now)) else { return false };
        let mut earlier_voters = state.proposal.voters.iter().take_while(|voter| voter.node < self.me.node);
        earlier_voters.all(|voter| {
            !self.is_alive(now, *voter) || !self.peers.get(&voter.node).is_some_and(|peer| peer.has_majority)
        })
    }

    /// Whether this node is a voter and has two-way contact with a majority of the voters, itself included.
    fn has_majority_contact(&self, now: Moment) -> bool {
        let Some(state) = self.latest().filter(|_| self.is_voter()) else { return false };
        let two_way = |voter: &&Voter| {
            let receives_from_me = || self.peers.get(&voter.node).is_some_and(|peer| peer.receives_from_me);
            **voter == self.me || (self.is_alive(now, **voter) && receives_from_me())
        };
        state.proposal.voters.iter().filter(two_way).count() >= state.proposal.majority()
    }

    fn is_alive(&self, now: Moment, voter: Voter) -> bool {
        let recent = |peer: &&PeerStatus| {
            now.since(peer.received_at) < self.config.heartbeat_period.mul_f64(VOTER_GONE_AFTER_PERIODS)
        };
        voter == self.me
            || self
                .peers
                .get(&voter.node)
                .filter(recent)
                .is_some_and(|peer| peer.incarnation == voter.incarnation)
    }

    /// Asks for `content` to be decided as the state that follows `after`. A decision is reported as
    /// [`Action::Decided`]. If another proposal is decided first, [`EventKind::Overtaken`] reports it, and
    /// the host has to reconsider the content that it proposes.
    pub fn propose(&mut self, now: Moment, after: StateNumber, content: Vec<u8>) -> Result<(), ProposeError> {
        let Some(latest) = self.latest().filter(|_| self.is_voter()) else {
            return Err(ProposeError::NotAVoter);
        };
        if latest.number != after {
            return Err(ProposeError::StateChanged);
        }
        if content.len() > self.config.max_content_bytes {
            return Err(ProposeError::ContentTooLong);
        }
        if self.pending_content.is_some() {
            return Err(ProposeError::ProposalPending);
        }
        self.pending_content = Some((after, content));
        self.next_ballot_at = self.next_ballot_at.min(now);
        Ok(())
    }

    /// Receives a message from another router, which the host has authenticated as `from`.
    pub fn receive(&mut self, now: Moment, from: NodeId, bytes: &[u8]) {
        if from == self.me.node || !self.voter_set.contains(&from) {
            return;
        }
        let Some((incarnation, message)) = decode(bytes) else { return };
        let voter = Voter { node: from, incarnation };
        if !self.record_contact(now, voter) {
            return;
        }
        match message {
            Message::Enlist { epoch, latest } => self.handle_enlist(now, voter, epoch, latest),
            Message::Heartbeat { latest, receives_from, has_majority } => {
                if let Some(peer) = self.peers.get_mut(&from) {
                    (peer.receives_from_me, peer.has_majority) =
                        (receives_from.contains(&self.me), has_majority);
                }
                self.send_latest_if_behind(voter, latest);
            }
            Message::Prepare { number, ballot } => self.handle_request(now, voter, number, ballot, None),
            Message::Accept { number, ballot, proposal } => {
                if proposal.is_valid(self.config.max_content_bytes) {
                    self.handle_request(now, voter, number, ballot, Some(proposal));
                }
            }
            Message::Promise { number, ballot, accepted } => {
                self.handle_promise(now, voter, number, ballot, accepted)
            }
            Message::Accepted { number, ballot, attested_until_us } => {
                self.handle_accepted(now, voter, number, ballot, Moment::from_micros(attested_until_us));
            }
            Message::Reject { number, promised } => {
                let own_ballot = self
                    .active_ballot
                    .as_ref()
                    .map(|active| (active.proposer.number, active.proposer.ballot));
                if own_ballot.is_some_and(|(own_number, ballot)| own_number == number && ballot < promised) {
                    self.highest_round = self.highest_round.max(promised.round);
                    self.abandon_ballot(now);
                }
            }
            Message::Learn(record) => self.learn(now, record),
        }
    }

    /// Records that a message came from a voter. Returns false if the message must be ignored because a later
    /// incarnation of the voter is alive: messages of an earlier one may still arrive late. Later starts have
    /// greater incarnations. After a start at which the clock went back, the smaller incarnation is ignored
    /// until the old one counts as gone.
    fn record_contact(&mut self, now: Moment, voter: Voter) -> bool {
        let old = self.peers.get(&voter.node);
        let gone_after = self.config.heartbeat_period.mul_f64(VOTER_GONE_AFTER_PERIODS);
        if old
            .is_some_and(|old| old.incarnation > voter.incarnation && now.since(old.received_at) < gone_after)
        {
            return false;
        }
        let same = old.filter(|old| old.incarnation == voter.incarnation);
        let (receives_from_me, has_majority) =
            same.map_or((false, false), |old| (old.receives_from_me, old.has_majority));
        let new = PeerStatus {
            incarnation: voter.incarnation,
            received_at: now,
            gone: false,
            receives_from_me,
            has_majority,
        };
        let old = self.peers.insert(voter.node, new);
        if old.is_some_and(|old| old.gone) {
            self.push_event(EventKind::VoterBack, Some(voter.node));
        }
        true
    }

    fn push_event(&mut self, kind: EventKind, voter: Option<NodeId>) {
        let number = self.latest().map(|state| state.number);
        self.actions.push_back(Action::Event { kind, voter, number });
    }

    /// Reports the second founding once per epoch, as each message of a voter of the other founding would
    /// report it again.
    fn report_two_foundings(&mut self, voter: Option<NodeId>) {
        if !std::mem::replace(&mut self.two_foundings_reported, true) {
            self.push_event(EventKind::TwoFoundings, voter);
        }
    }

    fn send(&mut self, to: NodeId, message: &Message) {
        self.actions.push_back(Action::Send { to, bytes: encode(self.me.incarnation, message) });
    }

    /// Sends the latest state to a voter that knows only an earlier one. A voter that knows a later state
    /// will send that one.
    fn send_latest_if_behind(&mut self, voter: Voter, latest: Option<StateNumber>) {
        let Some(record) = self.acceptor.latest() else { return };
        let own = record.state.number;
        if latest.is_some_and(|latest| !latest.shares_history_with(own)) {
            self.report_two_foundings(Some(voter.node));
        } else if latest.is_none_or(|latest| own.is_later(latest)) {
            self.send(voter.node, &Message::Learn(record.clone()));
        }
    }

    /// Handles the offer of a router to vote. If the epoch has a state, the router is sent the latest one,
    /// and the next state will name it. If the epoch has none, the first router of the voter set founds it,
    /// once every router of the set has reported that it knows of none. It waits for every one of them, as a
    /// missing one might know of a state.
    fn handle_enlist(&mut self, now: Moment, voter: Voter, epoch: u64, latest: Option<DecisionRecord>) {
        if epoch != self.epoch {
            return;
        }
        if self.is_epoch_founded() {
            return self.send_latest_if_behind(voter, latest.map(|known| known.state.number));
        }
        if let Some(record) = &latest
            && record.state.number.epoch == epoch
        {
            return self.learn(now, record.clone());
        }
        // The first state of the epoch takes its content from the latest state that an enlisted router knows.
        // If that state were invalid, the epoch could not be founded at all.
        let latest = latest.filter(|known| known.state.proposal.is_valid(self.config.max_content_bytes));
        self.enlisted.insert(voter.node, (voter.incarnation, latest));
        self.found_epoch(now);
    }

    fn is_epoch_founded(&self) -> bool {
        self.latest().is_some_and(|state| state.number.epoch == self.epoch)
    }

    /// Founds the epoch if this node is the first router of the voter set and all others have enlisted. The
    /// epoch continues with the content of the latest state of an earlier epoch that any of them knows.
    fn found_epoch(&mut self, now: Moment) {
        let all_enlisted =
            self.voter_set.iter().all(|node| *node == self.me.node || self.enlisted.contains_key(node));
        if self.voter_set.first() != Some(&self.me.node) || self.is_epoch_founded() || !all_enlisted {
            return;
        }
        let voter = |node: &NodeId| {
            let incarnation =
                self.enlisted.get(node).map_or(self.me.incarnation, |(incarnation, _)| *incarnation);
            Voter { node: *node, incarnation }
        };
        let voters: Vec<Voter> = self.voter_set.iter().map(voter).collect();
        let known = self.enlisted.values().filter_map(|(_, latest)| latest.as_ref());
        let latest = known.chain(self.acceptor.latest()).max_by_key(|known| {
            let number = known.state.number;
            (number.epoch, number.step)
        });
        let content = latest.map(|known| known.state.proposal.content.clone()).unwrap_or_default();
        let founding_id = self.rng.random();
        let number = StateNumber { epoch: self.epoch, step: 0, founding_id };
        let state = DecidedState { number, proposal: Proposal { voters, content } };
        // The latest time at which followers may still rely on attestations of the previous epoch.
        let lease_end = unix_micros(now + self.config.lease + self.config.clock_tolerance);
        self.push_event(EventKind::Founded, None);
        self.learn(now, DecisionRecord { state, previous_lease_end_us: lease_end });
        self.broadcast_latest();
    }

    /// The routers of the voter set without this one.
    fn other_nodes(&self) -> Vec<NodeId> {
        self.voter_set.iter().copied().filter(|node| *node != self.me.node).collect()
    }

    fn broadcast_latest(&mut self) {
        let Some(record) = self.acceptor.latest().cloned() else { return };
        for node in self.other_nodes() {
            self.send(node, &Message::Learn(record.clone()));
        }
    }

    /// Receives a decided state, from a voter or from the messages that all routers exchange.
    pub fn learn(&mut self, now: Moment, record: DecisionRecord) {
        let number = record.state.number;
        let valid = record.state.proposal.is_valid(self.config.max_content_bytes);
        // Threat: a `previous_lease_end_us` from a clock that is far ahead would delay all further votes.
        let max_lease_end = unix_micros(now + (self.config.lease + self.config.clock_tolerance).mul_f64(2.0));
        // Only the operator's voter set begins an epoch. A state of an epoch whose voter set has not arrived
        // here yet is sent again later.
        if number.epoch != self.epoch || !valid || record.previous_lease_end_us > max_lease_end {
            return;
        }
        if self.latest().is_some_and(|known| !known.number.shares_history_with(number)) {
            return self.report_two_foundings(None);
        }
        let state = record.state.clone();
        if !self.acceptor.learn(record) {
            return;
        }
        self.enlisted.clear();
        self.failed_ballots = 0;
        let overtaken =
            self.pending_content.as_ref().is_some_and(|(_, content)| *content != state.proposal.content);
        // A state that only changes the voters and keeps the content also counts: the host has to reconsider
        // the content that it proposes.
        if self.pending_content.take().is_some() && overtaken {
            self.push_event(EventKind::Overtaken, None);
        }
        self.active_ballot = None;
        (self.next_ballot_at, self.next_attestation_at) = (now, now);
        self.actions.push_back(Action::Decided(state.clone()));
        self.push_event(EventKind::Decided, None);
        if !self.is_voter()
            && self.voter_set.contains(&self.me.node)
            && !std::mem::replace(&mut self.forgotten_reported, true)
        {
            self.push_event(EventKind::Forgotten, None);
        }
    }

    /// Handles a proposer's request for a promise or, with a proposal, for acceptance.
    fn handle_request(
        &mut self, now: Moment, proposer: Voter, number: StateNumber, ballot: Ballot,
        proposal: Option<Proposal>,
    ) {
        // A voter votes only in the latest epoch that it knows.
        if ballot.proposer != proposer || number.epoch != self.epoch {
            return;
        }
        self.highest_round = self.highest_round.max(ballot.round);
        let message = match proposal {
            None => self.acceptor.prepare(now, number, ballot).map(|accepted| Message::Promise {
                number,
                ballot,
                accepted,
            }),
            Some(proposal) => self
                .acceptor
                .accept(now, number, ballot, proposal)
                .map(|until| Message::Accepted { number, ballot, attested_until_us: unix_micros(until) }),
        };
        match message {
            Ok(message) => self.send(proposer.node, &message),
            Err(VoteRefusal::HigherBallot(promised)) => {
                self.send(proposer.node, &Message::Reject { number, promised })
            }
            // The request is not about the number that follows the latest state known here.
            Err(VoteRefusal::OtherNumber) => {
                let behind = self.latest().is_some_and(|own| !number.is_later(own.number));
                if let Some(record) = self.acceptor.latest().filter(|_| behind).cloned() {
                    self.send(proposer.node, &Message::Learn(record));
                }
            }
            Err(VoteRefusal::NotAVoter | VoteRefusal::PreviousLeaseActive) => {}
        }
    }

    fn handle_promise(
        &mut self, now: Moment, voter: Voter, number: StateNumber, ballot: Ballot,
        accepted: Option<(Ballot, Proposal)>,
    ) {
        let valid =
            accepted.as_ref().is_none_or(|(_, proposal)| proposal.is_valid(self.config.max_content_bytes));
        let own = self.active_ballot.as_mut().map(|active| &mut active.proposer);
        let Some(proposer) = own.filter(|proposer| proposer.number == number && valid) else { return };
        let Some(proposal) = proposer.receive_promise(voter, ballot, accepted) else { return };
        let others: Vec<Voter> =
            proposer.voters().iter().copied().filter(|voter| *voter != self.me).collect();
        for other in others {
            self.send(other.node, &Message::Accept { number, ballot, proposal: proposal.clone() });
        }
        if let Ok(until) = self.acceptor.accept(now, number, ballot, proposal) {
            self.handle_accepted(now, self.me, number, ballot, until);
        }
    }

    fn handle_accepted(
        &mut self, now: Moment, voter: Voter, number: StateNumber, ballot: Ballot, until: Moment,
    ) {
        let own = self.active_ballot.as_mut().map(|active| &mut active.proposer);
        let Some(proposer) = own.filter(|proposer| proposer.number == number) else { return };
        if let Some(record) = proposer.receive_accepted(voter, ballot, until) {
            self.learn(now, record);
            self.broadcast_latest();
        }
    }

    /// How long answers to a ballot may take. It grows with each failed ballot, as the round-trip time is not
    /// known beforehand.
    fn answer_timeout(&self) -> Span {
        self.config.heartbeat_period.mul_f64(ANSWER_TIMEOUT_PERIODS * f64::from(1 << self.failed_ballots))
    }

    /// Sends the ballot's request again to the voters that did not answer, or abandons the ballot after
    /// [`MAX_REQUEST_ATTEMPTS`].
    fn retry_ballot(&mut self, now: Moment) {
        let retry_at = now + self.answer_timeout();
        let Some(active) =
            self.active_ballot.as_mut().filter(|active| active.attempts < MAX_REQUEST_ATTEMPTS)
        else {
            return self.abandon_ballot(now);
        };
        (active.retry_at, active.attempts) = (retry_at, active.attempts + 1);
        let (number, ballot) = (active.proposer.number, active.proposer.ballot);
        let message = match active.proposer.proposal_to_accept() {
            None => Message::Prepare { number, ballot },
            Some(proposal) => Message::Accept { number, ballot, proposal: proposal.clone() },
        };
        for voter in active.proposer.unanswered() {
            if voter != self.me {
                self.send(voter.node, &message);
            }
        }
    }

    /// Abandons the ballot and sets a random pause before the next one, which grows with each failure.
    fn abandon_ballot(&mut self, now: Moment) {
        if self.active_ballot.take().is_some() {
            self.failed_ballots = (self.failed_ballots + 1).min(MAX_TIMEOUT_DOUBLINGS);
            let pause = self
                .config
                .heartbeat_period
                .mul_f64(f64::from(1 << self.failed_ballots) * self.rng.random::<f64>());
            self.next_ballot_at = now + pause;
        }
    }

    /// The proposal for the state that follows the latest one, if anything is to change: the content that the
    /// host wants and, if this node is the designated proposer, the voters from
    /// [`next_voters`](Self::next_voters).
    fn next_proposal(&self, now: Moment) -> Option<Proposal> {
        let latest = self.latest().filter(|_| self.is_voter() && self.is_epoch_founded())?;
        let voters = self.next_voters(now, latest);
        let change = voters != latest.proposal.voters && self.is_designated_proposer(now);
        let voters = if change { voters } else { latest.proposal.voters.clone() };
        match &self.pending_content {
            Some((_, content)) => Some(Proposal { voters, content: content.clone() }),
            None => change.then(|| Proposal { voters, content: latest.proposal.content.clone() }),
        }
    }

    /// The routers of the voter set, each in the incarnation that sent the last message to this node. A
    /// router that sent none recently keeps the incarnation that the latest state names, or is left out if
    /// the state does not name it. A voter that is no longer in the voter set is left out.
    fn next_voters(&self, now: Moment, latest: &DecidedState) -> Vec<Voter> {
        let in_latest_state =
            |node: &NodeId| latest.proposal.voters.iter().find(|voter| voter.node == *node).copied();
        let voters = self.voter_set.iter().filter_map(|node| {
            if *node == self.me.node {
                return Some(self.me);
            }
            let recent = |peer: &&PeerStatus| {
                now.since(peer.received_at) < self.config.heartbeat_period.mul_f64(VOTER_GONE_AFTER_PERIODS)
            };
            let peer = self.peers.get(node).filter(recent);
            peer.map(|peer| Voter { node: *node, incarnation: peer.incarnation })
                .or_else(|| in_latest_state(node))
        });
        voters.collect()
    }

    /// When to call [`next_action`](Self::next_action) again if no input arrives before.
    pub fn next_deadline(&self) -> Option<Moment> {
        if self.voter_set.is_empty() {
            return None;
        }
        let retry = self.active_ballot.as_ref().map(|active| active.retry_at);
        let attestation = self.is_voter().then_some(self.next_attestation_at);
        [Some(self.next_heartbeat_at), retry, attestation].into_iter().flatten().min()
    }

    /// The next action for the host. `None` if there is nothing more to do now.
    pub fn next_action(&mut self, now: Moment) -> Option<Action> {
        if !self.voter_set.is_empty() && self.actions.is_empty() {
            self.run_timers(now);
        }
        self.actions.pop_front()
    }

    fn run_timers(&mut self, now: Moment) {
        if now >= self.next_heartbeat_at {
            self.next_heartbeat_at = now + self.config.heartbeat_period;
            self.send_heartbeat(now);
        }
        if self.is_voter() && now >= self.next_attestation_at {
            self.next_attestation_at = now + self.config.lease.mul_f64(1.0 / ATTESTATIONS_PER_LEASE);
            self.issue_attestation(now);
        }
        if self.active_ballot.as_ref().is_some_and(|active| now >= active.retry_at) {
            self.retry_ballot(now);
        }
        if self.active_ballot.is_none() && now >= self.next_ballot_at {
            self.start_ballot(now);
        }
    }

    fn issue_attestation(&mut self, now: Moment) {
        if !self.is_epoch_founded() {
            return;
        }
        if let Some(number) = self.acceptor.attest(now)
            && let Some(state) = self.latest().cloned()
        {
            let (incarnation, digest) = (self.me.incarnation, state.digest());
            let attestation = Attestation { incarnation, number, digest, issued_at_us: unix_micros(now) };
            self.actions.push_back(Action::Attest(attestation, state));
        }
    }

    /// Sends a heartbeat to the other routers of the voter set, or an offer to vote while the epoch is not
    /// founded. Reports voters that are gone and a majority that is lost or back.
    fn send_heartbeat(&mut self, now: Moment) {
        let in_voter_set = self.voter_set.contains(&self.me.node);
        let latest = self.acceptor.latest().cloned();
        let number = latest.as_ref().map(|known| known.state.number);
        let message = if in_voter_set && !self.is_epoch_founded() {
            self.found_epoch(now);
            Message::Enlist { epoch: self.epoch, latest }
        } else {
            let recent = |(_, peer): &(&NodeId, &PeerStatus)| {
                now.since(peer.received_at) < self.config.heartbeat_period.mul_f64(VOTER_GONE_AFTER_PERIODS)
            };
            let receives_from = self
                .peers
                .iter()
                .filter(recent)
                .map(|(node, peer)| Voter { node: *node, incarnation: peer.incarnation });
            Message::Heartbeat {
                latest: number,
                receives_from: receives_from.collect(),
                has_majority: self.has_majority_contact(now),
            }
        };
        if in_voter_set {
            for node in self.other_nodes() {
                self.send(node, &message);
            }
        }
        let gone_after = self.config.heartbeat_period.mul_f64(VOTER_GONE_AFTER_PERIODS);
        let gone: Vec<NodeId> = self
            .peers
            .iter_mut()
            .filter(|(_, peer)| !peer.gone && now.since(peer.received_at) >= gone_after)
            .map(|(node, peer)| {
                peer.gone = true;
                *node
            })
            .collect();
        for node in gone {
            self.push_event(EventKind::VoterGone, Some(node));
        }
        if !self.is_voter() {
            return;
        }
        let lost = !self.has_majority_contact(now);
        if lost != std::mem::replace(&mut self.majority_lost, lost) {
            self.push_event(if lost { EventKind::MajorityLost } else { EventKind::MajorityBack }, None);
        }
    }

    /// Starts a ballot for the next number if there is something to decide, the leases of the previous state
    /// have ended and a majority is in contact. Without a majority the ballot could not succeed.
    fn start_ballot(&mut self, now: Moment) {
        let Some(proposal) = self.next_proposal(now) else { return };
        let Some(record) = self.acceptor.latest() else { return };
        if now < record.voting_opens_at(self.config.clock_tolerance) || self.majority_lost {
            return;
        }
        self.highest_round += 1;
        let ballot = Ballot { round: self.highest_round, proposer: self.me };
        let Some(proposer) = Proposer::start(&record.state, ballot, proposal) else { return };
        let (number, voters) = (proposer.number, proposer.voters().to_vec());
        let retry_at = now + self.answer_timeout();
        self.active_ballot = Some(ActiveBallot { proposer, retry_at, attempts: 1 });
        for voter in voters {
            if voter != self.me {
                self.send(voter.node, &Message::Prepare { number, ballot });
            }
        }
        if let Ok(accepted) = self.acceptor.prepare(now, number, ballot) {
            self.handle_promise(now, self.me, number, ballot, accepted);
        }
    }
}
