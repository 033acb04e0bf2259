//! The format in which discovery publishes the engine list: a bulletin of numbered events, each with lines of
//! the list. A list may have thousands of lines, so an event and a line stay unparsed text until their turn
//! comes.

use std::borrow::Cow;

use serde::Deserialize;
use serde_json::Value;
use serde_json::value::RawValue;
use woadhook_host::fields::Result;

use crate::starts::StartTime;

/// The events of an answer of discovery, or of the configuration.
#[derive(Deserialize)]
pub struct Bulletin {
    items: Vec<Box<RawValue>>,
}

/// An event.
#[derive(Deserialize)]
pub struct BulletinItem {
    #[serde(rename = "no")]
    number: Value,
    pub roster: Option<Roster>,
}

/// Changes of the engine list, or the whole list if `complete` is true.
#[derive(Deserialize)]
pub struct Roster {
    #[serde(default)]
    complete: Value,
    pub members: Vec<Box<RawValue>>,
}

/// A line of the engine list.
#[derive(Deserialize)]
pub struct Member<'a> {
    #[serde(borrow)]
    pub id: Cow<'a, str>,
    #[serde(borrow, rename = "host_port")]
    pub address: Cow<'a, str>,
    #[serde(borrow, rename = "locality")]
    pub zone: Cow<'a, str>,
    #[serde(borrow, rename = "flavor")]
    pub kind: Cow<'a, str>,
    #[serde(borrow)]
    pub phase: Cow<'a, str>,
    #[serde(default)]
    cell: Value,
    #[serde(default)]
    up_since_ms: Value,
}

impl Bulletin {
    /// Reads a bulletin from its text.
    pub fn parse(text: &str) -> Result<Self> {
        serde_json::from_str(text).map_err(|error| error.to_string())
    }

    /// The events in their order, each parsed when it is reached.
    pub fn into_items(self) -> impl Iterator<Item = Result<BulletinItem>> {
        self.items.into_iter().map(|item| parse_item(&item))
    }

    /// The newest start of an engine in all events. Events and lines that can't be read have none.
    pub fn newest_start(&self) -> Option<StartTime> {
        let rosters = self.items.iter().filter_map(|item| parse_item(item).ok()?.roster);
        let newest =
            |roster: Roster| roster.members.iter().filter_map(|line| Member::parse(line).ok()?.start()).max();
        rosters.filter_map(newest).max()
    }
}

fn parse_item(item: &RawValue) -> Result<BulletinItem> {
    serde_json::from_str(item.get()).map_err(|error| error.to_string())
}

impl BulletinItem {
    /// The number of the event.
    pub fn number(&self) -> Result<u64> {
        unsigned(&self.number).ok_or_else(|| "no is malformed".to_owned())
    }
}

impl Roster {
    /// Whether the list names every engine that is not gone.
    pub fn is_complete(&self) -> bool {
        self.complete.as_bool().unwrap_or(false)
    }
}

impl<'a> Member<'a> {
    /// Reads a line from its text.
    pub fn parse(line: &'a RawValue) -> Result<Self> {
        serde_json::from_str(line.get()).map_err(|error| error.to_string())
    }

    /// The engine's cell; 0 if the line names none.
    pub fn cell(&self) -> usize {
        unsigned(&self.cell).unwrap_or(0) as usize
    }

    /// When the engine started; `None` if that is long ago.
    pub fn start(&self) -> Option<StartTime> {
        unsigned(&self.up_since_ms).filter(|at| *at > 0).map(StartTime)
    }
}

/// An unsigned integer. Fractions are truncated, and negative numbers become zero.
fn unsigned(value: &Value) -> Option<u64> {
    value.as_u64().or_else(|| value.as_f64().map(|number| number.max(0.0) as u64))
}
