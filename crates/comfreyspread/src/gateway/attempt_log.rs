//! Attempts made at one request, and whether another one is made.

use super::{attempt_send, call_plan, state};
use comfreyspread_policy::verdict;
use comfreyspread_schema::{ids, types};
use std::sync;

/// Endpoints that may refuse a request before it is refused as a whole.
const MOST_REFUSALS: u32 = 3;

/// Attempts made at one request.
#[derive(Debug)]
pub struct AttemptLog {
    tried: Vec<ids::EndpointId>,
    runs: u32,
    refusals: u32,
    verdict: verdict::VerdictTracker,
}

impl AttemptLog {
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
    pub fn note_begun(&mut self, endpoint: &ids::EndpointId) {
        self.tried.push(endpoint.clone());
        self.runs += 1;
    }

    /// Takes note of what a failed attempt says of the request.
    pub fn note_verdict(&mut self, failed: &attempt_send::FailedAttempt) {
        self.verdict = self.verdict.with_outcome(failed.failure.verdict());
    }

    /// Takes in a failed attempt and returns whether another one is made.
    pub fn goes_on(
        &mut self,
        state: &sync::Arc<state::GatewayState>,
        plan: &call_plan::CallPlan,
        failed: &attempt_send::FailedAttempt,
    ) -> bool {
        let Some(endpoint) = &failed.endpoint else { return false };
        if failed.failure.crashed()
            && let Some(address) = failed.address
        {
            plan.note_break(state, address);
        }
        let had_begun = self.tried.contains(endpoint);
        if !had_begun {
            self.tried.push(endpoint.clone());
        }
        if failed.failure.verdict() == types::CallVerdict::NotRun {
            self.refusals += 1;
            return self.refusals < MOST_REFUSALS && plan.takes_repeat(state);
        }
        self.runs += u32::from(!had_begun);
        self.may_repeat(state, plan)
    }

    /// Whether the request may run at another endpoint; takes one repeat from the budget if so.
    pub fn may_repeat(&self, state: &state::GatewayState, plan: &call_plan::CallPlan) -> bool {
        plan.is_repeatable() && self.runs < plan.route.max_attempts && plan.takes_repeat(state)
    }
}

impl Default for AttemptLog {
    fn default() -> Self {
        Self::new()
    }
}
