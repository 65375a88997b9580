//! Measured times of stages, and whether a request can still make its deadline.
//!
//! Times are kept per pool, without the wait in an owner's queue, in two windows that take turns:
//! a pool that has not been called for two windows has no figure, so a bad spell is forgotten even
//! if every request was refused in the meantime.

use comfreyspread_schema::ids;
use hdrhistogram::Histogram;
use indexmap::IndexMap;
use std::time;

const WINDOW: time::Duration = time::Duration::from_secs(10);
const LEAST_SAMPLES: u64 = 20;
const SIGNIFICANT_DIGITS: u8 = 2;
const MOST_MICROSECONDS: u64 = 3_600_000_000;

/// Measured times of the stages run in each pool.
#[derive(Debug, Default)]
pub struct StageTimings {
    pools: IndexMap<ids::PoolId, TimingWindows>,
}

#[derive(Debug)]
struct TimingWindows {
    current: Histogram<u32>,
    previous: Histogram<u32>,
    began: time::Instant,
}

impl TimingWindows {
    fn new(now: time::Instant) -> Option<Self> {
        let empty = Histogram::new_with_max(MOST_MICROSECONDS, SIGNIFICANT_DIGITS).ok()?;
        Some(Self { current: empty.clone(), previous: empty, began: now })
    }

    fn rotate(&mut self, now: time::Instant) {
        let age = now.saturating_duration_since(self.began);
        if age < WINDOW {
            return;
        }
        std::mem::swap(&mut self.current, &mut self.previous);
        self.current.reset();
        if age >= WINDOW * 2 {
            self.previous.reset();
        }
        self.began = now;
    }

    fn quantile(&self, quantile: f64) -> Option<time::Duration> {
        let window =
            if self.current.len() >= LEAST_SAMPLES { &self.current } else { &self.previous };
        if window.len() < LEAST_SAMPLES {
            return None;
        }
        Some(time::Duration::from_micros(window.value_at_quantile(quantile)))
    }
}

impl StageTimings {
    /// Creates timings without any figure.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns a quantile of a pool's times; none if there are too few samples.
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

    /// Records the time that one call took.
    pub fn record(&mut self, pool: &ids::PoolId, took: time::Duration, now: time::Instant) {
        if !self.pools.contains_key(pool) {
            let Some(windows) = TimingWindows::new(now) else { return };
            self.pools.insert(pool.clone(), windows);
        }
        let Some(windows) = self.pools.get_mut(pool) else { return };
        windows.rotate(now);
        let micros = u64::try_from(took.as_micros()).unwrap_or(u64::MAX);
        windows.current.saturating_record(micros.min(MOST_MICROSECONDS));
    }

    /// Whether the stages in `pools` can be expected to fit into `remaining`.
    ///
    /// A pool without a figure counts as taking no time.
    pub fn fits(
        &mut self,
        pools: &[ids::PoolId],
        remaining: time::Duration,
        now: time::Instant,
    ) -> bool {
        let times = pools.iter().filter_map(|pool| self.quantile(pool, 0.5, now));
        let needed: time::Duration = times.sum();
        needed <= remaining
    }
}
