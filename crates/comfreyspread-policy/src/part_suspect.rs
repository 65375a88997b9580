//! Prompt parts, and whole requests, that crash the endpoints that begin to run them.
//!
//! Requests that share such a part may be unlike in all else, so evidence is kept by part. A crash
//! speaks against the parts of each request that waited for its first event at the endpoint, or had
//! just got it. A first event outweighs the crashes before it at which requests waited, and a request
//! that goes on for a while outweighs all; parts of sound requests are thus cleared all the time.
//! Several independent crashes with unlike requests convict a part, and what it explains no longer
//! speaks against others.
//!
//! A request as a whole is one more part, which it shares with its repetitions alone. All crashes
//! while it ran speak against it, those after a while less, and only a complete response proves it
//! sound. If none ever did, crashes that are not independent count too: they stem from
//! repetitions at several nodes.
//!
//! A conviction lapses some time after the last crash, at another moment on each node. The node then
//! lets one request pass: its proof clears the part everywhere, its crash convicts again.

use crate::{crash_evidence, part_entry};
use comfreyspread_schema::{ids, types};
use indexmap::{IndexMap, IndexSet};
use rand::seq::IndexedRandom as _;
use std::{mem, time};

const MAX_PARTS: usize = 10_000;
/// Requests that are remembered as served.
const MAX_SERVED: usize = 4096;

/// A conviction of a prompt part, or its end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PartChange {
    /// The part.
    pub part: ids::PartHash,
    /// Whether it stands for a request as a whole.
    pub whole: bool,
    /// Whether it is now convicted.
    pub convicted: bool,
    /// Crashes that speak against it.
    pub crashes: usize,
    /// Different requests that waited at them.
    pub requests: usize,
}

/// Number of parts in each condition.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PartCounts {
    /// Parts that a crash speaks against, convicted ones included.
    pub suspected: usize,
    /// Parts that crash endpoints.
    pub convicted: usize,
    /// Requests that crash endpoints as a whole.
    pub convicted_requests: usize,
}

/// Prompt parts, and whole requests, that may crash endpoints.
#[derive(Debug, Default)]
pub struct PartTable {
    entries: IndexMap<ids::PartHash, part_entry::PartEntry>,
    /// Parts that a crash speaks against, and those cleared lately.
    suspects: IndexSet<ids::PartHash>,
    /// Requests served, and when.
    served: IndexMap<ids::PartHash, time::Instant>,
    /// Changes not yet taken.
    changes: Vec<PartChange>,
    trial_delay: time::Duration,
}

impl PartTable {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the time by which convictions last longer on this node than on others.
    pub fn with_trial_delay(self, trial_delay: time::Duration) -> Self {
        Self { trial_delay, ..self }
    }

    /// Records a crash while a request with these prompt parts ran. If it had been running for a
    /// while, that says nothing of its parts. Returns whether other nodes should hear of it at once.
    pub fn record_crash(
        &mut self,
        parts: &[ids::PartHash],
        seen: crash_evidence::SeenCrash,
        now: time::Instant,
    ) -> bool {
        if seen.moment == types::CrashMoment::Running {
            return false;
        }
        let mut news = false;
        for part in parts {
            news |= self.add(*part, seen, now);
        }
        self.reassess(now);
        news
    }

    /// Records a crash for the request that ran, as a whole. Returns whether other nodes should hear
    /// of it at once.
    pub fn record_request_crash(
        &mut self,
        seen: crash_evidence::SeenCrash,
        now: time::Instant,
    ) -> bool {
        self.mark_whole(seen.request, now);
        let news = self.add(seen.request, seen, now);
        self.reassess(now);
        news
    }

    /// Records the first event of a request with these prompt parts.
    pub fn record_first_event(&mut self, parts: &[ids::PartHash], now: time::Instant) {
        self.record_proof(parts, crash_evidence::PartProof::with_begin(now), now);
    }

    /// Records that a request with these prompt parts has been running for a while, or is complete,
    /// which proves them sound.
    pub fn record_run(&mut self, parts: &[ids::PartHash], now: time::Instant) {
        self.record_proof(parts, crash_evidence::PartProof::with_run(now), now);
    }

    /// Records the complete response of the request `whole`, which proves it sound.
    pub fn record_served(&mut self, whole: ids::PartHash, now: time::Instant) {
        if self.served.len() >= MAX_SERVED && !self.served.contains_key(&whole) {
            self.served.drain(..MAX_SERVED / 2);
        }
        self.served.insert(whole, now);
        if self.entries.contains_key(&whole) {
            self.record_run(&[whole], now);
        }
    }

    fn record_proof(
        &mut self,
        parts: &[ids::PartHash],
        proof: crash_evidence::PartProof,
        now: time::Instant,
    ) {
        let mut cleared = false;
        for part in parts {
            cleared |= self.entry(*part, now).prove(proof, now);
        }
        if cleared {
            self.reassess(now);
        }
    }

