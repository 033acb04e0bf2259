//! How many replicas hold an engine of each class.

use std::collections::BTreeMap;

use crate::engine_counts::{EngineCounts, EngineClass, Restriction};
use crate::rank::{Replica, rank};
use crate::{ANY_ZONE_SET_SIZE, RESTRICTED_TYPE_SET_SIZE, MIN_HOLDERS, TARGET_SET_SIZE};

/// How often a replica in need may double its working set: the bound on its growth.
pub const MAX_DOUBLINGS: u32 = 2;

/// Steps between two powers of two at which counts of engines are rounded down, in thousandths of the lower one.
const STEPS: [usize; 4] = [1000, 1189, 1414, 1682];

/// How many replicas hold the engines of a class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HolderCounts {
    /// The first so many by rank, wherever they stand: they share its cold-start budget.
    pub base: usize,
    /// As many as this replica sees it: more where the engine is in its own zone.
    pub effective: usize,
}

/// How a replica holds one engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Membership {
    /// This replica's place among those that hold the engine.
    pub rank: usize,
    /// Those of the lowest ranks, which share its cold-start budget; the same at all replicas.
    pub budget_sharers: usize,
    /// Of all replicas, so many would hold it, were they all placed and grown as this one: its part of the engine.
    pub holders: usize,
}

/// The working set of one replica, for the engines counted. Two replicas that count alike agree on who shares
/// an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkingSet {
    replica: Replica,
    doublings: u32,
    /// Has a line for each class counted.
    shares: BTreeMap<EngineClass, HolderCounts>,
}

impl WorkingSet {
    /// A plan for the replica that stands in `zone`; `restrictions` are those of all reservation types.
    pub fn new(
        replica: Replica, zone: usize, restrictions: &[Restriction], census: &EngineCounts, doublings: u32,
    ) -> Self {
        let replicas = replica.count.max(1) as usize;
        let near = near_holders(replicas, zone, census);
        let share = |class: EngineClass| {
            let anywhere = holders_anywhere(replicas, class, restrictions, census);
            let here = if class.zone == zone { anywhere.max(near) } else { anywhere };
            HolderCounts { base: anywhere, effective: here }
        };
        let shares = census.classes().map(|class| (class, share(class))).collect();
        Self { replica, doublings: doublings.min(MAX_DOUBLINGS), shares }
    }

    /// Whether this replica holds every engine.
    pub fn includes_all_engines(&self) -> bool {
        let replicas = self.replica.count.max(1) as usize;
        self.shares.values().all(|share| self.grown(share.effective) >= replicas)
    }

    /// How this replica holds an engine; `None` where the engine is outside its working set, or of no class
    /// that was counted.
    pub fn membership(&self, class: EngineClass, mark: u64) -> Option<Membership> {
        let share = self.shares.get(&class)?;
        let holding = Membership {
            rank: rank(mark, self.replica),
            budget_sharers: share.base,
            holders: self.grown(share.effective),
        };
        (holding.rank < holding.holders).then_some(holding)
    }

    pub fn holder_counts(&self, class: EngineClass) -> Option<HolderCounts> {
        self.shares.get(&class).copied()
    }

    fn grown(&self, holders: usize) -> usize {
        (holders << self.doublings).min(self.replica.count.max(1) as usize)
    }
}

/// Holders of an engine of a class, wherever they stand.
fn holders_anywhere(replicas: usize, class: EngineClass, restrictions: &[Restriction], census: &EngineCounts) -> usize {
    if census.total() <= TARGET_SET_SIZE {
        return replicas;
    }
    let by_size = part_of(replicas, ANY_ZONE_SET_SIZE, census.total());
    let open = restrictions.iter().filter(|restriction| restriction.allows(class));
    let covered = open.map(|restriction| {
        let allowed = census.count_where(|class| restriction.allows(class));
        part_of(replicas, RESTRICTED_TYPE_SET_SIZE, allowed)
    });
    let holders = covered.fold(by_size, usize::max).max(MIN_HOLDERS);
    holders.min(replicas)
}

/// Holders of an engine of the zone, were all replicas in the zone: so many that the mean set is of its size.
fn near_holders(replicas: usize, zone: usize, census: &EngineCounts) -> usize {
    let near = census.count_where(|class| class.zone == zone);
    let all = step_below(census.total()).max(1);
    let elsewhere = all - step_below(near).min(all);
    part_of(replicas, TARGET_SET_SIZE - ANY_ZONE_SET_SIZE * elsewhere / all, near)
}

/// Holders of each of `engines` that give a replica `wanted` of them on average. The count of engines is rounded
/// down to a step, so that holders change seldom as engines come and go.
fn part_of(replicas: usize, wanted: usize, engines: usize) -> usize {
    let engines = step_below(engines);
    if engines <= wanted { replicas } else { (replicas * wanted).div_ceil(engines) }
}

/// The largest quarter power of two, about, that is no larger.
fn step_below(count: usize) -> usize {
    let Some(power) = count.checked_ilog2() else { return 0 };
    let steps = STEPS.iter().map(|step| (step << power) / 1000);
    steps.filter(|step| *step <= count).max().unwrap_or(count)
}
