//! What has to hold of each row of the page, and of the page as a whole.

use std::fmt;

use crate::page::{Kind, PARTS, Page, Part, Point, Row, Size, Source, Verdict};
use crate::record::{Record, tells};

/// Figures are written with three digits or more.
const ROUNDING: f64 = 0.005;
/// Lets a figure rounded at exactly half a digit pass.
const EXACT: f64 = 1e-9;
const MISSING: &str = "missing:";

#[derive(Debug, PartialEq)]
pub struct Fault {
    pub row: String,
    pub wrong: Wrong,
}

#[derive(Debug, PartialEq)]
pub enum Wrong {
    Arithmetic { written: f64, worked_out: f64 },
    FigureMissing(&'static str),
    FigureUnmeasured(&'static str),
    Verdict { written: Verdict, worked_out: Verdict },
    UnknownSize(String),
    Size { written: f64, listed: f64 },
    UnknownLimit { value: f64, unit: String },
    NoSuchFile(String),
    NoMechanism,
    OverWithoutMissing,
    NoSuchPoint,
    NoSuchSlope { axis: String, measure: String },
    Measured { column: &'static str, written: f64, measured: f64 },
    Unit { written: String, measured: String },
    NoSuchRow(String),
    NoSuchHeading(String),
    NotRecorded { heading: String, figure: f64 },
    NotInFile { file: String, name: String },
    NoCommand(String),
    NoArgument,
    KindMissing(Kind),
    Twice,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "row '{}': {:?}", self.row, self.wrong)
    }
}

/// Whether a written figure is the exact one, rounded.
fn agrees(written: f64, exact: f64) -> bool {
    (written - exact).abs() <= exact.abs() * ROUNDING + EXACT
}

fn assert_figure(written: f64, worked_out: f64) -> Result<(), Wrong> {
    if agrees(written, worked_out) { Ok(()) } else { Err(Wrong::Arithmetic { written, worked_out }) }
}

fn assert_measured(column: &'static str, written: f64, measured: f64) -> Result<(), Wrong> {
    if agrees(written, measured) { Ok(()) } else { Err(Wrong::Measured { column, written, measured }) }
}

fn needed(figure: Option<f64>, column: &'static str) -> Result<f64, Wrong> {
    figure.ok_or(Wrong::FigureMissing(column))
}

/// A page beside the record that it draws on.
pub struct Checked<'a> {
    pub page: &'a Page,
    pub record: &'a Record,
}

