//! Whom this instance believes, and how it leaves.

use std::rc::Rc;

use rand::RngExt;
use woadhook::Moment;

use crate::instance::{EventKind, Gossip};
use crate::keys::{Identity, MemberId, Revocation, TrustStore};
use crate::members::NOBODY;
use crate::news::About;
use crate::wire::{DatagramKind, MemberRecord};

impl Gossip {
    /// New keys, as read again. A key that is no longer this instance's leaves.
    pub fn rekey(&mut self, now: Moment, own: Identity, mut ring: TrustStore) {
        for known in self.ring.revocations() {
            ring.revoke(known, now);
        }
        let fresh: Vec<Revocation> =
            ring.revocations().filter(|listed| !self.ring.is_revoked(listed.member)).cloned().collect();
        self.ring = ring;
        for revocation in fresh {
            self.strike(&revocation);
        }
        if own.id() != self.own.id() {
            let left = MemberRecord::issue(&self.own, self.address, self.card.incarnation + 1, true);
            self.news.add(About::MemberRecord(left.id), left.bytes);
            self.members.rename(own.id());
            (self.number, self.word_number, self.probes) = (0, 0, Vec::new());
        }
        // Threat: a key of the operator was lost, and whom its thief admitted goes on speaking through others.
        let out: Vec<_> = self
            .members
            .iter()
            .filter(|(_, m)| !self.ring.fits(&m.card.pass, now, self.pace.clock_tolerance))
            .collect();
        let out: Vec<(MemberId, String)> =
            out.into_iter().map(|(id, m)| (id, m.card.pass.name.clone())).collect();
        for (id, name) in out {
            self.put_out(id, name);
        }
        self.own = own;
        self.ending_told = false;
        self.renew(now, 0);
    }

    /// A key no longer belongs.
    pub(crate) fn strike(&mut self, revocation: &Revocation) {
        self.tell_revocation(revocation);
        if let Some(name) = self.members.get(revocation.member).map(|member| member.card.pass.name.clone()) {
            self.put_out(revocation.member, name);
        }
    }

    /// A member is believed no more, and neither is what it said.
    pub(crate) fn put_out(&mut self, id: MemberId, name: String) {
        self.members.remove(id);
        self.words.forget(id);
        self.news.forget(&About::MemberRecord(id));
        self.event(EventKind::MemberRevoked, Some(name), None, None);
    }

    /// This instance stops: members are told, so that none has to find out.
    pub fn leave(&mut self, now: Moment) {
        self.left = true;
        self.card = Rc::new(MemberRecord::issue(&self.own, self.address, self.card.incarnation + 1, true));
        let others: Vec<_> = self.members.living().map(|(id, m)| (id, m.card.address)).collect();
        let some = (others.len() + 1).ilog2() as usize + 1;
        for _ in 0..some.min(others.len()) {
            let (id, to) = others[self.chance.random_range(0..others.len())];
            self.send(now, DatagramKind::Ping, id, to, 0, NOBODY, Vec::new(), 0);
        }
    }
}
