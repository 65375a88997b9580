//! Metrics of a process, in the Prometheus text format.

use crate::runtime::{pool_metrics, stage_metrics};
use comfreyspread_schema::types;
use prometheus_client::{encoding, encoding::text, metrics, registry};
use std::{fmt, time};

/// Upper bounds of the request time histogram, in seconds.
const REQUEST_SECONDS: [f64; 12] =
    [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 6.0, 15.0, 60.0];

type VerdictFamily = metrics::family::Family<VerdictLabels, metrics::counter::Counter>;

/// Labels of a request counter.
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
    requests: VerdictFamily,
    request_seconds: metrics::histogram::Histogram,
    attempts: VerdictFamily,
    /// Metrics of queues, limits and endpoints.
    pub pools: pool_metrics::PoolMetrics,
    /// Metrics of stages and of what is known of the platform.
    pub stages: stage_metrics::StageMetrics,
}

impl NodeMetrics {
    /// Creates the metrics and registers them.
    pub fn new() -> Self {
        let mut registry = registry::Registry::with_prefix("comfreyspread");
        let requests = VerdictFamily::default();
        let request_seconds = metrics::histogram::Histogram::new(REQUEST_SECONDS);
        let attempts = VerdictFamily::default();
        registry.register("requests", "Caller requests by verdict", requests.clone());
        let help = "Time from arrival to the whole answer";
        registry.register("request_seconds", help, request_seconds.clone());
        registry.register("attempts", "Attempts at endpoints by verdict", attempts.clone());
        let pools = pool_metrics::PoolMetrics::new(&mut registry);
        let stages = stage_metrics::StageMetrics::new(&mut registry);
        Self { registry, requests, request_seconds, attempts, pools, stages }
    }

    /// Counts a caller request that ended.
    pub fn count_request(&self, verdict: types::CallVerdict, took: time::Duration) {
        self.requests.get_or_create(&VerdictLabels { verdict }).inc();
        self.request_seconds.observe(took.as_secs_f64());
    }

    /// Counts an attempt that ended.
    pub fn count_attempt(&self, verdict: types::CallVerdict) {
        self.attempts.get_or_create(&VerdictLabels { verdict }).inc();
    }

    /// Returns all metrics as text.
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
