//! MessagePack-RPC: finds the end of a message, reads its parts and writes answers.

use std::io;

use rmp::Marker;
use rmp::decode::{self, NumValueReadError, ValueReadError};
use rmp::encode;

use crate::exchange::Answer;

pub const REQUEST: u32 = 0;
pub const RESPONSE: u32 = 1;
pub const NOTIFICATION: u32 = 2;

/// Error for bytes that are not a complete, valid message of this protocol.
#[derive(Debug)]
pub struct Malformed;

impl From<NumValueReadError> for Malformed {
    fn from(_: NumValueReadError) -> Self {
        Self
    }
}

impl From<ValueReadError> for Malformed {
    fn from(_: ValueReadError) -> Self {
        Self
    }
}

pub type Result<T> = std::result::Result<T, Malformed>;

/// Finds the end of a message across the pieces in which it arrives.
pub struct MessageScanner {
    /// Number of values that have not begun, and bytes left of the current one.
    pending_values: u64,
    pending_bytes: u64,
}

impl Default for MessageScanner {
    fn default() -> Self {
        Self { pending_values: 1, pending_bytes: 0 }
    }
}

impl MessageScanner {
    pub fn is_done(&self) -> bool {
        self.pending_values == 0 && self.pending_bytes == 0
    }

    /// Minimum number of bytes still to come: each value takes at least one.
    pub fn min_remaining(&self) -> u64 {
        self.pending_bytes.saturating_add(self.pending_values)
    }

    /// Scans the part of `piece` that belongs to the message and returns its length. The scan stops at the
    /// end of the message, or at the head of a value that is not complete yet.
    pub fn advance(&mut self, piece: &[u8]) -> Result<usize> {
        let mut offset = 0;
        loop {
            let skipped = self.pending_bytes.min((piece.len() - offset) as u64);
            (offset, self.pending_bytes) = (offset + skipped as usize, self.pending_bytes - skipped);
            if self.pending_values == 0 || self.pending_bytes > 0 {
                return Ok(offset);
            }
            let Some((length, bytes, values)) = value_head(&piece[offset..])? else { return Ok(offset) };
            (offset, self.pending_bytes, self.pending_values) =
                (offset + length, bytes, (self.pending_values - 1).saturating_add(values));
        }
    }
}

/// Returns the length of a value's head, and how many bytes and values follow it; `None` if the head is not
/// complete.
fn value_head(bytes: &[u8]) -> Result<Option<(usize, u64, u64)>> {
    let Some(&first) = bytes.first() else { return Ok(None) };
    let fixed = |follow: u64| Ok(Some((1, follow, 0)));
    let marker = Marker::from_u8(first);
    let width = match marker {
        Marker::Null | Marker::True | Marker::False | Marker::FixPos(_) | Marker::FixNeg(_) => {
            return fixed(0);
        }
        Marker::U8 | Marker::I8 => return fixed(1),
        Marker::U16 | Marker::I16 | Marker::FixExt1 => return fixed(2),
        Marker::FixExt2 => return fixed(3),
        Marker::U32 | Marker::I32 | Marker::F32 => return fixed(4),
        Marker::FixExt4 => return fixed(5),
        Marker::U64 | Marker::I64 | Marker::F64 => return fixed(8),
        Marker::FixExt8 => return fixed(9),
        Marker::FixExt16 => return fixed(17),
        Marker::FixStr(length) => return fixed(length.into()),
        Marker::FixArray(count) => return Ok(Some((1, 0, count.into()))),
        Marker::FixMap(count) => return Ok(Some((1, 0, 2 * u64::from(count)))),
        Marker::Str8 | Marker::Bin8 | Marker::Ext8 => 1,
        Marker::Str16 | Marker::Bin16 | Marker::Ext16 | Marker::Array16 | Marker::Map16 => 2,
        Marker::Str32 | Marker::Bin32 | Marker::Ext32 | Marker::Array32 | Marker::Map32 => 4,
        Marker::Reserved => return Err(Malformed),
    };
    let Some(length_bytes) = bytes.get(1..1 + width) else { return Ok(None) };
    let count = length_bytes.iter().fold(0_u64, |sum, byte| sum << 8 | u64::from(*byte));
    let (bytes, values) = match marker {
        Marker::Array16 | Marker::Array32 => (0, count),
        Marker::Map16 | Marker::Map32 => (0, 2 * count),
        Marker::Ext8 | Marker::Ext16 | Marker::Ext32 => (count + 1, 0),
        _ => (count, 0),
    };
    Ok(Some((1 + width, bytes, values)))
}

