//! Measured stage durations, and whether a request can still meet its deadline.
//!
//! Durations are kept per pool, without the wait in an owner's queue, in a current and a previous
//! window. A pool without calls for two windows has no estimate, so a past slowdown expires even if
//! every request was refused because of it.

use comfreyspread_schema::ids;
use hdrhistogram::Histogram;
use indexmap::IndexMap;
use std::time;

const WINDOW_DURATION: time::Duration = time::Duration::from_secs(10);
const MIN_SAMPLES: u64 = 20;
const SIGNIFICANT_DIGITS: u8 = 2;
const MAX_MICROSECONDS: u64 = 3_600_000_000;

/// Measured stage durations of each pool.
#[derive(Debug, Default)]
pub struct StageTimings {
    pools: IndexMap<ids::PoolId, TimingWindows>,
}

#[derive(Debug)]
struct TimingWindows {
    current: Histogram<u32>,
    previous: Histogram<u32>,
    started_at: time::Instant,
}

impl TimingWindows {
    fn new(now: time::Instant) -> Option<Self> {
        let empty = Histogram::new_with_max(MAX_MICROSECONDS, SIGNIFICANT_DIGITS).ok()?;
        Some(Self { current: empty.clone(), previous: empty, started_at: now })
    }

    fn rotate(&mut self, now: time::Instant) {
        let age = now.saturating_duration_since(self.started_at);
        if age < WINDOW_DURATION {
            return;
        }
        std::mem::swap(&mut self.current, &mut self.previous);
        self.current.reset();
        if age >= WINDOW_DURATION * 2 {
            self.previous.reset();
        }
        self.started_at = now;
    }

    fn quantile(&self, quantile: f64) -> Option<time::Duration> {
        let window = if self.current.len() >= MIN_SAMPLES { &self.current } else { &self.previous };
        if window.len() < MIN_SAMPLES {
            return None;
        }
        Some(time::Duration::from_micros(window.value_at_quantile(quantile)))
    }
}

impl StageTimings {
    /// Creates timings without samples.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns a quantile of a pool's stage durations; `None` if there are too few samples.
    pub fn quantile(
        &mut self,
        pool: &ids::PoolId,
        quantile: f64,
        now: time::Instant,
    ) -> Option<time::Duration> {
        let windows = self.pools.get_mut(pool)?;
        windows.rotate(now);
        windows.quantile(quantile)
    }

    /// Records the duration of one call.
    pub fn record(&mut self, pool: &ids::PoolId, duration: time::Duration, now: time::Instant) {
        if !self.pools.contains_key(pool) {
            let Some(windows) = TimingWindows::new(now) else { return };
            self.pools.insert(pool.clone(), windows);
        }
        let Some(windows) = self.pools.get_mut(pool) else { return };
        windows.rotate(now);
        let microseconds = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        windows.current.saturating_record(microseconds.min(MAX_MICROSECONDS));
    }

    /// Returns the sum of a quantile of the durations of `pools`; `None` if one has too few samples.
    pub fn expected_duration(
        &mut self,
        pools: &[ids::PoolId],
        quantile: f64,
        now: time::Instant,
    ) -> Option<time::Duration> {
        pools.iter().map(|pool| self.quantile(pool, quantile, now)).sum()
    }

    /// Whether the sum of the median durations of `pools` is at most `remaining`.
    ///
    /// A pool with too few samples counts as zero.
    pub fn fits_deadline(
        &mut self,
        pools: &[ids::PoolId],
        remaining: time::Duration,
        now: time::Instant,
    ) -> bool {
        let durations = pools.iter().filter_map(|pool| self.quantile(pool, 0.5, now));
        let expected: time::Duration = durations.sum();
        expected <= remaining
    }
}
