//! Following what endpoints register of themselves.

use super::{state, table_follow};
use comfreyspread_platform::{registration, store};
use comfreyspread_policy::{endpoint_directory, outage_recovery};
use comfreyspread_schema::{ids, types};
use std::{sync, sync::atomic::Ordering, time};

/// Follows the endpoints' table.
#[derive(Debug)]
pub struct EndpointFollower;

impl table_follow::TableFollower for EndpointFollower {
    const NAME: &'static str = store::ENDPOINT_TABLE;
    const TABLE: types::StoreTable = types::StoreTable::Endpoints;

    fn change(&self, state: &sync::Arc<state::GatewayState>, rows: Vec<types::StoreRow>) {
        let now = time::Instant::now();
        let first = !state.endpoints_read.swap(true, Ordering::Relaxed);
        if first {
            log::info!(count = rows.len(); "endpoints: read");
        }
        let doubtful = state.store_tables.lock().endpoints.news.is_recovering(now);
        let mut doubted = Vec::new();
        for row in rows {
            match decode(&row) {
                Some(registration) => insert(state, registration, first, now),
                None if doubtful => doubted.push(row),
                None => remove(state, &row.key),
            }
        }
        state.batches.lock().wake_all();
        if !doubted.is_empty() {
            state.context.spawner.detach(remove_later(state.clone(), doubted));
        }
    }
}

fn insert(
    state: &state::GatewayState,
    registration: types::EndpointRegistration,
    first: bool,
    now: time::Instant,
) {
    let service = state.routes().service(&registration.service).cloned();
    let cold = service.filter(|_| !first).map_or(time::Duration::ZERO, |one| one.cold_start);
    log::debug!(endpoint = registration.endpoint.as_ref(), leaving = registration.leaving;
        "endpoints: changed");
    state.directory.lock().insert(registration, endpoint_directory::ColdStart { cold }, now);
}

fn remove(state: &state::GatewayState, endpoint: &ids::EndpointId) {
    log::info!(endpoint = endpoint.as_ref(); "endpoints: gone");
    state.directory.lock().remove(endpoint);
}

/// Removes endpoints whose entries have not come back after an outage of the store.
async fn remove_later(state: sync::Arc<state::GatewayState>, rows: Vec<types::StoreRow>) {
    async_io::Timer::after(outage_recovery::RECOVERY_TIME).await;
    for row in rows {
        let back = {
            let tables = state.store_tables.lock();
            tables.endpoints.mirror.rows_after(row.version).iter().any(|newer| newer.key == row.key)
        };
        if !back {
            remove(&state, &row.key);
        }
    }
    state.batches.lock().wake_all();
}

/// Returns the entry of a row; none if it was removed or names no endpoint that can be used.
fn decode(row: &types::StoreRow) -> Option<types::EndpointRegistration> {
    let body = row.value.as_ref()?;
    let decoded = registration::decode(&row.key, body);
    decoded
        .inspect_err(|fault| {
            log::warn!(endpoint = row.key.as_ref(); "endpoints: entry not used. error={fault}");
        })
        .ok()
}
