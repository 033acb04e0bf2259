//! A simulation of voters and followers on a virtual network and clock: lost, duplicated and reordered
//! messages, network partitions in one or both directions, clock differences, and processes that are stopped,
//! killed and restarted.

use std::collections::{BTreeMap, BTreeSet};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use woadhook::{Moment, Span};
use woadhook_accord::{
    AccordConfig, Action, Attestation, DecidedState, EventKind, Follower, Incarnation, Node, NodeId,
    StateNumber, Voter,
};

/// Virtual time at the start: Unix time in microseconds.
pub const START: u64 = 1_780_000_000_000_000;

pub fn config() -> AccordConfig {
    AccordConfig {
        heartbeat_period: millis(100),
        lease: millis(6_000),
        clock_tolerance: millis(2_000),
        max_content_bytes: 640,
    }
}

pub fn millis(count: u64) -> Span {
    Span::from_micros(count * 1000)
}

pub struct Router {
    pub node: Option<Node>,
    pub follower: Follower,
    /// How far its clock is ahead of virtual time.
    pub clock_offset: Span,
    /// Until when its process is stopped. Messages that arrive meanwhile wait.
    pub stopped_until: Option<Moment>,
    queued: Vec<InFlight>,
    /// The state that it last acted on.
    pub acts_on: Option<StateNumber>,
}

#[derive(Clone)]
enum InFlight {
    Message { from: NodeId, bytes: Vec<u8> },
    Attestation { from: NodeId, attestation: Attestation, state: DecidedState },
}

pub struct Simulation {
    pub config: AccordConfig,
    pub now: Moment,
    pub rng: Pcg32,
    pub routers: Vec<Router>,
    pub loss_rate: f64,
    pub duplicate_rate: f64,
    pub max_delay_ms: u64,
    /// Links (from, to) that lose every message.
    pub cut_links: BTreeSet<(usize, usize)>,
    pub voters: usize,
    in_flight: BTreeMap<(Moment, u64), (usize, InFlight)>,
    sent_count: u64,
    epoch: u64,
    /// All states that were decided on any router, by number.
    pub decided: BTreeMap<StateNumber, DecidedState>,
    pub events: Vec<(usize, EventKind)>,
    /// The violation that the checks at each step found, if any.
    pub violation: Option<String>,
}

impl Simulation {
    /// Creates `router_count` routers, all of them followers and the first `voters` of them voters.
    pub fn new(seed: u64, voters: usize, router_count: usize) -> Self {
        Self::with_config(config(), seed, voters, router_count)
    }

    pub fn with_config(config: AccordConfig, seed: u64, voters: usize, router_count: usize) -> Self {
        let mut rng = Pcg32::seed_from_u64(seed);
        let now = Moment::from_micros(START);
        let routers = (0..router_count).map(|_| Router {
            node: None,
            follower: Follower::new(config.clock_tolerance, config.lease, config.max_content_bytes),
            clock_offset: config.clock_tolerance.mul_f64(rng.random::<f64>()),
            stopped_until: None,
            queued: Vec::new(),
            acts_on: None,
        });
        let routers = routers.collect();
        let mut simulation = Self {
            config,
            now,
            rng,
            routers,
            loss_rate: 0.0,
            duplicate_rate: 0.0,
            max_delay_ms: 20,
            cut_links: BTreeSet::new(),
            voters,
            in_flight: BTreeMap::new(),
            sent_count: 0,
            epoch: 1,
            decided: BTreeMap::new(),
            events: Vec::new(),
            violation: None,
        };
        (0..router_count).for_each(|router| simulation.start(router));
        simulation
    }

    pub fn clock(&self, router: usize) -> Moment {
        self.now + self.routers[router].clock_offset
    }

    fn node_ids(&self) -> Vec<NodeId> {
        (0..self.voters as u64).map(NodeId).collect()
    }

