//! MessagePack-RPC: where a message ends, how its parts are read, and how answers are written.

use std::io;

use rmp::Marker;
use rmp::decode::{self, NumValueReadError, ValueReadError};
use rmp::encode;
use woadhook::Span;

use crate::query::Rows;

pub const REQUEST: u32 = 0;
pub const ANSWER: u32 = 1;
pub const NOTICE: u32 = 2;

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

/// The length of the value that `bytes` start with, once it is there whole.
pub fn whole(bytes: &[u8]) -> Result<Option<usize>> {
    let (mut at, mut left) = (0_usize, 1_u64);
    let big = |at: usize, width: usize| {
        let digits = bytes.get(at..at + width)?;
        Some(digits.iter().fold(0_u64, |sum, digit| sum << 8 | u64::from(*digit)))
    };
    while left > 0 {
        let Some(&first) = bytes.get(at) else { return Ok(None) };
        at += 1;
        left -= 1;
        // Bytes of a length, bytes beside what it counts, and values in it for each that it counts.
        let (width, fixed, values) = match Marker::from_u8(first) {
            Marker::Null | Marker::True | Marker::False | Marker::FixPos(_) | Marker::FixNeg(_) => (0, 0, 0),
            Marker::U8 | Marker::I8 => (0, 1, 0),
            Marker::U16 | Marker::I16 => (0, 2, 0),
            Marker::U32 | Marker::I32 | Marker::F32 => (0, 4, 0),
            Marker::U64 | Marker::I64 | Marker::F64 => (0, 8, 0),
            Marker::FixStr(length) => (0, usize::from(length), 0),
            Marker::Str8 | Marker::Bin8 => (1, 0, 0),
            Marker::Str16 | Marker::Bin16 => (2, 0, 0),
            Marker::Str32 | Marker::Bin32 => (4, 0, 0),
            Marker::FixArray(count) => (0, 0, u64::from(count)),
            Marker::FixMap(count) => (0, 0, 2 * u64::from(count)),
            Marker::Array16 | Marker::Map16 => (2, 0, 1),
            Marker::Array32 | Marker::Map32 => (4, 0, 1),
            Marker::FixExt1 => (0, 2, 0),
            Marker::FixExt2 => (0, 3, 0),
            Marker::FixExt4 => (0, 5, 0),
            Marker::FixExt8 => (0, 9, 0),
            Marker::FixExt16 => (0, 17, 0),
            Marker::Ext8 => (1, 1, 0),
            Marker::Ext16 => (2, 1, 0),
            Marker::Ext32 => (4, 1, 0),
            Marker::Reserved => return Err(Malformed),
        };
        if width == 0 {
            (at, left) = (at + fixed, left + values);
            continue;
        }
        let Some(count) = big(at, width) else { return Ok(None) };
        at += width + fixed;
        match (values, Marker::from_u8(first)) {
            (0, _) => at += count as usize,
            (_, Marker::Map16 | Marker::Map32) => left += 2 * count,
            _ => left += count,
        }
    }
    Ok((at <= bytes.len()).then_some(at))
}

pub fn array(message: &mut &[u8]) -> Result<u32> {
    Ok(decode::read_array_len(message)?)
}

pub fn number(message: &mut &[u8]) -> Result<u32> {
    Ok(decode::read_int(message)?)
}

pub fn text<'a>(message: &mut &'a [u8]) -> Result<&'a str> {
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

/// The parameters of a request: hears each field of a map of texts, and returns the body.
pub fn parameters<'a>(message: &mut &'a [u8], mut field: impl FnMut(&'a str, &'a str)) -> Result<&'a [u8]> {
    if array(message)? != 2 {
        return Err(Malformed);
    }
    for _ in 0..decode::read_map_len(message)? {
        let name = text(message)?;
        field(name, text(message)?);
    }
    body(message)
}

/// What answers a request.
pub enum Answer {
    Served(Rows),
    Overloaded(Option<Span>),
    Failed(&'static str),
    Pong(bool),
}

/// Writes what stands before and behind the pages of an answer.
pub fn write(number: u32, answer: &Answer, head: &mut Vec<u8>, tail: &mut Vec<u8>) -> io::Result<()> {
    encode::write_array_len(head, 4)?;
    encode::write_uint(head, ANSWER.into())?;
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
