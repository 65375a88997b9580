//! Whether an entry may be missing though its endpoint lives.
//!
//! While the platform's store is away for everybody, endpoints cannot renew their entries, which
//! then lapse and come back within two seconds of its return. Where only this node was cut off, the
//! store went on for others, and what is missing is gone.

use std::time;

/// Time after an outage in which entries may be missing of endpoints that live.
pub const RECOVERY_TIME: time::Duration = time::Duration::from_millis(2200);

/// What is known of the last outage of the store.
#[derive(Clone, Copy, Debug, Default)]
pub struct OutageRecovery {
    away_for_all: Option<time::Instant>,
}

impl OutageRecovery {
    /// Takes note that the store did not answer this node; `others` is whether it answers another
    /// node, if one could be asked.
    pub fn record_outage(&mut self, others: Option<bool>, now: time::Instant) {
        match others {
            Some(true) => self.away_for_all = None,
            Some(false) => self.away_for_all = Some(now),
            None => {}
        }
    }

    /// Whether a missing entry may come back.
    pub fn is_recovering(&self, now: time::Instant) -> bool {
        let ended = self.away_for_all;
        ended.is_some_and(|ended| now.saturating_duration_since(ended) < RECOVERY_TIME)
    }
}
