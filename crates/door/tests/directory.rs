//! What a directory tells the module of lists that are drawn, or that change at once.

use std::collections::{BTreeMap, BTreeSet};

use proptest::prelude::*;
use woadhook::*;
use woadhook_door::{Directory, Door, Layout, Line, Listing};
use woadhook_subset::SET;

const REPLICAS: usize = 1800;

fn directory() -> Directory<()> {
    let fleet = Fleet {
        zone: ZoneId(0),
        replicas: REPLICAS,
        number: 5,
        cores: vec![8.0],
        memory: vec![1000.0],
        crossing_price: 0.0,
    };
    Directory::new(Layout::new(&fleet, &[]))
}

fn line(engine: usize, listed: Listed) -> (String, Line<()>) {
    let (zone, cell) = (ZoneId(engine % 14), CellId(0));
    (format!("s-{engine}"), Line { at: (), zone, kind: KindId(0), cell, listed, came_up: None })
}

fn lines(engines: std::ops::Range<usize>, listed: Listed) -> Vec<(String, Line<()>)> {
    engines.map(|engine| line(engine, listed)).collect()
}

/// A module's names: it takes in what it is told, and forgets at once what it may.
fn hear(known: &mut Door, told: &[Listing<()>]) {
    for Listing { name, line, .. } in told {
        let index = known.admit(name);
        if matches!(line.listed, Listed::Gone | Listed::Outside) {
            known.forget(index);
        }
    }
}

fn count(told: &[Listing<()>], listed: Listed) -> usize {
    told.iter().filter(|told| told.line.listed == listed).count()
}

#[test]
fn where_all_engines_fit_each_line_is_told_as_it_came() {
    let (mut directory, mut known) = (directory(), Door::default());
    for (lines, complete) in [
        (lines(0..80, Listed::Live), true),
        (vec![line(7, Listed::Draining), line(3, Listed::Gone), line(90, Listed::Gone)], false),
        (lines(10..60, Listed::Live), true),
    ] {
        let told = directory.take_in(&lines, complete, &known);
        let as_it_came = lines.iter().map(|(name, line)| (name, line, None));
        assert!(told.iter().map(|told| (&told.name, &told.line, told.place)).eq(as_it_came));
        assert!(!directory.may_widen());
        hear(&mut known, &told);
    }
}

#[test]
fn a_list_that_grows_from_80_to_2400_and_back_leaves_what_is_held_within_its_bound() {
    let (mut directory, mut known) = (directory(), Door::default());
    let told = directory.take_in(&lines(0..80, Listed::Live), true, &known);
    hear(&mut known, &told);
    let told = directory.take_in(&lines(80..2400, Listed::Live), false, &known);
    hear(&mut known, &told);
    let (held, left) = (count(&told, Listed::Live), count(&told, Listed::Outside));
    assert!((SET / 2..SET * 2).contains(&held) && (40..80).contains(&left), "{held} held, {left} left");
    assert!(told.iter().all(|told| told.place.is_some() == (told.line.listed == Listed::Live)));
    assert!(directory.may_widen());
    let told = directory.take_in(&lines(80..2400, Listed::Gone), false, &known);
    hear(&mut known, &told);
    assert_eq!((count(&told, Listed::Live), directory.lines().count()), (80, 80));
    assert!(count(&told, Listed::Gone) < SET * 2, "of those outside nothing is told");
    assert!(told.iter().all(|told| told.place.is_none()));
}

#[test]
fn a_widened_set_keeps_what_it_held_and_lets_go_of_the_rest_when_it_is_narrowed() {
    let (mut directory, mut known) = (directory(), Door::default());
    let usual = directory.take_in(&lines(0..2400, Listed::Live), true, &known);
    hear(&mut known, &usual);
    let names = |told: &[Listing<()>]| -> BTreeSet<String> {
        let held = told.iter().filter(|told| told.line.listed == Listed::Live);
        held.map(|told| told.name.clone()).collect()
    };
    let wide = directory.widen(&known);
    hear(&mut known, &wide);
    let widest = directory.widen(&known);
    hear(&mut known, &widest);
    assert!(names(&usual).is_subset(&names(&wide)) && names(&wide).is_subset(&names(&widest)));
    assert!(names(&wide).len() > SET * 3 / 2 && names(&widest).len() < SET * 5);
    assert!(!directory.may_widen() && directory.widen(&known).is_empty());
    let told = directory.narrow(&known);
    assert_eq!(names(&told), names(&usual));
    assert_eq!(count(&told, Listed::Outside), widest.len() - usual.len());
}

/// The engines that a module may send jobs to, each with its place.
type Held = BTreeMap<String, Option<Place>>;

/// What a module that hears so holds, and the names that it knows.
fn follow(known: &mut Door, held: &mut Held, told: &[Listing<()>]) {
    for Listing { name, line, place } in told {
        let index = known.admit(name);
        held.remove(name);
        match line.listed {
            Listed::Live => _ = held.insert(name.clone(), *place),
            Listed::Draining => {}
            Listed::Gone | Listed::Outside => known.forget(index),
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever is listed in whatever order, the module knows no engine that is gone, and holds what a directory
    /// would that was told the same engines at once.
    #[test]
    fn what_is_held_follows_from_the_list_alone(
        events in proptest::collection::vec((0_usize..1500, 0_usize..600, 0_u8..4, any::<bool>()), 1..12),
    ) {
        let (mut one, mut known) = (directory(), Door::default());
        let mut held = Held::new();
        for (from, some, listed, complete) in events {
            let listed = [Listed::Live, Listed::Live, Listed::Draining, Listed::Gone][usize::from(listed)];
            let told = one.take_in(&lines(from..from + some, listed), complete, &known);
            if complete {
                let named: Vec<&str> = told.iter().map(|told| told.name.as_str()).collect();
                held.retain(|name, _| named.contains(&name.as_str()));
            }
            follow(&mut known, &mut held, &told);
        }
        let all: Vec<(String, Line<()>)> = one.lines().map(|(name, line)| (name.to_owned(), *line)).collect();
        let (mut other, mut afresh) = (directory(), Held::new());
        let told = other.take_in(&all, true, &Door::default());
        follow(&mut Door::default(), &mut afresh, &told);
        prop_assert_eq!(held, afresh);
    }
}
