//! Learned job costs: work, memory and run time, from clients' estimates, costs reported in answers and the
//! measured time of dispatches.

use crate::interface::{ReservationType, TypeId};
use crate::records::{Dispatch, Job, RunningMean, initial_work};
use crate::time::Span;

/// Maximum weight, in samples, of the past in a running mean.
pub(crate) const MEAN_SAMPLES: f64 = 128.0;
/// Factor by which a sample moves a running median.
const MEDIAN_STEP: f64 = 1.03;
/// Relative increase of the next grants after a dispatch that was short of memory: the increase after the
/// first sample, which is divided by the number of samples, and its minimum.
const GRANT_STEPS: [f64; 2] = [0.3, 0.04];
/// Fraction of the dispatches that the learned grant leaves short of memory.
const SPILL_FRACTION: f64 = 0.1;
/// Factor by which a dispatch that waited for memory lowers the next grants more than one that did not.
const MEMORY_WAIT_WEIGHT: f64 = 3.0;

/// Job costs, learned from estimates, answers and progress notifications. Its vectors have one entry per
/// reservation type.
pub(crate) struct Estimates {
    /// Work of a job in seconds of one thread; its initial value is `initial_work`.
    pub(crate) work: Vec<RunningMean>,
    /// Mean work of a job of any type.
    pub(crate) mean_work: RunningMean,
    /// True work divided by the work that the client estimated.
    pub(crate) work_bias: Vec<RunningMean>,
    /// Ratio of grant to estimated memory at which `SPILL_FRACTION` of the dispatches are short, and its
    /// number of samples.
    pub(crate) memory_bias: Vec<(f64, f64)>,
    /// Time of a dispatch divided by its work on its threads: a running estimate of the median, which a
    /// stalled dispatch changes little.
    pub(crate) stretch: Vec<f64>,
    /// The same ratio for dispatches whose table group was not warm on their engine.
    pub(crate) cold_stretch: Vec<RunningMean>,
    /// Time of a dispatch whose table group was warm, divided by that of one whose group was not.
    pub(crate) warm_ratio: RunningMean,
}

impl Estimates {
    pub(crate) fn new(types: &[ReservationType]) -> Self {
        let each = |value, samples| vec![RunningMean::new(value, samples); types.len()];
        Self {
            work: types.iter().map(|t| RunningMean::new(initial_work(t), 4.0)).collect(),
            mean_work: RunningMean::new(0.0, 0.0),
            work_bias: each(1.0, 4.0),
            memory_bias: vec![(1.25, 0.0); types.len()],
            stretch: vec![1.0; types.len()],
            cold_stretch: each(1.0, 0.0),
            warm_ratio: RunningMean::new(0.5, 16.0),
        }
    }

    /// Learns from one dispatch: `needed` is the ratio of the memory that it needed to the estimate if it was
    /// short of memory, `None` if it was not. The first steps are large, because otherwise the jobs of a
    /// router with few jobs would spill for a minute.
    pub(crate) fn learn_grant(&mut self, type_id: TypeId, needed: Option<f64>, waited_for_memory: bool) {
        let down_exponent = -SPILL_FRACTION * if waited_for_memory { MEMORY_WAIT_WEIGHT } else { 1.0 };
        let (bias, samples) = &mut self.memory_bias[type_id.0];
        *samples += 1.0;
        let step = 1.0 + (GRANT_STEPS[0] / *samples).max(GRANT_STEPS[1]);
        *bias =
            needed.map_or(*bias * step.powf(down_exponent), |needed| (*bias * step).min(needed.max(*bias)));
        *bias = bias.clamp(0.25, 8.0);
    }

    /// Learns from a dispatch that was served in `took`; `true_cost` is the true work and memory, if the
    /// answer contains them.
    pub(crate) fn learn_dispatch(
        &mut self, t: &ReservationType, job: &Job, dispatch: &Dispatch, true_cost: Option<(Span, f64)>,
        took: Span,
    ) {
        let type_id = job.type_id;
        let work = true_cost.map_or(job.work, |(work, _)| work.secs());
        if true_cost.is_some() {
            if let Some(estimate) = job.estimate.filter(|estimate| *estimate > Span::ZERO) {
                self.work_bias[type_id.0].add(work / estimate.secs(), MEAN_SAMPLES);
            }
            self.work[type_id.0].add(work, MEAN_SAMPLES);
        }
        if !dispatch.spilled && dispatch.grant > 0.0 {
            let needed = true_cost.map(|(_, memory)| memory).filter(|memory| *memory > dispatch.grant);
            self.learn_grant(type_id, needed.map(|memory| memory / job.memory), dispatch.waited_for_memory);
        }
        let stretch = took.secs() * t.threads / work.max(1e-3);
        let usual = &mut self.stretch[type_id.0];
        *usual *= if stretch > *usual { MEDIAN_STEP } else { 1.0 / MEDIAN_STEP };
        let cold = &mut self.cold_stretch[type_id.0];
        if !dispatch.warm {
            cold.add(stretch, MEAN_SAMPLES);
        } else if cold.samples() > 8.0 {
            self.warm_ratio.add((stretch / cold.value).min(2.0), MEAN_SAMPLES);
        }
    }
}
