//! Records what an endpoint says about itself in the head of an answer.

use super::state;
use comfreyspread_policy::endpoint_intake;
use comfreyspread_schema::{ids, types};
use std::time;

/// Records what the head of an answer to a call without an id says about its endpoint. An answer
/// with an id belongs to another request, so it says nothing.
pub fn record_unnamed(
    state: &state::GatewayState,
    endpoint: &ids::EndpointId,
    started_at_ms: u64,
    signals: &types::ResponseSignals,
) {
    match &signals.request {
        None => record(state, endpoint, started_at_ms, signals),
        Some(request) => log::warn!(endpoint = endpoint.as_ref(), request = request.as_ref();
            "endpoints: answer names a request that was not sent"),
    }
}

/// Records what the head of an answer says about its endpoint, whose process started at
/// `started_at_ms`. It counts whatever the status, and whether or not the answer is used.
pub fn record(
    state: &state::GatewayState,
    endpoint: &ids::EndpointId,
    started_at_ms: u64,
    signals: &types::ResponseSignals,
) {
    let now = time::Instant::now();
    if let Some(text) = &signals.invalid_pause {
        log::warn!(endpoint = endpoint.as_ref(), text = text.as_ref(),
            used_ms = signals.pause.as_millis() as u64;
            "endpoints: pause asked for is not one number of seconds");
    }
    if signals.pause > endpoint_intake::MAX_PAUSE {
        log::warn!(endpoint = endpoint.as_ref(), asked_s = signals.pause.as_secs(),
            used_s = endpoint_intake::MAX_PAUSE.as_secs();
            "endpoints: pause asked for is too long");
    }
    let notice = endpoint_intake::IntakeNotice {
        leaving: signals.leaving || signals.misdirected,
        pause: endpoint_intake::pause_length(signals.pause, &mut rand::rng()),
    };
    let mut directory = state.directory.lock();
    if !signals.cold_time_left.is_zero() {
        directory.set_cold(endpoint, signals.cold_time_left, now);
    }
    let change = directory.record_notice(endpoint, started_at_ms, notice, now);
    drop(directory);
    match change {
        None => {}
        Some(endpoint_intake::IntakeChange::Leaving) => {
            log::info!(endpoint = endpoint.as_ref(), misdirected = signals.misdirected;
                "endpoints: leaving, by its answer");
        }
        Some(endpoint_intake::IntakeChange::Paused(until)) => {
            let left = until.saturating_duration_since(now);
            state.context.metrics.stages.count_pause();
            log::info!(endpoint = endpoint.as_ref(), for_ms = left.as_millis() as u64;
                "endpoints: paused, by its answer");
        }
    }
}
