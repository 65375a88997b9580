//! Retry budget of each service, shared by all nodes.
//!
//! Each node keeps to its share without coordination: a ratio of its own requests, and an equal
//! part of the allowance.

use comfreyspread_schema::ids;
use indexmap::IndexMap;
use std::{collections, time};

/// Limits on the retries of a service, over all nodes.
#[derive(Clone, Copy, Debug)]
pub struct RetryRules {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Retries allowed per window in addition to the ratio.
    pub allowance: f64,
    /// Length of the window.
    pub window: time::Duration,
}

/// Share of the allowed retries that is used, since the windows of the nodes are not aligned.
const USABLE_SHARE: f64 = 0.8;

#[derive(Debug, Default)]
struct ServiceCounts {
    requests: collections::VecDeque<time::Instant>,
    retries: collections::VecDeque<time::Instant>,
}

/// Requests and retries of one node in the current window, by service.
#[derive(Debug)]
pub struct ServiceRetryBudget {
    rules: RetryRules,
    services: IndexMap<ids::ServiceName, ServiceCounts>,
}

impl ServiceRetryBudget {
    /// Creates an unused budget.
    pub fn new(rules: RetryRules) -> Self {
        Self { rules, services: IndexMap::new() }
    }

    /// Counts a request, which allows further retries.
    pub fn count_request(&mut self, service: &ids::ServiceName, now: time::Instant) {
        let window = self.rules.window;
        let counts = self.services.entry(service.clone()).or_default();
        counts.expire(window, now);
        counts.requests.push_back(now);
    }

    /// Takes one retry from the share of one of `nodes` nodes; returns whether one was left.
    pub fn try_acquire(
        &mut self,
        service: &ids::ServiceName,
        nodes: usize,
        now: time::Instant,
    ) -> bool {
        let rules = self.rules;
        let counts = self.services.entry(service.clone()).or_default();
        counts.expire(rules.window, now);
        let nodes = nodes.max(1) as f64;
        let earned = counts.requests.len() as f64 * rules.ratio;
        let allowed = (earned + rules.allowance / nodes) * USABLE_SHARE;
        if counts.retries.len() as f64 + 1.0 > allowed {
            return false;
        }
        counts.retries.push_back(now);
        true
    }
}

impl ServiceCounts {
    fn expire(&mut self, window: time::Duration, now: time::Instant) {
        for timestamps in [&mut self.requests, &mut self.retries] {
            while let Some(first) = timestamps.front()
                && now.saturating_duration_since(*first) >= window
            {
                timestamps.pop_front();
            }
        }
    }
}
