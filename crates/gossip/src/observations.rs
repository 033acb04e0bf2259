//! Observations about engines: the latest of each reporter, how they age, and the suspicion that they add up
//! to.

use std::collections::BTreeMap;

use woadhook::{Moment, Span};

use crate::keys::MemberId;
use crate::members::MemberTable;
use crate::wire::{EngineCondition, Observation};

/// Maximum number of reporters kept for an engine and reservation type. A new one replaces the oldest
/// observation.
pub const MAX_REPORTERS: usize = 8;
/// The suspicion raised by one reporter with full credit. Each further reporter adds this fraction of the
/// difference between the suspicion so far and 1.
const SUSPICION_PER_REPORTER: f64 = 0.5;
/// The suspicion never exceeds this, whatever the number of reporters.
pub const MAX_SUSPICION: f64 = 0.875;

/// A stored observation.
#[derive(Clone, Debug)]
struct StoredObservation {
    reporter: MemberId,
    name_hash: u64,
    incarnation: u64,
    number: u64,
    condition: EngineCondition,
    confidence: f64,
    /// The latest time at which the observation may have been signed, given the clock tolerance.
    signed_at: Moment,
    /// When the observation was received.
    received_at: Moment,
}

/// The observations about one listed engine.
#[derive(Default)]
struct EngineObservations {
    started_at: Moment,
    /// The observations by the reservation type that they are about, with `None` for all types. Each entry
    /// holds at most `MAX_REPORTERS` observations and is removed when all of them have expired.
    by_type: BTreeMap<Option<String>, Vec<StoredObservation>>,
}

/// Why an observation is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectReason {
    /// The engine is not on this instance's engine list, or the observation is about another start of it.
    NotListed,
    /// The observation is too old or its time is too far ahead.
    Stale,
    /// The observation is no newer than the last one of its reporter.
    NotNewer,
    /// The observations about the engine already name the maximum number of reservation types.
    TooManyTypes,
    /// [`MAX_REPORTERS`] fresh observations by others are stored already. Another one would only use
    /// bandwidth.
    EnoughReporters,
}

/// The observations received from other members, by engine.
pub struct ObservationTable {
    /// An entry for each engine on the list.
    engines: BTreeMap<String, EngineObservations>,
    lifetime: Span,
    clock_tolerance: Span,
    max_types: usize,
}

impl ObservationTable {
    /// `max_types` limits how many reservation types the observations about one engine may name. One more
    /// entry is allowed, for the observations about all types.
    pub fn new(lifetime: Span, clock_tolerance: Span, max_types: usize) -> Self {
        Self { engines: BTreeMap::new(), lifetime, clock_tolerance, max_types }
    }

    /// Sets the engines on this instance's engine list, each with its start time (zero if the list does not
    /// state it).
    pub fn set_engines(&mut self, engines: impl Iterator<Item = (String, Moment)>) {
        let mut old = std::mem::take(&mut self.engines);
        for (name, started_at) in engines {
            let entry = old.remove(&name).filter(|entry| entry.started_at == started_at);
            self.engines.insert(
                name,
                entry.unwrap_or(EngineObservations { started_at, ..EngineObservations::default() }),
            );
        }
    }

    pub fn is_listed(&self, engine: &str) -> bool {
        self.engines.contains_key(engine)
    }

    /// Returns when a listed engine started.
    pub fn started_at(&self, engine: &str) -> Option<Moment> {
        self.engines.get(engine).map(|entry| entry.started_at)
    }

    /// Returns whether an observation would count, so that its signature is worth checking.
    pub fn check(&self, now: Moment, observation: &Observation) -> Result<(), RejectReason> {
        let entry = self.engines.get(&observation.engine).ok_or(RejectReason::NotListed)?;
        // The two lists state different starts if one of them is out of date. An observation about an earlier
        // start does not apply to the current one.
        if observation.started_at != entry.started_at
            && observation.started_at != Moment::default()
            && entry.started_at != Moment::default()
        {
            return Err(RejectReason::NotListed);
        }
        if observation.signed_at > now + self.clock_tolerance
            || now.since(observation.signed_at) > self.lifetime + self.clock_tolerance
        {
            return Err(RejectReason::Stale);
        }
        let stored = entry.by_type.get(&observation.reservation_type);
        let previous = stored.into_iter().flatten().find(|stored| stored.reporter == observation.reporter);
        if previous.is_some_and(|stored| {
            (stored.incarnation, stored.number) >= (observation.incarnation, observation.number)
        }) {
            return Err(RejectReason::NotNewer);
        }
        let is_fresh =
            |stored: &&StoredObservation| now.since(stored.signed_at) <= self.lifetime.mul_f64(0.5);
        if previous.is_none() && stored.into_iter().flatten().filter(is_fresh).count() >= MAX_REPORTERS {
            return Err(RejectReason::EnoughReporters);
        }
        if stored.is_none() && entry.by_type.len() > self.max_types {
            return Err(RejectReason::TooManyTypes);
        }
        Ok(())
    }

