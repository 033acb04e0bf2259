//! Voters and followers on a virtual network and clock: loss, repeats, reordering, cuts one way or both, clocks apart,
//! processes stopped, killed and started from nothing.

use std::collections::{BTreeMap, BTreeSet};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use woadhook::{Moment, Span};
use woadhook_accord::{
    AccordConfig, Action, Attestation, DecidedState, EventKind, Follower, Incarnation, Node, NodeId,
    StateNumber, Voter,
};

pub const START: u64 = 1_780_000_000_000_000;

pub fn pace() -> AccordConfig {
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

pub struct Place {
    pub node: Option<Node>,
    pub follower: Follower,
    /// By how much its clock is ahead of the slowest.
    pub ahead: Span,
    /// Until when its process stands still; what came meanwhile waits.
    pub stopped: Option<Moment>,
    waiting: Vec<Flight>,
    /// What it last acted on.
    pub acts_on: Option<StateNumber>,
}

#[derive(Clone)]
enum Flight {
    Words { from: NodeId, bytes: Vec<u8> },
    Warrant { from: NodeId, warrant: Attestation, agreed: DecidedState },
}

pub struct World {
    pub pace: AccordConfig,
    pub now: Moment,
    pub chance: Pcg32,
    pub places: Vec<Place>,
    pub loss: f64,
    pub twice: f64,
    pub slowest: u64,
    /// Pairs between which nothing passes, one way.
    pub cut: BTreeSet<(usize, usize)>,
    pub voters: usize,
    flying: BTreeMap<(Moment, u64), (usize, Flight)>,
    count: u64,
    epoch: u64,
    /// Every state that was decided anywhere, by number.
    pub decided: BTreeMap<StateNumber, DecidedState>,
    pub told: Vec<(usize, EventKind)>,
    /// Checked at each step; what was found broken first.
    pub broken: Option<String>,
}

impl World {
    /// `voters` voters among `places` routers; each follows too.
    pub fn new(seed: u64, voters: usize, places: usize) -> Self {
        Self::with(pace(), seed, voters, places)
    }

    pub fn with(pace: AccordConfig, seed: u64, voters: usize, places: usize) -> Self {
        let mut chance = Pcg32::seed_from_u64(seed);
        let now = Moment::from_micros(START);
        let all = (0..places).map(|_| Place {
            node: None,
            follower: Follower::new(pace.clock_tolerance, pace.lease, pace.max_content_bytes),
            ahead: pace.clock_tolerance.mul_f64(chance.random::<f64>()),
            stopped: None,
            waiting: Vec::new(),
            acts_on: None,
        });
        let all = all.collect();
        let mut new = Self {
            pace,
            now,
            chance,
            places: all,
            loss: 0.0,
            twice: 0.0,
            slowest: 20,
            cut: BTreeSet::new(),
            voters,
            flying: BTreeMap::new(),
            count: 0,
            epoch: 1,
            decided: BTreeMap::new(),
            told: Vec::new(),
            broken: None,
        };
        (0..places).for_each(|place| new.start(place));
        new
    }

    pub fn clock(&self, place: usize) -> Moment {
        self.now + self.places[place].ahead
    }

    fn names(&self) -> Vec<NodeId> {
        (0..self.voters as u64).map(NodeId).collect()
    }

    /// Starts a router from nothing, told the operator's order.
    pub fn start(&mut self, place: usize) {
        let now = self.clock(place);
        let drawn = self.now.since(Moment::default()).micros() << 8 | self.chance.random_range(0..256_u64);
        let me = Voter { node: NodeId(place as u64), incarnation: Incarnation(drawn) };
        let seed = self.chance.random();
        let mut follower =
            Follower::new(self.pace.clock_tolerance, self.pace.lease, self.pace.max_content_bytes);
        follower.apply_voter_set(self.epoch, &self.names());
        let mut node = Node::new(now, seed, me, self.pace);
        if place < self.voters {
            node.apply_voter_set(now, self.epoch, &self.names());
        }
        let at = &mut self.places[place];
        (at.node, at.follower, at.stopped, at.acts_on) = (Some(node), follower, None, None);
        at.waiting.clear();
    }

    pub fn kill(&mut self, place: usize) {
        self.places[place].node = None;
        self.places[place].acts_on = None;
        self.places[place].waiting.clear();
    }

    /// The operator orders another epoch.
    pub fn order(&mut self) {
        self.epoch += 1;
        (0..self.places.len()).for_each(|place| self.tell_order(place, self.epoch));
    }

    /// One router hears of an order.
    pub fn tell_order(&mut self, place: usize, epoch: u64) {
        let (now, names) = (self.clock(place), self.names());
        let voter = place < self.voters;
        let at = &mut self.places[place];
        at.follower.apply_voter_set(epoch, &names);
        if let Some(node) = at.node.as_mut().filter(|_| voter) {
            node.apply_voter_set(now, epoch, &names);
        }
    }

    fn fly(&mut self, from: usize, to: usize, flight: Flight) {
        if self.cut.contains(&(from, to)) || self.chance.random_bool(self.loss) {
            return;
        }
        let copies = 1 + usize::from(self.chance.random_bool(self.twice));
        for _ in 0..copies {
            let delay = Span::from_micros(self.chance.random_range(200..self.slowest * 1000));
            self.count += 1;
            self.flying.insert((self.now + delay, self.count), (to, flight.clone()));
        }
    }

    fn pull(&mut self, place: usize) {
        let now = self.clock(place);
        while let Some(to_do) = self.places[place].node.as_mut().and_then(|node| node.next_action(now)) {
            let from = NodeId(place as u64);
            match to_do {
                Action::Send { to, bytes } => self.fly(place, to.0 as usize, Flight::Words { from, bytes }),
                Action::Attest(warrant, agreed) => {
                    for to in 0..self.places.len() {
                        self.fly(place, to, Flight::Warrant { from, warrant, agreed: agreed.clone() });
                    }
                }
                Action::Decided(agreed) => {
                    let known = self.decided.entry(agreed.number).or_insert_with(|| agreed.clone());
                    if *known != agreed {
                        self.broken = Some(format!("two states of one number: {known:?} and {agreed:?}"));
                    }
                }
                Action::Event { kind, .. } => self.told.push((place, kind)),
            }
        }
    }

    fn arrives(&mut self, to: usize, flight: Flight) {
        let now = self.clock(to);
        let at = &mut self.places[to];
        if at.node.is_none() {
            return;
        }
        if at.stopped.is_some() {
            return at.waiting.push(flight);
        }
        match flight {
            Flight::Words { from, bytes } => {
                if let Some(node) = &mut at.node {
                    node.receive(now, from, &bytes);
                }
            }
            Flight::Warrant { from, warrant, agreed } => {
                at.follower.receive_attestation(now, from, warrant);
                at.follower.receive_state(agreed);
            }
        }
        self.pull(to);
    }

    /// One thing after another until then; followers act in between, each as it believes.
    pub fn pass(&mut self, span: Span) {
        let until = self.now + span;
        while self.now < until {
            let step = (self.now + millis(20)).min(until);
            while let Some(entry) = self.flying.first_entry().filter(|entry| entry.key().0 <= step) {
                let ((at, _), (to, flight)) = entry.remove_entry();
                self.now = self.now.max(at);
                self.arrives(to, flight);
            }
            self.now = step;
            for place in 0..self.places.len() {
                if self.places[place].stopped.is_some_and(|until| until <= self.now) {
                    self.places[place].stopped = None;
                    // Threat: a process that was stopped acts first and hears later.
                    self.act(place);
                    for flight in std::mem::take(&mut self.places[place].waiting) {
                        self.arrives(place, flight);
                    }
                }
                if self.places[place].stopped.is_none() {
                    self.pull(place);
                    self.act(place);
                }
            }
            self.check();
        }
    }

    fn act(&mut self, place: usize) {
        let now = self.clock(place);
        let at = &mut self.places[place];
        at.acts_on = at.follower.in_force(now).filter(|_| at.node.is_some()).map(|agreed| agreed.number);
    }

    /// Those that run and act do so on one state or two that are neighbours, whatever happened.
    fn check(&mut self) {
        let acting: Vec<StateNumber> = self
            .places
            .iter()
            .filter(|place| place.stopped.is_none())
            .filter_map(|place| place.acts_on)
            .filter(|number| number.epoch == self.epoch)
            .collect();
        let (least, most) = (acting.iter().min_by_key(|n| n.step), acting.iter().max_by_key(|n| n.step));
        if let (Some(least), Some(most)) = (least, most)
            && most.step > least.step.saturating_add(1)
        {
            self.broken.get_or_insert(format!("{least:?} and {most:?} are acted on at once"));
        }
        for number in acting {
            if !self.decided.contains_key(&number) {
                self.broken.get_or_insert(format!("{number:?} is acted on and was not decided"));
            }
        }
    }

    /// The latest decided.
    pub fn latest(&self) -> Option<&DecidedState> {
        self.decided.values().max_by_key(|agreed| (agreed.number.epoch, agreed.number.step))
    }

    /// Has any voter that may do so propose something new; whether one did.
    pub fn propose(&mut self, content: &[u8]) -> bool {
        for place in 0..self.voters {
            let now = self.clock(place);
            if self.places[place].stopped.is_some() {
                continue;
            }
            let Some(node) = &mut self.places[place].node else { continue };
            let Some(after) = node.latest().map(|agreed| agreed.number) else { continue };
            if node.is_designated_proposer(now) && node.propose(now, after, content.to_vec()).is_ok() {
                self.pull(place);
                return true;
            }
        }
        false
    }

    /// Proposes until it is decided, for as long as `most`.
    pub fn decides(&mut self, content: &[u8], most: Span) -> bool {
        let by = self.now + most;
        while self.now < by {
            if self.latest().is_some_and(|agreed| agreed.proposal.content == content) {
                return true;
            }
            self.propose(content);
            self.pass(millis(100));
        }
        false
    }

    /// Whether every router that runs acts on the latest.
    pub fn all_follow(&self) -> bool {
        let latest = self.latest().map(|agreed| agreed.number);
        latest.is_some()
            && self.places.iter().filter(|place| place.node.is_some()).all(|p| p.acts_on == latest)
    }

    pub fn follows_within(&mut self, most: Span) -> bool {
        let by = self.now + most;
        while self.now < by && !self.all_follow() {
            self.pass(millis(100));
        }
        self.all_follow()
    }

    pub fn heard_of(&self, what: EventKind) -> bool {
        self.told.iter().any(|(_, told)| *told == what)
    }
}
