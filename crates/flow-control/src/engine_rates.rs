//! How engines send, against one another: an engine that answers well may still send at a crawl.

use std::collections::BTreeMap;

use woadhook::Span;

/// Transfers that a mean remembers.
const MEMORY: f64 = 16.0;
/// Bytes below which a transfer tells nothing of a rate.
const TELLING: usize = 512;
/// A rate of which others' transfers take less than this is not asked for.
const UNTOLD: f64 = 4.0;

/// One engine's sending.
#[derive(Clone, Copy, Debug)]
struct Sending {
    /// Seconds a byte, and to the first byte.
    per_byte: f64,
    first: f64,
    samples: f64,
}

/// Results that the usual size remembers.
const RESULTS: f64 = 32.0;

/// Engines by number. A line goes with its engine.
#[derive(Default)]
pub struct EngineRates {
    /// Bytes of a usual result.
    usual: f64,
    /// Seconds a byte at the engine in the middle, if enough was seen of two at least.
    middle: Option<f64>,
    engines: BTreeMap<usize, Sending>,
}

impl EngineRates {
    /// A body of so many bytes came in so long, its first byte after so long.
    pub fn record_transfer(&mut self, engine: usize, bytes: usize, first: Span, body: Span) {
        if bytes < TELLING {
            return;
        }
        let per_byte = body.secs() / bytes as f64;
        let sending =
            self.engines.entry(engine).or_insert(Sending { per_byte, first: first.secs(), samples: 0.0 });
        sending.samples = (sending.samples + 1.0).min(MEMORY);
        sending.per_byte += (per_byte - sending.per_byte) / sending.samples;
        sending.first += (first.secs() - sending.first) / sending.samples;
        self.middle = self.find_middle();
    }

    /// A whole result of so many bytes.
    pub fn record_result_size(&mut self, bytes: usize) {
        self.usual += (bytes as f64 - self.usual) / RESULTS;
    }

    pub fn remove(&mut self, engine: usize) {
        if self.engines.remove(&engine).is_some() {
            self.middle = self.find_middle();
        }
    }

    fn find_middle(&self) -> Option<f64> {
        let known = self.engines.values().filter(|sending| sending.samples >= UNTOLD);
        let mut each: Vec<f64> = known.map(|sending| sending.per_byte).collect();
        let place = each.len().saturating_sub(1) / 2;
        (each.len() >= 2).then(|| *each.select_nth_unstable_by(place, f64::total_cmp).1)
    }

    /// The rate below which a body is too slow, in bytes a second: a share of the middle engine's, and never more than `max_rate`.
    pub fn min_rate(&self, share: f64, max_rate: f64) -> f64 {
        self.middle.map_or(max_rate, |middle| (share / middle.max(1e-9)).min(max_rate))
    }

    /// How much longer a usual result takes from this engine than from the one in the middle.
    pub fn extra_transfer_time(&self, engine: usize) -> Span {
        let Some((own, middle)) = self.engines.get(&engine).zip(self.middle) else { return Span::ZERO };
        Span::from_secs((own.per_byte - middle).max(0.0) * self.usual)
    }

    /// An engine's rate in bytes a second, its time to the first byte, and its place among all, the slowest 1.
    pub fn stats(&self, engine: usize) -> Option<(f64, Span, usize)> {
        let own = self.engines.get(&engine)?;
        let slower = self.engines.values().filter(|other| other.per_byte > own.per_byte).count();
        Some((1.0 / own.per_byte.max(1e-9), Span::from_secs(own.first), slower + 1))
    }
}
