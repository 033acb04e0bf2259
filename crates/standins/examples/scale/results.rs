//! The results of all rounds: medians, and the lines that are fitted to them.

use std::collections::{BTreeMap, BTreeSet};

use crate::fit::Line;
use crate::measure::{Measure, Measurements};

/// The values of each measure at each size.
#[derive(Default)]
pub struct Results(BTreeMap<(Measure, usize), Vec<f64>>);

impl Results {
    pub fn add(&mut self, size: usize, measurements: Measurements) {
        for (measure, value) in measurements {
            self.0.entry((measure, size)).or_default().push(value);
        }
    }

    pub fn sizes(&self) -> BTreeSet<usize> {
        self.0.keys().map(|(_, size)| *size).collect()
    }

    pub fn measures(&self) -> BTreeSet<Measure> {
        self.0.keys().map(|(measure, _)| *measure).collect()
    }

    /// The median of a measure at a size, and the number of runs from which it is computed.
    pub fn value(&self, measure: Measure, size: usize) -> Option<(f64, usize)> {
        let mut values = self.0.get(&(measure, size))?.clone();
        values.sort_by(f64::total_cmp);
        let middle = values.len() / 2;
        let median = if values.len().is_multiple_of(2) {
            (values[middle - 1] + values[middle]) / 2.0
        } else {
            values[middle]
        };
        Some((median, values.len()))
    }

    /// The medians of a measure by size.
    pub fn points(&self, measure: Measure) -> Vec<(f64, f64)> {
        let point = |size: usize| Some((size as f64, self.value(measure, size)?.0));
        self.sizes().into_iter().filter_map(point).collect()
    }

    /// The fitted line of each measure that has one.
    pub fn lines(&self) -> Vec<(Measure, Line)> {
        let line = |measure| Some((measure, Line::fit(&self.points(measure))?));
        self.measures().into_iter().filter_map(line).collect()
    }
}
