//! Splits the bytes that a client sends into messages.

use crate::frontends::rpc::codec::{self, MessageScanner};
use crate::memory::MemoryPermit;

/// Maximum length of a message. A message longer than `READ_BUFFER_BYTES` is read into memory that all
/// clients share.
const MAX_MESSAGE_BYTES: usize = 128 * 1024;
const READ_BUFFER_BYTES: usize = 2 * 1024;

/// What has arrived completely.
pub enum Received<'a> {
    Message(&'a [u8]),
    /// A message for which there was no memory; the number if it is a request.
    Skipped(Option<u32>),
}

/// A message whose bytes are discarded as they arrive.
struct SkippedMessage {
    request_number: Option<u32>,
    /// How many of its bytes were discarded.
    discarded: usize,
}

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
    /// The incomplete message, if it is skipped.
    skipped: Option<SkippedMessage>,
}

impl Default for MessageBuffer {
    fn default() -> Self {
        let bytes = vec![0; READ_BUFFER_BYTES];
        let (scanner, memory, skipped) = (MessageScanner::default(), None, None);
        Self { bytes, filled: 0, start: 0, scanner, scanned: 0, memory, skipped }
    }
}

impl MessageBuffer {
    /// Returns the next message, once it is complete.
    pub fn next_message(&mut self) -> codec::Result<Option<Received<'_>>> {
        self.scanned += self.scanner.advance(&self.bytes[self.start + self.scanned..self.filled])?;
        if !self.scanner.is_done() {
            return Ok(None);
        }
        let message_start = self.start;
        self.start += self.scanned;
        (self.scanner, self.scanned) = (MessageScanner::default(), 0);
        Ok(Some(match self.skipped.take() {
            Some(skipped) => Received::Skipped(skipped.request_number),
            None => Received::Message(&self.bytes[message_start..self.start]),
        }))
    }

    /// Discards the messages that were returned and what has arrived of a skipped one, and gives back the
    /// memory if no message has begun.
    pub fn discard_processed(&mut self) {
        if let Some(skipped) = &mut self.skipped {
            skipped.discarded += self.scanned;
            self.start += self.scanned;
            self.scanned = 0;
        }
        self.bytes.copy_within(self.start..self.filled, 0);
        self.filled -= self.start;
        self.start = 0;
        if self.filled == 0 && self.memory.take().is_some() {
            self.bytes = vec![0; READ_BUFFER_BYTES];
        }
    }

    /// Whether a message has begun and is incomplete.
    pub fn has_begun(&self) -> bool {
        self.skipped.is_some() || self.start < self.filled
    }

    /// The number of the incomplete message, if it is a request and its number has arrived.
    pub fn request_number(&self) -> Option<u32> {
        let from_start = || codec::request_number(&self.bytes[self.start..self.filled]);
        self.skipped.as_ref().map_or_else(from_start, |skipped| skipped.request_number)
    }

    /// Whether the incomplete message will exceed the maximum length.
    pub fn is_too_long(&self) -> bool {
        let discarded = self.skipped.as_ref().map_or(0, |skipped| skipped.discarded);
        let arrived = (discarded + self.scanned) as u64;
        self.scanner.min_remaining().saturating_add(arrived) > MAX_MESSAGE_BYTES as u64
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

    /// Discards the incomplete message, for which there is no memory, and what arrives of it.
    pub fn skip(&mut self) {
        let request_number = self.request_number();
        self.skipped = Some(SkippedMessage { request_number, discarded: 0 });
        self.discard_processed();
        self.memory = None;
        // What is left is at most an incomplete value's head.
        self.bytes.truncate(READ_BUFFER_BYTES);
        self.bytes.shrink_to_fit();
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
