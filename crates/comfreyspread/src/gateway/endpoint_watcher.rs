//! Updates the endpoint directory from the endpoints' registrations in the store.

use super::{state, table_watcher};
use comfreyspread_platform::{registration, store};
use comfreyspread_policy::{endpoint_directory, outage_recovery};
use comfreyspread_schema::{ids, types};
use std::{sync, sync::atomic::Ordering, time};

/// Watches the table of endpoint registrations.
#[derive(Clone, Copy, Debug)]
pub struct EndpointWatcher;

impl table_watcher::TableWatcher for EndpointWatcher {
    const NAME: &'static str = store::ENDPOINT_TABLE;
    const TABLE: types::StoreTable = types::StoreTable::Endpoints;

    fn apply_rows(&self, state: &sync::Arc<state::GatewayState>, rows: Vec<types::StoreRow>) {
        let now = time::Instant::now();
        let first_load = !state.endpoints_loaded.swap(true, Ordering::Relaxed);
        if first_load {
            log::info!(count = rows.len(); "endpoints: loaded");
        }
        let recovering = state.store_tables.lock().endpoints.freshness.is_recovering(now);
        let mut deferred = Vec::new();
        for row in rows {
            match decode(&row) {
                Some(registration) => insert(state, registration, first_load, now),
                None if recovering => deferred.push(row),
                None => remove(state, &row.key),
            }
        }
        state.batchers.lock().wake_all();
        if !deferred.is_empty() {
            state.context.spawner.detach(remove_after_recovery(state.clone(), deferred));
        }
    }

    fn confirms(&self, state: &sync::Arc<state::GatewayState>, row: &types::StoreRow) -> bool {
        decode(row).is_some_and(|registration| state.directory.lock().is_newer(&registration))
    }
}

fn insert(
    state: &state::GatewayState,
    registration: types::EndpointRegistration,
    first_load: bool,
    now: time::Instant,
) {
    let service = state.routes().service(&registration.service).cloned();
    let cold = service.filter(|_| !first_load).map_or(time::Duration::ZERO, |rule| rule.cold_start);
    log::debug!(endpoint = registration.endpoint.as_ref(), leaving = registration.leaving;
        "endpoints: changed");
    let cold_start = endpoint_directory::ColdStart { cold, at_start: first_load };
    state.directory.lock().insert(registration, cold_start, now);
}

fn remove(state: &state::GatewayState, endpoint: &ids::EndpointId) {
    log::info!(endpoint = endpoint.as_ref(); "endpoints: removed");
    state.directory.lock().remove(endpoint, time::Instant::now());
}

/// Removes endpoints that have not registered again once the recovery time after a store outage is
/// over.
async fn remove_after_recovery(state: sync::Arc<state::GatewayState>, rows: Vec<types::StoreRow>) {
    async_io::Timer::after(outage_recovery::RECOVERY_TIME).await;
    for row in rows {
        let restored = {
            let tables = state.store_tables.lock();
            tables.endpoints.mirror.row(&row.key).is_some_and(|known| known.value.is_some())
        };
        if !restored {
            remove(&state, &row.key);
        }
    }
    state.batchers.lock().wake_all();
}

/// Decodes the registration in a row; `None` if the row was removed or is not valid.
fn decode(row: &types::StoreRow) -> Option<types::EndpointRegistration> {
    let body = row.value.as_ref()?;
    let decoded = registration::decode(&row.key, body);
    decoded
        .inspect_err(|error| {
            log::warn!(endpoint = row.key.as_ref();
                "endpoints: registration not valid. error={error}");
        })
        .ok()
}
