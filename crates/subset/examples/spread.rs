//! Compares ways to draw working sets for many routers before many engines, in figures of `docs/design/subsetting.md`:
//! spread of connections and load over engines, and who changes hands when engines go or restart.

use std::collections::{HashMap, HashSet};

use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use woadhook_subset::*;

const ROUTERS: u32 = 1800;
const ENGINES: usize = 2400;
const ZONES: usize = 14;
/// Engines that stand in one rack; those of a rack are of one zone.
const RACK: usize = 40;
const RESTARTED: usize = 640;
const GROUPS: u64 = 200;
/// The traffic of one router in the story of a hot one, over the mean.
const HOT: f64 = 10.0;

#[derive(Clone, Copy)]
struct Engine {
    class: EngineClass,
    mark: u64,
}

/// Who holds what: for each router, the marks of its engines in their order.
type Sets = Vec<Vec<Engine>>;

#[derive(Clone, Copy)]
enum Way {
    /// Each engine picks its routers; no zone is preferred.
    Engines,
    /// Each engine picks its routers, more of its own zone.
    EnginesNear,
    /// Each router takes its first engines by rendezvous, half of them from its own zone.
    Rendezvous,
    /// Routers share out a shuffled list in rounds.
    Rounds,
}

impl Way {
    fn name(self) -> &'static str {
        match self {
            Way::Engines => "engines pick routers",
            Way::EnginesNear => "engines pick routers, half near",
            Way::Rendezvous => "rendezvous by router, half near",
            Way::Rounds => "rounds over a shuffled list",
        }
    }

    fn sets(self, zones: &[usize], engines: &[Engine]) -> Sets {
        let numbers = (0..).zip(zones.iter().copied());
        match self {
            Way::Engines => numbers.map(|(number, _)| picked(number, usize::MAX, engines)).collect(),
            Way::EnginesNear => numbers.map(|(number, zone)| picked(number, zone, engines)).collect(),
            Way::Rendezvous => numbers.map(|(number, zone)| rendezvous(number, zone, engines)).collect(),
            Way::Rounds => numbers.map(|(number, _)| rounds(number, engines)).collect(),
        }
    }
}

/// The set of one router where engines pick; in no zone, its set is drawn from all engines alike.
fn picked(number: u32, zone: usize, engines: &[Engine]) -> Vec<Engine> {
    let in_zone = |class: EngineClass| if zone == usize::MAX { EngineClass { zone: 0, ..class } } else { class };
    let mut census = EngineCounts::default();
    engines.iter().for_each(|engine| census.add(in_zone(engine.class)));
    let home = if zone == usize::MAX { 0 } else { zone };
    let plan = WorkingSet::new(Replica { index: number, count: ROUTERS }, home, &[], &census, 0);
    let held = |engine: &&Engine| plan.membership(in_zone(engine.class), engine.mark).is_some();
    engines.iter().filter(held).copied().collect()
}

fn rendezvous(number: u32, zone: usize, engines: &[Engine]) -> Vec<Engine> {
    let weight = |engine: &Engine| Pcg32::new(u64::from(number), engine.mark).random::<u64>();
    let (mut near, mut far): (Vec<Engine>, Vec<Engine>) =
        engines.iter().copied().partition(|engine| engine.class.zone == zone);
    near.sort_by_cached_key(weight);
    far.sort_by_cached_key(weight);
    near.truncate(TARGET_SET_SIZE - ANY_ZONE_SET_SIZE);
    far.truncate(ANY_ZONE_SET_SIZE);
    near.into_iter().chain(far).collect()
}

fn rounds(number: u32, engines: &[Engine]) -> Vec<Engine> {
    let sets = engines.len() / TARGET_SET_SIZE;
    let mut shuffled = engines.to_vec();
    shuffled.sort_by_key(|engine| engine.mark);
    shuffled.shuffle(&mut Pcg32::seed_from_u64(u64::from(number) / sets as u64));
    shuffled.into_iter().skip(number as usize % sets * TARGET_SET_SIZE).take(TARGET_SET_SIZE).collect()
}

fn list(chance: &mut Pcg32) -> Vec<Engine> {
    let engine =
        |at: usize| Engine { class: EngineClass { zone: at / RACK % ZONES, kind: 0 }, mark: chance.random() };
    (0..ENGINES).map(engine).collect()
}

/// What each engine gets where each router gives its engines so much each.
fn sums(sets: &Sets, engines: &[Engine], gives: impl Fn(usize, &[Engine], &Engine) -> f64) -> Vec<f64> {
    let places: HashMap<u64, usize> =
        engines.iter().enumerate().map(|(place, engine)| (engine.mark, place)).collect();
    let mut sums = vec![0.0; engines.len()];
    for (number, set) in sets.iter().enumerate() {
        for engine in set {
            sums[places[&engine.mark]] += gives(number, set, engine);
        }
    }
    sums
}

fn largest_over_mean(sums: &[f64]) -> f64 {
    sums.iter().copied().fold(0.0, f64::max) * sums.len() as f64 / sums.iter().sum::<f64>()
}

