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
use serde_json::value;
use std::{future, sync::atomic, time};

/// Handler of the store's requests.
#[derive(Debug)]
pub struct StoreHandler {
    rows: lock_rank::RankedLock<lock_rank::PoolRank, VersionedRows>,
    changed: event_listener::Event,
    down: atomic::AtomicBool,
    unresponsive_changes: atomic::AtomicU64,
    unresponsive: atomic::AtomicBool,
    page_rows: atomic::AtomicUsize,
    history_gone: atomic::AtomicBool,
    full_reads: atomic::AtomicU64,
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
    value: ids::Text,
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

/// Copy of the store at one moment.
#[derive(Clone, Debug)]
pub struct StoreCopy {
    rows: VersionedRows,
}

#[derive(Clone, Debug, Default)]
struct VersionedRows {
    era: u64,
    version: u64,
    rows: IndexMap<(ids::Text, ids::Text), StoredRow>,
}

/// A row as it is sent.
#[derive(Clone, Debug)]
struct StoredRow {
    key: ids::Text,
    text: Box<value::RawValue>,
    is_removed: bool,
    /// Value as written, if the row was not written as raw text.
    value: Option<ids::Text>,
    value_bytes: usize,
    version: u64,
}

impl StoredRow {
    /// Creates a row; it is removed if `value` is none.
    fn new(table: &str, key: &str, value: Option<ids::Text>, version: u64) -> Self {
        let encoded = value.as_ref().map(|value| general_purpose::STANDARD.encode(&**value));
        let value_bytes = encoded.as_ref().map_or(0, String::len);
        let is_removed = value.is_none();
        let row = serde_json::json!({
            "table": table, "part": "", "key": key, "value": encoded, "ver": version,
            "removed": is_removed,
        });
        let text = value::to_raw_value(&row).expect("a row of JSON");
        Self { key: key.into(), text, is_removed, value, value_bytes, version }
    }

