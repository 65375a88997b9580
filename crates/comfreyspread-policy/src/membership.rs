//! Membership of nodes, spread by gossip: which are alive, suspect, failed or have left.
//!
//! Each node keeps one record for every node it knows of. Records are ordered by incarnation, which
//! only the node described raises, and then by phase. A suspicion spreads with the incarnation that
//! it applies to; the suspected node refutes it by raising its incarnation. A node restarted under
//! the same name has another start id and refutes the record of its previous instance in the same
//! way.
//!
//! No node takes over a failure from another: a record that arrives as failed counts as suspect,
//! and each node declares the failure itself after the failure timeout, in which the member could
//! have refuted the suspicion. So a node with a wrong view cannot spread it in one step.
//!
//! Every message holds the sender's own record, so whoever exchanges a message with a member that it
//! wrongly suspects learns so at once. Other changes spread in a bounded number of records a message:
//! least sent first, then newest, so a refutation does not wait behind what most nodes know. What
//! gossip misses, and the tables of nodes that start or were cut off, are found by comparing digests
//! ([`member_dissemination`](crate::member_dissemination)); such records are not spread further, as the nodes around have them.
//!
//! A refutation takes longer to reach all members of a large fleet, so the time that a suspect has
//! grows with the logarithm of their number.
//!
//! The work per heartbeat does not depend on the number of nodes, except for scans of the local
//! table.

use crate::{member, probe_ring, prober_health};
use comfreyspread_schema::{ids, types};
use indexmap::IndexMap;
use rand::seq::SliceRandom as _;
use std::{net, time};

/// Members probed in one heartbeat period while tables differ.
const PROBES_WHILE_DIFFERING: usize = 4;
/// Time since a message repaired several records during which tables count as differing.
const REPAIR_WINDOW: time::Duration = time::Duration::from_secs(1);

/// Greatest incarnation of a record; one beyond it is malformed, and its member could not refute it.
const MAX_INCARNATION: u64 = u32::MAX as u64;

/// Timeouts that govern the phases of members.
#[derive(Clone, Copy, Debug)]
pub struct MemberTimeouts {
    /// Time from a suspicion until the member is declared failed, in a fleet of up to ten nodes. It
    /// grows with the decimal logarithm of the number of nodes.
    pub failure: time::Duration,
    /// Time after which a member that failed or left is removed.
    pub retention: time::Duration,
}

/// Members known to one node.
#[derive(Debug)]
pub struct MemberTable {
    pub(crate) local: types::MemberRecord,
    pub(crate) timeouts: MemberTimeouts,
    pub(crate) entries: IndexMap<ids::NodeId, member::MemberEntry>,
    ring: probe_ring::ProbeRing,
    health: prober_health::ProberHealth,
    pub(crate) repaired_at: Option<time::Instant>,
    predecessor_seen: Option<time::Instant>,
    version: u64,
}

impl MemberTable {
    /// Creates the table of a node that knows no other node.
    pub fn new(local: types::MemberRecord, timeouts: MemberTimeouts) -> Self {
        Self {
            local,
            timeouts,
            entries: IndexMap::new(),
            ring: probe_ring::ProbeRing::default(),
            health: prober_health::ProberHealth::default(),
            repaired_at: None,
            predecessor_seen: None,
            version: 1,
        }
    }

    /// Returns the record of this node.
    pub fn local(&self) -> &types::MemberRecord {
        &self.local
    }

    /// Returns the entry of another node.
    pub fn entry(&self, node: &ids::NodeId) -> Option<&member::MemberEntry> {
        self.entries.get(node)
    }

    /// Returns the entries of all other nodes, including those that failed or left.
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

