//! Instances find one another and share suspicions about engines, in a world where any of them may lie, lag or vanish.
//!
//! The core has no I/O, clock or thread. It is told what came ([`Gossip::heard`]), what this instance met
//! ([`Gossip::judged`], [`Gossip::ended`], [`Gossip::listed`]) and then gives out what to do, one by one, until there is
//! nothing ([`Gossip::next`]); [`Gossip::due`] says when it wants to be asked again. Chance comes from a seed.
//!
//! What is said here never decides where a job goes: it comes out as [`Do::Hearsay`], a doubt between 0 and 1 on one engine.
//! `docs/design/gossip.md` tells why it is built so.

pub mod budget;
pub mod keys;
pub mod members;
pub mod news;
pub mod observe;
pub mod wire;
pub mod words;

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;

use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use woadhook::{Moment, Outcome, Span};

use crate::budget::Bucket;
use crate::keys::{Identity, MemberId, Revocation, Ring, micros};
use crate::members::{Change, Charge, LEAST_CREDIT, Lapse, Members, NOBODY, State, runs_ahead};
use crate::news::{About, News};
use crate::observe::{Observer, Say};
pub use crate::wire::Seen;
use crate::wire::{
    Accusation, Card, DATAGRAM, Envelope, Kind, PADDED, Statement, Tag, Tagged, Word, envelope_bytes, seal,
};
use crate::words::{Refused, Words};

/// Others that are asked to ping a member that did not answer.
const HELPERS: usize = 3;
/// How many of all members check an accusation by a ping of their own, about.
const CHECKERS: f64 = 8.0;
/// Accused members that wait for such a ping.
const TO_CHECK: usize = 16;
/// Pings that are out at once, and pings that are made for others.
const PROBES: usize = 8;
const ERRANDS: usize = 64;
/// Periods after which a suspect is gone, besides one for each doubling of the members.
const SUSPICION_PERIODS: f64 = 3.0;
/// In one of so many periods, a member that is gone or a seed is looked for.
const LOOK_FOR_GONE: u64 = 4;
/// Pages are asked for once in so many periods while views differ a little, and so often in each period while they
/// differ much.
const CALM_PULLS: u64 = 5;
const BUSY_PULLS: u32 = 2;
/// Pages in answer to one pull.
const PAGES: usize = 4;
/// Periods between two looks at all lines, where no one is suspect.
const SWEEP_PERIODS: f64 = 5.0;
/// Signatures may be saved up for so long, and datagrams.
const BURST: Span = Span::from_micros(500_000);
/// Part of the checks that strangers may use.
const STRANGERS: f64 = 0.25;
/// Credit that comes back with each word lifetime, and for a word borne out.
const REGAIN: f64 = 0.02;
const BORNE_OUT: f64 = 0.25;
/// Words of one's own count as new for so long before others' words on the same make them needless.
const AGREEING: usize = 4;
/// Reservation types that words on one engine may be about.
const TYPES: usize = 16;

/// How much, how often and how long.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    /// Between two pings.
    pub period: Span,
    /// Datagrams sent a second, at most.
    pub sends_per_s: f64,
    /// Signatures checked a second, at most.
    pub checks_per_s: f64,
    /// Members remembered, at most.
    pub members: usize,
    /// By how much clocks may differ.
    pub tolerance: Span,
    /// How long a word counts.
    pub word_lifetime: Span,
    /// How long members that are gone are remembered.
    pub forget: Span,
}

/// What happened, under a stable name for log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum What {
    MemberJoined,
    MemberBack,
    MemberSuspect,
    MemberRefuted,
    MemberGone,
    MemberLeft,
    MemberForgotten,
    MemberRevoked,
    MemberDistrusted,
    PassEnded,
    PassEnding,
    Accused,
    WordHeard,
    WordTold,
    WordContradicted,
    WordBorneOut,
    NoRoom,
}

impl What {
    pub fn name(self) -> &'static str {
        match self {
            What::MemberJoined => "member_joined",
            What::MemberBack => "member_back",
            What::MemberSuspect => "member_suspect",
            What::MemberRefuted => "member_refuted",
            What::MemberGone => "member_gone",
            What::MemberLeft => "member_left",
            What::MemberForgotten => "member_forgotten",
            What::MemberRevoked => "member_revoked",
            What::MemberDistrusted => "member_distrusted",
            What::PassEnded => "pass_ended",
            What::PassEnding => "pass_ending",
            What::Accused => "accused",
            What::WordHeard => "word_heard",
            What::WordTold => "word_told",
            What::WordContradicted => "word_contradicted",
            What::WordBorneOut => "word_borne_out",
            What::NoRoom => "no_room",
        }
    }
}

