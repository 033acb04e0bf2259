//! Instances that gossip on the virtual network, each with its own clock.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::net::SocketAddr;

use woadhook::{Moment, Span};
use woadhook_gossip::keys::{
    ClusterId, Identity, MemberId, Pass, Revocation, SecretKey, TrustStore, VoterSet,
};
use woadhook_gossip::{Action, EngineCondition, EventKind, Gossip, GossipConfig};
use woadhook_router::agreement::Agreement;

use crate::net::{Network, NetworkConditions};

/// A common start time, in 2026.
pub const START: Moment = Moment::from_micros(1_780_000_000_000_000);
const YEAR: Span = Span::from_micros(31_536_000_000_000);

/// Converts seconds to a span.
pub fn secs(count: f64) -> Span {
    Span::from_secs(count)
}

/// Gossip settings with the defaults of the operator file.
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

/// Accord settings with the defaults of the operator file, for tests where a set of voters agrees.
pub fn default_accord_config() -> woadhook_accord::AccordConfig {
    woadhook_accord::AccordConfig {
        heartbeat_period: secs(0.2),
        lease: secs(8.0),
        clock_tolerance: secs(2.0),
        max_content_bytes: 400,
    }
}

/// Derives a secret key from a small number.
pub fn secret_key(number: u64) -> SecretKey {
    let mut bytes = [7; 32];
    bytes[..8].copy_from_slice(&number.to_be_bytes());
    SecretKey::from_bytes(&bytes)
}

/// The operator's key of the stand-in clusters.
pub fn operator_key() -> SecretKey {
    secret_key(u64::MAX)
}

/// The id of the stand-in clusters.
pub fn cluster_id() -> ClusterId {
    ClusterId::from_name("stand-ins")
}

/// A trust store with the operator's key of the stand-in clusters.
pub fn trust_store() -> TrustStore {
    TrustStore::new(cluster_id(), vec![operator_key().public()])
}

/// An identity with the key of this number and a pass that is valid for a year from `START`.
pub fn identity(number: u64, name: &str, now: Moment) -> Identity {
    let secret = secret_key(number);
    let pass =
        Pass::issue(&operator_key(), name, secret.public(), cluster_id(), START, START + YEAR).unwrap();
    Identity::new(secret, pass, &trust_store(), now).unwrap()
}

/// The operator's revocation of the key of this number.
pub fn revocation(number: u64) -> Revocation {
    Revocation::issue(&operator_key(), &secret_key(number).public(), cluster_id(), START + YEAR)
}

/// The virtual address of an instance.
pub fn node_address(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (number >> 8) as u8, number as u8], 7946))
}

/// One instance. A killed instance has no core.
pub struct Node {
    pub core: Option<Gossip>,
    pub address: SocketAddr,
    /// How far its clock deviates from true time; the flag means that it is behind rather than ahead.
    pub clock: (Span, bool),
    /// The latest suspicion reported by peers, from 0 to 1, by engine and job type.
    pub peer_reports: BTreeMap<(String, Option<String>), f64>,
}

impl Node {
    fn now(&self, true_now: Moment) -> Moment {
        let (deviation, behind) = self.clock;
        if behind {
            Moment::from_micros(true_now.since(Moment::default()).saturating_sub(deviation).micros())
        } else {
            true_now + deviation
        }
    }
}

/// An event that an instance's core emitted.
#[derive(Clone, Debug)]
pub struct ClusterEvent {
    pub at: Moment,
    pub node: usize,
    pub kind: EventKind,
    pub member: Option<String>,
    pub engine: Option<String>,
    pub condition: Option<EngineCondition>,
}

/// Gossiping instances, their network and the virtual time.
pub struct Cluster {
    pub now: Moment,
    pub net: Network,
    pub nodes: Vec<Node>,
    pub events: Vec<ClusterEvent>,
    /// Peer reports that were not taken yet: instance, engine, job type and suspicion.
    pub pending_reports: VecDeque<(usize, String, Option<String>, f64)>,
    pub config: GossipConfig,
    seed: u64,
    /// Voter sets that instances received, as instance and epoch.
    pub voter_sets: Vec<(usize, u64)>,
    /// Notices that instances received, as instance, sender and payload.
    pub notices: Vec<(usize, MemberId, Vec<u8>)>,
    /// What the voters agree on and every instance follows; empty until the operator issues a voter set.
    pub agreements: BTreeMap<usize, Agreement>,
    /// The next deadline of each instance, in order of time.
    deadlines: BTreeSet<(Moment, usize)>,
    node_deadlines: Vec<Option<Moment>>,
    node_by_address: HashMap<SocketAddr, usize>,
}

