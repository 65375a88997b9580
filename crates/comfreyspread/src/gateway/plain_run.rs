//! Requests with one whole answer.

use super::{attempt_log, attempt_send, call_plan, state};
use crate::transport::{failure, http_message};
use comfreyspread_policy::{attempt, endpoint_directory};
use comfreyspread_schema::types;
use std::sync;

/// Runs a request to its whole answer.
///
/// # Errors
///
/// Fails with the verdict of all attempts together.
pub async fn run(
    state: &sync::Arc<state::GatewayState>,
    plan: &call_plan::CallPlan,
) -> Result<http_message::Response, failure::CallFailure> {
    let mut attempts = PlainAttempts::new(plan);
    let mut fallback = None;
    loop {
        let failed = match attempts.next(state).await {
            Ok(answer) if attempts.wants_another(state, &answer) => {
                fallback = Some(answer);
                continue;
            }
            Ok(answer) => return Ok(answer),
            Err(failed) => failed,
        };
        attempts.log.note_verdict(&failed);
        if !attempts.log.goes_on(state, plan, &failed) {
            let verdict = attempts.log.verdict();
            return fallback.ok_or_else(|| failed.failure.with_verdict(verdict));
        }
    }
}

/// Attempts at one request.
struct PlainAttempts<'plan> {
    plan: &'plan call_plan::CallPlan,
    log: attempt_log::AttemptLog,
}

impl<'plan> PlainAttempts<'plan> {
    fn new(plan: &'plan call_plan::CallPlan) -> Self {
        Self { plan, log: attempt_log::AttemptLog::new() }
    }

    async fn next(
        &mut self,
        state: &sync::Arc<state::GatewayState>,
    ) -> Result<http_message::Response, attempt_send::FailedAttempt> {
        let number = self.log.next_number();
        let input = attempt_send::AttemptInput {
            tried: self.log.tried(),
            home: &state.settings.region,
            regions: self.plan.regions.as_deref(),
            inputs: &[],
            resume_after: None,
            number,
        };
        let planned = attempt::CallAttempt::new(number);
        let mut answer = attempt_send::send(state, self.plan, planned, &input).await?;
        self.log.note_begun(&answer.open.chosen.endpoint);
        let body = match attempt_send::read_body(self.plan, &mut answer.response).await {
            Ok(body) => body,
            Err(failure) => {
                if failure.problem() != types::ProblemKind::Timeout {
                    answer.open.end(endpoint_directory::AttemptOutcome::Failed);
                }
                return Err(answer.open.failed(failure, false));
            }
        };
        let failed = answer.response.status().is_server_error();
        if !failed {
            self.plan.note_served(state);
        }
        let ending = if failed {
            endpoint_directory::AttemptOutcome::Failed
        } else {
            endpoint_directory::AttemptOutcome::Served
        };
        answer.open.end(ending);
        Ok(attempt_send::passed_on(&answer.response, body))
    }

    /// Whether an answer is a failure that another endpoint may not give.
    fn wants_another(&self, state: &state::GatewayState, answer: &http_message::Response) -> bool {
        answer.status().is_server_error() && self.log.may_repeat(state, self.plan)
    }
}
