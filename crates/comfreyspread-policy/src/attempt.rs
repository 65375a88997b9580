//! Life cycle of one attempt: planned, sent, ended.
//!
//! Only a planned attempt can be sent, and sending consumes it, so the compiler refuses code that
//! would write one attempt to an endpoint twice.
//!
//! ```compile_fail
//! # use comfreyspread_policy::attempt;
//! let planned = attempt::CallAttempt::new(1);
//! let first = planned.send();
//! let second = planned.send();
//! ```

use comfreyspread_schema::{ids, types};

/// State of an attempt that has not left the process.
#[derive(Debug)]
pub struct PlannedState;

/// State of an attempt whose bytes may have reached the endpoint.
#[derive(Debug)]
pub struct SentState;

/// State of an attempt whose outcome is settled.
#[derive(Debug)]
pub struct EndedState {
    verdict: types::CallVerdict,
}

/// One attempt at a call, in the state `State`.
#[derive(Debug)]
pub struct CallAttempt<State> {
    id: ids::AttemptId,
    state: State,
}

impl CallAttempt<PlannedState> {
    /// Plans the attempt `id`.
    pub fn new(id: ids::AttemptId) -> Self {
        Self { id, state: PlannedState }
    }

    /// Marks the attempt as sent, before its first byte is written.
    pub fn send(self) -> CallAttempt<SentState> {
        CallAttempt { id: self.id, state: SentState }
    }

    /// Ends the attempt without sending it.
    pub fn cancel(self) -> CallAttempt<EndedState> {
        self.end(types::CallVerdict::NotRun)
    }
}

impl CallAttempt<SentState> {
    /// Ends the attempt with the whole answer of the endpoint.
    pub fn complete(self) -> CallAttempt<EndedState> {
        self.end(types::CallVerdict::Ran)
    }

    /// Ends the attempt with a refusal that the endpoint or owner vouches for.
    pub fn refuse(self) -> CallAttempt<EndedState> {
        self.end(types::CallVerdict::NotRun)
    }

    /// Ends the attempt without knowing whether it ran.
    pub fn end_unknown(self) -> CallAttempt<EndedState> {
        self.end(types::CallVerdict::MayHaveRun)
    }
}

impl CallAttempt<EndedState> {
    /// Returns whether the attempt ran.
    pub fn verdict(&self) -> types::CallVerdict {
        self.state.verdict
    }
}

impl<State> CallAttempt<State> {
    /// Returns the number of the attempt within its request.
    pub fn id(&self) -> ids::AttemptId {
        self.id
    }

    fn end(self, verdict: types::CallVerdict) -> CallAttempt<EndedState> {
        CallAttempt { id: self.id, state: EndedState { verdict } }
    }
}
