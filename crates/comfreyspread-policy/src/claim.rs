//! Claims on requests that may run at most once: asked, held, sent, ended.
//!
//! A node may send such a request only while it holds the request's row in the table service, and
//! only the conditional write of that row decides who holds it. The steps of a claim consume the
//! state before them, so the compiler refuses code that sends twice, or sends before the store has
//! said that the claim is held.
//!
//! ```compile_fail
//! # use comfreyspread_policy::claim;
//! # fn send_twice(claim: claim::RequestClaim<claim::HeldState>, now: std::time::Instant) {
//! let first = claim.send(now);
//! let second = claim.send(now);
//! # }
//! ```
//!
//! A row is never removed by a node. A write that arrives late, after its sender gave up on it,
//! therefore always fails its condition: the row exists, or its version has moved on. So a claim
//! that ends without having run is marked as abandoned rather than deleted, and the next request
//! with the same key takes over the abandoned row.
//!
//! Reads may come from an older copy. A claim remembers the lowest version that the row can have,
//! and takes a read below it for no read at all.

use crate::row_finalizer;
use comfreyspread_schema::{ids, types};
use std::time;

/// What came of an operation on a claim's row.
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
    /// The row as read; none if it is absent.
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

/// Why a request is refused without having run; each of these is final.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClaimRefusal {
    /// The key was used with another body.
    Conflict,
    /// The store did not answer in time.
    StoreUnavailable,
    /// The deadline passed before the request was sent.
    DeadlinePassed,
}

/// State of a claim that the store has not granted yet.
#[derive(Debug)]
pub struct AcquiringState {
    until: time::Instant,
    deadline: time::Instant,
    in_doubt: bool,
    floor: ids::RowVersion,
}

/// State of a claim that the store has granted.
#[derive(Debug)]
pub struct HeldState {
    version: ids::RowVersion,
    deadline: time::Instant,
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

/// What to do next for a claim that the store has not granted yet.
#[derive(Debug)]
pub enum AcquireStep {
    /// Write the claim's row under a condition.
    Write(RequestClaim<AcquiringState>, types::RowCondition),
    /// Read the row.
    Read(RequestClaim<AcquiringState>),
    /// Wait a moment, then read the row.
    Wait(RequestClaim<AcquiringState>),
    /// The claim is held.
    Held(RequestClaim<HeldState>),
    /// An earlier request with the key has ended: give its outcome.
    Completed(Box<types::ClaimRow>),
    /// An earlier request with the key has no outcome; its row is given.
    Unresolved(Box<types::ClaimRow>),
    /// Refuse the request; no write is in doubt.
    Refuse(ClaimRefusal),
    /// Refuse the request and settle the row.
    Abandon(Box<row_finalizer::RowFinalizer>, ClaimRefusal),
}

impl RequestClaim<AcquiringState> {
    /// Creates the claim of `row`, which asks the store until `until` and may be sent until
    /// `deadline`.
    pub fn new(row: types::ClaimRow, until: time::Instant, deadline: time::Instant) -> Self {
        Self { row, state: AcquiringState { until, deadline, in_doubt: false, floor: 0 } }
    }

    /// Returns the row to write.
    pub fn row(&self) -> &types::ClaimRow {
        &self.row
    }

    /// Returns the moment after which the store is not asked again.
    pub fn acquire_deadline(&self) -> time::Instant {
        self.state.acquire_deadline
    }

    /// Begins to ask.
    pub fn begin(self) -> AcquireStep {
        AcquireStep::Write(self, types::RowCondition::Absent)
    }

    /// Decides what an event means.
    pub fn advance(mut self, event: StoreEvent, now: time::Instant) -> AcquireStep {
        match event {
            StoreEvent::Committed(version) => self.hold(version),
            StoreEvent::Read(stored) => self.compare(stored, now),
            StoreEvent::Unknown => {
                self.state.in_doubt = true;
                self.again(now, AcquireStep::Read)
            }
            StoreEvent::Rejected => {
                self.state.floor += 1;
                self.again(now, AcquireStep::Read)
            }
            StoreEvent::Unsent | StoreEvent::ReadFailed => self.again(now, AcquireStep::Wait),
        }
    }

