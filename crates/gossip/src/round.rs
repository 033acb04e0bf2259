//! What time alone brings about: pings, accusations, looks for those who are gone, pages to catch up.

use std::net::SocketAddr;

use rand::RngExt;
use rand::seq::SliceRandom;
use woadhook::Moment;

use crate::instance::{Action, Behind, EventKind, Gossip, Probe};
use crate::keys::MemberId;
use crate::members::{Charge, Lapse, NOBODY, State};
use crate::news::About;
use crate::wire::{Accusation, DatagramKind, MAX_DATAGRAM_BYTES, PADDED_PING_BYTES};

/// Others that are asked to ping a member that did not answer.
const HELPERS: usize = 3;
/// Pings that are out at once.
const PROBES: usize = 8;
/// Periods after which a suspect is gone, besides one for each doubling of the members.
const SUSPICION_PERIODS: f64 = 3.0;
/// In one of so many periods, a member that is gone or a seed is looked for.
const LOOK_FOR_GONE: u64 = 4;
/// Pages are asked for once in so many periods while views differ a little, and so often in each period while they
/// differ much.
const CALM_PULLS: u64 = 5;
const BUSY_PULLS: u32 = 2;
/// Periods between two looks at all lines, where no one is suspect.
const SWEEP_PERIODS: f64 = 5.0;
/// Credit that comes back with each word lifetime.
const REGAIN: f64 = 0.02;

impl Gossip {
    /// When [`next_action`](Self::next_action) is to be asked again, if nothing comes in.
    pub fn next_deadline(&self) -> Option<Moment> {
        if self.left {
            return None;
        }
        let half =
            self.probes.iter().filter(|probe| !probe.asked).map(|p| p.sent + self.pace.period.mul_f64(0.5));
        let pull = (self.behind == Behind::Much).then_some(self.next_pull);
        half.chain(pull).chain([self.next_period]).min()
    }

    pub fn next_action(&mut self, now: Moment) -> Option<Action> {
        if !self.left {
            self.pass_time(now);
        }
        self.todo.pop_front()
    }

    pub(crate) fn pass_time(&mut self, now: Moment) {
        let half = self.pace.period.mul_f64(0.5);
        let unheard = |probe: &&mut Probe| !probe.asked && now.since(probe.sent) >= half;
        let late: Vec<(MemberId, u64)> = self
            .probes
            .iter_mut()
            .filter(unheard)
            .map(|probe| {
                probe.asked = true;
                (probe.to, probe.mark)
            })
            .collect();
        for (about, mark) in late {
            self.ask_helpers(now, about, mark);
        }
        if self.behind == Behind::Much && now >= self.next_pull {
            self.next_pull = now + self.pace.period.mul_f64(1.0 / f64::from(BUSY_PULLS));
            self.pull(now);
        }
        if now >= self.next_period {
            // After a stop of the host, periods that were missed are not made up for.
            self.next_period = (self.next_period + self.pace.period).max(now + half);
            self.periods += 1;
            self.period(now);
        }
    }

    pub(crate) fn period(&mut self, now: Moment) {
        let done: Vec<Probe> =
            self.probes.extract_if(.., |probe| now.since(probe.sent) >= self.pace.period).collect();
        for probe in done {
            self.accuse(now, probe.to);
        }
        let old = self.pace.period.mul_f64(2.0);
        self.errands.retain(|errand| now.since(errand.sent) < old);
        if self.members.any_suspect() || now.since(self.swept) >= self.pace.period.mul_f64(SWEEP_PERIODS) {
            self.sweep(now);
        }
        if let Some(id) = self.next_in_round() {
            self.probe(now, id);
        }
        for _ in 0..2 {
            if let Some(id) = self.to_check.pop_front() {
                self.probe(now, id);
            }
        }
        if self.members.count() == 1 || self.periods.is_multiple_of(LOOK_FOR_GONE) {
            self.look_for_gone(now);
        }
        if self.behind == Behind::Little && self.periods.is_multiple_of(CALM_PULLS) {
            self.pull(now);
        }
        for say in self.observer.repeat(now, self.pace.observation_lifetime.mul_f64(0.5)) {
            self.say(now, say);
        }
    }

