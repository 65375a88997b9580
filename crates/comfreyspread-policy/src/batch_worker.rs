//! An endpoint of a stage service, as the queue of the service sees it.

use comfreyspread_schema::ids;
use std::{net, time};

/// An endpoint that may be called.
#[derive(Clone, Debug)]
pub struct WorkerPlace {
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
    pub fn new(place: WorkerPlace, now: time::Instant) -> Self {
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

    /// Whether it is passed over now.
    pub fn is_resting(&self, now: time::Instant) -> bool {
        self.resting_until.is_some_and(|until| until > now)
    }
}
