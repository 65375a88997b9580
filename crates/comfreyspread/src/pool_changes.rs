//! Keeping the schedulers in step with the configuration and the ownership of endpoints.

use crate::context;
use comfreyspread_policy::catalog;
use comfreyspread_schema::{ids, types};
use indexmap::IndexSet;
use std::{sync, time};

/// Follows each change notified by [`crate::tables::SharedTables::changed`].
pub async fn follow(context: sync::Arc<context::NodeContext>) {
    loop {
        let changed = context.tables.changed.listen();
        apply(&context);
        changed.await;
    }
}

/// Brings all schedulers in step once.
pub fn apply(context: &context::NodeContext) {
    let catalog = context.tables.catalog();
    let now = time::Instant::now();
    for pool in catalog.pools() {
        let names = pool.endpoints().iter();
        let available: IndexSet<_> =
            names.filter(|name| permit(context, &catalog, name, now).is_some()).cloned().collect();
        context.tables.pools.lock().follow(pool.declaration(), &available, now);
    }
}

/// Returns the fencing number under which new work may be sent to an endpoint; none if this node
/// may not send it any.
pub fn permit(
    _context: &context::NodeContext,
    catalog: &catalog::ConfigurationCatalog,
    endpoint: &ids::EndpointId,
    _now: time::Instant,
) -> Option<ids::FenceNumber> {
    let declaration = catalog.endpoint(endpoint)?;
    catalog.in_service(declaration).then_some(0)
}

/// Returns the state of all endpoints that this node schedules.
pub fn endpoint_states(context: &context::NodeContext) -> Vec<types::EndpointState> {
    let catalog = context.tables.catalog();
    let pools = context.tables.pools.lock();
    let mut states = Vec::new();
    for (pool, entry) in pools.entries() {
        for (name, replica) in entry.scheduler().replicas() {
            let Some(endpoint) = catalog.endpoint(name) else { continue };
            states.push(types::EndpointState {
                ejected: replica.ejected(),
                endpoint: name.clone(),
                fence: 0,
                limit: replica.limit(),
                ownership: types::OwnershipPhase::Owned,
                phase: replica.phase(),
                pool: pool.clone(),
                running: replica.running(),
                zone: endpoint.zone.clone(),
            });
        }
    }
    states
}
