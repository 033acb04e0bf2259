//! A hierarchical timer wheel: adding and cancelling a timer takes constant time, and expiring timers is
//! split into steps that move one timer each.

use woadhook::{Moment, Span};

const LEVELS: usize = 6;
const SLOT_BITS: u32 = 6;
const SLOTS: usize = 1 << SLOT_BITS;
/// Number of ticks ahead of the current one that the wheel can represent.
const RANGE_TICKS: u64 = 1 << (SLOT_BITS * LEVELS as u32);
const NO_ENTRY: u32 = u32::MAX;

/// Identifies a timer. It has no effect once the timer has expired or was cancelled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TimerKey {
    index: u32,
    /// Distinguishes the timers that use an entry one after the other.
    generation: u32,
}

struct Entry<T> {
    generation: u32,
    tick: u64,
    /// The level and slot whose list holds the entry; the level is `DUE_LEVEL` for the list of due timers.
    level: u8,
    slot: u8,
    previous: u32,
    next: u32,
    item: Option<T>,
}

/// Pseudo level of the list of due timers, which is kept apart from the slots.
const DUE_LEVEL: u8 = LEVELS as u8;

/// Timers, each with an item. The tick is the resolution: timers within one tick are not distinguished.
pub struct TimerWheel<T> {
    tick: Span,
    start: Moment,
    /// Ticks since the start up to which the wheel has advanced.
    current_tick: u64,
    heads: [[u32; SLOTS]; LEVELS],
    /// For each level, a bit for each slot that holds a timer.
    occupied: [u64; LEVELS],
    due_head: u32,
    due_tail: u32,
    entries: Vec<Entry<T>>,
    free: Vec<u32>,
    count: usize,
}

impl<T> TimerWheel<T> {
    pub fn new(now: Moment, tick: Span) -> Self {
        Self {
            tick: tick.max(Span::from_micros(1)),
            start: now,
            current_tick: 0,
            heads: [[NO_ENTRY; SLOTS]; LEVELS],
            occupied: [0; LEVELS],
            due_head: NO_ENTRY,
            due_tail: NO_ENTRY,
            entries: Vec::new(),
            free: Vec::new(),
            count: 0,
        }
    }

    /// Number of pending timers.
    pub fn len(&self) -> usize {
        self.count
    }

    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Adds a timer. It expires at the first tick at or after `at`, never before `at`.
    pub fn insert(&mut self, at: Moment, item: T) -> TimerKey {
        let tick = at.since(self.start).micros().div_ceil(self.tick.micros());
        let new = |generation| Entry {
            generation,
            tick,
            level: 0,
            slot: 0,
            previous: NO_ENTRY,
            next: NO_ENTRY,
            item: Some(item),
        };
        let index = match self.free.pop() {
            Some(index) => {
                let generation = self.entries[index as usize].generation.wrapping_add(1);
                self.entries[index as usize] = new(generation);
                index
            }
            None => {
                self.entries.push(new(0));
                self.entries.len() as u32 - 1
            }
        };
        self.count += 1;
        self.link(index);
        TimerKey { index, generation: self.entries[index as usize].generation }
    }

    /// Cancels a timer and returns its item, if it is still pending.
    pub fn cancel(&mut self, key: TimerKey) -> Option<T> {
        let entry =
            self.entries.get(key.index as usize).filter(|entry| entry.generation == key.generation)?;
        entry.item.as_ref()?;
        self.unlink(key.index);
        self.release(key.index)
    }

    /// Moves a timer to another deadline, if it is still pending.
    pub fn reschedule(&mut self, key: TimerKey, at: Moment) -> Option<TimerKey> {
        let item = self.cancel(key)?;
        Some(self.insert(at, item))
    }

    /// Returns when the wheel has work to do: no later than the first deadline, and no earlier than the tick
    /// up to which it has advanced.
    pub fn next_wake(&self) -> Option<Moment> {
        if self.due_head != NO_ENTRY {
            return Some(self.time_of(self.current_tick));
        }
        self.next_slot().map(|(.., tick)| self.time_of(tick))
    }

