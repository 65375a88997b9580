//! Nodes that exchange heartbeats and hand endpoints over in injected time, under faults.
#![allow(clippy::disallowed_methods, dead_code, reason = "one base moment; files use a part")]

use comfreyspread_policy::ownership::OwnershipAction;
use comfreyspread_policy::{catalog, contact, membership, ownership};
use comfreyspread_schema::{ids, types};
use rand::{Rng as _, SeedableRng as _, rngs};
use std::{collections::BinaryHeap, time};

pub const HEARTBEAT: time::Duration = time::Duration::from_millis(500);
pub const LAPSE: time::Duration = time::Duration::from_millis(3000);
const ANSWER_LIMIT: time::Duration = time::Duration::from_millis(500);
const RECORDS: usize = 4;
const HELPERS: usize = 3;

/// A message on its way.
#[derive(Clone, Debug)]
enum Message {
    Heartbeat { members: Vec<types::MemberRecord>, whole: bool },
    Beaten { members: Vec<types::MemberRecord>, whole: bool },
    Question { member: types::MemberRecord, endpoints: Vec<ids::EndpointId> },
    Notice { members: Vec<types::MemberRecord>, releases: Vec<types::ReleaseRecord> },
}

#[derive(Clone, Debug)]
enum Event {
    Tick,
    Arrive { from: usize, header: types::PeerHeader, message: Message, sent: time::Instant },
    ProbeEnd { target: membership::ProbeTarget, sent: time::Instant },
}

/// Event of one node's process; a frozen process finds it when it wakes.
#[derive(Clone, Debug)]
struct QueuedEvent {
    at: time::Instant,
    order: u64,
    node: usize,
    start: ids::StartId,
    event: Event,
}

impl PartialEq for QueuedEvent {
    fn eq(&self, other: &Self) -> bool {
        self.order == other.order
    }
}

impl Eq for QueuedEvent {}

impl PartialOrd for QueuedEvent {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for QueuedEvent {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (other.at, other.order).cmp(&(self.at, self.order))
    }
}

pub struct ModelNode {
    pub members: membership::MemberTable,
    pub ownership: ownership::OwnershipTable,
    pub up: bool,
    pub frozen_until: Option<time::Instant>,
    answered: indexmap::IndexSet<usize>,
    start: ids::StartId,
}

/// Senders to an endpoint beyond the first, in endpoint-seconds, by rule.
#[derive(Clone, Copy, Debug, Default)]
pub struct DoubleTimes {
    /// Whoever some node takes for the owner.
    pub unchecked: f64,
    /// Whoever takes itself for the owner.
    pub checked: f64,
    /// Whoever holds a permit.
    pub waited: f64,
    /// No holder of a permit, in endpoint-seconds.
    pub unserved: f64,
    /// Longest unbroken time with two holders of a permit.
    pub longest: f64,
}

