//! Clients that send one small request and then empty lines without end, against one machine, while
//! ordinary consumers call it.

#[allow(dead_code)]
mod fleet;
#[allow(dead_code)]
mod net;
#[allow(dead_code)]
mod platform;

use std::{
    env, fs,
    io::{BufReader, Read as _, Write as _},
    net::{SocketAddr, TcpStream},
    path::PathBuf,
    process::ExitCode,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread, time,
};

/// `bounds.contact_ms` of the small deployments.
const CONTACT: time::Duration = time::Duration::from_millis(4000);
/// Ordinary consumers that must have tried in that time for the rule.
const TRIES: usize = 7;
const WATCH: time::Duration = time::Duration::from_secs(30);
/// `limits.max_fds` of a machine of the small deployments, and clients that don't keep to the limits.
const MAX_FDS: usize = 4100;
const CLIENTS: usize = 3400;
/// Refusals after which the crowd is taken to be as large as it gets.
const FIRST_REFUSALS: u32 = 100;
const LATER_REFUSALS: u32 = 20;

const CONFIG: &str = r#"{"version":1,"routes":[{"name":"read","host":"h.example","prefix":"/read/",
"kind":"idempotent","service":"ledger","timeout_ms":1500,"target_latency_ms":300,"priority":2,
"max_attempts":2}],"services":[{"name":"ledger","health_path":"/health","max_conns":110}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
"idle_timeout_ms":15000},"tenants":[{"name":"one","api_keys":["key-1"]}]}"#;

#[derive(Clone)]
struct Try {
    at: time::Duration,
    answered: bool,
}

fn main() -> ExitCode {
    platform::exit_code(run())
}

fn run() -> std::io::Result<bool> {
    let trouble = env::var("TROUBLE").as_deref() != Ok("0");
    let folder = PathBuf::from(env::args().nth(1).unwrap_or_else(|| "/tmp".to_owned()));
    let record = env::args().nth(2).unwrap_or_else(|| "record.txt".to_owned());
    let mut record = fs::File::create(record)?;
    let (store, store_address) = fleet::Store::start()?;
    let runs = Arc::new(AtomicU64::new(0));
    for name in ["ledger-1", "ledger-2"] {
        fleet::start_replica(name, &store, &runs)?;
    }
    store.put("op", "config", Some(CONFIG));
    let extra = format!("limits.cpu_share=0.25\nlimits.memory_mb=260\nlimits.max_fds={MAX_FDS}\n");
    let ports = fleet::Ports::find()?;
    let mut gateway =
        fleet::Gateway::start("node-1", ports, &[ports], store_address, &extra, &folder)?;
    if !gateway.wait_ready(time::Duration::from_secs(15)) {
        return Err(std::io::Error::other("the gateway did not become ready"));
    }
    let stop = Arc::new(AtomicBool::new(false));
    let held = Arc::new(AtomicU64::new(0));
    let hostile = trouble.then(|| {
        let (stop, held, front) = (stop.clone(), held.clone(), gateway.front);
        thread::spawn(move || crowd(front, &stop, &held))
    });
    // The crowd builds up.
    thread::sleep(time::Duration::from_secs(2));
    let started = time::Instant::now();
    let tries = Arc::new(Mutex::new(Vec::new()));
    let mut ready = Vec::new();
    let mut consumers = Vec::new();
    while started.elapsed() < WATCH {
        let (front, tries, number) = (gateway.front, tries.clone(), consumers.len());
        consumers.push(thread::spawn(move || consume(front, number, started, &tries)));
        if consumers.len() % 5 == 0 {
            ready.push((started.elapsed(), gateway.says_ready()));
        }
        thread::sleep(time::Duration::from_millis(200));
    }
    let count = consumers.len();
    let answered = consumers.into_iter().filter_map(|one| one.join().ok()).filter(|done| *done).count();
    let alive = gateway.is_alive();
    stop.store(true, Ordering::Relaxed);
    if let Some(hostile) = hostile {
        hostile.join().ok();
    }
    let mut tries = tries.lock().expect("the tries").clone();
    tries.sort_by_key(|one| one.at);
    let (longest, seen) = longest_closed(&tries);
    let says_ready = ready.iter().filter(|(_, ready)| *ready).count();
    writeln!(record, "trouble {trouble}; clients beyond the limits held {} channels", held.load(Ordering::Relaxed))?;
    for one in &tries {
        writeln!(record, "{:6} ms new channel of an ordinary consumer: {}", one.at.as_millis(),
            if one.answered { "taken, request answered 200" } else { "not taken" })?;
    }
    writeln!(record, "readiness checks: {says_ready} of {} answered 200", ready.len())?;
    writeln!(record, "requests run by the replicas: {}", runs.load(Ordering::Relaxed))?;
    writeln!(record, "ordinary consumers: {count}, served: {answered}; the process runs: {alive}")?;
    writeln!(record, "longest span without a new channel taken: {} ms, with {seen} tries", longest.as_millis())?;
    let broken = longest > CONTACT && seen >= TRIES && says_ready == ready.len() || !alive;
    writeln!(record, "{}", if broken { "BROKEN" } else { "held" })?;
    Ok(broken)
}

