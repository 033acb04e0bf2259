//! What came from others: nothing is learned from it before its signature, its sender's pass and its time are found good.

use std::net::SocketAddr;
use std::rc::Rc;

use rand::RngExt;
use woadhook::Moment;

use crate::instance::{Action, Behind, Errand, EventKind, Gossip, Probe};
use crate::keys::MemberId;
use crate::members::{self, Change, Charge, LEAST_CREDIT, NOBODY, State, runs_ahead};
use crate::news::About;
use crate::wire::{
    self, Accusation, DatagramKind, Envelope, Item, ItemTag, MAX_DATAGRAM_BYTES, MemberRecord, Observation,
    PADDED_PING_BYTES, TaggedItem, envelope_bytes,
};
use crate::words::Refused;

/// How many of all members check an accusation by a ping of their own, about.
const CHECKERS: f64 = 8.0;
/// Accused members that wait for such a ping.
const TO_CHECK: usize = 16;
/// Pings that are made for others.
const ERRANDS: usize = 64;
/// Pages in answer to one pull.
const PAGES: usize = 4;

impl Gossip {
    /// A datagram came. Nothing is learned from it before its signature, its sender's pass and its time are found good.
    pub fn receive(&mut self, now: Moment, from: SocketAddr, bytes: &[u8]) {
        self.counts.received += 1;
        self.counts.received_bytes += bytes.len() as u64;
        let read = Envelope::read(bytes).filter(|envelope| envelope.cluster == self.ring.cluster);
        let Some(envelope) = read.filter(|envelope| envelope.to == self.own.id() || envelope.to == NOBODY)
        else {
            self.counts.foreign += 1;
            return;
        };
        let old = self.pace.clock_tolerance + self.pace.observation_lifetime;
        if envelope.sent > now + self.pace.clock_tolerance || now.since(envelope.sent) > old {
            self.counts.untimely += 1;
            return;
        }
        let Some(card) = MemberRecord::read(envelope.card)
            .filter(|card| card.id == envelope.sender && card.id != self.id())
        else {
            self.counts.foreign += 1;
            return;
        };
        if !self.ring.fits(&card.pass, now, self.pace.clock_tolerance)
            || runs_ahead(card.incarnation, now, self.pace.clock_tolerance)
        {
            self.counts.not_admitted += 1;
            return;
        }
        let known = self.members.get(card.id);
        let remind = known.is_some_and(|member| member.card.incarnation > card.incarnation);
        if known.is_some_and(|m| m.card.incarnation == card.incarnation && !m.window.is_new(envelope.number))
        {
            self.counts.replayed += 1;
            return;
        }
        let same_card = known.is_some_and(|member| *member.card.bytes == *card.bytes);
        let at_home = known.is_some_and(|member| member.card.address == from);
        let checks = if same_card { 1.0 } else { 3.0 };
        let bucket = if at_home { &mut self.checks } else { &mut self.strangers };
        if !bucket.take(now, checks) {
            self.counts.over_budget += 1;
            return;
        }
        self.counts.signature_checks += checks as u64;
        let card_is_good = same_card || (self.ring.verifies_pass(&card.pass) && card.is_own_word());
        if !card_is_good || !envelope.is_signed_by(&card.pass.key) {
            self.counts.forged += 1;
            return;
        }
        if remind {
            self.counts.replayed += 1;
            self.remind(now, from, &card, &envelope, bytes.len());
            return;
        }
        let card = Rc::new(card);
        self.take_card(now, card.clone());
        let Some(member) = self.members.get_mut(card.id) else { return };
        member.window.note(envelope.number);
        let fresh = now.since(envelope.sent) <= self.pace.clock_tolerance + self.pace.period;
        let was_gone = matches!(member.state, State::Gone { .. });
        if fresh && !card.leaving {
            let change = self.members.spoke(now, card.id);
            self.tell_change(change, &card);
        }
        self.answer(now, from, &card, &envelope, bytes.len(), was_gone);
        self.compare_views(&envelope);
        for statement in envelope.items() {
            match statement {
                Item::Direct(bytes) if envelope.to == self.own.id() => {
                    self.todo.push_back(Action::DirectMessage { from: envelope.sender, bytes });
                }
                statement => self.take_statement(now, at_home, statement),
            }
        }
    }

