//! One attempt at a request: selects an endpoint, sends the request and checks the response head.

use super::{
    call_plan, caller_handler, endpoint_notices,
    placement::{placement_client, placement_news},
    rollout::evidence,
    state,
};
use crate::transport::{failure, http_client, http_message};
use comfreyspread_platform::{request_head, response_head};
use comfreyspread_policy::{
    attempt, endpoint_directory, endpoint_selection, response_progress, tried_endpoints,
    version_evidence,
};
use comfreyspread_schema::{ids, types};
use std::{
    sync::{self, atomic},
    time,
};

/// Difference between the priority sent to engines and that of the request.
const ENGINE_PRIORITY_OFFSET: u32 = 2;
/// Largest priority value sent to engines.
const MAX_ENGINE_PRIORITY: u32 = 9;

/// Input of an attempt in addition to the plan of its request.
#[derive(Debug)]
pub struct AttemptInput<'input> {
    /// Endpoints tried before.
    pub tried: &'input [ids::EndpointId],
    /// Endpoint that may be tried once more, on a new connection.
    pub second_try: Option<tried_endpoints::SecondTry<'input>>,
    /// Region of the input results; its endpoints are preferred.
    pub preferred_region: &'input ids::RegionId,
    /// Regions allowed to run the request; `None` for all.
    pub regions: Option<&'input [ids::RegionId]>,
    /// Stage results that are the input of the request.
    pub inputs: &'input [ids::ResultHandle],
    /// Id of the last event forwarded to the caller.
    pub resume_after: Option<u64>,
    /// Number of the attempt, from zero.
    pub number: ids::AttemptId,
}

/// An attempt in progress, counted as running at its endpoint until it finishes or is dropped.
#[derive(Debug)]
pub struct ActiveAttempt {
    state: sync::Arc<state::GatewayState>,
    /// The selected endpoint.
    pub chosen: endpoint_directory::ChosenEndpoint,
    /// Complete events of the response that have arrived.
    pub progress: response_progress::ResponseProgress,
    started: time::Instant,
    /// Service and route of the request.
    origin: evidence::RequestOrigin,
    /// Its placement by the node that sees all requests of the engine; none if this node chose it.
    placement: Option<placement_news::PlacementTicket>,
    /// Whether the whole response has arrived.
    answered: bool,
    finished: bool,
}

/// An attempt whose response has started; the body is not yet read.
#[derive(Debug)]
pub struct StartedAttempt {
    /// The attempt.
    pub active: ActiveAttempt,
    /// Response head and body.
    pub response: http_message::Response,
    /// Signals of the endpoint in the response head.
    pub signals: types::ResponseSignals,
}

/// An attempt without a valid response of the service.
#[derive(Debug)]
pub struct FailedAttempt {
    /// The endpoint; `None` if none was available.
    pub chosen: Option<Box<endpoint_directory::ChosenEndpoint>>,
    /// Cause of the failure.
    pub failure: failure::CallFailure,
    /// Whether the input results no longer exist.
    pub inputs_gone: bool,
    /// Whether the exchange failed on a connection that had served an earlier request.
    pub on_kept_connection: bool,
}

impl ActiveAttempt {
    /// Returns the time since the attempt started.
    pub fn elapsed(&self) -> time::Duration {
        self.started.elapsed()
    }

    /// Records the outcome of the attempt at its endpoint; later calls have no effect.
    pub fn finish(&mut self, outcome: endpoint_directory::AttemptOutcome) {
        if self.finished {
            return;
        }
        self.finished = true;
        if let Some(placement) = &mut self.placement
            && outcome == endpoint_directory::AttemptOutcome::Served
        {
            placement.set_gap(self.progress.mean_gap());
        }
        self.placement = None;
        let now = time::Instant::now();
        let elapsed = now.saturating_duration_since(self.started);
        let (endpoint, started_at_ms) = (&self.chosen.endpoint, self.chosen.started_at_ms);
        let mut directory = self.state.directory.lock();
        directory.finish_call(endpoint, started_at_ms, outcome, elapsed, now);
        drop(directory);
        if let Some(end) = self.request_end(outcome) {
            let times = self.answer_times(elapsed);
            evidence::record_request(&self.state, &self.origin, &self.chosen, end, times);
        }
    }

    /// Records the first event of the response.
    pub fn record_first_event(&self) {
        if let Some(placement) = &self.placement {
            placement.record_first_event(self.elapsed());
        }
    }

    /// Records that the whole response has arrived.
    pub fn record_answered(&mut self) {
        self.answered = true;
    }

