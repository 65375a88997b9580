//! State that the batching queue keeps of one endpoint of its stage service.

use comfreyspread_schema::ids;
use std::{net, time};

/// Weight of the newest call in the moving average of an endpoint.
const SAMPLE_WEIGHT: f64 = 0.3;
/// Multiple of the fastest endpoint's time ratio, and of the expected time, above which an endpoint
/// counts as slow.
pub const SLOW_FACTOR: f64 = 1.8;

/// Name, address and zone of an endpoint that may be called.
#[derive(Clone, Debug)]
pub struct WorkerLocation {
    /// Name of the endpoint.
    pub endpoint: ids::EndpointId,
    /// Address of the endpoint.
    pub address: net::SocketAddr,
    /// Availability zone of the endpoint.
    pub zone: ids::ZoneId,
    /// End of the pause that it asked for, if it is paused.
    pub paused_until: Option<time::Instant>,
    /// Whether it gets no calls at present, as its version has had its share.
    pub is_held: bool,
}

/// An endpoint of the service and its measured speed.
#[derive(Debug)]
pub struct BatchWorker {
    /// Address of the endpoint.
    pub address: net::SocketAddr,
    /// Availability zone of the endpoint.
    pub zone: ids::ZoneId,
    /// Number of the call that runs there.
    pub call: Option<u64>,
    /// Moving average of the time of a call, divided by its expected time.
    pub time_ratio: f64,
    /// Start of its latest call.
    pub last_called: time::Instant,
    /// Time until which it is not called.
    pub backoff_until: Option<time::Instant>,
    /// End of the pause that it asked for.
    pub paused_until: Option<time::Instant>,
    /// Whether it gets no calls at present, as its version has had its share.
    pub is_held: bool,
    /// Results stored there that the queue does not track.
    pub untracked: Option<UntrackedResults>,
}

/// Results at an endpoint that this queue does not track, for instance those of calls that another
/// node made while it batched the service.
#[derive(Clone, Copy, Debug)]
pub struct UntrackedResults {
    /// Storage that they take, in bytes.
    pub bytes: u64,
    /// Time until which they count.
    pub expires_at: time::Instant,
}

impl BatchWorker {
    /// Creates an endpoint that has not been called yet.
    pub fn new(location: WorkerLocation, now: time::Instant) -> Self {
        Self {
            address: location.address,
            zone: location.zone,
            call: None,
            time_ratio: 1.0,
            last_called: now,
            backoff_until: None,
            paused_until: location.paused_until,
            is_held: location.is_held,
            untracked: None,
        }
    }

    /// Records that a call with the expected time `expected` took `took`. A change too large to be
    /// noise replaces the average at once, in either direction.
    pub fn record_call(&mut self, expected: time::Duration, took: time::Duration) {
        let ratio = took.as_secs_f64() / expected.as_secs_f64().max(f64::EPSILON);
        let changed =
            ratio > self.time_ratio * SLOW_FACTOR || ratio * SLOW_FACTOR < self.time_ratio;
        let average = self.time_ratio * (1.0 - SAMPLE_WEIGHT) + ratio * SAMPLE_WEIGHT;
        self.time_ratio = if changed { ratio } else { average };
    }

    /// Whether it is much slower than expected and than the fastest endpoint, whose time ratio is
    /// `best`.
    pub fn is_slow(&self, best: f64) -> bool {
        self.time_ratio > best.max(1.0) * SLOW_FACTOR
    }

    /// Whether it may be called: it has not asked for a pause, and its last failure or refusal is
    /// long enough ago.
    pub fn is_available(&self, now: time::Instant) -> bool {
        let over = |until: Option<time::Instant>| until.is_none_or(|until| until <= now);
        !self.is_held && over(self.paused_until) && over(self.backoff_until)
    }
}
