//! Deficit round robin, after Shreedhar and Varghese, with the executor's queue as the ring: a task with much
//! work goes on after the other tasks have had a turn.

/// Bytes that one task may process before the others' turn.
#[derive(Clone, Copy, Debug)]
pub struct DeficitCounter {
    quantum: i64,
    /// Bytes left in this turn; a deficit below zero is taken from the following turns.
    balance: i64,
}

impl DeficitCounter {
    /// `quantum` is the number of bytes in one turn.
    pub fn new(quantum: usize) -> Self {
        let quantum = quantum.max(1) as i64;
        Self { quantum, balance: quantum }
    }

    /// Records processed bytes and returns whether the turn is over. One call that exceeds a quantum uses up
    /// several turns.
    pub fn spend(&mut self, bytes: usize) -> bool {
        self.balance -= bytes as i64;
        self.balance <= 0
    }

    /// Adds a quantum after the others had their turn, and returns whether the task may go on or has to skip
    /// another turn.
    pub fn replenish(&mut self) -> bool {
        self.balance = (self.balance + self.quantum).min(self.quantum);
        self.balance > 0
    }
}
