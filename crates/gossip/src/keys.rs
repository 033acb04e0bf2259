//! Who belongs: keys, passes signed by the operator, and keys that no longer belong.
//!
//! Each instance has an ed25519 key (RFC 8032). The operator signs a pass for its public half: name, cluster, from, until. So
//! another instance needs no change at the others. Every signature covers a prefix of its own kind, so that none
//! can be taken for one of another kind.

use std::collections::BTreeMap;
use std::fmt;

use data_encoding::HEXLOWER_PERMISSIVE as HEX;
use ed25519_dalek::{Signature, Signer, SigningKey, VerifyingKey};
use sha2::{Digest, Sha512};
use woadhook::{Moment, Span};
use zeroize::Zeroizing;

use crate::bytes::{Reader, Writer};

/// The longest name of an instance, in bytes.
pub const NAME_BYTES: usize = 32;
/// Revoked keys that are remembered; each goes when its pass would have ended.
const REVOKED: usize = 1024;

/// A hash of an instance's public key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MemberId(pub u64);

/// A hash of a cluster's name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClusterId(pub u64);

impl ClusterId {
    pub fn from_name(name: &str) -> Self {
        Self(hash(&[b"woadhook cluster 1", name.as_bytes()]))
    }
}

impl MemberId {
    pub fn of_key(key: &[u8; 32]) -> Self {
        Self(hash(&[b"woadhook key 1", key]))
    }
}

impl fmt::Display for MemberId {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{:016x}", self.0)
    }
}

/// The first eight bytes of SHA-512 over the parts, the first of which tells what is hashed.
pub fn hash(parts: &[&[u8]]) -> u64 {
    let mut digest = Sha512::new();
    for part in parts {
        digest.update([part.len() as u8]);
        digest.update(part);
    }
    let first = digest.finalize();
    u64::from_be_bytes(std::array::from_fn(|place| first[place]))
}

/// Which kind of thing is signed.
#[derive(Clone, Copy, Debug)]
pub enum Sealed {
    Pass,
    Record,
    Accusation,
    Observation,
    Revocation,
    Envelope,
    VoterSet,
    Notice,
}

impl Sealed {
    fn prefix(self) -> &'static [u8; 12] {
        match self {
            Sealed::Pass => b"wdhk pass  1",
            Sealed::Record => b"wdhk recrd 1",
            Sealed::Accusation => b"wdhk accus 1",
            Sealed::Observation => b"wdhk word  1",
            Sealed::Revocation => b"wdhk revok 1",
            Sealed::Envelope => b"wdhk envlp 1",
            Sealed::VoterSet => b"wdhk order 1",
            Sealed::Notice => b"wdhk notic 1",
        }
    }

    fn covered(self, bytes: &[u8]) -> Vec<u8> {
        [self.prefix(), bytes].concat()
    }
}

/// A secret key. It has no `Debug`, and is wiped when dropped.
pub struct SecretKey(SigningKey);

impl SecretKey {
    /// From 32 random bytes.
    pub fn from_bytes(bytes: &[u8; 32]) -> Self {
        Self(SigningKey::from_bytes(bytes))
    }

    /// The text of a key file.
    pub fn to_text(&self) -> Zeroizing<String> {
        let hex = Zeroizing::new(HEX.encode(self.0.as_bytes()));
        Zeroizing::new(format!("{SECRET}\n{}\n", *hex))
    }

    /// Reads the text of a key file.
    pub fn from_text(text: &str) -> Result<Self, String> {
        let bytes = Zeroizing::new(decoded(text, SECRET)?);
        let bytes: [u8; 32] =
            bytes.as_slice().try_into().map_err(|_| format!("no {SECRET}: 64 hex digits"))?;
        Ok(Self::from_bytes(&Zeroizing::new(bytes)))
    }

    pub fn public(&self) -> [u8; 32] {
        self.0.verifying_key().to_bytes()
    }

    pub fn sign(&self, kind: Sealed, bytes: &[u8]) -> [u8; 64] {
        self.0.sign(&kind.covered(bytes)).to_bytes()
    }
}

/// Whether the key signed this.
pub fn verify(key: &[u8; 32], kind: Sealed, bytes: &[u8], signature: &[u8; 64]) -> bool {
    let Ok(key) = VerifyingKey::from_bytes(key) else { return false };
    key.verify_strict(&kind.covered(bytes), &Signature::from_bytes(signature)).is_ok()
}

