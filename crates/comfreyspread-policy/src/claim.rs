//! Claims on requests that may run at most once: acquiring, held, sent, finalized.
//!
//! A node may send such a request only while it holds the request's row in the store. A conditional
//! write of that row decides which node holds it. Each transition consumes the previous state, so
//! code that sends twice, or before the store has granted the claim, does not compile.
//!
//! ```compile_fail
//! # use comfreyspread_policy::claim;
//! # fn send_twice(claim: claim::RequestClaim<claim::HeldState>, now: std::time::Instant) {
//! let first = claim.send(now);
//! let second = claim.send(now);
//! # }
//! ```
//!
//! Nodes never delete a row. A delayed write whose sender has timed out therefore always fails its
//! condition: the row exists, or its version has changed. A claim that ends without having run is
//! marked as abandoned instead, and the next request with the same key takes over the row.
//!
//! Reads may be stale. A claim tracks the lowest version that the row can have, and ignores a read
//! of an older version.
//!
//! Versions and rows belong to one history of the store. A store that comes back from a copy may
//! lack claims that it had granted, so in such a history an absent or abandoned row does not show
//! that its request has not run, and no claim is granted.

use crate::row_finalizer;
use comfreyspread_schema::{ids, types};
use std::time;

/// Result of an operation on a claim's row.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreEvent {
    /// The write took effect; the row has this version.
    Committed(ids::RowVersion),
    /// The condition of the write did not hold.
    Rejected,
    /// The write may have taken effect, or may still.
    Unknown,
    /// The write was not sent.
    Unsent,
    /// The row as read; `None` if it is absent.
    Read(Option<StoredClaim>),
    /// The row could not be read.
    ReadFailed,
}

/// A claim's row with its version.
#[derive(Clone, Debug, PartialEq)]
pub struct StoredClaim {
    /// The row.
    pub row: types::ClaimRow,
    /// Version of the row.
    pub version: ids::RowVersion,
}

/// Whether the store still has every claim that it granted.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum ClaimHistory {
    /// It does.
    #[default]
    Intact,
    /// It came back from a copy that may lack some.
    Lost,
}

/// Why a request is refused without having run. A refusal is final.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClaimRefusal {
    /// The key was already used with a different body.
    Conflict,
    /// The store did not reply in time.
    StoreUnavailable,
    /// The store may have lost a claim of an earlier request with the key.
    StoreRestored,
    /// The deadline passed before the request was sent.
    DeadlinePassed,
}

/// State of a claim that the store has not granted yet.
#[derive(Debug)]
pub struct AcquiringState {
    acquire_deadline: time::Instant,
    send_deadline: time::Instant,
    history: ClaimHistory,
    in_doubt: bool,
    min_version: ids::RowVersion,
}

/// State of a claim that the store has granted.
#[derive(Debug)]
pub struct HeldState {
    version: ids::RowVersion,
    send_deadline: time::Instant,
}

/// State of a claim whose request may have reached an endpoint.
#[derive(Debug)]
pub struct SentState {
    version: ids::RowVersion,
}

/// Claim on one request, in the state `State`.
#[derive(Debug)]
pub struct RequestClaim<State> {
    row: types::ClaimRow,
    state: State,
}

/// Next step for a claim that the store has not granted yet.
#[derive(Debug)]
pub enum AcquireStep {
    /// Write the claim's row if the condition holds.
    Write(RequestClaim<AcquiringState>, types::RowPrecondition),
    /// Read the row.
    Read(RequestClaim<AcquiringState>),
    /// Read the row after a pause.
    Wait(RequestClaim<AcquiringState>),
    /// The claim is held.
    Held(RequestClaim<HeldState>),
    /// An earlier request with the key has completed; return its outcome.
    Completed(Box<types::ClaimRow>),
    /// An earlier request with the key has no known outcome; contains its row.
    Unresolved(Box<types::ClaimRow>),
    /// Refuse the request; no write is in doubt.
    Refuse(ClaimRefusal),
    /// Refuse the request and finalize the row, since a write is in doubt.
    Abandon(Box<row_finalizer::RowFinalizer>, ClaimRefusal),
}

