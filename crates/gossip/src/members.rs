//! The table of members: what each says of itself, who accuses it, and how far its words are worth anything.

use std::collections::BTreeMap;
use std::ops::Bound;
use std::rc::Rc;

use woadhook::{Moment, Span};

use crate::budget::Bucket;
use crate::keys::{MemberId, hash, micros};
use crate::wire::{Accusation, MemberRecord};

/// Witnesses of different names that make a suspect gone without an own failed probe.
pub const WITNESSES: usize = 3;
/// Words, and accusations, that a member may bring a second, and for how long it may save them up.
const STATEMENTS_PER_S: f64 = 4.0;
const STATEMENTS_BURST: Span = Span::from_micros(8_000_000);
/// Below this, a member's words are not heard: four contradictions in a row.
pub const LEAST_CREDIT: f64 = 0.1;

/// Numbers of one incarnation seen lately, so that none counts twice; bears reordering by up to 64 (RFC 6479's way).
#[derive(Clone, Copy, Debug, Default)]
pub struct Window {
    last: u64,
    bits: u64,
}

impl Window {
    /// Whether the number is new here.
    pub fn is_new(&self, number: u64) -> bool {
        if number > self.last {
            return true;
        }
        let back = self.last - number;
        back < 64 && self.bits & (1 << back) == 0
    }

    pub fn note(&mut self, number: u64) {
        if number > self.last {
            let ahead = number - self.last;
            self.bits = if ahead < 64 { self.bits << ahead } else { 0 } | 1;
            self.last = number;
        } else if self.last - number < 64 {
            self.bits |= 1 << (self.last - number);
        }
    }
}

#[derive(Clone, Debug, PartialEq)]
pub enum State {
    Alive,
    /// Since when, whether the own probe failed, and the hashed names of those who accuse it.
    Suspect {
        since: Moment,
        own: bool,
        by: Vec<u64>,
    },
    Gone {
        since: Moment,
    },
    Left {
        since: Moment,
    },
}

pub struct Member {
    pub card: Rc<MemberRecord>,
    pub state: State,
    /// The hash of its name: two keys of one name are one witness.
    pub who: u64,
    pub window: Window,
    /// Whether an answer came from its address that only who was asked there could give.
    pub proven: bool,
    /// The last fresh word straight from it.
    pub heard: Option<Moment>,
    credit: f64,
    words: Bucket,
    accusations: Bucket,
    spent: bool,
}

impl Member {
    fn new(card: Rc<MemberRecord>, now: Moment) -> Self {
        Self {
            who: hash(&[b"name", card.pass.name.as_bytes()]),
            card,
            state: State::Alive,
            window: Window::default(),
            proven: false,
            heard: None,
            credit: 1.0,
            words: Bucket::new(now, STATEMENTS_PER_S, STATEMENTS_BURST),
            accusations: Bucket::new(now, STATEMENTS_PER_S, STATEMENTS_BURST),
            spent: false,
        }
    }

    pub fn lives(&self) -> bool {
        matches!(self.state, State::Alive | State::Suspect { .. })
    }

    /// Whether it may bring another word on an engine now, and another accusation.
    pub fn may_say(&mut self, now: Moment) -> bool {
        self.words.take(now, 1.0)
    }

    pub fn may_accuse(&mut self, now: Moment) -> bool {
        self.accusations.take(now, 1.0)
    }

    /// From 0 to 1.
    pub fn credit(&self) -> f64 {
        if self.spent { 0.0 } else { self.credit }
    }

    /// Own experience spoke against its word.
    pub fn contradicted(&mut self) {
        self.credit *= 0.5;
        self.spent |= self.credit < LEAST_CREDIT;
    }

    /// A step back to full credit, for time passed or a word borne out.
    pub fn regain(&mut self, step: f64) {
        self.credit = (self.credit + step).min(1.0);
        self.spent &= self.credit < 0.25;
    }
}

/// What a card brought.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    Nothing,
    Joined,
    /// Gone or left before, or a higher incarnation of one that was.
    Back,
    /// A suspect spoke for itself.
    Refuted,
    Renewed,
    Left,
    /// The table is full of living members.
    NoRoom,
}

/// What an accusation came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Charge {
    /// Not known, not at that incarnation, not living, or told before.
    Idle,
    New,
    Another,
}

/// What time alone brought.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lapse {
    Gone,
    /// Accused by too few for too long.
    Cleared,
    Forgotten,
    /// Its pass has ended.
    Ended,
}

pub struct Members {
    own: MemberId,
    /// Holds `most` lines at most; gone and left ones are emptied after the time to forget, or for a new one.
    lines: BTreeMap<MemberId, Member>,
    most: usize,
    living: usize,
    suspects: usize,
    digest: u64,
}