    fn compare(self, stored: Option<StoredClaim>, now: time::Instant) -> AcquireStep {
        if version_of(stored.as_ref()) < self.state.floor {
            return self.again(now, AcquireStep::Wait);
        }
        let Some(stored) = stored else {
            return self.write(now, types::RowCondition::Absent);
        };
        if stored.row.token == self.row.token && stored.row.phase == types::ClaimPhase::Held {
            return self.hold(stored.version);
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

    fn hold(self, version: ids::RowVersion) -> AcquireStep {
        let state = HeldState { version, deadline: self.state.deadline };
        AcquireStep::Held(RequestClaim { row: self.row, state })
    }

    fn take_over(mut self, now: time::Instant, version: ids::RowVersion) -> AcquireStep {
        self.state.floor = version;
        self.write(now, types::RowCondition::Version(version))
    }

    fn write(self, now: time::Instant, condition: types::RowCondition) -> AcquireStep {
        self.again(now, |claim| AcquireStep::Write(claim, condition))
    }

    fn again(self, now: time::Instant, step: impl FnOnce(Self) -> AcquireStep) -> AcquireStep {
        if now < self.state.acquire_deadline {
            return step(self);
        }
        if !self.state.in_doubt {
            return AcquireStep::Refuse(ClaimRefusal::StoreUnavailable);
        }
        let settlement = row_finalizer::RowFinalizer::new(abandoned(self.row), None)
            .with_floor(self.state.floor);
        AcquireStep::Abandon(Box::new(settlement), ClaimRefusal::StoreUnavailable)
    }
}

impl RequestClaim<HeldState> {
    /// Takes the right to send the request, once, unless its deadline has passed.
    ///
    /// # Errors
    ///
    /// Returns how to settle the row if it is too late to send.
    pub fn send(
        self,
        now: time::Instant,
    ) -> Result<RequestClaim<SentState>, Box<row_finalizer::RowFinalizer>> {
        let version = self.state.version;
        if now >= self.state.deadline {
            let settlement = row_finalizer::RowFinalizer::new(abandoned(self.row), Some(version));
            return Err(Box::new(settlement));
        }
        Ok(RequestClaim { row: self.row, state: SentState { version } })
    }
}

impl RequestClaim<SentState> {
    /// Returns the request of the claim.
    pub fn request(&self) -> &ids::RequestId {
        &self.row.request
    }

    /// Returns the token of the claim.
    pub fn token(&self) -> &ids::TokenId {
        &self.row.token
    }

    /// Ends the claim of a request that reached no endpoint, so that it may be sent again.
    pub fn release(self) -> row_finalizer::RowFinalizer {
        row_finalizer::RowFinalizer::new(abandoned(self.row), Some(self.state.version))
    }

    /// Ends the claim with the outcome of the request, which is kept for later requests.
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

/// Outcome of a request as it is kept with its claim.
#[derive(Clone, Debug, PartialEq)]
pub struct ClaimOutcome {
    /// HTTP status of the answer.
    pub status: u16,
    /// Whether the request may have run.
    pub verdict: types::CallVerdict,
    /// Kind of failure, if the request failed.
    pub problem: Option<types::ProblemKind>,
    /// Body of the answer, if it is kept in the row.
    pub answer: Option<ids::Text>,
    /// Object that holds the body otherwise.
    pub object: Option<ids::Text>,
}

/// Returns the version read; zero if the row is absent.
pub(crate) fn version_of(stored: Option<&StoredClaim>) -> ids::RowVersion {
    stored.map_or(0, |stored| stored.version)
}

fn abandoned(row: types::ClaimRow) -> types::ClaimRow {
    types::ClaimRow { phase: types::ClaimPhase::Abandoned, ..row }
}
