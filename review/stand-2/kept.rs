//! Ordinary consumers on kept channels and sound engines, and what is lost between them.

use crate::{fleet, net, platform};
use std::{
    collections::HashSet,
    io::{self, BufReader, Read as _, Write as _},
    net::{SocketAddr, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread, time,
};

/// Requests of kept channels that a machine may pass on to sound replicas and leave without an answer.
pub const ALLOWED: usize = 3;
/// Milliseconds until a sound engine begins to answer, inside the latency targets of the site.
pub const FIRST_MS: u64 = 1_000;

/// Requests that sound engines were passed, and those of kept channels that got no byte of an answer
/// before their channel was closed.
#[derive(Default)]
pub struct Ledger {
    passed: Mutex<HashSet<String>>,
    unanswered: Mutex<HashSet<String>>,
}

impl Ledger {
    /// Records that a sound engine has read a request.
    pub fn pass(&self, request: &str) {
        self.passed.lock().expect("the requests").insert(request.to_owned());
    }

    /// Returns the requests that were passed on to a sound engine and whose kept channel was closed
    /// without an answer.
    pub fn lost(&self) -> Vec<String> {
        let passed = self.passed.lock().expect("the requests");
        let unanswered = self.unanswered.lock().expect("the requests");
        let mut lost: Vec<_> = passed.intersection(&unanswered).cloned().collect();
        lost.sort();
        lost
    }
}

/// A kind of streamed request: path, requests a second at the machine, deadline in milliseconds, and
/// further headers.
#[derive(Clone, Copy)]
pub struct Kind {
    pub path: &'static str,
    pub rate: f64,
    pub deadline_ms: u64,
    pub headers: &'static str,
}

/// Consumers of one kind at one machine. Each opens a channel, has a lookup answered on it, and sends
/// its streamed request on the same channel.
pub fn consume(
    front: SocketAddr,
    kind: Kind,
    seen: &Arc<platform::Seen>,
    ledger: &Arc<Ledger>,
    stop: &AtomicBool,
) {
    let pause = time::Duration::from_secs_f64(1.0 / kind.rate);
    let mut number = 0;
    while !stop.load(Ordering::Relaxed) {
        let (seen, ledger) = (seen.clone(), ledger.clone());
        thread::spawn(move || {
            let counter = match call(front, kind, number, &ledger) {
                Ok(true) => &seen.served,
                Ok(false) => &seen.other,
                Err(_) => &seen.cut,
            };
            counter.fetch_add(1, Ordering::Relaxed);
        });
        number += 1;
        thread::sleep(pause);
    }
}

/// Makes both requests; true if the stream was complete, false if a request was refused or failed.
fn call(front: SocketAddr, kind: Kind, number: u64, ledger: &Ledger) -> io::Result<bool> {
    let Kind { path, deadline_ms, headers, .. } = kind;
    let port = front.port();
    let stream = TcpStream::connect_timeout(&front, time::Duration::from_secs(1))?;
    stream.set_read_timeout(Some(time::Duration::from_millis(deadline_ms + 1000)))?;
    let lookup = format!(
        "GET /read/{number} HTTP/1.1\r\nHost: h.example\r\nRequest-Id: l-{path}-{port}-{number}\r\n\
         Deadline-Ms: 3000\r\nX-Api-Key: key-1\r\n\r\n"
    );
    (&stream).write_all(lookup.as_bytes())?;
    let mut reader = BufReader::new(stream.try_clone()?);
    if net::read_answer(&mut reader)?.status != 200 {
        return Ok(false);
    }
    let id = format!("{path}-{port}-{number}");
    let request = format!(
        "POST /{path}/{number} HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {id}\r\nModel: m\r\n\
         Token-Counts: 1800,30\r\nPrefix-Hash: a{}:341,b{port}{number}:227\r\n{headers}\
         Deadline-Ms: {deadline_ms}\r\nX-Api-Key: key-1\r\nContent-Length: 0\r\n\r\n",
        number % 20
    );
    (&stream).write_all(request.as_bytes())?;
    let head = net::read_answer(&mut reader).inspect_err(|error| {
        let closed = [
            io::ErrorKind::UnexpectedEof,
            io::ErrorKind::ConnectionReset,
            io::ErrorKind::ConnectionAborted,
        ];
        if closed.contains(&error.kind()) {
            ledger.unanswered.lock().expect("the requests").insert(id);
        }
    })?;
    if head.status != 200 {
        return Ok(false);
    }
    read_to_end(&mut reader)
}

/// Reads a body in chunks to its last one.
fn read_to_end(reader: &mut BufReader<TcpStream>) -> io::Result<bool> {
    let mut end = [0; 5];
    let mut bytes = [0; 65536];
    loop {
        let count = reader.read(&mut bytes)?;
        if count == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let tail = [&end[..], &bytes[..count]].concat();
        end.copy_from_slice(&tail[tail.len() - 5..]);
        if &end == b"0\r\n\r\n" {
            return Ok(true);
        }
    }
}

/// Registers a replica in the store.
pub fn register(store: &fleet::Store, id: &str, service: &str, address: SocketAddr, slots: u32) {
    store.put("servers", id, Some(&format!(
        "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"a\",\"version\":\"v1\",\
         \"slots\":{slots},\"state\":\"ready\",\"cold_left_ms\":0,\"seq\":1,\"born\":1}}"
    )));
}

/// Writes the head of an event stream.
pub fn begin_stream(writer: &mut TcpStream, request: &str) -> io::Result<()> {
    let head = format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {request}\r\nResponse-Stamp: s.{request}\r\n\
         Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    writer.write_all(head.as_bytes())
}

/// Answers a request as a sound engine does, with `events` events and `gap_ms` between them.
pub fn answer_soundly(
    writer: &mut TcpStream,
    request: &net::Request,
    events: usize,
    gap_ms: u64,
    ledger: &Ledger,
) -> io::Result<()> {
    let id = request.header("request-id");
    ledger.pass(id);
    thread::sleep(time::Duration::from_millis(FIRST_MS));
    begin_stream(writer, id)?;
    let after: usize = request.header("last-event-id").parse().unwrap_or(0);
    for event in after + 1..=events {
        let text = format!("id: {event}\ndata: {id} {event}\n\n");
        writer.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
        thread::sleep(time::Duration::from_millis(gap_ms));
    }
    writer.write_all(b"0\r\n\r\n")
}
