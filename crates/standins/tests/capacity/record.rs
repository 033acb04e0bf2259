//! The measured figures: the files of `docs/capacity`, and the headings and figures of `docs/results.md`.

use std::fs;
use std::path::PathBuf;

use crate::page::{Point, parse_number};

const CAPACITY_FOLDER: &str = "docs/capacity";
const AXES: [&str; 6] = ["engines", "clients", "jobs", "events", "routers", "members"];

/// The line of a measure along one axis: its growth per unit of the axis and its value at 0.
#[derive(Clone, Debug)]
pub struct Slope {
    pub axis: String,
    pub measure: String,
    pub unit: String,
    pub slope: f64,
    pub intercept: f64,
}

/// The files of the repository that the page names as its sources.
pub struct Record {
    pub root: PathBuf,
    pub slopes: Vec<Slope>,
    pub points: Vec<Point>,
    pub results: String,
}

impl Record {
    /// Reads the files. A missing file of measurements is taken as empty.
    pub fn load() -> Self {
        let root = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..");
        let table =
            |name: &str| fs::read_to_string(root.join(CAPACITY_FOLDER).join(name)).unwrap_or_default();
        let slopes = slopes(&table("slopes.csv"));
        let points = AXES.iter().flat_map(|axis| points(&table(&format!("{axis}.csv")))).collect();
        let results = fs::read_to_string(root.join("docs/results.md")).unwrap();
        Self { root, slopes, points, results }
    }

    pub fn slope(&self, axis: &str, measure: &str) -> Option<&Slope> {
        self.slopes.iter().find(|slope| slope.axis == axis && slope.measure == measure)
    }

    /// The text below a heading, up to the next heading of the same level.
    pub fn section(&self, heading: &str) -> Option<&str> {
        let start = self.results.find(&format!("\n## {heading}\n"))?;
        let rest = &self.results[start + 1..];
        Some(rest[1..].find("\n## ").map_or(rest, |end| &rest[..end + 1]))
    }

    pub fn has_file(&self, file: &str) -> bool {
        self.root.join(file).is_file()
    }

    pub fn read_file(&self, file: &str) -> Option<String> {
        fs::read_to_string(self.root.join(file)).ok()
    }
}

/// Whether a text contains a figure as a number of its own, not as a part of another one.
pub fn contains_number(text: &str, figure: f64) -> bool {
    let parts = text.split(|c: char| !(c.is_ascii_digit() || c == '.' || c == ','));
    parts.filter_map(|part| parse_number(part.trim_matches([',', '.']))).any(|number| number == figure)
}

/// The lines of a CSV file without quotes; the first line names the columns.
struct CsvTable<'a> {
    header: Vec<&'a str>,
    lines: Vec<Vec<&'a str>>,
}

impl<'a> CsvTable<'a> {
    fn parse(table: &'a str) -> Self {
        let mut lines = table.lines().filter(|line| !line.is_empty()).map(|line| line.split(',').collect());
        Self { header: lines.next().unwrap_or_default(), lines: lines.collect() }
    }

    fn text(&self, line: &[&str], column: &str) -> String {
        let index = self.header.iter().position(|name| *name == column);
        index
            .and_then(|index| line.get(index))
            .unwrap_or_else(|| panic!("no column {column}: {line:?}"))
            .to_string()
    }

    fn number(&self, line: &[&str], column: &str) -> f64 {
        self.text(line, column).parse().unwrap_or_else(|_| panic!("{column} is not a number: {line:?}"))
    }
}

pub fn slopes(table: &str) -> Vec<Slope> {
    let table = CsvTable::parse(table);
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
    let table = CsvTable::parse(table);
    let read = |line: &Vec<&str>| Point {
        axis: table.text(line, "axis"),
        size: table.number(line, "size"),
        measure: table.text(line, "measure"),
        unit: table.text(line, "unit"),
        value: table.number(line, "value"),
    };
    table.lines.iter().map(read).collect()
}
