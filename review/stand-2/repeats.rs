//! One engine in trouble that repeats an event without end, while two machines serve requests whose
//! stages have to run before the engines. The stand-in of the platform kills a process that exceeds the
//! memory of its machine and starts it again.

#[allow(dead_code)]
mod fleet;
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
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread, time,
};

/// Memory of a machine of the site, and its descriptors.
const MEMORY_MB: u64 = 260;
const MAX_FDS: usize = 4100;
/// Engines of the site; one of them is in trouble.
const ENGINES: usize = 9;
/// Stage services of the site: name, workers, milliseconds a piece.
const STAGES: [(&str, usize, u64); 3] = [("spot", 3, 21), ("identity", 5, 11), ("filing", 5, 7)];
/// Milliseconds a call of a stage, beside its pieces.
const CALL_MS: u64 = 200;
const MACHINES: usize = 2;
/// Requests a second at all machines, as `consulta-mostrador` has.
const RATE: f64 = 9.48;
/// Events of an answer, and milliseconds between them.
const EVENTS: usize = 70;
const GAP_MS: u64 = 40;
const DEADLINE_MS: u64 = 20_000;
const WATCH: time::Duration = time::Duration::from_secs(85);

const CONFIG: &str = r#"{"version":1,"routes":[
{"name":"consulta","host":"h.example","prefix":"/consulta/","kind":"streaming","service":"engine",
"timeout_ms":20000,"target_latency_ms":3100,"priority":2,"max_attempts":2,"resumable":true,"sticky":true,
"gap_aim_ms":400,"stages":[{"service":"spot","after":[],"bytes":8000},
{"service":"identity","after":[0],"bytes":60000},{"service":"filing","after":[1],"bytes":6000}]}],
"services":[{"name":"engine","health_path":"/health","max_conns":500,
"engine":{"slots":96,"kv_capacity_tokens":235284,"stride":4}},
{"name":"spot","health_path":"/health","max_conns":500,"pieces":{"slots":1,"queue":2,"batch":8,
"call_ms":200.0,"item_ms":21.0,"headroom_mb":18.0,"handle_s":4.0,"link_mbps":10000}},
{"name":"identity","health_path":"/health","max_conns":500,"pieces":{"slots":1,"queue":2,"batch":16,
"call_ms":200.0,"item_ms":11.0,"headroom_mb":2.1,"handle_s":4.0,"link_mbps":10000}},
{"name":"filing","health_path":"/health","max_conns":500,"pieces":{"slots":1,"queue":2,"batch":26,
"call_ms":200.0,"item_ms":6.6,"headroom_mb":0.35,"handle_s":4.0,"link_mbps":10000}}],
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
    let (begun, repeated) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    for number in 0..ENGINES {
        let id = format!("engine-{number}");
        let in_trouble = trouble && number == 0;
        let (own, begun, repeated) = (id.clone(), begun.clone(), repeated.clone());
        let address = net::listen("127.0.0.1:0", move |stream| {
            serve_engine(&own, stream, in_trouble, &begun, &repeated).ok();
        })?;
        register(&store, &id, "engine", address, 96);
    }
    let pieces = Arc::new(AtomicU64::new(0));
    for (service, workers, piece_ms) in STAGES {
        for number in 0..workers {
            let id = format!("{service}-{number}");
            let (own, pieces, turn) = (id.clone(), pieces.clone(), Mutex::new(()));
            let address = net::listen("127.0.0.1:0", move |stream| {
                serve_worker(&own, stream, piece_ms, &turn, &pieces).ok();
            })?;
            register(&store, &id, service, address, 1);
        }
    }
    store.put("op", "config", Some(CONFIG));
    let extra =
        format!("limits.cpu_share=0.25\nlimits.memory_mb={MEMORY_MB}\nlimits.max_fds={MAX_FDS}\n");
    let mut platform = platform::Platform::start(MACHINES, MEMORY_MB, store_address, &extra, &folder)?;
    for (number, front) in platform.fronts().into_iter().enumerate() {
        let (seen, stop) = (platform.seen(number), platform.stop());
        platform.add(thread::spawn(move || consume(front, &seen, &stop)));
    }
    let broken = platform.watch(WATCH);
    writeln!(record, "trouble {trouble}; limit {MEMORY_MB} MB a machine")?;
    platform.write(&mut record)?;
    let count = |value: &AtomicU64| value.load(Ordering::Relaxed);
    writeln!(record, "pieces made: {}; streams begun by the engines: {}, of them without end: {}",
        count(&pieces), count(&begun), count(&repeated))?;
    writeln!(record, "{}", if broken { "BROKEN" } else { "held" })?;
    Ok(broken)
}

fn register(store: &fleet::Store, id: &str, service: &str, address: SocketAddr, slots: u32) {
    store.put("servers", id, Some(&format!(
        "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"a\",\"version\":\"v1\",\
         \"slots\":{slots},\"state\":\"ready\",\"cold_left_ms\":0,\"seq\":1,\"born\":1}}"
    )));
}

