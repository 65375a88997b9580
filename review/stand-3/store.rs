//! The platform's store: rows in tables, with versions, pages and a feed of changes.

use crate::http;
use std::{
    collections::BTreeMap,
    io::{self, BufReader},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

const ALPHABET: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// A row; removed rows have no value.
#[derive(Clone, Debug)]
struct Row {
    value: Option<String>,
    version: u64,
}

#[derive(Debug, Default)]
struct Rows {
    version: u64,
    tables: BTreeMap<String, BTreeMap<String, Row>>,
}

/// The store.
#[derive(Debug)]
pub struct Store {
    rows: Mutex<Rows>,
    changed: Condvar,
    started: Instant,
    is_down: AtomicBool,
}

impl Store {
    /// Starts a store on a free port.
    pub fn start() -> io::Result<(Arc<Self>, SocketAddr)> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let store = Arc::new(Self {
            rows: Mutex::default(),
            changed: Condvar::new(),
            started: Instant::now(),
            is_down: AtomicBool::new(false),
        });
        let shared = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = shared.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok((store, address))
    }

    /// Takes over all rows and the version of another store.
    pub fn copy_from(&self, other: &Self) {
        if let (Ok(mut own), Ok(rows)) = (self.rows.lock(), other.rows.lock()) {
            own.version = rows.version;
            own.tables = rows.tables.clone();
        }
    }

    /// Answers no more; open channels are closed, and so is each new one.
    pub fn stop(&self) {
        self.is_down.store(true, Ordering::Relaxed);
        self.changed.notify_all();
    }

    /// Writes a row, or removes it. Nothing changes if it has the value already.
    pub fn set(&self, table: &str, key: &str, value: Option<&str>) {
        let Ok(mut rows) = self.rows.lock() else { return };
        let version = rows.version + 1;
        let rows_of = rows.tables.entry(table.to_owned()).or_default();
        let known = rows_of.get(key).and_then(|row| row.value.as_deref());
        if known == value {
            return;
        }
        rows_of.insert(key.to_owned(), Row { value: value.map(str::to_owned), version });
        rows.version = version;
        self.changed.notify_all();
    }

    /// Returns the value of a row.
    pub fn get(&self, table: &str, key: &str) -> Option<String> {
        let rows = self.rows.lock().ok()?;
        rows.tables.get(table)?.get(key)?.value.clone()
    }

    fn serve(&self, stream: TcpStream) {
        stream.set_nodelay(true).ok();
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = http::read(&mut reader) {
            let (status, body) = self.answer(&request);
            if self.is_down.load(Ordering::Relaxed) {
                return;
            }
            let headers = [("Content-Type", "application/json"), ("Store-Era", "1")];
            let start = format!("HTTP/1.1 {status} answer");
            if http::write(&mut writer, &start, &headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &http::Message) -> (u16, String) {
        let table = request.query("table").unwrap_or_default();
        match request.path() {
            "/v1/rows-get" => {
                let Ok(rows) = self.rows.lock() else { return (503, String::new()) };
                let from = request.query("from").unwrap_or_default();
                let known = rows.tables.get(&table).into_iter().flatten();
                let present = known.filter(|(key, row)| row.value.is_some() && **key >= from);
                (200, self.page(&table, present, rows.version))
            }
            "/v1/rows-feed" => {
                let number = |name| request.query(name).and_then(|value| value.parse().ok());
                let after = number("after").unwrap_or(0);
                let wait = Duration::from_millis(number("wait_ms").unwrap_or(0));
                self.feed(&table, after, wait)
            }
            // The tables that the system keeps of its own decide nothing in these cases.
            "/v1/rows-tx" => (503, String::new()),
            _ => (404, String::new()),
        }
    }

    fn feed(&self, table: &str, after: u64, wait: Duration) -> (u16, String) {
        let until = Instant::now() + wait;
        let Ok(mut rows) = self.rows.lock() else { return (503, String::new()) };
        loop {
            let known = rows.tables.get(table).into_iter().flatten();
            let mut changes: Vec<_> = known.filter(|(_, row)| row.version > after).collect();
            let left = until.saturating_duration_since(Instant::now());
            let is_down = self.is_down.load(Ordering::Relaxed);
            if !changes.is_empty() || left.is_zero() || is_down {
                changes.sort_by_key(|(_, row)| row.version);
                return (200, self.page(table, changes.into_iter(), rows.version));
            }
            let Ok((woken, _)) = self.changed.wait_timeout(rows, left) else {
                return (503, String::new());
            };
            rows = woken;
        }
    }

    fn page<'rows>(
        &self,
        table: &str,
        rows: impl Iterator<Item = (&'rows String, &'rows Row)>,
        version: u64,
    ) -> String {
        let texts: Vec<String> = rows
            .map(|(key, row)| {
                let value = match &row.value {
                    Some(value) => format!("\"value\":\"{}\"", base64(value.as_bytes())),
                    None => "\"removed\":true".to_owned(),
                };
                let ver = row.version;
                format!(
                    "{{\"table\":\"{table}\",\"part\":\"\",\"key\":\"{key}\",{value},\"ver\":{ver}}}"
                )
            })
            .collect();
        let now = self.started.elapsed().as_millis();
        let rows = texts.join(",");
        format!("{{\"rows\":[{rows}],\"has_more\":false,\"ver\":{version},\"now_ms\":{now}}}")
    }
}

fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |index: usize| u32::from(chunk.get(index).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for position in 0..4 {
            if position <= chunk.len() {
                let index = bits >> (18 - 6 * position) & 63;
                text.push(char::from(ALPHABET[index as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}
