//! Key files on disk: secrets only from files that their owner alone can read, wiped from memory after use.

use std::fs::{File, OpenOptions};
use std::io::{Read, Write};
use std::os::unix::fs::{OpenOptionsExt, PermissionsExt};
use std::path::Path;

use woadhook_gossip::keys::{Pass, Revocation, Secret};
use zeroize::Zeroizing;

/// No key file holds more; a list of revocations holds up to `LIST_BYTES`.
const FILE_BYTES: u64 = 4 * 1024;
const LIST_BYTES: u64 = 512 * 1024;

fn text(path: &Path, most: u64, private: bool) -> Result<Zeroizing<String>, String> {
    let shown = path.display();
    let file = File::open(path).map_err(|error| format!("{shown}: {error}"))?;
    let about = file.metadata().map_err(|error| format!("{shown}: {error}"))?;
    let mode = about.permissions().mode() & 0o777;
    if private && mode & 0o077 != 0 {
        return Err(format!(
            "{shown}: mode {mode:04o}, allowed is what its owner alone can read (0600 or 0400)"
        ));
    }
    if about.len() > most {
        return Err(format!("{shown}: {} bytes, allowed are {most}", about.len()));
    }
    let mut text = Zeroizing::new(String::with_capacity(about.len() as usize + 1));
    file.take(most).read_to_string(&mut text).map_err(|error| format!("{shown}: {error}"))?;
    Ok(text)
}

pub fn secret(path: &Path) -> Result<Secret, String> {
    let text = text(path, FILE_BYTES, true)?;
    Secret::from_text(&text).map_err(|fault| format!("{}: {fault}", path.display()))
}

pub fn pass(path: &Path) -> Result<Pass, String> {
    Pass::from_text(&text(path, FILE_BYTES, false)?).map_err(|fault| format!("{}: {fault}", path.display()))
}

pub fn revocations(path: &Path) -> Result<Vec<Revocation>, String> {
    let text = text(path, LIST_BYTES, false)?;
    Revocation::list_from_text(&text).map_err(|fault| format!("{}: {fault}", path.display()))
}

/// Writes a new file that only its owner can read; one that is there stays.
pub fn write_secret(path: &Path, secret: &Secret) -> Result<(), String> {
    write_new(path, secret.to_text().as_bytes(), 0o600)
}

pub fn write_new(path: &Path, bytes: &[u8], mode: u32) -> Result<(), String> {
    let file = OpenOptions::new().write(true).create_new(true).mode(mode).open(path);
    let written = file.and_then(|mut file| {
        file.write_all(bytes)?;
        file.sync_all()
    });
    written.map_err(|error| format!("{}: {error}", path.display()))
}

/// Puts a list of revocations in place of an older one, whole or not at all.
pub fn write_revocations(path: &Path, list: &[Revocation]) -> Result<(), String> {
    let new = path.with_extension("new");
    let _ = std::fs::remove_file(&new);
    write_new(&new, Revocation::list_to_text(list).as_bytes(), 0o644)?;
    std::fs::rename(&new, path).map_err(|error| format!("{}: {error}", path.display()))
}
