//! Runs a request at most once across all nodes.
//!
//! A request that must not run twice is claimed in the platform's table service before its first
//! byte is sent, as decided by [`claim`] and `row_finalizer`. Its task continues if the caller
//! disconnects, and the claim stays in the node's claim table until its final row is stored, so
//! that a graceful stop waits for it.

use crate::{
    claims::{claim_guard, claim_row, claim_task},
    ingress::plan,
    runtime::context,
    transport::{activity_counter, failure},
};
use comfreyspread_policy::claim;
use comfreyspread_schema::types;
use std::{sync, time};

/// Share of a request's time within which its claim must be acquired, as a divisor.
const ACQUIRE_TIME_DIVISOR: u32 = 2;

/// Runs `work` if no request with the plan's key has run, or returns the answer of the earlier one.
///
/// `target` names the callee and is part of the digest that requests with one key must share. The
/// request counts as `active` until its claim is finalized.
///
/// # Errors
///
/// Fails with `not-run` if `work` was not started and never will be, and with `may-have-run` if
/// another request with the key is in progress or ended without a known outcome.
pub async fn run_once<Work>(
    context: &sync::Arc<context::NodeContext>,
    plan: &plan::RequestPlan,
    target: &str,
    active: activity_counter::ActivityGuard,
    work: Work,
) -> claim_task::ClaimResult
where
    Work: Future<Output = Result<failure::CallResponse, failure::CallFailure>> + Send + 'static,
{
    let row = claim_row::new_row(context, plan, target)?;
    let time_left = plan.deadline.saturating_duration_since(time::Instant::now());
    let acquire_deadline = time::Instant::now() + time_left / ACQUIRE_TIME_DIVISOR;
    let guard = match claim_guard::ClaimGuard::admit(context, &row, acquire_deadline).await? {
        claim_guard::AdmissionOutcome::Admitted(guard) => guard,
        claim_guard::AdmissionOutcome::Completed(answer) => return Ok(answer),
    };
    let (sender, receiver) = async_channel::bounded(1);
    let task = claim_task::ClaimTask::new(guard, plan.deadline, sender, active);
    let claim = claim::RequestClaim::new(row, acquire_deadline, plan.deadline);
    context.spawner.detach(task.run(claim, work));
    receiver.recv().await.unwrap_or_else(|_| {
        let failure = failure::CallFailure::new(types::ProblemKind::Internal, "the task ended");
        Err(failure.with_verdict(types::CallVerdict::MayHaveRun))
    })
}

/// Returns the claims without a known outcome, whether in progress or not.
///
/// # Errors
///
/// Fails if the store does not answer.
pub async fn list_unresolved(
    context: &context::NodeContext,
) -> Result<types::ClaimList, failure::CallFailure> {
    let rows = Box::pin(context.platform.scan_rows(claim_row::CLAIM_TABLE, "")).await?.rows;
    let claims: Result<Vec<_>, _> = rows.iter().map(|row| claim_row::decode(&row.value)).collect();
    let mut claims = claims?;
    claims.retain(|claim| match claim.phase {
        types::ClaimPhase::Held => true,
        types::ClaimPhase::Closed => claim.verdict == Some(types::CallVerdict::MayHaveRun),
        types::ClaimPhase::Abandoned => false,
    });
    for claim in &mut claims {
        claim.answer = None;
    }
    Ok(types::ClaimList { claims })
}