    /// Returns what the outcome says of the endpoint's version; none if it says nothing.
    fn request_end(
        &self,
        outcome: endpoint_directory::AttemptOutcome,
    ) -> Option<version_evidence::RequestEnd> {
        use endpoint_directory::AttemptOutcome as Outcome;
        match outcome {
            Outcome::Served => Some(version_evidence::RequestEnd::Answered),
            Outcome::Failed if self.answered => Some(version_evidence::RequestEnd::Failed),
            Outcome::Failed | Outcome::Unreachable => Some(version_evidence::RequestEnd::Broken),
            Outcome::Full | Outcome::Gone | Outcome::Cancelled => None,
        }
    }

    /// Returns the times that tell of the endpoint's version. A cold endpoint is slow whatever its
    /// version.
    fn answer_times(&self, elapsed: time::Duration) -> version_evidence::AnswerTimes {
        if self.chosen.cold {
            return version_evidence::AnswerTimes::default();
        }
        let first_event = self.progress.first_event_at();
        let to_first = first_event.map(|at| at.saturating_duration_since(self.started));
        version_evidence::AnswerTimes {
            answer: Some(to_first.unwrap_or(elapsed)),
            gap: self.progress.mean_gap(),
        }
    }
}

impl Drop for ActiveAttempt {
    fn drop(&mut self) {
        self.finish(endpoint_directory::AttemptOutcome::Cancelled);
    }
}

/// Returns whether there is an endpoint for an attempt.
pub fn has_endpoint(
    state: &state::GatewayState,
    plan: &call_plan::CallPlan,
    input: &AttemptInput<'_>,
) -> bool {
    let query = endpoint_query(state, plan, input, time::Instant::now());
    state.directory.lock().has_endpoint(&query)
}

/// Returns what a request requires of its endpoint.
pub fn endpoint_query<'query>(
    state: &'query state::GatewayState,
    plan: &'query call_plan::CallPlan,
    input: &AttemptInput<'query>,
    now: time::Instant,
) -> endpoint_directory::EndpointQuery<'query> {
    endpoint_directory::EndpointQuery {
        service: &plan.service.name,
        route: &plan.route.name,
        regions: input.regions,
        preferred_region: input.preferred_region,
        zone: &state.settings.zone,
        tried: input.tried,
        second_try: input.second_try,
        placed: None,
        prefix: plan.prefix(),
        cold_rate: state.cold_rate(&plan.service),
        now,
    }
}

