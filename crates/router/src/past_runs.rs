//! Remembers which ids belonged to jobs that may have run, for requests that come again with such an id.

use std::collections::{HashMap, VecDeque};

use woadhook::EarlierRun;

/// Number of ids that are remembered; the oldest is forgotten for a new one.
const MAX_PAST_RUNS: usize = 16 * 1024;

/// The ids of the jobs that may have run, with their earliest dispatch that may have. Threat: a client leaves
/// while its job runs and sends it again under the same id, or comes back for an answer that it did not
/// receive, and the job takes effect twice. The defence costs a job that shares its id with an earlier one:
/// it fails, unless a repeat is safe.
#[derive(Default)]
pub struct PastRuns {
    runs: HashMap<u64, EarlierRun>,
    /// The ids in `runs` in the order in which they came.
    order: VecDeque<u64>,
}

impl PastRuns {
    /// Records that the job with this id may have run. An earlier record of the id stays.
    pub fn record(&mut self, id: &str, run: EarlierRun) {
        let Some(id) = parse_id(id).filter(|id| !self.runs.contains_key(id)) else { return };
        if self.order.len() == MAX_PAST_RUNS {
            let oldest = self.order.pop_front();
            oldest.map(|oldest| self.runs.remove(&oldest));
        }
        self.runs.insert(id, run);
        self.order.push_back(id);
    }

    /// Returns the earliest dispatch that may have run of an earlier job with this id.
    pub fn get(&self, id: &str) -> Option<EarlierRun> {
        self.runs.get(&parse_id(id)?).copied()
    }
}

/// The number that an id of 16 hexadecimal digits stands for.
fn parse_id(id: &str) -> Option<u64> {
    u64::from_str_radix(id, 16).ok()
}
