//! A line through points, by least squares.

/// `slope` times the size plus `intercept`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line {
    pub slope: f64,
    pub intercept: f64,
    /// The root mean square of the points' distances from the line.
    pub residual: f64,
    pub points: usize,
}

impl Line {
    /// Nothing where the points do not lie at two different sizes at least.
    pub fn fit(points: &[(f64, f64)]) -> Option<Self> {
        let count = points.len() as f64;
        let mean = |of: fn(&(f64, f64)) -> f64| points.iter().map(of).sum::<f64>() / count;
        let (mean_size, mean_value) = (mean(|point| point.0), mean(|point| point.1));
        let spread: f64 = points.iter().map(|(size, _)| (size - mean_size).powi(2)).sum();
        if points.len() < 2 || spread == 0.0 {
            return None;
        }
        let joint: f64 = points.iter().map(|(size, value)| (size - mean_size) * (value - mean_value)).sum();
        let slope = joint / spread;
        let intercept = mean_value - slope * mean_size;
        let square = |(size, value): &(f64, f64)| (value - (slope * size + intercept)).powi(2);
        let residual = (points.iter().map(square).sum::<f64>() / count).sqrt();
        Some(Self { slope, intercept, residual, points: points.len() })
    }

    pub fn at(&self, size: f64) -> f64 {
        self.slope * size + self.intercept
    }
}
