//! Keys, the passes by which the operator admits them to a cluster, and revocations.
//!
//! Each instance has an ed25519 key (RFC 8032). The operator signs a pass for its public half, with a name, a
//! cluster and a period of validity, so a new instance needs no change at the others. Every signature covers
//! a prefix that is specific to the kind of signed data, so that no signature can be used for another kind.

use std::collections::BTreeMap;
use std::fmt;

use data_encoding::HEXLOWER_PERMISSIVE as HEX;
use ed25519_dalek::{Signature, Signer, SigningKey, VerifyingKey};
use sha2::{Digest, Sha512};
use woadhook::{Moment, Span};
use zeroize::Zeroizing;

use crate::bytes::{Reader, Writer};

/// Maximum length of an instance's name, in bytes.
pub const MAX_NAME_BYTES: usize = 32;
/// Maximum number of revocations remembered. Each is forgotten when the revoked key's last pass ends.
const MAX_REVOCATIONS: usize = 1024;

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

/// Returns the first eight bytes of SHA-512 over the parts, each prefixed by its length. The first part names
/// what is hashed.
pub fn hash(parts: &[&[u8]]) -> u64 {
    let mut digest = Sha512::new();
    for part in parts {
        digest.update([part.len() as u8]);
        digest.update(part);
    }
    let first = digest.finalize();
    u64::from_be_bytes(std::array::from_fn(|index| first[index]))
}

/// The kind of data that a signature covers.
#[derive(Clone, Copy, Debug)]
pub enum SignedKind {
    Pass,
    MemberRecord,
    FailureReport,
    Observation,
    Revocation,
    Envelope,
    VoterSet,
    Notice,
}

impl SignedKind {
    fn prefix(self) -> &'static [u8; 12] {
        match self {
            SignedKind::Pass => b"wdhk pass  1",
            SignedKind::MemberRecord => b"wdhk recrd 1",
            SignedKind::FailureReport => b"wdhk accus 1",
            SignedKind::Observation => b"wdhk word  1",
            SignedKind::Revocation => b"wdhk revok 1",
            SignedKind::Envelope => b"wdhk envlp 1",
            SignedKind::VoterSet => b"wdhk order 1",
            SignedKind::Notice => b"wdhk notic 1",
        }
    }

    fn with_prefix(self, bytes: &[u8]) -> Vec<u8> {
        [self.prefix(), bytes].concat()
    }
}

/// An ed25519 secret key. It has no `Debug` and is wiped from memory when dropped.
pub struct SecretKey(SigningKey);

impl SecretKey {
    /// Creates a key from 32 random bytes.
    pub fn from_bytes(bytes: &[u8; 32]) -> Self {
        Self(SigningKey::from_bytes(bytes))
    }

    /// Returns the text of a key file.
    pub fn to_text(&self) -> Zeroizing<String> {
        let hex = Zeroizing::new(HEX.encode(self.0.as_bytes()));
        Zeroizing::new(format!("{SECRET_KEY_TITLE}\n{}\n", *hex))
    }

    /// Reads the text of a key file.
    pub fn from_text(text: &str) -> Result<Self, String> {
        let bytes = Zeroizing::new(decode_body(text, SECRET_KEY_TITLE)?);
        let bytes: [u8; 32] = bytes
            .as_slice()
            .try_into()
            .map_err(|_| format!("line 2: not a {SECRET_KEY_TITLE}, allowed are 64 hex digits"))?;
        Ok(Self::from_bytes(&Zeroizing::new(bytes)))
    }

    pub fn public(&self) -> [u8; 32] {
        self.0.verifying_key().to_bytes()
    }

    pub fn sign(&self, kind: SignedKind, bytes: &[u8]) -> [u8; 64] {
        self.0.sign(&kind.with_prefix(bytes)).to_bytes()
    }
}

/// Returns whether the key signed these bytes as this kind of data.
pub fn verify(key: &[u8; 32], kind: SignedKind, bytes: &[u8], signature: &[u8; 64]) -> bool {
    let Ok(key) = VerifyingKey::from_bytes(key) else { return false };
    key.verify_strict(&kind.with_prefix(bytes), &Signature::from_bytes(signature)).is_ok()
}

const SECRET_KEY_TITLE: &str = "woadhook secret key";
const PASS_TITLE: &str = "woadhook pass";
const REVOCATIONS_TITLE: &str = "woadhook revoked keys";
const VOTER_SET_TITLE: &str = "woadhook order of voters";
/// Maximum number of voters in a voter set.
pub const MAX_VOTERS: usize = 7;

/// Decodes the hex digits on a file's second line. The first line must be the title.
fn decode_body(text: &str, title: &str) -> Result<Vec<u8>, String> {
    let mut lines = text.lines();
    if lines.next() != Some(title) {
        return Err(format!("line 1: allowed is \"{title}\""));
    }
    let line = lines.next().unwrap_or_default().trim();
    HEX.decode(line.as_bytes()).map_err(|_| "line 2: allowed are hex digits".to_owned())
}

