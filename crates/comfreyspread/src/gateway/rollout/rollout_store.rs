//! Reads and writes the record of a roll-out in the platform's store.

use super::active_decider;
use crate::{gateway::state, transport::failure};
use comfreyspread_platform::{rollout_document, store};
use comfreyspread_schema::{ids, types};
use std::time;

/// Reads the record of a service's roll-out, and the time on the store's clock. A row that cannot be
/// decoded counts as none and is written over.
///
/// # Errors
///
/// Fails if the store does not respond or rejects the request.
pub async fn read(
    state: &state::GatewayState,
    service: &ids::ServiceName,
) -> Result<(active_decider::StoredRecord, time::Duration), failure::CallFailure> {
    let (page, now) = state.store.read_timed(store::ROLLOUT_TABLE).await?;
    let row = page.rows.into_iter().find(|row| *row.key == **service);
    let Some(row) = row else {
        return Ok((active_decider::StoredRecord { record: None, version: 0 }, now));
    };
    let body = row.value.unwrap_or_default();
    let record: Option<types::RolloutRecord> = serde_json::from_slice(&body)
        .inspect_err(|error| {
            log::warn!(service = service.as_ref(); "rollouts: record not valid. error={error}");
        })
        .ok();
    Ok((active_decider::StoredRecord { record, version: row.version }, now))
}

/// Writes a record and the state that the operator reads, if the row still has the version known.
/// Returns false if it has another one.
///
/// # Errors
///
/// Fails if the store does not respond or rejects the request; it may still be written then.
pub async fn write(
    state: &state::GatewayState,
    record: &types::RolloutRecord,
    version: u64,
) -> Result<bool, failure::CallFailure> {
    let not_encoded = |error: serde_json::Error| {
        failure::CallFailure::new(types::ProblemKind::Internal, error.to_string())
    };
    let value = serde_json::to_vec(record).map_err(not_encoded)?;
    let status = rollout_document::encode_status(record).map_err(not_encoded)?;
    let changes = [
        types::RowChange {
            key: record.service.clone(),
            table: store::ROLLOUT_TABLE.into(),
            value: Some(value.into()),
            version: Some(version),
        },
        types::RowChange {
            key: format!("{}{}", store::ROLLOUT_PREFIX, record.service).into(),
            table: store::STATUS_TABLE.into(),
            value: Some(status.into()),
            version: None,
        },
    ];
    state.store.change_rows(&changes).await
}