/// Makes one attempt, up to the response head.
///
/// # Errors
///
/// Fails if no endpoint is available or no response to this request arrives; the verdict says
/// whether the request may have run.
pub async fn send(
    state: &sync::Arc<state::GatewayState>,
    plan: &call_plan::CallPlan,
    planned: attempt::CallAttempt<attempt::PlannedState>,
    input: &AttemptInput<'_>,
) -> Result<StartedAttempt, FailedAttempt> {
    if let Err(failure) = plan.check_attempt(state) {
        log::warn!(request = plan.call.request.as_ref(), digest = plan.digest.as_ref(),
            attempt = input.number; "attempt: rejected, the request crashes endpoints");
        return Err(FailedAttempt::without_endpoint(failure));
    }
    if let Err(failure) = plan.check_stop(state, time::Instant::now()) {
        return Err(FailedAttempt::without_endpoint(failure));
    }
    let placement_input = placement_client::PlacementInput {
        tried: input.tried,
        region: input.preferred_region,
        regions: input.regions,
        inputs: input.inputs,
    };
    let placed = placement_client::place(state, plan, &placement_input).await;
    let now = time::Instant::now();
    let query = endpoint_directory::EndpointQuery {
        placed: placed.as_ref().map(|placed| &placed.endpoint),
        ..endpoint_query(state, plan, input, now)
    };
    let Some(chosen) = state.directory.lock().start_call(&query) else {
        return Err(FailedAttempt::without_endpoint(no_endpoint(state, &query)));
    };
    let mut active = ActiveAttempt {
        state: state.clone(),
        placement: None,
        chosen,
        progress: response_progress::ResponseProgress::new(),
        started: now,
        origin: evidence::RequestOrigin {
            service: plan.service.name.clone(),
            route: plan.route.name.clone(),
        },
        answered: false,
        finished: false,
    };
    // A placement that this node could not follow ends here.
    let placed = placed.filter(|placed| placed.endpoint == active.chosen.endpoint);
    let (placed_by, estimate) =
        placed.as_ref().map_or(("", time::Duration::ZERO), |one| (&one.node, one.estimate));
    log::info!(request = plan.call.request.as_ref(), attempt = input.number,
        placed_by = placed_by, estimate_ms = estimate.as_millis() as u64,
        endpoint = active.chosen.endpoint.as_ref(), region = active.chosen.region.as_ref(),
        allowed_regions = input.regions.map_or("all".into(), |regions| regions.join(",")).as_str(),
        version = plan.version, left_ms = plan.time_left(now).as_millis() as u64; "attempt: sent");
    active.placement = placed.map(|placed| placed.ticket);
    let is_second_try =
        input.second_try.is_some_and(|second_try| *second_try.endpoint == active.chosen.endpoint);
    let connection_use = if plan.is_repeatable() && !is_second_try {
        http_client::ConnectionUse::Pooled
    } else {
        http_client::ConnectionUse::Fresh
    };
    let address = active.chosen.address;
    let connection = match state.client.connect(address, connection_use, plan.deadline).await {
        Ok(connection) => connection,
        Err(failure) => {
            active.finish(endpoint_directory::AttemptOutcome::Unreachable);
            return Err(active.failed(failure, false));
        }
    };
    if let Some(failure) = withdrawn(state, plan, &active.chosen) {
        active.finish(endpoint_directory::AttemptOutcome::Cancelled);
        return Err(active.failed(failure, false));
    }
    let request = match build_request(plan, &active.chosen, input, time::Instant::now()) {
        Ok(request) => request,
        Err(failure) => {
            active.finish(endpoint_directory::AttemptOutcome::Cancelled);
            return Err(active.failed(failure, false));
        }
    };
    let kept = connection.is_kept();
    let _sent = planned.send();
    let sent_before = plan.sent_mark.swap(true, atomic::Ordering::Relaxed);
    plan.sent.notify(usize::MAX);
    let response = match state.client.send(connection, request, plan.deadline).await {
        Ok(response) => response,
        Err(failure) => {
            active.finish(endpoint_directory::AttemptOutcome::Unreachable);
            let on_kept_connection = kept && failure.problem() != types::ProblemKind::Timeout;
            return Err(FailedAttempt { on_kept_connection, ..active.failed(failure, false) });
        }
    };
    let checked = check_response(plan, active, response, (connection_use, kept));
    checked.map_err(|failed| {
        if failed.failure.verdict() != types::CallVerdict::NotRun {
            return failed;
        }
        plan.sent_mark.store(sent_before, atomic::Ordering::Relaxed);
        let new = AttemptInput { tried: &[], second_try: None, ..*input };
        let query = endpoint_query(state, plan, &new, time::Instant::now());
        let skipped = state.directory.lock().skipped(&query);
        FailedAttempt { failure: with_pause(&skipped, query.now, failed.failure), ..failed }
    })
}

impl ActiveAttempt {
    /// Returns the failure of this attempt.
    pub fn failed(&self, failure: failure::CallFailure, inputs_gone: bool) -> FailedAttempt {
        let chosen = Some(Box::new(self.chosen.clone()));
        FailedAttempt { chosen, failure, inputs_gone, on_kept_connection: false }
    }
}

impl FailedAttempt {
    /// Returns the failure of an attempt that was sent to no endpoint.
    pub fn without_endpoint(failure: failure::CallFailure) -> Self {
        Self { chosen: None, failure, inputs_gone: false, on_kept_connection: false }
    }
}

/// Returns the failure of an attempt whose endpoint must not get the request any more, for a change
/// that came while the connection was opened.
fn withdrawn(
    state: &state::GatewayState,
    plan: &call_plan::CallPlan,
    chosen: &endpoint_directory::ChosenEndpoint,
) -> Option<failure::CallFailure> {
    let regions = plan.allowed_regions(state);
    let now = time::Instant::now();
    let reason = state.directory.lock().withdrawn(chosen, regions.as_deref(), now)?;
    log::info!(request = plan.call.request.as_ref(), endpoint = chosen.endpoint.as_ref();
        "attempt: not sent, the endpoint is no longer to be used. reason={reason:?}");
    let detail = format!("{} is no longer to be used: {reason:?}", chosen.endpoint);
    Some(call_plan::CallPlan::not_run(types::ProblemKind::Unavailable, &detail))
}

/// Returns the failure of a request for which no endpoint is available.
fn no_endpoint(
    state: &state::GatewayState,
    query: &endpoint_directory::EndpointQuery<'_>,
) -> failure::CallFailure {
    let skipped = state.directory.lock().skipped(query);
    let detail = format!("service {} has no endpoint to use: {skipped}", query.service);
    let failure = call_plan::CallPlan::not_run(types::ProblemKind::Unavailable, &detail);
    with_pause(&skipped, query.now, failure)
}

