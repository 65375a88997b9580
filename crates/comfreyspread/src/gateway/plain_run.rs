//! Requests with one whole answer.

use super::{attempt_send, call_plan, state};
use crate::transport::{failure, http_client, http_message};
use comfreyspread_policy::{attempt, directory, verdict};
use comfreyspread_schema::{ids, types};
use std::sync;

/// Largest answer of an endpoint in bytes.
const ANSWER_LIMIT_BYTES: usize = 16 * 1024 * 1024;
/// Endpoints that may refuse a request before it is refused as a whole.
const MOST_REFUSALS: u32 = 3;

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
        if !attempts.goes_on(state, &failed) {
            let verdict = attempts.verdict.verdict();
            return fallback.ok_or_else(|| failed.failure.with_verdict(verdict));
        }
    }
}

/// Attempts at one request.
struct PlainAttempts<'plan> {
    plan: &'plan call_plan::CallPlan,
    tried: Vec<ids::EndpointId>,
    runs: u32,
    refusals: u32,
    verdict: verdict::VerdictTracker,
}

impl<'plan> PlainAttempts<'plan> {
    fn new(plan: &'plan call_plan::CallPlan) -> Self {
        let verdict = verdict::VerdictTracker::new();
        Self { plan, tried: Vec::new(), runs: 0, refusals: 0, verdict }
    }

    async fn next(
        &mut self,
        state: &sync::Arc<state::GatewayState>,
    ) -> Result<http_message::Response, attempt_send::FailedAttempt> {
        let number = u64::try_from(self.tried.len()).unwrap_or(u64::MAX);
        let input = attempt_send::AttemptInput {
            tried: &self.tried,
            home: &state.machine.region,
            regions: self.plan.regions.as_deref(),
            inputs: &[],
            resume_after: None,
            number,
        };
        let planned = attempt::CallAttempt::new(number);
        let mut answer = attempt_send::send(state, self.plan, planned, &input).await?;
        self.tried.push(answer.open.chosen.endpoint.clone());
        self.runs += 1;
        let mut body = answer.response.take_body();
        let read = http_client::read_whole(&mut body, ANSWER_LIMIT_BYTES);
        let body = match http_client::before(self.plan.deadline, read).await {
            Some(Ok(body)) => body,
            Some(Err(failure)) => {
                answer.open.end(directory::CallEnding::Failed);
                return Err(answer.open.failed(failure, false));
            }
            None => {
                let detail = "no whole answer in time";
                let failure = failure::CallFailure::new(types::ProblemKind::Timeout, detail)
                    .with_verdict(types::CallVerdict::MayHaveRun);
                return Err(answer.open.failed(failure, false));
            }
        };
        let failed = answer.response.status().is_server_error();
        if !failed {
            self.plan.note_served(state);
        }
        let ending =
            if failed { directory::CallEnding::Failed } else { directory::CallEnding::Served };
        answer.open.end(ending);
        Ok(attempt_send::passed_on(&answer.response, body))
    }

    /// Whether an answer is a failure that another endpoint may not give.
    fn wants_another(&self, state: &state::GatewayState, answer: &http_message::Response) -> bool {
        let failed = answer.status().is_server_error();
        failed && self.plan.is_repeatable() && self.may_repeat(state)
    }

    /// Takes in a failed attempt and returns whether another one is made.
    fn goes_on(
        &mut self,
        state: &sync::Arc<state::GatewayState>,
        failed: &attempt_send::FailedAttempt,
    ) -> bool {
        self.verdict = self.verdict.with_outcome(failed.failure.verdict());
        let Some(endpoint) = &failed.endpoint else { return false };
        if failed.failure.crashed()
            && let Some(address) = failed.address
        {
            self.plan.note_break(state, address);
        }
        let answered = self.tried.contains(endpoint);
        if !answered {
            self.tried.push(endpoint.clone());
        }
        if failed.failure.verdict() == types::CallVerdict::NotRun {
            self.refusals += 1;
            return self.refusals < MOST_REFUSALS && self.plan.takes_repeat(state);
        }
        self.runs += u32::from(!answered);
        self.plan.is_repeatable() && self.may_repeat(state)
    }

    fn may_repeat(&self, state: &state::GatewayState) -> bool {
        self.runs < self.plan.route.attempts && self.plan.takes_repeat(state)
    }
}