pub struct Model {
    pub now: time::Instant,
    pub nodes: Vec<ModelNode>,
    pub catalog: catalog::ConfigurationCatalog,
    pub fences: Vec<ids::FenceNumber>,
    pub checks_fence: bool,
    /// Whether double times are measured.
    pub measures: bool,
    pub doubles: DoubleTimes,
    pub loss: f64,
    /// Whether messages from the first to the second node are lost.
    pub cut: Vec<Vec<bool>>,
    pub random: rngs::SmallRng,
    base: time::Instant,
    queue: BinaryHeap<QueuedEvent>,
    order: u64,
    double_since: Option<time::Instant>,
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
            change: "".into(),
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
            doubles: DoubleTimes::default(),
            loss: 0.0,
            cut: vec![vec![false; nodes]; nodes],
            random: rngs::SmallRng::seed_from_u64(seed),
            base,
            queue: BinaryHeap::new(),
            order: 0,
            double_since: None,
        };
        for index in 0..nodes {
            let node = model.fresh(index, 0);
            model.nodes.push(node);
            let offset = model.random.random_range(0..500);
            model.push_at(base + time::Duration::from_millis(offset), index, Event::Tick);
        }
        model
    }

    fn fresh(&self, index: usize, start: ids::StartId) -> ModelNode {
        let record = types::MemberRecord {
            address: ([127, 0, 0, 1], u16::try_from(index + 1).unwrap_or(1)).into(),
            incarnation: 0,
            node: name(index),
            node_phase: types::NodePhase::Serving,
            phase: types::MemberPhase::Alive,
            region: "region".into(),
            revision: 1,
            start,
            vm: "vm".into(),
            zone: zone(index),
        };
        let times = membership::MemberTimes { lapse: LAPSE, forget: LAPSE * 20 };
        let instance = membership::MemberInstance::new(&record);
        let ownership_times = contact::OwnershipTimes::new(LAPSE);
        ModelNode {
            members: membership::MemberTable::new(record, times),
            ownership: ownership::OwnershipTable::new(instance, ownership_times, self.now),
            up: true,
            frozen_until: None,
            answered: indexmap::IndexSet::new(),
            start,
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
        self.nodes[index] = self.fresh(index, start);
        self.push_at(self.now, index, Event::Tick);
    }

    pub fn freeze(&mut self, index: usize, length: time::Duration) {
        self.nodes[index].frozen_until = Some(self.now + length);
    }

    /// Cuts a node from all others, in one direction or both, or heals it.
    pub fn isolate(&mut self, index: usize, outward: bool, inward: bool) {
        for other in (0..self.nodes.len()).filter(|other| *other != index) {
            self.cut[index][other] = outward;
            self.cut[other][index] = inward;
        }
    }

    pub fn leave(&mut self, index: usize) {
        self.nodes[index].members.leave();
        let actions = self.observe(index);
        for other in 0..self.nodes.len() {
            self.beat(index, other, false, true);
        }
        self.carry_out(index, actions);
    }

    pub fn is_running(&self, index: usize) -> bool {
        let node = &self.nodes[index];
        node.up && node.frozen_until.is_none()
    }

    /// Returns the nodes that may send to an endpoint now.
    pub fn holders(&self, endpoint: &ids::EndpointId) -> Vec<usize> {
        let running = (0..self.nodes.len()).filter(|index| self.is_running(*index));
        let permits =
            |index: &usize| self.nodes[*index].ownership.permit(endpoint, self.now).is_some();
        running.filter(permits).collect()
    }

    pub fn endpoints(&self) -> Vec<ids::EndpointId> {
        self.catalog.endpoints().map(|entry| entry.name.clone()).collect()
    }

    pub fn most_holders(&self) -> usize {
        let counts = self.endpoints().into_iter().map(|endpoint| self.holders(&endpoint).len());
        counts.max().unwrap_or(0)
    }

    /// Runs until `length` has passed, with `check` after each event.
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
        let wakes = self.nodes.iter().filter_map(|node| node.frozen_until);
        let wake = wakes.min().filter(|wake| *wake <= to);
        if let Some(wake) = wake {
            self.account(wake.max(self.now));
            for node in &mut self.nodes {
                if node.frozen_until == Some(wake) {
                    node.frozen_until = None;
                }
            }
            return self.advance(to);
        }
        self.account(to);
    }

    /// Adds the time until `to` to the double times, in steps, since permits end by time.
    fn account(&mut self, to: time::Instant) {
        if !self.measures {
            self.now = self.now.max(to);
            return;
        }
        while self.now < to {
            let next = to.min(self.now + time::Duration::from_millis(20));
            let step = (next - self.now).as_secs_f64();
            let mut doubled = false;
            for endpoint in self.endpoints() {
                let running: Vec<_> =
                    (0..self.nodes.len()).filter(|index| self.is_running(*index)).collect();
                let views = |index: &usize| self.nodes[*index].ownership.owner_of(&endpoint);
                let named: indexmap::IndexSet<_> = running.iter().filter_map(views).collect();
                let selves =
                    running.iter().filter(|index| views(index) == Some(name(**index))).count();
                let holders = self.holders(&endpoint).len();
                doubled |= holders > 1;
                self.doubles.unchecked += step * named.len().saturating_sub(1) as f64;
                self.doubles.checked += step * selves.saturating_sub(1) as f64;
                self.doubles.waited += step * holders.saturating_sub(1) as f64;
                self.doubles.unserved += if holders == 0 { step } else { 0.0 };
            }
            let since = self.double_since.filter(|_| doubled).or(doubled.then_some(self.now));
            let length = since.map_or(0.0, |since| (next - since).as_secs_f64());
            self.doubles.longest = self.doubles.longest.max(length);
            self.double_since = since;
            self.now = next;
        }
    }

    fn push_at(&mut self, at: time::Instant, node: usize, event: Event) {
        self.order += 1;
        let start = self.nodes[node].start;
        self.queue.push(QueuedEvent { at, order: self.order, node, start, event });
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
        let start = self.nodes[index].start;
        types::PeerHeader { node: name(index), protocol: 1, revision: 1, start }
    }

    fn handle(&mut self, queued: QueuedEvent) {
        let index = queued.node;
        let node = &self.nodes[index];
        if !node.up || node.start != queued.start {
            return;
        }
        if let Some(wake) = node.frozen_until {
            self.queue.push(QueuedEvent { at: wake, ..queued });
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

    fn tick(&mut self, index: usize) {
        let actions = self.observe(index);
        self.carry_out(index, actions);
        self.call_endpoints(index);
        let node = &mut self.nodes[index];
        let isolated = matches!(node.ownership.contact(), contact::PeerContact::Isolated(_));
        for _ in 0..if isolated { 4 } else { 1 } {
            let Some(target) = self.nodes[index].members.next_probe(&mut self.random) else {
                break;
            };
            let to = usize::from(target.address.port()) - 1;
            self.beat(index, to, false, false);
            let event = Event::ProbeEnd { target, sent: self.now };
            self.push_at(self.now + ANSWER_LIMIT, index, event);
        }
        let unsettled = !self.nodes[index].ownership.is_settled(self.now);
        for seed in (0..self.nodes.len()).filter(|_| unsettled) {
            self.beat(index, seed, true, true);
        }
        let refuses = |other: &usize| {
            !self.nodes[*other].up && !self.cut[index][*other] && !self.cut[*other][index]
        };
        let answered = &self.nodes[index].answered;
        let told = |other: &usize| *other == index || answered.contains(other) || refuses(other);
        if unsettled && (0..self.nodes.len()).all(|other| told(&other)) {
            self.nodes[index].ownership.set_seeds(contact::SeedContact::Refused);
        }
        if self.nodes[index].members.live().count() == 1 || self.random.random_ratio(1, 20) {
            let seed = self.random.random_range(0..self.nodes.len());
            let whole = self.nodes[index].members.entry(&name(seed)).is_none();
            self.beat(index, seed, whole, true);
        }
        self.push_at(self.now + HEARTBEAT, index, Event::Tick);
    }

    fn beat(&mut self, from: usize, to: usize, whole: bool, introduce: bool) {
        let members = &mut self.nodes[from].members;
        let mut records = members.take_records(RECORDS, &mut self.random);
        if introduce {
            records.push(members.local().clone());
        }
        records.extend(members.doubted(&name(to)));
        self.send(from, to, Message::Heartbeat { members: records, whole }, self.now);
    }

    fn observe(&mut self, index: usize) -> Vec<OwnershipAction> {
        let now = self.now;
        let node = &mut self.nodes[index];
        if !node.ownership.stood_still(now) {
            node.members.advance(now);
        }
        node.ownership.observe(&mut node.members, &self.catalog, now)
    }

    fn carry_out(&mut self, index: usize, actions: Vec<OwnershipAction>) {
        for action in actions {
            match action {
                OwnershipAction::Ask { member, endpoints } => {
                    let Some(to) = self.position(&member.node) else { continue };
                    let member = self.nodes[index].members.local().clone();
                    self.send(index, to, Message::Question { member, endpoints }, self.now);
                }
                OwnershipAction::ReadFence { endpoint } => {
                    let place = self.catalog.endpoints().position(|entry| entry.name == endpoint);
                    let fence = self.fences[place.expect("declared")];
                    self.nodes[index].ownership.learn(&endpoint, fence, 0, self.now);
                }
                OwnershipAction::Notify { node, endpoint } => {
                    let Some(to) = self.position(&node) else { continue };
                    let next = self.instance(to);
                    let node = &self.nodes[index];
                    let release = node.ownership.release_record(&node.members, &endpoint, &next);
                    let releases = vec![release];
                    let members = node.members.records_for(&releases);
                    self.send(index, to, Message::Notice { members, releases }, self.now);
                }
            }
        }
    }

    fn call_endpoints(&mut self, index: usize) {
        for (place, endpoint) in self.endpoints().into_iter().enumerate() {
            let Some(fence) = self.nodes[index].ownership.permit(&endpoint, self.now) else {
                continue;
            };
            if fence < self.fences[place] && self.checks_fence {
                self.nodes[index].ownership.lose(&endpoint, self.now);
            }
            self.fences[place] = self.fences[place].max(fence);
        }
    }

    fn position(&self, node: &ids::NodeId) -> Option<usize> {
        (0..self.nodes.len()).find(|index| name(*index) == *node)
    }

    fn instance(&self, index: usize) -> membership::MemberInstance {
        membership::MemberInstance { node: name(index), start: self.nodes[index].start }
    }

    fn merge(
        &mut self,
        index: usize,
        header: &types::PeerHeader,
        records: Vec<types::MemberRecord>,
    ) {
        let now = self.now;
        let members = &mut self.nodes[index].members;
        let version = members.version();
        for record in records {
            members.merge(record, now);
        }
        members.contact(header, now);
        if members.version() != version {
            let actions = self.observe(index);
            self.carry_out(index, actions);
        }
    }

    fn arrive(
        &mut self,
        index: usize,
        from: usize,
        header: &types::PeerHeader,
        message: Message,
        sent: time::Instant,
    ) {
        match message {
            Message::Heartbeat { members, whole } => {
                self.merge(index, header, members);
                let table = &mut self.nodes[index].members;
                let doubt = table.doubt(header);
                let mut members = if whole {
                    table.whole()
                } else {
                    table.take_records(RECORDS, &mut self.random)
                };
                members.extend(doubt);
                self.send(index, from, Message::Beaten { members, whole }, sent);
            }
            Message::Beaten { members, whole } => {
                if self.now - sent > ANSWER_LIMIT {
                    return;
                }
                let node = &mut self.nodes[index];
                if node.members.is_doubted_by(&members) {
                    node.ownership.doubt(self.now);
                } else {
                    node.ownership.confirm(sent, self.now);
                }
                self.merge(index, header, members);
                let others = self.nodes.len() - 1;
                let node = &mut self.nodes[index];
                if whole {
                    node.answered.insert(from);
                }
                if node.answered.len() == others {
                    node.ownership.set_seeds(contact::SeedContact::Answered);
                }
            }
            Message::Question { member, endpoints } => {
                self.merge(index, header, vec![member]);
                let asker = membership::MemberInstance::sender(header);
                let node = &mut self.nodes[index];
                let releases = node.ownership.answer(&node.members, &asker, &endpoints);
                let members = node.members.records_for(&releases);
                self.send(index, from, Message::Notice { members, releases }, sent);
            }
            Message::Notice { members, releases } => {
                self.merge(index, header, members);
                let from = membership::MemberInstance::sender(header);
                self.nodes[index].ownership.accept(&from, &releases, self.now);
                let actions = self.observe(index);
                self.carry_out(index, actions);
                // The number read from the endpoint ends the wait.
                self.observe(index);
            }
        }
    }

    fn reaches(&mut self, from: usize, to: usize) -> bool {
        let lost = self.loss > 0.0 && self.random.random_bool((self.loss * 2.0).min(1.0));
        !lost && !self.cut[from][to] && !self.cut[to][from] && self.is_running(to)
    }

    fn end_probe(&mut self, index: usize, target: &membership::ProbeTarget, sent: time::Instant) {
        let to = usize::from(target.address.port()) - 1;
        if self.nodes[index]
            .members
            .entry(&target.instance.node)
            .is_some_and(|entry| entry.heard() >= sent)
        {
            return;
        }
        if !self.nodes[to].up && !self.cut[index][to] && !self.cut[to][index] {
            self.nodes[index].members.note_refused(&target.instance);
        }
        let helpers =
            self.nodes[index].members.helpers(&target.instance.node, HELPERS, &mut self.random);
        let mut reached = false;
        for helper in helpers {
            let helper = usize::from(helper.address.port()) - 1;
            if !self.reaches(index, helper) {
                continue;
            }
            let header = self.header(index);
            if self.nodes[helper].members.doubt(&header).is_none() {
                self.nodes[index].ownership.confirm(self.now, self.now);
            }
            reached |= self.reaches(helper, to);
        }
        if !reached {
            let now = self.now;
            self.nodes[index].members.suspect(&target.instance, now);
        }
    }
}