/// Sets the retry delay to the end of a pause, if that is all that keeps a request from its service.
fn with_pause(
    skipped: &endpoint_selection::SkipSummary,
    now: time::Instant,
    failure: failure::CallFailure,
) -> failure::CallFailure {
    let Some(resumes_at) = skipped.resumes_at else { return failure };
    let pause = resumes_at.saturating_duration_since(now);
    failure.with_retry_after(caller_handler::retry_after_pause(pause))
}

/// Returns the request that is sent to an endpoint.
///
/// # Errors
///
/// Fails if it cannot be encoded; it has not run.
fn build_request(
    plan: &call_plan::CallPlan,
    chosen: &endpoint_directory::ChosenEndpoint,
    input: &AttemptInput<'_>,
    now: time::Instant,
) -> Result<http_message::Request, failure::CallFailure> {
    let workspace = plan.workspace.as_ref().map(|workspace| &workspace.name);
    let priority = (plan.priority() + ENGINE_PRIORITY_OFFSET).min(MAX_ENGINE_PRIORITY);
    let forwarded = request_head::ForwardedRequest {
        endpoint: &chosen.endpoint,
        workspace,
        time_left: plan.time_left(now),
        resume_after: input.resume_after,
        inputs: input.inputs,
        priority: plan.service.engine.as_ref().map(|_| priority),
    };
    let head = forwarded.head(&plan.head).map_err(|error| {
        let detail = format!("the request cannot be sent: {error}");
        call_plan::CallPlan::not_run(types::ProblemKind::Internal, &detail)
    })?;
    Ok(http_message::Request::from_parts(head, plan.body.clone().into()))
}

/// Returns whether a response answers this request and not an earlier one on its connection. One
/// without an id does only if there was no earlier request.
fn answers_request(
    plan: &call_plan::CallPlan,
    signals: &types::ResponseSignals,
    connection: http_client::ConnectionUse,
) -> bool {
    match &signals.request {
        Some(request) => *request == plan.call.request,
        None => connection == http_client::ConnectionUse::Fresh,
    }
}

/// Checks that a response belongs to the request and comes from the service. Dropping any other
/// response closes its connection.
fn check_response(
    plan: &call_plan::CallPlan,
    mut active: ActiveAttempt,
    response: http_message::Response,
    (connection, kept): (http_client::ConnectionUse, bool),
) -> Result<StartedAttempt, FailedAttempt> {
    let signals = response_head::decode(response.head());
    let endpoint = active.chosen.endpoint.clone();
    let answered = answers_request(plan, &signals, connection);
    if answered {
        endpoint_notices::record(&active.state, &endpoint, active.chosen.started_at_ms, &signals);
    }
    if answered && signals.not_run {
        let gone = signals.misdirected;
        active.finish(if gone {
            endpoint_directory::AttemptOutcome::Gone
        } else {
            endpoint_directory::AttemptOutcome::Full
        });
        let detail = format!("{endpoint} refused with status {}", response.status().as_u16());
        let failure = call_plan::CallPlan::not_run(types::ProblemKind::Overloaded, &detail);
        let inputs_gone = response.status() == http::StatusCode::CONFLICT;
        return Err(active.failed(failure, inputs_gone));
    }
    if !answered || !signals.has_stamp {
        active.finish(endpoint_directory::AttemptOutcome::Failed);
        let detail = format!("{endpoint} sent a response that does not belong to this request");
        let failure = failure::CallFailure::new(types::ProblemKind::EndpointFailed, detail);
        let failure = failure.with_verdict(types::CallVerdict::MayHaveRun);
        let on_kept_connection = kept && !answered;
        return Err(FailedAttempt { on_kept_connection, ..active.failed(failure, false) });
    }
    Ok(StartedAttempt { active, response, signals })
}

/// Reads the complete body of a response.
///
/// # Errors
///
/// Fails if the body is truncated or too long, or is incomplete at the request's deadline; the
/// request may have run then.
pub async fn read_body(
    state: &state::GatewayState,
    plan: &call_plan::CallPlan,
    response: &mut http_message::Response,
) -> Result<bytes::Bytes, failure::CallFailure> {
    let read = state.client.read_body(response);
    let read = http_client::with_deadline(plan.deadline, read).await;
    read.unwrap_or_else(|| {
        let failure =
            failure::CallFailure::new(types::ProblemKind::Timeout, "no complete response in time");
        Err(failure.with_verdict(types::CallVerdict::MayHaveRun))
    })
}

/// Returns the response for the caller: the endpoint's status and headers with `body`.
pub fn forwarded_response(
    response: &http_message::Response,
    body: bytes::Bytes,
) -> http_message::Response {
    let (mut head, ()) = http::Response::new(()).into_parts();
    head.status = response.status();
    head.headers = response_head::forwarded_headers(response.head());
    http_message::Response::from_parts(head, body.into())
}
