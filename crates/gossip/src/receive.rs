//! Handles incoming datagrams. Nothing in a datagram is used before its signature, its sender's pass and its
//! timestamp have been verified.

use std::net::SocketAddr;
use std::rc::Rc;

use rand::RngExt;
use woadhook::Moment;

use crate::instance::{Action, EventKind, Gossip, Probe, RelayedPing, ViewDifference};
use crate::item_queue::Topic;
use crate::keys::MemberId;
use crate::members::{self, MIN_CREDIT, MemberChange, NO_MEMBER, ReportEffect, State, is_too_far_ahead};
use crate::observations::RejectReason;
use crate::wire::{
    self, DatagramKind, Envelope, FailureReport, Item, ItemTag, MAX_DATAGRAM_BYTES, MemberRecord,
    Observation, PADDED_PING_BYTES, TaggedItem, envelope_bytes,
};

/// Expected number of members that probe a suspect themselves after a failure report about it.
const EXPECTED_PROBERS: f64 = 8.0;
/// Maximum number of suspects waiting for such a probe.
const MAX_SUSPECTS_TO_PROBE: usize = 16;
/// Maximum number of pings in progress on behalf of other members.
const MAX_RELAYED_PINGS: usize = 64;
/// Pages sent in answer to one pull.
const PAGES_PER_PULL: usize = 4;

impl Gossip {
    /// Handles a received datagram. Nothing in it is used before its signature, its sender's pass and its
    /// timestamp have been verified.
    pub fn receive(&mut self, now: Moment, from: SocketAddr, bytes: &[u8]) {
        self.counters.received += 1;
        self.counters.received_bytes += bytes.len() as u64;
        let read = Envelope::read(bytes).filter(|envelope| envelope.cluster == self.trust_store.cluster);
        let Some(envelope) =
            read.filter(|envelope| envelope.to == self.identity.id() || envelope.to == NO_MEMBER)
        else {
            self.counters.foreign += 1;
            return;
        };
        let max_age = self.config.clock_tolerance + self.config.observation_lifetime;
        if envelope.sent > now + self.config.clock_tolerance || now.since(envelope.sent) > max_age {
            self.counters.bad_timestamp += 1;
            return;
        }
        let Some(record) = MemberRecord::read(envelope.record)
            .filter(|record| record.id == envelope.sender && record.id != self.id())
        else {
            self.counters.foreign += 1;
            return;
        };
        if !self.trust_store.may_accept_pass(&record.pass, now, self.config.clock_tolerance)
            || is_too_far_ahead(record.incarnation, now, self.config.clock_tolerance)
        {
            self.counters.not_admitted += 1;
            return;
        }
        let known = self.members.get(record.id);
        let is_outdated = known.is_some_and(|member| member.record.incarnation > record.incarnation);
        if known.is_some_and(|m| {
            m.record.incarnation == record.incarnation && !m.replay_window.is_new(envelope.number)
        }) {
            self.counters.replayed += 1;
            return;
        }
        let same_record = known.is_some_and(|member| *member.record.bytes == *record.bytes);
        let known_address = known.is_some_and(|member| member.record.address == from);
        // A record that is known already was verified before, so only the datagram's signature is checked.
        // Otherwise the signatures of the pass and of the record are checked too.
        let checks = if same_record { 1.0 } else { 3.0 };
        let bucket = if known_address { &mut self.check_budget } else { &mut self.unknown_sender_budget };
        if !bucket.take(now, checks) {
            self.counters.checks_over_budget += 1;
            return;
        }
        self.counters.signature_checks += checks as u64;
        let record_is_valid =
            same_record || (self.trust_store.verifies_pass(&record.pass) && record.is_self_signed());
        if !record_is_valid || !envelope.is_signed_by(&record.pass.key) {
            self.counters.bad_signature += 1;
            return;
        }
        if is_outdated {
            self.counters.replayed += 1;
            self.send_newer_record(now, from, &record, &envelope, bytes.len());
            return;
        }
        let record = Rc::new(record);
        self.apply_record(now, record.clone());
        let Some(member) = self.members.get_mut(record.id) else { return };
        member.replay_window.record(envelope.number);
        let is_fresh = now.since(envelope.sent) <= self.config.clock_tolerance + self.config.period;
        let was_gone = matches!(member.state, State::Gone { .. });
        if is_fresh && !record.leaving {
            let effect = self.members.record_contact(now, record.id);
            self.report_change(effect, &record);
        }
        self.respond(now, from, &record, &envelope, bytes.len(), was_gone);
        self.compare_views(&envelope);
        for item in envelope.items() {
            match item {
                Item::Direct(bytes) if envelope.to == self.identity.id() => {
                    self.actions.push_back(Action::DirectMessage { from: envelope.sender, bytes });
                }
                item => self.handle_item(now, known_address, item),
            }
        }
    }

