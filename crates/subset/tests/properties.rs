//! Properties of working sets that hold for any engine list.

use proptest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use woadhook_subset::*;

#[derive(Clone, Copy, Debug)]
struct Engine {
    class: EngineClass,
    stable_hash: u64,
}

fn any_engine() -> impl Strategy<Value = Engine> {
    (0_usize..14, 0_usize..3, any::<u64>())
        .prop_map(|(zone, kind, stable_hash)| Engine { class: EngineClass { zone, kind }, stable_hash })
}

fn any_engines(end: usize) -> impl Strategy<Value = Vec<Engine>> {
    proptest::collection::vec(any_engine(), 1..end)
}

fn counts(engines: &[Engine]) -> EngineCounts {
    let mut counts = EngineCounts::default();
    engines.iter().for_each(|engine| counts.add(engine.class));
    counts
}

fn large_machines_only() -> Vec<Restriction> {
    vec![Restriction { zones: None, kinds: Some(vec![2]) }]
}

fn working_set(index: u32, replicas: u32, engines: &[Engine], doublings: u32) -> WorkingSet {
    let replica = Replica { index, count: replicas };
    WorkingSet::new(replica, index as usize % 14, &large_machines_only(), &counts(engines), doublings)
}

fn memberships(set: &WorkingSet, engines: &[Engine]) -> Vec<bool> {
    engines.iter().map(|engine| set.membership(engine.class, engine.stable_hash).is_some()).collect()
}

fn size(set: &WorkingSet, engines: &[Engine]) -> usize {
    memberships(set, engines).into_iter().filter(|held| *held).count()
}

/// Draws a list of `count` engines from a seed; one in ten is a large machine.
fn engine_list(seed: u64, count: usize) -> Vec<Engine> {
    let mut rng = Pcg32::seed_from_u64(seed);
    let drawn = (0..count).map(|at| {
        let kind = if rng.random_bool(0.1) { 2 } else { at % 2 };
        Engine { class: EngineClass { zone: at % 14, kind }, stable_hash: rng.random() }
    });
    drawn.collect()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 128, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn ranks_at_an_engine_are_a_permutation_of_the_replicas(stable_hash: u64, replicas in 1_u32..3000) {
        let mut taken = vec![false; replicas as usize];
        for index in 0..replicas {
            let rank = rank(stable_hash, Replica { index, count: replicas });
            prop_assert!(!std::mem::replace(&mut taken[rank], true));
        }
    }

    #[test]
    fn engine_is_held_by_its_budget_sharers_and_beyond_them_only_in_its_zone(
        engines in any_engines(300), replicas in 1_u32..200,
    ) {
        let sets: Vec<WorkingSet> =
            (0..replicas).map(|index| working_set(index, replicas, &engines, 0)).collect();
        for engine in engines.iter().take(20) {
            let memberships = sets.iter().map(|set| (set, set.membership(engine.class, engine.stable_hash)));
            let holders = memberships.filter_map(|(set, membership)| Some((set, membership?)));
            let (sharers, others): (Vec<_>, Vec<_>) =
                holders.partition(|(_, membership)| membership.rank < membership.budget_sharers);
            let base = sets[0].holder_counts(engine.class).map_or(0, |counts| counts.base);
            prop_assert_eq!(sharers.len(), base);
            prop_assert!(base >= MIN_HOLDERS.min(replicas as usize));
            for (set, membership) in others {
                prop_assert!(
                    set.holder_counts(engine.class).is_some_and(|counts| membership.rank < counts.effective)
                );
                let zone = sets.iter().position(|other| other == set).map(|index| index % 14);
                prop_assert_eq!(zone, Some(engine.class.zone));
            }
        }
    }

    #[test]
    fn list_within_target_size_is_held_completely(
        engines in any_engines(TARGET_SET_SIZE + 1), replicas: u32, index: u32,
    ) {
        let set = working_set(index, replicas, &engines, 0);
        prop_assert!(set.includes_all_engines());
        prop_assert_eq!(size(&set, &engines), engines.len());
    }

    #[test]
    fn doublings_only_add_engines_and_are_limited(
        engines in any_engines(1500), replicas in 1_u32..2000, index in 0_u32..2000, doublings: u32,
    ) {
        let sets = [0, 1, 2, doublings].map(|doublings| working_set(index, replicas, &engines, doublings));
        for (smaller, larger) in sets.iter().zip(&sets[1..3]) {
            let pairs = memberships(smaller, &engines).into_iter().zip(memberships(larger, &engines));
            prop_assert!(pairs.into_iter().all(|(before, after)| after || !before));
        }
        prop_assert!(size(&sets[3], &engines) <= size(&sets[2], &engines));
    }

    #[test]
    fn removing_an_engine_drops_no_other_and_adds_some_only_when_holder_counts_change(
        engines in any_engines(1500), replicas in 1_u32..2000, index in 0_u32..2000, removed in 0_usize..1500,
    ) {
        let mut left = engines.clone();
        left.remove(removed % engines.len());
        let (before, after) =
            (working_set(index, replicas, &engines, 0), working_set(index, replicas, &left, 0));
        let pairs = memberships(&before, &left).into_iter().zip(memberships(&after, &left));
        let (added, dropped): (Vec<_>, Vec<_>) =
            pairs.filter(|(before, after)| before != after).partition(|(_, after)| *after);
        let unchanged = left
            .iter()
            .all(|engine| before.holder_counts(engine.class) == after.holder_counts(engine.class));
        prop_assert!(dropped.is_empty(), "removing one engine dropped another");
        prop_assert!(added.is_empty() || !unchanged);
    }

    #[test]
    fn all_engines_of_a_type_with_few_engines_are_held(
        engines in any_engines(1500), replicas: u32, index: u32,
    ) {
        let large: Vec<Engine> = engines
            .iter()
            .filter(|engine| engine.class.kind == 2)
            .take(RESTRICTED_TYPE_SET_SIZE)
            .copied()
            .collect();
        let others = engines.iter().filter(|engine| engine.class.kind != 2).copied();
        let engines: Vec<Engine> = large.iter().copied().chain(others).collect();
        prop_assert_eq!(size(&working_set(index, replicas, &engines, 0), &large), large.len());
    }
}

