//! Membership of nodes: which are alive, suspected, failed or gone.
//!
//! Each node keeps one record for every node it knows of. A record is ordered by its incarnation,
//! which only the node it describes raises, and then by its phase. A suspicion spreads with the
//! incarnation it doubts; the suspected node refutes it by raising its incarnation. A node that
//! started again under the same name has another start id and refutes the record of its
//! predecessor in the same way.
//!
//! A failure is never taken over from another node: a record that arrives as failed counts as
//! suspect, and each node concludes the failure by itself once the lapse has passed in which the
//! member could have refuted. So a node whose view is wrong cannot spread it in one step.
//!
//! Work per heartbeat does not depend on the number of nodes, except for scans of the local table.

use crate::member;
use comfreyspread_schema::{ids, types};
use indexmap::IndexMap;
use rand::seq::SliceRandom as _;
use std::{net, time};

/// Times a record is passed on, for each doubling of the number of members.
const SENDS_PER_DOUBLING: u32 = 3;

/// Times that govern the phases of members.
#[derive(Clone, Copy, Debug)]
pub struct MemberTimeouts {
    /// Time from a suspicion to the conclusion that the member failed.
    pub failure: time::Duration,
    /// Time after which a member that failed or left is forgotten.
    pub retention: time::Duration,
}

/// The members known to one node.
#[derive(Debug)]
pub struct MemberTable {
    local: types::MemberRecord,
    local_sends: u32,
    timeouts: MemberTimeouts,
    entries: IndexMap<ids::NodeId, member::MemberEntry>,
    near: Vec<ids::NodeId>,
    far: Vec<ids::NodeId>,
    near_next: bool,
    predecessor: Option<time::Instant>,
    version: u64,
}

impl MemberTable {
    /// Creates the table of a node that knows only itself.
    pub fn new(local: types::MemberRecord, timeouts: MemberTimeouts) -> Self {
        Self {
            local,
            local_sends: 0,
            timeouts,
            entries: IndexMap::new(),
            near: Vec::new(),
            far: Vec::new(),
            near_next: true,
            predecessor: None,
            version: 1,
        }
    }

    /// Returns the record of this node.
    pub fn local(&self) -> &types::MemberRecord {
        &self.local
    }

    /// Returns what is known of another node.
    pub fn entry(&self, node: &ids::NodeId) -> Option<&member::MemberEntry> {
        self.entries.get(node)
    }

    /// Returns all other nodes known, gone ones included.
    pub fn entries(&self) -> impl Iterator<Item = &member::MemberEntry> {
        self.entries.values()
    }

    /// Returns the records of the nodes that may be running, this one included.
    pub fn live(&self) -> impl Iterator<Item = &types::MemberRecord> {
        let others = self.entries.values().map(member::MemberEntry::record);
        std::iter::once(&self.local).chain(others).filter(|record| member::is_live(record.phase))
    }

    /// Returns the instance of another node that may be running.
    pub fn live_instance(&self, node: &ids::NodeId) -> Option<member::MemberInstance> {
        let entry = self.entries.get(node).filter(|entry| entry.is_live())?;
        Some(member::MemberInstance::new(&entry.record))
    }

    /// Whether an instance of another node may be running.
    pub fn is_live(&self, instance: &member::MemberInstance) -> bool {
        self.live_instance(&instance.node).is_some_and(|live| live == *instance)
    }

    /// Returns the records of this node and of those that `releases` name.
    pub fn records_for(&self, releases: &[types::ReleaseRecord]) -> Vec<types::MemberRecord> {
        let named = releases.iter().flat_map(|release| &release.blockers);
        let nodes: indexmap::IndexSet<_> = named.map(|name| &name.node).collect();
        let entries = nodes.into_iter().filter_map(|node| self.entries.get(node));
        let others = entries.map(|entry| entry.record.clone());
        std::iter::once(self.local.clone()).chain(others).collect()
    }