    /// Returns whether one of the parts crashes endpoints, so that the request may not run.
    pub fn is_convicted(&self, parts: &[ids::PartHash], now: time::Instant) -> bool {
        self.convicted_part(parts, now).is_some()
    }

    /// Returns the first of the parts that crashes endpoints.
    pub fn convicted_part(
        &self,
        parts: &[ids::PartHash],
        now: time::Instant,
    ) -> Option<ids::PartHash> {
        let holds = |part: &ids::PartHash| {
            self.entries.get(part).is_some_and(|entry| entry.holds(self.trial_delay, now))
        };
        parts.iter().copied().find(holds)
    }

    /// Returns the convictions, and their ends, since the last call.
    pub fn take_changes(&mut self) -> Vec<PartChange> {
        mem::take(&mut self.changes)
    }

    /// Returns how many parts are suspected and convicted.
    pub fn counts(&self, now: time::Instant) -> PartCounts {
        let suspects = |whole| {
            let entries = self.suspects.iter().filter_map(|part| self.entries.get(part));
            entries.filter(move |entry| entry.whole == whole)
        };
        let holds = |entry: &&part_entry::PartEntry| entry.holds(self.trial_delay, now);
        PartCounts {
            suspected: suspects(false).filter(|entry| !entry.is_expired(now)).count(),
            convicted: suspects(false).filter(holds).count(),
            convicted_requests: suspects(true).filter(holds).count(),
        }
    }

    /// Returns whether one of the parts crashes endpoints, so that a request that was let pass may
    /// not be sent any more. The one that is let pass when a conviction has lapsed may.
    pub fn is_convicted_anew(&self, parts: &[ids::PartHash], now: time::Instant) -> bool {
        let mut entries = parts.iter().filter_map(|part| self.entries.get(part));
        entries.any(|entry| entry.convicted && now < entry.lapses_at(self.trial_delay, now))
    }

    /// Returns whether a new request with these parts may run. One whose conviction has lapsed is
    /// let pass, and others like it wait until its outcome is known.
    pub fn try_admit(&mut self, parts: &[ids::PartHash], now: time::Instant) -> bool {
        if self.is_convicted(parts, now) {
            return false;
        }
        for part in parts {
            if let Some(entry) = self.entries.get_mut(part) {
                entry.start_trial(now);
            }
        }
        true
    }

    /// Returns the records of the parts that are convicted; one whose conviction has lapsed remains
    /// so until it is proved sound.
    pub fn convictions(&self, now: time::Instant) -> Vec<types::PartSuspect> {
        let suspects = self.suspects.iter().filter_map(|part| self.entries.get_key_value(part));
        let convicted = suspects.filter(|(_, entry)| entry.convicted && !entry.is_expired(now));
        convicted.map(|(part, entry)| entry.record(*part, now)).collect()
    }

    /// Merges the record of another node. Returns whether it holds a crash that was not known.
    pub fn merge(&mut self, record: &types::PartSuspect, now: time::Instant) -> bool {
        if record.whole {
            self.mark_whole(record.part, now);
        }
        let mut changed = self.adopt_proof(record.part, proof_of(record, now), now);
        let mut news = false;
        for crash in &record.crashes {
            let Some(crashed_at) = now.checked_sub(crash.age) else { continue };
            let seen = crash_evidence::SeenCrash {
                crash: crash.crash,
                request: crash.request,
                moment: crash.moment,
                crashed_at,
            };
            news |= self.add(record.part, seen, now);
        }
        changed |= news;
        if changed {
            self.reassess(now);
        }
        news
    }

    /// Returns up to `limit` records of prompt parts, and as many of whole requests, for another
    /// node: half of them those that matter most, the others at random.
    pub fn records<Random>(
        &self,
        limit: usize,
        now: time::Instant,
        random: &mut Random,
    ) -> Vec<types::PartSuspect>
    where
        Random: rand::Rng,
    {
        let mut records = self.records_of(false, limit, now, random);
        records.extend(self.records_of(true, limit, now, random));
        records
    }

    fn records_of<Random>(
        &self,
        whole: bool,
        limit: usize,
        now: time::Instant,
        random: &mut Random,
    ) -> Vec<types::PartSuspect>
    where
        Random: rand::Rng,
    {
        let suspects = self.suspects.iter().filter_map(|part| self.entries.get_key_value(part));
        let suspects = suspects.filter(|(_, entry)| entry.whole == whole);
        let order = |(part, entry): (&ids::PartHash, &part_entry::PartEntry)| {
            Some((entry.notice_order(now)?, *part))
        };
        let mut ranked: Vec<_> = suspects.filter_map(order).collect();
        ranked.sort_unstable();
        let first = ranked.len().min(limit.div_ceil(2));
        let (urgent, others) = ranked.split_at(first);
        let others = others.choose_multiple(random, limit - first);
        let parts = urgent.iter().chain(others).map(|(_, part)| *part);
        parts.filter_map(|part| Some(self.entries.get(&part)?.record(part, now))).collect()
    }

