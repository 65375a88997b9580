//! A caller's request, and its attempts and cost.

use crate::{runtime::context, transport::failure};
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
    /// Time by which the complete response is due.
    pub deadline: time::Instant,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Idempotency key, if the caller gave one.
    pub key: Option<ids::IdempotencyKey>,
    /// Digest of the body.
    pub digest: ids::BodyDigest,
    /// Hash of the prompt prefix; zero if the caller gave none.
    pub prefix: ids::PrefixHash,
}

/// Attempts and cost of one request over all of its stages.
#[derive(Debug)]
pub struct RequestLedger {
    context: sync::Arc<context::NodeContext>,
    plan: RequestPlan,
    attempts: ids::AttemptId,
    cost: ids::CostMicros,
}

impl RequestLedger {
    /// Creates the ledger of a request that has made no attempt.
    pub fn new(context: sync::Arc<context::NodeContext>, plan: RequestPlan) -> Self {
        Self { context, plan, attempts: 0, cost: 0 }
    }

    /// Returns the context of the node.
    pub fn context(&self) -> &sync::Arc<context::NodeContext> {
        &self.context
    }

    /// Returns the request.
    pub fn plan(&self) -> &RequestPlan {
        &self.plan
    }

    /// Returns the cost of all attempts so far.
    pub fn cost(&self) -> ids::CostMicros {
        self.cost
    }

    /// Returns the number of attempts so far.
    pub fn attempts(&self) -> ids::AttemptId {
        self.attempts
    }

    /// Returns the time left until the deadline.
    pub fn remaining(&self) -> time::Duration {
        self.plan.deadline.saturating_duration_since(time::Instant::now())
    }

    /// Numbers the next attempt and counts its cost.
    ///
    /// # Errors
    ///
    /// Fails if the attempt would cost more than the profile allows.
    pub fn start_attempt(
        &mut self,
        pool: &ids::PoolId,
    ) -> Result<ids::AttemptId, failure::CallFailure> {
        let cost = self.cost + self.call_cost(pool);
        if cost > self.plan.profile.cost_limit {
            return Err(self.over_cost(cost));
        }
        self.cost = cost;
        self.attempts += 1;
        Ok(self.attempts)
    }

    /// Subtracts the cost of an attempt that did not run.
    pub fn refund(&mut self, pool: &ids::PoolId) {
        self.cost = self.cost.saturating_sub(self.call_cost(pool));
    }

    /// Rejects a request whose stages, each run once, cost more than the profile allows.
    ///
    /// # Errors
    ///
    /// Fails with `not-run` if they do.
    pub fn check_cost(&self, pools: &[ids::PoolId]) -> Result<(), failure::CallFailure> {
        let cost = pools.iter().map(|pool| self.call_cost(pool)).sum();
        if cost > self.plan.profile.cost_limit {
            return Err(self.over_cost(cost));
        }
        Ok(())
    }

    fn call_cost(&self, pool: &ids::PoolId) -> ids::CostMicros {
        let catalog = self.context.tables.catalog();
        catalog.pool(pool).map_or(0, |entry| entry.declaration().call_cost)
    }

    fn over_cost(&self, cost: ids::CostMicros) -> failure::CallFailure {
        let limit = self.plan.profile.cost_limit;
        let detail = format!("the request would cost {cost}, its profile allows {limit}");
        failure::CallFailure::new(types::ProblemKind::OverCost, detail)
    }
}
