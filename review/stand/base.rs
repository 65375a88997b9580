//! Small stand-ins for the platform's store, for servers and for clients, and the start of the
//! gateway processes with the command of the deploy file. Standard library only.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt as _;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};
use std::{env, fs, path::PathBuf, thread};

pub const HEARTBEAT: Duration = Duration::from_millis(1200);
/// Descriptors of a process, as `limits.max_fds` of the site.
pub const MAX_FDS: u64 = 4100;
pub const HOST: &str = "desk.example";

pub fn trouble() -> bool {
    env::var("TROUBLE").map_or(true, |value| value != "0")
}

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// What was sent, answered and run, with the time since the start of the script.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    lines: Arc<Mutex<Vec<(Instant, String)>>>,
}

impl Record {
    pub fn new() -> Self {
        Self { started: Instant::now(), lines: Arc::default() }
    }

    pub fn add(&self, line: impl Into<String>) {
        self.lines.lock().unwrap().push((Instant::now(), line.into()));
    }

    pub fn save(&self, folder: &str) {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort();
        let text: String = lines
            .iter()
            .map(|(at, line)| format!("{:9.3} {line}\n", (*at - self.started).as_secs_f64()))
            .collect();
        fs::write(format!("{folder}/record.txt"), text).expect("record.txt can be written");
    }
}

// ---- HTTP ----------------------------------------------------------------------------------------

#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the whole message arrived.
    pub whole: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or("")
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target().split_once('?')?.1;
        query.split('&').find_map(|pair| {
            let (key, value) = pair.split_once('=')?;
            (key == name).then(|| value.replace("%01", "\u{1}"))
        })
    }
}

/// Reads one message; none if the connection ends before its head is complete.
pub fn read_message(
    stream: &mut TcpStream,
    kept: &mut Vec<u8>,
    is_answer: bool,
) -> Option<Message> {
    let mut buffer = [0; 16384];
    let head_end = loop {
        if let Some(at) = kept.windows(4).position(|four| four == b"\r\n\r\n") {
            break at + 4;
        }
        match stream.read(&mut buffer) {
            Ok(0) | Err(_) => return None,
            Ok(count) => kept.extend_from_slice(&buffer[..count]),
        }
    };
    let head = String::from_utf8_lossy(&kept[..head_end]).into_owned();
    kept.drain(..head_end);
    let mut lines = head.split("\r\n");
    let first = lines.next().unwrap_or("").to_owned();
    let headers = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(key, value)| (key.trim().to_owned(), value.trim().to_owned()))
        .collect();
    let mut message = Message { first, headers, body: Vec::new(), whole: false };
    let chunked = message.header("transfer-encoding").is_some();
    let length = message.header("content-length").and_then(|text| text.parse::<usize>().ok());
    let mut more = |kept: &mut Vec<u8>| match stream.read(&mut buffer) {
        Ok(0) | Err(_) => false,
        Ok(count) => {
            kept.extend_from_slice(&buffer[..count]);
            true
        }
    };
    if chunked {
        loop {
            let line_end = loop {
                if let Some(at) = kept.windows(2).position(|two| two == b"\r\n") {
                    break at;
                }
                if !more(kept) {
                    return Some(message);
                }
            };
            let text = String::from_utf8_lossy(&kept[..line_end]).into_owned();
            let Ok(size) = usize::from_str_radix(text.trim(), 16) else { return Some(message) };
            while kept.len() < line_end + 2 + size + 2 {
                if !more(kept) {
                    let end = kept.len().min(line_end + 2 + size);
                    message.body.extend_from_slice(&kept[(line_end + 2).min(end)..end]);
                    return Some(message);
                }
            }
            message.body.extend_from_slice(&kept[line_end + 2..line_end + 2 + size]);
            kept.drain(..line_end + 2 + size + 2);
            if size == 0 {
                message.whole = true;
                return Some(message);
            }
        }
    }
    let Some(length) = length else {
        if is_answer {
            while more(kept) {}
            message.body = std::mem::take(kept);
        }
        message.whole = true;
        return Some(message);
    };
    while kept.len() < length {
        if !more(kept) {
            message.body = std::mem::take(kept);
            return Some(message);
        }
    }
    message.body = kept.drain(..length).collect();
    message.whole = true;
    Some(message)
}

/// How a client's request ended.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub whole: bool,
    pub body: String,
}

