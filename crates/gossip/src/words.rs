//! Words on engines: the latest of each witness, how they age, and what doubt they add up to.

use std::collections::BTreeMap;

use woadhook::{Moment, Span};

use crate::keys::MemberId;
use crate::members::Members;
use crate::wire::{EngineCondition, Observation};

/// Witnesses that are kept for one engine and what it is about; the oldest word goes for a new one.
pub const WITNESSES_KEPT: usize = 8;
/// Doubt of one witness at full credit; each further one takes as large a part of what is left.
const ONE_WITNESS: f64 = 0.5;
/// Never more than this, however many they are.
pub const MOST_DOUBT: f64 = 0.875;

/// A word that counts.
#[derive(Clone, Debug)]
struct Kept {
    witness: MemberId,
    who: u64,
    incarnation: u64,
    number: u64,
    seen: EngineCondition,
    sure: f64,
    /// When it was said, as far as the clocks' tolerance lets it be old, and when it came.
    said: Moment,
    came: Moment,
}

/// What is said of one listed engine.
#[derive(Default)]
struct Heard {
    came_up: Moment,
    /// By the reservation type that words are about, none for all; eight words each at most, emptied as they age.
    words: BTreeMap<Option<String>, Vec<Kept>>,
}

/// Why a word is not taken in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refused {
    /// The engine is not on the own list, or is another one's start.
    NotListed,
    /// Too old, or from too far ahead.
    Stale,
    /// No newer than what the witness said before.
    Told,
    /// Types that words on one engine may be about are used up.
    Full,
    /// As many fresh words as are kept say something already; more of them would only fill the network.
    Enough,
}

pub struct Words {
    /// A line for each engine on the list.
    engines: BTreeMap<String, Heard>,
    lifetime: Span,
    tolerance: Span,
    types: usize,
}

impl Words {
    /// `types` bounds how many reservation types words on one engine may be about.
    pub fn new(lifetime: Span, tolerance: Span, types: usize) -> Self {
        Self { engines: BTreeMap::new(), lifetime, tolerance, types }
    }

    /// The engines on the own list, each with when it came up (zero if the list does not say).
    pub fn listed(&mut self, engines: impl Iterator<Item = (String, Moment)>) {
        let mut old = std::mem::take(&mut self.engines);
        for (name, came_up) in engines {
            let heard = old.remove(&name).filter(|heard| heard.came_up == came_up);
            self.engines.insert(name, heard.unwrap_or(Heard { came_up, ..Heard::default() }));
        }
    }

    pub fn is_listed(&self, engine: &str) -> bool {
        self.engines.contains_key(engine)
    }

    /// When a listed engine came up.
    pub fn came_up(&self, engine: &str) -> Option<Moment> {
        self.engines.get(engine).map(|heard| heard.came_up)
    }

    /// Whether a word would count, so that its signature is worth a look.
    pub fn may_take(&self, now: Moment, word: &Observation) -> Result<(), Refused> {
        let heard = self.engines.get(&word.engine).ok_or(Refused::NotListed)?;
        // A list that is late at one of them tells of different starts; a word on an earlier one says nothing now.
        if word.came_up != heard.came_up
            && word.came_up != Moment::default()
            && heard.came_up != Moment::default()
        {
            return Err(Refused::NotListed);
        }
        if word.at > now + self.tolerance || now.since(word.at) > self.lifetime + self.tolerance {
            return Err(Refused::Stale);
        }
        let kept = heard.words.get(&word.reservation_type);
        let before = kept.into_iter().flatten().find(|kept| kept.witness == word.reporter);
        if before.is_some_and(|kept| (kept.incarnation, kept.number) >= (word.incarnation, word.number)) {
            return Err(Refused::Told);
        }
        let fresh = |kept: &&Kept| now.since(kept.said) <= self.lifetime.mul_f64(0.5);
        if before.is_none() && kept.into_iter().flatten().filter(fresh).count() >= WITNESSES_KEPT {
            return Err(Refused::Enough);
        }
        if kept.is_none() && heard.words.len() > self.types {
            return Err(Refused::Full);
        }
        Ok(())
    }

