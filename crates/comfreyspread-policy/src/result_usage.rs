//! Storage that results take at the endpoints that produced them.

use comfreyspread_schema::ids;
use indexmap::IndexMap;
use std::{net, time};

#[derive(Debug)]
struct StoredResult {
    address: net::SocketAddr,
    bytes: u64,
    expires: time::Instant,
}

/// Results stored at endpoints, with their sizes and expiry times.
#[derive(Debug, Default)]
pub struct ResultUsage {
    results: IndexMap<ids::ResultHandle, StoredResult>,
}

impl ResultUsage {
    /// Adds a result, which the endpoint at `address` stores until it is released or expires.
    pub fn insert(
        &mut self,
        handle: ids::ResultHandle,
        address: net::SocketAddr,
        bytes: u64,
        expires: time::Instant,
    ) {
        self.results.insert(handle, StoredResult { address, bytes, expires });
    }

    /// Removes results that have been released.
    pub fn remove(&mut self, handles: &[ids::ResultHandle]) {
        for handle in handles {
            self.results.swap_remove(handle);
        }
    }

    /// Removes the results that have expired.
    pub fn remove_expired(&mut self, now: time::Instant) {
        self.results.retain(|_, result| result.expires > now);
    }

    /// Returns the bytes of the results stored at an endpoint.
    pub fn used_bytes(&self, address: net::SocketAddr) -> u64 {
        let stored = self.results.values().filter(|result| result.address == address);
        stored.map(|result| result.bytes).sum()
    }
}