    /// Stores an observation that [`check`](Self::check) accepted and whose signature was verified.
    /// `name_hash` is the hash of the reporter's name.
    pub fn insert(&mut self, now: Moment, observation: &Observation, name_hash: u64) {
        let Some(entry) = self.engines.get_mut(&observation.engine) else { return };
        let stored = entry.by_type.entry(observation.reservation_type.clone()).or_default();
        stored.retain(|stored| stored.reporter != observation.reporter);
        if stored.len() >= MAX_REPORTERS
            && let Some(oldest) =
                stored.iter().enumerate().min_by_key(|(_, stored)| stored.signed_at).map(|(index, _)| index)
        {
            stored.swap_remove(oldest);
        }
        stored.push(StoredObservation {
            reporter: observation.reporter,
            name_hash,
            incarnation: observation.incarnation,
            number: observation.number,
            condition: observation.condition,
            confidence: f64::from(observation.confidence) / 255.0,
            signed_at: (observation.signed_at + self.clock_tolerance).min(now),
            received_at: now,
        });
    }

    /// Returns how many other members report the same condition of an engine in fresh observations.
    pub fn count_agreeing(
        &self, now: Moment, engine: &str, reservation_type: Option<&str>, condition: EngineCondition,
        own_id: MemberId,
    ) -> usize {
        let stored = self
            .engines
            .get(engine)
            .and_then(|entry| entry.by_type.get(&reservation_type.map(str::to_owned)));
        let is_same = |stored: &&StoredObservation| {
            stored.condition == condition && now.since(stored.signed_at) <= self.lifetime.mul_f64(0.5)
        };
        stored.into_iter().flatten().filter(is_same).filter(|stored| stored.reporter != own_id).count()
    }

    /// Returns the suspicion about an engine, from 0 to [`MAX_SUSPICION`], from all observations weighted by
    /// credit and age. Of reporters with the same name only the latest observation counts.
    pub fn suspicion(
        &self, now: Moment, engine: &str, reservation_type: Option<&str>, members: &MemberTable,
    ) -> f64 {
        let entry = self.engines.get(engine);
        let stored = entry.and_then(|entry| entry.by_type.get(&reservation_type.map(str::to_owned)));
        let mut weights: BTreeMap<u64, (Moment, f64)> = BTreeMap::new();
        for observation in stored.into_iter().flatten() {
            let credit = members.get(observation.reporter).map_or(0.0, |member| member.credit());
            let freshness = 1.0
                - now.since(observation.signed_at.min(observation.received_at)).secs()
                    / self.lifetime.secs().max(1e-3);
            // `Well` means healthy: such an observation adds no suspicion.
            let weight = if observation.condition == EngineCondition::Well {
                0.0
            } else {
                credit * observation.confidence * freshness.max(0.0)
            };
            let latest = weights.entry(observation.name_hash).or_insert((observation.signed_at, weight));
            if observation.signed_at >= latest.0 {
                *latest = (observation.signed_at, weight);
            }
        }
        let no_suspicion: f64 =
            weights.values().map(|(_, weight)| 1.0 - SUSPICION_PER_REPORTER * weight).product();
        (1.0 - no_suspicion).min(MAX_SUSPICION)
    }

    /// Clears stored suspicions about an engine and returns their reporters. It clears those whose condition
    /// `matches` accepts and that are about the reservation type or, with `None`, about all types. Each stays
    /// stored as a report that the engine is healthy (`EngineCondition::Well`), because its number is needed
    /// to recognize older observations of the same reporter.
    pub fn take_suspicions(
        &mut self, engine: &str, reservation_type: Option<&str>, matches: impl Fn(EngineCondition) -> bool,
    ) -> Vec<MemberId> {
        let Some(entry) = self.engines.get_mut(engine) else { return Vec::new() };
        let Some(stored) = entry.by_type.get_mut(&reservation_type.map(str::to_owned)) else {
            return Vec::new();
        };
        let mut reporters = Vec::new();
        for observation in stored.iter_mut().filter(|observation| {
            observation.condition != EngineCondition::Well && matches(observation.condition)
        }) {
            observation.condition = EngineCondition::Well;
            reporters.push(observation.reporter);
        }
        reporters
    }

    /// Removes the observations of a member.
    pub fn remove_reporter(&mut self, reporter: MemberId) {
        for entry in self.engines.values_mut() {
            entry
                .by_type
                .values_mut()
                .for_each(|stored| stored.retain(|observation| observation.reporter != reporter));
        }
    }

    /// Removes expired observations. An observation is kept, with its number, for as long as an older one of
    /// the reporter could be taken for a new one.
    pub fn remove_expired(&mut self, now: Moment) {
        let max_age = self.lifetime + self.clock_tolerance + self.clock_tolerance;
        for entry in self.engines.values_mut() {
            entry.by_type.values_mut().for_each(|stored| {
                stored.retain(|observation| now.since(observation.received_at) <= max_age)
            });
            entry.by_type.retain(|_, stored| !stored.is_empty());
        }
    }

    /// Returns the number of stored observations.
    pub fn len(&self) -> usize {
        self.engines.values().flat_map(|entry| entry.by_type.values()).map(Vec::len).sum()
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
