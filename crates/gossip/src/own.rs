//! What this instance met itself, and what it says of that.

use woadhook::{Moment, Outcome};

use crate::instance::{EventKind, Gossip};
use crate::keys::MemberId;
use crate::members::LEAST_CREDIT;
use crate::news::About;
use crate::observe::Say;
use crate::wire::{self, EngineCondition, Observation};

/// Credit that comes back for a word borne out.
const BORNE_OUT: f64 = 0.25;
/// Words of one's own count as new for so long before others' words on the same make them needless.
const AGREEING: usize = 4;

impl Gossip {
    /// The own list of engines, each with when it came up (zero where the list does not say).
    pub fn set_engines(&mut self, engines: &[(String, Moment)]) {
        self.words.listed(engines.iter().cloned());
        self.observer.listed(engines.iter().map(|(name, _)| name.as_str()));
    }

    /// The decision module set an engine aside (silent, reset) or has it back (well).
    pub fn engine_judged(&mut self, now: Moment, engine: &str, seen: EngineCondition) {
        if let Some(say) = self.observer.judged(now, engine, seen) {
            self.say(now, say);
        }
        if seen != EngineCondition::Well {
            let doubts = |seen| matches!(seen, EngineCondition::Silent | EngineCondition::Reset);
            for witness in self.words.settled(engine, None, doubts) {
                self.settle(witness, engine, true);
            }
        }
    }

    /// A dispatch of such a type ended at an engine.
    pub fn dispatch_ended(&mut self, now: Moment, engine: &str, of: &str, outcome: Outcome) {
        for say in self.observer.ended(now, engine, of, outcome) {
            self.say(now, say);
        }
        if outcome == Outcome::Done {
            self.well(now, engine, None);
            self.well(now, engine, Some(of));
        }
    }

    /// An engine answered a probe.
    pub fn probe_answered(&mut self, now: Moment, engine: &str) {
        self.well(now, engine, None);
    }

    /// Own experience speaks against doubts on an engine.
    pub(crate) fn well(&mut self, now: Moment, engine: &str, of: Option<&str>) {
        let against = self.words.settled(engine, of, |_| true);
        if against.is_empty() {
            return;
        }
        for witness in against {
            self.settle(witness, engine, false);
        }
        self.hearsay(now, engine, of.map(str::to_owned));
    }

    pub(crate) fn settle(&mut self, witness: MemberId, engine: &str, borne_out: bool) {
        let Some(member) = self.members.get_mut(witness) else { return };
        let before = member.credit();
        if borne_out {
            member.regain(BORNE_OUT)
        } else {
            member.contradicted()
        }
        let after = member.credit();
        let name = member.card.pass.name.clone();
        let what =
            if borne_out { EventKind::ObservationConfirmed } else { EventKind::ObservationContradicted };
        self.event(what, Some(name.clone()), Some(engine), None);
        if before >= LEAST_CREDIT && after < LEAST_CREDIT {
            self.event(EventKind::MemberDistrusted, Some(name), None, None);
        }
    }

    /// What this instance met goes out, unless enough others say so already.
    pub(crate) fn say(&mut self, now: Moment, Say { engine, of, seen, sure }: Say) {
        let agreeing = self.words.agreeing(now, &engine, of.as_deref(), seen, self.own.id());
        if agreeing >= AGREEING
            || engine.len() > wire::ENGINE_BYTES
            || of.as_ref().is_some_and(|of| of.len() > wire::TYPE_BYTES)
        {
            return;
        }
        self.word_number += 1;
        let came_up = self.words.came_up(&engine).unwrap_or_default();
        let (incarnation, number) = (self.card.incarnation, self.word_number);
        let word = Observation::issue(
            &self.own,
            incarnation,
            number,
            now,
            &engine,
            came_up,
            seen,
            of.as_deref(),
            sure,
        );
        self.news.add(About::Observation(self.own.id(), engine.clone(), of), word.to_bytes().into());
        self.event(EventKind::ObservationSent, None, Some(&engine), Some(seen));
    }
}
