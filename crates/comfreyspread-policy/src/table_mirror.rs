//! Copy of a table in the platform's store, updated from the store or from other nodes.
//!
//! A row is replaced only by a newer version, so the order and source of updates do not matter.
//! Removed rows leave a tombstone, so that a stale copy from another node does not restore them.
//! The mirror also tracks the version up to which it has all changes. This can be lower than the
//! newest row version, because a table may change while it is read in pages.

use comfreyspread_schema::{ids, types};
use indexmap::IndexMap;

/// Number of tombstones above which all of them are dropped.
const MAX_TOMBSTONES: usize = 4096;

/// Copy of one table.
#[derive(Debug, Default)]
pub struct TableMirror {
    rows: IndexMap<ids::Text, types::StoreRow>,
    loaded: bool,
    complete_version: u64,
}

impl TableMirror {
    /// Merges rows from a source that has all changes up to `version`; `rows` must contain every
    /// change that this mirror lacks. Returns the rows that were newer than the mirror's.
    pub fn merge(&mut self, rows: Vec<types::StoreRow>, version: u64) -> Vec<types::StoreRow> {
        let mut changed = Vec::new();
        for row in rows {
            let known = self.rows.get(&row.key).map_or(0, |known| known.version);
            if row.version > known {
                changed.push(row.clone());
                self.rows.insert(row.key.clone(), row);
            }
        }
        self.loaded = true;
        self.complete_version = self.complete_version.max(version);
        self.prune_tombstones();
        changed
    }

    /// Replaces the mirror with the full table as of `version`. Returns the rows that changed,
    /// including removed rows.
    pub fn replace(&mut self, rows: Vec<types::StoreRow>, version: u64) -> Vec<types::StoreRow> {
        let removed = self.rows.values().filter(|known| {
            known.value.is_some()
                && known.version <= version
                && !rows.iter().any(|row| row.key == known.key)
        });
        let removed = removed.map(|known| types::StoreRow {
            compressed: false,
            key: known.key.clone(),
            value: None,
            version: version.max(known.version + 1),
        });
        let removed: Vec<_> = removed.collect();
        self.merge(rows.into_iter().chain(removed).collect(), version)
    }

    /// Returns the rows that are newer than `version`.
    pub fn rows_after(&self, version: u64) -> Vec<types::StoreRow> {
        self.rows.values().filter(|row| row.version > version).cloned().collect()
    }

    /// Returns the version up to which the mirror has all changes.
    pub fn complete_version(&self) -> u64 {
        self.complete_version
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

    fn prune_tombstones(&mut self) {
        let removed = self.rows.values().filter(|row| row.value.is_none()).count();
        if removed > MAX_TOMBSTONES {
            self.rows.retain(|_, row| row.value.is_some());
        }
    }
}
