//! Counts of connections that were closed without an answer, by cause.

use crate::transport::http_server;
use prometheus_client::{encoding, metrics, registry};
use std::fmt;

/// Label of the counter: why connections were closed.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct CauseLabels {
    cause: http_server::CloseCause,
}

impl encoding::EncodeLabelSet for CauseLabels {
    fn encode(&self, encoder: &mut encoding::LabelSetEncoder<'_>) -> Result<(), fmt::Error> {
        use encoding::EncodeLabel as _;
        let cause = match self.cause {
            http_server::CloseCause::Displaced => "displaced",
            http_server::CloseCause::Full => "full",
            http_server::CloseCause::Head => "head",
        };
        ("cause", cause).encode(encoder.encode_label())
    }
}

/// Counts of closed connections.
#[derive(Clone, Debug, Default)]
pub struct ConnectionMetrics {
    closed: metrics::family::Family<CauseLabels, metrics::counter::Counter>,
}

impl ConnectionMetrics {
    /// Creates the metrics and registers them.
    pub fn new(registry: &mut registry::Registry) -> Self {
        let metrics = Self::default();
        let help = "Connections closed for an unfinished head, or for want of places, by cause";
        registry.register("connections_closed", help, metrics.closed.clone());
        metrics
    }

    /// Counts a closed connection, and writes a line, of which the log drops what is too much.
    pub fn record_closed(&self, cause: http_server::CloseCause) {
        self.closed.get_or_create(&CauseLabels { cause }).inc();
        log::info!("http: connection closed. cause={cause:?}");
    }
}
