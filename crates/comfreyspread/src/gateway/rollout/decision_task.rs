//! Reports on the open roll-outs to the node that decides on each, or decides.
//!
//! That node is the first one by rendezvous hashing over the live members that reaches the store. A
//! node that others take for it decides, too, as long as they report; the store lets only one write.

use super::{active_decider, report_exchange, rollout_orders, rollout_store};
use crate::gateway::state;
use comfreyspread_policy::{
    rendezvous, rollout_decider, rollout_judgement, rollout_state, version_evidence,
};
use comfreyspread_schema::{ids, types};
use futures_lite::FutureExt as _;
use futures_util::future;
use std::{net, sync, time};

/// Time between two reports.
const REPORT_INTERVAL: time::Duration = time::Duration::from_millis(400);
/// Minimum time between two reports when roll-outs change.
const MIN_INTERVAL: time::Duration = time::Duration::from_millis(100);
/// Nodes asked in turn for one that decides.
const MAX_CANDIDATES: usize = 3;

/// Reports and decides until the process ends.
pub async fn run(state: sync::Arc<state::GatewayState>) {
    loop {
        let changed = state.rollouts_changed.listen();
        let open = open_services(&state);
        if open.is_empty() {
            changed.await;
            continue;
        }
        future::join_all(open.iter().map(|service| step(&state, service))).await;
        async_io::Timer::after(MIN_INTERVAL).await;
        let timer = async {
            async_io::Timer::after(REPORT_INTERVAL).await;
        };
        changed.or(timer).await;
    }
}

/// Returns what counts as proof at this node.
pub fn rules(state: &state::GatewayState) -> rollout_judgement::JudgementRules {
    let settings = &state.context.settings;
    rollout_judgement::JudgementRules {
        min_answers: settings.canary_answers,
        slow_factor: settings.canary_slow_factor,
    }
}

/// Returns the services whose roll-outs are not decided.
fn open_services(state: &state::GatewayState) -> Vec<ids::ServiceName> {
    let rollouts = state.rollouts.lock();
    let open = rollouts.entries().filter(|entry| !entry.is_decided());
    open.map(|entry| entry.order.service.clone()).collect()
}

/// Returns the nodes that should decide on a roll-out, the first one first; the address is `None`
/// for this node.
pub fn candidates(
    state: &state::GatewayState,
    service: &ids::ServiceName,
) -> Vec<(ids::NodeId, Option<net::SocketAddr>)> {
    let own = &state.context.settings.node;
    let now = time::Instant::now();
    let role = format!("rollout/{service}").into();
    let members = state.context.tables.members.lock();
    let peer_health = state.peer_health.lock();
    let serving = members.live().filter(|record| {
        record.node_phase == types::NodePhase::Serving && !peer_health.is_ejected(&record.node, now)
    });
    let best = rendezvous::best_members(serving, &role, MAX_CANDIDATES);
    let address = |record: &types::MemberRecord| (record.node != *own).then_some(record.address);
    best.into_iter().map(|record| (record.node.clone(), address(record))).collect()
}

async fn step(state: &state::GatewayState, service: &ids::ServiceName) {
    let Some(report) = report_exchange::build_report(state, service) else { return };
    let mut has_decided = false;
    for (node, address) in candidates(state, service) {
        let able = match address {
            None => {
                has_decided = true;
                decide(state, &report).await
            }
            Some(address) => match report_exchange::send(state, address, &report).await {
                Ok(able) => able,
                Err(failure) => {
                    log::info!(node = node.as_ref(), service = service.as_ref();
                        "rollouts: the deciding node does not reply. error={failure}");
                    state.peer_health.lock().eject(&node, time::Instant::now());
                    false
                }
            },
        };
        if able {
            break;
        }
    }
    let now = time::Instant::now();
    let is_asked =
        state.deciders.lock().get(service).is_some_and(|active| active.decider.has_reports(now));
    if !has_decided && is_asked {
        decide(state, &report).await;
    }
}

/// Decides on a roll-out, after this node's own report. Returns whether this node is able to.
async fn decide(state: &state::GatewayState, report: &types::RolloutReport) -> bool {
    let service = &report.service;
    let now = time::Instant::now();
    let needs_read = {
        let mut deciders = state.deciders.lock();
        let active = deciders
            .entry(service.clone())
            .or_insert_with(|| active_decider::ActiveDecider::new(rules(state), now));
        active.decider.record_report(report, now);
        active.needs_read(now)
    };
    if needs_read {
        read_record(state, service).await;
    }
    if let Some(next) = next_record(state, service) {
        write_record(state, next).await;
    }
    let now = time::Instant::now();
    let deciders = state.deciders.lock();
    let Some(active) = deciders.get(service) else { return false };
    let (able, is_stopped) = (active.is_able(now), active.is_stopped);
    let scarce = active.decider.scarce_routes();
    drop(deciders);
    report_exchange::apply_reply(state, service, is_stopped, scarce);
    able
}

