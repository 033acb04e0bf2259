//! Reads and writes big-endian fields.

/// Reads big-endian fields from the front of a slice.
pub struct Reader<'a>(&'a [u8]);

impl<'a> Reader<'a> {
    pub fn new(bytes: &'a [u8]) -> Self {
        Self(bytes)
    }

    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the bytes that have not been read yet.
    pub fn rest(&self) -> &'a [u8] {
        self.0
    }

    pub fn take(&mut self, count: usize) -> Option<&'a [u8]> {
        let (taken, rest) = self.0.split_at_checked(count)?;
        self.0 = rest;
        Some(taken)
    }

    pub fn array<const N: usize>(&mut self) -> Option<[u8; N]> {
        self.take(N)?.try_into().ok()
    }

    pub fn u8(&mut self) -> Option<u8> {
        self.array::<1>().map(|[byte]| byte)
    }

    pub fn u16(&mut self) -> Option<u16> {
        self.array().map(u16::from_be_bytes)
    }

    pub fn u64(&mut self) -> Option<u64> {
        self.array().map(u64::from_be_bytes)
    }

    /// Reads bytes that are prefixed by their length in one byte. Returns `None` if the length exceeds `max`.
    pub fn length_prefixed(&mut self, max: usize) -> Option<&'a [u8]> {
        let length = self.u8().map(usize::from).filter(|length| *length <= max)?;
        self.take(length)
    }
}

/// Appends big-endian fields to a buffer.
#[derive(Default)]
pub struct Writer(Vec<u8>);

impl Writer {
    pub fn with_capacity(capacity: usize) -> Self {
        Self(Vec::with_capacity(capacity))
    }

    /// Returns the bytes written so far.
    pub fn written(&self) -> &[u8] {
        &self.0
    }

    pub fn bytes(&mut self, bytes: &[u8]) {
        self.0.extend_from_slice(bytes);
    }

    pub fn u8(&mut self, value: u8) {
        self.0.push(value);
    }

    pub fn u16(&mut self, value: u16) {
        self.bytes(&value.to_be_bytes());
    }

    pub fn u64(&mut self, value: u64) {
        self.bytes(&value.to_be_bytes());
    }

    /// Writes bytes prefixed by their length in one byte, so at most 255 bytes.
    pub fn length_prefixed(&mut self, bytes: &[u8]) {
        self.u8(bytes.len() as u8);
        self.bytes(bytes);
    }

    pub fn into_bytes(self) -> Vec<u8> {
        self.0
    }
}
