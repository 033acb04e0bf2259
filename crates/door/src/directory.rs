//! The engine list as it was told, and which of its engines the router holds: its working set.

use std::collections::{BTreeMap, BTreeSet};

use woadhook::*;
use woadhook_subset::{Census, Class, Holding, MOST_DOUBLINGS, Plan, Replica, Restriction};

use crate::names::{Door, mark_of};

/// A line of the engine list; `A` is where the host finds the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Line<A> {
    pub at: A,
    pub zone: ZoneId,
    pub kind: KindId,
    pub cell: CellId,
    pub listed: Listed,
    pub came_up: Option<Moment>,
}

impl<A> Line<A> {
    fn class(&self) -> Class {
        Class { zone: self.zone.0, kind: self.kind.0 }
    }
}

/// What the module is to be told of an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listing<A> {
    pub name: String,
    pub line: Line<A>,
    /// Where not all replicas hold it.
    pub place: Option<Place>,
}

/// What the working set follows from, of the settings.
#[derive(Clone, Debug)]
pub struct Layout {
    replica: Replica,
    zone: usize,
    restrictions: Vec<Restriction>,
}

impl Layout {
    pub fn new(fleet: &Fleet, types: &[ReservationType]) -> Self {
        let bounded = |number: usize| u32::try_from(number).unwrap_or(u32::MAX);
        let replica = Replica { number: bounded(fleet.number), replicas: bounded(fleet.replicas) };
        let restricted = types.iter().filter(|kind| kind.zones.is_some() || kind.kinds.is_some());
        Self { replica, zone: fleet.zone.0, restrictions: restricted.map(restriction).collect() }
    }

    fn plan(&self, census: &Census, doublings: u32) -> Plan {
        Plan::new(self.replica, self.zone, &self.restrictions, census, doublings)
    }
}

fn restriction(kind: &ReservationType) -> Restriction {
    let zones = kind.zones.as_ref().map(|zones| zones.iter().map(|zone| zone.0).collect());
    let kinds = kind.kinds.as_ref().map(|kinds| kinds.iter().map(|kind| kind.0).collect());
    Restriction { zones, kinds }
}

/// All engines of the list, a line each, and the working set among them.
pub struct Directory<A> {
    layout: Layout,
    /// Emptied of engines that are gone. In the order of names, so that the same events have the same effect.
    lines: BTreeMap<String, Line<A>>,
    plan: Plan,
    doublings: u32,
}

impl<A: Copy> Directory<A> {
    pub fn new(layout: Layout) -> Self {
        let plan = layout.plan(&Census::default(), 0);
        Self { layout, lines: BTreeMap::new(), plan, doublings: 0 }
    }

    /// Takes in lines of the list; engines that a complete list does not name are gone. It gives what the module is
    /// to be told, the lines first and in their order: all engines of the working set, and those that have left it
    /// while the module, whose names are given, still knows them.
    pub fn take_in(&mut self, lines: &[(String, Line<A>)], complete: bool, known: &Door) -> Vec<Listing<A>> {
        let named: BTreeSet<&str> = lines.iter().map(|(name, _)| name.as_str()).collect();
        if complete {
            self.lines.retain(|name, _| named.contains(name.as_str()));
        }
        self.lines.extend(lines.iter().cloned());
        let was_whole = self.plan.is_whole();
        let changed = self.plan_again();
        let all = was_whole && self.plan.is_whole();
        let told = lines.iter().filter_map(|(name, line)| self.listing(name, *line, known, all));
        let mut told: Vec<Listing<A>> = told.collect();
        if changed {
            let others = self.lines.iter().filter(|(name, _)| !named.contains(name.as_str()));
            told.extend(others.filter_map(|(name, line)| self.listing(name, *line, known, false)));
        }
        self.lines.retain(|_, line| line.listed != Listed::Gone);
        told
    }

    /// Doubles the working set, within its bound, and gives what the module is to be told.
    pub fn widen(&mut self, known: &Door) -> Vec<Listing<A>> {
        self.resize((self.doublings + 1).min(MOST_DOUBLINGS), known)
    }

    /// Goes back to the usual working set, and gives what the module is to be told.
    pub fn narrow(&mut self, known: &Door) -> Vec<Listing<A>> {
        self.resize(0, known)
    }

    /// Whether engines are listed that a wider working set would hold.
    pub fn may_widen(&self) -> bool {
        self.doublings < MOST_DOUBLINGS && !self.plan.is_whole()
    }

    /// The engines of the list, held or not.
    pub fn lines(&self) -> impl Iterator<Item = (&str, &Line<A>)> {
        self.lines.iter().map(|(name, line)| (name.as_str(), line))
    }

    pub fn lists(&self, name: &str) -> bool {
        self.lines.contains_key(name)
    }

    fn resize(&mut self, doublings: u32, known: &Door) -> Vec<Listing<A>> {
        self.doublings = doublings;
        if !self.plan_again() {
            return Vec::new();
        }
        self.lines.iter().filter_map(|(name, line)| self.listing(name, *line, known, false)).collect()
    }

    /// Counts the engines that are not gone, and whether another plan follows from it.
    fn plan_again(&mut self) -> bool {
        let mut census = Census::default();
        let there = self.lines.values().filter(|line| line.listed != Listed::Gone);
        there.for_each(|line| census.add(line.class()));
        let plan = self.layout.plan(&census, self.doublings);
        let changed = plan != self.plan;
        self.plan = plan;
        changed
    }

    /// What the module is to be told of an engine: it holds it, or is to let go of it, or is told of `all`.
    fn listing(&self, name: &str, line: Line<A>, known: &Door, all: bool) -> Option<Listing<A>> {
        let holding = self.plan.holding(line.class(), mark_of(name));
        let held = line.listed != Listed::Gone && holding.is_some();
        if !(all || held || known.find(name).is_some()) {
            return None;
        }
        let leaves = holding.is_none() && line.listed == Listed::Live;
        let listed = if leaves { Listed::Outside } else { line.listed };
        let place = holding.and_then(|holding| self.place(holding));
        Some(Listing { name: name.to_owned(), line: Line { listed, ..line }, place })
    }

    fn place(&self, holding: Holding) -> Option<Place> {
        let Holding { rank, sharers, holders } = holding;
        (sharers < self.layout.replica.replicas as usize).then_some(Place { rank, sharers, holders })
    }
}