#[test]
fn working_sets_are_near_target_size_and_cover_both_zone_parts_and_the_restricted_type() {
    let engines = engine_list(1, 2400);
    let indices = (0..1800).step_by(9);
    let sets = indices.map(|index| (index as usize % 14, working_set(index, 1800, &engines, 0)));
    for (zone, set) in sets {
        let held = |matches: &dyn Fn(EngineClass) -> bool| {
            let matching: Vec<Engine> =
                engines.iter().filter(|engine| matches(engine.class)).copied().collect();
            size(&set, &matching)
        };
        let all = held(&|_| true);
        assert!((TARGET_SET_SIZE * 2 / 3..TARGET_SET_SIZE * 7 / 4).contains(&all), "{all} engines held");
        assert!(held(&|class| class.zone == zone) >= TARGET_SET_SIZE / 4);
        assert!(held(&|class| class.zone != zone) >= ANY_ZONE_SET_SIZE / 2);
        assert!(held(&|class| class.kind == 2) >= RESTRICTED_TYPE_SET_SIZE / 3);
    }
}

#[test]
fn list_growth_of_a_tenth_changes_few_memberships() {
    let engines = engine_list(2, 2200);
    let (before, after) = (&engines[..2000], &engines[..]);
    let changed = (0..200).map(|index| {
        let (old, new) = (working_set(index, 1800, before, 0), working_set(index, 1800, after, 0));
        memberships(&old, before)
            .into_iter()
            .zip(memberships(&new, before))
            .filter(|(old, new)| old != new)
            .count()
    });
    let changed: Vec<usize> = changed.collect();
    let (sum, max) = (changed.iter().sum::<usize>(), changed.iter().max().copied());
    assert!(
        sum / 200 <= TARGET_SET_SIZE / 4,
        "{sum} memberships changed in 200 sets for one step of the count"
    );
    assert!(max <= Some(TARGET_SET_SIZE / 2), "{max:?} memberships changed in one set");
}

#[test]
fn small_deployment_holds_all_engines() {
    let engines = engine_list(3, 2400);
    let replicas = MIN_HOLDERS as u32;
    assert!((0..replicas).all(|index| working_set(index, replicas, &engines, 0).includes_all_engines()));
}
