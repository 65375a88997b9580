//! Following what endpoints register of themselves.

use super::{state, table_watcher};
use comfreyspread_platform::{registration, store};
use comfreyspread_policy::{endpoint_directory, outage_recovery};
use comfreyspread_schema::{ids, types};
use std::{sync, sync::atomic::Ordering, time};

/// Follows the endpoints' table.
#[derive(Debug)]
pub struct EndpointWatcher;

impl table_watcher::TableWatcher for EndpointWatcher {
    const NAME: &'static str = store::ENDPOINT_TABLE;
    const TABLE: types::StoreTable = types::StoreTable::Endpoints;

    fn apply_rows(&self, state: &sync::Arc<state::GatewayState>, rows: Vec<types::StoreRow>) {
        let now = time::Instant::now();
        let first = !state.endpoints_loaded.swap(true, Ordering::Relaxed);
        if first {
            log::info!(count = rows.len(); "endpoints: read");
        }
        let recovering = state.store_tables.lock().endpoints.freshness.is_recovering(now);
        let mut deferred = Vec::new();
        for row in rows {
            match decode(&row) {
                Some(entry) => insert(state, entry, first, now),
                None if recovering => deferred.push(row),
                None => remove(state, &row.key),
            }
        }
        state.batches.lock().wake_all();
        if !deferred.is_empty() {
            state.context.spawner.detach(remove_after_recovery(state.clone(), deferred));
        }
    }
}

fn insert(
    state: &state::GatewayState,
    entry: types::EndpointEntry,
    first: bool,
    now: time::Instant,
) {
    let service = state.routes().service(&entry.service).cloned();
    let cold = service.filter(|_| !first).map_or(time::Duration::ZERO, |one| one.cold_start);
    log::debug!(endpoint = entry.endpoint.as_ref(), leaving = entry.leaving; "endpoints: changed");
    state.directory.lock().insert(entry, endpoint_directory::ColdStart { cold }, now);
}

fn remove(state: &state::GatewayState, endpoint: &ids::EndpointId) {
    log::info!(endpoint = endpoint.as_ref(); "endpoints: gone");
    state.directory.lock().remove(endpoint);
}

/// Removes endpoints whose entries have not come restored after an outage of the store.
async fn remove_after_recovery(state: sync::Arc<state::GatewayState>, rows: Vec<types::StoreRow>) {
    async_io::Timer::after(outage_recovery::RECOVERY_TIME).await;
    for row in rows {
        let restored = {
            let tables = state.store_tables.lock();
            tables.endpoints.mirror.rows_after(row.version).iter().any(|newer| newer.key == row.key)
        };
        if !restored {
            remove(&state, &row.key);
        }
    }
    state.batches.lock().wake_all();
}

/// Returns the entry of a row; none if it was removed or names no endpoint that can be used.
fn decode(row: &types::StoreRow) -> Option<types::EndpointEntry> {
    let body = row.value.as_ref()?;
    let decoded = registration::decode(&row.key, body);
    decoded
        .inspect_err(|error| {
            log::warn!(endpoint = row.key.as_ref(); "endpoints: entry not used. error={error}");
        })
        .ok()
}