/// Reads a public key as the operator file and the command line write it, which is 64 hex digits.
pub fn public_key_from_text(text: &str) -> Result<[u8; 32], String> {
    let bytes = HEX.decode(text.trim().as_bytes()).ok().and_then(|bytes| <[u8; 32]>::try_from(bytes).ok());
    let bytes = bytes.ok_or_else(|| format!("{text}: allowed are 64 hex digits"))?;
    VerifyingKey::from_bytes(&bytes).map_err(|_| format!("{text}: not an ed25519 public key"))?;
    Ok(bytes)
}

pub fn public_key_to_text(key: &[u8; 32]) -> String {
    HEX.encode(key)
}

/// An admission of a key to a cluster for a period of time, signed by the operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pass {
    pub name: String,
    pub key: [u8; 32],
    pub cluster: ClusterId,
    pub from: Moment,
    pub until: Moment,
    /// The operator key that signed the pass.
    pub signer: MemberId,
    signature: [u8; 64],
}

impl Pass {
    /// Signs a pass. Names consist of 1 to 32 printable ASCII characters.
    pub fn issue(
        operator: &SecretKey, name: &str, key: [u8; 32], cluster: ClusterId, from: Moment, until: Moment,
    ) -> Result<Self, String> {
        if !(1..=MAX_NAME_BYTES).contains(&name.len()) || !name.bytes().all(|byte| byte.is_ascii_graphic()) {
            return Err(format!(
                "name {name:?}: allowed are 1 to {MAX_NAME_BYTES} printable ASCII characters"
            ));
        }
        if until <= from {
            return Err("the pass ends before it begins".to_owned());
        }
        let signer = MemberId::of_key(&operator.public());
        let mut pass = Self { name: name.to_owned(), key, cluster, from, until, signer, signature: [0; 64] };
        pass.signature = operator.sign(SignedKind::Pass, &pass.body());
        Ok(pass)
    }

    fn body(&self) -> Vec<u8> {
        let mut out = Writer::default();
        out.length_prefixed(self.name.as_bytes());
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
        let name = from.length_prefixed(MAX_NAME_BYTES)?;
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
        format!("{PASS_TITLE}\n{}\n", HEX.encode(&out.into_bytes()))
    }

    pub fn from_text(text: &str) -> Result<Self, String> {
        let bytes = decode_body(text, PASS_TITLE)?;
        let mut reader = Reader::new(&bytes);
        let pass = Self::read(&mut reader).filter(|_| reader.is_empty());
        pass.ok_or_else(|| "line 2: not a pass".to_owned())
    }

    pub fn id(&self) -> MemberId {
        MemberId::of_key(&self.key)
    }
}

/// A revocation of a key of a cluster, signed by the operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Revocation {
    pub member: MemberId,
    pub cluster: ClusterId,
    /// When the key's last pass ends, after which the revocation can be forgotten.
    pub until: Moment,
    pub signer: MemberId,
    signature: [u8; 64],
}

impl Revocation {
    pub fn issue(operator: &SecretKey, key: &[u8; 32], cluster: ClusterId, until: Moment) -> Self {
        let signer = MemberId::of_key(&operator.public());
        let mut revocation =
            Self { member: MemberId::of_key(key), cluster, until, signer, signature: [0; 64] };
        revocation.signature = operator.sign(SignedKind::Revocation, &revocation.body());
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

    /// Returns the text of a file that holds these revocations.
    pub fn list_to_text(list: &[Self]) -> String {
        let mut text = format!("{REVOCATIONS_TITLE}\n");
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
        if lines.next() != Some(REVOCATIONS_TITLE) {
            return Err(format!("line 1: allowed is \"{REVOCATIONS_TITLE}\""));
        }
        let read = |(number, line): (usize, &str)| {
            let bytes = HEX.decode(line.trim().as_bytes()).unwrap_or_default();
            let mut reader = Reader::new(&bytes);
            let read = Self::read(&mut reader).filter(|_| reader.is_empty());
            read.ok_or_else(|| format!("line {}: not a revocation", number + 2))
        };
        lines.filter(|line| !line.trim().is_empty()).enumerate().map(read).collect()
    }
}

/// The voters from an epoch on, signed by the operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VoterSet {
    pub cluster: ClusterId,
    /// Grows with each voter set. One with an earlier epoch no longer has any effect.
    pub epoch: u64,
    /// From 1 to [`MAX_VOTERS`] ids in ascending order without repeats.
    pub voters: Vec<MemberId>,
    pub signer: MemberId,
    signature: [u8; 64],
}

