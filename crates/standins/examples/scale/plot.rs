//! Plots the points of a measure and the line that is fitted to them.

use std::error::Error;
use std::path::Path;

use plotters::prelude::*;

use crate::arguments::Axis;
use crate::fit::Line;
use crate::measure::Measure;

const IMAGE_PIXELS: (u32, u32) = (640, 400);
const FONT: &str = "sans-serif";
const TITLE_PIXELS: u32 = 16;
const MARGIN_PIXELS: u32 = 12;
const X_LABEL_PIXELS: u32 = 36;
const Y_LABEL_PIXELS: u32 = 72;
const POINT_PIXELS: u32 = 4;
/// The axes extend beyond the largest size and value by this factor.
const AXIS_HEADROOM: f64 = 1.05;

pub fn draw(
    file: &Path, axis: Axis, measure: Measure, points: &[(f64, f64)], line: &Line,
) -> Result<(), Box<dyn Error>> {
    let max = |part: fn(&(f64, f64)) -> f64| points.iter().map(part).fold(0.0, f64::max);
    let (right, top) =
        (max(|point| point.0) * AXIS_HEADROOM, (max(|point| point.1) * AXIS_HEADROOM).max(f64::MIN_POSITIVE));
    let bottom = line.value_at(0.0).min(0.0);
    let area = SVGBackend::new(file, IMAGE_PIXELS).into_drawing_area();
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
        .margin(MARGIN_PIXELS)
        .x_label_area_size(X_LABEL_PIXELS)
        .y_label_area_size(Y_LABEL_PIXELS)
        .build_cartesian_2d(0.0..right, bottom..top)?;
    let unit = format!("{} ({})", measure.name(), measure.unit());
    chart.configure_mesh().x_desc(axis.name()).y_desc(unit).draw()?;
    let ends = [0.0, right].map(|size| (size, line.value_at(size)));
    chart.draw_series(LineSeries::new(ends, &BLUE))?;
    chart.draw_series(points.iter().map(|point| Circle::new(*point, POINT_PIXELS, RED.filled())))?;
    area.present()?;
    Ok(())
}
