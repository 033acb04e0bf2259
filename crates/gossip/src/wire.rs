//! Datagrams and the statements in them, as bytes. Reading never allocates more than it was given, and knows nothing
//! of who may be believed.

use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;

use woadhook::Moment;

use crate::bytes::{Reader, Writer};
use crate::keys::{ClusterId, Identity, MemberId, Pass, Revocation, Sealed, VoterSet, micros, verify};

/// The largest datagram, in bytes: fits the least MTU of IPv6 with room for tunnels.
pub const MAX_DATAGRAM_BYTES: usize = 1200;
/// What a ping to an address that proved nothing yet is filled up to, so that any answer fits into as much.
pub const PADDED_PING_BYTES: usize = 640;
/// The longest name of an engine and of a reservation type in a word, in bytes.
pub const ENGINE_BYTES: usize = 64;
pub const TYPE_BYTES: usize = 32;
const MAGIC: [u8; 3] = *b"WG\x01";
const SIGNATURE: usize = 64;

/// What a datagram asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DatagramKind {
    /// Answer with an ack.
    Ping,
    Ack,
    /// Ping the member `about` and tell me if it answers.
    PingRequest,
    /// Send cards of living members behind `about`.
    Pull,
    Page,
    /// Words for the receiver alone; nothing is answered.
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

/// A member as it tells of itself: its pass, and a record that it signed.
#[derive(Clone, Debug)]
pub struct MemberRecord {
    pub pass: Pass,
    pub id: MemberId,
    pub address: SocketAddr,
    /// Grows with each start and each refutation: milliseconds of Unix time or more.
    pub incarnation: u64,
    pub leaving: bool,
    signature: [u8; 64],
    /// As it travels.
    pub bytes: Rc<[u8]>,
}

impl MemberRecord {
    pub fn issue(own: &Identity, address: SocketAddr, incarnation: u64, leaving: bool) -> Self {
        let record = record(own.id(), address, incarnation, leaving);
        let signature = own.secret.sign(Sealed::Record, &record);
        let mut out = Writer::default();
        own.pass.write(&mut out);
        out.bytes(&record[8..]);
        out.bytes(&signature);
        let bytes = out.into_bytes().into();
        Self { pass: own.pass.clone(), id: own.id(), address, incarnation, leaving, signature, bytes }
    }

    /// Reads a card, signatures unchecked.
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
        let whole = from.is_empty() && leaving <= 1;
        let id = pass.id();
        let bytes = bytes.into();
        whole.then_some(Self { pass, id, address, incarnation, leaving: leaving == 1, signature, bytes })
    }

    /// Whether its subject signed the record.
    pub fn is_own_word(&self) -> bool {
        let record = record(self.id, self.address, self.incarnation, self.leaving);
        verify(&self.pass.key, Sealed::Record, &record, &self.signature)
    }
}

fn record(id: MemberId, address: SocketAddr, incarnation: u64, leaving: bool) -> Vec<u8> {
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

/// A member's signed word that another did not answer it, at this incarnation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Accusation {
    pub witness: MemberId,
    pub subject: MemberId,
    pub incarnation: u64,
    pub at: Moment,
    signature: [u8; 64],
}

impl Accusation {
    pub fn issue(own: &Identity, subject: MemberId, incarnation: u64, at: Moment) -> Self {
        let mut new = Self { witness: own.id(), subject, incarnation, at, signature: [0; 64] };
        new.signature = own.secret.sign(Sealed::Accusation, &new.body());
        new
    }

    fn body(&self) -> Vec<u8> {
        let mut out = Writer::default();
        for part in [self.witness.0, self.subject.0, self.incarnation, micros(self.at)] {
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
            witness: MemberId(from.u64()?),
            subject: MemberId(from.u64()?),
            incarnation: from.u64()?,
            at: Moment::from_micros(from.u64()?),
            signature: from.array()?,
        };
        from.is_empty().then_some(read)
    }

    pub fn is_signed_by(&self, key: &[u8; 32]) -> bool {
        verify(key, Sealed::Accusation, &self.body(), &self.signature)
    }
}

/// What was seen of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EngineCondition {
    /// It gave no word while work was out there, or left probes unanswered.
    Silent = 1,
    /// Connections were reset or refused.
    Reset = 2,
    /// It turns work away.
    Refusing = 3,
    /// It ends one type's jobs as errors.
    Failing = 4,
    /// It does again what it was said not to.
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
        .find(|seen| *seen as u8 == byte)
    }

    /// Its stable name in log lines.
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