const SECRET: &str = "woadhook secret key";
const PASS: &str = "woadhook pass";
const REVOCATIONS: &str = "woadhook revoked keys";
const ORDER: &str = "woadhook order of voters";
/// The most voters that an order names.
pub const MAX_VOTERS: usize = 7;

/// The bytes behind the first line of a file, which must be the title.
fn decoded(text: &str, title: &str) -> Result<Vec<u8>, String> {
    let mut lines = text.lines();
    if lines.next() != Some(title) {
        return Err(format!("line 1: allowed is \"{title}\""));
    }
    let line = lines.next().unwrap_or_default().trim();
    HEX.decode(line.as_bytes()).map_err(|_| "line 2: allowed are hex digits".to_owned())
}

/// A public key as the operator file and the command line write it: 64 hex digits.
pub fn public_key_from_text(text: &str) -> Result<[u8; 32], String> {
    let bytes = HEX.decode(text.trim().as_bytes()).ok().and_then(|bytes| <[u8; 32]>::try_from(bytes).ok());
    let bytes = bytes.ok_or_else(|| format!("{text}: allowed are 64 hex digits"))?;
    VerifyingKey::from_bytes(&bytes).map_err(|_| format!("{text}: no ed25519 public key"))?;
    Ok(bytes)
}

pub fn public_key_to_text(key: &[u8; 32]) -> String {
    HEX.encode(key)
}

/// The operator's word that a key belongs to a cluster.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pass {
    pub name: String,
    pub key: [u8; 32],
    pub cluster: ClusterId,
    pub from: Moment,
    pub until: Moment,
    /// The operator key that signed it.
    pub signer: MemberId,
    signature: [u8; 64],
}

impl Pass {
    /// Signs a pass. Names are 1 to 32 printable ASCII bytes.
    pub fn issue(
        operator: &SecretKey, name: &str, key: [u8; 32], cluster: ClusterId, from: Moment, until: Moment,
    ) -> Result<Self, String> {
        if !(1..=NAME_BYTES).contains(&name.len()) || !name.bytes().all(|byte| byte.is_ascii_graphic()) {
            return Err(format!("name {name:?}: allowed are 1 to {NAME_BYTES} printable ASCII characters"));
        }
        if until <= from {
            return Err("the pass ends before it begins".to_owned());
        }
        let signer = MemberId::of_key(&operator.public());
        let mut pass = Self { name: name.to_owned(), key, cluster, from, until, signer, signature: [0; 64] };
        pass.signature = operator.sign(Sealed::Pass, &pass.body());
        Ok(pass)
    }

    fn body(&self) -> Vec<u8> {
        let mut out = Writer::default();
        out.short(self.name.as_bytes());
        out.bytes(&self.key);
        out.u64(self.cluster.0);
        out.u64(micros(self.from));
        out.u64(micros(self.until));
        out.u64(self.signer.0);
        out.into_bytes()
    }

    pub(crate) fn write(&self, out: &mut Writer) {
        out.bytes(&self.body());
        out.bytes(&self.signature);
    }

    pub(crate) fn read(from: &mut Reader<'_>) -> Option<Self> {
        let name = from.short(NAME_BYTES)?;
        if name.is_empty() || !name.iter().all(u8::is_ascii_graphic) {
            return None;
        }
        Some(Self {
            name: String::from_utf8(name.to_vec()).ok()?,
            key: from.array()?,
            cluster: ClusterId(from.u64()?),
            from: Moment::from_micros(from.u64()?),
            until: Moment::from_micros(from.u64()?),
            signer: MemberId(from.u64()?),
            signature: from.array()?,
        })
    }

    pub fn to_text(&self) -> String {
        let mut out = Writer::default();
        self.write(&mut out);
        format!("{PASS}\n{}\n", HEX.encode(&out.into_bytes()))
    }

    pub fn from_text(text: &str) -> Result<Self, String> {
        let bytes = decoded(text, PASS)?;
        let mut reader = Reader::new(&bytes);
        let pass = Self::read(&mut reader).filter(|_| reader.is_empty());
        pass.ok_or_else(|| "line 2: no pass".to_owned())
    }

    pub fn id(&self) -> MemberId {
        MemberId::of_key(&self.key)
    }
}

