//! Life cycle of one attempt at a call: planned, sent, ended.
//!
//! Only a planned attempt can be sent, and sending consumes it, so code that sends an attempt twice
//! does not compile.
//!
//! ```compile_fail
//! # use comfreyspread_policy::attempt;
//! let planned = attempt::CallAttempt::new(1);
//! let first = planned.send();
//! let second = planned.send();
//! ```

use comfreyspread_schema::{ids, types};

/// State of an attempt that has not been sent.
#[derive(Debug)]
pub struct PlannedState;

/// State of an attempt whose bytes may have reached the endpoint.
#[derive(Debug)]
pub struct SentState;

/// State of an attempt with a final verdict.
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
    /// Creates the planned attempt `id`.
    pub fn new(id: ids::AttemptId) -> Self {
        Self { id, state: PlannedState }
    }

    /// Marks the attempt as sent; to be called before its first byte is written.
    pub fn send(self) -> CallAttempt<SentState> {
        CallAttempt { id: self.id, state: SentState }
    }

    /// Ends the attempt without sending it.
    pub fn cancel(self) -> CallAttempt<EndedState> {
        self.end(types::CallVerdict::NotRun)
    }
}

impl CallAttempt<SentState> {
    /// Ends the attempt with the complete answer of the endpoint.
    pub fn complete(self) -> CallAttempt<EndedState> {
        self.end(types::CallVerdict::Ran)
    }

    /// Ends the attempt because the endpoint or the owner stated that it did not run it.
    pub fn refuse(self) -> CallAttempt<EndedState> {
        self.end(types::CallVerdict::NotRun)
    }

    /// Ends the attempt with an unknown outcome.
    pub fn end_unknown(self) -> CallAttempt<EndedState> {
        self.end(types::CallVerdict::MayHaveRun)
    }
}

impl CallAttempt<EndedState> {
    /// Returns the verdict on the attempt.
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