const NO_ANSWER: Answer = Answer { status: 0, whole: false, body: String::new() };

pub struct Call<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub id: &'a str,
    pub key: &'a str,
    pub deadline_ms: u64,
    pub body: &'a str,
    pub extra: &'a str,
}

/// Sends a request on a new connection and reads its answer; status 0 if there was none.
pub fn send(record: &Record, gateway: SocketAddr, call: &Call<'_>) -> Answer {
    let (method, path, id, key) = (call.method, call.path, call.id, call.key);
    record.add(format!("{id} sent to {gateway}: {method} {path} key {key} body {}", call.body));
    let answer = exchange(gateway, call);
    let whole = if answer.whole { "whole" } else { "not whole" };
    record.add(format!("{id} answered {} {whole}", answer.status));
    answer
}

/// A channel of a consumer that is kept for many requests.
#[derive(Default)]
pub struct Channel {
    stream: Option<TcpStream>,
}

impl Channel {
    pub fn is_open(&self) -> bool {
        self.stream.is_some()
    }

    /// Sends a request on this channel, or on a new one if it has been closed.
    pub fn send(&mut self, record: &Record, gateway: SocketAddr, call: &Call<'_>) -> Answer {
        let (method, path, id, key) = (call.method, call.path, call.id, call.key);
        let kept = self.stream.is_some();
        record.add(format!("{id} sent to {gateway} kept {kept}: {method} {path} key {key}"));
        let stream = self.stream.take().or_else(|| open(gateway));
        let (answer, stream) = stream.map_or((NO_ANSWER, None), |stream| on_stream(stream, call));
        self.stream = stream;
        let whole = if answer.whole { "whole" } else { "not whole" };
        record.add(format!("{id} answered {} {whole}", answer.status));
        answer
    }
}

fn open(gateway: SocketAddr) -> Option<TcpStream> {
    let stream = TcpStream::connect_timeout(&gateway, ms(1000)).ok()?;
    stream.set_nodelay(true).ok();
    Some(stream)
}

fn exchange(gateway: SocketAddr, call: &Call<'_>) -> Answer {
    open(gateway).map_or(NO_ANSWER, |stream| on_stream(stream, call).0)
}

/// Sends a request on a channel; returns the channel too if it can be kept.
fn on_stream(mut stream: TcpStream, call: &Call<'_>) -> (Answer, Option<TcpStream>) {
    stream.set_read_timeout(Some(ms(call.deadline_ms + 1000))).ok();
    let text = format!(
        "{} {} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {}\r\nX-Api-Key: {}\r\nDeadline-Ms: {}\r\n\
         Content-Type: application/json\r\nContent-Length: {}\r\n{}\r\n{}",
        call.method,
        call.path,
        call.id,
        call.key,
        call.deadline_ms,
        call.body.len(),
        call.extra,
        call.body
    );
    if stream.write_all(text.as_bytes()).is_err() {
        return (NO_ANSWER, None);
    }
    let Some(message) = read_message(&mut stream, &mut Vec::new(), true) else {
        return (NO_ANSWER, None);
    };
    let closes = message.header("connection").is_some_and(|value| value.contains("close"));
    let answer = Answer {
        status: message.status(),
        whole: message.whole,
        body: String::from_utf8_lossy(&message.body).into_owned(),
    };
    let kept = (answer.whole && !closes).then_some(stream);
    (answer, kept)
}

// ---- JSON, as far as the store needs it ----------------------------------------------------------

#[derive(Clone, Debug)]
pub enum Json {
    Null,
    Bool,
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Table(fields) => fields.iter().find(|(key, _)| key == name).map(|(_, v)| v),
            _ => None,
        }
    }

    pub fn text(&self) -> &str {
        if let Json::Text(text) = self { text } else { "" }
    }

    pub fn number(&self) -> u64 {
        if let Json::Number(number) = self { *number as u64 } else { 0 }
    }

    pub fn list(&self) -> &[Json] {
        if let Json::List(list) = self { list } else { &[] }
    }

    pub fn parse(text: &str) -> Option<Json> {
        let bytes = text.as_bytes();
        let mut at = 0;
        parse_value(bytes, &mut at)
    }
}

fn skip(bytes: &[u8], at: &mut usize) {
    while *at < bytes.len() && (bytes[*at].is_ascii_whitespace() || b",:".contains(&bytes[*at])) {
        *at += 1;
    }
}

