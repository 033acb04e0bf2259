//! Plots a measure's points and the line through them.

use std::error::Error;
use std::path::Path;

use plotters::prelude::*;

use crate::arguments::Axis;
use crate::fit::Line;
use crate::measure::Measure;

const SIZE: (u32, u32) = (640, 400);
const FONT: &str = "sans-serif";
const TITLE_PIXELS: u32 = 16;
const MARGIN: u32 = 12;
const LABELS_BELOW: u32 = 36;
const LABELS_LEFT: u32 = 72;
const POINT_PIXELS: u32 = 4;
/// Room beyond the last point and above the highest.
const BEYOND: f64 = 1.05;

pub fn draw(
    file: &Path, axis: Axis, measure: Measure, points: &[(f64, f64)], line: &Line,
) -> Result<(), Box<dyn Error>> {
    let most = |of: fn(&(f64, f64)) -> f64| points.iter().map(of).fold(0.0, f64::max);
    let (right, top) =
        (most(|point| point.0) * BEYOND, (most(|point| point.1) * BEYOND).max(f64::MIN_POSITIVE));
    let bottom = line.at(0.0).min(0.0);
    let area = SVGBackend::new(file, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let title = format!(
        "{} by {}: {:.4} {} for each, residual {:.1}",
        measure.name(),
        axis.name(),
        line.slope,
        measure.unit(),
        line.residual
    );
    let mut chart = ChartBuilder::on(&area)
        .caption(title, (FONT, TITLE_PIXELS))
        .margin(MARGIN)
        .x_label_area_size(LABELS_BELOW)
        .y_label_area_size(LABELS_LEFT)
        .build_cartesian_2d(0.0..right, bottom..top)?;
    let unit = format!("{} ({})", measure.name(), measure.unit());
    chart.configure_mesh().x_desc(axis.name()).y_desc(unit).draw()?;
    let ends = [0.0, right].map(|size| (size, line.at(size)));
    chart.draw_series(LineSeries::new(ends, &BLUE))?;
    chart.draw_series(points.iter().map(|point| Circle::new(*point, POINT_PIXELS, RED.filled())))?;
    area.present()?;
    Ok(())
}
