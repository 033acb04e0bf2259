//! What a few voters say, to one another and to all: who they are is the operator's order, and what they say is not for
//! gossip to know.

use woadhook::Moment;

use crate::instance::{Action, Gossip};
use crate::keys::{MemberId, VoterSet, micros};
use crate::members::NOBODY;
use crate::news::About;
use crate::wire::{DatagramKind, ItemTag, Notice};

/// Subjects of notices.
pub const SUBJECTS: u8 = 4;
/// The longest notice or word for one, in bytes: it has to fit beside a card into a datagram.
pub const LONGEST: usize = 680;

impl Gossip {
    /// Takes in an order, from the operator's file; an older one than is known says nothing. Whether it counts.
    pub fn accept_voter_set(&mut self, order: VoterSet) -> bool {
        let newer = self.order.as_ref().is_none_or(|known| order.epoch > known.epoch);
        if !newer || !self.ring.verifies_voter_set(&order) {
            return false;
        }
        self.take_order(order);
        true
    }

    fn take_order(&mut self, order: VoterSet) {
        self.todo.push_back(Action::VoterSet { epoch: order.epoch, voters: order.voters.clone() });
        self.noticed.clear();
        self.order = Some(order);
        self.rebroadcast_voter_set();
    }

    /// Has the order go round once more, for those that started since.
    pub fn rebroadcast_voter_set(&mut self) {
        if let Some(order) = &self.order {
            self.news.add(About::VoterSet, order.to_bytes().into());
        }
    }

    /// Sends words to one member, if it is known, the words are short enough and the budget allows.
    pub fn send_direct(&mut self, now: Moment, to: MemberId, bytes: Vec<u8>) -> bool {
        let Some(at) = self.members.get(to).map(|member| member.card.address) else { return false };
        let direct = vec![(ItemTag::Direct, bytes.into())];
        self.send(now, DatagramKind::Direct, to, at, 0, NOBODY, direct, 0).is_some()
    }

    /// Signs a notice that all tell on, numbered by the time so that numbers grow over restarts too.
    pub fn broadcast_notice(&mut self, now: Moment, subject: u8, says: Vec<u8>) {
        let number = micros(now);
        if says.len() <= LONGEST && subject < SUBJECTS {
            let notice = Notice::issue(&self.own, subject, number, says);
            self.news.add(About::Notice(self.own.id(), subject), notice.to_bytes().into());
        }
    }

    pub(crate) fn hear_order(&mut self, now: Moment, at_home: bool, order: VoterSet) {
        let newer = self.order.as_ref().is_none_or(|known| order.epoch > known.epoch);
        if newer && self.may_check(now, at_home, 1) {
            if self.ring.verifies_voter_set(&order) {
                self.take_order(order);
            } else {
                self.counts.forged += 1;
            }
        }
    }

    /// Only voters of the latest order are heard, and each notice once: so the table is small, and others' floods stop here.
    pub(crate) fn hear_notice(&mut self, now: Moment, at_home: bool, notice: Notice) {
        let votes = self.order.as_ref().is_some_and(|order| order.voters.contains(&notice.witness));
        let place = (notice.witness, notice.subject);
        let new = self.noticed.get(&place).is_none_or(|number| notice.number > *number);
        // Threat: a clock that was far ahead once would have all later notices of that voter refused.
        let timely = notice.number <= micros(now + self.pace.clock_tolerance);
        let fits = timely && notice.subject < SUBJECTS && notice.says.len() <= LONGEST;
        let key = self.members.get(notice.witness).map(|member| member.card.pass.key);
        let Some(key) = key.filter(|_| votes && new && fits && notice.witness != self.own.id()) else {
            return;
        };
        if !self.may_check(now, at_home, 1) {
            return;
        }
        if !notice.is_signed_by(&key) {
            self.counts.forged += 1;
            return;
        }
        self.noticed.insert(place, notice.number);
        self.news.add(About::Notice(notice.witness, notice.subject), notice.to_bytes().into());
        let Notice { witness: from, subject, says: payload, .. } = notice;
        self.todo.push_back(Action::Notice { from, subject, payload });
    }
}
