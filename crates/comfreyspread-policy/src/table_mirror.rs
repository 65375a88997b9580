//! Copy of a table of the platform's store, from the store itself or from other nodes.
//!
//! A row is only ever replaced by a newer version of it, so it does not matter in which order news
//! arrive or where they come from. Removed rows are remembered, so that an older copy from another
//! node does not bring them back. Beside the rows it knows up to which version no change is missing,
//! which is not the newest version of a row where a table is read in pages.

use comfreyspread_schema::{ids, types};
use indexmap::IndexMap;

/// Removed rows that are remembered.
const MOST_REMOVED: usize = 4096;

/// Copy of one table.
#[derive(Debug, Default)]
pub struct TableMirror {
    rows: IndexMap<ids::Text, types::StoreRow>,
    loaded: bool,
    complete_version: u64,
}

impl TableMirror {
    /// Takes in rows of whoever knows all changes up to `version`, all of them that this copy does
    /// not have; returns those that were news.
    pub fn merge(&mut self, rows: Vec<types::StoreRow>, version: u64) -> Vec<types::StoreRow> {
        let mut news = Vec::new();
        for row in rows {
            let known = self.rows.get(&row.key).map_or(0, |known| known.version);
            if row.version > known {
                news.push(row.clone());
                self.rows.insert(row.key.clone(), row);
            }
        }
        self.loaded = true;
        self.complete_version = self.complete_version.max(version);
        self.forget_removed();
        news
    }

    /// Takes in the whole table as of `version`; returns what was news, rows that are not there any
    /// more included.
    pub fn replace(&mut self, rows: Vec<types::StoreRow>, version: u64) -> Vec<types::StoreRow> {
        let gone = self.rows.values().filter(|known| {
            known.value.is_some()
                && known.version <= version
                && !rows.iter().any(|row| row.key == known.key)
        });
        let gone = gone.map(|known| types::StoreRow {
            key: known.key.clone(),
            value: None,
            version: version.max(known.version + 1),
        });
        let gone: Vec<_> = gone.collect();
        self.merge(rows.into_iter().chain(gone).collect(), version)
    }

    /// Returns the rows that are newer than `version`.
    pub fn rows_after(&self, version: u64) -> Vec<types::StoreRow> {
        self.rows.values().filter(|row| row.version > version).cloned().collect()
    }

    /// Returns the version up to which no change is missing.
    pub fn complete_version(&self) -> u64 {
        self.complete_version
    }

    /// Whether the table has been read, from wherever.
    pub fn is_loaded(&self) -> bool {
        self.loaded
    }

    fn forget_removed(&mut self) {
        let removed = self.rows.values().filter(|row| row.value.is_none()).count();
        if removed > MOST_REMOVED {
            self.rows.retain(|_, row| row.value.is_some());
        }
    }
}
