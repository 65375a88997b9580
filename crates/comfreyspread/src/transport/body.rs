//! Reads bodies into memory, within limits per body and for all bodies of a server or client.
//!
//! Memory is charged to the budget as a body grows, not by its announced length, so a sender that
//! announces a large body and sends little uses little of the budget.

use crate::transport::http_body;
use std::{sync, sync::atomic};

/// Why a body could not be read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BodyError {
    /// The budget for all bodies is used up.
    Busy,
    /// The body ended early or is not valid.
    CutShort,
    /// The body is larger than allowed.
    TooLarge,
}

/// Memory budget in bytes, shared by all bodies of one server or client.
#[derive(Debug)]
pub struct BodyBudget {
    limit: usize,
    used: atomic::AtomicUsize,
}

/// Part of a [`BodyBudget`] that one body occupies until dropped.
#[derive(Debug)]
pub struct BodyReservation {
    budget: sync::Arc<BodyBudget>,
    bytes: usize,
    exempt: usize,
}

impl BodyBudget {
    /// Creates a budget of `limit` bytes.
    pub fn new(limit: usize) -> Self {
        Self { limit, used: atomic::AtomicUsize::new(0) }
    }

    /// Returns the number of reserved bytes.
    pub fn used(&self) -> usize {
        self.used.load(atomic::Ordering::Relaxed)
    }
}

impl BodyReservation {
    /// Creates an empty reservation.
    pub fn new(budget: sync::Arc<BodyBudget>) -> Self {
        Self { budget, bytes: 0, exempt: 0 }
    }

    /// Sets how many bytes need no budget, so that bodies of ordinary size are read also while large
    /// ones have used it up.
    pub fn with_exempt(mut self, bytes: usize) -> Self {
        self.exempt = bytes;
        self
    }

    /// Reserves more bytes.
    ///
    /// # Errors
    ///
    /// Fails if the budget has too few left.
    pub fn grow(&mut self, bytes: usize) -> Result<(), BodyError> {
        let budget = &self.budget;
        let exempt = bytes.min(self.exempt);
        let bytes = bytes - exempt;
        let add = |used: usize| used.checked_add(bytes).filter(|sum| *sum <= budget.limit);
        let relaxed = atomic::Ordering::Relaxed;
        budget.used.fetch_update(relaxed, relaxed, add).map_err(|_| BodyError::Busy)?;
        self.bytes += bytes;
        self.exempt -= exempt;
        Ok(())
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        self.budget.used.fetch_sub(self.bytes, atomic::Ordering::Relaxed);
    }
}

/// Reads a body into memory.
///
/// # Errors
///
/// Fails if the body is cut short, exceeds `limit` bytes, or the budget of `reservation` is
/// used up.
pub async fn read_to_end(
    body: &mut http_body::MessageBody,
    limit: usize,
    reservation: &mut BodyReservation,
) -> Result<bytes::Bytes, BodyError> {
    let announced = body.known_length().and_then(|length| usize::try_from(length).ok());
    if announced.is_some_and(|length| length > limit) {
        return Err(BodyError::TooLarge);
    }
    let max_length = announced.unwrap_or(limit);
    let mut bytes = Vec::new();
    while let Some(chunk) = body.next_chunk().await {
        let chunk = chunk.map_err(|error| {
            log::debug!("body: cut short. error={error}");
            BodyError::CutShort
        })?;
        if bytes.len() + chunk.len() > max_length {
            return Err(BodyError::TooLarge);
        }
        reserve(&mut bytes, chunk.len(), max_length, reservation)?;
        bytes.extend_from_slice(&chunk);
    }
    Ok(bytes.into())
}

/// Reserves capacity for `count` more bytes, at least doubling it up to `max_length`.
fn reserve(
    bytes: &mut Vec<u8>,
    count: usize,
    max_length: usize,
    reservation: &mut BodyReservation,
) -> Result<(), BodyError> {
    let needed = bytes.len() + count;
    if needed <= bytes.capacity() {
        return Ok(());
    }
    let capacity = needed.max(bytes.capacity() * 2).min(max_length);
    reservation.grow(capacity - bytes.capacity())?;
    bytes.reserve_exact(capacity - bytes.len());
    Ok(())
}
