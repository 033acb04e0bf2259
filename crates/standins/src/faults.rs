//! Schedules of consecutive faults, drawn from a seed, which can be printed and replayed. Tests store their
//! Debug output, so the names of types, variants and fields must stay.

use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

use crate::relays::{EndpointSet, Way};

/// A fault of a fleet. Routers and engines are given by number.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// Kills routers and starts them again without state.
    Kill(Vec<usize>),
    /// Terminates routers one after another; each is started again once it has ended.
    Roll(Vec<usize>),
    /// Suspends a router for this many milliseconds.
    Pause(usize, u64),
    /// Moves discovery to another address: every router gets a new configuration and SIGHUP.
    Move,
    /// Announces engines as draining, then as deleted; new engines with a recent start time replace them.
    Replace(Vec<usize>),
    /// Makes an engine answer every call with an error from now on.
    Bad(usize),
    /// Applies these conditions to the traffic between endpoints, each in one direction, for this many
    /// milliseconds; then all conditions are removed.
    Lay(Vec<(EndpointSet, EndpointSet, Way)>, u64),
    /// Resets the open connections from one set of endpoints to another.
    Reset(EndpointSet, EndpointSet),
    /// Suspends several routers at once for this many milliseconds.
    Halt(Vec<usize>, u64),
}

impl Fault {
    /// Cuts the traffic between two sets of endpoints in both directions.
    pub fn cut(one: &EndpointSet, other: &EndpointSet, millis: u64) -> Self {
        let outbound = (one.clone(), other.clone(), Way::CUT);
        Fault::Lay(vec![outbound, (other.clone(), one.clone(), Way::CUT)], millis)
    }
}

/// Faults in the order in which they happen, each with the pause after it in milliseconds.
#[derive(Clone, Debug)]
pub struct Schedule {
    pub seed: u64,
    pub faults: Vec<(Fault, u64)>,
}

impl Schedule {
    /// Draws one fault of each kind, in random order: seven in ten routers are killed, four in ten engines
    /// replaced, and all routers are restarted one after another.
    pub fn draw(seed: u64, routers: usize, engines: usize) -> Self {
        let mut rng = Pcg32::seed_from_u64(seed);
        let mut sample = |count: usize, share: f64| {
            let mut all: Vec<usize> = (0..count).collect();
            all.shuffle(&mut rng);
            all.truncate(((count as f64 * share).round() as usize).max(1));
            all
        };
        let (killed, replaced, all) = (sample(routers, 0.7), sample(engines, 0.4), sample(routers, 1.0));
        let bad = (0..engines).find(|engine| !replaced.contains(engine)).unwrap_or(0);
        let mut faults = vec![
            Fault::Kill(killed),
            Fault::Roll(all.clone()),
            Fault::Pause(all[0], 400),
            Fault::Move,
            Fault::Replace(replaced),
            Fault::Bad(bad),
        ];
        faults.shuffle(&mut rng);
        Self::with_pauses(seed, faults, rng)
    }

    /// Draws `count` faults of the network between zones: cuts in both directions or one, slow and lossy
    /// traffic, resets of open connections; among them kills, pauses and moves of discovery. A cut is shorter
    /// than `max_cut_ms`.
    pub fn draw_network_faults(
        seed: u64, count: usize, zones: &[String], routers: usize, max_cut_ms: u64,
    ) -> Self {
        let mut rng = Pcg32::seed_from_u64(seed);
        let faults = (0..count).map(|_| {
            let first = rng.random_range(0..zones.len());
            let other = (first + rng.random_range(1..zones.len().max(2))) % zones.len();
            let (one, other) =
                (EndpointSet::Zone(zones[first].clone()), EndpointSet::Zone(zones[other].clone()));
            let router = rng.random_range(0..routers);
            let span = rng.random_range(max_cut_ms / 4..max_cut_ms);
            let unsteady = Way { delay: (1, 60), loss: 0.3, twice: 0.2, ..Way::default() };
            match rng.random_range(0..8) {
                0 | 1 => Fault::cut(&one, &other, span),
                2 => Fault::Lay(vec![(one, other, Way::CUT)], span),
                3 => Fault::Lay(vec![(one.clone(), other.clone(), unsteady), (other, one, unsteady)], span),
                4 => Fault::Reset(one, other),
                5 => Fault::Kill(vec![router]),
                6 => Fault::Halt(vec![router, (router + 1) % routers], span),
                _ => Fault::Move,
            }
        });
        let faults = faults.collect();
        Self::with_pauses(seed, faults, rng)
    }

    fn with_pauses(seed: u64, faults: Vec<Fault>, mut rng: Pcg32) -> Self {
        let faults = faults.into_iter().map(|fault| (fault, rng.random_range(100..400))).collect();
        Self { seed, faults }
    }
}

/// Tries to remove each fault from a failing schedule, and keeps it only if the schedule no longer fails
/// without it.
pub fn shrink(schedule: &Schedule, mut fails: impl FnMut(&Schedule) -> bool) -> Schedule {
    let mut smallest = schedule.clone();
    let mut at = smallest.faults.len();
    while at > 0 {
        at -= 1;
        let mut candidate = smallest.clone();
        candidate.faults.remove(at);
        if fails(&candidate) {
            smallest = candidate;
        }
    }
    smallest
}
