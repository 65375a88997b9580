//! Heartbeats of a simulated node: its probes, direct and through others, and its replies.

use super::{Event, Fleet, HEARTBEAT, Message, SEEDS, SUSPECT_TIMEOUT, name, position};
use comfreyspread_policy::{member, prober_health};
use comfreyspread_schema::types;
use indexmap::IndexMap;
use std::time;

/// Bytes of one number of a digest.
const BUCKET_BYTES: u64 = 5;
const RECORDS_PER_MESSAGE: usize = 4;
const INDIRECT_PROBES: usize = 3;
const STARTUP: time::Duration = time::Duration::from_millis(3000);
const SERVING_AFTER: time::Duration = time::Duration::from_millis(2500);

/// A probe that has not ended.
#[derive(Clone, Debug)]
pub struct OpenProbe {
    target: member::ProbeTarget,
    direct: bool,
    reached: bool,
    replies: usize,
    relays: usize,
    requester: Option<(usize, u64)>,
}

/// What a request asks of its receiver.
#[derive(Debug, Default)]
struct Asked {
    digest: Vec<u32>,
    full_sync: bool,
}

/// Probes of a node and the seeds that answered it.
#[derive(Debug, Default)]
pub struct HeartbeatState {
    probes: IndexMap<u64, OpenProbe>,
    last_probe: u64,
    answered_seeds: Vec<usize>,
}

/// Returns the records in a request, and the bytes of its digest.
pub fn request_size(heartbeat: &types::Heartbeat) -> (u64, u64) {
    (heartbeat.members.len() as u64, BUCKET_BYTES * heartbeat.digest.len() as u64)
}

/// Returns the records in a reply, which has no digest.
pub fn reply_size(reply: &types::HeartbeatReply) -> (u64, u64) {
    ((reply.members.len() + reply.repairs.len()) as u64, 0)
}

impl Fleet {
    fn header(&self, index: usize) -> types::PeerHeader {
        let start_id = self.nodes[index].start_id;
        types::PeerHeader { node: name(index), protocol: 1, revision: 1, start_id }
    }

    fn heartbeat(&mut self, index: usize) -> types::Heartbeat {
        let header = self.header(index);
        let members = &mut self.nodes[index].members;
        types::Heartbeat {
            header,
            hints: Vec::new(),
            members: members.gossip_records(RECORDS_PER_MESSAGE),
            crash_suspects: Vec::new(),
            part_suspects: Vec::new(),
            digest: Vec::new(),
            indirect_probe_target: None,
            full_sync: false,
        }
    }

    pub(super) fn tick(&mut self, index: usize) {
        let now = self.now;
        self.advance(index);
        self.nodes[index].round += 1;
        if HEARTBEAT * u32::try_from(self.nodes[index].round).unwrap_or(0) > SERVING_AFTER {
            self.nodes[index].members.set_node_phase(types::NodePhase::Serving);
        }
        let startup = HEARTBEAT * u32::try_from(self.nodes[index].round).unwrap_or(0) < STARTUP;
        for _ in 0..self.nodes[index].members.probe_count(now) {
            let target = self.nodes[index].members.next_probe(&mut self.random);
            if let Some(target) = target {
                self.probe(index, target, None);
            }
        }
        for seed in (0..SEEDS).filter(|seed| startup && *seed != index) {
            if !self.nodes[index].heartbeats.answered_seeds.contains(&seed) {
                let mut heartbeat = self.heartbeat(index);
                heartbeat.full_sync = true;
                self.send(index, seed, Message::Request { heartbeat, probe: 0 });
            }
        }
        self.push(now + HEARTBEAT, index, Event::Tick);
    }

    fn advance(&mut self, index: usize) {
        let now = self.now;
        for failed in self.nodes[index].members.advance(now) {
            self.failures.push((now, index, position(&failed)));
        }
    }

    fn probe(
        &mut self,
        index: usize,
        target: member::ProbeTarget,
        requester: Option<(usize, u64)>,
    ) {
        let state = &mut self.nodes[index].heartbeats;
        state.last_probe += 1;
        let probe = state.last_probe;
        let to = position(&target.instance.node);
        let open = OpenProbe {
            target: target.clone(),
            direct: true,
            reached: false,
            replies: 0,
            relays: 0,
            requester,
        };
        state.probes.insert(probe, open);
        let mut heartbeat = self.heartbeat(index);
        let members = &self.nodes[index].members;
        heartbeat.members.extend(members.suspicion_of(&target.instance.node));
        heartbeat.digest = members.digest().into_buckets();
        let timeout = SUSPECT_TIMEOUT / 3 * members.probe_timeout_factor();
        self.send(index, to, Message::Request { heartbeat, probe });
        self.push(self.now + timeout, index, Event::DirectTimeout { probe });
    }

