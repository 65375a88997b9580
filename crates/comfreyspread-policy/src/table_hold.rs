//! Rows that a mirror holds back after the store was restored from a copy.
//!
//! The copy lacks the latest changes until their writers make them again. What it says against the
//! rows in force is held back for a bounded time: a row that is written again meanwhile is applied
//! at once, and what is still held at the end is applied then.

use crate::store_position;
use comfreyspread_schema::{ids, types};
use indexmap::IndexMap;
use std::time;

/// How long rows are held back: three heartbeats of an endpoint, and a margin for their delivery.
pub const HOLD_TIME: time::Duration = time::Duration::from_secs(5);
/// How far back a copy may reach. Within this time after a restore, the next copy may stem from
/// before it.
const MAX_COPY_AGE: time::Duration = time::Duration::from_secs(60);

/// How the rows of a hold were released.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct HoldSummary {
    /// Rows held back when the hold began.
    pub held: usize,
    /// Rows that were written or removed again.
    pub rewritten: usize,
    /// Rows that prove to be newer than those in force.
    pub confirmed: usize,
    /// Rows still held at the end.
    pub expired: usize,
}

/// End of a hold.
#[derive(Clone, Debug, Default)]
pub struct HoldEnd {
    /// Rows that are in force from now on.
    pub rows: Vec<types::StoreRow>,
    /// How the rows were released.
    pub summary: HoldSummary,
}

/// Rows held back in the present era.
#[derive(Debug, Default)]
pub struct TableHold {
    rows: IndexMap<ids::Text, types::StoreRow>,
    summary: HoldSummary,
    restored_at: Option<time::Instant>,
    until: Option<time::Instant>,
}

impl TableHold {
    /// Begins the hold of an era that ends after `length`; rows held before are forgotten.
    /// `restored` is whether an earlier era is known.
    pub fn begin(&mut self, restored: bool, length: time::Duration, now: time::Instant) {
        let until = Some(now + length.min(HOLD_TIME));
        *self = Self { restored_at: restored.then_some(now), until, ..Self::default() };
    }

    /// Holds a row back.
    pub fn insert(&mut self, row: types::StoreRow) {
        self.summary.held += 1;
        self.rows.insert(row.key.clone(), row);
    }

    /// Returns the rows held back; a removed row has no value.
    pub fn rows(&self) -> impl Iterator<Item = &types::StoreRow> {
        self.rows.values()
    }

    /// Returns the position of the row held back for a key.
    pub fn position(&self, key: &ids::Text) -> Option<types::StorePosition> {
        self.rows.get(key).map(store_position::of_row)
    }

    /// Whether the removal of a row is held back.
    pub fn is_removal(&self, key: &ids::Text) -> bool {
        self.rows.get(key).is_some_and(|row| row.value.is_none())
    }

    /// Replaces the row held back for its key, which remains held.
    pub fn renew(&mut self, row: &types::StoreRow) {
        self.rows.insert(row.key.clone(), row.clone());
    }

    /// Forgets the row held back for a key that was written or removed again.
    pub fn record_rewritten(&mut self, key: &ids::Text) {
        if self.rows.swap_remove(key).is_some() {
            self.summary.rewritten += 1;
        }
    }

    /// Takes the row held back for a key, which is newer than the one in force.
    pub fn confirm(&mut self, key: &ids::Text) -> Option<types::StoreRow> {
        let row = self.rows.swap_remove(key)?;
        self.summary.confirmed += 1;
        Some(row)
    }

    /// Takes the rows still held if the hold is over; `None` before.
    pub fn end(&mut self, now: time::Instant) -> Option<HoldEnd> {
        self.until.filter(|until| *until <= now)?;
        let rows: Vec<_> = self.rows.drain(..).map(|(_, row)| row).collect();
        let summary = HoldSummary { expired: rows.len(), ..self.summary };
        self.summary = HoldSummary::default();
        Some(HoldEnd { rows, summary })
    }

    /// Returns for how long rows are still held back.
    pub fn remaining_time(&self, now: time::Instant) -> time::Duration {
        self.until.map_or(time::Duration::ZERO, |until| until.saturating_duration_since(now))
    }

    /// Whether a copy that is read now can be from before the present era.
    pub fn may_precede_era(&self, now: time::Instant) -> bool {
        let restored_at = self.restored_at;
        restored_at.is_some_and(|at| now.saturating_duration_since(at) < MAX_COPY_AGE)
    }
}
