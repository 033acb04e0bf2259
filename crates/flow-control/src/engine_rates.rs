//! Transfer rates of engines compared with one another: an engine that answers promptly may still send its
//! results very slowly.

use std::collections::BTreeMap;

use woadhook::Span;

/// Maximum weight of an engine's past transfers: plain means up to this number of transfers, moving means
/// after it.
const MAX_SAMPLES: f64 = 16.0;
/// A transfer of fewer bytes is too short to measure a rate and is ignored.
const MIN_TRANSFER_BYTES: usize = 512;
/// Engines with fewer transfers than this do not count for the median.
const MIN_SAMPLES: f64 = 4.0;

/// Mean transfer times of one engine.
#[derive(Clone, Copy, Debug)]
struct TransferMeans {
    /// Seconds per byte, and seconds to the first byte.
    seconds_per_byte: f64,
    first_byte_seconds: f64,
    samples: f64,
}

/// The median is found again after one transfer for each this many engines, so that a transfer costs the same
/// however many engines there are.
const ENGINES_PER_TRANSFER: usize = 64;
/// Number of results over which the moving mean of the result size is taken.
const RESULT_SIZE_WINDOW: f64 = 32.0;

/// Transfer statistics by engine number. An entry stays until its engine is removed.
#[derive(Default)]
pub struct EngineRates {
    /// Moving mean of the result size in bytes.
    mean_result_bytes: f64,
    /// Seconds per byte of the median engine; `None` until at least two engines have enough transfers.
    median: Option<f64>,
    /// Number of transfers since the median was found.
    transfers_since_median: usize,
    engines: BTreeMap<usize, TransferMeans>,
}

impl EngineRates {
    /// Records a body of `bytes` bytes: `time_to_first_byte` is the time to its first byte, `body_time` the
    /// time from there to its last byte.
    pub fn record_transfer(
        &mut self, engine: usize, bytes: usize, time_to_first_byte: Span, body_time: Span,
    ) {
        if bytes < MIN_TRANSFER_BYTES {
            return;
        }
        let seconds_per_byte = body_time.secs() / bytes as f64;
        let means = self.engines.entry(engine).or_insert(TransferMeans {
            seconds_per_byte,
            first_byte_seconds: time_to_first_byte.secs(),
            samples: 0.0,
        });
        means.samples = (means.samples + 1.0).min(MAX_SAMPLES);
        means.seconds_per_byte += (seconds_per_byte - means.seconds_per_byte) / means.samples;
        means.first_byte_seconds += (time_to_first_byte.secs() - means.first_byte_seconds) / means.samples;
        self.transfers_since_median += 1;
        if self.transfers_since_median > self.engines.len() / ENGINES_PER_TRANSFER {
            self.transfers_since_median = 0;
            self.median = self.find_median();
        }
    }

    /// Records the size of a complete result.
    pub fn record_result_size(&mut self, bytes: usize) {
        self.mean_result_bytes += (bytes as f64 - self.mean_result_bytes) / RESULT_SIZE_WINDOW;
    }

    pub fn remove(&mut self, engine: usize) {
        let was_known = self.engines.remove(&engine).is_some();
        if was_known && self.engines.len() < ENGINES_PER_TRANSFER {
            self.median = self.find_median();
        }
    }

    fn find_median(&self) -> Option<f64> {
        let known = self.engines.values().filter(|means| means.samples >= MIN_SAMPLES);
        let mut rates: Vec<f64> = known.map(|means| means.seconds_per_byte).collect();
        let index = rates.len().saturating_sub(1) / 2;
        (rates.len() >= 2).then(|| *rates.select_nth_unstable_by(index, f64::total_cmp).1)
    }

    /// Returns the rate in bytes per second below which a body is too slow: a share of the median engine's
    /// rate, capped at `max_rate`; `max_rate` itself while there is no median.
    pub fn min_rate(&self, share: f64, max_rate: f64) -> f64 {
        self.median.map_or(max_rate, |median| (share / median.max(1e-9)).min(max_rate))
    }

    /// Returns how much longer a result of mean size takes from this engine than from the median engine.
    pub fn extra_transfer_time(&self, engine: usize) -> Span {
        let Some((own, median)) = self.engines.get(&engine).zip(self.median) else { return Span::ZERO };
        Span::from_secs((own.seconds_per_byte - median).max(0.0) * self.mean_result_bytes)
    }

    /// Returns an engine's rate in bytes per second, its time to the first byte, and its rank by rate, where
    /// 1 is the slowest.
    pub fn stats(&self, engine: usize) -> Option<(f64, Span, usize)> {
        let own = self.engines.get(&engine)?;
        let slower =
            self.engines.values().filter(|other| other.seconds_per_byte > own.seconds_per_byte).count();
        Some((1.0 / own.seconds_per_byte.max(1e-9), Span::from_secs(own.first_byte_seconds), slower + 1))
    }
}
