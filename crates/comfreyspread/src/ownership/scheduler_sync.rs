//! Synchronizes the schedulers with the configuration and the ownership of endpoints.

use crate::runtime::context;
use comfreyspread_policy::catalog;
use comfreyspread_schema::{ids, types};
use indexmap::IndexSet;
use std::{sync, time};

/// Synchronizes after each notification of [`crate::runtime::tables::SharedTables::changed`].
pub async fn run(context: sync::Arc<context::NodeContext>) {
    loop {
        let changed = context.tables.changed.listen();
        sync(&context);
        changed.await;
    }
}

/// Synchronizes all schedulers once.
pub fn sync(context: &context::NodeContext) {
    let catalog = context.tables.catalog();
    let now = time::Instant::now();
    let ownership = context.tables.ownership.lock();
    context.tables.pools.lock().set_owned(Some(ownership.owned(now)));
    drop(ownership);
    for pool in catalog.pools() {
        let names = pool.endpoints().iter();
        let available: IndexSet<_> =
            names.filter(|name| permit(context, &catalog, name, now).is_some()).cloned().collect();
        // Read after the permits: a permit is granted only once the former owner's calls are known.
        let inherited = context.tables.ownership.lock().inherited_loads(now);
        context.tables.pools.lock().update_pool(pool.declaration(), &available, &inherited, now);
    }
}

/// Returns the fencing token for new calls to an endpoint; `None` if this node may not send any.
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

/// Returns the problem to report for a refused call.
///
/// If this node may send to no endpoint of the pool but any is in service, another node owns it.
pub fn refusal_kind(
    context: &context::NodeContext,
    pool: &ids::PoolId,
    problem: types::ProblemKind,
) -> types::ProblemKind {
    let catalog = context.tables.catalog();
    let names = catalog.pool(pool).map(|entry| entry.endpoints()).unwrap_or_default();
    let mut endpoints = names.iter().filter_map(|name| catalog.endpoint(name));
    let in_service = endpoints.any(|endpoint| context.tables.in_service(&catalog, endpoint));
    if problem == types::ProblemKind::Unavailable && in_service {
        types::ProblemKind::NotOwner
    } else {
        problem
    }
}

/// State of one endpoint in its pool's scheduler.
#[derive(Clone, Copy, Debug)]
pub struct EndpointSnapshot {
    /// Calls in flight.
    pub running: u32,
    /// Concurrency limit.
    pub limit: u32,
    /// Phase of the endpoint.
    pub phase: types::EndpointPhase,
    /// Whether it is ejected as an outlier.
    pub ejected: bool,
}

/// Returns the state of an endpoint; `None` if no scheduler at this node has it.
pub fn endpoint_snapshot(
    context: &context::NodeContext,
    endpoint: &ids::EndpointId,
) -> Option<EndpointSnapshot> {
    let catalog = context.tables.catalog();
    let pool = &catalog.endpoint(endpoint)?.pool;
    let pools = context.tables.pools.lock();
    let mut endpoints = pools.get(pool)?.scheduler().endpoints();
    let (_, state) = endpoints.find(|(name, _)| *name == endpoint)?;
    Some(EndpointSnapshot {
        running: state.running(),
        limit: state.limit(),
        phase: state.phase(),
        ejected: state.is_ejected(),
    })
}
