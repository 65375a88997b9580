//! Keeping the schedulers in step with the configuration and the ownership of endpoints.

use crate::runtime::context;
use comfreyspread_policy::catalog;
use comfreyspread_schema::{ids, types};
use indexmap::IndexSet;
use std::{sync, time};

/// Follows each change notified by [`crate::runtime::tables::SharedTables::changed`].
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
    let ownership = context.tables.ownership.lock();
    context.tables.pools.lock().set_owned(Some(ownership.owned(now)));
    drop(ownership);
    for pool in catalog.pools() {
        let names = pool.endpoints().iter();
        let available: IndexSet<_> =
            names.filter(|name| permit(context, &catalog, name, now).is_some()).cloned().collect();
        // Read after the permits: the calls of a former owner are known before a permit is given.
        let inherited = context.tables.ownership.lock().inherited_loads(now);
        context.tables.pools.lock().follow(pool.declaration(), &available, &inherited, now);
    }
}

/// Returns the fencing token under which new work may be sent to an endpoint; none if this node
/// may not send it any.
pub fn permit(
    context: &context::NodeContext,
    catalog: &catalog::ConfigurationCatalog,
    endpoint: &ids::EndpointId,
    now: time::Instant,
) -> Option<ids::FencingToken> {
    let declaration = catalog.endpoint(endpoint)?;
    if !context.tables.in_service(catalog, declaration) {
        return None;
    }
    context.tables.ownership.lock().fencing_token(endpoint, now)
}

/// Returns the kind of a refusal: a pool without an endpoint that this node may send to has
/// another owner if any of its endpoints may take work.
pub fn refusal_kind(
    context: &context::NodeContext,
    pool: &ids::PoolId,
    problem: types::ProblemKind,
) -> types::ProblemKind {
    let catalog = context.tables.catalog();
    let names = catalog.pool(pool).map(|entry| entry.endpoints()).unwrap_or_default();
    let mut endpoints = names.iter().filter_map(|name| catalog.endpoint(name));
    let elsewhere = endpoints.any(|endpoint| context.tables.in_service(&catalog, endpoint));
    if problem == types::ProblemKind::Unavailable && elsewhere {
        types::ProblemKind::NotOwner
    } else {
        problem
    }
}

/// State of one endpoint in its pool's scheduler.
#[derive(Clone, Copy, Debug)]
pub struct ReplicaState {
    /// Calls in flight.
    pub running: u32,
    /// Calls that may be in flight.
    pub limit: u32,
    /// Phase of the endpoint.
    pub phase: types::EndpointPhase,
    /// Whether it is ejected as an outlier.
    pub ejected: bool,
}

/// Returns the state of an endpoint, if its pool's scheduler at this node knows it.
pub fn replica_state(
    context: &context::NodeContext,
    endpoint: &ids::EndpointId,
) -> Option<ReplicaState> {
    let catalog = context.tables.catalog();
    let pool = &catalog.endpoint(endpoint)?.pool;
    let pools = context.tables.pools.lock();
    let mut replicas = pools.get(pool)?.scheduler().endpoints();
    let (_, replica) = replicas.find(|(name, _)| *name == endpoint)?;
    Some(ReplicaState {
        running: replica.running(),
        limit: replica.limit(),
        phase: replica.phase(),
        ejected: replica.is_ejected(),
    })
}
