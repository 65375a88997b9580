//! Metrics of roll-outs of endpoint software.

use comfreyspread_policy::version_evidence;
use comfreyspread_schema::types;
use prometheus_client::{encoding, metrics, registry};
use std::fmt;

/// Labels of a counter of requests: version and how the request ended.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct RequestLabels {
    is_new: bool,
    end: &'static str,
}

impl encoding::EncodeLabelSet for RequestLabels {
    fn encode(&self, encoder: &mut encoding::LabelSetEncoder<'_>) -> Result<(), fmt::Error> {
        use encoding::EncodeLabel as _;
        let version = if self.is_new { "new" } else { "old" };
        ("version", version).encode(encoder.encode_label())?;
        ("end", self.end).encode(encoder.encode_label())
    }
}

/// Label of a number of roll-outs: their phase.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct PhaseLabels {
    phase: types::RolloutPhase,
}

impl encoding::EncodeLabelSet for PhaseLabels {
    fn encode(&self, encoder: &mut encoding::LabelSetEncoder<'_>) -> Result<(), fmt::Error> {
        use encoding::EncodeLabel as _;
        ("phase", self.phase.to_string().as_str()).encode(encoder.encode_label())
    }
}

/// Metrics of roll-outs.
#[derive(Clone, Debug, Default)]
pub struct RolloutMetrics {
    requests: metrics::family::Family<RequestLabels, metrics::counter::Counter>,
    steps: metrics::family::Family<PhaseLabels, metrics::counter::Counter>,
    rollouts: metrics::family::Family<PhaseLabels, metrics::gauge::Gauge>,
}

impl RolloutMetrics {
    /// Creates the metrics and registers them.
    pub fn new(registry: &mut registry::Registry) -> Self {
        let metrics = Self::default();
        let help = "Requests of services under roll-out, by version and how they ended";
        registry.register("rollout_requests", help, metrics.requests.clone());
        let help = "Steps of roll-outs that this node has decided and stored, by phase";
        registry.register("rollout_steps", help, metrics.steps.clone());
        let help = "Roll-outs that this node knows, by phase";
        registry.register("rollouts", help, metrics.rollouts.clone());
        metrics
    }

    /// Counts a request of a service under roll-out.
    pub fn count_request(&self, is_new: bool, end: version_evidence::RequestEnd) {
        let end = match end {
            version_evidence::RequestEnd::Answered => "answered",
            version_evidence::RequestEnd::Failed => "failed",
            version_evidence::RequestEnd::Broken => "broken",
        };
        self.requests.get_or_create(&RequestLabels { is_new, end }).inc();
    }

    /// Counts a step that was decided and stored.
    pub fn count_step(&self, phase: types::RolloutPhase) {
        self.steps.get_or_create(&PhaseLabels { phase }).inc();
    }

    /// Sets the number of roll-outs from the phase of each.
    pub fn update_gauges(&self, phases: &[types::RolloutPhase]) {
        use types::RolloutPhase as Phase;
        for phase in [Phase::Observing, Phase::Moving, Phase::Done, Phase::RolledBack] {
            let count = phases.iter().filter(|known| **known == phase).count();
            let gauge = self.rollouts.get_or_create(&PhaseLabels { phase });
            gauge.set(i64::try_from(count).unwrap_or(i64::MAX));
        }
    }
}