    /// The sender is behind its own later start, or does not know that it was thought gone: it is shown what is held of it.
    pub(crate) fn remind(
        &mut self, now: Moment, from: SocketAddr, card: &MemberRecord, envelope: &Envelope<'_>, length: usize,
    ) {
        let Some(member) = self.members.get(card.id) else { return };
        let newer = vec![(ItemTag::MemberRecord, member.card.bytes.clone())];
        self.send_within(now, DatagramKind::Ack, card.id, from, envelope.mark(), NOBODY, newer, 0, length);
    }

    pub(crate) fn answer(
        &mut self, now: Moment, from: SocketAddr, card: &MemberRecord, envelope: &Envelope<'_>,
        length: usize, was_gone: bool,
    ) {
        let Some(member) = self.members.get_mut(card.id) else { return };
        // Only who got the datagram of that mark, and has the key, can tell it: the address is proven.
        let ours = envelope.re != 0
            && (self.probes.iter().any(|probe| probe.mark == envelope.re && probe.to == card.id)
                || self.errands.iter().any(|errand| errand.mark == envelope.re && errand.member == card.id));
        if ours && member.card.address == from {
            member.proven = true;
        }
        let most = if member.proven && member.card.address == from {
            MAX_DATAGRAM_BYTES
        } else {
            length.min(MAX_DATAGRAM_BYTES)
        };
        let mut first = Vec::new();
        if was_gone {
            let accusation = Accusation::issue(&self.own, card.id, card.incarnation, now);
            first.push((ItemTag::Accusation, accusation.to_bytes().into()));
        }
        match envelope.kind {
            DatagramKind::Ping => {
                self.send_within(
                    now,
                    DatagramKind::Ack,
                    card.id,
                    from,
                    envelope.mark(),
                    NOBODY,
                    first,
                    0,
                    most,
                );
            }
            DatagramKind::Ack => {
                let re = envelope.re;
                let about_probe =
                    |probe: &Probe| (probe.mark == re && probe.to == card.id) || probe.helped.contains(&re);
                self.probes.retain(|probe| !about_probe(probe));
                if let Some(place) = self.errands.iter().position(|e| e.mark == re && e.member == card.id)
                    && let Some(errand) = self.errands.remove(place)
                {
                    let asker = self
                        .members
                        .living()
                        .find(|(_, m)| m.card.address == errand.for_whom)
                        .map(|(id, _)| id);
                    let to = asker.unwrap_or(NOBODY);
                    self.send(now, DatagramKind::Ack, to, errand.for_whom, errand.re, card.id, Vec::new(), 0);
                }
            }
            DatagramKind::PingRequest => {
                let proven = self.members.get(card.id).is_some_and(|m| m.proven && m.card.address == from);
                let target = self.members.get(envelope.about).map(|m| (m.card.address, m.proven));
                let Some((to, reached)) = target.filter(|_| proven && self.errands.len() < ERRANDS) else {
                    return;
                };
                let fill = if reached { 0 } else { PADDED_PING_BYTES };
                let (re, member) = (envelope.mark(), envelope.about);
                if let Some(mark) =
                    self.send(now, DatagramKind::Ping, member, to, 0, NOBODY, Vec::new(), fill)
                {
                    self.errands.push_back(Errand { mark, for_whom: from, member, re, sent: now });
                }
            }
            DatagramKind::Pull => {
                // An address that is proven gets a few pages at once; any other no more than it sent.
                let pages =
                    if most == MAX_DATAGRAM_BYTES && self.members.get(card.id).is_some_and(|m| m.proven) {
                        PAGES
                    } else {
                        1
                    };
                let mut cursor = envelope.about;
                for _ in 0..pages {
                    let (cards, next) = self.page(cursor, card.id, most);
                    cursor = next;
                    self.send_within(
                        now,
                        DatagramKind::Page,
                        card.id,
                        from,
                        envelope.mark(),
                        cursor,
                        cards,
                        0,
                        most,
                    );
                    if cursor == NOBODY {
                        break;
                    }
                }
            }
            // Pages may come out of order: only the end starts over.
            DatagramKind::Page if envelope.about == NOBODY => self.cursor = NOBODY,
            DatagramKind::Direct => {}
            DatagramKind::Page => self.cursor = self.cursor.max(envelope.about),
        }
    }

