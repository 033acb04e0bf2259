//! An engine list that is being applied in steps. A list may name thousands of engines; between two steps the
//! thread handles deadlines, withdrawals and closed connections.

use std::collections::HashSet;
use std::vec;

use async_channel::Sender;
use serde_json::value::RawValue;
use woadhook::EngineId;
use woadhook_host::fields::Result;

use crate::engine_list::Roster;
use crate::starts::EventTime;

/// Maximum number of lines that are parsed, and that are applied, in one step. Between two steps a late event
/// loop makes a whole round, and the drain grace runs on.
pub const MAX_LINES_PER_STEP: usize = 1_024;

/// A list whose lines are parsed first, all of them, and then applied: either all lines take effect or none.
pub struct ListUpdate<L> {
    unparsed: vec::IntoIter<Box<RawValue>>,
    parsed: Vec<(String, L)>,
    unapplied: vec::IntoIter<(String, L)>,
    pub event_time: EventTime,
    skip_malformed: bool,
    /// Whether the list names every engine that is not gone.
    pub is_complete: bool,
    /// The engines of the lines applied so far.
    pub named: HashSet<EngineId>,
    result: Sender<Result<()>>,
}

impl<L: Clone> ListUpdate<L> {
    /// Begins to apply a list.
    pub fn begin(
        list: Roster, event_time: EventTime, skip_malformed: bool, result: Sender<Result<()>>,
    ) -> Self {
        Self {
            is_complete: list.is_complete(),
            parsed: Vec::with_capacity(list.members.len()),
            unparsed: list.members.into_iter(),
            unapplied: Vec::new().into_iter(),
            event_time,
            skip_malformed,
            named: HashSet::new(),
            result,
        }
    }

    /// Parses the next lines, if any are left. An error is final unless malformed lines are skipped.
    /// Lines for which `is_urgent` returns true are applied first, and once more in the order of the list, as
    /// an engine's last line counts.
    pub fn parse_step(
        &mut self, parse: impl Fn(&RawValue) -> Result<(String, L)>, is_urgent: impl Fn(&L) -> bool,
    ) -> Result<()> {
        for member in self.unparsed.by_ref().take(MAX_LINES_PER_STEP) {
            match parse(&member) {
                Ok(line) => self.parsed.push(line),
                Err(error) if self.skip_malformed => {
                    log::warn!("skipping a line of the engine list: {error}");
                }
                Err(error) => return Err(error),
            }
        }
        if self.unparsed.len() == 0 && !self.parsed.is_empty() {
            let mut lines: Vec<_> = self.parsed.iter().filter(|(_, line)| is_urgent(line)).cloned().collect();
            lines.append(&mut self.parsed);
            self.unapplied = lines.into_iter();
        }
        Ok(())
    }

    /// Takes the next lines to apply; none before all lines are parsed.
    pub fn next_lines(&mut self) -> Vec<(String, L)> {
        self.unapplied.by_ref().take(MAX_LINES_PER_STEP).collect()
    }

    /// Whether all lines were applied.
    pub fn is_applied(&self) -> bool {
        self.unparsed.len() == 0 && self.parsed.is_empty() && self.unapplied.len() == 0
    }

    /// Reports the outcome to whoever sent the list.
    pub fn finish(self, outcome: Result<()>) {
        let _ = self.result.try_send(outcome);
    }
}
