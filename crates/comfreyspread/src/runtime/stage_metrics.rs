//! Metrics of stages, and of what a node knows of the platform.

use prometheus_client::{metrics, registry};
use std::time;

/// Upper bounds of the time histograms, in seconds.
const SECONDS: [f64; 11] = [0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 0.9, 1.3, 2.0, 4.0, 10.0];
/// Upper bounds of the histogram of pieces in a call.
const PIECES: [f64; 8] = [1.0, 2.0, 4.0, 8.0, 16.0, 32.0, 64.0, 128.0];

/// Metrics of stages and of the platform.
#[derive(Clone, Debug)]
pub struct StageMetrics {
    call_seconds: metrics::histogram::Histogram,
    call_pieces: metrics::histogram::Histogram,
    failed_calls: metrics::counter::Counter,
    failed_pieces: metrics::counter::Counter,
    stage_seconds: metrics::histogram::Histogram,
    passed_over: metrics::counter::Counter,
    store_failures: metrics::counter::Counter,
    endpoints: metrics::gauge::Gauge,
    routes_version: metrics::gauge::Gauge,
}

impl StageMetrics {
    /// Creates the metrics and registers them.
    pub fn new(registry: &mut registry::Registry) -> Self {
        let made = Self {
            call_seconds: metrics::histogram::Histogram::new(SECONDS),
            call_pieces: metrics::histogram::Histogram::new(PIECES),
            failed_calls: metrics::counter::Counter::default(),
            failed_pieces: metrics::counter::Counter::default(),
            stage_seconds: metrics::histogram::Histogram::new(SECONDS),
            passed_over: metrics::counter::Counter::default(),
            store_failures: metrics::counter::Counter::default(),
            endpoints: metrics::gauge::Gauge::default(),
            routes_version: metrics::gauge::Gauge::default(),
        };
        made.register(registry);
        made
    }

    fn register(&self, registry: &mut registry::Registry) {
        let help = "Time of calls for pieces made by this node";
        registry.register("stage_call_seconds", help, self.call_seconds.clone());
        registry.register("stage_call_pieces", "Pieces in such calls", self.call_pieces.clone());
        registry.register("stage_calls_failed", "Calls that failed", self.failed_calls.clone());
        let help = "Pieces that a call did not make";
        registry.register("stage_pieces_failed", help, self.failed_pieces.clone());
        let help = "Time that stages of this node's requests took, waits included";
        registry.register("stage_seconds", help, self.stage_seconds.clone());
        let help = "Batching nodes passed over because they did not answer";
        registry.register("batching_nodes_passed_over", help, self.passed_over.clone());
        let help = "Reads of the platform's store that failed";
        registry.register("store_reads_failed", help, self.store_failures.clone());
        registry.register("endpoints_known", "Endpoints registered", self.endpoints.clone());
        let help = "Version of the routes in force";
        registry.register("routes_version", help, self.routes_version.clone());
    }

    /// Counts a call for `pieces` that ended; `made` of them were made, none if the call failed.
    pub fn count_call(&self, pieces: usize, made: Option<usize>, took: time::Duration) {
        self.call_seconds.observe(took.as_secs_f64());
        self.call_pieces.observe(pieces as f64);
        let Some(made) = made else {
            self.failed_calls.inc();
            return;
        };
        self.failed_pieces.inc_by(u64::try_from(pieces - made).unwrap_or(u64::MAX));
    }

    /// Takes in the time that a stage of a request took.
    pub fn observe_stage(&self, took: time::Duration) {
        self.stage_seconds.observe(took.as_secs_f64());
    }

    /// Counts a batching node that was passed over.
    pub fn count_skipped_node(&self) {
        self.passed_over.inc();
    }

    /// Counts a read of the store that failed.
    pub fn count_store_failure(&self) {
        self.store_failures.inc();
    }

    /// Takes in what the node knows.
    pub fn update_gauges(&self, endpoints: usize, version: u64) {
        self.endpoints.set(i64::try_from(endpoints).unwrap_or(i64::MAX));
        self.routes_version.set(i64::try_from(version).unwrap_or(i64::MAX));
    }
}
