//! Splits the bytes that a client sends into messages.

use crate::frontends::rpc::codec::{self, MessageScanner};
use crate::memory::MemoryPermit;

/// Maximum length of a message. A message longer than `READ_BUFFER_BYTES` is read into memory that all
/// clients share.
const MAX_MESSAGE_BYTES: usize = 128 * 1024;
const READ_BUFFER_BYTES: usize = 2 * 1024;

/// The bytes of a connection that are not processed yet. They are part of one message, or several messages.
pub struct MessageBuffer {
    bytes: Vec<u8>,
    filled: usize,
    /// Where the first message that was not returned yet begins.
    start: usize,
    scanner: MessageScanner,
    /// How many bytes of that message the scanner has passed, from `start`.
    scanned: usize,
    /// The permit for a buffer longer than `READ_BUFFER_BYTES`.
    memory: Option<MemoryPermit>,
}

impl Default for MessageBuffer {
    fn default() -> Self {
        let bytes = vec![0; READ_BUFFER_BYTES];
        Self { bytes, filled: 0, start: 0, scanner: MessageScanner::default(), scanned: 0, memory: None }
    }
}

impl MessageBuffer {
    /// Returns the next message, once it is complete.
    pub fn next_message(&mut self) -> codec::Result<Option<&[u8]>> {
        self.scanned += self.scanner.advance(&self.bytes[self.start + self.scanned..self.filled])?;
        if !self.scanner.is_done() {
            return Ok(None);
        }
        let message_start = self.start;
        self.start += self.scanned;
        (self.scanner, self.scanned) = (MessageScanner::default(), 0);
        Ok(Some(&self.bytes[message_start..self.start]))
    }

    /// Discards the messages that were returned, and gives back the memory if no message has begun.
    pub fn discard_returned(&mut self) {
        self.bytes.copy_within(self.start..self.filled, 0);
        self.filled -= self.start;
        self.start = 0;
        if self.filled == 0 && self.memory.take().is_some() {
            self.bytes = vec![0; READ_BUFFER_BYTES];
        }
    }

    /// The incomplete message, as far as it has arrived.
    pub fn incomplete(&self) -> &[u8] {
        &self.bytes[self.start..self.filled]
    }

    /// Whether the incomplete message will exceed the maximum length.
    pub fn is_too_long(&self) -> bool {
        self.scanner.min_remaining().saturating_add(self.scanned as u64) > MAX_MESSAGE_BYTES as u64
    }

    /// Whether the incomplete message needs more memory.
    pub fn is_full(&self) -> bool {
        self.filled == self.bytes.len()
    }

    /// The length of the buffer after `grow`, in bytes.
    pub fn grown_length(&self) -> usize {
        self.bytes.len() * 2
    }

    /// Enlarges the buffer to `grown_length` bytes, for which `memory` is the permit.
    pub fn grow(&mut self, memory: MemoryPermit) {
        self.memory = Some(memory);
        self.bytes.resize(self.grown_length(), 0);
    }

    /// Where the next bytes are read to.
    pub fn free(&mut self) -> &mut [u8] {
        &mut self.bytes[self.filled..]
    }

    /// Records that `count` more bytes were read.
    pub fn record_read(&mut self, count: usize) {
        self.filled += count;
    }
}
