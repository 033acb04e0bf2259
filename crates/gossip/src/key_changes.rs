//! Replacement of keys, removal of members that are no longer trusted, and leaving.

use std::rc::Rc;

use rand::RngExt;
use woadhook::Moment;

use crate::instance::{EventKind, Gossip};
use crate::item_queue::Topic;
use crate::keys::{Identity, MemberId, Revocation, TrustStore};
use crate::members::NO_MEMBER;
use crate::wire::{DatagramKind, MemberRecord};

impl Gossip {
    /// Installs keys and a trust store that were read again. If this instance's key changed, the old member
    /// id leaves. Members whose pass the new trust store does not accept are removed.
    pub fn rekey(&mut self, now: Moment, identity: Identity, mut trust_store: TrustStore) {
        for known in self.trust_store.revocations() {
            trust_store.revoke(known, now);
        }
        let new_revocations: Vec<Revocation> = trust_store
            .revocations()
            .filter(|listed| !self.trust_store.is_revoked(listed.member))
            .cloned()
            .collect();
        self.trust_store = trust_store;
        for revocation in new_revocations {
            self.apply_revocation(&revocation);
        }
        if identity.id() != self.identity.id() {
            let leaving_record =
                MemberRecord::issue(&self.identity, self.address, self.record.incarnation + 1, true);
            self.item_queue.add(Topic::MemberRecord(leaving_record.id), leaving_record.bytes);
            self.members.replace_own_id(identity.id());
            (self.datagram_number, self.observation_number, self.probes) = (0, 0, Vec::new());
        }
        // Threat: if an operator key is stolen, items of members admitted with it would still be accepted
        // when others relay them, even after the key is no longer trusted. These members are removed here,
        // with their observations.
        let untrusted: Vec<_> = self
            .members
            .iter()
            .filter(|(_, m)| {
                !self.trust_store.may_accept_pass(&m.record.pass, now, self.config.clock_tolerance)
            })
            .collect();
        let untrusted: Vec<(MemberId, String)> =
            untrusted.into_iter().map(|(id, m)| (id, m.record.pass.name.clone())).collect();
        for (id, name) in untrusted {
            self.remove_untrusted(id, name);
        }
        self.identity = identity;
        self.pass_ending_reported = false;
        self.renew_record(now, 0);
    }

    /// Spreads a revocation and removes the member whose key it revokes.
    pub(crate) fn apply_revocation(&mut self, revocation: &Revocation) {
        self.queue_revocation(revocation);
        if let Some(name) = self.members.get(revocation.member).map(|member| member.record.pass.name.clone())
        {
            self.remove_untrusted(revocation.member, name);
        }
    }

    /// Removes a member that is no longer trusted, with its observations and its queued record.
    pub(crate) fn remove_untrusted(&mut self, id: MemberId, name: String) {
        self.members.remove(id);
        self.observations.remove_reporter(id);
        self.item_queue.remove(&Topic::MemberRecord(id));
        self.push_event(EventKind::MemberRevoked, Some(name), None, None);
    }

    /// Stops taking part. A few members are sent a record marked as leaving, which they spread, so that no
    /// member has to detect the stop by failed pings.
    pub fn leave(&mut self, now: Moment) {
        self.has_left = true;
        self.record =
            Rc::new(MemberRecord::issue(&self.identity, self.address, self.record.incarnation + 1, true));
        let peers: Vec<_> = self.members.live().map(|(id, m)| (id, m.record.address)).collect();
        let count = (peers.len() + 1).ilog2() as usize + 1;
        for _ in 0..count.min(peers.len()) {
            let (id, address) = peers[self.rng.random_range(0..peers.len())];
            self.send(now, DatagramKind::Ping, id, address, 0, NO_MEMBER, Vec::new(), 0);
        }
    }
}
