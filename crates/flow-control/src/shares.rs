//! A room that peers share: each finds its floor, and none fills what is common.
//!
//! A part of the room is set apart as floors, one for each peer that there can be at once. What a peer holds above its
//! floor comes from the rest, of which it may hold no more than a factor of what is still free there (dynamic thresholds,
//! after Choudhury and Hahne): one greedy peer gets half at a factor of 1, two a third each, and so on.

use std::collections::BTreeMap;

/// Whether something may be held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reservation {
    Granted,
    /// Not now; when others give back, or this peer does.
    Wait,
    /// Never: it is more than one peer may hold.
    TooLarge,
}

/// Who holds how much. `P` names a peer.
pub struct Shares<P> {
    limit: usize,
    floor: usize,
    factor: f64,
    /// What is set apart for floors, used or not.
    apart: usize,
    /// Held above floors by all.
    above: usize,
    held: usize,
    /// Emptied of peers that hold nothing.
    peers: BTreeMap<P, usize>,
    most_peers: usize,
}

impl<P: Ord + Clone> Shares<P> {
    /// `limit` bytes among at most `peers`, of which `apart` (a share from 0 to 1) is set apart for floors.
    pub fn new(limit: usize, peers: usize, apart: f64, factor: f64) -> Self {
        let floor = (limit as f64 * apart.clamp(0.0, 1.0)) as usize / peers.max(1);
        let (held, above, factor) = (0, 0, factor.max(0.0));
        Self {
            limit,
            floor,
            factor,
            apart: floor * peers,
            above,
            held,
            peers: BTreeMap::new(),
            most_peers: peers,
        }
    }

    /// What each peer finds at any time.
    pub fn floor(&self) -> usize {
        self.floor
    }

    /// Held by all together.
    pub fn held(&self) -> usize {
        self.held
    }

    pub fn held_by(&self, peer: &P) -> usize {
        self.peers.get(peer).copied().unwrap_or(0)
    }

    /// The most that one peer may hold where no other holds anything.
    pub fn max_per_peer(&self) -> usize {
        let common = (self.limit - self.apart) as f64;
        self.floor + (common * self.factor / (1.0 + self.factor)) as usize
    }

    /// Whether a peer may hold so much more now.
    pub fn check(&self, peer: &P, bytes: usize) -> Reservation {
        let own = self.held_by(peer);
        if own == 0 && self.peers.len() >= self.most_peers && !self.peers.contains_key(peer) {
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
        let above = self.above - before + after;
        let Some(free) = (self.limit - self.apart).checked_sub(above) else { return Reservation::Wait };
        if after as f64 <= self.factor * free as f64 + 1.0 { Reservation::Granted } else { Reservation::Wait }
    }

    /// Holds so much more, if that may be.
    pub fn reserve(&mut self, peer: &P, bytes: usize) -> Reservation {
        let may = self.check(peer, bytes);
        if may == Reservation::Granted {
            self.reserve_unchecked(peer, bytes);
        }
        may
    }

    /// Holds so much more, whatever may be, as where another account allowed it.
    pub fn reserve_unchecked(&mut self, peer: &P, bytes: usize) {
        if bytes > 0 {
            let held = self.peers.entry(peer.clone()).or_default();
            let before = held.saturating_sub(self.floor);
            *held += bytes;
            self.above += held.saturating_sub(self.floor) - before;
            self.held += bytes;
        }
    }

    /// Gives back; no more than the peer holds.
    pub fn release(&mut self, peer: &P, bytes: usize) {
        let Some(held) = self.peers.get_mut(peer) else { return };
        let bytes = bytes.min(*held);
        let before = held.saturating_sub(self.floor);
        *held -= bytes;
        self.above -= before - held.saturating_sub(self.floor);
        self.held -= bytes;
        if *held == 0 {
            self.peers.remove(peer);
        }
    }

    /// Peers that hold something.
    pub fn peers(&self) -> usize {
        self.peers.len()
    }
}