/// Returns the longest span between two tries that were answered (or the ends), and the tries in it.
fn longest_closed(tries: &[Try]) -> (time::Duration, usize) {
    let (mut from, mut inside, mut best) = (time::Duration::ZERO, 0, (time::Duration::ZERO, 0));
    for one in tries {
        if one.answered {
            (from, inside) = (one.at, 0);
            continue;
        }
        inside += 1;
        if one.at.saturating_sub(from) > best.0 {
            best = (one.at.saturating_sub(from), inside);
        }
    }
    best
}

/// An ordinary consumer: one request on a new channel, and one retry after the time it is told.
fn consume(front: SocketAddr, number: usize, started: time::Instant, tries: &Mutex<Vec<Try>>) -> bool {
    for attempt in 0..2 {
        let request = format!(
            "GET /read/{number} HTTP/1.1\r\nHost: h.example\r\nRequest-Id: c{number}-{attempt}\r\n\
             Deadline-Ms: 3000\r\nX-Api-Key: key-1\r\n\r\n"
        );
        let at = started.elapsed();
        let answer = net::call(front, request.as_bytes(), time::Duration::from_millis(3000));
        let answered = answer.as_ref().is_ok_and(|answer| answer.status == 200);
        tries.lock().expect("the tries").push(Try { at, answered });
        if answered {
            return true;
        }
        let wait = answer.ok().and_then(|answer| answer.headers.get("retry-after")?.parse().ok());
        thread::sleep(time::Duration::from_secs_f64(wait.unwrap_or(0.3_f64).min(1.0)));
    }
    false
}

/// Keeps a crowd of clients. Each sends one small request and reads its answer. Once all have, or the
/// machine takes no more of them, they send empty lines, one a second, until the machine closes
/// their channels; then they come again.
fn crowd(front: SocketAddr, stop: &AtomicBool, held: &AtomicU64) {
    let is_over = || stop.load(Ordering::Relaxed);
    while !is_over() {
        let mut clients = Vec::new();
        fill(front, &mut clients, FIRST_REFUSALS, stop);
        while !clients.is_empty() && !is_over() {
            held.fetch_max(clients.len() as u64, Ordering::Relaxed);
            clients.retain_mut(|stream| stream.write_all(b"\r\n").is_ok() && !is_closed(stream));
            fill(front, &mut clients, LATER_REFUSALS, stop);
            thread::sleep(time::Duration::from_millis(900));
        }
    }
}

/// Lets clients enter until the crowd is complete or the machine has refused one often enough.
fn fill(front: SocketAddr, clients: &mut Vec<TcpStream>, refusals: u32, stop: &AtomicBool) {
    let mut refused = 0;
    while clients.len() < CLIENTS && refused < refusals && !stop.load(Ordering::Relaxed) {
        match enter(front) {
            Some(stream) => clients.push(stream),
            None => refused += 1,
        }
    }
}

fn is_closed(stream: &mut TcpStream) -> bool {
    match stream.read(&mut [0; 64]) {
        Ok(count) => count == 0,
        Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
    }
}

/// Opens a channel and has one request answered on it: to a path that no route has.
fn enter(front: SocketAddr) -> Option<TcpStream> {
    let stream = TcpStream::connect_timeout(&front, time::Duration::from_millis(200)).ok()?;
    stream.set_read_timeout(Some(time::Duration::from_millis(500))).ok()?;
    (&stream).write_all(b"GET /none/ HTTP/1.1\r\nhost: h.example\r\nrequest-id: x\r\n\r\n").ok()?;
    let answer = net::read_answer(&mut BufReader::new(stream.try_clone().ok()?)).ok()?;
    if answer.status == 503 {
        return None;
    }
    stream.set_nonblocking(true).ok()?;
    Some(stream)
}
