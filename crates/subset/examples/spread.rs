//! Compares algorithms that assign working sets for many routers and many engines. It prints how evenly
//! connections and load spread over the engines, and how many memberships change when engines leave or
//! restart; `docs/design/subsetting.md` cites the figures.

use std::collections::{HashMap, HashSet};

use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use woadhook_subset::*;

const ROUTERS: u32 = 1800;
const ENGINES: usize = 2400;
const ZONES: usize = 14;
/// Engines in one rack; all engines of a rack are in one zone.
const ENGINES_PER_RACK: usize = 40;
const RESTARTED_ENGINES: usize = 640;
const TABLE_GROUPS: u64 = 200;
/// The traffic of the hot router, as a multiple of the mean.
const HOT_ROUTER_TRAFFIC: f64 = 10.0;

#[derive(Clone, Copy)]
struct Engine {
    class: EngineClass,
    stable_hash: u64,
}

/// For each router, the engines of its working set.
type WorkingSets = Vec<Vec<Engine>>;

#[derive(Clone, Copy)]
enum Algorithm {
    /// Each engine picks its routers, with no preference for a zone.
    EnginePicks,
    /// Each engine picks its routers, and prefers those of its own zone.
    EnginePicksByZone,
    /// Each router takes its first engines by rendezvous hashing, half of them from its own zone.
    Rendezvous,
    /// Groups of routers split a shuffled list of the engines among them, one list for each group.
    ShuffledRounds,
}

impl Algorithm {
    fn name(self) -> &'static str {
        match self {
            Algorithm::EnginePicks => "engines pick routers",
            Algorithm::EnginePicksByZone => "engines pick routers, half from their own zone",
            Algorithm::Rendezvous => "rendezvous hashing by router, half from its own zone",
            Algorithm::ShuffledRounds => "rounds over a shuffled list",
        }
    }

    fn working_sets(self, zones: &[usize], engines: &[Engine]) -> WorkingSets {
        let routers = (0..).zip(zones.iter().copied());
        match self {
            Algorithm::EnginePicks => {
                routers.map(|(index, _)| picked_by_engines(index, usize::MAX, engines)).collect()
            }
            Algorithm::EnginePicksByZone => {
                routers.map(|(index, zone)| picked_by_engines(index, zone, engines)).collect()
            }
            Algorithm::Rendezvous => routers.map(|(index, zone)| rendezvous(index, zone, engines)).collect(),
            Algorithm::ShuffledRounds => routers.map(|(index, _)| shuffled_rounds(index, engines)).collect(),
        }
    }
}

/// The working set of one router if engines pick their routers. With the zone `usize::MAX`, the set is drawn
/// from the engines of all zones alike.
fn picked_by_engines(index: u32, zone: usize, engines: &[Engine]) -> Vec<Engine> {
    let effective_class =
        |class: EngineClass| if zone == usize::MAX { EngineClass { zone: 0, ..class } } else { class };
    let mut counts = EngineCounts::default();
    engines.iter().for_each(|engine| counts.add(effective_class(engine.class)));
    let own_zone = if zone == usize::MAX { 0 } else { zone };
    let set = WorkingSet::new(Replica { index, count: ROUTERS }, own_zone, &[], &counts, 0);
    let is_held =
        |engine: &&Engine| set.membership(effective_class(engine.class), engine.stable_hash).is_some();
    engines.iter().filter(is_held).copied().collect()
}

fn rendezvous(index: u32, zone: usize, engines: &[Engine]) -> Vec<Engine> {
    let weight = |engine: &Engine| Pcg32::new(u64::from(index), engine.stable_hash).random::<u64>();
    let (mut own_zone, mut other_zones): (Vec<Engine>, Vec<Engine>) =
        engines.iter().copied().partition(|engine| engine.class.zone == zone);
    own_zone.sort_by_cached_key(weight);
    other_zones.sort_by_cached_key(weight);
    own_zone.truncate(TARGET_SET_SIZE - ANY_ZONE_SET_SIZE);
    other_zones.truncate(ANY_ZONE_SET_SIZE);
    own_zone.into_iter().chain(other_zones).collect()
}

