//! Attempts at one request, and the decision whether to make another.

use super::{attempt_send, call_plan, stage_execution, state};
use crate::transport::failure;
use comfreyspread_policy::{response_progress, tried_endpoints, verdict};
use comfreyspread_schema::{ids, types};
use std::sync;

/// Number of endpoint refusals after which the request fails.
const MAX_REFUSALS: u32 = 3;

/// The attempts at one request and their combined verdict.
#[derive(Debug)]
pub struct AttemptHistory {
    endpoints: tried_endpoints::TriedEndpoints,
    refusals: u32,
    verdict: verdict::VerdictTracker,
}

impl AttemptHistory {
    /// Creates the history of a request without attempts.
    pub fn new() -> Self {
        let verdict = verdict::VerdictTracker::new();
        Self { endpoints: tried_endpoints::TriedEndpoints::new(), refusals: 0, verdict }
    }

    /// Returns the endpoints that do not get the request again.
    pub fn tried(&self) -> &[ids::EndpointId] {
        self.endpoints.excluded()
    }

    /// Returns the endpoint that may be tried once more, on a new connection.
    pub fn second_try(&self, plan: &call_plan::CallPlan) -> Option<tried_endpoints::SecondTry<'_>> {
        self.endpoints.second_try(plan.route.max_attempts)
    }

    /// Returns the number of the next attempt.
    pub fn next_number(&self) -> ids::AttemptId {
        self.endpoints.next_number()
    }

    /// Returns how many endpoints may have run the request.
    pub fn runs(&self) -> u32 {
        self.endpoints.runs()
    }

    /// Returns whether any attempt may have run.
    pub fn verdict(&self) -> types::CallVerdict {
        self.verdict.verdict()
    }

    /// Records an attempt that received a response head.
    pub fn record_response(&mut self, endpoint: &ids::EndpointId) {
        self.endpoints.record_response(endpoint);
    }

    /// Records an attempt that was given up before its endpoint answered, and may have run.
    pub fn record_abandoned(&mut self) {
        self.endpoints.record_abandoned();
    }

    /// Records a failed attempt and returns whether to make another; if so, a retry is taken from
    /// the budget. The stages of the request run again if their results were gone.
    ///
    /// # Errors
    ///
    /// Fails if results have been lost too often.
    pub fn record_failure(
        &mut self,
        state: &sync::Arc<state::GatewayState>,
        plan: &call_plan::CallPlan,
        stages: Option<&mut stage_execution::StageExecution>,
        failed: &attempt_send::FailedAttempt,
    ) -> Result<bool, failure::CallFailure> {
        self.verdict = self.verdict.with_outcome(failed.failure.verdict());
        if failed.inputs_gone
            && let Some(stages) = stages
        {
            stages.discard_outputs()?;
            return Ok(plan.try_acquire_retry(state));
        }
        Ok(self.record_endpoint_failure(state, plan, failed))
    }

    fn record_endpoint_failure(
        &mut self,
        state: &sync::Arc<state::GatewayState>,
        plan: &call_plan::CallPlan,
        failed: &attempt_send::FailedAttempt,
    ) -> bool {
        let Some(chosen) = &failed.chosen else { return false };
        let endpoint = &chosen.endpoint;
        if failed.failure.crashed() {
            plan.detect_crash(state, chosen, response_progress::ResponseProgress::new());
        }
        let verdict = failed.failure.verdict();
        let on_kept_connection = failed.on_kept_connection;
        let failure = tried_endpoints::AttemptFailure { verdict, on_kept_connection };
        self.endpoints.record_failure(endpoint, failure);
        if verdict == types::CallVerdict::NotRun {
            self.refusals += 1;
            return self.refusals < MAX_REFUSALS
                && self.allows_another(plan)
                && plan.try_acquire_retry(state);
        }
        self.try_acquire_rerun(state, plan)
    }

    /// Returns whether the request may run again, at an endpoint that may get it; if so, a retry is
    /// taken from the budget.
    pub fn try_acquire_rerun(
        &self,
        state: &state::GatewayState,
        plan: &call_plan::CallPlan,
    ) -> bool {
        plan.is_repeatable()
            && self.allows_another(plan)
            && !plan.is_convicted(state)
            && plan.try_acquire_retry(state)
    }

    fn allows_another(&self, plan: &call_plan::CallPlan) -> bool {
        self.endpoints.allows_another(plan.route.max_attempts)
    }
}

impl Default for AttemptHistory {
    fn default() -> Self {
        Self::new()
    }
}
