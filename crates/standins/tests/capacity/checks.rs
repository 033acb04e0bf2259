//! Checks each row of the page, and the page as a whole.

use std::fmt;

use crate::page::{Kind, Page, Point, ROW_GROUPS, Row, RowGroup, Size, Source, Verdict};
use crate::record::{Record, contains_number};

/// The relative tolerance of a written figure: figures are rounded to three digits or more.
const ROUNDING_TOLERANCE: f64 = 0.005;
/// The absolute tolerance that accepts a figure that was rounded at exactly half a digit.
const FLOAT_TOLERANCE: f64 = 1e-9;
const MISSING_MARK: &str = "missing:";

/// A problem and the row or the size in which it was found.
#[derive(Debug, PartialEq)]
pub struct Fault {
    pub row: String,
    pub problem: Problem,
}

#[derive(Debug, PartialEq)]
pub enum Problem {
    Arithmetic { written: f64, calculated: f64 },
    MissingFigure(&'static str),
    UnmeasuredFigure(&'static str),
    WrongVerdict { written: Verdict, calculated: Verdict },
    UnknownSize(String),
    SizeMismatch { written: f64, listed: f64 },
    UnknownLimit { value: f64, unit: String },
    NoSuchFile(String),
    NoMechanism,
    OverWithoutMissingMechanism,
    UnknownPoint,
    UnknownSlope { axis: String, measure: String },
    DiffersFromMeasured { column: &'static str, written: f64, measured: f64 },
    UnitMismatch { written: String, measured: String },
    UnknownRow(String),
    UnknownHeading(String),
    NotRecorded { heading: String, figure: f64 },
    NameNotInFile { file: String, name: String },
    NoCommand(String),
    NoArgument,
    MissingKind(Kind),
    DuplicateRow,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "row '{}': {:?}", self.row, self.problem)
    }
}

/// Whether a written figure equals the exact one within the tolerance of rounding.
fn is_rounded_from(written: f64, exact: f64) -> bool {
    (written - exact).abs() <= exact.abs() * ROUNDING_TOLERANCE + FLOAT_TOLERANCE
}

fn check_figure(written: f64, calculated: f64) -> Result<(), Problem> {
    if is_rounded_from(written, calculated) {
        Ok(())
    } else {
        Err(Problem::Arithmetic { written, calculated })
    }
}

fn check_measured(column: &'static str, written: f64, measured: f64) -> Result<(), Problem> {
    if is_rounded_from(written, measured) {
        Ok(())
    } else {
        Err(Problem::DiffersFromMeasured { column, written, measured })
    }
}

fn required(figure: Option<f64>, column: &'static str) -> Result<f64, Problem> {
    figure.ok_or(Problem::MissingFigure(column))
}

/// A page and the record of the measurements that it is checked against.
pub struct PageCheck<'a> {
    pub page: &'a Page,
    pub record: &'a Record,
}

