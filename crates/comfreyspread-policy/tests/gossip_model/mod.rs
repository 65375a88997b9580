//! Simulation of a large fleet that exchanges heartbeats, on injected time.
//!
//! Each node has a link of limited rate, so a burst of large messages delays the ones behind it.
#![allow(
    clippy::disallowed_methods,
    dead_code,
    reason = "start of injected time; files use a part"
)]

mod heartbeats;

use crate::event_queue;
use comfreyspread_policy::{member, membership};
use comfreyspread_schema::{ids, types};
use rand::{Rng as _, SeedableRng as _, rngs};
use std::{collections::BinaryHeap, time};

pub const HEARTBEAT: time::Duration = time::Duration::from_millis(500);
pub const FAILURE_TIMEOUT: time::Duration = time::Duration::from_millis(3000);
pub const SUSPECT_TIMEOUT: time::Duration = time::Duration::from_millis(1500);
const ZONES: usize = 6;
const ZONES_PER_REGION: usize = 3;
const SEEDS: usize = 3;
/// Bytes of one record and of the rest of a message, HTTP included.
const RECORD_BYTES: u64 = 160;
const MESSAGE_BYTES: u64 = 330;
/// Bytes that a node's link carries per second: 20 Mbit/s.
const LINK_BYTES_PER_S: u64 = 2_500_000;

/// A message between two nodes.
#[derive(Clone, Debug)]
enum Message {
    Request { heartbeat: types::Heartbeat, probe: u64 },
    Reply { reply: types::HeartbeatReply, probe: u64 },
}

/// Event of one node's process. A stalled process handles it when it resumes.
#[derive(Clone, Debug)]
enum Event {
    Tick,
    Arrive { from: usize, message: Message },
    DirectTimeout { probe: u64 },
    ProbeEnd { probe: u64 },
}

pub struct FleetNode {
    pub members: membership::MemberTable,
    pub up: bool,
    pub stalled_until: Option<time::Instant>,
    start_id: ids::ProcessStartId,
    round: u64,
    link_free: time::Instant,
    pub sent_bytes: u64,
    heartbeats: heartbeats::HeartbeatState,
}

/// A fleet of nodes.
pub struct Fleet {
    pub now: time::Instant,
    pub nodes: Vec<FleetNode>,
    /// Share of messages lost; each loses its whole exchange.
    pub loss: f64,
    /// Groups of nodes; messages between different groups are lost.
    pub groups: Vec<u32>,
    /// Failures that nodes declared: time, node that declared it, failed node.
    pub failures: Vec<(time::Instant, usize, usize)>,
    /// Suspicions that probes gave rise to.
    pub suspicions: usize,
    random: rngs::SmallRng,
    base: time::Instant,
    queue: BinaryHeap<event_queue::QueuedEvent<Event>>,
    order: u64,
}

pub fn zone_of(index: usize) -> usize {
    index % ZONES
}

fn region_of(index: usize) -> usize {
    zone_of(index) / ZONES_PER_REGION
}

fn name(index: usize) -> ids::NodeId {
    format!("node-{index}").into()
}

fn position(node: &str) -> usize {
    node.trim_start_matches("node-").parse().expect("a node of the fleet")
}

impl Fleet {
    /// Creates a fleet whose nodes all start within one second.
    pub fn new(nodes: usize, seed: u64) -> Self {
        let base = time::Instant::now();
        let mut fleet = Self {
            now: base,
            nodes: Vec::new(),
            loss: 0.0,
            groups: vec![0; nodes],
            failures: Vec::new(),
            suspicions: 0,
            random: rngs::SmallRng::seed_from_u64(seed),
            base,
            queue: BinaryHeap::new(),
            order: 0,
        };
        (0..nodes).for_each(|index| fleet.start(index, types::NodePhase::Starting));
        fleet
    }

    /// Adds nodes that start now.
    pub fn add(&mut self, count: usize) {
        for _ in 0..count {
            self.groups.push(0);
            self.start(self.nodes.len(), types::NodePhase::Starting);
        }
    }

    fn start(&mut self, index: usize, node_phase: types::NodePhase) {
        let start_id = self.random.random();
        let port = u16::try_from(index + 1).expect("a small fleet");
        let record = types::MemberRecord {
            address: ([127, 0, 0, 1], port).into(),
            incarnation: 0,
            node: name(index),
            node_phase,
            phase: types::MemberPhase::Alive,
            region: format!("region-{}", region_of(index)).into(),
            revision: 1,
            start_id,
            vm: name(index),
            zone: format!("zone-{}", zone_of(index)).into(),
        };
        let timeouts = membership::MemberTimeouts {
            failure: FAILURE_TIMEOUT,
            retention: FAILURE_TIMEOUT * 20,
        };
        let node = FleetNode {
            members: membership::MemberTable::new(record, timeouts),
            up: true,
            stalled_until: None,
            start_id,
            round: 0,
            link_free: self.now,
            sent_bytes: 0,
            heartbeats: heartbeats::HeartbeatState::default(),
        };
        if index == self.nodes.len() {
            self.nodes.push(node);
        } else {
            self.nodes[index] = node;
        }
        let offset = time::Duration::from_millis(self.random.random_range(0..1000));
        self.push(self.now + offset, index, Event::Tick);
    }

