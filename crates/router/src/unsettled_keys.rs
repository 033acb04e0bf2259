//! Order keys with queries that may still run after their dispatches ended, and dispatches that were in
//! flight when the module restarted. The host owns both records: it notifies the module when a query of a key
//! may still run and when that query has ended (the key is settled), and notifies a restarted module of all
//! keys in doubt.

use std::collections::HashMap;

use woadhook::{JobId, KeyId};

/// The job and the number of a dispatch.
type DispatchId = (JobId, usize);

/// The keys in doubt and the orphaned dispatches of this host.
#[derive(Default)]
pub struct UnsettledKeys {
    /// How many queries of each key may still run; removed when they are settled.
    counts: HashMap<KeyId, usize>,
    /// Orphans: dispatches that the module does not know, each with its key; removed when they end.
    orphans: HashMap<DispatchId, Option<KeyId>>,
}

/// The end of a dispatch that the module does not know.
#[derive(Debug, PartialEq, Eq)]
pub struct OrphanEnd {
    /// The order key, if jobs of the type keep order.
    pub key: Option<KeyId>,
    /// Whether it was the last dispatch in flight of its job.
    pub is_last: bool,
}

impl UnsettledKeys {
    /// Records that a query of the key may still run.
    pub fn add(&mut self, key: KeyId) {
        *self.counts.entry(key).or_default() += 1;
    }

    /// Records that a query of the key that might have been running has certainly ended; returns whether
    /// there was one.
    pub fn settle(&mut self, key: KeyId) -> bool {
        let Some(count) = self.counts.get_mut(&key) else { return false };
        *count -= 1;
        if *count == 0 {
            self.counts.remove(&key);
        }
        true
    }

    /// Each key, repeated once for each of its queries that may still run.
    pub fn all(&self) -> Vec<KeyId> {
        let each = |(key, count): (&KeyId, &usize)| std::iter::repeat_n(*key, *count);
        self.counts.iter().flat_map(each).collect()
    }

    /// Records a dispatch that the module no longer knows; it may run until its end.
    pub fn add_orphan(&mut self, job: JobId, number: usize, key: Option<KeyId>) {
        self.orphans.insert((job, number), key);
        if let Some(key) = key {
            self.add(key);
        }
    }

    /// Records the end of a dispatch; returns `None` if the dispatch was not an orphan.
    pub fn remove_orphan(&mut self, job: JobId, number: usize) -> Option<OrphanEnd> {
        let key = self.orphans.remove(&(job, number))?;
        let is_last = !self.orphans.keys().any(|(other, _)| *other == job);
        Some(OrphanEnd { key, is_last })
    }
}