    /// Returns the peer address of a node.
    pub fn address_of(&self, node: &ids::NodeId) -> Option<net::SocketAddr> {
        if *node == self.local.node {
            return Some(self.local.address);
        }
        self.entries.get(node).map(|entry| entry.record.address)
    }

    /// Returns a number that changes with everything that ownership depends on.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns when an earlier instance of this node was learnt of that had not left.
    pub fn predecessor(&self) -> Option<time::Instant> {
        self.predecessor
    }

    /// Whether other nodes may be running that do not refuse connections.
    pub fn has_peers(&self) -> bool {
        self.entries.values().any(|entry| entry.is_live() && !entry.refuses_connections)
    }

    /// Whether a member is known to have failed without its address refusing connections.
    pub fn has_silent_failures(&self) -> bool {
        let failed = |entry: &member::MemberEntry| entry.record.phase == types::MemberPhase::Failed;
        self.entries.values().any(|entry| failed(entry) && !entry.refuses_connections)
    }

    /// Sets the phase of this node's life.
    pub fn set_node_phase(&mut self, phase: types::NodePhase) {
        if self.local.node_phase != phase {
            self.local.node_phase = phase;
            self.note_local_change();
        }
    }

    /// Sets the revision in force at this node; it spreads with the headers of messages.
    pub fn set_revision(&mut self, revision: ids::RevisionNumber) {
        self.local.revision = revision;
    }

    /// Marks this node as having left for good.
    pub fn leave(&mut self) {
        self.local.phase = types::MemberPhase::Left;
        self.note_local_change();
    }

    /// Takes in a record from another node; returns whether anything changed.
    pub fn merge(&mut self, record: types::MemberRecord, now: time::Instant) -> bool {
        if record.node == self.local.node {
            return self.merge_local(&record, now);
        }
        let record = without_conclusion(record);
        let Some(entry) = self.entries.get_mut(&record.node) else {
            if record.phase == types::MemberPhase::Left {
                return false;
            }
            self.version += 1;
            self.entries.insert(record.node.clone(), member::MemberEntry::new(record, now));
            return true;
        };
        if supersedes(&record, &entry.record) {
            let last_heard = entry.last_heard;
            *entry = member::MemberEntry { last_heard, ..member::MemberEntry::new(record, now) };
            self.version += 1;
            return true;
        }
        self.merge_progress(&record)
    }

    /// Takes note of a message that came from a member itself.
    pub fn note_heard(&mut self, header: &types::PeerHeader, now: time::Instant) {
        let Some(entry) = self.entries.get_mut(&header.node) else { return };
        if entry.record.start == header.start {
            entry.last_heard = now;
            entry.refuses_connections = false;
            entry.record.revision = entry.record.revision.max(header.revision);
        }
    }

    /// Takes note that a member's address refuses connections.
    pub fn note_refused(&mut self, instance: &member::MemberInstance) {
        if let Some(entry) = self.entries.get_mut(&instance.node)
            && entry.record.start == instance.start
        {
            entry.refuses_connections = true;
        }
    }

    /// Suspects a member that neither this node nor its helpers could reach.
    pub fn suspect(&mut self, instance: &member::MemberInstance, now: time::Instant) -> bool {
        let Some(entry) = self.entries.get_mut(&instance.node) else { return false };
        let alive = entry.record.phase == types::MemberPhase::Alive;
        if !alive || entry.record.start != instance.start {
            return false;
        }
        entry.set_phase(types::MemberPhase::Suspect, now);
        true
    }

