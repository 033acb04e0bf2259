//! A hierarchical timer wheel: deadlines start and end in constant time, and each step moves one of them.

use woadhook::{Moment, Span};

const LEVELS: usize = 6;
const BITS: u32 = 6;
const SLOTS: usize = 1 << BITS;
/// The furthest tick ahead that is told apart.
const RANGE: u64 = 1 << (BITS * LEVELS as u32);
const NONE: u32 = u32::MAX;

/// A deadline that was started; of no use once it is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TimerKey {
    place: u32,
    /// Tells a place's deadlines apart.
    turn: u32,
}

struct Entry<T> {
    turn: u32,
    tick: u64,
    /// The slot that it hangs in, or `DUE`.
    level: u8,
    slot: u8,
    before: u32,
    after: u32,
    item: Option<T>,
}

/// The list of what is due, beside the slots.
const DUE: u8 = LEVELS as u8;

/// Deadlines, each with what it is for. A tick is the least span that is told apart.
pub struct TimerWheel<T> {
    tick: Span,
    start: Moment,
    /// Ticks since the start that were passed.
    passed: u64,
    heads: [[u32; SLOTS]; LEVELS],
    /// By level, a bit for each slot that holds something.
    held: [u64; LEVELS],
    due_first: u32,
    due_last: u32,
    entries: Vec<Entry<T>>,
    free: Vec<u32>,
    count: usize,
}

impl<T> TimerWheel<T> {
    pub fn new(now: Moment, tick: Span) -> Self {
        Self {
            tick: tick.max(Span::from_micros(1)),
            start: now,
            passed: 0,
            heads: [[NONE; SLOTS]; LEVELS],
            held: [0; LEVELS],
            due_first: NONE,
            due_last: NONE,
            entries: Vec::new(),
            free: Vec::new(),
            count: 0,
        }
    }

    /// Deadlines that are not over.
    pub fn len(&self) -> usize {
        self.count
    }

    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Starts a deadline. It comes at the tick behind `at`, never before `at`.
    pub fn insert(&mut self, at: Moment, item: T) -> TimerKey {
        let tick = at.since(self.start).micros().div_ceil(self.tick.micros());
        let new = |turn| Entry { turn, tick, level: 0, slot: 0, before: NONE, after: NONE, item: Some(item) };
        let place = match self.free.pop() {
            Some(place) => {
                let turn = self.entries[place as usize].turn.wrapping_add(1);
                self.entries[place as usize] = new(turn);
                place
            }
            None => {
                self.entries.push(new(0));
                self.entries.len() as u32 - 1
            }
        };
        self.count += 1;
        self.hang(place);
        TimerKey { place, turn: self.entries[place as usize].turn }
    }

    /// Takes a deadline back, if it is not over.
    pub fn cancel(&mut self, key: TimerKey) -> Option<T> {
        let entry = self.entries.get(key.place as usize).filter(|entry| entry.turn == key.turn)?;
        entry.item.as_ref()?;
        self.unhang(key.place);
        self.release(key.place)
    }

    /// Moves a deadline, if it is not over.
    pub fn reschedule(&mut self, key: TimerKey, at: Moment) -> Option<TimerKey> {
        let item = self.cancel(key)?;
        Some(self.insert(at, item))
    }

    /// When there is something to do: no later than the first deadline, and no earlier than now where none is due.
    pub fn next_wake(&self) -> Option<Moment> {
        if self.due_first != NONE {
            return Some(self.moment(self.passed));
        }
        self.next_slot().map(|(.., tick)| self.moment(tick))
    }

    /// The next that is over by now. One call moves at most `max_moves` deadlines nearer; a `None` with [`next_wake`](Self::next_wake) in the
    /// past says that more is to do.
    pub fn pop_expired(&mut self, now: Moment, max_moves: usize) -> Option<T> {
        let tick = now.since(self.start).micros() / self.tick.micros();
        let mut moved = 0;
        while self.due_first == NONE && moved < max_moves {
            let Some((level, slot, at)) = self.next_slot().filter(|(.., at)| *at <= tick) else {
                self.passed = self.passed.max(tick);
                return None;
            };
            // The slot's own tick is reached: what hangs there is due, or belongs one level down.
            self.passed = self.passed.max(at);
            let place = self.heads[level][slot];
            self.unhang(place);
            self.hang(place);
            moved += 1;
        }
        let place = self.due_first;
        if place == NONE {
            return None;
        }
        self.unhang(place);
        self.release(place)
    }

    fn moment(&self, tick: u64) -> Moment {
        self.start + Span::from_micros(tick.saturating_mul(self.tick.micros()))
    }

    /// The first slot that holds something, and the tick at which it is reached.
    fn next_slot(&self) -> Option<(usize, usize, u64)> {
        // A slot that is being emptied lies at the ticks passed, so it comes before what was moved out of it.
        let slots = (0..LEVELS).rev().filter(|level| self.held[*level] != 0).map(|level| {
            let shift = BITS * level as u32;
            let round = self.passed >> shift;
            let here = round & (SLOTS as u64 - 1);
            let ahead = u64::from(self.held[level].rotate_right(here as u32).trailing_zeros());
            let at = (round + ahead) << shift;
            (level, ((here + ahead) % SLOTS as u64) as usize, at.max(self.passed))
        });
        slots.min_by_key(|(.., at)| *at)
    }

    /// Puts an entry where its tick belongs, as seen from the ticks passed.
    fn hang(&mut self, place: u32) {
        let tick = self.entries[place as usize].tick;
        if tick <= self.passed {
            let last = self.due_last;
            let entry = &mut self.entries[place as usize];
            (entry.level, entry.before, entry.after) = (DUE, last, NONE);
            if last == NONE {
                self.due_first = place
            } else {
                self.entries[last as usize].after = place
            }
            self.due_last = place;
            return;
        }
        // What lies further ahead hangs in the top level's last slot, the one behind the present one, and is looked at
        // again there.
        let reached = tick.min(self.passed + RANGE - (RANGE >> BITS));
        let differs = 63 - (reached ^ self.passed).leading_zeros();
        let level = ((differs / BITS) as usize).min(LEVELS - 1);
        let slot = ((reached >> (BITS * level as u32)) & (SLOTS as u64 - 1)) as usize;
        let first = self.heads[level][slot];
        let entry = &mut self.entries[place as usize];
        (entry.level, entry.slot, entry.before, entry.after) = (level as u8, slot as u8, NONE, first);
        if first != NONE {
            self.entries[first as usize].before = place;
        }
        self.heads[level][slot] = place;
        self.held[level] |= 1 << slot;
    }

    fn unhang(&mut self, place: u32) {
        let Entry { level, slot, before, after, .. } = self.entries[place as usize];
        if before != NONE {
            self.entries[before as usize].after = after;
        } else if level == DUE {
            self.due_first = after;
        } else {
            self.heads[level as usize][slot as usize] = after;
            if after == NONE {
                self.held[level as usize] &= !(1 << slot);
            }
        }
        if after != NONE {
            self.entries[after as usize].before = before;
        } else if level == DUE {
            self.due_last = before;
        }
    }

    fn release(&mut self, place: u32) -> Option<T> {
        self.free.push(place);
        self.count -= 1;
        self.entries[place as usize].item.take()
    }
}
