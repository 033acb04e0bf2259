//! The tables of `docs/CAPACITY.md`, read into typed rows.

use std::fmt;
use std::str::FromStr;

/// The first column of a table, the names in that column, and the kinds of figures that the page must have
/// for each name.
pub struct RowGroup {
    pub column: &'static str,
    pub names: &'static [&'static str],
    pub kinds: &'static [Kind],
}

pub const ROW_GROUPS: [RowGroup; 2] = [
    RowGroup {
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
    RowGroup {
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
    /// The slope is the value of a measured point in `docs/capacity/AXIS.csv`.
    Point {
        axis: String,
        size: f64,
        measure: String,
    },
    /// The slope is the value of another row at the target.
    Row(String),
    /// The row is the sum of other rows at the target, with the fixed part counted once.
    Sum(Vec<String>),
    /// The figures are recorded under this heading of `docs/results.md`.
    Results(String),
    /// The figures come from a constant of a source file, or from another name that the file contains.
    Code {
        file: String,
        name: String,
    },
    /// The target itself gives the figures.
    Target,
    /// The figures are derived from the protocol or from other rows by an argument.
    Argument(String),
    NotMeasured(String),
}

/// One line of a capacity table. Figures are `None` where the page shows a dash.
#[derive(Clone, Debug)]
pub struct Row {
    /// The role or the failure.
    pub subject: String,
    pub kind: Kind,
    /// The quantity that the figures describe; with the subject, it names the row.
    pub what: String,
    /// The increase per unit of the size.
    pub slope: Option<f64>,
    pub unit: String,
    /// The size at the target.
    pub size: Option<f64>,
    pub size_name: String,
    /// The part that does not grow with the size.
    pub fixed: Option<f64>,
    pub at_target: Option<f64>,
    pub limit: Option<f64>,
    pub verdict: Verdict,
    /// What keeps the figure within its limit, or which mechanism is missing.
    pub mechanism: String,
    pub source: Source,
}

/// A size that the target gives, that is assumed, or that is calculated from others.
#[derive(Clone, Debug)]
pub struct Size {
    pub name: String,
    pub value: f64,
    pub formula: String,
}

#[derive(Clone, Debug)]
pub struct Limit {
    pub value: f64,
    pub unit: String,
}

/// The command that produces the figures of an axis of `slopes.csv` or of a heading of `docs/results.md`.
#[derive(Clone, Debug)]
pub struct Run {
    pub subject: String,
    pub command: String,
}

/// A measured point of an axis.
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

/// A cell that can't be parsed.
#[derive(Debug, PartialEq)]
pub struct CellError {
    pub row: String,
    pub column: &'static str,
    pub cell: String,
}

impl fmt::Display for CellError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: column '{}' can't be parsed: '{}'", self.row, self.column, self.cell)
    }
}

impl Row {
    pub fn name(&self) -> String {
        format!("{}, {}", self.subject, self.what)
    }
}

