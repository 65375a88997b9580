//! Sends a streamed answer to the caller as server-sent events.
//!
//! The response starts with the first tokens; an earlier failure is an ordinary problem response.
//! A later one is an event `error` with the problem as its data. A stream is complete only if its
//! last event is `end`.

use crate::{
    ingress::{frames, pipeline, stream_run},
    transport::{activity_counter, failure, http_message, problem},
};
use comfreyspread_schema::types;

const TOKEN_EVENT: &str = "token";
const END_EVENT: &str = "end";
const ERROR_EVENT: &str = "error";

/// Opens the stream and returns the response that carries it.
///
/// # Errors
///
/// Fails if the stream fails before its first tokens.
pub async fn start(
    input: pipeline::StreamInput,
    active: activity_counter::ActivityGuard,
) -> Result<http_message::Response, failure::CallFailure> {
    let mut run = stream_run::StreamRun::new(input);
    let first = run.next().await?;
    Ok(frames::CallerEventSender::response(|events| async move {
        forward_events(run, first, events).await;
        drop(active);
    }))
}

async fn forward_events(
    mut run: stream_run::StreamRun,
    first: stream_run::StreamEvent,
    events: frames::CallerEventSender,
) {
    let mut event = Ok(first);
    loop {
        let connected = match &event {
            Ok(stream_run::StreamEvent::Tokens(tokens)) => send_tokens(&events, tokens).await,
            Ok(stream_run::StreamEvent::End(end)) => {
                events.send(END_EVENT, &end.tokens.to_string(), end).await;
                return;
            }
            Err(failure) => {
                send_problem(&run, &events, failure).await;
                return;
            }
        };
        if !connected {
            log::info!(request = run.ledger().plan().request.as_ref();
                "front: caller disconnected");
            return;
        }
        event = run.next().await;
    }
}

async fn send_tokens(events: &frames::CallerEventSender, tokens: &types::TokenChunk) -> bool {
    events.send(TOKEN_EVENT, &tokens.offset.to_string(), tokens).await
}

async fn send_problem(
    run: &stream_run::StreamRun,
    events: &frames::CallerEventSender,
    failure: &failure::CallFailure,
) {
    let request = &run.ledger().plan().request;
    log::info!(request = request.as_ref(), problem = failure.problem().to_string().as_str();
        "front: stream failed");
    events.send(ERROR_EVENT, "", &problem::body(failure, request)).await;
}
