//! The cores of `woadhook-accord` as the actor that talks with other routers holds them: voters' words go to members by name,
//! warrants and states to all as notices.

use woadhook::{Moment, Span};
use woadhook_accord::{Agreed, Do, Follower, Life, Name, Node, Number, Pace, Voter, Warrant};
use woadhook_door::fields::Result;
use woadhook_gossip::Gossip;
use woadhook_gossip::keys::MemberId;
use woadhook_operator::Section;

/// The subjects of notices: a warrant; a warrant with the state that it vouches for.
const WARRANT: u8 = 0;
const STATE: u8 = 1;
/// One in so many warrants goes with the state, and each first one for a state, so that who starts or missed it hears of it.
const STATES: u32 = 4;
/// The longest content: with its voters, a warrant and the sender's card it fits into one datagram.
pub const CONTENT: usize = 400;

/// How often, how long and how much, as the section states it.
pub fn pace(section: Section<'_>) -> Result<Pace> {
    let millis = |field| Span::from_micros(section.whole(field) * 1000);
    let (lease, tolerance) = (millis("lease_ms"), millis("clock_tolerance_ms"));
    if lease <= tolerance.times(2.0) {
        let (lease, tolerance) = (section.whole("lease_ms"), section.whole("clock_tolerance_ms"));
        return Err(format!(
            "accord.lease_ms: {lease} given, allowed is more than twice accord.clock_tolerance_ms, which is {tolerance}"
        ));
    }
    Ok(Pace { period: millis("period_ms"), lease, tolerance, content: CONTENT })
}

pub struct Agreement {
    node: Node,
    follower: Follower,
    pace: Pace,
    told: u32,
    /// The last state that this one vouched for, and the one that this router acts on.
    vouched: Option<Number>,
    acts_on: Option<Number>,
}

impl Agreement {
    /// Another life at each start: the time in the high bits, `drawn` by chance in the low ones.
    pub fn start(now: Moment, seed: u64, drawn: u8, own: MemberId, pace: Pace) -> Self {
        let started = now.since(Moment::default()).micros();
        let life = Life(started << 8 | u64::from(drawn));
        let me = Voter { name: Name(own.0), life };
        let follower = Follower::new(pace.tolerance, pace.lease, pace.content);
        let node = Node::new(now, seed, me, pace);
        Self { node, follower, pace, told: 0, vouched: None, acts_on: None }
    }

    pub fn ordered(&mut self, now: Moment, epoch: u64, voters: &[MemberId]) {
        let names: Vec<Name> = voters.iter().map(|voter| Name(voter.0)).collect();
        log::info!(event = "accord_ordered", epoch, voters = names.len(); "epoch {epoch} is ordered, with {} voters", names.len());
        self.follower.ordered(epoch, &names);
        if names.contains(&self.node.me().name) {
            self.node.ordered(now, epoch, &names);
        } else {
            self.node.released(epoch);
        }
    }

    pub fn heard(&mut self, now: Moment, from: MemberId, bytes: &[u8]) {
        self.node.heard(now, Name(from.0), bytes);
    }

    /// A voter's notice, whose signature was found good.
    pub fn noticed(&mut self, now: Moment, from: MemberId, subject: u8, says: &[u8]) {
        let agreed = match subject {
            WARRANT => Warrant::read(says).map(|warrant| (warrant, None)),
            STATE => Warrant::read_with_state(says).map(|(warrant, agreed)| (warrant, Some(agreed))),
            _ => None,
        };
        let Some((warrant, agreed)) = agreed else { return };
        self.follower.heard_warrant(now, Name(from.0), warrant);
        if let Some(agreed) = agreed {
            self.follower.heard_state(agreed);
        }
    }

    /// What is agreed and may be acted on now; look right before each act.
    pub fn in_force(&self, now: Moment) -> Option<&Agreed> {
        self.follower.in_force(now)
    }

    pub fn due(&self) -> Option<Moment> {
        let lapses = self.acts_on.and_then(|_| self.follower.holds_until());
        [self.node.due(), lapses].into_iter().flatten().min()
    }

    /// Carries out all that is to be done, through the members' talk.
    pub fn pull(&mut self, now: Moment, gossip: &mut Gossip) {
        while let Some(to_do) = self.node.next(now) {
            match to_do {
                Do::Send { to, bytes } => _ = gossip.send_direct(now, MemberId(to.0), bytes),
                Do::Warrant(warrant, agreed) => self.vouch(now, warrant, agreed, gossip),
                Do::Decided(agreed) => {
                    let Number { epoch, step, .. } = agreed.number;
                    let (voters, bytes) = (agreed.proposal.voters.len(), agreed.proposal.content.len());
                    log::info!(event = "accord_decided", epoch, step, voters, bytes; "decided: epoch {epoch}, step {step}");
                }
                Do::Event { what, voter, number } => {
                    let voter = voter.map(|name| MemberId(name.0).to_string()).unwrap_or_default();
                    let (epoch, step) = number.map_or((0, 0), |number| (number.epoch, number.step));
                    log::info!(event = what.name(), voter = voter.as_str(), epoch, step; "{} {voter}", what.name());
                }
            }
        }
        self.look(now);
    }

    fn vouch(&mut self, now: Moment, warrant: Warrant, agreed: Agreed, gossip: &mut Gossip) {
        let own = MemberId(self.node.me().name.0);
        let fresh = self.vouched.replace(agreed.number) != Some(agreed.number);
        self.told = if fresh { 0 } else { self.told + 1 };
        if self.told.is_multiple_of(STATES) {
            gossip.broadcast_notice(now, STATE, warrant.write_with_state(&agreed));
            gossip.rebroadcast_voter_set();
        } else {
            gossip.broadcast_notice(now, WARRANT, warrant.write());
        }
        self.follower.heard_warrant(now, Name(own.0), warrant);
        self.follower.heard_state(agreed);
    }

    /// Whether this router acts on something, told when that changes.
    fn look(&mut self, now: Moment) {
        let acts_on = self.in_force(now).map(|agreed| agreed.number);
        let old = std::mem::replace(&mut self.acts_on, acts_on);
        match (old, acts_on) {
            (old, Some(new)) if old != Some(new) => {
                let Number { epoch, step, .. } = new;
                log::info!(event = "accord_in_force", epoch, step; "epoch {epoch}, step {step} is in force");
            }
            (Some(Number { epoch, step, .. }), None) => {
                let lease = self.pace.lease.secs();
                log::warn!(event = "accord_lapsed", epoch, step; "epoch {epoch}, step {step} lapsed: no majority vouched for it in {lease} s");
            }
            _ => {}
        }
    }
}
