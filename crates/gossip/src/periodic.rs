//! The work that timers trigger: pings, failure reports, pings of members that are gone, and pulls of missing
//! records.

use std::net::SocketAddr;

use rand::RngExt;
use rand::seq::SliceRandom;
use woadhook::Moment;

use crate::instance::{Action, EventKind, Gossip, Probe, ViewDifference};
use crate::item_queue::Topic;
use crate::keys::MemberId;
use crate::members::{NO_MEMBER, ReportEffect, State, TimedChange};
use crate::wire::{DatagramKind, FailureReport, MAX_DATAGRAM_BYTES, PADDED_PING_BYTES};

/// Number of members that are asked to ping a member that did not answer.
const HELPERS_PER_PROBE: usize = 3;
/// Maximum number of pings without an answer at once.
const MAX_PROBES: usize = 8;
/// Periods after which a suspect is gone, in addition to one for each doubling of the number of members.
const SUSPICION_PERIODS: f64 = 3.0;
/// A member that is gone, or a seed, is pinged in one out of this many periods.
const PERIODS_PER_SEARCH: u64 = 4;
/// A page is requested once in this many periods while the views differ slightly.
const PERIODS_PER_PULL: u64 = 5;
/// Pages are requested this many times in each period while the views differ much.
const PULLS_PER_PERIOD: u32 = 2;
/// Periods between two sweeps of the member table while there is no suspect.
const SWEEP_PERIODS: f64 = 5.0;
/// Credit that a member regains per lifetime of an observation.
const CREDIT_PER_LIFETIME: f64 = 0.02;

impl Gossip {
    /// Returns when [`next_action`](Self::next_action) is to be called again if nothing is received before.
    pub fn next_deadline(&self) -> Option<Moment> {
        if self.has_left {
            return None;
        }
        let helper_deadlines = self
            .probes
            .iter()
            .filter(|probe| !probe.helpers_asked)
            .map(|p| p.sent + self.config.period.mul_f64(0.5));
        let pull = (self.view_difference == ViewDifference::Large).then_some(self.next_pull);
        helper_deadlines.chain(pull).chain([self.next_period]).min()
    }

    /// Returns the next action for the host, or `None` until the deadline
    /// [`next_deadline`](Self::next_deadline) or the next input.
    pub fn next_action(&mut self, now: Moment) -> Option<Action> {
        if !self.has_left {
            self.advance(now);
        }
        self.actions.pop_front()
    }

    /// Does the work that is due by `now`: requests for helper pings, pulls and the work of each period.
    pub(crate) fn advance(&mut self, now: Moment) {
        let half = self.config.period.mul_f64(0.5);
        let is_late = |probe: &&mut Probe| !probe.helpers_asked && now.since(probe.sent) >= half;
        let late: Vec<(MemberId, u64)> = self
            .probes
            .iter_mut()
            .filter(is_late)
            .map(|probe| {
                probe.helpers_asked = true;
                (probe.target, probe.datagram_id)
            })
            .collect();
        for (target, datagram_id) in late {
            self.request_helper_pings(now, target, datagram_id);
        }
        if self.view_difference == ViewDifference::Large && now >= self.next_pull {
            self.next_pull = now + self.config.period.mul_f64(1.0 / f64::from(PULLS_PER_PERIOD));
            self.send_pull(now);
        }
        if now >= self.next_period {
            // Periods that were missed while the host was stopped are not made up for.
            self.next_period = (self.next_period + self.config.period).max(now + half);
            self.period_count += 1;
            self.run_period(now);
        }
    }

    /// Does the work of one period: reports unanswered probes and sends new ones, searches and pulls.
    pub(crate) fn run_period(&mut self, now: Moment) {
        let unanswered: Vec<Probe> =
            self.probes.extract_if(.., |probe| now.since(probe.sent) >= self.config.period).collect();
        for probe in unanswered {
            self.report_failure(now, probe.target);
        }
        let max_age = self.config.period.mul_f64(2.0);
        self.relayed_pings.retain(|ping| now.since(ping.sent) < max_age);
        if self.members.has_suspects()
            || now.since(self.last_sweep) >= self.config.period.mul_f64(SWEEP_PERIODS)
        {
            self.sweep(now);
        }
        if let Some(id) = self.next_probe_target() {
            self.send_probe(now, id);
        }
        for _ in 0..2 {
            if let Some(id) = self.suspects_to_probe.pop_front() {
                self.send_probe(now, id);
            }
        }
        if self.members.live_count() == 1 || self.period_count.is_multiple_of(PERIODS_PER_SEARCH) {
            self.ping_gone_or_seed(now);
        }
        if self.view_difference == ViewDifference::Small && self.period_count.is_multiple_of(PERIODS_PER_PULL)
        {
            self.send_pull(now);
        }
        for observation in self.own_observations.take_due(now, self.config.observation_lifetime.mul_f64(0.5))
        {
            self.publish_observation(now, observation);
        }
    }

