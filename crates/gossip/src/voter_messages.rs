//! Messages of the voters, to one another and to all members. The operator's voter set names the voters. The
//! payloads are opaque to gossip.

use woadhook::Moment;

use crate::instance::{Action, Gossip};
use crate::item_queue::Topic;
use crate::keys::{MemberId, VoterSet, micros};
use crate::members::NO_MEMBER;
use crate::wire::{DatagramKind, ItemTag, Notice};

/// Number of notice subjects.
pub const NOTICE_SUBJECTS: u8 = 4;
/// Maximum length of a notice's payload or a direct message, in bytes. It has to fit into a datagram beside a
/// member record.
pub const MAX_PAYLOAD_BYTES: usize = 680;

impl Gossip {
    /// Accepts a voter set from the operator's file if it is newer than the known one and signed by an
    /// operator key. Returns whether it was accepted.
    pub fn accept_voter_set(&mut self, voter_set: VoterSet) -> bool {
        let is_newer = self.voter_set.as_ref().is_none_or(|known| voter_set.epoch > known.epoch);
        if !is_newer || !self.trust_store.verifies_voter_set(&voter_set) {
            return false;
        }
        self.store_voter_set(voter_set);
        true
    }

    fn store_voter_set(&mut self, voter_set: VoterSet) {
        self.actions.push_back(Action::VoterSet { epoch: voter_set.epoch, voters: voter_set.voters.clone() });
        self.notice_numbers.clear();
        self.voter_set = Some(voter_set);
        self.rebroadcast_voter_set();
    }

    /// Queues the voter set again, for members that started since.
    pub fn rebroadcast_voter_set(&mut self) {
        if let Some(voter_set) = &self.voter_set {
            self.item_queue.add(Topic::VoterSet, voter_set.to_bytes().into());
        }
    }

    /// Sends a message to one member. Returns false if the member is unknown, the message does not fit or the
    /// send budget is used up.
    pub fn send_direct(&mut self, now: Moment, to: MemberId, bytes: Vec<u8>) -> bool {
        let Some(address) = self.members.get(to).map(|member| member.record.address) else { return false };
        let direct = vec![(ItemTag::Direct, bytes.into())];
        self.send(now, DatagramKind::Direct, to, address, 0, NO_MEMBER, direct, 0).is_some()
    }

    /// Signs a notice and queues it for all members. It is numbered by the time, so that numbers also grow
    /// across restarts.
    pub fn broadcast_notice(&mut self, now: Moment, subject: u8, payload: Vec<u8>) {
        let number = micros(now);
        if payload.len() <= MAX_PAYLOAD_BYTES && subject < NOTICE_SUBJECTS {
            let notice = Notice::issue(&self.identity, subject, number, payload);
            self.item_queue.add(Topic::Notice(self.identity.id(), subject), notice.to_bytes().into());
        }
    }

    pub(crate) fn handle_voter_set(&mut self, now: Moment, known_address: bool, voter_set: VoterSet) {
        let is_newer = self.voter_set.as_ref().is_none_or(|known| voter_set.epoch > known.epoch);
        if is_newer && self.take_check_budget(now, known_address, 1) {
            if self.trust_store.verifies_voter_set(&voter_set) {
                self.store_voter_set(voter_set);
            } else {
                self.counters.bad_signature += 1;
            }
        }
    }

    /// Handles a notice. Only notices of voters in the latest voter set are accepted, each once, so the table
    /// stays small and floods of other members are not relayed.
    pub(crate) fn handle_notice(&mut self, now: Moment, known_address: bool, notice: Notice) {
        let is_voter =
            self.voter_set.as_ref().is_some_and(|voter_set| voter_set.voters.contains(&notice.voter));
        let topic = (notice.voter, notice.subject);
        let is_new = self.notice_numbers.get(&topic).is_none_or(|number| notice.number > *number);
        // Threat: a notice from a voter whose clock was far ahead once would cause all its later notices to
        // be refused.
        let is_timely = notice.number <= micros(now + self.config.clock_tolerance);
        let is_acceptable =
            is_timely && notice.subject < NOTICE_SUBJECTS && notice.payload.len() <= MAX_PAYLOAD_BYTES;
        let key = self.members.get(notice.voter).map(|member| member.record.pass.key);
        let Some(key) =
            key.filter(|_| is_voter && is_new && is_acceptable && notice.voter != self.identity.id())
        else {
            return;
        };
        if !self.take_check_budget(now, known_address, 1) {
            return;
        }
        if !notice.is_signed_by(&key) {
            self.counters.bad_signature += 1;
            return;
        }
        self.notice_numbers.insert(topic, notice.number);
        self.item_queue.add(Topic::Notice(notice.voter, notice.subject), notice.to_bytes().into());
        let Notice { voter: from, subject, payload, .. } = notice;
        self.actions.push_back(Action::Notice { from, subject, payload });
    }
}
