//! Clients that send one request with a body and then a head without end, against two machines, while
//! ordinary consumers call them. The stand-in of the platform kills a process that exceeds the memory
//! of its machine and starts it again.

#[allow(dead_code)]
mod fleet;
#[allow(dead_code)]
mod net;
mod platform;

use std::{
    env, fs,
    io::{BufReader, Write as _},
    net::{SocketAddr, TcpStream},
    path::PathBuf,
    process::ExitCode,
    sync::{
        Arc,
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
const WATCH: time::Duration = time::Duration::from_secs(45);

const CONFIG: &str = r#"{"version":1,"routes":[{"name":"read","host":"h.example","prefix":"/read/",
"kind":"idempotent","service":"ledger","timeout_ms":1500,"target_latency_ms":300,"priority":2,
"max_attempts":2}],"services":[{"name":"ledger","health_path":"/health","max_conns":410}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
"idle_timeout_ms":15000},"tenants":[{"name":"one","api_keys":["key-1"]}]}"#;

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
    let extra =
        format!("limits.cpu_share=0.12\nlimits.memory_mb={MEMORY_MB}\nlimits.max_fds={MAX_FDS}\n");
    let mut platform = platform::Platform::start(2, MEMORY_MB, store_address, &extra, &folder)?;
    for (number, front) in platform.fronts().into_iter().enumerate() {
        let (seen, stop) = (platform.seen(number), platform.stop());
        platform.add(thread::spawn(move || consume(front, &seen, &stop)));
        if trouble {
            let stop = platform.stop();
            platform.add(thread::spawn(move || crowd(front, &stop)));
        }
    }
    let broken = platform.watch(WATCH);
    writeln!(record, "trouble {trouble}; limit {MEMORY_MB} MB a machine")?;
    platform.write(&mut record)?;
    writeln!(record, "requests run by the replicas: {}", runs.load(Ordering::Relaxed))?;
    writeln!(record, "{}", if broken { "BROKEN" } else { "held" })?;
    Ok(broken)
}

/// Ordinary consumers: ten requests a second, each with a body of 18 kB, on new channels.
fn consume(front: SocketAddr, seen: &Arc<platform::Seen>, stop: &AtomicBool) {
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
