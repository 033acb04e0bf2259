//! Checks an evaluated operator file against the table of fields, and gives access to its values by section.

use std::collections::BTreeMap;
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use serde_json::{Map, Value};

use crate::subprocess;
use crate::table::{FIELDS, Field, FieldKind, SECTIONS};

/// A checked operator file.
#[derive(Clone, Debug)]
pub struct OperatorFile {
    /// The values by field path: those that are given, and defaults for the other fields of the sections.
    values: BTreeMap<&'static str, Value>,
    folder: PathBuf,
}

/// The fields of one section. Each getter returns the type that the table states, or an empty value or zero
/// if the field is not set.
#[derive(Clone, Copy, Debug)]
pub struct Section<'a> {
    file: &'a OperatorFile,
    name: &'a str,
}

impl Default for OperatorFile {
    /// The values of an empty file: the sections whose fields all have defaults.
    fn default() -> Self {
        let mut file = Self { values: BTreeMap::new(), folder: PathBuf::from(".") };
        file.add_default_sections(&Map::new());
        file
    }
}

impl OperatorFile {
    /// Evaluates a template in a child process that runs `program` (woadhook itself), and checks the result.
    pub fn load(program: &Path, path: &Path) -> Result<Self, String> {
        let json = subprocess::evaluate(program, path)?;
        Self::parse(&json, path)
    }

    /// Checks the JSON of an evaluated template. On failure it returns all errors, one on each line: the
    /// file, the path of the field, the given value, and what is allowed.
    pub fn parse(json: &str, path: &Path) -> Result<Self, String> {
        let display = path.display();
        let given: Value = serde_json::from_str(json).map_err(|error| format!("{display}: {error}"))?;
        let mut file =
            Self { folder: path.parent().unwrap_or(Path::new(".")).to_path_buf(), ..Self::default() };
        let mut errors = Vec::new();
        match given.as_object() {
            Some(sections) => {
                for (name, section) in sections {
                    file.read_section(name, section, &mut errors);
                }
                file.add_default_sections(sections);
            }
            None => errors.push(format!("{} given, allowed is an object of sections", type_name(&given))),
        }
        if errors.is_empty() {
            return Ok(file);
        }
        let error_lines: Vec<String> = errors.iter().map(|error| format!("{display}: {error}")).collect();
        Err(error_lines.join("\n"))
    }

    /// Adds the sections that are not given and have no required field.
    fn add_default_sections(&mut self, given: &Map<String, Value>) {
        for (name, _) in SECTIONS.iter().filter(|(name, _)| !given.contains_key(*name)) {
            let is_required = |field: &Field| field.section() == *name && field.default.is_none();
            if !FIELDS.iter().any(is_required) {
                self.read_section(name, &Value::Object(Map::new()), &mut Vec::new());
            }
        }
    }

    fn read_section(&mut self, name: &str, section: &Value, errors: &mut Vec<String>) {
        let section_fields = || FIELDS.iter().filter(|field| field.section() == name);
        if !SECTIONS.iter().any(|(known, _)| *known == name) {
            let known: Vec<&str> = SECTIONS.iter().map(|(known, _)| *known).collect();
            return errors.push(format!("{name}: no such section, allowed are {}", known.join(", ")));
        }
        let Some(given) = section.as_object() else {
            return errors.push(format!("{name}: {} given, allowed is an object", type_name(section)));
        };
        for unknown in given.keys().filter(|key| !section_fields().any(|field| field.name() == key.as_str()))
        {
            let known: Vec<&str> = section_fields().map(Field::name).collect();
            errors.push(format!("{name}.{unknown}: no such field, allowed are {}", known.join(", ")));
        }
        for field in section_fields() {
            let value = match given.get(field.name()).filter(|value| !value.is_null()) {
                Some(value) => value.clone(),
                None => match field.default {
                    Some(default) => serde_json::from_str(default).unwrap_or(Value::Null),
                    None => {
                        errors.push(format!(
                            "{}: missing, allowed is {}",
                            field.path,
                            describe_allowed(field)
                        ));
                        continue;
                    }
                },
            };
            if value.is_null() {
                continue;
            }
            match normalize(field.kind, &value) {
                Some(value) => {
                    self.values.insert(field.path, value);
                }
                None => errors.push(format!(
                    "{}: {value} given, allowed is {}",
                    field.path,
                    describe_allowed(field)
                )),
            }
        }
    }

