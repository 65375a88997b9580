//! Stand-in for the store of the users' platform: versioned rows, long polls for changes, and a
//! restore from a copy, which begins an era.

use crate::stand_in_server;
use base64::{Engine as _, engine::general_purpose};
use comfreyspread::{
    runtime::lock_rank,
    transport::{http_message, http_server},
};
use comfreyspread_schema::ids;
use futures_lite::FutureExt as _;
use http::StatusCode;
use indexmap::IndexMap;
use std::{future, sync::atomic, time};

/// Handler of the store's requests.
#[derive(Debug)]
pub struct StoreHandler {
    rows: lock_rank::RankedLock<lock_rank::PoolRank, VersionedRows>,
    changed: event_listener::Event,
    down: atomic::AtomicBool,
    unresponsive_changes: atomic::AtomicU64,
    unresponsive: atomic::AtomicBool,
    history_gone: atomic::AtomicBool,
    full_reads: atomic::AtomicU64,
    request_count: atomic::AtomicU64,
    sent_bytes: atomic::AtomicU64,
}

/// Copy of the store at one moment.
#[derive(Clone, Debug)]
pub struct StoreCopy {
    rows: VersionedRows,
}

#[derive(Clone, Debug, Default)]
struct VersionedRows {
    era: u64,
    version: u64,
    rows: IndexMap<(ids::Text, ids::Text), (Option<ids::Text>, u64)>,
}

impl Default for StoreHandler {
    fn default() -> Self {
        Self {
            rows: lock_rank::RankedLock::new(VersionedRows { era: 1, ..VersionedRows::default() }),
            changed: event_listener::Event::new(),
            down: atomic::AtomicBool::new(false),
            unresponsive_changes: atomic::AtomicU64::new(0),
            unresponsive: atomic::AtomicBool::new(false),
            history_gone: atomic::AtomicBool::new(false),
            full_reads: atomic::AtomicU64::new(0),
            request_count: atomic::AtomicU64::new(0),
            sent_bytes: atomic::AtomicU64::new(0),
        }
    }
}

impl StoreHandler {
    /// Sets whether the store rejects all requests with status 503.
    pub fn set_down(&self, down: bool) {
        self.down.store(down, atomic::Ordering::Relaxed);
    }

    /// Sets whether the store is unresponsive; requests then pending are never answered.
    pub fn set_unresponsive(&self, unresponsive: bool) {
        self.unresponsive_changes.fetch_add(1, atomic::Ordering::Relaxed);
        self.unresponsive.store(unresponsive, atomic::Ordering::Relaxed);
    }

    /// Returns a copy of all rows.
    pub fn copy(&self) -> StoreCopy {
        StoreCopy { rows: self.rows.lock().clone() }
    }

    /// Restores the rows of a copy and begins an era, in which versions go on from the copy's.
    pub fn restore(&self, copy: &StoreCopy) {
        let mut rows = self.rows.lock();
        let era = rows.era + 1;
        *rows = VersionedRows { era, ..copy.rows.clone() };
        drop(rows);
        self.changed.notify(usize::MAX);
    }

    /// Sets the era that the store states, as an answer that is late does.
    pub fn set_era(&self, era: u64) {
        self.rows.lock().era = era;
    }

    /// Sets whether the store has no history, so that it refuses all requests for changes.
    pub fn set_history_gone(&self, gone: bool) {
        self.history_gone.store(gone, atomic::Ordering::Relaxed);
        self.changed.notify(usize::MAX);
    }

    /// Returns the number of pages of whole tables read so far.
    pub fn full_reads(&self) -> u64 {
        self.full_reads.load(atomic::Ordering::Relaxed)
    }

    /// Returns the number of requests received.
    pub fn request_count(&self) -> u64 {
        self.request_count.load(atomic::Ordering::Relaxed)
    }

    /// Returns the size of all row values sent so far, in encoded bytes.
    pub fn sent_bytes(&self) -> u64 {
        self.sent_bytes.load(atomic::Ordering::Relaxed)
    }

    fn count_sent(&self, rows: &[serde_json::Value]) {
        let size = |row: &serde_json::Value| row["value"].as_str().map_or(0, str::len);
        let bytes: usize = rows.iter().map(size).sum();
        self.sent_bytes.fetch_add(u64::try_from(bytes).unwrap_or(0), atomic::Ordering::Relaxed);
    }

