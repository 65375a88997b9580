//! Copy of a table in the platform's store, updated from the store or from other nodes.
//!
//! A row is replaced only by one of a higher position, so the order and source of updates do not
//! matter. Removed rows leave a tombstone, so that a stale copy from another node does not restore
//! them. The mirror also tracks the position up to which it has all changes. Its version can be
//! lower than the newest row version, because a table may change while it is read in pages.
//!
//! When the store is restored from a copy, a new era begins, in which versions are given out again.
//! The first full read of an era is compared with the rows in force: what is certainly newer is
//! applied, and what may only be old is held back ([`table_hold`]). A row in force that the store
//! no longer holds keeps its position in the earlier era meanwhile.

use crate::{store_position, table_hold};
use comfreyspread_schema::{ids, types};
use indexmap::{IndexMap, IndexSet};
use std::time;

/// Number of tombstones above which all of them are dropped.
const MAX_TOMBSTONES: usize = 4096;

/// An update from another era of the store than the mirror's.
#[derive(Clone, Copy, Debug, Eq, thiserror::Error, PartialEq)]
#[error("the rows are of era {era} of the store, this copy is of era {known}")]
pub struct OtherEra {
    /// Era of the update.
    pub era: ids::StoreEra,
    /// Era of the mirror.
    pub known: ids::StoreEra,
}

/// A change of the mirror's era.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EraChange {
    /// Position before.
    pub old: types::StorePosition,
    /// Position after.
    pub new: types::StorePosition,
    /// Number of rows held back.
    pub held: usize,
    /// Time until the hold is over.
    pub hold: time::Duration,
}

/// Result of an update.
#[derive(Clone, Debug, Default)]
pub struct MirrorUpdate {
    /// Rows that came into force, including removed rows.
    pub rows: Vec<types::StoreRow>,
    /// Change of the era, if the mirror had rows of an earlier one.
    pub era_change: Option<EraChange>,
}

/// Copy of one table.
#[derive(Debug, Default)]
pub struct TableMirror {
    rows: IndexMap<ids::Text, types::StoreRow>,
    hold: table_hold::TableHold,
    loaded: bool,
    position: types::StorePosition,
    /// Position from which on the mirror knows all removals: that of its last full read.
    history_start: types::StorePosition,
}

impl TableMirror {
    /// Merges rows from a source that has all changes up to `position`; `rows` must contain every
    /// change that this mirror lacks. Returns the rows that were newer than the mirror's.
    ///
    /// # Errors
    ///
    /// Fails if the changes are of another era.
    pub fn merge(
        &mut self,
        rows: Vec<types::StoreRow>,
        position: types::StorePosition,
    ) -> Result<Vec<types::StoreRow>, OtherEra> {
        if position.era != self.position.era {
            return Err(OtherEra { era: position.era, known: self.position.era });
        }
        let changed = rows.into_iter().filter(|row| self.insert_newer(row)).collect();
        self.complete(position);
        Ok(changed)
    }

    /// Replaces the mirror with the full table as of `position`.
    ///
    /// # Errors
    ///
    /// Fails if the table is of an earlier era.
    pub fn replace(
        &mut self,
        rows: Vec<types::StoreRow>,
        position: types::StorePosition,
        now: time::Instant,
    ) -> Result<MirrorUpdate, OtherEra> {
        if position.era > self.position.era {
            return Ok(self.enter_era(rows, position, table_hold::HOLD_TIME, now));
        }
        let keys: IndexSet<_> = rows.iter().map(|row| row.key.clone()).collect();
        let known_rows = self.rows.values().chain(self.hold.rows());
        let removed = known_rows.filter(|known| {
            known.value.is_some()
                && store_position::of_row(known) <= position
                && !keys.contains(&known.key)
        });
        let removed: Vec<_> =
            removed.map(|known| tombstone(known, tombstone_position(known, position))).collect();
        let rows = self.merge(rows.into_iter().chain(removed).collect(), position)?;
        self.history_start = self.position;
        Ok(MirrorUpdate { rows, era_change: None })
    }

