//! Running the stages of a pipeline, or one call of a service, under one deadline.

use crate::{context, dispatch, failure};
use comfreyspread_policy::verdict;
use comfreyspread_schema::{ids, types};
use std::{sync, time};

/// A caller's request with its profile resolved.
#[derive(Clone, Debug)]
pub struct RequestPlan {
    /// Identifier of the request.
    pub request: ids::RequestId,
    /// Workspace of the caller.
    pub workspace: ids::WorkspaceId,
    /// Profile of the request.
    pub profile: types::ProfileDeclaration,
    /// Moment by which the whole answer has to be there.
    pub deadline: time::Instant,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Idempotency key, if the caller gave one.
    pub key: Option<ids::RequestKey>,
    /// Digest of the body.
    pub digest: ids::BodyDigest,
}

/// What a stage receives: the caller's body and the answer of the stage before.
#[derive(serde::Serialize)]
struct StageInput<'body> {
    request: &'body serde_json::value::RawValue,
    previous: Option<&'body serde_json::value::RawValue>,
}

/// Progress of one request over its stages.
#[derive(Debug)]
pub struct PipelineRun<'context> {
    context: &'context sync::Arc<context::NodeContext>,
    plan: RequestPlan,
    tracker: verdict::VerdictTracker,
    attempts: ids::AttemptId,
    cost: ids::CostUnits,
}

impl<'context> PipelineRun<'context> {
    /// Creates a run that has made no attempt.
    pub fn new(context: &'context sync::Arc<context::NodeContext>, plan: RequestPlan) -> Self {
        let tracker = verdict::VerdictTracker::new();
        Self { context, plan, tracker, attempts: 0, cost: 0 }
    }

    /// Returns the cost of all attempts so far.
    pub fn cost(&self) -> ids::CostUnits {
        self.cost
    }

    /// Returns the number of attempts so far.
    pub fn attempts(&self) -> ids::AttemptId {
        self.attempts
    }

    /// Runs all stages of a pipeline.
    ///
    /// # Errors
    ///
    /// Fails with the verdict over all attempts.
    pub async fn run_pipeline(
        &mut self,
        pipeline: &types::PipelineDeclaration,
        body: &ids::Payload,
    ) -> Result<failure::WholeAnswer, failure::CallFailure> {
        let request = parse_json(body)?;
        let mut previous: Option<Box<serde_json::value::RawValue>> = None;
        let mut status = 0;
        for stage in &pipeline.stages {
            let input = StageInput { request: &request, previous: previous.as_deref() };
            let input = serde_json::to_vec(&input).map_err(internal)?;
            let answer = self.run_call(&stage.pool, &stage.name, input.into()).await?;
            status = answer.status;
            let value = parse_json(&answer.body);
            previous = Some(value.map_err(|failure| self.conclude(failure))?);
        }
        let body = previous.map(|value| String::from(Box::<str>::from(value)));
        Ok(failure::WholeAnswer { status, body: body.unwrap_or_default().into() })
    }

    /// Runs one call of a stage or service.
    ///
    /// # Errors
    ///
    /// Fails with the verdict over all attempts.
    pub async fn run_call(
        &mut self,
        pool: &ids::PoolId,
        target: &ids::Text,
        body: ids::Payload,
    ) -> Result<failure::WholeAnswer, failure::CallFailure> {
        self.attempts += 1;
        self.cost += self.call_cost(pool);
        let call = self.stage_call(pool, target, body);
        let reply = dispatch::send(self.context, call, self.plan.deadline).await;
        let reply = reply.map_err(|failure| self.conclude(failure))?;
        match failure::CallFailure::from_outcome(reply.outcome) {
            Ok(answer) => Ok(failure::WholeAnswer { status: answer.status, body: answer.body }),
            Err(failure) => Err(self.conclude(failure)),
        }
    }

    fn call_cost(&self, pool: &ids::PoolId) -> ids::CostUnits {
        let catalog = self.context.tables.catalog();
        catalog.pool(pool).map_or(0, |entry| entry.declaration().call_cost)
    }

    fn stage_call(
        &self,
        pool: &ids::PoolId,
        target: &ids::Text,
        body: ids::Payload,
    ) -> types::StageCall {
        types::StageCall {
            alone: false,
            attempt: self.attempts,
            avoid: Vec::new(),
            body,
            budget: self.plan.deadline.saturating_duration_since(time::Instant::now()),
            digest: self.plan.digest.clone(),
            endpoint: None,
            header: self.context.peer_header(),
            idempotent: self.plan.idempotent,
            key: self.plan.key.clone(),
            offset: 0,
            pool: pool.clone(),
            prefix: 0,
            priority: self.plan.profile.priority,
            request: self.plan.request.clone(),
            streaming: false,
            target: target.clone(),
            workspace: self.plan.workspace.clone(),
        }
    }

    fn conclude(&mut self, failure: failure::CallFailure) -> failure::CallFailure {
        self.tracker = self.tracker.with_outcome(failure.verdict());
        failure.with_verdict(self.tracker.verdict())
    }
}

/// Parses a body as JSON.
///
/// # Errors
///
/// Fails with `not-run` if it is not JSON.
pub fn parse_json(
    body: &ids::Payload,
) -> Result<Box<serde_json::value::RawValue>, failure::CallFailure> {
    serde_json::from_slice(body).map_err(|error| {
        let detail = format!("the body is not JSON: {error}");
        failure::CallFailure::new(types::ProblemKind::BadRequest, detail)
    })
}

fn internal(error: serde_json::Error) -> failure::CallFailure {
    failure::CallFailure::new(types::ProblemKind::Internal, error.to_string())
}
