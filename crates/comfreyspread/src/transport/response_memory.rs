//! Memory that the responses of peers take up before their callers have them.
//!
//! All readers of one client charge what they hold of a response, heads and unfinished events included,
//! to one [`ResponseMemory`]. When it is used up, the largest response is revoked: its reads fail, and
//! whoever holds it frees it. The first 16 KiB of each are not counted, so ordinary responses cost
//! nothing and never wait for memory.

use crate::runtime::{lock_rank, response_metrics};
use comfreyspread_policy::response_budget;
use comfreyspread_schema::ids;
use futures_util::task::AtomicWaker;
use indexmap::IndexMap;
use std::{
    io,
    sync::{self, atomic},
    task,
};

/// Bytes of each response that need no part of the memory.
const EXEMPT_BYTES: usize = 16 * 1024;

/// Memory for the responses of one client.
#[derive(Debug)]
pub struct ResponseMemory {
    table: lock_rank::RankedLock<lock_rank::ResponseMemoryRank, MemoryTable>,
    metrics: response_metrics::ResponseMetrics,
}

#[derive(Debug)]
struct MemoryTable {
    budget: response_budget::ResponseBudget,
    signals: IndexMap<ids::HolderId, sync::Arc<RevokeSignal>>,
}

/// Tells the reader of a response that it has to give way.
#[derive(Debug, Default)]
struct RevokeSignal {
    is_revoked: atomic::AtomicBool,
    waker: AtomicWaker,
}

/// What is held of one response; dropping it gives the memory back.
#[derive(Debug)]
pub struct ResponseHolder {
    memory: sync::Arc<ResponseMemory>,
    /// Set once the response has exceeded what is exempt.
    entry: sync::OnceLock<HolderEntry>,
}

/// A response that is counted.
#[derive(Debug)]
struct HolderEntry {
    id: ids::HolderId,
    signal: sync::Arc<RevokeSignal>,
}

/// A response had to give way for others.
#[derive(Clone, Copy, Debug, Eq, thiserror::Error, PartialEq)]
#[error("the responses that are read have used up the memory for them")]
pub struct MemoryRevoked;

impl From<MemoryRevoked> for io::Error {
    fn from(error: MemoryRevoked) -> Self {
        Self::new(io::ErrorKind::OutOfMemory, error)
    }
}

impl ResponseMemory {
    /// Creates memory of `limit` bytes.
    pub fn new(limit: usize) -> Self {
        let budget = response_budget::ResponseBudget::new(limit);
        let table = MemoryTable { budget, signals: IndexMap::new() };
        let metrics = response_metrics::ResponseMetrics::default();
        Self { table: lock_rank::RankedLock::new(table), metrics }
    }

    /// Sets the metrics that tell how much is used, and count the responses that gave way.
    pub fn with_metrics(self, metrics: response_metrics::ResponseMetrics) -> Self {
        Self { metrics, ..self }
    }

    /// Returns a holder of nothing.
    pub fn hold(self: &sync::Arc<Self>) -> ResponseHolder {
        ResponseHolder { memory: self.clone(), entry: sync::OnceLock::new() }
    }

    /// Returns bytes that are counted until the last copy is dropped, as when a caller has read them.
    pub fn hold_bytes(self: &sync::Arc<Self>, bytes: Vec<u8>) -> bytes::Bytes {
        if bytes.len() <= EXEMPT_BYTES {
            return bytes.into();
        }
        let holder = self.hold();
        let id = holder.entry.get_or_init(|| self.add()).id;
        self.pin(id);
        self.resize(id, bytes.len());
        bytes::Bytes::from_owner(PinnedBytes { bytes: bytes.into(), _holder: holder })
    }

    fn add(&self) -> HolderEntry {
        let signal = sync::Arc::<RevokeSignal>::default();
        let mut table = self.table.lock();
        let id = table.budget.add();
        table.signals.insert(id, signal.clone());
        HolderEntry { id, signal }
    }

    fn resize(&self, id: ids::HolderId, bytes: usize) {
        let mut table = self.table.lock();
        let revoked = table.budget.resize(id, bytes);
        let signals: Vec<_> =
            revoked.iter().filter_map(|holder| table.signals.shift_remove(holder)).collect();
        self.metrics.set_used(table.budget.used());
        drop(table);
        for signal in signals {
            self.metrics.count_revoked();
            signal.is_revoked.store(true, atomic::Ordering::Release);
            signal.waker.wake();
        }
    }

    fn pin(&self, id: ids::HolderId) {
        let mut table = self.table.lock();
        table.budget.pin(id);
        table.signals.shift_remove(&id);
    }

    fn remove(&self, id: ids::HolderId) {
        let mut table = self.table.lock();
        table.budget.remove(id);
        table.signals.shift_remove(&id);
        self.metrics.set_used(table.budget.used());
    }
}

impl ResponseHolder {
    /// Sets how many bytes are held.
    ///
    /// # Errors
    ///
    /// Fails if the response has to give way; the bytes are to be freed then.
    pub fn resize(&self, bytes: usize) -> Result<(), MemoryRevoked> {
        if !self.is_counted() && bytes <= EXEMPT_BYTES {
            return Ok(());
        }
        let entry = self.entry.get_or_init(|| self.memory.add());
        self.memory.resize(entry.id, bytes);
        entry.check()
    }

    /// Whether the response has exceeded what is exempt.
    pub fn is_counted(&self) -> bool {
        self.entry.get().is_some()
    }

    /// Returns whether the response has to give way; if not, the task is woken once it has to.
    pub fn poll_revoked(&self, cx: &task::Context<'_>) -> bool {
        let Some(entry) = self.entry.get() else { return false };
        entry.signal.waker.register(cx.waker());
        entry.check().is_err()
    }

    /// Returns complete bytes that are counted until the last copy is dropped.
    pub fn pin(self, bytes: bytes::Bytes) -> bytes::Bytes {
        let Some(entry) = self.entry.get() else { return bytes };
        self.memory.pin(entry.id);
        bytes::Bytes::from_owner(PinnedBytes { bytes, _holder: self })
    }
}

impl HolderEntry {
    fn check(&self) -> Result<(), MemoryRevoked> {
        let is_revoked = self.signal.is_revoked.load(atomic::Ordering::Acquire);
        if is_revoked { Err(MemoryRevoked) } else { Ok(()) }
    }
}

impl Drop for ResponseHolder {
    fn drop(&mut self) {
        if let Some(entry) = self.entry.get() {
            self.memory.remove(entry.id);
        }
    }
}

/// Complete bytes, and what counts them.
struct PinnedBytes {
    bytes: bytes::Bytes,
    _holder: ResponseHolder,
}

impl AsRef<[u8]> for PinnedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