/// A member's signed word on an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Observation {
    pub reporter: MemberId,
    /// The witness's incarnation when it said so, and a number that grows with each of its words.
    pub incarnation: u64,
    pub number: u64,
    pub at: Moment,
    pub engine: String,
    /// When the engine came up, as the witness's list has it; zero if it does not say.
    pub came_up: Moment,
    pub condition: EngineCondition,
    /// The reservation type, where it is about one.
    pub reservation_type: Option<String>,
    /// How sure the witness is, in 255ths.
    pub confidence: u8,
    signature: [u8; 64],
}

impl Observation {
    pub fn issue(
        own: &Identity, incarnation: u64, number: u64, at: Moment, engine: &str, came_up: Moment,
        condition: EngineCondition, reservation_type: Option<&str>, confidence: u8,
    ) -> Self {
        let (engine, reservation_type) = (engine.to_owned(), reservation_type.map(str::to_owned));
        let reporter = own.id();
        let signature = [0; 64];
        let mut new = Self {
            reporter,
            incarnation,
            number,
            at,
            engine,
            came_up,
            condition,
            reservation_type,
            confidence,
            signature,
        };
        new.signature = own.secret.sign(Sealed::Observation, &new.body());
        new
    }

    fn body(&self) -> Vec<u8> {
        let mut out = Writer::default();
        for part in [self.reporter.0, self.incarnation, self.number, micros(self.at), micros(self.came_up)] {
            out.u64(part);
        }
        out.short(self.engine.as_bytes());
        out.u8(self.condition as u8);
        out.short(self.reservation_type.as_deref().unwrap_or_default().as_bytes());
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
            at: Moment::from_micros(from.u64()?),
            came_up: Moment::from_micros(from.u64()?),
            engine: text(from.short(ENGINE_BYTES)?)?,
            condition: EngineCondition::from(from.u8()?)?,
            reservation_type: Some(text(from.short(TYPE_BYTES)?)?).filter(|of| !of.is_empty()),
            confidence: from.u8()?,
            signature: from.array()?,
        };
        from.is_empty().then_some(read)
    }

    pub fn is_signed_by(&self, key: &[u8; 32]) -> bool {
        verify(key, Sealed::Observation, &self.body(), &self.signature)
    }
}

/// A voter's signed notice on one of a few subjects, which all tell on. What it says is not for gossip to know.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Notice {
    pub witness: MemberId,
    pub subject: u8,
    /// Grows with each notice of a witness on a subject.
    pub number: u64,
    pub says: Vec<u8>,
    signature: [u8; 64],
}

impl Notice {
    pub fn issue(own: &Identity, subject: u8, number: u64, says: Vec<u8>) -> Self {
        let mut new = Self { witness: own.id(), subject, number, says, signature: [0; 64] };
        new.signature = own.secret.sign(Sealed::Notice, &new.body());
        new
    }

    fn body(&self) -> Vec<u8> {
        let mut out = Writer::with_room(self.says.len() + 17);
        out.u64(self.witness.0);
        out.u8(self.subject);
        out.u64(self.number);
        out.bytes(&self.says);
        out.into_bytes()
    }

    pub fn to_bytes(&self) -> Vec<u8> {
        [&self.signature, self.body().as_slice()].concat()
    }

    pub fn read(bytes: &[u8]) -> Option<Self> {
        let mut from = Reader::new(bytes);
        let signature = from.array()?;
        let (witness, subject, number) = (MemberId(from.u64()?), from.u8()?, from.u64()?);
        Some(Self { witness, subject, number, says: from.rest().to_vec(), signature })
    }

    pub fn is_signed_by(&self, key: &[u8; 32]) -> bool {
        verify(key, Sealed::Notice, &self.body(), &self.signature)
    }
}

/// A statement as it stands in a datagram.
#[derive(Clone, Debug)]
pub enum Item {
    MemberRecord(MemberRecord),
    Accusation(Accusation),
    Observation(Observation),
    Revocation(Revocation),
    VoterSet(VoterSet),
    Notice(Notice),
    /// For the receiver alone, on the word of the datagram's sender.
    Direct(Vec<u8>),
}

const PADDING: u8 = 0;
/// What a statement's tag and length take.
pub const ITEM_HEAD_BYTES: usize = 3;

/// A statement as it goes into a datagram.
pub type TaggedItem = (ItemTag, Rc<[u8]>);

/// The kinds of statement as they are tagged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ItemTag {
    MemberRecord = 1,
    Accusation = 2,
    Observation = 3,
    Revocation = 4,
    VoterSet = 5,
    Notice = 6,
    Direct = 7,
}

