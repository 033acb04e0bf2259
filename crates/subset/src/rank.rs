//! The order in which the replicas come at an engine.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;

/// One router among its replicas.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Replica {
    /// Counted from 0.
    pub number: u32,
    pub replicas: u32,
}

/// The place of a replica in the order drawn from an engine's mark, counted from 0. The order is a permutation
/// of all replicas, the same wherever it is worked out: numbers are shifted and multiplied modulo their count.
pub fn rank(mark: u64, replica: Replica) -> usize {
    let replicas = u64::from(replica.replicas.max(1));
    let mut draw = Pcg32::seed_from_u64(mark);
    let offset = draw.random_range(0..replicas);
    let factor = coprime_from(draw.random_range(0..replicas), replicas);
    let shifted = (u64::from(replica.number) % replicas + offset) % replicas;
    (shifted * factor % replicas) as usize
}

/// The first number from `start` on that has no divisor in common with `modulus`: multiplying by it permutes the
/// residues. The search ends at `modulus + 1` at the latest.
fn coprime_from(start: u64, modulus: u64) -> u64 {
    (start..=modulus + 1).find(|number| greatest_common_divisor(*number, modulus) == 1).unwrap_or(1)
}

fn greatest_common_divisor(mut a: u64, mut b: u64) -> u64 {
    while b > 0 {
        (a, b) = (b, a % b);
    }
    a
}