impl PageCheck<'_> {
    pub fn faults(&self) -> Vec<Fault> {
        let mut faults = Vec::new();
        let mut add = |row: String, checked: Result<(), Problem>| {
            faults.extend(checked.err().map(|problem| Fault { row, problem }));
        };
        for size in &self.page.sizes {
            add(size.name.clone(), self.check_size_definition(size));
        }
        for point in &self.page.points {
            let name = format!("{} {}, {}", point.size, point.axis, point.measure);
            add(name, self.check_point(point));
        }
        for row in &self.page.rows {
            for check in [
                Self::check_unique,
                Self::check_size,
                Self::check_arithmetic,
                Self::check_verdict,
                Self::check_mechanism,
                Self::check_source,
            ] {
                add(row.name(), check(self, row));
            }
        }
        faults
    }

    /// The roles and failures for which the page lacks a row of a required kind.
    pub fn gaps(&self) -> Vec<Fault> {
        ROW_GROUPS.iter().flat_map(|group| self.gaps_in_group(group)).collect()
    }

    fn gaps_in_group(&self, group: &RowGroup) -> Vec<Fault> {
        let has_row =
            |name: &str, kind: Kind| self.page.rows.iter().any(|row| row.subject == name && row.kind == kind);
        let pairs = group.names.iter().flat_map(|name| group.kinds.iter().map(move |kind| (*name, *kind)));
        let missing = pairs.filter(|(name, kind)| !has_row(name, *kind));
        missing
            .map(|(name, kind)| Fault { row: name.to_owned(), problem: Problem::MissingKind(kind) })
            .collect()
    }

    fn size_named(&self, name: &str) -> Result<f64, Problem> {
        let size = self.page.sizes.iter().find(|size| size.name == name);
        size.map(|size| size.value).ok_or_else(|| Problem::UnknownSize(name.to_owned()))
    }

    /// Checks the value of a size that is the sum, quotient or product of two others. Any other size must be
    /// marked as given, assumed or a setting.
    fn check_size_definition(&self, size: &Size) -> Result<(), Problem> {
        let text = size.formula.as_str();
        if let Some((one, other)) = text.split_once(" + ") {
            return check_figure(size.value, self.size_named(one)? + self.size_named(other)?);
        }
        if let Some((numerator, denominator)) = text.split_once(" / ") {
            return check_figure(size.value, self.size_named(numerator)? / self.size_named(denominator)?);
        }
        if let Some((one, other)) = text.split_once(" x ") {
            return check_figure(size.value, self.size_named(one)? * self.size_named(other)?);
        }
        match text {
            "given" | "assumed" | "setting" => Ok(()),
            _ => Err(Problem::UnknownSize(text.to_owned())),
        }
    }

    fn check_point(&self, point: &Point) -> Result<(), Problem> {
        let found = self.measured(&point.axis, point.size, &point.measure)?;
        if point.unit != found.unit {
            return Err(Problem::UnitMismatch { written: point.unit.clone(), measured: found.unit.clone() });
        }
        check_measured("value", point.value, found.value)
    }

    fn measured(&self, axis: &str, size: f64, measure: &str) -> Result<&Point, Problem> {
        let matches_point =
            |point: &&Point| point.axis == axis && point.size == size && point.measure == measure;
        self.record.points.iter().find(matches_point).ok_or(Problem::UnknownPoint)
    }

    fn check_unique(&self, row: &Row) -> Result<(), Problem> {
        let count = self.page.rows.iter().filter(|other| other.name() == row.name()).count();
        if count == 1 { Ok(()) } else { Err(Problem::DuplicateRow) }
    }

    fn check_size(&self, row: &Row) -> Result<(), Problem> {
        let Some(written) = row.size else { return Ok(()) };
        let listed = self.size_named(&row.size_name)?;
        if written == listed { Ok(()) } else { Err(Problem::SizeMismatch { written, listed }) }
    }

    fn check_arithmetic(&self, row: &Row) -> Result<(), Problem> {
        match &row.source {
            Source::NotMeasured(_) => Self::check_no_figures(row),
            Source::Sum(parts) => self.check_sum(row, parts),
            _ => {
                let slope = required(row.slope, "slope")?;
                let size = required(row.size, "size")?;
                let fixed = required(row.fixed, "fixed")?;
                check_figure(required(row.at_target, "at the target")?, fixed + slope * size)
            }
        }
    }

    fn check_no_figures(row: &Row) -> Result<(), Problem> {
        let figures = [("slope", row.slope), ("fixed", row.fixed), ("at the target", row.at_target)];
        match figures.into_iter().find(|(_, figure)| figure.is_some()) {
            Some((column, _)) => Err(Problem::UnmeasuredFigure(column)),
            None => Ok(()),
        }
    }

    /// Checks a sum of rows: its fixed part is the largest fixed part of the rows and is counted once.
    fn check_sum(&self, row: &Row, parts: &[String]) -> Result<(), Problem> {
        let (mut total_growth, mut largest) = (0.0, f64::MIN);
        for part in parts {
            let part = self.row_named(part)?;
            let fixed = required(part.fixed, "fixed")?;
            total_growth += required(part.at_target, "at the target")? - fixed;
            largest = largest.max(fixed);
        }
        check_figure(required(row.fixed, "fixed")?, largest)?;
        check_figure(required(row.at_target, "at the target")?, largest + total_growth)
    }

    fn row_named(&self, name: &str) -> Result<&Row, Problem> {
        let found = self.page.rows.iter().find(|row| row.name() == name);
        found.ok_or_else(|| Problem::UnknownRow(name.to_owned()))
    }

    fn check_verdict(&self, row: &Row) -> Result<(), Problem> {
        let calculated = match (row.at_target, row.limit) {
            (None, _) => Verdict::NotMeasured,
            (Some(_), None) => Verdict::NoLimit,
            (Some(at_target), Some(limit)) if at_target <= limit => Verdict::Under,
            (Some(_), Some(_)) => Verdict::Over,
        };
        if row.verdict != calculated {
            return Err(Problem::WrongVerdict { written: row.verdict, calculated });
        }
        let Some(value) = row.limit else { return Ok(()) };
        let is_listed = self.page.limits.iter().any(|limit| limit.value == value && limit.unit == row.unit);
        if is_listed { Ok(()) } else { Err(Problem::UnknownLimit { value, unit: row.unit.clone() }) }
    }

    /// Checks that a row names its mechanism with its files between backticks, or marks it as missing. A row
    /// over its limit must name the mechanism that is missing.
    fn check_mechanism(&self, row: &Row) -> Result<(), Problem> {
        let names_missing =
            row.mechanism.split_once(MISSING_MARK).is_some_and(|(_, what)| !what.trim().is_empty());
        if row.verdict == Verdict::Over && !names_missing {
            return Err(Problem::OverWithoutMissingMechanism);
        }
        let files: Vec<&str> = row.mechanism.split('`').skip(1).step_by(2).collect();
        if files.is_empty() && !names_missing {
            return Err(Problem::NoMechanism);
        }
        match files.iter().find(|file| !self.record.has_file(file)) {
            Some(file) => Err(Problem::NoSuchFile((*file).to_owned())),
            None => Ok(()),
        }
    }

    fn check_source(&self, row: &Row) -> Result<(), Problem> {
        match &row.source {
            Source::Slope { axis, measure } => self.check_slope(row, axis, measure),
            Source::Point { axis, size, measure } => {
                let found = self.measured(axis, *size, measure)?;
                check_measured("slope", required(row.slope, "slope")?, found.value)?;
                self.check_command(axis)
            }
            Source::Row(name) => {
                let other = required(self.row_named(name)?.at_target, "at the target")?;
                check_figure(required(row.slope, "slope")?, other)
            }
            Source::Results(heading) => self.check_results(row, heading),
            Source::Code { file, name } => {
                let text = self.record.read_file(file).ok_or_else(|| Problem::NoSuchFile(file.clone()))?;
                let not_found = || Problem::NameNotInFile { file: file.clone(), name: name.clone() };
                text.contains(name.as_str()).then_some(()).ok_or_else(not_found)
            }
            Source::Argument(text) | Source::NotMeasured(text) if text.trim().is_empty() => {
                Err(Problem::NoArgument)
            }
            Source::Argument(_) | Source::NotMeasured(_) | Source::Sum(_) | Source::Target => Ok(()),
        }
    }

    fn check_slope(&self, row: &Row, axis: &str, measure: &str) -> Result<(), Problem> {
        let not_found = || Problem::UnknownSlope { axis: axis.to_owned(), measure: measure.to_owned() };
        let found = self.record.slope(axis, measure).ok_or_else(not_found)?;
        let pairs = [("slope", row.slope, found.slope), ("fixed", row.fixed, found.intercept)];
        for (column, written, measured) in pairs {
            check_measured(column, required(written, column)?, measured)?;
        }
        if row.unit != found.unit {
            return Err(Problem::UnitMismatch { written: row.unit.clone(), measured: found.unit.clone() });
        }
        self.check_command(axis)
    }

    /// Checks that the section below the heading contains the row's figures. The figures 0 and 1 need no
    /// record: they mean no fixed part, and a slope of one per unit.
    fn check_results(&self, row: &Row, heading: &str) -> Result<(), Problem> {
        let section =
            self.record.section(heading).ok_or_else(|| Problem::UnknownHeading(heading.to_owned()))?;
        let figures =
            [row.slope, row.fixed].into_iter().flatten().filter(|figure| ![0.0, 1.0].contains(figure));
        for figure in figures {
            if !contains_number(section, figure) {
                return Err(Problem::NotRecorded { heading: heading.to_owned(), figure });
            }
        }
        self.check_command(heading)
    }

    fn check_command(&self, run: &str) -> Result<(), Problem> {
        let has_run =
            self.page.runs.iter().any(|each| each.subject == run && each.command.contains("cargo run "));
        if has_run { Ok(()) } else { Err(Problem::NoCommand(run.to_owned())) }
    }
}
