//! Moving estimate of call latency.

use std::time;

const LOW_QUANTILE: f64 = 0.1;
const HIGH_QUANTILE: f64 = 0.95;
const MEAN_GAIN: f64 = 0.1;
const QUANTILE_GAIN: f64 = 0.05;

/// Moving estimate of the mean, a low and a high quantile of call latency.
#[derive(Clone, Copy, Debug, Default)]
pub struct LatencyEstimate {
    samples: u32,
    low_seconds: f64,
    mean_seconds: f64,
    high_seconds: f64,
}

impl LatencyEstimate {
    /// Creates an estimate without samples.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the number of samples.
    pub fn samples(&self) -> u32 {
        self.samples
    }

    /// Returns the 10th percentile; zero without samples.
    pub fn low_quantile(&self) -> time::Duration {
        time::Duration::from_secs_f64(self.low_seconds)
    }

    /// Returns the exponentially weighted mean; zero without samples.
    pub fn mean(&self) -> time::Duration {
        time::Duration::from_secs_f64(self.mean_seconds)
    }

    /// Returns the 95th percentile; zero without samples.
    pub fn high_quantile(&self) -> time::Duration {
        time::Duration::from_secs_f64(self.high_seconds)
    }

    /// Adds a sample.
    pub fn record(&mut self, duration: time::Duration) {
        let seconds = duration.as_secs_f64();
        self.samples = self.samples.saturating_add(1);
        if self.samples == 1 {
            self.low_seconds = seconds;
            self.mean_seconds = seconds;
            self.high_seconds = seconds;
            return;
        }
        let early_gain = 1.0 / f64::from(self.samples);
        let gain = early_gain.max(MEAN_GAIN);
        self.mean_seconds += gain * (seconds - self.mean_seconds);
        let gain = early_gain.max(QUANTILE_GAIN);
        self.low_seconds = step_quantile(self.low_seconds, seconds, LOW_QUANTILE, gain);
        self.high_seconds = step_quantile(self.high_seconds, seconds, HIGH_QUANTILE, gain);
    }
}

/// Moves a quantile estimate towards a sample, in proportion to the estimate.
fn step_quantile(estimate: f64, sample: f64, quantile: f64, gain: f64) -> f64 {
    let is_below = if sample < estimate { 1.0 } else { 0.0 };
    estimate * (1.0 + gain * (quantile - is_below))
}