    /// As many cards behind an id as fit, and the id to go on from: nobody's at the end of the table.
    pub(crate) fn page(&self, after: MemberId, but: MemberId, most: usize) -> (Vec<TaggedItem>, MemberId) {
        let mut room = most.saturating_sub(envelope_bytes(self.card.bytes.len()));
        let (mut cards, mut last) = (Vec::new(), after);
        for card in self.members.behind(after).filter(|card| card.id != but) {
            let length = card.bytes.len() + wire::ITEM_HEAD_BYTES;
            if length > room {
                return (cards, last);
            }
            room -= length;
            last = card.id;
            cards.push((ItemTag::MemberRecord, card.bytes.clone()));
        }
        (cards, NOBODY)
    }

    pub(crate) fn compare_views(&mut self, envelope: &Envelope<'_>) {
        if !matches!(envelope.kind, DatagramKind::Ack | DatagramKind::Page) {
            return;
        }
        let (own, theirs) = (self.members.count() as f64, f64::from(envelope.living));
        self.behind = if envelope.digest == self.view_digest() {
            Behind::Not
        } else if own < theirs * 0.95 - 1.0 {
            Behind::Much
        } else {
            Behind::Little
        };
    }

    pub(crate) fn take_card(&mut self, now: Moment, card: Rc<MemberRecord>) -> bool {
        let change = self.members.take(now, card.clone());
        if matches!(change, Change::Nothing | Change::NoRoom) {
            if change == Change::NoRoom {
                self.event(EventKind::MemberTableFull, Some(card.pass.name.clone()), None, None);
            }
            return false;
        }
        self.tell_change(change, &card);
        self.news.add(About::MemberRecord(card.id), card.bytes.clone());
        true
    }

    pub(crate) fn tell_change(&mut self, change: Change, card: &MemberRecord) {
        let what = match change {
            Change::Joined => EventKind::MemberJoined,
            Change::Back => EventKind::MemberBack,
            Change::Refuted => EventKind::MemberRefuted,
            Change::Left => EventKind::MemberLeft,
            Change::Nothing | Change::Renewed | Change::NoRoom => return,
        };
        self.event(what, Some(card.pass.name.clone()), None, None);
    }

    /// Takes so many checks for what a statement needs.
    pub(crate) fn may_check(&mut self, now: Moment, at_home: bool, checks: u32) -> bool {
        let bucket = if at_home { &mut self.checks } else { &mut self.strangers };
        let may = bucket.take(now, f64::from(checks));
        if may {
            self.counts.signature_checks += u64::from(checks);
        } else {
            self.counts.over_budget += 1;
        }
        may
    }

    pub(crate) fn take_statement(&mut self, now: Moment, at_home: bool, statement: Item) {
        match statement {
            Item::MemberRecord(card) => self.hear_card(now, at_home, card),
            Item::Accusation(accusation) => self.hear_accusation(now, at_home, &accusation),
            Item::Observation(word) => self.hear_word(now, at_home, &word),
            Item::VoterSet(order) => self.hear_order(now, at_home, order),
            Item::Notice(notice) => self.hear_notice(now, at_home, notice),
            Item::Direct(_) => {}
            Item::Revocation(revocation) => {
                if !self.ring.is_revoked(revocation.member)
                    && revocation.cluster == self.ring.cluster
                    && self.may_check(now, at_home, 1)
                    && self.ring.revoke(&revocation, now)
                {
                    self.strike(&revocation);
                }
            }
        }
    }

