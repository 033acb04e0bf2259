//! What an instance holds, and how it speaks: every datagram and every word to the host goes out here.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use woadhook::{Moment, Span};

use crate::budget::Bucket;
use crate::bytes::Writer;
use crate::keys::{Identity, MemberId, Revocation, TrustStore, VoterSet, micros};
use crate::members::{Members, NOBODY};
use crate::news::{About, News};
use crate::observe::Observer;
use crate::wire::{
    self, DatagramKind, EngineCondition, MAX_DATAGRAM_BYTES, MemberRecord, TaggedItem, encode_signed,
    envelope_bytes,
};
use crate::words::Words;

/// Signatures may be saved up for so long, and datagrams.
const BURST: Span = Span::from_micros(500_000);
/// Part of the checks that strangers may use.
const STRANGERS: f64 = 0.25;
/// Reservation types that words on one engine may be about.
const TYPES: usize = 16;

/// How much, how often and how long.
#[derive(Clone, Copy, Debug)]
pub struct GossipConfig {
    /// Between two pings.
    pub period: Span,
    /// Datagrams sent a second, at most.
    pub max_sends_per_s: f64,
    /// Signatures checked a second, at most.
    pub max_checks_per_s: f64,
    /// Members remembered, at most.
    pub max_members: usize,
    /// By how much clocks may differ.
    pub clock_tolerance: Span,
    /// How long a word counts.
    pub observation_lifetime: Span,
    /// How long members that are gone are remembered.
    pub forget_after: Span,
}

/// What happened, under a stable name for log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventKind {
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
    SelfSuspected,
    ObservationReceived,
    ObservationSent,
    ObservationContradicted,
    ObservationConfirmed,
    MemberTableFull,
}

impl EventKind {
    pub fn name(self) -> &'static str {
        match self {
            EventKind::MemberJoined => "member_joined",
            EventKind::MemberBack => "member_back",
            EventKind::MemberSuspect => "member_suspect",
            EventKind::MemberRefuted => "member_refuted",
            EventKind::MemberGone => "member_gone",
            EventKind::MemberLeft => "member_left",
            EventKind::MemberForgotten => "member_forgotten",
            EventKind::MemberRevoked => "member_revoked",
            EventKind::MemberDistrusted => "member_distrusted",
            EventKind::PassEnded => "pass_ended",
            EventKind::PassEnding => "pass_ending",
            EventKind::SelfSuspected => "accused",
            EventKind::ObservationReceived => "word_heard",
            EventKind::ObservationSent => "word_told",
            EventKind::ObservationContradicted => "word_contradicted",
            EventKind::ObservationConfirmed => "word_borne_out",
            EventKind::MemberTableFull => "no_room",
        }
    }
}

/// What the host is to do next.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    Send {
        to: SocketAddr,
        bytes: Vec<u8>,
    },
    /// Others doubt an engine so far, from 0 (no longer) to [`words::MOST_DOUBT`]; of one type or all.
    PeerReport {
        engine: String,
        reservation_type: Option<String>,
        suspicion: f64,
    },
    /// The operator's order of voters, the latest that was heard.
    VoterSet {
        epoch: u64,
        voters: Vec<MemberId>,
    },
    /// Another member's words for this instance alone.
    DirectMessage {
        from: MemberId,
        bytes: Vec<u8>,
    },
    /// A voter's notice to all.
    Notice {
        from: MemberId,
        subject: u8,
        payload: Vec<u8>,
    },
    /// Worth a log line. The member is told by name, the engine by its own.
    Event {
        kind: EventKind,
        member: Option<String>,
        engine: Option<String>,
        condition: Option<EngineCondition>,
    },
}