impl FromStr for Kind {
    type Err = ();
    fn from_str(text: &str) -> Result<Self, ()> {
        Ok(match text {
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
    fn from_str(text: &str) -> Result<Self, ()> {
        Ok(match text {
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
    fn from_str(text: &str) -> Result<Self, ()> {
        if text == "target" {
            return Ok(Self::Target);
        }
        let (form, rest) = text.split_once(':').ok_or(())?;
        let rest = rest.trim();
        let text = rest.to_owned();
        Ok(match form {
            "slopes.csv" => {
                let (axis, measure) = rest.split_once('/').ok_or(())?;
                Self::Slope { axis: axis.to_owned(), measure: measure.to_owned() }
            }
            "point" => {
                let (axis, rest) = rest.split_once('/').ok_or(())?;
                let (size, measure) = rest.split_once('/').ok_or(())?;
                let size = parse_number(size).ok_or(())?;
                Self::Point { axis: axis.to_owned(), size, measure: measure.to_owned() }
            }
            "row" => Self::Row(text),
            "sum" => Self::Sum(rest.split(" + ").map(str::to_owned).collect()),
            "results.md" => Self::Results(text),
            "code" => {
                let (file, name) = rest.split_once(' ').ok_or(())?;
                Self::Code { file: file.trim_matches('`').to_owned(), name: name.to_owned() }
            }
            "argument" => Self::Argument(text),
            "not measured" => Self::NotMeasured(text),
            _ => return Err(()),
        })
    }
}

/// Parses a number with commas between thousands.
pub fn parse_number(text: &str) -> Option<f64> {
    text.replace(',', "").parse().ok()
}

/// The cells of one line, addressed by the names in the table's header.
struct Cells<'a> {
    header: &'a [String],
    cells: &'a [String],
}

impl Cells<'_> {
    fn text(&self, column: &'static str) -> Result<&str, CellError> {
        let index = self.header.iter().position(|name| name == column);
        let cell = index.and_then(|index| self.cells.get(index));
        cell.map(String::as_str).ok_or_else(|| self.cell_error(column, "no such cell"))
    }

    fn read<T: FromStr>(&self, column: &'static str) -> Result<T, CellError> {
        let cell = self.text(column)?;
        cell.parse().map_err(|_| self.cell_error(column, cell))
    }

    fn figure(&self, column: &'static str) -> Result<f64, CellError> {
        let cell = self.text(column)?;
        parse_number(cell).ok_or_else(|| self.cell_error(column, cell))
    }

    fn figure_or_dash(&self, column: &'static str) -> Result<Option<f64>, CellError> {
        if self.text(column)? == "-" { Ok(None) } else { self.figure(column).map(Some) }
    }

    fn cell_error(&self, column: &'static str, cell: &str) -> CellError {
        let row = self.cells.iter().take(3).cloned().collect::<Vec<_>>().join(", ");
        CellError { row, column, cell: cell.to_owned() }
    }
}

fn cells(line: &str) -> Vec<String> {
    line.trim_matches('|').split('|').map(|cell| cell.trim().to_owned()).collect()
}

impl Page {
    pub fn parse(text: &str) -> Result<Self, CellError> {
        let mut page = Self::default();
        let mut header: Option<Vec<String>> = None;
        for line in text.lines() {
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
                Some(header) => page.add_line(&Cells { header, cells: &cells })?,
            }
        }
        Ok(page)
    }

    /// Adds a line of a known table; other tables are ignored.
    fn add_line(&mut self, cells: &Cells<'_>) -> Result<(), CellError> {
        let Some(first) = cells.header.first() else { return Ok(()) };
        match first.as_str() {
            "size" => self.sizes.push(size(cells)?),
            "limit on" => self.limits.push(limit(cells)?),
            "axis" => self.points.push(point(cells)?),
            "run" => self.runs.push(run(cells)?),
            column => {
                if let Some(group) = ROW_GROUPS.iter().find(|group| group.column == column) {
                    self.rows.push(row(group, cells)?);
                }
            }
        }
        Ok(())
    }
}

fn size(cells: &Cells<'_>) -> Result<Size, CellError> {
    Ok(Size {
        name: cells.text("size")?.to_owned(),
        value: cells.figure("value")?,
        formula: cells.text("worked out as")?.to_owned(),
    })
}

fn limit(cells: &Cells<'_>) -> Result<Limit, CellError> {
    Ok(Limit { value: cells.figure("value")?, unit: cells.text("unit")?.to_owned() })
}

fn run(cells: &Cells<'_>) -> Result<Run, CellError> {
    Ok(Run { subject: cells.text("run")?.to_owned(), command: cells.text("command")?.to_owned() })
}

fn point(cells: &Cells<'_>) -> Result<Point, CellError> {
    Ok(Point {
        axis: cells.text("axis")?.to_owned(),
        size: cells.figure("size")?,
        measure: cells.text("measure")?.to_owned(),
        unit: cells.text("unit")?.to_owned(),
        value: cells.figure("value")?,
    })
}

fn row(group: &RowGroup, cells: &Cells<'_>) -> Result<Row, CellError> {
    let subject = cells.text(group.column)?;
    if !group.names.contains(&subject) {
        return Err(cells.cell_error(group.column, subject));
    }
    Ok(Row {
        subject: subject.to_owned(),
        kind: cells.read("kind")?,
        what: cells.text("what")?.to_owned(),
        slope: cells.figure_or_dash("slope")?,
        unit: cells.text("unit")?.to_owned(),
        size: cells.figure_or_dash("size")?,
        size_name: cells.text("of what")?.to_owned(),
        fixed: cells.figure_or_dash("fixed")?,
        at_target: cells.figure_or_dash("at the target")?,
        limit: cells.figure_or_dash("limit")?,
        verdict: cells.read("verdict")?,
        mechanism: cells.text("mechanism")?.to_owned(),
        source: cells.read("source")?,
    })
}
