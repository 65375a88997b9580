//! Sending one call of a stage or service to an endpoint.

use crate::{context, endpoint, failure};
use comfreyspread_policy::attempt;
use comfreyspread_schema::types;
use std::{sync, time};

/// Sends `call` to an endpoint of its pool and waits for the whole answer.
///
/// # Errors
///
/// Fails with the verdict of the one attempt made.
pub async fn send(
    context: &context::NodeContext,
    call: types::StageCall,
    deadline: time::Instant,
) -> Result<endpoint::EndpointAnswer, failure::CallFailure> {
    let planned = attempt::CallAttempt::new(call.attempt);
    let call = choose(context, call, deadline)?;
    call.send(context, planned).await
}

fn choose(
    context: &context::NodeContext,
    call: types::StageCall,
    deadline: time::Instant,
) -> Result<endpoint::EndpointCall, failure::CallFailure> {
    let catalog = context.tables.catalog();
    let pool = catalog.pool(&call.pool);
    let names = pool.map(|pool| pool.endpoints()).unwrap_or_default();
    let candidates: Vec<_> = names
        .iter()
        .filter_map(|name| catalog.endpoint(name))
        .filter(|endpoint| catalog.in_service(endpoint))
        .collect();
    let index = context.tables.rotation.lock().advance(candidates.len());
    let Some(chosen) = index.and_then(|index| candidates.get(index)) else {
        let detail = format!("pool {} has no endpoint in service", call.pool);
        return Err(failure::CallFailure::new(types::ProblemKind::Unavailable, detail));
    };
    let address = chosen.address;
    Ok(endpoint::EndpointCall { address, fence: 0, call: sync::Arc::new(call), deadline })
}
