//! Instances that gossip on the virtual network, each with a clock of its own.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::net::SocketAddr;

use woadhook::{Moment, Span};
use woadhook_gossip::keys::{
    ClusterId, Identity, MemberId, Pass, Revocation, SecretKey, TrustStore, VoterSet,
};
use woadhook_gossip::{Action, EngineCondition, EventKind, Gossip, GossipConfig};
use woadhook_router::agreement::Agreement;

use crate::net::{Network, NetworkConditions};

/// A common start, some time in 2026.
pub const START: Moment = Moment::from_micros(1_780_000_000_000_000);
const YEAR: Span = Span::from_micros(31_536_000_000_000);

pub fn secs(count: f64) -> Span {
    Span::from_secs(count)
}

/// The pace of the operator file's defaults.
pub fn default_gossip_config() -> GossipConfig {
    GossipConfig {
        period: secs(0.2),
        max_sends_per_s: 40.0,
        max_checks_per_s: 400.0,
        max_members: 4096,
        clock_tolerance: secs(5.0),
        observation_lifetime: secs(10.0),
        forget_after: secs(600.0),
    }
}

/// The same of what voters agree on.
pub fn default_accord_config() -> woadhook_accord::AccordConfig {
    woadhook_accord::AccordConfig {
        heartbeat_period: secs(0.2),
        lease: secs(8.0),
        clock_tolerance: secs(2.0),
        max_content_bytes: 400,
    }
}

/// Keys from small numbers.
pub fn secret_key(number: u64) -> SecretKey {
    let mut bytes = [7; 32];
    bytes[..8].copy_from_slice(&number.to_be_bytes());
    SecretKey::from_bytes(&bytes)
}

/// The operator of the stand-in clusters.
pub fn operator_key() -> SecretKey {
    secret_key(u64::MAX)
}

pub fn cluster_id() -> ClusterId {
    ClusterId::from_name("stand-ins")
}

pub fn trust_store() -> TrustStore {
    TrustStore::new(cluster_id(), vec![operator_key().public()])
}

pub fn identity(number: u64, name: &str, now: Moment) -> Identity {
    let secret = secret_key(number);
    let pass =
        Pass::issue(&operator_key(), name, secret.public(), cluster_id(), START, START + YEAR).unwrap();
    Identity::new(secret, pass, &trust_store(), now).unwrap()
}

/// That the operator revokes a stand-in's key.
pub fn revocation(number: u64) -> Revocation {
    Revocation::issue(&operator_key(), &secret_key(number).public(), cluster_id(), START + YEAR)
}

pub fn node_address(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (number >> 8) as u8, number as u8], 7946))
}

/// One instance. Gone ones have no core.
pub struct Node {
    pub core: Option<Gossip>,
    pub address: SocketAddr,
    /// By how much its clock is ahead (or behind, if the mark is set).
    pub clock: (Span, bool),
    /// What it last heard of engines, by engine and type.
    pub peer_reports: BTreeMap<(String, Option<String>), f64>,
}

impl Node {
    fn now(&self, true_now: Moment) -> Moment {
        let (by, behind) = self.clock;
        if behind {
            Moment::from_micros(true_now.since(Moment::default()).saturating_sub(by).micros())
        } else {
            true_now + by
        }
    }
}

/// Something that an instance's core said.
#[derive(Clone, Debug)]
pub struct ClusterEvent {
    pub at: Moment,
    pub node: usize,
    pub kind: EventKind,
    pub member: Option<String>,
    pub engine: Option<String>,
    pub condition: Option<EngineCondition>,
}

pub struct Cluster {
    pub now: Moment,
    pub net: Network,
    pub nodes: Vec<Node>,
    pub events: Vec<ClusterEvent>,
    /// Hearsay that no one took yet: instance, engine, type and doubt.
    pub pending_reports: VecDeque<(usize, String, Option<String>, f64)>,
    pub config: GossipConfig,
    seed: u64,
    /// Orders and notices that instances heard: at which, the epoch; and from whom, what.
    pub voter_sets: Vec<(usize, u64)>,
    pub notices: Vec<(usize, MemberId, Vec<u8>)>,
    /// What a few of them agree on and all follow, once there is an order.
    pub agreements: BTreeMap<usize, Agreement>,
    deadlines: BTreeSet<(Moment, usize)>,
    node_deadlines: Vec<Option<Moment>>,
    node_by_address: HashMap<SocketAddr, usize>,
}

