//! Requests that the endpoints of the users' platform received and run.

use crate::fleet;
use comfreyspread::runtime::lock_rank;
use std::sync::{self, atomic};

/// Requests that all endpoints received, in order.
#[derive(Debug, Default)]
pub struct RequestLog {
    /// The requests.
    pub records: lock_rank::RankedLock<lock_rank::ConnectionRank, Vec<fleet::RequestRecord>>,
    /// Number of requests that engines and plain services run.
    pub running: atomic::AtomicUsize,
}

/// Counts a request as running until dropped.
#[derive(Debug)]
pub struct RunningRequest(sync::Arc<RequestLog>);

impl RunningRequest {
    /// Counts a request.
    pub fn new(records: &sync::Arc<RequestLog>) -> Self {
        records.running.fetch_add(1, atomic::Ordering::Relaxed);
        Self(records.clone())
    }
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, atomic::Ordering::Relaxed);
    }
}
