//! A virtual network with delay, loss, reordering, duplication and partitions of datagrams, driven by a seed
//! and virtual time.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use woadhook::{Moment, Span};

/// Conditions for all datagrams. Delays are drawn uniformly from a range; a wide range reorders datagrams.
#[derive(Clone, Copy, Debug)]
pub struct NetworkConditions {
    /// Probability that a datagram is lost, from 0 to 1.
    pub loss: f64,
    /// Probability that a datagram is delivered twice, from 0 to 1.
    pub duplication: f64,
    /// Minimum and maximum delay.
    pub delay: (Span, Span),
}

impl NetworkConditions {
    /// No loss or duplication and delays of up to 2 ms.
    pub fn reliable() -> Self {
        Self { loss: 0.0, duplication: 0.0, delay: (Span::from_micros(200), Span::from_micros(2_000)) }
    }

    /// Heavy loss, duplication and reordering.
    pub fn unreliable() -> Self {
        Self { loss: 0.3, duplication: 0.2, delay: (Span::from_micros(200), Span::from_micros(80_000)) }
    }
}

/// The datagrams in flight and the conditions that apply to new ones.
pub struct Network {
    rng: Pcg32,
    pub conditions: NetworkConditions,
    /// The partition of each address, 0 by default; datagrams between partitions are lost.
    partitions: BTreeMap<SocketAddr, u8>,
    /// Additional delay of the datagrams that an address sends.
    extra_delays: BTreeMap<SocketAddr, Span>,
    /// Datagrams in flight by arrival time and copy number: sender, receiver and bytes.
    in_flight: BTreeMap<(Moment, u64), (SocketAddr, SocketAddr, Vec<u8>)>,
    sent_copies: u64,
}

impl Network {
    pub fn new(seed: u64, conditions: NetworkConditions) -> Self {
        let (partitions, extra_delays, in_flight) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        Self {
            rng: Pcg32::seed_from_u64(seed),
            conditions,
            partitions,
            extra_delays,
            in_flight,
            sent_copies: 0,
        }
    }

    /// Moves an address to a partition; it then reaches only addresses of the same partition. All others are
    /// in partition 0.
    pub fn set_partition(&mut self, address: SocketAddr, partition: u8) {
        self.partitions.insert(address, partition);
    }

    /// Ends all partitions.
    pub fn end_partitions(&mut self) {
        self.partitions.clear();
    }

    /// Sets an additional delay for all datagrams that an address sends.
    pub fn add_delay(&mut self, address: SocketAddr, delay: Span) {
        self.extra_delays.insert(address, delay);
    }

    /// Sends a datagram, which is lost, delayed or duplicated as the conditions say.
    pub fn send(&mut self, now: Moment, from: SocketAddr, to: SocketAddr, bytes: Vec<u8>) {
        let NetworkConditions { loss, duplication, delay: (min_delay, max_delay) } = self.conditions;
        let partition = |address| self.partitions.get(&address).copied().unwrap_or(0);
        if partition(from) != partition(to) || self.rng.random_bool(loss) {
            return;
        }
        let copies = 1 + usize::from(self.rng.random_bool(duplication));
        for _ in 0..copies {
            let delay = min_delay + max_delay.saturating_sub(min_delay).mul_f64(self.rng.random::<f64>());
            let extra_delay = self.extra_delays.get(&from).copied().unwrap_or_default();
            self.sent_copies += 1;
            self.in_flight.insert((now + delay + extra_delay, self.sent_copies), (from, to, bytes.clone()));
        }
    }

    /// When the next datagram arrives.
    pub fn next_arrival(&self) -> Option<Moment> {
        self.in_flight.keys().next().map(|(at, _)| *at)
    }

    /// Takes a datagram that has arrived by now: sender, receiver and bytes.
    pub fn take_arrived(&mut self, now: Moment) -> Option<(SocketAddr, SocketAddr, Vec<u8>)> {
        self.next_arrival().filter(|at| *at <= now)?;
        self.in_flight.pop_first().map(|(_, flight)| flight)
    }
}