impl Members {
    pub fn new(own: MemberId, most: usize) -> Self {
        Self { own, lines: BTreeMap::new(), most, living: 0, suspects: 0, digest: 0 }
    }

    /// This instance has another key from now on; what is known of the others stays.
    pub fn rename(&mut self, own: MemberId) {
        self.remove(own);
        self.own = own;
    }

    pub fn get(&self, id: MemberId) -> Option<&Member> {
        self.lines.get(&id)
    }

    pub fn get_mut(&mut self, id: MemberId) -> Option<&mut Member> {
        self.lines.get_mut(&id)
    }

    pub fn iter(&self) -> impl Iterator<Item = (MemberId, &Member)> {
        self.lines.iter().map(|(id, member)| (*id, member))
    }

    /// Those that live, this instance left out.
    pub fn living(&self) -> impl Iterator<Item = (MemberId, &Member)> {
        self.iter().filter(|(_, member)| member.lives())
    }

    /// How many live, this instance among them.
    pub fn count(&self) -> usize {
        self.living + 1
    }

    /// Of which members live at which incarnations, those of this instance among them; the same at all who agree.
    pub fn digest(&self, own_incarnation: u64) -> u64 {
        self.digest ^ part(self.own, own_incarnation)
    }

    fn shift(&mut self, id: MemberId, state: State) {
        let Some(member) = self.lines.get_mut(&id) else { return };
        let suspect = |member: &Member| usize::from(matches!(member.state, State::Suspect { .. }));
        let (before, incarnation) = (member.lives(), member.card.incarnation);
        self.suspects -= suspect(member);
        member.state = state;
        self.suspects += suspect(member);
        let after = member.lives();
        if before != after {
            self.digest ^= part(id, incarnation);
            if after { self.living += 1 } else { self.living -= 1 }
        }
    }

    /// Takes in a card that was found believable.
    pub fn take(&mut self, now: Moment, card: Rc<MemberRecord>) -> Change {
        let id = card.id;
        if id == self.own {
            return Change::Nothing;
        }
        let Some(known) = self.lines.get_mut(&id) else {
            if self.lines.len() >= self.most && !self.make_room() {
                return Change::NoRoom;
            }
            let leaving = card.leaving;
            let state = State::Left { since: now };
            self.lines.insert(id, Member { state: state.clone(), ..Member::new(card, now) });
            if leaving {
                return Change::Nothing;
            }
            self.shift(id, State::Alive);
            return Change::Joined;
        };
        if card.incarnation <= known.card.incarnation {
            return Change::Nothing;
        }
        let (before, leaving) = (known.state.clone(), card.leaving);
        let moved = known.card.address != card.address;
        let counted = known.lives();
        let old = std::mem::replace(&mut known.card, card.clone());
        known.proven &= !moved;
        known.window = Window::default();
        if counted {
            self.digest ^= part(id, old.incarnation) ^ part(id, card.incarnation);
        }
        self.shift(id, if leaving { State::Left { since: now } } else { State::Alive });
        match before {
            _ if leaving => {
                if counted {
                    Change::Left
                } else {
                    Change::Nothing
                }
            }
            State::Gone { .. } | State::Left { .. } => Change::Back,
            State::Suspect { .. } => Change::Refuted,
            State::Alive => Change::Renewed,
        }
    }

    fn make_room(&mut self) -> bool {
        let since = |member: &Member| match member.state {
            State::Gone { since } | State::Left { since } => Some(since),
            _ => None,
        };
        let oldest = self.iter().filter_map(|(id, member)| Some((since(member)?, id))).min();
        oldest.is_some_and(|(_, id)| self.lines.remove(&id).is_some())
    }

    /// A fresh word straight from a member: it lives, whatever was said.
    pub fn spoke(&mut self, now: Moment, id: MemberId) -> Change {
        let Some(member) = self.lines.get_mut(&id) else { return Change::Nothing };
        member.heard = Some(now);
        match member.state.clone() {
            State::Gone { .. } => {
                self.shift(id, State::Alive);
                Change::Back
            }
            State::Suspect { own: true, by, .. } if by.is_empty() => {
                self.shift(id, State::Alive);
                Change::Refuted
            }
            State::Suspect { since, by, .. } => {
                self.shift(id, State::Suspect { since, own: false, by });
                Change::Nothing
            }
            _ => Change::Nothing,
        }
    }

