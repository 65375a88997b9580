//! The owner's side of a call: choice of an endpoint, limit and attempt.

use crate::{context, endpoint, failure, frames};
use comfreyspread_policy::{attempt, stream};
use comfreyspread_schema::{ids, types};
use std::{sync, time};

/// Runs a call at an endpoint of its pool and returns the reply for the ingress node.
pub async fn serve_call(
    context: &sync::Arc<context::NodeContext>,
    call: types::StageCall,
    deadline: time::Instant,
) -> types::StageReply {
    let call = sync::Arc::new(call);
    let planned = attempt::CallAttempt::new(call.attempt);
    let chosen = match choose(context, &call) {
        Ok(chosen) => chosen,
        Err(failure) => return reply(context, &call, None, failure.into_outcome()),
    };
    let sending = endpoint_call(&chosen, &call, deadline);
    let outcome = match sending.send(context, planned).await {
        Ok(answer) => types::StageOutcome::Answered { body: answer.body, status: answer.status },
        Err(failure) => failure.into_outcome(),
    };
    reply(context, &call, Some(chosen.name), outcome)
}

/// Starts a call whose answer is streamed and returns its frames.
///
/// The call is cancelled at the endpoint when the receiver is dropped.
pub fn start_stream(
    context: &sync::Arc<context::NodeContext>,
    call: types::StageCall,
    deadline: time::Instant,
) -> frames::FrameReceiver {
    let (sender, receiver) = async_channel::bounded(frames::CHANNEL_FRAMES);
    let context = context.clone();
    context.spawner.clone().detach(async move {
        serve_stream(&context, call, deadline, &sender).await;
    });
    receiver
}

async fn serve_stream(
    context: &sync::Arc<context::NodeContext>,
    call: types::StageCall,
    deadline: time::Instant,
    sender: &frames::FrameSender,
) {
    let call = sync::Arc::new(call);
    let mut cursor = stream::StreamCursor::new().with_offset(call.offset);
    let chosen = choose(context, &call);
    let name = chosen.as_ref().ok().map(|chosen| chosen.name.clone());
    let streamed = match chosen {
        Ok(chosen) => {
            let sending = endpoint_call(&chosen, &call, deadline);
            relay(context, &sending, &mut cursor, sender).await
        }
        Err(failure) => Err(failure),
    };
    let outcome = match streamed {
        Ok(status) => types::StageOutcome::Answered { body: ids::Payload::new(), status },
        Err(failure) => failure.into_outcome(),
    };
    let reply = reply(context, &call, name, outcome);
    sender.send(types::StageFrame::Finished { reply, tokens: cursor.offset() }).await.ok();
}

/// Passes the tokens of an endpoint on until the explicit end and returns the HTTP status.
async fn relay(
    context: &context::NodeContext,
    sending: &endpoint::EndpointCall,
    cursor: &mut stream::StreamCursor,
    sender: &frames::FrameSender,
) -> Result<u16, failure::CallFailure> {
    let planned = attempt::CallAttempt::new(sending.call.attempt);
    let mut opened = sending.open(context, planned).await?;
    let mut events = frames::EngineEvents::new(&mut opened.response);
    loop {
        let event = frames::next_event(&mut events, sender, sending.deadline).await?;
        match event {
            frames::EngineEvent::Run(run) => {
                let action = cursor.accept(&run).map_err(frames::broken)?;
                if action == stream::RunAction::Deliver {
                    let sent = sender.send(types::StageFrame::Token { run }).await;
                    sent.map_err(|_| frames::abandoned())?;
                }
            }
            frames::EngineEvent::End(end) => {
                cursor.finish(&end).map_err(frames::broken)?;
                return Ok(opened.response.status().into());
            }
        }
    }
}

fn endpoint_call(
    chosen: &types::EndpointDeclaration,
    call: &sync::Arc<types::StageCall>,
    deadline: time::Instant,
) -> endpoint::EndpointCall {
    endpoint::EndpointCall { address: chosen.address, fence: 0, call: call.clone(), deadline }
}

fn reply(
    context: &context::NodeContext,
    call: &types::StageCall,
    endpoint: Option<ids::EndpointId>,
    outcome: types::StageOutcome,
) -> types::StageReply {
    types::StageReply {
        attempt: call.attempt,
        endpoint,
        header: context.peer_header(),
        hint: types::PoolHint { limit: 0, pool: call.pool.clone(), queued: 0, running: 0 },
        outcome,
        request: call.request.clone(),
        waited: time::Duration::ZERO,
    }
}

fn choose(
    context: &context::NodeContext,
    call: &types::StageCall,
) -> Result<types::EndpointDeclaration, failure::CallFailure> {
    let catalog = context.tables.catalog();
    let pool = catalog.pool(&call.pool);
    let names = pool.map(|pool| pool.endpoints()).unwrap_or_default();
    let now = time::Instant::now();
    let ownership = context.tables.ownership.lock();
    let candidates: Vec<_> = names
        .iter()
        .filter_map(|name| catalog.endpoint(name))
        .filter(|endpoint| catalog.in_service(endpoint))
        .filter(|endpoint| ownership.permit(&endpoint.name, now).is_some())
        .collect();
    let index = context.tables.rotation.lock().advance(candidates.len());
    let Some(chosen) = index.and_then(|index| candidates.get(index)) else {
        let detail = format!("this node owns no endpoint of pool {} in service", call.pool);
        return Err(failure::CallFailure::new(types::ProblemKind::NotOwner, detail));
    };
    Ok((*chosen).clone())
}
