//! Requests that crash the endpoints that run them.
//!
//! When an endpoint goes away, every call in flight there becomes a suspect. A suspect runs alone
//! from then on, so that a second crash can only be its own doing and convicts it. A suspect that
//! is served alone is cleared. Records are keyed by the digest of the body, since a caller sends
//! the same body again under another request id, and they are shared between nodes.

use comfreyspread_schema::{ids, types};
use indexmap::IndexMap;
use std::time;

const RECORD_LIFE: time::Duration = time::Duration::from_secs(600);
const MOST_RECORDS: usize = 10_000;

/// How a request is to be treated.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SuspectStance {
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
    convicted: bool,
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
    pub fn stance(&self, digest: &ids::BodyDigest, now: time::Instant) -> SuspectStance {
        let entry = self.entries.get(digest).filter(|entry| is_current(entry, now));
        match entry {
            None => SuspectStance::Clear,
            Some(entry) if entry.convicted => SuspectStance::Convicted,
            Some(_) => SuspectStance::Suspect,
        }
    }

    /// Takes note that an endpoint went away while it ran the request, alone or beside others.
    pub fn note_crash(&mut self, digest: &ids::BodyDigest, alone: bool, now: time::Instant) {
        self.make_room(now);
        let empty = SuspectEntry { crashes: 0, convicted: false, noted: now };
        let entry = self.entries.entry(digest.clone()).or_insert(empty);
        entry.crashes += 1;
        entry.convicted |= alone && entry.crashes > 1;
        entry.noted = now;
    }

    /// Takes note that the request was served; a suspect is cleared.
    pub fn note_served(&mut self, digest: &ids::BodyDigest) {
        if self.entries.get(digest).is_some_and(|entry| !entry.convicted) {
            self.entries.swap_remove(digest);
        }
    }

    /// Takes over what another node found out.
    pub fn merge(&mut self, record: &types::SuspectRecord, now: time::Instant) {
        self.make_room(now);
        let empty = SuspectEntry { crashes: 0, convicted: false, noted: now };
        let entry = self.entries.entry(record.digest.clone()).or_insert(empty);
        entry.crashes = entry.crashes.max(record.crashes);
        entry.convicted |= record.convicted;
    }

    /// Returns up to `most` of the latest records, for other nodes.
    pub fn latest(&self, most: usize, now: time::Instant) -> Vec<types::SuspectRecord> {
        let current = self.entries.iter().rev().filter(|(_, entry)| is_current(entry, now));
        let record = |(digest, entry): (&ids::BodyDigest, &SuspectEntry)| types::SuspectRecord {
            convicted: entry.convicted,
            crashes: entry.crashes,
            digest: digest.clone(),
        };
        current.take(most).map(record).collect()
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
