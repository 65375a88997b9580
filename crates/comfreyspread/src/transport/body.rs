//! Reading request bodies whole, within limits for one body and for all of them together.
//!
//! Memory is counted against the budget as a body grows, not as its sender states it, so a caller
//! that announces much and sends little holds little.

use crate::transport::http_body;
use std::{sync, sync::atomic};

/// Why a body could not be read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BodyError {
    /// All bodies together are at their limit.
    Busy,
    /// The body ended before its end, or is not valid.
    CutShort,
    /// The body is larger than allowed.
    TooLarge,
}

/// Bytes that all bodies of one server may hold together.
#[derive(Debug)]
pub struct BodyBudget {
    limit: usize,
    held: atomic::AtomicUsize,
}

/// Share of a [`BodyBudget`] that a body holds until dropped.
#[derive(Debug)]
pub struct BodyShare {
    budget: sync::Arc<BodyBudget>,
    bytes: usize,
}

impl BodyBudget {
    /// Creates a budget of `limit` bytes.
    pub fn new(limit: usize) -> Self {
        Self { limit, held: atomic::AtomicUsize::new(0) }
    }

    /// Returns the bytes held now.
    pub fn held(&self) -> usize {
        self.held.load(atomic::Ordering::Relaxed)
    }
}

impl BodyShare {
    /// Creates a share of no bytes.
    pub fn new(budget: sync::Arc<BodyBudget>) -> Self {
        Self { budget, bytes: 0 }
    }

    /// Takes more bytes.
    ///
    /// # Errors
    ///
    /// Fails if the budget has too few.
    pub fn grow(&mut self, bytes: usize) -> Result<(), BodyError> {
        let budget = &self.budget;
        let add = |held: usize| held.checked_add(bytes).filter(|sum| *sum <= budget.limit);
        let relaxed = atomic::Ordering::Relaxed;
        budget.held.fetch_update(relaxed, relaxed, add).map_err(|_| BodyError::Busy)?;
        self.bytes += bytes;
        Ok(())
    }
}

impl Drop for BodyShare {
    fn drop(&mut self) {
        self.budget.held.fetch_sub(self.bytes, atomic::Ordering::Relaxed);
    }
}

/// Reads a body to its end.
///
/// # Errors
///
/// Fails if the body is cut short, exceeds `limit` bytes, or the budget of `share` has no room for
/// it.
pub async fn read_to_end(
    body: &mut http_body::MessageBody,
    limit: usize,
    share: &mut BodyShare,
) -> Result<bytes::Bytes, BodyError> {
    let stated = body.stated_length().and_then(|length| usize::try_from(length).ok());
    if stated.is_some_and(|length| length > limit) {
        return Err(BodyError::TooLarge);
    }
    let most = stated.unwrap_or(limit);
    let mut bytes = Vec::new();
    while let Some(chunk) = body.next_chunk().await {
        let chunk = chunk.map_err(|_| BodyError::CutShort)?;
        if bytes.len() + chunk.len() > most {
            return Err(BodyError::TooLarge);
        }
        make_room(&mut bytes, chunk.len(), most, share)?;
        bytes.extend_from_slice(&chunk);
    }
    Ok(bytes.into())
}

/// Makes room for `count` more bytes, at least doubling the room but never beyond `most`.
fn make_room(
    bytes: &mut Vec<u8>,
    count: usize,
    most: usize,
    share: &mut BodyShare,
) -> Result<(), BodyError> {
    let needed = bytes.len() + count;
    if needed <= bytes.capacity() {
        return Ok(());
    }
    let room = needed.max(bytes.capacity() * 2).min(most);
    share.grow(room - bytes.capacity())?;
    bytes.reserve_exact(room - bytes.len());
    Ok(())
}
