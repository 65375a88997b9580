//! Limit on the concurrent calls at one endpoint.
//!
//! Each call counts from sending until its end is confirmed. An abandoned call may still be
//! running, and so may the calls of a former owner; both count until an expiry time.

use crate::endpoint_lifecycle;
use comfreyspread_schema::types;
use std::time;

/// Running calls of an endpoint and its limits.
#[derive(Debug)]
pub struct ConcurrencyLimit {
    cold_limit: u32,
    warm_limit: u32,
    running: u32,
    unconfirmed: Vec<time::Instant>,
    inherited: Option<InheritedCalls>,
}

/// Calls of a former owner.
#[derive(Clone, Copy, Debug)]
struct InheritedCalls {
    calls: u32,
    expires_at: time::Instant,
}

impl ConcurrencyLimit {
    /// Creates the limit of an endpoint of `pool`, without running calls.
    pub fn new(pool: &types::PoolDeclaration) -> Self {
        Self {
            cold_limit: pool.cold_limit,
            warm_limit: pool.warm_limit,
            running: 0,
            unconfirmed: Vec::new(),
            inherited: None,
        }
    }

    /// Returns the limit: the cold limit until the endpoint is warm, then one more for each
    /// success, up to the warm limit.
    pub fn limit(&self, status: &endpoint_lifecycle::EndpointStatus) -> u32 {
        if !status.accepts_calls() {
            return 0;
        }
        match status.warm_successes() {
            Some(successes) => self.cold_limit.saturating_add(successes).min(self.warm_limit),
            None => self.cold_limit.min(self.warm_limit),
        }
    }

    /// Returns the number of calls that may be running, including unconfirmed and inherited ones.
    pub fn running(&self) -> u32 {
        let unconfirmed = u32::try_from(self.unconfirmed.len()).unwrap_or(u32::MAX);
        let inherited = self.inherited.map_or(0, |inherited| inherited.calls);
        self.running.saturating_add(unconfirmed).saturating_add(inherited)
    }

    /// Returns the earliest expiry of an unconfirmed or inherited call.
    pub fn next_expiry(&self) -> Option<time::Instant> {
        let inherited = self.inherited.map(|inherited| inherited.expires_at);
        self.unconfirmed.iter().copied().chain(inherited).min()
    }

    /// Applies a new declaration of the pool.
    pub fn update_pool(&mut self, pool: &types::PoolDeclaration) {
        self.cold_limit = pool.cold_limit;
        self.warm_limit = pool.warm_limit;
    }

    /// Acquires a slot for a call; returns whether one was free.
    pub fn try_acquire(&mut self, status: &endpoint_lifecycle::EndpointStatus) -> bool {
        let free = self.running() < self.limit(status);
        if free {
            self.running += 1;
        }
        free
    }

    /// Releases the slot of a call that has ended.
    pub fn release(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Marks a call as unconfirmed; it keeps its slot until `expires_at`.
    pub fn release_unconfirmed(&mut self, expires_at: time::Instant) {
        self.release();
        self.unconfirmed.push(expires_at);
    }

    /// Counts `calls` of a former owner as running until `expires_at`, replacing an earlier count.
    pub fn set_inherited_calls(&mut self, calls: u32, expires_at: time::Instant) {
        self.inherited = Some(InheritedCalls { calls, expires_at });
    }

    /// Releases the slots of unconfirmed and inherited calls that have expired.
    pub fn expire(&mut self, now: time::Instant) {
        self.unconfirmed.retain(|until| *until > now);
        self.inherited = self.inherited.filter(|inherited| inherited.expires_at > now);
    }
}