    /// Takes in a word that may be taken and that its witness, of this name's hash, signed.
    pub fn take(&mut self, now: Moment, word: &Observation, who: u64) {
        let Some(heard) = self.engines.get_mut(&word.engine) else { return };
        let kept = heard.words.entry(word.reservation_type.clone()).or_default();
        kept.retain(|kept| kept.witness != word.reporter);
        if kept.len() >= WITNESSES_KEPT
            && let Some(oldest) =
                kept.iter().enumerate().min_by_key(|(_, kept)| kept.said).map(|(place, _)| place)
        {
            kept.swap_remove(oldest);
        }
        kept.push(Kept {
            witness: word.reporter,
            who,
            incarnation: word.incarnation,
            number: word.number,
            seen: word.condition,
            sure: f64::from(word.confidence) / 255.0,
            said: (word.at + self.tolerance).min(now),
            came: now,
        });
    }

    /// How many others say the same of an engine, in words that are still fresh.
    pub fn agreeing(
        &self, now: Moment, engine: &str, of: Option<&str>, seen: EngineCondition, own: MemberId,
    ) -> usize {
        let kept = self.engines.get(engine).and_then(|heard| heard.words.get(&of.map(str::to_owned)));
        let same = |kept: &&Kept| kept.seen == seen && now.since(kept.said) <= self.lifetime.mul_f64(0.5);
        kept.into_iter().flatten().filter(same).filter(|kept| kept.witness != own).count()
    }

    /// From 0 to `MOST_DOUBT`: what all words on an engine add up to, weighed by credit and age, one voice a name.
    pub fn doubt(&self, now: Moment, engine: &str, of: Option<&str>, members: &Members) -> f64 {
        let heard = self.engines.get(engine);
        let kept = heard.and_then(|heard| heard.words.get(&of.map(str::to_owned)));
        let mut voices: BTreeMap<u64, (Moment, f64)> = BTreeMap::new();
        for word in kept.into_iter().flatten() {
            let credit = members.get(word.witness).map_or(0.0, |member| member.credit());
            let fresh = 1.0 - now.since(word.said.min(word.came)).secs() / self.lifetime.secs().max(1e-3);
            let weight =
                if word.seen == EngineCondition::Well { 0.0 } else { credit * word.sure * fresh.max(0.0) };
            let voice = voices.entry(word.who).or_insert((word.said, weight));
            if word.said >= voice.0 {
                *voice = (word.said, weight);
            }
        }
        let well: f64 = voices.values().map(|(_, weight)| 1.0 - ONE_WITNESS * weight).product();
        (1.0 - well).min(MOST_DOUBT)
    }

    /// Those whose doubts on an engine, for a type or all, were heard before now; the words are dropped, their numbers
    /// kept as words that it is well.
    pub fn settled(
        &mut self, engine: &str, of: Option<&str>, seen: impl Fn(EngineCondition) -> bool,
    ) -> Vec<MemberId> {
        let Some(heard) = self.engines.get_mut(engine) else { return Vec::new() };
        let Some(kept) = heard.words.get_mut(&of.map(str::to_owned)) else { return Vec::new() };
        let mut by = Vec::new();
        for word in kept.iter_mut().filter(|word| word.seen != EngineCondition::Well && seen(word.seen)) {
            word.seen = EngineCondition::Well;
            by.push(word.witness);
        }
        by
    }

    /// Drops what a member said.
    pub fn forget(&mut self, witness: MemberId) {
        for heard in self.engines.values_mut() {
            heard.words.values_mut().for_each(|kept| kept.retain(|word| word.witness != witness));
        }
    }

    /// Drops what has aged past all use. A word's number is kept for as long as an older one could pass for new.
    pub fn let_go(&mut self, now: Moment) {
        let most = self.lifetime + self.tolerance + self.tolerance;
        for heard in self.engines.values_mut() {
            heard.words.values_mut().for_each(|kept| kept.retain(|word| now.since(word.came) <= most));
            heard.words.retain(|_, kept| !kept.is_empty());
        }
    }

    /// How many words are kept.
    pub fn len(&self) -> usize {
        self.engines.values().flat_map(|heard| heard.words.values()).map(Vec::len).sum()
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
