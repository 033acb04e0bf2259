//! Reads the fields of JSON objects, and says in plain words what is amiss with them.

use serde_json::Value;
use woadhook::Span;

pub type Result<T> = std::result::Result<T, String>;

pub fn required<'a>(value: &'a Value, field: &str) -> Result<&'a Value> {
    value.get(field).filter(|found| !found.is_null()).ok_or_else(|| format!("lacks {field}"))
}

fn typed<'a, T>(value: &'a Value, field: &str, read: impl Fn(&'a Value) -> Option<T>) -> Result<T> {
    read(required(value, field)?).ok_or_else(|| format!("{field} is malformed"))
}

pub fn text<'a>(value: &'a Value, field: &str) -> Result<&'a str> {
    typed(value, field, Value::as_str)
}

pub fn integer(value: &Value, field: &str) -> Result<u64> {
    typed(value, field, |found| found.as_u64().or_else(|| found.as_f64().map(|f| f.max(0.0) as u64)))
}

pub fn number(value: &Value, field: &str) -> Result<f64> {
    typed(value, field, Value::as_f64)
}

pub fn span(value: &Value, field: &str) -> Result<Span> {
    integer(value, field).map(Span::from_micros)
}

pub fn array<'a>(value: &'a Value, field: &str) -> Result<&'a [Value]> {
    typed(value, field, |found| found.as_array().map(Vec::as_slice))
}

pub fn numbers(value: &Value, field: &str) -> Result<Vec<f64>> {
    array(value, field)?
        .iter()
        .map(|found| found.as_f64().ok_or_else(|| format!("{field} is malformed")))
        .collect()
}

pub fn strings(value: &Value, field: &str) -> Result<Vec<String>> {
    let name = |found: &Value| found.as_str().map(str::to_owned);
    array(value, field)?.iter().map(|v| name(v).ok_or_else(|| format!("{field} is malformed"))).collect()
}

pub fn flag(value: &Value, field: &str) -> bool {
    value.get(field).and_then(Value::as_bool).unwrap_or(false)
}

pub fn flag_at(value: &Value, field: &str, place: usize) -> bool {
    value.get(field).and_then(|marks| marks.get(place)).and_then(Value::as_bool).unwrap_or(false)
}

pub fn position(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|known| known == name)
}

pub fn index_of(names: &[String], name: &str, field: &str) -> Result<usize> {
    position(names, name).ok_or_else(|| format!("{field}: unknown {name}"))
}

/// The places among `names` that an optional field lists; those not among them are nowhere to be met.
pub fn indices_of(value: &Value, field: &str, names: &[String]) -> Option<Vec<usize>> {
    let listed = array(value, field).ok()?;
    Some(listed.iter().filter_map(Value::as_str).filter_map(|name| position(names, name)).collect())
}
