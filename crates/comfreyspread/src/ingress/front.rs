//! HTTP API for callers and operators.

use crate::{
    answers,
    claims::{claim_runner, claim_table},
    ingress::{caller_stream, pipeline, plan},
    operations::operator_api,
    runtime::{caller_request, context},
    transport::{activity_counter, failure, header, http_message, http_server, problem},
};
use comfreyspread_policy::catalog;
use comfreyspread_schema::{ids, types};
use futures_lite::FutureExt as _;
use http::{Method, StatusCode};
use sha2::Digest as _;
use std::{sync, time};
use xxhash_rust::xxh3;

const METRICS_MEDIA_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";
const PIPELINE_PREFIX: &str = "/v1/pipelines/";
/// Maximum length of a name or idempotency key, in bytes.
const NAME_LIMIT_BYTES: usize = 255;
const SERVICE_PREFIX: &str = "/v1/services/";
/// Time before the end of a planned stop at which requests in progress are given up.
const GIVE_UP_MARGIN: time::Duration = time::Duration::from_millis(100);
/// Retry delay of a request that comes too late in a planned stop; another node may take it at once.
const STOP_RETRY_AFTER: time::Duration = time::Duration::from_secs(1);

/// Handles requests of callers and operators.
pub struct FrontHandler {
    context: sync::Arc<context::NodeContext>,
}

impl FrontHandler {
    /// Creates the handler.
    pub fn new(context: sync::Arc<context::NodeContext>) -> Self {
        Self { context }
    }

    async fn serve(&self, request: &http_server::ServerRequest) -> http_message::Response {
        let path = request.path();
        if let Some(name) = path.strip_prefix(PIPELINE_PREFIX) {
            return self.serve_call(request, CallTarget::Pipeline(name.into())).await;
        }
        if let Some(name) = path.strip_prefix(SERVICE_PREFIX) {
            return self.serve_call(request, CallTarget::Service(name.into())).await;
        }
        match (request.method(), path) {
            (&Method::GET, "/healthz") => text(StatusCode::OK, "ok\n"),
            (&Method::GET, "/readyz") => self.readiness(),
            (&Method::GET, "/metrics") => metrics(&self.context),
            (&Method::GET, operator_api::CLAIMS_PATH) => self.list_claims().await,
            _ if path.starts_with(operator_api::PATH_PREFIX) => {
                operator_api::serve(&self.context, request).await
            }
            _ => {
                let detail = format!("there is nothing at {path}");
                let failure = failure::CallFailure::new(types::ProblemKind::UnknownName, detail);
                problem_response(&failure, &"".into())
            }
        }
    }

    fn readiness(&self) -> http_message::Response {
        if self.context.ready() {
            return text(StatusCode::OK, "serving\n");
        }
        let detail = match self.context.tables.phase() {
            types::NodePhase::Serving if self.context.in_service() => {
                "waiting for ownership".to_owned()
            }
            types::NodePhase::Serving => "out of service".to_owned(),
            phase => phase.to_string(),
        };
        text(StatusCode::SERVICE_UNAVAILABLE, &format!("{detail}\n"))
    }

    async fn serve_call(
        &self,
        request: &http_server::ServerRequest,
        target: CallTarget,
    ) -> http_message::Response {
        let arrived = time::Instant::now();
        let active = self.context.track_request();
        let id = self.context.next_request_id();
        let connection = request.connection_monitor();
        let metrics = self.context.metrics.endings.clone();
        let mut received = caller_request::CallerRequest::new(metrics, connection.clone());
        received.set_id(&id);
        let planned = self.plan(request, &target, id.clone(), arrived);
        let planned = planned.and_then(|plan| self.check_stop(&target, plan, arrived));
        let result = match planned {
            Ok(plan) => Box::pin(self.run(request, target, plan, active)).or(self.stopped()).await,
            Err(failure) => Err(failure),
        };
        let verdict = match &result {
            Ok(answer) => answer.verdict,
            Err(failure) => failure.verdict(),
        };
        let ending = match &result {
            Ok(_) => types::RequestEnding::Answered,
            Err(_) if connection.is_closed() => types::RequestEnding::CallerGone,
            Err(failure) => caller_request::failed_ending(failure),
        };
        self.context.metrics.count_request(verdict, arrived.elapsed());
        let mut response = result.map_or_else(
            |failure| {
                log::info!(request = id.as_ref(), problem = failure.problem().to_string().as_str(),
                    verdict = verdict.to_string().as_str(); "front: request failed");
                problem_response(&failure, &id)
            },
            |answer| answer.response,
        );
        response.insert_header(header::VERDICT, verdict.to_string());
        response.insert_header(header::REQUEST, &*id);
        received.respond(ending, &mut response);
        response
    }

