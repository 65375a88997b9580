//! Simulation of nodes that exchange heartbeats and hand over endpoints under faults, on injected
//! time.
#![allow(
    clippy::disallowed_methods,
    dead_code,
    reason = "start of injected time; files use a part"
)]

mod exchange;

use crate::event_queue;
use comfreyspread_policy::{catalog, connectivity, member, membership, ownership};
use comfreyspread_schema::{ids, types};
use rand::{Rng as _, SeedableRng as _, rngs};
use std::{collections::BinaryHeap, time};

pub const HEARTBEAT: time::Duration = time::Duration::from_millis(500);
pub const FAILURE_TIMEOUT: time::Duration = time::Duration::from_millis(3000);
const ANSWER_TIMEOUT: time::Duration = time::Duration::from_millis(500);
const RECORDS_PER_MESSAGE: usize = 4;
const INDIRECT_PROBES: usize = 3;

/// Why a node sends a heartbeat.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Contact {
    /// It probes a member.
    Probe,
    /// It asks a seed for its members.
    FullSync,
    /// One of the two suspected the other.
    Dispute,
}

/// Message in transit between two nodes.
#[derive(Clone, Debug)]
enum Message {
    Heartbeat {
        members: Vec<types::MemberRecord>,
        digest: Vec<u32>,
        kind: Contact,
    },
    HeartbeatReply {
        members: Vec<types::MemberRecord>,
        repairs: Vec<types::MemberRecord>,
        kind: Contact,
    },
    ReleaseRequest {
        member: types::MemberRecord,
        endpoints: Vec<ids::EndpointId>,
    },
    ReleaseNotice {
        members: Vec<types::MemberRecord>,
        releases: Vec<types::ReleaseRecord>,
    },
}

#[derive(Clone, Debug)]
enum Event {
    Tick,
    Arrive { from: usize, header: types::PeerHeader, message: Message, sent: time::Instant },
    ProbeEnd { target: member::ProbeTarget, sent: time::Instant },
}

pub struct ModelNode {
    pub members: membership::MemberTable,
    pub ownership: ownership::OwnershipTable,
    pub up: bool,
    pub stalled_until: Option<time::Instant>,
    answered: indexmap::IndexSet<usize>,
    start_id: ids::ProcessStartId,
}

/// Endpoint-seconds with more than one owner or none. The first three fields sum up the owners
/// beyond the first, each by another rule of which nodes count as owners.
#[derive(Clone, Copy, Debug, Default)]
pub struct OverlapTimes {
    /// Each node that some running node considers the owner.
    pub any_view: f64,
    /// Each node that considers itself the owner.
    pub own_view: f64,
    /// Each node that may send calls, after it waited for the other possible owners.
    pub permitted: f64,
    /// Time in which no node may send calls.
    pub unserved: f64,
    /// Longest continuous time in which two nodes may send calls, in seconds.
    pub longest: f64,
}

pub struct Model {
    pub now: time::Instant,
    pub nodes: Vec<ModelNode>,
    pub catalog: catalog::ConfigurationCatalog,
    pub fences: Vec<ids::FencingToken>,
    pub checks_fence: bool,
    /// Whether to measure overlap times.
    pub measures: bool,
    pub overlaps: OverlapTimes,
    pub loss: f64,
    /// Whether messages from the first node to the second are lost.
    pub cut: Vec<Vec<bool>>,
    pub random: rngs::SmallRng,
    base: time::Instant,
    queue: BinaryHeap<event_queue::QueuedEvent<Event>>,
    pub order: u64,
    overlap_since: Option<time::Instant>,
}

fn zone(index: usize) -> ids::ZoneId {
    format!("zone-{}", index % 2).into()
}

fn name(index: usize) -> ids::NodeId {
    format!("node-{index}").into()
}

pub fn declarations(endpoints: usize) -> types::Declarations {
    let endpoint = |index: usize| {
        serde_json::json!({ "name": format!("endpoint-{index}"), "pool": "pool",
            "zone": &*zone(index), "vm": "vm", "address": "127.0.0.1:1" })
    };
    serde_json::from_value(serde_json::json!({
        "zones": [{ "name": "zone-0", "region": "region" }, { "name": "zone-1", "region": "region" }],
        "endpoints": (0..endpoints).map(endpoint).collect::<Vec<_>>(),
    }))
    .expect("valid declarations")
}