    /// Creates a row that is sent as `text`, which is JSON of any form.
    fn with_text(key: &str, text: &str, version: u64) -> Self {
        let value_bytes = text.len();
        let text = value::RawValue::from_string(text.to_owned()).expect("a row of JSON");
        Self { key: key.into(), text, is_removed: false, value: None, value_bytes, version }
    }
}

/// Reply with rows.
#[derive(Debug, serde::Serialize)]
struct RowsReply {
    rows: Vec<Box<value::RawValue>>,
    ver: u64,
    now_ms: u64,
    has_more: bool,
}

impl RowsReply {
    fn new(rows: Vec<StoredRow>, version: u64, now_ms: u64) -> Self {
        let rows = rows.into_iter().map(|row| row.text).collect();
        Self { rows, ver: version, now_ms, has_more: false }
    }
}

impl Default for StoreHandler {
    fn default() -> Self {
        Self {
            rows: lock_rank::RankedLock::new(VersionedRows { era: 1, ..VersionedRows::default() }),
            changed: event_listener::Event::new(),
            down: atomic::AtomicBool::new(false),
            unresponsive_changes: atomic::AtomicU64::new(0),
            unresponsive: atomic::AtomicBool::new(false),
            page_rows: atomic::AtomicUsize::new(usize::MAX),
            history_gone: atomic::AtomicBool::new(false),
            full_reads: atomic::AtomicU64::new(0),
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

    /// Sets how many rows the store sends at most in a page of a table.
    pub fn set_page_rows(&self, count: usize) {
        self.page_rows.store(count, atomic::Ordering::Relaxed);
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

    fn count_sent(&self, rows: &[StoredRow]) {
        let bytes: usize = rows.iter().map(|row| row.value_bytes).sum();
        self.sent_bytes.fetch_add(u64::try_from(bytes).unwrap_or(0), atomic::Ordering::Relaxed);
    }

    /// Sets a row, or removes it if `value` is none.
    pub fn put(&self, table: &str, key: &str, value: Option<ids::Text>) {
        self.store_row(table, key, |version| StoredRow::new(table, key, value, version));
    }

    /// Sets a row that is sent as `text`, which is JSON of any form.
    pub fn put_raw(&self, table: &str, key: &str, text: &str) {
        self.store_row(table, key, |version| StoredRow::with_text(key, text, version));
    }

    fn store_row<MakeRow>(&self, table: &str, key: &str, make_row: MakeRow)
    where
        MakeRow: FnOnce(u64) -> StoredRow,
    {
        let mut rows = self.rows.lock();
        rows.version += 1;
        let row = make_row(rows.version);
        rows.rows.insert((table.into(), key.into()), row);
        drop(rows);
        self.changed.notify(usize::MAX);
    }

    /// Returns the rows of a table, by key.
    pub fn rows(&self, table: &str) -> Vec<(ids::Text, ids::Text)> {
        let rows = self.rows.lock();
        let of_table = rows.rows.iter().filter(|((row_table, _), _)| **row_table == *table);
        of_table.filter_map(|((_, key), row)| Some((key.clone(), row.value.clone()?))).collect()
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
            known.filter(|row| !row.is_removed).map_or(0, |row| row.version)
        };
        if changes.expected_rev.iter().any(|row| version(row) != row.ver) {
            return http_message::Response::new(StatusCode::PRECONDITION_FAILED);
        }
        let decode = |row: &ChangedRow| {
            let bytes = general_purpose::STANDARD.decode(&*row.value).ok()?;
            String::from_utf8(bytes).ok().map(ids::Text::from)
        };
        rows.version += 1;
        let new_version = rows.version;
        for row in changes.writes {
            let stored = StoredRow::new(&row.table, &row.key, decode(&row), new_version);
            rows.rows.insert((row.table, row.key), stored);
        }
        for row in changes.remove {
            let stored = StoredRow::new(&row.table, &row.key, None, new_version);
            rows.rows.insert((row.table, row.key), stored);
        }
        drop(rows);
        self.changed.notify(usize::MAX);
        stand_in_server::json_response(&serde_json::json!({"ver": new_version}))
    }

    /// Returns the rows of a table with versions above `after`, and the version of the store.
    /// Removed rows are included if `include_removed`.
    fn read_rows(&self, table: &str, after: u64, include_removed: bool) -> (Vec<StoredRow>, u64) {
        let rows = self.rows.lock();
        let matching = rows.rows.iter().filter(|((row_table, _), row)| {
            **row_table == *table && row.version > after && (include_removed || !row.is_removed)
        });
        (matching.map(|(_, row)| row.clone()).collect(), rows.version)
    }

    /// Returns the rows of a table from the key `first` on, as far as they fit in a page.
    fn read_page(&self, table: &str, first: &str) -> RowsReply {
        let (rows, version) = self.read_rows(table, 0, false);
        let mut rows: Vec<_> = rows.into_iter().filter(|row| *row.key >= *first).collect();
        rows.sort_by(|one, other| one.key.cmp(&other.key));
        let page_rows = self.page_rows.load(atomic::Ordering::Relaxed);
        let has_more = rows.len() > page_rows;
        rows.truncate(page_rows);
        self.count_sent(&rows);
        RowsReply { has_more, ..RowsReply::new(rows, version, self.now_ms()) }
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
                let now_ms = self.now_ms();
                return stand_in_server::json_response(&RowsReply::new(rows, version, now_ms));
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
                let first = text_field("from").unwrap_or_default().replace("%01", "\u{1}");
                stand_in_server::json_response(&self.read_page(table, &first))
            }
            "/v1/rows-feed" => {
                let wait = time::Duration::from_millis(number_field("wait_ms"));
                self.poll_changes(table, number_field("after"), wait).await
            }
            "/v1/rows-tx" => {
                stand_in_server::with_json(request, |changes| self.change_rows(changes))
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
