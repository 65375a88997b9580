//! Claims in progress at this node.
//!
//! The table keeps two requests with the same key from racing at one node, and holds an outcome
//! until the store has it. Whether a request may be sent is decided by the store alone.

use crate::transport::failure;
use comfreyspread_policy::claim;
use comfreyspread_schema::{ids, types};
use indexmap::IndexMap;

/// Most claims in progress at one node.
const ENTRY_LIMIT: usize = 4096;
/// Most bytes of outcomes that wait for the store, beyond which no claim is begun.
const KEPT_BYTES_LIMIT: usize = 64 * 1024 * 1024;

/// Answer to a request that may run at most once: the same for each resend.
#[derive(Clone, Debug, PartialEq)]
pub struct ClaimAnswer {
    /// The answer.
    pub answer: failure::WholeAnswer,
    /// Kind of failure, if the request failed; the body then is a problem body.
    pub problem: Option<types::ProblemKind>,
    /// Whether the request may have run.
    pub verdict: types::CallVerdict,
}

impl ClaimAnswer {
    /// Creates the answer of a request that ran.
    pub fn new(answer: failure::WholeAnswer) -> Self {
        Self { answer, problem: None, verdict: types::CallVerdict::Ran }
    }
}

/// What a request finds when it enters the table.
#[derive(Debug)]
pub enum ClaimAdmission {
    /// It is the only one with its key at this node.
    Entered,
    /// Another request with its key is in progress here; it ends with this event.
    Busy(event_listener::EventListener),
    /// Another request with its key has ended with this answer.
    Ended(ClaimAnswer),
    /// It is refused.
    Refused(claim::ClaimRefusal),
    /// The table is full.
    Full,
}

/// Claims in progress, by row key.
#[derive(Debug, Default)]
pub struct ClaimTable {
    entries: IndexMap<ids::Text, ClaimEntry>,
    kept: usize,
}

#[derive(Debug)]
struct ClaimEntry {
    row: types::ClaimRow,
    answer: Option<ClaimAnswer>,
    ended: event_listener::Event,
}

impl ClaimTable {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the number of claims in progress.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no claim is in progress.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the rows of the claims in progress.
    pub fn rows(&self) -> impl Iterator<Item = &types::ClaimRow> {
        self.entries.values().map(|entry| &entry.row)
    }

    /// Returns the phase of the claim with this row key.
    pub fn phase(&self, key: &ids::Text) -> Option<types::ClaimPhase> {
        self.entries.get(key).map(|entry| entry.row.phase)
    }

    /// Enters the claim of `row`, unless another with its key is here.
    pub fn enter(&mut self, key: &ids::Text, row: &types::ClaimRow) -> ClaimAdmission {
        if let Some(entry) = self.entries.get(key) {
            return entry.admit(row);
        }
        if self.entries.len() >= ENTRY_LIMIT || self.kept >= KEPT_BYTES_LIMIT {
            return ClaimAdmission::Full;
        }
        let entry =
            ClaimEntry { row: row.clone(), answer: None, ended: event_listener::Event::new() };
        self.entries.insert(key.clone(), entry);
        ClaimAdmission::Entered
    }

    /// Notes that the request of a claim will never be sent.
    pub fn abandon(&mut self, key: &ids::Text) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.row.phase = types::ClaimPhase::Abandoned;
        }
    }

    /// Keeps the answer of a claim until it leaves.
    pub fn keep(&mut self, key: &ids::Text, answer: ClaimAnswer) {
        if let Some(entry) = self.entries.get_mut(key) {
            self.kept += answer.answer.body.len();
            entry.row.phase = types::ClaimPhase::Closed;
            entry.answer = Some(answer);
            entry.ended.notify(usize::MAX);
        }
    }

    /// Removes a claim and wakes the requests that wait for it.
    pub fn leave(&mut self, key: &ids::Text) {
        if let Some(entry) = self.entries.swap_remove(key) {
            let kept = entry.answer.map_or(0, |answer| answer.answer.body.len());
            self.kept -= kept;
            entry.ended.notify(usize::MAX);
        }
    }
}

impl ClaimEntry {
    fn admit(&self, row: &types::ClaimRow) -> ClaimAdmission {
        if self.row.digest != row.digest {
            return ClaimAdmission::Refused(claim::ClaimRefusal::Conflict);
        }
        match &self.answer {
            Some(answer) => ClaimAdmission::Ended(answer.clone()),
            None => ClaimAdmission::Busy(self.ended.listen()),
        }
    }
}
