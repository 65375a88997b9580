//! Child processes of the lab: stand-ins and nodes, each the lab's own program in another role.

use comfreyspread::runtime::rank;
use miette::IntoDiagnostic as _;
use std::{env, fs, net, process, sync, time};

const FIRST_PORT: u16 = 10_000;
const LAST_PORT: u16 = 32_000;
const PORTS_PER_BLOCK: u16 = 50;

static PORTS: sync::OnceLock<rank::RankedLock<rank::ConnectionRank, PortBlocks>> =
    sync::OnceLock::new();
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

    /// Starts a program whose output and log lines are added to a file.
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
        let output = file.try_clone().into_diagnostic()?;
        Self::start(process::Command::new(program).args(arguments).stdout(output).stderr(file))
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
pub fn current_program() -> miette::Result<std::path::PathBuf> {
    env::current_exe().into_diagnostic()
}

/// Returns a loopback address that is free now.
///
/// # Errors
///
/// Fails if no port is free.
pub fn free_address() -> miette::Result<net::SocketAddr> {
    let ports = PORTS.get_or_init(|| rank::RankedLock::new(PortBlocks::default()));
    ports.lock().next_address()
}

/// Returns `count` loopback addresses that are free now.
///
/// # Errors
///
/// Fails if no port is free.
pub fn free_addresses(count: usize) -> miette::Result<Vec<net::SocketAddr>> {
    (0..count).map(|_| free_address()).collect()
}

/// Ports below those that the system gives to outgoing connections, handed out in blocks. The
/// first port of a block stays bound, so that no other lab process on the machine takes the block.
#[derive(Debug, Default)]
struct PortBlocks {
    reserved: Vec<net::TcpListener>,
    next: u16,
    end: u16,
}

impl PortBlocks {
    fn next_address(&mut self) -> miette::Result<net::SocketAddr> {
        loop {
            if self.next >= self.end {
                self.reserve()?;
            }
            let port = self.next;
            self.next += 1;
            if let Ok(listener) = net::TcpListener::bind((net::Ipv4Addr::LOCALHOST, port)) {
                return listener.local_addr().into_diagnostic();
            }
        }
    }

    fn reserve(&mut self) -> miette::Result<()> {
        let blocks = (LAST_PORT - FIRST_PORT) / PORTS_PER_BLOCK;
        let first = u16::try_from(process::id() % u32::from(blocks)).unwrap_or(0);
        for step in 0..blocks {
            let port = FIRST_PORT + (first + step) % blocks * PORTS_PER_BLOCK;
            if let Ok(listener) = net::TcpListener::bind((net::Ipv4Addr::LOCALHOST, port)) {
                self.reserved.push(listener);
                self.next = port + 1;
                self.end = port + PORTS_PER_BLOCK;
                return Ok(());
            }
        }
        miette::bail!("all ports from {FIRST_PORT} to {LAST_PORT} are taken")
    }
}
