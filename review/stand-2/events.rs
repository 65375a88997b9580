//! Engines in trouble whose streams are bytes without end that complete no event, while two machines
//! serve the streams of the site's sheet. The stand-in of the platform kills a process that exceeds the
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
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread, time,
};

/// Memory of a machine of the site, and its descriptors.
const MEMORY_MB: u64 = 260;
const MAX_FDS: usize = 4100;
/// Engines of the site.
const ENGINES: usize = 9;
/// Bytes that an engine in trouble sends as fast as they are taken; then it sends one now and then,
/// without end.
const FAST_BYTES: usize = 3_900_000;
const WATCH: time::Duration = time::Duration::from_secs(45);

/// The streams of the sheet: path, requests a second at all machines, deadline, events, gap between.
const KINDS: [(&str, f64, u64, usize, u64); 3] = [
    ("informe", 6.23, 6_000, 13, 40),
    ("historial", 8.57, 6_000, 6, 40),
    ("consulta", 9.48, 20_000, 70, 40),
];
/// The machines, which have all of that.
const MACHINES: usize = 2;

const CONFIG: &str = r#"{"version":1,"routes":[
{"name":"informe","host":"h.example","prefix":"/informe/","kind":"streaming","service":"engine",
"timeout_ms":6000,"target_latency_ms":1400,"priority":0,"max_attempts":2,"resumable":true,"sticky":true,
"gap_aim_ms":400},
{"name":"historial","host":"h.example","prefix":"/historial/","kind":"streaming","service":"engine",
"timeout_ms":6000,"target_latency_ms":2700,"priority":1,"max_attempts":1,"resumable":false,"sticky":true,
"gap_aim_ms":400},
{"name":"consulta","host":"h.example","prefix":"/consulta/","kind":"streaming","service":"engine",
"timeout_ms":20000,"target_latency_ms":3100,"priority":2,"max_attempts":2,"resumable":true,"sticky":true,
"gap_aim_ms":400}],
"services":[{"name":"engine","health_path":"/health","max_conns":500,
"engine":{"slots":96,"kv_capacity_tokens":235284,"stride":4}}],
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
    let (begun, spoiled) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    for number in 0..ENGINES {
        let id = format!("engine-{number}");
        let (own, begun, spoiled) = (id.clone(), begun.clone(), spoiled.clone());
        let address = net::listen("127.0.0.1:0", move |stream| {
            serve_engine(&own, stream, trouble, &begun, &spoiled).ok();
        })?;
        store.put("servers", &id, Some(&format!(
            "{{\"service\":\"engine\",\"address\":\"{address}\",\"zone\":\"a\",\"version\":\"v1\",\
             \"slots\":96,\"state\":\"ready\",\"cold_left_ms\":0,\"seq\":1,\"born\":1}}"
        )));
    }
    store.put("op", "config", Some(CONFIG));
    let extra =
        format!("limits.cpu_share=0.25\nlimits.memory_mb={MEMORY_MB}\nlimits.max_fds={MAX_FDS}\n");
    let mut platform = platform::Platform::start(MACHINES, MEMORY_MB, store_address, &extra, &folder)?;
    for (number, front) in platform.fronts().into_iter().enumerate() {
        for kind in KINDS {
            let (seen, stop) = (platform.seen(number), platform.stop());
            platform.add(thread::spawn(move || consume(front, kind, &seen, &stop)));
        }
    }
    let broken = platform.watch(WATCH);
    writeln!(record, "trouble {trouble}; limit {MEMORY_MB} MB a machine")?;
    platform.write(&mut record)?;
    let count = |value: &AtomicU64| value.load(Ordering::Relaxed);
    writeln!(record, "streams begun by the engines: {}, of them without end: {}", count(&begun), count(&spoiled))?;
    writeln!(record, "{}", if broken { "BROKEN" } else { "held" })?;
    Ok(broken)
}

/// Ordinary consumers of one kind of request at one machine, each on a new channel.
fn consume(
    front: SocketAddr,
    (path, rate, deadline, _, _): (&'static str, f64, u64, usize, u64),
    seen: &Arc<platform::Seen>,
    stop: &AtomicBool,
) {
    let pause = time::Duration::from_secs_f64(MACHINES as f64 / rate);
    let mut number = 0;
    while !stop.load(Ordering::Relaxed) {
        let seen = seen.clone();
        thread::spawn(move || {
            let request = format!(
                "POST /{path}/{number} HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {path}-{number}-{}\r\n\
                 Model: m\r\nToken-Counts: 1800,30\r\nPrefix-Hash: a{}:341,b{number}:227\r\n\
                 Deadline-Ms: {deadline}\r\nX-Api-Key: key-1\r\nContent-Length: 0\r\n\r\n",
                front.port(), number % 8
            );
            let counter = match read_stream(front, &request, deadline) {
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
fn read_stream(front: SocketAddr, request: &str, deadline: u64) -> std::io::Result<bool> {
    let stream = TcpStream::connect_timeout(&front, time::Duration::from_secs(1))?;
    stream.set_read_timeout(Some(time::Duration::from_millis(deadline + 1000)))?;
    (&stream).write_all(request.as_bytes())?;
    let mut reader = BufReader::new(stream);
    if net::read_answer(&mut reader)?.status != 200 {
        return Ok(false);
    }
    let mut end = [0; 5];
    let mut bytes = [0; 4096];
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

fn serve_engine(
    id: &str,
    stream: TcpStream,
    trouble: bool,
    begun: &AtomicU64,
    spoiled: &AtomicU64,
) -> std::io::Result<()> {
    let mut writer = stream.try_clone()?;
    writer.set_nodelay(true)?;
    let mut reader = BufReader::new(stream);
    while let Some(request) = net::read_request(&mut reader)? {
        if request.header("expect-instance") != id {
            fleet::answer(&mut writer, "421 Misdirected Request", "", b"")?;
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
        if trouble {
            spoiled.fetch_add(1, Ordering::Relaxed);
            return send_without_end(&mut writer);
        }
        let after: usize = request.header("last-event-id").parse().unwrap_or(0);
        let kind = KINDS.iter().find(|kind| request.target.starts_with(&format!("/{}/", kind.0)));
        let (events, gap) = kind.map_or((1, 0), |kind| (kind.3, kind.4));
        for event in after + 1..=events {
            let text = format!("id: {event}\ndata: {number} of {event}\n\n");
            writer.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
            thread::sleep(time::Duration::from_millis(gap));
        }
        writer.write_all(b"0\r\n\r\n")?;
    }
    Ok(())
}

/// Sends bytes that complete no event until the caller closes.
fn send_without_end(writer: &mut TcpStream) -> std::io::Result<()> {
    let block = [b"10000\r\n".to_vec(), vec![b'y'; 0x10000], b"\r\n".to_vec()].concat();
    for _ in 0..FAST_BYTES / 0x10000 {
        writer.write_all(&block)?;
    }
    loop {
        writer.write_all(b"1\r\ny\r\n")?;
        thread::sleep(time::Duration::from_millis(200));
    }
}
