//! Outcome of a batched call.

use comfreyspread_schema::types;

/// Outcome of a batched call.
#[derive(Clone, Debug)]
pub enum BatchOutcome {
    /// The endpoint answered with an outcome for each piece.
    Answered(Vec<types::PieceOutcome>),
    /// The endpoint was full and refused the call.
    Full,
    /// Another endpoint has the address now, or this one is shutting down.
    Gone,
    /// The call failed or timed out.
    Failed,
}

impl BatchOutcome {
    /// Returns the number of completed pieces; `None` if the call failed as a whole.
    pub fn completed(&self) -> Option<usize> {
        let Self::Answered(outcomes) = self else { return None };
        let completed =
            |outcome: &&types::PieceOutcome| matches!(outcome, types::PieceOutcome::Made(_));
        Some(outcomes.iter().filter(completed).count())
    }

    /// Returns the number of pieces that cost time at the endpoint: it skips those that are late or
    /// lack storage or inputs.
    pub fn attempted(&self) -> u32 {
        let Self::Answered(outcomes) = self else { return 0 };
        let attempted = |outcome: &&types::PieceOutcome| {
            use types::PieceError::{InputGone, Late, NoRoom};
            !matches!(outcome, types::PieceOutcome::Failed(InputGone | Late | NoRoom))
        };
        u32::try_from(outcomes.iter().filter(attempted).count()).unwrap_or(u32::MAX)
    }

    /// Returns the name of the outcome for logs.
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::Answered(_) => "answered",
            Self::Full => "full",
            Self::Gone => "gone",
            Self::Failed => "failed",
        }
    }
}