    pub(crate) fn hear_card(&mut self, now: Moment, at_home: bool, card: MemberRecord) {
        if card.id == self.id() {
            // Own word from before a restart with a clock that was ahead, or a stolen key.
            let ahead = card.incarnation > self.card.incarnation
                || card.leaving && card.incarnation == self.card.incarnation;
            if ahead
                && !runs_ahead(card.incarnation, now, self.pace.clock_tolerance)
                && self.may_check(now, at_home, 1)
                && card.is_own_word()
            {
                self.renew(now, card.incarnation + 1);
            }
            return;
        }
        let known = self.members.get(card.id);
        if known.is_some_and(|member| member.card.incarnation >= card.incarnation)
            || !self.ring.fits(&card.pass, now, self.pace.clock_tolerance)
            || runs_ahead(card.incarnation, now, self.pace.clock_tolerance)
        {
            return;
        }
        let same_pass = known.is_some_and(|member| member.card.pass == card.pass);
        if !self.may_check(now, at_home, if same_pass { 1 } else { 2 }) {
            return;
        }
        if (!same_pass && !self.ring.verifies_pass(&card.pass)) || !card.is_own_word() {
            self.counts.forged += 1;
            return;
        }
        self.take_card(now, Rc::new(card));
    }

    pub(crate) fn hear_accusation(&mut self, now: Moment, at_home: bool, accusation: &Accusation) {
        let key = self.members.get(accusation.witness).map(|witness| witness.card.pass.key);
        let stale = accusation.at > now + self.pace.clock_tolerance
            || now.since(accusation.at) > self.pace.clock_tolerance + self.pace.observation_lifetime;
        let Some(key) = key.filter(|_| !stale) else { return };
        if accusation.subject == self.id() {
            let open = accusation.incarnation == self.card.incarnation
                && self.refuted.is_none_or(|at| now.since(at) >= self.pace.period);
            if open && self.may_check(now, at_home, 1) && accusation.is_signed_by(&key) {
                self.renew(now, 0);
                self.event(EventKind::SelfSuspected, None, None, None);
            }
            return;
        }
        let may = |member: &mut members::Member| member.may_accuse(now);
        if !self.members.is_open_to(accusation) || !self.members.get_mut(accusation.witness).is_some_and(may)
        {
            return;
        }
        if !self.may_check(now, at_home, 1) {
            return;
        }
        if !accusation.is_signed_by(&key) {
            self.counts.forged += 1;
            return;
        }
        let charge = self.members.accused(now, accusation);
        if charge == Charge::Idle {
            return;
        }
        let about = About::Accusation(accusation.subject, accusation.witness);
        self.news.add(about, accusation.to_bytes().into());
        if charge == Charge::New {
            let name = self.members.get(accusation.subject).map(|member| member.card.pass.name.clone());
            self.event(EventKind::MemberSuspect, name, None, None);
        }
        let chance = (CHECKERS / self.members.count() as f64).min(1.0);
        let waits = self.to_check.contains(&accusation.subject);
        if !waits && self.to_check.len() < TO_CHECK && self.chance.random_bool(chance) {
            self.to_check.push_back(accusation.subject);
        }
    }

    pub(crate) fn hear_word(&mut self, now: Moment, at_home: bool, word: &Observation) {
        if word.reporter == self.id() {
            return;
        }
        let Some(witness) = self.members.get(word.reporter) else { return };
        let (key, who, credit) = (witness.card.pass.key, witness.who, witness.credit());
        let refused = self.words.may_take(now, word);
        if credit < LEAST_CREDIT
            || refused.is_err()
            || runs_ahead(word.incarnation, now, self.pace.clock_tolerance)
        {
            self.counts.words_refused += u64::from(refused != Err(Refused::Told));
            return;
        }
        let may = self.members.get_mut(word.reporter).is_some_and(|member| member.may_say(now));
        if !may || !self.may_check(now, at_home, 1) {
            self.counts.words_refused += 1;
            return;
        }
        if !word.is_signed_by(&key) {
            self.counts.forged += 1;
            return;
        }
        self.counts.words_taken += 1;
        self.words.take(now, word, who);
        let about = About::Observation(word.reporter, word.engine.clone(), word.reservation_type.clone());
        self.news.add(about, word.to_bytes().into());
        let name = self.members.get(word.reporter).map(|member| member.card.pass.name.clone());
        self.event(EventKind::ObservationReceived, name, Some(&word.engine), Some(word.condition));
        self.hearsay(now, &word.engine, word.reservation_type.clone());
    }
}
