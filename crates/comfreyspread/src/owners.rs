//! Owners that could take a call.

use crate::{context, failure};
use comfreyspread_policy::routing;
use comfreyspread_schema::types;
use std::net;

/// Returns the owners of endpoints in service that could take `call`.
pub fn candidates(
    context: &context::NodeContext,
    call: &types::StageCall,
) -> Vec<routing::OwnerCandidate> {
    let catalog = context.tables.catalog();
    let Some(pool) = catalog.pool(&call.pool) else { return Vec::new() };
    let in_service = |name| catalog.endpoint(name).filter(|entry| catalog.in_service(entry));
    let endpoints = pool.endpoints().iter().filter_map(in_service).count();
    if endpoints == 0 {
        return Vec::new();
    }
    vec![routing::OwnerCandidate {
        node: context.settings.node.clone(),
        distance: routing::RouteDistance::Local,
        endpoints: u32::try_from(endpoints).unwrap_or(u32::MAX),
        affine: false,
    }]
}

/// Returns the address of an owner; none if it is this node.
///
/// # Errors
///
/// Fails if the owner's address is not known.
pub fn address(
    _context: &context::NodeContext,
    owner: &routing::OwnerCandidate,
) -> Result<Option<net::SocketAddr>, failure::CallFailure> {
    if owner.distance == routing::RouteDistance::Local {
        return Ok(None);
    }
    let detail = format!("the address of node {} is not known", owner.node);
    Err(failure::CallFailure::new(types::ProblemKind::Unavailable, detail))
}
