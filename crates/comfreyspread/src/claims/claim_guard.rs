//! A claim in the node's claim table and its row in the store.

use crate::{
    claims::{claim_failure, claim_row, claim_table, claim_write_queue},
    runtime::context,
    transport::{failure, http_client},
};
use comfreyspread_policy::claim;
use comfreyspread_schema::{ids, types};
use std::{sync, time};

/// A claim in the node's claim table; it is removed when dropped.
pub struct ClaimGuard {
    context: sync::Arc<context::NodeContext>,
    key: ids::Text,
}

/// What becomes of a request that asks for a claim.
pub enum AdmissionOutcome {
    /// The request holds the claim.
    Admitted(ClaimGuard),
    /// An earlier request with the key completed with this answer.
    Completed(claim_table::ClaimAnswer),
}

impl ClaimGuard {
    /// Adds the claim to the table, waiting until `until` for another request with its key.
    ///
    /// # Errors
    ///
    /// Fails if the claim is refused, the table is full, or the other request has no outcome in time.
    pub async fn admit(
        context: &sync::Arc<context::NodeContext>,
        row: &types::ClaimRow,
        until: time::Instant,
    ) -> Result<AdmissionOutcome, failure::CallFailure> {
        let key = claim_row::row_key(row);
        loop {
            let admission = context.tables.claims.lock().admit(&key, row);
            let completed = match admission {
                claim_table::ClaimAdmission::Admitted => {
                    return Ok(AdmissionOutcome::Admitted(Self { context: context.clone(), key }));
                }
                claim_table::ClaimAdmission::Completed(answer) => {
                    return Ok(AdmissionOutcome::Completed(answer));
                }
                claim_table::ClaimAdmission::Refused(refusal) => {
                    return Err(claim_failure::refusal_failure(refusal));
                }
                claim_table::ClaimAdmission::Full => return Err(claim_failure::table_full()),
                claim_table::ClaimAdmission::InProgress(completed) => completed,
            };
            if http_client::with_deadline(until, completed).await.is_none() {
                let phase = context.tables.claims.lock().phase(&key);
                return Err(match phase {
                    Some(types::ClaimPhase::Abandoned) | None => {
                        claim_failure::refusal_failure(claim::ClaimRefusal::StoreUnavailable)
                    }
                    Some(_) => claim_failure::unresolved_failure(context, row),
                });
            }
        }
    }

    /// Returns the context of the node.
    pub fn context(&self) -> &context::NodeContext {
        &self.context
    }

    /// Whether the store still has every claim that it granted.
    pub fn history(&self) -> claim::ClaimHistory {
        if self.context.platform.era() == self.context.settings.claim_era {
            claim::ClaimHistory::Intact
        } else {
            claim::ClaimHistory::Lost
        }
    }

    /// Marks the claim as one whose request will not be sent.
    pub fn abandon(&self) {
        self.context.tables.claims.lock().abandon(&self.key);
    }

    /// Records the answer for other requests with the key.
    pub fn complete(&self, answer: &claim_table::ClaimAnswer) {
        self.context.tables.claims.lock().complete(&self.key, answer.clone());
    }

    /// Writes the claim's row.
    pub async fn write(
        &self,
        row: &types::ClaimRow,
        condition: types::RowPrecondition,
    ) -> claim::StoreEvent {
        let Ok(value) = serde_json::to_string(row) else { return claim::StoreEvent::Unsent };
        let write = types::RowWrite {
            condition,
            key: self.key.clone(),
            table: claim_row::CLAIM_TABLE.into(),
            value: Some(value.into()),
        };
        claim_write_queue::write(&self.context, write).await
    }

    /// Stores an answer that is too large for the row.
    ///
    /// # Errors
    ///
    /// Fails if the store does not confirm it.
    pub async fn write_object(
        &self,
        name: &ids::Text,
        body: &ids::Payload,
    ) -> Result<(), failure::CallFailure> {
        Box::pin(self.context.platform.write_object(name, body.clone())).await
    }

    /// Reads the claim's row.
    pub async fn read(&self) -> claim::StoreEvent {
        let read =
            Box::pin(self.context.platform.read_row(claim_row::CLAIM_TABLE, &self.key)).await;
        let stored = read.and_then(|row| {
            row.map(|row| {
                Ok(claim::StoredClaim { row: claim_row::decode(&row.value)?, version: row.version })
            })
            .transpose()
        });
        match stored {
            Ok(stored) => claim::StoreEvent::Read(stored),
            Err(failure) => {
                log::warn!("claims: cannot read the row. error={failure}");
                claim::StoreEvent::ReadFailed
            }
        }
    }
}

impl Drop for ClaimGuard {
    fn drop(&mut self) {
        self.context.tables.claims.lock().remove(&self.key);
    }
}
