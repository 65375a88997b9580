//! How a call for pieces of several requests ended.

use comfreyspread_schema::types;

/// How a call ended.
#[derive(Clone, Debug)]
pub enum BatchOutcome {
    /// It was answered, piece by piece.
    Answered(Vec<types::PieceOutcome>),
    /// The endpoint was full and made nothing.
    Full,
    /// Another endpoint has the address, or this one leaves.
    Gone,
    /// It failed, or took too long.
    Failed,
}

impl BatchOutcome {
    /// Returns how many pieces were made; none if the call failed as a whole.
    pub fn made(&self) -> Option<usize> {
        let Self::Answered(outcomes) = self else { return None };
        let made = |outcome: &&types::PieceOutcome| matches!(outcome, types::PieceOutcome::Made(_));
        Some(outcomes.iter().filter(made).count())
    }

    /// Returns how many pieces were worked on: what is late, lacks room or inputs takes no time.
    pub fn worked(&self) -> u32 {
        let Self::Answered(outcomes) = self else { return 0 };
        let worked = |outcome: &&types::PieceOutcome| {
            use types::PieceFault::{InputGone, Late, NoRoom};
            !matches!(outcome, types::PieceOutcome::Failed(InputGone | Late | NoRoom))
        };
        u32::try_from(outcomes.iter().filter(worked).count()).unwrap_or(u32::MAX)
    }

    /// Returns how the call ended in a word, for logs.
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::Answered(_) => "answered",
            Self::Full => "full",
            Self::Gone => "gone",
            Self::Failed => "failed",
        }
    }
}
