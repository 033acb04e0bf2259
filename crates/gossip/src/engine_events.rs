//! Turns this instance's own results with engines into observations for other members, and compares them with
//! the observations of those.

use woadhook::{Moment, Outcome};

use crate::instance::{EventKind, Gossip};
use crate::item_queue::Topic;
use crate::keys::MemberId;
use crate::members::MIN_CREDIT;
use crate::own_observations::OwnObservation;
use crate::wire::{self, EngineCondition, Observation};

/// Credit that a member regains for each confirmed observation.
const CREDIT_PER_CONFIRMATION: f64 = 0.25;
/// An observation is not sent if fresh observations of this many other members report the same.
const MAX_AGREEING_REPORTERS: usize = 4;

impl Gossip {
    /// Sets the engine list, each engine with its start time (zero if the list does not state it).
    pub fn set_engines(&mut self, engines: &[(String, Moment)]) {
        self.observations.set_engines(engines.iter().cloned());
        self.own_observations.set_engines(engines.iter().map(|(name, _)| name.as_str()));
    }

    /// Records that the decision module set an engine aside (silent, reset) or returned it to use (well).
    pub fn engine_judged(&mut self, now: Moment, engine: &str, condition: EngineCondition) {
        if let Some(observation) = self.own_observations.engine_judged(now, engine, condition) {
            self.publish_observation(now, observation);
        }
        if condition != EngineCondition::Well {
            let is_suspicion =
                |condition| matches!(condition, EngineCondition::Silent | EngineCondition::Reset);
            for reporter in self.observations.take_suspicions(engine, None, is_suspicion) {
                self.update_credit(reporter, engine, true);
            }
        }
    }

    /// Records the outcome of a dispatch of a reservation type at an engine.
    pub fn dispatch_ended(&mut self, now: Moment, engine: &str, reservation_type: &str, outcome: Outcome) {
        for observation in self.own_observations.dispatch_ended(now, engine, reservation_type, outcome) {
            self.publish_observation(now, observation);
        }
        if outcome == Outcome::Done {
            self.clear_suspicions(now, engine, None);
            self.clear_suspicions(now, engine, Some(reservation_type));
        }
    }

    /// Records that an engine answered a probe.
    pub fn probe_answered(&mut self, now: Moment, engine: &str) {
        self.clear_suspicions(now, engine, None);
    }

    /// Clears the suspicions that others reported about an engine, as this instance's own results contradict
    /// them.
    pub(crate) fn clear_suspicions(&mut self, now: Moment, engine: &str, reservation_type: Option<&str>) {
        let reporters = self.observations.take_suspicions(engine, reservation_type, |_| true);
        if reporters.is_empty() {
            return;
        }
        for reporter in reporters {
            self.update_credit(reporter, engine, false);
        }
        self.push_peer_report(now, engine, reservation_type.map(str::to_owned));
    }

    /// Raises or lowers a member's credit after this instance's own results confirmed or contradicted its
    /// observation.
    pub(crate) fn update_credit(&mut self, reporter: MemberId, engine: &str, confirmed: bool) {
        let Some(member) = self.members.get_mut(reporter) else { return };
        let before = member.credit();
        if confirmed {
            member.raise_credit(CREDIT_PER_CONFIRMATION)
        } else {
            member.lower_credit()
        }
        let after = member.credit();
        let name = member.record.pass.name.clone();
        let kind =
            if confirmed { EventKind::ObservationConfirmed } else { EventKind::ObservationContradicted };
        self.push_event(kind, Some(name.clone()), Some(engine), None);
        if before >= MIN_CREDIT && after < MIN_CREDIT {
            self.push_event(EventKind::MemberDistrusted, Some(name), None, None);
        }
    }

    /// Signs and queues an observation of this instance, unless enough others already report the same.
    pub(crate) fn publish_observation(
        &mut self, now: Moment,
        OwnObservation { engine, reservation_type, condition, confidence }: OwnObservation,
    ) {
        let agreeing = self.observations.count_agreeing(
            now,
            &engine,
            reservation_type.as_deref(),
            condition,
            self.identity.id(),
        );
        if agreeing >= MAX_AGREEING_REPORTERS
            || engine.len() > wire::MAX_ENGINE_NAME_BYTES
            || reservation_type
                .as_ref()
                .is_some_and(|reservation_type| reservation_type.len() > wire::MAX_TYPE_NAME_BYTES)
        {
            return;
        }
        self.observation_number += 1;
        let started_at = self.observations.started_at(&engine).unwrap_or_default();
        let (incarnation, number) = (self.record.incarnation, self.observation_number);
        let observation = Observation::issue(
            &self.identity,
            incarnation,
            number,
            now,
            &engine,
            started_at,
            condition,
            reservation_type.as_deref(),
            confidence,
        );
        self.item_queue.add(
            Topic::Observation(self.identity.id(), engine.clone(), reservation_type),
            observation.to_bytes().into(),
        );
        self.push_event(EventKind::ObservationSent, None, Some(&engine), Some(condition));
    }
}
