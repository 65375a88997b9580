//! Clients that send one request with a body and then a head without end, against two machines, while
//! ordinary consumers call them. The stand-in of the platform kills a process that exceeds the memory
//! of its machine and starts it again.

#[allow(dead_code)]
mod fleet;
#[allow(dead_code)]
mod net;

use std::{
    env, fs,
    io::{BufReader, Write as _},
    net::{SocketAddr, TcpStream},
    path::PathBuf,
    process::ExitCode,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread, time,
};

/// Memory and descriptors of most machines of the site, and clients at each that keep no limits.
const MEMORY_MB: u64 = 160;
const MAX_FDS: usize = 4100;
const CLIENTS: usize = 3300;
/// Body of a client's first request, inside `max_body_bytes` (4,194,304).
const BODY_BYTES: usize = 40_000;
/// Bytes of the head that follows and does not end, inside `max_header_bytes` (16,384).
const HEAD_BYTES: usize = 8_000;
/// Ends of a process on each of two machines that make a day count nothing.
const ENDS: u64 = 3;
const WATCH: time::Duration = time::Duration::from_secs(45);
/// Time after which the platform starts a process again.
const RESTART_DELAY: time::Duration = time::Duration::from_secs(1);

const CONFIG: &str = r#"{"version":1,"routes":[{"name":"read","host":"h.example","prefix":"/read/",
"kind":"idempotent","service":"ledger","timeout_ms":1500,"target_latency_ms":300,"priority":2,
"max_attempts":2}],"services":[{"name":"ledger","health_path":"/health","max_conns":410}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
"idle_timeout_ms":15000},"tenants":[{"name":"one","api_keys":["key-1"]}]}"#;

/// What the platform and the consumers see of one machine.
#[derive(Default)]
struct Seen {
    peak: AtomicU64,
    ends: AtomicU64,
    served: AtomicU64,
    cut: AtomicU64,
    other: AtomicU64,
    lines: Mutex<Vec<String>>,
}

fn main() -> ExitCode {
    match run() {
        Ok(true) => ExitCode::from(1),
        Ok(false) => ExitCode::SUCCESS,
        Err(error) => {
            println!("could not run: {error}");
            ExitCode::from(2)
        }
    }
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
    let extra =
        format!("limits.cpu_share=0.12\nlimits.memory_mb={MEMORY_MB}\nlimits.max_fds={MAX_FDS}\n");
    let ports = [fleet::Ports::find()?, fleet::Ports::find()?];
    let stop = Arc::new(AtomicBool::new(false));
    let started = time::Instant::now();
    let mut seen = Vec::new();
    let mut threads = Vec::new();
    for (number, own) in ports.into_iter().enumerate() {
        let name = format!("node-{number}");
        let gateway = fleet::Gateway::start(&name, own, &ports, store_address, &extra, &folder)?;
        if !gateway.wait_ready(time::Duration::from_secs(15)) {
            return Err(std::io::Error::other("a gateway did not become ready"));
        }
        let one = Arc::new(Seen::default());
        seen.push(one.clone());
        let (watched, watch_stop) = (one.clone(), stop.clone());
        threads.push(thread::spawn(move || watch(gateway, &watched, started, &watch_stop)));
        let (consumer, consumer_stop) = (one.clone(), stop.clone());
        threads.push(thread::spawn(move || consume(own.front, &consumer, &consumer_stop)));
        if trouble {
            let crowd_stop = stop.clone();
            threads.push(thread::spawn(move || crowd(own.front, &crowd_stop)));
        }
    }
    let is_over = || seen.iter().all(|one| one.ends.load(Ordering::Relaxed) >= ENDS);
    while started.elapsed() < WATCH && !is_over() {
        thread::sleep(time::Duration::from_millis(100));
    }
    stop.store(true, Ordering::Relaxed);
    threads.into_iter().for_each(|one| drop(one.join()));
    writeln!(record, "trouble {trouble}; limit {MEMORY_MB} MB a machine")?;
    for (number, one) in seen.iter().enumerate() {
        let count = |value: &AtomicU64| value.load(Ordering::Relaxed);
        for line in one.lines.lock().expect("the lines").iter() {
            writeln!(record, "node-{number}: {line}")?;
        }
        writeln!(record, "node-{number}: peak {} MB, killed for its memory {} times; ordinary requests: \
            {} served, {} cut off or not answered, {} answered otherwise",
            count(&one.peak) / (1 << 20), count(&one.ends), count(&one.served), count(&one.cut),
            count(&one.other))?;
    }
    writeln!(record, "requests run by the replicas: {}", runs.load(Ordering::Relaxed))?;
    writeln!(record, "{}", if is_over() { "BROKEN" } else { "held" })?;
    Ok(is_over())
}

