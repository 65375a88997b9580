//! The platform's store, a plain service's replicas, and gateway processes started with the command
//! of the deploy file.

use crate::net::{self, Request};
use std::{
    collections::BTreeMap,
    fs, io,
    io::{BufReader, Write as _},
    net::{SocketAddr, TcpListener, TcpStream},
    os::unix::process::CommandExt as _,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread, time,
};

/// Rows of the store: those of one table by key, with the version at which each was written.
#[derive(Default)]
pub struct Store {
    state: Mutex<StoreState>,
    changed: Condvar,
}

#[derive(Default)]
struct StoreState {
    rows: BTreeMap<(String, String), (u64, Option<String>)>,
    version: u64,
}

impl Store {
    /// Starts the store on a free port.
    pub fn start() -> io::Result<(Arc<Self>, SocketAddr)> {
        let store = Arc::new(Self::default());
        let served = store.clone();
        let started = time::Instant::now();
        let address = net::listen("127.0.0.1:0", move |stream| {
            let Ok(mut writer) = stream.try_clone() else { return };
            writer.set_nodelay(true).ok();
            let mut reader = BufReader::new(stream);
            while let Ok(Some(request)) = net::read_request(&mut reader) {
                let (status, body) = served.answer(&request, started.elapsed());
                let head = format!(
                    "HTTP/1.1 {status} x\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
                    body.len()
                );
                if writer.write_all(format!("{head}{body}").as_bytes()).is_err() {
                    return;
                }
            }
        })?;
        Ok((store, address))
    }

    /// Writes a row, or removes it.
    pub fn put(&self, table: &str, key: &str, value: Option<&str>) {
        let mut state = self.state.lock().expect("the store");
        state.version += 1;
        let version = state.version;
        state.rows.insert((table.to_owned(), key.to_owned()), (version, value.map(str::to_owned)));
        self.changed.notify_all();
    }

    fn answer(&self, request: &Request, elapsed: time::Duration) -> (u16, String) {
        let table = request.query("table").unwrap_or("");
        let mut state = self.state.lock().expect("the store");
        let rows: Vec<String> = match (request.method.as_str(), request.path()) {
            ("GET", "/v1/rows-get") => state.rows_of(table, 0, true),
            ("GET", "/v1/rows-feed") => {
                let after = request.query("after").and_then(|text| text.parse().ok()).unwrap_or(0);
                let wait = request.query("wait_ms").and_then(|text| text.parse().ok()).unwrap_or(0);
                let until = time::Instant::now() + time::Duration::from_millis(wait);
                loop {
                    let rows = state.rows_of(table, after, false);
                    let left = until.saturating_duration_since(time::Instant::now());
                    if !rows.is_empty() || left.is_zero() {
                        break rows;
                    }
                    state = self.changed.wait_timeout(state, left).expect("the store").0;
                }
            }
            _ => return (503, "{}".to_owned()),
        };
        let (version, now_ms) = (state.version, elapsed.as_millis());
        let rows = rows.join(",");
        (200, format!("{{\"ver\":{version},\"now_ms\":{now_ms},\"has_more\":false,\"rows\":[{rows}]}}"))
    }
}

impl StoreState {
    fn rows_of(&self, table: &str, after: u64, only_present: bool) -> Vec<String> {
        let rows = self.rows.iter().filter(|((of, _), (version, value))| {
            of == table && *version > after && (!only_present || value.is_some())
        });
        let row = |((table, key), (version, value)): (&(String, String), &(u64, Option<String>))| {
            let rest = match value {
                Some(value) => format!("\"value\":\"{}\"", base64(value.as_bytes())),
                None => "\"removed\":true".to_owned(),
            };
            format!("{{\"table\":\"{table}\",\"part\":\"\",\"key\":\"{key}\",\"ver\":{version},{rest}}}")
        };
        rows.map(row).collect()
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut block = [0; 3];
        block[..chunk.len()].copy_from_slice(chunk);
        let number = u32::from_be_bytes([0, block[0], block[1], block[2]]);
        for digit in 0..4 {
            if digit > chunk.len() {
                text.push('=');
            } else {
                text.push(char::from(DIGITS[(number >> (18 - 6 * digit)) as usize & 63]));
            }
        }
    }
    text
}

/// A machine with its gateway process, which is killed on drop.
pub struct Gateway {
    pub front: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    process: Child,
}

/// Addresses of a machine.
#[derive(Clone, Copy)]
pub struct Ports {
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub control: SocketAddr,
}

impl Ports {
    /// Finds free ports.
    pub fn find() -> io::Result<Self> {
        Ok(Self { front: free()?, ready: free()?, control: free()? })
    }
}

impl Gateway {
    /// Starts the gateway of a machine with the command of the deploy file; `seeds` are the machines
    /// that it may find at the start, and `extra` holds further lines of its settings.
    pub fn start(
        name: &str,
        ports: Ports,
        seeds: &[Ports],
        store: SocketAddr,
        extra: &str,
        folder: &Path,
    ) -> io::Result<Self> {
        let Ports { front, ready, control } = ports;
        let seeds: Vec<_> = seeds.iter().map(|seed| seed.control.to_string()).collect();
        let settings = folder.join(format!("{name}.conf"));
        let text = format!(
            "node_name={name}\nrole=entry\nmachine_class=front\nserves=front,control\nip=127.0.0.1\n\
             zone=a\nregion=r\nzones.a=r\nlisten.front={front}\nlisten.ready={ready}\n\
             listen.control={control}\nseeds={}\nbootstrap=true\nlimits.cores=1\nheartbeat_ms=1200\n\
             bounds.contact_ms=4000\nbounds.drain_ms=2500\nbounds.grace_s=8\nbounds.reuse_after_s=2\n\
             bounds.retry_budget_ratio=0.2\nbounds.budget_window_s=10\nbounds.budget_slack=56\n\
             bounds.cold_overshoot=1.5\nbounds.cold_slack=5\nplatform.address={store}\n\
             platform.form=table\n{extra}",
            seeds.join(",")
        );
        fs::write(&settings, text)?;
        let process = launch(&settings)?;
        Ok(Self { front, ready, settings, process })
    }

