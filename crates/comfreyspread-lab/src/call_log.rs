//! Exact record of the calls that the endpoint stand-ins of one process received.
//!
//! Memory is bounded: once the log is full, further calls are counted as dropped, so that a proof
//! over an incomplete log can tell.

use crate::types;
use comfreyspread::runtime::lock_rank;
use std::time;

/// Place of a call in the log.
#[derive(Clone, Copy, Debug)]
pub struct LogPlace {
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

    /// Adds a call that has arrived.
    pub fn push(&self, record: types::CallRecord) -> LogPlace {
        let mut calls = self.calls.lock();
        if calls.records.len() >= self.limit {
            calls.dropped += 1;
            return LogPlace { index: None };
        }
        calls.records.push(record);
        LogPlace { index: Some(calls.records.len() - 1) }
    }

    /// Notes that the whole answer to a call was written.
    pub fn finish(&self, place: LogPlace) {
        self.update(place, |record| record.finished = true);
    }

    /// Notes that the other side went away before the call ended.
    pub fn cancel(&self, place: LogPlace) {
        self.update(place, |record| record.cancelled = true);
    }

    /// Returns all calls.
    pub fn collect(&self) -> types::CallRecords {
        let now = self.elapsed();
        let calls = self.calls.lock();
        types::CallRecords { dropped: calls.dropped, now, records: calls.records.clone() }
    }

    fn update(&self, place: LogPlace, change: impl FnOnce(&mut types::CallRecord)) {
        let Some(index) = place.index else { return };
        if let Some(record) = self.calls.lock().records.get_mut(index) {
            change(record);
        }
    }
}
