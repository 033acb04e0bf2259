//! What holds of working sets for any list.

use proptest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use woadhook_subset::*;

#[derive(Clone, Copy, Debug)]
struct Engine {
    class: EngineClass,
    mark: u64,
}

fn engine() -> impl Strategy<Value = Engine> {
    (0_usize..14, 0_usize..3, any::<u64>())
        .prop_map(|(zone, kind, mark)| Engine { class: EngineClass { zone, kind }, mark })
}

fn engines(most: usize) -> impl Strategy<Value = Vec<Engine>> {
    proptest::collection::vec(engine(), 1..most)
}

fn census(engines: &[Engine]) -> EngineCounts {
    let mut census = EngineCounts::default();
    engines.iter().for_each(|engine| census.add(engine.class));
    census
}

fn large_machines_only() -> Vec<Restriction> {
    vec![Restriction { zones: None, kinds: Some(vec![2]) }]
}

fn plan(number: u32, replicas: u32, engines: &[Engine], doublings: u32) -> WorkingSet {
    let replica = Replica { index: number, count: replicas };
    WorkingSet::new(replica, number as usize % 14, &large_machines_only(), &census(engines), doublings)
}

fn held(plan: &WorkingSet, engines: &[Engine]) -> Vec<bool> {
    engines.iter().map(|engine| plan.membership(engine.class, engine.mark).is_some()).collect()
}

fn size(plan: &WorkingSet, engines: &[Engine]) -> usize {
    held(plan, engines).into_iter().filter(|held| *held).count()
}

/// A list from a seed: so many engines, one in ten a large machine.
fn list(seed: u64, count: usize) -> Vec<Engine> {
    let mut chance = Pcg32::seed_from_u64(seed);
    let drawn = (0..count).map(|at| {
        let kind = if chance.random_bool(0.1) { 2 } else { at % 2 };
        Engine { class: EngineClass { zone: at % 14, kind }, mark: chance.random() }
    });
    drawn.collect()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 128, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn an_engine_orders_all_replicas(mark: u64, replicas in 1_u32..3000) {
        let mut met = vec![false; replicas as usize];
        for number in 0..replicas {
            let rank = rank(mark, Replica { index: number, count: replicas });
            prop_assert!(!std::mem::replace(&mut met[rank], true));
        }
    }

    #[test]
    fn an_engine_is_held_by_all_its_sharers_and_by_no_other_but_those_of_its_zone(
        engines in engines(300), replicas in 1_u32..200,
    ) {
        let plans: Vec<WorkingSet> = (0..replicas).map(|number| plan(number, replicas, &engines, 0)).collect();
        for engine in engines.iter().take(20) {
            let holdings = plans.iter().map(|plan| (plan, plan.membership(engine.class, engine.mark)));
            let held = holdings.filter_map(|(plan, holding)| Some((plan, holding?)));
            let (sharers, others): (Vec<_>, Vec<_>) = held.partition(|(_, held)| held.rank < held.budget_sharers);
            let share = plans[0].holder_counts(engine.class).map_or(0, |share| share.base);
            prop_assert_eq!(sharers.len(), share);
            prop_assert!(share >= MIN_HOLDERS.min(replicas as usize));
            for (plan, held) in others {
                prop_assert!(plan.holder_counts(engine.class).is_some_and(|share| held.rank < share.effective));
                let zone = plans.iter().position(|other| other == plan).map(|number| number % 14);
                prop_assert_eq!(zone, Some(engine.class.zone));
            }
        }
    }

    #[test]
    fn where_all_engines_fit_each_is_held(engines in engines(TARGET_SET_SIZE + 1), replicas: u32, number: u32) {
        let plan = plan(number, replicas, &engines, 0);
        prop_assert!(plan.includes_all_engines());
        prop_assert_eq!(size(&plan, &engines), engines.len());
    }

    #[test]
    fn growth_only_adds_and_no_more_than_its_bound(
        engines in engines(1500), replicas in 1_u32..2000, number in 0_u32..2000, doublings: u32,
    ) {
        let plans = [0, 1, 2, doublings].map(|doublings| plan(number, replicas, &engines, doublings));
        for (smaller, larger) in plans.iter().zip(&plans[1..3]) {
            let pairs = held(smaller, &engines).into_iter().zip(held(larger, &engines));
            prop_assert!(pairs.into_iter().all(|(before, after)| after || !before));
        }
        prop_assert!(size(&plans[3], &engines) <= size(&plans[2], &engines));
    }

    #[test]
    fn an_engine_that_comes_or_goes_gives_or_takes_others_but_never_both(
        engines in engines(1500), replicas in 1_u32..2000, number in 0_u32..2000, lost in 0_usize..1500,
    ) {
        let mut left = engines.clone();
        left.remove(lost % engines.len());
        let (before, after) = (plan(number, replicas, &engines, 0), plan(number, replicas, &left, 0));
        let pairs = held(&before, &left).into_iter().zip(held(&after, &left));
        let (given, taken): (Vec<_>, Vec<_>) =
            pairs.filter(|(before, after)| before != after).partition(|(_, after)| *after);
        let same = left.iter().all(|engine| before.holder_counts(engine.class) == after.holder_counts(engine.class));
        prop_assert!(taken.is_empty(), "fewer engines are held no thinner");
        prop_assert!(given.is_empty() || !same);
    }

    #[test]
    fn a_type_of_few_engines_has_all_of_them(engines in engines(1500), replicas: u32, number: u32) {
        let large: Vec<Engine> = engines.iter().filter(|e| e.class.kind == 2).take(RESTRICTED_TYPE_SET_SIZE).copied().collect();
        let others = engines.iter().filter(|engine| engine.class.kind != 2).copied();
        let engines: Vec<Engine> = large.iter().copied().chain(others).collect();
        prop_assert_eq!(size(&plan(number, replicas, &engines, 0), &large), large.len());
    }
}

