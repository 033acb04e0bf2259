//! Checks what a template stands for against the table of fields, and hands it out by section.

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
    /// By path; holds each field of the sections that are given, defaults filled in.
    values: BTreeMap<&'static str, Value>,
    folder: PathBuf,
}

/// The fields of one section. Getters give the type that the table states, or its zero where the field is not set.
#[derive(Clone, Copy, Debug)]
pub struct Section<'a> {
    sheet: &'a OperatorFile,
    name: &'a str,
}

impl Default for OperatorFile {
    /// As an empty file: sections whose fields all have defaults.
    fn default() -> Self {
        let mut sheet = Self { values: BTreeMap::new(), folder: PathBuf::from(".") };
        sheet.fill_in(&Map::new());
        sheet
    }
}

impl OperatorFile {
    /// Evaluates a template in a process of its own, which `program` (woadhook itself) is started for, and
    /// checks the result.
    pub fn load(program: &Path, path: &Path) -> Result<Self, String> {
        let json = subprocess::evaluate(program, path)?;
        Self::parse(&json, path)
    }

    /// Checks what a template stands for. All faults are told, a line each: file, path of the field, what is
    /// given, what is allowed.
    pub fn parse(json: &str, path: &Path) -> Result<Self, String> {
        let shown = path.display();
        let given: Value = serde_json::from_str(json).map_err(|error| format!("{shown}: {error}"))?;
        let mut sheet =
            Self { folder: path.parent().unwrap_or(Path::new(".")).to_path_buf(), ..Self::default() };
        let mut faults = Vec::new();
        match given.as_object() {
            Some(sections) => {
                for (name, section) in sections {
                    sheet.take_section(name, section, &mut faults);
                }
                sheet.fill_in(sections);
            }
            None => faults.push(format!("{} given, allowed is an object of sections", shape(&given))),
        }
        if faults.is_empty() {
            return Ok(sheet);
        }
        let lines: Vec<String> = faults.iter().map(|fault| format!("{shown}: {fault}")).collect();
        Err(lines.join("\n"))
    }

    /// Adds the sections that were not given and need nothing.
    fn fill_in(&mut self, given: &Map<String, Value>) {
        for (name, _) in SECTIONS.iter().filter(|(name, _)| !given.contains_key(*name)) {
            let needs = |field: &Field| field.section() == *name && field.default.is_none();
            if !FIELDS.iter().any(needs) {
                self.take_section(name, &Value::Object(Map::new()), &mut Vec::new());
            }
        }
    }

    fn take_section(&mut self, name: &str, section: &Value, faults: &mut Vec<String>) {
        let fields = || FIELDS.iter().filter(|field| field.section() == name);
        if !SECTIONS.iter().any(|(known, _)| *known == name) {
            let known: Vec<&str> = SECTIONS.iter().map(|(known, _)| *known).collect();
            return faults.push(format!("{name}: no such section, allowed are {}", known.join(", ")));
        }
        let Some(given) = section.as_object() else {
            return faults.push(format!("{name}: {} given, allowed is an object", shape(section)));
        };
        for unknown in given.keys().filter(|key| !fields().any(|field| field.name() == key.as_str())) {
            let known: Vec<&str> = fields().map(Field::name).collect();
            faults.push(format!("{name}.{unknown}: no such field, allowed are {}", known.join(", ")));
        }
        for field in fields() {
            let value = match given.get(field.name()).filter(|value| !value.is_null()) {
                Some(value) => value.clone(),
                None => match field.default {
                    Some(default) => serde_json::from_str(default).unwrap_or(Value::Null),
                    None => {
                        faults.push(format!("{}: missing, allowed is {}", field.path, allowed(field)));
                        continue;
                    }
                },
            };
            if value.is_null() {
                continue;
            }
            match normal(field.kind, &value) {
                Some(value) => {
                    self.values.insert(field.path, value);
                }
                None => faults.push(format!("{}: {value} given, allowed is {}", field.path, allowed(field))),
            }
        }
    }

    /// A section, if the file holds it.
    pub fn section<'a>(&'a self, name: &'a str) -> Option<Section<'a>> {
        self.fields().any(|(path, _)| path.starts_with(name)).then_some(Section { sheet: self, name })
    }

    /// All fields that are set, defaults among them.
    pub fn fields(&self) -> impl Iterator<Item = (&'static str, &Value)> {
        self.values.iter().map(|(path, value)| (*path, value))
    }

    /// The files that the operator file names and that can't be read, a line each.
    pub fn unreadable_files(&self) -> Vec<String> {
        let files = FIELDS.iter().filter(|field| field.kind == FieldKind::File);
        let named = files.filter_map(|field| Some((field, self.values.get(field.path)?.as_str()?)));
        let fault = |(field, path): (&Field, &str)| {
            let error = fs::metadata(self.folder.join(path)).err()?;
            Some(format!("{}: {}: {error}", field.path, self.folder.join(path).display()))
        };
        named.filter_map(fault).collect()
    }
}

impl<'a> Section<'a> {
    fn value(&self, field: &str) -> Option<&'a Value> {
        self.sheet.values.get(format!("{}.{field}", self.name).as_str())
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
        let rows = self.value(field).and_then(Value::as_array);
        rows.into_iter().flatten().filter_map(Value::as_str).collect()
    }

    /// A path, from the operator file's folder.
    pub fn file_path(&self, field: &str) -> Option<PathBuf> {
        Some(self.sheet.folder.join(self.value(field)?.as_str()?))
    }
}

/// The value as the getters read it, if the kind allows it.
fn normal(kind: FieldKind, value: &Value) -> Option<Value> {
    match kind {
        FieldKind::Choice(words) => words.contains(&value.as_str()?).then(|| value.clone()),
        FieldKind::Text(most) => (1..=most).contains(&value.as_str()?.len()).then(|| value.clone()),
        FieldKind::Integer(least, most) => {
            let number = value.as_f64().filter(|number| number.fract() == 0.0 && *number >= 0.0)? as u64;
            (least..=most).contains(&number).then(|| number.into())
        }
        FieldKind::Address => value.as_str()?.parse::<SocketAddr>().ok().map(|_| value.clone()),
        FieldKind::File => (!value.as_str()?.is_empty()).then(|| value.clone()),
        FieldKind::List(most, each) => {
            let rows = value.as_array().filter(|rows| rows.len() <= most)?;
            rows.iter().map(|row| normal(*each, row)).collect::<Option<Vec<_>>>().map(Value::Array)
        }
    }
}

/// What a field allows, in words.
pub fn allowed(field: &Field) -> String {
    let words = of_kind(field.kind);
    if field.unit.is_empty() { words } else { format!("{words} ({})", field.unit) }
}

fn of_kind(kind: FieldKind) -> String {
    match kind {
        FieldKind::Choice(words) => format!("one of {}", words.join(", ")),
        FieldKind::Text(most) => format!("text of 1 to {most} bytes"),
        FieldKind::Integer(least, most) => format!("a whole number from {least} to {most}"),
        FieldKind::Address => "an IP address and port, as in 10.0.0.4:7946 or [::1]:7946".to_owned(),
        FieldKind::File => "the path of a file".to_owned(),
        FieldKind::List(most, each) => format!("a list of up to {most}, each {}", of_kind(*each)),
    }
}

fn shape(value: &Value) -> &'static str {
    match value {
        Value::Null => "null",
        Value::Bool(_) => "a flag",
        Value::Number(_) => "a number",
        Value::String(_) => "text",
        Value::Array(_) => "a list",
        Value::Object(_) => "an object",
    }
}
