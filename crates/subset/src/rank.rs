//! The order of the replicas at an engine, drawn from the engine's hash.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

/// Rounds of the Feistel network below. With three or more, outputs do not reveal how their inputs relate.
const FEISTEL_ROUNDS: usize = 4;

/// One router among its replicas.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Replica {
    /// Counted from 0.
    pub index: u32,
    /// The number of all replicas.
    pub count: u32,
}

/// The position of a replica, counted from 0, in the order drawn from an engine's stable hash. The order is a
/// permutation of all replicas, and every router computes the same one. Threat: replica indices may follow
/// zones or racks in a regular pattern, and an equally regular order would give some engines many routers of
/// one zone and other engines none.
pub fn rank(stable_hash: u64, replica: Replica) -> usize {
    let count = replica.count.max(1);
    let permutation = FeistelNetwork::new(stable_hash, count);
    let mut position = permutation.permute(replica.index % count);
    // Cycle walking: applies the permutation until the position is below `count`. The walk ends at the
    // replica's own index at the latest.
    while position >= count {
        position = permutation.permute(position);
    }
    position as usize
}

/// A Feistel network: a permutation of all numbers of a given width in bits, with keys drawn from a hash.
struct FeistelNetwork {
    round_keys: [u64; FEISTEL_ROUNDS],
    half_bits: u32,
}

impl FeistelNetwork {
    /// The network has the smallest even width in bits that holds every number below `count`.
    fn new(stable_hash: u64, count: u32) -> Self {
        let mut rng = Pcg32::seed_from_u64(stable_hash);
        let bits = u32::BITS - (count - 1).leading_zeros();
        Self { round_keys: std::array::from_fn(|_| rng.random()), half_bits: bits.div_ceil(2).max(1) }
    }

    fn permute(&self, number: u32) -> u32 {
        let mask = (1_u32 << self.half_bits) - 1;
        let halves = (number >> self.half_bits, number & mask);
        let (left, right) = self.round_keys.iter().fold(halves, |(left, right), key| {
            let mixed = Pcg32::new(u64::from(right), *key).random::<u32>();
            (right, left ^ (mixed & mask))
        });
        left << self.half_bits | right
    }
}
