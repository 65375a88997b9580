//! Handing a streamed answer to the caller as server-sent events.
//!
//! The answer begins with its first tokens: until then a failure is an ordinary problem answer.
//! After that a failure is an event `error` with the problem as its data, and a stream is whole only
//! if it closes with the event `end`.

use crate::{
    ingress::{frames, pipeline, stream_run},
    transport::{activity_counter, failure, http_message, problem},
};
use comfreyspread_schema::types;

const TOKEN_EVENT: &str = "token";
const END_EVENT: &str = "end";
const ERROR_EVENT: &str = "error";

/// Opens the stream and returns the answer that carries it.
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
    Ok(frames::CallerEvents::response(|events| async move {
        pass_on(run, first, events).await;
        drop(active);
    }))
}

async fn pass_on(
    mut run: stream_run::StreamRun,
    first: stream_run::StreamStep,
    events: frames::CallerEvents,
) {
    let mut step = Ok(first);
    loop {
        let there = match &step {
            Ok(stream_run::StreamStep::Run(tokens)) => send_tokens(&events, tokens).await,
            Ok(stream_run::StreamStep::End(end)) => {
                events.send(END_EVENT, &end.tokens.to_string(), end).await;
                return;
            }
            Err(failure) => {
                send_problem(&run, &events, failure).await;
                return;
            }
        };
        if !there {
            log::info!(request = run.ledger().plan().request.as_ref(); "front: caller went away");
            return;
        }
        step = run.next().await;
    }
}

async fn send_tokens(events: &frames::CallerEvents, tokens: &types::TokenRun) -> bool {
    events.send(TOKEN_EVENT, &tokens.offset.to_string(), tokens).await
}

async fn send_problem(
    run: &stream_run::StreamRun,
    events: &frames::CallerEvents,
    failure: &failure::CallFailure,
) {
    let request = &run.ledger().plan().request;
    log::info!(request = request.as_ref(), problem = failure.problem().to_string().as_str();
        "front: stream failed");
    events.send(ERROR_EVENT, "", &problem::body(failure, request)).await;
}
