//! The settings files of two machines get keys that are empty; then all processes are killed at the same
//! moment and started again.

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
/// `bounds.recovery_s`.
const RECOVERY: time::Duration = time::Duration::from_secs(12);
/// Time for which the machines are down after the final fault, and after which the platform starts a
/// process again that has ended.
const DOWN: time::Duration = time::Duration::from_secs(1);
/// Requests a second at all machines, and how long they are judged before and after the fault.
const RATE: f64 = 10.0;
const JUDGED: time::Duration = time::Duration::from_secs(8);

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
    let before = share(&machines, &mut record, "before the final fault")?;
    for one in &machines {
        if trouble {
            one.add_settings(EMPTY_KEYS)?;
        }
        one.signal("HUP")?;
    }
    thread::sleep(time::Duration::from_secs(1));
    store.put("op", "config", Some(&CONFIG.replace("\"version\":1,", "\"version\":2,")));
    machines.iter_mut().for_each(fleet::Gateway::kill);
    thread::sleep(DOWN);
    let back = time::Instant::now();
    let mut starts = [0; 2];
    while back.elapsed() < RECOVERY + time::Duration::from_millis(500) {
        for (one, starts) in machines.iter_mut().zip(&mut starts) {
            if !one.is_alive() {
                one.restart()?;
                *starts += 1;
            }
        }
        thread::sleep(DOWN);
    }
    for (number, (one, starts)) in machines.iter_mut().zip(starts).enumerate() {
        writeln!(record, "node-{number}: started {starts} times in {} s, runs {}; last line: {}",
            RECOVERY.as_secs(), one.is_alive(), one.last_line())?;
    }
    let after = share(&machines, &mut record, "later than recovery_s after the machines are back")?;
    let broken = before >= 0.25 && after < 0.25;
    writeln!(record, "{}", if broken { "BROKEN" } else { "held" })?;
    Ok(broken)
}

/// Sends requests to the machines in turn, each once, and returns the share that is served.
fn share(machines: &[fleet::Gateway], record: &mut fs::File, when: &str) -> std::io::Result<f64> {
    let started = time::Instant::now();
    let (mut sent, mut served) = (0, 0);
    while started.elapsed() < JUDGED {
        let request = format!(
            "GET /read/{sent} HTTP/1.1\r\nHost: h.example\r\nRequest-Id: c{sent}\r\n\
             Deadline-Ms: 3000\r\nX-Api-Key: key-1\r\n\r\n"
        );
        let front = machines[sent % machines.len()].front;
        let answer = net::call(front, request.as_bytes(), time::Duration::from_secs(3));
        served += usize::from(answer.is_ok_and(|answer| answer.status == 200));
        sent += 1;
        thread::sleep(time::Duration::from_secs_f64(1.0 / RATE));
    }
    writeln!(record, "{when}: {served} of {sent} requests served")?;
    Ok(served as f64 / sent as f64)
}