    pub(super) fn direct_timeout(&mut self, index: usize, probe: u64) {
        let Some(open) = self.nodes[index].heartbeats.probes.get(&probe).cloned() else { return };
        if let Some((requester, their_probe)) = open.requester {
            self.nodes[index].heartbeats.probes.swap_remove(&probe);
            self.reply_to(index, requester, their_probe, &Asked::default(), false);
            return;
        }
        let target = open.target.instance.node.clone();
        let members = &self.nodes[index].members;
        let relays = members.random_peers(&target, INDIRECT_PROBES, &mut self.random);
        if let Some(open) = self.nodes[index].heartbeats.probes.get_mut(&probe) {
            open.direct = false;
            open.relays = relays.len();
        }
        for relay in relays {
            let mut heartbeat = self.heartbeat(index);
            heartbeat.indirect_probe_target = Some(target.clone());
            let to = position(&relay.instance.node);
            self.send(index, to, Message::Request { heartbeat, probe });
        }
        let rest = SUSPECT_TIMEOUT - SUSPECT_TIMEOUT / 3;
        let rest = rest * self.nodes[index].members.probe_timeout_factor();
        self.push(self.now + rest, index, Event::ProbeEnd { probe });
    }

    pub(super) fn end_probe(&mut self, index: usize, probe: u64) {
        let open = self.nodes[index].heartbeats.probes.swap_remove(&probe);
        let Some(open) = open else { return };
        let outcome = if open.reached {
            prober_health::ProbeOutcome::ReachedIndirectly
        } else if open.replies == 0 && open.relays > 0 {
            prober_health::ProbeOutcome::Silence
        } else {
            prober_health::ProbeOutcome::Unreachable
        };
        self.end(index, &open.target, outcome);
    }

    fn end(
        &mut self,
        index: usize,
        target: &member::ProbeTarget,
        outcome: prober_health::ProbeOutcome,
    ) {
        let now = self.now;
        if self.nodes[index].members.record_probe(&target.instance, outcome, now) {
            self.suspicions += 1;
        }
    }

    fn merge(
        &mut self,
        index: usize,
        header: &types::PeerHeader,
        records: Vec<types::MemberRecord>,
    ) {
        let now = self.now;
        let members = &mut self.nodes[index].members;
        for record in records {
            members.merge(record, now);
        }
        members.record_message(header, now);
    }

    pub(super) fn arrive(&mut self, index: usize, from: usize, message: Message) {
        match message {
            Message::Request { heartbeat, probe } => {
                self.merge(index, &heartbeat.header, heartbeat.members);
                if let Some(node) = &heartbeat.indirect_probe_target {
                    let entry = self.nodes[index].members.entry(node);
                    let target = entry.map(|entry| member::ProbeTarget::new(entry.record()));
                    match target {
                        Some(target) => self.probe(index, target, Some((from, probe))),
                        None => self.reply_to(index, from, probe, &Asked::default(), false),
                    }
                    return;
                }
                let asked = Asked { digest: heartbeat.digest, full_sync: heartbeat.full_sync };
                self.reply_to(index, from, probe, &asked, false);
            }
            Message::Reply { reply, probe } => self.accept(index, from, reply, probe),
        }
    }

    fn reply_to(&mut self, index: usize, to: usize, probe: u64, asked: &Asked, reached: bool) {
        let sender = self.header(to);
        let header = self.header(index);
        let members = &mut self.nodes[index].members;
        let suspicion = members.suspicion_of_sender(&sender);
        let (mut records, partial) = if asked.full_sync {
            let snapshot = members.snapshot(&mut self.random);
            (snapshot.records, snapshot.partial)
        } else {
            (members.gossip_records(RECORDS_PER_MESSAGE), false)
        };
        let repairs = members.repair_records(&asked.digest, self.now, &mut self.random);
        records.extend(suspicion);
        let reply = types::HeartbeatReply {
            header,
            hints: Vec::new(),
            members: records,
            partial,
            repairs,
            indirect_probe_reached: reached,
            crash_suspects: Vec::new(),
            part_suspects: Vec::new(),
        };
        self.send(index, to, Message::Reply { reply, probe });
    }

    fn accept(&mut self, index: usize, from: usize, reply: types::HeartbeatReply, probe: u64) {
        let reached = reply.indirect_probe_reached;
        let snapshot = if probe == 0 { reply.members.clone() } else { Vec::new() };
        let repairs = reply.repairs.into_iter().chain(snapshot).collect();
        self.nodes[index].members.merge_repairs(repairs, self.now);
        self.merge(index, &reply.header, reply.members);
        let state = &mut self.nodes[index].heartbeats;
        if probe == 0 {
            state.answered_seeds.push(from);
            return;
        }
        let Some(open) = state.probes.get_mut(&probe) else { return };
        if open.direct {
            let requester = open.requester;
            let target = open.target.clone();
            state.probes.swap_remove(&probe);
            self.end(index, &target, prober_health::ProbeOutcome::Answered);
            if let Some((requester, their_probe)) = requester {
                self.reply_to(index, requester, their_probe, &Asked::default(), true);
            }
            return;
        }
        open.replies += 1;
        open.reached |= reached;
    }
}
