//! Failures of requests whose claims are refused or have no known outcome.

use crate::{runtime::context, transport::failure};
use comfreyspread_policy::claim;
use comfreyspread_schema::types;
use std::time;

const RESEND_AFTER: time::Duration = time::Duration::from_secs(1);
/// Operators have to act before a resend can succeed.
const RESEND_AFTER_RESTORE: time::Duration = time::Duration::from_secs(30);

/// Returns the failure of a request whose claim is refused; it has not run.
pub fn refusal_failure(refusal: claim::ClaimRefusal) -> failure::CallFailure {
    let mut resend_after = RESEND_AFTER;
    let (kind, detail) = match refusal {
        claim::ClaimRefusal::Conflict => {
            (types::ProblemKind::KeyConflict, "the key was used with another body or target")
        }
        claim::ClaimRefusal::StoreUnavailable => {
            (types::ProblemKind::StoreUnavailable, "the claim could not be settled in time")
        }
        claim::ClaimRefusal::StoreRestored => {
            resend_after = RESEND_AFTER_RESTORE;
            let detail = "the store may have lost the claim of an earlier request with the key";
            (types::ProblemKind::StoreUnavailable, detail)
        }
        claim::ClaimRefusal::DeadlinePassed => {
            (types::ProblemKind::Timeout, "the deadline passed before the call was sent")
        }
    };
    failure::CallFailure::new(kind, detail).with_retry_after(resend_after)
}

/// Returns the failure of a request whose key is claimed by `row`, which has no known outcome.
pub fn unresolved_failure(
    context: &context::NodeContext,
    row: &types::ClaimRow,
) -> failure::CallFailure {
    let failure = if owner_has_ended(context, row) {
        let detail = format!("{} ended before the outcome of {} was stored", row.node, row.request);
        failure::CallFailure::new(types::ProblemKind::OutcomeUnknown, detail)
    } else {
        let detail = format!("{} of {} is in progress", row.request, row.node);
        failure::CallFailure::new(types::ProblemKind::InProgress, detail)
            .with_retry_after(RESEND_AFTER)
    };
    failure.with_verdict(types::CallVerdict::MayHaveRun)
}

/// Whether the process that owns a claim is known to have ended.
///
/// This only selects the problem reported to the caller, never whether a request may run.
fn owner_has_ended(context: &context::NodeContext, row: &types::ClaimRow) -> bool {
    if row.node == context.settings.node {
        return row.start_id != context.process_start;
    }
    let members = context.tables.members.lock();
    let entry = members.entry(&row.node);
    entry.is_some_and(|entry| entry.record().start_id != row.start_id || !entry.is_live())
}

/// Returns the failure of a request that found the claim table full; it has not run.
pub fn table_full() -> failure::CallFailure {
    let detail = "too many claims are in progress at this node";
    failure::CallFailure::new(types::ProblemKind::Overloaded, detail).with_retry_after(RESEND_AFTER)
}
