//! The settings files of two machines get keys that are empty; then the machines are restarted in turn.

#[allow(dead_code)]
mod fleet;
#[allow(dead_code)]
mod net;
#[allow(dead_code)]
mod platform;

use std::{
    env, fs,
    io::Write as _,
    path::PathBuf,
    process::ExitCode,
    sync::{Arc, atomic::AtomicU64},
    thread, time,
};

/// Keys that the pages in force don't explain. The pages say that such keys may be empty.
const EMPTY_KEYS: &str = "bounds.exposure_share=\nbounds.exposure_slack=\nbounds.rollback_ms=\n";
/// `bounds.grace_s`.
const GRACE: time::Duration = time::Duration::from_secs(8);
/// Time after which the platform starts a process again that has ended, and how often it does here.
const RESTART_DELAY: time::Duration = time::Duration::from_secs(1);
const STARTS: usize = 3;
const READY_LIMIT: time::Duration = time::Duration::from_secs(10);
const REQUESTS: usize = 20;

const CONFIG: &str = r#"{"version":1,"routes":[{"name":"read","host":"h.example","prefix":"/read/",
"kind":"idempotent","service":"ledger","timeout_ms":1500,"target_latency_ms":300,"priority":2,
"max_attempts":2}],"services":[{"name":"ledger","health_path":"/health","max_conns":110}],
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
    let extra = "limits.cpu_share=0.25\nlimits.memory_mb=260\nlimits.max_fds=4100\n";
    let ports = [fleet::Ports::find()?, fleet::Ports::find()?];
    let mut machines = Vec::new();
    for (number, own) in ports.into_iter().enumerate() {
        let name = format!("node-{number}");
        let one = fleet::Gateway::start(&name, own, &ports, store_address, extra, &folder)?;
        if !one.wait_ready(time::Duration::from_secs(15)) {
            return Err(std::io::Error::other("a gateway did not become ready"));
        }
        machines.push(one);
    }
    writeln!(record, "trouble {trouble}; before: {} of {REQUESTS} requests served", served(&machines))?;
    for one in &machines {
        if trouble {
            one.add_settings(EMPTY_KEYS)?;
        }
        one.signal("HUP")?;
    }
    thread::sleep(time::Duration::from_secs(1));
    let mut failed = 0;
    for (number, one) in machines.iter_mut().enumerate() {
        writeln!(record, "node-{number}: settings changed, SIGHUP sent; last line: {}", one.last_line())?;
        one.signal("TERM")?;
        let ended = one.wait_end(GRACE);
        one.kill();
        writeln!(record, "node-{number}: SIGTERM sent, ended within grace_s: {ended}")?;
        let mut ready = false;
        for start in 1..=STARTS {
            thread::sleep(RESTART_DELAY);
            one.restart()?;
            let until = time::Instant::now() + READY_LIMIT;
            while !ready && one.is_alive() && time::Instant::now() < until {
                thread::sleep(time::Duration::from_millis(100));
                ready = one.says_ready();
            }
            writeln!(record, "node-{number}: start {start}: ready {ready}, runs {}; last line: {}",
                one.is_alive(), one.last_line())?;
            if ready {
                break;
            }
        }
        failed += usize::from(!ready && !one.is_alive());
    }
    writeln!(record, "after: {} of {REQUESTS} requests served", served(&machines))?;
    let broken = failed > 0;
    writeln!(record, "machines on which the program doesn't start: {failed} of {}", machines.len())?;
    writeln!(record, "{}", if broken { "BROKEN" } else { "held" })?;
    Ok(broken)
}

/// Sends requests to the machines in turn, each once, and returns how many were served.
fn served(machines: &[fleet::Gateway]) -> usize {
    let send = |number: &usize| {
        let request = format!(
            "GET /read/{number} HTTP/1.1\r\nHost: h.example\r\nRequest-Id: c{number}\r\n\
             Deadline-Ms: 3000\r\nX-Api-Key: key-1\r\n\r\n"
        );
        let front = machines[number % machines.len()].front;
        let answer = net::call(front, request.as_bytes(), time::Duration::from_secs(3));
        answer.is_ok_and(|answer| answer.status == 200)
    };
    (0..REQUESTS).filter(send).count()
}
