//! Positions in the store's changes that rows and messages of nodes carry.
//!
//! Messages between nodes keep era and version apart, because older builds know only the version.

use comfreyspread_schema::types;

/// Returns the position at which a row was written or removed.
pub fn of_row(row: &types::StoreRow) -> types::StorePosition {
    types::StorePosition { era: row.era, version: row.version }
}

/// Returns the position up to which the sender of a reply has all changes.
pub fn of_reply(reply: &types::TableReply) -> types::StorePosition {
    types::StorePosition { era: reply.era, version: reply.version }
}