impl Cluster {
    /// Creates `count` instances that know only the first three instances, as seeds.
    pub fn new(seed: u64, count: usize, conditions: NetworkConditions, config: GossipConfig) -> Self {
        let net = Network::new(seed, conditions);
        let (nodes, events, pending_reports, node_by_address) =
            (Vec::new(), Vec::new(), VecDeque::new(), HashMap::new());
        let (deadlines, node_deadlines) = (BTreeSet::new(), Vec::new());
        let (agreements, voter_sets, notices) = (BTreeMap::new(), Vec::new(), Vec::new());
        let mut new = Self {
            now: START + secs(60.0),
            net,
            nodes,
            events,
            pending_reports,
            config,
            seed,
            agreements,
            voter_sets,
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

    /// Adds an instance with the key of this number.
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

    /// Starts an instance anew; it knows only its key and the seeds.
    pub fn start(&mut self, node: usize) {
        let identity = identity(node as u64, &format!("n{node}"), self.now);
        let now = self.nodes[node].now(self.now);
        let seeds = (0..3).map(node_address).collect();
        let seed = self.seed.wrapping_mul(0x9e37_79b9).wrapping_add(node as u64);
        let core =
            Gossip::new(now, seed, identity, trust_store(), self.nodes[node].address, seeds, self.config);
        self.nodes[node].core = Some(core);
        self.run_actions(node);
    }

    /// Stops an instance at once, without notice to the others.
    pub fn kill(&mut self, node: usize) {
        self.nodes[node].core = None;
        self.schedule(node);
    }

    /// Makes every instance know all others, as after a long time without faults.
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

    /// The core of a running instance. Panics if the instance was killed.
    pub fn core(&self, node: usize) -> &Gossip {
        self.nodes[node].core.as_ref().expect("an instance that runs")
    }

    /// Calls `act` on an instance's core, then runs the actions that follow from it.
    pub fn with_core<T>(&mut self, node: usize, act: impl FnOnce(Moment, &mut Gossip) -> T) -> T {
        let now = self.nodes[node].now(self.now);
        let result = act(now, self.nodes[node].core.as_mut().expect("an instance that runs"));
        self.run_actions(node);
        result
    }

    /// Issues an operator-signed voter set and passes it to instance 0. Every instance takes part in the
    /// agreement from now on.
    pub fn issue_voter_set(&mut self, epoch: u64, voters: &[usize], accord: woadhook_accord::AccordConfig) {
        for node in 0..self.nodes.len() {
            let (now, id) = (self.nodes[node].now(self.now), self.core(node).id());
            let seed = self.seed ^ node as u64;
            self.agreements
                .entry(node)
                .or_insert_with(|| Agreement::start(now, seed, node as u8, id, accord));
        }
        let keys: Vec<[u8; 32]> = voters.iter().map(|voter| secret_key(*voter as u64).public()).collect();
        let voter_set = VoterSet::issue(&operator_key(), cluster_id(), epoch, &keys).expect("a voter set");
        self.with_core(0, |_, core| core.accept_voter_set(voter_set));
    }

    /// The number of instances at which an agreed value is in force now.
    pub fn acting_count(&self) -> usize {
        let is_acting = |(node, agreement): &(&usize, &Agreement)| {
            agreement.in_force(self.nodes[**node].now(self.now)).is_some()
        };
        self.agreements.iter().filter(is_acting).count()
    }

    /// Sets the same engine list at all instances.
    pub fn set_engines(&mut self, engines: &[&str]) {
        let list: Vec<_> = engines.iter().map(|name| ((*name).to_owned(), Moment::default())).collect();
        for node in 0..self.nodes.len() {
            if self.nodes[node].core.is_some() {
                self.with_core(node, |_, core| core.set_engines(&list));
            }
        }
    }

    /// Sends a datagram that does not come from an instance.
    pub fn inject(&mut self, from: SocketAddr, to: usize, bytes: Vec<u8>) {
        let to = self.nodes[to].address;
        self.net.send(self.now, from, to, bytes);
    }

    /// The latest suspicion of an engine that peers reported to an instance, 0 without a report.
    pub fn suspicion(&self, node: usize, engine: &str) -> f64 {
        self.nodes[node].peer_reports.get(&(engine.to_owned(), None)).copied().unwrap_or(0.0)
    }

    /// The running instances.
    pub fn running(&self) -> impl Iterator<Item = (usize, &Gossip)> {
        self.nodes.iter().enumerate().filter_map(|(number, node)| Some((number, node.core.as_ref()?)))
    }

    /// Whether all running instances know exactly each other.
    pub fn views_agree(&self) -> bool {
        let count = self.running().count();
        let view = self.running().next().map(|(_, core)| core.view_digest());
        self.running().all(|(_, core)| core.live_members() == count && Some(core.view_digest()) == view)
    }

    /// When the next datagram arrives or the next deadline expires.
    pub fn next_step_at(&self) -> Option<Moment> {
        self.deadlines.first().map(|(at, _)| *at).into_iter().chain(self.net.next_arrival()).min()
    }

    /// Processes one datagram or deadline that is due by `until`. Returns whether there was one.
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

    /// Runs the cluster for a span of virtual time.
    pub fn run_for(&mut self, span: Span) {
        let until = self.now + span;
        while self.step(until) {}
    }

    /// Runs until a condition holds. Returns how long that took, or `None` if it did not hold within `limit`.
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
                Action::PeerReport { engine, reservation_type, suspicion } => {
                    self.pending_reports.push_back((
                        node,
                        engine.clone(),
                        reservation_type.clone(),
                        suspicion,
                    ));
                    self.nodes[node].peer_reports.insert((engine, reservation_type), suspicion);
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
        // At least a microsecond later: the core has just handled what is due now, and would otherwise be
        // polled forever.
        let at = self.now + deadline.since(own_now).max(Span::from_micros(1));
        self.node_deadlines[node] = Some(at);
        self.deadlines.insert((at, node));
    }
}
