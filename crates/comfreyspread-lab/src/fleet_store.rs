//! Stand-in for the store of the users' platform: rows with versions, and questions that wait for
//! changes.

use crate::stand_in_server;
use base64::{Engine as _, engine::general_purpose};
use comfreyspread::{
    runtime::rank,
    transport::{http_message, http_server},
};
use comfreyspread_schema::ids;
use futures_lite::FutureExt as _;
use http::StatusCode;
use indexmap::IndexMap;
use std::{future, sync::atomic, time};

/// The platform's store.
#[derive(Debug)]
pub struct StoreHandler {
    rows: rank::RankedLock<rank::PoolRank, StoreRows>,
    changed: event_listener::Event,
    down: atomic::AtomicBool,
    silences: atomic::AtomicU64,
    silent: atomic::AtomicBool,
    calls: atomic::AtomicU64,
}

#[derive(Debug, Default)]
struct StoreRows {
    version: u64,
    rows: IndexMap<(ids::Text, ids::Text), (Option<ids::Text>, u64)>,
}

impl Default for StoreHandler {
    fn default() -> Self {
        Self {
            rows: rank::RankedLock::new(StoreRows::default()),
            changed: event_listener::Event::new(),
            down: atomic::AtomicBool::new(false),
            silences: atomic::AtomicU64::new(0),
            silent: atomic::AtomicBool::new(false),
            calls: atomic::AtomicU64::new(0),
        }
    }
}

impl StoreHandler {
    /// Sets whether it refuses all calls.
    pub fn set_down(&self, down: bool) {
        self.down.store(down, atomic::Ordering::Relaxed);
    }

    /// Sets whether it answers nothing; what it was asked before is never answered.
    pub fn set_silent(&self, silent: bool) {
        self.silences.fetch_add(1, atomic::Ordering::Relaxed);
        self.silent.store(silent, atomic::Ordering::Relaxed);
    }

    /// Returns the calls that it has received.
    pub fn calls(&self) -> u64 {
        self.calls.load(atomic::Ordering::Relaxed)
    }

    /// Sets a row, or removes it.
    pub fn put(&self, table: &str, key: &str, value: Option<ids::Text>) {
        let mut rows = self.rows.lock();
        rows.version += 1;
        let version = rows.version;
        rows.rows.insert((table.into(), key.into()), (value, version));
        drop(rows);
        self.changed.notify(usize::MAX);
    }

    /// Returns the rows of a table that are newer than `after`; removed ones only with `removed`.
    fn read(&self, table: &str, after: u64, removed: bool) -> (Vec<serde_json::Value>, u64) {
        let rows = self.rows.lock();
        let newer = rows.rows.iter().filter(|((of, _), (value, version))| {
            **of == *table && *version > after && (removed || value.is_some())
        });
        let row =
            |((_, key), (value, version)): (&(ids::Text, ids::Text), &(Option<ids::Text>, u64))| {
                let encoded =
                    value.as_ref().map(|value| general_purpose::STANDARD.encode(&**value));
                serde_json::json!({
                    "table": table, "part": "", "key": key, "value": encoded, "ver": version,
                    "removed": value.is_none(),
                })
            };
        (newer.map(row).collect(), rows.version)
    }

    async fn feed(&self, table: &str, after: u64, wait: time::Duration) -> serde_json::Value {
        let until = time::Instant::now() + wait;
        let silences = self.silences.load(atomic::Ordering::Relaxed);
        loop {
            let listener = self.changed.listen();
            if self.silences.load(atomic::Ordering::Relaxed) > silences {
                future::pending::<()>().await;
            }
            let (rows, version) = self.read(table, after, true);
            let late = time::Instant::now() >= until;
            if !rows.is_empty() || late || self.down.load(atomic::Ordering::Relaxed) {
                return serde_json::json!({"rows": rows, "ver": version, "now_ms": 0});
            }
            let timer = async {
                async_io::Timer::at(until).await;
            };
            listener.or(timer).await;
        }
    }
}

impl http_server::RequestHandler for StoreHandler {
    async fn handle(&self, request: http_server::ServerRequest) -> http_message::Response {
        self.calls.fetch_add(1, atomic::Ordering::Relaxed);
        if self.silent.load(atomic::Ordering::Relaxed) {
            future::pending::<()>().await;
        }
        if self.down.load(atomic::Ordering::Relaxed) {
            return http_message::Response::new(StatusCode::SERVICE_UNAVAILABLE);
        }
        let query = request.query().unwrap_or_default();
        let field = |name: &str| {
            query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
        };
        let number = |name: &str| field(name).and_then(|value| value.parse().ok()).unwrap_or(0);
        let table = field("table").unwrap_or_default();
        match request.path() {
            "/v1/rows-get" => {
                let (rows, version) = self.read(table, 0, false);
                let page = serde_json::json!({"rows": rows, "ver": version, "has_more": false});
                stand_in_server::json_response(&page)
            }
            "/v1/rows-feed" => {
                let wait = time::Duration::from_millis(number("wait_ms"));
                stand_in_server::json_response(&self.feed(table, number("after"), wait).await)
            }
            _ => http_message::Response::new(StatusCode::NOT_FOUND),
        }
    }

    fn refuse(&self, _fault: http_server::RequestFault) -> http_message::Response {
        stand_in_server::bad_request()
    }
}