    /// Returns a section if the file contains it or all its fields have defaults.
    pub fn section<'a>(&'a self, name: &'a str) -> Option<Section<'a>> {
        self.fields().any(|(path, _)| path.starts_with(name)).then_some(Section { file: self, name })
    }

    /// All fields that have a value, including defaults.
    pub fn fields(&self) -> impl Iterator<Item = (&'static str, &Value)> {
        self.values.iter().map(|(path, value)| (*path, value))
    }

    /// The files that the operator file names but that can't be accessed, one message for each.
    pub fn unreadable_files(&self) -> Vec<String> {
        let files = FIELDS.iter().filter(|field| field.kind == FieldKind::File);
        let configured = files.filter_map(|field| Some((field, self.values.get(field.path)?.as_str()?)));
        let access_error = |(field, path): (&Field, &str)| {
            let error = fs::metadata(self.folder.join(path)).err()?;
            Some(format!("{}: {}: {error}", field.path, self.folder.join(path).display()))
        };
        configured.filter_map(access_error).collect()
    }
}

impl<'a> Section<'a> {
    fn value(&self, field: &str) -> Option<&'a Value> {
        self.file.values.get(format!("{}.{field}", self.name).as_str())
    }

    pub fn text(&self, field: &str) -> &'a str {
        self.value(field).and_then(Value::as_str).unwrap_or_default()
    }

    pub fn integer(&self, field: &str) -> u64 {
        self.value(field).and_then(Value::as_u64).unwrap_or_default()
    }

    pub fn address(&self, field: &str) -> Option<SocketAddr> {
        self.value(field)?.as_str()?.parse().ok()
    }

    pub fn address_list(&self, field: &str) -> Vec<SocketAddr> {
        self.text_list(field).iter().filter_map(|text| text.parse().ok()).collect()
    }

    pub fn text_list(&self, field: &str) -> Vec<&'a str> {
        let items = self.value(field).and_then(Value::as_array);
        items.into_iter().flatten().filter_map(Value::as_str).collect()
    }

    /// The path of a file. A relative path starts at the operator file's folder.
    pub fn file_path(&self, field: &str) -> Option<PathBuf> {
        Some(self.file.folder.join(self.value(field)?.as_str()?))
    }
}

/// Returns the value in the form that the getters read, if the kind allows it.
fn normalize(kind: FieldKind, value: &Value) -> Option<Value> {
    match kind {
        FieldKind::Choice(choices) => choices.contains(&value.as_str()?).then(|| value.clone()),
        FieldKind::Text(max_bytes) => (1..=max_bytes).contains(&value.as_str()?.len()).then(|| value.clone()),
        FieldKind::Integer(min, max) => {
            let number = value.as_f64().filter(|number| number.fract() == 0.0 && *number >= 0.0)? as u64;
            (min..=max).contains(&number).then(|| number.into())
        }
        FieldKind::Address => value.as_str()?.parse::<SocketAddr>().ok().map(|_| value.clone()),
        FieldKind::File => (!value.as_str()?.is_empty()).then(|| value.clone()),
        FieldKind::List(max_items, item_kind) => {
            let items = value.as_array().filter(|items| items.len() <= max_items)?;
            items.iter().map(|item| normalize(*item_kind, item)).collect::<Option<Vec<_>>>().map(Value::Array)
        }
    }
}

/// Describes the values that a field allows.
pub fn describe_allowed(field: &Field) -> String {
    let description = describe_kind(field.kind);
    if field.unit.is_empty() { description } else { format!("{description} ({})", field.unit) }
}

fn describe_kind(kind: FieldKind) -> String {
    match kind {
        FieldKind::Choice(choices) => format!("one of {}", choices.join(", ")),
        FieldKind::Text(max_bytes) => format!("text of 1 to {max_bytes} bytes"),
        FieldKind::Integer(min, max) => format!("a whole number from {min} to {max}"),
        FieldKind::Address => "an IP address and port, as in 10.0.0.4:7946 or [::1]:7946".to_owned(),
        FieldKind::File => "the path of a file".to_owned(),
        FieldKind::List(max_items, item_kind) => {
            format!("a list of up to {max_items}, each {}", describe_kind(*item_kind))
        }
    }
}

fn type_name(value: &Value) -> &'static str {
    match value {
        Value::Null => "null",
        Value::Bool(_) => "a flag",
        Value::Number(_) => "a number",
        Value::String(_) => "text",
        Value::Array(_) => "a list",
        Value::Object(_) => "an object",
    }
}