/// The operator's word that a key no longer belongs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Revocation {
    pub member: MemberId,
    pub cluster: ClusterId,
    /// When the last pass of that key ends, and this can be forgotten.
    pub until: Moment,
    pub signer: MemberId,
    signature: [u8; 64],
}

impl Revocation {
    pub fn issue(operator: &SecretKey, key: &[u8; 32], cluster: ClusterId, until: Moment) -> Self {
        let signer = MemberId::of_key(&operator.public());
        let mut revocation =
            Self { member: MemberId::of_key(key), cluster, until, signer, signature: [0; 64] };
        revocation.signature = operator.sign(Sealed::Revocation, &revocation.body());
        revocation
    }

    fn body(&self) -> Vec<u8> {
        let mut out = Writer::default();
        for part in [self.member.0, self.cluster.0, micros(self.until), self.signer.0] {
            out.u64(part);
        }
        out.into_bytes()
    }

    pub(crate) fn write(&self, out: &mut Writer) {
        out.bytes(&self.body());
        out.bytes(&self.signature);
    }

    pub(crate) fn read(from: &mut Reader<'_>) -> Option<Self> {
        Some(Self {
            member: MemberId(from.u64()?),
            cluster: ClusterId(from.u64()?),
            until: Moment::from_micros(from.u64()?),
            signer: MemberId(from.u64()?),
            signature: from.array()?,
        })
    }

    /// The text of a file that holds these.
    pub fn list_to_text(list: &[Self]) -> String {
        let mut text = format!("{REVOCATIONS}\n");
        for revocation in list {
            let mut out = Writer::default();
            revocation.write(&mut out);
            text.push_str(&HEX.encode(&out.into_bytes()));
            text.push('\n');
        }
        text
    }

    pub fn list_from_text(text: &str) -> Result<Vec<Self>, String> {
        let mut lines = text.lines();
        if lines.next() != Some(REVOCATIONS) {
            return Err(format!("line 1: allowed is \"{REVOCATIONS}\""));
        }
        let read = |(number, line): (usize, &str)| {
            let bytes = HEX.decode(line.trim().as_bytes()).unwrap_or_default();
            let mut reader = Reader::new(&bytes);
            let read = Self::read(&mut reader).filter(|_| reader.is_empty());
            read.ok_or_else(|| format!("line {}: no revocation", number + 2))
        };
        lines.filter(|line| !line.trim().is_empty()).enumerate().map(read).collect()
    }
}

/// The operator's word on who votes, from an epoch on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VoterSet {
    pub cluster: ClusterId,
    /// Grows with each order; one of an earlier epoch says nothing any more.
    pub epoch: u64,
    /// One to [`MAX_VOTERS`], rising.
    pub voters: Vec<MemberId>,
    pub signer: MemberId,
    signature: [u8; 64],
}

impl VoterSet {
    pub fn issue(
        operator: &SecretKey, cluster: ClusterId, epoch: u64, voters: &[[u8; 32]],
    ) -> Result<Self, String> {
        let mut voters: Vec<MemberId> = voters.iter().map(MemberId::of_key).collect();
        voters.sort();
        voters.dedup();
        if !(1..=MAX_VOTERS).contains(&voters.len()) {
            return Err(format!("{} voters given, allowed are 1 to {MAX_VOTERS}", voters.len()));
        }
        if epoch == 0 {
            return Err("epoch 0 given, allowed are 1 and more".to_owned());
        }
        let signer = MemberId::of_key(&operator.public());
        let mut new = Self { cluster, epoch, voters, signer, signature: [0; 64] };
        new.signature = operator.sign(Sealed::VoterSet, &new.body());
        Ok(new)
    }

    fn body(&self) -> Vec<u8> {
        let mut out = Writer::default();
        [self.cluster.0, self.epoch, self.signer.0].into_iter().for_each(|part| out.u64(part));
        out.u8(self.voters.len() as u8);
        self.voters.iter().for_each(|voter| out.u64(voter.0));
        out.into_bytes()
    }

    pub fn to_bytes(&self) -> Vec<u8> {
        [self.body().as_slice(), &self.signature].concat()
    }

    pub fn read(bytes: &[u8]) -> Option<Self> {
        let mut from = Reader::new(bytes);
        let (cluster, epoch, signer) = (ClusterId(from.u64()?), from.u64()?, MemberId(from.u64()?));
        let count = usize::from(from.u8()?);
        if !(1..=MAX_VOTERS).contains(&count) {
            return None;
        }
        let voters = (0..count).map(|_| from.u64().map(MemberId)).collect::<Option<Vec<_>>>()?;
        let rising = voters.windows(2).all(|two| two[0] < two[1]);
        let signature = from.array()?;
        (rising && from.is_empty()).then_some(Self { cluster, epoch, voters, signer, signature })
    }

