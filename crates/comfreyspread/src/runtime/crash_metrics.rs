//! Metrics of requests and prompt parts that crash endpoints.

use comfreyspread_policy::part_suspect;
use prometheus_client::{metrics, registry};

/// Metrics of crashes.
#[derive(Clone, Debug)]
pub struct CrashMetrics {
    requests: metrics::counter::Counter,
    rejected: metrics::counter::Counter,
    suspected_parts: metrics::gauge::Gauge,
    convicted_parts: metrics::gauge::Gauge,
    convicted_requests: metrics::gauge::Gauge,
}

impl CrashMetrics {
    /// Creates the metrics and registers them.
    pub fn new(registry: &mut registry::Registry) -> Self {
        let metrics = Self {
            requests: metrics::counter::Counter::default(),
            rejected: metrics::counter::Counter::default(),
            suspected_parts: metrics::gauge::Gauge::default(),
            convicted_parts: metrics::gauge::Gauge::default(),
            convicted_requests: metrics::gauge::Gauge::default(),
        };
        let help = "Requests of this node whose endpoint crashed";
        registry.register("requests_at_crashes", help, metrics.requests.clone());
        let help = "Requests rejected because they or a prompt part crash endpoints";
        registry.register("requests_rejected_crashing", help, metrics.rejected.clone());
        let help = "Prompt parts that a crash speaks against";
        registry.register("prompt_parts_suspected", help, metrics.suspected_parts.clone());
        let help = "Prompt parts whose requests are rejected";
        registry.register("prompt_parts_convicted", help, metrics.convicted_parts.clone());
        let help = "Requests that crash endpoints as a whole and are rejected";
        registry.register("requests_convicted", help, metrics.convicted_requests.clone());
        metrics
    }

    /// Counts a request whose endpoint crashed.
    pub fn count_crash(&self) {
        self.requests.inc();
    }

    /// Counts a request rejected because it crashes endpoints.
    pub fn count_rejected(&self) {
        self.rejected.inc();
    }

    /// Sets the numbers of prompt parts and requests.
    pub fn update_gauges(&self, counts: &part_suspect::PartCounts) {
        let gauges = [
            (&self.suspected_parts, counts.suspected),
            (&self.convicted_parts, counts.convicted),
            (&self.convicted_requests, counts.convicted_requests),
        ];
        for (gauge, count) in gauges {
            gauge.set(i64::try_from(count).unwrap_or(i64::MAX));
        }
    }
}
