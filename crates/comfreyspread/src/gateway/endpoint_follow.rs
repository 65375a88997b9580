//! Following what endpoints register of themselves.

use super::{state, table_follow};
use comfreyspread_platform::{entry, store};
use comfreyspread_schema::types;
use std::{sync::atomic, time};

/// Follows the endpoints' table.
#[derive(Debug)]
pub struct EndpointFollower;

impl table_follow::TableFollower for EndpointFollower {
    const TABLE: &'static str = store::ENDPOINT_TABLE;

    fn replace(&self, state: &state::GatewayState, rows: Vec<types::StoreRow>) {
        let entries: Vec<_> = rows.iter().filter_map(decode).collect();
        log::info!(count = entries.len(); "endpoints: read");
        state.directory.lock().replace(entries, time::Instant::now());
        state.endpoints_read.store(true, atomic::Ordering::Relaxed);
        state.batches.lock().wake_all();
    }

    fn change(&self, state: &state::GatewayState, rows: Vec<types::StoreRow>) {
        let now = time::Instant::now();
        for row in rows {
            match decode(&row) {
                Some(entry) => {
                    log::debug!(endpoint = entry.endpoint.as_ref(), leaving = entry.leaving;
                        "endpoints: changed");
                    state.directory.lock().insert(entry, now);
                }
                None => {
                    log::info!(endpoint = row.key.as_ref(); "endpoints: gone");
                    state.directory.lock().remove(&row.key);
                }
            }
        }
        state.batches.lock().wake_all();
    }
}

/// Returns the entry of a row; none if it was removed or names no endpoint that can be used.
fn decode(row: &types::StoreRow) -> Option<types::EndpointEntry> {
    let body = row.value.as_ref()?;
    let decoded = entry::decode(&row.key, body);
    decoded
        .inspect_err(|fault| {
            log::warn!(endpoint = row.key.as_ref(); "endpoints: entry not used. error={fault}");
        })
        .ok()
}
