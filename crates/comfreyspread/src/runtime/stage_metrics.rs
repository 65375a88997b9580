//! Metrics of stages, the platform's store and the routes.

use comfreyspread_policy::endpoint_directory;
use prometheus_client::{metrics, registry};
use std::time;

/// Bucket bounds of the duration histograms, in seconds.
const DURATION_BUCKETS: [f64; 11] = [0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 0.9, 1.3, 2.0, 4.0, 10.0];
/// Bucket bounds of the histogram of pieces in a call.
const PIECE_BUCKETS: [f64; 8] = [1.0, 2.0, 4.0, 8.0, 16.0, 32.0, 64.0, 128.0];

/// Metrics of stages and of the platform.
#[derive(Clone, Debug)]
pub struct StageMetrics {
    call_seconds: metrics::histogram::Histogram,
    call_pieces: metrics::histogram::Histogram,
    failed_calls: metrics::counter::Counter,
    failed_pieces: metrics::counter::Counter,
    stage_seconds: metrics::histogram::Histogram,
    skipped_nodes: metrics::counter::Counter,
    failed_store_reads: metrics::counter::Counter,
    store_pages: metrics::counter::Counter,
    store_polls: metrics::counter::Counter,
    store_changes: metrics::counter::Counter,
    endpoints: metrics::gauge::Gauge,
    leaving: metrics::gauge::Gauge,
    paused: metrics::gauge::Gauge,
    backing_off: metrics::gauge::Gauge,
    cold: metrics::gauge::Gauge,
    pauses: metrics::counter::Counter,
    routes_version: metrics::gauge::Gauge,
}

impl StageMetrics {
    /// Creates the metrics and registers them.
    pub fn new(registry: &mut registry::Registry) -> Self {
        let metrics = Self {
            call_seconds: metrics::histogram::Histogram::new(DURATION_BUCKETS),
            call_pieces: metrics::histogram::Histogram::new(PIECE_BUCKETS),
            failed_calls: metrics::counter::Counter::default(),
            failed_pieces: metrics::counter::Counter::default(),
            stage_seconds: metrics::histogram::Histogram::new(DURATION_BUCKETS),
            skipped_nodes: metrics::counter::Counter::default(),
            failed_store_reads: metrics::counter::Counter::default(),
            store_pages: metrics::counter::Counter::default(),
            store_polls: metrics::counter::Counter::default(),
            store_changes: metrics::counter::Counter::default(),
            endpoints: metrics::gauge::Gauge::default(),
            leaving: metrics::gauge::Gauge::default(),
            paused: metrics::gauge::Gauge::default(),
            backing_off: metrics::gauge::Gauge::default(),
            cold: metrics::gauge::Gauge::default(),
            pauses: metrics::counter::Counter::default(),
            routes_version: metrics::gauge::Gauge::default(),
        };
        metrics.register(registry);
        metrics
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
        registry.register("batching_nodes_passed_over", help, self.skipped_nodes.clone());
        let help = "Reads of the platform's store that failed";
        registry.register("store_reads_failed", help, self.failed_store_reads.clone());
        let help = "Pages of whole tables read from the platform's store";
        registry.register("store_pages_read", help, self.store_pages.clone());
        let help = "Requests for the changes of a table to the platform's store";
        registry.register("store_change_polls", help, self.store_polls.clone());
        let help = "Changes of rows sent to the platform's store";
        registry.register("store_row_changes", help, self.store_changes.clone());
        registry.register("endpoints_known", "Endpoints registered", self.endpoints.clone());
        registry.register("endpoints_leaving", "Endpoints that leave", self.leaving.clone());
        let help = "Endpoints that asked for no requests for a time";
        registry.register("endpoints_paused", help, self.paused.clone());
        let help = "Endpoints avoided after a failure or while full";
        registry.register("endpoints_backing_off", help, self.backing_off.clone());
        registry.register("endpoints_cold", "Endpoints that are cold", self.cold.clone());
        let help = "Pauses that endpoints asked for";
        registry.register("endpoint_pauses", help, self.pauses.clone());
        let help = "Version of the routes in force";
        registry.register("routes_version", help, self.routes_version.clone());
    }

    /// Records a finished call for `pieces` pieces, of which `completed` succeeded; `None` if the
    /// call failed as a whole.
    pub fn count_call(&self, pieces: usize, completed: Option<usize>, duration: time::Duration) {
        self.call_seconds.observe(duration.as_secs_f64());
        self.call_pieces.observe(pieces as f64);
        let Some(completed) = completed else {
            self.failed_calls.inc();
            return;
        };
        self.failed_pieces.inc_by(u64::try_from(pieces - completed).unwrap_or(u64::MAX));
    }

    /// Records the duration of a stage of a request.
    pub fn observe_stage(&self, duration: time::Duration) {
        self.stage_seconds.observe(duration.as_secs_f64());
    }

    /// Counts a read of one page of a whole table from the store.
    pub fn count_store_page(&self) {
        self.store_pages.inc();
    }

    /// Counts a request for the changes of a table to the store.
    pub fn count_store_poll(&self) {
        self.store_polls.inc();
    }

    /// Counts a change of rows sent to the store.
    pub fn count_store_change(&self) {
        self.store_changes.inc();
    }

    /// Counts a batching node that was skipped because it did not answer.
    pub fn count_skipped_node(&self) {
        self.skipped_nodes.inc();
    }

    /// Counts a failed read of the store.
    pub fn count_store_failure(&self) {
        self.failed_store_reads.inc();
    }

    /// Counts a pause that an endpoint asked for.
    pub fn count_pause(&self) {
        self.pauses.inc();
    }

    /// Sets the gauges of endpoints and of the version of the routes in force.
    pub fn update_gauges(&self, counts: &endpoint_directory::EndpointCounts, version: u64) {
        let set = |gauge: &metrics::gauge::Gauge, count: usize| {
            gauge.set(i64::try_from(count).unwrap_or(i64::MAX));
        };
        set(&self.endpoints, counts.known);
        set(&self.leaving, counts.leaving);
        set(&self.paused, counts.paused);
        set(&self.backing_off, counts.backing_off);
        set(&self.cold, counts.cold);
        self.routes_version.set(i64::try_from(version).unwrap_or(i64::MAX));
    }
}