fn shuffled_rounds(index: u32, engines: &[Engine]) -> Vec<Engine> {
    let sets_per_round = engines.len() / TARGET_SET_SIZE;
    let mut shuffled = engines.to_vec();
    shuffled.sort_by_key(|engine| engine.stable_hash);
    shuffled.shuffle(&mut Pcg32::seed_from_u64(u64::from(index) / sets_per_round as u64));
    shuffled
        .into_iter()
        .skip(index as usize % sets_per_round * TARGET_SET_SIZE)
        .take(TARGET_SET_SIZE)
        .collect()
}

fn engine_list(rng: &mut Pcg32) -> Vec<Engine> {
    let engine = |at: usize| Engine {
        class: EngineClass { zone: at / ENGINES_PER_RACK % ZONES, kind: 0 },
        stable_hash: rng.random(),
    };
    (0..ENGINES).map(engine).collect()
}

/// For each engine, the sum over the routers that hold it of `contribution`, which is called with the router,
/// its working set and the engine.
fn sums_by_engine(
    sets: &WorkingSets, engines: &[Engine], contribution: impl Fn(usize, &[Engine], &Engine) -> f64,
) -> Vec<f64> {
    let positions: HashMap<u64, usize> =
        engines.iter().enumerate().map(|(position, engine)| (engine.stable_hash, position)).collect();
    let mut sums = vec![0.0; engines.len()];
    for (router, set) in sets.iter().enumerate() {
        for engine in set {
            sums[positions[&engine.stable_hash]] += contribution(router, set, engine);
        }
    }
    sums
}

fn max_over_mean(sums: &[f64]) -> f64 {
    sums.iter().copied().fold(0.0, f64::max) * sums.len() as f64 / sums.iter().sum::<f64>()
}

/// The number of engines that a router gains and loses, as mean and maximum over the routers. Only engines
/// for whose stable hash `is_compared` is true are counted.
fn membership_changes(
    before: &WorkingSets, after: &WorkingSets, is_compared: impl Fn(u64) -> bool,
) -> (f64, usize) {
    let changed = before.iter().zip(after).map(|(before, after)| {
        let compared = |set: &Vec<Engine>| -> HashSet<u64> {
            set.iter().map(|engine| engine.stable_hash).filter(|hash| is_compared(*hash)).collect()
        };
        compared(before).symmetric_difference(&compared(after)).count()
    });
    let changed: Vec<usize> = changed.collect();
    let mean = changed.iter().sum::<usize>() as f64 / changed.len() as f64;
    (mean, changed.into_iter().max().unwrap_or_default())
}

/// Mean number of engines to which the jobs of a table group go if each router sends them to the engine of
/// its working set that is first by rendezvous hashing.
fn engines_per_table_group(sets: &WorkingSets) -> f64 {
    let counts = (0..TABLE_GROUPS).map(|group| {
        let weight = |engine: &&Engine| Pcg32::new(group, engine.stable_hash).random::<u64>();
        let first =
            sets.iter().filter_map(|set| set.iter().min_by_key(weight)).map(|engine| engine.stable_hash);
        first.collect::<HashSet<u64>>().len()
    });
    counts.sum::<usize>() as f64 / TABLE_GROUPS as f64
}

