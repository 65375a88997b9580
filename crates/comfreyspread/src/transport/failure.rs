//! Failure of a call, with its verdict.
//!
//! Every failure states whether the call may have run, so no code has to guess from the kind of
//! failure whether a call may be repeated.

use comfreyspread_schema::{ids, types};
use std::{sync, time};

/// A whole answer of an endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct CallResponse {
    /// HTTP status.
    pub status: u16,
    /// Body.
    pub body: ids::Payload,
}

/// Why a call has no answer, and whether it may have run.
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
    /// Creates the failure of a call that reached no endpoint.
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

    /// Sets when a retry may pass.
    pub fn with_retry_after(self, retry_after: time::Duration) -> Self {
        Self { retry_after, ..self }
    }

    /// Sets whether the endpoint went away while the call was in flight.
    pub fn with_crashed(self, crashed: bool) -> Self {
        Self { crashed, ..self }
    }

    /// Adds what was being done, in front of the detail.
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

    /// Returns the reason for people.
    pub fn detail(&self) -> &ids::Text {
        &self.detail
    }

    /// Returns when a retry may pass; zero if unknown.
    pub fn retry_after(&self) -> time::Duration {
        self.retry_after
    }

    /// Returns whether the endpoint went away while the call was in flight.
    pub fn crashed(&self) -> bool {
        self.crashed
    }

    /// Returns the answer or the failure that an outcome between nodes stands for.
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

    /// Returns the failure as an outcome between nodes.
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
