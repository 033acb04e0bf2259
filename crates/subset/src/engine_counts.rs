//! How many engines are listed where.

use std::collections::BTreeMap;

/// Engines that are alike to a plan: in one zone and of one kind of machine, by their places in the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct EngineClass {
    pub zone: usize,
    pub kind: usize,
}

/// Where jobs of a reservation type may run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Restriction {
    /// All zones where it is `None`.
    pub zones: Option<Vec<usize>>,
    /// All kinds where it is `None`.
    pub kinds: Option<Vec<usize>>,
}

impl Restriction {
    pub fn allows(&self, class: EngineClass) -> bool {
        self.zones.as_ref().is_none_or(|zones| zones.contains(&class.zone))
            && self.kinds.as_ref().is_none_or(|kinds| kinds.contains(&class.kind))
    }
}

/// Listed engines, counted by class. It holds a line for each pair of a zone and a kind that is met.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineCounts {
    counts: BTreeMap<EngineClass, usize>,
}

impl EngineCounts {
    pub fn add(&mut self, class: EngineClass) {
        *self.counts.entry(class).or_default() += 1;
    }

    /// Takes off what was added before.
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

    /// How many are of a class for which `counts` holds.
    pub fn count_where(&self, counts: impl Fn(EngineClass) -> bool) -> usize {
        self.counts.iter().filter(|(class, _)| counts(**class)).map(|(_, count)| count).sum()
    }
}