    /// Starts the process anew, after it has ended.
    pub fn restart(&mut self) -> io::Result<()> {
        self.process = launch(&self.settings)?;
        Ok(())
    }

    /// Ends the process at once.
    pub fn kill(&mut self) {
        self.process.kill().ok();
        self.process.wait().ok();
    }

    /// Sends the process a signal by its name.
    pub fn signal(&self, name: &str) -> io::Result<()> {
        Command::new("kill").arg(format!("-{name}")).arg(self.process.id().to_string()).status()?;
        Ok(())
    }

    /// Waits until the process has ended; false if it runs on for `limit`.
    pub fn wait_end(&mut self, limit: time::Duration) -> bool {
        let until = time::Instant::now() + limit;
        while time::Instant::now() < until {
            if !self.is_alive() {
                return true;
            }
            thread::sleep(time::Duration::from_millis(20));
        }
        false
    }

    /// Adds lines to the settings file.
    pub fn add_settings(&self, lines: &str) -> io::Result<()> {
        let text = fs::read_to_string(&self.settings)?;
        fs::write(&self.settings, format!("{text}{lines}"))
    }

    /// Returns the last line that the process has logged.
    pub fn last_line(&self) -> String {
        let log = fs::read_to_string(self.settings.with_extension("log")).unwrap_or_default();
        log.lines().rfind(|line| !line.trim().is_empty()).unwrap_or("").trim().to_owned()
    }

    /// Returns the memory that the process has in use, in bytes; zero if it has ended.
    pub fn memory(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.process.id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kilobytes = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
        kilobytes.unwrap_or(0) * 1024
    }

    /// Whether the process still runs.
    pub fn is_alive(&mut self) -> bool {
        matches!(self.process.try_wait(), Ok(None))
    }

    /// Asks what the platform asks each second.
    pub fn says_ready(&self) -> bool {
        let request = b"GET /v1/ready HTTP/1.1\r\nhost: ready\r\nconnection: close\r\n\r\n";
        let answer = net::call(self.ready, request, time::Duration::from_secs(1));
        answer.is_ok_and(|answer| answer.status == 200)
    }

    pub fn wait_ready(&self, limit: time::Duration) -> bool {
        let until = time::Instant::now() + limit;
        while time::Instant::now() < until {
            if self.says_ready() {
                return true;
            }
            thread::sleep(time::Duration::from_millis(100));
        }
        false
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Starts a process that appends its log to a file beside its settings.
fn launch(settings: &Path) -> io::Result<Child> {
    let log = fs::OpenOptions::new().create(true).append(true).open(settings.with_extension("log"))?;
    let mut command = Command::new("target/release/comfreyspread");
    command
        .args(["gateway", "--metrics-port", "9464"])
        .env_clear()
        .env("COMFREYSPREAD_SETTINGS", settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log);
    // SAFETY: the call is safe between fork and exec.
    unsafe { command.pre_exec(die_with_parent) };
    command.spawn()
}

/// Lets the system end the process if the stand-in that started it is ended itself.
fn die_with_parent() -> io::Result<()> {
    const PR_SET_PDEATHSIG: i32 = 1;
    const SIGKILL: u64 = 9;
    unsafe extern "C" {
        fn prctl(option: i32, value: u64, a: u64, b: u64, c: u64) -> i32;
    }
    // SAFETY: this option takes a number only.
    match unsafe { prctl(PR_SET_PDEATHSIG, SIGKILL, 0, 0, 0) } {
        0 => Ok(()),
        _ => Err(io::Error::last_os_error()),
    }
}

fn free() -> io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}

/// Answers one request on a replica's connection.
pub fn answer(stream: &mut TcpStream, status: &str, headers: &str, body: &[u8]) -> io::Result<()> {
    let head = format!("HTTP/1.1 {status}\r\n{headers}content-length: {}\r\n\r\n", body.len());
    stream.write_all(head.as_bytes())?;
    stream.write_all(body)
}

/// Starts a replica of the plain service `ledger`, which works 20 ms on a request and counts its runs,
/// and registers it in the store.
pub fn start_replica(id: &str, store: &Store, runs: &Arc<AtomicU64>) -> io::Result<()> {
    let (own, runs) = (id.to_owned(), runs.clone());
    let address = net::listen("127.0.0.1:0", move |stream| serve_replica(&own, stream, &runs))?;
    store.put("servers", id, Some(&format!(
        "{{\"service\":\"ledger\",\"address\":\"{address}\",\"zone\":\"a\",\"version\":\"v1\",\
         \"slots\":6,\"state\":\"ready\",\"cold_left_ms\":0,\"seq\":1,\"born\":1}}"
    )));
    Ok(())
}

fn serve_replica(id: &str, stream: TcpStream, runs: &AtomicU64) {
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    while let Ok(Some(request)) = net::read_request(&mut reader) {
        let answered = if request.header("expect-instance") == id {
            thread::sleep(time::Duration::from_millis(20));
            let number = runs.fetch_add(1, Ordering::Relaxed);
            let request = request.header("request-id");
            let headers = format!("Request-Id: {request}\r\nResponse-Stamp: s.{number}\r\n");
            answer(&mut writer, "200 OK", &headers, b"the answer")
        } else {
            answer(&mut writer, "421 Misdirected Request", "", b"")
        };
        if answered.is_err() {
            return;
        }
    }
}