impl Model {
    pub fn new(nodes: usize, endpoints: usize, seed: u64) -> Self {
        let base = time::Instant::now();
        let document = types::ConfigurationDocument {
            author: "".into(),
            change_id: "".into(),
            declarations: declarations(endpoints),
            revision: 1,
            vms_out: Vec::new(),
            zones_out: Vec::new(),
        };
        let mut model = Self {
            now: base,
            nodes: Vec::new(),
            catalog: catalog::ConfigurationCatalog::new(document),
            fences: vec![0; endpoints],
            checks_fence: true,
            measures: false,
            overlaps: OverlapTimes::default(),
            loss: 0.0,
            cut: vec![vec![false; nodes]; nodes],
            random: rngs::SmallRng::seed_from_u64(seed),
            base,
            queue: BinaryHeap::new(),
            order: 0,
            overlap_since: None,
        };
        for index in 0..nodes {
            let node = model.new_node(index, 0);
            model.nodes.push(node);
            let offset = model.random.random_range(0..500);
            model.push_at(base + time::Duration::from_millis(offset), index, Event::Tick);
        }
        model
    }

    fn new_node(&self, index: usize, start_id: ids::ProcessStartId) -> ModelNode {
        let record = types::MemberRecord {
            address: ([127, 0, 0, 1], u16::try_from(index + 1).unwrap_or(1)).into(),
            incarnation: 0,
            node: name(index),
            node_phase: types::NodePhase::Serving,
            phase: types::MemberPhase::Alive,
            region: "region".into(),
            revision: 1,
            start_id,
            vm: "vm".into(),
            zone: zone(index),
        };
        let timeouts = membership::MemberTimeouts {
            failure: FAILURE_TIMEOUT,
            retention: FAILURE_TIMEOUT * 20,
        };
        let instance = member::MemberInstance::new(&record);
        let ownership_timeouts = connectivity::OwnershipTimeouts::new(FAILURE_TIMEOUT);
        ModelNode {
            members: membership::MemberTable::new(record, timeouts),
            ownership: ownership::OwnershipTable::new(instance, ownership_timeouts, self.now),
            up: true,
            stalled_until: None,
            answered: indexmap::IndexSet::new(),
            start_id,
        }
    }

    pub fn elapsed(&self) -> time::Duration {
        self.now - self.base
    }

    pub fn crash(&mut self, index: usize) {
        self.nodes[index].up = false;
    }

    pub fn restart(&mut self, index: usize) {
        let start = self.random.random();
        self.nodes[index] = self.new_node(index, start);
        self.push_at(self.now, index, Event::Tick);
    }

    pub fn stall(&mut self, index: usize, length: time::Duration) {
        self.nodes[index].stalled_until = Some(self.now + length);
    }

    /// Disconnects a node from all others in one direction or both, or connects it again.
    pub fn isolate(&mut self, index: usize, outward: bool, inward: bool) {
        for other in (0..self.nodes.len()).filter(|other| *other != index) {
            self.cut[index][other] = outward;
            self.cut[other][index] = inward;
        }
    }

    pub fn leave(&mut self, index: usize) {
        self.nodes[index].members.leave();
        let actions = self.reconcile(index);
        for other in 0..self.nodes.len() {
            self.send_heartbeat(index, other, Contact::Probe);
        }
        self.carry_out(index, actions);
    }

    pub fn is_running(&self, index: usize) -> bool {
        let node = &self.nodes[index];
        node.up && node.stalled_until.is_none()
    }

    /// Returns the owners of an endpoint: the nodes that may send calls to it now.
    pub fn owners(&self, endpoint: &ids::EndpointId) -> Vec<usize> {
        let running = (0..self.nodes.len()).filter(|index| self.is_running(*index));
        let may_send =
            |node: &usize| self.nodes[*node].ownership.fencing_token(endpoint, self.now).is_some();
        running.filter(may_send).collect()
    }

    pub fn endpoints(&self) -> Vec<ids::EndpointId> {
        self.catalog.endpoints().map(|entry| entry.name.clone()).collect()
    }