    /// Takes over the copy of another node that is of a later era: the rows in force there from
    /// before that era, and those that the store holds in it. `hold` is the time for which the
    /// other node still holds rows back.
    ///
    /// # Errors
    ///
    /// Fails if the copy is not of a later era.
    pub fn take_over(
        &mut self,
        rows: Vec<types::StoreRow>,
        position: types::StorePosition,
        hold: time::Duration,
        now: time::Instant,
    ) -> Result<MirrorUpdate, OtherEra> {
        if position.era <= self.position.era {
            return Err(OtherEra { era: position.era, known: self.position.era });
        }
        let (stored, earlier): (Vec<_>, Vec<_>) =
            rows.into_iter().partition(|row| row.era == position.era);
        let mut changed: Vec<_> =
            earlier.into_iter().filter(|row| self.insert_newer(row)).collect();
        let stored = stored.into_iter().filter(|row| row.value.is_some()).collect();
        let mut update = self.enter_era(stored, position, hold, now);
        changed.append(&mut update.rows);
        Ok(MirrorUpdate { rows: changed, ..update })
    }

    /// Whether this mirror may lack removals after `position`, so that a node that has all changes
    /// up to there needs all rows.
    pub fn lacks_history(&self, position: types::StorePosition) -> bool {
        position < self.history_start
    }

    /// Returns the rows for a node that has all changes up to `position`: those that changed since,
    /// or all rows if the history does not reach back. A node of an earlier era gets all rows from
    /// before this era, too.
    pub fn rows_after(&self, position: types::StorePosition) -> Vec<types::StoreRow> {
        if position.era < self.position.era {
            let held = self.hold.rows().filter(|row| row.value.is_some());
            return self.rows.values().chain(held).cloned().collect();
        }
        let rows = self.rows.values().chain(self.hold.rows());
        if self.lacks_history(position) {
            let era = self.position.era;
            return rows.filter(|row| row.era == era && row.value.is_some()).cloned().collect();
        }
        rows.filter(|row| store_position::of_row(row) > position).cloned().collect()
    }

    /// Returns the rows in force that are newer than `version`, for a node whose build knows no
    /// eras.
    pub fn rows_after_version(&self, version: ids::RowVersion) -> Vec<types::StoreRow> {
        self.rows.values().filter(|row| row.version > version).cloned().collect()
    }

    /// Returns the row in force for a key; a removed row has no value.
    pub fn row(&self, key: &str) -> Option<&types::StoreRow> {
        self.rows.get(key)
    }

    /// Returns the position up to which the mirror has all changes.
    pub fn position(&self) -> types::StorePosition {
        self.position
    }

    /// Returns the rows held back.
    pub fn held_rows(&self) -> Vec<types::StoreRow> {
        self.hold.rows().cloned().collect()
    }

    /// Applies the row held back for a key that is certainly newer than the one in force.
    pub fn confirm_row(&mut self, key: &ids::Text) -> Option<types::StoreRow> {
        let row = self.hold.confirm(key)?;
        self.rows.insert(row.key.clone(), row.clone());
        Some(row)
    }

    /// Applies the rows still held back once the hold is over; returns `None` before.
    pub fn end_hold(&mut self, now: time::Instant) -> Option<table_hold::HoldEnd> {
        let end = self.hold.end(now)?;
        let rows = end.rows.iter();
        self.rows.extend(rows.map(|row| (row.key.clone(), row.clone())));
        self.prune_tombstones();
        Some(end)
    }

    /// Returns for how long rows are still held back.
    pub fn hold_left(&self, now: time::Instant) -> time::Duration {
        self.hold.remaining_time(now)
    }

    /// Returns the size of the largest value, in bytes as kept.
    pub fn largest_value_bytes(&self) -> usize {
        let sizes =
            self.rows.values().filter_map(|row| row.value.as_ref()).map(|value| value.len());
        sizes.max().unwrap_or(0)
    }

