//! Budget of bytes for the slow link to other regions.
//!
//! A bucket fills at the rate that this node may use. Lower priorities may only take from the upper
//! part of the bucket, so that what is left near its bottom is kept for higher ones.

use comfreyspread_schema::types;
use std::time;

const BURST_DURATION: time::Duration = time::Duration::from_secs(1);

/// Bytes that a node may send to other regions.
#[derive(Clone, Copy, Debug)]
pub struct LinkBudget {
    bytes_per_second: u64,
    available_bytes: u64,
    refilled_at: time::Instant,
}

impl LinkBudget {
    /// Creates a full budget that fills at `rate` bytes a second.
    pub fn new(bytes_per_second: u64, now: time::Instant) -> Self {
        Self { bytes_per_second, available_bytes: capacity(bytes_per_second), refilled_at: now }
    }

    /// Returns whether `bytes` may be sent with this priority now.
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

    /// Takes `bytes`, which may have been more than the budget held.
    pub fn consume(&mut self, bytes: u64, now: time::Instant) {
        self.refill(now);
        self.available_bytes = self.available_bytes.saturating_sub(bytes);
    }

    /// Bytes that this priority leaves to higher ones.
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
