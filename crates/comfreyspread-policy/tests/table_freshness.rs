//! News of the store's tables: who reads the store, and how old knowledge can get.
#![allow(clippy::disallowed_methods, reason = "a base moment for injected time")]

use bolero::check;
use comfreyspread_policy::table_freshness;
use comfreyspread_schema::types;
use std::{net, time};

const STEP: time::Duration = time::Duration::from_millis(50);
/// Stated bound for a node that reaches the store and the others: a change is known within this.
const BOUND: time::Duration = time::Duration::from_millis(2500);
/// Longest wait for the answer of a peer beyond the wait that was asked for.
const PEER_LIMIT: time::Duration = time::Duration::from_millis(400);

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
        start: 1,
        vm: name.as_str().into(),
        zone: "z".into(),
    }
}

#[test]
fn one_reader() {
    let members: Vec<_> = (0..12).map(member).collect();
    let chosen = table_freshness::zone_reader(members.iter()).expect("a reader").node.clone();
    let backwards =
        table_freshness::zone_reader(members.iter().rev()).expect("a reader").node.clone();
    assert_eq!(chosen, backwards, "all nodes choose the same one");
    let others = members.iter().filter(|record| record.node != chosen);
    assert_ne!(table_freshness::zone_reader(others).expect("another").node, chosen);
}

#[test]
fn stale_peer() {
    let now = time::Instant::now();
    let mut news = table_freshness::TableFreshness::default();
    news.record_store_reply(now);
    assert_eq!(news.store_reachable(), Some(true));
    assert!(news.record_peer_reply(time::Duration::from_millis(900), now));
    assert_eq!(news.store_reachable(), None, "the store was not asked");
    assert!(!news.record_peer_reply(time::Duration::ZERO, now));
    assert!(news.peer_poll_wait(now).is_none(), "it reads the store itself for a while");
    let later = now + time::Duration::from_secs(4);
    news.record_store_reply(later);
    assert_eq!(news.peer_poll_wait(later), Some(table_freshness::LONG_POLL_WAIT));
}

/// One node of the model.
#[derive(Clone, Debug, Default)]
struct ModelNode {
    news: table_freshness::TableFreshness,
    known: u64,
    asking: Option<Asked>,
    cut: bool,
    frozen: bool,
}

#[derive(Clone, Copy, Debug)]
enum Asked {
    /// The store, until then if nothing changes.
    Store(time::Instant),
    /// The reader, given up then.
    Peer { until: time::Instant, given_up: time::Instant },
}

/// A zone in which node 0 reads the store.
struct Zone {
    nodes: Vec<ModelNode>,
    version: u64,
    changed: time::Instant,
}

impl Zone {
    fn step(&mut self, now: time::Instant) {
        for place in 0..self.nodes.len() {
            if !self.nodes[place].frozen {
                self.step_node(place, now);
            }
        }
    }

    fn step_node(&mut self, place: usize, now: time::Instant) {
        let version = self.version;
        let reader = self.nodes[0].clone();
        let node = &mut self.nodes[place];
        match node.asking {
            None => {
                let follows = (place > 0).then(|| node.news.peer_poll_wait(now)).flatten();
                node.asking = Some(match follows {
                    Some(wait) => {
                        Asked::Peer { until: now + wait, given_up: now + wait + PEER_LIMIT }
                    }
                    None => Asked::Store(now + table_freshness::LONG_POLL_WAIT),
                });
            }
            Some(Asked::Store(until)) if !node.cut && (node.known < version || until <= now) => {
                node.known = version;
                node.news.record_store_reply(now);
                node.asking = None;
            }
            Some(Asked::Peer { until, .. })
                if !reader.frozen
                    && (reader.known > node.known
                        || until <= now
                        || reader.news.remaining_freshness(now).is_zero()) =>
            {
                if node.news.record_peer_reply(reader.news.remaining_freshness(now), now) {
                    node.known = node.known.max(reader.known);
                }
                node.asking = None;
            }
            Some(Asked::Peer { given_up, .. }) if given_up <= now => {
                node.news.record_peer_failure(now);
                node.asking = None;
            }
            Some(_) => {}
        }
    }
}

/// Whatever happens to the reader, nodes that reach the store know of a change within the bound.
#[test]
fn bounded_age() {
    check!().with_type::<Vec<(u8, u8)>>().for_each(|events| {
        let start = time::Instant::now();
        let nodes = vec![ModelNode::default(); 4];
        let mut zone = Zone { nodes, version: 1, changed: start };
        let mut now = start;
        for (kind, pause) in events {
            match kind % 5 {
                0 => zone.nodes[0].cut = true,
                1 => zone.nodes[0].cut = false,
                2 => zone.nodes[0].frozen = true,
                3 => zone.nodes[0].frozen = false,
                _ if zone.nodes[1..].iter().all(|node| node.known == zone.version) => {
                    zone.version += 1;
                    zone.changed = now;
                }
                _ => {}
            }
            for _ in 0..=pause % 64 {
                zone.step(now);
                now += STEP;
                let late = now.saturating_duration_since(zone.changed) > BOUND;
                let behind = zone.nodes[1..].iter().any(|node| node.known < zone.version);
                assert!(!(late && behind), "a change stays unknown");
            }
        }
    });
}
