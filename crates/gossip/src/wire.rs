//! Encodes and decodes datagrams and the items in them. Decoding never allocates more than the length of its
//! input, and does not decide who is trusted.

use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;

use woadhook::Moment;

use crate::bytes::{Reader, Writer};
use crate::keys::{ClusterId, Identity, MemberId, Pass, Revocation, SignedKind, VoterSet, micros, verify};

/// Maximum length of a datagram, in bytes. It fits the minimum MTU of IPv6 with space for tunnel headers.
pub const MAX_DATAGRAM_BYTES: usize = 1200;
/// Length, in bytes, to which a ping to an unverified address is padded, so that any answer fits into the
/// same length.
pub const PADDED_PING_BYTES: usize = 640;
/// Maximum length of an engine's name in an observation, in bytes.
pub const MAX_ENGINE_NAME_BYTES: usize = 64;
/// Maximum length of a reservation type's name in an observation, in bytes.
pub const MAX_TYPE_NAME_BYTES: usize = 32;
const MAGIC: [u8; 3] = *b"WG\x01";
const SIGNATURE_BYTES: usize = 64;

/// The purpose of a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DatagramKind {
    /// Asks for an ack.
    Ping,
    Ack,
    /// Asks the receiver to ping `about` and to report an answer.
    PingRequest,
    /// Asks for the records of live members after the id `about`.
    Pull,
    Page,
    /// Carries a message for the receiver alone, without an answer.
    Direct,
}

impl DatagramKind {
    fn from(byte: u8) -> Option<Self> {
        [
            DatagramKind::Ping,
            DatagramKind::Ack,
            DatagramKind::PingRequest,
            DatagramKind::Pull,
            DatagramKind::Page,
            DatagramKind::Direct,
        ]
        .into_iter()
        .find(|kind| *kind as u8 == byte)
    }
}

/// A member's description of itself: its pass, and a record that it signed.
#[derive(Clone, Debug)]
pub struct MemberRecord {
    pub pass: Pass,
    pub id: MemberId,
    pub address: SocketAddr,
    /// Grows with each start and each refutation. It is the Unix time in milliseconds, or more.
    pub incarnation: u64,
    pub leaving: bool,
    signature: [u8; 64],
    /// The encoded record.
    pub bytes: Rc<[u8]>,
}

impl MemberRecord {
    pub fn issue(identity: &Identity, address: SocketAddr, incarnation: u64, leaving: bool) -> Self {
        let body = record_body(identity.id(), address, incarnation, leaving);
        let signature = identity.secret.sign(SignedKind::MemberRecord, &body);
        let mut out = Writer::default();
        identity.pass.write(&mut out);
        out.bytes(&body[8..]);
        out.bytes(&signature);
        let bytes = out.into_bytes().into();
        Self {
            pass: identity.pass.clone(),
            id: identity.id(),
            address,
            incarnation,
            leaving,
            signature,
            bytes,
        }
    }

    /// Decodes a record without checking its signatures.
    pub fn read(bytes: &[u8]) -> Option<Self> {
        let mut from = Reader::new(bytes);
        let pass = Pass::read(&mut from)?;
        let ip: IpAddr = match from.u8()? {
            4 => from.array::<4>()?.into(),
            6 => from.array::<16>()?.into(),
            _ => return None,
        };
        let address = SocketAddr::new(ip, from.u16()?);
        let (incarnation, leaving) = (from.u64()?, from.u8()?);
        let signature = from.array()?;
        let complete = from.is_empty() && leaving <= 1;
        let id = pass.id();
        let bytes = bytes.into();
        complete.then_some(Self { pass, id, address, incarnation, leaving: leaving == 1, signature, bytes })
    }

    /// Returns whether the member signed its own record.
    pub fn is_self_signed(&self) -> bool {
        let body = record_body(self.id, self.address, self.incarnation, self.leaving);
        verify(&self.pass.key, SignedKind::MemberRecord, &body, &self.signature)
    }
}

fn record_body(id: MemberId, address: SocketAddr, incarnation: u64, leaving: bool) -> Vec<u8> {
    let mut out = Writer::default();
    out.u64(id.0);
    match address.ip() {
        IpAddr::V4(ip) => {
            out.u8(4);
            out.bytes(&ip.octets());
        }
        IpAddr::V6(ip) => {
            out.u8(6);
            out.bytes(&ip.octets());
        }
    }
    out.u16(address.port());
    out.u64(incarnation);
    out.u8(u8::from(leaving));
    out.into_bytes()
}

