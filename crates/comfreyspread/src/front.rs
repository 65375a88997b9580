//! HTTP towards callers and operators.

use crate::{context, dump, failure, header, http_server, pipeline, problem};
use comfreyspread_schema::{ids, types};
use http_types::{Method, Response, StatusCode};
use sha2::Digest as _;
use std::{sync, time};

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
        let status = if phase == types::NodePhase::Serving {
            StatusCode::Ok
        } else {
            StatusCode::ServiceUnavailable
        };
        text(status, &format!("{phase}\n"))
    }

    async fn serve_call(
        &self,
        request: &http_server::ServerRequest,
        target: CallTarget<'_>,
    ) -> Response {
        let arrived = time::Instant::now();
        let _active = self.context.begin_request();
        let id = self.context.next_request();
        let answered = match self.plan(request, &target, id.clone(), arrived) {
            Ok(plan) => self.run(request, &target, plan).await,
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
    ) -> Result<pipeline::RequestPlan, failure::CallFailure> {
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
        Ok(pipeline::RequestPlan {
            request: id,
            workspace: workspace.name.clone(),
            profile: profile.clone(),
            deadline: arrived + profile.deadline,
            idempotent: repeatable && profile.idempotent,
            key: request.header(header::IDEMPOTENCY_KEY).map(Into::into),
            digest: digest(request.body()),
        })
    }

    async fn run(
        &self,
        request: &http_server::ServerRequest,
        target: &CallTarget<'_>,
        plan: pipeline::RequestPlan,
    ) -> Result<Response, failure::CallFailure> {
        let catalog = self.context.tables.catalog();
        let id = plan.request.clone();
        let mut run = pipeline::PipelineRun::new(&self.context, plan);
        let mut response = match target {
            CallTarget::Pipeline(name) => {
                let declaration =
                    catalog.pipeline(name).ok_or_else(|| unknown("pipeline", name))?;
                let answer = run.run_pipeline(declaration, request.body()).await?;
                json(StatusCode::Ok, &whole_answer(&run, &id, &answer)?)
            }
            CallTarget::Service(name) => {
                let declaration = catalog.service(name).ok_or_else(|| unknown("service", name))?;
                let body = request.body().clone();
                let answer = run.run_call(&declaration.pool, &declaration.name, body).await?;
                opaque(&answer)
            }
        };
        response.insert_header(header::VERDICT, types::CallVerdict::Ran.to_string());
        response.insert_header(header::REQUEST, &*id);
        Ok(response)
    }
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
    run: &pipeline::PipelineRun<'_>,
    id: &ids::RequestId,
    answer: &failure::WholeAnswer,
) -> Result<types::PipelineAnswer, failure::CallFailure> {
    let value = serde_json::from_slice(&answer.body).map_err(|error| {
        failure::CallFailure::new(types::ProblemKind::EndpointFailed, error.to_string())
            .with_verdict(types::CallVerdict::Ran)
    })?;
    Ok(types::PipelineAnswer {
        answer: value,
        attempts: u32::try_from(run.attempts()).unwrap_or(u32::MAX),
        cost: run.cost(),
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
