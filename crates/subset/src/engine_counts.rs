//! Counts of the listed engines by zone and machine kind.

use std::collections::BTreeMap;

/// Engines that a working set treats alike: those of one zone and one machine kind, each given by its index
/// in the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct EngineClass {
    pub zone: usize,
    pub kind: usize,
}

/// The zones and machine kinds where jobs of a reservation type may run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Restriction {
    /// `None` allows all zones.
    pub zones: Option<Vec<usize>>,
    /// `None` allows all machine kinds.
    pub kinds: Option<Vec<usize>>,
}

impl Restriction {
    pub fn allows(&self, class: EngineClass) -> bool {
        self.zones.as_ref().is_none_or(|zones| zones.contains(&class.zone))
            && self.kinds.as_ref().is_none_or(|kinds| kinds.contains(&class.kind))
    }
}

/// The number of listed engines of each class. Only classes that have engines have an entry.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineCounts {
    counts: BTreeMap<EngineClass, usize>,
}

impl EngineCounts {
    pub fn add(&mut self, class: EngineClass) {
        *self.counts.entry(class).or_default() += 1;
    }

    /// Removes one engine that was added before; does nothing if no engine of the class was added.
    pub fn remove(&mut self, class: EngineClass) {
        let Some(count) = self.counts.get_mut(&class) else { return };
        *count -= 1;
        if *count == 0 {
            self.counts.remove(&class);
        }
    }

    pub fn classes(&self) -> impl Iterator<Item = EngineClass> {
        self.counts.keys().copied()
    }

    pub fn total(&self) -> usize {
        self.counts.values().sum()
    }

    /// The number of engines whose class matches `predicate`.
    pub fn count_where(&self, predicate: impl Fn(EngineClass) -> bool) -> usize {
        self.counts.iter().filter(|(class, _)| predicate(**class)).map(|(_, count)| count).sum()
    }
}