    fn plan(
        &self,
        request: &http_server::ServerRequest,
        target: &CallTarget,
        id: ids::RequestId,
        arrived: time::Instant,
    ) -> Result<plan::RequestPlan, failure::CallFailure> {
        if request.method() != Method::POST {
            return Err(bad_request("calls are made with POST"));
        }
        if self.context.tables.phase() == types::NodePhase::Starting {
            let detail = "the node has no configuration yet";
            return Err(failure::CallFailure::new(types::ProblemKind::Unavailable, detail));
        }
        check_length(target.name(), "the name in the path")?;
        let catalog = self.context.tables.catalog();
        let workspace = named_header(request, header::WORKSPACE)?;
        let workspace =
            catalog.workspace(workspace).ok_or_else(|| unknown("workspace", workspace))?;
        let profile = named_header(request, header::PROFILE)?;
        let profile = catalog.profile(profile).ok_or_else(|| unknown("profile", profile))?;
        let idempotent = match target {
            CallTarget::Pipeline(name) => {
                catalog.pipeline(name).ok_or_else(|| unknown("pipeline", name))?;
                true
            }
            CallTarget::Service(name) => {
                catalog.service(name).ok_or_else(|| unknown("service", name))?.idempotent
            }
        };
        Ok(plan::RequestPlan {
            request: id,
            workspace: workspace.name.clone(),
            profile: profile.clone(),
            deadline: arrived + profile.deadline,
            idempotent: idempotent && profile.idempotent,
            key: single_header(request, header::IDEMPOTENCY_KEY)?.map(Into::into),
            digest: digest(request.body()),
            prefix: request.header(header::PREFIX).map_or(0, |text| xxh3::xxh3_64(text.as_bytes())),
        })
    }

    /// Checks, while the node stops, whether a request can be finished before it ends.
    ///
    /// # Errors
    ///
    /// Fails if not; the request has not run.
    fn check_stop(
        &self,
        target: &CallTarget,
        plan: plan::RequestPlan,
        arrived: time::Instant,
    ) -> Result<plan::RequestPlan, failure::CallFailure> {
        let Some(window) = self.context.drain_limit.window() else { return Ok(plan) };
        let quantile = window.expected_quantile(arrived, plan.idempotent);
        let pools = target.pools(&self.context.tables.catalog());
        let mut timings = self.context.tables.call_timings.lock();
        let expected = timings.expected_duration(&pools, quantile, arrived);
        drop(timings);
        let time_left = plan.deadline.saturating_duration_since(arrived);
        if window.admits(arrived, expected, time_left, arrived) {
            return Ok(plan);
        }
        let detail = "the node stops before the request could be finished";
        let failure = failure::CallFailure::new(types::ProblemKind::Draining, detail);
        Err(failure.with_retry_after(STOP_RETRY_AFTER))
    }

    /// Waits until the node is about to end, and returns the failure of a request that still waits.
    async fn stopped(&self) -> Result<FrontResponse, failure::CallFailure> {
        self.context.drain_limit.near(GIVE_UP_MARGIN).await;
        let detail = "the node stops before the request has finished";
        Err(failure::CallFailure::new(types::ProblemKind::EndpointFailed, detail)
            .with_verdict(types::CallVerdict::MayHaveRun))
    }

    async fn run(
        &self,
        request: &http_server::ServerRequest,
        target: CallTarget,
        plan: plan::RequestPlan,
        active: activity_counter::ActivityGuard,
    ) -> Result<FrontResponse, failure::CallFailure> {
        let streamed = accepts_event_stream(request) && matches!(target, CallTarget::Pipeline(_));
        if !plan.idempotent && streamed {
            return Err(bad_request("a call that may not be repeated cannot be streamed"));
        }
        if !plan.idempotent {
            let work =
                run_to_end(self.context.clone(), target, plan.clone(), request.body().clone());
            let answer = claim_runner::run_once(
                &self.context,
                &plan,
                request.path(),
                active,
                Box::pin(work),
            )
            .await?;
            return Ok(FrontResponse::new(&answer));
        }
        let result = async {
            if streamed {
                return self.run_stream(request, &target, plan, active).await;
            }
            let body = request.body().clone();
            let answer = run_to_end(self.context.clone(), target, plan, body).await?;
            Ok(FrontResponse::new(&claim_table::ClaimAnswer::new(answer)))
        };
        let result = request.connection_monitor().run_while_connected(Box::pin(result)).await;
        result.unwrap_or_else(|| {
            let detail = "the caller went away";
            Err(failure::CallFailure::new(types::ProblemKind::Unavailable, detail)
                .with_verdict(types::CallVerdict::MayHaveRun))
        })
    }