    pub fn elapsed(&self) -> time::Duration {
        self.now - self.base
    }

    pub fn crash(&mut self, index: usize) {
        self.nodes[index].up = false;
    }

    pub fn stall(&mut self, index: usize, length: time::Duration) {
        self.nodes[index].stalled_until = Some(self.now + length);
    }

    /// Runs for `length`.
    pub fn run(&mut self, length: time::Duration) {
        let end = self.now + length;
        while self.queue.peek().is_some_and(|queued| queued.at <= end) {
            let queued = self.queue.pop().expect("an event");
            self.now = self.now.max(queued.at);
            self.handle(queued);
        }
        self.now = end;
    }

    /// Returns the nodes that run.
    pub fn running(&self) -> Vec<usize> {
        (0..self.nodes.len()).filter(|index| self.nodes[*index].up).collect()
    }

    /// Returns how many pairs of running nodes there are of which the first has no live record, in
    /// its newest phase, of the second.
    pub fn unknown_pairs(&self) -> usize {
        let running = self.running();
        let knows = |node: usize, other: usize| {
            let local = self.nodes[other].members.local();
            let entry = self.nodes[node].members.entry(&local.node);
            entry.is_some_and(|entry| {
                entry.is_live() && entry.record().node_phase == local.node_phase
            })
        };
        let unknown = |node: &usize| {
            running.iter().filter(|other| *other != node && !knows(*node, **other)).count()
        };
        running.iter().map(unknown).sum()
    }

    /// Returns the running nodes that still consider `of` live.
    pub fn believers(&self, of: usize) -> usize {
        let believes = |node: &usize| {
            let entry = self.nodes[*node].members.entry(&name(of));
            entry.is_some_and(member::MemberEntry::is_live)
        };
        self.running().iter().filter(|node| believes(node)).count()
    }

    /// Returns the mean bytes a second that a running node sent while `run` ran.
    pub fn bytes_per_second(&mut self, length: time::Duration) -> f64 {
        let total = |fleet: &Self| fleet.nodes.iter().map(|node| node.sent_bytes).sum::<u64>();
        let before = total(self);
        self.run(length);
        let sent = total(self) - before;
        sent as f64 / length.as_secs_f64() / self.running().len() as f64
    }

    fn push(&mut self, at: time::Instant, node: usize, event: Event) {
        self.order += 1;
        let start_id = self.nodes[node].start_id;
        self.queue.push(event_queue::QueuedEvent { at, order: self.order, node, start_id, event });
    }

    fn handle(&mut self, queued: event_queue::QueuedEvent<Event>) {
        let node = &self.nodes[queued.node];
        if !node.up || node.start_id != queued.start_id {
            return;
        }
        if let Some(resume) = node.stalled_until.filter(|resume| *resume > self.now) {
            self.queue.push(event_queue::QueuedEvent { at: resume, ..queued });
            return;
        }
        match queued.event {
            Event::Tick => self.tick(queued.node),
            Event::Arrive { from, message } => self.arrive(queued.node, from, message),
            Event::DirectTimeout { probe } => self.direct_timeout(queued.node, probe),
            Event::ProbeEnd { probe } => self.end_probe(queued.node, probe),
        }
    }

    /// Sends a message through the sender's link, which carries one message after the other.
    fn send(&mut self, from: usize, to: usize, message: Message) {
        let (records, digest) = match &message {
            Message::Request { heartbeat, .. } => heartbeats::request_size(heartbeat),
            Message::Reply { reply, .. } => heartbeats::reply_size(reply),
        };
        let bytes = MESSAGE_BYTES + digest + RECORD_BYTES * records;
        let node = &mut self.nodes[from];
        node.sent_bytes += bytes;
        let on_link = time::Duration::from_micros(bytes * 1_000_000 / LINK_BYTES_PER_S);
        node.link_free = node.link_free.max(self.now) + on_link;
        let sent = node.link_free;
        let lost = self.loss > 0.0 && self.random.random_bool(self.loss);
        let cut = self.groups[from] != self.groups[to];
        if from == to || lost || cut || !self.nodes[to].up {
            return;
        }
        let far = if region_of(from) == region_of(to) { 1 } else { 12 };
        let delay = time::Duration::from_millis(far + self.random.random_range(0..4));
        self.push(sent + delay, to, Event::Arrive { from, message });
    }
}