    /// Concludes failures and forgets members gone for long; returns the nodes that failed.
    pub fn advance(&mut self, now: time::Instant) -> Vec<ids::NodeId> {
        let timeouts = self.timeouts;
        let mut failed = Vec::new();
        for entry in self.entries.values_mut() {
            let lapsed = now.saturating_duration_since(entry.phase_since) >= timeouts.failure;
            if entry.record.phase == types::MemberPhase::Suspect && lapsed {
                entry.set_phase(types::MemberPhase::Failed, now);
                failed.push(entry.record.node.clone());
            }
        }
        let kept = self.entries.len();
        self.entries.retain(|_, entry| {
            entry.is_live() || now.saturating_duration_since(entry.phase_since) < timeouts.retention
        });
        if !failed.is_empty() || kept != self.entries.len() {
            self.version += 1;
        }
        failed
    }

    /// Starts suspicions afresh, and reopens failures concluded after `from`, when this node has
    /// been out of contact or stood still since then and so could not hear any refutation.
    pub fn restart_suspicions(&mut self, from: time::Instant, now: time::Instant) {
        for entry in self.entries.values_mut() {
            let reopened = match entry.record.phase {
                types::MemberPhase::Suspect => true,
                types::MemberPhase::Failed => entry.phase_since >= from,
                types::MemberPhase::Alive | types::MemberPhase::Left => false,
            };
            if reopened {
                entry.set_phase(types::MemberPhase::Suspect, now);
            }
        }
        self.version += 1;
    }

    /// Returns the record of a member that has to refute it, to be sent along with a probe.
    pub fn suspicion_of(&self, node: &ids::NodeId) -> Option<types::MemberRecord> {
        let record = &self.entries.get(node)?.record;
        (record.phase != types::MemberPhase::Alive).then(|| record.clone())
    }

    /// Returns the member to be probed next, by turns from this zone and from elsewhere.
    pub fn next_probe<Random>(&mut self, random: &mut Random) -> Option<member::ProbeTarget>
    where
        Random: rand::Rng,
    {
        let near = self.near_next;
        self.near_next = !near;
        self.take_probe(near, random).or_else(|| self.take_probe(!near, random))
    }

    /// Returns up to `count` members that may reach `target` for this node.
    pub fn random_peers<Random>(
        &self,
        target: &ids::NodeId,
        count: usize,
        random: &mut Random,
    ) -> Vec<member::ProbeTarget>
    where
        Random: rand::Rng,
    {
        let alive = |record: &&types::MemberRecord| record.phase == types::MemberPhase::Alive;
        let records = self.entries.values().map(member::MemberEntry::record).filter(alive);
        let mut helpers: Vec<_> =
            records.filter(|record| record.node != *target).map(member::ProbeTarget::new).collect();
        let (chosen, _) = helpers.partial_shuffle(random, count);
        chosen.to_vec()
    }

    /// Returns up to `limit` recent changes and one sampled record for a message.
    pub fn gossip_records<Random>(
        &mut self,
        limit: usize,
        random: &mut Random,
    ) -> Vec<types::MemberRecord>
    where
        Random: rand::Rng,
    {
        let sends = self.sends_per_record();
        let mut records = Vec::with_capacity(limit + 1);
        if self.local_sends < sends {
            self.local_sends += 1;
            records.push(self.local.clone());
        }
        let mut recent: Vec<_> =
            self.entries.values_mut().filter(|entry| entry.sends < sends).collect();
        recent.sort_by_key(|entry| entry.sends);
        for entry in recent.into_iter().take(limit.saturating_sub(records.len())) {
            entry.sends += 1;
            records.push(entry.record.clone());
        }
        records.extend(self.sample(random));
        records
    }

    /// Returns the records that a joining node needs.
    pub fn snapshot(&self) -> Vec<types::MemberRecord> {
        self.live().cloned().collect()
    }

    /// Whether records from a peer show that it does not hold this instance alive.
    pub fn is_suspected_by(&self, records: &[types::MemberRecord]) -> bool {
        let mut own = records.iter().filter(|record| record.node == self.local.node);
        let phase = self.local.phase;
        own.any(|record| record.start != self.local.start || record.phase > phase)
    }

