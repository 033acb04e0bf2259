//! Decides which results with engines this instance reports to other members, and when a report no longer
//! holds.

use std::collections::BTreeMap;

use woadhook::{Moment, Outcome, Span};

use crate::wire::EngineCondition;

/// Number of recent outcomes that are considered.
const MAX_OUTCOMES: u32 = 8;
/// Minimum number of known outcomes, and of bad ones among them, before anything is reported. The same number
/// of good outcomes in a row ends a claim.
const MIN_OUTCOMES: u32 = 4;

/// The recent outcomes of one kind at an engine, the latest in the lowest bit.
#[derive(Clone, Copy, Debug, Default)]
struct RecentOutcomes {
    bad: u8,
    known: u32,
}

impl RecentOutcomes {
    fn add(&mut self, bad: bool) {
        self.bad = self.bad << 1 | u8::from(bad);
        self.known = (self.known + 1).min(MAX_OUTCOMES);
    }

    fn is_bad(self) -> bool {
        self.known >= MIN_OUTCOMES
            && self.bad.count_ones() * 2 >= self.known
            && self.bad.count_ones() >= MIN_OUTCOMES
    }

    /// Returns whether the most recent outcomes were all good.
    fn is_good(self) -> bool {
        self.bad.trailing_zeros() >= MIN_OUTCOMES
    }
}

/// A claim about an engine that was reported and still holds.
#[derive(Clone, Copy, Debug)]
struct Claim {
    condition: EngineCondition,
    /// When the claim was last sent.
    sent_at: Moment,
    /// When a result of this instance last confirmed the claim.
    confirmed_at: Moment,
    confidence: u8,
}

/// This instance's results with one engine. Entries exist for the engines on the list.
#[derive(Default)]
struct EngineHistory {
    turned_away: RecentOutcomes,
    /// By reservation type, without a limit of its own.
    errors: BTreeMap<String, RecentOutcomes>,
    /// By reservation type, `None` for all types.
    claims: BTreeMap<Option<String>, Claim>,
}

/// An observation of this instance that is to be reported.
#[derive(Clone, Debug, PartialEq)]
pub struct OwnObservation {
    pub engine: String,
    pub reservation_type: Option<String>,
    pub condition: EngineCondition,
    pub confidence: u8,
}

/// This instance's results with engines and the claims reported from them.
#[derive(Default)]
pub struct OwnObservations {
    engines: BTreeMap<String, EngineHistory>,
}

impl OwnObservations {
    /// Sets the engines on this instance's engine list, and removes the entries of all others.
    pub fn set_engines<'a>(&mut self, engines: impl Iterator<Item = &'a str>) {
        let mut old = std::mem::take(&mut self.engines);
        self.engines = engines.map(|name| (name.to_owned(), old.remove(name).unwrap_or_default())).collect();
    }

    /// Records that the decision module set an engine aside or returned it to use.
    pub fn engine_judged(
        &mut self, now: Moment, engine: &str, condition: EngineCondition,
    ) -> Option<OwnObservation> {
        let history = self.engines.get_mut(engine)?;
        update_claim(history, now, engine, None, condition, u8::MAX)
    }

    /// Records the outcome of a dispatch of a reservation type at an engine.
    pub fn dispatch_ended(
        &mut self, now: Moment, engine: &str, reservation_type: &str, outcome: Outcome,
    ) -> Vec<OwnObservation> {
        let Some(history) = self.engines.get_mut(engine) else { return Vec::new() };
        let mut observations = Vec::new();
        if matches!(outcome, Outcome::Done | Outcome::Error | Outcome::TurnedAway) {
            history.turned_away.add(outcome == Outcome::TurnedAway);
            let (outcomes, claimed) =
                (history.turned_away, history.claims.get(&None).map(|claim| claim.condition));
            if outcomes.is_good() {
                let is_over = claimed == Some(EngineCondition::Refusing);
                observations.extend(
                    is_over
                        .then(|| update_claim(history, now, engine, None, EngineCondition::Well, u8::MAX))
                        .flatten(),
                );
            } else if outcomes.is_bad() {
                observations.extend(update_claim(
                    history,
                    now,
                    engine,
                    None,
                    EngineCondition::Refusing,
                    confidence(outcomes),
                ));
            }
        }
        if matches!(outcome, Outcome::Done | Outcome::Error) {
            let outcomes = history.errors.entry(reservation_type.to_owned()).or_default();
            outcomes.add(outcome == Outcome::Error);
            let outcomes = *outcomes;
            let only_type = Some(reservation_type.to_owned());
            if outcomes.is_good() {
                observations.extend(update_claim(
                    history,
                    now,
                    engine,
                    only_type,
                    EngineCondition::Well,
                    u8::MAX,
                ));
            } else if outcomes.is_bad() {
                observations.extend(update_claim(
                    history,
                    now,
                    engine,
                    only_type,
                    EngineCondition::Failing,
                    confidence(outcomes),
                ));
            }
        }
        observations
    }

    /// Returns claims that still hold and are due to be reported again before the observations expire. A
    /// claim that is based on outcomes of jobs holds only while such outcomes continue. One that the decision
    /// module made holds until the module reports another condition.
    pub fn take_due(&mut self, now: Moment, interval: Span) -> Vec<OwnObservation> {
        let mut observations = Vec::new();
        for (engine, history) in &mut self.engines {
            let is_judged =
                |claim: &Claim| matches!(claim.condition, EngineCondition::Silent | EngineCondition::Reset);
            history.claims.retain(|_, claim| is_judged(claim) || now.since(claim.confirmed_at) < interval);
            for (reservation_type, claim) in
                history.claims.iter_mut().filter(|(_, claim)| now.since(claim.sent_at) >= interval)
            {
                claim.sent_at = now;
                observations.push(OwnObservation {
                    engine: engine.clone(),
                    reservation_type: reservation_type.clone(),
                    condition: claim.condition,
                    confidence: claim.confidence,
                });
            }
        }
        observations
    }
}

fn confidence(outcomes: RecentOutcomes) -> u8 {
    (f64::from(outcomes.bad.count_ones()) / f64::from(outcomes.known.max(1)) * 255.0) as u8
}

/// Updates the claim about an engine and returns the observation to report, if it differs from the last one.
fn update_claim(
    history: &mut EngineHistory, now: Moment, engine: &str, reservation_type: Option<String>,
    condition: EngineCondition, confidence: u8,
) -> Option<OwnObservation> {
    let previous = history.claims.get_mut(&reservation_type).map(|claim| {
        claim.confirmed_at = now;
        claim.condition
    });
    if previous == Some(condition) || (previous.is_none() && condition == EngineCondition::Well) {
        return None;
    }
    if condition == EngineCondition::Well {
        history.claims.remove(&reservation_type);
    } else {
        history.claims.insert(
            reservation_type.clone(),
            Claim { condition, sent_at: now, confirmed_at: now, confidence },
        );
    }
    Some(OwnObservation { engine: engine.to_owned(), reservation_type, condition, confidence })
}
