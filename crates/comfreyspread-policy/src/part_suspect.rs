//! Prompt parts that crash the endpoints that begin to answer a request with them.
//!
//! Requests that share such a part may be unlike in all else, so evidence is kept by part, beside
//! that by request in [`crate::suspect`]. A crash speaks against the parts of each request that
//! waited for its first event at the endpoint. The first event of a request proves its parts sound
//! and outweighs all crashes before it; parts of sound requests are thus cleared all the time.
//! Several independent crashes with unlike requests convict a part, and what it explains no longer
//! speaks against others.
//!
//! A conviction lapses some time after the last crash, at another moment on each node. The node then
//! lets one request pass: its first event clears the part everywhere, its crash convicts again.

use crate::crash_evidence;
use comfreyspread_schema::{ids, types};
use indexmap::{IndexMap, IndexSet};
use rand::seq::IndexedRandom as _;
use std::{cmp, mem, time};

/// Independent crashes that convict a part.
const CRASHES_TO_CONVICT: usize = 3;
/// Independent crashes that convict a part proved sound shortly before.
const CRASHES_AFTER_PROOF: usize = 5;
/// Age up to which a proof raises the number of crashes that convict.
const PROOF_WEIGHT_TIME: time::Duration = time::Duration::from_secs(30);
/// Different requests that have to wait at the crashes: one request alone is convicted by itself.
const REQUESTS_TO_CONVICT: usize = 2;
/// Time from the last crash to the first request that is let pass again.
const CONVICTION_TIME: time::Duration = time::Duration::from_secs(120);
/// Time that a request let pass has to begin or to crash.
const TRIAL_TIME: time::Duration = time::Duration::from_secs(15);
/// Time after its last crash at which a part is forgotten.
const RETENTION: time::Duration = time::Duration::from_secs(900);
/// Proofs closer to the known one are not taken over: ages do not include the delay of messages,
/// so that a proof passed around would become ever younger.
const MIN_PROOF_ADVANCE: time::Duration = time::Duration::from_secs(1);
/// Time for which other nodes are told that a part is cleared.
const CLEARING_TIME: time::Duration = time::Duration::from_secs(10);
const MAX_PARTS: usize = 10_000;
/// Crashes in one record.
const CRASHES_PER_RECORD: usize = 4;
/// Crashes in the record of a convicted part: they tell the receiver which ones it explains.
const CRASHES_PER_CONVICTION: usize = 16;

#[derive(Clone, Debug, Default)]
struct PartEntry {
    evidence: crash_evidence::CrashEvidence,
    proven_at: Option<time::Instant>,
    /// Last clearing of a crash.
    cleared_at: Option<time::Instant>,
    trial_until: Option<time::Instant>,
    convicted: bool,
}

/// A conviction of a prompt part, or its end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PartChange {
    /// The part.
    pub part: ids::PartHash,
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
}

/// Prompt parts that may crash endpoints.
#[derive(Debug, Default)]
pub struct PartTable {
    entries: IndexMap<ids::PartHash, PartEntry>,
    /// Parts that a crash speaks against, and those cleared lately.
    suspects: IndexSet<ids::PartHash>,
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

    /// Records a crash while a request with these parts waited for its first event. Returns whether
    /// other nodes should hear of it at once.
    pub fn record_crash(
        &mut self,
        parts: &[ids::PartHash],
        seen: crash_evidence::SeenCrash,
        now: time::Instant,
    ) -> bool {
        let mut news = false;
        for part in parts {
            news |= self.add(*part, seen, now);
        }
        self.reassess(now);
        news
    }

    /// Records the first event of a request with these parts, which proves them sound.
    pub fn record_first_event(&mut self, parts: &[ids::PartHash], now: time::Instant) {
        let mut cleared = false;
        for part in parts {
            cleared |= self.prove(*part, now, now);
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
            self.entries.get(part).is_some_and(|entry| self.holds(entry, now))
        };
        parts.iter().copied().find(holds)
    }

    /// Returns the convictions, and their ends, since the last call.
    pub fn take_changes(&mut self) -> Vec<PartChange> {
        mem::take(&mut self.changes)
    }

    /// Returns how many parts are suspected and convicted.
    pub fn counts(&self, now: time::Instant) -> PartCounts {
        let suspects = || self.suspects.iter().filter_map(|part| self.entries.get(part));
        PartCounts {
            suspected: suspects().filter(|entry| !is_expired(entry, now)).count(),
            convicted: suspects().filter(|entry| self.holds(entry, now)).count(),
        }
    }

    /// Returns whether one of the parts crashes endpoints, so that a request that was let pass may
    /// not be sent any more. The one that is let pass when a conviction has lapsed may.
    pub fn is_convicted_anew(&self, parts: &[ids::PartHash], now: time::Instant) -> bool {
        let mut entries = parts.iter().filter_map(|part| self.entries.get(part));
        entries.any(|entry| entry.convicted && now < self.lapses_at(entry, now))
    }

