//! The roll-outs as operators see them.

use super::decision_task;
use crate::gateway::state;
use comfreyspread_policy::rollout_table;
use comfreyspread_schema::{ids, types};

/// Returns the roll-outs that this node knows.
pub fn list(state: &state::GatewayState) -> types::RolloutList {
    let services: Vec<ids::ServiceName> = {
        let rollouts = state.rollouts.lock();
        rollouts.entries().map(|entry| entry.order.service.clone()).collect()
    };
    let views = services.iter().filter_map(|service| view(state, service)).collect();
    types::RolloutList { node: state.settings.node.clone(), rollouts: views }
}

fn view(state: &state::GatewayState, service: &ids::ServiceName) -> Option<types::RolloutView> {
    let candidates = decision_task::candidates(state, service);
    let decider = candidates.into_iter().next().map(|(node, _)| node).unwrap_or_default();
    let counts_of_all = {
        let deciders = state.deciders.lock();
        deciders.get(service).map(|active| active.decider.total().counts())
    };
    let rollouts = state.rollouts.lock();
    let entry = rollouts.get(service)?;
    Some(types::RolloutView {
        counts: counts_of_all.unwrap_or_else(|| entry.evidence.counts()),
        decider,
        order: entry.order.clone(),
        record: entry.current().cloned(),
    })
}

/// Updates the number of roll-outs by phase.
pub fn update_gauges(state: &state::GatewayState) {
    let rollouts = state.rollouts.lock();
    let phase = |entry: &rollout_table::RolloutEntry| {
        entry.current().map_or(types::RolloutPhase::Observing, |record| record.phase)
    };
    let phases: Vec<_> = rollouts.entries().map(phase).collect();
    drop(rollouts);
    state.context.metrics.rollouts.update_gauges(&phases);
}