/// What the host is to do next.
#[derive(Clone, Debug, PartialEq)]
pub enum Do {
    Send {
        to: SocketAddr,
        bytes: Vec<u8>,
    },
    /// Others doubt an engine so far, from 0 (no longer) to [`words::MOST_DOUBT`]; of one type or all.
    Hearsay {
        engine: String,
        of: Option<String>,
        doubt: f64,
    },
    /// Worth a log line. The member is told by name, the engine by its own.
    Event {
        what: What,
        member: Option<String>,
        engine: Option<String>,
        seen: Option<Seen>,
    },
}

/// What went in and out since the start; only grows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub sent: u64,
    pub sent_bytes: u64,
    /// Not sent for want of budget.
    pub held_back: u64,
    pub received: u64,
    pub received_bytes: u64,
    pub checks: u64,
    /// Not of this protocol, version or cluster, or out of form.
    pub foreign: u64,
    /// Clock too far off, or too old.
    pub untimely: u64,
    /// Told before, or of an older start of its sender.
    pub replayed: u64,
    /// Pass ended, revoked or not from this operator.
    pub not_admitted: u64,
    /// A signature did not fit.
    pub forged: u64,
    /// Dropped unread, as the budget of checks was used up.
    pub over_budget: u64,
    pub words_taken: u64,
    pub words_refused: u64,
}

/// A ping that is out.
struct Probe {
    to: MemberId,
    mark: u64,
    sent: Moment,
    /// Marks of the requests to others.
    helped: Vec<u64>,
    asked: bool,
}

/// A ping made for another, which is told when it is answered.
struct Errand {
    mark: u64,
    for_whom: SocketAddr,
    member: MemberId,
    re: u64,
    sent: Moment,
}

pub struct Gossip {
    own: Identity,
    ring: Ring,
    card: Rc<Card>,
    address: SocketAddr,
    seeds: Vec<SocketAddr>,
    pace: Pace,
    chance: Pcg32,
    members: Members,
    news: News,
    words: Words,
    observer: Observer,
    /// Emptied as the host pulls; bounded, as each input adds a few at most and the sends are budgeted.
    todo: VecDeque<Do>,
    /// Bounded by `PROBES`; emptied by answers and time.
    probes: Vec<Probe>,
    errands: VecDeque<Errand>,
    /// Accused members to be pinged out of turn, `TO_CHECK` at most.
    to_check: VecDeque<MemberId>,
    /// Members in the order of their pings; refilled when empty.
    round: Vec<MemberId>,
    number: u64,
    word_number: u64,
    periods: u64,
    next_period: Moment,
    next_pull: Moment,
    cursor: MemberId,
    /// How the last view that was told differs: not, a little, or by many members.
    behind: Behind,
    refuted: Option<Moment>,
    swept: Moment,
    sends: Bucket,
    checks: Bucket,
    strangers: Bucket,
    ending_told: bool,
    left: bool,
    counts: Counts,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Behind {
    Not,
    Little,
    Much,
}

impl Gossip {
    /// `address` is where others send to; `seeds` are asked first.
    pub fn new(
        now: Moment, seed: u64, own: Identity, ring: Ring, address: SocketAddr, seeds: Vec<SocketAddr>,
        pace: Pace,
    ) -> Self {
        let mut chance = Pcg32::seed_from_u64(seed);
        let card = Rc::new(Card::issue(&own, address, micros(now) / 1000, false));
        let first = pace.period.times(chance.random::<f64>());
        let bucket = |per_s| Bucket::new(now, per_s, BURST);
        let mut new = Self {
            members: Members::new(own.id(), pace.members),
            news: News::default(),
            words: Words::new(pace.word_lifetime, pace.tolerance, TYPES),
            observer: Observer::default(),
            todo: VecDeque::new(),
            probes: Vec::new(),
            errands: VecDeque::new(),
            to_check: VecDeque::new(),
            round: Vec::new(),
            number: 0,
            word_number: 0,
            periods: 0,
            next_period: now + first,
            next_pull: now,
            cursor: NOBODY,
            behind: Behind::Much,
            refuted: None,
            swept: now,
            sends: bucket(pace.sends_per_s),
            checks: bucket(pace.checks_per_s * (1.0 - STRANGERS)),
            strangers: bucket(pace.checks_per_s * STRANGERS),
            ending_told: false,
            left: false,
            counts: Counts::default(),
            own,
            ring,
            card,
            address,
            seeds,
            pace,
            chance,
        };
        new.tell_own_card();
        for revocation in new.ring.revocations().cloned().collect::<Vec<_>>() {
            new.tell_revocation(&revocation);
        }
        new
    }

