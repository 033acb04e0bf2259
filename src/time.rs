//! Points in time and spans of time, kept apart by type. Both count whole microseconds.

use std::iter::Sum;
use std::ops::{Add, AddAssign};

/// A point on the host's clock, which has no particular start and only advances.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Moment(u64);

/// A length of time, never negative.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Span(u64);

impl Moment {
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// The span since `earlier`; zero if that lies ahead.
    pub const fn since(self, earlier: Moment) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }

    /// The moment that lies so far back; the clock's own start if it lies before that.
    pub const fn saturating_sub(self, span: Span) -> Self {
        Self(self.0.saturating_sub(span.0))
    }
}

impl Span {
    pub const ZERO: Span = Span(0);

    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Negative and undefined spans become zero.
    pub fn from_secs(secs: f64) -> Self {
        Self((secs.max(0.0) * 1e6).round() as u64)
    }

    pub const fn micros(self) -> u64 {
        self.0
    }

    pub fn secs(self) -> f64 {
        self.0 as f64 / 1e6
    }

    /// This span `factor` times over.
    pub fn mul_f64(self, factor: f64) -> Self {
        Self::from_secs(self.secs() * factor)
    }

    /// What is left after `other` is taken off; zero if nothing.
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
