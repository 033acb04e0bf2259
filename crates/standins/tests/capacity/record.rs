//! What was measured: the files of `docs/capacity`, and the headings and figures of `docs/results.md`.

use std::fs;
use std::path::PathBuf;

use crate::page::{Point, figure};

const FOLDER: &str = "docs/capacity";
const AXES: [&str; 6] = ["engines", "clients", "jobs", "events", "routers", "members"];

/// A measure along one axis: what it grows by for each unit of the axis, and where it starts.
#[derive(Clone, Debug)]
pub struct Slope {
    pub axis: String,
    pub measure: String,
    pub unit: String,
    pub slope: f64,
    pub intercept: f64,
}

/// The repository's own files, as the page's sources name them.
pub struct Record {
    pub root: PathBuf,
    pub slopes: Vec<Slope>,
    pub points: Vec<Point>,
    pub results: String,
}

impl Record {
    /// What was not measured is not there.
    pub fn of_repository() -> Self {
        let root = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..");
        let table = |name: &str| fs::read_to_string(root.join(FOLDER).join(name)).unwrap_or_default();
        let slopes = slopes(&table("slopes.csv"));
        let points = AXES.iter().flat_map(|axis| points(&table(&format!("{axis}.csv")))).collect();
        let results = fs::read_to_string(root.join("docs/results.md")).unwrap();
        Self { root, slopes, points, results }
    }

    pub fn slope(&self, axis: &str, measure: &str) -> Option<&Slope> {
        self.slopes.iter().find(|slope| slope.axis == axis && slope.measure == measure)
    }

    /// The text below a heading, up to the next of its level.
    pub fn section(&self, heading: &str) -> Option<&str> {
        let start = self.results.find(&format!("\n## {heading}\n"))?;
        let rest = &self.results[start + 1..];
        Some(rest[1..].find("\n## ").map_or(rest, |end| &rest[..end + 1]))
    }

    pub fn holds(&self, file: &str) -> bool {
        self.root.join(file).is_file()
    }

    pub fn text(&self, file: &str) -> Option<String> {
        fs::read_to_string(self.root.join(file)).ok()
    }
}

/// Whether a figure stands in a text as a number of its own.
pub fn tells(text: &str, wanted: f64) -> bool {
    let parts = text.split(|c: char| !(c.is_ascii_digit() || c == '.' || c == ','));
    parts.filter_map(|part| figure(part.trim_matches([',', '.']))).any(|told| told == wanted)
}

/// The lines of a CSV file without quotes, by the names in its first line.
struct Lines<'a> {
    header: Vec<&'a str>,
    lines: Vec<Vec<&'a str>>,
}

impl<'a> Lines<'a> {
    fn of(table: &'a str) -> Self {
        let mut lines = table.lines().filter(|line| !line.is_empty()).map(|line| line.split(',').collect());
        Self { header: lines.next().unwrap_or_default(), lines: lines.collect() }
    }

    fn text(&self, line: &[&str], column: &str) -> String {
        let place = self.header.iter().position(|name| *name == column);
        place.and_then(|place| line.get(place)).unwrap_or_else(|| panic!("no {column}: {line:?}")).to_string()
    }

    fn number(&self, line: &[&str], column: &str) -> f64 {
        self.text(line, column).parse().unwrap_or_else(|_| panic!("{column} is no number: {line:?}"))
    }
}

pub fn slopes(table: &str) -> Vec<Slope> {
    let table = Lines::of(table);
    let read = |line: &Vec<&str>| Slope {
        axis: table.text(line, "axis"),
        measure: table.text(line, "measure"),
        unit: table.text(line, "unit"),
        slope: table.number(line, "slope"),
        intercept: table.number(line, "intercept"),
    };
    table.lines.iter().map(read).collect()
}

pub fn points(table: &str) -> Vec<Point> {
    let table = Lines::of(table);
    let read = |line: &Vec<&str>| Point {
        axis: table.text(line, "axis"),
        size: table.number(line, "size"),
        measure: table.text(line, "measure"),
        unit: table.text(line, "unit"),
        value: table.number(line, "value"),
    };
    table.lines.iter().map(read).collect()
}
