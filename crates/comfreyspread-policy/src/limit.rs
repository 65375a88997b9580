//! Exact limit on the calls in flight at one endpoint.
//!
//! Every call sent counts until it is known to have ended. A call given up on may still run, and a
//! former owner's calls may too, so both count until a stated moment.

use crate::endpoint_lifecycle;
use comfreyspread_schema::types;
use std::time;

/// Calls in flight at an endpoint and how many it bears.
#[derive(Debug)]
pub struct ConcurrencyLimit {
    cold: u32,
    warm: u32,
    running: u32,
    lingering: Vec<time::Instant>,
    inherited: Option<InheritedCalls>,
}

/// Calls of a former owner.
#[derive(Clone, Copy, Debug)]
struct InheritedCalls {
    calls: u32,
    until: time::Instant,
}

impl ConcurrencyLimit {
    /// Creates the limit of an endpoint of a pool, with no call in flight.
    pub fn new(pool: &types::PoolDeclaration) -> Self {
        Self {
            cold: pool.cold_limit,
            warm: pool.warm_limit,
            running: 0,
            lingering: Vec::new(),
            inherited: None,
        }
    }

    /// Returns the calls the endpoint bears: the cold limit until it is warm, then one more with
    /// each success up to the warm limit.
    pub fn limit(&self, life: &endpoint_lifecycle::EndpointStatus) -> u32 {
        if !life.accepts_calls() {
            return 0;
        }
        match life.warm_successes() {
            Some(successes) => self.cold.saturating_add(successes).min(self.warm),
            None => self.cold.min(self.warm),
        }
    }

    /// Returns the calls that may be in flight.
    pub fn running(&self) -> u32 {
        let lingering = u32::try_from(self.lingering.len()).unwrap_or(u32::MAX);
        let inherited = self.inherited.map_or(0, |inherited| inherited.calls);
        self.running.saturating_add(lingering).saturating_add(inherited)
    }

    /// Returns the first moment at which a call counted until then no longer counts.
    pub fn next_release(&self) -> Option<time::Instant> {
        let inherited = self.inherited.map(|inherited| inherited.until);
        self.lingering.iter().copied().chain(inherited).min()
    }

    /// Follows a change of the pool's declaration.
    pub fn adjust(&mut self, pool: &types::PoolDeclaration) {
        self.cold = pool.cold_limit;
        self.warm = pool.warm_limit;
    }

    /// Counts one more call if the endpoint bears it, and returns whether it does.
    pub fn take(&mut self, life: &endpoint_lifecycle::EndpointStatus) -> bool {
        let free = self.running() < self.limit(life);
        if free {
            self.running += 1;
        }
        free
    }

    /// Counts one call less.
    pub fn give_back(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Counts a call that was given up on until the moment `until`.
    pub fn give_up(&mut self, until: time::Instant) {
        self.give_back();
        self.lingering.push(until);
    }

    /// Counts the calls of a former owner until the moment `until`, in place of what was said of
    /// them before.
    pub fn inherit(&mut self, calls: u32, until: time::Instant) {
        self.inherited = Some(InheritedCalls { calls, until });
    }

    /// Stops counting calls whose moment has come.
    pub fn release(&mut self, now: time::Instant) {
        self.lingering.retain(|until| *until > now);
        self.inherited = self.inherited.filter(|inherited| inherited.until > now);
    }
}
