//! Keeps the convictions of prompt parts in a store that outlives all nodes.
//!
//! What nodes know of parts is in their memory; a conviction that all of them forgot at once would
//! have to be learnt again, at the price of as many endpoints. One of the live nodes, chosen by the
//! part, sees to its row. It compares the rows with what it knows, in rounds: at once when a
//! conviction begins, ends or has another crash, and now and then while there is one. So a call
//! without an outcome, a change of the node in charge, or rows that the store has lost are all
//! mended by the next round.

use comfreyspread_schema::{ids, types};
use indexmap::IndexMap;
use std::time;

/// Minimum time between two rounds of a node.
const ROUND_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// Time to the next round after one that failed.
const RETRY_INTERVAL: time::Duration = time::Duration::from_secs(3);
/// Time after which rows are compared again though nothing has changed.
const REFRESH_INTERVAL: time::Duration = time::Duration::from_secs(10);
/// Time for which the end of a conviction is remembered once its row is removed: a node that has not
/// heard of it may write the row again.
const END_RETENTION: time::Duration = time::Duration::from_secs(60);
/// Time for which the end of a conviction is remembered at most.
const MAX_END_RETENTION: time::Duration = time::Duration::from_secs(600);
/// Changes in one call.
const CHANGES_PER_ROUND: usize = 100;

/// A row of the store.
#[derive(Clone, Debug, PartialEq)]
pub struct ConvictionRow {
    /// Version of the row.
    pub version: u64,
    /// Record of the part at the time of the read.
    pub record: types::PartSuspect,
}

/// A change of the row of a part.
#[derive(Clone, Debug, PartialEq)]
pub struct ConvictionChange {
    /// The part.
    pub part: ids::PartHash,
    /// Version that the row must have; zero if it must not exist.
    pub version: u64,
    /// Record to write; none removes the row.
    pub record: Option<types::PartSuspect>,
}

/// How a round ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RoundOutcome {
    /// The rows are as they should be.
    Settled,
    /// The rows may not be as they should be.
    Open,
    /// The store did not respond, or refused a call.
    Failed,
}

#[derive(Clone, Debug, PartialEq)]
struct TrackedPart {
    /// Record while the part is convicted.
    record: Option<types::PartSuspect>,
    changed_at: time::Instant,
    settled_at: Option<time::Instant>,
}

/// Convictions of this node, and what is left to do about their rows.
#[derive(Debug)]
pub struct ConvictionStore {
    parts: IndexMap<ids::PartHash, TrackedPart>,
    next_round: time::Instant,
}

impl ConvictionStore {
    /// Creates a store without convictions.
    pub fn new(now: time::Instant) -> Self {
        Self { parts: IndexMap::new(), next_round: now }
    }

    /// Adds the part of a row that was found. Unless it is convicted, the row is removed.
    pub fn track(&mut self, part: ids::PartHash, now: time::Instant) {
        let found = TrackedPart { record: None, changed_at: now, settled_at: None };
        self.parts.entry(part).or_insert(found);
    }

    /// Takes over the records of all parts that are now convicted.
    pub fn update(&mut self, convicted: Vec<types::PartSuspect>, now: time::Instant) {
        let held: Vec<_> = convicted.iter().map(|record| record.part).collect();
        for record in convicted {
            let known = self.parts.get(&record.part).and_then(|part| part.record.as_ref());
            let is_known = known.and_then(last_crash) == last_crash(&record);
            let tracked = self.parts.entry(record.part).or_insert_with(|| new_part(now));
            if !is_known {
                *tracked = new_part(now);
            }
            tracked.record = Some(record);
        }
        for (part, tracked) in &mut self.parts {
            if tracked.record.is_some() && !held.contains(part) {
                *tracked = new_part(now);
            }
        }
        self.parts.retain(|_, tracked| {
            let age = now.saturating_duration_since(tracked.changed_at);
            let retention =
                if tracked.settled_at.is_some() { END_RETENTION } else { MAX_END_RETENTION };
            tracked.record.is_some() || age < retention
        });
    }

    /// Returns whether a round is due, over the parts that `is_own` leaves to this node.
    pub fn is_due<IsOwn>(&self, is_own: IsOwn, now: time::Instant) -> bool
    where
        IsOwn: Fn(ids::PartHash) -> bool,
    {
        let is_open = |tracked: &TrackedPart| {
            tracked
                .settled_at
                .is_none_or(|at| now.saturating_duration_since(at) >= REFRESH_INTERVAL)
        };
        now >= self.next_round
            && self.parts.iter().any(|(part, tracked)| is_open(tracked) && is_own(*part))
    }

    /// Returns the changes that bring the rows that were read up to date.
    pub fn changes<IsOwn>(
        &self,
        rows: &IndexMap<ids::PartHash, ConvictionRow>,
        is_own: IsOwn,
    ) -> Vec<ConvictionChange>
    where
        IsOwn: Fn(ids::PartHash) -> bool,
    {
        let own = self.parts.iter().filter(|(part, _)| is_own(**part));
        let changes = own.filter_map(|(part, tracked)| change(*part, tracked, rows.get(part)));
        changes.take(CHANGES_PER_ROUND).collect()
    }

    /// Records the outcome of a round.
    pub fn finish_round<IsOwn>(&mut self, outcome: RoundOutcome, is_own: IsOwn, now: time::Instant)
    where
        IsOwn: Fn(ids::PartHash) -> bool,
    {
        let is_failed = outcome == RoundOutcome::Failed;
        self.next_round = now + if is_failed { RETRY_INTERVAL } else { ROUND_INTERVAL };
        if outcome != RoundOutcome::Settled {
            return;
        }
        for (part, tracked) in &mut self.parts {
            if is_own(*part) {
                tracked.settled_at = Some(now);
            }
        }
    }
}

/// Returns how a round ends whose `changes` were all made.
pub fn changed_outcome(changes: usize) -> RoundOutcome {
    if changes < CHANGES_PER_ROUND { RoundOutcome::Settled } else { RoundOutcome::Open }
}

fn new_part(now: time::Instant) -> TrackedPart {
    TrackedPart { record: None, changed_at: now, settled_at: None }
}

fn change(
    part: ids::PartHash,
    tracked: &TrackedPart,
    row: Option<&ConvictionRow>,
) -> Option<ConvictionChange> {
    let version = row.map_or(0, |row| row.version);
    let Some(record) = &tracked.record else {
        return row.map(|_| ConvictionChange { part, version, record: None });
    };
    let is_written = row.is_some_and(|row| last_crash(&row.record) == last_crash(record));
    (!is_written).then(|| ConvictionChange { part, version, record: Some(record.clone()) })
}

/// Returns the latest crash of a record.
fn last_crash(record: &types::PartSuspect) -> Option<ids::CrashHash> {
    record.crashes.iter().min_by_key(|crash| crash.age).map(|crash| crash.crash)
}
