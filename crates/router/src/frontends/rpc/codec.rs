//! MessagePack-RPC: where a message ends, how its parts are read, and how answers are written.

use std::io;

use rmp::Marker;
use rmp::decode::{self, NumValueReadError, ValueReadError};
use rmp::encode;

use crate::exchange::Answer;

pub const REQUEST: u32 = 0;
pub const RESPONSE: u32 = 1;
pub const NOTIFICATION: u32 = 2;

/// What a message is not: whole, of this protocol.
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

/// Finds where a message ends, over as many pieces as it comes in.
pub struct MessageScanner {
    /// Values still to begin, and bytes of the last one still to pass over.
    values: u64,
    bytes: u64,
}

impl Default for MessageScanner {
    fn default() -> Self {
        Self { values: 1, bytes: 0 }
    }
}

impl MessageScanner {
    pub fn is_done(&self) -> bool {
        self.values == 0 && self.bytes == 0
    }

    /// The least number of bytes that are still to come, as each value has one.
    pub fn min_remaining(&self) -> u64 {
        self.bytes.saturating_add(self.values)
    }

    /// Passes over what of the message stands in `piece`, and returns how many bytes that is: all up to its
    /// end, or up to a head of a value that is not there whole.
    pub fn advance(&mut self, piece: &[u8]) -> Result<usize> {
        let mut at = 0;
        loop {
            let passed = self.bytes.min((piece.len() - at) as u64);
            (at, self.bytes) = (at + passed as usize, self.bytes - passed);
            if self.values == 0 || self.bytes > 0 {
                return Ok(at);
            }
            let Some((length, bytes, values)) = head(&piece[at..])? else { return Ok(at) };
            (at, self.bytes, self.values) = (at + length, bytes, (self.values - 1).saturating_add(values));
        }
    }
}

/// The length of the head of a value, and how many bytes and values it says to follow; `None` if it is not
/// there whole.
fn head(bytes: &[u8]) -> Result<Option<(usize, u64, u64)>> {
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
    let Some(digits) = bytes.get(1..1 + width) else { return Ok(None) };
    let count = digits.iter().fold(0_u64, |sum, digit| sum << 8 | u64::from(*digit));
    let (bytes, values) = match marker {
        Marker::Array16 | Marker::Array32 => (0, count),
        Marker::Map16 | Marker::Map32 => (0, 2 * count),
        Marker::Ext8 | Marker::Ext16 | Marker::Ext32 => (count + 1, 0),
        _ => (count, 0),
    };
    Ok(Some((1 + width, bytes, values)))
}

/// The length of the message that `bytes` start with, once it is there whole; `scan` keeps what was passed
/// over before, as `scanned` bytes of it.
pub fn message_length(bytes: &[u8], scan: &mut MessageScanner, scanned: &mut usize) -> Result<Option<usize>> {
    *scanned += scan.advance(&bytes[*scanned..])?;
    Ok(scan.is_done().then_some(*scanned))
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

/// A body, which some clients write as text.
fn body<'a>(message: &mut &'a [u8]) -> Result<&'a [u8]> {
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

/// The parameters of a request: hears each field of a map of texts, and returns the body behind it.
pub fn parameters<'a>(message: &mut &'a [u8], mut field: impl FnMut(&'a str, &'a str)) -> Result<&'a [u8]> {
    if read_array_len(message)? != 2 {
        return Err(Malformed);
    }
    for _ in 0..decode::read_map_len(message)? {
        let name = read_str(message)?;
        field(name, read_str(message)?);
    }
    body(message)
}

/// Writes what stands before and behind the pages of an answer.
pub fn write(number: u32, answer: &Answer, head: &mut Vec<u8>, tail: &mut Vec<u8>) -> io::Result<()> {
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
