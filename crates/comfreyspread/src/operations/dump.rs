//! Snapshot of the state of a process, for operators and other nodes.

use crate::{ownership::scheduler_sync, runtime::context};
use comfreyspread_policy::{catalog, ownership_status};
use comfreyspread_schema::{ids, types};
use std::time;

/// Collects the state of the process.
pub fn collect(context: &context::NodeContext) -> types::NodeDump {
    let catalog = context.tables.catalog();
    let now = time::Instant::now();
    let endpoints = endpoints(context, &catalog);
    let members = members(context);
    let pools = context.tables.pools.lock().hints();
    let claims = context.tables.claims.lock().rows().cloned().collect();
    let crash_suspects = context.tables.suspects.lock().latest(usize::MAX, now);
    types::NodeDump {
        change_id: catalog.change().clone(),
        claims,
        endpoints,
        members,
        node: context.settings.node.clone(),
        phase: context.tables.phase(),
        pools,
        requests: context.active_request_count(),
        revision: catalog.revision(),
        start_id: context.process_start,
        crash_suspects,
        vms_out: catalog.vms_out().cloned().collect(),
        zone: context.settings.zone.clone(),
        zones_out: catalog.zones_out().cloned().collect(),
    }
}

fn members(context: &context::NodeContext) -> Vec<types::MemberStatus> {
    let now = time::Instant::now();
    let members = context.tables.members.lock();
    let local =
        types::MemberStatus { last_heard: time::Duration::ZERO, record: members.local().clone() };
    let others = members.entries().map(|entry| types::MemberStatus {
        last_heard: now.saturating_duration_since(entry.last_heard()),
        record: entry.record().clone(),
    });
    std::iter::once(local).chain(others).collect()
}

fn endpoints(
    context: &context::NodeContext,
    catalog: &catalog::ConfigurationCatalog,
) -> Vec<types::EndpointState> {
    let ownership = context.tables.ownership.lock();
    let states =
        ownership.ownerships().filter_map(|(name, status)| endpoint(catalog, name, status));
    let mut states: Vec<_> = states.collect();
    drop(ownership);
    for state in &mut states {
        add_pool_state(context, state);
    }
    states
}

fn add_pool_state(context: &context::NodeContext, state: &mut types::EndpointState) {
    let Some(pool_endpoint) = scheduler_sync::endpoint_snapshot(context, &state.endpoint) else {
        return;
    };
    state.ejected = pool_endpoint.ejected;
    state.limit = pool_endpoint.limit;
    state.phase = pool_endpoint.phase;
    state.running = pool_endpoint.running;
}

fn endpoint(
    catalog: &catalog::ConfigurationCatalog,
    name: &ids::EndpointId,
    ownership: &ownership_status::OwnershipStatus,
) -> Option<types::EndpointState> {
    let declaration = catalog.endpoint(name)?;
    Some(types::EndpointState {
        ejected: false,
        endpoint: name.clone(),
        fence: ownership.highest(),
        limit: 0,
        ownership: ownership.phase(),
        phase: types::EndpointPhase::Unknown,
        pool: declaration.pool.clone(),
        running: 0,
        zone: declaration.zone.clone(),
    })
}

/// Collects the status that the node reports to other nodes.
pub fn node_status(context: &context::NodeContext) -> types::NodeStatus {
    let dump = collect(context);
    types::NodeStatus {
        detail: "".into(),
        endpoints: dump.endpoints,
        node: dump.node,
        phase: dump.phase,
        ready: context.ready(),
        revision: dump.revision,
        vm: context.settings.vm.clone(),
        zone: dump.zone,
    }
}
