//! The working set: which of very many engines this router considers for its jobs. Below
//! [`MAX_SCANNED_ENGINES`] listed engines, a job is placed by comparing all of them, as in the underlying
//! paper (Index/Load). Above it, the cost of a job would grow with the engine list, so each router compares
//! the engines of a set of bounded size. The set is drawn by rendezvous hashing, so that an engine that
//! comes or goes changes the sets only by itself, and stays the same otherwise: a router finds its table
//! groups warm and its connections open. All routers together spread over all engines.

use rand::RngExt;
use rand::seq::IndexedRandom;
use rand_pcg::Pcg32;

use crate::interface::*;
use crate::live_engines::DrawnEngines;
use crate::records::Engine;
use crate::time::{Moment, Span};

use super::Router;

/// Number of listed engines up to which all of them are considered for each job.
pub(super) const MAX_SCANNED_ENGINES: usize = 128;
/// Number of engines of the set that are drawn from all zones, and from the router's own.
const DRAWN_FROM_ALL: usize = MAX_SCANNED_ENGINES / 2;
const DRAWN_FROM_OWN_ZONE: usize = MAX_SCANNED_ENGINES / 2;
/// Minimum number of engines of each zone and kind, since some jobs may run nowhere else.
const MIN_PER_CLASS: usize = 4;
/// Number of engines of a cell that are considered for a job that may be repeated only there.
const MAX_OF_CELL: usize = 16;
/// Number of engines outside the set that are considered if no job may go to the set while engines of it are
/// cold: this router has its turn at a few of all cold engines only.
const MAX_COLD_EXTRAS: usize = 128;
/// The set is drawn again at the earliest after this time, although engines were listed, set aside or came
/// back.
const MIN_DRAW_INTERVAL: Span = Span::from_micros(100_000);
/// The cores of the usable engines are summed up again after this time, since the capacity of cold engines
/// grows.
const CORES_INTERVAL: Span = Span::from_micros(1_000_000);

/// The last draw. Engines may have drained or been set aside since; their records tell.
#[derive(Default)]
pub(crate) struct WorkingSet {
    drawn_at: Option<Moment>,
    /// Whether engines were listed, set aside or came back since the draw.
    outdated: bool,
    /// The engines of the set in the order of their indices.
    members: Vec<EngineId>,
    /// Number of usable engines at the time of the draw.
    usable: usize,
    /// The mean cores of a usable engine at its capacity at the given time.
    mean_cores: Option<(f64, Moment)>,
}

impl WorkingSet {
    /// Records that engines were listed, set aside or came back.
    pub(crate) fn engines_changed(&mut self) {
        self.outdated = true;
    }

    fn is_due(&self, now: Moment) -> bool {
        self.drawn_at.is_none_or(|at| self.outdated && now.since(at) >= MIN_DRAW_INTERVAL)
    }
}

impl Router {
    /// Whether the list is too long to compare all engines for each job.
    pub(super) fn uses_working_set(&self) -> bool {
        self.engines.len() > MAX_SCANNED_ENGINES
    }

    /// Draws the working set if it is due.
    pub(super) fn refresh_working_set(&mut self, now: Moment) {
        if !self.uses_working_set() {
            return;
        }
        if self.working_set.is_due(now) {
            self.draw_working_set(now);
        }
        if self.working_set.mean_cores.is_none_or(|(_, at)| now.since(at) >= CORES_INTERVAL) {
            self.working_set.mean_cores = Some((self.mean_cores(now), now));
        }
    }

    /// Draws the engines with the lowest values of each zone and kind. The cost grows with the set and with
    /// the engines that are set aside.
    fn draw_working_set(&mut self, now: Moment) {
        let is_set_aside = |id: &EngineId| self.engine_sets.set_aside.contains(id);
        let mut members = self.lowest_drawn(|id| !is_set_aside(id));
        if members.is_empty() {
            members = self.lowest_drawn(|_| true);
        }
        members.sort_unstable();
        let live_engines = &self.live_engines;
        let set_aside = self.engine_sets.set_aside.iter().filter(|id| live_engines.contains(**id));
        let usable = match live_engines.len() - set_aside.count() {
            0 => live_engines.len(),
            usable => usable,
        };
        let mean_cores = self.working_set.mean_cores;
        self.working_set = WorkingSet { drawn_at: Some(now), outdated: false, members, usable, mean_cores };
    }

    /// The engines of each zone and kind with the lowest drawn values for which `is_usable` returns true.
    fn lowest_drawn(&self, is_usable: impl Fn(&EngineId) -> bool) -> Vec<EngineId> {
        let live = self.live_engines.len();
        let of_own_zone = self.live_engines.classes().filter(|(zone, _)| *zone == self.fleet.zone);
        let own_zone_size = of_own_zone.map(|(_, engines)| engines.len()).sum::<usize>();
        let quota = |zone: ZoneId, size: usize| {
            let from_all = (DRAWN_FROM_ALL * size).div_ceil(live);
            let is_own = zone == self.fleet.zone;
            let from_own = if is_own { (DRAWN_FROM_OWN_ZONE * size).div_ceil(own_zone_size) } else { 0 };
            (from_all + from_own).max(MIN_PER_CLASS)
        };
        let lowest = |(zone, engines): (ZoneId, &DrawnEngines)| {
            let looked_at = engines.iter().inspect(|_| self.engine_sets.count_examined(1));
            let usable = looked_at.map(|(_, id)| *id).filter(|id| is_usable(id));
            usable.take(quota(zone, engines.len())).collect::<Vec<_>>()
        };
        self.live_engines.classes().flat_map(lowest).collect()
    }

