//! Takes up the operator's orders of roll-outs, and divides the requests by their states.

use crate::gateway::state;
use comfreyspread_platform::rollout_document;
use comfreyspread_policy::{rollout_state, store_position, version_exposure};
use comfreyspread_schema::{ids, types};
use std::sync::atomic;

/// Applies a row of the operator's table that orders a roll-out of `service`, or takes it back.
pub fn apply_row(state: &state::GatewayState, service: &str, row: &types::StoreRow) {
    if state.settings.exposure_share <= 0.0 {
        log::warn!(service = service; "rollouts: order ignored, the settings allow none");
        return;
    }
    let Some(body) = &row.value else {
        log::info!(service = service, version = row.version; "rollouts: order taken back");
        state.rollouts.lock().cancel_order(service);
        divide_requests(state, service);
        state.rollouts_changed.notify(usize::MAX);
        return;
    };
    let order = match rollout_document::decode_order(body) {
        Ok(order) if *order.service == *service => order,
        Ok(order) => {
            log::error!(service = service, named = order.service.as_ref();
                "rollouts: order ignored, its row names another service");
            return;
        }
        Err(error) => {
            log::error!(service = service; "rollouts: order not valid. error={error}");
            return;
        }
    };
    log::info!(service = service, to = order.to.as_ref(), version = row.version,
        duration_ms = order.duration.as_millis() as u64; "rollouts: ordered");
    if state.rollouts.lock().set_order(order, store_position::of_row(row)) {
        divide_requests(state, service);
        state.rollouts_changed.notify(usize::MAX);
    }
}

/// Applies a state that is known to be stored.
pub fn apply_record(state: &state::GatewayState, record: types::RolloutRecord) {
    let service = record.service.clone();
    let text = rollout_state::describe(&record);
    let revision = record.revision;
    if state.rollouts.lock().apply_record(record) {
        log::info!(revision = revision; "rollouts: {text}");
        divide_requests(state, &service);
        state.rollouts_changed.notify(usize::MAX);
    }
}

/// Divides the requests of a service by what is known of its roll-out.
pub fn divide_requests(state: &state::GatewayState, service: &str) {
    let credit = starting_credit(state);
    let rollouts = state.rollouts.lock();
    let Some(entry) = rollouts.get(service) else { return };
    let name: ids::ServiceName = service.into();
    state.directory.lock().versions_mut().set_rule(&name, entry.rule(), credit);
    drop(rollouts);
    state.batchers.lock().wake_all();
}

/// Returns the credit with which the budget of a new roll-out starts here.
fn starting_credit(state: &state::GatewayState) -> f64 {
    let is_known_from_start = !state.endpoints_loaded.load(atomic::Ordering::Relaxed);
    let allowance = if is_known_from_start { 0.0 } else { state.settings.exposure_allowance };
    version_exposure::starting_credit(rand::random(), allowance, state.sharing_nodes())
}
