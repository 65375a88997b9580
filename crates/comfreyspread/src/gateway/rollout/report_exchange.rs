//! Messages of nodes to the one that decides on a roll-out.

use super::{active_decider, decision_task, rollout_orders};
use crate::{
    gateway::state,
    membership::peer,
    transport::{failure, http_client, http_message, http_server},
};
use comfreyspread_schema::{ids, types};
use std::{net, time};

/// Path of a [`types::RolloutReport`], answered by a [`types::RolloutReply`].
pub const REPORT_PATH: &str = "/peer/rollouts";

/// Timeout of a report.
const REPORT_TIMEOUT: time::Duration = time::Duration::from_millis(800);

/// Returns what this node reports of a roll-out; none if it knows of no order.
pub fn build_report(
    state: &state::GatewayState,
    service: &ids::ServiceName,
) -> Option<types::RolloutReport> {
    let rollouts = state.rollouts.lock();
    let entry = rollouts.get(service)?;
    let (to, counts) = (entry.order.to.clone(), entry.evidence.counts());
    let failing = entry.evidence.failing();
    let revision = entry.current().map_or(0, |record| record.revision);
    drop(rollouts);
    let directory = state.directory.lock();
    let running = directory.old_running(service, &to);
    let old_endpoints: Vec<_> = directory
        .endpoints()
        .filter(|one| one.registration.service == *service && one.registration.version != to)
        .map(|one| one.registration.endpoint.clone())
        .collect();
    drop(directory);
    let is_old = |endpoint: &ids::EndpointId| old_endpoints.contains(endpoint);
    let calls = state.batchers.lock().calls_to(service, is_old);
    Some(types::RolloutReport {
        counts,
        failing,
        header: state.context.peer_header(),
        old_running: running + u64::try_from(calls).unwrap_or(u64::MAX),
        revision,
        service: service.clone(),
        to,
    })
}

/// Sends a report, applies the reply and returns whether the other node decides on the roll-out.
///
/// # Errors
///
/// Fails if the other node does not reply in time.
pub async fn send(
    state: &state::GatewayState,
    address: net::SocketAddr,
    report: &types::RolloutReport,
) -> Result<bool, failure::CallFailure> {
    let deadline = time::Instant::now() + REPORT_TIMEOUT;
    let connection = http_client::ConnectionUse::Pooled;
    let context = &state.context;
    let reply: types::RolloutReply =
        peer::exchange(context, address, REPORT_PATH, report, connection, deadline).await?;
    apply_reply(state, &report.service, reply.stopped, reply.scarce);
    if let Some(record) = reply.record {
        rollout_orders::apply_record(state, record);
    }
    Ok(reply.able)
}

/// Applies what a deciding node says beside the stored state.
pub fn apply_reply(
    state: &state::GatewayState,
    service: &ids::ServiceName,
    is_stopped: bool,
    scarce: Vec<ids::Text>,
) {
    let mut rollouts = state.rollouts.lock();
    let Some(entry) = rollouts.get_mut(service) else { return };
    let is_changed = entry.is_stopped != is_stopped || entry.scarce != scarce;
    (entry.is_stopped, entry.scarce) = (is_stopped, scarce);
    drop(rollouts);
    if is_changed {
        rollout_orders::divide_requests(state, service);
    }
}

/// Serves the report of another node.
///
/// # Errors
///
/// Fails if the message cannot be decoded.
pub fn serve(
    state: &state::GatewayState,
    request: &http_server::ServerRequest,
) -> Result<http_message::Response, failure::CallFailure> {
    let report: types::RolloutReport = peer::decode_message(&state.context, request)?;
    let now = time::Instant::now();
    let known = {
        let rollouts = state.rollouts.lock();
        let entry = rollouts.get(&report.service).filter(|entry| entry.order.to == report.to);
        entry.map(|entry| entry.record.clone())
    };
    let header = state.context.peer_header();
    // A node that does not know the order yet can't decide on it.
    let Some(record) = known else {
        let reply = types::RolloutReply {
            able: false,
            header,
            record: None,
            scarce: Vec::new(),
            stopped: false,
        };
        return peer::encode_reply(&reply);
    };
    let mut deciders = state.deciders.lock();
    let active = deciders
        .entry(report.service.clone())
        .or_insert_with(|| active_decider::ActiveDecider::new(decision_task::rules(state), now));
    active.decider.record_report(&report, now);
    let reply = types::RolloutReply {
        able: active.is_able(now),
        header,
        record,
        scarce: active.decider.scarce_routes(),
        stopped: active.is_stopped,
    };
    drop(deciders);
    peer::encode_reply(&reply)
}