    pub fn id(&self) -> MemberId {
        self.own.id()
    }

    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Members that live, this one among them.
    pub fn living(&self) -> usize {
        self.members.count()
    }

    /// A digest of who lives at which incarnation; equal at instances whose views agree.
    pub fn view(&self) -> u64 {
        self.members.digest(self.card.incarnation)
    }

    /// Names, addresses and incarnations of the others that live.
    pub fn others(&self) -> impl Iterator<Item = (&str, SocketAddr, u64)> {
        self.members.living().map(|(_, m)| (m.card.pass.name.as_str(), m.card.address, m.card.incarnation))
    }

    /// How far a member's words are worth anything here, from 0 to 1.
    pub fn credit(&self, member: MemberId) -> f64 {
        self.members.get(member).map_or(0.0, |member| member.credit())
    }

    /// The own card, for a table that is filled beforehand.
    pub fn card(&self) -> Rc<Card> {
        self.card.clone()
    }

    /// Fills the table with cards that are known to be good, as from a lasting copy.
    pub fn know(&mut self, now: Moment, cards: impl Iterator<Item = Rc<Card>>) {
        for card in cards {
            self.members.take(now, card);
        }
    }

    /// New keys, as read again. A key that is no longer this instance's leaves.
    pub fn rekey(&mut self, now: Moment, own: Identity, mut ring: Ring) {
        for known in self.ring.revocations() {
            ring.revoke(known, now);
        }
        let fresh: Vec<Revocation> =
            ring.revocations().filter(|listed| !self.ring.is_revoked(listed.member)).cloned().collect();
        self.ring = ring;
        for revocation in fresh {
            self.strike(&revocation);
        }
        if own.id() != self.own.id() {
            let left = Card::issue(&self.own, self.address, self.card.incarnation + 1, true);
            self.news.add(About::Card(left.id), left.bytes);
            self.members.rename(own.id());
            (self.number, self.word_number, self.probes) = (0, 0, Vec::new());
        }
        // Threat: a key of the operator was lost, and whom its thief admitted goes on speaking through others.
        let out: Vec<_> = self
            .members
            .iter()
            .filter(|(_, m)| !self.ring.fits(&m.card.pass, now, self.pace.tolerance))
            .collect();
        let out: Vec<(MemberId, String)> =
            out.into_iter().map(|(id, m)| (id, m.card.pass.name.clone())).collect();
        for (id, name) in out {
            self.put_out(id, name);
        }
        self.own = own;
        self.ending_told = false;
        self.renew(now, 0);
    }

    /// The own list of engines, each with when it came up (zero where the list does not say).
    pub fn listed(&mut self, engines: &[(String, Moment)]) {
        self.words.listed(engines.iter().cloned());
        self.observer.listed(engines.iter().map(|(name, _)| name.as_str()));
    }

    /// The decision module set an engine aside (silent, reset) or has it back (well).
    pub fn judged(&mut self, now: Moment, engine: &str, seen: Seen) {
        if let Some(say) = self.observer.judged(now, engine, seen) {
            self.say(now, say);
        }
        if seen != Seen::Well {
            let doubts = |seen| matches!(seen, Seen::Silent | Seen::Reset);
            for witness in self.words.settled(engine, None, doubts) {
                self.settle(witness, engine, true);
            }
        }
    }

    /// A dispatch of such a type ended at an engine.
    pub fn ended(&mut self, now: Moment, engine: &str, of: &str, outcome: Outcome) {
        for say in self.observer.ended(now, engine, of, outcome) {
            self.say(now, say);
        }
        if outcome == Outcome::Done {
            self.well(now, engine, None);
            self.well(now, engine, Some(of));
        }
    }

    /// An engine answered a probe.
    pub fn answered(&mut self, now: Moment, engine: &str) {
        self.well(now, engine, None);
    }

