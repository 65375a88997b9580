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
//! sound. If none ever did, crashes that are not independent count too: they come of repetitions at
//! several nodes.
//!
//! A conviction lapses some time after the last crash, at another moment on each node. The node then
//! lets one request pass: its proof clears the part everywhere, its crash convicts again.

use crate::crash_evidence;
use comfreyspread_schema::{ids, types};
use indexmap::{IndexMap, IndexSet};
use rand::seq::IndexedRandom as _;
use std::{cmp, mem, time};

/// Weight of the crashes that convict a part.
const WEIGHT_TO_CONVICT: usize = 3 * crash_evidence::CRASH_WEIGHT;
/// Weight of the crashes that convict a part proved sound shortly before.
const WEIGHT_AFTER_PROOF: usize = 5 * crash_evidence::CRASH_WEIGHT;
/// Additional weight that convicts a request as a whole. A sound one may begin at three endpoints
/// that fail for another reason, as its attempts follow each other.
const ADDITIONAL_REQUEST_WEIGHT: usize = crash_evidence::CRASH_WEIGHT;
/// Age up to which a proof raises the number of crashes that convict.
const PROOF_WEIGHT_TIME: time::Duration = time::Duration::from_secs(30);
/// Different requests that have to wait at the crashes: one request alone is convicted as a whole.
const REQUESTS_TO_CONVICT: usize = 2;
/// Time from the last crash to the first request that is let pass again.
const CONVICTION_TIME: time::Duration = time::Duration::from_secs(120);
/// The same for a request as a whole, which crashes endpoints each time that it comes.
const REQUEST_CONVICTION_TIME: time::Duration = time::Duration::from_secs(600);
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
/// Requests that are remembered as served.
const MAX_SERVED: usize = 4096;
/// Crashes in one record.
const CRASHES_PER_RECORD: usize = 4;
/// Crashes in the record of a convicted part: they tell the receiver which ones it explains.
const CRASHES_PER_CONVICTION: usize = 16;

#[derive(Clone, Debug, Default)]
struct PartEntry {
    /// Whether it stands for a request as a whole.
    whole: bool,
    evidence: crash_evidence::CrashEvidence,
    proof: crash_evidence::PartProof,
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

/// Prompt parts that may crash endpoints.
#[derive(Debug, Default)]
pub struct PartTable {
    entries: IndexMap<ids::PartHash, PartEntry>,
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

    /// Records a crash while a request with these prompt parts began to run. Returns whether other
    /// nodes should hear of it at once.
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