    /// Returns whether a new request with these parts may run. One whose conviction has lapsed is
    /// let pass, and others like it wait until its outcome is known.
    pub fn try_admit(&mut self, parts: &[ids::PartHash], now: time::Instant) -> bool {
        if self.is_convicted(parts, now) {
            return false;
        }
        for part in parts {
            if let Some(entry) = self.entries.get_mut(part).filter(|entry| entry.convicted) {
                entry.trial_until = Some(now + TRIAL_TIME);
            }
        }
        true
    }

    /// Returns the records of the parts that are convicted; one whose conviction has lapsed remains
    /// so until it is proved sound.
    pub fn convictions(&self, now: time::Instant) -> Vec<types::PartSuspect> {
        let suspects = self.suspects.iter().filter_map(|part| self.entries.get_key_value(part));
        let convicted = suspects.filter(|(_, entry)| entry.convicted && !is_expired(entry, now));
        convicted.map(|(part, entry)| record(*part, entry, now)).collect()
    }

    /// Merges the record of another node. Returns whether it holds a crash that was not known.
    pub fn merge(&mut self, record: &types::PartSuspect, now: time::Instant) -> bool {
        let proven_at = now.checked_sub(record.proof_age).filter(|_| record.proven);
        let mut changed = proven_at.is_some_and(|at| self.adopt_proof(record.part, at, now));
        let mut news = false;
        for crash in &record.crashes {
            let Some(crashed_at) = now.checked_sub(crash.age) else { continue };
            let seen = crash_evidence::SeenCrash {
                crash: crash.crash,
                request: crash.request,
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

    /// Returns up to `limit` records for another node: half of them those that matter most, the
    /// others at random.
    pub fn records<Random>(
        &self,
        limit: usize,
        now: time::Instant,
        random: &mut Random,
    ) -> Vec<types::PartSuspect>
    where
        Random: rand::Rng,
    {
        let suspects = self.suspects.iter().filter_map(|part| self.entries.get_key_value(part));
        let mut ranked: Vec<_> = suspects.filter_map(|entry| rank(entry, now)).collect();
        ranked.sort_unstable();
        let first = ranked.len().min(limit.div_ceil(2));
        let (urgent, others) = ranked.split_at(first);
        let others = others.choose_multiple(random, limit - first);
        let parts = urgent.iter().chain(others).map(|(_, _, part)| *part);
        parts.filter_map(|part| Some(record(part, self.entries.get(&part)?, now))).collect()
    }

    fn add(
        &mut self,
        part: ids::PartHash,
        seen: crash_evidence::SeenCrash,
        now: time::Instant,
    ) -> bool {
        if now.saturating_duration_since(seen.crashed_at) >= RETENTION {
            return false;
        }
        let entry = self.entry(part, now);
        if entry.proven_at.is_some_and(|proven_at| proven_at >= seen.crashed_at) {
            // The sender does not know of the proof.
            entry.cleared_at = Some(now);
            self.suspects.insert(part);
            return false;
        }
        let is_new = entry.evidence.add(seen);
        self.suspects.insert(part);
        is_new
    }

    fn adopt_proof(
        &mut self,
        part: ids::PartHash,
        proven_at: time::Instant,
        now: time::Instant,
    ) -> bool {
        let known = self.entries.get(&part).and_then(|entry| entry.proven_at);
        if known.is_some_and(|known| proven_at < known + MIN_PROOF_ADVANCE) {
            return false;
        }
        self.prove(part, proven_at, now)
    }

    /// Records a proof; returns whether it cleared a crash.
    fn prove(&mut self, part: ids::PartHash, proven_at: time::Instant, now: time::Instant) -> bool {
        let entry = self.entry(part, now);
        entry.proven_at = entry.proven_at.max(Some(proven_at));
        if entry.evidence.last_crash().is_none() {
            return false;
        }
        entry.evidence.clear_until(proven_at);
        entry.cleared_at = Some(now);
        true
    }

    /// Convicts parts, those with most crashes first; what a convicted part explains does not count
    /// against the others.
    fn reassess(&mut self, now: time::Instant) {
        let before = self.convicted_parts();
        self.drop_expired(now);
        let suspects = self.suspects.iter().filter_map(|part| self.entries.get_key_value(part));
        let mut order: Vec<_> = suspects.filter_map(candidate).collect();
        order.sort_unstable();
        for part in &self.suspects {
            if let Some(entry) = self.entries.get_mut(part) {
                entry.convicted = false;
            }
        }
        let mut explained = IndexSet::new();
        for (_, _, part) in order {
            let Some(entry) = self.entries.get_mut(&part) else { continue };
            let evidence = entry.evidence.unexplained(|crash| explained.contains(&crash));
            entry.convicted = convicts(&evidence, entry.proven_at, now);
            if entry.convicted {
                explained.extend(entry.evidence.crashes().map(|seen| seen.crash));
            }
        }
        let after = self.convicted_parts();
        for part in before.symmetric_difference(&after) {
            let evidence = self.entries.get(part).map(|entry| &entry.evidence);
            self.changes.push(PartChange {
                part: *part,
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
            let is_current =
                entries.get_key_value(part).is_some_and(|entry| rank(entry, now).is_some());
            if !is_current && let Some(entry) = entries.get_mut(part) {
                *entry = PartEntry { proven_at: entry.proven_at, ..PartEntry::default() };
            }
            is_current
        });
    }

    fn holds(&self, entry: &PartEntry, now: time::Instant) -> bool {
        entry.convicted
            && entry.evidence.last_crash().is_some()
            && (now < self.lapses_at(entry, now)
                || entry.trial_until.is_some_and(|trial_until| now < trial_until))
    }

    /// Returns when the conviction of a part lapses; at once if no crash speaks against it.
    fn lapses_at(&self, entry: &PartEntry, now: time::Instant) -> time::Instant {
        let last_crash = entry.evidence.last_crash();
        last_crash.map_or(now, |last_crash| last_crash + CONVICTION_TIME + self.trial_delay)
    }

    fn entry(&mut self, part: ids::PartHash, now: time::Instant) -> &mut PartEntry {
        if !self.entries.contains_key(&part) && self.entries.len() >= MAX_PARTS {
            self.evict(now);
        }
        self.entries.entry(part).or_default()
    }

    /// Drops what has expired and the older half of the parts that nothing speaks against.
    fn evict(&mut self, now: time::Instant) {
        let is_idle = |entry: &PartEntry| entry.evidence.last_crash().is_none();
        self.entries.retain(|_, entry| is_idle(entry) || !is_expired(entry, now));
        let idle = self.entries.values().filter(|entry| is_idle(entry)).count();
        let mut surplus = idle / 2;
        self.entries.retain(|_, entry| {
            let dropped = surplus > 0 && is_idle(entry);
            surplus -= usize::from(dropped);
            !dropped
        });
        if self.entries.len() >= MAX_PARTS {
            self.entries.shift_remove_index(0);
        }
    }
}

fn convicts(
    evidence: &crash_evidence::CrashEvidence,
    proven_at: Option<time::Instant>,
    now: time::Instant,
) -> bool {
    let proven_lately =
        proven_at.is_some_and(|at| now.saturating_duration_since(at) < PROOF_WEIGHT_TIME);
    let needed = if proven_lately { CRASHES_AFTER_PROOF } else { CRASHES_TO_CONVICT };
    evidence.independent_count() >= needed && evidence.request_count() >= REQUESTS_TO_CONVICT
}

/// Position of a part in the order of convictions: never proved sound first, then most crashes.
fn candidate(
    (part, entry): (&ids::PartHash, &PartEntry),
) -> Option<(bool, cmp::Reverse<usize>, ids::PartHash)> {
    let crashes = entry.evidence.independent_count();
    (crashes >= CRASHES_TO_CONVICT).then_some((
        entry.proven_at.is_some(),
        cmp::Reverse(crashes),
        *part,
    ))
}

/// Position of a part in the order in which other nodes hear of it; none if they need not.
fn rank(
    (part, entry): (&ids::PartHash, &PartEntry),
    now: time::Instant,
) -> Option<(u8, time::Duration, ids::PartHash)> {
    let age = |at: time::Instant| now.saturating_duration_since(at);
    if let Some(last_crash) = entry.evidence.last_crash().filter(|at| age(*at) < RETENTION) {
        let class = match (entry.convicted, entry.evidence.independent_count()) {
            (true, _) => 0,
            (false, 1) => 2,
            (false, _) => 1,
        };
        return Some((class, age(last_crash), *part));
    }
    let cleared_at = entry.cleared_at.filter(|at| age(*at) < CLEARING_TIME)?;
    Some((3, age(cleared_at), *part))
}

fn record(part: ids::PartHash, entry: &PartEntry, now: time::Instant) -> types::PartSuspect {
    let proof_age = entry.proven_at.map(|at| now.saturating_duration_since(at));
    let limit = if entry.convicted { CRASHES_PER_CONVICTION } else { CRASHES_PER_RECORD };
    types::PartSuspect {
        crashes: entry.evidence.records(limit, now),
        part,
        proof_age: proof_age.unwrap_or_default(),
        proven: proof_age.is_some(),
    }
}

fn is_expired(entry: &PartEntry, now: time::Instant) -> bool {
    let last_crash = entry.evidence.last_crash();
    last_crash.is_none_or(|at| now.saturating_duration_since(at) >= RETENTION)
}