    /// The own probe of a member failed.
    pub fn unanswered(&mut self, now: Moment, id: MemberId) -> Charge {
        let Some(member) = self.lines.get(&id) else { return Charge::Idle };
        match member.state.clone() {
            State::Alive => {
                self.shift(id, State::Suspect { since: now, own: true, by: Vec::new() });
                Charge::New
            }
            State::Suspect { own: false, since, by } => {
                self.shift(id, State::Suspect { since, own: true, by });
                Charge::Another
            }
            _ => Charge::Idle,
        }
    }

    /// Whether an accusation would change anything, so that its signature is worth a look.
    pub fn is_open_to(&self, accusation: &Accusation) -> bool {
        let Some(subject) = self.lines.get(&accusation.subject) else { return false };
        let Some(witness) = self.lines.get(&accusation.witness) else { return false };
        let counted = match &subject.state {
            State::Alive => false,
            State::Suspect { by, .. } => by.contains(&witness.who) || by.len() >= 2 * WITNESSES,
            _ => true,
        };
        !counted
            && witness.lives()
            && witness.who != subject.who
            && accusation.incarnation == subject.card.incarnation
    }

    /// Takes in an accusation that its witness signed.
    pub fn accused(&mut self, now: Moment, accusation: &Accusation) -> Charge {
        if !self.is_open_to(accusation) {
            return Charge::Idle;
        }
        let Some(who) = self.lines.get(&accusation.witness).map(|witness| witness.who) else {
            return Charge::Idle;
        };
        let Some(subject) = self.lines.get(&accusation.subject) else { return Charge::Idle };
        match subject.state.clone() {
            State::Suspect { since, own, mut by } => {
                by.push(who);
                self.shift(accusation.subject, State::Suspect { since, own, by });
                Charge::Another
            }
            _ => {
                self.shift(accusation.subject, State::Suspect { since: now, own: false, by: vec![who] });
                Charge::New
            }
        }
    }

    /// Whether time alone may soon end someone.
    pub fn any_suspect(&self) -> bool {
        self.suspects > 0
    }

    /// What time alone brought since the last call. Suspects are gone after `suspicion`, if enough stand against them,
    /// and cleared after twice that else; who is gone is forgotten after `forget`.
    pub fn lapse(
        &mut self, now: Moment, suspicion: Span, forget: Span, tolerance: Span,
    ) -> Vec<(MemberId, Lapse, Rc<MemberRecord>)> {
        let due = |member: &Member| match &member.state {
            _ if now > member.card.pass.until + tolerance => Some(Lapse::Ended),
            State::Suspect { since, own, by } => {
                let for_long = now.since(*since);
                if for_long > suspicion && (*own || by.len() >= WITNESSES) {
                    Some(Lapse::Gone)
                } else {
                    (for_long > suspicion.mul_f64(2.0)).then_some(Lapse::Cleared)
                }
            }
            State::Gone { since } | State::Left { since } => {
                (now.since(*since) > forget).then_some(Lapse::Forgotten)
            }
            State::Alive => None,
        };
        let due: Vec<_> = self.iter().filter_map(|(id, m)| Some((id, due(m)?, m.card.clone()))).collect();
        for (id, lapse, _) in &due {
            match lapse {
                Lapse::Gone => self.shift(*id, State::Gone { since: now }),
                Lapse::Cleared => self.shift(*id, State::Alive),
                Lapse::Forgotten | Lapse::Ended => self.remove(*id),
            }
        }
        due
    }

    pub fn remove(&mut self, id: MemberId) {
        self.shift(id, State::Gone { since: Moment::default() });
        self.lines.remove(&id);
    }

    /// Cards of living members behind an id, in the order of ids, and all over from the start when they end there.
    pub fn behind(&self, cursor: MemberId) -> impl Iterator<Item = &Rc<MemberRecord>> {
        let after = self.lines.range((Bound::Excluded(cursor), Bound::Unbounded));
        after.filter(|(_, member)| member.lives()).map(|(_, member)| &member.card)
    }

    pub fn regain_all(&mut self, step: f64) {
        self.lines.values_mut().for_each(|member| member.regain(step));
    }
}

fn part(id: MemberId, incarnation: u64) -> u64 {
    hash(&[b"living", &id.0.to_be_bytes(), &incarnation.to_be_bytes()])
}

/// The id of no member, which stands for the start of the table and for who is not known.
pub const NOBODY: MemberId = MemberId(0);

/// Whether an incarnation runs ahead of the clock by more than refutations explain.
pub fn runs_ahead(incarnation: u64, now: Moment, tolerance: Span) -> bool {
    const REFUTATIONS: Span = Span::from_micros(60_000_000);
    incarnation > micros(now + tolerance + REFUTATIONS) / 1000
}
