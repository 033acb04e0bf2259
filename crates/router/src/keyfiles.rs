//! Key files on disk. Secrets are only read from files that their owner alone can read, and are wiped from
//! memory after use.

use std::fs::OpenOptions;
use std::io::Write;
use std::os::unix::fs::{OpenOptionsExt, PermissionsExt};
use std::path::Path;

use woadhook::Moment;
use woadhook_gossip::keys::{
    ClusterId, Identity, Pass, Revocation, SecretKey, TrustStore, VoterSet, public_key_from_text,
};
use woadhook_operator::Section;
use zeroize::Zeroizing;

use crate::files::{InputFile, READ_TIMEOUT};

/// Maximum size of a key file; a list of revocations holds up to `MAX_REVOCATIONS_BYTES`.
const MAX_KEY_FILE_BYTES: u64 = 4 * 1024;
const MAX_REVOCATIONS_BYTES: u64 = 512 * 1024;

fn read_text(path: &Path, max_bytes: u64, is_secret: bool) -> Result<Zeroizing<String>, String> {
    let shown = path.display();
    let file = InputFile::open(path).map_err(|error| format!("{shown}: {error}"))?;
    let metadata = file.metadata().map_err(|error| format!("{shown}: {error}"))?;
    let mode = metadata.permissions().mode() & 0o777;
    if is_secret && mode & 0o077 != 0 {
        return Err(format!(
            "{shown}: mode {mode:04o}, allowed is what its owner alone can read (0600 or 0400)"
        ));
    }
    if metadata.len() > max_bytes {
        return Err(format!("{shown}: {} bytes, allowed are {max_bytes}", metadata.len()));
    }
    file.read_text(max_bytes, READ_TIMEOUT).map_err(|error| format!("{shown}: {error}"))
}

/// Reads a secret key; fails if anyone but its owner can read the file.
pub fn read_secret(path: &Path) -> Result<SecretKey, String> {
    let text = read_text(path, MAX_KEY_FILE_BYTES, true)?;
    SecretKey::from_text(&text).map_err(|error| format!("{}: {error}", path.display()))
}

pub fn read_pass(path: &Path) -> Result<Pass, String> {
    Pass::from_text(&read_text(path, MAX_KEY_FILE_BYTES, false)?)
        .map_err(|error| format!("{}: {error}", path.display()))
}

pub fn read_revocations(path: &Path) -> Result<Vec<Revocation>, String> {
    let text = read_text(path, MAX_REVOCATIONS_BYTES, false)?;
    Revocation::list_from_text(&text).map_err(|error| format!("{}: {error}", path.display()))
}

pub fn read_order(path: &Path) -> Result<VoterSet, String> {
    VoterSet::from_text(&read_text(path, MAX_KEY_FILE_BYTES, false)?)
        .map_err(|error| format!("{}: {error}", path.display()))
}

/// Writes a new file that only its owner can read; fails if the file exists.
pub fn write_secret(path: &Path, secret: &SecretKey) -> Result<(), String> {
    write_new(path, secret.to_text().as_bytes(), 0o600)
}

/// Writes a new file with the given mode; fails if the file exists.
pub fn write_new(path: &Path, bytes: &[u8], mode: u32) -> Result<(), String> {
    let file = OpenOptions::new().write(true).create_new(true).mode(mode).open(path);
    let written = file.and_then(|mut file| {
        file.write_all(bytes)?;
        file.sync_all()
    });
    written.map_err(|error| format!("{}: {error}", path.display()))
}

/// Replaces a list of revocations atomically.
pub fn write_revocations(path: &Path, list: &[Revocation]) -> Result<(), String> {
    let new = path.with_extension("new");
    let _ = std::fs::remove_file(&new);
    write_new(&new, Revocation::list_to_text(list).as_bytes(), 0o644)?;
    std::fs::rename(&new, path).map_err(|error| format!("{}: {error}", path.display()))
}

/// This instance's identity, and the keys that it trusts.
pub struct Keys {
    pub identity: Identity,
    pub ring: TrustStore,
    /// The operator's signed set of voters.
    pub order: Option<VoterSet>,
}

impl Keys {
    /// Reads the files that the operator file's section names.
    pub fn read(section: Section<'_>, now: Moment) -> Result<Self, String> {
        let path_of =
            |field: &str| section.file_path(field).ok_or_else(|| format!("gossip.{field}: names no file"));
        let operators = section.text_list("operator_keys").into_iter().map(public_key_from_text);
        let operators: Vec<[u8; 32]> = operators
            .collect::<Result<_, String>>()
            .map_err(|error| format!("gossip.operator_keys: {error}"))?;
        if operators.is_empty() {
            return Err("gossip.operator_keys: empty, so no pass could be verified".to_owned());
        }
        let mut ring = TrustStore::new(ClusterId::from_name(section.text("cluster")), operators);
        if let Some(path) = section.file_path("revoked") {
            for revocation in read_revocations(&path)? {
                ring.revoke(&revocation, now);
            }
        }
        let order = section.file_path("order").map(|path| (read_order(&path), path));
        let order = order.map(|(order, path)| Ok::<_, String>((order?, path))).transpose()?;
        if let Some((order, path)) = &order
            && !ring.verifies_voter_set(order)
        {
            return Err(format!(
                "{}: the order is not signed by one of the operator's keys for this cluster",
                path.display()
            ));
        }
        let order = order.map(|(order, _)| order);
        let (key, pass) = (path_of("key")?, path_of("pass")?);
        let secret = read_secret(&key)?;
        let identity = Identity::new(secret, read_pass(&pass)?, &ring, now);
        Ok(Self { identity: identity.map_err(|error| format!("{}: {error}", pass.display()))?, ring, order })
    }
}
