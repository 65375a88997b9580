//! Which node reads the store, and how stale the copy of a table can get.
#![allow(clippy::disallowed_methods, reason = "start of the injected time")]

use bolero::check;
use comfreyspread_policy::{table_freshness, table_source};
use comfreyspread_schema::types;
use std::{net, time};

const CLOCK_STEP: time::Duration = time::Duration::from_millis(50);
/// Documented bound within which a node that reaches the store and its peers learns of a change.
const MAX_DELAY: time::Duration = time::Duration::from_millis(2500);
/// Delay of a node that has no source to ask.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(300);
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

fn readers(members: &[types::MemberRecord]) -> Vec<&types::MemberRecord> {
    table_freshness::zone_readers(members.iter())
}

#[test]
fn zone_readers() {
    let members: Vec<_> = (0..12).map(member).collect();
    let chosen = readers(&members);
    let reversed: Vec<_> = members.iter().rev().cloned().collect();
    assert_eq!(chosen, readers(&reversed), "all nodes choose the same readers");
    assert_eq!(chosen.len(), table_source::READERS_PER_ZONE);
    let others: Vec<_> = members.iter().filter(|one| one.node != chosen[0].node).cloned().collect();
    assert_eq!(readers(&others)[0], chosen[1], "the second reader follows the first");
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
    let stale = now + table_freshness::FRESHNESS_LIFETIME;
    assert_eq!(freshness.store_wait(stale), time::Duration::ZERO, "a reply is wanted at once");
}

/// While the store is down for all, a large fleet does not call it over and over.
#[test]
fn store_outage() {
    let members: Vec<_> = (0..50).map(member).collect();
    let readers = readers(&members);
    let mut reads = 0;
    for own in &members {
        let mut choice = table_source::SourceChoice::default();
        let mut now = time::Instant::now();
        let end = now + time::Duration::from_secs(9);
        while now < end {
            match choice.next_source(&readers, &own.node, now) {
                table_source::TableSource::Store => {
                    reads += 1;
                    choice.record_store_read(false, now);
                    now += time::Duration::from_millis(300);
                }
                table_source::TableSource::Reader { node, .. } => {
                    choice.record_stale_reader(&node, now);
                    now += table_freshness::STALE_POLL_WAIT;
                }
                table_source::TableSource::AnyPeer => now += time::Duration::from_millis(300),
            }
        }
    }
    assert!(reads <= 50 * 5 + 2 * 30, "{reads} reads in 9 s");
}

/// A node of the model.
#[derive(Clone, Debug, Default)]
struct ModelNode {
    freshness: table_freshness::TableFreshness,
    sources: table_source::SourceChoice,
    version_seen: u64,
    request: Option<ModelRequest>,
    cut_off: bool,
    stalled: bool,
}

#[derive(Clone, Copy, Debug)]
enum ModelRequest {
    /// Reads the store until this time, or until there is a change.
    Store(time::Instant),
    /// Long-polls a reader until `until`; the request times out at `expires`.
    Peer { reader: usize, until: time::Instant, expires: time::Instant, fresh: bool },
    /// Waits for the next attempt.
    Delay(time::Instant),
}

/// A zone in which node 0 is the first reader, and node 1 the second.
struct Zone {
    members: Vec<types::MemberRecord>,
    nodes: Vec<ModelNode>,
    version: u64,
    changed_at: time::Instant,
}

impl Zone {
    fn new(count: usize, now: time::Instant) -> Self {
        let members: Vec<_> = (0..count).map(member).collect();
        let nodes = vec![ModelNode::default(); count];
        Self { members, nodes, version: 1, changed_at: now }
    }

    fn step(&mut self, now: time::Instant) {
        for index in 0..self.nodes.len() {
            if !self.nodes[index].stalled {
                self.step_node(index, now);
            }
        }
    }

    fn next_request(&self, index: usize, now: time::Instant) -> ModelRequest {
        let readers: Vec<_> = self.members.iter().take(table_source::READERS_PER_ZONE).collect();
        let node = &self.nodes[index];
        match node.sources.next_source(&readers, &self.members[index].node, now) {
            table_source::TableSource::Store => {
                ModelRequest::Store(now + node.freshness.store_wait(now))
            }
            table_source::TableSource::Reader { node: reader, .. } => {
                let until = now + node.freshness.poll_wait(now);
                let named = |member: &types::MemberRecord| member.node == reader;
                let reader = self.members.iter().position(named).expect("a member");
                ModelRequest::Peer { reader, until, expires: until + PEER_TIMEOUT, fresh: false }
            }
            table_source::TableSource::AnyPeer => ModelRequest::Delay(now + RETRY_DELAY),
        }
    }

    fn step_node(&mut self, index: usize, now: time::Instant) {
        let version = self.version;
        let Some(request) = self.nodes[index].request else {
            self.nodes[index].request = Some(self.next_request(index, now));
            return;
        };
        match request {
            ModelRequest::Store(until) => {
                let node = &mut self.nodes[index];
                if !node.cut_off && (node.version_seen < version || until <= now) {
                    node.version_seen = version;
                    node.freshness.record_store_reply(now);
                    node.sources.record_store_read(true, now);
                    node.request = None;
                }
            }
            ModelRequest::Peer { reader, until, expires, fresh } => {
                self.step_poll(index, reader, (until, expires, fresh), now);
            }
            ModelRequest::Delay(until) if until <= now => self.nodes[index].request = None,
            ModelRequest::Delay(_) => {}
        }
    }

    fn step_poll(
        &mut self,
        index: usize,
        reader: usize,
        (until, expires, was_fresh): (time::Instant, time::Instant, bool),
        now: time::Instant,
    ) {
        let name = self.members[reader].node.clone();
        let polled = self.nodes[reader].clone();
        let node = &mut self.nodes[index];
        if polled.stalled {
            if expires <= now {
                node.sources.record_silent_reader(&name, now);
                node.request = None;
            }
            return;
        }
        let fresh = polled.freshness.is_fresh(now);
        let news = polled.version_seen > node.version_seen;
        if !news && until > now && (fresh || !was_fresh) {
            node.request = Some(ModelRequest::Peer { reader, until, expires, fresh });
            return;
        }
        let remaining = polled.freshness.remaining_freshness(now);
        if !node.freshness.record_peer_reply(remaining, now) {
            node.sources.record_stale_reader(&name, now);
        }
        node.version_seen = node.version_seen.max(polled.version_seen);
        node.request = None;
    }
}

/// Nodes that reach the store learn of a change within the bound, even while the reader is cut off
/// from the store or stalled.
#[test]
fn bounded_age() {
    check!().with_type::<Vec<(u8, u8)>>().for_each(|events| {
        let start = time::Instant::now();
        let mut zone = Zone::new(4, start);
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
