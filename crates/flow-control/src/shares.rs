//! A memory budget that peers share: each peer has a guaranteed floor, and no peer can use up the common
//! part.
//!
//! Part of the budget is set apart as floors, one for each peer that there can be at once. What a peer holds
//! above its floor comes from the rest, of which it may hold at most a factor of what is still free there
//! (dynamic thresholds, after Choudhury and Hahne): one greedy peer gets half at a factor of 1, two get a
//! third each, and so on.

use std::collections::BTreeMap;

/// Outcome of a request for bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reservation {
    Granted,
    /// The request can't be granted now, but may be once other peers, or this one, release bytes.
    Wait,
    /// The request can never be granted, as it exceeds what one peer may hold.
    TooLarge,
}

/// Tracks how many bytes each peer holds. `P` identifies a peer.
pub struct Shares<P> {
    limit: usize,
    floor: usize,
    factor: f64,
    /// Sum of all floors, used or not.
    floors_total: usize,
    /// Bytes that all peers together hold above their floors.
    above_floors: usize,
    held: usize,
    /// Bytes held by each peer; a peer that holds nothing has no entry.
    peers: BTreeMap<P, usize>,
    max_peers: usize,
}

impl<P: Ord + Clone> Shares<P> {
    /// Shares `limit` bytes among at most `peers` peers. `floor_part` (from 0 to 1) is the part that is set
    /// apart for floors.
    pub fn new(limit: usize, peers: usize, floor_part: f64, factor: f64) -> Self {
        let floor = (limit as f64 * floor_part.clamp(0.0, 1.0)) as usize / peers.max(1);
        let (held, above_floors, factor) = (0, 0, factor.max(0.0));
        Self {
            limit,
            floor,
            factor,
            floors_total: floor * peers,
            above_floors,
            held,
            peers: BTreeMap::new(),
            max_peers: peers,
        }
    }

    /// Bytes that each peer can hold at any time.
    pub fn floor(&self) -> usize {
        self.floor
    }

    /// Bytes held by all peers together.
    pub fn held(&self) -> usize {
        self.held
    }

    pub fn held_by(&self, peer: &P) -> usize {
        self.peers.get(peer).copied().unwrap_or(0)
    }

    /// Maximum bytes that one peer may hold while no other peer holds any.
    pub fn max_per_peer(&self) -> usize {
        let common = (self.limit - self.floors_total) as f64;
        self.floor + (common * self.factor / (1.0 + self.factor)) as usize
    }

    /// Checks whether a peer may hold that many more bytes now.
    pub fn check(&self, peer: &P, bytes: usize) -> Reservation {
        let own = self.held_by(peer);
        if own == 0 && self.peers.len() >= self.max_peers && !self.peers.contains_key(peer) {
            return Reservation::Wait;
        }
        let after = (own + bytes).saturating_sub(self.floor);
        if after == 0 {
            return Reservation::Granted;
        }
        if own + bytes > self.max_per_peer() {
            return if bytes > self.max_per_peer() { Reservation::TooLarge } else { Reservation::Wait };
        }
        let before = own.saturating_sub(self.floor);
        let above_floors = self.above_floors - before + after;
        let Some(free) = (self.limit - self.floors_total).checked_sub(above_floors) else {
            return Reservation::Wait;
        };
        if after as f64 <= self.factor * free as f64 + 1.0 { Reservation::Granted } else { Reservation::Wait }
    }

    /// Adds bytes to what a peer holds, if they are granted.
    pub fn reserve(&mut self, peer: &P, bytes: usize) -> Reservation {
        let outcome = self.check(peer, bytes);
        if outcome == Reservation::Granted {
            self.reserve_unchecked(peer, bytes);
        }
        outcome
    }

    /// Adds bytes to what a peer holds without a check, for bytes that another budget granted.
    pub fn reserve_unchecked(&mut self, peer: &P, bytes: usize) {
        if bytes > 0 {
            let held = self.peers.entry(peer.clone()).or_default();
            let before = held.saturating_sub(self.floor);
            *held += bytes;
            self.above_floors += held.saturating_sub(self.floor) - before;
            self.held += bytes;
        }
    }

    /// Releases bytes, at most as many as the peer holds.
    pub fn release(&mut self, peer: &P, bytes: usize) {
        let Some(held) = self.peers.get_mut(peer) else { return };
        let bytes = bytes.min(*held);
        let before = held.saturating_sub(self.floor);
        *held -= bytes;
        self.above_floors -= before - held.saturating_sub(self.floor);
        self.held -= bytes;
        if *held == 0 {
            self.peers.remove(peer);
        }
    }

    /// Number of peers that hold any bytes.
    pub fn peers(&self) -> usize {
        self.peers.len()
    }
}
