//! Metrics of rereading the settings.

use prometheus_client::{metrics, registry};

/// Metrics of the settings file.
#[derive(Clone, Debug, Default)]
pub struct SettingsMetrics {
    rejected: metrics::counter::Counter,
}

impl SettingsMetrics {
    /// Creates the metrics and registers them.
    pub fn new(registry: &mut registry::Registry) -> Self {
        let metrics = Self::default();
        let help = "Rereads of a settings file that is not valid; the next start would fail";
        registry.register("settings_rejected", help, metrics.rejected.clone());
        metrics
    }

    /// Counts a file that is not valid.
    pub fn count_rejected(&self) {
        self.rejected.inc();
    }
}