    /// Whether the table has been read from any source.
    pub fn is_loaded(&self) -> bool {
        self.loaded
    }

    /// Compares the store's rows in a new era with those in force, and applies or holds them.
    fn enter_era(
        &mut self,
        rows: Vec<types::StoreRow>,
        position: types::StorePosition,
        hold: time::Duration,
        now: time::Instant,
    ) -> MirrorUpdate {
        let old = self.position;
        let copy_is_later = old.era == 0 || !self.hold.may_precede_era(now);
        let versions_compare = self.loaded && copy_is_later;
        let had_rows = self.loaded || !self.rows.is_empty();
        self.hold.begin(had_rows, hold, now);
        let stored: IndexSet<_> = rows.iter().map(|row| row.key.clone()).collect();
        let mut changed = Vec::new();
        for row in rows {
            let known_version = self.rows.get(&row.key).map_or(0, |known| known.version);
            // In the history that both share, a row that differs and is not older is newer.
            let is_newer = row.version > position.version
                || (versions_compare && row.version >= known_version);
            changed.extend(self.compare_row(row, is_newer));
        }
        self.hold_removals(&stored, position);
        self.complete(position);
        self.history_start = position;
        let held = self.hold.rows().count();
        let hold = self.hold.remaining_time(now);
        let era_change = had_rows.then_some(EraChange { old, new: position, held, hold });
        MirrorUpdate { rows: changed, era_change }
    }

    /// Applies or holds a row that the store has in a new era. Returns the row if it changed.
    fn compare_row(&mut self, row: types::StoreRow, is_newer: bool) -> Option<types::StoreRow> {
        let known = self.rows.get(&row.key);
        let is_same = known.is_some_and(|known| known.value == row.value);
        if known.is_some() && !is_same && !is_newer {
            self.hold.insert(row);
            return None;
        }
        self.rows.insert(row.key.clone(), row.clone());
        (!is_same).then_some(row)
    }

    /// Holds the removal of rows in force that the store lacks in a new era.
    fn hold_removals(&mut self, stored: &IndexSet<ids::Text>, position: types::StorePosition) {
        for known in self.rows.values_mut().filter(|known| !stored.contains(&known.key)) {
            let removed = tombstone(known, position);
            if known.value.is_some() {
                self.hold.insert(removed);
            } else {
                *known = removed;
            }
        }
    }

    /// Inserts a row if it is newer than the one in force and the one held back.
    fn insert_newer(&mut self, row: &types::StoreRow) -> bool {
        let known = self.rows.get(&row.key).map(store_position::of_row);
        let newest = known.max(self.hold.position(&row.key)).unwrap_or_default();
        if store_position::of_row(row) <= newest {
            return false;
        }
        if row.value.is_none() && self.hold.is_removal(&row.key) {
            self.hold.renew(row);
            return false;
        }
        self.hold.record_rewritten(&row.key);
        self.rows.insert(row.key.clone(), row.clone());
        true
    }

    fn complete(&mut self, position: types::StorePosition) {
        self.loaded = true;
        self.position = self.position.max(position);
        self.prune_tombstones();
    }

    fn prune_tombstones(&mut self) {
        let removed = self.rows.values().filter(|row| row.value.is_none()).count();
        if removed > MAX_TOMBSTONES {
            self.rows.retain(|_, row| row.value.is_some());
            self.history_start = self.position;
        }
    }
}

fn tombstone(known: &types::StoreRow, position: types::StorePosition) -> types::StoreRow {
    types::StoreRow {
        compressed: false,
        era: position.era,
        key: known.key.clone(),
        value: None,
        version: position.version,
    }
}

/// Returns the position of the tombstone of a row that a full read at `position` lacks.
fn tombstone_position(
    known: &types::StoreRow,
    position: types::StorePosition,
) -> types::StorePosition {
    let is_same_era = known.era == position.era;
    let after_known = if is_same_era { known.version + 1 } else { 0 };
    types::StorePosition { version: position.version.max(after_known), ..position }
}