/// Ordinary consumers at one machine, each on a new channel; they read all that they are sent.
fn consume(front: SocketAddr, seen: &Arc<platform::Seen>, stop: &AtomicBool) {
    let pause = time::Duration::from_secs_f64(MACHINES as f64 / RATE);
    let mut number = 0;
    while !stop.load(Ordering::Relaxed) {
        let seen = seen.clone();
        thread::spawn(move || {
            let counter = match read_stream(front, number) {
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

/// Sends a request and reads its stream; true if it was complete, false if it was refused or failed.
fn read_stream(front: SocketAddr, number: u64) -> std::io::Result<bool> {
    let port = front.port();
    let request = format!(
        "POST /consulta/{number} HTTP/1.1\r\nHost: h.example\r\nRequest-Id: c{port}-{number}\r\n\
         Model: m\r\nToken-Counts: 543,280\r\nPrefix-Hash: a{}:103,b{port}{number}:69\r\n\
         Pieces: 1,6,10\r\nPiece-Key: k{port}{number}\r\nDeadline-Ms: {DEADLINE_MS}\r\n\
         X-Api-Key: key-1\r\nContent-Length: 0\r\n\r\n",
        number % 20
    );
    let stream = TcpStream::connect_timeout(&front, time::Duration::from_secs(1))?;
    stream.set_read_timeout(Some(time::Duration::from_millis(DEADLINE_MS)))?;
    (&stream).write_all(request.as_bytes())?;
    let mut reader = BufReader::new(stream);
    if net::read_answer(&mut reader)?.status != 200 {
        return Ok(false);
    }
    let mut end = [0; 5];
    let mut bytes = [0; 65536];
    loop {
        let count = reader.read(&mut bytes)?;
        if count == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        let tail = [&end[..], &bytes[..count]].concat();
        end.copy_from_slice(&tail[tail.len() - 5..]);
        if &end == b"0\r\n\r\n" {
            return Ok(true);
        }
    }
}

/// An engine; one in trouble sends its first event and then that event again without end, until the
/// caller closes.
fn serve_engine(
    id: &str,
    stream: TcpStream,
    in_trouble: bool,
    begun: &AtomicU64,
    repeated: &AtomicU64,
) -> std::io::Result<()> {
    let mut writer = stream.try_clone()?;
    writer.set_nodelay(true)?;
    let mut reader = BufReader::new(stream);
    while let Some(request) = net::read_request(&mut reader)? {
        if request.header("expect-instance") != id {
            fleet::answer(&mut writer, "421 Misdirected Request", "", b"")?;
            continue;
        }
        if request.header("inputs").split(',').count() != 10 {
            fleet::answer(&mut writer, "400 Bad Request", "Not-Executed: 1\r\n", b"")?;
            continue;
        }
        let number = begun.fetch_add(1, Ordering::Relaxed);
        thread::sleep(time::Duration::from_millis(150));
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {}\r\nResponse-Stamp: s.{number}\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            request.header("request-id")
        );
        writer.write_all(head.as_bytes())?;
        let after: usize = request.header("last-event-id").parse().unwrap_or(0);
        for event in after + 1..=EVENTS {
            let text = format!("id: {event}\ndata: {number} of {event}\n\n");
            let chunk = format!("{:x}\r\n{text}\r\n", text.len());
            writer.write_all(chunk.as_bytes())?;
            if in_trouble {
                repeated.fetch_add(1, Ordering::Relaxed);
                let again = text.repeat(0x10000 / text.len());
                let block = format!("{:x}\r\n{again}\r\n", again.len());
                loop {
                    writer.write_all(block.as_bytes())?;
                }
            }
            thread::sleep(time::Duration::from_millis(GAP_MS));
        }
        writer.write_all(b"0\r\n\r\n")?;
    }
    Ok(())
}

/// A worker of a stage: makes all pieces of a call, one call at a time, and keeps no results.
fn serve_worker(
    id: &str,
    stream: TcpStream,
    piece_ms: u64,
    turn: &Mutex<()>,
    pieces: &AtomicU64,
) -> std::io::Result<()> {
    let address = stream.local_addr()?;
    let mut writer = stream.try_clone()?;
    writer.set_nodelay(true)?;
    let mut reader = BufReader::new(stream);
    while let Some(request) = net::read_request(&mut reader)? {
        if request.path() != "/v1/stage-run" {
            fleet::answer(&mut writer, "200 OK", "", b"{}")?;
            continue;
        }
        if request.header("expect-instance") != id {
            fleet::answer(&mut writer, "421 Misdirected Request", "", b"")?;
            continue;
        }
        let count = String::from_utf8_lossy(&request.body).matches("\"piece\":").count() as u64;
        let own = turn.lock().expect("the turn");
        thread::sleep(time::Duration::from_millis(CALL_MS + piece_ms * count));
        drop(own);
        let first = pieces.fetch_add(count, Ordering::Relaxed);
        let handles = (first..first + count).map(|number| format!("{{\"handle\":\"{address}/{number:x}\"}}"));
        let body = format!("{{\"items\":[{}]}}", handles.collect::<Vec<_>>().join(","));
        let headers = "Content-Type: application/json\r\nLoad-Report: 0,0,1\r\n";
        fleet::answer(&mut writer, "200 OK", headers, body.as_bytes())?;
    }
    Ok(())
}