#[test]
fn sets_of_many_routers_are_near_their_mean_and_have_enough_near_far_and_of_each_type() {
    let engines = list(1, 2400);
    let numbers = (0..1800).step_by(9);
    let plans = numbers.map(|number| (number as usize % 14, plan(number, 1800, &engines, 0)));
    for (zone, plan) in plans {
        let held = |of: &dyn Fn(EngineClass) -> bool| {
            let some: Vec<Engine> = engines.iter().filter(|engine| of(engine.class)).copied().collect();
            size(&plan, &some)
        };
        let all = held(&|_| true);
        assert!((TARGET_SET_SIZE * 2 / 3..TARGET_SET_SIZE * 7 / 4).contains(&all), "{all} engines held");
        assert!(held(&|class| class.zone == zone) >= TARGET_SET_SIZE / 4);
        assert!(held(&|class| class.zone != zone) >= ANY_ZONE_SET_SIZE / 2);
        assert!(held(&|class| class.kind == 2) >= RESTRICTED_TYPE_SET_SIZE / 3);
    }
}

#[test]
fn few_engines_change_hands_while_a_list_grows_by_a_tenth() {
    let engines = list(2, 2200);
    let (before, after) = (&engines[..2000], &engines[..]);
    let changed = (0..200).map(|number| {
        let (old, new) = (plan(number, 1800, before, 0), plan(number, 1800, after, 0));
        held(&old, before).into_iter().zip(held(&new, before)).filter(|(old, new)| old != new).count()
    });
    let changed: Vec<usize> = changed.collect();
    let (sum, most) = (changed.iter().sum::<usize>(), changed.iter().max().copied());
    assert!(sum / 200 <= TARGET_SET_SIZE / 4, "{sum} engines left 200 sets for a step of the count");
    assert!(most <= Some(TARGET_SET_SIZE / 2), "{most:?} left one set");
}

#[test]
fn a_router_among_few_holds_all_engines() {
    let engines = list(3, 2400);
    let replicas = MIN_HOLDERS as u32;
    assert!((0..replicas).all(|number| plan(number, replicas, &engines, 0).includes_all_engines()));
}