    /// Sends the known record to a sender whose own record is older. Such a sender does not know of a later
    /// incarnation of itself, or that it was considered gone.
    pub(crate) fn send_newer_record(
        &mut self, now: Moment, from: SocketAddr, record: &MemberRecord, envelope: &Envelope<'_>,
        length: usize,
    ) {
        let Some(member) = self.members.get(record.id) else { return };
        let items = vec![(ItemTag::MemberRecord, member.record.bytes.clone())];
        self.send_limited(
            now,
            DatagramKind::Ack,
            record.id,
            from,
            envelope.datagram_id(),
            NO_MEMBER,
            items,
            0,
            length,
        );
    }

    /// Answers a datagram according to its kind. If the datagram is an acknowledgement, also removes this
    /// instance's pings that it answers.
    pub(crate) fn respond(
        &mut self, now: Moment, from: SocketAddr, record: &MemberRecord, envelope: &Envelope<'_>,
        length: usize, was_gone: bool,
    ) {
        let Some(member) = self.members.get_mut(record.id) else { return };
        // The reply is signed with the member's key and contains the id of a datagram that was sent to the
        // member. Only a process that received that datagram knows the id, so a reply from the recorded
        // address verifies that the member receives there.
        let is_reply = envelope.in_reply_to != 0
            && (self
                .probes
                .iter()
                .any(|probe| probe.datagram_id == envelope.in_reply_to && probe.target == record.id)
                || self
                    .relayed_pings
                    .iter()
                    .any(|ping| ping.datagram_id == envelope.in_reply_to && ping.target == record.id));
        if is_reply && member.record.address == from {
            member.address_verified = true;
        }
        let max_bytes = if member.address_verified && member.record.address == from {
            MAX_DATAGRAM_BYTES
        } else {
            length.min(MAX_DATAGRAM_BYTES)
        };
        let mut items = Vec::new();
        // A sender that this instance considered gone receives a failure report about itself, so that it can
        // refute the report with a higher incarnation.
        if was_gone {
            let report = FailureReport::issue(&self.identity, record.id, record.incarnation, now);
            items.push((ItemTag::FailureReport, report.to_bytes().into()));
        }
        // The meaning of the field `about` depends on the kind and is given at each kind that uses it.
        match envelope.kind {
            DatagramKind::Ping => {
                self.send_limited(
                    now,
                    DatagramKind::Ack,
                    record.id,
                    from,
                    envelope.datagram_id(),
                    NO_MEMBER,
                    items,
                    0,
                    max_bytes,
                );
            }
            DatagramKind::Ack => {
                let in_reply_to = envelope.in_reply_to;
                let is_answered = |probe: &Probe| {
                    (probe.datagram_id == in_reply_to && probe.target == record.id)
                        || probe.helper_request_ids.contains(&in_reply_to)
                };
                self.probes.retain(|probe| !is_answered(probe));
                if let Some(index) = self
                    .relayed_pings
                    .iter()
                    .position(|e| e.datagram_id == in_reply_to && e.target == record.id)
                    && let Some(ping) = self.relayed_pings.remove(index)
                {
                    let requester = self
                        .members
                        .live()
                        .find(|(_, m)| m.record.address == ping.requester)
                        .map(|(id, _)| id);
                    let to = requester.unwrap_or(NO_MEMBER);
                    self.send(
                        now,
                        DatagramKind::Ack,
                        to,
                        ping.requester,
                        ping.request_id,
                        record.id,
                        Vec::new(),
                        0,
                    );
                }
            }
            // `about` is the member to ping.
            DatagramKind::PingRequest => {
                let requester_verified = self
                    .members
                    .get(record.id)
                    .is_some_and(|m| m.address_verified && m.record.address == from);
                let known = self.members.get(envelope.about).map(|m| (m.record.address, m.address_verified));
                let Some((to, target_verified)) =
                    known.filter(|_| requester_verified && self.relayed_pings.len() < MAX_RELAYED_PINGS)
                else {
                    return;
                };
                let padded_length = if target_verified { 0 } else { PADDED_PING_BYTES };
                let (request_id, target) = (envelope.datagram_id(), envelope.about);
                if let Some(datagram_id) =
                    self.send(now, DatagramKind::Ping, target, to, 0, NO_MEMBER, Vec::new(), padded_length)
                {
                    self.relayed_pings.push_back(RelayedPing {
                        datagram_id,
                        requester: from,
                        target,
                        request_id,
                        sent: now,
                    });
                }
            }
            // `about` is the id after which the requested records start.
            DatagramKind::Pull => {
                // A verified address gets several pages at once. Any other address gets one page, no larger
                // than the request.
                let pages = if max_bytes == MAX_DATAGRAM_BYTES
                    && self.members.get(record.id).is_some_and(|m| m.address_verified)
                {
                    PAGES_PER_PULL
                } else {
                    1
                };
                let mut cursor = envelope.about;
                for _ in 0..pages {
                    let (records, next) = self.record_page(cursor, record.id, max_bytes);
                    cursor = next;
                    self.send_limited(
                        now,
                        DatagramKind::Page,
                        record.id,
                        from,
                        envelope.datagram_id(),
                        cursor,
                        records,
                        0,
                        max_bytes,
                    );
                    if cursor == NO_MEMBER {
                        break;
                    }
                }
            }
            // `about` is the id after which the next page starts. Pages may arrive out of order, so only the
            // last page resets the cursor.
            DatagramKind::Page if envelope.about == NO_MEMBER => self.pull_cursor = NO_MEMBER,
            DatagramKind::Direct => {}
            DatagramKind::Page => self.pull_cursor = self.pull_cursor.max(envelope.about),
        }
    }

