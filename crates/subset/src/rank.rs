//! The order in which the replicas come at an engine.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

/// Rounds of the network below: with three or more, an output tells nothing of how inputs lie to one another.
const ROUNDS: usize = 4;

/// One router among its replicas.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Replica {
    /// Counted from 0.
    pub index: u32,
    pub count: u32,
}

/// The place of a replica in the order drawn from an engine's mark, counted from 0. The order is a permutation
/// of all replicas, the same wherever it is worked out. Threat: numbers follow zones or racks in a regular way, and
/// an order that is regular too would give some engines many routers of a zone, and others none.
pub fn rank(mark: u64, replica: Replica) -> usize {
    let replicas = replica.count.max(1);
    let network = Network::new(mark, replicas);
    let mut place = network.permuted(replica.index % replicas);
    // Walks on its cycle until it is back among the replicas, at its own number at the latest.
    while place >= replicas {
        place = network.permuted(place);
    }
    place as usize
}

/// A Feistel network: a permutation of all numbers of so many bits, drawn from a mark.
struct Network {
    keys: [u64; ROUNDS],
    half_bits: u32,
}

impl Network {
    /// Of the fewest bits, an even number of them, that hold every number below `count`.
    fn new(mark: u64, count: u32) -> Self {
        let mut draw = Pcg32::seed_from_u64(mark);
        let bits = u32::BITS - (count - 1).leading_zeros();
        Self { keys: std::array::from_fn(|_| draw.random()), half_bits: bits.div_ceil(2).max(1) }
    }

    fn permuted(&self, number: u32) -> u32 {
        let mask = (1_u32 << self.half_bits) - 1;
        let halves = (number >> self.half_bits, number & mask);
        let (left, right) = self.keys.iter().fold(halves, |(left, right), key| {
            let mixed = Pcg32::new(u64::from(right), *key).random::<u32>();
            (right, left ^ (mixed & mask))
        });
        left << self.half_bits | right
    }
}