    /// Own experience speaks against doubts on an engine.
    fn well(&mut self, now: Moment, engine: &str, of: Option<&str>) {
        let against = self.words.settled(engine, of, |_| true);
        if against.is_empty() {
            return;
        }
        for witness in against {
            self.settle(witness, engine, false);
        }
        self.hearsay(now, engine, of.map(str::to_owned));
    }

    fn settle(&mut self, witness: MemberId, engine: &str, borne_out: bool) {
        let Some(member) = self.members.get_mut(witness) else { return };
        let before = member.credit();
        if borne_out {
            member.regain(BORNE_OUT)
        } else {
            member.contradicted()
        }
        let after = member.credit();
        let name = member.card.pass.name.clone();
        let what = if borne_out { What::WordBorneOut } else { What::WordContradicted };
        self.event(what, Some(name.clone()), Some(engine), None);
        if before >= LEAST_CREDIT && after < LEAST_CREDIT {
            self.event(What::MemberDistrusted, Some(name), None, None);
        }
    }

    /// This instance stops: members are told, so that none has to find out.
    pub fn leave(&mut self, now: Moment) {
        self.left = true;
        self.card = Rc::new(Card::issue(&self.own, self.address, self.card.incarnation + 1, true));
        let others: Vec<_> = self.members.living().map(|(id, m)| (id, m.card.address)).collect();
        let some = (others.len() + 1).ilog2() as usize + 1;
        for _ in 0..some.min(others.len()) {
            let (id, to) = others[self.chance.random_range(0..others.len())];
            self.send(now, Kind::Ping, id, to, 0, NOBODY, Vec::new(), 0);
        }
    }

    /// When [`next`](Self::next) is to be asked again, if nothing comes in.
    pub fn due(&self) -> Option<Moment> {
        if self.left {
            return None;
        }
        let half =
            self.probes.iter().filter(|probe| !probe.asked).map(|p| p.sent + self.pace.period.times(0.5));
        let pull = (self.behind == Behind::Much).then_some(self.next_pull);
        half.chain(pull).chain([self.next_period]).min()
    }

    pub fn next(&mut self, now: Moment) -> Option<Do> {
        if !self.left {
            self.pass_time(now);
        }
        self.todo.pop_front()
    }

    fn pass_time(&mut self, now: Moment) {
        let half = self.pace.period.times(0.5);
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
            self.next_pull = now + self.pace.period.times(1.0 / f64::from(BUSY_PULLS));
            self.pull(now);
        }
        if now >= self.next_period {
            // After a stop of the host, periods that were missed are not made up for.
            self.next_period = (self.next_period + self.pace.period).max(now + half);
            self.periods += 1;
            self.period(now);
        }
    }

