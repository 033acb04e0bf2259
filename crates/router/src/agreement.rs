//! Connects the consensus core of `woadhook-accord` to the gossip actor. Voters' messages go to single
//! members by name; warrants and states go to all members as notices.

use woadhook::{Moment, Span};
use woadhook_accord::{
    AccordConfig, Action, Attestation, DecidedState, Follower, Incarnation, Node, NodeId, StateNumber, Voter,
};
use woadhook_gossip::Gossip;
use woadhook_gossip::keys::MemberId;
use woadhook_host::fields::Result;
use woadhook_operator::Section;

/// Subjects of notices: a warrant alone, or a warrant together with the state that it confirms.
const WARRANT: u8 = 0;
const STATE: u8 = 1;
/// One in this many warrants carries the state, and so does the first warrant for a state, so that routers
/// that start or missed it receive it.
const STATES: u32 = 4;
/// Maximum length of the agreed content in bytes: with its voters, a warrant and the sender's card it fits
/// into one datagram.
pub const CONTENT: usize = 400;

/// Reads the times and limits of the agreement from the operator file's section.
pub fn pace(section: Section<'_>) -> Result<AccordConfig> {
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
        max_content_bytes: CONTENT,
    })
}

pub struct Agreement {
    node: Node,
    follower: Follower,
    pace: AccordConfig,
    told: u32,
    /// The number of the last state that this router confirmed as a voter, and of the one that it acts on.
    vouched: Option<StateNumber>,
    acts_on: Option<StateNumber>,
}

impl Agreement {
    /// Each start uses a new life number: the start time in the high bits, the random `drawn` in the low
    /// ones.
    pub fn start(now: Moment, seed: u64, drawn: u8, own: MemberId, pace: AccordConfig) -> Self {
        let started = now.since(Moment::default()).micros();
        let life = Incarnation(started << 8 | u64::from(drawn));
        let me = Voter { node: NodeId(own.0), incarnation: life };
        let follower = Follower::new(pace.clock_tolerance, pace.lease, pace.max_content_bytes);
        let node = Node::new(now, seed, me, pace);
        Self { node, follower, pace, told: 0, vouched: None, acts_on: None }
    }

    pub fn apply_voter_set(&mut self, now: Moment, epoch: u64, voters: &[MemberId]) {
        let names: Vec<NodeId> = voters.iter().map(|voter| NodeId(voter.0)).collect();
        log::info!(event = "accord_ordered", epoch, voters = names.len(); "epoch {epoch} is ordered, with {} voters", names.len());
        self.follower.apply_voter_set(epoch, &names);
        if names.contains(&self.node.me().node) {
            self.node.apply_voter_set(now, epoch, &names);
        } else {
            self.node.exclude_from_epoch(epoch);
        }
    }

    pub fn receive(&mut self, now: Moment, from: MemberId, bytes: &[u8]) {
        self.node.receive(now, NodeId(from.0), bytes);
    }

    /// Takes in a voter's notice whose signature has been verified.
    pub fn receive_notice(&mut self, now: Moment, from: MemberId, subject: u8, says: &[u8]) {
        let agreed = match subject {
            WARRANT => Attestation::decode(says).map(|warrant| (warrant, None)),
            STATE => Attestation::decode_with_state(says).map(|(warrant, agreed)| (warrant, Some(agreed))),
            _ => None,
        };
        let Some((warrant, agreed)) = agreed else { return };
        self.follower.receive_attestation(now, NodeId(from.0), warrant);
        if let Some(agreed) = agreed {
            self.follower.receive_state(agreed);
        }
    }

    /// Returns the agreed state that may be acted on now; callers check it right before each action.
    pub fn in_force(&self, now: Moment) -> Option<&DecidedState> {
        self.follower.in_force(now)
    }

    pub fn next_deadline(&self) -> Option<Moment> {
        let lapses = self.acts_on.and_then(|_| self.follower.lease_end());
        [self.node.next_deadline(), lapses].into_iter().flatten().min()
    }

    /// Carries out all pending actions of the core; messages go out through gossip.
    pub fn run_actions(&mut self, now: Moment, gossip: &mut Gossip) {
        while let Some(to_do) = self.node.next_action(now) {
            match to_do {
                Action::Send { to, bytes } => _ = gossip.send_direct(now, MemberId(to.0), bytes),
                Action::Attest(warrant, agreed) => self.vouch(now, warrant, agreed, gossip),
                Action::Decided(agreed) => {
                    let StateNumber { epoch, step, .. } = agreed.number;
                    let (voters, bytes) = (agreed.proposal.voters.len(), agreed.proposal.content.len());
                    log::info!(event = "accord_decided", epoch, step, voters, bytes; "decided: epoch {epoch}, step {step}");
                }
                Action::Event { kind, voter, number } => {
                    let voter = voter.map(|name| MemberId(name.0).to_string()).unwrap_or_default();
                    let (epoch, step) = number.map_or((0, 0), |number| (number.epoch, number.step));
                    log::info!(event = kind.name(), voter = voter.as_str(), epoch, step; "{} {voter}", kind.name());
                }
            }
        }
        self.look(now);
    }

    fn vouch(&mut self, now: Moment, warrant: Attestation, agreed: DecidedState, gossip: &mut Gossip) {
        let own = MemberId(self.node.me().node.0);
        let fresh = self.vouched.replace(agreed.number) != Some(agreed.number);
        self.told = if fresh { 0 } else { self.told + 1 };
        if self.told.is_multiple_of(STATES) {
            gossip.broadcast_notice(now, STATE, warrant.encode_with_state(&agreed));
            gossip.rebroadcast_voter_set();
        } else {
            gossip.broadcast_notice(now, WARRANT, warrant.encode());
        }
        self.follower.receive_attestation(now, NodeId(own.0), warrant);
        self.follower.receive_state(agreed);
    }

    /// Logs when the state that this router acts on changes.
    fn look(&mut self, now: Moment) {
        let acts_on = self.in_force(now).map(|agreed| agreed.number);
        let old = std::mem::replace(&mut self.acts_on, acts_on);
        match (old, acts_on) {
            (old, Some(new)) if old != Some(new) => {
                let StateNumber { epoch, step, .. } = new;
                log::info!(event = "accord_in_force", epoch, step; "epoch {epoch}, step {step} is in force");
            }
            (Some(StateNumber { epoch, step, .. }), None) => {
                let lease = self.pace.lease.secs();
                log::warn!(event = "accord_lapsed", epoch, step; "epoch {epoch}, step {step} lapsed: no majority vouched for it in {lease} s");
            }
            _ => {}
        }
    }
}
