//! Requests that crash the endpoints that run them.
//!
//! When an endpoint crashes, every request in flight there becomes a suspect. A suspect runs alone
//! at its endpoint from then on, so that it must be the cause of a second crash, which convicts it.
//! A suspect that completes is cleared. A request that was in flight at several crashes is
//! convicted even if it ran beside others. Records are keyed by the digest of the body, since
//! callers send the same body again under another request id, and nodes share them.
//!
//! The native front end goes by these records. The gateway goes by [`crate::part_suspect`] and keeps
//! them for nodes of an older build only.

use comfreyspread_schema::{ids, types};
use indexmap::IndexMap;
use rand::seq::IndexedRandom as _;
use std::time;

const RECORD_TTL: time::Duration = time::Duration::from_secs(600);
const MAX_RECORDS: usize = 10_000;
/// Crashes that convict a request even if it ran beside others.
const CRASHES_TO_CONVICT: u32 = 3;

/// How to treat a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SuspectStatus {
    /// It may run beside other requests.
    Clear,
    /// It has to run alone at its endpoint.
    Suspect,
    /// It is rejected.
    Convicted,
}

#[derive(Clone, Copy, Debug)]
struct SuspectEntry {
    crashes: u32,
    phase: types::SuspectPhase,
    recorded_at: time::Instant,
    /// The latest crash, if this node saw it and can tell it from others.
    last_crash: Option<LastCrash>,
}

#[derive(Clone, Copy, Debug)]
struct LastCrash {
    crash: ids::CrashHash,
    seen_at: time::Instant,
}

/// Requests that may crash endpoints.
#[derive(Debug, Default)]
pub struct SuspectTable {
    entries: IndexMap<ids::BodyDigest, SuspectEntry>,
}

impl SuspectTable {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns how to treat the request with this digest.
    pub fn status(&self, digest: &ids::BodyDigest, now: time::Instant) -> SuspectStatus {
        let entry = self.entries.get(digest).filter(|entry| is_fresh(entry, now));
        match entry.map(|entry| entry.phase) {
            None | Some(types::SuspectPhase::Cleared) => SuspectStatus::Clear,
            Some(types::SuspectPhase::Suspect) => SuspectStatus::Suspect,
            Some(types::SuspectPhase::Convicted) => SuspectStatus::Convicted,
        }
    }

    /// Records that an endpoint crashed while it ran the request beside others. Equal requests may
    /// run there at once, and all of them see the one crash.
    pub fn record_shared_crash(
        &mut self,
        digest: &ids::BodyDigest,
        crash: ids::CrashHash,
        now: time::Instant,
    ) {
        if self.last_crash(digest).is_none_or(|last| last.crash != crash) {
            self.record_new_crash(digest, crash, now);
        }
    }

    /// Records that an endpoint crashed while it ran an attempt sent at `sent_at` beside others. Its
    /// crashes have one hash, of its name, and can only be told apart by time. An attempt sent before the latest one
    /// was seen was in flight at that one.
    pub fn record_attempt_crash(
        &mut self,
        digest: &ids::BodyDigest,
        endpoint: ids::CrashHash,
        sent_at: time::Instant,
        now: time::Instant,
    ) {
        let is_known = |last: LastCrash| last.crash == endpoint && sent_at <= last.seen_at;
        if !self.last_crash(digest).is_some_and(is_known) {
            self.record_new_crash(digest, endpoint, now);
        }
    }

    fn last_crash(&self, digest: &ids::BodyDigest) -> Option<LastCrash> {
        self.entries.get(digest)?.last_crash
    }

    fn record_new_crash(
        &mut self,
        digest: &ids::BodyDigest,
        crash: ids::CrashHash,
        now: time::Instant,
    ) {
        self.record_crash(digest, false, now);
        if let Some(entry) = self.entries.get_mut(digest) {
            entry.last_crash = Some(LastCrash { crash, seen_at: now });
        }
    }

    /// Records that an endpoint crashed while it ran the request, alone or beside others.
    pub fn record_crash(&mut self, digest: &ids::BodyDigest, exclusive: bool, now: time::Instant) {
        let known = self.entries.get(digest).filter(|entry| is_fresh(entry, now)).copied();
        let active = known.filter(|entry| entry.phase != types::SuspectPhase::Cleared);
        let crashes = active.map_or(0, |entry| entry.crashes) + 1;
        let convicted = active.is_some_and(|entry| entry.phase == types::SuspectPhase::Convicted);
        let phase = if convicted || (exclusive && crashes > 1) || crashes >= CRASHES_TO_CONVICT {
            types::SuspectPhase::Convicted
        } else {
            types::SuspectPhase::Suspect
        };
        self.put(digest, SuspectEntry { crashes, phase, recorded_at: now, last_crash: None }, now);
    }