    /// Applies timeouts to members, and removes expired observations and revocations.
    pub(crate) fn sweep(&mut self, now: Moment) {
        let suspicion_timeout =
            self.config.period.mul_f64(SUSPICION_PERIODS + (self.members.live_count() as f64 + 1.0).log2());
        let lifetimes = now.since(self.last_sweep).secs() / self.config.observation_lifetime.secs().max(1e-3);
        self.members.raise_credits(CREDIT_PER_LIFETIME * lifetimes);
        self.last_sweep = now;
        for (id, change, record) in self.members.apply_timeouts(
            now,
            suspicion_timeout,
            self.config.forget_after,
            self.config.clock_tolerance,
        ) {
            let kind = match change {
                TimedChange::Gone => EventKind::MemberGone,
                TimedChange::Cleared => EventKind::MemberRefuted,
                TimedChange::Forgotten => EventKind::MemberForgotten,
                TimedChange::PassEnded => EventKind::PassEnded,
            };
            if matches!(change, TimedChange::Forgotten | TimedChange::PassEnded) {
                self.observations.remove_reporter(id);
            }
            self.push_event(kind, Some(record.pass.name.clone()), None, None);
        }
        self.observations.remove_expired(now);
        self.trust_store.remove_expired(now);
        let validity = self.identity.until().since(self.identity.pass.from).secs();
        if !self.pass_ending_reported && self.identity.until().since(now).secs() < validity * 0.1 {
            self.pass_ending_reported = true;
            self.push_event(EventKind::PassEnding, Some(self.identity.name().to_owned()), None, None);
        }
    }

    /// Returns the next live member of a random order in which each is probed once.
    pub(crate) fn next_probe_target(&mut self) -> Option<MemberId> {
        if self.probe_order.is_empty() {
            self.probe_order = self.members.live().map(|(id, _)| id).collect();
            self.probe_order.shuffle(&mut self.rng);
        }
        while let Some(id) = self.probe_order.pop() {
            if self.members.get(id).is_some_and(|member| member.is_live()) {
                return Some(id);
            }
        }
        None
    }

    pub(crate) fn send_probe(&mut self, now: Moment, id: MemberId) {
        let Some(member) = self.members.get(id) else { return };
        if self.probes.len() >= MAX_PROBES || self.probes.iter().any(|probe| probe.target == id) {
            return;
        }
        let (address, padded_length) =
            (member.record.address, if member.address_verified { 0 } else { PADDED_PING_BYTES });
        if let Some(datagram_id) =
            self.send(now, DatagramKind::Ping, id, address, 0, NO_MEMBER, Vec::new(), padded_length)
        {
            self.probes.push(Probe {
                target: id,
                datagram_id,
                sent: now,
                helper_request_ids: Vec::new(),
                helpers_asked: false,
            });
        }
    }

    /// Asks some other members to ping a member that did not answer in time.
    pub(crate) fn request_helper_pings(&mut self, now: Moment, target: MemberId, datagram_id: u64) {
        let peers: Vec<_> = self
            .members
            .live()
            .filter(|(id, m)| *id != target && m.address_verified)
            .map(|(id, m)| (id, m.record.address))
            .collect();
        for _ in 0..HELPERS_PER_PROBE.min(peers.len()) {
            let (id, address) = peers[self.rng.random_range(0..peers.len())];
            let request_id = self.send(now, DatagramKind::PingRequest, id, address, 0, target, Vec::new(), 0);
            if let Some(probe) = self.probes.iter_mut().find(|probe| probe.datagram_id == datagram_id) {
                probe.helper_request_ids.extend(request_id);
            }
        }
    }

    /// Queues this instance's failure report about a member that answered neither it nor a helper.
    pub(crate) fn report_failure(&mut self, now: Moment, id: MemberId) {
        let effect = self.members.probe_failed(now, id);
        let Some(member) = self.members.get(id) else { return };
        let name = member.record.pass.name.clone();
        if effect == ReportEffect::Ignored {
            return;
        }
        let report = FailureReport::issue(&self.identity, id, member.record.incarnation, now);
        self.item_queue.add(Topic::FailureReport(id, self.identity.id()), report.to_bytes().into());
        if effect == ReportEffect::NewSuspect {
            self.push_event(EventKind::MemberSuspect, Some(name), None, None);
        }
    }

    /// Pings a member that is gone, or a seed. So the sides of a partition find each other again, and members
    /// that were wrongly considered gone come back.
    pub(crate) fn ping_gone_or_seed(&mut self, now: Moment) {
        let gone = self.members.iter().filter(|(_, m)| matches!(m.state, State::Gone { .. }));
        let mut targets: Vec<(MemberId, SocketAddr)> = gone.map(|(id, m)| (id, m.record.address)).collect();
        // A seed that is live under another address than the listed one is pinged as well, which costs
        // little.
        let is_known = |address: &SocketAddr| {
            *address == self.address || self.members.live().any(|(_, m)| m.record.address == *address)
        };
        targets.extend(
            self.seeds.iter().filter(|address| !is_known(address)).map(|address| (NO_MEMBER, *address)),
        );
        if !targets.is_empty() {
            let (id, address) = targets[self.rng.random_range(0..targets.len())];
            self.send(now, DatagramKind::Ping, id, address, 0, NO_MEMBER, Vec::new(), PADDED_PING_BYTES);
        }
    }

    /// Requests the next page of member records from a random member.
    pub(crate) fn send_pull(&mut self, now: Moment) {
        let peers: Vec<_> = self
            .members
            .live()
            .filter(|(_, m)| m.address_verified)
            .map(|(id, m)| (id, m.record.address))
            .collect();
        if peers.is_empty() {
            return;
        }
        let (id, address) = peers[self.rng.random_range(0..peers.len())];
        let cursor = self.pull_cursor;
        self.send(now, DatagramKind::Pull, id, address, 0, cursor, Vec::new(), MAX_DATAGRAM_BYTES);
    }
}
