//! The cores of `woadhook-accord` as the actor that talks with other routers holds them: voters' words go to members by name,
//! warrants and states to all as notices.

use woadhook::{Moment, Span};
use woadhook_accord::{
    AccordConfig, Action, Attestation, DecidedState, Follower, Incarnation, Node, NodeId, StateNumber, Voter,
};
use woadhook_gossip::Gossip;
use woadhook_gossip::keys::MemberId;
use woadhook_host::fields::Result;
use woadhook_operator::Section;

/// The subjects of notices: a warrant; a warrant with the state that it vouches for.
const WARRANT: u8 = 0;
const STATE: u8 = 1;
/// One in so many warrants goes with the state, and each first one for a state, so that who starts or missed it hears of it.
const STATES: u32 = 4;
/// The longest content: with its voters, a warrant and the sender's card it fits into one datagram.
pub const CONTENT: usize = 400;

/// How often, how long and how much, as the section states it.
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
    /// The last state that this one vouched for, and the one that this router acts on.
    vouched: Option<StateNumber>,
    acts_on: Option<StateNumber>,
}

impl Agreement {
    /// Another life at each start: the time in the high bits, `drawn` by chance in the low ones.
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

    /// A voter's notice, whose signature was found good.
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

    /// What is agreed and may be acted on now; look right before each act.
    pub fn in_force(&self, now: Moment) -> Option<&DecidedState> {
        self.follower.in_force(now)
    }

    pub fn next_deadline(&self) -> Option<Moment> {
        let lapses = self.acts_on.and_then(|_| self.follower.lease_end());
        [self.node.next_deadline(), lapses].into_iter().flatten().min()
    }

    /// Carries out all that is to be done, through the members' talk.
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

    /// Whether this router acts on something, told when that changes.
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
