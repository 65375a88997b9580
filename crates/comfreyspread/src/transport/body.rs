//! Reads bodies into memory, within limits per body and for all bodies of a server or client.
//!
//! Memory is charged to the budget as a body grows, not by its announced length, so a sender that
//! announces a large body and sends little uses little of the budget.

use crate::transport::http_body;
use std::{io, mem, sync, sync::atomic};

/// Size of the blocks that a body is collected in.
const BLOCK_BYTES: usize = 64 * 1024;

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

/// Counts the memory that a body takes up while it is read.
pub trait MemoryAccount {
    /// Reserves more bytes.
    ///
    /// # Errors
    ///
    /// Fails if too few are left.
    fn grow(&mut self, bytes: usize) -> Result<(), BodyError>;
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

    /// Whether most of the budget is reserved, so that unfinished bodies should make room.
    pub fn is_short(&self) -> bool {
        self.used() >= self.limit / 4 * 3
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
}

impl MemoryAccount for BodyReservation {
    fn grow(&mut self, bytes: usize) -> Result<(), BodyError> {
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
/// Fails if the body is cut short, exceeds `limit` bytes, or the budget of `account` is
/// used up.
pub async fn read_to_end<Account>(
    body: &mut http_body::MessageBody,
    limit: usize,
    account: &mut Account,
) -> Result<bytes::Bytes, BodyError>
where
    Account: MemoryAccount,
{
    let announced = body.known_length().and_then(|length| usize::try_from(length).ok());
    if announced.is_some_and(|length| length > limit) {
        return Err(BodyError::TooLarge);
    }
    let mut blocks = BodyBlocks::new(announced.unwrap_or(limit));
    while let Some(chunk) = body.next_chunk().await {
        let chunk = chunk.map_err(|error| {
            log::debug!("body: not read to its end. error={error}");
            if error.kind() == io::ErrorKind::OutOfMemory {
                BodyError::Busy
            } else {
                BodyError::CutShort
            }
        })?;
        blocks.append(&chunk, account)?;
    }
    Ok(blocks.join())
}

/// The bytes of a body so far, in blocks of one size, which leave no gaps in the heap. A buffer that
/// doubles leaves one of each size that it had, and is copied, so bodies would take up to twice the
/// memory that is charged for them.
struct BodyBlocks {
    full: Vec<Vec<u8>>,
    last: Vec<u8>,
    room: usize,
}

impl BodyBlocks {
    /// Creates blocks for at most `max_length` bytes.
    fn new(max_length: usize) -> Self {
        Self { full: Vec::new(), last: Vec::new(), room: max_length }
    }

    fn append<Account>(&mut self, mut chunk: &[u8], account: &mut Account) -> Result<(), BodyError>
    where
        Account: MemoryAccount,
    {
        if chunk.len() > self.room {
            return Err(BodyError::TooLarge);
        }
        while !chunk.is_empty() {
            if self.last.len() == BLOCK_BYTES {
                self.full.push(mem::take(&mut self.last));
            }
            let count = chunk.len().min(BLOCK_BYTES - self.last.len());
            self.reserve(count, account)?;
            let (head, rest) = chunk.split_at(count);
            self.last.extend_from_slice(head);
            self.room -= count;
            chunk = rest;
        }
        Ok(())
    }

    /// Reserves capacity for `count` more bytes in the last block, at least doubling it up to the
    /// size of a block or the rest of the body.
    fn reserve<Account>(&mut self, count: usize, account: &mut Account) -> Result<(), BodyError>
    where
        Account: MemoryAccount,
    {
        let needed = self.last.len() + count;
        let capacity = self.last.capacity();
        if needed <= capacity {
            return Ok(());
        }
        let max_capacity = BLOCK_BYTES.min(self.last.len() + self.room);
        let least = if self.full.is_empty() { capacity * 2 } else { max_capacity };
        let new_capacity = needed.max(least).min(max_capacity);
        account.grow(new_capacity - capacity)?;
        self.last.reserve_exact(new_capacity - self.last.len());
        Ok(())
    }

    fn join(self) -> bytes::Bytes {
        if self.full.is_empty() {
            return self.last.into();
        }
        let length = self.full.len() * BLOCK_BYTES + self.last.len();
        let mut bytes = Vec::with_capacity(length);
        for block in self.full {
            bytes.extend_from_slice(&block);
        }
        bytes.extend_from_slice(&self.last);
        bytes.into()
    }
}
