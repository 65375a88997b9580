//! Counts of callers' requests whose body was read, by how they ended.

use comfreyspread_schema::types;
use prometheus_client::{encoding, metrics, registry};
use std::fmt;

type EndingCounters = metrics::family::Family<EndingLabels, metrics::counter::Counter>;

const ALL_ENDINGS: [types::RequestEnding; 6] = [
    types::RequestEnding::Answered,
    types::RequestEnding::Rejected,
    types::RequestEnding::Failed,
    types::RequestEnding::CallerGone,
    types::RequestEnding::Cut,
    types::RequestEnding::Unanswered,
];

/// Labels of a counter by ending.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct EndingLabels {
    ending: types::RequestEnding,
}

impl encoding::EncodeLabelSet for EndingLabels {
    fn encode(&self, encoder: &mut encoding::LabelSetEncoder<'_>) -> Result<(), fmt::Error> {
        use encoding::EncodeLabel as _;
        ("ending", self.ending.to_string().as_str()).encode(encoder.encode_label())
    }
}

/// Counters of callers' requests by how they ended.
#[derive(Clone, Debug)]
pub struct EndingMetrics {
    requests: EndingCounters,
}

impl EndingMetrics {
    /// Creates the counters, all of them at zero, and registers them.
    pub fn new(registry: &mut registry::Registry) -> Self {
        let requests = EndingCounters::default();
        for ending in ALL_ENDINGS {
            drop(requests.get_or_create(&EndingLabels { ending }));
        }
        let help = "Caller requests whose body was read, by how they ended";
        registry.register("requests_ended", help, requests.clone());
        Self { requests }
    }

    /// Counts a request that has ended.
    pub fn count(&self, ending: types::RequestEnding) {
        self.requests.get_or_create(&EndingLabels { ending }).inc();
    }
}
