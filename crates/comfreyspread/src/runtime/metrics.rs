//! Metrics of a process, in the Prometheus text format.

use crate::runtime::{
    connection_metrics, crash_metrics, ending_metrics, placement_metrics, pool_metrics,
    response_metrics, rollout_metrics, settings_metrics, stage_metrics, store_metrics,
};
use comfreyspread_schema::types;
use prometheus_client::{encoding, encoding::text, metrics, registry};
use std::{fmt, time};

/// Bucket bounds of the request duration histogram, in seconds.
const REQUEST_BUCKETS: [f64; 12] =
    [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 6.0, 15.0, 60.0];

type VerdictCounters = metrics::family::Family<VerdictLabels, metrics::counter::Counter>;

/// Labels of a counter by verdict.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct VerdictLabels {
    verdict: types::CallVerdict,
}

impl encoding::EncodeLabelSet for VerdictLabels {
    fn encode(&self, encoder: &mut encoding::LabelSetEncoder<'_>) -> Result<(), fmt::Error> {
        use encoding::EncodeLabel as _;
        ("verdict", self.verdict.to_string().as_str()).encode(encoder.encode_label())
    }
}

/// Metrics of one node.
pub struct NodeMetrics {
    registry: registry::Registry,
    requests: VerdictCounters,
    request_seconds: metrics::histogram::Histogram,
    attempts: VerdictCounters,
    /// Metrics of requests and prompt parts that crash endpoints.
    pub crashes: crash_metrics::CrashMetrics,
    /// Counts of callers' requests by how they ended.
    pub endings: ending_metrics::EndingMetrics,
    /// Metrics of queues, limits and endpoints.
    pub pools: pool_metrics::PoolMetrics,
    /// Counts of connections closed for what they sent.
    pub connections: connection_metrics::ConnectionMetrics,
    /// Metrics of the placement of requests on engines.
    pub placements: placement_metrics::PlacementMetrics,
    /// Metrics of the memory that endpoints' responses take up.
    pub responses: response_metrics::ResponseMetrics,
    /// Metrics of roll-outs of endpoint software.
    pub rollouts: rollout_metrics::RolloutMetrics,
    /// Metrics of the settings file.
    pub settings: settings_metrics::SettingsMetrics,
    /// Metrics of stages, the platform's store and the routes.
    pub stages: stage_metrics::StageMetrics,
    /// Metrics of restores of the platform's store.
    pub store: store_metrics::StoreMetrics,
}

impl NodeMetrics {
    /// Creates the metrics and registers them.
    pub fn new() -> Self {
        let mut registry = registry::Registry::with_prefix("comfreyspread");
        let requests = VerdictCounters::default();
        let request_seconds = metrics::histogram::Histogram::new(REQUEST_BUCKETS);
        let attempts = VerdictCounters::default();
        registry.register("requests", "Caller requests by verdict", requests.clone());
        let help = "Time from arrival to the whole answer";
        registry.register("request_seconds", help, request_seconds.clone());
        registry.register("attempts", "Attempts at endpoints by verdict", attempts.clone());
        let crashes = crash_metrics::CrashMetrics::new(&mut registry);
        let endings = ending_metrics::EndingMetrics::new(&mut registry);
        let pools = pool_metrics::PoolMetrics::new(&mut registry);
        let connections = connection_metrics::ConnectionMetrics::new(&mut registry);
        let placements = placement_metrics::PlacementMetrics::new(&mut registry);
        let responses = response_metrics::ResponseMetrics::new(&mut registry);
        let rollouts = rollout_metrics::RolloutMetrics::new(&mut registry);
        let settings = settings_metrics::SettingsMetrics::new(&mut registry);
        let stages = stage_metrics::StageMetrics::new(&mut registry);
        let store = store_metrics::StoreMetrics::new(&mut registry);
        Self {
            registry,
            requests,
            request_seconds,
            attempts,
            crashes,
            endings,
            pools,
            connections,
            placements,
            responses,
            rollouts,
            settings,
            stages,
            store,
        }
    }

    /// Counts a finished caller request and records its duration.
    pub fn count_request(&self, verdict: types::CallVerdict, duration: time::Duration) {
        self.requests.get_or_create(&VerdictLabels { verdict }).inc();
        self.request_seconds.observe(duration.as_secs_f64());
    }

    /// Counts a finished attempt.
    pub fn count_attempt(&self, verdict: types::CallVerdict) {
        self.attempts.get_or_create(&VerdictLabels { verdict }).inc();
    }

    /// Encodes all metrics as text.
    pub fn encode(&self) -> Box<str> {
        let mut out = String::new();
        text::encode(&mut out, &self.registry).ok();
        out.into()
    }
}

impl Default for NodeMetrics {
    fn default() -> Self {
        Self::new()
    }
}
