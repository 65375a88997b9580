//! Pace of full reads of a table.
//!
//! A store may keep so little history that it refuses the changes after each full read. The pace
//! bounds how often a node then reads the table in full.
//!
//! ```
//! use comfreyspread_policy::full_read_pace;
//! use std::time;
//!
//! let now = time::Instant::now();
//! let mut pace = full_read_pace::FullReadPace::default();
//! assert_eq!(pace.delay(now), time::Duration::ZERO);
//! pace.record_read(now);
//! assert_eq!(pace.delay(now), full_read_pace::MIN_INTERVAL);
//! ```

use std::time;

/// Minimum time from the end of a full read of a table to the next one.
pub const MIN_INTERVAL: time::Duration = time::Duration::from_millis(1000);

/// Pace of the full reads of one table.
#[derive(Clone, Copy, Debug, Default)]
pub struct FullReadPace {
    latest: Option<time::Instant>,
}

impl FullReadPace {
    /// Returns how long to wait before the next full read.
    pub fn delay(&self, now: time::Instant) -> time::Duration {
        let next = self.latest.map(|latest| latest + MIN_INTERVAL);
        next.map_or(time::Duration::ZERO, |next| next.saturating_duration_since(now))
    }

    /// Records that the table was read in full.
    pub fn record_read(&mut self, now: time::Instant) {
        self.latest = Some(now);
    }
}
