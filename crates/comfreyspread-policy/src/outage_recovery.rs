//! Whether an entry may be missing although its endpoint is alive.
//!
//! While the platform's store is unavailable to all nodes, endpoints cannot renew their entries.
//! The entries expire and reappear within two seconds after the store recovers. If only this node
//! was cut off, other nodes could still use the store, so a missing entry means that the endpoint
//! is gone.

use std::time;

/// How long after an outage entries of live endpoints may be missing.
pub const RECOVERY_TIME: time::Duration = time::Duration::from_millis(2200);

/// Last outage of the store for all nodes, if any.
#[derive(Clone, Copy, Debug, Default)]
pub struct OutageRecovery {
    last_global_outage: Option<time::Instant>,
}

impl OutageRecovery {
    /// Records that the store did not reply to this node; `reachable_by_other` is whether it
    /// replies to another node, or `None` if no other node replied.
    pub fn record_outage(&mut self, reachable_by_other: Option<bool>, now: time::Instant) {
        match reachable_by_other {
            Some(true) => self.last_global_outage = None,
            Some(false) => self.last_global_outage = Some(now),
            None => {}
        }
    }

    /// Whether a missing entry may still reappear.
    pub fn is_recovering(&self, now: time::Instant) -> bool {
        let ended = self.last_global_outage;
        ended.is_some_and(|ended| now.saturating_duration_since(ended) < RECOVERY_TIME)
    }
}