impl VoterSet {
    /// Signs a voter set. Returns an error unless it has 1 to [`MAX_VOTERS`] voters and an epoch of at least
    /// 1.
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
        let mut voter_set = Self { cluster, epoch, voters, signer, signature: [0; 64] };
        voter_set.signature = operator.sign(SignedKind::VoterSet, &voter_set.body());
        Ok(voter_set)
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
        let ascending = voters.windows(2).all(|two| two[0] < two[1]);
        let signature = from.array()?;
        (ascending && from.is_empty()).then_some(Self { cluster, epoch, voters, signer, signature })
    }

    pub fn to_text(&self) -> String {
        format!("{VOTER_SET_TITLE}\n{}\n", HEX.encode(&self.to_bytes()))
    }

    pub fn from_text(text: &str) -> Result<Self, String> {
        Self::read(&decode_body(text, VOTER_SET_TITLE)?)
            .ok_or_else(|| "line 2: not an order of voters".to_owned())
    }
}

/// What an instance trusts: the operator's public keys for one cluster, and the revocations signed by them.
pub struct TrustStore {
    pub cluster: ClusterId,
    operator_keys: Vec<[u8; 32]>,
    /// Each entry is removed when the last pass of its key ends.
    revoked: BTreeMap<MemberId, Revocation>,
}

impl TrustStore {
    /// `operator_keys` are public keys. There are two while the operator's key is being replaced.
    pub fn new(cluster: ClusterId, operator_keys: Vec<[u8; 32]>) -> Self {
        Self { cluster, operator_keys, revoked: BTreeMap::new() }
    }

    fn is_signed_by_operator(
        &self, signer: MemberId, kind: SignedKind, body: &[u8], signature: &[u8; 64],
    ) -> bool {
        let operator = self.operator_keys.iter().find(|key| MemberId::of_key(key) == signer);
        operator.is_some_and(|key| verify(key, kind, body, signature))
    }

    /// Returns whether a pass could be accepted now. Its signature is not checked.
    pub fn may_accept_pass(&self, pass: &Pass, now: Moment, clock_tolerance: Span) -> bool {
        pass.cluster == self.cluster
            && now + clock_tolerance >= pass.from
            && now < pass.until + clock_tolerance
            && !self.revoked.contains_key(&pass.id())
            && self.operator_keys.iter().any(|key| MemberId::of_key(key) == pass.signer)
    }

    /// Returns whether an operator key signed the pass.
    pub fn verifies_pass(&self, pass: &Pass) -> bool {
        self.is_signed_by_operator(pass.signer, SignedKind::Pass, &pass.body(), &pass.signature)
    }

    /// Returns whether an operator key signed the voter set for this cluster.
    pub fn verifies_voter_set(&self, voter_set: &VoterSet) -> bool {
        voter_set.cluster == self.cluster
            && self.is_signed_by_operator(
                voter_set.signer,
                SignedKind::VoterSet,
                &voter_set.body(),
                &voter_set.signature,
            )
    }

    pub fn is_revoked(&self, member: MemberId) -> bool {
        self.revoked.contains_key(&member)
    }

    /// Stores a revocation if it is new, has not expired and is signed by an operator key, and there is space
    /// for it. Returns whether it was stored.
    pub fn revoke(&mut self, revocation: &Revocation, now: Moment) -> bool {
        let is_new = revocation.cluster == self.cluster
            && revocation.until > now
            && !self.revoked.contains_key(&revocation.member)
            && self.revoked.len() < MAX_REVOCATIONS
            && self.is_signed_by_operator(
                revocation.signer,
                SignedKind::Revocation,
                &revocation.body(),
                &revocation.signature,
            );
        if is_new {
            self.revoked.insert(revocation.member, revocation.clone());
        }
        is_new
    }

    pub fn revocations(&self) -> impl Iterator<Item = &Revocation> {
        self.revoked.values()
    }

    pub(crate) fn remove_expired(&mut self, now: Moment) {
        self.revoked.retain(|_, revocation| revocation.until > now);
    }
}

/// An instance's own secret key and pass.
pub struct Identity {
    pub(crate) secret: SecretKey,
    pub(crate) pass: Pass,
}

impl Identity {
    /// Returns an error unless the key and the pass belong together and the trust store accepts the pass.
    pub fn new(secret: SecretKey, pass: Pass, trust_store: &TrustStore, now: Moment) -> Result<Self, String> {
        if pass.key != secret.public() {
            return Err("the pass is for another key".to_owned());
        }
        if pass.cluster != trust_store.cluster {
            return Err("the pass is for another cluster".to_owned());
        }
        if !trust_store.verifies_pass(&pass) {
            return Err("the pass is not signed by one of the operator's keys".to_owned());
        }
        if now >= pass.until {
            return Err("the pass has ended".to_owned());
        }
        if trust_store.is_revoked(pass.id()) {
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

    /// Returns when the pass ends.
    pub fn until(&self) -> Moment {
        self.pass.until
    }
}

pub(crate) fn micros(moment: Moment) -> u64 {
    moment.since(Moment::default()).micros()
}
