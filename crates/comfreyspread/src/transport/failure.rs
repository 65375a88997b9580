//! Failure of a call, with its verdict.
//!
//! Every failure states whether the call may have run, so retries don't infer it from the kind of
//! failure.

use comfreyspread_schema::{ids, types};
use std::{sync, time};

/// A complete response to a call.
#[derive(Clone, Debug, PartialEq)]
pub struct CallResponse {
    /// HTTP status.
    pub status: u16,
    /// Body.
    pub body: ids::Payload,
}

/// Why a call has no response, and whether it may have run.
#[derive(Clone, Debug, miette::Diagnostic, thiserror::Error, PartialEq)]
#[error("{problem}: {detail} ({verdict})")]
pub struct CallFailure {
    verdict: types::CallVerdict,
    problem: types::ProblemKind,
    detail: ids::Text,
    retry_after: time::Duration,
    crashed: bool,
}

impl CallFailure {
    /// Creates the failure of a call that did not run.
    pub fn new(problem: types::ProblemKind, detail: impl Into<sync::Arc<str>>) -> Self {
        Self {
            verdict: types::CallVerdict::NotRun,
            problem,
            detail: detail.into(),
            retry_after: time::Duration::ZERO,
            crashed: false,
        }
    }

    /// Sets whether the call may have run.
    pub fn with_verdict(self, verdict: types::CallVerdict) -> Self {
        Self { verdict, ..self }
    }

    /// Sets the delay after which a retry may succeed.
    pub fn with_retry_after(self, retry_after: time::Duration) -> Self {
        Self { retry_after, ..self }
    }

    /// Sets whether the endpoint disconnected while the call was in flight.
    pub fn with_crashed(self, crashed: bool) -> Self {
        Self { crashed, ..self }
    }

    /// Prefixes the detail with the operation that failed.
    pub fn with_context(self, context: &str) -> Self {
        let detail = format!("{context}: {}", self.detail).into();
        Self { detail, ..self }
    }

    /// Returns whether the call may have run.
    pub fn verdict(&self) -> types::CallVerdict {
        self.verdict
    }

    /// Returns the kind of failure.
    pub fn problem(&self) -> types::ProblemKind {
        self.problem
    }

    /// Returns the human-readable reason.
    pub fn detail(&self) -> &ids::Text {
        &self.detail
    }

    /// Returns the delay after which a retry may succeed; zero if unknown.
    pub fn retry_after(&self) -> time::Duration {
        self.retry_after
    }

    /// Returns whether the endpoint disconnected while the call was in flight.
    pub fn crashed(&self) -> bool {
        self.crashed
    }

    /// Converts an outcome received from another node.
    ///
    /// # Errors
    ///
    /// Fails if the outcome is a failure.
    pub fn from_outcome(outcome: types::StageOutcome) -> Result<CallResponse, Self> {
        match outcome {
            types::StageOutcome::Answered { body, status } => Ok(CallResponse { status, body }),
            types::StageOutcome::Failed { crashed, detail, problem, retry_after, verdict } => {
                Err(Self { verdict, problem, detail, retry_after, crashed })
            }
        }
    }

    /// Converts the failure to an outcome to send to another node.
    pub fn into_outcome(self) -> types::StageOutcome {
        types::StageOutcome::Failed {
            crashed: self.crashed,
            detail: self.detail,
            problem: self.problem,
            retry_after: self.retry_after,
            verdict: self.verdict,
        }
    }
}
