//! Changes of the engine list that are being applied in steps. They may have thousands of lines; between two
//! steps the thread handles deadlines, withdrawals and closed connections.

use std::collections::HashSet;
use std::vec;

use async_channel::Sender;
use serde_json::value::RawValue;
use woadhook::EngineId;
use woadhook_host::fields::Result;

use crate::engine_list::{ListEvent, ListOutcome};
use crate::starts::EventTime;

/// Maximum number of lines that are parsed, and that are applied, in one step. Between two steps a late event
/// loop makes a whole round, and the drain grace runs on.
pub const MAX_LINES_PER_STEP: usize = 1_024;

/// A line of an event that has not been parsed yet.
struct UnparsedLine {
    event: u64,
    text: Box<RawValue>,
}

/// A group of events whose lines are parsed first, all of them, and then applied. Either all lines of an
/// event take effect or none, and none of the events after one that does not.
pub struct ListUpdate<L> {
    /// The numbers of the events.
    numbers: Vec<u64>,
    unparsed: vec::IntoIter<UnparsedLine>,
    parsed: Vec<(String, L)>,
    unapplied: vec::IntoIter<(String, L)>,
    /// The event of the line that was parsed last, and how many lines were parsed before that event.
    current_event: (u64, usize),
    outcome: ListOutcome,
    pub event_time: EventTime,
    skip_malformed: bool,
    /// Whether the list names every engine that is not gone.
    pub is_complete: bool,
    /// The engines of the lines applied so far.
    pub named: HashSet<EngineId>,
    result: Sender<ListOutcome>,
}

impl<L: Clone> ListUpdate<L> {
    /// Begins to apply a group of events.
    pub fn begin(
        events: Vec<ListEvent>, event_time: EventTime, skip_malformed: bool, result: Sender<ListOutcome>,
    ) -> Self {
        let numbers: Vec<u64> = events.iter().map(|event| event.number).collect();
        let is_complete = events.first().is_some_and(|event| event.roster.is_complete());
        let lines_of = |ListEvent { number, roster }: ListEvent| {
            roster.members.into_iter().map(move |text| UnparsedLine { event: number, text })
        };
        let unparsed: Vec<_> = events.into_iter().flat_map(lines_of).collect();
        Self {
            parsed: Vec::with_capacity(unparsed.len()),
            unparsed: unparsed.into_iter(),
            unapplied: Vec::new().into_iter(),
            current_event: (0, 0),
            outcome: ListOutcome { last_applied: numbers.last().copied(), error: None },
            numbers,
            event_time,
            skip_malformed,
            is_complete,
            named: HashSet::new(),
            result,
        }
    }

    /// Parses the next lines, if any are left. Unless malformed lines are skipped, the event of the first one
    /// and those after it are rejected. Lines for which `is_urgent` returns true are applied first, and once
    /// more in the order of the list, as an engine's last line counts.
    pub fn parse_step(
        &mut self, parse: impl Fn(&RawValue) -> Result<(String, L)>, is_urgent: impl Fn(&L) -> bool,
    ) {
        for _ in 0..MAX_LINES_PER_STEP {
            let Some(UnparsedLine { event, text }) = self.unparsed.next() else { break };
            if event != self.current_event.0 {
                self.current_event = (event, self.parsed.len());
            }
            match parse(&text) {
                Ok(line) => self.parsed.push(line),
                Err(error) if self.skip_malformed => {
                    log::warn!("skipping a line of the engine list: {error}");
                }
                Err(error) => self.reject_current_event(error),
            }
        }
        if self.unparsed.len() == 0 && !self.parsed.is_empty() {
            let mut lines: Vec<_> = self.parsed.iter().filter(|(_, line)| is_urgent(line)).cloned().collect();
            lines.append(&mut self.parsed);
            self.unapplied = lines.into_iter();
        }
    }

    fn reject_current_event(&mut self, error: String) {
        let (event, lines_before) = self.current_event;
        self.parsed.truncate(lines_before);
        self.unparsed = Vec::new().into_iter();
        let last_applied = self.numbers.iter().copied().take_while(|number| *number < event).last();
        self.outcome = ListOutcome { last_applied, error: Some(error) };
    }

    /// Takes the next lines to apply; none before all lines are parsed.
    pub fn next_lines(&mut self) -> Vec<(String, L)> {
        self.unapplied.by_ref().take(MAX_LINES_PER_STEP).collect()
    }

    /// Whether all lines were applied.
    pub fn is_applied(&self) -> bool {
        self.unparsed.len() == 0 && self.parsed.is_empty() && self.unapplied.len() == 0
    }

    /// Whether any event is applied.
    pub fn has_effect(&self) -> bool {
        self.outcome.last_applied.is_some()
    }

    /// Reports the outcome to whoever sent the list.
    pub fn finish(self) {
        let _ = self.result.try_send(self.outcome);
    }
}
