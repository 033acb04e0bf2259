//! What own experience of an engine is worth telling others, and when it is no longer true.

use std::collections::BTreeMap;

use woadhook::{Moment, Outcome, Span};

use crate::wire::EngineCondition;

/// Ends that are looked back on, and how many of them must be bad before anything is said.
const LOOK_BACK: u32 = 8;
const LEAST: u32 = 4;

/// The last ends of one kind at an engine, the latest in the lowest bit.
#[derive(Clone, Copy, Debug, Default)]
struct Ends {
    bad: u8,
    known: u32,
}

impl Ends {
    fn add(&mut self, bad: bool) {
        self.bad = self.bad << 1 | u8::from(bad);
        self.known = (self.known + 1).min(LOOK_BACK);
    }

    fn is_bad(self) -> bool {
        self.known >= LEAST && self.bad.count_ones() * 2 >= self.known && self.bad.count_ones() >= LEAST
    }

    /// The last few were all good.
    fn is_good(self) -> bool {
        self.bad.trailing_zeros() >= LEAST
    }
}

/// A claim that was told and still holds, and when it was last told.
#[derive(Clone, Copy, Debug)]
struct Claim {
    seen: EngineCondition,
    told: Moment,
    /// When it was last borne out.
    borne_out: Moment,
    sure: u8,
}

/// One engine as this instance met it. Lines go with the engine list.
#[derive(Default)]
struct Own {
    turned_away: Ends,
    /// By reservation type, as many as there are.
    errors: BTreeMap<String, Ends>,
    /// By type, none for all.
    claims: BTreeMap<Option<String>, Claim>,
}

/// Something to say.
#[derive(Clone, Debug, PartialEq)]
pub struct Say {
    pub engine: String,
    pub of: Option<String>,
    pub seen: EngineCondition,
    pub sure: u8,
}

#[derive(Default)]
pub struct Observer {
    engines: BTreeMap<String, Own>,
}

impl Observer {
    /// The engines on the own list.
    pub fn listed<'a>(&mut self, engines: impl Iterator<Item = &'a str>) {
        let mut old = std::mem::take(&mut self.engines);
        self.engines = engines.map(|name| (name.to_owned(), old.remove(name).unwrap_or_default())).collect();
    }

    /// The decision module set an engine aside, or has it back.
    pub fn judged(&mut self, now: Moment, engine: &str, seen: EngineCondition) -> Option<Say> {
        let own = self.engines.get_mut(engine)?;
        claim(own, now, engine, None, seen, u8::MAX)
    }

    /// A dispatch of a type ended at an engine.
    pub fn ended(&mut self, now: Moment, engine: &str, of: &str, outcome: Outcome) -> Vec<Say> {
        let Some(own) = self.engines.get_mut(engine) else { return Vec::new() };
        let mut says = Vec::new();
        if matches!(outcome, Outcome::Done | Outcome::Error | Outcome::TurnedAway) {
            own.turned_away.add(outcome == Outcome::TurnedAway);
            let (ends, told) = (own.turned_away, own.claims.get(&None).map(|claim| claim.seen));
            if ends.is_good() {
                let over = told == Some(EngineCondition::Refusing);
                says.extend(
                    over.then(|| claim(own, now, engine, None, EngineCondition::Well, u8::MAX)).flatten(),
                );
            } else if ends.is_bad() {
                says.extend(claim(own, now, engine, None, EngineCondition::Refusing, sure(ends)));
            }
        }
        if matches!(outcome, Outcome::Done | Outcome::Error) {
            let ends = own.errors.entry(of.to_owned()).or_default();
            ends.add(outcome == Outcome::Error);
            let ends = *ends;
            let kind = Some(of.to_owned());
            if ends.is_good() {
                says.extend(claim(own, now, engine, kind, EngineCondition::Well, u8::MAX));
            } else if ends.is_bad() {
                says.extend(claim(own, now, engine, kind, EngineCondition::Failing, sure(ends)));
            }
        }
        says
    }

    /// Claims that still hold are told again before the words on them fade. What rests on ends of jobs holds only
    /// while such ends come; what the module judged holds until it judges anew.
    pub fn repeat(&mut self, now: Moment, every: Span) -> Vec<Say> {
        let mut says = Vec::new();
        for (engine, own) in &mut self.engines {
            let judged =
                |claim: &Claim| matches!(claim.seen, EngineCondition::Silent | EngineCondition::Reset);
            own.claims.retain(|_, claim| judged(claim) || now.since(claim.borne_out) < every);
            for (of, claim) in own.claims.iter_mut().filter(|(_, claim)| now.since(claim.told) >= every) {
                claim.told = now;
                says.push(Say { engine: engine.clone(), of: of.clone(), seen: claim.seen, sure: claim.sure });
            }
        }
        says
    }
}

fn sure(ends: Ends) -> u8 {
    (f64::from(ends.bad.count_ones()) / f64::from(ends.known.max(1)) * 255.0) as u8
}

/// What is to be said of a claim, if it is not what was said before.
fn claim(
    own: &mut Own, now: Moment, engine: &str, of: Option<String>, seen: EngineCondition, sure: u8,
) -> Option<Say> {
    let before = own.claims.get_mut(&of).map(|claim| {
        claim.borne_out = now;
        claim.seen
    });
    if before == Some(seen) || (before.is_none() && seen == EngineCondition::Well) {
        return None;
    }
    if seen == EngineCondition::Well {
        own.claims.remove(&of);
    } else {
        own.claims.insert(of.clone(), Claim { seen, told: now, borne_out: now, sure });
    }
    Some(Say { engine: engine.to_owned(), of, seen, sure })
}
