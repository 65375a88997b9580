//! HTTP towards callers and operators.

use crate::{caller_stream, context, dump, failure, header, http_server, pipeline, plan, problem};
use comfreyspread_schema::{ids, types};
use futures_lite::FutureExt as _;
use http_types::{Method, Response, StatusCode};
use sha2::Digest as _;
use std::{sync, time};
use xxhash_rust::xxh3;

const METRICS_MEDIA_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";
const PIPELINE_PREFIX: &str = "/v1/pipelines/";
const SERVICE_PREFIX: &str = "/v1/services/";

/// Answers callers and operators.
pub struct FrontHandler {
    context: sync::Arc<context::NodeContext>,
}

impl FrontHandler {
    /// Creates the handler.
    pub fn new(context: sync::Arc<context::NodeContext>) -> Self {
        Self { context }
    }

    async fn serve(&self, request: &http_server::ServerRequest) -> Response {
        let path = request.path();
        if let Some(name) = path.strip_prefix(PIPELINE_PREFIX) {
            return self.serve_call(request, CallTarget::Pipeline(name)).await;
        }
        if let Some(name) = path.strip_prefix(SERVICE_PREFIX) {
            return self.serve_call(request, CallTarget::Service(name)).await;
        }
        match (request.method(), path) {
            (Method::Get, "/healthz") => text(StatusCode::Ok, "ok\n"),
            (Method::Get, "/readyz") => self.readiness(),
            (Method::Get, "/metrics") => {
                self.context.metrics.pools.observe_pools(&self.context.tables.pools.lock());
                let mut response = text(StatusCode::Ok, &self.context.metrics.text());
                response.insert_header("content-type", METRICS_MEDIA_TYPE);
                response
            }
            (Method::Get, "/operator/dump") => json(StatusCode::Ok, &dump::collect(&self.context)),
            _ => {
                let detail = format!("there is nothing at {path}");
                let failure = failure::CallFailure::new(types::ProblemKind::UnknownName, detail);
                refusal(&failure, &"".into())
            }
        }
    }

    fn readiness(&self) -> Response {
        let phase = self.context.tables.phase();
        if phase != types::NodePhase::Serving {
            return text(StatusCode::ServiceUnavailable, &format!("{phase}\n"));
        }
        if !self.context.tables.ownership.lock().has_settled() {
            return text(StatusCode::ServiceUnavailable, "waiting for ownership\n");
        }
        text(StatusCode::Ok, &format!("{phase}\n"))
    }

    async fn serve_call(
        &self,
        request: &http_server::ServerRequest,
        target: CallTarget<'_>,
    ) -> Response {
        let arrived = time::Instant::now();
        let active = context::ActiveRequest::new(self.context.clone());
        let id = self.context.next_request();
        let answered = match self.plan(request, &target, id.clone(), arrived) {
            Ok(plan) => self.run(request, &target, plan, active).await,
            Err(failure) => Err(failure),
        };
        let verdict = match &answered {
            Ok(_) => types::CallVerdict::Ran,
            Err(failure) => failure.verdict(),
        };
        self.context.metrics.count_request(verdict, arrived.elapsed());
        answered.unwrap_or_else(|failure| {
            log::info!(request = id.as_ref(), problem = failure.problem().to_string().as_str(),
                verdict = verdict.to_string().as_str(); "front: request failed");
            refusal(&failure, &id)
        })
    }

