//! The owner's side of a call: choice of an endpoint, limit and attempt.

use crate::{context, endpoint, failure};
use comfreyspread_policy::attempt;
use comfreyspread_schema::types;
use std::{sync, time};

/// Runs a call at an endpoint of its pool and returns the reply for the ingress node.
pub async fn serve_call(
    context: &sync::Arc<context::NodeContext>,
    call: types::StageCall,
    deadline: time::Instant,
) -> types::StageReply {
    let call = sync::Arc::new(call);
    let planned = attempt::CallAttempt::new(call.attempt);
    let sent = match choose(context, &call) {
        Ok(chosen) => {
            let call = endpoint::EndpointCall {
                address: chosen.address,
                fence: 0,
                call: call.clone(),
                deadline,
            };
            (Some(chosen.name), call.send(context, planned).await)
        }
        Err(failure) => (None, Err(failure)),
    };
    reply(context, &call, sent)
}

fn reply(
    context: &context::NodeContext,
    call: &types::StageCall,
    (endpoint, sent): (
        Option<comfreyspread_schema::ids::EndpointId>,
        Result<endpoint::EndpointAnswer, failure::CallFailure>,
    ),
) -> types::StageReply {
    let outcome = match sent {
        Ok(answer) => types::StageOutcome::Answered { body: answer.body, status: answer.status },
        Err(failure) => failure.into_outcome(),
    };
    types::StageReply {
        attempt: call.attempt,
        endpoint,
        header: context.peer_header(),
        hint: types::PoolHint { limit: 0, pool: call.pool.clone(), queued: 0, running: 0 },
        outcome,
        request: call.request.clone(),
    }
}

fn choose(
    context: &context::NodeContext,
    call: &types::StageCall,
) -> Result<types::EndpointDeclaration, failure::CallFailure> {
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
    Ok((*chosen).clone())
}