fn parse_value(bytes: &[u8], at: &mut usize) -> Option<Json> {
    skip(bytes, at);
    match bytes.get(*at)? {
        b'{' => {
            *at += 1;
            let mut fields = Vec::new();
            loop {
                skip(bytes, at);
                if bytes.get(*at)? == &b'}' {
                    *at += 1;
                    return Some(Json::Table(fields));
                }
                let Json::Text(key) = parse_value(bytes, at)? else { return None };
                fields.push((key, parse_value(bytes, at)?));
            }
        }
        b'[' => {
            *at += 1;
            let mut list = Vec::new();
            loop {
                skip(bytes, at);
                if bytes.get(*at)? == &b']' {
                    *at += 1;
                    return Some(Json::List(list));
                }
                list.push(parse_value(bytes, at)?);
            }
        }
        b'"' => {
            *at += 1;
            let mut text = Vec::new();
            while *bytes.get(*at)? != b'"' {
                if bytes[*at] == b'\\' {
                    *at += 1;
                }
                text.push(*bytes.get(*at)?);
                *at += 1;
            }
            *at += 1;
            Some(Json::Text(String::from_utf8_lossy(&text).into_owned()))
        }
        _ => {
            let start = *at;
            while *at < bytes.len() && !b",]} \n".contains(&bytes[*at]) {
                *at += 1;
            }
            let word = std::str::from_utf8(&bytes[start..*at]).ok()?;
            Some(match word {
                "null" => Json::Null,
                "true" | "false" => Json::Bool,
                number => Json::Number(number.parse().ok()?),
            })
        }
    }
}

