//! Detection of endpoints that answer, but far slower than the others of their pool.
//!
//! The judgement compares an endpoint's typical latency with the median over the pool. At most a
//! stated share of a pool is ejected at once, so that a slow spell of the whole pool, or of a call
//! they all share, cannot take the pool away.

use crate::latency;
use std::time;

const SLOW_LATENCY_RATIO: f64 = 3.0;
const SLOW_LATENCY_MARGIN: time::Duration = time::Duration::from_millis(5);
const MIN_SAMPLES: u32 = 10;
const MAX_EJECTED_DIVISOR: usize = 3;

/// Judges endpoints of one pool by their latency.
#[derive(Clone, Copy, Debug)]
pub struct OutlierDetector {
    max_ejected_divisor: usize,
}

impl OutlierDetector {
    /// Creates a detector that ejects at most a third of a pool.
    pub fn new() -> Self {
        Self { max_ejected_divisor: MAX_EJECTED_DIVISOR }
    }

    /// Ejects at most one endpoint in `divisor`.
    pub fn with_max_ejected_divisor(self, divisor: usize) -> Self {
        Self { max_ejected_divisor: divisor.max(1) }
    }

    /// Whether another endpoint may be ejected from a pool of `endpoints` with `ejected` out.
    pub fn can_eject(&self, endpoints: usize, ejected: usize) -> bool {
        ejected < endpoints / self.max_ejected_divisor
    }

    /// Whether `candidate` is an outlier beside the typical latencies of the `others`.
    pub fn is_outlier(
        &self,
        candidate: &latency::LatencyEstimate,
        others: &mut [time::Duration],
    ) -> bool {
        if candidate.samples() < MIN_SAMPLES {
            return false;
        }
        median(others).is_some_and(|median| self.is_slow(candidate.mean(), median))
    }

    /// Whether a latency is far above the median of the pool.
    pub fn is_slow(&self, latency: time::Duration, median: time::Duration) -> bool {
        latency > median.mul_f64(SLOW_LATENCY_RATIO) && latency > median + SLOW_LATENCY_MARGIN
    }
}

impl Default for OutlierDetector {
    fn default() -> Self {
        Self::new()
    }
}

/// Returns the median, the lower one of two.
pub fn median(latencies: &mut [time::Duration]) -> Option<time::Duration> {
    if latencies.is_empty() {
        return None;
    }
    let middle = (latencies.len() - 1) / 2;
    let (_, median, _) = latencies.select_nth_unstable(middle);
    Some(*median)
}
