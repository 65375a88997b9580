//! Bringing the row of an ended claim to its last state, through outages and lost answers.
//!
//! The holder of a claim is the only one that changes its row while it is held. A settlement writes
//! the last row, closed or abandoned, under the version last known, and reads the row back whenever
//! an answer was lost, until the store shows that nothing is left to do.

use crate::claim;
use comfreyspread_schema::{ids, types};

/// What to do next to settle a row.
#[derive(Clone, Debug, PartialEq)]
pub enum FinalizeStep {
    /// Write the row under a condition.
    Write(types::RowCondition),
    /// Read the row.
    Read,
    /// Wait a moment, then read the row.
    Wait,
    /// Nothing is left to do.
    Done,
}

/// A row on its way to its last state.
#[derive(Clone, Debug, PartialEq)]
pub struct RowFinalizer {
    row: types::ClaimRow,
    version: Option<ids::RowVersion>,
    floor: ids::RowVersion,
}

impl RowFinalizer {
    /// Creates the settlement that brings the row to `row`, from `version` if that is known.
    pub fn new(row: types::ClaimRow, version: Option<ids::RowVersion>) -> Self {
        Self { row, version, floor: version.unwrap_or(0) }
    }

    /// Sets the lowest version that the stored row can have.
    pub fn with_floor(self, floor: ids::RowVersion) -> Self {
        Self { floor, ..self }
    }

    /// Returns the row to write.
    pub fn row(&self) -> &types::ClaimRow {
        &self.row
    }

    /// Begins to settle.
    pub fn begin(&self) -> FinalizeStep {
        match self.version {
            Some(version) => FinalizeStep::Write(types::RowCondition::Version(version)),
            None => FinalizeStep::Read,
        }
    }

    /// Decides what an event means.
    pub fn advance(&mut self, event: &claim::StoreEvent) -> FinalizeStep {
        match event {
            claim::StoreEvent::Committed(_) => FinalizeStep::Done,
            claim::StoreEvent::Unknown => FinalizeStep::Read,
            claim::StoreEvent::Read(stored) => self.compare(stored.as_ref()),
            claim::StoreEvent::Unsent | claim::StoreEvent::ReadFailed => FinalizeStep::Wait,
            claim::StoreEvent::Rejected => {
                self.floor += 1;
                FinalizeStep::Wait
            }
        }
    }

    /// A row that is absent or abandoned can still be taken by a late write of this claim, so it is
    /// written; any other row of another token has moved past every version this claim knew.
    fn compare(&mut self, stored: Option<&claim::StoredClaim>) -> FinalizeStep {
        if claim::version_of(stored) < self.floor {
            return FinalizeStep::Wait;
        }
        let Some(stored) = stored else {
            return FinalizeStep::Write(types::RowCondition::Absent);
        };
        let own = stored.row.token == self.row.token;
        let done = if own {
            stored.row.phase == self.row.phase
        } else {
            stored.row.phase != types::ClaimPhase::Abandoned
        };
        if done {
            return FinalizeStep::Done;
        }
        self.floor = stored.version;
        FinalizeStep::Write(types::RowCondition::Version(stored.version))
    }
}
