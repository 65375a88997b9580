//! Runs requests that are answered with a single response.

use super::{attempt_history, attempt_send, call_plan, stage_execution, state};
use crate::transport::{failure, http_message};
use comfreyspread_policy::{attempt, endpoint_directory};
use comfreyspread_schema::types;
use std::sync;

/// Runs a request until its response is complete, retrying where the route allows it.
///
/// # Errors
///
/// Fails with the combined verdict of all attempts.
pub async fn run(
    state: &sync::Arc<state::GatewayState>,
    plan: &call_plan::CallPlan,
) -> Result<http_message::Response, failure::CallFailure> {
    let mut attempts = UnaryAttempts::new(state, plan)?;
    let mut fallback = None;
    loop {
        let failed = match attempts.attempt(state).await {
            Ok(response) if attempts.should_retry(state, &response) => {
                fallback = Some(response);
                continue;
            }
            Ok(response) => return Ok(response),
            Err(failed) => failed,
        };
        let UnaryAttempts { history, stages, .. } = &mut attempts;
        let failure = match history.record_failure(state, plan, stages.as_mut(), &failed) {
            Ok(true) => continue,
            Ok(false) => failed.failure,
            Err(failure) => failure,
        };
        return fallback.ok_or_else(|| failure.with_verdict(history.verdict()));
    }
}

/// Attempts at one request.
struct UnaryAttempts<'plan> {
    plan: &'plan call_plan::CallPlan,
    history: attempt_history::AttemptHistory,
    /// Stages of the request, if its route has any.
    stages: Option<stage_execution::StageExecution>,
}

impl<'plan> UnaryAttempts<'plan> {
    fn new(
        state: &sync::Arc<state::GatewayState>,
        plan: &'plan call_plan::CallPlan,
    ) -> Result<Self, failure::CallFailure> {
        let has_stages = !plan.route.stages.is_empty();
        let stages = has_stages.then(|| stage_execution::StageExecution::new(state, plan));
        let history = attempt_history::AttemptHistory::new();
        Ok(Self { plan, history, stages: stages.transpose()? })
    }

    async fn attempt(
        &mut self,
        state: &sync::Arc<state::GatewayState>,
    ) -> Result<http_message::Response, attempt_send::FailedAttempt> {
        if let Some(stages) = &mut self.stages {
            let made = stages.run_pending(self.plan).await;
            made.map_err(attempt_send::FailedAttempt::without_endpoint)?;
        }
        let inputs = self.stages.as_ref().map(stage_execution::StageExecution::outputs);
        let region = self.stages.as_ref().map(stage_execution::StageExecution::region);
        let number = self.history.next_number();
        let regions = self.plan.allowed_regions(state);
        let input = attempt_send::AttemptInput {
            tried: self.history.tried(),
            second_try: self.history.second_try(self.plan),
            preferred_region: region.unwrap_or(&state.settings.region),
            regions: regions.as_deref(),
            inputs: inputs.as_deref().unwrap_or_default(),
            resume_after: None,
            number,
        };
        let planned = attempt::CallAttempt::new(number);
        let mut started = attempt_send::send(state, self.plan, planned, &input).await?;
        self.history.record_response(&started.active.chosen.endpoint);
        let body = match attempt_send::read_body(state, self.plan, &mut started.response).await {
            Ok(body) => body,
            Err(failure) => {
                if failure.problem() != types::ProblemKind::Timeout {
                    started.active.finish(endpoint_directory::AttemptOutcome::Failed);
                }
                return Err(started.active.failed(failure, false));
            }
        };
        started.active.record_answered();
        let failed = started.response.status().is_server_error();
        if !failed {
            self.plan.record_served(state);
            self.plan.record_duration(state, started.active.elapsed());
        }
        let outcome = if failed {
            endpoint_directory::AttemptOutcome::Failed
        } else {
            endpoint_directory::AttemptOutcome::Served
        };
        started.active.finish(outcome);
        Ok(attempt_send::forwarded_response(&started.response, body))
    }

    /// Returns whether a response is a server error that may be retried at another endpoint; if so,
    /// a retry is taken from the budget.
    fn should_retry(&self, state: &state::GatewayState, response: &http_message::Response) -> bool {
        response.status().is_server_error() && self.history.try_acquire_rerun(state, self.plan)
    }
}