fn report(algorithm: Algorithm, zones: &[usize], engines: &[Engine], rng: &mut Pcg32) {
    let sets = algorithm.working_sets(zones, engines);
    let sizes = sets.iter().map(Vec::len);
    let mean = sizes.clone().sum::<usize>() as f64 / sets.len() as f64;
    println!("{}", algorithm.name());
    println!(
        "  working set: {mean:.1} engines on average, {} to {}",
        sizes.clone().min().unwrap_or_default(),
        sizes.max().unwrap_or_default()
    );
    let connections = sums_by_engine(&sets, engines, |_, _, _| 1.0);
    let even = sums_by_engine(&sets, engines, |_, set, _| 1.0 / set.len() as f64);
    let own_zone = sums_by_engine(&sets, engines, |router, set, engine| {
        let in_zone = set.iter().filter(|other| other.class.zone == zones[router]).count();
        if engine.class.zone == zones[router] { 1.0 / in_zone as f64 } else { 0.0 }
    });
    let hot = sums_by_engine(&sets, engines, |router, set, _| {
        (if router == 0 { HOT_ROUTER_TRAFFIC } else { 1.0 }) / set.len() as f64
    });
    println!("  maximum over mean: connections {:.3}", max_over_mean(&connections));
    println!(
        "    load spread over the set {:.3}, over its engines in the router's zone {:.3}, with one router of ten times the traffic {:.3}",
        max_over_mean(&even),
        max_over_mean(&own_zone),
        max_over_mean(&hot)
    );
    println!("  engines per table group: {:.1}", engines_per_table_group(&sets));
    let rack: Vec<Engine> = engines[ENGINES_PER_RACK..].to_vec();
    let zone: Vec<Engine> = engines.iter().filter(|engine| engine.class.zone != 0).copied().collect();
    let mut restarted = engines.to_vec();
    let new_hashes: Vec<u64> = (0..RESTARTED_ENGINES).map(|_| rng.random()).collect();
    let spaced = restarted.iter_mut().step_by(ENGINES / RESTARTED_ENGINES);
    spaced.zip(&new_hashes).for_each(|(engine, hash)| engine.stable_hash = *hash);
    let losses =
        [("one engine leaves", engines[1..].to_vec()), ("a rack leaves", rack), ("a zone leaves", zone)];
    for (loss, left) in losses {
        let kept: HashSet<u64> = left.iter().map(|engine| engine.stable_hash).collect();
        let (mean, max) =
            membership_changes(&sets, &algorithm.working_sets(zones, &left), |hash| kept.contains(&hash));
        println!("  {loss}: {mean:.2} memberships of other engines change per router, {max} at most");
    }
    let after = algorithm.working_sets(zones, &restarted);
    let hashes =
        |engines: &[Engine]| engines.iter().map(|engine| engine.stable_hash).collect::<HashSet<u64>>();
    let both: HashSet<u64> = hashes(engines).intersection(&hashes(&restarted)).copied().collect();
    let (mean, max) = membership_changes(&sets, &after, |hash| both.contains(&hash));
    let connections = sums_by_engine(&after, &restarted, |_, _, _| 1.0);
    let of_restarted: Vec<f64> = restarted
        .iter()
        .zip(&connections)
        .filter(|(engine, _)| new_hashes.contains(&engine.stable_hash))
        .map(|(_, count)| *count)
        .collect();
    let (fewest, most) = (
        of_restarted.iter().copied().fold(f64::MAX, f64::min),
        of_restarted.iter().copied().fold(0.0, f64::max),
    );
    println!(
        "  {RESTARTED_ENGINES} engines restart under new names: {mean:.2} memberships of other engines change per router, {max} at most; a restarted engine has {fewest} to {most} routers"
    );
}

fn main() {
    let mut rng = Pcg32::seed_from_u64(1);
    let engines = engine_list(&mut rng);
    let round_robin: Vec<usize> = (0..ROUTERS as usize).map(|index| index % ZONES).collect();
    let random: Vec<usize> = (0..ROUTERS).map(|_| rng.random_range(0..ZONES)).collect();
    for (assignment, zones) in
        [("assigned to zones in turn", round_robin), ("assigned to zones at random", random)]
    {
        println!("{ROUTERS} routers {assignment}, {ENGINES} engines");
        for algorithm in [
            Algorithm::EnginePicks,
            Algorithm::EnginePicksByZone,
            Algorithm::Rendezvous,
            Algorithm::ShuffledRounds,
        ] {
            report(algorithm, &zones, &engines, &mut rng);
        }
    }
}
