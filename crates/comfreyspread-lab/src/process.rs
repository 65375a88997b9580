//! Child processes of the lab: stand-ins and nodes, each the lab's own program in another role.

use miette::IntoDiagnostic as _;
use std::{env, fs, iter, net, ops, process, sync, sync::atomic, time};

const LISTENING_PORTS: ops::Range<u16> = 10_000..32_000;
const LOOPBACK: net::Ipv4Addr = net::Ipv4Addr::LOCALHOST;
const READY_POLL: time::Duration = time::Duration::from_millis(20);

/// A child process that is killed when dropped.
#[derive(Debug)]
pub struct ChildProcess {
    child: process::Child,
}

impl ChildProcess {
    /// Starts this program again with `arguments`.
    ///
    /// # Errors
    ///
    /// Fails if the process cannot be started.
    pub fn new(program: &std::path::Path, arguments: &[&str]) -> miette::Result<Self> {
        Self::start(process::Command::new(program).args(arguments))
    }

    /// Starts a program whose log lines are added to a file.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be opened or the process cannot be started.
    pub fn with_log(
        program: &std::path::Path,
        arguments: &[&str],
        log: &std::path::Path,
    ) -> miette::Result<Self> {
        let file = fs::OpenOptions::new().append(true).create(true).open(log).into_diagnostic()?;
        Self::start(process::Command::new(program).args(arguments).stderr(file))
    }

    fn start(command: &mut process::Command) -> miette::Result<Self> {
        let child = command.stdin(process::Stdio::null()).spawn().into_diagnostic()?;
        Ok(Self { child })
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal.
    pub fn signal(&self, signal: rustix::process::Signal) {
        let id = i32::try_from(self.child.id()).ok().and_then(rustix::process::Pid::from_raw);
        if let Some(id) = id {
            rustix::process::kill_process(id, signal).ok();
        }
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }

    /// Waits for the end of the process and returns its exit code; none if it was killed or is
    /// still running after `limit`.
    pub async fn wait(&mut self, limit: time::Duration) -> Option<i32> {
        let deadline = time::Instant::now() + limit;
        while time::Instant::now() < deadline {
            if let Ok(Some(status)) = self.child.try_wait() {
                return status.code();
            }
            async_io::Timer::after(READY_POLL).await;
        }
        None
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Returns the path of this program.
///
/// # Errors
///
/// Fails if the system cannot tell.
pub fn own_program() -> miette::Result<std::path::PathBuf> {
    env::current_exe().into_diagnostic()
}

/// Returns a loopback address that is free now.
///
/// # Errors
///
/// Fails if no port is free.
pub fn free_address() -> miette::Result<net::SocketAddr> {
    let addresses = free_addresses(1)?;
    addresses.first().copied().ok_or_else(|| miette::miette!("no port is free"))
}

/// Returns `count` loopback addresses that are free now.
///
/// The ports lie below those that the system gives to outgoing connections, so that none is taken
/// by a connection before its process listens. A process never gives out a port twice.
///
/// # Errors
///
/// Fails if too few ports are free.
pub fn free_addresses(count: usize) -> miette::Result<Vec<net::SocketAddr>> {
    let ports = iter::repeat_with(next_port).take(LISTENING_PORTS.len());
    let bound = ports.filter_map(|port| net::TcpListener::bind((LOOPBACK, port)).ok());
    let listeners: Vec<_> = bound.take(count).collect();
    miette::ensure!(listeners.len() == count, "fewer than {count} ports are free");
    let addresses = listeners.iter().map(net::TcpListener::local_addr);
    addresses.collect::<Result<_, _>>().into_diagnostic()
}

/// Returns the next port of this process, from a start drawn at random.
fn next_port() -> u16 {
    static CURSOR: sync::LazyLock<atomic::AtomicU16> =
        sync::LazyLock::new(|| atomic::AtomicU16::new(rand::random()));
    let offset = CURSOR.fetch_add(1, atomic::Ordering::Relaxed);
    LISTENING_PORTS.start + offset % (LISTENING_PORTS.end - LISTENING_PORTS.start)
}
