//! Stand-in for the store of the users' platform: versioned rows, and long polls for changes.

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
    request_count: atomic::AtomicU64,
    sent_bytes: atomic::AtomicU64,
    started: time::Instant,
}

/// A row in a change of rows.
#[derive(Debug, serde::Deserialize)]
struct ChangedRow {
    table: ids::Text,
    key: ids::Text,
    #[serde(default)]
    ver: u64,
    #[serde(default)]
    value: String,
}

/// Changes of rows, all or none of which are made.
#[derive(Debug, serde::Deserialize)]
struct RowChanges {
    #[serde(default)]
    expected_rev: Vec<ChangedRow>,
    #[serde(default)]
    writes: Vec<ChangedRow>,
    #[serde(default)]
    remove: Vec<ChangedRow>,
}

#[derive(Debug, Default)]
struct VersionedRows {
    version: u64,
    rows: IndexMap<(ids::Text, ids::Text), (Option<ids::Text>, u64)>,
}

impl Default for StoreHandler {
    fn default() -> Self {
        Self {
            rows: lock_rank::RankedLock::new(VersionedRows::default()),
            changed: event_listener::Event::new(),
            down: atomic::AtomicBool::new(false),
            unresponsive_changes: atomic::AtomicU64::new(0),
            unresponsive: atomic::AtomicBool::new(false),
            request_count: atomic::AtomicU64::new(0),
            sent_bytes: atomic::AtomicU64::new(0),
            started: time::Instant::now(),
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

    /// Returns the rows of a table, by key.
    pub fn rows(&self, table: &str) -> Vec<(ids::Text, ids::Text)> {
        let rows = self.rows.lock();
        let of_table = rows.rows.iter().filter(|((row_table, _), _)| **row_table == *table);
        of_table.filter_map(|((_, key), (value, _))| Some((key.clone(), value.clone()?))).collect()
    }

    /// Returns the time of the store's steady clock.
    fn now_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Makes changes if all rows have the versions that they expect.
    fn change_rows(&self, changes: RowChanges) -> http_message::Response {
        let mut rows = self.rows.lock();
        let version = |row: &ChangedRow| {
            let known = rows.rows.get(&(row.table.clone(), row.key.clone()));
            known.filter(|(value, _)| value.is_some()).map_or(0, |(_, version)| *version)
        };
        if changes.expected_rev.iter().any(|row| version(row) != row.ver) {
            return http_message::Response::new(StatusCode::PRECONDITION_FAILED);
        }
        let decode = |row: &ChangedRow| {
            let bytes = general_purpose::STANDARD.decode(&row.value).ok()?;
            String::from_utf8(bytes).ok().map(ids::Text::from)
        };
        rows.version += 1;
        let new_version = rows.version;
        for row in changes.writes {
            let value = decode(&row);
            rows.rows.insert((row.table, row.key), (value, new_version));
        }
        for row in changes.remove {
            rows.rows.insert((row.table, row.key), (None, new_version));
        }
        drop(rows);
        self.changed.notify(usize::MAX);
        stand_in_server::json_response(&serde_json::json!({"ver": new_version}))
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

    /// Waits up to `wait` for rows with versions above `after`.
    async fn poll_changes(
        &self,
        table: &str,
        after: u64,
        wait: time::Duration,
    ) -> serde_json::Value {
        let deadline = time::Instant::now() + wait;
        let unresponsive_changes = self.unresponsive_changes.load(atomic::Ordering::Relaxed);
        loop {
            let listener = self.changed.listen();
            if self.unresponsive_changes.load(atomic::Ordering::Relaxed) > unresponsive_changes {
                future::pending::<()>().await;
            }
            let (rows, version) = self.read_rows(table, after, true);
            let timed_out = time::Instant::now() >= deadline;
            if !rows.is_empty() || timed_out || self.down.load(atomic::Ordering::Relaxed) {
                self.count_sent(&rows);
                return serde_json::json!({"rows": rows, "ver": version, "now_ms": self.now_ms()});
            }
            let timer = async {
                async_io::Timer::at(deadline).await;
            };
            listener.or(timer).await;
        }
    }
}

impl http_server::RequestHandler for StoreHandler {
    async fn handle(&self, request: http_server::ServerRequest) -> http_message::Response {
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
                let (rows, version) = self.read_rows(table, 0, false);
                self.count_sent(&rows);
                let page = serde_json::json!({"rows": rows, "ver": version, "has_more": false,
                    "now_ms": self.now_ms()});
                stand_in_server::json_response(&page)
            }
            "/v1/rows-feed" => {
                let wait = time::Duration::from_millis(number_field("wait_ms"));
                stand_in_server::json_response(
                    &self.poll_changes(table, number_field("after"), wait).await,
                )
            }
            "/v1/rows-tx" => {
                stand_in_server::with_json(&request, |changes| self.change_rows(changes))
            }
            _ => http_message::Response::new(StatusCode::NOT_FOUND),
        }
    }

    fn refuse(&self, _fault: http_server::RequestError) -> http_message::Response {
        stand_in_server::bad_request()
    }
}