impl Cluster {
    /// `count` instances that know the first three as seeds, and nothing else.
    pub fn new(seed: u64, count: usize, weather: NetworkConditions, config: GossipConfig) -> Self {
        let net = Network::new(seed, weather);
        let (nodes, events, pending_reports, node_by_address) =
            (Vec::new(), Vec::new(), VecDeque::new(), HashMap::new());
        let (deadlines, node_deadlines) = (BTreeSet::new(), Vec::new());
        let (agreements, orders, notices) = (BTreeMap::new(), Vec::new(), Vec::new());
        let mut new = Self {
            now: START + secs(60.0),
            net,
            nodes,
            events,
            pending_reports,
            config,
            seed,
            agreements,
            voter_sets: orders,
            notices,
            deadlines,
            node_deadlines,
            node_by_address,
        };
        for number in 0..count {
            new.add(number);
        }
        new
    }

    /// One more instance, with the key of its number.
    pub fn add(&mut self, number: usize) -> usize {
        let node = self.nodes.len();
        let at = node_address(number);
        self.nodes.push(Node {
            core: None,
            address: at,
            clock: (Span::ZERO, false),
            peer_reports: BTreeMap::new(),
        });
        self.node_deadlines.push(None);
        self.node_by_address.insert(at, node);
        self.start(node);
        node
    }

    /// Starts an instance anew, with nothing but its key and the seeds.
    pub fn start(&mut self, node: usize) {
        let own = identity(node as u64, &format!("n{node}"), self.now);
        let now = self.nodes[node].now(self.now);
        let seeds = (0..3).map(node_address).collect();
        let seed = self.seed.wrapping_mul(0x9e37_79b9).wrapping_add(node as u64);
        let core = Gossip::new(now, seed, own, trust_store(), self.nodes[node].address, seeds, self.config);
        self.nodes[node].core = Some(core);
        self.run_actions(node);
    }

    /// An instance is gone at once, without a word.
    pub fn kill(&mut self, node: usize) {
        self.nodes[node].core = None;
        self.schedule(node);
    }

    /// Makes all know all, as after a long calm time.
    pub fn introduce_all(&mut self) {
        let records: Vec<_> =
            self.nodes.iter().filter_map(|node| Some(node.core.as_ref()?.own_record())).collect();
        for node in 0..self.nodes.len() {
            let now = self.nodes[node].now(self.now);
            if let Some(core) = &mut self.nodes[node].core {
                core.preload_members(now, records.iter().cloned());
            }
        }
    }

    pub fn core(&self, node: usize) -> &Gossip {
        self.nodes[node].core.as_ref().expect("an instance that runs")
    }

    /// Does something at an instance, and carries out what comes of it.
    pub fn with_core<T>(&mut self, node: usize, act: impl FnOnce(Moment, &mut Gossip) -> T) -> T {
        let now = self.nodes[node].now(self.now);
        let done = act(now, self.nodes[node].core.as_mut().expect("an instance that runs"));
        self.run_actions(node);
        done
    }

    /// The operator orders that some vote, and tells one instance; all hold agreements from now on.
    pub fn issue_voter_set(&mut self, epoch: u64, voters: &[usize], accord: woadhook_accord::AccordConfig) {
        for node in 0..self.nodes.len() {
            let (now, own) = (self.nodes[node].now(self.now), self.core(node).id());
            let seed = self.seed ^ node as u64;
            self.agreements
                .entry(node)
                .or_insert_with(|| Agreement::start(now, seed, node as u8, own, accord));
        }
        let keys: Vec<[u8; 32]> = voters.iter().map(|voter| secret_key(*voter as u64).public()).collect();
        let voter_set = VoterSet::issue(&operator_key(), cluster_id(), epoch, &keys).expect("a voter set");
        self.with_core(0, |_, core| core.accept_voter_set(voter_set));
    }

    /// How many instances act on what is agreed now.
    pub fn acting_count(&self) -> usize {
        let is_acting = |(node, agreement): &(&usize, &Agreement)| {
            agreement.in_force(self.nodes[**node].now(self.now)).is_some()
        };
        self.agreements.iter().filter(is_acting).count()
    }

    /// The same engines at all instances.
    pub fn set_engines(&mut self, engines: &[&str]) {
        let list: Vec<_> = engines.iter().map(|name| ((*name).to_owned(), Moment::default())).collect();
        for node in 0..self.nodes.len() {
            if self.nodes[node].core.is_some() {
                self.with_core(node, |_, core| core.set_engines(&list));
            }
        }
    }

    /// A datagram that no instance sent.
    pub fn inject(&mut self, from: SocketAddr, to: usize, bytes: Vec<u8>) {
        let to = self.nodes[to].address;
        self.net.send(self.now, from, to, bytes);
    }

