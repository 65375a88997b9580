//! Claims in progress at this node.
//!
//! The table prevents a race between two requests with the same key at one node, and keeps an
//! outcome until it is stored. Only the store decides whether a request may be sent.

use crate::transport::failure;
use comfreyspread_policy::claim;
use comfreyspread_schema::{ids, types};
use indexmap::IndexMap;

/// Maximum number of claims in progress at one node.
const MAX_ENTRIES: usize = 4096;
/// Size of the answers waiting to be stored above which no claim is admitted.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// Answer to a request that may run at most once; each resend receives the same.
#[derive(Clone, Debug, PartialEq)]
pub struct ClaimAnswer {
    /// The answer.
    pub answer: failure::CallResponse,
    /// Kind of failure, if the request failed; the body is a problem document then.
    pub problem: Option<types::ProblemKind>,
    /// Whether the request may have run.
    pub verdict: types::CallVerdict,
}

impl ClaimAnswer {
    /// Creates the answer of a request that ran.
    pub fn new(answer: failure::CallResponse) -> Self {
        Self { answer, problem: None, verdict: types::CallVerdict::Ran }
    }
}

/// Result of the admission of a request to the table.
#[derive(Debug)]
pub enum ClaimAdmission {
    /// It is the only request with its key at this node.
    Admitted,
    /// Another request with its key is in progress here; the event signals its end.
    InProgress(event_listener::EventListener),
    /// Another request with its key has completed with this answer.
    Completed(ClaimAnswer),
    /// It is refused.
    Refused(claim::ClaimRefusal),
    /// The table is full.
    Full,
}

/// Claims in progress, by row key.
#[derive(Debug, Default)]
pub struct ClaimTable {
    entries: IndexMap<ids::Text, ClaimEntry>,
    answer_bytes: usize,
}

#[derive(Debug)]
struct ClaimEntry {
    row: types::ClaimRow,
    answer: Option<ClaimAnswer>,
    completed: event_listener::Event,
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

    /// Adds the claim of `row`, unless another with its key is in the table.
    pub fn admit(&mut self, key: &ids::Text, row: &types::ClaimRow) -> ClaimAdmission {
        if let Some(entry) = self.entries.get(key) {
            return entry.admit_duplicate(row);
        }
        if self.entries.len() >= MAX_ENTRIES || self.answer_bytes >= MAX_ANSWER_BYTES {
            return ClaimAdmission::Full;
        }
        let entry =
            ClaimEntry { row: row.clone(), answer: None, completed: event_listener::Event::new() };
        self.entries.insert(key.clone(), entry);
        ClaimAdmission::Admitted
    }

    /// Marks a claim as abandoned: its request will never be sent.
    pub fn abandon(&mut self, key: &ids::Text) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.row.phase = types::ClaimPhase::Abandoned;
        }
    }

    /// Records the answer of a claim and notifies the requests that wait for it.
    pub fn complete(&mut self, key: &ids::Text, answer: ClaimAnswer) {
        if let Some(entry) = self.entries.get_mut(key) {
            self.answer_bytes += answer.answer.body.len();
            entry.row.phase = types::ClaimPhase::Closed;
            entry.answer = Some(answer);
            entry.completed.notify(usize::MAX);
        }
    }

    /// Removes a claim and notifies the requests that wait for it.
    pub fn remove(&mut self, key: &ids::Text) {
        if let Some(entry) = self.entries.swap_remove(key) {
            let bytes = entry.answer.map_or(0, |answer| answer.answer.body.len());
            self.answer_bytes -= bytes;
            entry.completed.notify(usize::MAX);
        }
    }
}

impl ClaimEntry {
    fn admit_duplicate(&self, row: &types::ClaimRow) -> ClaimAdmission {
        if self.row.digest != row.digest {
            return ClaimAdmission::Refused(claim::ClaimRefusal::Conflict);
        }
        match &self.answer {
            Some(answer) => ClaimAdmission::Completed(answer.clone()),
            None => ClaimAdmission::InProgress(self.completed.listen()),
        }
    }
}
