//! Attempts made at one request, and whether another one is made.

use super::{attempt_send, call_plan, state};
use comfreyspread_policy::verdict;
use comfreyspread_schema::{ids, types};
use std::sync;

/// Endpoints that may refuse a request before it is refused as a whole.
const MAX_REFUSALS: u32 = 3;

/// Attempts made at one request.
#[derive(Debug)]
pub struct AttemptHistory {
    tried: Vec<ids::EndpointId>,
    runs: u32,
    refusals: u32,
    verdict: verdict::VerdictTracker,
}

impl AttemptHistory {
    /// Creates the log of a request that has not been tried.
    pub fn new() -> Self {
        let verdict = verdict::VerdictTracker::new();
        Self { tried: Vec::new(), runs: 0, refusals: 0, verdict }
    }

    /// Returns the endpoints that have been tried.
    pub fn tried(&self) -> &[ids::EndpointId] {
        &self.tried
    }

    /// Returns the number of the next attempt.
    pub fn next_number(&self) -> ids::AttemptId {
        u64::try_from(self.tried.len()).unwrap_or(u64::MAX)
    }

    /// Returns how many endpoints may have run the request.
    pub fn runs(&self) -> u32 {
        self.runs
    }

    /// Returns whether any attempt may have run.
    pub fn verdict(&self) -> types::CallVerdict {
        self.verdict.verdict()
    }

    /// Takes note of an attempt whose answer has begun.
    pub fn record_response(&mut self, endpoint: &ids::EndpointId) {
        self.tried.push(endpoint.clone());
        self.runs += 1;
    }

    /// Takes note of what a failed attempt says of the request.
    pub fn record_verdict(&mut self, failed: &attempt_send::FailedAttempt) {
        self.verdict = self.verdict.with_outcome(failed.failure.verdict());
    }

    /// Takes in a failed attempt and returns whether another one is made.
    pub fn should_continue(
        &mut self,
        state: &sync::Arc<state::GatewayState>,
        plan: &call_plan::CallPlan,
        failed: &attempt_send::FailedAttempt,
    ) -> bool {
        let Some(endpoint) = &failed.endpoint else { return false };
        if failed.failure.crashed()
            && let Some(address) = failed.address
        {
            plan.detect_crash(state, address);
        }
        let was_tried = self.tried.contains(endpoint);
        if !was_tried {
            self.tried.push(endpoint.clone());
        }
        if failed.failure.verdict() == types::CallVerdict::NotRun {
            self.refusals += 1;
            return self.refusals < MAX_REFUSALS && plan.try_acquire_retry(state);
        }
        self.runs += u32::from(!was_tried);
        self.try_acquire_rerun(state, plan)
    }

    /// Whether the request may run at another endpoint; takes one repeat from the budget if so.
    pub fn try_acquire_rerun(
        &self,
        state: &state::GatewayState,
        plan: &call_plan::CallPlan,
    ) -> bool {
        plan.is_repeatable() && self.runs < plan.route.attempts && plan.try_acquire_retry(state)
    }
}

impl Default for AttemptHistory {
    fn default() -> Self {
        Self::new()
    }
}
