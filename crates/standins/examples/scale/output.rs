//! Writes the results: a printed table, a CSV of the points, a CSV of the fitted lines of all axes, and
//! plots.

use std::error::Error;
use std::fs;
use std::path::Path;

use csv::{Reader, StringRecord, Writer};

use crate::arguments::Axis;
use crate::plot;
use crate::results::Results;

const POINT_COLUMNS: [&str; 6] = ["axis", "size", "measure", "unit", "value", "runs"];
const SLOPE_COLUMNS: [&str; 7] = ["axis", "measure", "unit", "slope", "intercept", "residual", "points"];
const SLOPES: &str = "slopes.csv";

pub fn print(axis: Axis, results: &Results) {
    let measures = results.measures();
    let headings = measures.iter().map(|measure| format!("{} ({})", measure.name(), measure.unit()));
    println!("| {} | {} |", axis.name(), headings.collect::<Vec<_>>().join(" | "));
    println!("|{}", " --- |".repeat(measures.len() + 1));
    for size in results.sizes() {
        let value =
            |measure| results.value(measure, size).map_or("".to_owned(), |(value, _)| format_value(value));
        let values: Vec<String> = measures.iter().map(|measure| value(*measure)).collect();
        println!("| {size} | {} |", values.join(" | "));
    }
    println!();
    for (measure, line) in results.lines() {
        let (slope, intercept, residual) = (line.slope, line.intercept, line.residual);
        let (name, unit) = (measure.name(), measure.unit());
        println!("{name}: {slope:.4} {unit} for each, from {intercept:.1}; residual {residual:.1}");
    }
}

/// Writes all files of an axis to a folder. The rows of the other axes in the file of the fitted lines stay.
pub fn write(axis: Axis, results: &Results, folder: &Path) -> Result<(), Box<dyn Error>> {
    fs::create_dir_all(folder)?;
    write_points(axis, results, &folder.join(format!("{}.csv", axis.name())))?;
    write_slopes(axis, results, &folder.join(SLOPES))?;
    for (measure, line) in results.lines() {
        let file = folder.join(format!("{}-{}.svg", axis.name(), measure.name()));
        plot::draw(&file, axis, measure, &results.points(measure), &line)?;
    }
    Ok(())
}

fn write_points(axis: Axis, results: &Results, file: &Path) -> Result<(), Box<dyn Error>> {
    let mut writer = Writer::from_path(file)?;
    writer.write_record(POINT_COLUMNS)?;
    for size in results.sizes() {
        for measure in results.measures() {
            let Some((value, runs)) = results.value(measure, size) else { continue };
            let (size, value, runs) = (size.to_string(), format_value(value), runs.to_string());
            writer.write_record([axis.name(), &size, measure.name(), measure.unit(), &value, &runs])?;
        }
    }
    Ok(writer.flush()?)
}

fn write_slopes(axis: Axis, results: &Results, file: &Path) -> Result<(), Box<dyn Error>> {
    let mut rows = other_slopes(axis, file)?;
    for (measure, line) in results.lines() {
        let figures = [line.slope, line.intercept, line.residual].map(format_slope);
        let names = [axis.name(), measure.name(), measure.unit()].map(str::to_owned);
        let mut row: StringRecord = names.iter().chain(&figures).collect();
        row.push_field(&line.point_count.to_string());
        rows.push(row);
    }
    rows.sort_by_key(|row| (row[0].to_owned(), row[1].to_owned()));
    let mut writer = Writer::from_path(file)?;
    writer.write_record(SLOPE_COLUMNS)?;
    rows.iter().try_for_each(|row| writer.write_record(row))?;
    Ok(writer.flush()?)
}

/// The rows of the other axes in the file of the fitted lines.
fn other_slopes(axis: Axis, file: &Path) -> Result<Vec<StringRecord>, Box<dyn Error>> {
    if !file.exists() {
        return Ok(Vec::new());
    }
    let rows = Reader::from_path(file)?.into_records().collect::<Result<Vec<_>, _>>()?;
    Ok(rows.into_iter().filter(|row| row.get(0) != Some(axis.name())).collect())
}

/// Formats a value with one decimal place, or with three if it is below one.
fn format_value(value: f64) -> String {
    if value.abs() < 1.0 { format!("{value:.3}") } else { format!("{value:.1}") }
}

/// Formats a figure of a line with six decimal places, as slopes may be far below one.
fn format_slope(value: f64) -> String {
    format!("{value:.6}")
}
