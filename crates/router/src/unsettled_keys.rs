//! Keys whose order waits for queries that may run on behind their ends, and dispatches that were out as the module began again. The host is the
//! owner of both: a module is told of each that begins and ends, and one that begins again is told of all there are.

use std::collections::HashMap;

use woadhook::{JobId, KeyId};

/// A dispatch: its job and number.
type DispatchId = (JobId, usize);

#[derive(Default)]
pub struct UnsettledKeys {
    /// How many queries of each key may run on; emptied as these are settled.
    counts: HashMap<KeyId, usize>,
    /// Dispatches that the module does not know, each with its key; emptied by their ends.
    left_over: HashMap<DispatchId, Option<KeyId>>,
}

/// The end of a dispatch that the module does not know.
#[derive(Debug, PartialEq, Eq)]
pub struct LeftOverEnd {
    /// By which its type keeps order.
    pub key: Option<KeyId>,
    /// Whether it was the last one out of its job.
    pub is_last: bool,
}

impl UnsettledKeys {
    /// A query of the key may run on.
    pub fn begin(&mut self, key: KeyId) {
        *self.counts.entry(key).or_default() += 1;
    }

    /// One that might run on surely does not; whether there was one.
    pub fn settle(&mut self, key: KeyId) -> bool {
        let Some(count) = self.counts.get_mut(&key) else { return false };
        *count -= 1;
        if *count == 0 {
            self.counts.remove(&key);
        }
        true
    }

    /// Each key, as often as a query of it may run on.
    pub fn all(&self) -> Vec<KeyId> {
        let each = |(key, count): (&KeyId, &usize)| std::iter::repeat_n(*key, *count);
        self.counts.iter().flat_map(each).collect()
    }

    /// The module knows this dispatch no more; it may run on until its end.
    pub fn leave_over(&mut self, job: JobId, number: usize, key: Option<KeyId>) {
        self.left_over.insert((job, number), key);
        if let Some(key) = key {
            self.begin(key);
        }
    }

    /// A dispatch ended; nothing where it was not left over.
    pub fn end_left_over(&mut self, job: JobId, number: usize) -> Option<LeftOverEnd> {
        let key = self.left_over.remove(&(job, number))?;
        let is_last = !self.left_over.keys().any(|(other, _)| *other == job);
        Some(LeftOverEnd { key, is_last })
    }
}