impl RequestClaim<AcquiringState> {
    /// Creates the claim of `row`, which must be acquired by `acquire_deadline` and sent by
    /// `send_deadline`.
    pub fn new(
        row: types::ClaimRow,
        acquire_deadline: time::Instant,
        send_deadline: time::Instant,
    ) -> Self {
        Self {
            row,
            state: AcquiringState {
                acquire_deadline,
                send_deadline,
                history: ClaimHistory::default(),
                in_doubt: false,
                min_version: 0,
            },
        }
    }

    /// Sets the history that the next event, and what is done after it, belong to.
    pub fn with_history(mut self, history: ClaimHistory) -> Self {
        if history != self.state.history {
            self.state.min_version = 0;
        }
        self.state.history = history;
        self
    }

    /// Returns the row to write.
    pub fn row(&self) -> &types::ClaimRow {
        &self.row
    }

    /// Returns the time after which no more operations are sent to the store.
    pub fn acquire_deadline(&self) -> time::Instant {
        self.state.acquire_deadline
    }

    /// Returns the first step: to insert the row, or to read it if no claim is granted at present.
    pub fn begin(self) -> AcquireStep {
        match self.state.history {
            ClaimHistory::Intact => AcquireStep::Write(self, types::RowPrecondition::Absent),
            ClaimHistory::Lost => AcquireStep::Read(self),
        }
    }

    /// Returns the step that follows an event.
    pub fn advance(mut self, event: StoreEvent, now: time::Instant) -> AcquireStep {
        match event {
            StoreEvent::Committed(version) => self.on_committed(version),
            StoreEvent::Read(stored) => self.on_read(stored, now),
            StoreEvent::Unknown => {
                self.state.in_doubt = true;
                self.retry(now, AcquireStep::Read)
            }
            StoreEvent::Rejected => {
                self.state.min_version += versions_passed(self.state.history);
                self.retry(now, AcquireStep::Read)
            }
            StoreEvent::Unsent | StoreEvent::ReadFailed => self.retry(now, AcquireStep::Wait),
        }
    }

    fn on_committed(mut self, version: ids::RowVersion) -> AcquireStep {
        if self.state.history == ClaimHistory::Lost {
            self.state.in_doubt = true;
            return self.refuse(ClaimRefusal::StoreRestored);
        }
        self.into_held(version)
    }

    fn on_read(self, stored: Option<StoredClaim>, now: time::Instant) -> AcquireStep {
        if version_of(stored.as_ref()) < self.state.min_version {
            return self.retry(now, AcquireStep::Wait);
        }
        if self.state.history == ClaimHistory::Lost && !self.is_settled(stored.as_ref()) {
            return self.refuse(ClaimRefusal::StoreRestored);
        }
        let Some(stored) = stored else {
            return self.write(now, types::RowPrecondition::Absent);
        };
        if stored.row.token == self.row.token && stored.row.phase == types::ClaimPhase::Held {
            return self.into_held(stored.version);
        }
        if stored.row.phase == types::ClaimPhase::Abandoned {
            return self.take_over(now, stored.version);
        }
        if stored.row.digest != self.row.digest {
            return AcquireStep::Refuse(ClaimRefusal::Conflict);
        }
        match stored.row.phase {
            types::ClaimPhase::Closed => AcquireStep::Completed(Box::new(stored.row)),
            _ => AcquireStep::Unresolved(Box::new(stored.row)),
        }
    }

    /// Whether a stored row says what became of an earlier request with the key.
    fn is_settled(&self, stored: Option<&StoredClaim>) -> bool {
        let settled = |stored: &StoredClaim| {
            let is_abandoned = stored.row.phase == types::ClaimPhase::Abandoned;
            !is_abandoned && stored.row.token != self.row.token
        };
        stored.is_some_and(settled)
    }

    fn into_held(self, version: ids::RowVersion) -> AcquireStep {
        let state = HeldState { version, send_deadline: self.state.send_deadline };
        AcquireStep::Held(RequestClaim { row: self.row, state })
    }