    fn plan(
        &self,
        request: &http_server::ServerRequest,
        target: &CallTarget<'_>,
        id: ids::RequestId,
        arrived: time::Instant,
    ) -> Result<plan::RequestPlan, failure::CallFailure> {
        if request.method() != Method::Post {
            return Err(bad_request("calls are made with POST"));
        }
        if self.context.tables.phase() == types::NodePhase::Starting {
            let detail = "the node has no configuration yet";
            return Err(failure::CallFailure::new(types::ProblemKind::Unavailable, detail));
        }
        let catalog = self.context.tables.catalog();
        let workspace = named_header(request, header::WORKSPACE)?;
        let workspace =
            catalog.workspace(workspace).ok_or_else(|| unknown("workspace", workspace))?;
        let profile = named_header(request, header::PROFILE)?;
        let profile = catalog.profile(profile).ok_or_else(|| unknown("profile", profile))?;
        let repeatable = match target {
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
            idempotent: repeatable && profile.idempotent,
            key: request.header(header::IDEMPOTENCY_KEY).map(Into::into),
            digest: digest(request.body()),
            prefix: request.header(header::PREFIX).map_or(0, |text| xxh3::xxh3_64(text.as_bytes())),
        })
    }

    async fn run(
        &self,
        request: &http_server::ServerRequest,
        target: &CallTarget<'_>,
        plan: plan::RequestPlan,
        active: context::ActiveRequest,
    ) -> Result<Response, failure::CallFailure> {
        let id = plan.request.clone();
        let idempotent = plan.idempotent;
        let answered = async {
            match target {
                CallTarget::Pipeline(name) => self.run_pipeline(request, name, plan, active).await,
                CallTarget::Service(name) => self.run_service(request, name, plan).await,
            }
        };
        let gone = async {
            request.connection().closed().await;
            if !idempotent {
                std::future::pending::<()>().await;
            }
            let detail = "the caller went away";
            Err(failure::CallFailure::new(types::ProblemKind::Unavailable, detail)
                .with_verdict(types::CallVerdict::MayHaveRun))
        };
        let mut response = answered.or(gone).await?;
        response.insert_header(header::VERDICT, types::CallVerdict::Ran.to_string());
        response.insert_header(header::REQUEST, &*id);
        Ok(response)
    }

    async fn run_pipeline(
        &self,
        request: &http_server::ServerRequest,
        name: &str,
        plan: plan::RequestPlan,
        active: context::ActiveRequest,
    ) -> Result<Response, failure::CallFailure> {
        let catalog = self.context.tables.catalog();
        let declaration = catalog.pipeline(name).ok_or_else(|| unknown("pipeline", name))?;
        let id = plan.request.clone();
        let mut run = pipeline::PipelineRun::new(self.context.clone(), plan);
        if wants_stream(request) {
            let input = run.run_before_stream(declaration, request.body()).await?;
            return caller_stream::start(input, active).await;
        }
        let answer = run.run_pipeline(declaration, request.body()).await?;
        Ok(json(StatusCode::Ok, &whole_answer(run.ledger(), &id, &answer)?))
    }

    async fn run_service(
        &self,
        request: &http_server::ServerRequest,
        name: &str,
        plan: plan::RequestPlan,
    ) -> Result<Response, failure::CallFailure> {
        let catalog = self.context.tables.catalog();
        let declaration = catalog.service(name).ok_or_else(|| unknown("service", name))?;
        let mut run = pipeline::PipelineRun::new(self.context.clone(), plan);
        run.ledger().check_cost(std::slice::from_ref(&declaration.pool))?;
        let body = request.body().clone();
        Ok(opaque(&run.run_call(&declaration.pool, &declaration.name, body).await?))
    }
}

fn wants_stream(request: &http_server::ServerRequest) -> bool {
    request.header("accept").is_some_and(|value| value.contains(header::EVENT_STREAM))
}

impl http_server::RequestHandler for FrontHandler {
    async fn handle(&self, request: http_server::ServerRequest) -> Response {
        self.serve(&request).await
    }

    fn refuse(&self, fault: http_server::RequestFault) -> Response {
        use http_server::RequestFault as Fault;
        let (kind, detail) = match fault {
            Fault::CutShort => (types::ProblemKind::CutShort, "the body was cut short"),
            Fault::Malformed => (types::ProblemKind::BadRequest, "the header is not valid"),
            Fault::Slow => (types::ProblemKind::CutShort, "the body did not arrive in time"),
            Fault::TooLarge => (types::ProblemKind::TooLarge, "the body is too large"),
        };
        let id = self.context.next_request();
        refusal(&failure::CallFailure::new(kind, detail), &id)
    }
}

/// What a call names in its path.
#[derive(Clone, Copy, Debug)]
enum CallTarget<'path> {
    Pipeline(&'path str),
    Service(&'path str),
}

fn named_header<'request>(
    request: &'request http_server::ServerRequest,
    name: &str,
) -> Result<&'request str, failure::CallFailure> {
    request.header(name).ok_or_else(|| bad_request(&format!("the header {name} is missing")))
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

fn whole_answer(
    ledger: &plan::RequestLedger,
    id: &ids::RequestId,
    answer: &failure::WholeAnswer,
) -> Result<types::PipelineAnswer, failure::CallFailure> {
    let value = serde_json::from_slice(&answer.body).map_err(|error| {
        failure::CallFailure::new(types::ProblemKind::EndpointFailed, error.to_string())
            .with_verdict(types::CallVerdict::Ran)
    })?;
    Ok(types::PipelineAnswer {
        answer: value,
        attempts: u32::try_from(ledger.attempts()).unwrap_or(u32::MAX),
        cost: ledger.cost(),
        request: id.clone(),
        verdict: types::CallVerdict::Ran,
    })
}

fn opaque(answer: &failure::WholeAnswer) -> Response {
    let mut response = Response::new(answer.status);
    response.set_body(answer.body.to_vec());
    response.insert_header("content-type", header::JSON);
    response
}

fn text(status: StatusCode, body: &str) -> Response {
    let mut response = Response::new(status);
    response.set_body(body);
    response
}

/// Returns a JSON response.
pub fn json<Message>(status: StatusCode, message: &Message) -> Response
where
    Message: serde::Serialize,
{
    let mut response = Response::new(status);
    match serde_json::to_vec(message) {
        Ok(body) => response.set_body(body),
        Err(error) => {
            log::error!("front: answer cannot be encoded. error={error}");
            response.set_status(StatusCode::InternalServerError);
        }
    }
    response.insert_header("content-type", header::JSON);
    response
}

/// Returns the response to a failure.
pub fn refusal(failure: &failure::CallFailure, request: &ids::RequestId) -> Response {
    let body = problem::body(failure, request);
    let status = StatusCode::try_from(body.status).unwrap_or(StatusCode::InternalServerError);
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
