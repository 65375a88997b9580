//! Runs the stages of a pipeline, or one call of a service, under one deadline.

use crate::{
    ingress::{call_run, plan},
    runtime::context,
    transport::failure,
};
use comfreyspread_schema::{ids, types};
use serde_json::value;
use std::{sync, time};

/// Retry delay sent to callers whose deadline cannot be met.
const DEADLINE_RETRY_AFTER: time::Duration = time::Duration::from_secs(1);

/// Input of a stage: the caller's body and the answer of the previous stage.
#[derive(serde::Serialize)]
struct StageInput<'body> {
    request: &'body value::RawValue,
    previous: Option<&'body value::RawValue>,
}

/// Execution of one request over its stages.
#[derive(Debug)]
pub struct PipelineRun {
    ledger: plan::RequestLedger,
}

impl PipelineRun {
    /// Creates a run that has made no attempt.
    pub fn new(context: sync::Arc<context::NodeContext>, plan: plan::RequestPlan) -> Self {
        Self { ledger: plan::RequestLedger::new(context, plan) }
    }

    /// Returns the ledger of attempts and cost.
    pub fn ledger(&self) -> &plan::RequestLedger {
        &self.ledger
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
    ) -> Result<failure::CallResponse, failure::CallFailure> {
        let Some((last, stages)) = pipeline.stages.split_last() else { return Err(no_stages()) };
        let input = self.run_stages(pipeline, stages, body).await?;
        let earlier_ran = !stages.is_empty();
        let answer = self.run_call(&last.pool, &last.name, input).await;
        let answer = answer.map_err(|failure| with_earlier_stages(failure, earlier_ran))?;
        parse_json(&answer.body).map_err(|failure| with_earlier_stages(failure, true))?;
        Ok(answer)
    }

    /// Runs all stages but the last and returns the input and the ledger for a streamed last one.
    ///
    /// # Errors
    ///
    /// Fails with the verdict over all attempts.
    pub async fn run_before_stream(
        mut self,
        pipeline: &types::PipelineDeclaration,
        body: &ids::Payload,
    ) -> Result<StreamInput, failure::CallFailure> {
        let Some((last, stages)) = pipeline.stages.split_last() else { return Err(no_stages()) };
        let input = self.run_stages(pipeline, stages, body).await?;
        let earlier_ran = !stages.is_empty();
        Ok(StreamInput { ledger: self.ledger, stage: last.clone(), body: input, earlier_ran })
    }

    /// Runs one call of a stage or service.
    ///
    /// # Errors
    ///
    /// Fails with the verdict over all attempts of the call.
    pub async fn run_call(
        &mut self,
        pool: &ids::PoolId,
        target: &ids::Text,
        body: ids::Payload,
    ) -> Result<failure::CallResponse, failure::CallFailure> {
        let run = call_run::CallRun::new(&self.ledger, pool, target, body);
        run.execute(&mut self.ledger).await
    }

    /// Runs `stages` and returns the input of the stage after them.
    async fn run_stages(
        &mut self,
        pipeline: &types::PipelineDeclaration,
        stages: &[types::StageDeclaration],
        body: &ids::Payload,
    ) -> Result<ids::Payload, failure::CallFailure> {
        let request = parse_json(body)?;
        let pools: Vec<_> = pipeline.stages.iter().map(|stage| stage.pool.clone()).collect();
        self.ledger.check_cost(&pools)?;
        let mut previous: Option<Box<value::RawValue>> = None;
        for (index, stage) in stages.iter().enumerate() {
            let earlier_ran = index > 0;
            self.check_deadline(&pools[index..])
                .map_err(|failure| with_earlier_stages(failure, earlier_ran))?;
            let input = stage_input(&request, previous.as_deref())?;
            let answer = self.run_call(&stage.pool, &stage.name, input).await;
            let answer = answer.map_err(|failure| with_earlier_stages(failure, earlier_ran))?;
            let parsed = parse_json(&answer.body);
            previous = Some(parsed.map_err(|failure| with_earlier_stages(failure, true))?);
        }
        let earlier_ran = !stages.is_empty();
        self.check_deadline(&pools[stages.len()..])
            .map_err(|failure| with_earlier_stages(failure, earlier_ran))?;
        stage_input(&request, previous.as_deref())
    }

    /// Rejects the request if the remaining stages are not expected to meet the deadline.
    fn check_deadline(&self, pools: &[ids::PoolId]) -> Result<(), failure::CallFailure> {
        let now = time::Instant::now();
        let context = self.ledger.context();
        let remaining = self.ledger.remaining().saturating_sub(self.min_wait(pools, now));
        if context.tables.call_timings.lock().fits_deadline(pools, remaining, now) {
            return Ok(());
        }
        let detail = "the stages left take longer than the time left";
        Err(failure::CallFailure::new(types::ProblemKind::Deadline, detail)
            .with_retry_after(DEADLINE_RETRY_AFTER))
    }

    /// Returns the sum of the minimum queue waits over `pools`.
    fn min_wait(&self, pools: &[ids::PoolId], now: time::Instant) -> time::Duration {
        let priority = self.ledger.plan().profile.priority;
        let hints = self.ledger.context().tables.hints.lock();
        pools.iter().map(|pool| hints.min_wait(pool, priority, now)).sum()
    }
}

/// Input of the streamed last stage of a pipeline.
#[derive(Debug)]
pub struct StreamInput {
    /// Attempts and cost so far.
    pub ledger: plan::RequestLedger,
    /// The last stage.
    pub stage: types::StageDeclaration,
    /// Body sent to the last stage.
    pub body: ids::Payload,
    /// Whether earlier stages ran.
    pub earlier_ran: bool,
}

fn no_stages() -> failure::CallFailure {
    failure::CallFailure::new(types::ProblemKind::Internal, "the pipeline has no stages")
}

/// Changes the verdict `not-run` to `may-have-run` if earlier stages ran.
pub fn with_earlier_stages(
    failure: failure::CallFailure,
    earlier_ran: bool,
) -> failure::CallFailure {
    if earlier_ran && failure.verdict() == types::CallVerdict::NotRun {
        return failure.with_verdict(types::CallVerdict::MayHaveRun);
    }
    failure
}

fn stage_input(
    request: &value::RawValue,
    previous: Option<&value::RawValue>,
) -> Result<ids::Payload, failure::CallFailure> {
    let input = serde_json::to_vec(&StageInput { request, previous });
    let input = input.map_err(|error| {
        failure::CallFailure::new(types::ProblemKind::Internal, error.to_string())
    })?;
    Ok(input.into())
}

/// Parses a body as JSON.
///
/// # Errors
///
/// Fails with `not-run` if it is not JSON.
pub fn parse_json(body: &ids::Payload) -> Result<Box<value::RawValue>, failure::CallFailure> {
    serde_json::from_slice(body).map_err(|error| {
        let detail = format!("the body is not JSON: {error}");
        failure::CallFailure::new(types::ProblemKind::BadRequest, detail)
    })
}