    fn take_over(mut self, now: time::Instant, version: ids::RowVersion) -> AcquireStep {
        self.state.min_version = version;
        self.write(now, types::RowPrecondition::Version(version))
    }

    fn write(self, now: time::Instant, condition: types::RowPrecondition) -> AcquireStep {
        self.retry(now, |claim| AcquireStep::Write(claim, condition))
    }

    /// Returns `step`, or gives up if the acquire deadline has passed.
    fn retry(self, now: time::Instant, step: impl FnOnce(Self) -> AcquireStep) -> AcquireStep {
        if now < self.state.acquire_deadline {
            return step(self);
        }
        self.refuse(ClaimRefusal::StoreUnavailable)
    }

    fn refuse(self, refusal: ClaimRefusal) -> AcquireStep {
        if !self.state.in_doubt {
            return AcquireStep::Refuse(refusal);
        }
        let finalizer = row_finalizer::RowFinalizer::new(abandoned(self.row), None)
            .with_min_version(self.state.min_version);
        AcquireStep::Abandon(Box::new(finalizer), refusal)
    }
}

impl RequestClaim<HeldState> {
    /// Permits the caller to send the request once, unless the deadline has passed.
    ///
    /// # Errors
    ///
    /// Returns the finalizer of the row if the deadline has passed.
    pub fn send(
        self,
        now: time::Instant,
    ) -> Result<RequestClaim<SentState>, Box<row_finalizer::RowFinalizer>> {
        let version = self.state.version;
        if now >= self.state.send_deadline {
            let finalizer = row_finalizer::RowFinalizer::new(abandoned(self.row), Some(version));
            return Err(Box::new(finalizer));
        }
        Ok(RequestClaim { row: self.row, state: SentState { version } })
    }
}

impl RequestClaim<SentState> {
    /// Returns the identifier of the claimed request.
    pub fn request(&self) -> &ids::RequestId {
        &self.row.request
    }

    /// Returns the token of the claim.
    pub fn token(&self) -> &ids::ClaimToken {
        &self.row.token
    }

    /// Abandons the claim of a request that reached no endpoint, so that it may be sent again.
    pub fn release(self) -> row_finalizer::RowFinalizer {
        row_finalizer::RowFinalizer::new(abandoned(self.row), Some(self.state.version))
    }

    /// Closes the claim with the outcome of the request, which is stored for later requests.
    pub fn close(self, outcome: ClaimOutcome) -> row_finalizer::RowFinalizer {
        let row = types::ClaimRow {
            answer: outcome.answer,
            object: outcome.object,
            phase: types::ClaimPhase::Closed,
            problem: outcome.problem,
            status: Some(outcome.status),
            verdict: Some(outcome.verdict),
            ..self.row
        };
        row_finalizer::RowFinalizer::new(row, Some(self.state.version))
    }
}

/// Outcome of a request as stored with its claim.
#[derive(Clone, Debug, PartialEq)]
pub struct ClaimOutcome {
    /// HTTP status of the response.
    pub status: u16,
    /// Whether the request may have run.
    pub verdict: types::CallVerdict,
    /// Kind of failure, if the request failed.
    pub problem: Option<types::ProblemKind>,
    /// Response body, if it is stored in the row.
    pub answer: Option<ids::Text>,
    /// Object that holds the response body, if it is not stored in the row.
    pub object: Option<ids::Text>,
}

/// Returns the version of the row; zero if it is absent.
pub(crate) fn version_of(stored: Option<&StoredClaim>) -> ids::RowVersion {
    stored.map_or(0, |stored| stored.version)
}

/// Returns by how much the lowest version of a row rises when a write is rejected. The condition may
/// have named a version of a history that is lost, which says nothing about the present row.
pub(crate) fn versions_passed(history: ClaimHistory) -> ids::RowVersion {
    match history {
        ClaimHistory::Intact => 1,
        ClaimHistory::Lost => 0,
    }
}

fn abandoned(row: types::ClaimRow) -> types::ClaimRow {
    types::ClaimRow { phase: types::ClaimPhase::Abandoned, ..row }
}
