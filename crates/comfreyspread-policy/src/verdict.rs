//! Whether a request may have run, over all of its attempts.
//!
//! A caller that receives `not-run` may safely send its request again, so this verdict must hold
//! for every attempt made so far. The tracker never returns to `not-run`.

use comfreyspread_schema::types;

/// Verdict of a request over its attempts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct VerdictTracker {
    verdict: types::CallVerdict,
}

impl VerdictTracker {
    /// Creates the tracker of a request without attempts.
    pub fn new() -> Self {
        Self { verdict: types::CallVerdict::NotRun }
    }

    /// Adds the outcome of an attempt.
    pub fn with_outcome(self, outcome: types::CallVerdict) -> Self {
        Self { verdict: combine(self.verdict, outcome) }
    }

    /// Returns the verdict over all attempts.
    pub fn verdict(self) -> types::CallVerdict {
        self.verdict
    }

    /// Whether another attempt is safe; `idempotent` requests may run more than once.
    pub fn allows_retry(self, idempotent: bool) -> bool {
        match self.verdict {
            types::CallVerdict::NotRun => true,
            types::CallVerdict::MayHaveRun => idempotent,
            types::CallVerdict::Ran => false,
        }
    }
}

impl Default for VerdictTracker {
    fn default() -> Self {
        Self::new()
    }
}

fn combine(one: types::CallVerdict, other: types::CallVerdict) -> types::CallVerdict {
    use types::CallVerdict::{MayHaveRun, NotRun, Ran};
    match (one, other) {
        (Ran, _) | (_, Ran) => Ran,
        (MayHaveRun, _) | (_, MayHaveRun) => MayHaveRun,
        (NotRun, NotRun) => NotRun,
    }
}