    pub(crate) fn sweep(&mut self, now: Moment) {
        let suspicion =
            self.pace.period.mul_f64(SUSPICION_PERIODS + (self.members.count() as f64 + 1.0).log2());
        let part = now.since(self.swept).secs() / self.pace.observation_lifetime.secs().max(1e-3);
        self.members.regain_all(REGAIN * part);
        self.swept = now;
        for (id, lapse, card) in
            self.members.lapse(now, suspicion, self.pace.forget_after, self.pace.clock_tolerance)
        {
            let what = match lapse {
                Lapse::Gone => EventKind::MemberGone,
                Lapse::Cleared => EventKind::MemberRefuted,
                Lapse::Forgotten => EventKind::MemberForgotten,
                Lapse::Ended => EventKind::PassEnded,
            };
            if matches!(lapse, Lapse::Forgotten | Lapse::Ended) {
                self.words.forget(id);
            }
            self.event(what, Some(card.pass.name.clone()), None, None);
        }
        self.words.let_go(now);
        self.ring.let_go(now);
        let lasts = self.own.until().since(self.own.pass.from).secs();
        if !self.ending_told && self.own.until().since(now).secs() < lasts * 0.1 {
            self.ending_told = true;
            self.event(EventKind::PassEnding, Some(self.own.name().to_owned()), None, None);
        }
    }

    pub(crate) fn next_in_round(&mut self) -> Option<MemberId> {
        if self.round.is_empty() {
            self.round = self.members.living().map(|(id, _)| id).collect();
            self.round.shuffle(&mut self.chance);
        }
        while let Some(id) = self.round.pop() {
            if self.members.get(id).is_some_and(|member| member.lives()) {
                return Some(id);
            }
        }
        None
    }

    pub(crate) fn probe(&mut self, now: Moment, id: MemberId) {
        let Some(member) = self.members.get(id) else { return };
        if self.probes.len() >= PROBES || self.probes.iter().any(|probe| probe.to == id) {
            return;
        }
        let (to, fill) = (member.card.address, if member.proven { 0 } else { PADDED_PING_BYTES });
        if let Some(mark) = self.send(now, DatagramKind::Ping, id, to, 0, NOBODY, Vec::new(), fill) {
            self.probes.push(Probe { to: id, mark, sent: now, helped: Vec::new(), asked: false });
        }
    }

    pub(crate) fn ask_helpers(&mut self, now: Moment, about: MemberId, mark: u64) {
        let others: Vec<_> = self
            .members
            .living()
            .filter(|(id, m)| *id != about && m.proven)
            .map(|(id, m)| (id, m.card.address))
            .collect();
        for _ in 0..HELPERS.min(others.len()) {
            let (id, to) = others[self.chance.random_range(0..others.len())];
            let asked = self.send(now, DatagramKind::PingRequest, id, to, 0, about, Vec::new(), 0);
            if let Some(probe) = self.probes.iter_mut().find(|probe| probe.mark == mark) {
                probe.helped.extend(asked);
            }
        }
    }

    /// No one got an answer from a member: the own accusation goes out.
    pub(crate) fn accuse(&mut self, now: Moment, id: MemberId) {
        let charge = self.members.unanswered(now, id);
        let Some(member) = self.members.get(id) else { return };
        let name = member.card.pass.name.clone();
        if charge == Charge::Idle {
            return;
        }
        let accusation = Accusation::issue(&self.own, id, member.card.incarnation, now);
        self.news.add(About::Accusation(id, self.own.id()), accusation.to_bytes().into());
        if charge == Charge::New {
            self.event(EventKind::MemberSuspect, Some(name), None, None);
        }
    }

    /// Halves of a partition, and members that were thought gone, are found again so.
    pub(crate) fn look_for_gone(&mut self, now: Moment) {
        let gone = self.members.iter().filter(|(_, m)| matches!(m.state, State::Gone { .. }));
        let mut places: Vec<(MemberId, SocketAddr)> = gone.map(|(id, m)| (id, m.card.address)).collect();
        // A seed that lives under another address than it is listed with is looked for in vain, at this small cost.
        let known = |at: &SocketAddr| {
            *at == self.address || self.members.living().any(|(_, m)| m.card.address == *at)
        };
        places.extend(self.seeds.iter().filter(|at| !known(at)).map(|at| (NOBODY, *at)));
        if !places.is_empty() {
            let (id, to) = places[self.chance.random_range(0..places.len())];
            self.send(now, DatagramKind::Ping, id, to, 0, NOBODY, Vec::new(), PADDED_PING_BYTES);
        }
    }

    pub(crate) fn pull(&mut self, now: Moment) {
        let others: Vec<_> =
            self.members.living().filter(|(_, m)| m.proven).map(|(id, m)| (id, m.card.address)).collect();
        if others.is_empty() {
            return;
        }
        let (id, to) = others[self.chance.random_range(0..others.len())];
        let cursor = self.cursor;
        self.send(now, DatagramKind::Pull, id, to, 0, cursor, Vec::new(), MAX_DATAGRAM_BYTES);
    }
}
