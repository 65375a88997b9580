//! Metrics of the pools whose endpoints a node owns.

use crate::ownership::pool_table;
use comfreyspread_schema::{ids, types};
use prometheus_client::{encoding, metrics, registry};
use std::{fmt, time};

/// Bucket bounds of the queue wait histogram, in seconds.
const WAIT_BUCKETS: [f64; 10] = [0.0001, 0.001, 0.005, 0.01, 0.05, 0.1, 0.5, 1.0, 2.5, 10.0];

type EndpointGauges = metrics::family::Family<EndpointLabels, metrics::gauge::Gauge>;
type PoolCounters = metrics::family::Family<PoolLabels, metrics::counter::Counter>;
type PoolGauges = metrics::family::Family<PoolLabels, metrics::gauge::Gauge>;
type ProblemCounters = metrics::family::Family<ProblemLabels, metrics::counter::Counter>;
type WaitHistograms =
    metrics::family::Family<PoolLabels, metrics::histogram::Histogram, fn() -> WaitHistogram>;
type WaitHistogram = metrics::histogram::Histogram;

macro_rules! labels {
    ($($(#[$doc:meta])* $name:ident { $($field:ident: $kind:ty),* })*) => {
        $($(#[$doc])*
        #[derive(Clone, Debug, Eq, Hash, PartialEq)]
        struct $name {
            $($field: $kind),*
        }

        impl encoding::EncodeLabelSet for $name {
            fn encode(
                &self,
                encoder: &mut encoding::LabelSetEncoder<'_>,
            ) -> Result<(), fmt::Error> {
                use encoding::EncodeLabel as _;
                $((stringify!($field), self.$field.to_string().as_str())
                    .encode(encoder.encode_label())?;)*
                Ok(())
            }
        })*
    };
}

labels! {
    /// Labels of a metric by pool.
    PoolLabels { pool: ids::PoolId }
    /// Labels of a metric by endpoint.
    EndpointLabels { endpoint: ids::EndpointId, phase: types::EndpointPhase }
    /// Labels of a counter by problem.
    ProblemLabels { problem: types::ProblemKind }
}

/// Metrics of queues, concurrency limits and endpoints.
#[derive(Clone, Debug)]
pub struct PoolMetrics {
    refusals: ProblemCounters,
    wait_seconds: WaitHistograms,
    queued: PoolGauges,
    running: PoolGauges,
    limit: PoolGauges,
    ejections: PoolCounters,
    endpoint_running: EndpointGauges,
    endpoint_limit: EndpointGauges,
}

impl PoolMetrics {
    /// Creates the metrics and registers them.
    pub fn new(registry: &mut registry::Registry) -> Self {
        let metrics = Self {
            refusals: ProblemCounters::default(),
            wait_seconds: WaitHistograms::new_with_constructor(|| WaitHistogram::new(WAIT_BUCKETS)),
            queued: PoolGauges::default(),
            running: PoolGauges::default(),
            limit: PoolGauges::default(),
            ejections: PoolCounters::default(),
            endpoint_running: EndpointGauges::default(),
            endpoint_limit: EndpointGauges::default(),
        };
        let Self { refusals, wait_seconds, queued, running, limit, .. } = metrics.clone();
        registry.register("queue_refusals", "Calls refused by a queue, by problem", refusals);
        registry.register("queue_wait_seconds", "Time from arrival to a place", wait_seconds);
        registry.register("pool_queued", "Calls waiting", queued);
        registry.register("pool_running", "Calls in flight", running);
        registry.register("pool_limit", "Calls that may be in flight", limit);
        let Self { ejections, endpoint_running, endpoint_limit, .. } = metrics.clone();
        registry.register("pool_ejections", "Endpoints ejected as outliers", ejections);
        registry.register("endpoint_running", "Calls in flight", endpoint_running);
        registry.register("endpoint_limit", "Calls that may be in flight", endpoint_limit);
        metrics
    }

    /// Counts a call that a queue rejected.
    pub fn count_refusal(&self, problem: types::ProblemKind) {
        self.refusals.get_or_create(&ProblemLabels { problem }).inc();
    }

    /// Records the time a call waited in its queue.
    pub fn observe_wait(&self, pool: &ids::PoolId, wait: time::Duration) {
        let labels = PoolLabels { pool: pool.clone() };
        self.wait_seconds.get_or_create(&labels).observe(wait.as_secs_f64());
    }

    /// Sets the gauges to the current state of all pools and adds new ejections to their counter.
    pub fn update_gauges(&self, pools: &pool_table::PoolTable) {
        self.endpoint_running.clear();
        self.endpoint_limit.clear();
        for (pool, entry) in pools.entries() {
            let labels = PoolLabels { pool: pool.clone() };
            let load = entry.scheduler().hint();
            self.queued.get_or_create(&labels).set(load.queued.into());
            self.running.get_or_create(&labels).set(load.running.into());
            self.limit.get_or_create(&labels).set(load.limit.into());
            let ejections = self.ejections.get_or_create(&labels);
            ejections.inc_by(entry.scheduler().ejections().saturating_sub(ejections.get()));
            drop(ejections);
            self.update_endpoint_gauges(entry);
        }
    }

    fn update_endpoint_gauges(&self, entry: &pool_table::PoolEntry) {
        for (name, endpoint) in entry.scheduler().endpoints() {
            let labels = EndpointLabels { endpoint: name.clone(), phase: endpoint.phase() };
            let running = self.endpoint_running.get_or_create(&labels);
            running.set(endpoint.running().into());
            self.endpoint_limit.get_or_create(&labels).set(endpoint.limit().into());
        }
    }
}
