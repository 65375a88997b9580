//! How long work takes at one engine, in parts of the usual time of its service.
//!
//! Lasting differences are learnt slowly, from what was measured apart from the load. Momentary
//! slowness lasts fractions of a second, too short to be learnt; what is overdue at an engine shows it.
//!
//! ```
//! use comfreyspread_policy::engine_speed;
//!
//! let mut speed = engine_speed::EngineSpeed::default();
//! assert_eq!(speed.factor(), 1.0);
//! for _ in 0..20 {
//!     speed.record(2.0);
//! }
//! assert!(speed.factor() > 1.8);
//! ```

/// Weight of the newest measurement.
const SAMPLE_WEIGHT: f64 = 0.15;
/// Bounds of one measurement, so that a single pause does not outweigh many others.
const SAMPLE_RANGE: (f64, f64) = (0.33, 3.0);

/// Time of work at one engine, relative to the usual.
#[derive(Clone, Copy, Debug, Default)]
pub struct EngineSpeed {
    log_factor: f64,
}

impl EngineSpeed {
    /// Records a time relative to the usual one.
    pub fn record(&mut self, ratio: f64) {
        let log = ratio.clamp(SAMPLE_RANGE.0, SAMPLE_RANGE.1).ln();
        self.log_factor += (log - self.log_factor) * SAMPLE_WEIGHT;
    }

    /// Returns the factor on the usual time.
    pub fn factor(&self) -> f64 {
        self.log_factor.exp()
    }
}

/// Average of a time over a service, against which its engines are compared.
#[derive(Clone, Copy, Debug)]
pub struct UsualTime {
    seconds: f64,
}

impl UsualTime {
    /// Creates an average that starts from an assumption, in seconds.
    pub fn new(seconds: f64) -> Self {
        Self { seconds }
    }

    /// Returns the average, in seconds.
    pub fn seconds(&self) -> f64 {
        self.seconds
    }

    /// Records a time, in seconds, and returns it relative to the average before.
    pub fn record(&mut self, seconds: f64) -> f64 {
        const WEIGHT: f64 = 0.02;
        let ratio = seconds / self.seconds.max(f64::EPSILON);
        let bounded = seconds.clamp(self.seconds * SAMPLE_RANGE.0, self.seconds * SAMPLE_RANGE.1);
        self.seconds += (bounded - self.seconds) * WEIGHT;
        ratio
    }
}
