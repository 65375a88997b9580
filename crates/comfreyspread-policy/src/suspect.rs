//! Requests that crash the endpoints that run them.
//!
//! When an endpoint goes away, every call in flight there becomes a suspect. A suspect runs alone
//! from then on, so that a second crash can only be its own doing and convicts it. A suspect that
//! is served alone is cleared. One that was there at several crashes is convicted all the same. Records are keyed by the digest of the body, since a caller sends
//! the same body again under another request id, and they are shared between nodes.

use comfreyspread_schema::{ids, types};
use indexmap::IndexMap;
use std::time;

const RECORD_LIFE: time::Duration = time::Duration::from_secs(600);
const MOST_RECORDS: usize = 10_000;
/// Crashes that convict a request whatever ran beside it.
const CONVICTING_CRASHES: u32 = 3;

/// How a request is to be treated.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SuspectStatus {
    /// Nothing is held against it.
    Clear,
    /// It has to run alone.
    Suspect,
    /// It is refused.
    Convicted,
}

#[derive(Clone, Copy, Debug)]
struct SuspectEntry {
    crashes: u32,
    phase: types::SuspectPhase,
    noted: time::Instant,
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

    /// Returns how the request with this digest is to be treated.
    pub fn status(&self, digest: &ids::BodyDigest, now: time::Instant) -> SuspectStatus {
        let entry = self.entries.get(digest).filter(|entry| is_current(entry, now));
        match entry.map(|entry| entry.phase) {
            None | Some(types::SuspectPhase::Cleared) => SuspectStatus::Clear,
            Some(types::SuspectPhase::Suspect) => SuspectStatus::Suspect,
            Some(types::SuspectPhase::Convicted) => SuspectStatus::Convicted,
        }
    }

    /// Takes note that an endpoint went away while it ran the request, alone or beside others.
    pub fn note_crash(&mut self, digest: &ids::BodyDigest, alone: bool, now: time::Instant) {
        let known = self.entries.get(digest).filter(|entry| is_current(entry, now)).copied();
        let held = known.filter(|entry| entry.phase != types::SuspectPhase::Cleared);
        let crashes = held.map_or(0, |entry| entry.crashes) + 1;
        let convicted = held.is_some_and(|entry| entry.phase == types::SuspectPhase::Convicted);
        let phase = if convicted || (alone && crashes > 1) || crashes >= CONVICTING_CRASHES {
            types::SuspectPhase::Convicted
        } else {
            types::SuspectPhase::Suspect
        };
        self.put(digest, SuspectEntry { crashes, phase, noted: now }, now);
    }

    /// Takes note that the request was served; a suspect is cleared.
    pub fn note_served(&mut self, digest: &ids::BodyDigest, now: time::Instant) {
        if let Some(entry) = self.entries.get_mut(digest)
            && entry.phase == types::SuspectPhase::Suspect
        {
            entry.phase = types::SuspectPhase::Cleared;
            entry.noted = now;
        }
    }

    /// Takes over what another node found out, if it is newer or convicts.
    pub fn merge(&mut self, record: &types::SuspectRecord, now: time::Instant) {
        let Some(noted) = now.checked_sub(record.age) else { return };
        let found = SuspectEntry { crashes: record.crashes, phase: record.phase, noted };
        if !is_current(&found, now) {
            return;
        }
        let convicts = |entry: &SuspectEntry| entry.phase == types::SuspectPhase::Convicted;
        let newer = match self.entries.get(&record.digest) {
            None => true,
            Some(known) if convicts(known) != convicts(&found) => convicts(&found),
            Some(known) => known.noted < noted,
        };
        if newer {
            self.put(&record.digest, found, now);
        }
    }

    /// Returns up to `most` of the latest records, for other nodes.
    pub fn latest(&self, most: usize, now: time::Instant) -> Vec<types::SuspectRecord> {
        let current = self.entries.iter().rev().filter(|(_, entry)| is_current(entry, now));
        let record = |(digest, entry): (&ids::BodyDigest, &SuspectEntry)| types::SuspectRecord {
            age: now.saturating_duration_since(entry.noted),
            crashes: entry.crashes,
            digest: digest.clone(),
            phase: entry.phase,
        };
        current.take(most).map(record).collect()
    }

    fn put(&mut self, digest: &ids::BodyDigest, entry: SuspectEntry, now: time::Instant) {
        self.entries.shift_remove(digest);
        self.make_room(now);
        self.entries.insert(digest.clone(), entry);
    }

    fn make_room(&mut self, now: time::Instant) {
        if self.entries.len() < MOST_RECORDS {
            return;
        }
        self.entries.retain(|_, entry| is_current(entry, now));
        if self.entries.len() >= MOST_RECORDS {
            self.entries.shift_remove_index(0);
        }
    }
}

fn is_current(entry: &SuspectEntry, now: time::Instant) -> bool {
    now.saturating_duration_since(entry.noted) < RECORD_LIFE
}