    /// Returns the records of this node and of the possible owners named in `releases`.
    pub fn records_for(&self, releases: &[types::ReleaseRecord]) -> Vec<types::MemberRecord> {
        let named = releases.iter().flat_map(|release| &release.possible_owners);
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

    /// Returns a number that grows with each change that ownership depends on.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns when this node learned of a previous instance of itself that had not left.
    pub fn predecessor_seen(&self) -> Option<time::Instant> {
        self.predecessor_seen
    }

    /// Whether any other node may be running, apart from those that refuse connections.
    pub fn has_peers(&self) -> bool {
        self.entries.values().any(|entry| entry.is_live() && !entry.refuses_connections)
    }

    /// Whether any member failed whose address does not refuse connections. Such a member may
    /// still be running behind a network partition.
    pub fn has_silent_failures(&self) -> bool {
        let failed = |entry: &member::MemberEntry| entry.record.phase == types::MemberPhase::Failed;
        self.entries.values().any(|entry| failed(entry) && !entry.refuses_connections)
    }

    /// Sets the life cycle phase of this node.
    pub fn set_node_phase(&mut self, phase: types::NodePhase) {
        if self.local.node_phase != phase {
            self.local.node_phase = phase;
            self.version += 1;
        }
    }

    /// Sets the active configuration revision of this node; message headers spread it.
    pub fn set_revision(&mut self, revision: ids::RevisionNumber) {
        self.local.revision = revision;
    }

    /// Marks this node as having left.
    pub fn leave(&mut self) {
        self.local.phase = types::MemberPhase::Left;
        self.version += 1;
    }

    /// Merges a record received from another node, unless it is malformed; returns whether anything
    /// changed.
    pub fn merge(&mut self, record: types::MemberRecord, now: time::Instant) -> bool {
        if record.incarnation > MAX_INCARNATION {
            return false;
        }
        if record.node == self.local.node {
            return self.merge_local(&record, now);
        }
        let record = demote_failure(record);
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
        self.merge_monotonic(&record)
    }

    /// Records a message received directly from a member.
    pub fn record_message(&mut self, header: &types::PeerHeader, now: time::Instant) {
        let Some(entry) = self.entries.get_mut(&header.node) else { return };
        if entry.record.start_id == header.start_id {
            entry.last_heard = now;
            entry.refuses_connections = false;
            entry.record.revision = entry.record.revision.max(header.revision);
        }
    }

    /// Records that a member's address refuses connections.
    pub fn record_connection_refused(&mut self, instance: &member::MemberInstance) {
        if let Some(entry) = self.entries.get_mut(&instance.node)
            && entry.record.start_id == instance.start_id
        {
            entry.refuses_connections = true;
        }
    }

    /// Records how a probe of a member ended, and suspects the member if there is evidence that it
    /// failed; returns whether it was alive before.
    pub fn record_probe(
        &mut self,
        instance: &member::MemberInstance,
        outcome: prober_health::ProbeOutcome,
        now: time::Instant,
    ) -> bool {
        if !self.health.record(outcome) {
            return false;
        }
        let Some(entry) = self.entries.get_mut(&instance.node) else { return false };
        let alive = entry.record.phase == types::MemberPhase::Alive;
        if !alive || entry.record.start_id != instance.start_id {
            return false;
        }
        entry.set_phase(types::MemberPhase::Suspect, now);
        true
    }

    /// Returns the factor on the timeouts of probes, which grows with this node's doubt in itself.
    pub fn probe_timeout_factor(&self) -> u32 {
        self.health.timeout_factor()
    }

    /// Declares suspects failed and removes members after their timeouts; returns the nodes that
    /// failed.
    pub fn advance(&mut self, now: time::Instant) -> Vec<ids::NodeId> {
        let timeouts = self.timeouts;
        let failure_timeout = self.failure_timeout();
        let mut failed = Vec::new();
        for entry in self.entries.values_mut() {
            let expired = now.saturating_duration_since(entry.phase_since) >= failure_timeout;
            if entry.record.phase == types::MemberPhase::Suspect && expired {
                entry.set_phase(types::MemberPhase::Failed, now);
                failed.push(entry.record.node.clone());
            }
        }
        let previous_len = self.entries.len();
        self.entries.retain(|_, entry| {
            entry.is_live() || now.saturating_duration_since(entry.phase_since) < timeouts.retention
        });
        if !failed.is_empty() || previous_len != self.entries.len() {
            self.version += 1;
        }
        failed
    }

    /// Restarts the timeouts of suspects, and turns failures declared since `from` back into
    /// suspicions. To be called when this node was isolated or stalled since `from` and so could
    /// not receive refutations.
    pub fn restart_suspicions(&mut self, from: time::Instant, now: time::Instant) {
        for entry in self.entries.values_mut() {
            let suspected = match entry.record.phase {
                types::MemberPhase::Suspect => true,
                types::MemberPhase::Failed => entry.phase_since >= from,
                types::MemberPhase::Alive | types::MemberPhase::Left => false,
            };
            if suspected {
                entry.set_phase(types::MemberPhase::Suspect, now);
            }
        }
        self.version += 1;
    }

    /// Returns the record of a member that is not considered alive, to be sent along with a probe
    /// so that the member can refute it.
    pub fn suspicion_of(&self, node: &ids::NodeId) -> Option<types::MemberRecord> {
        let record = &self.entries.get(node)?.record;
        (record.phase != types::MemberPhase::Alive).then(|| record.clone())
    }

    /// Returns how many members to probe in this heartbeat period; more while tables differ.
    pub fn probe_count(&self, now: time::Instant) -> usize {
        let repaired = |at| now.saturating_duration_since(at) < REPAIR_WINDOW;
        if self.repaired_at.is_some_and(repaired) { PROBES_WHILE_DIFFERING } else { 1 }
    }

    /// Whether this node considers a member suspect or failed that has answered it, so that the
    /// member has to be told.
    pub fn is_disputed(&self, node: &ids::NodeId) -> bool {
        let phase = self.entries.get(node).map(|entry| entry.record.phase);
        matches!(phase, Some(types::MemberPhase::Suspect | types::MemberPhase::Failed))
    }

    /// Returns the member to be probed next, alternating between this zone and the others.
    pub fn next_probe<Random>(&mut self, random: &mut Random) -> Option<member::ProbeTarget>
    where
        Random: rand::Rng,
    {
        let entries = &self.entries;
        let zone = &self.local.zone;
        let members = |same_zone| {
            let live = entries.values().filter(|entry| entry.is_live());
            let chosen = live.filter(|entry| (entry.record.zone == *zone) == same_zone);
            chosen.map(|entry| entry.record.node.clone()).collect()
        };
        let is_live =
            |node: &ids::NodeId| entries.get(node).is_some_and(member::MemberEntry::is_live);
        let node = self.ring.next(members, is_live, random)?;
        self.entries.get(&node).map(|entry| member::ProbeTarget::new(&entry.record))
    }

    /// Returns up to `count` members drawn at random from those alive, without `target`.
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
        let mut peers: Vec<_> =
            records.filter(|record| record.node != *target).map(member::ProbeTarget::new).collect();
        let (chosen, _) = peers.partial_shuffle(random, count);
        chosen.to_vec()
    }

