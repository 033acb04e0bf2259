//! Turns by bytes: who has much to do goes on after the others have had a turn (deficit round robin, after Shreedhar and
//! Varghese, with the executor's queue as the ring).

/// What one task may do before the others' turn.
#[derive(Clone, Copy, Debug)]
pub struct DeficitCounter {
    quantum: i64,
    /// What is left of this turn; below zero it is owed by the next ones.
    left: i64,
}

impl DeficitCounter {
    /// `quantum` is the work of one turn, in bytes.
    pub fn new(quantum: usize) -> Self {
        let quantum = quantum.max(1) as i64;
        Self { quantum, left: quantum }
    }

    /// Work was done; whether the turn is over. A call that cost more than a turn costs several.
    pub fn spend(&mut self, bytes: usize) -> bool {
        self.left -= bytes as i64;
        self.left <= 0
    }

    /// The others have had their turn; whether it may go on, or owes another.
    pub fn replenish(&mut self) -> bool {
        self.left = (self.left + self.quantum).min(self.quantum);
        self.left > 0
    }
}