    /// The doubt that an instance last heard of an engine.
    pub fn suspicion(&self, node: usize, engine: &str) -> f64 {
        self.nodes[node].peer_reports.get(&(engine.to_owned(), None)).copied().unwrap_or(0.0)
    }

    /// Instances that run.
    pub fn running(&self) -> impl Iterator<Item = (usize, &Gossip)> {
        self.nodes.iter().enumerate().filter_map(|(number, node)| Some((number, node.core.as_ref()?)))
    }

    /// Whether all that run know just each other.
    pub fn views_agree(&self) -> bool {
        let count = self.running().count();
        let view = self.running().next().map(|(_, core)| core.view_digest());
        self.running().all(|(_, core)| core.live_members() == count && Some(core.view_digest()) == view)
    }

    /// When the next thing happens.
    pub fn next_step_at(&self) -> Option<Moment> {
        self.deadlines.first().map(|(at, _)| *at).into_iter().chain(self.net.next_arrival()).min()
    }

    /// Lets one thing happen, by `until` at the latest; whether anything did.
    pub fn step(&mut self, until: Moment) -> bool {
        let Some(at) = self.next_step_at().filter(|at| *at <= until) else {
            self.now = self.now.max(until);
            return false;
        };
        self.now = self.now.max(at);
        if let Some((from, to, bytes)) = self.net.take_arrived(self.now) {
            let Some(&node) = self.node_by_address.get(&to) else { return true };
            if self.nodes[node].core.is_some() {
                self.with_core(node, |now, core| core.receive(now, from, &bytes));
            }
        } else if let Some((_, node)) = self.deadlines.first().copied() {
            self.run_actions(node);
        }
        true
    }

    pub fn run_for(&mut self, span: Span) {
        let until = self.now + span;
        while self.step(until) {}
    }

    /// Lets time pass until something holds; how long that took, or nothing where it did not within `most`.
    pub fn run_until(&mut self, limit: Span, mut holds: impl FnMut(&Self) -> bool) -> Option<Span> {
        let start = self.now;
        let step = self.config.period.mul_f64(0.25);
        while self.now.since(start) <= limit {
            if holds(self) {
                return Some(self.now.since(start));
            }
            self.run_for(step);
        }
        None
    }

    fn run_actions(&mut self, node: usize) {
        let (now, true_now) = (self.nodes[node].now(self.now), self.now);
        let from = self.nodes[node].address;
        while let Some(core) = self.nodes[node].core.as_mut() {
            if let Some(agreement) = self.agreements.get_mut(&node) {
                agreement.run_actions(now, core);
            }
            let Some(action) = core.next_action(now) else { break };
            match action {
                Action::Send { to, bytes } => self.net.send(true_now, from, to, bytes),
                Action::PeerReport { engine, reservation_type: of, suspicion } => {
                    self.pending_reports.push_back((node, engine.clone(), of.clone(), suspicion));
                    self.nodes[node].peer_reports.insert((engine, of), suspicion);
                }
                Action::VoterSet { epoch, voters } => {
                    self.voter_sets.push((node, epoch));
                    if let Some(agreement) = self.agreements.get_mut(&node) {
                        agreement.apply_voter_set(now, epoch, &voters);
                    }
                }
                Action::DirectMessage { from, bytes } => {
                    if let Some(agreement) = self.agreements.get_mut(&node) {
                        agreement.receive(now, from, &bytes);
                    }
                }
                Action::Notice { from, subject, payload } => {
                    self.notices.push((node, from, payload.clone()));
                    if let Some(agreement) = self.agreements.get_mut(&node) {
                        agreement.receive_notice(now, from, subject, &payload);
                    }
                }
                Action::Event { kind, member, engine, condition } => {
                    self.events.push(ClusterEvent { at: true_now, node, kind, member, engine, condition });
                }
            }
        }
        self.schedule(node);
    }

    fn schedule(&mut self, node: usize) {
        if let Some(old) = self.node_deadlines[node].take() {
            self.deadlines.remove(&(old, node));
        }
        let Some(core) = self.nodes[node].core.as_ref() else { return };
        let agreement = self.agreements.get(&node).and_then(Agreement::next_deadline);
        let Some(deadline) = [core.next_deadline(), agreement].into_iter().flatten().min() else { return };
        let own_now = self.nodes[node].now(self.now);
        // Never at once again: a core that is due now was just asked.
        let at = self.now + deadline.since(own_now).max(Span::from_micros(1));
        self.node_deadlines[node] = Some(at);
        self.deadlines.insert((at, node));
    }
}