    /// Whether records from a peer show that it does not consider this instance alive.
    pub fn is_suspected_by(&self, records: &[types::MemberRecord]) -> bool {
        let mut own = records.iter().filter(|record| record.node == self.local.node);
        let phase = self.local.phase;
        own.any(|record| record.start_id != self.local.start_id || record.phase > phase)
    }

    /// Returns this node's record of a sender if the sender has to refute it: the record is not
    /// alive or has another start id.
    pub fn suspicion_of_sender(&self, header: &types::PeerHeader) -> Option<types::MemberRecord> {
        let record = &self.entries.get(&header.node)?.record;
        let same = record.start_id == header.start_id;
        (!same || record.phase != types::MemberPhase::Alive).then(|| record.clone())
    }

    fn merge_local(&mut self, record: &types::MemberRecord, now: time::Instant) -> bool {
        let other_start = record.start_id != self.local.start_id;
        if other_start && record.phase != types::MemberPhase::Left {
            self.predecessor_seen.get_or_insert(now);
        }
        let disputed = other_start || record.phase != types::MemberPhase::Alive;
        let leaving = self.local.phase == types::MemberPhase::Left;
        if leaving || !disputed || record.incarnation < self.local.incarnation {
            return false;
        }
        self.local.incarnation = record.incarnation.saturating_add(1);
        self.version += 1;
        true
    }

    /// Merges the fields that only grow within one instance: node phase and revision.
    fn merge_monotonic(&mut self, record: &types::MemberRecord) -> bool {
        let Some(entry) = self.entries.get_mut(&record.node) else { return false };
        if entry.record.start_id != record.start_id {
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

    fn failure_timeout(&self) -> time::Duration {
        let members = self.entries.len() + 1;
        self.timeouts.failure.mul_f64((members as f64).log10().max(1.0))
    }
}

/// Turns a failure declared by another node into a suspicion.
fn demote_failure(record: types::MemberRecord) -> types::MemberRecord {
    match record.phase {
        types::MemberPhase::Failed => {
            types::MemberRecord { phase: types::MemberPhase::Suspect, ..record }
        }
        _ => record,
    }
}

fn supersedes(record: &types::MemberRecord, known: &types::MemberRecord) -> bool {
    (record.incarnation, record.phase, record.start_id)
        > (known.incarnation, known.phase, known.start_id)
}