    /// Sets a row, or removes it if `value` is none.
    pub fn put(&self, table: &str, key: &str, value: Option<ids::Text>) {
        let mut rows = self.rows.lock();
        rows.version += 1;
        let version = rows.version;
        rows.rows.insert((table.into(), key.into()), (value, version));
        drop(rows);
        self.changed.notify(usize::MAX);
    }

    /// Returns the rows of a table with versions above `after`, and the version of the store.
    /// Removed rows are included if `include_removed`.
    fn read_rows(
        &self,
        table: &str,
        after: u64,
        include_removed: bool,
    ) -> (Vec<serde_json::Value>, u64) {
        let rows = self.rows.lock();
        let matching = rows.rows.iter().filter(|((row_table, _), (value, version))| {
            **row_table == *table && *version > after && (include_removed || value.is_some())
        });
        let to_json =
            |((_, key), (value, version)): (&(ids::Text, ids::Text), &(Option<ids::Text>, u64))| {
                let encoded =
                    value.as_ref().map(|value| general_purpose::STANDARD.encode(&**value));
                serde_json::json!({
                    "table": table, "part": "", "key": key, "value": encoded, "ver": version,
                    "removed": value.is_none(),
                })
            };
        (matching.map(to_json).collect(), rows.version)
    }

    /// Whether the store lacks the history after this version.
    fn lacks_history(&self, after: u64) -> bool {
        self.history_gone.load(atomic::Ordering::Relaxed) || after > self.rows.lock().version
    }

    /// Waits up to `wait` for rows with versions above `after`.
    async fn poll_changes(
        &self,
        table: &str,
        after: u64,
        wait: time::Duration,
    ) -> http_message::Response {
        let deadline = time::Instant::now() + wait;
        let unresponsive_changes = self.unresponsive_changes.load(atomic::Ordering::Relaxed);
        loop {
            let listener = self.changed.listen();
            if self.unresponsive_changes.load(atomic::Ordering::Relaxed) > unresponsive_changes {
                future::pending::<()>().await;
            }
            if self.lacks_history(after) {
                return http_message::Response::new(StatusCode::GONE);
            }
            let (rows, version) = self.read_rows(table, after, true);
            let timed_out = time::Instant::now() >= deadline;
            if !rows.is_empty() || timed_out || self.down.load(atomic::Ordering::Relaxed) {
                self.count_sent(&rows);
                let page = serde_json::json!({"rows": rows, "ver": version, "now_ms": 0});
                return stand_in_server::json_response(&page);
            }
            let timer = async {
                async_io::Timer::at(deadline).await;
            };
            listener.or(timer).await;
        }
    }
}

impl StoreHandler {
    async fn respond(&self, request: &http_server::ServerRequest) -> http_message::Response {
        self.request_count.fetch_add(1, atomic::Ordering::Relaxed);
        if self.unresponsive.load(atomic::Ordering::Relaxed) {
            future::pending::<()>().await;
        }
        if self.down.load(atomic::Ordering::Relaxed) {
            return http_message::Response::new(StatusCode::SERVICE_UNAVAILABLE);
        }
        let query = request.query().unwrap_or_default();
        let text_field = |name: &str| {
            query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
        };
        let number_field =
            |name: &str| text_field(name).and_then(|value| value.parse().ok()).unwrap_or(0);
        let table = text_field("table").unwrap_or_default();
        match request.path() {
            "/v1/rows-get" => {
                self.full_reads.fetch_add(1, atomic::Ordering::Relaxed);
                let (rows, version) = self.read_rows(table, 0, false);
                self.count_sent(&rows);
                let page = serde_json::json!({"rows": rows, "ver": version, "has_more": false});
                stand_in_server::json_response(&page)
            }
            "/v1/rows-feed" => {
                let wait = time::Duration::from_millis(number_field("wait_ms"));
                self.poll_changes(table, number_field("after"), wait).await
            }
            _ => http_message::Response::new(StatusCode::NOT_FOUND),
        }
    }
}

impl http_server::RequestHandler for StoreHandler {
    async fn handle(&self, request: http_server::ServerRequest) -> http_message::Response {
        let mut response = self.respond(&request).await;
        response.insert_header("store-era", self.rows.lock().era.to_string());
        response
    }

    fn refuse(&self, _fault: http_server::RequestError) -> http_message::Response {
        stand_in_server::bad_request()
    }
}
