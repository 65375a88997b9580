//! An endpoint of a stage service, as the queue of the service sees it.

use comfreyspread_schema::ids;
use std::{net, time};

/// Weight of the newest call in an endpoint's average.
const NEW_WEIGHT: f64 = 0.3;
/// Multiple of what is expected of an endpoint above which it counts as slow.
pub const SLOW_FACTOR: f64 = 1.8;

/// An endpoint that may be called.
#[derive(Clone, Debug)]
pub struct WorkerLocation {
    /// Its name.
    pub endpoint: ids::EndpointId,
    /// Its address.
    pub address: net::SocketAddr,
    /// Its availability zone.
    pub zone: ids::ZoneId,
}

/// An endpoint of the service, as the queue sees it.
#[derive(Debug)]
pub struct BatchWorker {
    /// Its address.
    pub address: net::SocketAddr,
    /// Its availability zone.
    pub zone: ids::ZoneId,
    /// Number of the call that runs there.
    pub call: Option<u64>,
    /// Time that its calls take, in parts of the usual time.
    pub factor: f64,
    /// When it was last called.
    pub used: time::Instant,
    /// Moment until which it is passed over.
    pub resting_until: Option<time::Instant>,
    /// Results there that the queue does not know.
    pub unknown: Option<UnknownResults>,
}

/// Results at an endpoint that this queue does not know, as when another node batched before.
#[derive(Clone, Copy, Debug)]
pub struct UnknownResults {
    /// Room that they take.
    pub bytes: u64,
    /// Moment until which they count.
    pub until: time::Instant,
}

impl BatchWorker {
    /// Creates an endpoint that has not been called yet.
    pub fn new(place: WorkerLocation, now: time::Instant) -> Self {
        Self {
            address: place.address,
            zone: place.zone,
            call: None,
            factor: 1.0,
            used: now,
            resting_until: None,
            unknown: None,
        }
    }

    /// Takes note that work which usually takes `usual` took `took`. A change beyond chance is
    /// believed at once, in either direction.
    pub fn note_call(&mut self, usual: time::Duration, took: time::Duration) {
        let ratio = took.as_secs_f64() / usual.as_secs_f64().max(f64::EPSILON);
        let changed = ratio > self.factor * SLOW_FACTOR || ratio * SLOW_FACTOR < self.factor;
        let weighed = self.factor * (1.0 - NEW_WEIGHT) + ratio * NEW_WEIGHT;
        self.factor = if changed { ratio } else { weighed };
    }

    /// Whether it is much slower than the best endpoint, whose factor is `best`, and than usual.
    pub fn is_slow(&self, best: f64) -> bool {
        self.factor > best.max(1.0) * SLOW_FACTOR
    }

    /// Whether it is passed over now.
    pub fn is_resting(&self, now: time::Instant) -> bool {
        self.resting_until.is_some_and(|until| until > now)
    }
}
