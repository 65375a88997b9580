//! Finalization of a claim's row despite outages of the store and lost replies.
//!
//! While a claim is held, only its holder changes the row. The finalizer writes the final row,
//! closed or abandoned, on the condition that the row still has its last known version. Whenever a
//! reply is lost it reads the row back, until the store shows that no write is left to do.
//!
//! A store that comes back from a copy has another row, or none, with versions that are given out
//! again. The final row is then written there as well, so that the outcome is not lost with the
//! claim.

use crate::claim;
use comfreyspread_schema::{ids, types};

/// Next step to finalize a row.
#[derive(Clone, Debug, PartialEq)]
pub enum FinalizeStep {
    /// Write the row if the condition holds.
    Write(types::RowPrecondition),
    /// Read the row.
    Read,
    /// Read the row after a pause.
    Wait,
    /// The row is final.
    Done,
}

/// Brings a row to its final state.
#[derive(Clone, Debug, PartialEq)]
pub struct RowFinalizer {
    row: types::ClaimRow,
    version: Option<ids::RowVersion>,
    min_version: ids::RowVersion,
    history: claim::ClaimHistory,
}

impl RowFinalizer {
    /// Creates a finalizer that writes `row` over the stored row, whose version is `version` if
    /// known.
    pub fn new(row: types::ClaimRow, version: Option<ids::RowVersion>) -> Self {
        let min_version = version.unwrap_or(0);
        Self { row, version, min_version, history: claim::ClaimHistory::Intact }
    }

    /// Sets the lowest version that the stored row can have.
    pub fn with_min_version(self, min_version: ids::RowVersion) -> Self {
        Self { min_version, ..self }
    }

    /// Records that the store came back from a copy: what was known of its row no longer holds.
    pub fn lose_history(&mut self) {
        self.version = None;
        self.min_version = 0;
        self.history = claim::ClaimHistory::Lost;
    }

    /// Returns the row to write.
    pub fn row(&self) -> &types::ClaimRow {
        &self.row
    }

    /// Returns the first step.
    pub fn begin(&self) -> FinalizeStep {
        match self.version {
            Some(version) => FinalizeStep::Write(types::RowPrecondition::Version(version)),
            None => FinalizeStep::Read,
        }
    }

    /// Returns the step that follows an event.
    pub fn advance(&mut self, event: &claim::StoreEvent) -> FinalizeStep {
        match event {
            claim::StoreEvent::Committed(_) => FinalizeStep::Done,
            claim::StoreEvent::Unknown => FinalizeStep::Read,
            claim::StoreEvent::Read(stored) => self.on_read(stored.as_ref()),
            claim::StoreEvent::Unsent | claim::StoreEvent::ReadFailed => FinalizeStep::Wait,
            claim::StoreEvent::Rejected => {
                self.min_version += claim::versions_passed(self.history);
                FinalizeStep::Wait
            }
        }
    }

    /// Returns the step that follows a read.
    ///
    /// A delayed write of this claim could still succeed on a row that is absent or abandoned, so
    /// such a row is written. Any other row of another token is newer than every version that this
    /// claim has seen, so none of its writes can succeed any more. In another history, a row that
    /// another token holds was not granted there, and an outcome is written over it.
    fn on_read(&mut self, stored: Option<&claim::StoredClaim>) -> FinalizeStep {
        if claim::version_of(stored) < self.min_version {
            return FinalizeStep::Wait;
        }
        let Some(stored) = stored else {
            return FinalizeStep::Write(types::RowPrecondition::Absent);
        };
        let is_own = stored.row.token == self.row.token;
        let is_final = match stored.row.phase {
            phase if is_own => phase == self.row.phase,
            types::ClaimPhase::Abandoned => false,
            types::ClaimPhase::Held => !self.has_lost_outcome(),
            types::ClaimPhase::Closed => true,
        };
        if is_final {
            return FinalizeStep::Done;
        }
        self.min_version = stored.version;
        FinalizeStep::Write(types::RowPrecondition::Version(stored.version))
    }

    /// Whether the store lost the claim of a request whose outcome is to be written.
    fn has_lost_outcome(&self) -> bool {
        let has_outcome = self.row.phase == types::ClaimPhase::Closed;
        has_outcome && self.history == claim::ClaimHistory::Lost
    }
}