    /// Returns as many live members' records after an id as fit into `max_bytes`, and the id to continue
    /// from, which is `NO_MEMBER` at the end of the table.
    pub(crate) fn record_page(
        &self, after: MemberId, except: MemberId, max_bytes: usize,
    ) -> (Vec<TaggedItem>, MemberId) {
        let mut available = max_bytes.saturating_sub(envelope_bytes(self.record.bytes.len()));
        let (mut records, mut last) = (Vec::new(), after);
        for record in self.members.records_after(after).filter(|record| record.id != except) {
            let length = record.bytes.len() + wire::ITEM_HEAD_BYTES;
            if length > available {
                return (records, last);
            }
            available -= length;
            last = record.id;
            records.push((ItemTag::MemberRecord, record.bytes.clone()));
        }
        (records, NO_MEMBER)
    }

    /// Compares the view that the sender reports with this instance's own. The difference is large if this
    /// instance's number of live members is more than one below 95 % of the reported number.
    pub(crate) fn compare_views(&mut self, envelope: &Envelope<'_>) {
        if !matches!(envelope.kind, DatagramKind::Ack | DatagramKind::Page) {
            return;
        }
        let (own, reported) = (self.members.live_count() as f64, f64::from(envelope.live_members));
        self.view_difference = if envelope.view_digest == self.view_digest() {
            ViewDifference::None
        } else if own < reported * 0.95 - 1.0 {
            ViewDifference::Large
        } else {
            ViewDifference::Small
        };
    }

