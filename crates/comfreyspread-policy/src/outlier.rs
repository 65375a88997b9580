//! Detection of endpoints that answer far slower than the others of their pool.
//!
//! The detector compares the mean latency of an endpoint with the median of the others. At most a
//! fixed share of a pool is ejected at once, so a slowdown of the whole pool, or of a dependency
//! that all endpoints call, cannot empty it.

use crate::latency;
use std::time;

const SLOW_LATENCY_RATIO: f64 = 3.0;
const SLOW_LATENCY_MARGIN: time::Duration = time::Duration::from_millis(5);
const MIN_SAMPLES: u32 = 10;
const MAX_EJECTED_DIVISOR: usize = 3;

/// Detects slow endpoints of one pool.
#[derive(Clone, Copy, Debug)]
pub struct OutlierDetector {
    max_ejected_divisor: usize,
}

impl OutlierDetector {
    /// Creates a detector that ejects at most a third of a pool.
    pub fn new() -> Self {
        Self { max_ejected_divisor: MAX_EJECTED_DIVISOR }
    }

    /// Limits ejected endpoints to one in `divisor`.
    pub fn with_max_ejected_divisor(self, divisor: usize) -> Self {
        Self { max_ejected_divisor: divisor.max(1) }
    }

    /// Whether another endpoint may be ejected from a pool of `endpoints`, of which `ejected` are
    /// ejected already.
    pub fn can_eject(&self, endpoints: usize, ejected: usize) -> bool {
        ejected < endpoints / self.max_ejected_divisor
    }

    /// Whether `candidate` is an outlier compared with `others`, the mean latencies of the other
    /// endpoints.
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

    /// Whether `latency` is far above `median`.
    pub fn is_slow(&self, latency: time::Duration, median: time::Duration) -> bool {
        latency > median.mul_f64(SLOW_LATENCY_RATIO) && latency > median + SLOW_LATENCY_MARGIN
    }
}

impl Default for OutlierDetector {
    fn default() -> Self {
        Self::new()
    }
}

/// Returns the median, or the lower of two middle values; `None` without latencies.
pub fn median(latencies: &mut [time::Duration]) -> Option<time::Duration> {
    if latencies.is_empty() {
        return None;
    }
    let middle = (latencies.len() - 1) / 2;
    let (_, median, _) = latencies.select_nth_unstable(middle);
    Some(*median)
}