/// Returns the length of the message that `bytes` start with, once it is complete. `scanner` holds the state
/// between calls, and `scanned` the number of bytes scanned so far.
pub fn message_length(
    bytes: &[u8], scanner: &mut MessageScanner, scanned: &mut usize,
) -> Result<Option<usize>> {
    *scanned += scanner.advance(&bytes[*scanned..])?;
    Ok(scanner.is_done().then_some(*scanned))
}

/// Returns the number of the request that `bytes` begin with, if they do and contain it.
pub fn request_number(mut bytes: &[u8]) -> Option<u32> {
    let message = &mut bytes;
    let is_request = (read_array_len(message).ok()?, read_u32(message).ok()?) == (4, REQUEST);
    if is_request { read_u32(message).ok() } else { None }
}

pub fn read_array_len(message: &mut &[u8]) -> Result<u32> {
    Ok(decode::read_array_len(message)?)
}

pub fn read_u32(message: &mut &[u8]) -> Result<u32> {
    Ok(decode::read_int(message)?)
}

pub fn read_str<'a>(message: &mut &'a [u8]) -> Result<&'a str> {
    let (found, rest) = decode::read_str_from_slice(*message).map_err(|_| Malformed)?;
    *message = rest;
    Ok(found)
}

/// Reads a body, which some clients encode as a string.
fn read_body<'a>(message: &mut &'a [u8]) -> Result<&'a [u8]> {
    let text = decode::read_str_from_slice::<[u8]>(*message);
    if let Ok((found, rest)) = text {
        *message = rest;
        return Ok(found.as_bytes());
    }
    let length = decode::read_bin_len(message)? as usize;
    let (found, rest) = message.split_at_checked(length).ok_or(Malformed)?;
    *message = rest;
    Ok(found)
}

/// Reads the parameters of a request: calls `field` for each entry of a map of strings, and returns the body
/// that follows the map.
pub fn read_parameters<'a>(
    message: &mut &'a [u8], mut field: impl FnMut(&'a str, &'a str),
) -> Result<&'a [u8]> {
    if read_array_len(message)? != 2 {
        return Err(Malformed);
    }
    for _ in 0..decode::read_map_len(message)? {
        let name = read_str(message)?;
        field(name, read_str(message)?);
    }
    read_body(message)
}

/// Writes the parts of an answer before and after its pages.
pub fn write_answer(number: u32, answer: &Answer, head: &mut Vec<u8>, tail: &mut Vec<u8>) -> io::Result<()> {
    encode::write_array_len(head, 4)?;
    encode::write_uint(head, RESPONSE.into())?;
    encode::write_uint(head, number.into())?;
    match answer {
        Answer::Served(rows) => {
            encode::write_nil(head)?;
            encode::write_array_len(head, 2)?;
            encode::write_bin_len(head, rows.pages.iter().map(Vec::len).sum::<usize>() as u32)?;
            encode::write_map_len(tail, 0)?;
        }
        Answer::Pong(serving) => {
            encode::write_nil(head)?;
            encode::write_array_len(head, 2)?;
            encode::write_bool(head, *serving)?;
            encode::write_map_len(tail, 0)?;
        }
        Answer::Overloaded(come_back) => {
            encode::write_array_len(head, 2)?;
            encode::write_str(head, "Overloaded")?;
            encode::write_map_len(head, come_back.iter().count() as u32)?;
            if let Some(span) = come_back {
                encode::write_str(head, "after")?;
                encode::write_str(head, &span.micros().div_ceil(1000).to_string())?;
            }
            encode::write_nil(tail)?;
        }
        Answer::Failed(why) => {
            encode::write_array_len(head, 2)?;
            encode::write_str(head, why)?;
            encode::write_map_len(head, 0)?;
            encode::write_nil(tail)?;
        }
    }
    Ok(())
}