    fn period(&mut self, now: Moment) {
        let done: Vec<Probe> =
            self.probes.extract_if(.., |probe| now.since(probe.sent) >= self.pace.period).collect();
        for probe in done {
            self.accuse(now, probe.to);
        }
        let old = self.pace.period.times(2.0);
        self.errands.retain(|errand| now.since(errand.sent) < old);
        if self.members.any_suspect() || now.since(self.swept) >= self.pace.period.times(SWEEP_PERIODS) {
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
        for say in self.observer.repeat(now, self.pace.word_lifetime.times(0.5)) {
            self.say(now, say);
        }
    }

    fn sweep(&mut self, now: Moment) {
        let suspicion =
            self.pace.period.times(SUSPICION_PERIODS + (self.members.count() as f64 + 1.0).log2());
        let part = now.since(self.swept).secs() / self.pace.word_lifetime.secs().max(1e-3);
        self.members.regain_all(REGAIN * part);
        self.swept = now;
        for (id, lapse, card) in self.members.lapse(now, suspicion, self.pace.forget, self.pace.tolerance) {
            let what = match lapse {
                Lapse::Gone => What::MemberGone,
                Lapse::Cleared => What::MemberRefuted,
                Lapse::Forgotten => What::MemberForgotten,
                Lapse::Ended => What::PassEnded,
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
            self.event(What::PassEnding, Some(self.own.name().to_owned()), None, None);
        }
    }

    fn next_in_round(&mut self) -> Option<MemberId> {
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

    fn probe(&mut self, now: Moment, id: MemberId) {
        let Some(member) = self.members.get(id) else { return };
        if self.probes.len() >= PROBES || self.probes.iter().any(|probe| probe.to == id) {
            return;
        }
        let (to, fill) = (member.card.address, if member.proven { 0 } else { PADDED });
        if let Some(mark) = self.send(now, Kind::Ping, id, to, 0, NOBODY, Vec::new(), fill) {
            self.probes.push(Probe { to: id, mark, sent: now, helped: Vec::new(), asked: false });
        }
    }

    fn ask_helpers(&mut self, now: Moment, about: MemberId, mark: u64) {
        let others: Vec<_> = self
            .members
            .living()
            .filter(|(id, m)| *id != about && m.proven)
            .map(|(id, m)| (id, m.card.address))
            .collect();
        for _ in 0..HELPERS.min(others.len()) {
            let (id, to) = others[self.chance.random_range(0..others.len())];
            let asked = self.send(now, Kind::Ask, id, to, 0, about, Vec::new(), 0);
            if let Some(probe) = self.probes.iter_mut().find(|probe| probe.mark == mark) {
                probe.helped.extend(asked);
            }
        }
    }

    /// No one got an answer from a member: the own accusation goes out.
    fn accuse(&mut self, now: Moment, id: MemberId) {
        let charge = self.members.unanswered(now, id);
        let Some(member) = self.members.get(id) else { return };
        let name = member.card.pass.name.clone();
        if charge == Charge::Idle {
            return;
        }
        let accusation = Accusation::issue(&self.own, id, member.card.incarnation, now);
        self.news.add(About::Accusation(id, self.own.id()), accusation.to_bytes().into());
        if charge == Charge::New {
            self.event(What::MemberSuspect, Some(name), None, None);
        }
    }

    /// Halves of a partition, and members that were thought gone, are found again so.
    fn look_for_gone(&mut self, now: Moment) {
        let gone = self.members.iter().filter(|(_, m)| matches!(m.state, State::Gone { .. }));
        let mut places: Vec<(MemberId, SocketAddr)> = gone.map(|(id, m)| (id, m.card.address)).collect();
        // A seed that lives under another address than it is listed with is looked for in vain, at this small cost.
        let known = |at: &SocketAddr| {
            *at == self.address || self.members.living().any(|(_, m)| m.card.address == *at)
        };
        places.extend(self.seeds.iter().filter(|at| !known(at)).map(|at| (NOBODY, *at)));
        if !places.is_empty() {
            let (id, to) = places[self.chance.random_range(0..places.len())];
            self.send(now, Kind::Ping, id, to, 0, NOBODY, Vec::new(), PADDED);
        }
    }

    fn pull(&mut self, now: Moment) {
        let others: Vec<_> =
            self.members.living().filter(|(_, m)| m.proven).map(|(id, m)| (id, m.card.address)).collect();
        if others.is_empty() {
            return;
        }
        let (id, to) = others[self.chance.random_range(0..others.len())];
        let cursor = self.cursor;
        self.send(now, Kind::Pull, id, to, 0, cursor, Vec::new(), DATAGRAM);
    }

    /// Signs a new card, at a higher incarnation.
    fn renew(&mut self, now: Moment, at_least: u64) {
        let incarnation = (self.card.incarnation + 1).max(at_least);
        self.card = Rc::new(Card::issue(&self.own, self.address, incarnation, self.left));
        self.refuted = Some(now);
        self.tell_own_card();
    }

    fn tell_own_card(&mut self) {
        self.news.add(About::Card(self.own.id()), self.card.bytes.clone());
    }

    fn tell_revocation(&mut self, revocation: &Revocation) {
        let mut out = wire::Writer::default();
        revocation.write(&mut out);
        self.news.add(About::Revocation(revocation.member), out.into_bytes().into());
    }

    /// What this instance met goes out, unless enough others say so already.
    fn say(&mut self, now: Moment, Say { engine, of, seen, sure }: Say) {
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
        let word =
            Word::issue(&self.own, incarnation, number, now, &engine, came_up, seen, of.as_deref(), sure);
        self.news.add(About::Word(self.own.id(), engine.clone(), of), word.to_bytes().into());
        self.event(What::WordTold, None, Some(&engine), Some(seen));
    }

    fn event(&mut self, what: What, member: Option<String>, engine: Option<&str>, seen: Option<Seen>) {
        self.todo.push_back(Do::Event { what, member, engine: engine.map(str::to_owned), seen });
    }

    fn hearsay(&mut self, now: Moment, engine: &str, of: Option<String>) {
        let doubt = self.words.doubt(now, engine, of.as_deref(), &self.members);
        self.todo.push_back(Do::Hearsay { engine: engine.to_owned(), of, doubt });
    }

    /// One datagram, filled with news as far as `most` allows; gives its mark if the budget let it out.
    fn send(
        &mut self, now: Moment, kind: Kind, to: MemberId, at: SocketAddr, re: u64, about: MemberId,
        first: Vec<Tagged>, fill: usize,
    ) -> Option<u64> {
        self.send_within(now, kind, to, at, re, about, first, fill, DATAGRAM)
    }

    fn send_within(
        &mut self, now: Moment, kind: Kind, to: MemberId, at: SocketAddr, re: u64, about: MemberId,
        mut first: Vec<Tagged>, fill: usize, most: usize,
    ) -> Option<u64> {
        let base = envelope_bytes(self.card.bytes.len());
        let taken: usize = first.iter().map(|(_, bytes)| bytes.len() + wire::STATEMENT_HEAD).sum();
        let room = most.checked_sub(base + taken)?;
        if !self.sends.take(now, 1.0) {
            self.counts.held_back += 1;
            return None;
        }
        // A pull is padded so that its page may be as large, not to carry news.
        if kind != Kind::Pull {
            first.extend(self.news.take(to, room, self.members.count()));
        }
        self.number += 1;
        let view = (self.members.count().min(u16::MAX.into()) as u16, self.view());
        let (bytes, mark) = seal(
            &self.own,
            kind,
            to,
            now,
            self.number,
            re,
            about,
            view,
            &self.card.bytes,
            &first,
            fill.min(most),
        );
        self.counts.sent += 1;
        self.counts.sent_bytes += bytes.len() as u64;
        self.todo.push_back(Do::Send { to: at, bytes });
        Some(mark)
    }

    /// A datagram came. Nothing is learned from it before its signature, its sender's pass and its time are found good.
    pub fn heard(&mut self, now: Moment, from: SocketAddr, bytes: &[u8]) {
        self.counts.received += 1;
        self.counts.received_bytes += bytes.len() as u64;
        let read = Envelope::read(bytes).filter(|envelope| envelope.cluster == self.ring.cluster);
        let Some(envelope) = read.filter(|envelope| envelope.to == self.own.id() || envelope.to == NOBODY)
        else {
            self.counts.foreign += 1;
            return;
        };
        let old = self.pace.tolerance + self.pace.word_lifetime;
        if envelope.sent > now + self.pace.tolerance || now.since(envelope.sent) > old {
            self.counts.untimely += 1;
            return;
        }
        let Some(card) =
            Card::read(envelope.card).filter(|card| card.id == envelope.sender && card.id != self.id())
        else {
            self.counts.foreign += 1;
            return;
        };
        if !self.ring.fits(&card.pass, now, self.pace.tolerance)
            || runs_ahead(card.incarnation, now, self.pace.tolerance)
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
        self.counts.checks += checks as u64;
        let card_is_good = same_card || (self.ring.believes(&card.pass) && card.is_own_word());
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
        let fresh = now.since(envelope.sent) <= self.pace.tolerance + self.pace.period;
        let was_gone = matches!(member.state, State::Gone { .. });
        if fresh && !card.leaving {
            let change = self.members.spoke(now, card.id);
            self.tell_change(change, &card);
        }
        self.answer(now, from, &card, &envelope, bytes.len(), was_gone);
        self.compare_views(&envelope);
        for statement in envelope.statements() {
            self.take_statement(now, at_home, statement);
        }
    }

    /// The sender is behind its own later start, or does not know that it was thought gone: it is shown what is held of it.
    fn remind(&mut self, now: Moment, from: SocketAddr, card: &Card, envelope: &Envelope<'_>, length: usize) {
        let Some(member) = self.members.get(card.id) else { return };
        let newer = vec![(Tag::Card, member.card.bytes.clone())];
        self.send_within(now, Kind::Ack, card.id, from, envelope.mark(), NOBODY, newer, 0, length);
    }

    fn answer(
        &mut self, now: Moment, from: SocketAddr, card: &Card, envelope: &Envelope<'_>, length: usize,
        was_gone: bool,
    ) {
        let Some(member) = self.members.get_mut(card.id) else { return };
        // Only who got the datagram of that mark, and has the key, can tell it: the address is proven.
        let ours = envelope.re != 0
            && (self.probes.iter().any(|probe| probe.mark == envelope.re && probe.to == card.id)
                || self.errands.iter().any(|errand| errand.mark == envelope.re && errand.member == card.id));
        if ours && member.card.address == from {
            member.proven = true;
        }
        let most = if member.proven && member.card.address == from { DATAGRAM } else { length.min(DATAGRAM) };
        let mut first = Vec::new();
        if was_gone {
            let accusation = Accusation::issue(&self.own, card.id, card.incarnation, now);
            first.push((Tag::Accusation, accusation.to_bytes().into()));
        }
        match envelope.kind {
            Kind::Ping => {
                self.send_within(now, Kind::Ack, card.id, from, envelope.mark(), NOBODY, first, 0, most);
            }
            Kind::Ack => {
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
                    self.send(now, Kind::Ack, to, errand.for_whom, errand.re, card.id, Vec::new(), 0);
                }
            }
            Kind::Ask => {
                let proven = self.members.get(card.id).is_some_and(|m| m.proven && m.card.address == from);
                let target = self.members.get(envelope.about).map(|m| (m.card.address, m.proven));
                let Some((to, reached)) = target.filter(|_| proven && self.errands.len() < ERRANDS) else {
                    return;
                };
                let fill = if reached { 0 } else { PADDED };
                let (re, member) = (envelope.mark(), envelope.about);
                if let Some(mark) = self.send(now, Kind::Ping, member, to, 0, NOBODY, Vec::new(), fill) {
                    self.errands.push_back(Errand { mark, for_whom: from, member, re, sent: now });
                }
            }
            Kind::Pull => {
                // An address that is proven gets a few pages at once; any other no more than it sent.
                let pages = if most == DATAGRAM && self.members.get(card.id).is_some_and(|m| m.proven) {
                    PAGES
                } else {
                    1
                };
                let mut cursor = envelope.about;
                for _ in 0..pages {
                    let (cards, next) = self.page(cursor, card.id, most);
                    cursor = next;
                    self.send_within(now, Kind::Page, card.id, from, envelope.mark(), cursor, cards, 0, most);
                    if cursor == NOBODY {
                        break;
                    }
                }
            }
            // Pages may come out of order: only the end starts over.
            Kind::Page if envelope.about == NOBODY => self.cursor = NOBODY,
            Kind::Page => self.cursor = self.cursor.max(envelope.about),
        }
    }

    /// As many cards behind an id as fit, and the id to go on from: nobody's at the end of the table.
    fn page(&self, after: MemberId, but: MemberId, most: usize) -> (Vec<Tagged>, MemberId) {
        let mut room = most.saturating_sub(envelope_bytes(self.card.bytes.len()));
        let (mut cards, mut last) = (Vec::new(), after);
        for card in self.members.behind(after).filter(|card| card.id != but) {
            let length = card.bytes.len() + wire::STATEMENT_HEAD;
            if length > room {
                return (cards, last);
            }
            room -= length;
            last = card.id;
            cards.push((Tag::Card, card.bytes.clone()));
        }
        (cards, NOBODY)
    }

    fn compare_views(&mut self, envelope: &Envelope<'_>) {
        if !matches!(envelope.kind, Kind::Ack | Kind::Page) {
            return;
        }
        let (own, theirs) = (self.members.count() as f64, f64::from(envelope.living));
        self.behind = if envelope.digest == self.view() {
            Behind::Not
        } else if own < theirs * 0.95 - 1.0 {
            Behind::Much
        } else {
            Behind::Little
        };
    }

    fn take_card(&mut self, now: Moment, card: Rc<Card>) -> bool {
        let change = self.members.take(now, card.clone());
        if matches!(change, Change::Nothing | Change::NoRoom) {
            if change == Change::NoRoom {
                self.event(What::NoRoom, Some(card.pass.name.clone()), None, None);
            }
            return false;
        }
        self.tell_change(change, &card);
        self.news.add(About::Card(card.id), card.bytes.clone());
        true
    }

    fn tell_change(&mut self, change: Change, card: &Card) {
        let what = match change {
            Change::Joined => What::MemberJoined,
            Change::Back => What::MemberBack,
            Change::Refuted => What::MemberRefuted,
            Change::Left => What::MemberLeft,
            Change::Nothing | Change::Renewed | Change::NoRoom => return,
        };
        self.event(what, Some(card.pass.name.clone()), None, None);
    }

    /// Takes so many checks for what a statement needs.
    fn may_check(&mut self, now: Moment, at_home: bool, checks: u32) -> bool {
        let bucket = if at_home { &mut self.checks } else { &mut self.strangers };
        let may = bucket.take(now, f64::from(checks));
        if may {
            self.counts.checks += u64::from(checks);
        } else {
            self.counts.over_budget += 1;
        }
        may
    }

    fn take_statement(&mut self, now: Moment, at_home: bool, statement: Statement) {
        match statement {
            Statement::Card(card) => self.hear_card(now, at_home, card),
            Statement::Accusation(accusation) => self.hear_accusation(now, at_home, &accusation),
            Statement::Word(word) => self.hear_word(now, at_home, &word),
            Statement::Revocation(revocation) => {
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

    /// A key no longer belongs.
    fn strike(&mut self, revocation: &Revocation) {
        self.tell_revocation(revocation);
        if let Some(name) = self.members.get(revocation.member).map(|member| member.card.pass.name.clone()) {
            self.put_out(revocation.member, name);
        }
    }

    /// A member is believed no more, and neither is what it said.
    fn put_out(&mut self, id: MemberId, name: String) {
        self.members.remove(id);
        self.words.forget(id);
        self.news.forget(&About::Card(id));
        self.event(What::MemberRevoked, Some(name), None, None);
    }

    fn hear_card(&mut self, now: Moment, at_home: bool, card: Card) {
        if card.id == self.id() {
            // Own word from before a restart with a clock that was ahead, or a stolen key.
            let ahead = card.incarnation > self.card.incarnation
                || card.leaving && card.incarnation == self.card.incarnation;
            if ahead
                && !runs_ahead(card.incarnation, now, self.pace.tolerance)
                && self.may_check(now, at_home, 1)
                && card.is_own_word()
            {
                self.renew(now, card.incarnation + 1);
            }
            return;
        }
        let known = self.members.get(card.id);
        if known.is_some_and(|member| member.card.incarnation >= card.incarnation)
            || !self.ring.fits(&card.pass, now, self.pace.tolerance)
            || runs_ahead(card.incarnation, now, self.pace.tolerance)
        {
            return;
        }
        let same_pass = known.is_some_and(|member| member.card.pass == card.pass);
        if !self.may_check(now, at_home, if same_pass { 1 } else { 2 }) {
            return;
        }
        if (!same_pass && !self.ring.believes(&card.pass)) || !card.is_own_word() {
            self.counts.forged += 1;
            return;
        }
        self.take_card(now, Rc::new(card));
    }

    fn hear_accusation(&mut self, now: Moment, at_home: bool, accusation: &Accusation) {
        let key = self.members.get(accusation.witness).map(|witness| witness.card.pass.key);
        let stale = accusation.at > now + self.pace.tolerance
            || now.since(accusation.at) > self.pace.tolerance + self.pace.word_lifetime;
        let Some(key) = key.filter(|_| !stale) else { return };
        if accusation.subject == self.id() {
            let open = accusation.incarnation == self.card.incarnation
                && self.refuted.is_none_or(|at| now.since(at) >= self.pace.period);
            if open && self.may_check(now, at_home, 1) && accusation.is_signed_by(&key) {
                self.renew(now, 0);
                self.event(What::Accused, None, None, None);
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
            self.event(What::MemberSuspect, name, None, None);
        }
        let chance = (CHECKERS / self.members.count() as f64).min(1.0);
        let waits = self.to_check.contains(&accusation.subject);
        if !waits && self.to_check.len() < TO_CHECK && self.chance.random_bool(chance) {
            self.to_check.push_back(accusation.subject);
        }
    }

    fn hear_word(&mut self, now: Moment, at_home: bool, word: &Word) {
        if word.witness == self.id() {
            return;
        }
        let Some(witness) = self.members.get(word.witness) else { return };
        let (key, who, credit) = (witness.card.pass.key, witness.who, witness.credit());
        let refused = self.words.may_take(now, word);
        if credit < LEAST_CREDIT || refused.is_err() || runs_ahead(word.incarnation, now, self.pace.tolerance)
        {
            self.counts.words_refused += u64::from(refused != Err(Refused::Told));
            return;
        }
        let may = self.members.get_mut(word.witness).is_some_and(|member| member.may_say(now));
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
        let about = About::Word(word.witness, word.engine.clone(), word.of.clone());
        self.news.add(about, word.to_bytes().into());
        let name = self.members.get(word.witness).map(|member| member.card.pass.name.clone());
        self.event(What::WordHeard, name, Some(&word.engine), Some(word.seen));
        self.hearsay(now, &word.engine, word.of.clone());
    }
}
