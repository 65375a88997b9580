//! One engine in trouble that repeats an event without end, while two machines serve requests whose
//! stages have to run before the engines. The stand-in of the platform kills a process that exceeds the
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
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
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
/// Ends of each process after which enough was seen.
const ENDS: u64 = 3;
const WATCH: time::Duration = time::Duration::from_secs(85);

const CONFIG: &str = r#"{"version":1,"routes":[
{"name":"read","host":"h.example","prefix":"/read/","kind":"idempotent","service":"ledger",
"timeout_ms":1500,"target_latency_ms":300,"priority":2,"max_attempts":2},
{"name":"consulta","host":"h.example","prefix":"/consulta/","kind":"streaming","service":"engine",
"timeout_ms":20000,"target_latency_ms":3100,"priority":2,"max_attempts":2,"resumable":true,"sticky":true,
"gap_aim_ms":400,"stages":[{"service":"spot","after":[],"bytes":8000},
{"service":"identity","after":[0],"bytes":60000},{"service":"filing","after":[1],"bytes":6000}]}],
"services":[{"name":"ledger","health_path":"/health","max_conns":110},
{"name":"engine","health_path":"/health","max_conns":500,
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
    let (runs, repeated) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    for name in ["ledger-1", "ledger-2"] {
        fleet::start_replica(name, &store, &runs)?;
    }
    let ledger = Arc::new(kept::Ledger::default());
    for number in 0..ENGINES {
        let id = format!("engine-{number}");
        let in_trouble = trouble && number == 0;
        let (own, ledger, repeated) = (id.clone(), ledger.clone(), repeated.clone());
        let address = net::listen("127.0.0.1:0", move |stream| {
            serve_engine(&own, stream, in_trouble, &ledger, &repeated).ok();
        })?;
        kept::register(&store, &id, "engine", address, 96);
    }
    let pieces = Arc::new(AtomicU64::new(0));
    for (service, workers, piece_ms) in STAGES {
        for number in 0..workers {
            let id = format!("{service}-{number}");
            let (own, pieces, turn) = (id.clone(), pieces.clone(), Mutex::new(()));
            let address = net::listen("127.0.0.1:0", move |stream| {
                serve_worker(&own, stream, piece_ms, &turn, &pieces).ok();
            })?;
            kept::register(&store, &id, service, address, 1);
        }
    }
    store.put("op", "config", Some(CONFIG));
    let extra =
        format!("limits.cpu_share=0.25\nlimits.memory_mb={MEMORY_MB}\nlimits.max_fds={MAX_FDS}\n");
    let mut platform = platform::Platform::start(MACHINES, MEMORY_MB, store_address, &extra, &folder)?;
    for (number, front) in platform.fronts().into_iter().enumerate() {
        let (seen, stop, ledger) = (platform.seen(number), platform.stop(), ledger.clone());
        let kind = kept::Kind {
            path: "consulta",
            rate: RATE / MACHINES as f64,
            deadline_ms: 20_000,
            headers: "Pieces: 1,6,10\r\nPiece-Key: k1\r\n",
        };
        platform.add(thread::spawn(move || kept::consume(front, kind, &seen, &ledger, &stop)));
    }
    platform.watch(WATCH, ENDS);
    let lost = ledger.lost();
    platform.end();
    writeln!(record, "trouble {trouble}; limit {MEMORY_MB} MB a machine")?;
    platform.write(&mut record)?;
    let count = |value: &AtomicU64| value.load(Ordering::Relaxed);
    writeln!(record, "pieces made: {}; streams without end: {}", count(&pieces), count(&repeated))?;
    writeln!(record, "requests of kept channels passed on to sound engines and closed without an answer: {}; {}",
        lost.len(), lost.join(" "))?;
    let broken = lost.len() > kept::ALLOWED;
    writeln!(record, "{}", if broken { "BROKEN" } else { "held" })?;
    Ok(broken)
}

/// An engine; one in trouble sends its first event and then that event again without end, until the
/// caller closes.
fn serve_engine(
    id: &str,
    stream: TcpStream,
    in_trouble: bool,
    ledger: &kept::Ledger,
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
        if !in_trouble {
            kept::answer_soundly(&mut writer, &request, EVENTS, GAP_MS, ledger)?;
            continue;
        }
        repeated.fetch_add(1, Ordering::Relaxed);
        thread::sleep(time::Duration::from_millis(150));
        kept::begin_stream(&mut writer, request.header("request-id"))?;
        let event = "id: 1\ndata: once more\n\n";
        writer.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        let again = event.repeat(0x10000 / event.len());
        let block = format!("{:x}\r\n{again}\r\n", again.len());
        loop {
            writer.write_all(block.as_bytes())?;
        }
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
