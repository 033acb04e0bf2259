//! The tables of `docs/CAPACITY.md`, read into typed rows.

use std::fmt;
use std::str::FromStr;

/// A table's first column, the names that stand in it, and what the page has to tell of each.
pub struct Part {
    pub column: &'static str,
    pub names: &'static [&'static str],
    pub kinds: &'static [Kind],
}

pub const PARTS: [Part; 2] = [
    Part {
        column: "role",
        names: &[
            "router",
            "control part",
            "engine",
            "client",
            "discovery",
            "voter or planner",
            "operator's machine",
        ],
        kinds: &[Kind::State, Kind::Messages, Kind::ProcessorTime, Kind::Memory],
    },
    Part {
        column: "failure",
        names: &[
            "rack",
            "zone",
            "region's cut",
            "640 restarts a day",
            "12 machines a day",
            "3,800 changes a day",
        ],
        kinds: &[Kind::Messages, Kind::Refusals, Kind::Seconds],
    },
];

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    State,
    Messages,
    ProcessorTime,
    Memory,
    Refusals,
    Seconds,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Under,
    Over,
    NoLimit,
    NotMeasured,
}

/// Where the figures of a row come from.
#[derive(Clone, Debug, PartialEq)]
pub enum Source {
    /// A row of `docs/capacity/slopes.csv`.
    Slope {
        axis: String,
        measure: String,
    },
    /// The slope is a value of `docs/capacity/AXIS.csv`.
    Point {
        axis: String,
        size: f64,
        measure: String,
    },
    /// The slope is what another row comes to at the target.
    Row(String),
    /// What other rows come to, their fixed part counted once.
    Sum(Vec<String>),
    /// Recorded under that heading of `docs/results.md`.
    Results(String),
    /// A constant of a source file, or a name that it holds.
    Code {
        file: String,
        name: String,
    },
    /// Given by the target itself.
    Target,
    /// Reasoned from the protocol or from other rows.
    Argument(String),
    NotMeasured(String),
}

/// One line of a capacity table. Figures are `None` where the page shows a dash.
#[derive(Clone, Debug)]
pub struct Row {
    pub of: String,
    pub kind: Kind,
    pub what: String,
    pub slope: Option<f64>,
    pub unit: String,
    pub size: Option<f64>,
    pub of_what: String,
    pub fixed: Option<f64>,
    pub at_target: Option<f64>,
    pub limit: Option<f64>,
    pub verdict: Verdict,
    pub mechanism: String,
    pub source: Source,
}

/// A size of the target, or one assumed or worked out from others.
#[derive(Clone, Debug)]
pub struct Size {
    pub name: String,
    pub value: f64,
    pub worked_out_as: String,
}

#[derive(Clone, Debug)]
pub struct Limit {
    pub value: f64,
    pub unit: String,
}

/// The command that gives the figures of an axis of `slopes.csv`, or of a heading of `docs/results.md`.
#[derive(Clone, Debug)]
pub struct Run {
    pub of: String,
    pub command: String,
}

/// A point of an axis as it was measured.
#[derive(Clone, Debug, PartialEq)]
pub struct Point {
    pub axis: String,
    pub size: f64,
    pub measure: String,
    pub unit: String,
    pub value: f64,
}

#[derive(Debug, Default)]
pub struct Page {
    pub sizes: Vec<Size>,
    pub limits: Vec<Limit>,
    pub runs: Vec<Run>,
    pub points: Vec<Point>,
    pub rows: Vec<Row>,
}

/// A cell that can't be read.
#[derive(Debug, PartialEq)]
pub struct Unread {
    pub row: String,
    pub column: &'static str,
    pub cell: String,
}

impl fmt::Display for Unread {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: column '{}' can't be read: '{}'", self.row, self.column, self.cell)
    }
}

impl Row {
    pub fn name(&self) -> String {
        format!("{}, {}", self.of, self.what)
    }
}

impl FromStr for Kind {
    type Err = ();
    fn from_str(words: &str) -> Result<Self, ()> {
        Ok(match words {
            "state" => Self::State,
            "messages" => Self::Messages,
            "processor time" => Self::ProcessorTime,
            "memory" => Self::Memory,
            "refusals" => Self::Refusals,
            "seconds" => Self::Seconds,
            _ => return Err(()),
        })
    }
}

impl FromStr for Verdict {
    type Err = ();
    fn from_str(words: &str) -> Result<Self, ()> {
        Ok(match words {
            "under" => Self::Under,
            "over" => Self::Over,
            "no limit" => Self::NoLimit,
            "not measured" => Self::NotMeasured,
            _ => return Err(()),
        })
    }
}

impl FromStr for Source {
    type Err = ();
    fn from_str(words: &str) -> Result<Self, ()> {
        if words == "target" {
            return Ok(Self::Target);
        }
        let (form, rest) = words.split_once(':').ok_or(())?;
        let rest = rest.trim();
        let told = rest.to_owned();
        Ok(match form {
            "slopes.csv" => {
                let (axis, measure) = rest.split_once('/').ok_or(())?;
                Self::Slope { axis: axis.to_owned(), measure: measure.to_owned() }
            }
            "point" => {
                let (axis, rest) = rest.split_once('/').ok_or(())?;
                let (size, measure) = rest.split_once('/').ok_or(())?;
                let size = figure(size).ok_or(())?;
                Self::Point { axis: axis.to_owned(), size, measure: measure.to_owned() }
            }
            "row" => Self::Row(told),
            "sum" => Self::Sum(rest.split(" + ").map(str::to_owned).collect()),
            "results.md" => Self::Results(told),
            "code" => {
                let (file, name) = rest.split_once(' ').ok_or(())?;
                Self::Code { file: file.trim_matches('`').to_owned(), name: name.to_owned() }
            }
            "argument" => Self::Argument(told),
            "not measured" => Self::NotMeasured(told),
            _ => return Err(()),
        })
    }
}

