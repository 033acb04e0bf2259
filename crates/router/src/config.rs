//! The router's configuration at its start: the file that `LB_CONFIG` names; `LB_LISTEN` overrides its
//! address.

use std::env;
use std::net::SocketAddr;
use std::path::Path;

use serde_json::Value;
use woadhook_host::fields::*;

use crate::files;

/// Maximum length of the configuration, which includes the engine list so far.
const CONFIG_BYTES: u64 = 16 * 1024 * 1024;

pub struct RouterConfig {
    pub listen: SocketAddr,
    pub seed: u64,
    pub memory_mb: f64,
    pub descriptors: usize,
    pub bulletin: SocketAddr,
    /// The bulletin's events so far, in the format of the bulletin.
    pub known: Value,
    /// The settings object that all hosts of the module share.
    pub settings: Value,
}

/// Reads the file that `LB_CONFIG` names. The call blocks until the file has been read.
pub fn read() -> Result<RouterConfig> {
    let path = env::var("LB_CONFIG").map_err(|_| "LB_CONFIG names no file".to_owned())?;
    let words = read_file(Path::new(&path))?;
    parse(&words, env::var("LB_LISTEN").ok()).map_err(|fault| format!("{path}: {fault}"))
}

/// Reads the text of a configuration. The call blocks until the file has been read.
pub fn read_file(path: &Path) -> Result<String> {
    let text = files::read_text(path, CONFIG_BYTES);
    text.map(|mut text| std::mem::take(&mut *text)).map_err(|fault| format!("{}: {fault}", path.display()))
}

pub fn parse(words: &str, listen: Option<String>) -> Result<RouterConfig> {
    let mut given: Value = serde_json::from_str(words).map_err(|error| error.to_string())?;
    let limits = required(&given, "limits")?;
    let listen = listen.map_or_else(|| text(&given, "listen").map(str::to_owned), Ok)?;
    Ok(RouterConfig {
        listen: parse_address(&listen)?,
        seed: u64::from_str_radix(text(&given, "seed")?, 16).map_err(|error| format!("seed: {error}"))?,
        memory_mb: number(limits, "memory_mb")?,
        descriptors: integer(limits, "sockets")? as usize,
        bulletin: parse_address(text(&given, "bulletin")?)?,
        known: given["known"].take(),
        settings: given["settings"].take(),
    })
}

pub fn parse_address(words: &str) -> Result<SocketAddr> {
    words.parse().map_err(|error| format!("{words}: {error}"))
}
