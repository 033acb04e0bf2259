//! What a few voters say, to one another and to all: who they are is the operator's order, and what they say is not for
//! gossip to know.

use woadhook::Moment;

use crate::instance::{Do, Gossip};
use crate::keys::{MemberId, Order, micros};
use crate::members::NOBODY;
use crate::news::About;
use crate::wire::{Kind, Notice, Tag};

/// Subjects of notices.
pub const SUBJECTS: u8 = 4;
/// The longest notice or word for one, in bytes: it has to fit beside a card into a datagram.
pub const LONGEST: usize = 680;

impl Gossip {
    /// Takes in an order, from the operator's file; an older one than is known says nothing. Whether it counts.
    pub fn order(&mut self, order: Order) -> bool {
        let newer = self.order.as_ref().is_none_or(|known| order.epoch > known.epoch);
        if !newer || !self.ring.believes_order(&order) {
            return false;
        }
        self.take_order(order);
        true
    }

    fn take_order(&mut self, order: Order) {
        self.todo.push_back(Do::Ordered { epoch: order.epoch, voters: order.voters.clone() });
        self.noticed.clear();
        self.order = Some(order);
        self.retell_order();
    }

    /// Has the order go round once more, for those that started since.
    pub fn retell_order(&mut self) {
        if let Some(order) = &self.order {
            self.news.add(About::Order, order.to_bytes().into());
        }
    }

    /// Sends words to one member, if it is known, the words are short enough and the budget allows.
    pub fn tell(&mut self, now: Moment, to: MemberId, bytes: Vec<u8>) -> bool {
        let Some(at) = self.members.get(to).map(|member| member.card.address) else { return false };
        let direct = vec![(Tag::Direct, bytes.into())];
        self.send(now, Kind::Tell, to, at, 0, NOBODY, direct, 0).is_some()
    }

    /// Signs a notice that all tell on, numbered by the time so that numbers grow over restarts too.
    pub fn notice(&mut self, now: Moment, subject: u8, says: Vec<u8>) {
        let number = micros(now);
        if says.len() <= LONGEST && subject < SUBJECTS {
            let notice = Notice::issue(&self.own, subject, number, says);
            self.news.add(About::Notice(self.own.id(), subject), notice.to_bytes().into());
        }
    }

    pub(crate) fn hear_order(&mut self, now: Moment, at_home: bool, order: Order) {
        let newer = self.order.as_ref().is_none_or(|known| order.epoch > known.epoch);
        if newer && self.may_check(now, at_home, 1) {
            if self.ring.believes_order(&order) {
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
        let timely = notice.number <= micros(now + self.pace.tolerance);
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
        let Notice { witness: from, subject, says, .. } = notice;
        self.todo.push_back(Do::Notice { from, subject, says });
    }
}
