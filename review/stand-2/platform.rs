//! The platform as far as it watches its machines: it kills a process that exceeds the memory of its
//! machine and starts it again.

use crate::fleet;
use std::{
    fs, io,
    io::Write as _,
    net::SocketAddr,
    path::Path,
    process::ExitCode,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread, time,
};

/// Time after which the platform starts a process again.
const RESTART_DELAY: time::Duration = time::Duration::from_secs(1);

/// What the platform and the consumers see of one machine.
#[derive(Default)]
pub struct Seen {
    pub peak: AtomicU64,
    pub ends: AtomicU64,
    pub served: AtomicU64,
    pub cut: AtomicU64,
    pub other: AtomicU64,
    lines: Mutex<Vec<String>>,
}

/// Machines, and the threads that have to end with them.
pub struct Platform {
    fronts: Vec<SocketAddr>,
    seen: Vec<Arc<Seen>>,
    stop: Arc<AtomicBool>,
    threads: Vec<thread::JoinHandle<()>>,
    started: time::Instant,
}

impl Platform {
    /// Starts machines and waits until they are ready.
    pub fn start(
        machines: usize,
        memory_mb: u64,
        store: SocketAddr,
        extra: &str,
        folder: &Path,
    ) -> io::Result<Self> {
        let ports: io::Result<Vec<_>> = (0..machines).map(|_| fleet::Ports::find()).collect();
        let ports = ports?;
        let stop = Arc::new(AtomicBool::new(false));
        let started = time::Instant::now();
        let (mut seen, mut threads) = (Vec::new(), Vec::new());
        for (number, own) in ports.iter().enumerate() {
            let name = format!("node-{number}");
            let gateway = fleet::Gateway::start(&name, *own, &ports, store, extra, folder)?;
            if !gateway.wait_ready(time::Duration::from_secs(15)) {
                return Err(io::Error::other("a gateway did not become ready"));
            }
            let one = Arc::new(Seen::default());
            seen.push(one.clone());
            let stop = stop.clone();
            let limit = memory_mb * (1 << 20);
            threads.push(thread::spawn(move || guard(gateway, limit, &one, started, &stop)));
        }
        let fronts = ports.iter().map(|own| own.front).collect();
        Ok(Self { fronts, seen, stop, threads, started })
    }

    /// Returns the addresses for consumers.
    pub fn fronts(&self) -> Vec<SocketAddr> {
        self.fronts.clone()
    }

    pub fn seen(&self, machine: usize) -> Arc<Seen> {
        self.seen[machine].clone()
    }

    /// Returns the flag that ends all threads.
    pub fn stop(&self) -> Arc<AtomicBool> {
        self.stop.clone()
    }

    /// Adds a thread that ends by the flag.
    pub fn add(&mut self, thread: thread::JoinHandle<()>) {
        self.threads.push(thread);
    }

    /// Waits until each machine's process has ended `ends` times, at most for `limit`.
    pub fn watch(&self, limit: time::Duration, ends: u64) {
        let has_ended = |one: &Arc<Seen>| one.ends.load(Ordering::Relaxed) >= ends;
        while self.started.elapsed() < limit && !self.seen.iter().all(has_ended) {
            thread::sleep(time::Duration::from_millis(100));
        }
        // What the last end has cut off reaches the consumers.
        thread::sleep(time::Duration::from_millis(500));
    }

    /// Ends all processes and threads.
    pub fn end(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        self.threads.drain(..).for_each(|one| drop(one.join()));
    }

    /// Writes what was seen.
    pub fn write(&self, record: &mut fs::File) -> io::Result<()> {
        let count = |value: &AtomicU64| value.load(Ordering::Relaxed);
        for (number, one) in self.seen.iter().enumerate() {
            for line in one.lines.lock().expect("the lines").iter() {
                writeln!(record, "node-{number}: {line}")?;
            }
            writeln!(
                record,
                "node-{number}: peak {} MB, killed for its memory {} times; ordinary requests: {} served, \
                 {} cut off or not answered, {} refused or failed",
                count(&one.peak) / (1 << 20),
                count(&one.ends),
                count(&one.served),
                count(&one.cut),
                count(&one.other)
            )?;
        }
        Ok(())
    }
}

/// Kills the process of a machine once it exceeds the memory, and starts it again.
fn guard(
    mut gateway: fleet::Gateway,
    limit: u64,
    seen: &Seen,
    started: time::Instant,
    stop: &AtomicBool,
) {
    while !stop.load(Ordering::Relaxed) {
        let memory = gateway.memory();
        seen.peak.fetch_max(memory, Ordering::Relaxed);
        if memory > limit {
            gateway.kill();
            seen.ends.fetch_add(1, Ordering::Relaxed);
            let (at, used) = (started.elapsed().as_millis(), memory / (1 << 20));
            let line = format!("{at} ms: {used} MB in use, killed");
            seen.lines.lock().expect("the lines").push(line);
            thread::sleep(RESTART_DELAY);
            if gateway.restart().is_err() {
                return;
            }
        } else if !gateway.is_alive() {
            let at = started.elapsed().as_millis();
            let line = format!("{at} ms: ended by itself: {}", gateway.last_line());
            seen.lines.lock().expect("the lines").push(line);
            thread::sleep(RESTART_DELAY);
            if gateway.restart().is_err() {
                return;
            }
        }
        thread::sleep(time::Duration::from_millis(10));
    }
}

/// Returns the exit code of a script: 1 if the rule was broken, 0 if not, 2 if it could not run.
pub fn exit_code(result: io::Result<bool>) -> ExitCode {
    match result {
        Ok(broken) => ExitCode::from(u8::from(broken)),
        Err(error) => {
            println!("could not run: {error}");
            ExitCode::from(2)
        }
    }
}
