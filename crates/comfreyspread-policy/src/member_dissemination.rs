//! Dissemination of member records: which records a message carries, and what a node takes from a
//! peer whose table differs from its own.

use crate::{member, member_digest, membership};
use comfreyspread_schema::types;
use rand::seq::IteratorRandom as _;
use std::{cmp, time};

/// Transmissions of a changed record, for each doubling of the number of members.
const SENDS_PER_DOUBLING: u32 = 3;
/// Transmissions of a record that is not to be spread further.
const ALL_SENT: u32 = u32::MAX;
/// Most records of a member table that a joining node is sent; digests find the others.
const MAX_SNAPSHOT_RECORDS: usize = 32;
/// Most records sent for buckets that differ.
const MAX_REPAIR_RECORDS: usize = 64;
/// Share of the retention time, as a divisor, in which a failure is told to peers. It ends before
/// any node removes the member, since a node that has removed it would take it for a new one.
const FAILURE_NEWS_DIVISOR: u32 = 3;
/// Records repaired by one message from which on tables count as differing.
const DIFFERING_RECORDS: usize = 4;

/// Records of a member table for a joining node.
#[derive(Clone, Debug)]
pub struct MemberSnapshot {
    /// The records.
    pub records: Vec<types::MemberRecord>,
    /// Whether the table has more.
    pub partial: bool,
}

impl membership::MemberTable {
    /// Returns the record of this node and recently changed ones, up to `limit` in all, for a
    /// message.
    pub fn gossip_records(&mut self, limit: usize) -> Vec<types::MemberRecord> {
        let sends = self.sends_per_record();
        let mut records = vec![self.local.clone()];
        let mut recent: Vec<_> =
            self.entries.values_mut().filter(|entry| entry.sends < sends).collect();
        recent.sort_by_key(|entry| (entry.sends, cmp::Reverse(entry.phase_since)));
        for entry in recent.into_iter().take(limit.saturating_sub(records.len())) {
            entry.sends += 1;
            records.push(entry.record.clone());
        }
        records
    }

    /// Returns the digest of the nodes that are not suspected.
    pub fn digest(&self) -> member_digest::MemberDigest {
        let alive = |record: &&types::MemberRecord| record.phase == types::MemberPhase::Alive;
        member_digest::MemberDigest::new(self.live().filter(alive))
    }

    /// Returns a bounded number of the records in which this table and that of a peer with the
    /// digest `peer` may differ: half of them those changed last, half drawn at random. Members that
    /// failed lately are among them, so that a peer which missed the suspicion learns of it.
    pub fn repair_records<Random>(
        &self,
        peer: &[u32],
        now: time::Instant,
        random: &mut Random,
    ) -> Vec<types::MemberRecord>
    where
        Random: rand::Rng,
    {
        let buckets = self.digest().differing_buckets(peer);
        if buckets.is_empty() {
            return Vec::new();
        }
        let differs = |entry: &&member::MemberEntry| {
            let latest = self.timeouts.retention / FAILURE_NEWS_DIVISOR;
            let lately = now.saturating_duration_since(entry.phase_since) < latest;
            let failed = entry.record.phase == types::MemberPhase::Failed;
            let told = entry.is_live() || (failed && lately);
            told && buckets.contains(&member_digest::bucket_of(&entry.record.node))
        };
        let mut entries: Vec<_> = self.entries.values().filter(differs).collect();
        entries.sort_by_key(|entry| cmp::Reverse(entry.phase_since));
        let latest = MAX_REPAIR_RECORDS / 2;
        let older = entries.iter().skip(latest).choose_multiple(random, latest);
        let chosen = entries.iter().take(latest).chain(older);
        chosen.map(|entry| entry.record.clone()).collect()
    }

    /// Returns the records of nodes that may be running, for a joining node: all of a small fleet,
    /// a sample of a large one.
    pub fn snapshot<Random>(&self, random: &mut Random) -> MemberSnapshot
    where
        Random: rand::Rng,
    {
        let mut records = self.live().cloned().choose_multiple(random, MAX_SNAPSHOT_RECORDS);
        let partial = self.live().count() > records.len();
        if !records.contains(&self.local) && member::is_live(self.local.phase) {
            records.push(self.local.clone());
        }
        MemberSnapshot { records, partial }
    }

    /// Merges the records in which a peer's table and this one differed. They are not spread
    /// further, as the nodes around have them, unless they refute a suspicion.
    pub fn merge_repairs(&mut self, records: Vec<types::MemberRecord>, now: time::Instant) {
        let repaired = records.into_iter().filter(|record| self.merge_repair(record, now)).count();
        if repaired >= DIFFERING_RECORDS {
            self.repaired_at = Some(now);
        }
    }

    fn merge_repair(&mut self, record: &types::MemberRecord, now: time::Instant) -> bool {
        let known = self.entries.get(&record.node);
        let suspected = known.is_some_and(|entry| entry.record.phase != types::MemberPhase::Alive);
        if !self.merge(record.clone(), now) {
            return false;
        }
        if let Some(entry) = self.entries.get_mut(&record.node).filter(|_| !suspected) {
            entry.sends = ALL_SENT;
        }
        true
    }

    fn sends_per_record(&self) -> u32 {
        let members = u32::try_from(self.entries.len() + 1).unwrap_or(u32::MAX);
        SENDS_PER_DOUBLING * (members.ilog2() + 1)
    }
}
