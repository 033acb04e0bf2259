//! Computes how many replicas hold the engines of each class, and whether a given replica holds a given
//! engine. A replica holds an engine if the engine is in its working set.

use std::collections::BTreeMap;

use crate::engine_counts::{EngineClass, EngineCounts, Restriction};
use crate::rank::{Replica, rank};
use crate::{ANY_ZONE_SET_SIZE, MIN_HOLDERS, RESTRICTED_TYPE_SET_SIZE, TARGET_SET_SIZE};

/// Maximum number of times that a replica that needs more engines doubles its working set. It bounds the
/// growth of the set.
pub const MAX_DOUBLINGS: u32 = 2;

/// The steps to which engine counts are rounded down, in thousandths of the largest power of two that is not
/// above the count. They approximate the powers of two with the exponents 0, 1/4, 1/2 and 3/4.
const ROUNDING_STEPS_THOUSANDTHS: [usize; 4] = [1000, 1189, 1414, 1682];

/// How many replicas hold each engine of a class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HolderCounts {
    /// The number of replicas, from the lowest rank on, that hold the engine whatever their zone. They share
    /// its cold-start budget.
    pub base: usize,
    /// The number of replicas, from the lowest rank on, to which this replica must belong to hold the engine
    /// itself, before doublings. It may exceed `base` if the engine is in this replica's zone.
    pub effective: usize,
}

/// The position of a replica among the replicas that hold an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Membership {
    /// This replica's position among the holders of the engine, from 0.
    pub rank: usize,
    /// The number of replicas, from the lowest rank on, that share the engine's cold-start budget. All
    /// replicas compute the same number.
    pub budget_sharers: usize,
    /// The number of replicas that would hold the engine if all replicas were in this replica's zone and had
    /// doubled their working sets as often as this replica. It determines this replica's part of the engine.
    pub holders: usize,
}

/// The working set of one replica, computed from the [`EngineCounts`] of the listed engines. Two replicas
/// with equal counts agree on which replicas share an engine's cold-start budget.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkingSet {
    replica: Replica,
    doublings: u32,
    /// Contains an entry for each class that has engines.
    holder_counts: BTreeMap<EngineClass, HolderCounts>,
}

impl WorkingSet {
    /// The working set of a replica in `zone`; `restrictions` are those of all reservation types.
    pub fn new(
        replica: Replica, zone: usize, restrictions: &[Restriction], engines: &EngineCounts, doublings: u32,
    ) -> Self {
        let replicas = replica.count.max(1) as usize;
        let own_zone = own_zone_holders(replicas, zone, engines);
        let counts = |class: EngineClass| {
            let base = base_holders(replicas, class, restrictions, engines);
            let effective = if class.zone == zone { base.max(own_zone) } else { base };
            HolderCounts { base, effective }
        };
        let holder_counts = engines.classes().map(|class| (class, counts(class))).collect();
        Self { replica, doublings: doublings.min(MAX_DOUBLINGS), holder_counts }
    }

    /// Whether this replica holds every engine.
    pub fn includes_all_engines(&self) -> bool {
        let replicas = self.replica.count.max(1) as usize;
        self.holder_counts.values().all(|counts| self.with_doublings(counts.effective) >= replicas)
    }

    /// The membership of an engine in this replica's working set; `None` where the engine is outside the set
    /// or its class had no engines in the counts.
    pub fn membership(&self, class: EngineClass, stable_hash: u64) -> Option<Membership> {
        let counts = self.holder_counts.get(&class)?;
        let membership = Membership {
            rank: rank(stable_hash, self.replica),
            budget_sharers: counts.base,
            holders: self.with_doublings(counts.effective),
        };
        (membership.rank < membership.holders).then_some(membership)
    }

    /// The holder counts of a class, before doublings; `None` where the class had no engines in the counts.
    pub fn holder_counts(&self, class: EngineClass) -> Option<HolderCounts> {
        self.holder_counts.get(&class).copied()
    }

    /// The number of holders after this replica's doublings, at most all replicas.
    fn with_doublings(&self, holders: usize) -> usize {
        (holders << self.doublings).min(self.replica.count.max(1) as usize)
    }
}

/// The number of replicas that hold an engine of a class, whatever their zone.
fn base_holders(
    replicas: usize, class: EngineClass, restrictions: &[Restriction], engines: &EngineCounts,
) -> usize {
    if engines.total() <= TARGET_SET_SIZE {
        return replicas;
    }
    let by_set_size = holders_for_mean(replicas, ANY_ZONE_SET_SIZE, engines.total());
    let applicable = restrictions.iter().filter(|restriction| restriction.allows(class));
    let by_restriction = applicable.map(|restriction| {
        let allowed = engines.count_where(|class| restriction.allows(class));
        holders_for_mean(replicas, RESTRICTED_TYPE_SET_SIZE, allowed)
    });
    let holders = by_restriction.fold(by_set_size, usize::max).max(MIN_HOLDERS);
    holders.min(replicas)
}

/// The number of holders of an engine in `zone`, as if all replicas were in that zone: it brings the mean
/// size of a working set to [`TARGET_SET_SIZE`].
fn own_zone_holders(replicas: usize, zone: usize, engines: &EngineCounts) -> usize {
    let in_zone = engines.count_where(|class| class.zone == zone);
    let all = round_down_to_step(engines.total()).max(1);
    let elsewhere = all - round_down_to_step(in_zone).min(all);
    holders_for_mean(replicas, TARGET_SET_SIZE - ANY_ZONE_SET_SIZE * elsewhere / all, in_zone)
}

/// The number of holders of each engine with which a replica holds `mean_set_size` of `engines` on average.
/// The engine count is rounded down to a step, so that the number of holders seldom changes as engines come
/// and go.
fn holders_for_mean(replicas: usize, mean_set_size: usize, engines: usize) -> usize {
    let engines = round_down_to_step(engines);
    if engines <= mean_set_size { replicas } else { (replicas * mean_set_size).div_ceil(engines) }
}

/// Rounds `count` down to a power of two or to one of the three steps between two successive powers (see
/// [`ROUNDING_STEPS_THOUSANDTHS`]).
fn round_down_to_step(count: usize) -> usize {
    let Some(exponent) = count.checked_ilog2() else { return 0 };
    let steps = ROUNDING_STEPS_THOUSANDTHS.iter().map(|step| (step << exponent) / 1000);
    steps.filter(|step| *step <= count).max().unwrap_or(count)
}