    /// The mean cores of all usable engines. Cold engines count at their present capacity.
    fn mean_cores(&self, now: Moment) -> f64 {
        let usable = self.all_usable();
        self.engine_sets.count_examined(usable.len());
        let cores = usable.iter().map(|(_, engine)| self.effective_cores(engine, now)).sum::<f64>();
        cores / usable.len().max(1) as f64
    }

    /// The value that this router draws for an engine; the engines with the lowest values form the set.
    pub(super) fn draw(&self, stable_hash: u64) -> u32 {
        Pcg32::new(self.fleet.router_index as u64, stable_hash).random()
    }

    /// All live engines that are not set aside, or all live engines if every one is set aside.
    pub(super) fn all_usable(&self) -> Vec<(EngineId, &Engine)> {
        let live = || self.engines.iter().filter(|(_, e)| e.status == EngineStatus::Live);
        let in_use: Vec<_> = live().filter(|(_, e)| e.probes_to_return.is_none()).collect();
        if in_use.is_empty() { live().collect() } else { in_use }
    }

    /// Whether every live engine is set aside.
    pub(super) fn all_set_aside(&self) -> bool {
        let set_aside = &self.engine_sets.set_aside;
        let live = self.live_engines.ids();
        set_aside.len() >= live.len() && live.iter().all(|id| set_aside.contains(id))
    }

    /// The usable engines that are considered for jobs.
    pub(super) fn usable(&self) -> Vec<(EngineId, &Engine)> {
        let usable = if self.uses_working_set() {
            let all_set_aside = self.all_set_aside();
            let is_usable = |engine: &Engine| {
                engine.status == EngineStatus::Live && (all_set_aside || engine.probes_to_return.is_none())
            };
            self.records(&self.working_set.members).filter(|(_, engine)| is_usable(engine)).collect()
        } else {
            self.all_usable()
        };
        self.engine_sets.count_examined(usable.len());
        usable
    }

    /// The cores of all usable engines. Cold engines count at their present capacity. `considered` are the
    /// engines that are considered for jobs.
    pub(super) fn usable_cores(&self, considered: &[(EngineId, &Engine)], now: Moment) -> f64 {
        if self.uses_working_set() {
            let mean_cores = self.working_set.mean_cores.map_or(0.0, |(mean_cores, _)| mean_cores);
            return mean_cores * self.working_set.usable as f64;
        }
        considered.iter().map(|(_, e)| self.effective_cores(e, now)).sum()
    }

    /// Further engines for the waiting jobs: others than the members of the set while some of these are cold,
    /// and the engines of the cells to which repeats are bound.
    pub(super) fn extra_candidates<'a>(
        &'a self, jobs: &[JobId], any_cold: bool, rng: &mut Pcg32,
    ) -> Vec<(EngineId, &'a Engine)> {
        if !self.uses_working_set() {
            return Vec::new();
        }
        let members = &self.working_set.members;
        let mut extras: Vec<EngineId> = Vec::new();
        if any_cold {
            extras.extend(self.live_engines.ids().sample(rng, MAX_COLD_EXTRAS));
        }
        let is_repeat = |job: &&crate::records::Job| !job.dispatches.is_empty();
        let repeats = jobs.iter().filter_map(|id| self.jobs.get(id)).filter(is_repeat);
        let cells = repeats.filter_map(|job| job.may_have_run().next()).map(|dispatch| dispatch.cell);
        let is_set_aside = |id: &EngineId| self.engine_sets.set_aside.contains(id);
        let of_cell = |cell| self.live_engines.of_cell(cell).filter(|id| !is_set_aside(id)).take(MAX_OF_CELL);
        extras.extend(cells.flat_map(of_cell));
        extras.sort_unstable();
        extras.dedup();
        extras.retain(|id| members.binary_search(id).is_err());
        self.engine_sets.count_examined(extras.len());
        self.records(&extras)
            .filter(|(_, e)| e.status == EngineStatus::Live && e.probes_to_return.is_none())
            .collect()
    }

    /// The engines whose load reports are averaged: all, or those that are considered for jobs.
    pub(super) fn report_sources<'a>(&'a self, considered: &[(EngineId, &'a Engine)]) -> Vec<&'a Engine> {
        if self.uses_working_set() {
            return considered.iter().map(|(_, engine)| *engine).collect();
        }
        self.engines.iter().map(|(_, engine)| engine).collect()
    }

    /// The live engines that may be asked for a load report: all, or the members of the set.
    pub(super) fn probe_sources(&self) -> Vec<(EngineId, &Engine)> {
        let is_live = |(_, engine): &(EngineId, &Engine)| engine.status == EngineStatus::Live;
        if self.uses_working_set() {
            return self.records(&self.working_set.members).filter(is_live).collect();
        }
        self.engines.iter().filter(is_live).collect()
    }

    fn records<'a>(&'a self, ids: &[EngineId]) -> impl Iterator<Item = (EngineId, &'a Engine)> {
        ids.iter().filter_map(|id| Some((*id, self.engines.get(*id)?)))
    }
}
