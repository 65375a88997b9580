//! Results that stand at the endpoints which made them, and the room that they take.

use comfreyspread_schema::ids;
use indexmap::IndexMap;
use std::{net, time};

/// One result.
#[derive(Debug)]
struct StoredResult {
    maker: net::SocketAddr,
    bytes: u64,
    until: time::Instant,
}

/// Results that are known to stand at their makers.
#[derive(Debug, Default)]
pub struct ResultUsage {
    kept: IndexMap<ids::ResultHandle, StoredResult>,
}

impl ResultUsage {
    /// Takes note of a result, which its maker keeps until `until` unless it is freed before.
    pub fn keep(
        &mut self,
        handle: ids::ResultHandle,
        maker: net::SocketAddr,
        bytes: u64,
        until: time::Instant,
    ) {
        self.kept.insert(handle, StoredResult { maker, bytes, until });
    }

    /// Takes note that results have been freed at their makers.
    pub fn forget(&mut self, handles: &[ids::ResultHandle]) {
        for handle in handles {
            self.kept.swap_remove(handle);
        }
    }

    /// Forgets the results whose time is over.
    pub fn advance(&mut self, now: time::Instant) {
        self.kept.retain(|_, kept| kept.until > now);
    }

    /// Returns the bytes of the results known at an endpoint.
    pub fn used_bytes(&self, maker: net::SocketAddr) -> u64 {
        let kept = self.kept.values().filter(|kept| kept.maker == maker);
        kept.map(|kept| kept.bytes).sum()
    }
}
