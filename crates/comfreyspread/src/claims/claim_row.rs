//! Rows that hold the claims in the platform's table service.

use crate::{ingress::plan, runtime::context, transport::failure};
use comfreyspread_schema::{ids, types};
use sha2::Digest as _;

/// Table of the platform that holds the claims.
pub const CLAIM_TABLE: &str = "claims";

/// Returns the row that claims a request for this node.
///
/// # Errors
///
/// Fails if the request has no idempotency key.
pub fn new_row(
    context: &context::NodeContext,
    plan: &plan::RequestPlan,
    target: &str,
) -> Result<types::ClaimRow, failure::CallFailure> {
    let Some(key) = &plan.key else {
        let detail = "a call that may not be repeated needs the header idempotency-key";
        return Err(failure::CallFailure::new(types::ProblemKind::KeyRequired, detail));
    };
    Ok(types::ClaimRow {
        answer: None,
        digest: hash_texts(&[target, &plan.digest]),
        key: key.clone(),
        node: context.settings.node.clone(),
        object: None,
        phase: types::ClaimPhase::Held,
        problem: None,
        request: plan.request.clone(),
        start_id: context.process_start,
        status: None,
        token: format!("{:032x}", rand::random::<u128>()).into(),
        verdict: None,
        workspace: plan.workspace.clone(),
    })
}

/// Returns the key of a claim's row.
pub fn row_key(row: &types::ClaimRow) -> ids::Text {
    hash_texts(&[&row.workspace, &row.key])
}

/// Hashes each text with its length, so that different lists do not collide by concatenation.
fn hash_texts(texts: &[&str]) -> ids::Text {
    let mut hasher = sha2::Sha256::new();
    for text in texts {
        hasher.update((text.len() as u64).to_be_bytes());
        hasher.update(text);
    }
    format!("{:x}", hasher.finalize()).into()
}

/// Decodes a stored row.
///
/// # Errors
///
/// Fails if the value is not a claim.
pub fn decode(value: &ids::Text) -> Result<types::ClaimRow, failure::CallFailure> {
    serde_json::from_str(value).map_err(|error| {
        let detail = format!("a stored claim is not valid: {error}");
        failure::CallFailure::new(types::ProblemKind::StoreUnavailable, detail)
            .with_verdict(types::CallVerdict::MayHaveRun)
    })
}
