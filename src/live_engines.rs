//! The live engines in the order of the values that this router draws for them by rendezvous hashing. A
//! change of one engine costs time in the logarithm of the list, so that the working set can be drawn again
//! without a look at every listed engine.

use std::collections::{BTreeMap, BTreeSet};

use crate::interface::{CellId, EngineId, KindId, ZoneId};

/// Engines by drawn value.
pub(crate) type DrawnEngines = BTreeSet<(u32, EngineId)>;

/// What the index has to know about an engine.
#[derive(Clone, Copy, PartialEq)]
pub(crate) struct LiveEngine {
    /// The value that this router drew for the engine.
    pub(crate) drawn: u32,
    pub(crate) zone: ZoneId,
    pub(crate) kind: KindId,
    pub(crate) cell: CellId,
}

/// All live engines. An engine leaves the index when it drains or is gone.
#[derive(Default)]
pub(crate) struct LiveEngines {
    /// Each engine and its position in `ids`.
    engines: BTreeMap<EngineId, (LiveEngine, usize)>,
    by_class: BTreeMap<(ZoneId, KindId), DrawnEngines>,
    by_cell: BTreeMap<CellId, DrawnEngines>,
    /// The engines in no particular order, from which some can be drawn at random.
    ids: Vec<EngineId>,
}

impl LiveEngines {
    /// Adds an engine, or records what has changed about it.
    pub(crate) fn insert(&mut self, id: EngineId, engine: LiveEngine) {
        if self.engines.get(&id).is_some_and(|(known, _)| *known == engine) {
            return;
        }
        self.remove(id);
        let LiveEngine { drawn, zone, kind, cell } = engine;
        self.by_class.entry((zone, kind)).or_default().insert((drawn, id));
        self.by_cell.entry(cell).or_default().insert((drawn, id));
        self.engines.insert(id, (engine, self.ids.len()));
        self.ids.push(id);
    }

    /// Removes an engine, if it is in the index.
    pub(crate) fn remove(&mut self, id: EngineId) {
        let Some((LiveEngine { drawn, zone, kind, cell }, position)) = self.engines.remove(&id) else {
            return;
        };
        remove_drawn(&mut self.by_class, (zone, kind), (drawn, id));
        remove_drawn(&mut self.by_cell, cell, (drawn, id));
        self.ids.swap_remove(position);
        if let Some(moved) = self.ids.get(position) {
            self.engines.entry(*moved).and_modify(|(_, at)| *at = position);
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.ids.len()
    }

    pub(crate) fn contains(&self, id: EngineId) -> bool {
        self.engines.contains_key(&id)
    }

    /// The engines in no particular order.
    pub(crate) fn ids(&self) -> &[EngineId] {
        &self.ids
    }

    /// The engines of each zone and kind that has any.
    pub(crate) fn classes(&self) -> impl Iterator<Item = (ZoneId, &DrawnEngines)> {
        self.by_class.iter().map(|((zone, _), engines)| (*zone, engines))
    }

    /// The engines of a cell.
    pub(crate) fn of_cell(&self, cell: CellId) -> impl Iterator<Item = EngineId> {
        self.by_cell.get(&cell).into_iter().flatten().map(|(_, id)| *id)
    }
}

/// Removes an engine from a map by zone and kind, or by cell.
fn remove_drawn<K: Ord>(map: &mut BTreeMap<K, DrawnEngines>, key: K, engine: (u32, EngineId)) {
    let Some(engines) = map.get_mut(&key) else { return };
    engines.remove(&engine);
    if engines.is_empty() {
        map.remove(&key);
    }
}
