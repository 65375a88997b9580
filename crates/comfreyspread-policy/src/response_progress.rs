//! How far a response has come, which tells what a crash of its endpoint says of the request.
//!
//! A request that crashes endpoints does so as it begins to run. One whose events have come for a
//! while has run beside others without harm, and is most likely not the cause of a later crash.
//!
//! ```
//! use comfreyspread_policy::response_progress;
//!
//! assert!(!response_progress::ResponseProgress::new().is_running());
//! ```

use comfreyspread_schema::types;
use std::time;

/// Time from the first event of a response to a later one after which the request counts as running.
const BEGIN_TIME: time::Duration = time::Duration::from_millis(500);

/// Times of the first and the latest event of a response.
#[derive(Clone, Copy, Debug, Default)]
pub struct ResponseProgress {
    first_event_at: Option<time::Instant>,
    last_event_at: Option<time::Instant>,
    events: u32,
}

impl ResponseProgress {
    /// Creates the progress of a response without events.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records an event.
    pub fn record_event(&mut self, now: time::Instant) {
        self.first_event_at.get_or_insert(now);
        self.last_event_at = Some(now);
        self.events += 1;
    }

    /// Returns when the first event came.
    pub fn first_event_at(&self) -> Option<time::Instant> {
        self.first_event_at
    }

    /// Returns the mean time between events; none if there were fewer than two.
    pub fn mean_gap(&self) -> Option<time::Duration> {
        let (last, first) = self.last_event_at.zip(self.first_event_at)?;
        let gaps = self.events.checked_sub(1).filter(|gaps| *gaps > 0)?;
        Some(last.saturating_duration_since(first) / gaps)
    }

    /// Returns whether there has been an event.
    pub fn has_events(&self) -> bool {
        self.first_event_at.is_some()
    }

    /// Returns whether events have come for a while, so that the request no longer begins to run.
    pub fn is_running(&self) -> bool {
        let span = self.last_event_at.zip(self.first_event_at);
        span.is_some_and(|(last, first)| last.saturating_duration_since(first) >= BEGIN_TIME)
    }

    /// Returns how far the request is.
    pub fn moment(&self) -> types::CrashMoment {
        match (self.has_events(), self.is_running()) {
            (false, _) => types::CrashMoment::Waiting,
            (true, false) => types::CrashMoment::Begun,
            (true, true) => types::CrashMoment::Running,
        }
    }
}