/// A member's signed report that another member, at some incarnation, did not answer it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FailureReport {
    pub reporter: MemberId,
    pub subject: MemberId,
    pub incarnation: u64,
    pub signed_at: Moment,
    signature: [u8; 64],
}

impl FailureReport {
    pub fn issue(identity: &Identity, subject: MemberId, incarnation: u64, signed_at: Moment) -> Self {
        let mut new = Self { reporter: identity.id(), subject, incarnation, signed_at, signature: [0; 64] };
        new.signature = identity.secret.sign(SignedKind::FailureReport, &new.body());
        new
    }

    fn body(&self) -> Vec<u8> {
        let mut out = Writer::default();
        for part in [self.reporter.0, self.subject.0, self.incarnation, micros(self.signed_at)] {
            out.u64(part);
        }
        out.into_bytes()
    }

    pub fn to_bytes(&self) -> Vec<u8> {
        [self.body().as_slice(), &self.signature].concat()
    }

    pub fn read(bytes: &[u8]) -> Option<Self> {
        let mut from = Reader::new(bytes);
        let read = Self {
            reporter: MemberId(from.u64()?),
            subject: MemberId(from.u64()?),
            incarnation: from.u64()?,
            signed_at: Moment::from_micros(from.u64()?),
            signature: from.array()?,
        };
        from.is_empty().then_some(read)
    }

    pub fn is_signed_by(&self, key: &[u8; 32]) -> bool {
        verify(key, SignedKind::FailureReport, &self.body(), &self.signature)
    }
}

/// The condition of an engine as a member observed it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EngineCondition {
    /// The engine sent nothing while it had work, or left probes unanswered.
    Silent = 1,
    /// Connections were reset or refused.
    Reset = 2,
    /// The engine turns work away.
    Refusing = 3,
    /// Jobs of one reservation type end with errors at the engine.
    Failing = 4,
    /// The condition reported before has ended.
    Well = 5,
}

impl EngineCondition {
    fn from(byte: u8) -> Option<Self> {
        [
            EngineCondition::Silent,
            EngineCondition::Reset,
            EngineCondition::Refusing,
            EngineCondition::Failing,
            EngineCondition::Well,
        ]
        .into_iter()
        .find(|condition| *condition as u8 == byte)
    }

    /// Returns the stable name for log lines.
    pub fn name(self) -> &'static str {
        match self {
            EngineCondition::Silent => "silent",
            EngineCondition::Reset => "reset",
            EngineCondition::Refusing => "refusing",
            EngineCondition::Failing => "failing",
            EngineCondition::Well => "well",
        }
    }
}

/// A member's signed observation about an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Observation {
    pub reporter: MemberId,
    /// The reporter's incarnation when it signed the observation.
    pub incarnation: u64,
    /// Grows with each of the reporter's observations.
    pub number: u64,
    pub signed_at: Moment,
    pub engine: String,
    /// When the engine started, according to the reporter's list. Zero if the list does not state it.
    pub started_at: Moment,
    pub condition: EngineCondition,
    /// The reservation type, if the observation is about a single one.
    pub reservation_type: Option<String>,
    /// The reporter's confidence, in units of 1/255.
    pub confidence: u8,
    signature: [u8; 64],
}

impl Observation {
    pub fn issue(
        identity: &Identity, incarnation: u64, number: u64, signed_at: Moment, engine: &str,
        started_at: Moment, condition: EngineCondition, reservation_type: Option<&str>, confidence: u8,
    ) -> Self {
        let (engine, reservation_type) = (engine.to_owned(), reservation_type.map(str::to_owned));
        let reporter = identity.id();
        let signature = [0; 64];
        let mut new = Self {
            reporter,
            incarnation,
            number,
            signed_at,
            engine,
            started_at,
            condition,
            reservation_type,
            confidence,
            signature,
        };
        new.signature = identity.secret.sign(SignedKind::Observation, &new.body());
        new
    }

    fn body(&self) -> Vec<u8> {
        let mut out = Writer::default();
        for part in
            [self.reporter.0, self.incarnation, self.number, micros(self.signed_at), micros(self.started_at)]
        {
            out.u64(part);
        }
        out.length_prefixed(self.engine.as_bytes());
        out.u8(self.condition as u8);
        out.length_prefixed(self.reservation_type.as_deref().unwrap_or_default().as_bytes());
        out.u8(self.confidence);
        out.into_bytes()
    }

    pub fn to_bytes(&self) -> Vec<u8> {
        [self.body().as_slice(), &self.signature].concat()
    }

