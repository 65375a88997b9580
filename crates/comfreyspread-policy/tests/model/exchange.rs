//! Actions of a simulated node at each heartbeat and for each message.

use super::{
    ANSWER_TIMEOUT, Contact, Event, HEARTBEAT, INDIRECT_PROBES, Message, Model,
    RECORDS_PER_MESSAGE, name,
};
use comfreyspread_policy::{connectivity, member, ownership_action, prober_health};
use comfreyspread_schema::{ids, types};
use rand::Rng as _;
use std::time;

impl Model {
    pub(super) fn tick(&mut self, index: usize) {
        let actions = self.reconcile(index);
        self.carry_out(index, actions);
        self.call_endpoints(index);
        let node = &mut self.nodes[index];
        let isolated =
            matches!(node.ownership.connectivity(), connectivity::PeerConnectivity::Isolated(_));
        for _ in 0..if isolated { 4 } else { 1 } {
            let Some(target) = self.nodes[index].members.next_probe(&mut self.random) else {
                break;
            };
            let to = usize::from(target.address.port()) - 1;
            self.send_heartbeat(index, to, Contact::Probe);
            let event = Event::ProbeEnd { target, sent: self.now };
            self.push_at(self.now + ANSWER_TIMEOUT, index, event);
        }
        let unsettled = !self.nodes[index].ownership.is_startup_over(self.now);
        for seed in (0..self.nodes.len()).filter(|_| unsettled) {
            self.send_heartbeat(index, seed, Contact::FullSync);
        }
        let refuses = |other: &usize| {
            !self.nodes[*other].up && !self.cut[index][*other] && !self.cut[*other][index]
        };
        let answered = &self.nodes[index].answered;
        let replied = |other: &usize| *other == index || answered.contains(other) || refuses(other);
        if unsettled && (0..self.nodes.len()).all(|other| replied(&other)) {
            self.nodes[index].ownership.set_seed_status(connectivity::SeedStatus::Refused);
        }
        if self.nodes[index].members.live().count() == 1 || self.random.random_ratio(1, 20) {
            let seed = self.random.random_range(0..self.nodes.len());
            self.send_heartbeat(index, seed, Contact::FullSync);
        }
        self.push_at(self.now + HEARTBEAT, index, Event::Tick);
    }

    pub(super) fn send_heartbeat(&mut self, from: usize, to: usize, kind: Contact) {
        let members = &mut self.nodes[from].members;
        let mut records = members.gossip_records(RECORDS_PER_MESSAGE);
        records.extend(members.suspicion_of(&name(to)));
        let digest = members.digest().into_buckets();
        let message = Message::Heartbeat { members: records, digest, kind };
        self.send(from, to, message, self.now);
    }

    pub(super) fn reconcile(&mut self, index: usize) -> Vec<ownership_action::OwnershipAction> {
        let now = self.now;
        let node = &mut self.nodes[index];
        if !node.ownership.has_stalled(now) {
            node.members.advance(now);
        }
        node.ownership.reconcile(&mut node.members, &self.catalog, now)
    }

    pub(super) fn carry_out(
        &mut self,
        index: usize,
        actions: Vec<ownership_action::OwnershipAction>,
    ) {
        for action in actions {
            match action {
                ownership_action::OwnershipAction::RequestRelease { member, endpoints } => {
                    let Some(to) = self.position(&member.node) else { continue };
                    let member = self.nodes[index].members.local().clone();
                    self.send(index, to, Message::ReleaseRequest { member, endpoints }, self.now);
                }
                ownership_action::OwnershipAction::ReadFence { endpoint } => {
                    let position =
                        self.catalog.endpoints().position(|entry| entry.name == endpoint);
                    let fence = self.fences[position.expect("declared")];
                    self.nodes[index]
                        .ownership
                        .record_endpoint_fence(&endpoint, fence, 0, self.now);
                }
                ownership_action::OwnershipAction::NotifyRelease { node, endpoint } => {
                    let Some(to) = self.position(&node) else { continue };
                    let next = self.instance(to);
                    let node = &self.nodes[index];
                    let release = node.ownership.release_record(&node.members, &endpoint, &next);
                    let releases = vec![release];
                    let members = node.members.records_for(&releases);
                    self.send(index, to, Message::ReleaseNotice { members, releases }, self.now);
                }
            }
        }
    }

    fn call_endpoints(&mut self, index: usize) {
        for (position, endpoint) in self.endpoints().into_iter().enumerate() {
            let Some(fence) = self.nodes[index].ownership.fencing_token(&endpoint, self.now) else {
                continue;
            };
            if fence < self.fences[position] && self.checks_fence {
                self.nodes[index].ownership.lose(&endpoint, self.now);
            }
            self.fences[position] = self.fences[position].max(fence);
        }
    }