    async fn run_stream(
        &self,
        request: &http_server::ServerRequest,
        target: &CallTarget,
        plan: plan::RequestPlan,
        active: activity_counter::ActivityGuard,
    ) -> Result<FrontResponse, failure::CallFailure> {
        let catalog = self.context.tables.catalog();
        let name = target.name();
        let declaration = catalog.pipeline(name).ok_or_else(|| unknown("pipeline", name))?;
        let run = pipeline::PipelineRun::new(self.context.clone(), plan);
        let input = run.run_before_stream(declaration, request.body()).await?;
        let response = caller_stream::start(input, active).await?;
        Ok(FrontResponse { response, verdict: types::CallVerdict::Ran })
    }

    async fn list_claims(&self) -> http_message::Response {
        let listed = claim_runner::list_unresolved(&self.context).await;
        listed.map_or_else(
            |failure| problem_response(&failure, &self.context.next_request_id()),
            |list| json(StatusCode::OK, &list),
        )
    }
}

/// Response to a call, and whether the call may have run.
struct FrontResponse {
    response: http_message::Response,
    verdict: types::CallVerdict,
}

impl FrontResponse {
    fn new(answer: &claim_table::ClaimAnswer) -> Self {
        let media_type = answer.problem.map_or(header::JSON, |_| problem::PROBLEM_MEDIA_TYPE);
        let status = StatusCode::from_u16(answer.answer.status);
        let status = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let mut response = http_message::Response::new(status);
        response.set_body(answer.answer.body.clone());
        response.insert_header("content-type", media_type);
        Self { response, verdict: answer.verdict }
    }
}

/// Runs a call until its response is complete.
async fn run_to_end(
    context: sync::Arc<context::NodeContext>,
    target: CallTarget,
    plan: plan::RequestPlan,
    body: ids::Payload,
) -> Result<failure::CallResponse, failure::CallFailure> {
    let catalog = context.tables.catalog();
    let id = plan.request.clone();
    let mut run = pipeline::PipelineRun::new(context, plan);
    match target {
        CallTarget::Pipeline(name) => {
            let declaration = catalog.pipeline(&name).ok_or_else(|| unknown("pipeline", &name))?;
            let answer = run.run_pipeline(declaration, &body).await?;
            pipeline_response(run.ledger(), &id, &answer)
        }
        CallTarget::Service(name) => {
            let declaration = catalog.service(&name).ok_or_else(|| unknown("service", &name))?;
            run.ledger().check_cost(std::slice::from_ref(&declaration.pool))?;
            run.run_call(&declaration.pool, &declaration.name, body).await
        }
    }
}

fn accepts_event_stream(request: &http_server::ServerRequest) -> bool {
    request.header("accept").is_some_and(|value| value.contains(header::EVENT_STREAM))
}

impl http_server::RequestHandler for FrontHandler {
    async fn handle(&self, request: http_server::ServerRequest) -> http_message::Response {
        let mut response = self.serve(&request).await;
        if self.context.tables.phase() == types::NodePhase::Draining {
            response.insert_header("connection", "close");
        }
        response
    }

    fn record_closed(&self, cause: http_server::CloseCause) {
        self.context.metrics.connections.record_closed(cause);
    }

    fn refuse(&self, error: http_server::RequestError) -> http_message::Response {
        use http_server::RequestError as Error;
        let (kind, detail) = match error {
            Error::Busy => (types::ProblemKind::Overloaded, "too many bodies are being received"),
            Error::CutShort => (types::ProblemKind::CutShort, "the body was cut short"),
            Error::Malformed => (types::ProblemKind::BadRequest, "the header is not valid"),
            Error::Slow => (types::ProblemKind::CutShort, "the request did not arrive in time"),
            Error::TooLarge => (types::ProblemKind::TooLarge, "the body is too large"),
        };
        let id = self.context.next_request_id();
        problem_response(&failure::CallFailure::new(kind, detail), &id)
    }

    fn panicked(&self) -> http_message::Response {
        let verdict = types::CallVerdict::MayHaveRun;
        let detail = "the request could not be completed";
        let failure = failure::CallFailure::new(types::ProblemKind::Internal, detail);
        let id = self.context.next_request_id();
        problem_response(&failure.with_verdict(verdict), &id)
    }
}

/// What the path of a call names.
#[derive(Clone, Debug)]
enum CallTarget {
    Pipeline(ids::PipelineId),
    Service(ids::ServiceId),
}

impl CallTarget {
    fn name(&self) -> &str {
        match self {
            Self::Pipeline(name) | Self::Service(name) => name,
        }
    }

