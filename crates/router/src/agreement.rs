//! Connects the consensus core of `woadhook-accord` to the gossip actor. Voters' messages go to single
//! members by name; attestations and states go to all members as notices.

use woadhook::{Moment, Span};
use woadhook_accord::{
    AccordConfig, Action, Attestation, DecidedState, Follower, Incarnation, Node, NodeId, StateNumber, Voter,
};
use woadhook_gossip::Gossip;
use woadhook_gossip::keys::MemberId;
use woadhook_host::fields::Result;
use woadhook_operator::Section;

/// Subjects of notices: an attestation alone, or one together with the state that it attests.
const ATTESTATION_SUBJECT: u8 = 0;
const STATE_SUBJECT: u8 = 1;
/// One in this many attestations carries the state, and so does the first one for a state, so that routers
/// that start or missed it receive it.
const ATTESTATIONS_PER_STATE: u32 = 4;
/// Maximum length of the agreed content in bytes: with its voters, an attestation and the sender's card it
/// fits into one datagram.
pub const MAX_CONTENT_BYTES: usize = 400;

/// Reads the times and limits of the agreement from the operator file's section.
pub fn accord_config(section: Section<'_>) -> Result<AccordConfig> {
    let millis = |field| Span::from_micros(section.integer(field) * 1000);
    let (lease, tolerance) = (millis("lease_ms"), millis("clock_tolerance_ms"));
    if lease <= tolerance.mul_f64(2.0) {
        let (lease, tolerance) = (section.integer("lease_ms"), section.integer("clock_tolerance_ms"));
        return Err(format!(
            "accord.lease_ms: {lease} given, allowed is more than twice accord.clock_tolerance_ms, which is {tolerance}"
        ));
    }
    Ok(AccordConfig {
        heartbeat_period: millis("period_ms"),
        lease,
        clock_tolerance: tolerance,
        max_content_bytes: MAX_CONTENT_BYTES,
    })
}

/// This router's part in the agreement: a node, which is active if this router votes, and a follower.
pub struct Agreement {
    node: Node,
    follower: Follower,
    config: AccordConfig,
    attestations_sent: u32,
    /// The number of the last state that this router attested as a voter.
    attested: Option<StateNumber>,
    /// The number of the state that this router acts on.
    active: Option<StateNumber>,
}

impl Agreement {
    /// Starts the node and the follower. Each start uses a new incarnation number: the start time in the high
    /// bits, `random_bits` in the low ones.
    pub fn start(now: Moment, seed: u64, random_bits: u8, own: MemberId, config: AccordConfig) -> Self {
        let started = now.since(Moment::default()).micros();
        let incarnation = Incarnation(started << 8 | u64::from(random_bits));
        let me = Voter { node: NodeId(own.0), incarnation };
        let follower = Follower::new(config.clock_tolerance, config.lease, config.max_content_bytes);
        let node = Node::new(now, seed, me, config);
        Self { node, follower, config, attestations_sent: 0, attested: None, active: None }
    }

    /// Applies a new voter set, whether or not this router is one of the voters.
    pub fn apply_voter_set(&mut self, now: Moment, epoch: u64, voters: &[MemberId]) {
        let nodes: Vec<NodeId> = voters.iter().map(|voter| NodeId(voter.0)).collect();
        log::info!(event = "accord_ordered", epoch, voters = nodes.len(); "new voter set: epoch {epoch}, {} voters", nodes.len());
        self.follower.apply_voter_set(epoch, &nodes);
        if nodes.contains(&self.node.me().node) {
            self.node.apply_voter_set(now, epoch, &nodes);
        } else {
            self.node.exclude_from_epoch(epoch);
        }
    }

    /// Handles a message that another voter sent to this one.
    pub fn receive(&mut self, now: Moment, from: MemberId, bytes: &[u8]) {
        self.node.receive(now, NodeId(from.0), bytes);
    }

    /// Handles a voter's notice whose signature has been verified.
    pub fn receive_notice(&mut self, now: Moment, from: MemberId, subject: u8, payload: &[u8]) {
        let state = match subject {
            ATTESTATION_SUBJECT => Attestation::decode(payload).map(|attestation| (attestation, None)),
            STATE_SUBJECT => {
                Attestation::decode_with_state(payload).map(|(attestation, state)| (attestation, Some(state)))
            }
            _ => None,
        };
        let Some((attestation, state)) = state else { return };
        self.follower.receive_attestation(now, NodeId(from.0), attestation);
        if let Some(state) = state {
            self.follower.receive_state(state);
        }
    }

    /// Returns the agreed state that may be acted on now; callers check it right before each action.
    pub fn in_force(&self, now: Moment) -> Option<&DecidedState> {
        self.follower.in_force(now)
    }

    /// When [`run_actions`](Self::run_actions) is due again.
    pub fn next_deadline(&self) -> Option<Moment> {
        let lapse = self.active.and_then(|_| self.follower.lease_end());
        [self.node.next_deadline(), lapse].into_iter().flatten().min()
    }

    /// Carries out all pending actions of the core; messages are sent through gossip.
    pub fn run_actions(&mut self, now: Moment, gossip: &mut Gossip) {
        while let Some(action) = self.node.next_action(now) {
            match action {
                Action::Send { to, bytes } => _ = gossip.send_direct(now, MemberId(to.0), bytes),
                Action::Attest(attestation, state) => self.send_attestation(now, attestation, state, gossip),
                Action::Decided(state) => {
                    let StateNumber { epoch, step, .. } = state.number;
                    let (voters, bytes) = (state.proposal.voters.len(), state.proposal.content.len());
                    log::info!(event = "accord_decided", epoch, step, voters, bytes; "decided: epoch {epoch}, step {step}");
                }
                Action::Event { kind, voter, number } => {
                    let voter = voter.map(|node| MemberId(node.0).to_string()).unwrap_or_default();
                    let (epoch, step) = number.map_or((0, 0), |number| (number.epoch, number.step));
                    log::info!(event = kind.name(), voter = voter.as_str(), epoch, step; "{} {voter}", kind.name());
                }
            }
        }
        self.log_change(now);
    }

    fn send_attestation(
        &mut self, now: Moment, attestation: Attestation, state: DecidedState, gossip: &mut Gossip,
    ) {
        let own = MemberId(self.node.me().node.0);
        let is_new = self.attested.replace(state.number) != Some(state.number);
        self.attestations_sent = if is_new { 0 } else { self.attestations_sent + 1 };
        if self.attestations_sent.is_multiple_of(ATTESTATIONS_PER_STATE) {
            gossip.broadcast_notice(now, STATE_SUBJECT, attestation.encode_with_state(&state));
            gossip.rebroadcast_voter_set();
        } else {
            gossip.broadcast_notice(now, ATTESTATION_SUBJECT, attestation.encode());
        }
        self.follower.receive_attestation(now, NodeId(own.0), attestation);
        self.follower.receive_state(state);
    }

    /// Logs when the state that this router acts on changes.
    fn log_change(&mut self, now: Moment) {
        let active = self.in_force(now).map(|state| state.number);
        let old = std::mem::replace(&mut self.active, active);
        match (old, active) {
            (old, Some(new)) if old != Some(new) => {
                let StateNumber { epoch, step, .. } = new;
                log::info!(event = "accord_in_force", epoch, step; "epoch {epoch}, step {step} is in force");
            }
            (Some(StateNumber { epoch, step, .. }), None) => {
                let lease = self.config.lease.secs();
                log::warn!(event = "accord_lapsed", epoch, step; "epoch {epoch}, step {step} lapsed: no majority attested it within {lease} s");
            }
            _ => {}
        }
    }
}
