//! One attempt at a request: an endpoint is chosen, the request is sent, the head of its answer is
//! checked.

use super::{call_plan, state};
use crate::transport::{failure, http_client, http_message};
use comfreyspread_platform::{request_head, response_head};
use comfreyspread_policy::{attempt, endpoint_directory};
use comfreyspread_schema::{ids, types};
use std::{net, sync, time};

/// Rank of requests at engines for each rank of their route.
const ENGINE_RANK_OFFSET: u32 = 2;
const MOST_ENGINE_RANK: u32 = 9;

/// What an attempt needs beside the plan of its request.
#[derive(Debug)]
pub struct AttemptInput<'input> {
    /// Endpoints that have been tried.
    pub tried: &'input [ids::EndpointId],
    /// Region whose endpoints are near what the request is made of.
    pub home: &'input ids::RegionId,
    /// Regions that may run it; none if all may.
    pub regions: Option<&'input [ids::RegionId]>,
    /// Results that the request is made of.
    pub inputs: &'input [ids::ResultHandle],
    /// Last event that has been passed on.
    pub resume_after: Option<u64>,
    /// Number of the attempt.
    pub number: ids::AttemptId,
}

/// An attempt in progress at an endpoint, counted there until it ends.
#[derive(Debug)]
pub struct OpenAttempt {
    state: sync::Arc<state::GatewayState>,
    /// Where it runs.
    pub chosen: endpoint_directory::ChosenEndpoint,
    started: time::Instant,
    ended: bool,
}

/// The answer to an attempt, its body still to come.
#[derive(Debug)]
pub struct AttemptAnswer {
    /// The attempt.
    pub open: OpenAttempt,
    /// Head and body.
    pub response: http_message::Response,
    /// What the endpoint says of itself and the request.
    pub signs: types::AnswerSigns,
}

/// An attempt that got no answer of the service.
#[derive(Debug)]
pub struct FailedAttempt {
    /// Endpoint tried; none if there was none to try.
    pub endpoint: Option<ids::EndpointId>,
    /// Address of that endpoint.
    pub address: Option<net::SocketAddr>,
    /// Why it failed.
    pub failure: failure::CallFailure,
    /// Whether results that the request is made of are gone.
    pub inputs_gone: bool,
}

impl OpenAttempt {
    /// Counts the end of the attempt.
    pub fn end(&mut self, ending: endpoint_directory::AttemptOutcome) {
        if self.ended {
            return;
        }
        self.ended = true;
        let now = time::Instant::now();
        let took = now.saturating_duration_since(self.started);
        self.state.directory.lock().finish_call(&self.chosen.endpoint, ending, took, now);
    }
}

impl Drop for OpenAttempt {
    fn drop(&mut self) {
        self.end(endpoint_directory::AttemptOutcome::Cancelled);
    }
}

/// Makes one attempt, up to the head of its answer.
///
/// # Errors
///
/// Fails if there is no endpoint, or no answer that belongs to the request; the verdict says
/// whether it may have run.
pub async fn send(
    state: &sync::Arc<state::GatewayState>,
    plan: &call_plan::CallPlan,
    planned: attempt::CallAttempt<attempt::PlannedState>,
    input: &AttemptInput<'_>,
) -> Result<AttemptAnswer, FailedAttempt> {
    let now = time::Instant::now();
    let query = endpoint_directory::EndpointQuery {
        service: &plan.service.name,
        regions: input.regions,
        home: input.home,
        zone: &state.machine.zone,
        tried: input.tried,
        prefix: plan.prefix(),
        cold_rate: state.cold_rate(&plan.service),
        now,
    };
    let Some(chosen) = state.directory.lock().start_call(&query) else {
        let detail = format!("service {} has no endpoint to use", plan.service.name);
        let failure = call_plan::CallPlan::not_run(types::ProblemKind::Unavailable, &detail);
        return Err(FailedAttempt { endpoint: None, address: None, failure, inputs_gone: false });
    };
    let mut open = OpenAttempt { state: state.clone(), chosen, started: now, ended: false };
    log::info!(request = plan.call.request.as_ref(), attempt = input.number,
        endpoint = open.chosen.endpoint.as_ref(), left_ms = plan.left(now).as_millis() as u64;
        "attempt: sent");
    let request = request(plan, &open.chosen, input, now);
    let connection = if plan.is_repeatable() {
        http_client::ConnectionUse::Pooled
    } else {
        http_client::ConnectionUse::Fresh
    };
    let _sent = planned.send();
    let address = open.chosen.address;
    let begun = state.client.send(address, request, connection, plan.deadline).await;
    let response = match begun {
        Ok(response) => response,
        Err(failure) => {
            open.end(endpoint_directory::AttemptOutcome::Unreachable);
            return Err(open.failed(failure, false));
        }
    };
    check(plan, open, response)
}