    pub fn max_owners(&self) -> usize {
        let counts = self.endpoints().into_iter().map(|endpoint| self.owners(&endpoint).len());
        counts.max().unwrap_or(0)
    }

    /// Runs for `length` and calls `check` after each event.
    pub fn run(&mut self, length: time::Duration, mut check: impl FnMut(&Self)) {
        let end = self.now + length;
        while let Some(event) = self.queue.peek().filter(|event| event.at <= end) {
            let at = event.at;
            let event = self.queue.pop().expect("an event");
            self.advance(at);
            self.handle(event);
            check(self);
        }
        self.advance(end);
    }

    fn advance(&mut self, to: time::Instant) {
        let resumes = self.nodes.iter().filter_map(|node| node.stalled_until);
        let resume_at = resumes.min().filter(|resume_at| *resume_at <= to);
        if let Some(resume_at) = resume_at {
            self.account(resume_at.max(self.now));
            for node in &mut self.nodes {
                if node.stalled_until == Some(resume_at) {
                    node.stalled_until = None;
                }
            }
            return self.advance(to);
        }
        self.account(to);
    }

    /// Adds the time until `to` to the overlap times, in small steps since leases expire.
    fn account(&mut self, to: time::Instant) {
        if !self.measures {
            self.now = self.now.max(to);
            return;
        }
        while self.now < to {
            let next = to.min(self.now + time::Duration::from_millis(20));
            let step = (next - self.now).as_secs_f64();
            let mut overlapping = false;
            for endpoint in self.endpoints() {
                let running: Vec<_> =
                    (0..self.nodes.len()).filter(|index| self.is_running(*index)).collect();
                let views = |index: &usize| self.nodes[*index].ownership.owner_of(&endpoint);
                let viewed_owners: indexmap::IndexSet<_> =
                    running.iter().filter_map(views).collect();
                let self_owners =
                    running.iter().filter(|index| views(index) == Some(name(**index))).count();
                let owners = self.owners(&endpoint).len();
                overlapping |= owners > 1;
                self.overlaps.any_view += step * viewed_owners.len().saturating_sub(1) as f64;
                self.overlaps.own_view += step * self_owners.saturating_sub(1) as f64;
                self.overlaps.permitted += step * owners.saturating_sub(1) as f64;
                self.overlaps.unserved += if owners == 0 { step } else { 0.0 };
            }
            let since =
                self.overlap_since.filter(|_| overlapping).or(overlapping.then_some(self.now));
            let length = since.map_or(0.0, |since| (next - since).as_secs_f64());
            self.overlaps.longest = self.overlaps.longest.max(length);
            self.overlap_since = since;
            self.now = next;
        }
    }

    fn push_at(&mut self, at: time::Instant, node: usize, event: Event) {
        self.order += 1;
        let start_id = self.nodes[node].start_id;
        self.queue.push(event_queue::QueuedEvent { at, order: self.order, node, start_id, event });
    }

    fn send(&mut self, from: usize, to: usize, message: Message, sent: time::Instant) {
        let lost = self.loss > 0.0 && self.random.random_bool(self.loss);
        if from == to || lost || self.cut[from][to] || !self.nodes[to].up {
            return;
        }
        let header = self.header(from);
        let delay = time::Duration::from_millis(self.random.random_range(1..40));
        self.push_at(self.now + delay, to, Event::Arrive { from, header, message, sent });
    }

    fn header(&self, index: usize) -> types::PeerHeader {
        let start_id = self.nodes[index].start_id;
        types::PeerHeader { node: name(index), protocol: 1, revision: 1, start_id }
    }

    fn handle(&mut self, queued: event_queue::QueuedEvent<Event>) {
        let index = queued.node;
        let node = &self.nodes[index];
        if !node.up || node.start_id != queued.start_id {
            return;
        }
        if let Some(resume_at) = node.stalled_until {
            self.queue.push(event_queue::QueuedEvent { at: resume_at, ..queued });
            return;
        }
        match queued.event {
            Event::Tick => self.tick(index),
            Event::ProbeEnd { target, sent } => self.end_probe(index, &target, sent),
            Event::Arrive { from, header, message, sent } => {
                self.arrive(index, from, &header, message, sent);
            }
        }
    }
}
