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

/// An event as discovery publishes it. The roster of one that is known already is never read.
#[derive(Deserialize)]
struct BulletinItem<'a> {
    #[serde(rename = "no")]
    number: Value,
    #[serde(borrow)]
    roster: Option<&'a RawValue>,
}

/// An event with its number. One that says nothing about engines has an empty roster.
pub struct ListEvent {
    pub number: u64,
    pub roster: Roster,
}

/// The events of a bulletin. A group is either one complete list or any number of changes.
pub struct EventGroups {
    pub groups: Vec<Vec<ListEvent>>,
    /// Why the event after the last group can't be used.
    pub error: Option<String>,
}

/// What became of a group of events.
pub struct ListOutcome {
    /// The number of the last event that was applied; `None` if none was.
    pub last_applied: Option<u64>,
    /// Why the event after it was not applied.
    pub error: Option<String>,
}

/// Changes of the engine list, or the whole list if `complete` is true.
#[derive(Default, Deserialize)]
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

    /// The events after `last` up to the first one that can't be read, in groups that are applied together.
    /// After a gap, only a complete list can be used.
    pub fn into_groups(self, last: u64) -> EventGroups {
        let (mut groups, mut last) = (Vec::<Vec<ListEvent>>::new(), last);
        for item in self.items {
            let event = match read_event(&item, last) {
                Ok(Some(event)) => event,
                Ok(None) => continue,
                Err(error) => return EventGroups { groups, error: Some(error) },
            };
            last = event.number;
            let open_group = groups.last_mut().filter(|group| !group[0].roster.is_complete());
            match open_group.filter(|_| !event.roster.is_complete()) {
                Some(group) => group.push(event),
                None => groups.push(vec![event]),
            }
        }
        EventGroups { groups, error: None }
    }

    /// The newest start of an engine in all events. Events and lines that can't be read have none.
    pub fn newest_start(&self) -> Option<StartTime> {
        let rosters = self.items.iter().filter_map(|item| parse_item(item).ok()?.roster().ok()?);
        let newest =
            |roster: Roster| roster.members.iter().filter_map(|line| Member::parse(line).ok()?.start()).max();
        rosters.filter_map(newest).max()
    }
}

fn parse_item(item: &RawValue) -> Result<BulletinItem<'_>> {
    serde_json::from_str(item.get()).map_err(|error| error.to_string())
}

impl BulletinItem<'_> {
    fn roster(&self) -> Result<Option<Roster>> {
        let parse = |roster: &RawValue| serde_json::from_str(roster.get()).map_err(|error| error.to_string());
        self.roster.map(parse).transpose()
    }
}

/// Reads an event; `None` if it does not come after `last`.
fn read_event(item: &RawValue, last: u64) -> Result<Option<ListEvent>> {
    let item = parse_item(item)?;
    let number = unsigned(&item.number).ok_or_else(|| "no is malformed".to_owned())?;
    if number <= last {
        return Ok(None);
    }
    let roster = item.roster()?;
    if roster.as_ref().is_some_and(|roster| number != last + 1 && !roster.is_complete()) {
        return Err(format!("event {} is missing", last + 1));
    }
    Ok(Some(ListEvent { number, roster: roster.unwrap_or_default() }))
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
