//! Least squares fit of a line.

/// The line `slope * size + intercept`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line {
    pub slope: f64,
    pub intercept: f64,
    /// The root mean square of the differences between the points' values and the line.
    pub residual: f64,
    pub point_count: usize,
}

impl Line {
    /// Fits a line; `None` unless the points have at least two different sizes.
    pub fn fit(points: &[(f64, f64)]) -> Option<Self> {
        let count = points.len() as f64;
        let mean = |part: fn(&(f64, f64)) -> f64| points.iter().map(part).sum::<f64>() / count;
        let (mean_size, mean_value) = (mean(|point| point.0), mean(|point| point.1));
        let squares: f64 = points.iter().map(|(size, _)| (size - mean_size).powi(2)).sum();
        if points.len() < 2 || squares == 0.0 {
            return None;
        }
        let products: f64 =
            points.iter().map(|(size, value)| (size - mean_size) * (value - mean_value)).sum();
        let slope = products / squares;
        let intercept = mean_value - slope * mean_size;
        let square = |(size, value): &(f64, f64)| (value - (slope * size + intercept)).powi(2);
        let residual = (points.iter().map(square).sum::<f64>() / count).sqrt();
        Some(Self { slope, intercept, residual, point_count: points.len() })
    }

    pub fn value_at(&self, size: f64) -> f64 {
        self.slope * size + self.intercept
    }
}
