//! Budget of bytes for the slow link to other regions.
//!
//! A bucket fills at the rate that this node may use. Lower priorities may only take from the upper
//! part of the bucket, so that what is left near its bottom is kept for higher ones.

use comfreyspread_schema::types;
use std::time;

const BURST: time::Duration = time::Duration::from_secs(1);

/// Bytes that a node may send to other regions.
#[derive(Clone, Copy, Debug)]
pub struct LinkBudget {
    rate: u64,
    bytes: u64,
    filled: time::Instant,
}

impl LinkBudget {
    /// Creates a full budget that fills at `rate` bytes a second.
    pub fn new(rate: u64, now: time::Instant) -> Self {
        Self { rate, bytes: capacity(rate), filled: now }
    }

    /// Returns whether `bytes` may be sent with this priority now.
    pub fn allows(
        &mut self,
        bytes: u64,
        priority: types::PriorityLevel,
        now: time::Instant,
    ) -> bool {
        self.fill(now);
        let reserve = self.reserve(priority);
        let most = capacity(self.rate).saturating_sub(reserve);
        self.bytes >= bytes.min(most).saturating_add(reserve)
    }

    /// Takes `bytes`, which may have been more than the budget held.
    pub fn spend(&mut self, bytes: u64, now: time::Instant) {
        self.fill(now);
        self.bytes = self.bytes.saturating_sub(bytes);
    }

    /// Bytes that this priority leaves to higher ones.
    fn reserve(&self, priority: types::PriorityLevel) -> u64 {
        let capacity = capacity(self.rate);
        match priority {
            types::PriorityLevel::High => 0,
            types::PriorityLevel::Normal => capacity / 4,
            types::PriorityLevel::Low => capacity / 2,
        }
    }

    fn fill(&mut self, now: time::Instant) {
        let passed = now.saturating_duration_since(self.filled);
        let gained = u128::from(self.rate) * passed.as_micros() / 1_000_000;
        if gained == 0 {
            return;
        }
        let gained = u64::try_from(gained).unwrap_or(u64::MAX);
        self.bytes = self.bytes.saturating_add(gained).min(capacity(self.rate));
        self.filled = now;
    }
}

fn capacity(rate: u64) -> u64 {
    rate.saturating_mul(BURST.as_secs())
}