    /// Starts a router from nothing and applies the operator's voter set to it.
    pub fn start(&mut self, router: usize) {
        let now = self.clock(router);
        let incarnation = self.now.since(Moment::default()).micros() << 8 | self.rng.random_range(0..256_u64);
        let me = Voter { node: NodeId(router as u64), incarnation: Incarnation(incarnation) };
        let seed = self.rng.random();
        let mut follower =
            Follower::new(self.config.clock_tolerance, self.config.lease, self.config.max_content_bytes);
        follower.apply_voter_set(self.epoch, &self.node_ids());
        let mut node = Node::new(now, seed, me, self.config);
        if router < self.voters {
            node.apply_voter_set(now, self.epoch, &self.node_ids());
        }
        let target = &mut self.routers[router];
        (target.node, target.follower, target.stopped_until, target.acts_on) =
            (Some(node), follower, None, None);
        target.queued.clear();
    }

    pub fn kill(&mut self, router: usize) {
        self.routers[router].node = None;
        self.routers[router].acts_on = None;
        self.routers[router].queued.clear();
    }

    /// Begins another epoch with the same voter set, on all routers.
    pub fn order_epoch(&mut self) {
        self.epoch += 1;
        (0..self.routers.len()).for_each(|router| self.apply_voter_set(router, self.epoch));
    }

    /// Applies the voter set of an epoch on one router.
    pub fn apply_voter_set(&mut self, router: usize, epoch: u64) {
        let (now, nodes) = (self.clock(router), self.node_ids());
        let voter = router < self.voters;
        let target = &mut self.routers[router];
        target.follower.apply_voter_set(epoch, &nodes);
        if let Some(node) = target.node.as_mut().filter(|_| voter) {
            node.apply_voter_set(now, epoch, &nodes);
        }
    }

    fn transmit(&mut self, from: usize, to: usize, message: InFlight) {
        if self.cut_links.contains(&(from, to)) || self.rng.random_bool(self.loss_rate) {
            return;
        }
        let copies = 1 + usize::from(self.rng.random_bool(self.duplicate_rate));
        for _ in 0..copies {
            let delay = Span::from_micros(self.rng.random_range(200..self.max_delay_ms * 1000));
            self.sent_count += 1;
            self.in_flight.insert((self.now + delay, self.sent_count), (to, message.clone()));
        }
    }

    fn run_actions(&mut self, router: usize) {
        let now = self.clock(router);
        while let Some(action) = self.routers[router].node.as_mut().and_then(|node| node.next_action(now)) {
            let from = NodeId(router as u64);
            match action {
                Action::Send { to, bytes } => {
                    self.transmit(router, to.0 as usize, InFlight::Message { from, bytes })
                }
                Action::Attest(attestation, state) => {
                    for to in 0..self.routers.len() {
                        self.transmit(
                            router,
                            to,
                            InFlight::Attestation { from, attestation, state: state.clone() },
                        );
                    }
                }
                Action::Decided(state) => {
                    let first = self.decided.entry(state.number).or_insert_with(|| state.clone());
                    if *first != state {
                        self.violation =
                            Some(format!("two decided states with one number: {first:?} and {state:?}"));
                    }
                }
                Action::Event { kind, .. } => self.events.push((router, kind)),
            }
        }
    }

    fn deliver(&mut self, to: usize, message: InFlight) {
        let now = self.clock(to);
        let target = &mut self.routers[to];
        if target.node.is_none() {
            return;
        }
        if target.stopped_until.is_some() {
            return target.queued.push(message);
        }
        match message {
            InFlight::Message { from, bytes } => {
                if let Some(node) = &mut target.node {
                    node.receive(now, from, &bytes);
                }
            }
            InFlight::Attestation { from, attestation, state } => {
                target.follower.receive_attestation(now, from, attestation);
                target.follower.receive_state(state);
            }
        }
        self.run_actions(to);
    }