/// How many engines that are in both lists a router gains and loses, on average and at most.
fn changes(before: &Sets, after: &Sets, stays: impl Fn(u64) -> bool) -> (f64, usize) {
    let changed = before.iter().zip(after).map(|(before, after)| {
        let mark = |set: &Vec<Engine>| -> HashSet<u64> {
            set.iter().map(|engine| engine.mark).filter(|mark| stays(*mark)).collect()
        };
        mark(before).symmetric_difference(&mark(after)).count()
    });
    let changed: Vec<usize> = changed.collect();
    let mean = changed.iter().sum::<usize>() as f64 / changed.len() as f64;
    (mean, changed.into_iter().max().unwrap_or_default())
}

/// How many engines a table group's jobs go to on average, where each router has its own first by rendezvous.
fn homes(sets: &Sets) -> f64 {
    let homes = (0..GROUPS).map(|group| {
        let weight = |engine: &&Engine| Pcg32::new(group, engine.mark).random::<u64>();
        let first = sets.iter().filter_map(|set| set.iter().min_by_key(weight)).map(|engine| engine.mark);
        first.collect::<HashSet<u64>>().len()
    });
    homes.sum::<usize>() as f64 / GROUPS as f64
}

fn report(way: Way, zones: &[usize], engines: &[Engine], chance: &mut Pcg32) {
    let sets = way.sets(zones, engines);
    let sizes = sets.iter().map(Vec::len);
    let mean = sizes.clone().sum::<usize>() as f64 / sets.len() as f64;
    println!("{}", way.name());
    println!(
        "  set: {mean:.1} on average, {} to {}",
        sizes.clone().min().unwrap_or_default(),
        sizes.max().unwrap_or_default()
    );
    let connections = sums(&sets, engines, |_, _, _| 1.0);
    let even = sums(&sets, engines, |_, set, _| 1.0 / set.len() as f64);
    let near = sums(&sets, engines, |number, set, engine| {
        let near = set.iter().filter(|other| other.class.zone == zones[number]).count();
        if engine.class.zone == zones[number] { 1.0 / near as f64 } else { 0.0 }
    });
    let hot = sums(&sets, engines, |number, set, _| if number == 0 { HOT } else { 1.0 } / set.len() as f64);
    println!("  largest over mean: connections {:.3}", largest_over_mean(&connections));
    println!(
        "    load spread over the set {:.3}, over its near part {:.3}, with one router of ten times the traffic {:.3}",
        largest_over_mean(&even),
        largest_over_mean(&near),
        largest_over_mean(&hot)
    );
    println!("  engines that a table group goes to: {:.1}", homes(&sets));
    let rack: Vec<Engine> = engines[RACK..].to_vec();
    let zone: Vec<Engine> = engines.iter().filter(|engine| engine.class.zone != 0).copied().collect();
    let mut restarted = engines.to_vec();
    let fresh: Vec<u64> = (0..RESTARTED).map(|_| chance.random()).collect();
    let spaced = restarted.iter_mut().step_by(ENGINES / RESTARTED);
    spaced.zip(&fresh).for_each(|(engine, mark)| engine.mark = *mark);
    let stories = [("one engine goes", engines[1..].to_vec()), ("a rack goes", rack), ("a zone goes", zone)];
    for (story, left) in stories {
        let kept: HashSet<u64> = left.iter().map(|engine| engine.mark).collect();
        let (mean, most) = changes(&sets, &way.sets(zones, &left), |mark| kept.contains(&mark));
        println!("  {story}: {mean:.2} others change hands at a router, {most} at most");
    }
    let after = way.sets(zones, &restarted);
    let listed = |engines: &[Engine]| engines.iter().map(|engine| engine.mark).collect::<HashSet<u64>>();
    let both: HashSet<u64> = listed(engines).intersection(&listed(&restarted)).copied().collect();
    let (mean, most) = changes(&sets, &after, |mark| both.contains(&mark));
    let connections = sums(&after, &restarted, |_, _, _| 1.0);
    let newcomers: Vec<f64> = restarted
        .iter()
        .zip(&connections)
        .filter(|(e, _)| fresh.contains(&e.mark))
        .map(|(_, n)| *n)
        .collect();
    let (least, largest) =
        (newcomers.iter().copied().fold(f64::MAX, f64::min), newcomers.iter().copied().fold(0.0, f64::max));
    println!(
        "  {RESTARTED} come back under new names: {mean:.2} others change hands, {most} at most; a newcomer has {least} to {largest} routers"
    );
}

fn main() {
    let mut chance = Pcg32::seed_from_u64(1);
    let engines = list(&mut chance);
    let in_turn: Vec<usize> = (0..ROUTERS as usize).map(|number| number % ZONES).collect();
    let drawn: Vec<usize> = (0..ROUTERS).map(|_| chance.random_range(0..ZONES)).collect();
    for (words, zones) in [("numbered in turn over the zones", in_turn), ("of zones drawn by chance", drawn)]
    {
        println!("{ROUTERS} routers {words}, {ENGINES} engines");
        for way in [Way::Engines, Way::EnginesNear, Way::Rendezvous, Way::Rounds] {
            report(way, &zones, &engines, &mut chance);
        }
    }
}