/// What went in and out since the start; only grows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    pub sent: u64,
    pub sent_bytes: u64,
    /// Not sent for want of budget.
    pub sends_over_budget: u64,
    pub received: u64,
    pub received_bytes: u64,
    pub signature_checks: u64,
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
pub(crate) struct Probe {
    pub(crate) to: MemberId,
    pub(crate) mark: u64,
    pub(crate) sent: Moment,
    /// Marks of the requests to others.
    pub(crate) helped: Vec<u64>,
    pub(crate) asked: bool,
}

/// A ping made for another, which is told when it is answered.
pub(crate) struct Errand {
    pub(crate) mark: u64,
    pub(crate) for_whom: SocketAddr,
    pub(crate) member: MemberId,
    pub(crate) re: u64,
    pub(crate) sent: Moment,
}

pub struct Gossip {
    pub(crate) own: Identity,
    pub(crate) ring: TrustStore,
    pub(crate) card: Rc<MemberRecord>,
    pub(crate) address: SocketAddr,
    pub(crate) seeds: Vec<SocketAddr>,
    pub(crate) pace: GossipConfig,
    pub(crate) chance: Pcg32,
    pub(crate) members: Members,
    pub(crate) news: News,
    pub(crate) words: Words,
    pub(crate) observer: Observer,
    /// Emptied as the host pulls; bounded, as each input adds a few at most and the sends are budgeted.
    pub(crate) todo: VecDeque<Action>,
    /// Bounded by `PROBES`; emptied by answers and time.
    pub(crate) probes: Vec<Probe>,
    pub(crate) errands: VecDeque<Errand>,
    /// Accused members to be pinged out of turn, `TO_CHECK` at most.
    pub(crate) to_check: VecDeque<MemberId>,
    /// Members in the order of their pings; refilled when empty.
    pub(crate) round: Vec<MemberId>,
    pub(crate) number: u64,
    pub(crate) word_number: u64,
    pub(crate) periods: u64,
    pub(crate) next_period: Moment,
    pub(crate) next_pull: Moment,
    pub(crate) cursor: MemberId,
    /// How the last view that was told differs: not, a little, or by many members.
    pub(crate) behind: Behind,
    pub(crate) refuted: Option<Moment>,
    pub(crate) swept: Moment,
    pub(crate) sends: Bucket,
    pub(crate) checks: Bucket,
    pub(crate) strangers: Bucket,
    pub(crate) ending_told: bool,
    pub(crate) left: bool,
    pub(crate) order: Option<VoterSet>,
    /// The latest number of each voter's notices, by subject; emptied with each order.
    pub(crate) noticed: BTreeMap<(MemberId, u8), u64>,
    pub(crate) counts: Counters,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Behind {
    Not,
    Little,
    Much,
}

impl Gossip {
    /// `address` is where others send to; `seeds` are asked first.
    pub fn new(
        now: Moment, seed: u64, own: Identity, ring: TrustStore, address: SocketAddr, seeds: Vec<SocketAddr>,
        pace: GossipConfig,
    ) -> Self {
        let mut chance = Pcg32::seed_from_u64(seed);
        let card = Rc::new(MemberRecord::issue(&own, address, micros(now) / 1000, false));
        let first = pace.period.mul_f64(chance.random::<f64>());
        let bucket = |per_s| Bucket::new(now, per_s, BURST);
        let mut new = Self {
            members: Members::new(own.id(), pace.max_members),
            news: News::default(),
            words: Words::new(pace.observation_lifetime, pace.clock_tolerance, TYPES),
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
            sends: bucket(pace.max_sends_per_s),
            checks: bucket(pace.max_checks_per_s * (1.0 - STRANGERS)),
            strangers: bucket(pace.max_checks_per_s * STRANGERS),
            ending_told: false,
            left: false,
            order: None,
            noticed: BTreeMap::new(),
            counts: Counters::default(),
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

    pub fn counters(&self) -> Counters {
        self.counts
    }

    /// Members that live, this one among them.
    pub fn live_members(&self) -> usize {
        self.members.count()
    }

    /// A digest of who lives at which incarnation; equal at instances whose views agree.
    pub fn view_digest(&self) -> u64 {
        self.members.digest(self.card.incarnation)
    }

    /// Names, addresses and incarnations of the others that live.
    pub fn live_peers(&self) -> impl Iterator<Item = (&str, SocketAddr, u64)> {
        self.members.living().map(|(_, m)| (m.card.pass.name.as_str(), m.card.address, m.card.incarnation))
    }

    /// How far a member's words are worth anything here, from 0 to 1.
    pub fn credit(&self, member: MemberId) -> f64 {
        self.members.get(member).map_or(0.0, |member| member.credit())
    }

    /// The own card, for a table that is filled beforehand.
    pub fn own_record(&self) -> Rc<MemberRecord> {
        self.card.clone()
    }

    /// Fills the table with cards that are known to be good, as from a lasting copy.
    pub fn preload_members(&mut self, now: Moment, cards: impl Iterator<Item = Rc<MemberRecord>>) {
        for card in cards {
            self.members.take(now, card);
        }
    }

    pub(crate) fn event(
        &mut self, kind: EventKind, member: Option<String>, engine: Option<&str>,
        condition: Option<EngineCondition>,
    ) {
        self.todo.push_back(Action::Event { kind, member, engine: engine.map(str::to_owned), condition });
    }

    pub(crate) fn hearsay(&mut self, now: Moment, engine: &str, reservation_type: Option<String>) {
        let suspicion = self.words.doubt(now, engine, reservation_type.as_deref(), &self.members);
        self.todo.push_back(Action::PeerReport { engine: engine.to_owned(), reservation_type, suspicion });
    }

    /// One datagram, filled with news as far as `most` allows; gives its mark if the budget let it out.
    pub(crate) fn send(
        &mut self, now: Moment, kind: DatagramKind, to: MemberId, at: SocketAddr, re: u64, about: MemberId,
        first: Vec<TaggedItem>, fill: usize,
    ) -> Option<u64> {
        self.send_within(now, kind, to, at, re, about, first, fill, MAX_DATAGRAM_BYTES)
    }

    pub(crate) fn send_within(
        &mut self, now: Moment, kind: DatagramKind, to: MemberId, at: SocketAddr, re: u64, about: MemberId,
        mut first: Vec<TaggedItem>, fill: usize, most: usize,
    ) -> Option<u64> {
        let base = envelope_bytes(self.card.bytes.len());
        let taken: usize = first.iter().map(|(_, bytes)| bytes.len() + wire::ITEM_HEAD_BYTES).sum();
        let room = most.checked_sub(base + taken)?;
        if !self.sends.take(now, 1.0) {
            self.counts.sends_over_budget += 1;
            return None;
        }
        // A pull is padded so that its page may be as large, not to carry news.
        if kind != DatagramKind::Pull {
            first.extend(self.news.take(to, room, self.members.count()));
        }
        self.number += 1;
        let view = (self.members.count().min(u16::MAX.into()) as u16, self.view_digest());
        let (bytes, mark) = encode_signed(
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
        self.todo.push_back(Action::Send { to: at, bytes });
        Some(mark)
    }

    pub(crate) fn tell_own_card(&mut self) {
        self.news.add(About::MemberRecord(self.own.id()), self.card.bytes.clone());
    }

    pub(crate) fn tell_revocation(&mut self, revocation: &Revocation) {
        let mut out = Writer::default();
        revocation.write(&mut out);
        self.news.add(About::Revocation(revocation.member), out.into_bytes().into());
    }

    /// Signs a new card, at a higher incarnation.
    pub(crate) fn renew(&mut self, now: Moment, at_least: u64) {
        let incarnation = (self.card.incarnation + 1).max(at_least);
        self.card = Rc::new(MemberRecord::issue(&self.own, self.address, incarnation, self.left));
        self.refuted = Some(now);
        self.tell_own_card();
    }
}
