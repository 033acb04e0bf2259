//! The router's configuration at its start: the file that `LB_CONFIG` names; `LB_LISTEN` overrides its
//! address.

use std::env;
use std::net::SocketAddr;
use std::path::Path;

use std::collections::BTreeMap;

use serde_json::Value;
use serde_json::value::RawValue;
use woadhook_host::fields::*;

use crate::files;

/// Maximum length of the configuration, which includes the engine list so far.
const MAX_CONFIG_BYTES: u64 = 16 * 1024 * 1024;

/// What a router starts from.
pub struct RouterConfig {
    pub listen: SocketAddr,
    pub seed: u64,
    pub memory_mb: f64,
    /// The field `sockets`.
    pub max_descriptors: usize,
    /// The address of discovery, the field `bulletin`.
    pub discovery_address: SocketAddr,
    /// The bulletin's events so far, in the format of the bulletin.
    pub known_events: Option<Box<RawValue>>,
    /// The settings object that all hosts of the module share.
    pub settings: Value,
}

/// Reads the file that `LB_CONFIG` names. The call blocks until the file has been read.
pub fn read() -> Result<RouterConfig> {
    let path = env::var("LB_CONFIG").map_err(|_| "LB_CONFIG names no file".to_owned())?;
    let json = read_file(Path::new(&path))?;
    parse(&json, env::var("LB_LISTEN").ok()).map_err(|error| format!("{path}: {error}"))
}

/// Reads the text of a configuration. The call blocks until the file has been read.
pub fn read_file(path: &Path) -> Result<String> {
    let text = files::read_text(path, MAX_CONFIG_BYTES);
    text.map(|mut text| std::mem::take(&mut *text)).map_err(|error| format!("{}: {error}", path.display()))
}

/// Parses a configuration; `listen` replaces the address in it.
pub fn parse(json: &str, listen: Option<String>) -> Result<RouterConfig> {
    let invalid = |error: serde_json::Error| error.to_string();
    let mut fields: BTreeMap<String, Box<RawValue>> = serde_json::from_str(json).map_err(invalid)?;
    // The engine list so far may be long, and is seldom needed: it stays unparsed.
    let known_events = fields.remove("known");
    let parsed = fields.into_iter().map(|(name, value)| Ok((name, serde_json::from_str(value.get())?)));
    let mut config = Value::Object(parsed.collect::<std::result::Result<_, _>>().map_err(invalid)?);
    let limits = required(&config, "limits")?;
    let listen = listen.map_or_else(|| text(&config, "listen").map(str::to_owned), Ok)?;
    Ok(RouterConfig {
        listen: parse_address(&listen)?,
        seed: u64::from_str_radix(text(&config, "seed")?, 16).map_err(|error| format!("seed: {error}"))?,
        memory_mb: number(limits, "memory_mb")?,
        max_descriptors: integer(limits, "sockets")? as usize,
        discovery_address: parse_address(text(&config, "bulletin")?)?,
        known_events: known_events.filter(|events| events.get().starts_with('{')),
        settings: config["settings"].take(),
    })
}

pub fn parse_address(address: &str) -> Result<SocketAddr> {
    address.parse().map_err(|error| format!("{address}: {error}"))
}
