//! Which nodes of a zone poll the store.
//!
//! Each node works this out for itself from the members it knows, by rendezvous hashing, so no
//! message is needed. A node that knows no other member of its zone polls.

use comfreyspread_schema::ids;
use xxhash_rust::xxh3;

/// Nodes of each zone that poll the store.
pub const POLLERS_PER_ZONE: usize = 2;

/// Whether a node polls, given the other nodes of its zone that it believes to be alive.
pub fn polls_store(node: &ids::NodeId, neighbours: &[ids::NodeId]) -> bool {
    let own = weight(node);
    let ahead = neighbours.iter().filter(|other| *other != node && weight(other) > own);
    ahead.take(POLLERS_PER_ZONE).count() < POLLERS_PER_ZONE
}

fn weight(node: &str) -> u64 {
    xxh3::xxh3_64(node.as_bytes())
}
