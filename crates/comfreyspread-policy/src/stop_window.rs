//! Whether a request can still be finished before a planned stop ends.
//!
//! Until the node closes its listener, callers may not know that it stops, and a request is taken if
//! nothing is known of its duration. Later such a request is taken only if its deadline comes in time.

use std::time;

/// Quantile of the measured durations that a request is expected to last.
const EXPECTED_QUANTILE: f64 = 0.5;
/// The same for a request whose loss its caller could not make good.
const CAUTIOUS_QUANTILE: f64 = 0.99;
/// Part of the window reserved for the answer to reach the caller.
const ANSWER_MARGIN: time::Duration = time::Duration::from_millis(250);

/// When a node that stops closes its listener, and when it ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StopWindow {
    closes_at: time::Instant,
    ends_at: time::Instant,
}

impl StopWindow {
    /// Creates the window of a stop that began at `now`.
    pub fn new(now: time::Instant, grace: time::Duration, shutdown: time::Duration) -> Self {
        let closes_at = now + grace;
        Self { closes_at, ends_at: closes_at + shutdown }
    }

    /// Returns when the node ends.
    pub fn ends_at(&self) -> time::Instant {
        self.ends_at
    }

    /// Returns the quantile of the measured durations by which to judge a request that arrived at
    /// `arrived`.
    pub fn expected_quantile(&self, arrived: time::Instant, repeatable: bool) -> f64 {
        if repeatable && !self.is_late(arrived) { EXPECTED_QUANTILE } else { CAUTIOUS_QUANTILE }
    }

    fn is_late(&self, arrived: time::Instant) -> bool {
        arrived >= self.closes_at
    }

    /// Returns whether a request that arrived at `arrived` can be finished if it is sent at `now`.
    /// `expected` is how long such requests last, if that is known, and `time_left` the time until
    /// its own deadline.
    pub fn admits(
        &self,
        arrived: time::Instant,
        expected: Option<time::Duration>,
        time_left: time::Duration,
        now: time::Instant,
    ) -> bool {
        let assumed = if self.is_late(arrived) { time_left } else { time::Duration::ZERO };
        let duration = expected.unwrap_or(assumed).min(time_left);
        let left = self.ends_at.saturating_duration_since(now);
        left.checked_sub(ANSWER_MARGIN).is_some_and(|left| duration <= left)
    }
}