/// The platform: kills the process of a machine once it exceeds the memory, and starts it again.
fn watch(mut gateway: fleet::Gateway, seen: &Seen, started: time::Instant, stop: &AtomicBool) {
    while !stop.load(Ordering::Relaxed) {
        let memory = gateway.memory();
        seen.peak.fetch_max(memory, Ordering::Relaxed);
        if memory > MEMORY_MB * (1 << 20) {
            gateway.kill();
            seen.ends.fetch_add(1, Ordering::Relaxed);
            seen.lines.lock().expect("the lines").push(format!(
                "{} ms: {} MB in use, killed", started.elapsed().as_millis(), memory / (1 << 20)
            ));
            thread::sleep(RESTART_DELAY);
            if gateway.restart().is_err() {
                return;
            }
        }
        thread::sleep(time::Duration::from_millis(10));
    }
}

/// Ordinary consumers: ten requests a second, each with a body of 18 kB, on new channels.
fn consume(front: SocketAddr, seen: &Arc<Seen>, stop: &AtomicBool) {
    let mut number = 0;
    while !stop.load(Ordering::Relaxed) {
        let seen = seen.clone();
        thread::spawn(move || {
            let head = format!(
                "POST /read/{number} HTTP/1.1\r\nHost: h.example\r\nRequest-Id: c{number}\r\n\
                 Deadline-Ms: 3000\r\nX-Api-Key: key-1\r\nContent-Length: 18000\r\n\r\n"
            );
            let request = [head.into_bytes(), vec![b'q'; 18_000]].concat();
            let counter = match net::call(front, &request, time::Duration::from_secs(3)) {
                Ok(answer) if answer.status == 200 => &seen.served,
                Ok(_) => &seen.other,
                Err(_) => &seen.cut,
            };
            counter.fetch_add(1, Ordering::Relaxed);
        });
        number += 1;
        thread::sleep(time::Duration::from_millis(100));
    }
}

/// Clients that keep no limits: each sends one request with a body, reads its answer and sends the
/// beginning of a head that does not end. They hold their channels; once these are closed they come
/// again.
fn crowd(front: SocketAddr, stop: &AtomicBool) {
    while !stop.load(Ordering::Relaxed) {
        let mut clients = Vec::new();
        let mut refused = 0;
        while clients.len() < CLIENTS && refused < 50 && !stop.load(Ordering::Relaxed) {
            match enter(front) {
                Some(stream) => clients.push(stream),
                None => {
                    refused += 1;
                    thread::sleep(time::Duration::from_millis(20));
                }
            }
        }
        thread::sleep(time::Duration::from_secs(1));
    }
}

fn enter(front: SocketAddr) -> Option<TcpStream> {
    let stream = TcpStream::connect_timeout(&front, time::Duration::from_millis(500)).ok()?;
    stream.set_read_timeout(Some(time::Duration::from_secs(2))).ok()?;
    stream.set_write_timeout(Some(time::Duration::from_secs(2))).ok()?;
    let head = format!(
        "POST /none/ HTTP/1.1\r\nhost: h.example\r\nrequest-id: x\r\ncontent-length: {BODY_BYTES}\r\n\r\n"
    );
    (&stream).write_all(&[head.into_bytes(), vec![b'b'; BODY_BYTES]].concat()).ok()?;
    let answer = net::read_answer(&mut BufReader::new(stream.try_clone().ok()?)).ok()?;
    if answer.status != 404 {
        return None;
    }
    let endless = [b"GET /none/ HTTP/1.1\r\nx-long: ".to_vec(), vec![b'y'; HEAD_BYTES]].concat();
    (&stream).write_all(&endless).ok()?;
    Some(stream)
}