    fn add(
        &mut self,
        part: ids::PartHash,
        seen: crash_evidence::SeenCrash,
        now: time::Instant,
    ) -> bool {
        if now.saturating_duration_since(seen.crashed_at) >= part_entry::RETENTION {
            return false;
        }
        self.suspects.insert(part);
        self.entry(part, now).add(seen, now)
    }

    /// Marks a part as one that stands for a request as a whole.
    fn mark_whole(&mut self, part: ids::PartHash, now: time::Instant) {
        let served_at = self.served.get(&part).copied();
        let entry = self.entry(part, now);
        entry.whole = true;
        if let Some(served_at) = served_at {
            entry.proof = entry.proof.merged(crash_evidence::PartProof::with_run(served_at));
        }
    }

    /// Takes over the proof of another node, if it is clearly later than the known one.
    fn adopt_proof(
        &mut self,
        part: ids::PartHash,
        proof: crash_evidence::PartProof,
        now: time::Instant,
    ) -> bool {
        let later = self.entries.get(&part).map_or(proof, |entry| entry.later_proof(proof));
        let has_proof = later.began_at.is_some() || later.ran_at.is_some();
        has_proof && self.entry(part, now).prove(later, now)
    }

    /// Convicts parts, those with most crashes first; what a convicted part explains does not count
    /// against the others.
    fn reassess(&mut self, now: time::Instant) {
        let before = self.convicted_parts();
        self.drop_expired(now);
        let suspects = self.suspects.iter().filter_map(|part| self.entries.get_key_value(part));
        let order = |(part, entry): (&ids::PartHash, &part_entry::PartEntry)| {
            Some((entry.conviction_order()?, *part))
        };
        let mut candidates: Vec<_> = suspects.filter_map(order).collect();
        candidates.sort_unstable();
        for part in &self.suspects {
            if let Some(entry) = self.entries.get_mut(part) {
                entry.convicted = false;
            }
        }
        let mut explained = IndexSet::new();
        for (_, part) in candidates {
            let Some(entry) = self.entries.get_mut(&part) else { continue };
            let evidence = entry.evidence.unexplained(|crash| explained.contains(&crash));
            entry.convicted = entry.is_convicted_by(&evidence, now);
            if entry.convicted {
                explained.extend(entry.evidence.crashes().map(|seen| seen.crash));
            }
        }
        let after = self.convicted_parts();
        for part in before.symmetric_difference(&after) {
            let entry = self.entries.get(part);
            let evidence = entry.map(|entry| &entry.evidence);
            self.changes.push(PartChange {
                part: *part,
                whole: entry.is_some_and(|entry| entry.whole),
                convicted: after.contains(part),
                crashes: evidence.map_or(0, |evidence| evidence.crashes().count()),
                requests: evidence.map_or(0, crash_evidence::CrashEvidence::request_count),
            });
        }
    }

    fn convicted_parts(&self) -> IndexSet<ids::PartHash> {
        let convicted =
            |part: &&ids::PartHash| self.entries.get(*part).is_some_and(|entry| entry.convicted);
        self.suspects.iter().filter(convicted).copied().collect()
    }

    /// Drops the parts that neither a crash speaks against nor other nodes have to hear of.
    fn drop_expired(&mut self, now: time::Instant) {
        let entries = &mut self.entries;
        self.suspects.retain(|part| {
            let entry = entries.get_mut(part);
            let is_current = entry.as_ref().is_some_and(|entry| entry.notice_order(now).is_some());
            if !is_current && let Some(entry) = entry {
                entry.reset();
            }
            is_current
        });
    }

    fn entry(&mut self, part: ids::PartHash, now: time::Instant) -> &mut part_entry::PartEntry {
        if !self.entries.contains_key(&part) && self.entries.len() >= MAX_PARTS {
            self.evict(now);
        }
        self.entries.entry(part).or_default()
    }

    /// Drops what has expired and the older half of the parts that nothing speaks against.
    fn evict(&mut self, now: time::Instant) {
        self.entries.retain(|_, entry| entry.is_idle() || !entry.is_expired(now));
        let idle = self.entries.values().filter(|entry| entry.is_idle()).count();
        let mut surplus = idle / 2;
        self.entries.retain(|_, entry| {
            let dropped = surplus > 0 && entry.is_idle();
            surplus -= usize::from(dropped);
            !dropped
        });
        if self.entries.len() >= MAX_PARTS {
            self.entries.shift_remove_index(0);
        }
    }
}

/// Returns the proof that another node tells of.
fn proof_of(record: &types::PartSuspect, now: time::Instant) -> crash_evidence::PartProof {
    crash_evidence::PartProof {
        began_at: now.checked_sub(record.proof_age).filter(|_| record.proven),
        ran_at: record.ran.as_ref().and_then(|proof| now.checked_sub(proof.age)),
    }
}