impl OpenAttempt {
    /// Returns the attempt as one that failed.
    pub fn failed(&self, failure: failure::CallFailure, inputs_gone: bool) -> FailedAttempt {
        let endpoint = Some(self.chosen.endpoint.clone());
        let address = Some(self.chosen.address);
        FailedAttempt { endpoint, address, failure, inputs_gone }
    }
}

fn request(
    plan: &call_plan::CallPlan,
    chosen: &endpoint_directory::ChosenEndpoint,
    input: &AttemptInput<'_>,
    now: time::Instant,
) -> http_message::Request {
    let workspace = plan.workspace.as_ref().map(|workspace| &workspace.name);
    let rank = (plan.priority() + ENGINE_RANK_OFFSET).min(MOST_ENGINE_RANK);
    let forward = request_head::ForwardedRequest {
        endpoint: &chosen.endpoint,
        workspace,
        time_left: plan.left(now),
        resume_after: input.resume_after,
        inputs: input.inputs,
        priority: plan.service.engine.as_ref().map(|_| rank),
    };
    http_message::Request::from_parts(forward.head(&plan.head), plan.body.clone().into())
}

/// Checks that an answer belongs to the request and that the service made it.
fn check(
    plan: &call_plan::CallPlan,
    mut open: OpenAttempt,
    response: http_message::Response,
) -> Result<AttemptAnswer, FailedAttempt> {
    let signs = response_head::decode(response.head());
    let now = time::Instant::now();
    let endpoint = open.chosen.endpoint.clone();
    if !signs.cold.is_zero() {
        open.state.directory.lock().set_cold(&endpoint, signs.cold, now);
    }
    if signs.not_run {
        let gone = signs.misdirected;
        open.end(if gone {
            endpoint_directory::AttemptOutcome::Gone
        } else {
            endpoint_directory::AttemptOutcome::Full
        });
        let detail = format!("{endpoint} refused with status {}", response.status().as_u16());
        let failure = call_plan::CallPlan::not_run(types::ProblemKind::Overloaded, &detail);
        let inputs_gone = response.status() == http::StatusCode::CONFLICT;
        return Err(open.failed(failure, inputs_gone));
    }
    let other = signs.request.as_ref().is_some_and(|request| *request != plan.call.request);
    if other || !signs.stamped {
        open.end(endpoint_directory::AttemptOutcome::Failed);
        let detail = format!("{endpoint} sent an answer that is not this request's");
        let failure = failure::CallFailure::new(types::ProblemKind::EndpointFailed, detail);
        return Err(open.failed(failure.with_verdict(types::CallVerdict::MayHaveRun), false));
    }
    Ok(AttemptAnswer { open, response, signs })
}

/// Reads the whole body of an answer.
///
/// # Errors
///
/// Fails if the body is cut or too long, or is not whole at the request's deadline; the request may
/// have run then.
pub async fn read_body(
    plan: &call_plan::CallPlan,
    response: &mut http_message::Response,
) -> Result<bytes::Bytes, failure::CallFailure> {
    let mut body = response.take_body();
    let read = http_client::read_to_end(&mut body, state::ANSWER_LIMIT_BYTES);
    let read = http_client::with_deadline(plan.deadline, read).await;
    read.unwrap_or_else(|| {
        let failure =
            failure::CallFailure::new(types::ProblemKind::Timeout, "no whole answer in time");
        Err(failure.with_verdict(types::CallVerdict::MayHaveRun))
    })
}

/// Returns the answer that the caller gets: the endpoint's status and headers, and `body`.
pub fn passed_on(response: &http_message::Response, body: bytes::Bytes) -> http_message::Response {
    let (mut head, ()) = http::Response::new(()).into_parts();
    head.status = response.status();
    head.headers = response_head::forwarded_headers(response.head());
    http_message::Response::from_parts(head, body.into())
}
