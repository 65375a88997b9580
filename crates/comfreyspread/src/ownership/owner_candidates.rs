//! Finds the owners that can serve a call.

use crate::{runtime::context, transport::failure};
use comfreyspread_policy::{catalog, member, membership, rendezvous, routing};
use comfreyspread_schema::{ids, types};
use indexmap::IndexMap;
use std::net;

/// Returns the owners of the endpoints in service of the call's pool.
pub fn find(
    context: &context::NodeContext,
    call: &types::StageCall,
) -> Vec<routing::OwnerCandidate> {
    let catalog = context.tables.catalog();
    let Some(pool) = catalog.pool(&call.pool) else { return Vec::new() };
    let in_service = |name| {
        let entry = catalog.endpoint(name);
        entry.filter(|entry| context.tables.in_service(&catalog, entry))
    };
    let endpoints: Vec<_> = pool.endpoints().iter().filter_map(in_service).collect();
    let affinity = affinity_endpoint(call, &endpoints);
    let mut candidates = IndexMap::<ids::NodeId, routing::OwnerCandidate>::new();
    let members = context.tables.members.lock();
    let ownership = context.tables.ownership.lock();
    for endpoint in endpoints {
        let Some(node) = ownership.owner_of(&endpoint.name) else { continue };
        let distance = distance(context, &members, &catalog, endpoint, &node);
        let candidate =
            routing::OwnerCandidate { node, distance, endpoints: 0, has_prefix_affinity: false };
        let entry = candidates.entry(candidate.node.clone()).or_insert(candidate);
        entry.endpoints += 1;
        entry.has_prefix_affinity |= affinity.as_ref() == Some(&endpoint.name);
    }
    candidates.into_values().collect()
}

/// Returns the address of an owner; `None` if it is this node.
///
/// # Errors
///
/// Fails if the owner's address is not known.
pub fn address(
    context: &context::NodeContext,
    owner: &routing::OwnerCandidate,
) -> Result<Option<net::SocketAddr>, failure::CallFailure> {
    if owner.node == context.settings.node {
        return Ok(None);
    }
    let address = context.tables.members.lock().address_of(&owner.node);
    address.map(Some).ok_or_else(|| {
        let detail = format!("the address of node {} is not known", owner.node);
        failure::CallFailure::new(types::ProblemKind::NotOwner, detail)
    })
}

/// Returns the endpoint that the call's prefix is hashed to, for reuse of its prefix cache.
fn affinity_endpoint(
    call: &types::StageCall,
    endpoints: &[&types::EndpointDeclaration],
) -> Option<ids::EndpointId> {
    if call.prefix_hash == 0 {
        return None;
    }
    let score = |endpoint: &&&types::EndpointDeclaration| {
        rendezvous::prefix_score(call.prefix_hash, &endpoint.name)
    };
    endpoints.iter().max_by_key(score).map(|endpoint| endpoint.name.clone())
}

/// Returns the distance to the endpoint through its owner: the larger of both distances.
fn distance(
    context: &context::NodeContext,
    members: &membership::MemberTable,
    catalog: &catalog::ConfigurationCatalog,
    endpoint: &types::EndpointDeclaration,
    owner: &ids::NodeId,
) -> routing::RouteDistance {
    let settings = &context.settings;
    let in_own_region =
        catalog.region(&endpoint.zone).is_none_or(|region| *region == settings.region);
    if !in_own_region {
        return routing::RouteDistance::Remote;
    }
    if *owner == settings.node {
        return routing::RouteDistance::Local;
    }
    match members.entry(owner).map(member::MemberEntry::record) {
        Some(record) if record.region != settings.region => routing::RouteDistance::Remote,
        Some(record) if record.zone == settings.zone => routing::RouteDistance::Zone,
        _ => routing::RouteDistance::Region,
    }
}
