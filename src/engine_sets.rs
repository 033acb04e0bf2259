//! The engines that need a look beyond the choice of an engine for a job. Each set is bounded by what this
//! router itself sent or was told lately, so that the checks made with every decision do not grow with the
//! engine list.

use std::cell::Cell;
use std::collections::BTreeSet;

use crate::interface::{EngineId, EngineStatus};

/// Sets of engines by a property of their records. A set may hold an engine that no longer has the property,
/// until the next sweep, but never lacks one that has it.
#[derive(Default)]
pub(crate) struct EngineSets {
    /// Engines with dispatches in flight.
    pub(crate) in_flight: BTreeSet<EngineId>,
    /// Engines that are set aside.
    pub(crate) set_aside: BTreeSet<EngineId>,
    /// Engines that other routers suspect.
    pub(crate) suspected: BTreeSet<EngineId>,
    /// Engines whose records hold entries that expire.
    pub(crate) expiring: BTreeSet<EngineId>,
    /// Engines that are gone.
    pub(crate) gone: BTreeSet<EngineId>,
    /// How many records of engines were looked at.
    examined: Cell<u64>,
}

impl EngineSets {
    /// Records the status of an engine.
    pub(crate) fn status_changed(&mut self, id: EngineId, status: EngineStatus) {
        if status == EngineStatus::Gone {
            self.gone.insert(id);
        } else {
            self.gone.remove(&id);
        }
    }

    /// Whether other routers suspect no engine and none is set aside.
    pub(crate) fn none_in_doubt(&self) -> bool {
        self.set_aside.is_empty() && self.suspected.is_empty()
    }

    /// Removes an engine whose record was removed.
    pub(crate) fn remove(&mut self, id: EngineId) {
        for set in [
            &mut self.in_flight,
            &mut self.set_aside,
            &mut self.suspected,
            &mut self.expiring,
            &mut self.gone,
        ] {
            set.remove(&id);
        }
    }

    /// Counts records of engines that were looked at.
    pub(crate) fn count_examined(&self, records: usize) {
        self.examined.set(self.examined.get() + records as u64);
    }

    pub(crate) fn examined(&self) -> u64 {
        self.examined.get()
    }
}