    /// Returns this node's record of a sender that has to refute it: the sender is not held alive
    /// or has another start id.
    pub fn suspicion_of_sender(&self, header: &types::PeerHeader) -> Option<types::MemberRecord> {
        let record = &self.entries.get(&header.node)?.record;
        let same = record.start == header.start;
        (!same || record.phase != types::MemberPhase::Alive).then(|| record.clone())
    }

    fn merge_local(&mut self, record: &types::MemberRecord, now: time::Instant) -> bool {
        let predecessor = record.start != self.local.start;
        if predecessor && record.phase != types::MemberPhase::Left {
            self.predecessor.get_or_insert(now);
        }
        let doubted = predecessor || record.phase != types::MemberPhase::Alive;
        let leaving = self.local.phase == types::MemberPhase::Left;
        if leaving || !doubted || record.incarnation < self.local.incarnation {
            return false;
        }
        self.local.incarnation = record.incarnation + 1;
        self.note_local_change();
        true
    }

    /// Takes over what only grows within one instance: the node's phase and its revision.
    fn merge_progress(&mut self, record: &types::MemberRecord) -> bool {
        let Some(entry) = self.entries.get_mut(&record.node) else { return false };
        if entry.record.start != record.start {
            return false;
        }
        entry.record.revision = entry.record.revision.max(record.revision);
        if entry.record.node_phase >= record.node_phase {
            return false;
        }
        entry.record.node_phase = record.node_phase;
        entry.sends = 0;
        self.version += 1;
        true
    }

    fn note_local_change(&mut self) {
        self.local_sends = 0;
        self.version += 1;
    }

    fn take_probe<Random>(&mut self, near: bool, random: &mut Random) -> Option<member::ProbeTarget>
    where
        Random: rand::Rng,
    {
        let mut ring = std::mem::take(if near { &mut self.near } else { &mut self.far });
        let mut target = self.pop_live(&mut ring);
        if target.is_none() {
            ring = self.fill_ring(near, random);
            target = self.pop_live(&mut ring);
        }
        *(if near { &mut self.near } else { &mut self.far }) = ring;
        target
    }

    fn fill_ring<Random>(&self, near: bool, random: &mut Random) -> Vec<ids::NodeId>
    where
        Random: rand::Rng,
    {
        let live = self.entries.values().filter(|entry| entry.is_live());
        let side = live.filter(|entry| (entry.record.zone == self.local.zone) == near);
        let mut ring: Vec<_> = side.map(|entry| entry.record.node.clone()).collect();
        ring.shuffle(random);
        ring
    }

    fn pop_live(&self, ring: &mut Vec<ids::NodeId>) -> Option<member::ProbeTarget> {
        while let Some(node) = ring.pop() {
            if let Some(entry) = self.entries.get(&node).filter(|entry| entry.is_live()) {
                return Some(member::ProbeTarget::new(&entry.record));
            }
        }
        None
    }

    fn sample<Random>(&self, random: &mut Random) -> Option<types::MemberRecord>
    where
        Random: rand::Rng,
    {
        let index = random.random_range(0..=self.entries.len());
        let record = self.entries.get_index(index).map_or(&self.local, |(_, entry)| &entry.record);
        member::is_live(record.phase).then(|| record.clone())
    }

    fn sends_per_record(&self) -> u32 {
        let members = u32::try_from(self.entries.len() + 1).unwrap_or(u32::MAX);
        SENDS_PER_DOUBLING * (members.ilog2() + 1)
    }
}

/// Returns the record with a failure concluded elsewhere turned into a suspicion.
fn without_conclusion(record: types::MemberRecord) -> types::MemberRecord {
    match record.phase {
        types::MemberPhase::Failed => {
            types::MemberRecord { phase: types::MemberPhase::Suspect, ..record }
        }
        _ => record,
    }
}

fn supersedes(record: &types::MemberRecord, held: &types::MemberRecord) -> bool {
    (record.incarnation, record.phase, record.start) > (held.incarnation, held.phase, held.start)
}
