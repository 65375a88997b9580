//! Engines in trouble whose streams are bytes without end that complete no event, while two machines
//! serve the streams of the site's sheet. The stand-in of the platform kills a process that exceeds the
//! memory of its machine and starts it again.

#[allow(dead_code)]
mod fleet;
mod kept;
#[allow(dead_code)]
mod net;
mod platform;

use std::{
    env, fs,
    io::{BufReader, Write as _},
    net::TcpStream,
    path::PathBuf,
    process::ExitCode,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread, time,
};

/// Memory of a machine of the site, and its descriptors.
const MEMORY_MB: u64 = 260;
const MAX_FDS: usize = 4100;
/// Engines of the site, and how many of them are in trouble.
const ENGINES: usize = 9;
const FAULTY: usize = 7;
/// Bytes that an engine in trouble sends as fast as they are taken; then it sends one now and then,
/// without end.
const FAST_BYTES: usize = 3_900_000;
/// Ends of each process after which enough was seen.
const ENDS: u64 = 3;
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
{"name":"read","host":"h.example","prefix":"/read/","kind":"idempotent","service":"ledger",
"timeout_ms":1500,"target_latency_ms":300,"priority":2,"max_attempts":2},
{"name":"informe","host":"h.example","prefix":"/informe/","kind":"streaming","service":"engine",
"timeout_ms":6000,"target_latency_ms":1400,"priority":0,"max_attempts":2,"resumable":true,"sticky":true,
"gap_aim_ms":400},
{"name":"historial","host":"h.example","prefix":"/historial/","kind":"streaming","service":"engine",
"timeout_ms":6000,"target_latency_ms":2700,"priority":1,"max_attempts":1,"resumable":false,"sticky":true,
"gap_aim_ms":400},
{"name":"consulta","host":"h.example","prefix":"/consulta/","kind":"streaming","service":"engine",
"timeout_ms":20000,"target_latency_ms":3100,"priority":2,"max_attempts":2,"resumable":true,"sticky":true,
"gap_aim_ms":400}],
"services":[{"name":"ledger","health_path":"/health","max_conns":110},
{"name":"engine","health_path":"/health","max_conns":500,
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
    let (runs, spoiled) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    for name in ["ledger-1", "ledger-2"] {
        fleet::start_replica(name, &store, &runs)?;
    }
    let ledger = Arc::new(kept::Ledger::default());
    for number in 0..ENGINES {
        let id = format!("engine-{number}");
        let in_trouble = trouble && number < FAULTY;
        let (own, ledger, spoiled) = (id.clone(), ledger.clone(), spoiled.clone());
        let address = net::listen("127.0.0.1:0", move |stream| {
            serve_engine(&own, stream, in_trouble, &ledger, &spoiled).ok();
        })?;
        kept::register(&store, &id, "engine", address, 96);
    }
    store.put("op", "config", Some(CONFIG));
    let extra =
        format!("limits.cpu_share=0.25\nlimits.memory_mb={MEMORY_MB}\nlimits.max_fds={MAX_FDS}\n");
    let mut platform = platform::Platform::start(MACHINES, MEMORY_MB, store_address, &extra, &folder)?;
    for (number, front) in platform.fronts().into_iter().enumerate() {
        for kind in KINDS {
            let (seen, stop, ledger) = (platform.seen(number), platform.stop(), ledger.clone());
            let kind = kept::Kind {
                path: kind.0,
                rate: kind.1 / MACHINES as f64,
                deadline_ms: kind.2,
                headers: "",
            };
            platform.add(thread::spawn(move || kept::consume(front, kind, &seen, &ledger, &stop)));
        }
    }
    platform.watch(WATCH, ENDS);
    let lost = ledger.lost();
    platform.end();
    writeln!(record, "trouble {trouble}; limit {MEMORY_MB} MB a machine")?;
    platform.write(&mut record)?;
    let count = |value: &AtomicU64| value.load(Ordering::Relaxed);
    writeln!(record, "streams without end: {}", count(&spoiled))?;
    writeln!(record, "requests of kept channels passed on to sound engines and closed without an answer: {}; {}",
        lost.len(), lost.join(" "))?;
    let broken = lost.len() > kept::ALLOWED;
    writeln!(record, "{}", if broken { "BROKEN" } else { "held" })?;
    Ok(broken)
}

fn serve_engine(
    id: &str,
    stream: TcpStream,
    in_trouble: bool,
    ledger: &kept::Ledger,
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
        if in_trouble {
            spoiled.fetch_add(1, Ordering::Relaxed);
            thread::sleep(time::Duration::from_millis(150));
            kept::begin_stream(&mut writer, request.header("request-id"))?;
            return send_without_end(&mut writer);
        }
        let kind = KINDS.iter().find(|kind| request.target.starts_with(&format!("/{}/", kind.0)));
        let (events, gap) = kind.map_or((1, 0), |kind| (kind.3, kind.4));
        kept::answer_soundly(&mut writer, &request, events, gap, ledger)?;
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