    /// Records that the request completed, which clears a suspect.
    pub fn record_served(&mut self, digest: &ids::BodyDigest, now: time::Instant) {
        if let Some(entry) = self.entries.get_mut(digest)
            && entry.phase == types::SuspectPhase::Suspect
        {
            entry.phase = types::SuspectPhase::Cleared;
            entry.recorded_at = now;
        }
    }

    /// Merges a record from another node if it is newer. A conviction that has not expired prevails
    /// over other phases even if it is older, and of two suspicions the larger number of crashes.
    pub fn merge(&mut self, record: &types::CrashSuspect, now: time::Instant) {
        let Some(recorded_at) = now.checked_sub(record.age) else { return };
        let mut received = SuspectEntry {
            crashes: record.crashes,
            phase: record.phase,
            recorded_at,
            last_crash: self.last_crash(&record.digest),
        };
        if !is_fresh(&received, now) {
            return;
        }
        let convicted = |entry: &SuspectEntry| entry.phase == types::SuspectPhase::Convicted;
        let prevails = match self.entries.get_mut(&record.digest) {
            None => true,
            Some(known) if both_suspected(known, &received) => {
                known.crashes = known.crashes.max(received.crashes);
                received.crashes = known.crashes;
                known.recorded_at < recorded_at
            }
            Some(known) if convicted(known) != convicted(&received) => convicted(&received),
            Some(known) => known.recorded_at < recorded_at,
        };
        if prevails {
            self.put(&record.digest, received, now);
        }
    }

    /// Returns up to `limit` of the latest records, for other nodes.
    pub fn latest(&self, limit: usize, now: time::Instant) -> Vec<types::CrashSuspect> {
        let current = self.entries.iter().rev().filter(|(_, entry)| is_fresh(entry, now));
        let record = |(digest, entry): (&ids::BodyDigest, &SuspectEntry)| types::CrashSuspect {
            age: now.saturating_duration_since(entry.recorded_at),
            crashes: entry.crashes,
            digest: digest.clone(),
            phase: entry.phase,
        };
        current.take(limit).map(record).collect()
    }

    /// Returns up to `limit` records for another node: half of them those that matter most, the
    /// others at random.
    pub fn records<Random>(
        &self,
        limit: usize,
        now: time::Instant,
        random: &mut Random,
    ) -> Vec<types::CrashSuspect>
    where
        Random: rand::Rng,
    {
        let mut ranked = self.latest(usize::MAX, now);
        ranked.sort_by_key(|record| (rank(record), record.age));
        let others = ranked.split_off(ranked.len().min(limit.div_ceil(2)));
        let others = others.choose_multiple(random, limit - ranked.len());
        ranked.extend(others.cloned());
        ranked
    }

    fn put(&mut self, digest: &ids::BodyDigest, entry: SuspectEntry, now: time::Instant) {
        self.entries.shift_remove(digest);
        self.evict_if_full(now);
        self.entries.insert(digest.clone(), entry);
    }

    fn evict_if_full(&mut self, now: time::Instant) {
        if self.entries.len() < MAX_RECORDS {
            return;
        }
        self.entries.retain(|_, entry| is_fresh(entry, now));
        if self.entries.len() >= MAX_RECORDS {
            self.entries.shift_remove_index(0);
        }
    }
}

fn both_suspected(one: &SuspectEntry, other: &SuspectEntry) -> bool {
    [one, other].iter().all(|entry| entry.phase == types::SuspectPhase::Suspect)
}

/// Position of a record in the order in which other nodes hear of it: convictions first, then
/// requests that another crash may convict.
fn rank(record: &types::CrashSuspect) -> u8 {
    match (record.phase, record.crashes) {
        (types::SuspectPhase::Convicted, _) => 0,
        (types::SuspectPhase::Suspect, 2..) => 1,
        (types::SuspectPhase::Cleared | types::SuspectPhase::Suspect, _) => 2,
    }
}

fn is_fresh(entry: &SuspectEntry, now: time::Instant) -> bool {
    now.saturating_duration_since(entry.recorded_at) < RECORD_TTL
}
