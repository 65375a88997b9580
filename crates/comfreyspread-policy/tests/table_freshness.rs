//! Which node reads the store, and how stale the copy of a table can get.
#![allow(clippy::disallowed_methods, reason = "start of the injected time")]

use bolero::check;
use comfreyspread_policy::table_freshness;
use comfreyspread_schema::types;
use std::{net, time};

const CLOCK_STEP: time::Duration = time::Duration::from_millis(50);
/// Documented bound within which a node that reaches the store and its peers learns of a change.
const MAX_DELAY: time::Duration = time::Duration::from_millis(2500);
/// Additional time for a peer's reply beyond the requested long-poll wait.
const PEER_TIMEOUT: time::Duration = time::Duration::from_millis(400);

fn member(number: usize) -> types::MemberRecord {
    let name = format!("node-{number}");
    types::MemberRecord {
        address: net::SocketAddr::from(([127, 0, 0, 1], 9000)),
        incarnation: 0,
        node: name.as_str().into(),
        node_phase: types::NodePhase::Serving,
        phase: types::MemberPhase::Alive,
        region: "r".into(),
        revision: 0,
        start_id: 1,
        vm: name.as_str().into(),
        zone: "z".into(),
    }
}

#[test]
fn one_reader() {
    let members: Vec<_> = (0..12).map(member).collect();
    let chosen = table_freshness::zone_reader(members.iter()).expect("a reader").node.clone();
    let chosen_reversed =
        table_freshness::zone_reader(members.iter().rev()).expect("a reader").node.clone();
    assert_eq!(chosen, chosen_reversed, "all nodes choose the same reader");
    let others = members.iter().filter(|record| record.node != chosen);
    assert_ne!(table_freshness::zone_reader(others).expect("another reader").node, chosen);
}

#[test]
fn stale_peer() {
    let now = time::Instant::now();
    let mut freshness = table_freshness::TableFreshness::default();
    freshness.record_store_reply(now);
    assert_eq!(freshness.store_reachable(), Some(true));
    assert!(freshness.record_peer_reply(time::Duration::from_millis(900), now));
    assert_eq!(freshness.store_reachable(), None, "the node no longer reads the store");
    assert!(!freshness.record_peer_reply(time::Duration::ZERO, now));
    assert!(
        freshness.peer_poll_wait(now).is_none(),
        "the node reads the store directly for a while"
    );
    let later = now + time::Duration::from_secs(4);
    freshness.record_store_reply(later);
    assert_eq!(freshness.peer_poll_wait(later), Some(table_freshness::LONG_POLL_WAIT));
}

/// A node of the model.
#[derive(Clone, Debug, Default)]
struct ModelNode {
    freshness: table_freshness::TableFreshness,
    version_seen: u64,
    request: Option<ModelRequest>,
    cut_off: bool,
    stalled: bool,
}

#[derive(Clone, Copy, Debug)]
enum ModelRequest {
    /// Reads the store until this time, or until there is a change.
    Store(time::Instant),
    /// Long-polls the reader until `until`; the request times out at `expires`.
    Peer { until: time::Instant, expires: time::Instant },
}

/// A zone in which node 0 reads the store.
struct Zone {
    nodes: Vec<ModelNode>,
    version: u64,
    changed_at: time::Instant,
}

impl Zone {
    fn step(&mut self, now: time::Instant) {
        for index in 0..self.nodes.len() {
            if !self.nodes[index].stalled {
                self.step_node(index, now);
            }
        }
    }

    fn step_node(&mut self, index: usize, now: time::Instant) {
        let version = self.version;
        let reader = self.nodes[0].clone();
        let node = &mut self.nodes[index];
        match node.request {
            None => {
                let poll_wait = (index > 0).then(|| node.freshness.peer_poll_wait(now)).flatten();
                node.request = Some(match poll_wait {
                    Some(wait) => {
                        ModelRequest::Peer { until: now + wait, expires: now + wait + PEER_TIMEOUT }
                    }
                    None => ModelRequest::Store(now + table_freshness::LONG_POLL_WAIT),
                });
            }
            Some(ModelRequest::Store(until))
                if !node.cut_off && (node.version_seen < version || until <= now) =>
            {
                node.version_seen = version;
                node.freshness.record_store_reply(now);
                node.request = None;
            }
            Some(ModelRequest::Peer { until, .. })
                if !reader.stalled
                    && (reader.version_seen > node.version_seen
                        || until <= now
                        || reader.freshness.remaining_freshness(now).is_zero()) =>
            {
                if node.freshness.record_peer_reply(reader.freshness.remaining_freshness(now), now)
                {
                    node.version_seen = node.version_seen.max(reader.version_seen);
                }
                node.request = None;
            }
            Some(ModelRequest::Peer { expires, .. }) if expires <= now => {
                node.freshness.record_peer_failure(now);
                node.request = None;
            }
            Some(_) => {}
        }
    }
}

/// Nodes that reach the store learn of a change within the bound, even while the reader is cut off
/// from the store or stalled.
#[test]
fn bounded_age() {
    check!().with_type::<Vec<(u8, u8)>>().for_each(|events| {
        let start = time::Instant::now();
        let nodes = vec![ModelNode::default(); 4];
        let mut zone = Zone { nodes, version: 1, changed_at: start };
        let mut now = start;
        for (kind, steps) in events {
            match kind % 5 {
                0 => zone.nodes[0].cut_off = true,
                1 => zone.nodes[0].cut_off = false,
                2 => zone.nodes[0].stalled = true,
                3 => zone.nodes[0].stalled = false,
                _ if zone.nodes[1..].iter().all(|node| node.version_seen == zone.version) => {
                    zone.version += 1;
                    zone.changed_at = now;
                }
                _ => {}
            }
            for _ in 0..=steps % 64 {
                zone.step(now);
                now += CLOCK_STEP;
                let late = now.saturating_duration_since(zone.changed_at) > MAX_DELAY;
                let behind = zone.nodes[1..].iter().any(|node| node.version_seen < zone.version);
                assert!(!(late && behind), "a node did not learn of a change in time");
            }
        }
    });
}
