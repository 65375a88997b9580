//! Position within a streamed answer.
//!
//! A stream may go on at another endpoint after the first was lost. The cursor makes sure that the
//! caller sees every token once and in order, and that a stream without its explicit end never
//! looks whole.

use comfreyspread_schema::{ids, types};

/// What to do with a run of tokens.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunAction {
    /// Hand it to the caller.
    Deliver,
    /// Drop it; the caller has it already.
    Drop,
}

/// Why a stream cannot go on from its present source.
#[derive(Clone, Copy, Debug, Eq, thiserror::Error, PartialEq)]
pub enum StreamError {
    /// Tokens are missing between what was delivered and what came.
    #[error("tokens are missing: expected offset {expected}, got {found}")]
    Gap {
        /// Offset expected.
        expected: ids::StreamOffset,
        /// Offset found.
        found: ids::StreamOffset,
    },
    /// A run holds both delivered and new tokens.
    #[error("a run overlaps: expected offset {expected}, got {found}")]
    Overlap {
        /// Offset expected.
        expected: ids::StreamOffset,
        /// Offset found.
        found: ids::StreamOffset,
    },
    /// The end does not match the tokens delivered.
    #[error("the stream has {delivered} tokens and its end says {stated}")]
    CutShort {
        /// Tokens delivered.
        delivered: ids::StreamOffset,
        /// Tokens that the end states.
        stated: ids::StreamOffset,
    },
}

/// Counts the tokens delivered of one stream.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct StreamCursor {
    next: ids::StreamOffset,
}

impl StreamCursor {
    /// Creates the cursor of a stream of which nothing was delivered.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the offset of the next token, for a stream that goes on.
    pub fn with_offset(self, offset: ids::StreamOffset) -> Self {
        Self { next: offset }
    }

    /// Returns the offset of the next token to deliver.
    pub fn offset(&self) -> ids::StreamOffset {
        self.next
    }

    /// Decides about a run of tokens and moves past it if it is delivered.
    ///
    /// # Errors
    ///
    /// Fails if the run leaves a gap or holds both delivered and new tokens.
    pub fn accept(&mut self, run: &types::TokenRun) -> Result<RunAction, StreamError> {
        let after = run.offset.saturating_add(run.count.into());
        if run.offset > self.next {
            return Err(StreamError::Gap { expected: self.next, found: run.offset });
        }
        if after <= self.next {
            return Ok(RunAction::Drop);
        }
        if run.offset < self.next {
            return Err(StreamError::Overlap { expected: self.next, found: run.offset });
        }
        self.next = after;
        Ok(RunAction::Deliver)
    }

    /// Checks the explicit end of the stream.
    ///
    /// # Errors
    ///
    /// Fails if the end states another number of tokens than were delivered.
    pub fn finish(&self, end: &types::StreamEnd) -> Result<(), StreamError> {
        if end.tokens == self.next {
            return Ok(());
        }
        Err(StreamError::CutShort { delivered: self.next, stated: end.tokens })
    }
}
