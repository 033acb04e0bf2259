//! The state of one instance and its outgoing datagrams and events.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use woadhook::{Moment, Span};

use crate::budget::TokenBucket;
use crate::bytes::Writer;
use crate::item_queue::{ItemQueue, Topic};
use crate::keys::{Identity, MemberId, Revocation, TrustStore, VoterSet, micros};
use crate::members::{MemberTable, NO_MEMBER};
use crate::observations::ObservationTable;
use crate::own_observations::OwnObservations;
use crate::wire::{
    self, DatagramKind, EngineCondition, MAX_DATAGRAM_BYTES, MemberRecord, TaggedItem, encode_signed,
    envelope_bytes,
};

/// The time over which the budgets of signature checks and of datagrams accumulate while they are not used.
const BUDGET_BURST: Span = Span::from_micros(500_000);
/// Fraction of the signature checks that datagrams from unknown addresses may use.
const UNKNOWN_SENDER_SHARE: f64 = 0.25;
/// Maximum number of reservation types that the observations about one engine may name.
const MAX_TYPES_PER_ENGINE: usize = 16;

/// Period, rate limits, table size and lifetimes of an instance.
#[derive(Clone, Copy, Debug)]
pub struct GossipConfig {
    /// Interval between two pings.
    pub period: Span,
    /// Maximum number of datagrams sent per second.
    pub max_sends_per_s: f64,
    /// Maximum number of signatures checked per second.
    pub max_checks_per_s: f64,
    /// Maximum number of members remembered.
    pub max_members: usize,
    /// Maximum difference between the clocks of two members.
    pub clock_tolerance: Span,
    /// Age at which an observation no longer counts.
    pub observation_lifetime: Span,
    /// Time after which members that are gone or have left are forgotten.
    pub forget_after: Span,
}

/// The kind of an event, with a stable name for log lines.
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
    /// Another member reported this instance as failed.
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

/// An action for the host to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    Send {
        to: SocketAddr,
        bytes: Vec<u8>,
    },
    /// The suspicion that other members raise about an engine. It ranges from 0 (none) to
    /// [`MAX_SUSPICION`](crate::observations::MAX_SUSPICION) and concerns one reservation type, or all of
    /// them if there is none.
    PeerReport {
        engine: String,
        reservation_type: Option<String>,
        suspicion: f64,
    },
    /// A newer voter set signed by the operator was accepted.
    VoterSet {
        epoch: u64,
        voters: Vec<MemberId>,
    },
    /// Another member sent a message to this instance alone.
    DirectMessage {
        from: MemberId,
        bytes: Vec<u8>,
    },
    /// A voter sent a notice to all members.
    Notice {
        from: MemberId,
        subject: u8,
        payload: Vec<u8>,
    },
    /// An event worth a log line. `member` and `engine` are names.
    Event {
        kind: EventKind,
        member: Option<String>,
        engine: Option<String>,
        condition: Option<EngineCondition>,
    },
}

/// Counters since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    pub sent: u64,
    pub sent_bytes: u64,
    /// Datagrams not sent because the send budget was used up.
    pub sends_over_budget: u64,
    pub received: u64,
    pub received_bytes: u64,
    pub signature_checks: u64,
    /// Datagrams of another protocol, version, cluster or receiver, malformed ones, and datagrams with this
    /// instance's own record.
    pub foreign: u64,
    /// Datagrams that are too old or whose timestamp is too far ahead.
    pub bad_timestamp: u64,
    /// Datagrams received before, or with an older incarnation of their sender.
    pub replayed: u64,
    /// Datagrams whose sender's pass has ended, is revoked or is not from a known operator key, or whose
    /// incarnation is too far ahead.
    pub not_admitted: u64,
    /// Datagrams and items with an invalid signature.
    pub bad_signature: u64,
    /// Datagrams and items dropped unverified because the budget of signature checks was used up.
    pub checks_over_budget: u64,
    pub observations_accepted: u64,
    pub observations_rejected: u64,
}

/// A ping that has not been answered yet.
pub(crate) struct Probe {
    pub(crate) target: MemberId,
    pub(crate) datagram_id: u64,
    pub(crate) sent: Moment,
    /// Ids of the ping requests sent to other members.
    pub(crate) helper_request_ids: Vec<u64>,
    pub(crate) helpers_asked: bool,
}

/// A ping sent on behalf of another member, which is notified when the answer arrives.
pub(crate) struct RelayedPing {
    pub(crate) datagram_id: u64,
    pub(crate) requester: SocketAddr,
    pub(crate) target: MemberId,
    pub(crate) request_id: u64,
    pub(crate) sent: Moment,
}