    pub fn read(bytes: &[u8]) -> Option<Self> {
        let mut from = Reader::new(bytes);
        let text = |bytes: &[u8]| std::str::from_utf8(bytes).ok().map(str::to_owned);
        let read = Self {
            reporter: MemberId(from.u64()?),
            incarnation: from.u64()?,
            number: from.u64()?,
            signed_at: Moment::from_micros(from.u64()?),
            started_at: Moment::from_micros(from.u64()?),
            engine: text(from.length_prefixed(MAX_ENGINE_NAME_BYTES)?)?,
            condition: EngineCondition::from(from.u8()?)?,
            reservation_type: Some(text(from.length_prefixed(MAX_TYPE_NAME_BYTES)?)?)
                .filter(|name| !name.is_empty()),
            confidence: from.u8()?,
            signature: from.array()?,
        };
        from.is_empty().then_some(read)
    }

    pub fn is_signed_by(&self, key: &[u8; 32]) -> bool {
        verify(key, SignedKind::Observation, &self.body(), &self.signature)
    }
}

/// A voter's signed notice about one of a few subjects, which all members relay. Its payload is opaque to
/// gossip.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Notice {
    pub voter: MemberId,
    pub subject: u8,
    /// Grows with each notice of a voter about a subject.
    pub number: u64,
    pub payload: Vec<u8>,
    signature: [u8; 64],
}

impl Notice {
    pub fn issue(identity: &Identity, subject: u8, number: u64, payload: Vec<u8>) -> Self {
        let mut new = Self { voter: identity.id(), subject, number, payload, signature: [0; 64] };
        new.signature = identity.secret.sign(SignedKind::Notice, &new.body());
        new
    }

    fn body(&self) -> Vec<u8> {
        let mut out = Writer::with_capacity(self.payload.len() + 17);
        out.u64(self.voter.0);
        out.u8(self.subject);
        out.u64(self.number);
        out.bytes(&self.payload);
        out.into_bytes()
    }

    pub fn to_bytes(&self) -> Vec<u8> {
        [&self.signature, self.body().as_slice()].concat()
    }

    pub fn read(bytes: &[u8]) -> Option<Self> {
        let mut from = Reader::new(bytes);
        let signature = from.array()?;
        let (voter, subject, number) = (MemberId(from.u64()?), from.u8()?, from.u64()?);
        Some(Self { voter, subject, number, payload: from.rest().to_vec(), signature })
    }

    pub fn is_signed_by(&self, key: &[u8; 32]) -> bool {
        verify(key, SignedKind::Notice, &self.body(), &self.signature)
    }
}

/// An item as decoded from a datagram.
#[derive(Clone, Debug)]
pub enum Item {
    MemberRecord(MemberRecord),
    FailureReport(FailureReport),
    Observation(Observation),
    Revocation(Revocation),
    VoterSet(VoterSet),
    Notice(Notice),
    /// A message for the receiver alone, covered only by the datagram's signature.
    Direct(Vec<u8>),
}

const PADDING_TAG: u8 = 0;
/// Length of an item's tag and length fields, in bytes.
pub const ITEM_HEAD_BYTES: usize = 3;

/// An item as encoded in a datagram.
pub type TaggedItem = (ItemTag, Rc<[u8]>);

/// The tags of the kinds of items.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ItemTag {
    MemberRecord = 1,
    FailureReport = 2,
    Observation = 3,
    Revocation = 4,
    VoterSet = 5,
    Notice = 6,
    Direct = 7,
}

/// The decoded fields of a datagram. Its member record and items are borrowed and not decoded yet.
pub struct Envelope<'a> {
    pub kind: DatagramKind,
    pub cluster: ClusterId,
    pub sender: MemberId,
    pub to: MemberId,
    pub sent: Moment,
    pub number: u64,
    /// The id of the datagram that this one answers, or zero.
    pub in_reply_to: u64,
    /// The member that the datagram is about, or the id after which a pull or a page continues.
    pub about: MemberId,
    /// The number of live members that the sender knows.
    pub live_members: u16,
    /// A digest of these members and their incarnations.
    pub view_digest: u64,
    pub record: &'a [u8],
    items: &'a [u8],
    signed: &'a [u8],
    signature: [u8; 64],
}

