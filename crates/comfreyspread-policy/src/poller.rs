//! Which nodes of a zone poll the store.
//!
//! Each node computes this by rendezvous hashing over the members it knows, without messages. A
//! node that knows no other member of its zone polls.

use comfreyspread_schema::ids;
use xxhash_rust::xxh3;

/// Number of nodes of each zone that poll the store.
pub const POLLERS_PER_ZONE: usize = 2;

/// Whether a node polls the store; `zone_peers` are the other nodes of its zone that it considers
/// alive.
pub fn polls_store(node: &ids::NodeId, zone_peers: &[ids::NodeId]) -> bool {
    let own = weight(node);
    let higher = zone_peers.iter().filter(|other| *other != node && weight(other) > own);
    higher.take(POLLERS_PER_ZONE).count() < POLLERS_PER_ZONE
}

fn weight(node: &str) -> u64 {
    xxh3::xxh3_64(node.as_bytes())
}
