//! Metrics of the memory that responses take up.

use prometheus_client::{metrics, registry};
use std::sync::atomic;

/// Metrics of one client's responses.
#[derive(Clone, Debug, Default)]
pub struct ResponseMetrics {
    used: metrics::gauge::Gauge<u64, atomic::AtomicU64>,
    revoked: metrics::counter::Counter,
}

impl ResponseMetrics {
    /// Creates the metrics and registers them.
    pub fn new(registry: &mut registry::Registry) -> Self {
        let metrics = Self::default();
        let help = "Bytes of endpoints' responses held, beyond the exempt ones of each";
        registry.register("response_memory_bytes", help, metrics.used.clone());
        let help = "Endpoints' responses given up because responses used up their memory";
        registry.register("responses_revoked", help, metrics.revoked.clone());
        metrics
    }

    /// Sets how many bytes are held.
    pub fn set_used(&self, bytes: usize) {
        self.used.set(u64::try_from(bytes).unwrap_or(u64::MAX));
    }

    /// Counts a response that was given up.
    pub fn count_revoked(&self) {
        self.revoked.inc();
    }
}
