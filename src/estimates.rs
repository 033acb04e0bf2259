//! What jobs cost, learned from what clients estimate, what answers tell and how long dispatches take.

use crate::interface::{ReservationType, TypeId};
use crate::records::{Dispatch, Job, Mean, first_work};
use crate::time::Span;

/// Samples that a mean remembers.
pub(crate) const MEMORY: f64 = 128.0;
/// By how much a sample moves a running median.
const MEDIAN_STEP: f64 = 1.03;
/// By how much a dispatch short of memory raises the next grants: the first one, and at least.
const GRANT_STEPS: [f64; 2] = [0.3, 0.04];
const SHORT_SHARE: f64 = 0.1;
/// How much more a dispatch that waited for memory lowers the next grants than one that did not.
const WAIT_WEIGHT: f64 = 3.0;

/// What jobs cost, learned from estimates, answers and notes. Its tables hold a line for each type.
pub(crate) struct Estimates {
    /// Work of a job in seconds of one thread, by type; it starts from the SLA time on all threads.
    pub(crate) work: Vec<Mean>,
    pub(crate) all_work: Mean,
    /// True work over told work.
    pub(crate) work_bias: Vec<Mean>,
    /// Grant over told memory that `SHORT_SHARE` of the dispatches find short, and how often it was learned.
    pub(crate) memory_bias: Vec<(f64, f64)>,
    /// Time of a dispatch over its work on its threads: about the median, which stalls don't move far.
    pub(crate) stretch: Vec<f64>,
    pub(crate) cold_stretch: Vec<Mean>,
    pub(crate) warm_ratio: Mean,
}

impl Estimates {
    pub(crate) fn new(types: &[ReservationType]) -> Self {
        let each = |value, samples| vec![Mean::new(value, samples); types.len()];
        Self {
            work: types.iter().map(|t| Mean::new(first_work(t), 4.0)).collect(),
            all_work: Mean::new(0.0, 0.0),
            work_bias: each(1.0, 4.0),
            memory_bias: vec![(1.25, 0.0); types.len()],
            stretch: vec![1.0; types.len()],
            cold_stretch: each(1.0, 0.0),
            warm_ratio: Mean::new(0.5, 16.0),
        }
    }

    /// Learns from a dispatch that needed so many times its told memory, if short, or else was not short. The
    /// first steps are large: a router with few jobs would spill for a minute.
    pub(crate) fn grant_judged(&mut self, kind: TypeId, needed: Option<f64>, waited: bool) {
        let down = -SHORT_SHARE * if waited { WAIT_WEIGHT } else { 1.0 };
        let (bias, samples) = &mut self.memory_bias[kind.0];
        *samples += 1.0;
        let step = 1.0 + (GRANT_STEPS[0] / *samples).max(GRANT_STEPS[1]);
        *bias = needed.map_or(*bias * step.powf(down), |n| (*bias * step).min(n.max(*bias)));
        *bias = bias.clamp(0.25, 8.0);
    }

    /// Learns from a dispatch that was served after so long; `told` is the true work and memory, where the answer tells them.
    pub(crate) fn served(
        &mut self, t: &ReservationType, job: &Job, dispatch: &Dispatch, told: Option<(Span, f64)>, took: Span,
    ) {
        let kind = job.kind;
        let work = told.map_or(job.work, |(work, _)| work.secs());
        if told.is_some() {
            if let Some(guess) = job.told.filter(|guess| *guess > Span::ZERO) {
                self.work_bias[kind.0].add(work / guess.secs(), MEMORY);
            }
            self.work[kind.0].add(work, MEMORY);
        }
        if !dispatch.short && dispatch.grant > 0.0 {
            let needed = told.map(|(_, memory)| memory).filter(|memory| *memory > dispatch.grant);
            self.grant_judged(kind, needed.map(|memory| memory / job.memory), dispatch.waited);
        }
        let stretch = took.secs() * t.threads / work.max(1e-3);
        let usual = &mut self.stretch[kind.0];
        *usual *= if stretch > *usual { MEDIAN_STEP } else { 1.0 / MEDIAN_STEP };
        let cold = &mut self.cold_stretch[kind.0];
        if !dispatch.warm {
            cold.add(stretch, MEMORY);
        } else if cold.samples() > 8.0 {
            self.warm_ratio.add((stretch / cold.value).min(2.0), MEMORY);
        }
    }
}
