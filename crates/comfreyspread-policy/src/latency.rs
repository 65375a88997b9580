//! Running estimate of how long calls take.

use std::time;

const LOW_QUANTILE: f64 = 0.1;
const HIGH_QUANTILE: f64 = 0.95;
const TYPICAL_GAIN: f64 = 0.1;
const QUANTILE_GAIN: f64 = 0.05;

/// Estimate of a low quantile, the mean and a high quantile of recent calls.
#[derive(Clone, Copy, Debug, Default)]
pub struct LatencyEstimate {
    samples: u32,
    low_seconds: f64,
    typical_seconds: f64,
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

    /// Returns the time that one call in ten stays below; zero without samples.
    pub fn low(&self) -> time::Duration {
        time::Duration::from_secs_f64(self.low_seconds)
    }

    /// Returns the mean time of recent calls; zero without samples.
    pub fn typical(&self) -> time::Duration {
        time::Duration::from_secs_f64(self.typical_seconds)
    }

    /// Returns the time that one call in twenty exceeds; zero without samples.
    pub fn high(&self) -> time::Duration {
        time::Duration::from_secs_f64(self.high_seconds)
    }

    /// Adds the time of one call.
    pub fn record(&mut self, took: time::Duration) {
        let seconds = took.as_secs_f64();
        self.samples = self.samples.saturating_add(1);
        if self.samples == 1 {
            self.low_seconds = seconds;
            self.typical_seconds = seconds;
            self.high_seconds = seconds;
            return;
        }
        let early_gain = 1.0 / f64::from(self.samples);
        let gain = early_gain.max(TYPICAL_GAIN);
        self.typical_seconds += gain * (seconds - self.typical_seconds);
        let gain = early_gain.max(QUANTILE_GAIN);
        self.low_seconds = step(self.low_seconds, seconds, LOW_QUANTILE, gain);
        self.high_seconds = step(self.high_seconds, seconds, HIGH_QUANTILE, gain);
    }
}

/// Moves an estimate of a quantile towards a sample, by a share of the estimate.
fn step(estimate: f64, sample: f64, quantile: f64, gain: f64) -> f64 {
    let below = if sample < estimate { 1.0 } else { 0.0 };
    estimate * (1.0 + gain * (quantile - below))
}
