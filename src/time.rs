//! Distinct types for points in time and for durations. Both count whole microseconds.

use std::iter::Sum;
use std::ops::{Add, AddAssign};

/// A point in time on the host's monotonic clock, whose origin is arbitrary.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Moment(u64);

/// A duration, never negative.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Span(u64);

impl Moment {
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// The duration since `earlier`; zero if `earlier` is later than `self`.
    pub const fn since(self, earlier: Moment) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }

    /// The moment that lies `span` earlier; the clock's origin if that would be before it.
    pub const fn saturating_sub(self, span: Span) -> Self {
        Self(self.0.saturating_sub(span.0))
    }
}

impl Span {
    pub const ZERO: Span = Span(0);

    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Converts seconds; negative values and NaN become zero.
    pub fn from_secs(secs: f64) -> Self {
        Self((secs.max(0.0) * 1e6).round() as u64)
    }

    pub const fn micros(self) -> u64 {
        self.0
    }

    pub fn secs(self) -> f64 {
        self.0 as f64 / 1e6
    }

    /// This duration multiplied by `factor`.
    pub fn mul_f64(self, factor: f64) -> Self {
        Self::from_secs(self.secs() * factor)
    }

    /// This duration minus `other`; zero if `other` is longer.
    pub const fn saturating_sub(self, other: Span) -> Self {
        Self(self.0.saturating_sub(other.0))
    }
}

impl Add<Span> for Moment {
    type Output = Moment;
    fn add(self, span: Span) -> Moment {
        Moment(self.0.saturating_add(span.0))
    }
}

impl Add for Span {
    type Output = Span;
    fn add(self, other: Span) -> Span {
        Span(self.0.saturating_add(other.0))
    }
}

impl AddAssign for Span {
    fn add_assign(&mut self, other: Span) {
        *self = *self + other;
    }
}

impl Sum for Span {
    fn sum<I: Iterator<Item = Span>>(spans: I) -> Span {
        spans.fold(Span::ZERO, Add::add)
    }
}
