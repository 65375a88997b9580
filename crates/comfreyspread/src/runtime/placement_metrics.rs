//! Metrics of the placement of requests on model engines.

use prometheus_client::{metrics, registry};

/// Metrics of placements.
#[derive(Clone, Debug, Default)]
pub struct PlacementMetrics {
    asked: metrics::counter::Counter,
    without_engine: metrics::counter::Counter,
    unplaced: metrics::counter::Counter,
    placed: metrics::counter::Counter,
    cached_tokens: metrics::counter::Counter,
    read_tokens: metrics::counter::Counter,
}

impl PlacementMetrics {
    /// Creates the metrics and registers them.
    pub fn new(registry: &mut registry::Registry) -> Self {
        let metrics = Self::default();
        let help = "Attempts whose engine was asked for and got a reply";
        registry.register("placements_replied", help, metrics.asked.clone());
        let help = "Replies that name no engine";
        registry.register("placements_without_engine", help, metrics.without_engine.clone());
        let help = "Attempts for which no placing node replied, so that this node chose by itself";
        registry.register("placements_missed", help, metrics.unplaced.clone());
        let help = "Requests that this node placed for all nodes";
        registry.register("placements_made", help, metrics.placed.clone());
        let help = "Prompt tokens of placed requests that their engines should hold";
        registry.register("placements_cached_tokens", help, metrics.cached_tokens.clone());
        let help = "Prompt tokens of placed requests that their engines have to read";
        registry.register("placements_read_tokens", help, metrics.read_tokens.clone());
        metrics
    }

    /// Counts a reply, and whether it names an engine.
    pub fn count_reply(&self, has_engine: bool) {
        self.asked.inc();
        if !has_engine {
            self.without_engine.inc();
        }
    }

    /// Counts an attempt for which no node replied.
    pub fn count_unplaced(&self) {
        self.unplaced.inc();
    }

    /// Counts a request placed by this node.
    pub fn count_placed(&self, cached_tokens: u64, read_tokens: u64) {
        self.placed.inc();
        self.cached_tokens.inc_by(cached_tokens);
        self.read_tokens.inc_by(read_tokens);
    }
}