    pub(crate) fn apply_record(&mut self, now: Moment, record: Rc<MemberRecord>) -> bool {
        let effect = self.members.apply_record(now, record.clone());
        if matches!(effect, MemberChange::Unchanged | MemberChange::TableFull) {
            if effect == MemberChange::TableFull {
                self.push_event(EventKind::MemberTableFull, Some(record.pass.name.clone()), None, None);
            }
            return false;
        }
        self.report_change(effect, &record);
        self.item_queue.add(Topic::MemberRecord(record.id), record.bytes.clone());
        true
    }

    pub(crate) fn report_change(&mut self, effect: MemberChange, record: &MemberRecord) {
        let kind = match effect {
            MemberChange::Joined => EventKind::MemberJoined,
            MemberChange::Back => EventKind::MemberBack,
            MemberChange::Refuted => EventKind::MemberRefuted,
            MemberChange::Left => EventKind::MemberLeft,
            MemberChange::Unchanged | MemberChange::Renewed | MemberChange::TableFull => return,
        };
        self.push_event(kind, Some(record.pass.name.clone()), None, None);
    }

    /// Takes `checks` signature checks from the budget that applies to the sender. Returns false if the
    /// budget is used up.
    pub(crate) fn take_check_budget(&mut self, now: Moment, known_address: bool, checks: u32) -> bool {
        let bucket = if known_address { &mut self.check_budget } else { &mut self.unknown_sender_budget };
        let taken = bucket.take(now, f64::from(checks));
        if taken {
            self.counters.signature_checks += u64::from(checks);
        } else {
            self.counters.checks_over_budget += 1;
        }
        taken
    }

    pub(crate) fn handle_item(&mut self, now: Moment, known_address: bool, item: Item) {
        match item {
            Item::MemberRecord(record) => self.handle_record(now, known_address, record),
            Item::FailureReport(report) => self.handle_failure_report(now, known_address, &report),
            Item::Observation(observation) => self.handle_observation(now, known_address, &observation),
            // The operator's voter set names the voters, and notices are the voters' messages to all members.
            Item::VoterSet(voter_set) => self.handle_voter_set(now, known_address, voter_set),
            Item::Notice(notice) => self.handle_notice(now, known_address, notice),
            Item::Direct(_) => {}
            Item::Revocation(revocation) => {
                if !self.trust_store.is_revoked(revocation.member)
                    && revocation.cluster == self.trust_store.cluster
                    && self.take_check_budget(now, known_address, 1)
                    && self.trust_store.revoke(&revocation, now)
                {
                    self.apply_revocation(&revocation);
                }
            }
        }
    }

    pub(crate) fn handle_record(&mut self, now: Moment, known_address: bool, record: MemberRecord) {
        if record.id == self.id() {
            // The record has this instance's own id. If it is newer than the current one, it was issued
            // before a restart, when the clock was ahead, or it was made with a stolen key.
            let is_newer = record.incarnation > self.record.incarnation
                || record.leaving && record.incarnation == self.record.incarnation;
            if is_newer
                && !is_too_far_ahead(record.incarnation, now, self.config.clock_tolerance)
                && self.take_check_budget(now, known_address, 1)
                && record.is_self_signed()
            {
                self.renew_record(now, record.incarnation + 1);
            }
            return;
        }
        let known = self.members.get(record.id);
        if known.is_some_and(|member| member.record.incarnation >= record.incarnation)
            || !self.trust_store.may_accept_pass(&record.pass, now, self.config.clock_tolerance)
            || is_too_far_ahead(record.incarnation, now, self.config.clock_tolerance)
        {
            return;
        }
        let same_pass = known.is_some_and(|member| member.record.pass == record.pass);
        if !self.take_check_budget(now, known_address, if same_pass { 1 } else { 2 }) {
            return;
        }
        if (!same_pass && !self.trust_store.verifies_pass(&record.pass)) || !record.is_self_signed() {
            self.counters.bad_signature += 1;
            return;
        }
        self.apply_record(now, Rc::new(record));
    }

