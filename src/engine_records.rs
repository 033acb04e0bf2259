//! The records of all engines. The host numbers engines from zero and uses the numbers of removed engines
//! again, so a record is found by its number in one step, however long the list is.

use crate::interface::EngineId;
use crate::records::Engine;

/// A map of records in the order of the engines' numbers.
#[derive(Default)]
pub(crate) struct EngineRecords {
    slots: Vec<Option<Box<Engine>>>,
    /// Number of records.
    count: usize,
}

impl EngineRecords {
    pub(crate) fn len(&self) -> usize {
        self.count
    }

    pub(crate) fn contains(&self, id: EngineId) -> bool {
        self.get(id).is_some()
    }

    pub(crate) fn get(&self, id: EngineId) -> Option<&Engine> {
        self.slots.get(id.0)?.as_deref()
    }

    pub(crate) fn get_mut(&mut self, id: EngineId) -> Option<&mut Engine> {
        self.slots.get_mut(id.0)?.as_deref_mut()
    }

    /// Returns the engine's record, which is `new` if it has none yet.
    pub(crate) fn get_or_insert(&mut self, id: EngineId, new: Engine) -> &mut Engine {
        if self.slots.len() <= id.0 {
            self.slots.resize_with(id.0 + 1, || None);
        }
        let slot = &mut self.slots[id.0];
        self.count += usize::from(slot.is_none());
        slot.get_or_insert_with(|| Box::new(new))
    }

    /// Removes a record and returns whether there was one.
    pub(crate) fn remove(&mut self, id: EngineId) -> bool {
        let removed = self.slots.get_mut(id.0).is_some_and(|slot| slot.take().is_some());
        self.count -= usize::from(removed);
        removed
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (EngineId, &Engine)> {
        let numbered = self.slots.iter().enumerate();
        numbered.filter_map(|(number, slot)| Some((EngineId(number), slot.as_deref()?)))
    }

    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = (EngineId, &mut Engine)> {
        let numbered = self.slots.iter_mut().enumerate();
        numbered.filter_map(|(number, slot)| Some((EngineId(number), slot.as_deref_mut()?)))
    }
}