    /// Returns the pools that run the call, one for each stage.
    fn pools(&self, catalog: &catalog::ConfigurationCatalog) -> Vec<ids::PoolId> {
        match self {
            Self::Pipeline(name) => {
                let stages = catalog.pipeline(name).map(|pipeline| &pipeline.stages);
                stages.into_iter().flatten().map(|stage| stage.pool.clone()).collect()
            }
            Self::Service(name) => {
                catalog.service(name).map(|service| service.pool.clone()).into_iter().collect()
            }
        }
    }
}

fn named_header<'request>(
    request: &'request http_server::ServerRequest,
    name: &str,
) -> Result<&'request str, failure::CallFailure> {
    single_header(request, name)?
        .ok_or_else(|| bad_request(&format!("the header {name} is missing")))
}

/// Returns the value of a header that may occur once, of 1 to [`NAME_LIMIT_BYTES`] bytes.
fn single_header<'request>(
    request: &'request http_server::ServerRequest,
    name: &str,
) -> Result<Option<&'request str>, failure::CallFailure> {
    let mut values = request.headers(name).iter();
    let Some(value) = values.next() else { return Ok(None) };
    if values.next().is_some() {
        return Err(bad_request(&format!("the header {name} is given more than once")));
    }
    let Ok(value) = value.to_str() else {
        return Err(bad_request(&format!("the header {name} is not text")));
    };
    check_length(value, &format!("the header {name}"))?;
    Ok(Some(value))
}

fn check_length(value: &str, what: &str) -> Result<(), failure::CallFailure> {
    if (1..=NAME_LIMIT_BYTES).contains(&value.len()) {
        return Ok(());
    }
    Err(bad_request(&format!(
        "{what} has {} bytes, allowed are 1 to {NAME_LIMIT_BYTES}",
        value.len()
    )))
}

fn bad_request(detail: &str) -> failure::CallFailure {
    failure::CallFailure::new(types::ProblemKind::BadRequest, detail)
}

fn unknown(kind: &str, name: &str) -> failure::CallFailure {
    let detail = format!("there is no {kind} named {name:?}");
    failure::CallFailure::new(types::ProblemKind::UnknownName, detail)
}

fn digest(body: &[u8]) -> ids::BodyDigest {
    format!("{:x}", sha2::Sha256::digest(body)).into()
}

fn pipeline_response(
    ledger: &plan::RequestLedger,
    id: &ids::RequestId,
    answer: &failure::CallResponse,
) -> Result<failure::CallResponse, failure::CallFailure> {
    let failed = |error: serde_json::Error| {
        failure::CallFailure::new(types::ProblemKind::EndpointFailed, error.to_string())
            .with_verdict(types::CallVerdict::Ran)
    };
    let pipeline_answer = answers::PipelineAnswer {
        answer: serde_json::from_slice(&answer.body).map_err(failed)?,
        attempts: u32::try_from(ledger.attempts()).unwrap_or(u32::MAX),
        cost: ledger.cost(),
        request: id.clone(),
        verdict: types::CallVerdict::Ran,
    };
    let body = serde_json::to_vec(&pipeline_answer).map_err(failed)?;
    Ok(failure::CallResponse { status: StatusCode::OK.into(), body: body.into() })
}

fn text(status: StatusCode, body: &str) -> http_message::Response {
    let mut response = http_message::Response::new(status);
    response.set_body(body.to_owned());
    response
}

/// Returns the response with all metrics of a node.
pub fn metrics(context: &context::NodeContext) -> http_message::Response {
    context.metrics.pools.update_gauges(&context.tables.pools.lock());
    let mut response = text(StatusCode::OK, &context.metrics.encode());
    response.insert_header("content-type", METRICS_MEDIA_TYPE);
    response
}

/// Returns a JSON response.
pub fn json<Message>(status: StatusCode, message: &Message) -> http_message::Response
where
    Message: serde::Serialize,
{
    let mut response = http_message::Response::new(status);
    match serde_json::to_vec(message) {
        Ok(body) => response.set_body(body),
        Err(error) => {
            log::error!("front: response not encoded. error={error}");
            response.set_status(StatusCode::INTERNAL_SERVER_ERROR);
        }
    }
    response.insert_header("content-type", header::JSON);
    response
}

/// Returns the problem response of a failure.
pub fn problem_response(
    failure: &failure::CallFailure,
    request: &ids::RequestId,
) -> http_message::Response {
    let body = problem::body(failure, request);
    let status = StatusCode::try_from(body.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut response = json(status, &body);
    response.insert_header("content-type", problem::PROBLEM_MEDIA_TYPE);
    response.insert_header(header::VERDICT, body.verdict.to_string());
    response.insert_header(header::REQUEST, &**request);
    if !failure.retry_after().is_zero() {
        let seconds = failure.retry_after().as_secs().max(1);
        response.insert_header("retry-after", seconds.to_string());
    }
    response
}
