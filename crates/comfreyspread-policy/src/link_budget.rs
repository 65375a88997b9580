//! Byte budget for the slow link to other regions.
//!
//! A token bucket refills at the rate allowed for this node. Lower priorities must leave part of
//! the bucket in reserve for higher ones.

use comfreyspread_schema::types;
use std::time;

const BURST_DURATION: time::Duration = time::Duration::from_secs(1);

/// Token bucket of the bytes that a node may send to other regions.
#[derive(Clone, Copy, Debug)]
pub struct LinkBudget {
    bytes_per_second: u64,
    available_bytes: u64,
    refilled_at: time::Instant,
}

impl LinkBudget {
    /// Creates a full budget that refills at `bytes_per_second`.
    pub fn new(bytes_per_second: u64, now: time::Instant) -> Self {
        Self { bytes_per_second, available_bytes: capacity(bytes_per_second), refilled_at: now }
    }

    /// Whether `bytes` may be sent with this priority now. A message larger than the bucket is
    /// allowed when the bucket is full, since it could never be sent otherwise.
    pub fn allows(
        &mut self,
        bytes: u64,
        priority: types::PriorityLevel,
        now: time::Instant,
    ) -> bool {
        self.refill(now);
        let reserve = self.reserve(priority);
        let spendable = capacity(self.bytes_per_second).saturating_sub(reserve);
        self.available_bytes >= bytes.min(spendable).saturating_add(reserve)
    }

    /// Removes `bytes`; the budget does not fall below zero if they are more than it holds.
    pub fn consume(&mut self, bytes: u64, now: time::Instant) {
        self.refill(now);
        self.available_bytes = self.available_bytes.saturating_sub(bytes);
    }

    /// Returns the bytes that this priority must leave in the bucket.
    fn reserve(&self, priority: types::PriorityLevel) -> u64 {
        let capacity = capacity(self.bytes_per_second);
        match priority {
            types::PriorityLevel::High => 0,
            types::PriorityLevel::Normal => capacity / 4,
            types::PriorityLevel::Low => capacity / 2,
        }
    }

    fn refill(&mut self, now: time::Instant) {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        let refilled = u128::from(self.bytes_per_second) * elapsed.as_micros() / 1_000_000;
        if refilled == 0 {
            return;
        }
        let refilled = u64::try_from(refilled).unwrap_or(u64::MAX);
        self.available_bytes =
            self.available_bytes.saturating_add(refilled).min(capacity(self.bytes_per_second));
        self.refilled_at = now;
    }
}

fn capacity(bytes_per_second: u64) -> u64 {
    bytes_per_second.saturating_mul(BURST_DURATION.as_secs())
}
