//! Metrics of restores of the platform's store.

use comfreyspread_policy::table_hold;
use prometheus_client::{metrics, registry};

/// Metrics of the store's eras, for all tables together.
#[derive(Clone, Debug, Default)]
pub struct StoreMetrics {
    era_changes: metrics::counter::Counter,
    held_rows: metrics::counter::Counter,
    rewritten_rows: metrics::counter::Counter,
    confirmed_rows: metrics::counter::Counter,
    expired_rows: metrics::counter::Counter,
}

impl StoreMetrics {
    /// Creates the metrics and registers them.
    pub fn new(registry: &mut registry::Registry) -> Self {
        let metrics = Self::default();
        let help = "Changes of the store's era that a copy of a table went through";
        registry.register("store_era_changes", help, metrics.era_changes.clone());
        let help = "Rows held back after a change of the store's era";
        registry.register("store_rows_held", help, metrics.held_rows.clone());
        let help = "Rows held back that were written or removed again";
        registry.register("store_rows_held_rewritten", help, metrics.rewritten_rows.clone());
        let help = "Rows held back that proved to be newer than those in force";
        registry.register("store_rows_held_confirmed", help, metrics.confirmed_rows.clone());
        let help = "Rows held back that came into force at the end of the hold";
        registry.register("store_rows_held_expired", help, metrics.expired_rows.clone());
        metrics
    }

    /// Counts a change of the era that holds back a number of rows.
    pub fn count_era_change(&self, held: usize) {
        self.era_changes.inc();
        self.held_rows.inc_by(to_count(held));
    }

    /// Counts how the rows of a hold were released.
    pub fn count_hold(&self, summary: &table_hold::HoldSummary) {
        self.rewritten_rows.inc_by(to_count(summary.rewritten));
        self.confirmed_rows.inc_by(to_count(summary.confirmed));
        self.expired_rows.inc_by(to_count(summary.expired));
    }
}

fn to_count(rows: usize) -> u64 {
    u64::try_from(rows).unwrap_or(u64::MAX)
}