    /// Returns the item of the next timer that has expired. One call moves at most `max_moves` timers to a
    /// lower level; `None` while [`next_wake`](Self::next_wake) lies in the past means that work is left.
    pub fn pop_expired(&mut self, now: Moment, max_moves: usize) -> Option<T> {
        let tick = now.since(self.start).micros() / self.tick.micros();
        let mut moved = 0;
        while self.due_head == NO_ENTRY && moved < max_moves {
            let Some((level, slot, at)) = self.next_slot().filter(|(.., at)| *at <= tick) else {
                self.current_tick = self.current_tick.max(tick);
                return None;
            };
            // The first tick of the slot is reached: its timers are due, or move to a lower level.
            self.current_tick = self.current_tick.max(at);
            let index = self.heads[level][slot];
            self.unlink(index);
            self.link(index);
            moved += 1;
        }
        let index = self.due_head;
        if index == NO_ENTRY {
            return None;
        }
        self.unlink(index);
        self.release(index)
    }

    fn time_of(&self, tick: u64) -> Moment {
        self.start + Span::from_micros(tick.saturating_mul(self.tick.micros()))
    }

    /// Returns the level and the index of the first slot that holds a timer, and the tick at which it is
    /// reached.
    fn next_slot(&self) -> Option<(usize, usize, u64)> {
        // A slot that is being emptied starts at the current tick, so it is found before the slots to which
        // its timers move.
        let slots = (0..LEVELS).rev().filter(|level| self.occupied[*level] != 0).map(|level| {
            let shift = SLOT_BITS * level as u32;
            let position = self.current_tick >> shift;
            let current_slot = position & (SLOTS as u64 - 1);
            let ahead = u64::from(self.occupied[level].rotate_right(current_slot as u32).trailing_zeros());
            let at = (position + ahead) << shift;
            (level, ((current_slot + ahead) % SLOTS as u64) as usize, at.max(self.current_tick))
        });
        slots.min_by_key(|(.., at)| *at)
    }

    /// Links an entry into the list for its tick, relative to the current tick.
    fn link(&mut self, index: u32) {
        let tick = self.entries[index as usize].tick;
        if tick <= self.current_tick {
            let last = self.due_tail;
            let entry = &mut self.entries[index as usize];
            (entry.level, entry.previous, entry.next) = (DUE_LEVEL, last, NO_ENTRY);
            if last == NO_ENTRY {
                self.due_head = index
            } else {
                self.entries[last as usize].next = index
            }
            self.due_tail = index;
            return;
        }
        // A timer beyond the range goes into the last slot of the top level, the one just before the current
        // slot in the ring, and is placed again when that slot is reached.
        let clamped_tick = tick.min(self.current_tick + RANGE_TICKS - (RANGE_TICKS >> SLOT_BITS));
        let highest_bit = 63 - (clamped_tick ^ self.current_tick).leading_zeros();
        let level = ((highest_bit / SLOT_BITS) as usize).min(LEVELS - 1);
        let slot = ((clamped_tick >> (SLOT_BITS * level as u32)) & (SLOTS as u64 - 1)) as usize;
        let first = self.heads[level][slot];
        let entry = &mut self.entries[index as usize];
        (entry.level, entry.slot, entry.previous, entry.next) = (level as u8, slot as u8, NO_ENTRY, first);
        if first != NO_ENTRY {
            self.entries[first as usize].previous = index;
        }
        self.heads[level][slot] = index;
        self.occupied[level] |= 1 << slot;
    }

    fn unlink(&mut self, index: u32) {
        let Entry { level, slot, previous, next, .. } = self.entries[index as usize];
        if previous != NO_ENTRY {
            self.entries[previous as usize].next = next;
        } else if level == DUE_LEVEL {
            self.due_head = next;
        } else {
            self.heads[level as usize][slot as usize] = next;
            if next == NO_ENTRY {
                self.occupied[level as usize] &= !(1 << slot);
            }
        }
        if next != NO_ENTRY {
            self.entries[next as usize].previous = previous;
        } else if level == DUE_LEVEL {
            self.due_tail = previous;
        }
    }

    fn release(&mut self, index: u32) -> Option<T> {
        self.free.push(index);
        self.count -= 1;
        self.entries[index as usize].item.take()
    }
}