    fn position(&self, node: &ids::NodeId) -> Option<usize> {
        (0..self.nodes.len()).find(|index| name(*index) == *node)
    }

    fn instance(&self, index: usize) -> member::MemberInstance {
        member::MemberInstance { node: name(index), start_id: self.nodes[index].start_id }
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
        members.record_message(header, now);
        if members.version() != version {
            let actions = self.reconcile(index);
            self.carry_out(index, actions);
        }
    }

    pub(super) fn arrive(
        &mut self,
        index: usize,
        from: usize,
        header: &types::PeerHeader,
        message: Message,
        sent: time::Instant,
    ) {
        match message {
            Message::Heartbeat { members, digest, kind } => {
                self.merge(index, header, members);
                let members_table = &mut self.nodes[index].members;
                let suspicion = members_table.suspicion_of_sender(header);
                let mut members = if kind == Contact::FullSync {
                    members_table.snapshot(&mut self.random).records
                } else {
                    members_table.gossip_records(RECORDS_PER_MESSAGE)
                };
                members.extend(suspicion);
                let table = &self.nodes[index].members;
                let repairs = table.repair_records(&digest, self.now, &mut self.random);
                let reply = Message::HeartbeatReply { members, repairs, kind };
                self.send(index, from, reply, sent);
            }
            Message::HeartbeatReply { members, repairs, kind } => {
                if self.now - sent > ANSWER_TIMEOUT {
                    return;
                }
                let node = &mut self.nodes[index];
                let suspected = node.members.is_suspected_by(&members);
                if suspected {
                    node.ownership.record_suspicion(self.now);
                } else {
                    node.ownership.renew_lease(sent, self.now);
                }
                self.nodes[index].members.merge_repairs(repairs, self.now);
                self.merge(index, header, members);
                let others = self.nodes.len() - 1;
                let node = &mut self.nodes[index];
                if kind == Contact::FullSync {
                    node.answered.insert(from);
                }
                if node.answered.len() == others {
                    node.ownership.set_seed_status(connectivity::SeedStatus::Answered);
                }
                let disputed = suspected || node.members.is_disputed(&header.node);
                if disputed && kind != Contact::Dispute {
                    self.send_heartbeat(index, from, Contact::Dispute);
                }
            }
            Message::ReleaseRequest { member, endpoints } => {
                self.merge(index, header, vec![member]);
                let requester = member::MemberInstance::from_header(header);
                let node = &mut self.nodes[index];
                let releases =
                    node.ownership.answer_requests(&node.members, &requester, &endpoints);
                let members = node.members.records_for(&releases);
                self.send(index, from, Message::ReleaseNotice { members, releases }, sent);
            }
            Message::ReleaseNotice { members, releases } => {
                self.merge(index, header, members);
                let from = member::MemberInstance::from_header(header);
                self.nodes[index].ownership.accept_releases(&from, &releases, self.now);
                let actions = self.reconcile(index);
                self.carry_out(index, actions);
                // The fencing token read by the actions may end the wait.
                self.reconcile(index);
            }
        }
    }

    fn reaches(&mut self, from: usize, to: usize) -> bool {
        let lost = self.loss > 0.0 && self.random.random_bool((self.loss * 2.0).min(1.0));
        !lost && !self.cut[from][to] && !self.cut[to][from] && self.is_running(to)
    }

    pub(super) fn end_probe(
        &mut self,
        index: usize,
        target: &member::ProbeTarget,
        sent: time::Instant,
    ) {
        let to = usize::from(target.address.port()) - 1;
        if self.nodes[index]
            .members
            .entry(&target.instance.node)
            .is_some_and(|entry| entry.last_heard() >= sent)
        {
            return;
        }
        if !self.nodes[to].up && !self.cut[index][to] && !self.cut[to][index] {
            self.nodes[index].members.record_connection_refused(&target.instance);
        }
        let peers = self.nodes[index].members.random_peers(
            &target.instance.node,
            INDIRECT_PROBES,
            &mut self.random,
        );
        let mut reached = false;
        for peer in peers {
            let peer = usize::from(peer.address.port()) - 1;
            if !self.reaches(index, peer) {
                continue;
            }
            let header = self.header(index);
            if self.nodes[peer].members.suspicion_of_sender(&header).is_none() {
                self.nodes[index].ownership.renew_lease(self.now, self.now);
            }
            reached |= self.reaches(peer, to);
        }
        if !reached {
            let now = self.now;
            let outcome = prober_health::ProbeOutcome::Unreachable;
            self.nodes[index].members.record_probe(&target.instance, outcome, now);
        }
    }
}
