//! Log of all calls that the endpoint stand-ins of one process received.
//!
//! Memory is bounded: once the log is full, further calls are only counted as dropped, so that a
//! check over the log can tell that it is incomplete.

use crate::types;
use comfreyspread::runtime::lock_rank;
use std::time;

/// Position of a call in the log; empty if the call was dropped.
#[derive(Clone, Copy, Debug)]
pub struct LogPosition {
    index: Option<usize>,
}

#[derive(Debug, Default)]
struct LoggedCalls {
    records: Vec<types::CallRecord>,
    dropped: u64,
}

/// Calls received by all endpoints of the process.
#[derive(Debug)]
pub struct CallLog {
    started: time::Instant,
    limit: usize,
    calls: lock_rank::RankedLock<lock_rank::ClaimRank, LoggedCalls>,
}

impl CallLog {
    /// Creates an empty log that holds up to `limit` calls.
    pub fn new(limit: usize) -> Self {
        let calls = lock_rank::RankedLock::new(LoggedCalls::default());
        Self { started: time::Instant::now(), limit, calls }
    }

    /// Returns the time since the log was created.
    pub fn elapsed(&self) -> time::Duration {
        self.started.elapsed()
    }

    /// Appends a received call.
    pub fn push(&self, record: types::CallRecord) -> LogPosition {
        let mut calls = self.calls.lock();
        if calls.records.len() >= self.limit {
            calls.dropped += 1;
            return LogPosition { index: None };
        }
        calls.records.push(record);
        LogPosition { index: Some(calls.records.len() - 1) }
    }

    /// Records that the whole answer to a call was written.
    pub fn mark_finished(&self, position: LogPosition) {
        self.update(position, |record| record.finished = true);
    }

    /// Records that the caller disconnected before the call ended.
    pub fn mark_cancelled(&self, position: LogPosition) {
        self.update(position, |record| record.cancelled = true);
    }

    /// Returns a copy of all logged calls.
    pub fn snapshot(&self) -> types::CallRecords {
        let now = self.elapsed();
        let calls = self.calls.lock();
        types::CallRecords { dropped: calls.dropped, now, records: calls.records.clone() }
    }

    fn update(&self, position: LogPosition, update: impl FnOnce(&mut types::CallRecord)) {
        let Some(index) = position.index else { return };
        if let Some(record) = self.calls.lock().records.get_mut(index) {
            update(record);
        }
    }
}