/// A datagram's fields, its parts left where they lie.
pub struct Envelope<'a> {
    pub kind: DatagramKind,
    pub cluster: ClusterId,
    pub sender: MemberId,
    pub to: MemberId,
    pub sent: Moment,
    pub number: u64,
    /// The mark of the datagram that this answers, or zero.
    pub re: u64,
    pub about: MemberId,
    /// How many living members the sender knows, and a digest of which.
    pub living: u16,
    pub digest: u64,
    pub card: &'a [u8],
    statements: &'a [u8],
    signed: &'a [u8],
    signature: [u8; 64],
}

impl<'a> Envelope<'a> {
    /// Reads a datagram of such a cluster, signatures unchecked.
    pub fn read(bytes: &'a [u8]) -> Option<Self> {
        if bytes.len() > MAX_DATAGRAM_BYTES {
            return None;
        }
        let signed = &bytes[..bytes.len().checked_sub(SIGNATURE)?];
        let signature = Reader::new(&bytes[signed.len()..]).array()?;
        let mut from = Reader::new(signed);
        if from.array()? != MAGIC {
            return None;
        }
        let kind = DatagramKind::from(from.u8()?)?;
        let (cluster, sender, to) = (ClusterId(from.u64()?), MemberId(from.u64()?), MemberId(from.u64()?));
        let (sent, number) = (Moment::from_micros(from.u64()?), from.u64()?);
        let (re, about) = (from.u64()?, MemberId(from.u64()?));
        let (living, digest) = (from.u16()?, from.u64()?);
        let length = from.u16()?.into();
        let card = from.take(length)?;
        let statements = from.rest();
        let read = Self {
            kind,
            cluster,
            sender,
            to,
            sent,
            number,
            re,
            about,
            living,
            digest,
            card,
            statements,
            signed,
            signature,
        };
        let whole = read.parts().all(|part| part.is_some());
        whole.then_some(read)
    }

    /// What tells this datagram from all others: others can't foresee it, as it takes the sender's key.
    pub fn mark(&self) -> u64 {
        mark(&self.signature)
    }

    pub fn is_signed_by(&self, key: &[u8; 32]) -> bool {
        verify(key, Sealed::Envelope, self.signed, &self.signature)
    }

    fn parts(&self) -> impl Iterator<Item = Option<(u8, &'a [u8])>> {
        let mut from = Reader::new(self.statements);
        std::iter::from_fn(move || {
            if from.is_empty() {
                return None;
            }
            let part = (|| {
                let tag = from.u8()?;
                let length = from.u16()?;
                Some((tag, from.take(length.into())?))
            })();
            if part.is_none() {
                from = Reader::new(&[]);
            }
            Some(part)
        })
    }

    /// The statements that can be read; others are passed over, as a newer version may have sent them.
    pub fn items(&self) -> impl Iterator<Item = Item> {
        self.parts().flatten().filter_map(|(tag, bytes)| match tag {
            1 => MemberRecord::read(bytes).map(Item::MemberRecord),
            2 => Accusation::read(bytes).map(Item::Accusation),
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

fn mark(signature: &[u8; 64]) -> u64 {
    u64::from_be_bytes(std::array::from_fn(|place| signature[place]))
}

/// What a datagram takes besides its statements, with a card of that length.
pub fn envelope_bytes(card: usize) -> usize {
    MAGIC.len() + 1 + 7 * 8 + 2 + 8 + 2 + card + SIGNATURE
}

/// Puts a datagram together and signs it. `fill` is the length it is padded to. Gives its mark too.
pub fn encode_signed(
    own: &Identity, kind: DatagramKind, to: MemberId, sent: Moment, number: u64, re: u64, about: MemberId,
    view: (u16, u64), card: &[u8], statements: &[TaggedItem], fill: usize,
) -> (Vec<u8>, u64) {
    let mut out = Writer::with_room(MAX_DATAGRAM_BYTES);
    out.bytes(&MAGIC);
    out.u8(kind as u8);
    for part in [own.pass.cluster.0, own.id().0, to.0, micros(sent), number, re, about.0] {
        out.u64(part);
    }
    out.u16(view.0);
    out.u64(view.1);
    out.u16(card.len() as u16);
    out.bytes(card);
    for (tag, bytes) in statements {
        out.u8(*tag as u8);
        out.u16(bytes.len() as u16);
        out.bytes(bytes);
    }
    let missing = fill.min(MAX_DATAGRAM_BYTES).saturating_sub(out.so_far().len() + SIGNATURE);
    if missing >= ITEM_HEAD_BYTES {
        out.u8(PADDING);
        out.u16((missing - ITEM_HEAD_BYTES) as u16);
        out.bytes(&vec![0; missing - ITEM_HEAD_BYTES]);
    }
    let signature = own.secret.sign(Sealed::Envelope, out.so_far());
    out.bytes(&signature);
    (out.into_bytes(), mark(&signature))
}
