//! State of the roll-outs that this node decides on.

use comfreyspread_policy::{rollout_decider, rollout_judgement};
use comfreyspread_schema::{ids, types};
use indexmap::IndexMap;
use std::time;

/// Time after which the stored record is read again, which also shows that the store answers.
const READ_INTERVAL: time::Duration = time::Duration::from_secs(2);
/// Time without an answer of the store after which another node should decide.
const MAX_SILENCE: time::Duration = time::Duration::from_secs(3);

/// A stored record.
#[derive(Clone, Debug, PartialEq)]
pub struct StoredRecord {
    /// The record; none if there is none that can be read.
    pub record: Option<types::RolloutRecord>,
    /// Version of its row; zero if there is no row.
    pub version: u64,
}

/// One roll-out that this node decides on.
#[derive(Debug)]
pub struct ActiveDecider {
    /// Reports and judgement.
    pub decider: rollout_decider::RolloutDecider,
    /// Record as it was last read or written; none if a write had no answer since.
    pub stored: Option<StoredRecord>,
    /// Whether the version is to get nothing more, which is not stored yet.
    pub is_stopped: bool,
    /// Time on the store's clock, and when it was that.
    clock: Option<(time::Duration, time::Instant)>,
    /// When this node began to decide.
    began_at: time::Instant,
}

impl ActiveDecider {
    /// Creates the state of a node that begins to decide.
    pub fn new(rules: rollout_judgement::JudgementRules, now: time::Instant) -> Self {
        Self {
            decider: rollout_decider::RolloutDecider::new(rules),
            stored: None,
            is_stopped: false,
            clock: None,
            began_at: now,
        }
    }

    /// Returns whether the record has to be read before anything is decided.
    pub fn needs_read(&self, now: time::Instant) -> bool {
        let is_old = |(_, read_at): (_, time::Instant)| {
            now.saturating_duration_since(read_at) >= READ_INTERVAL
        };
        self.stored.is_none() || self.clock.is_none_or(is_old)
    }

    /// Records what the store holds.
    pub fn record_read(
        &mut self,
        stored: StoredRecord,
        store_time: time::Duration,
        now: time::Instant,
    ) {
        self.stored = Some(stored);
        self.clock = Some((store_time, now));
    }

    /// Returns the time on the store's clock; none if it has not been read.
    pub fn store_time(&self, now: time::Instant) -> Option<time::Duration> {
        let (store_time, read_at) = self.clock?;
        Some(store_time + now.saturating_duration_since(read_at))
    }

    /// Returns whether this node is able to decide: the store has answered lately, or there was no
    /// time for an answer yet.
    pub fn is_able(&self, now: time::Instant) -> bool {
        let since = self.clock.map_or(self.began_at, |(_, read_at)| read_at);
        now.saturating_duration_since(since) < MAX_SILENCE
    }
}

/// Roll-outs that this node decides on, by service.
pub type DeciderTable = IndexMap<ids::ServiceName, ActiveDecider>;