/// A figure with commas between thousands.
pub fn figure(words: &str) -> Option<f64> {
    words.replace(',', "").parse().ok()
}

/// The cells of one line, by the names in the table's header.
struct Cells<'a> {
    header: &'a [String],
    cells: &'a [String],
}

impl Cells<'_> {
    fn text(&self, column: &'static str) -> Result<&str, Unread> {
        let place = self.header.iter().position(|name| name == column);
        let cell = place.and_then(|place| self.cells.get(place));
        cell.map(String::as_str).ok_or_else(|| self.unread(column, "no such cell"))
    }

    fn read<T: FromStr>(&self, column: &'static str) -> Result<T, Unread> {
        let cell = self.text(column)?;
        cell.parse().map_err(|_| self.unread(column, cell))
    }

    fn figure(&self, column: &'static str) -> Result<f64, Unread> {
        let cell = self.text(column)?;
        figure(cell).ok_or_else(|| self.unread(column, cell))
    }

    fn figure_or_dash(&self, column: &'static str) -> Result<Option<f64>, Unread> {
        if self.text(column)? == "-" { Ok(None) } else { self.figure(column).map(Some) }
    }

    fn unread(&self, column: &'static str, cell: &str) -> Unread {
        let row = self.cells.iter().take(3).cloned().collect::<Vec<_>>().join(", ");
        Unread { row, column, cell: cell.to_owned() }
    }
}

fn cells(line: &str) -> Vec<String> {
    line.trim_matches('|').split('|').map(|cell| cell.trim().to_owned()).collect()
}

impl Page {
    pub fn read(words: &str) -> Result<Self, Unread> {
        let mut page = Self::default();
        let mut header: Option<Vec<String>> = None;
        for line in words.lines() {
            let line = line.trim();
            if !line.starts_with('|') {
                header = None;
                continue;
            }
            let cells = cells(line);
            let is_rule = cells.iter().all(|cell| !cell.is_empty() && cell.chars().all(|c| c == '-'));
            match &header {
                None => header = Some(cells),
                Some(_) if is_rule => {}
                Some(header) => page.line(&Cells { header, cells: &cells })?,
            }
        }
        Ok(page)
    }

    /// Takes in a line of a table that it knows; others are the reader's alone.
    fn line(&mut self, cells: &Cells<'_>) -> Result<(), Unread> {
        let Some(first) = cells.header.first() else { return Ok(()) };
        match first.as_str() {
            "size" => self.sizes.push(size(cells)?),
            "limit on" => self.limits.push(limit(cells)?),
            "axis" => self.points.push(point(cells)?),
            "run" => self.runs.push(run(cells)?),
            column => {
                if let Some(part) = PARTS.iter().find(|part| part.column == column) {
                    self.rows.push(row(part, cells)?);
                }
            }
        }
        Ok(())
    }
}

fn size(cells: &Cells<'_>) -> Result<Size, Unread> {
    Ok(Size {
        name: cells.text("size")?.to_owned(),
        value: cells.figure("value")?,
        worked_out_as: cells.text("worked out as")?.to_owned(),
    })
}

fn limit(cells: &Cells<'_>) -> Result<Limit, Unread> {
    Ok(Limit { value: cells.figure("value")?, unit: cells.text("unit")?.to_owned() })
}

fn run(cells: &Cells<'_>) -> Result<Run, Unread> {
    Ok(Run { of: cells.text("run")?.to_owned(), command: cells.text("command")?.to_owned() })
}

fn point(cells: &Cells<'_>) -> Result<Point, Unread> {
    Ok(Point {
        axis: cells.text("axis")?.to_owned(),
        size: cells.figure("size")?,
        measure: cells.text("measure")?.to_owned(),
        unit: cells.text("unit")?.to_owned(),
        value: cells.figure("value")?,
    })
}

fn row(part: &Part, cells: &Cells<'_>) -> Result<Row, Unread> {
    let of = cells.text(part.column)?;
    if !part.names.contains(&of) {
        return Err(cells.unread(part.column, of));
    }
    Ok(Row {
        of: of.to_owned(),
        kind: cells.read("kind")?,
        what: cells.text("what")?.to_owned(),
        slope: cells.figure_or_dash("slope")?,
        unit: cells.text("unit")?.to_owned(),
        size: cells.figure_or_dash("size")?,
        of_what: cells.text("of what")?.to_owned(),
        fixed: cells.figure_or_dash("fixed")?,
        at_target: cells.figure_or_dash("at the target")?,
        limit: cells.figure_or_dash("limit")?,
        verdict: cells.read("verdict")?,
        mechanism: cells.text("mechanism")?.to_owned(),
        source: cells.read("source")?,
    })
}