/// The core of one instance: its keys, its member table and the observations about engines.
pub struct Gossip {
    pub(crate) identity: Identity,
    pub(crate) trust_store: TrustStore,
    pub(crate) record: Rc<MemberRecord>,
    pub(crate) address: SocketAddr,
    pub(crate) seeds: Vec<SocketAddr>,
    pub(crate) config: GossipConfig,
    pub(crate) rng: Pcg32,
    pub(crate) members: MemberTable,
    pub(crate) item_queue: ItemQueue,
    pub(crate) observations: ObservationTable,
    pub(crate) own_observations: OwnObservations,
    /// Actions not yet fetched by the host. The queue stays short, as each input adds only a few and sends
    /// are limited by a budget.
    pub(crate) actions: VecDeque<Action>,
    /// At most `MAX_PROBES`. Answers and time remove entries.
    pub(crate) probes: Vec<Probe>,
    pub(crate) relayed_pings: VecDeque<RelayedPing>,
    /// Suspects to be probed before their turn, at most `MAX_SUSPECTS_TO_PROBE`.
    pub(crate) suspects_to_probe: VecDeque<MemberId>,
    /// Members in the order in which they are probed, refilled when empty.
    pub(crate) probe_order: Vec<MemberId>,
    pub(crate) datagram_number: u64,
    pub(crate) observation_number: u64,
    pub(crate) period_count: u64,
    pub(crate) next_period: Moment,
    pub(crate) next_pull: Moment,
    pub(crate) pull_cursor: MemberId,
    /// How much the view most recently received from another member differs from this instance's own.
    pub(crate) view_difference: ViewDifference,
    pub(crate) last_refutation: Option<Moment>,
    pub(crate) last_sweep: Moment,
    pub(crate) send_budget: TokenBucket,
    pub(crate) check_budget: TokenBucket,
    pub(crate) unknown_sender_budget: TokenBucket,
    pub(crate) pass_ending_reported: bool,
    pub(crate) has_left: bool,
    pub(crate) voter_set: Option<VoterSet>,
    /// The latest notice number of each voter and subject, cleared with each new voter set.
    pub(crate) notice_numbers: BTreeMap<(MemberId, u8), u64>,
    pub(crate) counters: Counters,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ViewDifference {
    None,
    Small,
    Large,
}

impl Gossip {
    /// Creates an instance that other members reach at `address`. `seeds` are the addresses contacted first.
    pub fn new(
        now: Moment, seed: u64, identity: Identity, trust_store: TrustStore, address: SocketAddr,
        seeds: Vec<SocketAddr>, config: GossipConfig,
    ) -> Self {
        let mut rng = Pcg32::seed_from_u64(seed);
        let record = Rc::new(MemberRecord::issue(&identity, address, micros(now) / 1000, false));
        let first_delay = config.period.mul_f64(rng.random::<f64>());
        let bucket = |per_s| TokenBucket::new(now, per_s, BUDGET_BURST);
        let mut new = Self {
            members: MemberTable::new(identity.id(), config.max_members),
            item_queue: ItemQueue::default(),
            observations: ObservationTable::new(
                config.observation_lifetime,
                config.clock_tolerance,
                MAX_TYPES_PER_ENGINE,
            ),
            own_observations: OwnObservations::default(),
            actions: VecDeque::new(),
            probes: Vec::new(),
            relayed_pings: VecDeque::new(),
            suspects_to_probe: VecDeque::new(),
            probe_order: Vec::new(),
            datagram_number: 0,
            observation_number: 0,
            period_count: 0,
            next_period: now + first_delay,
            next_pull: now,
            pull_cursor: NO_MEMBER,
            view_difference: ViewDifference::Large,
            last_refutation: None,
            last_sweep: now,
            send_budget: bucket(config.max_sends_per_s),
            check_budget: bucket(config.max_checks_per_s * (1.0 - UNKNOWN_SENDER_SHARE)),
            unknown_sender_budget: bucket(config.max_checks_per_s * UNKNOWN_SENDER_SHARE),
            pass_ending_reported: false,
            has_left: false,
            voter_set: None,
            notice_numbers: BTreeMap::new(),
            counters: Counters::default(),
            identity,
            trust_store,
            record,
            address,
            seeds,
            config,
            rng,
        };
        new.queue_own_record();
        for revocation in new.trust_store.revocations().cloned().collect::<Vec<_>>() {
            new.queue_revocation(&revocation);
        }
        new
    }

    pub fn id(&self) -> MemberId {
        self.identity.id()
    }

    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Returns the number of live members, this one included.
    pub fn live_members(&self) -> usize {
        self.members.live_count()
    }

    /// Returns a digest of the live members and their incarnations. It is equal at instances whose views
    /// agree.
    pub fn view_digest(&self) -> u64 {
        self.members.view_digest(self.record.incarnation)
    }

