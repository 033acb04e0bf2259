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
    /// Probabilities of loss and of duplication per datagram, from 0 to 1.
    pub loss: f64,
    pub duplication: f64,
    pub delay: (Span, Span),
}

impl NetworkConditions {
    pub fn reliable() -> Self {
        Self { loss: 0.0, duplication: 0.0, delay: (Span::from_micros(200), Span::from_micros(2_000)) }
    }

    pub fn unreliable() -> Self {
        Self { loss: 0.3, duplication: 0.2, delay: (Span::from_micros(200), Span::from_micros(80_000)) }
    }
}

pub struct Network {
    rng: Pcg32,
    pub conditions: NetworkConditions,
    /// The partition of each address, 0 by default; datagrams between partitions are lost.
    partitions: BTreeMap<SocketAddr, u8>,
    /// Additional delay of the datagrams that an address sends.
    extra_delays: BTreeMap<SocketAddr, Span>,
    in_flight: BTreeMap<(Moment, u64), (SocketAddr, SocketAddr, Vec<u8>)>,
    sent_copies: u64,
}

impl Network {
    pub fn new(seed: u64, weather: NetworkConditions) -> Self {
        let (partitions, extra_delays, in_flight) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        Self {
            rng: Pcg32::seed_from_u64(seed),
            conditions: weather,
            partitions,
            extra_delays,
            in_flight,
            sent_copies: 0,
        }
    }

    /// Moves an address to a partition; it then reaches only addresses of the same partition. All others are
    /// in partition 0.
    pub fn set_partition(&mut self, place: SocketAddr, side: u8) {
        self.partitions.insert(place, side);
    }

    pub fn heal(&mut self) {
        self.partitions.clear();
    }

    pub fn add_delay(&mut self, place: SocketAddr, by: Span) {
        self.extra_delays.insert(place, by);
    }

    pub fn send(&mut self, now: Moment, from: SocketAddr, to: SocketAddr, bytes: Vec<u8>) {
        let NetworkConditions { loss, duplication: twice, delay: (least, most) } = self.conditions;
        let side = |place| self.partitions.get(&place).copied().unwrap_or(0);
        if side(from) != side(to) || self.rng.random_bool(loss) {
            return;
        }
        let copies = 1 + usize::from(self.rng.random_bool(twice));
        for _ in 0..copies {
            let delay = least + most.saturating_sub(least).mul_f64(self.rng.random::<f64>());
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
