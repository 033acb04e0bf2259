//! Reads the fields of JSON objects. Errors name the field that is missing or malformed.

use serde_json::Value;
use woadhook::Span;

pub type Result<T> = std::result::Result<T, String>;

/// A field that must be present and not null.
pub fn required<'a>(value: &'a Value, field: &str) -> Result<&'a Value> {
    value.get(field).filter(|found| !found.is_null()).ok_or_else(|| format!("lacks {field}"))
}

fn typed<'a, T>(value: &'a Value, field: &str, read: impl Fn(&'a Value) -> Option<T>) -> Result<T> {
    read(required(value, field)?).ok_or_else(|| format!("{field} is malformed"))
}

/// A string field.
pub fn text<'a>(value: &'a Value, field: &str) -> Result<&'a str> {
    typed(value, field, Value::as_str)
}

/// An unsigned integer field. Fractions are truncated, and negative numbers become zero.
pub fn integer(value: &Value, field: &str) -> Result<u64> {
    typed(value, field, |found| found.as_u64().or_else(|| found.as_f64().map(|f| f.max(0.0) as u64)))
}

/// A number field.
pub fn number(value: &Value, field: &str) -> Result<f64> {
    typed(value, field, Value::as_f64)
}

/// A duration field, in microseconds.
pub fn span(value: &Value, field: &str) -> Result<Span> {
    integer(value, field).map(Span::from_micros)
}

/// An array field.
pub fn array<'a>(value: &'a Value, field: &str) -> Result<&'a [Value]> {
    typed(value, field, |found| found.as_array().map(Vec::as_slice))
}

/// An array of numbers.
pub fn numbers(value: &Value, field: &str) -> Result<Vec<f64>> {
    array(value, field)?
        .iter()
        .map(|found| found.as_f64().ok_or_else(|| format!("{field} is malformed")))
        .collect()
}

/// An array of strings.
pub fn strings(value: &Value, field: &str) -> Result<Vec<String>> {
    let name = |found: &Value| found.as_str().map(str::to_owned);
    array(value, field)?.iter().map(|v| name(v).ok_or_else(|| format!("{field} is malformed"))).collect()
}

/// A boolean field; false if it is missing or not a boolean.
pub fn flag(value: &Value, field: &str) -> bool {
    value.get(field).and_then(Value::as_bool).unwrap_or(false)
}

/// An element of an array of booleans; false if it is missing or not a boolean.
pub fn flag_at(value: &Value, field: &str, index: usize) -> bool {
    value.get(field).and_then(|flags| flags.get(index)).and_then(Value::as_bool).unwrap_or(false)
}

/// The index of a name in a list, if it is there.
pub fn position(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|known| known == name)
}

/// The index of a name in a list. The error states the field that contains the unknown name.
pub fn index_of(names: &[String], name: &str, field: &str) -> Result<usize> {
    position(names, name).ok_or_else(|| format!("{field}: unknown {name}"))
}

/// The indices in `names` of the names that an optional field lists. Names that are not in `names` are
/// skipped, because no engine has them.
pub fn indices_of(value: &Value, field: &str, names: &[String]) -> Option<Vec<usize>> {
    let listed = array(value, field).ok()?;
    Some(listed.iter().filter_map(Value::as_str).filter_map(|name| position(names, name)).collect())
}
