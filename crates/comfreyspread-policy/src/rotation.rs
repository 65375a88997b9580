//! Choice of an endpoint by turns.
//!
//! The simplest choice there is, and the baseline that other choices are measured against.

/// Counter that picks the next of several candidates.
#[derive(Debug, Default)]
pub struct EndpointRotation {
    next: usize,
}

impl EndpointRotation {
    /// Creates a rotation that begins at the first candidate.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the index of the next of `count` candidates, or none if there are none.
    pub fn advance(&mut self, count: usize) -> Option<usize> {
        let index = self.next.checked_rem(count)?;
        self.next = self.next.wrapping_add(1);
        Some(index)
    }
}