    pub(crate) fn handle_failure_report(&mut self, now: Moment, known_address: bool, report: &FailureReport) {
        let key = self.members.get(report.reporter).map(|reporter| reporter.record.pass.key);
        let is_stale = report.signed_at > now + self.config.clock_tolerance
            || now.since(report.signed_at) > self.config.clock_tolerance + self.config.observation_lifetime;
        let Some(key) = key.filter(|_| !is_stale) else { return };
        if report.subject == self.id() {
            let is_current = report.incarnation == self.record.incarnation
                && self.last_refutation.is_none_or(|at| now.since(at) >= self.config.period);
            if is_current && self.take_check_budget(now, known_address, 1) && report.is_signed_by(&key) {
                // The next incarnation refutes the report, so no minimum incarnation (0) is required.
                self.renew_record(now, 0);
                self.push_event(EventKind::SelfSuspected, None, None, None);
            }
            return;
        }
        let within_budget = |member: &mut members::Member| member.take_report_budget(now);
        if !self.members.would_count(report)
            || !self.members.get_mut(report.reporter).is_some_and(within_budget)
        {
            return;
        }
        if !self.take_check_budget(now, known_address, 1) {
            return;
        }
        if !report.is_signed_by(&key) {
            self.counters.bad_signature += 1;
            return;
        }
        let effect = self.members.apply_failure_report(now, report);
        if effect == ReportEffect::Ignored {
            return;
        }
        let topic = Topic::FailureReport(report.subject, report.reporter);
        self.item_queue.add(topic, report.to_bytes().into());
        if effect == ReportEffect::NewSuspect {
            let name = self.members.get(report.subject).map(|member| member.record.pass.name.clone());
            self.push_event(EventKind::MemberSuspect, name, None, None);
        }
        let probability = (EXPECTED_PROBERS / self.members.live_count() as f64).min(1.0);
        let is_waiting = self.suspects_to_probe.contains(&report.subject);
        if !is_waiting
            && self.suspects_to_probe.len() < MAX_SUSPECTS_TO_PROBE
            && self.rng.random_bool(probability)
        {
            self.suspects_to_probe.push_back(report.subject);
        }
    }

    pub(crate) fn handle_observation(&mut self, now: Moment, known_address: bool, observation: &Observation) {
        if observation.reporter == self.id() {
            return;
        }
        let Some(reporter) = self.members.get(observation.reporter) else { return };
        let (key, name_hash, credit) = (reporter.record.pass.key, reporter.name_hash, reporter.credit());
        let result = self.observations.check(now, observation);
        if credit < MIN_CREDIT
            || result.is_err()
            || is_too_far_ahead(observation.incarnation, now, self.config.clock_tolerance)
        {
            self.counters.observations_rejected += u64::from(result != Err(RejectReason::NotNewer));
            return;
        }
        let within_budget = self
            .members
            .get_mut(observation.reporter)
            .is_some_and(|member| member.take_observation_budget(now));
        if !within_budget || !self.take_check_budget(now, known_address, 1) {
            self.counters.observations_rejected += 1;
            return;
        }
        if !observation.is_signed_by(&key) {
            self.counters.bad_signature += 1;
            return;
        }
        self.counters.observations_accepted += 1;
        self.observations.insert(now, observation, name_hash);
        let topic = Topic::Observation(
            observation.reporter,
            observation.engine.clone(),
            observation.reservation_type.clone(),
        );
        self.item_queue.add(topic, observation.to_bytes().into());
        let name = self.members.get(observation.reporter).map(|member| member.record.pass.name.clone());
        self.push_event(
            EventKind::ObservationReceived,
            name,
            Some(&observation.engine),
            Some(observation.condition),
        );
        self.push_peer_report(now, &observation.engine, observation.reservation_type.clone());
    }
}