impl<'a> Envelope<'a> {
    /// Decodes a datagram without checking its signatures.
    pub fn read(bytes: &'a [u8]) -> Option<Self> {
        if bytes.len() > MAX_DATAGRAM_BYTES {
            return None;
        }
        let signed = &bytes[..bytes.len().checked_sub(SIGNATURE_BYTES)?];
        let signature = Reader::new(&bytes[signed.len()..]).array()?;
        let mut from = Reader::new(signed);
        if from.array()? != MAGIC {
            return None;
        }
        let kind = DatagramKind::from(from.u8()?)?;
        let (cluster, sender, to) = (ClusterId(from.u64()?), MemberId(from.u64()?), MemberId(from.u64()?));
        let (sent, number) = (Moment::from_micros(from.u64()?), from.u64()?);
        let (in_reply_to, about) = (from.u64()?, MemberId(from.u64()?));
        let (live_members, view_digest) = (from.u16()?, from.u64()?);
        let length = from.u16()?.into();
        let record = from.take(length)?;
        let items = from.rest();
        let read = Self {
            kind,
            cluster,
            sender,
            to,
            sent,
            number,
            in_reply_to,
            about,
            live_members,
            view_digest,
            record,
            items,
            signed,
            signature,
        };
        let complete = read.raw_items().all(|item| item.is_some());
        complete.then_some(read)
    }

    /// Returns an id that distinguishes this datagram from all others. Others can't predict it, as computing
    /// it takes the sender's key.
    pub fn datagram_id(&self) -> u64 {
        datagram_id(&self.signature)
    }

    pub fn is_signed_by(&self, key: &[u8; 32]) -> bool {
        verify(key, SignedKind::Envelope, self.signed, &self.signature)
    }

    fn raw_items(&self) -> impl Iterator<Item = Option<(u8, &'a [u8])>> {
        let mut from = Reader::new(self.items);
        std::iter::from_fn(move || {
            if from.is_empty() {
                return None;
            }
            let item = (|| {
                let tag = from.u8()?;
                let length = from.u16()?;
                Some((tag, from.take(length.into())?))
            })();
            if item.is_none() {
                from = Reader::new(&[]);
            }
            Some(item)
        })
    }

    /// Returns the items that can be decoded. Others are skipped, as a newer version may have sent them.
    pub fn items(&self) -> impl Iterator<Item = Item> {
        self.raw_items().flatten().filter_map(|(tag, bytes)| match tag {
            1 => MemberRecord::read(bytes).map(Item::MemberRecord),
            2 => FailureReport::read(bytes).map(Item::FailureReport),
            3 => Observation::read(bytes).map(Item::Observation),
            4 => {
                let mut from = Reader::new(bytes);
                Revocation::read(&mut from).filter(|_| from.is_empty()).map(Item::Revocation)
            }
            5 => VoterSet::read(bytes).map(Item::VoterSet),
            6 => Notice::read(bytes).map(Item::Notice),
            7 => Some(Item::Direct(bytes.to_vec())),
            _ => None,
        })
    }
}

fn datagram_id(signature: &[u8; 64]) -> u64 {
    u64::from_be_bytes(std::array::from_fn(|index| signature[index]))
}

/// Returns the length of a datagram without items, for a member record of the given length.
pub fn envelope_bytes(record: usize) -> usize {
    MAGIC.len() + 1 + 7 * 8 + 2 + 8 + 2 + record + SIGNATURE_BYTES
}

/// Encodes and signs a datagram, padded to `padded_length` bytes. Returns the bytes and the datagram's id.
pub fn encode_signed(
    identity: &Identity, kind: DatagramKind, to: MemberId, sent: Moment, number: u64, in_reply_to: u64,
    about: MemberId, view: (u16, u64), record: &[u8], items: &[TaggedItem], padded_length: usize,
) -> (Vec<u8>, u64) {
    let mut out = Writer::with_capacity(MAX_DATAGRAM_BYTES);
    out.bytes(&MAGIC);
    out.u8(kind as u8);
    for part in [identity.pass.cluster.0, identity.id().0, to.0, micros(sent), number, in_reply_to, about.0] {
        out.u64(part);
    }
    out.u16(view.0);
    out.u64(view.1);
    out.u16(record.len() as u16);
    out.bytes(record);
    for (tag, bytes) in items {
        out.u8(*tag as u8);
        out.u16(bytes.len() as u16);
        out.bytes(bytes);
    }
    let padding = padded_length.min(MAX_DATAGRAM_BYTES).saturating_sub(out.written().len() + SIGNATURE_BYTES);
    if padding >= ITEM_HEAD_BYTES {
        out.u8(PADDING_TAG);
        out.u16((padding - ITEM_HEAD_BYTES) as u16);
        out.bytes(&vec![0; padding - ITEM_HEAD_BYTES]);
    }
    let signature = identity.secret.sign(SignedKind::Envelope, out.written());
    out.bytes(&signature);
    (out.into_bytes(), datagram_id(&signature))
}