impl Checked<'_> {
    pub fn faults(&self) -> Vec<Fault> {
        let mut faults = Vec::new();
        let mut note = |row: String, checked: Result<(), Wrong>| {
            faults.extend(checked.err().map(|wrong| Fault { row, wrong }));
        };
        for size in &self.page.sizes {
            note(size.name.clone(), self.size(size));
        }
        for point in &self.page.points {
            let name = format!("{} {}, {}", point.size, point.axis, point.measure);
            note(name, self.was_measured(point));
        }
        for row in &self.page.rows {
            for check in [
                Self::is_once,
                Self::size_is_listed,
                Self::adds_up,
                Self::follows_from_limit,
                Self::mechanism_exists,
                Self::agrees_with_source,
            ] {
                note(row.name(), check(self, row));
            }
        }
        faults
    }

    /// Roles and failures of which the page leaves something out.
    pub fn gaps(&self) -> Vec<Fault> {
        PARTS.iter().flat_map(|part| self.gaps_in(part)).collect()
    }

    fn gaps_in(&self, part: &Part) -> Vec<Fault> {
        let told =
            |name: &str, kind: Kind| self.page.rows.iter().any(|row| row.of == name && row.kind == kind);
        let pairs = part.names.iter().flat_map(|name| part.kinds.iter().map(move |kind| (*name, *kind)));
        let missing = pairs.filter(|(name, kind)| !told(name, *kind));
        missing.map(|(name, kind)| Fault { row: name.to_owned(), wrong: Wrong::KindMissing(kind) }).collect()
    }

    fn size_named(&self, name: &str) -> Result<f64, Wrong> {
        let size = self.page.sizes.iter().find(|size| size.name == name);
        size.map(|size| size.value).ok_or_else(|| Wrong::UnknownSize(name.to_owned()))
    }

    /// A size is given, assumed or a setting, or else the sum, product or quotient of two others.
    fn size(&self, size: &Size) -> Result<(), Wrong> {
        let words = size.worked_out_as.as_str();
        if let Some((one, other)) = words.split_once(" + ") {
            return assert_figure(size.value, self.size_named(one)? + self.size_named(other)?);
        }
        if let Some((over, under)) = words.split_once(" / ") {
            return assert_figure(size.value, self.size_named(over)? / self.size_named(under)?);
        }
        if let Some((one, other)) = words.split_once(" x ") {
            return assert_figure(size.value, self.size_named(one)? * self.size_named(other)?);
        }
        match words {
            "given" | "assumed" | "setting" => Ok(()),
            _ => Err(Wrong::UnknownSize(words.to_owned())),
        }
    }

    fn was_measured(&self, point: &Point) -> Result<(), Wrong> {
        let found = self.measured(&point.axis, point.size, &point.measure)?;
        if point.unit != found.unit {
            return Err(Wrong::Unit { written: point.unit.clone(), measured: found.unit.clone() });
        }
        assert_measured("value", point.value, found.value)
    }

    fn measured(&self, axis: &str, size: f64, measure: &str) -> Result<&Point, Wrong> {
        let is_it = |point: &&Point| point.axis == axis && point.size == size && point.measure == measure;
        self.record.points.iter().find(is_it).ok_or(Wrong::NoSuchPoint)
    }

    fn is_once(&self, row: &Row) -> Result<(), Wrong> {
        let count = self.page.rows.iter().filter(|other| other.name() == row.name()).count();
        if count == 1 { Ok(()) } else { Err(Wrong::Twice) }
    }

    fn size_is_listed(&self, row: &Row) -> Result<(), Wrong> {
        let Some(written) = row.size else { return Ok(()) };
        let listed = self.size_named(&row.of_what)?;
        if written == listed { Ok(()) } else { Err(Wrong::Size { written, listed }) }
    }

    fn adds_up(&self, row: &Row) -> Result<(), Wrong> {
        match &row.source {
            Source::NotMeasured(_) => Self::has_no_figures(row),
            Source::Sum(parts) => self.sums_up(row, parts),
            _ => {
                let slope = needed(row.slope, "slope")?;
                let size = needed(row.size, "size")?;
                let fixed = needed(row.fixed, "fixed")?;
                assert_figure(needed(row.at_target, "at the target")?, fixed + slope * size)
            }
        }
    }

    fn has_no_figures(row: &Row) -> Result<(), Wrong> {
        let figures = [("slope", row.slope), ("fixed", row.fixed), ("at the target", row.at_target)];
        match figures.into_iter().find(|(_, figure)| figure.is_some()) {
            Some((column, _)) => Err(Wrong::FigureUnmeasured(column)),
            None => Ok(()),
        }
    }

    /// The fixed part of a sum is the largest of its parts'; it is counted once.
    fn sums_up(&self, row: &Row, parts: &[String]) -> Result<(), Wrong> {
        let (mut grown, mut largest) = (0.0, f64::MIN);
        for part in parts {
            let part = self.row_named(part)?;
            let fixed = needed(part.fixed, "fixed")?;
            grown += needed(part.at_target, "at the target")? - fixed;
            largest = largest.max(fixed);
        }
        assert_figure(needed(row.fixed, "fixed")?, largest)?;
        assert_figure(needed(row.at_target, "at the target")?, largest + grown)
    }

    fn row_named(&self, name: &str) -> Result<&Row, Wrong> {
        let found = self.page.rows.iter().find(|row| row.name() == name);
        found.ok_or_else(|| Wrong::NoSuchRow(name.to_owned()))
    }

    fn follows_from_limit(&self, row: &Row) -> Result<(), Wrong> {
        let worked_out = match (row.at_target, row.limit) {
            (None, _) => Verdict::NotMeasured,
            (Some(_), None) => Verdict::NoLimit,
            (Some(at_target), Some(limit)) if at_target <= limit => Verdict::Under,
            (Some(_), Some(_)) => Verdict::Over,
        };
        if row.verdict != worked_out {
            return Err(Wrong::Verdict { written: row.verdict, worked_out });
        }
        let Some(value) = row.limit else { return Ok(()) };
        let is_listed = self.page.limits.iter().any(|limit| limit.value == value && limit.unit == row.unit);
        if is_listed { Ok(()) } else { Err(Wrong::UnknownLimit { value, unit: row.unit.clone() }) }
    }

    /// A mechanism is named with its files between backticks, or said to be missing. Over the limit, what is missing has to be
    /// named.
    fn mechanism_exists(&self, row: &Row) -> Result<(), Wrong> {
        let names_missing =
            row.mechanism.split_once(MISSING).is_some_and(|(_, what)| !what.trim().is_empty());
        if row.verdict == Verdict::Over && !names_missing {
            return Err(Wrong::OverWithoutMissing);
        }
        let files: Vec<&str> = row.mechanism.split('`').skip(1).step_by(2).collect();
        if files.is_empty() && !names_missing {
            return Err(Wrong::NoMechanism);
        }
        match files.iter().find(|file| !self.record.holds(file)) {
            Some(file) => Err(Wrong::NoSuchFile((*file).to_owned())),
            None => Ok(()),
        }
    }

    fn agrees_with_source(&self, row: &Row) -> Result<(), Wrong> {
        match &row.source {
            Source::Slope { axis, measure } => self.agrees_with_slope(row, axis, measure),
            Source::Point { axis, size, measure } => {
                let found = self.measured(axis, *size, measure)?;
                assert_measured("slope", needed(row.slope, "slope")?, found.value)?;
                self.has_command(axis)
            }
            Source::Row(name) => {
                let other = needed(self.row_named(name)?.at_target, "at the target")?;
                assert_figure(needed(row.slope, "slope")?, other)
            }
            Source::Results(heading) => self.is_recorded(row, heading),
            Source::Code { file, name } => {
                let text = self.record.text(file).ok_or_else(|| Wrong::NoSuchFile(file.clone()))?;
                let absent = || Wrong::NotInFile { file: file.clone(), name: name.clone() };
                text.contains(name.as_str()).then_some(()).ok_or_else(absent)
            }
            Source::Argument(words) | Source::NotMeasured(words) if words.trim().is_empty() => {
                Err(Wrong::NoArgument)
            }
            Source::Argument(_) | Source::NotMeasured(_) | Source::Sum(_) | Source::Target => Ok(()),
        }
    }

    fn agrees_with_slope(&self, row: &Row, axis: &str, measure: &str) -> Result<(), Wrong> {
        let absent = || Wrong::NoSuchSlope { axis: axis.to_owned(), measure: measure.to_owned() };
        let found = self.record.slope(axis, measure).ok_or_else(absent)?;
        let pairs = [("slope", row.slope, found.slope), ("fixed", row.fixed, found.intercept)];
        for (column, written, measured) in pairs {
            assert_measured(column, needed(written, column)?, measured)?;
        }
        if row.unit != found.unit {
            return Err(Wrong::Unit { written: row.unit.clone(), measured: found.unit.clone() });
        }
        self.has_command(axis)
    }

    /// Nothing and one need no record: no fixed part, and a slope of one for each.
    fn is_recorded(&self, row: &Row, heading: &str) -> Result<(), Wrong> {
        let section = self.record.section(heading).ok_or_else(|| Wrong::NoSuchHeading(heading.to_owned()))?;
        let figures =
            [row.slope, row.fixed].into_iter().flatten().filter(|figure| ![0.0, 1.0].contains(figure));
        for figure in figures {
            if !tells(section, figure) {
                return Err(Wrong::NotRecorded { heading: heading.to_owned(), figure });
            }
        }
        self.has_command(heading)
    }

    fn has_command(&self, run: &str) -> Result<(), Wrong> {
        let has = self.page.runs.iter().any(|each| each.of == run && each.command.contains("cargo run "));
        if has { Ok(()) } else { Err(Wrong::NoCommand(run.to_owned())) }
    }
}
