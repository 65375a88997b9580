//! Budget of retries that all nodes share, by service.
//!
//! Each node keeps to its share without asking: the retries that its own requests allow, and an
//! equal part of what is allowed beside them.

use comfreyspread_schema::ids;
use indexmap::IndexMap;
use std::{collections, time};

/// What is allowed, over all nodes.
#[derive(Clone, Copy, Debug)]
pub struct RetryRules {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats beside these in a window.
    pub slack: f64,
    /// Length of the window.
    pub window: time::Duration,
}

/// Share of the allowed retries that is used, so that windows of other nodes may lie otherwise.
const USABLE_SHARE: f64 = 0.8;

#[derive(Debug, Default)]
struct ServiceCounts {
    requests: collections::VecDeque<time::Instant>,
    retries: collections::VecDeque<time::Instant>,
}

/// Requests and retries of one node.
#[derive(Debug)]
pub struct ServiceRetryBudget {
    rules: RetryRules,
    services: IndexMap<ids::EndpointService, ServiceCounts>,
}

impl ServiceRetryBudget {
    /// Creates a budget of which nothing is used.
    pub fn new(rules: RetryRules) -> Self {
        Self { rules, services: IndexMap::new() }
    }

    /// Counts a request of a caller.
    pub fn count_request(&mut self, service: &ids::EndpointService, now: time::Instant) {
        let window = self.rules.window;
        let counts = self.services.entry(service.clone()).or_default();
        counts.expire(window, now);
        counts.requests.push_back(now);
    }

    /// Takes one repeat out of the share of a node among `nodes`; returns whether there was one.
    pub fn try_acquire(
        &mut self,
        service: &ids::EndpointService,
        nodes: usize,
        now: time::Instant,
    ) -> bool {
        let rules = self.rules;
        let counts = self.services.entry(service.clone()).or_default();
        counts.expire(rules.window, now);
        let nodes = nodes.max(1) as f64;
        let earned = counts.requests.len() as f64 * rules.ratio;
        let allowed = (earned + rules.slack / nodes) * USABLE_SHARE;
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
