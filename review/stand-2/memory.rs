//! Clients that hold their channels with empty lines and small requests, after one request with a
//! body, against two machines, while ordinary consumers call them. The stand-in of the platform kills a
//! process that exceeds the memory of its machine and starts it again.

#[allow(dead_code)]
mod fleet;
mod kept;
#[allow(dead_code)]
mod net;
mod platform;

use std::{
    env, fs,
    io::{BufReader, Read as _, Write as _},
    net::{SocketAddr, TcpStream},
    path::PathBuf,
    process::ExitCode,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread, time,
};

/// Memory and descriptors of the machines, and clients at each that the users don't control.
const MEMORY_MB: u64 = 160;
const MAX_FDS: usize = 4100;
const CLIENTS: usize = 3300;
/// Body of a client's first request, inside `max_body_bytes` (4,194,304).
const BODY_BYTES: usize = 30_000;
/// Clients that come in a second: 1.8 MB, where the link of the machine has 2.5 MB.
const ENTER_PER_S: f64 = 60.0;
/// Time between the small requests of a client, inside `idle_timeout_ms` (15,000).
const PAUSE: time::Duration = time::Duration::from_secs(8);
const SMALL: &[u8] = b"\r\nGET /none/ HTTP/1.1\r\nhost: h.example\r\nrequest-id: x\r\n\r\n";
/// Engines, and the streams of the sheet at each machine in a second (660 at 295 machines).
const ENGINES: usize = 9;
const RATE: f64 = 2.24;
/// Ends of each process after which enough was seen.
const ENDS: u64 = 2;
const WATCH: time::Duration = time::Duration::from_secs(100);

const CONFIG: &str = r#"{"version":1,"routes":[{"name":"read","host":"h.example","prefix":"/read/",
"kind":"idempotent","service":"ledger","timeout_ms":1500,"target_latency_ms":300,"priority":2,
"max_attempts":2},
{"name":"historial","host":"h.example","prefix":"/historial/","kind":"streaming","service":"engine",
"timeout_ms":6000,"target_latency_ms":2700,"priority":1,"max_attempts":1,"resumable":false,"sticky":true,
"gap_aim_ms":400}],"services":[{"name":"engine","health_path":"/health","max_conns":670,
"engine":{"slots":64,"kv_capacity_tokens":246127,"stride":5}},{"name":"ledger","health_path":"/health","max_conns":410}],
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
    let ledger = Arc::new(kept::Ledger::default());
    for number in 0..ENGINES {
        let id = format!("engine-{number}");
        let (own, ledger) = (id.clone(), ledger.clone());
        let address = net::listen("127.0.0.1:0", move |stream| {
            serve_engine(&own, stream, &ledger).ok();
        })?;
        kept::register(&store, &id, "engine", address, 64);
    }
    store.put("op", "config", Some(CONFIG));
    let extra =
        format!("limits.cpu_share=0.12\nlimits.memory_mb={MEMORY_MB}\nlimits.max_fds={MAX_FDS}\n");
    let mut platform = platform::Platform::start(2, MEMORY_MB, store_address, &extra, &folder)?;
    for (number, front) in platform.fronts().into_iter().enumerate() {
        let (seen, stop, ledger) = (platform.seen(number), platform.stop(), ledger.clone());
        let kind =
            kept::Kind { path: "historial", rate: RATE, deadline_ms: 6_000, headers: "" };
        platform.add(thread::spawn(move || kept::consume(front, kind, &seen, &ledger, &stop)));
        if trouble {
            let stop = platform.stop();
            platform.add(thread::spawn(move || crowd(front, &stop)));
        }
    }
    platform.watch(WATCH, ENDS);
    let lost = ledger.lost();
    platform.end();
    writeln!(record, "trouble {trouble}; limit {MEMORY_MB} MB a machine")?;
    platform.write(&mut record)?;
    writeln!(record, "requests of kept channels passed on to sound engines and closed without an answer: {}; {}",
        lost.len(), lost.join(" "))?;
    let broken = lost.len() > kept::ALLOWED;
    writeln!(record, "{}", if broken { "BROKEN" } else { "held" })?;
    Ok(broken)
}

fn serve_engine(id: &str, stream: TcpStream, ledger: &kept::Ledger) -> std::io::Result<()> {
    let mut writer = stream.try_clone()?;
    writer.set_nodelay(true)?;
    let mut reader = BufReader::new(stream);
    while let Some(request) = net::read_request(&mut reader)? {
        if request.header("expect-instance") != id {
            fleet::answer(&mut writer, "421 Misdirected Request", "", b"")?;
            continue;
        }
        kept::answer_soundly(&mut writer, &request, 5, 40, ledger)?;
    }
    Ok(())
}

/// Clients that come one after the other, as fast as the link allows. Each sends one request with a body,
/// and then an empty line and a small request now and then.
fn crowd(front: SocketAddr, stop: &AtomicBool) {
    let pause = time::Duration::from_secs_f64(1.0 / ENTER_PER_S);
    let mut clients: Vec<(TcpStream, time::Instant)> = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        let began = time::Instant::now();
        if clients.len() < CLIENTS
            && let Some(stream) = enter(front)
        {
            clients.push((stream, time::Instant::now()));
        }
        clients.retain_mut(|(stream, last)| {
            if last.elapsed() < PAUSE {
                return true;
            }
            *last = time::Instant::now();
            let answered = stream.read(&mut [0; 4096]);
            let closed = match answered {
                Ok(count) => count == 0,
                Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
            };
            !closed && stream.write_all(SMALL).is_ok()
        });
        thread::sleep(pause.saturating_sub(began.elapsed()));
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
    stream.set_nonblocking(true).ok()?;
    Some(stream)
}