    /// Runs the simulation for this span: delivers messages in order of time, and has every running follower
    /// act on the state that is in force for it.
    pub fn run_for(&mut self, span: Span) {
        let until = self.now + span;
        while self.now < until {
            let step = (self.now + millis(20)).min(until);
            while let Some(entry) = self.in_flight.first_entry().filter(|entry| entry.key().0 <= step) {
                let ((at, _), (to, message)) = entry.remove_entry();
                self.now = self.now.max(at);
                self.deliver(to, message);
            }
            self.now = step;
            for router in 0..self.routers.len() {
                if self.routers[router].stopped_until.is_some_and(|until| until <= self.now) {
                    self.routers[router].stopped_until = None;
                    // Threat: a process that was stopped may act before it receives the messages that waited.
                    self.act_on_state(router);
                    for message in std::mem::take(&mut self.routers[router].queued) {
                        self.deliver(router, message);
                    }
                }
                if self.routers[router].stopped_until.is_none() {
                    self.run_actions(router);
                    self.act_on_state(router);
                }
            }
            self.check_invariants();
        }
    }

    fn act_on_state(&mut self, router: usize) {
        let now = self.clock(router);
        let target = &mut self.routers[router];
        target.acts_on =
            target.follower.in_force(now).filter(|_| target.node.is_some()).map(|state| state.number);
    }

    /// Checks that all running routers act on the same state or on two consecutive ones, and only on decided
    /// states.
    fn check_invariants(&mut self) {
        let acting: Vec<StateNumber> = self
            .routers
            .iter()
            .filter(|router| router.stopped_until.is_none())
            .filter_map(|router| router.acts_on)
            .filter(|number| number.epoch == self.epoch)
            .collect();
        let (earliest, latest) = (acting.iter().min_by_key(|n| n.step), acting.iter().max_by_key(|n| n.step));
        if let (Some(earliest), Some(latest)) = (earliest, latest)
            && latest.step > earliest.step.saturating_add(1)
        {
            self.violation
                .get_or_insert(format!("{earliest:?} and {latest:?} are acted on at the same time"));
        }
        for number in acting {
            if !self.decided.contains_key(&number) {
                self.violation.get_or_insert(format!("{number:?} is acted on and was not decided"));
            }
        }
    }

    /// The latest decided state.
    pub fn latest(&self) -> Option<&DecidedState> {
        self.decided.values().max_by_key(|state| (state.number.epoch, state.number.step))
    }

    /// Makes the first voter propose that regards itself as the designated proposer and may propose. Returns
    /// whether one did.
    pub fn propose(&mut self, content: &[u8]) -> bool {
        for router in 0..self.voters {
            let now = self.clock(router);
            if self.routers[router].stopped_until.is_some() {
                continue;
            }
            let Some(node) = &mut self.routers[router].node else { continue };
            let Some(after) = node.latest().map(|state| state.number) else { continue };
            if node.is_designated_proposer(now) && node.propose(now, after, content.to_vec()).is_ok() {
                self.run_actions(router);
                return true;
            }
        }
        false
    }

    /// Proposes the content until it is decided, for at most `max_span`. Returns whether it was decided.
    pub fn propose_until_decided(&mut self, content: &[u8], max_span: Span) -> bool {
        let deadline = self.now + max_span;
        while self.now < deadline {
            if self.latest().is_some_and(|state| state.proposal.content == content) {
                return true;
            }
            self.propose(content);
            self.run_for(millis(100));
        }
        false
    }

    /// Whether every running router acts on the latest state.
    pub fn all_follow(&self) -> bool {
        let latest = self.latest().map(|state| state.number);
        latest.is_some()
            && self
                .routers
                .iter()
                .filter(|router| router.node.is_some())
                .all(|router| router.acts_on == latest)
    }

    pub fn wait_until_all_follow(&mut self, max_span: Span) -> bool {
        let deadline = self.now + max_span;
        while self.now < deadline && !self.all_follow() {
            self.run_for(millis(100));
        }
        self.all_follow()
    }

    pub fn reported(&self, kind: EventKind) -> bool {
        self.events.iter().any(|(_, reported)| *reported == kind)
    }
}
