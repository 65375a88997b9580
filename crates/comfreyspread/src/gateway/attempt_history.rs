//! Attempts at one request, and the decision whether to make another.

use super::{attempt_send, call_plan, state};
use comfreyspread_policy::verdict;
use comfreyspread_schema::{ids, types};
use std::sync;

/// Number of endpoint refusals after which the request fails.
const MAX_REFUSALS: u32 = 3;

/// The attempts at one request and their combined verdict.
#[derive(Debug)]
pub struct AttemptHistory {
    tried: Vec<ids::EndpointId>,
    runs: u32,
    refusals: u32,
    verdict: verdict::VerdictTracker,
}

impl AttemptHistory {
    /// Creates the history of a request without attempts.
    pub fn new() -> Self {
        let verdict = verdict::VerdictTracker::new();
        Self { tried: Vec::new(), runs: 0, refusals: 0, verdict }
    }

    /// Returns the endpoints tried so far.
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

    /// Records an attempt that received a response head.
    pub fn record_response(&mut self, endpoint: &ids::EndpointId) {
        self.tried.push(endpoint.clone());
        self.runs += 1;
    }

    /// Records an attempt that was given up before its endpoint answered, and may have run.
    pub fn record_abandoned(&mut self) {
        self.runs += 1;
    }

    /// Merges the verdict of a failed attempt.
    pub fn record_verdict(&mut self, failed: &attempt_send::FailedAttempt) {
        self.verdict = self.verdict.with_outcome(failed.failure.verdict());
    }

    /// Records a failed attempt and returns whether to make another; if so, a retry is taken from
    /// the budget.
    pub fn record_failure(
        &mut self,
        state: &sync::Arc<state::GatewayState>,
        plan: &call_plan::CallPlan,
        failed: &attempt_send::FailedAttempt,
    ) -> bool {
        let Some(chosen) = &failed.chosen else { return false };
        let endpoint = &chosen.endpoint;
        if failed.failure.crashed() {
            plan.detect_crash(state, chosen, false);
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

    /// Returns whether the request may run again at another endpoint; if so, a retry is taken from
    /// the budget.
    pub fn try_acquire_rerun(
        &self,
        state: &state::GatewayState,
        plan: &call_plan::CallPlan,
    ) -> bool {
        plan.is_repeatable()
            && self.runs < plan.route.max_attempts
            && !plan.is_convicted(state)
            && plan.try_acquire_retry(state)
    }
}

impl Default for AttemptHistory {
    fn default() -> Self {
        Self::new()
    }
}
