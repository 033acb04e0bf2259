//! A schedule of faults: data from a seed that can be printed and played again.

use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

/// What happens to the fleet; routers and engines by number.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Routers are killed, and started again from nothing.
    Kill(Vec<usize>),
    /// Routers are told to end one after another, each started again once it has ended.
    Roll(Vec<usize>),
    /// A router stands still for so many milliseconds.
    Pause(usize, u64),
    /// The bulletin moves: a new configuration and SIGHUP for every router.
    Move,
    /// Engines are told to drain, then gone, and new ones that started late take their places.
    Replace(Vec<usize>),
    /// An engine answers every call with an error from now on.
    Bad(usize),
}

/// Faults in the order in which they happen, each with the pause after it in milliseconds.
#[derive(Clone, Debug)]
pub struct Schedule {
    pub seed: u64,
    pub faults: Vec<(Fault, u64)>,
}

impl Schedule {
    /// One fault of each kind, in an order from the seed; seven in ten routers are killed, four in ten engines replaced,
    /// the routers told to end a tenth at a time.
    pub fn draw(seed: u64, routers: usize, engines: usize) -> Self {
        let mut chance = Pcg32::seed_from_u64(seed);
        let mut some = |of: usize, share: f64| {
            let mut all: Vec<usize> = (0..of).collect();
            all.shuffle(&mut chance);
            all.truncate(((of as f64 * share).round() as usize).max(1));
            all
        };
        let (killed, replaced, all) = (some(routers, 0.7), some(engines, 0.4), some(routers, 1.0));
        let bad = (0..engines).find(|engine| !replaced.contains(engine)).unwrap_or(0);
        let mut faults = vec![
            Fault::Kill(killed),
            Fault::Roll(all.clone()),
            Fault::Pause(all[0], 400),
            Fault::Move,
            Fault::Replace(replaced),
            Fault::Bad(bad),
        ];
        faults.shuffle(&mut chance);
        let faults = faults.into_iter().map(|fault| (fault, chance.random_range(100..400))).collect();
        Self { seed, faults }
    }
}
