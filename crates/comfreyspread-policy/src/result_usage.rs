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
///
/// The bytes of each endpoint are kept as a sum, as a queue asks for them for each endpoint at each
/// call, while thousands of results are stored.
#[derive(Debug, Default)]
pub struct ResultUsage {
    results: IndexMap<ids::ResultHandle, StoredResult>,
    used_bytes: IndexMap<net::SocketAddr, u64>,
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
        let replaced = self.results.insert(handle, StoredResult { address, bytes, expires });
        replaced.into_iter().for_each(|result| self.subtract(&result));
        *self.used_bytes.entry(address).or_default() += bytes;
    }

    /// Returns whether a result is counted.
    pub fn contains(&self, handle: &ids::ResultHandle) -> bool {
        self.results.contains_key(handle)
    }

    /// Removes results that have been released.
    pub fn remove(&mut self, handles: &[ids::ResultHandle]) {
        for handle in handles {
            let removed = self.results.swap_remove(handle);
            removed.into_iter().for_each(|result| self.subtract(&result));
        }
    }

    /// Removes the results that have expired.
    pub fn remove_expired(&mut self, now: time::Instant) {
        let expired = self.results.iter().filter(|(_, result)| result.expires <= now);
        let expired: Vec<_> = expired.map(|(handle, _)| handle.clone()).collect();
        self.remove(&expired);
    }

    /// Returns the bytes of the results stored at an endpoint.
    pub fn used_bytes(&self, address: net::SocketAddr) -> u64 {
        self.used_bytes.get(&address).copied().unwrap_or_default()
    }

    fn subtract(&mut self, result: &StoredResult) {
        let Some(used) = self.used_bytes.get_mut(&result.address) else { return };
        *used = used.saturating_sub(result.bytes);
        if *used == 0 {
            self.used_bytes.swap_remove(&result.address);
        }
    }
}