pub fn base64(bytes: &[u8]) -> String {
    const SIGNS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for three in bytes.chunks(3) {
        let number = three.iter().fold(0_u32, |sum, byte| sum << 8 | u32::from(*byte))
            << (8 * (3 - three.len()));
        for index in 0..4 {
            if index <= three.len() {
                let sign = (number >> (18 - 6 * index)) & 63;
                text.push(char::from(SIGNS[sign as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}

// ---- The platform's store ------------------------------------------------------------------------

#[derive(Clone, Default)]
struct Rows {
    era: u64,
    version: u64,
    /// By table, part and key: value in base64, none for a removed row, and version.
    rows: BTreeMap<(String, String, String), (Option<String>, u64)>,
}

/// The metadata store: rows, changes, a feed, and a restore from a copy.
#[derive(Clone)]
pub struct Store {
    rows: Arc<(Mutex<Rows>, Condvar)>,
    away: Arc<AtomicBool>,
    started: Instant,
    pub address: SocketAddr,
}

#[derive(Clone)]
pub struct StoreCopy(Rows);

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let store = Self {
            rows: Arc::new((Mutex::new(Rows { era: 1, ..Rows::default() }), Condvar::new())),
            away: Arc::default(),
            started: Instant::now(),
            address: listener.local_addr().unwrap(),
        };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes a row with an empty part; none removes it.
    pub fn put(&self, table: &str, key: &str, value: Option<&str>) {
        self.put_in(table, "", key, value);
    }

    /// Writes a row in a part of a table.
    pub fn put_in(&self, table: &str, part: &str, key: &str, value: Option<&str>) {
        let mut rows = self.rows.0.lock().unwrap();
        rows.version += 1;
        let row = (value.map(|text| base64(text.as_bytes())), rows.version);
        rows.rows.insert((table.into(), part.into(), key.into()), row);
        self.rows.1.notify_all();
    }

    pub fn copy(&self) -> StoreCopy {
        StoreCopy(self.rows.0.lock().unwrap().clone())
    }

    /// Whether calls get 503, which says that nothing was done.
    pub fn set_away(&self, away: bool) {
        self.away.store(away, Ordering::SeqCst);
        self.rows.1.notify_all();
    }

    /// Comes back from a copy: versions go back, and the era rises by one.
    pub fn restore(&self, copy: &StoreCopy) {
        let mut rows = self.rows.0.lock().unwrap();
        let era = rows.era + 1;
        *rows = copy.0.clone();
        rows.era = era;
        self.rows.1.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) {
        stream.set_nodelay(true).ok();
        let mut kept = Vec::new();
        while let Some(request) = read_message(&mut stream, &mut kept, false) {
            let (status, body) = self.respond(&request);
            let era = self.rows.0.lock().unwrap().era;
            let text = format!(
                "HTTP/1.1 {status} X\r\nStore-Era: {era}\r\nContent-Type: application/json\r\n\
                 Content-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if stream.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn respond(&self, request: &Message) -> (u16, String) {
        if self.away.load(Ordering::SeqCst) {
            return (503, String::new());
        }
        let table = request.query("table").unwrap_or_default();
        match request.path() {
            "/v1/rows-get" => {
                let from = request.query("from").unwrap_or_default();
                let part = request.query("part").unwrap_or_default();
                let rows = self.rows.0.lock().unwrap();
                let page = self.page(&rows, |(t, p, key), row| {
                    *t == table && *p == part && *key >= from && row.0.is_some()
                });
                (200, page)
            }
            "/v1/rows-feed" => {
                let after: u64 = request.query("after").and_then(|t| t.parse().ok()).unwrap_or(0);
                let wait: u64 = request.query("wait_ms").and_then(|t| t.parse().ok()).unwrap_or(0);
                let until = Instant::now() + ms(wait);
                let mut rows = self.rows.0.lock().unwrap();
                let era = rows.era;
                loop {
                    if self.away.load(Ordering::SeqCst) {
                        return (503, String::new());
                    }
                    if after > rows.version || rows.era != era {
                        return (410, String::new());
                    }
                    let changed =
                        rows.rows.iter().any(|((t, _, _), row)| *t == table && row.1 > after);
                    let now = Instant::now();
                    if changed || now >= until {
                        return (
                            200,
                            self.page(&rows, |(t, _, _), row| *t == table && row.1 > after),
                        );
                    }
                    rows = self.rows.1.wait_timeout(rows, until - now).unwrap().0;
                }
            }
            "/v1/rows-tx" => self.change(&String::from_utf8_lossy(&request.body)),
            _ => (404, String::new()),
        }
    }

    fn page(
        &self,
        rows: &Rows,
        belongs: impl Fn(&(String, String, String), &(Option<String>, u64)) -> bool,
    ) -> String {
        let rows_text: Vec<String> = rows
            .rows
            .iter()
            .filter(|(name, row)| belongs(name, row))
            .map(|((table, part, key), (value, version))| {
                let value = value.as_ref().map_or("null".into(), |text| format!("\"{text}\""));
                let removed = value == "null";
                format!(
                    "{{\"table\":\"{table}\",\"part\":\"{part}\",\"key\":\"{key}\",\"value\":{value},\
                     \"ver\":{version},\"removed\":{removed}}}"
                )
            })
            .collect();
        let now = self.started.elapsed().as_millis();
        format!(
            "{{\"rows\":[{}],\"ver\":{},\"now_ms\":{now},\"has_more\":false}}",
            rows_text.join(","),
            rows.version
        )
    }

    fn change(&self, body: &str) -> (u16, String) {
        let Some(json) = Json::parse(body) else { return (400, String::new()) };
        let field =
            |name: &str| json.get(name).map(|list| list.list().to_vec()).unwrap_or_default();
        let name_of = |row: &Json| {
            let text = |name: &str| row.get(name).map_or(String::new(), |v| v.text().to_owned());
            (text("table"), text("part"), text("key"))
        };
        let mut rows = self.rows.0.lock().unwrap();
        for row in field("expected_rev") {
            let known = rows.rows.get(&name_of(&row)).filter(|row| row.0.is_some());
            if known.map_or(0, |row| row.1) != row.get("ver").map_or(0, Json::number) {
                return (412, "{\"rows\":[]}".into());
            }
        }
        let changes = field("writes").into_iter().chain(field("remove")).collect::<Vec<_>>();
        if changes.iter().any(|row| ["op", "servers"].contains(&name_of(row).0.as_str())) {
            return (403, String::new());
        }
        rows.version += 1;
        let version = rows.version;
        for row in changes {
            let value = row.get("value").filter(|v| matches!(v, Json::Text(_)));
            let value = value.map(|value| value.text().to_owned());
            rows.rows.insert(name_of(&row), (value, version));
        }
        self.rows.1.notify_all();
        (200, format!("{{\"ver\":{version}}}"))
    }
}

/// An address that forwards to another one until it is closed.
#[derive(Clone)]
pub struct Relay {
    pub address: SocketAddr,
    closed: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Relay {
    pub fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        listener.set_nonblocking(true).unwrap();
        let relay = Self {
            address: listener.local_addr().unwrap(),
            closed: Arc::default(),
            streams: Arc::default(),
        };
        let running = relay.clone();
        thread::spawn(move || {
            while !running.closed.load(Ordering::SeqCst) {
                let Ok((near, _)) = listener.accept() else {
                    thread::sleep(ms(1));
                    continue;
                };
                near.set_nonblocking(false).ok();
                let Ok(far) = TcpStream::connect(target) else { continue };
                for (from, to) in [(&near, &far), (&far, &near)] {
                    from.set_nodelay(true).ok();
                    running.streams.lock().unwrap().push(from.try_clone().unwrap());
                    let (mut from, mut to) = (from.try_clone().unwrap(), to.try_clone().unwrap());
                    thread::spawn(move || {
                        std::io::copy(&mut from, &mut to).ok();
                        to.shutdown(std::net::Shutdown::Both).ok();
                    });
                }
            }
        });
        relay
    }

    /// Closes the listener and all connections.
    pub fn close(&self) {
        self.closed.store(true, Ordering::SeqCst);
        thread::sleep(ms(10));
        for stream in self.streams.lock().unwrap().drain(..) {
            stream.shutdown(std::net::Shutdown::Both).ok();
        }
    }
}

// ---- Servers -------------------------------------------------------------------------------------

/// A request that a server received.
pub struct Arrival {
    pub at: Instant,
    pub id: String,
    pub body: String,
    pub ran: bool,
}

/// What a server does with a request that it begins to run.
pub type Work = Arc<dyn Fn(&Server, &Message, &mut TcpStream) -> bool + Send + Sync>;

/// A server at one address. After a crash it starts again there, under another id.
#[derive(Clone)]
pub struct Server {
    pub name: String,
    pub service: String,
    pub address: SocketAddr,
    pub zone: String,
    store: Store,
    record: Record,
    work: Work,
    life: Arc<AtomicU64>,
    up: Arc<AtomicBool>,
    leaving: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
    pub arrivals: Arc<Mutex<Vec<Arrival>>>,
    pub crashes: Arc<Mutex<Vec<Instant>>>,
}

impl Server {
    pub fn start(
        name: &str,
        service: &str,
        zone: &str,
        store: &Store,
        record: &Record,
        work: Work,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let server = Self {
            name: name.into(),
            service: service.into(),
            address: listener.local_addr().unwrap(),
            zone: zone.into(),
            store: store.clone(),
            record: record.clone(),
            work,
            life: Arc::new(AtomicU64::new(1)),
            up: Arc::new(AtomicBool::new(true)),
            leaving: Arc::default(),
            streams: Arc::default(),
            arrivals: Arc::default(),
            crashes: Arc::default(),
        };
        server.run(listener);
        server
    }

    pub fn id(&self) -> String {
        format!("i-{}-{}", self.name, self.life.load(Ordering::SeqCst))
    }

    fn run(&self, listener: TcpListener) {
        listener.set_nonblocking(true).unwrap();
        let life = self.life.load(Ordering::SeqCst);
        let server = self.clone();
        thread::spawn(move || {
            while server.is_in(life) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        stream.set_nonblocking(false).ok();
                        stream.set_nodelay(true).ok();
                        let mut streams = server.streams.lock().unwrap();
                        if let (true, Ok(copy)) = (server.is_in(life), stream.try_clone()) {
                            streams.push(copy);
                            let server = server.clone();
                            thread::spawn(move || server.serve(stream, life));
                        }
                    }
                    Err(_) => thread::sleep(ms(1)),
                }
            }
        });
        let server = self.clone();
        let born = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap();
        thread::spawn(move || {
            let id = server.id();
            let mut seq = 0;
            while server.is_in(life) {
                seq += 1;
                let leaving = server.leaving.load(Ordering::SeqCst);
                let state = if leaving { "draining" } else { "ready" };
                let text = format!(
                    "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":1,\
                     \"slots\":96,\"state\":\"{state}\",\"cold_left_ms\":0,\"seq\":{seq},\
                     \"born\":{}}}",
                    server.service,
                    server.address,
                    server.zone,
                    born.as_millis()
                );
                server.store.put("servers", &id, Some(&text));
                let until = Instant::now() + HEARTBEAT;
                let is_as_written = || server.leaving.load(Ordering::SeqCst) == leaving;
                while Instant::now() < until && server.is_in(life) && is_as_written() {
                    thread::sleep(ms(10));
                }
            }
            if !server.leaving.load(Ordering::SeqCst) {
                // The store removes an entry after three heartbeats of silence.
                thread::sleep(2 * HEARTBEAT);
            }
            server.store.put("servers", &id, None);
        });
    }

    fn is_in(&self, life: u64) -> bool {
        self.up.load(Ordering::SeqCst) && self.life.load(Ordering::SeqCst) == life
    }

    fn serve(&self, mut stream: TcpStream, life: u64) {
        let mut kept = Vec::new();
        while let Some(request) = read_message(&mut stream, &mut kept, false) {
            if !self.is_in(life) {
                return;
            }
            let id = request.header("request-id").unwrap_or("").to_owned();
            let expected = request.header("expect-instance").is_none_or(|id| id == self.id());
            self.arrivals.lock().unwrap().push(Arrival {
                at: Instant::now(),
                id: id.clone(),
                body: String::from_utf8_lossy(&request.body).into_owned(),
                ran: expected,
            });
            if !expected {
                let text = format!(
                    "HTTP/1.1 421 X\r\nRequest-Id: {id}\r\nNot-Executed: 1\r\n\
                     Content-Length: 0\r\n\r\n"
                );
                if stream.write_all(text.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            self.record.add(format!("{} runs {id}", self.id()));
            if !(self.work)(self, &request, &mut stream) || !self.is_in(life) {
                return;
            }
        }
    }

    /// Leaves as planned: reports that it drains, serves on for `drain`, and exits.
    pub fn leave(&self, drain: Duration) {
        self.record.add(format!("{} drains", self.id()));
        self.leaving.store(true, Ordering::SeqCst);
        let server = self.clone();
        thread::spawn(move || {
            thread::sleep(drain);
            server.up.store(false, Ordering::SeqCst);
            thread::sleep(ms(5));
            for stream in server.streams.lock().unwrap().drain(..) {
                stream.shutdown(std::net::Shutdown::Both).ok();
            }
            server.record.add(format!("{} exits", server.id()));
        });
    }

    /// Ends as a crashed process does: the listener and all connections close. It is back after
    /// `down`.
    pub fn crash(&self, down: Duration) {
        if !self.up.swap(false, Ordering::SeqCst) {
            return;
        }
        self.record.add(format!("{} crashes", self.id()));
        self.crashes.lock().unwrap().push(Instant::now());
        // The listener is closed within some milliseconds, then the connections.
        thread::sleep(ms(5));
        for stream in self.streams.lock().unwrap().drain(..) {
            stream.shutdown(std::net::Shutdown::Both).ok();
        }
        let server = self.clone();
        thread::spawn(move || {
            thread::sleep(down);
            let listener = loop {
                match TcpListener::bind(server.address) {
                    Ok(listener) => break listener,
                    Err(_) => thread::sleep(ms(50)),
                }
            };
            server.life.fetch_add(1, Ordering::SeqCst);
            server.up.store(true, Ordering::SeqCst);
            server.record.add(format!("{} is back", server.id()));
            server.run(listener);
        });
    }
}

/// Writes a whole answer with a digest.
pub fn answer(request: &Message, stream: &mut TcpStream, body: &str) -> bool {
    let id = request.header("request-id").unwrap_or("");
    let text = format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Stamp: s.{id}\r\n\
         Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes()).is_ok()
}

pub fn begin_stream(request: &Message, stream: &mut TcpStream) -> bool {
    let id = request.header("request-id").unwrap_or("");
    let text = format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Stamp: s.{id}\r\n\
         Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    stream.write_all(text.as_bytes()).is_ok()
}

pub fn event(stream: &mut TcpStream, number: u64) -> bool {
    let text = format!("id: {number}\ndata: t{number}\n\n");
    stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes()).is_ok()
}

pub fn end_stream(stream: &mut TcpStream) -> bool {
    stream.write_all(b"0\r\n\r\n").is_ok()
}

// ---- Gateway processes ---------------------------------------------------------------------------

pub struct Gateway {
    pub name: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    child: Child,
}

pub struct Fleet {
    pub gateways: Vec<Gateway>,
    folder: PathBuf,
}

fn free_port(ip: &str) -> u16 {
    TcpListener::bind((ip, 0)).expect("a free port").local_addr().unwrap().port()
}

/// The command of the deploy file.
fn command() -> Vec<String> {
    let text = fs::read_to_string("deploy/system.toml").expect("the deploy file");
    let line = text.lines().find_map(|line| line.trim().strip_prefix("run")).expect("a command");
    let line = line.trim_start_matches([' ', '=']).trim_matches('"');
    line.split(' ').map(str::to_owned).collect()
}

impl Fleet {
    /// Starts gateways, each on a loopback address of its own, with the ports of a machine.
    pub fn start(count: usize, store: &Store) -> Self {
        Self::start_at(count, store.address)
    }

    /// Starts gateways that are told another address of the store.
    pub fn start_at(count: usize, store: SocketAddr) -> Self {
        let process = std::process::id();
        let folder = env::temp_dir().join(format!("gateway-review-{process}"));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let second = 1 + process % 200;
        let third = 1 + (process / 200) % 200;
        let ips: Vec<_> = (1..=count).map(|n| format!("127.{second}.{third}.{n}")).collect();
        let ports: Vec<_> = ips.iter().map(|ip| [(); 3].map(|()| free_port(ip))).collect();
        let seeds: Vec<_> =
            ips.iter().zip(&ports).take(3).map(|(ip, port)| format!("{ip}:{}", port[2])).collect();
        let gateways = ips.iter().zip(&ports).enumerate().map(|(index, (ip, port))| {
            let name = format!("front-a-{}", index + 1);
            let text = format!(
                "node_name={name}\nrole=entry\nmachine_class=front\nserves=front,control\nip={ip}\n\
                 zone=antioquia-a\nregion=antioquia\nzones.antioquia-a=antioquia\n\
                 zones.antioquia-b=antioquia\nzones.cundinamarca-a=cundinamarca\n\
                 listen.front={ip}:{}\nlisten.ready={ip}:{}\nlisten.control={ip}:{}\n\
                 internal_ports=7740,7755\nseeds={}\nbootstrap=true\nloss_counts=false\n\
                 limits.cpu_share=0.25\nlimits.cores=1\nlimits.memory_mb=260\nlimits.max_fds={MAX_FDS}\n\
                 limits.link_mbps=1000.0\nlimits.disk_mb=0\ndiscovery=platform\nentry=vip\n\
                 heartbeat_ms=1200\nfault_tolerance.machines=2\nfault_tolerance.zones=1\n\
                 fault_tolerance.regions=0\nbounds.seed_lag_s=3\nbounds.reuse_after_s=2\n\
                 bounds.contact_ms=4000\nbounds.ack_ms=5000\nbounds.catch_up_s=4\n\
                 bounds.drain_ms=2500\nbounds.grace_s=8\nbounds.loss_slack_ms=200\n\
                 bounds.config_apply_ms=2500\nbounds.rollback_slack_ms=250\n\
                 bounds.max_skew_ms=6000\nbounds.strict_revoke=false\nbounds.revoke_ms=5000\n\
                 bounds.retry_budget_ratio=0.2\nbounds.budget_window_s=10\nbounds.budget_slack=56\n\
                 bounds.cold_overshoot=1.5\nbounds.cold_slack=5\nbounds.evacuate_ms=5000\n\
                 bounds.recovery_s=12\nbounds.pass_ms=250\nbounds.again_s=8.3\n\
                 platform.address={}\nplatform.form=table\nplatform.writes_per_s=400\n\
                 platform.reads_per_s=2000\nplatform.tx_ms=5.0\nplatform.history_s=20\n",
                port[0],
                port[1],
                port[2],
                seeds.join(","),
                store
            );
            let settings = folder.join(format!("{name}.conf"));
            fs::write(&settings, text).expect("a settings file");
            let log = folder.join(format!("{name}.log"));
            let child = spawn(&settings, &log);
            let address = |port: u16| format!("{ip}:{port}").parse().unwrap();
            let (front, ready) = (address(port[0]), address(port[1]));
            Gateway { name, front, ready, settings, child }
        });
        let gateways = gateways.collect();
        Self { gateways, folder }
    }

    pub fn wait_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        self.gateways.iter().all(|gateway| {
            while Instant::now() < until {
                if gateway.is_ready() {
                    return true;
                }
                thread::sleep(ms(50));
            }
            false
        })
    }
}

fn spawn(settings: &PathBuf, log: &PathBuf) -> Child {
    let words = command();
    let output = fs::OpenOptions::new().create(true).append(true).open(log).expect("a log file");
    let mut command = Command::new(&words[0]);
    command.args(&words[1..]).env_clear().env("COMFREYSPREAD_SETTINGS", settings);
    for name in ["PATH", "HOME", "LANG"] {
        if let Ok(value) = env::var(name) {
            command.env(name, value);
        }
    }
    let errors = output.try_clone().expect("a log file");
    // A process must not outlive the script, however that ends.
    unsafe { command.pre_exec(prepare_process) };
    command.stdin(Stdio::null()).stdout(output).stderr(errors).spawn().expect("the program starts")
}

/// Prepares a gateway process as the platform does: `limits.max_fds` of the settings bounds its
/// descriptors. It also ends with the script.
fn prepare_process() -> std::io::Result<()> {
    unsafe extern "C" {
        fn prctl(option: i32, value: u64) -> i32;
        fn setrlimit(resource: i32, limits: *const [u64; 2]) -> i32;
    }
    const PR_SET_PDEATHSIG: i32 = 1;
    const SIGKILL: u64 = 9;
    const RLIMIT_NOFILE: i32 = 7;
    let limits = [MAX_FDS, MAX_FDS];
    let prepared =
        unsafe { prctl(PR_SET_PDEATHSIG, SIGKILL) == 0 && setrlimit(RLIMIT_NOFILE, &limits) == 0 };
    if prepared { Ok(()) } else { Err(std::io::Error::last_os_error()) }
}

impl Gateway {
    pub fn is_ready(&self) -> bool {
        self.probe(&mut None)
    }

    /// Asks whether the gateway is ready, on a channel that is kept if there is one.
    pub fn probe(&self, channel: &mut Option<TcpStream>) -> bool {
        let opened = channel.take().or_else(|| open(self.ready));
        let Some(mut stream) = opened else { return false };
        stream.set_read_timeout(Some(ms(1000))).ok();
        let text = "GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n";
        if stream.write_all(text.as_bytes()).is_err() {
            return false;
        }
        let answer = read_message(&mut stream, &mut Vec::new(), true);
        *channel = answer.is_some().then_some(stream);
        answer.is_some_and(|answer| answer.status() == 200)
    }

    /// Rewrites the settings file with another address of the store, and sends SIGHUP.
    pub fn move_store(&self, address: SocketAddr) {
        let text = fs::read_to_string(&self.settings).expect("the settings file");
        let lines = text.lines().map(|line| match line.strip_prefix("platform.address=") {
            Some(_) => format!("platform.address={address}\n"),
            None => format!("{line}\n"),
        });
        let new = self.settings.with_extension("new");
        fs::write(&new, lines.collect::<String>()).expect("a settings file");
        fs::rename(&new, &self.settings).expect("a settings file");
        self.signal("HUP");
    }

    pub fn signal(&self, name: &str) {
        let sent =
            Command::new("kill").arg(format!("-{name}")).arg(self.pid().to_string()).status();
        sent.expect("the signal is sent");
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Returns the number of descriptors that the process has open.
    pub fn descriptors(&self) -> usize {
        fs::read_dir(format!("/proc/{}/fd", self.pid())).map_or(0, Iterator::count)
    }

    /// Sends SIGKILL.
    pub fn kill(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }

    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for gateway in &mut self.gateways {
            gateway.kill();
        }
        if env::var("KEEP_LOGS").is_err() {
            fs::remove_dir_all(&self.folder).ok();
        }
    }
}

/// Ends the script with its verdict; all processes are ended before.
pub fn finish(
    record: &Record,
    folder: &str,
    fleet: Fleet,
    verdict: Result<(), String>,
    code: i32,
) -> ! {
    let line = match &verdict {
        Ok(()) => "HELD".to_owned(),
        Err(text) if code == 2 => format!("COULD NOT RUN: {text}"),
        Err(text) => format!("BROKEN: {text}"),
    };
    record.add(&line);
    record.save(folder);
    println!("{line}");
    drop(fleet);
    std::process::exit(if verdict.is_ok() { 0 } else { code });
}
