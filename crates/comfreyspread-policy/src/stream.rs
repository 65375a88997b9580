//! Position within a streamed answer.
//!
//! After a failure, a stream may resume at another endpoint. The cursor ensures that the caller
//! receives each token exactly once and in order, and that a stream is complete only with an
//! explicit end that matches the tokens delivered.

use comfreyspread_schema::{ids, types};

/// What to do with a received chunk of tokens.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ChunkAction {
    /// Deliver it to the caller.
    Deliver,
    /// Drop it, since the caller already has its tokens.
    Drop,
}

/// Error that prevents a stream from continuing from its current source.
#[derive(Clone, Copy, Debug, Eq, thiserror::Error, PartialEq)]
pub enum StreamError {
    /// Tokens are missing between the last delivered and the received ones.
    #[error("tokens are missing: expected offset {expected}, got {found}")]
    Gap {
        /// Offset expected.
        expected: ids::StreamOffset,
        /// Offset found.
        found: ids::StreamOffset,
    },
    /// A chunk holds both delivered and new tokens.
    #[error("a run overlaps: expected offset {expected}, got {found}")]
    Overlap {
        /// Offset expected.
        expected: ids::StreamOffset,
        /// Offset found.
        found: ids::StreamOffset,
    },
    /// The end does not match the tokens delivered.
    #[error("the stream has {delivered} tokens and its end says {declared}")]
    CutShort {
        /// Tokens delivered.
        delivered: ids::StreamOffset,
        /// Tokens that the end states.
        declared: ids::StreamOffset,
    },
}

/// Offset of the next token to deliver of one stream.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct StreamCursor {
    next_offset: ids::StreamOffset,
}

impl StreamCursor {
    /// Creates the cursor of a stream without delivered tokens.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the offset of the next token, for a resumed stream.
    pub fn with_offset(self, offset: ids::StreamOffset) -> Self {
        Self { next_offset: offset }
    }

    /// Returns the offset of the next token to deliver.
    pub fn offset(&self) -> ids::StreamOffset {
        self.next_offset
    }

    /// Decides on a chunk of tokens, and advances past it if it is to be delivered.
    ///
    /// # Errors
    ///
    /// Fails if the chunk leaves a gap or holds both delivered and new tokens.
    pub fn accept(&mut self, chunk: &types::TokenChunk) -> Result<ChunkAction, StreamError> {
        let end_offset = chunk.offset.saturating_add(chunk.count.into());
        if chunk.offset > self.next_offset {
            return Err(StreamError::Gap { expected: self.next_offset, found: chunk.offset });
        }
        if end_offset <= self.next_offset {
            return Ok(ChunkAction::Drop);
        }
        if chunk.offset < self.next_offset {
            return Err(StreamError::Overlap { expected: self.next_offset, found: chunk.offset });
        }
        self.next_offset = end_offset;
        Ok(ChunkAction::Deliver)
    }

    /// Checks the explicit end of the stream.
    ///
    /// # Errors
    ///
    /// Fails if the number of tokens in `end` differs from the number delivered.
    pub fn finish(&self, end: &types::StreamEnd) -> Result<(), StreamError> {
        if end.tokens == self.next_offset {
            return Ok(());
        }
        Err(StreamError::CutShort { delivered: self.next_offset, declared: end.tokens })
    }
}