    /// Records a crash while the request `whole` ran. Returns whether other nodes should hear of it
    /// at once.
    pub fn record_request_crash(
        &mut self,
        whole: ids::PartHash,
        seen: crash_evidence::SeenCrash,
        now: time::Instant,
    ) -> bool {
        self.mark_whole(whole, now);
        let news = self.add(whole, seen, now);
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
            cleared |= self.prove(*part, proof, now);
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
        let suspects = |whole| {
            let entries = self.suspects.iter().filter_map(|part| self.entries.get(part));
            entries.filter(move |entry| entry.whole == whole)
        };
        PartCounts {
            suspected: suspects(false).filter(|entry| !is_expired(entry, now)).count(),
            convicted: suspects(false).filter(|entry| self.holds(entry, now)).count(),
            convicted_requests: suspects(true).filter(|entry| self.holds(entry, now)).count(),
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
        if entry.proof.outweighs(&seen) {
            // The sender does not know of the proof.
            entry.cleared_at = Some(now);
            self.suspects.insert(part);
            return false;
        }
        let is_new = entry.evidence.add(seen);
        // One crash says little of a request that had been running.
        let is_running = seen.moment == types::CrashMoment::Running;
        let is_news = is_new && (!is_running || entry.evidence.crashes().nth(1).is_some());
        self.suspects.insert(part);
        is_news
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
        let known = self.entries.get(&part).map(|entry| entry.proof).unwrap_or_default();
        let is_later = |known: Option<time::Instant>, at: &time::Instant| {
            known.is_none_or(|known| *at >= known + MIN_PROOF_ADVANCE)
        };
        let proof = crash_evidence::PartProof {
            began_at: proof.began_at.filter(|at| is_later(known.began_at, at)),
            ran_at: proof.ran_at.filter(|at| is_later(known.ran_at, at)),
        };
        (proof.began_at.is_some() || proof.ran_at.is_some()) && self.prove(part, proof, now)
    }

    /// Records a proof; returns whether there were crashes that it may have cleared.
    fn prove(
        &mut self,
        part: ids::PartHash,
        proof: crash_evidence::PartProof,
        now: time::Instant,
    ) -> bool {
        let entry = self.entry(part, now);
        entry.proof = entry.proof.merged(proof);
        if entry.evidence.last_crash().is_none() {
            return false;
        }
        entry.evidence.clear(&entry.proof);
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
        for (_, _, _, part) in order {
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
            let is_current =
                entries.get_key_value(part).is_some_and(|entry| rank(entry, now).is_some());
            if !is_current && let Some(entry) = entries.get_mut(part) {
                let PartEntry { proof, whole, .. } = *entry;
                *entry = PartEntry { proof, whole, ..PartEntry::default() };
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
        let time = if entry.whole { REQUEST_CONVICTION_TIME } else { CONVICTION_TIME };
        last_crash.map_or(now, |last_crash| last_crash + time + self.trial_delay)
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

impl PartEntry {
    /// Returns whether these crashes, which no other part explains, convict the part.
    fn is_convicted_by(
        &self,
        evidence: &crash_evidence::CrashEvidence,
        now: time::Instant,
    ) -> bool {
        let age = self.proof.began_at.map(|began_at| now.saturating_duration_since(began_at));
        let proven_lately = age.is_some_and(|age| age < PROOF_WEIGHT_TIME);
        let needed = if proven_lately { WEIGHT_AFTER_PROOF } else { WEIGHT_TO_CONVICT };
        if self.whole {
            return self.weight(evidence) >= needed + ADDITIONAL_REQUEST_WEIGHT;
        }
        self.weight(evidence) >= needed && evidence.request_count() >= REQUESTS_TO_CONVICT
    }

    /// Returns the weight of crashes. A request that was never served may be the cause of several at
    /// one moment.
    fn weight(&self, evidence: &crash_evidence::CrashEvidence) -> usize {
        if self.whole && self.proof.ran_at.is_none() {
            evidence.weight()
        } else {
            evidence.independent_weight()
        }
    }
}

/// Position of a part in the order of convictions: prompt parts before whole requests, then those
/// never proved sound, then those with most crashes.
fn candidate(
    (part, entry): (&ids::PartHash, &PartEntry),
) -> Option<(bool, bool, cmp::Reverse<usize>, ids::PartHash)> {
    let weight = entry.weight(&entry.evidence);
    (weight >= WEIGHT_TO_CONVICT).then_some((
        entry.whole,
        entry.proof.began_at.is_some(),
        cmp::Reverse(weight),
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
        let class = match (entry.convicted, entry.weight(&entry.evidence)) {
            (true, _) => 0,
            (false, weight) if weight > crash_evidence::CRASH_WEIGHT => 1,
            (false, crash_evidence::CRASH_WEIGHT) => 2,
            (false, _) => 4,
        };
        return Some((class, age(last_crash), *part));
    }
    let cleared_at = entry.cleared_at.filter(|at| age(*at) < CLEARING_TIME)?;
    Some((3, age(cleared_at), *part))
}

/// Returns the proof that another node tells of.
fn proof_of(record: &types::PartSuspect, now: time::Instant) -> crash_evidence::PartProof {
    crash_evidence::PartProof {
        began_at: now.checked_sub(record.proof_age).filter(|_| record.proven),
        ran_at: record.ran.as_ref().and_then(|proof| now.checked_sub(proof.age)),
    }
}

fn record(part: ids::PartHash, entry: &PartEntry, now: time::Instant) -> types::PartSuspect {
    let age = |at: Option<time::Instant>| at.map(|at| now.saturating_duration_since(at));
    let proof_age = age(entry.proof.began_at);
    let limit = if entry.convicted { CRASHES_PER_CONVICTION } else { CRASHES_PER_RECORD };
    types::PartSuspect {
        crashes: entry.evidence.records(limit, now),
        part,
        proof_age: proof_age.unwrap_or_default(),
        proven: proof_age.is_some(),
        ran: age(entry.proof.ran_at).map(|age| types::RunProof { age }),
        whole: entry.whole,
    }
}

fn is_expired(entry: &PartEntry, now: time::Instant) -> bool {
    let last_crash = entry.evidence.last_crash();
    last_crash.is_none_or(|at| now.saturating_duration_since(at) >= RETENTION)
}