    pub fn to_text(&self) -> String {
        format!("{ORDER}\n{}\n", HEX.encode(&self.to_bytes()))
    }

    pub fn from_text(text: &str) -> Result<Self, String> {
        Self::read(&decoded(text, ORDER)?).ok_or_else(|| "line 2: no order".to_owned())
    }
}

/// Whom an instance believes: the operator's keys of one cluster, and what they revoked.
pub struct TrustStore {
    pub cluster: ClusterId,
    operators: Vec<[u8; 32]>,
    /// Emptied as the passes of these keys end.
    revoked: BTreeMap<MemberId, Revocation>,
}

impl TrustStore {
    /// `operators` are public keys; two while the operator's key is changed.
    pub fn new(cluster: ClusterId, operators: Vec<[u8; 32]>) -> Self {
        Self { cluster, operators, revoked: BTreeMap::new() }
    }

    fn signed(&self, signer: MemberId, kind: Sealed, body: &[u8], signature: &[u8; 64]) -> bool {
        let operator = self.operators.iter().find(|key| MemberId::of_key(key) == signer);
        operator.is_some_and(|key| verify(key, kind, body, signature))
    }

    /// Whether a pass could be of use now, before its signature is looked at.
    pub fn fits(&self, pass: &Pass, now: Moment, tolerance: Span) -> bool {
        pass.cluster == self.cluster
            && now + tolerance >= pass.from
            && now < pass.until + tolerance
            && !self.revoked.contains_key(&pass.id())
            && self.operators.iter().any(|key| MemberId::of_key(key) == pass.signer)
    }

    pub fn verifies_pass(&self, pass: &Pass) -> bool {
        self.signed(pass.signer, Sealed::Pass, &pass.body(), &pass.signature)
    }

    pub fn verifies_voter_set(&self, order: &VoterSet) -> bool {
        order.cluster == self.cluster
            && self.signed(order.signer, Sealed::VoterSet, &order.body(), &order.signature)
    }

    pub fn is_revoked(&self, member: MemberId) -> bool {
        self.revoked.contains_key(&member)
    }

    /// Takes a revocation in, if the operator signed it and it is new.
    pub fn revoke(&mut self, revocation: &Revocation, now: Moment) -> bool {
        let new = revocation.cluster == self.cluster
            && revocation.until > now
            && !self.revoked.contains_key(&revocation.member)
            && self.revoked.len() < REVOKED
            && self.signed(revocation.signer, Sealed::Revocation, &revocation.body(), &revocation.signature);
        if new {
            self.revoked.insert(revocation.member, revocation.clone());
        }
        new
    }

    pub fn revocations(&self) -> impl Iterator<Item = &Revocation> {
        self.revoked.values()
    }

    pub(crate) fn let_go(&mut self, now: Moment) {
        self.revoked.retain(|_, revocation| revocation.until > now);
    }
}

/// An instance's own key and its pass.
pub struct Identity {
    pub(crate) secret: SecretKey,
    pub(crate) pass: Pass,
}

impl Identity {
    /// Checks that they go together and that the ring believes the pass.
    pub fn new(secret: SecretKey, pass: Pass, ring: &TrustStore, now: Moment) -> Result<Self, String> {
        if pass.key != secret.public() {
            return Err("the pass is for another key".to_owned());
        }
        if pass.cluster != ring.cluster {
            return Err("the pass is for another cluster".to_owned());
        }
        if !ring.verifies_pass(&pass) {
            return Err("the pass is not signed by one of the operator's keys".to_owned());
        }
        if now >= pass.until {
            return Err("the pass has ended".to_owned());
        }
        if ring.is_revoked(pass.id()) {
            return Err("the key has been revoked".to_owned());
        }
        Ok(Self { secret, pass })
    }

    pub fn name(&self) -> &str {
        &self.pass.name
    }

    pub fn id(&self) -> MemberId {
        self.pass.id()
    }

    /// When the pass ends.
    pub fn until(&self) -> Moment {
        self.pass.until
    }
}

pub(crate) fn micros(moment: Moment) -> u64 {
    moment.since(Moment::default()).micros()
}