async fn read_record(state: &state::GatewayState, service: &ids::ServiceName) {
    match rollout_store::read(state, service).await {
        Ok((stored, store_time)) => {
            let record = stored.record.clone();
            let now = time::Instant::now();
            if let Some(active) = state.deciders.lock().get_mut(service) {
                active.record_read(stored, store_time, now);
            }
            record.into_iter().for_each(|record| rollout_orders::apply_record(state, record));
        }
        Err(failure) => {
            state.context.metrics.stages.count_store_failure();
            log::warn!(service = service.as_ref(); "rollouts: record not read. error={failure}");
        }
    }
}

/// A record to be written, and the version that its row must have.
struct NextRecord {
    record: types::RolloutRecord,
    version: u64,
}

/// Returns the next state of a roll-out; none if it stays as it is, or the stored one is not known.
fn next_record(state: &state::GatewayState, service: &ids::ServiceName) -> Option<NextRecord> {
    let now = time::Instant::now();
    let nodes = serving_nodes(state);
    let mut deciders = state.deciders.lock();
    let active = deciders.get_mut(service)?;
    let stored = active.stored.clone()?;
    let store_time = active.store_time(now)?;
    let rollouts = state.rollouts.lock();
    let entry = rollouts.get(service)?;
    let version = stored.version;
    let is_current = |record: &types::RolloutRecord| {
        rollout_state::is_of_order(record, &entry.order, entry.position)
    };
    let Some(record) = stored.record.clone().filter(is_current) else {
        if entry.is_cancelled {
            return None;
        }
        let started = rollout_state::Rollout::new(&rollout_state::RolloutStart {
            order: &entry.order,
            position: entry.position,
            share: state.settings.exposure_share * state.context.settings.canary_part,
            started: store_time,
            before: stored.record.as_ref(),
        });
        let record = rollout_state::StoredRollout::Observing(started).into_record();
        return Some(NextRecord { record, version });
    };
    let is_cancelled = entry.is_cancelled;
    drop(rollouts);
    let capacity = state.directory.lock().version_capacity(service, &record.to, record.share, now);
    let input = rollout_decider::DecisionInput {
        elapsed: store_time.saturating_sub(record.started),
        is_cancelled,
        nodes: &nodes,
        capacity,
        now,
    };
    let rollout = rollout_state::StoredRollout::from_record(record);
    let next = active.decider.next_state(rollout, &input)?;
    let record = next.into_record();
    active.is_stopped = record.phase == types::RolloutPhase::RolledBack;
    let total = active.decider.total();
    drop(deciders);
    log_evidence(&record, &total, input.elapsed);
    Some(NextRecord { record, version })
}

/// Writes a record. Whatever comes of it, the row is read before anything else is decided, unless
/// the store has confirmed the write.
async fn write_record(state: &state::GatewayState, next: NextRecord) {
    let service = next.record.service.clone();
    if let Some(active) = state.deciders.lock().get_mut(&service) {
        active.stored = None;
    }
    match rollout_store::write(state, &next.record, next.version).await {
        Ok(true) => {
            state.context.metrics.rollouts.count_step(next.record.phase);
            rollout_orders::apply_record(state, next.record);
        }
        Ok(false) => {
            log::info!(service = service.as_ref(); "rollouts: another node has written first");
        }
        Err(failure) => {
            state.context.metrics.stages.count_store_failure();
            log::warn!(service = service.as_ref(); "rollouts: record not written. error={failure}");
        }
    }
    read_record(state, &service).await;
}

fn serving_nodes(state: &state::GatewayState) -> Vec<ids::NodeId> {
    let members = state.context.tables.members.lock();
    let serving = members.live().filter(|record| record.node_phase == types::NodePhase::Serving);
    serving.map(|record| record.node.clone()).collect()
}

/// Writes one line for a step or verdict, and one for each route with the counts behind it.
fn log_evidence(
    record: &types::RolloutRecord,
    total: &version_evidence::VersionEvidence,
    elapsed: time::Duration,
) {
    log::info!(service = record.service.as_ref(), to = record.to.as_ref(),
        phase = record.phase.to_string().as_str(), share = record.share,
        elapsed_ms = elapsed.as_millis() as u64, reason = record.reason.as_ref();
        "rollouts: decided");
    for counts in total.counts() {
        log::info!(service = record.service.as_ref(), route = counts.route.as_ref(),
            new = counts.new, answers = counts.answers, failures = counts.failures,
            broken = counts.broken; "rollouts: evidence");
    }
}