    /// Returns the names, addresses and incarnations of the other live members.
    pub fn live_peers(&self) -> impl Iterator<Item = (&str, SocketAddr, u64)> {
        self.members
            .live()
            .map(|(_, m)| (m.record.pass.name.as_str(), m.record.address, m.record.incarnation))
    }

    /// Returns how much a member's observations count here, from 0 to 1.
    pub fn credit(&self, member: MemberId) -> f64 {
        self.members.get(member).map_or(0.0, |member| member.credit())
    }

    /// Returns this instance's member record, for filling the tables of others in advance.
    pub fn own_record(&self) -> Rc<MemberRecord> {
        self.record.clone()
    }

    /// Fills the member table with records that are known to be good, such as from a stored copy.
    pub fn preload_members(&mut self, now: Moment, records: impl Iterator<Item = Rc<MemberRecord>>) {
        for record in records {
            self.members.apply_record(now, record);
        }
    }

    pub(crate) fn push_event(
        &mut self, kind: EventKind, member: Option<String>, engine: Option<&str>,
        condition: Option<EngineCondition>,
    ) {
        self.actions.push_back(Action::Event { kind, member, engine: engine.map(str::to_owned), condition });
    }

    /// Reports to the host the suspicion that other members now raise about an engine.
    pub(crate) fn push_peer_report(&mut self, now: Moment, engine: &str, reservation_type: Option<String>) {
        let suspicion = self.observations.suspicion(now, engine, reservation_type.as_deref(), &self.members);
        self.actions.push_back(Action::PeerReport { engine: engine.to_owned(), reservation_type, suspicion });
    }

    /// Sends one datagram and fills the remaining space up to the maximum length with queued items. Returns
    /// the datagram's id, or `None` if the send budget is used up or `items` do not fit.
    pub(crate) fn send(
        &mut self, now: Moment, kind: DatagramKind, to: MemberId, address: SocketAddr, in_reply_to: u64,
        about: MemberId, items: Vec<TaggedItem>, padded_length: usize,
    ) -> Option<u64> {
        self.send_limited(
            now,
            kind,
            to,
            address,
            in_reply_to,
            about,
            items,
            padded_length,
            MAX_DATAGRAM_BYTES,
        )
    }

    /// Sends one datagram as [`send`](Self::send) does, of at most `max_bytes` bytes.
    pub(crate) fn send_limited(
        &mut self, now: Moment, kind: DatagramKind, to: MemberId, address: SocketAddr, in_reply_to: u64,
        about: MemberId, mut items: Vec<TaggedItem>, padded_length: usize, max_bytes: usize,
    ) -> Option<u64> {
        let overhead = envelope_bytes(self.record.bytes.len());
        let items_length: usize = items.iter().map(|(_, bytes)| bytes.len() + wire::ITEM_HEAD_BYTES).sum();
        let available = max_bytes.checked_sub(overhead + items_length)?;
        if !self.send_budget.take(now, 1.0) {
            self.counters.sends_over_budget += 1;
            return None;
        }
        // A pull is padded so that the answering page may be as large. It carries no queued items.
        if kind != DatagramKind::Pull {
            items.extend(self.item_queue.take(to, available, self.members.live_count()));
        }
        self.datagram_number += 1;
        let view = (self.members.live_count().min(u16::MAX.into()) as u16, self.view_digest());
        let (bytes, datagram_id) = encode_signed(
            &self.identity,
            kind,
            to,
            now,
            self.datagram_number,
            in_reply_to,
            about,
            view,
            &self.record.bytes,
            &items,
            padded_length.min(max_bytes),
        );
        self.counters.sent += 1;
        self.counters.sent_bytes += bytes.len() as u64;
        self.actions.push_back(Action::Send { to: address, bytes });
        Some(datagram_id)
    }

    pub(crate) fn queue_own_record(&mut self) {
        self.item_queue.add(Topic::MemberRecord(self.identity.id()), self.record.bytes.clone());
    }

    pub(crate) fn queue_revocation(&mut self, revocation: &Revocation) {
        let mut out = Writer::default();
        revocation.write(&mut out);
        self.item_queue.add(Topic::Revocation(revocation.member), out.into_bytes().into());
    }

    /// Signs a new record of this instance with the next incarnation, or with `min_incarnation` if that is
    /// greater.
    pub(crate) fn renew_record(&mut self, now: Moment, min_incarnation: u64) {
        let incarnation = (self.record.incarnation + 1).max(min_incarnation);
        self.record = Rc::new(MemberRecord::issue(&self.identity, self.address, incarnation, self.has_left));
        self.last_refutation = Some(now);
        self.queue_own_record();
    }
}
